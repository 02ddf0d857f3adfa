/* vm_state_json.h -- coding of drains, moves and waves in a checkpoint.  */

#ifndef FTK_ADAPTER_VM_STATE_JSON_H
#define FTK_ADAPTER_VM_STATE_JSON_H

#include "adapter/json_field.h"
#include "core/vm_control.h"

#include <talloc.h>

/** Returns the state in the object of P for the tables F (or NULL) of
    CONFIG_VERSION, a child of MEM; every fault is a finding.  */
struct vm_control *vm_state_read (TALLOC_CTX *mem, const struct config *f,
                                  uint64_t config_version,
                                  struct json_place *p);

/** Adds V to J: the VMs that are not simply at home and serving, and the
    waves.  */
void vm_state_write (json_t *j, const struct vm_control *v);

#endif
