/* vm_control_json.h -- the state of VMs and waves as JSON, in a checkpoint. */

#ifndef FTK_ADAPTER_VM_CONTROL_JSON_H
#define FTK_ADAPTER_VM_CONTROL_JSON_H

#include "adapter/json_field.h"
#include "core/vm_control.h"

/** Reads the state that belongs to the tables F (NULL: none) from the object
    of P, as a child of MEM; every fault is added to the findings of P.  */
struct vm_control *vm_control_from_json (TALLOC_CTX *mem,
                                         struct json_reader *p,
                                         const struct config *f);

/** Adds V to the object J.  VMs that serve in the pool that the tables F name
    are left out.  */
void vm_control_to_json (const struct vm_control *v, const struct config *f,
                         json_t *j);

#endif
