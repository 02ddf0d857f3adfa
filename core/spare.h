/* spare.h -- when to lend VMs of the spare pool, and when to take them back.

   Pure: demand and time come in, one move goes out.  A move costs something
   (the VM changes its caches, the fleet its layout), so it is made when what
   has been lost by not making it has reached that cost: unmet demand in slots
   times time for lending, idle slots times time for taking back.  The rule
   is at most twice as dear as knowing the demand beforehand, and its two
   thresholds are the hysteresis.  */

#ifndef FTK_CORE_SPARE_H
#define FTK_CORE_SPARE_H

#include <stdbool.h>
#include <stdint.h>

/** Cost of lending a first VM, in slots times milliseconds of unmet demand;
   each one lent already adds as much.  */
#define SPARE_LEND_COST 2000
/** Cost of taking one back, in slots times milliseconds of idleness.  */
#define SPARE_RECLAIM_COST 160000

/** Cost of shifting one from a pool that does not use it now to another, in
    slots times milliseconds of unmet demand.  */
#define SPARE_SHIFT_COST 1000000

/** Ways to plan; the product uses SPARE_BY_COST, the others are the baselines
    of the bench.  */
enum spare_policy
{
  SPARE_BY_COST,
  SPARE_NONE, /**< Nothing is lent.  */
  SPARE_EAGER /**< Moves whenever demand and capacity differ.  */
};

/** One pool that may be lent VMs.  */
struct borrowing_pool
{
  uint32_t slot_count;     /**< Slots of its VMs that take work.  */
  uint32_t vm_slot_count;  /**< Slots of one VM lent; 0: it has none.  */
  uint32_t borrowed_count; /**< VMs lent to it.  */
  uint32_t demand_count;   /**< Requests waiting and running.  */
  uint64_t unmet_slot_ms;  /**< Slots times ms, since a move or a lull.  */
  uint64_t idle_slot_ms;   /**< Idle slots times ms of one VM lent.  */
};

/** What to do now (tag of a move).  */
enum spare_move_kind
{
  SPARE_STAY,
  SPARE_LEND,   /**< Move a VM from the spare pool to the pool.  */
  SPARE_RECLAIM /**< Move a lent VM from the pool to the spare pool.  */
};

struct spare_move
{
  enum spare_move_kind kind;
  uint32_t pool_index; /**< Into the pools given.  */
};

/** Takes ELAPSED_MS more of demand into account and returns the move that is
    due, with FREE_COUNT VMs in the spare pool.  The caller tells by
    spare_moved that it was made.  */
struct spare_move spare_next_move (struct borrowing_pool *pools,
                                   uint32_t pool_count, uint32_t free_count,
                                   uint32_t elapsed_ms,
                                   enum spare_policy policy);

/** Starts counting anew for P, to or from which a VM was moved.  */
void spare_reset_counters (struct borrowing_pool *p);

#endif
