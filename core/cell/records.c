/* records.c -- stores the owner's jobs as records, and restores them.

   The owner's appends are numbered and sent one at a time, so that one that
   got no answer can be sent again unchanged.  A runner may forget the end of a
   run only when the records that depend on it are stored.  A new owner reads
   all records back.  */

#include "core/cell/fleet.h"

#include <string.h>

/** An append to which this many records were added takes no more jobs; the
    others wait for the next append.  */
#define APPEND_LIMIT_COUNT 400
/** Most bytes of the key and the names in the record of a job.  */
#define JOB_NAMES_BYTES (4 * NAME_BYTES)
/** A failed or unanswered append is sent again after this.  */
#define APPEND_RETRY_MS 300
/** An append takes milliseconds, and a slow store's some hundred.  */
#define STALL_MS 800

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

/* Adds the record of J's acceptance to the append.  */
static void
add_acceptance (struct append *a, struct job *j)
{
  struct append_record *x = records_add (a);

  x->kind = APPEND_RECORD_JOB;
  x->job = j->id;
  x->queue = j->queue;
  x->tenant = j->tenant;
  x->accepted_at_ms = j->accepted_at_ms;
  x->terms = &j->terms;
  x->spec = j->spec;
  x->run_pools = j->pools;
  x->run_pool_count = j->sent_pool_count = j->pool_count;
  a->size_bytes += job_spec_size_bytes (j->spec) + JOB_NAMES_BYTES;
}

/* Adds what has to be stored of J to the append.  Returns false if some of it
   has to wait for the next one.  */
static bool
add_job_records (struct cell *c, struct job *j)
{
  if (!j->stored)
    add_acceptance (&c->append, j);
  else if (j->final)
    progress_add_final (c, j);
  else if (!j->progress_refused)
    return progress_add_records (c, j);
  return true;
}

bool
records_fit (const struct cell *c, const struct job_spec *spec)
{
  return job_spec_size_bytes (spec) + JOB_NAMES_BYTES
         <= c->settings.record_limit_bytes;
}

bool
records_append_is_full (const struct cell *c)
{
  /* The next job, and the records that are not of jobs, need as much.  */
  return c->append.record_count >= APPEND_LIMIT_COUNT
         || c->append.size_bytes + 2 * c->settings.record_limit_bytes
                > c->settings.append_limit_bytes;
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
  a->size_bytes = 0;
  g_array_set_size (a->job_ids, 0);
  for (i = 0; i < c->dirty_job_ids->len; i++)
    {
      uint64_t id = g_array_index (c->dirty_job_ids, uint64_t, i);
      struct job *j = jobs_find (c, id);

      if (j == NULL)
        continue;
      if (i > 0 && records_append_is_full (c))
        break;
      g_array_append_val (a->job_ids, id);
      j->dirty = !add_job_records (c, j);
      if (j->dirty)
        break;
    }
  g_array_remove_range (c->dirty_job_ids, 0, i);
  waves_add_records (c, a);
  /* The record of VM orders may be stored again at any time.  */
  if (confirmation_is_due (c) && a->record_count == 0)
    {
      handover_add_record (c, a);
      c->metrics.counters[CELL_COUNT_CONFIRMATION_APPENDS]++;
    }
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

/* Returns true if X is a record of one of the jobs in IDS, from index FIRST
   on.  */
static bool
is_of_jobs (const struct append_record *x, const GArray *ids, guint first)
{
  guint i;

  if (!append_record_is_of_job (x->kind))
    return false;
  for (i = first; i < ids->len; i++)
    if (g_array_index (ids, uint64_t, i) == x->job)
      return true;
  return false;
}

/* Takes the records of the append's jobs from index FIRST on out of it.  */
static void
withdraw_jobs (struct cell *c, guint first)
{
  struct append *a = &c->append;
  uint32_t n = 0;
  uint32_t i;

  for (i = 0; i < a->record_count; i++)
    if (!is_of_jobs (&a->records[i], a->job_ids, first))
      a->records[n++] = a->records[i];
  a->record_count = n;
  for (i = first; i < a->job_ids->len; i++)
    {
      struct job *j = jobs_find (c, g_array_index (a->job_ids, uint64_t, i));

      if (j == NULL)
        continue;
      progress_on_withdrawn (j);
      jobs_mark_dirty (c, j);
    }
  g_array_set_size (a->job_ids, first);
  /* The ends that depend on these records are not stored with this append.  */
  g_array_set_size (a->watermarks, 0);
  c->flush_now = true;
}

/* Handles that the store will never take the append.  The jobs in it are
   halved, until the one whose record is at fault is alone; that one is left
   out, so that all others go on.  */
static void
on_refused (struct cell *c)
{
  struct append *a = &c->append;
  struct job *j = NULL;

  cell_log (c, "append_refused", 0,
            "\"sequence\":%llu,\"jobs\":%u,\"records\":%u,\"size\":%llu",
            (unsigned long long)a->sequence, a->job_ids->len, a->record_count,
            (unsigned long long)a->size_bytes);
  if (a->job_ids->len == 0)
    {
      a->retry_at_us = c->now_us + APPEND_RETRY_MS * US_PER_MS;
      return;
    }
  if (a->job_ids->len == 1)
    j = jobs_find (c, g_array_index (a->job_ids, uint64_t, 0));
  withdraw_jobs (c, a->job_ids->len / 2);
  if (a->record_count > 0)
    {
      records_send (c);
      return;
    }
  a->in_flight = false;
  a->sequence--;
  a->resume_at_us = c->now_us + APPEND_RETRY_MS * US_PER_MS;
  if (j != NULL && !j->stored)
    jobs_refuse (c, j);
  else if (j != NULL && !j->final)
    j->progress_refused = true;
}

void
records_on_appended (struct cell *c, const struct cell_event *e)
{
  struct append *a = &c->append;
  enum append_outcome outcome = e->u.appended.outcome;
  guint i;

  /* Each ownership numbers its appends anew.  */
  if (!cell_is_owner (c) || !a->in_flight
      || e->u.appended.token != c->ownership.token
      || e->u.appended.sequence != a->sequence)
    return;
  switch (outcome)
    {
    case APPEND_FENCED:
      ownership_lose (c, "append_fenced");
      return;
    case APPEND_REFUSED:
      on_refused (c);
      return;
    case APPEND_NOT_DONE:
    case APPEND_UNKNOWN:
      cell_log (
          c, "append_not_stored", 0, "\"sequence\":%llu,\"outcome\":\"%s\"",
          (unsigned long long)a->sequence, append_outcome_name (outcome));
      a->retry_at_us = c->now_us + APPEND_RETRY_MS * US_PER_MS;
      return;
    case APPEND_STORED:
      break;
    }
  a->in_flight = false;
  confirmation_on_stored (c);
  for (i = 0; i < a->job_ids->len; i++)
    {
      struct job *j = jobs_find (c, g_array_index (a->job_ids, uint64_t, i));

      if (j == NULL)
        continue;
      progress_on_stored (j);
      jobs_on_stored (c, j);
    }
  records_apply_watermarks (c);
  handover_on_stored (c);
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
      j->terms = r->terms;
      j->has_terms = r->has_terms;
    }
  else if (r->final)
    {
      j->final = true;
      j->end_stored = true;
      j->state = r->state;
      j->ended_at_ms = r->ended_at_ms;
      TALLOC_FREE (j->spec);
    }
  else
    /* Kept until all records are read: that of the job itself may come
       later.  */
    progress_note_recovered (j, r);
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
  catalog_restore_queue (c, j);
  progress_restore (c, j);
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
