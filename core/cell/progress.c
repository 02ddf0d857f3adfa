/* progress.c -- the progress of short tasks, as runners report it.

   A poll lists how much of each run is done.  From that the end of the run is
   expected, far more precisely than from the client's estimate or from other
   runs of the image: the run times of an image's tasks differ by a factor of
   four, those of a step's tasks by less than two.  */

#include "core/cell/state.h"

/** Less progress than this tells the end of a run only when the run should
    have made more.  */
#define PROGRESS_MIN_PERCENT 10
/** Fewer tasks of a step than this tell nothing of another one.  */
#define PEER_MIN_COUNT 2
/** Until a run's progress is known, its runner is polled after this part of
   the time that the run is expected to take.  */
#define WAIT_PERCENT 40
/** Least wait of a poll for that.  */
#define WAIT_MIN_MS 100

static bool
is_followed (const struct task *t)
{
  return !t->step->spec->long_running && !t->step->spec->filler;
}

uint64_t
progress_elapsed_us (const struct runner *r, uint64_t since_ms)
{
  /* Answers overtake each other, so the clock may seem to go back.  */
  return r->clock_ms > since_ms ? (r->clock_ms - since_ms) * US_PER_MS : 0;
}

void
progress_reset (struct task *t)
{
  t->run_total_us = 0;
  t->expected_end_us = 0;
  t->start_clock_ms = 0;
  t->first_report_clock_ms = 0;
}

void
progress_note_start (struct task *t, const struct runner *r)
{
  /* The part that is done at the start is known only of a run that begins.  */
  if (t->checkpoint[0] == '\0')
    t->start_clock_ms = r->clock_ms;
}

/* Returns the time that T still needs as its progress tells; UINT64_MAX: it
   does not tell.  Times are the runner's: a report may be read late.  */
static uint64_t
left_us (const struct task *t, const struct runner *r)
{
  uint64_t since_ms = t->start_clock_ms;
  uint32_t gained = t->work_percent;

  if (since_ms == 0)
    {
      since_ms = t->first_report_clock_ms;
      gained -= MIN (t->first_percent, gained);
      if (gained < PROGRESS_MIN_PERCENT)
        return UINT64_MAX;
    }
  return progress_elapsed_us (r, since_ms) * (100 - t->work_percent)
         / MAX (gained, 1);
}

/* Notes the first report of T's run, and when its progress last changed.  */
static void
note_report (struct task *t, const struct runner *r, uint32_t percent)
{
  if (t->first_report_clock_ms == 0)
    {
      t->first_percent = percent;
      t->first_report_clock_ms = r->clock_ms;
      t->progressed_clock_ms = r->clock_ms;
    }
  else if (percent != t->work_percent)
    t->progressed_clock_ms = r->clock_ms;
}

void
progress_note (struct cell *c, struct task *t, uint32_t percent)
{
  const struct runner *r = t->runner;
  uint64_t run_us;
  uint64_t left;

  if (!is_followed (t) || r->clock_ms == 0)
    {
      t->work_percent = percent;
      return;
    }
  percent = MIN (percent, 100);
  note_report (t, r, percent);
  t->work_percent = percent;
  run_us = progress_elapsed_us (r, t->start_clock_ms);
  if (percent < PROGRESS_MIN_PERCENT
      && (t->start_clock_ms == 0
          || run_us < place_expected_step_us (c, t->step) / 2))
    return;
  left = left_us (t, r);
  if (left == UINT64_MAX)
    return;
  t->expected_end_us = c->now_us + left;
  if (t->start_clock_ms != 0)
    t->run_total_us = run_us + left;
}

uint64_t
progress_expected_end_us (struct cell *c, const struct task *t)
{
  return t->expected_end_us != 0
             ? t->expected_end_us
             : t->start_ordered_at_us + place_expected_step_us (c, t->step);
}

uint32_t
progress_poll_wait_ms (struct cell *c, const struct runner *r,
                       uint32_t limit_ms)
{
  uint64_t wait_until_us = c->now_us + limit_ms * US_PER_MS;
  guint i;

  for (i = 0; i < r->tasks->len; i++)
    {
      const struct task *t = g_ptr_array_index (r->tasks, i);

      if (is_followed (t) && t->expected_end_us == 0
          && (t->phase == TASK_STARTING || t->phase == TASK_RUNNING))
        wait_until_us
            = MIN (wait_until_us, t->start_ordered_at_us
                                      + place_expected_step_us (c, t->step)
                                            * WAIT_PERCENT / 100);
    }
  return (uint32_t)MAX (
      wait_until_us > c->now_us ? (wait_until_us - c->now_us) / US_PER_MS : 0,
      WAIT_MIN_MS);
}

uint64_t
progress_peers_us (const struct task *t)
{
  const struct work_step *s = t->step;
  uint64_t sum_us = 0;
  uint32_t n = 0;
  uint32_t i;

  for (i = 0; i < s->spec->task_count; i++)
    {
      const struct task *o = &s->tasks[i];

      if (o == t || o->run_total_us == 0 || o->slow_run
          || (o->runner != NULL && o->runner == t->runner))
        continue;
      sum_us += o->run_total_us;
      n++;
    }
  return n >= PEER_MIN_COUNT ? sum_us / n : 0;
}
