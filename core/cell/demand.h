/* demand.h -- demand on the pools, by which pools.c sizes them.  */

#ifndef FTK_CORE_CELL_DEMAND_H
#define FTK_CORE_CELL_DEMAND_H

#include "core/cell/state.h"
#include "core/load/arrivals.h"
#include "core/load/forecast.h"
#include "core/load/peaks.h"

/** Most pools whose demand is followed; the others keep their VMs.  */
#define POOL_LIMIT_COUNT 64
/** Tasks can fill this part of a pool's cores.  */
#define FILL_PERCENT 90
/** A VM has to be ordered this long before it is needed: as long as a move and
    the start of its runner take.  */
#define PREPARE_MS 2600

/** Demand on a pool.  Counts of cores are in thousandths of a core.  */
struct pool_demand
{
  char name[NAME_BYTES];
  uint32_t initial_vm_count; /**< VMs when first listed, also those down.  */
  uint64_t mean_need_milli;  /**< Mean of what short tasks need, in thousandths
                                of a VM.  */
  uint64_t surge_began_at_us; /**< When its last surge began; 0: no surge.  */
  uint64_t previous_surge_at_us; /**< When the surge before began; 0: none.  */
  uint64_t high_at_us;           /**< When need was last that of a surge.  */
  uint32_t peak_vm_count;        /**< Most VMs that the last surge needed.  */
  uint32_t expected_vm_count;    /**< VMs that its last surge was expected to
                                    need when it began; 0: not known.  */
  bool expecting;           /**< A surge was expected in the last update.  */
  uint64_t full_at_us;      /**< When it last needed all its VMs.  */
  uint64_t busy_at_us;      /**< When it last had to keep all its VMs.  */
  struct arrivals arrivals; /**< Short jobs that arrived lately.  */
  uint64_t next_return_us;  /**< When the next caller that is refused may come
                               back.  */
  uint64_t vm_wanted_until_us; /**< Until then one more VM is needed, so that
                                  another can be emptied.  */
  bool spare;                  /**< It is the spare pool.  */
  /* Results of the last demand_update.  */
  uint32_t vm_count;     /**< VMs in it or moving to it, less those down and
                            those out of use for maintenance.  */
  uint32_t listed_count; /**< VMs in it or moving to it, also those down.  */
  uint32_t need_count;   /**< VMs that it needs.  */
  uint32_t keep_count;   /**< VMs that it keeps even if they idle.  */
  uint32_t short_task_vm_count; /**< VMs that short tasks alone need.  */
  uint64_t long_running_milli;  /**< Cores of long-running tasks.  */
  uint64_t short_task_milli;    /**< Cores of running short tasks that are not
                                   late or over their tenant's rate.  */
  uint64_t owed; /**< Core time, in thousandths of a core times us, of accepted
                    short jobs that still have value.  */
  uint64_t owed_in_time;  /**< That of jobs that can meet their objective.  */
  uint64_t waiting_milli; /**< Cores to finish waiting short tasks in time.  */
  struct forecast forecast;   /**< Cores that it offers to short tasks.  */
  uint64_t vm_cpu_milli;      /**< Cores of its largest VM.  */
  uint64_t vm_memory_mib;     /**< Memory of its largest VM.  */
  uint64_t memory_mib;        /**< Memory of the tasks that long_running_milli,
                                 short_task_milli and waiting_milli count.  */
  uint32_t spread_vm_count;   /**< Fewest VMs that hold the tasks of any one
                                 long-running step within its limit of tasks
                                 on a runner.  */
  uint32_t arriving_count;    /**< VMs of vm_count that are on their way.  */
  uint32_t unusable_count;    /**< VMs of vm_count whose runners are in
                                 quarantine or drain.  */
  uint32_t unplaced_vm_count; /**< VMs that waiting long-running tasks
                                 without a place would fill.  */
  uint64_t unplaced_milli;    /**< Cores of those tasks.  */
  uint64_t unplaced_mib;      /**< Memory of those tasks.  */
  /* Its runners.  One may be counted in several of these, or in none.  */
  uint32_t usable_count;      /**< Runners that take new tasks.  */
  uint32_t emptying_count;    /**< Runners whose VM is being emptied, waits
                                 for its order, or is away.  */
  uint32_t quarantined_count; /**< Runners in quarantine.  */
  uint32_t silent_count;      /**< Runners that did not answer the last poll,
                                 or are not registered.  */
  uint32_t serving_waiting_count; /**< Long-running tasks, of steps that can
                                     start, that occupy no runner.  */
};

/** Demand on all pools.  */
struct fleet_demand
{
  bool dirty;                    /**< The history has to be appended.  */
  uint64_t updated_at_us;        /**< When demand_update last ran.  */
  uint64_t logged_at_us;         /**< When the pools were last logged.  */
  uint64_t newest_arrival_at_us; /**< When the newest job arrived.  */
  /** From the order of a move until the VM's runner takes tasks.  */
  struct forecast_delay arrival_delay;
  /** From the beginning of a VM's emptying to the order of its move.  */
  struct forecast_delay emptying_delay;
  uint32_t pool_count;
  struct pool_demand pools[POOL_LIMIT_COUNT];
};

/** Computes how many VMs each pool needs and keeps.  */
void demand_update (struct cell *c);
/** Returns the cores, in thousandths, that the newest arrivals for M keep
    busy.  */
uint64_t demand_arriving_milli (const struct cell *c, struct pool_demand *m);

/** Returns the number of VMs of M that offer MILLI thousandths of a core and
   MIB of memory.  */
uint32_t demand_vm_count_for (const struct pool_demand *m, uint64_t milli,
                              uint64_t mib);

/** Returns the demand on pool NAME, or NULL if it is not followed.  */
struct pool_demand *demand_find (struct cell *c, const char *name);

struct vm;

/* supply.c */
/** Handles that the order of V's move is sent for the first time.  */
void supply_on_move_ordered (struct cell *c, struct vm *v);
/** Adds V, which is capacity of M, to M's forecast; ARRIVING: it is on its way
    to M.  Learns from V how long moves take.  */
void supply_add_vm (struct cell *c, struct pool_demand *m, struct vm *v,
                    bool arriving);
/** Adds the VMs that other pools do not need to M's forecast.  */
void supply_add_other_pools (const struct cell *c, struct pool_demand *m);

/* surges.c */
/** Returns the time from one surge of a pool to its next, or 0 if it is not
    known.  */
uint64_t surges_cycle_us (const struct fleet_demand *p);
/** Returns the VMs that a surge of M needs if it is like those of all pools so
    far; 0: there was none.  */
uint32_t surges_likely_peak (const struct cell *c,
                             const struct pool_demand *m);
/** Updates the mean need of M, and detects and records its surges.  */
void surges_detect (struct cell *c, struct pool_demand *m);
/** Raises the need of M if all other pools have had their first surge: at
   equal intervals, M's is next.  */
void surges_expect_first (const struct cell *c, struct pool_demand *m);
/** Raises the need of M around its next surge, CYCLE_US after the last one. */
void surges_expect (const struct cell *c, struct pool_demand *m,
                    uint64_t cycle_us);

#endif
