/* model_rules.c -- what must hold in a run of the model.

   Judged from what runners do:

   TWICE  No task runs on two runners at once, and none starts after a run of
          it has ended as done, if that end is acknowledged then or later under
          an unbroken lease.
   LOST   A serving task is at work again within 6 s of its last run whenever
          the last 7 s were calm and there is room for it twice over.  Every
          short job is done when the run ends, 20 s after the last fault.
   AVAIL  No order ends a serving task while as many others of its step are
          away as may be.  */

#include "tests/model.h"

#include <stdarg.h>
#include <stdio.h>
#include <string.h>

#define REPORT_LIMIT_COUNT 6
#define CALM_US (7000 * US_PER_MS)
#define AWAY_LIMIT_US (6000 * US_PER_MS)
#define NOTICE_US (4500 * US_PER_MS)
#define UNAVAILABLE_LIMIT_COUNT 1

void
model_broken (struct model *m, const char *format, ...)
{
  va_list list;

  if (m->broken_count++ >= REPORT_LIMIT_COUNT)
    return;
  g_string_append_printf (m->report,
                          "  %.3f s: ", (double)m->now_us / 1e6 - 100);
  va_start (list, format);
  g_string_append_vprintf (m->report, format, list);
  va_end (list);
  g_string_append_c (m->report, '\n');
}

void
model_task_print (const struct task_id *id, char *text, uint32_t size_bytes)
{
  g_snprintf (text, size_bytes, "%016llx.%u.%u.%u",
              (unsigned long long)id->job, id->occurrence, id->step,
              id->index);
}

struct model_task *
model_task_of (struct model *m, const struct task_id *id)
{
  char key[64];
  struct model_task *t;

  model_task_print (id, key, sizeof key);
  t = g_hash_table_lookup (m->tasks, key);
  if (t != NULL)
    return t;
  t = talloc_zero (m->arena, struct model_task);
  t->id = *id;
  t->last_at_us = m->now_us;
  t->done_ends = g_array_new (FALSE, TRUE, sizeof (struct model_done));
  g_hash_table_insert (m->tasks, talloc_strdup (t, key), t);
  return t;
}

void
model_rules_on_start (struct model *m, struct model_runner *r,
                      const struct model_run *x)
{
  struct model_task *t = model_task_of (m, &x->task);
  char key[64];
  guint i;

  m->start_count++;
  model_task_print (&x->task, key, sizeof key);
  t->long_running = x->long_running;
  if (t->running_count > 0)
    model_broken (m, "TWICE: %s run %u starts on %s while it runs elsewhere",
                  key, x->run, r->id);
  for (i = 0; !t->long_running && i < t->done_ends->len; i++)
    {
      struct model_done *d
          = &g_array_index (t->done_ends, struct model_done, i);

      if (d->noted)
        model_broken (m,
                      "TWICE: %s run %u starts on %s after its run %u was "
                      "done on %s and acknowledged",
                      key, x->run, r->id, d->run, d->runner->id);
      else
        d->later_run = x->run;
    }
  t->running_count++;
}

void
model_rules_on_end (struct model *m, struct model_runner *r,
                    const struct model_run *x, enum end_kind kind,
                    uint64_t end)
{
  struct model_task *t = model_task_of (m, &x->task);
  struct model_done d = { .runner = r,
                          .booted_at_us = r->booted_at_us,
                          .number = end,
                          .at_us = m->now_us,
                          .run = x->run };

  t->running_count--;
  t->last_at_us = m->now_us;
  t->stopped_by_order = x->stops_at_us != 0;
  t->failed_count += kind == END_FAILED;
  if (kind != END_DONE || end == 0)
    return;
  t->done = true;
  g_array_append_val (t->done_ends, d);
}

void
model_rules_on_noted (struct model *m, struct model_runner *r, uint64_t number)
{
  uint64_t now_ms = model_runner_clock_ms (m, r);
  guint k;

  for (k = 0; k < r->ends->len; k++)
    {
      const struct model_end *e
          = &g_array_index (r->ends, struct model_end, k);
      bool broken_lease
          = r->lapsed_at_us >= e->at_us || r->lease_end_ms < now_ms;
      struct model_task *t;
      char key[64];
      guint i;

      if (e->ended.number > number)
        return;
      if (e->ended.kind != END_DONE || broken_lease)
        continue;
      t = model_task_of (m, &e->ended.task);
      for (i = 0; i < t->done_ends->len; i++)
        {
          struct model_done *d
              = &g_array_index (t->done_ends, struct model_done, i);

          if (d->runner != r || d->booted_at_us != r->booted_at_us
              || d->number != e->ended.number || d->noted)
            continue;
          d->noted = true;
          if (d->later_run == 0 || t->long_running)
            continue;
          model_task_print (&t->id, key, sizeof key);
          model_broken (m,
                        "TWICE: %s run %u was done on %s at %.3f s and is "
                        "acknowledged; run %u was started after it",
                        key, d->run, r->id, (double)d->at_us / 1e6 - 100,
                        d->later_run);
        }
    }
}

/* Returns how many of the other tasks of T's step are away.  */
static uint32_t
count_away (struct model *m, const struct model_task *t)
{
  const struct model_job *j = g_hash_table_lookup (m->jobs_by_id, &t->id.job);
  uint32_t n = 0;
  uint32_t i;

  for (i = 0; i < j->task_count; i++)
    {
      struct task_id id = t->id;
      const struct model_task *o;

      id.index = i;
      if (i == t->id.index)
        continue;
      o = model_task_of (m, &id);
      n += o->running_count == 0
           && (o->stopped_by_order || m->now_us >= o->last_at_us + NOTICE_US);
    }
  return n;
}

void
model_rules_on_order (struct model *m, struct model_runner *r,
                      const struct model_run *x)
{
  struct model_task *t = model_task_of (m, &x->task);
  char key[64];

  if (!x->long_running || x->stops_at_us != 0 || r->draining
      || t->running_count > 1 || m->now_us < x->began_at_us + 500 * US_PER_MS
      || count_away (m, t) < UNAVAILABLE_LIMIT_COUNT)
    return;
  model_task_print (&x->task, key, sizeof key);
  model_broken (m,
                "AVAIL: %s run %u is ended by an order on %s; %u others of "
                "its step are away",
                key, x->run, r->id, count_away (m, t));
}

/* Returns true if a runner of POOL has room for NEED twice over.  */
static bool
has_room (struct model *m, uint32_t pool, uint64_t need_milli)
{
  uint32_t i;
  guint k;

  for (i = 0; i < m->vm_count; i++)
    {
      const struct model_runner *r = model_vm_runner (m, i);
      uint64_t used_milli = 0;

      if (m->vms[i].pool != pool || r == NULL || r->draining || !r->registered
          || m->now_us < r->cut_until_us
          || m->now_us < r->booted_at_us + CALM_US)
        continue;
      for (k = 0; k < r->runs->len; k++)
        used_milli += g_array_index (r->runs, struct model_run, k).cpu_milli;
      if (used_milli + 2 * need_milli <= MODEL_CPU_MILLI)
        return true;
    }
  return false;
}

static void
check_serving (struct model *m, const struct model_job *j)
{
  uint32_t i;

  for (i = 0; i < j->task_count; i++)
    {
      struct task_id id = { .job = j->id, .index = i };
      struct model_task *t = model_task_of (m, &id);
      uint64_t since_us = MAX (t->last_at_us, j->accepted_at_us);
      char key[64];

      if (t->running_count > 0 || m->now_us < since_us + AWAY_LIMIT_US
          || !has_room (m, j->pool, j->cpu_milli))
        continue;
      model_task_print (&id, key, sizeof key);
      model_broken (m,
                    "LOST: %s does not run, last at %.3f s, with room for "
                    "it and no fault since %.3f s",
                    key, (double)since_us / 1e6 - 100,
                    (double)m->disturbed_until_us / 1e6 - 100);
      t->last_at_us = m->now_us + 30 * US_PER_S;
    }
}

void
model_rules_tick (struct model *m)
{
  guint i;

  if (m->now_us % (100 * US_PER_MS) != 0
      || m->now_us < m->disturbed_until_us + CALM_US)
    return;
  for (i = 0; i < m->jobs->len; i++)
    {
      const struct model_job *j = g_ptr_array_index (m->jobs, i);

      if (j->long_running && j->accepted)
        check_serving (m, j);
    }
}

void
model_rules_finish (struct model *m)
{
  GHashTableIter it;
  gpointer value;
  guint i;
  uint32_t s;
  uint32_t k;

  for (i = 0; i < m->jobs->len; i++)
    {
      const struct model_job *j = g_ptr_array_index (m->jobs, i);
      uint32_t open_count = 0;

      if (j->long_running)
        {
          if (!j->accepted)
            model_broken (m, "LOST: job %016llx was never accepted",
                          (unsigned long long)j->id);
          continue;
        }
      for (s = 0; j->accepted && s < j->step_count; s++)
        for (k = 0; k < j->task_count; k++)
          {
            struct task_id id = { .job = j->id, .step = s, .index = k };

            open_count += !model_task_of (m, &id)->done;
          }
      if (open_count > 0)
        model_broken (m,
                      "LOST: job %016llx was accepted at %.3f s, and %u of "
                      "its tasks are not done",
                      (unsigned long long)j->id,
                      (double)j->accepted_at_us / 1e6 - 100, open_count);
    }
  g_hash_table_iter_init (&it, m->tasks);
  while (g_hash_table_iter_next (&it, NULL, &value))
    g_array_free (((struct model_task *)value)->done_ends, TRUE);
  g_hash_table_destroy (m->tasks);
}
