/* hedges.c -- hedged polls: a second poll of a runner that leaves an order
   without an answer.

   A runner answers a start within milliseconds, and a poll when the next run
   ends.  When an answer is lost, only the order's timeout would tell, which is
   longer than most tasks run: until then the runner seems full, and the task
   whose start was lost waits.  So a runner is polled again, on a new
   connection, when a start has no answer for a while or when a poll has none
   although a run should have ended.

   The load this answers: orders lost at random, each with a small probability,
   while all runners are busy.  An entry that is late itself must not hedge,
   which would add to its load: the delay follows the latency of the answered
   starts, and the number of hedged polls without an answer is bounded.

   A hedged poll renews no lease and acknowledges no ends: such an order goes
   to one boot only, on a connection that may be dead as well.  */

#include "core/cell/state.h"

/** A start is overdue after this, and so is the end of a run after it was
    expected.  */
#define HEDGE_DELAY_MS 250
/** It is also overdue only after this many times the mean latency.  */
#define HEDGE_LATENCY_FACTOR 8
/** The newest answer has a weight of one in this many in the mean latency.  */
#define LATENCY_MEAN_PART 32
/** A poll that is to show the effect of a stop is sent this long after its
    acknowledgement, so that stops that come close together share it.  */
#define STOP_GAP_MS 20
/** Time between two hedged polls of a runner.  */
#define HEDGE_INTERVAL_MS 250
/** As many hedged polls may be without an answer as this entry handles in this
    time, but no fewer than the least count.  */
#define HEDGE_WINDOW_MS 60
#define HEDGE_MIN_COUNT 8

static uint64_t
delay_us (const struct cell *c)
{
  return MAX (HEDGE_DELAY_MS * US_PER_MS,
              HEDGE_LATENCY_FACTOR * c->start_latency_us);
}

void
hedges_note_start_latency (struct cell *c, uint64_t latency_us)
{
  c->start_latency_us += latency_us / LATENCY_MEAN_PART;
  c->start_latency_us -= c->start_latency_us / LATENCY_MEAN_PART;
}

bool
hedges_start_is_overdue (const struct cell *c, const struct task *t,
                         uint64_t at_us)
{
  return t->phase == TASK_STARTING && at_us >= t->ordered_at_us + delay_us (c);
}

/* Returns true if a run on R should have ended so long ago that the poll in
   flight should have been answered.  */
static bool
end_is_overdue (struct cell *c, const struct runner *r)
{
  uint64_t due_us = c->now_us - delay_us (c);
  guint i;

  if (r->poll_sent_at_us > due_us)
    return false;
  for (i = 0; i < r->tasks->len; i++)
    {
      const struct task *t = g_ptr_array_index (r->tasks, i);

      if (t->phase == TASK_RUNNING && !t->step->spec->long_running
          && progress_expected_end_us (c, t) <= due_us)
        return true;
    }
  return false;
}

static bool
has_overdue_start (const struct cell *c, const struct runner *r)
{
  guint i;

  for (i = 0; i < r->tasks->len; i++)
    if (hedges_start_is_overdue (c, g_ptr_array_index (r->tasks, i),
                                 c->now_us))
      return true;
  return false;
}

/* Returns true if the stop of a start that may have been lost was acknowledged
   on R and no hedged poll was sent since.  The run may never have been there;
   then no end answers the poll in flight.  */
static bool
has_unlisted_stop (const struct cell *c, const struct runner *r)
{
  guint i;

  for (i = 0; i < r->tasks->len; i++)
    {
      const struct task *t = g_ptr_array_index (r->tasks, i);

      if (t->phase == TASK_STOPPING && !t->start_confirmed
          && t->stop_acked_at_us > 0 && r->hedged_at_us <= t->stop_acked_at_us
          && c->now_us >= t->stop_acked_at_us + STOP_GAP_MS * US_PER_MS)
        return true;
    }
  return false;
}

static bool
is_admitted (const struct cell *c)
{
  uint64_t limit = HEDGE_WINDOW_MS * US_PER_MS * c->settings.cpu_milli / 1000
                   / ORDER_CPU_US;

  return c->open_hedge_count < MAX (limit, HEDGE_MIN_COUNT);
}

bool
hedges_need_answer (const struct cell *c, const struct runner *r)
{
  return has_unlisted_stop (c, r)
         || (c->now_us >= r->hedged_at_us + HEDGE_INTERVAL_MS * US_PER_MS
             && has_overdue_start (c, r));
}

void
hedges_tick_runner (struct cell *c, struct runner *r)
{
  if (r->tasks->len == 0 || !r->reached || r->poll_id == 0 || r->miss_count > 0
      || !is_admitted (c))
    return;
  if (hedges_need_answer (c, r)
      || (c->now_us >= r->hedged_at_us + HEDGE_INTERVAL_MS * US_PER_MS
          && end_is_overdue (c, r)))
    runners_send_hedge (c, r);
}
