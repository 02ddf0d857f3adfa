/* cell.h -- the decisions of one entry on jobs, runners and VMs.

   cell_step is a pure function of the state and the event.  Every entry takes
   calls (gate.c) and knows the entries linked to it (peers.c); the one that
   the store's group names owns the cell (tenure.c) and has, besides, the jobs
   and their records (jobs.c, records.c), their tasks (tasks.c), the runners
   (runners.c), placement (dispatch.c, place.c), serving tasks and fillers
   (serving.c), the VMs (fleet.c), maintenance (upkeep.c) and pool sizes
   (demand.c, pools.c).  */

#ifndef FTK_CORE_CELL_CELL_H
#define FTK_CORE_CELL_CELL_H

#include "port/cell_action.h"

struct cell;

/** What an entry knows of itself and its platform, from its settings.  */
struct cell_settings
{
  char member[NAME_BYTES];
  char relay_address[ADDRESS_BYTES];
  uint32_t cpu_milli; /**< Processor share, in thousandths of a core.  */
  struct cell_times times;
};

/** Returns a cell as a child of MEM.  */
struct cell *cell_new (TALLOC_CTX *mem, const struct cell_settings *s);

/** Applies E and adds what is to be done to OUT.  E stays the caller's; the
    cell takes its parts over where it keeps them.  */
void cell_step (struct cell *c, struct cell_event *e,
                struct cell_actions *out);

/** Returns how long the cell can sleep before its next tick.  */
uint32_t cell_tick_ms (const struct cell *c);

/** Counters for the metrics page.  */
enum cell_counter
{
  CELL_COUNT_ACCEPTED,
  CELL_COUNT_REFUSED,
  CELL_COUNT_COMPLETED,
  CELL_COUNT_FAILED,
  CELL_COUNT_CANCELLED,
  CELL_COUNT_STARTS,
  CELL_COUNT_START_REFUSED,
  CELL_COUNT_ORDERS_UNANSWERED,
  CELL_COUNT_ENDS,
  CELL_COUNT_LOST_RUNS,
  CELL_COUNT_LEASE_RENEWALS,
  CELL_COUNT_APPENDS,
  CELL_COUNT_TAKEOVERS,
  CELL_COUNT_OWNERSHIPS_LOST,
  CELL_COUNT_MOVES,
  CELL_COUNT_MAINTENANCES,
  CELL_COUNTER_COUNT
};

/** Buckets of a latency histogram: powers of two of a millisecond.  */
#define CELL_BUCKET_COUNT 16

struct cell_metrics
{
  uint64_t counters[CELL_COUNTER_COUNT];
  uint64_t reply_ms[CELL_BUCKET_COUNT];  /**< From call to reply.  */
  uint64_t finish_ms[CELL_BUCKET_COUNT]; /**< From acceptance to the end.  */
  uint32_t owner;
  uint32_t jobs_active;
  uint32_t runners_listed;
};

const char *cell_counter_name (enum cell_counter k);

/** Copies the metrics of C.  */
void cell_metrics_get (const struct cell *c, struct cell_metrics *m);

#endif
