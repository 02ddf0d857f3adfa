/* wave_order.h -- which VM of a wave is drained next.  */

#ifndef FTK_CORE_WAVE_ORDER_H
#define FTK_CORE_WAVE_ORDER_H

#include "core/control.h"
#include "core/vm_control.h"

/** Ways to choose; the product uses WAVE_ORDER_DOMAIN, the others are the
    baselines of the bench.  */
enum wave_order
{
  WAVE_ORDER_GREEDY, /**< Greedy: longest pool first, then started racks. */
  WAVE_ORDER_RACK_BATCH, /**< Batches of one rack; waits for a whole batch.  */
  WAVE_ORDER_ONE_BY_ONE  /**< The next VM when the last one is back.  */
};

/** Returns the VM of W to drain next within the budgets, or -1 if none may be
    drained now.  */
int32_t wave_next_vm (const struct control *c, const struct wave *w,
                      enum wave_order order);

#endif
