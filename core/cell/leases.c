/* leases.c -- leases of runners, which are kept on the runners' own clocks.

   A later owner that cannot reach a runner waits for LEASE_LIMIT_MS.  So no
   run goes on under a lease that may last for longer.  */

#include "core/cell/fleet.h"

/** A runner whose clock was read longer ago gets a poll before its next start:
    the lease of one whose clock is not slow would be too short.  */
#define CLOCK_AGE_LIMIT_MS 60000
/** The same while this entry has not been confirmed as the owner for
    CONFIRMED_LIMIT_MS: it may be cut off, and not hear that the runner was
    restarted.  A restart takes longer.  */
#define UNCONFIRMED_CLOCK_AGE_LIMIT_MS 300
#define CONFIRMED_LIMIT_MS 1000

/* Returns the least time that R's clock, which was read, may show now.  */
static uint64_t
least_clock_ms (const struct cell *c, const struct runner *r)
{
  uint64_t passed_ms = (c->now_us - r->clock_read_at_us) / US_PER_MS;

  return r->clock_ms + passed_ms * (1000 - CLOCK_SLOW_MILLI) / 1000;
}

/* With any later time than the least, the lease of a runner whose clock is
   slow would last longer, the more so the longer ago that clock was read.  A
   new owner waits for LEASE_LIMIT_MS only.  */
uint64_t
leases_until_ms (const struct cell *c, const struct runner *r)
{
  uint64_t lease_ms = MIN (LEASE_MS, c->settings.times.lease_max_ms);

  return r->clock_read_at_us == 0 ? 0 : least_clock_ms (c, r) + lease_ms;
}

bool
leases_clock_is_old (const struct cell *c, const struct runner *r)
{
  bool confirmed = c->now_us <= c->ownership.confirmed_at_us
                                    + CONFIRMED_LIMIT_MS * US_PER_MS;
  uint64_t limit_ms
      = confirmed ? CLOCK_AGE_LIMIT_MS : UNCONFIRMED_CLOCK_AGE_LIMIT_MS;

  return c->now_us > r->clock_read_at_us + limit_ms * US_PER_MS;
}

uint32_t
leases_excess_ms (const struct cell *c, const struct runner *r)
{
  uint64_t usual_us = c->now_us + LEASE_LIMIT_MS * US_PER_MS;

  return r->long_lease_until_us > usual_us
             ? (uint32_t)((r->long_lease_until_us - usual_us) / US_PER_MS + 1)
             : 0;
}

bool
leases_expired (const struct cell *c, const struct runner *r)
{
  if (c->now_us < r->long_lease_until_us)
    return false;
  /* Only starts that were meant for the boot before may be there; their leases
     are no longer than a runner grants.  */
  if (r->clock_read_at_us == 0)
    return r->boot_read_at_us != 0
           && (c->now_us - r->boot_read_at_us) / US_PER_MS
                      * (1000 - CLOCK_SLOW_MILLI) / 1000
                  > c->settings.times.lease_max_ms + CLOCK_GRAIN_MS;
  return least_clock_ms (c, r) > r->lease_until_ms + CLOCK_GRAIN_MS;
}

/* A silent runner's lease is not renewed: if the runner received orders while
   its answers are lost, the lease would never expire.  Nor is that of a runner
   whose boot is doubted.  */
void
leases_add (const struct cell *c, struct runner *r, struct runner_order *o,
            struct pending_order *x)
{
  if (r->miss_count > 0 || r->boot_doubted_at_us != 0)
    return;
  o->lease_until_ms = x->lease_until_ms = leases_until_ms (c, r);
  if (o->lease_until_ms == 0)
    return;
  o->booted_at_ms = r->report.booted_at_ms;
  r->lease_until_ms = MAX (r->lease_until_ms, o->lease_until_ms);
}

/* The boot takes the lease on its own clock, and for no longer than a runner
   grants.  A lease never shortens.  While it exceeds an ordinary one, the runs
   on R are stopped and none is started: a new owner that cannot reach R waits
   for an ordinary lease.  */
void
leases_on_other_boot (struct cell *c, struct runner *r,
                      const struct pending_order *o,
                      const struct runner_result *x)
{
  uint64_t lease_ms = c->settings.times.lease_max_ms;

  /* A runner takes the lease before it looks at the task.  */
  if (o->lease_until_ms <= x->clock_ms
      || (x->outcome != ORDER_DONE && x->outcome != ORDER_STALE
          && x->outcome != ORDER_NO_ROOM))
    return;
  if (x->clock_ms != 0)
    lease_ms = MIN (lease_ms, o->lease_until_ms - x->clock_ms);
  if (lease_ms <= LEASE_MS)
    return;
  r->long_lease_until_us = MAX (
      r->long_lease_until_us,
      c->now_us
          + (lease_ms * 1000 / (1000 - CLOCK_SLOW_MILLI) + CLOCK_GRAIN_MS)
                * US_PER_MS);
  c->metrics.counters[CELL_COUNT_LONG_LEASES]++;
  cell_log (c, "long_lease_taken", 0,
            "\"runner\":\"%s\",\"runs\":%u,\"lease_ms\":%llu", r->report.id,
            r->tasks->len, (unsigned long long)lease_ms);
}

void
leases_stop_long (struct cell *c, struct runner *r)
{
  guint i;

  for (i = 0; i < r->tasks->len; i++)
    {
      struct task *t = g_ptr_array_index (r->tasks, i);

      if (t->phase != TASK_RUNNING
          || (t->step->spec->long_running && !serving_may_stop (c, t)))
        continue;
      cell_log (c, "task_evicted", task_job (t)->id,
                "\"task\":\"%u.%u.%u\",\"runner\":\"%s\","
                "\"long_lease\":true",
                t->step->occurrence->number, t->step->number, t->index,
                r->report.id);
      task_stop (c, t);
    }
}
