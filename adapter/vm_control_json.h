/* vm_control_json.h -- the state of VMs and waves as JSON, in a checkpoint.

   A VM that serves in its pool of the tables and has no other state is left
   out.  */

#ifndef FTK_ADAPTER_VM_CONTROL_JSON_H
#define FTK_ADAPTER_VM_CONTROL_JSON_H

#include "adapter/json_field.h"
#include "core/vm_control.h"

/** Returns the state in the object of P, for the VMs of the tables F (NULL: no
    tables), as a child of MEM; every fault becomes a finding of P.  */
struct vm_control *vm_control_from_json (TALLOC_CTX *mem,
                                         struct json_reader *p,
                                         const struct config *f);

/** Adds the state V, for the VMs of the tables F, to the object J.  */
void vm_control_to_json (const struct vm_control *v, const struct config *f,
                         json_t *j);

#endif
