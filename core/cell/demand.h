/* demand.h -- what the pools need, for pools.c that moves VMs by it.  */

#ifndef FTK_CORE_CELL_DEMAND_H
#define FTK_CORE_CELL_DEMAND_H

#include "core/cell/state.h"

/** Pools at most; the rest keep what they have.  */
#define POOL_LIMIT_COUNT 64
/** Tenths of a second that arrivals are remembered.  */
#define BUCKET_COUNT 8

/** What is learned of one pool, and the look at hand.  */
struct pool_demand
{
  char name[NAME_BYTES];
  uint32_t initial_vm_count;  /**< VMs at the first look, also those down.  */
  uint64_t mean_need_milli;   /**< Of its need, in thousandths of a VM.  */
  uint64_t surge_began_at_us; /**< Its last turn began; 0: none seen.  */
  uint64_t previous_surge_at_us; /**< The one before it began; 0: none.  */
  uint64_t high_at_us;           /**< Its need was that of a turn.  */
  uint32_t peak_vm_count; /**< VMs that the last turn filled at most.  */
  uint64_t full_at_us;    /**< It needed all that it has.  */
  uint64_t busy_at_us;    /**< It needed more than it has less the reserve. */
  uint64_t arrived_us[BUCKET_COUNT];    /**< Core time that jobs brought.  */
  uint32_t arrived_count[BUCKET_COUNT]; /**< Jobs, by tenths of a second.  */
  uint64_t newest_bucket;               /**< The newest one's number.  */
  /* Of the look at hand.  */
  bool spare;
  uint32_t vm_count;     /**< In it, or on the way to it.  */
  uint32_t listed_count; /**< The same and those that are down.  */
  uint32_t need_count;
  uint32_t keep_count; /**< Not switched off: need, reserve, turns to come. */
  uint32_t short_task_vm_count; /**< Of these by short tasks alone.  */
  uint64_t long_running_milli;
  uint64_t short_task_milli;
  uint64_t waiting_milli; /**< Cores to do what waits in CLEAR_MS.  */
  uint64_t vm_cpu_milli;  /**< Of its largest VM.  */
};

struct fleet_demand
{
  bool dirty; /**< Learned something that is to last.  */
  uint64_t updated_at_us;
  uint64_t logged_at_us;
  uint64_t newest_arrival_at_us; /**< The newest job came in.  */
  uint32_t pool_count;
  struct pool_demand pools[POOL_LIMIT_COUNT];
};

/** Looks at the demand on each pool: what it needs and keeps.  */
void demand_update (struct cell *c);
/** Returns the cores, in thousandths, that the newest arrivals for M keep
    busy.  */
uint64_t demand_arriving_milli (const struct cell *c, struct pool_demand *m);

#endif
