/* registrations.c -- the runners that are registered in the store.

   A runner is known from its first registration until some seconds after its
   registration was deleted (runners_tick), and as long as it has tasks.  */

#include "core/cell/fleet.h"

const GPtrArray *
runners_of_pool (const struct cell *c, const char *pool)
{
  return g_hash_table_lookup (c->pools, pool);
}

const GPtrArray *
runners_for_task (const struct cell *c, const struct task *t)
{
  const struct site_queue *q = cell_find_queue (c, task_job (t)->queue);

  return q != NULL ? runners_of_pool (c, q->pool) : NULL;
}

/* Moves R to POOL in the index by pool, or removes it if POOL is NULL.  */
static void
set_pool (struct cell *c, struct runner *r, const char *pool)
{
  GPtrArray *runners = NULL;

  if (pool != NULL)
    {
      runners = g_hash_table_lookup (c->pools, pool);
      if (runners == NULL)
        {
          runners = g_ptr_array_new ();
          g_hash_table_insert (c->pools, g_strdup (pool), runners);
        }
    }
  if (runners == r->pool_runners)
    return;
  if (r->pool_runners != NULL)
    g_ptr_array_remove (r->pool_runners, r);
  if (runners != NULL)
    g_ptr_array_add (runners, r);
  r->pool_runners = runners;
}

static int
runner_free (struct runner *r)
{
  g_ptr_array_free (r->tasks, TRUE);
  g_ptr_array_free (r->planned, TRUE);
  return 0;
}

static struct runner *
runner_new (struct cell *c, const struct runner_report *report)
{
  struct runner *r = talloc_zero (c, struct runner);

  if (r == NULL)
    out_of_memory ();
  r->tasks = g_ptr_array_new ();
  r->planned = g_ptr_array_new ();
  talloc_set_destructor (r, runner_free);
  r->report = *report;
  r->next_poll_at_us = c->now_us;
  r->heard_at_us = c->now_us;
  boots_note (c, r);
  g_hash_table_insert (c->runners, r->report.id, r);
  return r;
}

/* Forgets the orders to R that have no answer.  */
static void
drop_orders (struct cell *c, const struct runner *r)
{
  GHashTableIter it;
  gpointer value;

  g_hash_table_iter_init (&it, c->pending_orders);
  while (g_hash_table_iter_next (&it, NULL, &value))
    {
      const struct pending_order *o = value;

      if (o->runner != r)
        continue;
      c->unanswered_start_count -= o->kind == ORDER_START;
      c->open_probe_count -= o->is_probe;
      c->open_hedge_count -= o->is_hedge;
      g_hash_table_iter_remove (&it);
    }
}

static void
clear_failed_on (struct cell *c, const struct runner *r)
{
  guint i;
  uint32_t o;
  uint32_t s;
  uint32_t k;

  for (i = 0; i < c->active->len; i++)
    {
      struct job *j = g_ptr_array_index (c->active, i);

      for (o = 0; o < j->occurrence_count; o++)
        for (s = 0; s < j->spec->step_count; s++)
          for (k = 0; k < j->spec->steps[s].task_count; k++)
            if (j->occurrences[o]->steps[s].tasks[k].failed_on == r)
              j->occurrences[o]->steps[s].tasks[k].failed_on = NULL;
    }
}

void
runners_drop (struct cell *c, struct runner *r)
{
  runners_release_tasks (c, r, RUN_FORGOTTEN);
  drop_orders (c, r);
  clear_failed_on (c, r);
  g_hash_table_remove (c->runners, r->report.id);
  set_pool (c, r, NULL);
  talloc_free (r);
}

/* Handles that the registration of R was deleted.  */
static void
set_unlisted (struct cell *c, struct runner *r)
{
  if (!r->listed)
    return;
  r->listed = false;
  if (!r->reached)
    c->ownership.unreached_over_at_us = c->now_us;
  r->unlisted_at_us = c->now_us;
  cell_log (c, "runner_unlisted", 0, "\"runner\":\"%s\",\"runs\":%u",
            r->report.id, r->tasks->len);
  if (r->tasks->len > 0)
    runners_schedule_poll (c, r, 0);
}

/* Returns true if the registration N of R is believed to be of R's boot or of
   a later one; a later one resets R.  If it is not believed, R is polled.

   Start times do not order boots: clocks are set back, and other writers may
   name any time.  The runner's own answers decide.  While it answers, only a
   start time that is later, but in the past, and is not that of the boot
   before is believed without a poll, so that lost runs start again soon.  */
static bool
accept_boot (struct cell *c, struct runner *r, const struct runner_report *n)
{
  bool answers = (r->boot_named || r->reached)
                 && (r->tasks->len > 0 || r->miss_count < LOST_MISS_COUNT);

  if (n->booted_at_ms == 0 || r->report.booted_at_ms == 0
      || n->booted_at_ms == r->report.booted_at_ms)
    return true;
  if (answers
      && (n->booted_at_ms < r->report.booted_at_ms
          || n->booted_at_ms == r->previous_boot_ms
          || n->booted_at_ms > c->wall_ms + CLOCK_DIFFERENCE_MS))
    {
      r->boot_doubted_at_us = c->now_us;
      runners_schedule_poll (c, r, 0);
      return false;
    }
  boots_reset (c, r, n->booted_at_ms, RUN_NEW_BOOT);
  return true;
}

/* Handles N, a row of a WHOLE list, or a change.  */
static void
apply_report (struct cell *c, const struct runner_report *n, bool whole)
{
  struct runner *r = g_hash_table_lookup (c->runners, n->id);
  uint64_t booted_at_ms;

  if (n->removed)
    {
      if (r != NULL)
        set_unlisted (c, r);
      return;
    }
  if (r == NULL)
    {
      r = runner_new (c, n);
      r->came_later = !whole;
      cell_log (c, "runner_listed", 0,
                "\"runner\":\"%s\",\"pool\":\"%s\",\"address\":\"%s\"", n->id,
                n->pool, n->address);
    }
  else if (!accept_boot (c, r, n))
    return;
  /* A new runner has N as its report already.  */
  if (n->draining && (!r->report.draining || r->draining_at_us == 0))
    {
      r->draining_at_us = c->now_us;
      cell_log (c, "runner_draining", 0, "\"runner\":\"%s\",\"runs\":%u",
                n->id, r->tasks->len);
    }
  booted_at_ms
      = n->booted_at_ms != 0 ? n->booted_at_ms : r->report.booted_at_ms;
  r->report = *n;
  r->report.booted_at_ms = booted_at_ms;
  r->cold_until_us = c->now_us + n->cold_ms * US_PER_MS;
  set_pool (c, r, n->pool);
  r->listed = true;
  text_copy (r->rack, LABEL_BYTES, n->label_count > 1 ? n->labels[1] : "");
  c->dispatch_due = true;
}

void
runners_on_reports (struct cell *c, struct cell_event *e)
{
  GHashTableIter it;
  gpointer value;
  uint32_t i;

  if (!cell_is_owner (c))
    return;
  if (e->u.runners.whole)
    {
      GHashTable *named = g_hash_table_new (g_str_hash, g_str_equal);

      for (i = 0; i < e->u.runners.row_count; i++)
        g_hash_table_add (named, e->u.runners.rows[i].id);
      g_hash_table_iter_init (&it, c->runners);
      while (g_hash_table_iter_next (&it, NULL, &value))
        if (!g_hash_table_contains (named,
                                    ((struct runner *)value)->report.id))
          set_unlisted (c, value);
      g_hash_table_destroy (named);
      c->runners_known = true;
    }
  for (i = 0; i < e->u.runners.row_count; i++)
    apply_report (c, &e->u.runners.rows[i], e->u.runners.whole);
  if (c->evacuated.count > 0)
    evacuation_update_runners (c);
}
