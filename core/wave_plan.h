/* wave_plan.h -- how long a wave takes, without doing it.  */

#ifndef FTK_CORE_WAVE_PLAN_H
#define FTK_CORE_WAVE_PLAN_H

#include "core/wave_order.h"

struct wave_plan
{
  uint64_t duration_ms;    /**< Time until the last VM is back.  */
  uint64_t lower_bound_ms; /**< Least time that the budgets of VMs allow.  */
  uint64_t rack_lower_bound_ms;   /**< The same with the budgets of racks.  */
  uint32_t vm_count;              /**< VMs that come back in finish_ms.  */
  uint32_t blocked_count;         /**< VMs that no budget lets out.  */
  uint32_t max_out_count;         /**< Most VMs out at once.  */
  uint32_t bottleneck_pool_index; /**< Pool that sets bound_ms.  */
};

/** Plays W through on C, which is changed, with STEP_MS[i] for the drain and
    reboot of VM i of the tables.  C must have no members.  */
void wave_simulate (struct control *c, struct wave *w, enum wave_order order,
                    const uint32_t *step_ms, struct wave_plan *plan);

#endif
