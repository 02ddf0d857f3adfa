/* demand.h -- demand on the pools, by which pools.c sizes them.  */

#ifndef FTK_CORE_CELL_DEMAND_H
#define FTK_CORE_CELL_DEMAND_H

#include "core/cell/state.h"

/** Most pools whose demand is followed; the others keep their VMs.  */
#define POOL_LIMIT_COUNT 64
/** Buckets of recent arrivals, each of a tenth of a second.  */
#define BUCKET_COUNT 8

/** Demand on a pool.  Cores (milli) are in thousandths of a core.  */
struct pool_demand
{
  char name[NAME_BYTES];
  uint32_t initial_vm_count;  /**< VMs when first listed, also those down.  */
  uint64_t mean_need_milli;   /**< VMs (thousandths) for short tasks.  */
  uint64_t surge_began_at_us; /**< Last surge began; 0: none was seen.  */
  uint64_t previous_surge_at_us; /**< The surge before began; 0: none.  */
  uint64_t high_at_us;           /**< Need was last as high as in a surge.  */
  uint32_t peak_vm_count;        /**< Most VMs that the last surge filled.  */
  uint64_t full_at_us;           /**< Need was last as many VMs as it has.  */
  uint64_t busy_at_us;           /**< It last had no VM to switch off.  */
  uint64_t arrived_us[BUCKET_COUNT];    /**< Core time of arrived jobs.  */
  uint32_t arrived_count[BUCKET_COUNT]; /**< Jobs that arrived.  */
  uint64_t newest_bucket;               /**< Number of the newest bucket.  */
  /* Results of the last demand_update.  */
  bool spare;            /**< It is the spare pool.  */
  uint32_t vm_count;     /**< VMs in it or moving to it, less those down.  */
  uint32_t listed_count; /**< The same with those that are down.  */
  uint32_t need_count;   /**< VMs that it needs.  */
  uint32_t keep_count;   /**< VMs that are not switched off.  */
  uint32_t short_task_vm_count; /**< VMs that short tasks alone need.  */
  uint64_t long_running_milli;  /**< Cores of long-running tasks.  */
  uint64_t short_task_milli;    /**< Cores of short tasks that run.  */
  uint64_t waiting_milli; /**< Cores to finish waiting short tasks in time.  */
  uint64_t vm_cpu_milli;  /**< Cores of its largest VM.  */
};

/** Demand on all pools.  */
struct fleet_demand
{
  bool dirty;                    /**< The history has to be appended.  */
  uint64_t updated_at_us;        /**< Last demand_update.  */
  uint64_t logged_at_us;         /**< The pools' states were last logged.  */
  uint64_t newest_arrival_at_us; /**< The newest job arrived.  */
  uint32_t pool_count;
  struct pool_demand pools[POOL_LIMIT_COUNT];
};

/** Computes what each pool needs and keeps.  */
void demand_update (struct cell *c);
/** Returns the cores, in thousandths, that the newest arrivals for M keep
    busy.  */
uint64_t demand_arriving_milli (const struct cell *c, struct pool_demand *m);

#endif
