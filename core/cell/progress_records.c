/* progress_records.c -- the durable progress of a job.

   The tasks of a job are numbered over all its occurrences, in the order of
   occurrences, steps and indexes, and fall into segments of as many.  One
   record, that of the job's progress, tells how many occurrences at the front
   are done and holds the first segment that is not; each other segment with
   progress has a record of its own.  So a record has a limited size however
   many occurrences are open, and a task that ends costs one record.  */

#include "core/cell/state.h"

#include <string.h>

/** Tasks of a segment.  */
#define SEGMENT_TASK_COUNT 1024
/** Most bytes of a record's key and frame and of its fields of fixed size. */
#define RECORD_FIXED_BYTES 128
/** Most bytes of the row of a task whose runs failed seldom, of what is added
    to it for each failed run otherwise, and of the name of a pool.  */
#define TASK_ROW_BYTES (1 + 2 * FAILED_RUN_COUNT)
#define FAILED_RUN_BYTES 6
#define POOL_NAME_BYTES (NAME_BYTES + 3)

/* What is known of a segment while its job's records are made.  */
struct segment
{
  uint32_t done_count;
  bool unstored; /**< A task of it has progress that no record has.  */
};

uint32_t
progress_tasks_per_occurrence (const struct job_spec *spec)
{
  uint32_t n = 0;
  uint32_t s;

  for (s = 0; s < spec->step_count; s++)
    n += spec->steps[s].task_count;
  return n;
}

/* Returns the number of J's first task that is not in a freed occurrence.  */
static uint64_t
first_known_task (const struct job *j)
{
  return (uint64_t)j->first_occurrence
         * progress_tasks_per_occurrence (j->spec);
}

static bool
is_occupying (const struct job *j, const struct occurrence *o)
{
  uint32_t s;
  uint32_t k;

  for (s = 0; s < j->spec->step_count; s++)
    for (k = 0; k < j->spec->steps[s].task_count; k++)
      if (o->steps[s].tasks[k].runner != NULL)
        return true;
  return false;
}

/* Frees the occurrences at the front of J that are done.  */
static void
free_done_occurrences (struct cell *c, struct job *j)
{
  uint32_t n = 0;

  if (j->spec->occurrence_count == 0)
    return;
  while (n < j->occurrence_count && j->occurrences[n]->open_step_count == 0
         && !is_occupying (j, j->occurrences[n]))
    {
      talloc_free (j->occurrences[n]);
      c->task_count -= progress_tasks_per_occurrence (j->spec);
      n++;
    }
  j->first_occurrence += n;
  j->occurrence_count -= n;
  memmove (j->occurrences, j->occurrences + n,
           j->occurrence_count * sizeof (struct occurrence *));
}

/* Returns the task NUMBER of J, which exists.  */
static struct task *
task_at (const struct job *j, uint64_t number)
{
  uint64_t k = number - first_known_task (j);
  uint32_t per_occurrence = progress_tasks_per_occurrence (j->spec);
  const struct occurrence *o = j->occurrences[k / per_occurrence];
  uint32_t index = (uint32_t)(k % per_occurrence);
  uint32_t s = 0;

  while (index >= j->spec->steps[s].task_count)
    index -= j->spec->steps[s++].task_count;
  return &o->steps[s].tasks[index];
}

/* Returns the number that follows that of J's last task.  */
static uint64_t
end_of_tasks (const struct job *j)
{
  return first_known_task (j)
         + (uint64_t)j->occurrence_count
               * progress_tasks_per_occurrence (j->spec);
}

/* The segments of a job while its records are made.  */
struct segments
{
  uint64_t base;  /**< Number of the first of items.  */
  uint64_t first; /**< Number of the first that is not done.  */
  uint32_t count; /**< Entries of items.  */
  struct segment *items;
};

/* Sets X, as a child of MEM, to the segments of J.  */
static void
count_segments (TALLOC_CTX *mem, const struct job *j, struct segments *x)
{
  uint64_t from = first_known_task (j);
  uint64_t end = end_of_tasks (j);
  uint64_t n;

  x->base = x->first = from / SEGMENT_TASK_COUNT;
  x->count = (uint32_t)(end / SEGMENT_TASK_COUNT - x->base + 1);
  x->items = talloc_zero_array (mem, struct segment, x->count);
  if (x->items == NULL)
    out_of_memory ();
  /* The tasks of the first segment that are not known are done.  */
  x->items[0].done_count = (uint32_t)(from % SEGMENT_TASK_COUNT);
  for (n = from; n < end; n++)
    {
      const struct task *t = task_at (j, n);
      struct segment *g = &x->items[n / SEGMENT_TASK_COUNT - x->base];

      g->done_count += t->phase == TASK_DONE;
      g->unstored |= t->progress_unstored;
    }
  while (x->items[x->first - x->base].done_count == SEGMENT_TASK_COUNT)
    x->first++;
}

/* Copies the numbers of the failed runs of T to P, a row of R.  In a record
   that would grow too large, the lowest FAILED_RUN_COUNT of them.  */
static void
copy_failed_runs (struct cell *c, const struct task *t,
                  struct task_progress *p, struct append_record *r,
                  uint64_t *bytes)
{
  uint32_t n = t->failed_run_count;

  if (n > FAILED_RUN_COUNT)
    *bytes += n * FAILED_RUN_BYTES;
  if (n > FAILED_RUN_COUNT && *bytes > c->settings.record_limit_bytes / 2)
    {
      cell_log (c, "failed_runs_left_out", r->job, "\"failed\":%u",
                t->failed_count);
      *bytes -= n * FAILED_RUN_BYTES;
      n = FAILED_RUN_COUNT;
    }
  p->failed_run_count = n;
  if (n == 0)
    return;
  p->failed_runs
      = talloc_memdup (r->tasks, t->failed_runs, n * sizeof *t->failed_runs);
  if (p->failed_runs == NULL)
    out_of_memory ();
}

/* Adds the tasks of segment NUMBER of J to R, a record of the append.  */
static void
add_rows (struct cell *c, const struct job *j, uint64_t number,
          struct append_record *r)
{
  struct append *a = &c->append;
  uint64_t failed_run_bytes = 0;
  uint64_t from = MAX (first_known_task (j), number * SEGMENT_TASK_COUNT);
  uint64_t end = MIN (end_of_tasks (j), (number + 1) * SEGMENT_TASK_COUNT);
  uint64_t n;

  r->first_task = from;
  r->tasks = talloc_zero_array (a->records, struct task_progress,
                                (uint32_t)(end - from) + 1);
  if (r->tasks == NULL)
    out_of_memory ();
  for (n = from; n < end; n++)
    {
      struct task *t = task_at (j, n);
      struct task_progress *p = &r->tasks[r->task_count++];

      p->done = t->phase == TASK_DONE;
      p->failed_count = t->failed_count;
      copy_failed_runs (c, t, p, r, &failed_run_bytes);
      t->progress_unstored = false;
    }
  a->size_bytes += r->task_count * TASK_ROW_BYTES + failed_run_bytes;
}

/* Notes that segment NUMBER of J has a record of its own.  */
static void
note_record (struct job *j, uint64_t number)
{
  uint32_t i;

  for (i = 0; i < j->segment_record_count; i++)
    if (j->segment_records[i] == number)
      return;
  j->segment_records = talloc_realloc (j, j->segment_records, uint64_t,
                                       j->segment_record_count + 1);
  if (j->segment_records == NULL)
    out_of_memory ();
  j->segment_records[j->segment_record_count++] = number;
}

static struct append_record *
add_record (struct append *a, const struct job *j)
{
  struct append_record *r = records_add (a);

  r->job = j->id;
  a->size_bytes += RECORD_FIXED_BYTES;
  return r;
}

/* Deletes the records of J's segments up to LAST.  */
static void
drop_segments (struct append *a, const struct job *j, uint64_t last)
{
  uint32_t i;

  for (i = 0; i < j->segment_record_count; i++)
    if (j->segment_records[i] <= last)
      {
        struct append_record *r = add_record (a, j);

        r->kind = APPEND_RECORD_DROP_SEGMENT;
        r->first_task = j->segment_records[i] * SEGMENT_TASK_COUNT;
      }
}

/* Adds the record of J's progress, with the tasks of segment NUMBER.  */
static void
add_progress_record (struct cell *c, struct job *j, uint64_t number)
{
  struct append *a = &c->append;
  struct append_record *r = add_record (a, j);

  r->kind = APPEND_RECORD_PROGRESS;
  r->state = j->state;
  r->run_pools = j->pools;
  r->run_pool_count = j->sent_pool_count = j->pool_count;
  a->size_bytes += r->run_pool_count * POOL_NAME_BYTES;
  add_rows (c, j, number, r);
  j->sent_segment = number;
  drop_segments (a, j, number);
}

bool
progress_add_records (struct cell *c, struct job *j)
{
  struct append *a = &c->append;
  struct segments x;
  uint32_t i;
  bool complete = true;

  free_done_occurrences (c, j);
  count_segments (c, j, &x);
  for (i = (uint32_t)(x.first - x.base) + 1; i < x.count && complete; i++)
    if (x.items[i].unstored)
      {
        struct append_record *r = add_record (a, j);

        r->kind = APPEND_RECORD_SEGMENT;
        add_rows (c, j, x.base + i, r);
        note_record (j, x.base + i);
        complete = !records_append_is_full (c);
      }
  /* The record of an earlier build may hold more than the first segment, so it
     is replaced when all others are stored.  */
  if (complete)
    add_progress_record (c, j, x.first);
  talloc_free (x.items);
  return complete;
}

void
progress_add_final (struct cell *c, struct job *j)
{
  struct append *a = &c->append;
  struct append_record *r = add_record (a, j);

  r->kind = APPEND_RECORD_PROGRESS;
  r->state = j->state;
  r->final = true;
  r->ended_at_ms = j->ended_at_ms;
  r = add_record (a, j);
  r->kind = APPEND_RECORD_DROP_JOB;
  drop_segments (a, j, UINT64_MAX);
  j->sent_segment = UINT64_MAX;
}

void
progress_on_stored (struct job *j)
{
  uint32_t n = 0;
  uint32_t i;

  for (i = 0; i < j->segment_record_count; i++)
    if (j->segment_records[i] > j->sent_segment)
      j->segment_records[n++] = j->segment_records[i];
  j->segment_record_count = n;
}

void
progress_on_withdrawn (struct job *j)
{
  uint64_t n;

  j->sent_segment = 0;
  if (j->spec == NULL)
    return;
  for (n = first_known_task (j); n < end_of_tasks (j); n++)
    {
      struct task *t = task_at (j, n);

      t->progress_unstored = t->phase == TASK_DONE || t->failed_count > 0;
    }
}

void
progress_note_recovered (struct job *j, struct recovered_record *r)
{
  struct recovered_progress *p = talloc_zero (j, struct recovered_progress);

  if (p == NULL)
    out_of_memory ();
  p->is_segment = r->is_segment;
  p->first_task = r->first_task;
  p->task_count = r->task_count;
  p->tasks = talloc_steal (p, r->tasks);
  r->tasks = NULL;
  p->next = j->recovered;
  j->recovered = p;
}

/* Gives T the progress that its record P has.  */
static void
restore_task (struct cell *c, struct task *t, const struct task_progress *p)
{
  struct job *j = task_job (t);

  t->failed_count = p->failed_count;
  t->failed_run_count = p->failed_run_count;
  if (p->failed_run_count > 0)
    {
      t->failed_runs
          = talloc_memdup (t->step->occurrence, p->failed_runs,
                           p->failed_run_count * sizeof *p->failed_runs);
      if (t->failed_runs == NULL)
        out_of_memory ();
      t->recorded_run = p->failed_runs[p->failed_run_count - 1];
    }
  if (t->failed_count > 0 || p->done)
    j->started = true;
  if (t->failed_count > 0)
    j->failures_unjudged = true;
  if (p->done)
    task_complete (c, t);
}

/* Restores the tasks of J from its record P.  What the record of the progress
   tells of other segments than the first, as that of an earlier build does,
   has to be stored again.  */
static void
restore_tasks (struct cell *c, struct job *j,
               const struct recovered_progress *p)
{
  uint64_t n;

  for (n = first_known_task (j); !p->is_segment && n < p->first_task; n++)
    task_complete (c, task_at (j, n));
  for (n = MAX (p->first_task, first_known_task (j));
       n < p->first_task + p->task_count; n++)
    {
      struct task *t = task_at (j, n);

      restore_task (c, t, &p->tasks[n - p->first_task]);
      t->progress_unstored
          = !p->is_segment
            && n / SEGMENT_TASK_COUNT != p->first_task / SEGMENT_TASK_COUNT;
    }
}

/* Frees the read records of J that name tasks which J does not have.  */
static void
drop_misplaced (struct cell *c, struct job *j)
{
  uint64_t limit = (uint64_t)progress_tasks_per_occurrence (j->spec)
                   * MAX (j->spec->occurrence_count, 1);
  struct recovered_progress **at = &j->recovered;

  while (*at != NULL)
    {
      struct recovered_progress *p = *at;

      if (p->first_task + p->task_count <= limit)
        {
          at = &p->next;
          continue;
        }
      cell_log (c, "progress_misplaced", j->id, "\"task\":%llu,\"tasks\":%u",
                (unsigned long long)p->first_task, p->task_count);
      *at = p->next;
      talloc_free (p);
    }
}

void
progress_restore (struct cell *c, struct job *j)
{
  uint32_t per_occurrence = MAX (progress_tasks_per_occurrence (j->spec), 1);
  struct recovered_progress *p;
  uint64_t end = 0;

  drop_misplaced (c, j);
  for (p = j->recovered; p != NULL; p = p->next)
    {
      end = MAX (end, p->first_task + p->task_count);
      if (p->is_segment)
        note_record (j, p->first_task / SEGMENT_TASK_COUNT);
      else
        j->first_occurrence = (uint32_t)(p->first_task / per_occurrence);
    }
  if (j->first_occurrence > 0)
    j->started = true;
  while (end_of_tasks (j) < end)
    jobs_add_occurrence (c, j);
  for (p = j->recovered; p != NULL; p = p->next)
    restore_tasks (c, j, p);
  while ((p = j->recovered) != NULL)
    {
      j->recovered = p->next;
      talloc_free (p);
    }
  task_end_job_if_done (c, j);
}
