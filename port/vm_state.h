/* vm_state.h -- what the log says of VMs and waves.

   Kept by core/vm_control.h and carried by checkpoints.  */

#ifndef FTK_PORT_VM_STATE_H
#define FTK_PORT_VM_STATE_H

#include "port/types.h"

/** Applied commands whose ids are kept, for operators to look up.  */
#define APPLIED_ID_COUNT 64

/** Where a VM stands.  Only a serving VM that is not lost takes new work.  */
enum vm_phase
{
  VM_SERVING,
  VM_DRAINING,  /**< Takes no new work; some member may still run some.  */
  VM_DRAINED,   /**< Nothing runs there: in maintenance.  */
  VM_RETURNING, /**< Rebooted; not yet given back to its pool.  */
  VM_PHASE_COUNT
};

struct vm_entry
{
  char name[NAME_BYTES];
  char home[NAME_BYTES]; /**< Pool that the operators' table names.  */
  char pool[NAME_BYTES]; /**< Pool that it is in.  */
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
  uint32_t parallel_count; /**< Most VMs out at once; 0: no limit.  */
  uint64_t deadline_ms;    /**< Wall clock; 0: none.  */
  uint64_t start_id;       /**< Offset of its start, plus 1.  */
  uint64_t touched_id;     /**< Offset of its last step, plus 1.  */
  struct wave_vm *vms;
  uint32_t vm_count;
  uint32_t done_count;
};

struct vm_control
{
  struct vm_entry *vms; /**< Parallel to the tables' vms.  */
  uint32_t vm_count;
  struct wave **waves; /**< In order of their start.  */
  uint32_t wave_count;
  char applied_ids[APPLIED_ID_COUNT][ID_BYTES]; /**< Newest, as a ring.  */
  uint32_t applied_next;   /**< Slot of the ring to be filled next.  */
  uint64_t config_version; /**< Tables that vms is parallel to.  */
};

#endif
