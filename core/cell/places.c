/* places.c -- places for long-running tasks that have to start.

   A VM can be taken out of use if its long-running tasks have places on other
   runners.  The plan of a tick names such a place for each long-running task
   that waits, is being stopped to start elsewhere, or is on a runner that is
   being emptied or drains, as far as there is room now; no room is planned for
   two tasks.  Tasks that wait come first, since they serve nobody.  */

#include "core/cell/fleet.h"

#include <string.h>

/** Most tasks that a plan names places for, which bounds the time of a tick.
    Of the others nothing is concluded.  */
#define PLAN_LIMIT_COUNT 256

uint32_t
places_planned_count (const struct cell *c, const struct runner *r)
{
  return r->plan_number == c->fleet->plan_number ? r->planned->len : 0;
}

bool
places_is_planned (const struct cell *c, const struct task *t)
{
  return t->plan_number == c->fleet->plan_number;
}

/* Notes that T has a place on R.  */
static void
note_place (struct cell *c, struct task *t, struct runner *r)
{
  struct resources need = place_occupied_by (t->step->spec);

  if (r->plan_number != c->fleet->plan_number)
    {
      g_ptr_array_set_size (r->planned, 0);
      memset (&r->planned_sum, 0, sizeof r->planned_sum);
    }
  resources_add (&r->planned_sum, &need);
  r->plan_number = t->plan_number = c->fleet->plan_number;
  t->planned_on = r;
  g_ptr_array_add (r->planned, t);
  c->fleet->planned_count++;
}

bool
places_plan_task (struct cell *c, struct task *t)
{
  const GPtrArray *pool = runners_for_task (c, t);
  guint i;

  if (places_is_planned (c, t))
    return true;
  for (i = 0; pool != NULL && c->fleet->planned_count < PLAN_LIMIT_COUNT
              && i < pool->len;
       i++)
    {
      struct runner *r = g_ptr_array_index (pool, i);

      if (r != t->runner && place_is_usable (c, r) && place_fits (c, t, r))
        {
          note_place (c, t, r);
          return true;
        }
    }
  return false;
}

/* Takes back the places of TASKS.  */
static void
drop_places (struct cell *c, GPtrArray *tasks)
{
  guint i;

  for (i = 0; i < tasks->len; i++)
    {
      struct task *t = g_ptr_array_index (tasks, i);
      struct resources need = place_occupied_by (t->step->spec);

      g_ptr_array_remove_fast (t->planned_on->planned, t);
      resources_subtract (&t->planned_on->planned_sum, &need);
      t->plan_number = 0;
      c->fleet->planned_count--;
    }
}

bool
places_plan_runner (struct cell *c, struct runner *r)
{
  GPtrArray *tasks = g_ptr_array_new ();
  bool all = true;
  guint i;

  for (i = 0; all && i < r->tasks->len; i++)
    {
      struct task *t = g_ptr_array_index (r->tasks, i);

      if (!t->step->spec->long_running || places_is_planned (c, t))
        continue;
      all = places_plan_task (c, t);
      if (all)
        g_ptr_array_add (tasks, t);
    }
  if (!all)
    drop_places (c, tasks);
  g_ptr_array_free (tasks, TRUE);
  return all;
}

/* Returns true if T waits and could start if a runner had room.  */
static bool
waits_for_place (const struct cell *c, const struct task *t)
{
  return t->phase == TASK_WAITING && !t->stop_wanted
         && (t->reconciled || !task_job (t)->inherited
             || confirmation_wait_is_over (c))
         && place_within_limit (c, t);
}

/* Plans places for the tasks of S that wait.  */
static void
plan_waiting (struct cell *c, struct work_step *s)
{
  bool none = false; /* A task of S found no place; nor will the next.  */
  uint32_t i;

  for (i = 0;
       i < s->spec->task_count && c->fleet->planned_count < PLAN_LIMIT_COUNT;
       i++)
    {
      struct task *t = &s->tasks[i];

      if (!waits_for_place (c, t))
        continue;
      none = none || !places_plan_task (c, t);
      if (none)
        g_ptr_array_add (c->fleet->unplaced, t);
    }
}

/* Plans places for the tasks of S that leave their runners.  One that loses
   its runner soon counts as having none if no other has room.  */
static void
plan_leaving (struct cell *c, struct work_step *s)
{
  uint32_t i;

  for (i = 0;
       i < s->spec->task_count && c->fleet->planned_count < PLAN_LIMIT_COUNT;
       i++)
    {
      struct task *t = &s->tasks[i];
      bool draining = t->runner != NULL && t->runner->report.draining;

      if (t->runner == NULL || t->stop_wanted
          || (t->phase != TASK_STOPPING && !t->runner->vm_emptying
              && !draining))
        continue;
      if (!places_plan_task (c, t) && draining)
        g_ptr_array_add (c->fleet->unplaced, t);
    }
}

static void
plan_jobs (struct cell *c, bool waiting)
{
  guint i;
  uint32_t o;
  uint32_t s;

  for (i = 0; i < c->active->len; i++)
    {
      const struct job *j = g_ptr_array_index (c->active, i);

      for (o = 0; o < j->occurrence_count; o++)
        for (s = 0; s < j->spec->step_count; s++)
          {
            struct work_step *w = &j->occurrences[o]->steps[s];

            if (!w->ready || !w->spec->long_running)
              continue;
            if (!waiting)
              plan_leaving (c, w);
            else if (w->waiting_count > 0)
              plan_waiting (c, w);
          }
    }
}

void
places_plan (struct cell *c)
{
  c->fleet->plan_number++;
  c->fleet->planned_count = 0;
  g_ptr_array_set_size (c->fleet->unplaced, 0);
  plan_jobs (c, true);
  plan_jobs (c, false);
}
