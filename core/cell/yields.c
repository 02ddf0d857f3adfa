/* yields.c -- an owner that is slow or weak gives the cell to another entry.

   An owner on a slow VM is told from a loaded one: under load a successor
   would be as late.  */

#include "core/cell/fleet.h"

/** Least time between two yields of an entry, between two yields of the cell
    by owners on slow VMs, and between a claim and a yield, so that the owner
    has settled first.  */
#define YIELD_INTERVAL_MS 10000
#define YIELD_MIN_OWNED_MS 1000
/** Length of the periods by which the latency of orders is judged, and the
    least number of orders in one that allows a judgement.  */
#define LATENCY_PERIOD_MS 700
#define LATENCY_MIN_COUNT 20
/** An owner whose orders took at least one in this many parts of its CPU share
    is not on a slow VM but loaded: a successor would inherit the load.  */
#define LOADED_PART 3
/** An owner that yielded for being slow counts as weak for this long: a VM
    stays slow for seconds.  */
#define SLOW_MS 8000

/* Returns true if ORDER_COUNT orders took a large part of this entry's CPU
   share for PERIOD_US.  */
static bool
is_loaded (const struct cell *c, uint32_t order_count, uint64_t period_us)
{
  return (uint64_t)order_count * ORDER_CPU_US * LOADED_PART
         >= period_us * c->settings.cpu_milli / 1000;
}

/* Decides at the end of a period whether its orders were answered late though
   they were few.  */
static void
update_order_latency (struct cell *c)
{
  struct order_latency *p = &c->order_latency;
  uint32_t overdue;

  if (c->now_us < p->began_at_us + LATENCY_PERIOD_MS * US_PER_MS)
    return;
  /* Orders without an answer tell of their runners as long as others are
     answered.  If none is, this entry may be too slow to read any.  */
  overdue = runners_overdue_count (c);
  p->slow = p->order_count + overdue >= LATENCY_MIN_COUNT
            && p->slow_count >= p->on_time_count
            && !is_loaded (c, p->order_count, c->now_us - p->began_at_us);
  p->began_at_us = c->now_us;
  p->order_count = p->slow_count = p->on_time_count = 0;
}

/* Returns true if an owner on a slow VM may release the cell: the last such
   release is long ago, or the wall clock was set back.  The claims hand its
   time on, so that the cell does not go from entry to entry.  */
static bool
may_yield_slow (const struct cell *c)
{
  uint64_t last_ms = c->ownership.slow_yield_at_ms;

  return c->wall_ms < last_ms || c->wall_ms >= last_ms + YIELD_INTERVAL_MS;
}

void
yields_check (struct cell *c)
{
  struct ownership *o = &c->ownership;
  uint32_t best_milli;
  bool slow;

  if (o->phase != OWNERSHIP_OWNER)
    return;
  best_milli = peers_best_cpu_milli (c);
  update_order_latency (c);
  slow = c->order_latency.slow && may_yield_slow (c)
         && peers_best_other_cpu_milli (c) >= c->settings.cpu_milli;
  /* A degraded owner does not yield, except a slow one: its joins are late
     because it is slow, and its eligible peers reach the store.  */
  o->yielding
      = (slow
         || (best_milli >= WEAK_FACTOR * c->settings.cpu_milli
             && !o->degraded_advertised))
        && c->now_us >= o->claimed_at_us + YIELD_MIN_OWNED_MS * US_PER_MS
        && c->now_us >= o->next_yield_at_us;
  if (!o->yielding || c->append.in_flight)
    return;
  o->yielding = false;
  o->next_yield_at_us = c->now_us + YIELD_INTERVAL_MS * US_PER_MS;
  o->best_cpu_milli = MAX (o->best_cpu_milli, best_milli);
  c->order_latency.slow = false;
  if (slow)
    {
      o->slow_until_us = c->now_us + SLOW_MS * US_PER_MS;
      o->slow_yield_at_ms = c->wall_ms;
    }
  cell_log (c, "ownership_yielded", 0,
            "\"why\":\"%s\",\"cpu_milli\":%u,\"best_cpu_milli\":%u,"
            "\"unanswered_starts\":%u",
            slow ? "slow" : "weak", c->settings.cpu_milli, best_milli,
            c->unanswered_start_count);
  ownership_release (c);
}
