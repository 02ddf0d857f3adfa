/* slow_runners.c -- runners that work slowly or whose tasks stand still.

   Such a runner answers every poll, and a job is as late as its slowest task.
   A runner is judged by its runs: the time that each takes, or by its progress
   will take, in proportion to what the same step's tasks take elsewhere.  A
   slow one gets no new short tasks for a while and after that one at a time,
   until a run shows that it is sound again.  Its tasks are started elsewhere
   if that is sooner, as the time for their stop counts; so is a task that
   stands still on any runner.

   The load this answers: some runners of a pool become several times slower,
   or some of their tasks stop, without a word, for seconds.  When more than a
   part of a pool seems slow, the expectation is wrong or the whole pool is
   slow, and no more are put aside.  A runner that does not answer is not
   judged here: its runs may progress unseen.  */

#include "core/cell/state.h"

#include <string.h>

/** A runner is slow if its runs take this many times as long as elsewhere, in
    thousandths.  */
#define SLOW_RATIO_MILLI 2500
/** One run on a runner that was slow shows that it is sound at this.  */
#define SOUND_RATIO_MILLI 1600
/** A run in progress shows it only when this much is done.  */
#define SOUND_MIN_PERCENT 20
/** One run counts as this at most.  */
#define RATIO_LIMIT_MILLI 8000
/** Fewer runs than this tell nothing.  */
#define RUN_MIN_COUNT 2
/** Ended runs count as this many at most, beside those in progress.  */
#define ENDED_LIMIT_COUNT 4
/** A slow runner gets no new short tasks for this long.  */
#define SLOW_MS 2000
/** At most this part of a pool's runners, or one, may be slow at a time.  */
#define SLOW_LIMIT_PERCENT 20
/** A task stands still if it has made no progress for this long and for a part
    of its run time: its progress is told in percent.  */
#define STALL_MS 700
#define STALL_PART 20
/** Starting a task elsewhere must be sooner by this.  */
#define RESTART_MARGIN_MS 200
/** A task is stopped for its runner's sake at most this often.  */
#define RESTART_LIMIT_COUNT 2
/** A run's end is listed late if no poll was answered for longer.  */
#define POLL_GAP_LIMIT_MS 1500
/** Mean time that a stop takes, before any was observed.  */
#define STOP_MEAN_MS 400
/** The newest stop has a weight of one in this many in the mean.  */
#define STOP_MEAN_PART 8

static bool
is_judged (const struct task *t)
{
  const struct job_step *s = t->step->spec;

  return !s->long_running && !s->filler && !s->gang;
}

/* Returns the ratio of T's run time, RUN_US, to that of its step's tasks
   elsewhere; 0: it is not known.  The image's mean does not serve: run times
   of different steps differ too much.  */
static uint32_t
ratio_milli (const struct task *t, uint64_t run_us)
{
  uint64_t peers_us = progress_peers_us (t);

  return peers_us > 0
             ? (uint32_t)MIN (run_us * 1000 / peers_us, RATIO_LIMIT_MILLI)
             : 0;
}

/* Ends R's probation if RATIO, that of T's run, shows that R is sound.  */
static void
check_sound (struct cell *c, struct runner *r, const struct task *t,
             uint32_t ratio)
{
  if (!r->on_probation || ratio == 0 || ratio >= SOUND_RATIO_MILLI
      || t->start_ordered_at_us < r->slow_at_us)
    return;
  r->on_probation = false;
  cell_log (c, "runner_sound", task_job (t)->id,
            "\"runner\":\"%s\",\"ratio_milli\":%u", r->report.id, ratio);
}

void
slow_runners_on_done (struct cell *c, struct runner *r, struct task *t)
{
  uint32_t ratio;

  /* When the run ended is not known if no poll was answered for long.  */
  if (!is_judged (t) || t->start_clock_ms == 0
      || r->poll_gap_ms > POLL_GAP_LIMIT_MS)
    return;
  t->run_total_us = progress_elapsed_us (r, t->start_clock_ms);
  ratio = ratio_milli (t, t->run_total_us);
  if (ratio == 0)
    return;
  t->slow_run = ratio >= SLOW_RATIO_MILLI;
  if (r->ended_ratio_count < ENDED_LIMIT_COUNT)
    r->ended_ratio_count++;
  r->ended_ratio_milli
      = (r->ended_ratio_milli * (r->ended_ratio_count - 1) + ratio)
        / r->ended_ratio_count;
  image_samples_on_done (c, r, t, ratio);
  check_sound (c, r, t, ratio);
}

void
slow_runners_on_stopped (struct cell *c, const struct task *t)
{
  uint64_t took_us = c->now_us - t->ordered_at_us;

  if (c->stop_mean_us == 0)
    c->stop_mean_us = STOP_MEAN_MS * US_PER_MS;
  c->stop_mean_us += took_us / STOP_MEAN_PART;
  c->stop_mean_us -= c->stop_mean_us / STOP_MEAN_PART;
}

/* Returns the mean ratio of R's runs; 0: they are too few.  */
static uint32_t
runner_ratio_milli (const struct runner *r)
{
  uint64_t sum = (uint64_t)r->ended_ratio_milli * r->ended_ratio_count;
  uint32_t n = r->ended_ratio_count;
  guint i;

  for (i = 0; i < r->tasks->len; i++)
    {
      const struct task *t = g_ptr_array_index (r->tasks, i);
      uint32_t ratio = is_judged (t) && t->phase == TASK_RUNNING
                           ? ratio_milli (t, t->run_total_us)
                           : 0;

      sum += ratio;
      n += ratio > 0;
    }
  return n >= RUN_MIN_COUNT ? (uint32_t)(sum / n) : 0;
}

/* Returns true if another runner of R's pool may be put aside.  */
static bool
may_be_slow (const struct runner *r)
{
  uint32_t slow = 0;
  uint32_t listed = 0;
  guint i;

  for (i = 0; i < r->pool_runners->len; i++)
    {
      const struct runner *o = g_ptr_array_index (r->pool_runners, i);

      listed += o->listed;
      slow += o->on_probation;
    }
  return slow < MAX (listed * SLOW_LIMIT_PERCENT / 100, 1);
}

/* Returns the run time to expect of T on another runner.  */
static uint64_t
elsewhere_us (struct cell *c, const struct task *t)
{
  uint64_t peers_us = progress_peers_us (t);

  return peers_us > 0 ? peers_us : place_expected_step_us (c, t->step);
}

/* Returns true if T would be done sooner if it was stopped and started on
   another runner.  */
static bool
is_sooner_elsewhere (struct cell *c, const struct task *t)
{
  uint64_t end_us = progress_expected_end_us (c, t);
  uint64_t left_us = end_us > c->now_us ? end_us - c->now_us : 0;
  uint64_t stop_us
      = c->stop_mean_us > 0 ? c->stop_mean_us : STOP_MEAN_MS * US_PER_MS;
  uint64_t again_us = elsewhere_us (c, t);

  if (t->step->spec->checkpointing)
    again_us = again_us * (100 - MIN (t->work_percent, 100)) / 100;
  return left_us
         > stop_us + again_us + again_us / 4 + RESTART_MARGIN_MS * US_PER_MS;
}

/* Returns true if T's reports show no progress for too long.  */
static bool
is_stalled (struct cell *c, const struct task *t)
{
  return t->work_percent < 100 && t->first_report_clock_ms > 0
         && progress_elapsed_us (t->runner, t->progressed_clock_ms)
                > STALL_MS * US_PER_MS + elsewhere_us (c, t) / STALL_PART;
}

static void
restart_elsewhere (struct cell *c, struct runner *r, struct task *t,
                   const char *why)
{
  struct runner *place = place_find (c, t);

  if (place == NULL || place == r)
    return;
  t->restart_count++;
  t->slow_run = true;
  cell_log (
      c, "task_restarted", task_job (t)->id,
      "\"task\":\"%u.%u.%u\",\"run\":%u,\"runner\":\"%s\","
      "\"why\":\"%s\",\"percent\":%u,\"ran_ms\":%llu,\"left_ms\":%lld,"
      "\"elsewhere_ms\":%llu",
      t->step->occurrence->number, t->step->number, t->index, t->run,
      r->report.id, why, t->work_percent,
      (unsigned long long)((c->now_us - t->start_ordered_at_us) / US_PER_MS),
      ((long long)progress_expected_end_us (c, t) - (long long)c->now_us)
          / 1000,
      (unsigned long long)(elsewhere_us (c, t) / US_PER_MS));
  task_stop (c, t);
}

/* Starts those tasks of R elsewhere that end sooner there.  */
static void
restart_tasks (struct cell *c, struct runner *r, bool slow)
{
  guint i;

  for (i = 0; i < r->tasks->len; i++)
    {
      struct task *t = g_ptr_array_index (r->tasks, i);
      bool stalled;

      if (!is_judged (t) || t->phase != TASK_RUNNING || t->stop_wanted
          || t->restart_count >= RESTART_LIMIT_COUNT)
        continue;
      stalled = is_stalled (c, t);
      if ((stalled || (slow && t->expected_end_us > 0))
          && is_sooner_elsewhere (c, t))
        restart_elsewhere (c, r, t, stalled ? "stalled" : "slow");
    }
}

/* Looks for a run in progress that shows that R is sound.  */
static void
check_probation (struct cell *c, struct runner *r)
{
  guint i;

  for (i = 0; r->on_probation && i < r->tasks->len; i++)
    {
      const struct task *t = g_ptr_array_index (r->tasks, i);

      if (is_judged (t) && t->phase == TASK_RUNNING
          && t->work_percent >= SOUND_MIN_PERCENT)
        check_sound (c, r, t, ratio_milli (t, t->run_total_us));
    }
}

void
slow_runners_judge (struct cell *c, struct runner *r)
{
  uint32_t ratio = runner_ratio_milli (r);

  if (ratio >= SLOW_RATIO_MILLI && c->now_us >= r->quarantined_until_us
      && (r->on_probation || may_be_slow (r)))
    {
      r->on_probation = true;
      r->slow_at_us = c->now_us;
      r->quarantined_until_us = c->now_us + SLOW_MS * US_PER_MS;
      r->ended_ratio_count = 0;
      cell_log (c, "runner_slow", 0,
                "\"runner\":\"%s\",\"vm\":\"%s\",\"pool\":\"%s\","
                "\"ratio_milli\":%u,\"runs\":%u,\"for_ms\":%u",
                r->report.id, r->vm, r->report.pool, ratio, r->tasks->len,
                SLOW_MS);
      c->metrics.counters[CELL_COUNT_SLOW_RUNNERS]++;
    }
  check_probation (c, r);
  restart_tasks (c, r, r->on_probation);
}

bool
slow_runners_admit (const struct runner *r, const struct job_step *s)
{
  guint i;

  if (!r->on_probation || s->long_running || s->filler)
    return true;
  for (i = 0; i < r->tasks->len; i++)
    if (is_judged (g_ptr_array_index (r->tasks, i)))
      return false;
  return true;
}
