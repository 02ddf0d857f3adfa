/* vm_control.h -- the control state of VMs: drains, moves, waves and evacuated
   zones.

   Part of the replicated control state.  Whether a command is valid is decided
   when it is applied, against the availability budget of the VM's pool, which
   unplanned losses count against, so operators, waves and entries may race
   without a lock.  Every VM of the tables is in exactly one pool at every
   offset: the pool_index of its row in the configuration in force, which a
   move changes.  */

#ifndef FTK_CORE_VM_CONTROL_H
#define FTK_CORE_VM_CONTROL_H

#include "core/load/zones.h"
#include "port/record.h"

#include <talloc.h>

/** Number of ids of applied commands kept for fulmartackctl to look up.  */
#define APPLIED_ID_COUNT 64

struct control;

/** Phase of a VM's drain.  Only in VM_SERVING does a VM get requests, and only
    if it is not lost.  */
enum vm_phase
{
  VM_SERVING,
  VM_DRAINING,  /**< No new work; members may still run requests.  */
  VM_DRAINED,   /**< No request runs there: in maintenance.  */
  VM_RETURNING, /**< Rebooted; not yet returned to its pool.  */
  VM_PHASE_COUNT
};

/** State of one VM of the tables.  */
struct vm_lifecycle
{
  char name[NAME_BYTES];
  char configured_pool[NAME_BYTES]; /**< Pool in the operators' tables.  */
  char pool[NAME_BYTES];            /**< Current pool; a move changes it.  */
  enum vm_phase phase;
  bool lost;                /**< Away in the fleet list, or overdue.  */
  uint64_t drain_id;        /**< Offset of its drain, plus 1; 0: none.  */
  char wave[NAME_BYTES];    /**< Wave that drains it; empty: none.  */
  char move_to[NAME_BYTES]; /**< Destination pool; empty: not moving.  */
  uint64_t *drained_by;     /**< Members that reported no request there.  */
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

/** A VM of a wave.  */
struct wave_vm
{
  char name[NAME_BYTES];
  bool done; /**< Returned after its reboot, or not in the tables.  */
};

/** A maintenance wave: drains, reboots and returns each of its VMs.  */
struct wave
{
  char name[NAME_BYTES];
  enum wave_state state;
  uint32_t parallel_limit_count; /**< Most VMs out at once; 0: none set.  */
  uint64_t deadline_ms;          /**< Unix time; 0: none.  */
  uint64_t start_id;             /**< Offset of its start, plus 1.  */
  uint64_t last_step_id;         /**< Offset of its last step, plus 1.  */
  struct wave_vm *vms;
  uint32_t vm_count;
  uint32_t done_count;
};

struct vm_control
{
  struct vm_lifecycle *vms; /**< Same order as the tables' vms.  */
  uint32_t vm_count;
  struct wave **waves; /**< In order of start.  */
  uint32_t wave_count;
  struct zones evacuated; /**< In order of their records.  */
  char applied_ids[APPLIED_ID_COUNT][ID_BYTES]; /**< Newest ones, in a ring. */
  uint32_t applied_next;   /**< Next index of applied_ids to fill.  */
  uint64_t config_version; /**< Version of the tables that vms follows.  */
};

/** Returns an empty state as a talloc child of MEM.  */
struct vm_control *vm_control_new (TALLOC_CTX *mem);

/** Applies R, a record about VMs or waves; returns false if it is rejected. */
bool vm_control_apply (struct control *c, uint64_t offset,
                       const struct record *r);

/** Returns true if ID is among the newest applied commands.  */
bool vm_control_was_applied (const struct control *c, const char *id);

/** Adapts the state to new tables, matching VMs by name, and completes drains
    of VMs on which no member still has requests.  */
void vm_control_reconcile (struct control *c);

/** Returns the index of VM in the tables, or -1.  */
int32_t vm_control_find_vm (const struct control *c, const char *vm);

/** Returns the wave NAME, or NULL.  */
struct wave *vm_control_find_wave (const struct control *c, const char *name);

/** Returns true if VM_INDEX is not out and draining it keeps within its pool's
    budgets of VMs and racks.  */
bool vm_control_may_drain (const struct control *c, uint32_t vm_index);

/** Returns true if VM_INDEX does not serve or is lost.  */
bool vm_control_is_out (const struct control *c, uint32_t vm_index);

/** Returns true if VM_INDEX is in an evacuated zone and takes no new work.  It
    is not out: it does not count against its pool's budgets, so that it can
    be drained.  */
bool vm_control_is_evacuated (const struct control *c, uint32_t vm_index);

/** Returns true if a VM of the tables is in ZONE.  */
bool vm_control_has_zone (const struct control *c, const char *zone);

/** Returns the number of VMs that do not serve because of wave NAME.  */
uint32_t vm_control_wave_out_count (const struct control *c, const char *name);

/** Returns the name of P that operators see, such as "draining".  */
const char *vm_phase_name (enum vm_phase p);

/** Returns the name of S that operators see, such as "paused".  */
const char *wave_state_name (enum wave_state s);

/* vm_checkpoint.c */

/** Returns a copy of V as a talloc child of MEM.  */
struct vm_control *vm_control_copy (TALLOC_CTX *mem,
                                    const struct vm_control *v);

/** Writes the digest of V to DIGEST (DIGEST_BYTES).  */
void vm_control_digest (const struct vm_control *v, uint8_t *digest);

#endif
