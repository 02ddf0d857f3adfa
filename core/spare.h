/* spare.h -- decides when to lend VMs of the spare pool and reclaim them.

   A move has a cost (cold caches on the VM, another layout of the fleet).  It
   is made once the loss from not making it has reached that cost: for
   lending, unmet demand in slots times time; for reclaiming, idle slots times
   time.  As in ski rental, this costs at most twice what knowing the demand
   beforehand would, and the two thresholds give hysteresis.  The functions
   are pure.  */

#ifndef FTK_CORE_SPARE_H
#define FTK_CORE_SPARE_H

#include <stdbool.h>
#include <stdint.h>

/** Cost of lending a pool its first VM, in slots of unmet demand times
    milliseconds.  Each VM that it has borrowed already adds as much.  */
#define SPARE_LEND_COST 2000
/** Cost of reclaiming a VM, in idle slots times milliseconds.  */
#define SPARE_RECLAIM_COST 160000

/** Cost of reclaiming a VM that its pool does not need now, for another pool
    that is short of slots; in slots of the other pool's unmet demand times
    milliseconds.  */
#define SPARE_SHIFT_COST 1000000

/** Rule for moves.  The product uses SPARE_BY_COST; the others are baselines
    of the bench.  */
enum spare_policy
{
  SPARE_BY_COST,
  SPARE_NONE, /**< Never moves a VM.  */
  SPARE_EAGER /**< Moves as soon as demand and capacity differ.  */
};

/** A pool that may borrow VMs.  */
struct borrowing_pool
{
  uint32_t slot_count;     /**< Slots of its VMs that take new work.  */
  uint32_t vm_slot_count;  /**< Slots per borrowed VM; 0: none borrowed.  */
  uint32_t borrowed_count; /**< VMs that it has borrowed.  */
  uint32_t demand_count;   /**< Requests waiting or running.  */
  /** Unmet demand, in slots times ms, since the last move or met demand.  */
  uint64_t unmet_slot_ms;
  /** Idle time of one borrowed VM, in slots times ms; halved at each step in
      which the VM is needed.  */
  uint64_t idle_slot_ms;
};

/** Kind of a move.  */
enum spare_move_kind
{
  SPARE_STAY,   /**< No move is due.  */
  SPARE_LEND,   /**< Move a VM from the spare pool to the pool.  */
  SPARE_RECLAIM /**< Move a lent VM from the pool to the spare pool.  */
};

struct spare_move
{
  enum spare_move_kind kind;
  uint32_t pool_index; /**< Index into the pools passed in.  */
};

/** Adds ELAPSED_MS of the current demand to the counters of POOLS and returns
    the move that is due, with FREE_COUNT VMs in the spare pool.  The caller
    calls spare_reset_counters once the move is made.  */
struct spare_move spare_next_move (struct borrowing_pool *pools,
                                   uint32_t pool_count, uint32_t free_count,
                                   uint32_t elapsed_ms,
                                   enum spare_policy policy);

/** Resets the counters of P after a VM was moved to or from it.  */
void spare_reset_counters (struct borrowing_pool *p);

#endif
