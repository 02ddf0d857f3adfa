/* stop.c -- what a planned stop of this entry still allows.

   Calls are answered and the cell is released at a time that follows from the
   grace time (port/stop_times.h), whatever the store and other entries do.
   Until then the owner stays the owner as long as no entry can follow it:
   none that is linked, reaches the store and is not stopping.  */

#include "core/cell/fleet.h"
#include "port/stop_times.h"

/** A stopping entry keeps serving for this long, in which the load balancer
    sees two readiness checks fail; it checks once a second.  */
#define LINGER_MS 2300
/** An owner that is stopped hands the cell over no sooner than this: by then
    the heartbeats of entries that are stopped at the same time have told so.
 */
#define STOP_NOTICE_MS 400
/** A stopping entry that has claimed the cell polls all runners before it
    hands it over, for up to this time.  If owners in a row did not, the leases
    of runs would expire.  */
#define SETTLE_MS 1000

void
stop_begin (struct cell *c)
{
  if (c->stopping)
    return;
  c->stopping = true;
  c->stop_began_at_us = c->now_us;
  cell_log (c, "stop_begun", 0, "\"owner\":%s",
            cell_is_owner (c) ? "true" : "false");
}

/* Returns true if a planned stop began AFTER_US ago or longer.  */
static bool
is_past (const struct cell *c, uint64_t after_us)
{
  return c->stopping && c->now_us >= c->stop_began_at_us + after_us;
}

bool
stop_has_time (const struct cell *c, uint64_t span_us)
{
  uint64_t limit_us = stop_answer_us (c->settings.times.stop_grace_ms);

  return span_us < limit_us && !is_past (c, limit_us - span_us);
}

bool
stop_was_told (const struct cell *c, uint64_t at_us)
{
  return c->stopping
         && c->stop_began_at_us + STOP_NOTICE_MS * US_PER_MS < at_us;
}

bool
stop_must_answer (const struct cell *c)
{
  return c->stopping && !stop_has_time (c, 0);
}

/* Returns true if a registered runner has not been polled by this owner, or
   has runs whose lease it has not renewed.  */
static bool
has_unrenewed (const struct cell *c)
{
  GHashTableIter it;
  gpointer value;

  if (!c->runners_known || fleet_has_unasked (c, EVERY_POOL))
    return true;
  g_hash_table_iter_init (&it, c->runners);
  while (g_hash_table_iter_next (&it, NULL, &value))
    {
      const struct runner *r = value;

      if (r->reached && r->tasks->len > 0 && r->lease_until_ms == 0)
        return true;
    }
  return false;
}

/* Returns true if this entry has not claimed the cell yet, or has renewed the
   leases of all runs that it can reach, or had the time to.  */
static bool
is_settled (const struct cell *c)
{
  const struct ownership *o = &c->ownership;

  return o->phase == OWNERSHIP_JOINING || o->phase == OWNERSHIP_CLAIMING
         || c->now_us >= o->claimed_at_us + SETTLE_MS * US_PER_MS
         || (o->phase == OWNERSHIP_OWNER && !has_unrenewed (c));
}

bool
stop_must_release (const struct cell *c)
{
  return stop_must_answer (c)
         || (is_past (c, STOP_NOTICE_MS * US_PER_MS)
             && peers_best_other_cpu_milli (c) > 0 && is_settled (c));
}

void
stop_tick (struct cell *c)
{
  /* The load balancer sends no more connections, and the store has taken the
     release of the cell.  */
  bool idle = c->ownership.phase == OWNERSHIP_NONE
              && !c->ownership.release_sent
              && is_past (c, LINGER_MS * US_PER_MS);

  if (c->exited
      || (!idle
          && !is_past (c, stop_close_us (c->settings.times.stop_grace_ms))))
    return;
  c->exited = true;
  cell_log (c, "stop_done", 0, "\"open_calls\":%u",
            g_hash_table_size (c->forwarded_calls));
  cell_emit (c, CELL_DO_EXIT);
}
