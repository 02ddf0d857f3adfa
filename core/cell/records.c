/* records.c -- stores the owner's jobs as records, and restores them.

   The owner's appends are numbered and sent one at a time, so that one that
   got no answer can be sent again unchanged.  A runner may forget the end of a
   run only when the records that depend on it are stored.  A new owner reads
   all records back.  */

#include "core/cell/state.h"

#include <string.h>

/** An append to which this many records were added takes no more jobs; the
    others wait for the next append.  */
#define APPEND_LIMIT_COUNT 400
/** A failed or unanswered append is sent again after this.  */
#define APPEND_RETRY_MS 300
/** An append takes milliseconds, and a slow store's some hundred.  */
#define STALL_MS 800

static uint32_t
total_task_count (const struct job *j)
{
  uint32_t n = 0;
  uint32_t s;

  for (s = 0; s < j->spec->step_count; s++)
    n += j->spec->steps[s].task_count;
  return n * j->occurrence_count;
}

/* Adds the progress of all tasks of J to X, as a child of MEM.  */
static void
add_progress (const struct job *j, struct append_record *x, TALLOC_CTX *mem)
{
  uint32_t i;
  uint32_t s;
  uint32_t k;
  uint32_t n = 0;

  x->task_count = total_task_count (j);
  x->tasks = talloc_zero_array (mem, struct task_progress, x->task_count);
  for (i = 0; i < j->occurrence_count; i++)
    for (s = 0; s < j->spec->step_count; s++)
      for (k = 0; k < j->spec->steps[s].task_count; k++)
        {
          const struct task *t = &j->occurrences[i]->steps[s].tasks[k];

          x->tasks[n].done = t->phase == TASK_DONE;
          x->tasks[n].failed_count = (uint8_t)MIN (t->failed_count, 255);
          memcpy (x->tasks[n].failed_runs, t->failed_runs,
                  sizeof t->failed_runs);
          n++;
        }
}

struct append_record *
records_add (struct append *a)
{
  struct append_record *x;

  a->records = talloc_realloc (NULL, a->records, struct append_record,
                               a->record_count + 1);
  if (a->records == NULL)
    out_of_memory ();
  x = &a->records[a->record_count++];
  memset (x, 0, sizeof *x);
  return x;
}

/* Adds the record of J's acceptance or progress to the append.  When J is
   final its job record is dropped as well.  */
static void
add_job_records (struct cell *c, struct job *j)
{
  struct append *a = &c->append;
  struct append_record *x = records_add (a);

  x->job = j->id;
  x->state = j->state;
  x->final = j->final;
  x->ended_at_ms = j->ended_at_ms;
  x->run_pools = j->pools;
  x->run_pool_count = j->sent_pool_count = j->pool_count;
  if (!j->stored)
    {
      x->kind = APPEND_RECORD_JOB;
      x->queue = j->queue;
      x->tenant = j->tenant;
      x->accepted_at_ms = j->accepted_at_ms;
      x->spec = j->spec;
      return;
    }
  x->kind = APPEND_RECORD_PROGRESS;
  if (!j->final)
    {
      add_progress (j, x, a->records);
      return;
    }
  x = records_add (a);
  x->kind = APPEND_RECORD_DROP_JOB;
  x->job = j->id;
}

void
records_note_watermarks (struct cell *c)
{
  GHashTableIter it;
  gpointer value;

  g_array_set_size (c->append.watermarks, 0);
  g_hash_table_iter_init (&it, c->runners);
  while (g_hash_table_iter_next (&it, NULL, &value))
    {
      struct runner *r = value;
      struct end_watermark m = { .booted_at_ms = r->report.booted_at_ms,
                                 .end_number = r->seen_end_number };

      if (r->seen_end_number == r->stored_end_number)
        continue;
      text_copy (m.runner, NAME_BYTES, r->report.id);
      g_array_append_val (c->append.watermarks, m);
    }
}

bool
records_are_stalled (const struct cell *c)
{
  return c->append.in_flight
         && c->now_us >= c->append.began_at_us + STALL_MS * US_PER_MS;
}

void
records_send (struct cell *c)
{
  struct cell_action *a = cell_emit (c, CELL_DO_APPEND);

  a->u.append.token = c->ownership.token;
  a->u.append.sequence = c->append.sequence;
  a->u.append.items = c->append.records;
  a->u.append.item_count = c->append.record_count;
  c->append.sent_at_us = c->now_us;
  c->append.retry_at_us = 0;
  c->metrics.counters[CELL_COUNT_APPENDS]++;
}

void
records_flush (struct cell *c)
{
  struct append *a = &c->append;
  guint i;

  TALLOC_FREE (a->records);
  a->record_count = 0;
  g_array_set_size (a->job_ids, 0);
  for (i = 0;
       i < c->dirty_job_ids->len && a->record_count < APPEND_LIMIT_COUNT; i++)
    {
      uint64_t id = g_array_index (c->dirty_job_ids, uint64_t, i);
      struct job *j = jobs_find (c, id);

      if (j == NULL)
        continue;
      j->dirty = false;
      g_array_append_val (a->job_ids, id);
      add_job_records (c, j);
    }
  g_array_remove_range (c->dirty_job_ids, 0, i);
  waves_add_records (c, a);
  /* The ends processed so far become durable with this append only if it holds
     every dirty job.  */
  g_array_set_size (a->watermarks, 0);
  if (c->dirty_job_ids->len == 0)
    records_note_watermarks (c);
  c->flush_now = c->dirty_job_ids->len > 0;
  c->dirty_at_us = c->now_us;
  a->began_at_us = c->now_us;
  /* The store takes no number after one that was left out.  */
  if (a->record_count == 0)
    return;
  a->in_flight = true;
  a->sequence++;
  records_send (c);
}

void
records_apply_watermarks (struct cell *c)
{
  guint i;

  for (i = 0; i < c->append.watermarks->len; i++)
    {
      struct end_watermark *m
          = &g_array_index (c->append.watermarks, struct end_watermark, i);
      struct runner *r = g_hash_table_lookup (c->runners, m->runner);

      if (r != NULL && r->report.booted_at_ms == m->booted_at_ms
          && m->end_number > r->stored_end_number)
        r->stored_end_number = m->end_number;
    }
}

void
records_on_appended (struct cell *c, uint64_t sequence,
                     enum append_outcome outcome)
{
  struct append *a = &c->append;
  guint i;

  if (!cell_is_owner (c) || !a->in_flight || sequence != a->sequence)
    return;
  switch (outcome)
    {
    case APPEND_FENCED:
      ownership_lose (c, "append_fenced");
      return;
    case APPEND_NOT_DONE:
    case APPEND_UNKNOWN:
      cell_log (c, "append_not_stored", 0,
                "\"sequence\":%llu,\"outcome\":\"%s\"",
                (unsigned long long)sequence, append_outcome_name (outcome));
      a->retry_at_us = c->now_us + APPEND_RETRY_MS * US_PER_MS;
      return;
    case APPEND_STORED:
      break;
    }
  a->in_flight = false;
  for (i = 0; i < a->job_ids->len; i++)
    {
      struct job *j = jobs_find (c, g_array_index (a->job_ids, uint64_t, i));

      if (j != NULL)
        jobs_on_stored (c, j);
    }
  records_apply_watermarks (c);
  handover_on_stored (c);
}

/* Restores the tasks of J from the progress record R.  */
static void
restore_progress (struct cell *c, struct job *j,
                  const struct recovered_record *r)
{
  uint32_t per_occurrence = 0;
  uint32_t n = 0;
  uint32_t s;
  uint32_t k;
  uint32_t f;

  for (s = 0; s < j->spec->step_count; s++)
    per_occurrence += j->spec->steps[s].task_count;
  while (n < r->task_count && per_occurrence > 0)
    {
      struct occurrence *o = jobs_add_occurrence (c, j, j->occurrence_count);

      for (s = 0; s < j->spec->step_count; s++)
        for (k = 0; k < j->spec->steps[s].task_count && n < r->task_count;
             k++, n++)
          {
            struct task *t = &o->steps[s].tasks[k];

            t->failed_count = r->tasks[n].failed_count;
            memcpy (t->failed_runs, r->tasks[n].failed_runs,
                    sizeof t->failed_runs);
            for (f = 0; f < FAILED_RUN_COUNT; f++)
              t->run = MAX (t->run, (uint32_t)t->failed_runs[f]
                                        + UNRECORDED_RUN_COUNT);
            if (t->failed_count > 0 || r->tasks[n].done)
              j->started = true;
            if (t->failed_count > 0)
              j->failures_unjudged = true;
            if (r->tasks[n].done)
              task_complete (c, t);
          }
    }
}

void
records_restore (struct cell *c, struct recovered_record *r)
{
  struct job *j;

  if (r->is_pool_history)
    {
      demand_restore (c, r);
      return;
    }
  if (r->is_wave)
    {
      waves_restore (c, r);
      return;
    }
  if (r->is_vm_orders)
    {
      handover_restore (c, r);
      return;
    }
  j = jobs_find (c, r->job);
  if (j == NULL)
    j = jobs_new (c, r->job);
  j->inherited = true;
  j->stored = true;
  job_pools_restore (j, r);
  if (r->is_job)
    {
      if (j->final)
        return;
      text_copy (j->queue, NAME_BYTES, r->queue);
      text_copy (j->tenant, NAME_BYTES, r->tenant);
      talloc_free (j->spec);
      j->spec = talloc_steal (j, r->spec);
      r->spec = NULL;
      j->accepted_at_ms = r->accepted_at_ms;
    }
  else if (r->final)
    {
      j->final = true;
      j->end_stored = true;
      j->state = r->state;
      j->ended_at_ms = r->ended_at_ms;
      TALLOC_FREE (j->spec);
    }
  else if (r->task_count > 0)
    {
      /* Kept until all records are read: the record of the job itself may come
         later.  */
      talloc_free (j->progress);
      j->progress = talloc_memdup (j, r, sizeof *r);
      j->progress->tasks = talloc_steal (j->progress, r->tasks);
      r->tasks = NULL;
    }
}

static int
compare_acceptance (gconstpointer a, gconstpointer b)
{
  const struct job *x = *(struct job *const *)a;
  const struct job *y = *(struct job *const *)b;

  if (x->accepted_at_ms != y->accepted_at_ms)
    return x->accepted_at_ms < y->accepted_at_ms ? -1 : 1;
  return x->id < y->id ? -1 : x->id > y->id;
}

/* Restores and activates J when all records have been read.  */
static void
recover_job (struct cell *c, struct job *j)
{
  uint64_t age_ms
      = c->wall_ms > j->accepted_at_ms ? c->wall_ms - j->accepted_at_ms : 0;

  j->accepted_at_us
      = c->now_us > age_ms * US_PER_MS ? c->now_us - age_ms * US_PER_MS : 0;
  j->arrived_at_us = j->accepted_at_us;
  if (j->progress != NULL)
    restore_progress (c, j, j->progress);
  TALLOC_FREE (j->progress);
  if (j->final)
    return;
  jobs_add_due_occurrences (c, j);
  jobs_activate (c, j);
}

void
records_finish_recovery (struct cell *c)
{
  GPtrArray *all = g_ptr_array_new ();
  GHashTableIter it;
  gpointer value;
  guint i;

  g_hash_table_iter_init (&it, c->jobs);
  while (g_hash_table_iter_next (&it, NULL, &value))
    {
      struct job *j = value;

      if (j->final)
        continue;
      if (j->spec != NULL)
        {
          g_ptr_array_add (all, j);
          continue;
        }
      /* Only progress was read: without its spec the job cannot run.  */
      g_hash_table_iter_remove (&it);
      talloc_free (j);
    }
  g_ptr_array_sort (all, compare_acceptance);
  for (i = 0; i < all->len; i++)
    recover_job (c, g_ptr_array_index (all, i));
  g_ptr_array_free (all, TRUE);
}
