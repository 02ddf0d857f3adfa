/* wave_plan.h -- predicts how long a wave takes.  */

#ifndef FTK_CORE_WAVE_PLAN_H
#define FTK_CORE_WAVE_PLAN_H

#include "core/wave_order.h"

/** Result of simulating a wave.  */
struct wave_plan
{
  uint64_t duration_ms;    /**< Time until the last VM returns.  */
  uint64_t lower_bound_ms; /**< Bound by the VM budgets of pools and wave.  */
  uint64_t rack_lower_bound_ms; /**< The same with the rack budgets as well. */
  uint32_t vm_count;            /**< VMs that return within duration_ms.  */
  uint32_t blocked_count; /**< VMs that the simulation could not drain.  */
  uint32_t max_out_count; /**< Most VMs out at once.  */
  uint32_t bottleneck_pool_index; /**< Pool with the largest VM bound.  */
};

/** Simulates W on C, which it changes, and writes the result to *PLAN.
    STEP_MS[i] is the time for the drain and reboot of VM i of the tables.  C
    must have no members.  */
void wave_simulate (struct control *c, struct wave *w, enum wave_order order,
                    const uint32_t *step_ms, struct wave_plan *plan);

#endif
