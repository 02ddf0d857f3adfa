/* serving.c -- serving tasks and the fillers beside them.

   Fillers use the CPU time that serving tasks leave, but raise their latency.
   When a serving task nears its latency target, the speed of the fillers on
   its runner is halved; when it reaches the target, their speed is set to 0.
   Later it rises in small steps.  */

#include "core/cell/state.h"

/** The speed of fillers is set to 0 when a tail latency is at least this part
    of its target.  */
#define PAUSE_PERCENT 100
/** It is halved when a tail latency is at least this part of its target.  */
#define HALVE_PERCENT 85
/** It is raised when every tail latency is below this part of its target.  */
#define RAISE_BELOW_PERCENT 60
/** It is raised by this many percent of full speed, at most once in this
    time.  */
#define RAISE_STEP_PERCENT 20
#define RAISE_INTERVAL_MS 1200
/** The tasks of a runner count as working only if its last answer is younger
    than this: the longest wait of a poll and a margin.  */
#define ANSWER_AGE_LIMIT_MS (POLL_WAIT_MS + 800)

/* Returns the highest tail latency on R in percent of its target.  */
static uint32_t
worst_percent (const struct runner *r)
{
  uint32_t worst = 0;
  guint i;

  for (i = 0; i < r->tasks->len; i++)
    {
      const struct task *t = g_ptr_array_index (r->tasks, i);
      uint32_t target_ms = t->step->spec->latency_target_ms;

      if (target_ms > 0 && t->metric * 100 / target_ms > worst)
        worst = t->metric * 100 / target_ms;
    }
  return worst;
}

/* Returns the speed to order for filler T when WORST is the highest tail
   latency on its runner, in percent of its target.  */
static uint32_t
next_pace_percent (const struct cell *c, const struct task *t, uint32_t worst)
{
  if (worst >= PAUSE_PERCENT)
    return 0;
  if (worst >= HALVE_PERCENT)
    return t->ordered_pace_percent / 2;
  if (worst < RAISE_BELOW_PERCENT && t->ordered_pace_percent < 100
      && c->now_us > t->ordered_at_us + RAISE_INTERVAL_MS * US_PER_MS)
    return MIN (t->ordered_pace_percent + RAISE_STEP_PERCENT, 100);
  return t->ordered_pace_percent;
}

static void
order_filler_pace (struct cell *c, struct runner *r, struct task *t,
                   uint32_t percent, uint32_t worst)
{
  struct runner_order *o = runners_send_order (c, r, ORDER_PACE, t);

  o->pace_percent = percent;
  cell_log (c, "filler_paced", task_job (t)->id,
            "\"task\":\"%u.%u.%u\",\"runner\":\"%s\",\"from\":%u,\"to\":%u,"
            "\"worst_percent\":%u",
            t->step->occurrence->number, t->step->number, t->index,
            r->report.id, t->ordered_pace_percent, percent, worst);
  t->ordered_pace_percent = percent;
  t->ordered_at_us = c->now_us;
}

void
serving_pace_fillers (struct cell *c, struct runner *r)
{
  uint32_t worst = worst_percent (r);
  guint i;

  for (i = 0; i < r->tasks->len; i++)
    {
      struct task *t = g_ptr_array_index (r->tasks, i);
      uint32_t percent;

      if (!t->step->spec->filler || t->phase != TASK_RUNNING)
        continue;
      percent = next_pace_percent (c, t, worst);
      /* Speed 0 is ordered again while the filler reports a higher one, as the
         order may have been lost.  */
      if (percent != t->ordered_pace_percent
          || (worst >= PAUSE_PERCENT && t->work_percent > 0))
        order_filler_pace (c, r, t, percent, worst);
    }
}

/* Returns true if no former owner is stopping T's run: it runs on after the
   time that a stop may take.  The runner has taken no stop of theirs since it
   first answered this owner.  */
static bool
is_kept (const struct cell *c, const struct task *t)
{
  return t->adopted_at_us == 0
         || t->runner->answered_at_us
                >= t->adopted_at_us
                       + c->settings.times.task_stop_ms * US_PER_MS;
}

/* Returns true if T was at full speed by a recent answer of its runner.  */
static bool
is_working (const struct cell *c, const struct task *t)
{
  return t->phase == TASK_RUNNING && t->work_percent >= 100 && is_kept (c, t)
         && t->runner->miss_count == 0
         && c->now_us
                < t->runner->answered_at_us + ANSWER_AGE_LIMIT_MS * US_PER_MS;
}

bool
serving_may_stop (const struct cell *c, const struct task *t)
{
  const struct work_step *s = t->step;
  uint32_t limit = MAX (s->spec->unavailable_limit_count, 1);
  uint32_t unavailable = 0;
  uint32_t i;

  for (i = 0; i < s->spec->task_count; i++)
    if (&s->tasks[i] != t && !is_working (c, &s->tasks[i]))
      unavailable++;
  return unavailable < limit;
}
