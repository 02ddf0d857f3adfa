/* serving.c -- long-running tasks and the fillers beside them.

   Fillers use what serving tasks leave, and disturb them.  When a serving
   task nears its latency objective the fillers on its runner are paced down at
   once and by half or more; they come back by small steps.  */

#include "core/cell/state.h"

/** Parts of the objective, in percent: paced to a stop, halved, raised.  */
#define OVER_PERCENT 100
#define NEAR_PERCENT 85
#define CALM_PERCENT 60
/** Raised by this much, at most once in this time.  */
#define RAISE_PERCENT 20
#define RAISE_GAP_MS 1200
/** A task counts as at work by a look that is no older: a waiting hold, and
    some.  */
#define LOOK_AGE_MS (POLL_WAIT_MS + 800)

/* Returns the worst of the tails on R in percent of its objective.  */
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

static uint32_t
next_percent (const struct cell *c, const struct task *t, uint32_t worst)
{
  if (worst >= OVER_PERCENT)
    return 0;
  if (worst >= NEAR_PERCENT)
    return t->ordered_pace_percent / 2;
  if (worst < CALM_PERCENT && t->ordered_pace_percent < 100
      && c->now_us > t->ordered_at_us + RAISE_GAP_MS * US_PER_MS)
    return MIN (t->ordered_pace_percent + RAISE_PERCENT, 100);
  return t->ordered_pace_percent;
}

static void
pace (struct cell *c, struct runner *r, struct task *t, uint32_t percent,
      uint32_t worst)
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
      percent = next_percent (c, t, worst);
      /* An order may have been lost: what the runner shows goes.  */
      if (percent != t->ordered_pace_percent
          || (worst >= OVER_PERCENT && t->pace_percent > 0))
        pace (c, r, t, percent, worst);
    }
}

static bool
is_at_work (const struct cell *c, const struct task *t)
{
  return t->phase == TASK_RUNNING && t->pace_percent >= 100
         && t->runner->miss_count == 0
         && c->now_us < t->runner->answered_at_us + LOOK_AGE_MS * US_PER_MS;
}

bool
serving_may_stop (const struct cell *c, const struct task *t)
{
  const struct work_step *s = t->step;
  uint32_t limit = MAX (s->spec->unavailable_limit_count, 1);
  uint32_t away = 0;
  uint32_t i;

  for (i = 0; i < s->spec->task_count; i++)
    if (&s->tasks[i] != t && !is_at_work (c, &s->tasks[i]))
      away++;
  return away < limit;
}
