/* wave_order.h -- selects the VM of a wave to drain next.  */

#ifndef FTK_CORE_WAVE_ORDER_H
#define FTK_CORE_WAVE_ORDER_H

#include "core/control.h"
#include "core/vm_control.h"

/** Order of a wave's VMs.  The product uses WAVE_ORDER_GREEDY; the others are
    baselines of the bench.  */
enum wave_order
{
  WAVE_ORDER_GREEDY,     /**< Pools with the most VMs left per budget first,
                            then racks already begun.  */
  WAVE_ORDER_RACK_BATCH, /**< One batch of a rack at a time per pool.  */
  WAVE_ORDER_ONE_BY_ONE  /**< One VM at a time.  */
};

/** Returns the index of the VM of W to drain next, or -1 if the budgets or the
    order allow none now.  */
int32_t wave_next_vm (const struct control *c, const struct wave *w,
                      enum wave_order order);

#endif
