/* cell.h -- decisions of one entry on jobs, runners and VMs.

   cell_step has no effect but on the cell and the list of actions, and depends
   on nothing but the cell and the event.  Every entry takes calls (ingress.c)
   and knows the entries linked to it (peers.c).  The entry that the store's
   group names owns the cell (ownership.c); only it decides on jobs (jobs.c),
   their records (records.c) and tasks (tasks.c), runners (registrations.c,
   runners.c), the entries that send orders to them (delegates.c), placement
   (dispatch.c, place.c, places.c), serving tasks and fillers (serving.c), VMs
   (fleet.c, vm_orders.c), maintenance waves (waves.c) and pool sizes
   (demand.c, surges.c, pools.c).  */

#ifndef FTK_CORE_CELL_CELL_H
#define FTK_CORE_CELL_CELL_H

#include "port/cell_action.h"

struct cell;

/** Settings of an entry.  */
struct cell_settings
{
  char member[NAME_BYTES]; /**< Its name in the store's group.  */
  char relay_address[ADDRESS_BYTES];
  uint32_t cpu_milli; /**< Its CPU share, in thousandths of a core.  */
  struct cell_times times;
  uint32_t vm_order_rate_milli; /**< VM orders that the cloud takes in a
                                   second, in thousandths.  */
  uint32_t record_limit_bytes;  /**< Largest record that the store takes; 0:
                                   DEFAULT_RECORD_LIMIT_BYTES.  */
  uint32_t append_limit_bytes;  /**< Most bytes of the records of an append; 0:
                                   DEFAULT_APPEND_LIMIT_BYTES.  */
  bool share_by_weight; /**< In a saturated pool new jobs start by the shares
                           of their tenants.  */
  bool learn_interference; /**< Images that slow each other down are learned
                              and placed apart.  */
};

/** Limits of the store where the settings name none: those of the first
    sites.  */
#define DEFAULT_RECORD_LIMIT_BYTES 262144
#define DEFAULT_APPEND_LIMIT_BYTES 2097152

/** Returns a cell that owns nothing yet, as a child of MEM; free it with
    talloc_free.  */
struct cell *cell_new (TALLOC_CTX *mem, const struct cell_settings *s);

/** Applies E and adds the resulting actions to OUT.  The caller frees E; the
    cell takes over those of its children that it keeps.  */
void cell_step (struct cell *c, struct cell_event *e,
                struct cell_actions *out);

/** Returns the time until the next CELL_TICK is due, in milliseconds.  */
uint32_t cell_tick_ms (const struct cell *c);

/** Counters of the metrics page; cell_counter_name gives their names.  */
enum cell_counter
{
  CELL_COUNT_ACCEPTED,
  CELL_COUNT_REFUSED,
  CELL_COUNT_STATES_TOLD, /**< Clients' calls for the state of a job that this
                             entry has answered with it.  */
  CELL_COUNT_STATES_UNTOLD,      /**< Those that it has answered otherwise.  */
  CELL_COUNT_STATES_UNCONFIRMED, /**< Those of CELL_COUNT_STATES_TOLD whose
                                    keys this entry could not check.  */
  CELL_COUNT_COMPLETED,
  CELL_COUNT_FAILED,
  CELL_COUNT_CANCELLED,
  CELL_COUNT_STARTS,
  CELL_COUNT_START_REFUSED,
  CELL_COUNT_ORDERS_UNANSWERED,
  CELL_COUNT_ORDERS_DELEGATED,
  CELL_COUNT_ENDS,
  CELL_COUNT_LOST_RUNS,
  CELL_COUNT_SLOW_RUNNERS,
  CELL_COUNT_INTERFERENCE_PLACEMENTS, /**< Starts on another runner than
                                         without learned interference.  */
  CELL_COUNT_LEASE_RENEWALS,
  CELL_COUNT_LONG_LEASES, /**< Taken by the clock of another boot.  */
  CELL_COUNT_APPENDS,
  CELL_COUNT_CONFIRMATION_APPENDS, /**< Those sent only to show that this entry
                                      is the owner.  */
  CELL_COUNT_TAKEOVERS,
  CELL_COUNT_OWNERSHIPS_LOST,
  CELL_COUNT_MOVES,
  CELL_COUNT_MAINTENANCES,
  CELL_COUNTER_COUNT
};

/** Buckets of a latency histogram.  Bucket I counts latencies below 2^I ms,
    the last one all that are longer.  */
#define CELL_BUCKET_COUNT 16

/** Metrics of an entry.  */
struct cell_metrics
{
  uint64_t counters[CELL_COUNTER_COUNT];
  uint64_t reply_ms[CELL_BUCKET_COUNT];  /**< From a call to its reply.  */
  uint64_t finish_ms[CELL_BUCKET_COUNT]; /**< From a job's arrival at
                                            the owner to its end.  */
  /** For how long a task that could start waited for an append to show that
      this entry was the owner when its last run was over.  */
  uint64_t confirmation_ms[CELL_BUCKET_COUNT];
  /** Error of the predicted end of accepted jobs that completed: how much
      later, or earlier, they ended.  */
  uint64_t end_after_predicted_ms[CELL_BUCKET_COUNT];
  uint64_t end_before_predicted_ms[CELL_BUCKET_COUNT];
  uint32_t owner;       /**< 1 if it owns the cell.  */
  uint32_t jobs_active; /**< Jobs that are not final.  */
  uint32_t runners_listed;
  uint32_t zones_evacuated; /**< Also those without runners.  */
};

/** Returns the name of K on the metrics page.  */
const char *cell_counter_name (enum cell_counter k);

/** Copies the metrics of C to M.  */
void cell_metrics_get (const struct cell *c, struct cell_metrics *m);

#endif
