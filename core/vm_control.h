/* vm_control.h -- the control state of VMs: drains, moves and waves.

   Part of the deterministic control state.  Each command is judged when it is
   applied, against the budget of the VM's pool with unplanned losses counted,
   so operators, waves and entries may race without a lock.  Every VM of the
   tables is in exactly one pool at every offset: the pool_index of its row in
   the configuration in force, which a move changes.  */

#ifndef FTK_CORE_VM_CONTROL_H
#define FTK_CORE_VM_CONTROL_H

#include "port/record.h"
#include "port/vm_state.h"

#include <talloc.h>

struct control;

/** Returns an empty state as a child of MEM.  */
struct vm_control *vm_control_new (TALLOC_CTX *mem);

/** Applies R of a kind from RECORD_WAVE_START on; returns false if it is
    rejected.  */
bool vm_control_apply (struct control *c, uint64_t offset,
                       const struct record *r);

/** Returns true if the command ID is among the newest that were applied.  */
bool vm_control_was_applied (const struct control *c, const char *id);

/** Follows a change of the tables or the members: matches VMs by name, and
    ends the drains that no member holds up any more.  */
void vm_control_settle (struct control *c);

/** Returns a copy of V as a child of MEM.  */
struct vm_control *vm_control_copy (TALLOC_CTX *mem,
                                    const struct vm_control *v);

/** Returns the state of the VMs of F (may be NULL), made version
    CONFIG_VERSION, with nothing drained or moved, as a child of MEM.  */
struct vm_control *vm_control_of_tables (TALLOC_CTX *mem,
                                         const struct config *f,
                                         uint64_t config_version);

/** Returns the index of VM in the tables, or -1.  */
int32_t vm_control_find (const struct control *c, const char *vm);

/** Returns the wave NAME, or NULL.  */
struct wave *vm_control_wave (const struct control *c, const char *name);

/** Returns true if VM_INDEX may be drained within its pool's budget.  */
bool vm_control_may_drain (const struct control *c, uint32_t vm_index);

/** Returns true if VM_INDEX is drained, being drained or lost.  */
bool vm_control_is_out (const struct control *c, uint32_t vm_index);

/** Returns how many VMs of the wave NAME are out for it.  */
uint32_t vm_control_wave_out (const struct control *c, const char *name);

/** Returns the stable name of P, such as "draining".  */
const char *vm_phase_name (enum vm_phase p);

/** Returns the stable name of S, such as "paused".  */
const char *wave_state_name (enum wave_state s);

#endif
