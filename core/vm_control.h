/* vm_control.h -- the control state of VMs: drains, moves and waves.

   Part of the deterministic control state.  Each command is judged when it is
   applied, against the budget of the VM's pool with unplanned losses counted,
   so operators, waves and entries may race without a lock.  Every VM of the
   tables is in exactly one pool at every offset: the pool_index of its row in
   the configuration in force, which a move changes.  */

#ifndef FTK_CORE_VM_CONTROL_H
#define FTK_CORE_VM_CONTROL_H

#include "port/record.h"

#include <talloc.h>

/** Applied commands whose ids are kept, for operators to look up.  */
#define APPLIED_ID_COUNT 64

struct control;

/** Where a VM stands.  Only a serving VM that is not lost takes new work.  */
enum vm_phase
{
  VM_SERVING,
  VM_DRAINING,  /**< Takes no new work; some member may still run some.  */
  VM_DRAINED,   /**< Nothing runs there: in maintenance.  */
  VM_RETURNING, /**< Rebooted; not yet given back to its pool.  */
  VM_PHASE_COUNT
};

struct vm_lifecycle
{
  char name[NAME_BYTES];
  char configured_pool[NAME_BYTES]; /**< Pool that the operators' table names.
                                     */
  char pool[NAME_BYTES];            /**< Pool that it is in.  */
  enum vm_phase phase;
  bool lost;                /**< The fleet list has dropped it.  */
  uint64_t drain_id;        /**< Offset of the drain in force, plus 1.  */
  char wave[NAME_BYTES];    /**< Wave of the drain; empty: none.  */
  char move_to[NAME_BYTES]; /**< Pool after the drain; empty: no move.  */
  uint64_t *drained_by;     /**< Incarnations that have nothing there.  */
  uint32_t drained_by_count;
};

enum wave_state
{
  WAVE_RUNNING,
  WAVE_PAUSED,
  WAVE_ABORTED,
  WAVE_DONE,
  WAVE_STATE_COUNT
};

struct wave_vm
{
  char name[NAME_BYTES];
  bool done;
};

struct wave
{
  char name[NAME_BYTES];
  enum wave_state state;
  uint32_t parallel_limit_count; /**< Most VMs out at once; 0: no limit.  */
  uint64_t deadline_ms;          /**< Wall clock; 0: none.  */
  uint64_t start_id;             /**< Offset of its start, plus 1.  */
  uint64_t last_step_id;         /**< Offset of its last step, plus 1.  */
  struct wave_vm *vms;
  uint32_t vm_count;
  uint32_t done_count;
};

struct vm_control
{
  struct vm_lifecycle *vms; /**< Parallel to the tables' vms.  */
  uint32_t vm_count;
  struct wave **waves; /**< In order of their start.  */
  uint32_t wave_count;
  char applied_ids[APPLIED_ID_COUNT][ID_BYTES]; /**< Newest, as a ring.  */
  uint32_t applied_next;   /**< Slot of the ring to be filled next.  */
  uint64_t config_version; /**< Tables that vms is parallel to.  */
};

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
void vm_control_reconcile (struct control *c);

/** Returns the index of VM in the tables, or -1.  */
int32_t vm_control_find_vm (const struct control *c, const char *vm);

/** Returns the wave NAME, or NULL.  */
struct wave *vm_control_find_wave (const struct control *c, const char *name);

/** Returns true if VM_INDEX may be drained within its pool's budget.  */
bool vm_control_may_drain (const struct control *c, uint32_t vm_index);

/** Returns true if VM_INDEX is drained, being drained or lost.  */
bool vm_control_is_out (const struct control *c, uint32_t vm_index);

/** Returns how many VMs of the wave NAME are out for it.  */
uint32_t vm_control_wave_out_count (const struct control *c, const char *name);

/** Returns the stable name of P, such as "draining".  */
const char *vm_phase_name (enum vm_phase p);

/** Returns the stable name of S, such as "paused".  */
const char *wave_state_name (enum wave_state s);

/* vm_checkpoint.c */

/** Returns a copy of V as a child of MEM.  */
struct vm_control *vm_control_copy (TALLOC_CTX *mem,
                                    const struct vm_control *v);

/** Writes the digest of V to DIGEST (DIGEST_BYTES).  */
void vm_control_digest (const struct vm_control *v, uint8_t *digest);

#endif
