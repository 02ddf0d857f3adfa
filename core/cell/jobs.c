/* jobs.c -- acceptance and states of the owner's jobs.

   A job is accepted when its record has been stored (records.c), and not
   before.  A submission under the id of a known job adds no job; its reply is
   that job's state.  */

#include "core/cell/state_calls.h"

#include <string.h>

/** Progress waits this long for an append, so that more shares the append,
    unless a client waits.  */
#define FLUSH_DELAY_MS 40
/** Jobs over their tenant's rate are refused while a job of their queue has
    waited longer than this for its start.  */
#define OVER_RATE_BACKLOG_MS 1000
/** Delay that such a refusal advises for a retry.  */
#define OVER_RATE_RETRY_MS 3000
/** Least delay advised for a retry while the store takes no records.  Clients
    retry a few times only.  */
#define STALLED_RETRY_MS 2000
/** Interval at which due occurrences are looked for.  */
#define OCCURRENCE_CHECK_MS 10
/** Most jobs that are not final; bounds memory.  */
#define ACTIVE_LIMIT_COUNT 4000
/** Most tasks in an occurrence of a job, most tasks of the occurrences of a
   job that are created before the earlier ones are done, and most tasks of all
    jobs; these bound memory, too.  */
#define JOB_TASK_LIMIT_COUNT 50000
#define JOB_OPEN_LIMIT_COUNT 20000
#define TASK_TOTAL_LIMIT_COUNT 200000
/** An ended job is kept when its end seems longer ago than this: the wall
    clock may have jumped.  */
#define DAY_MS UINT64_C (86400000)

struct job *
jobs_find (const struct cell *c, uint64_t id)
{
  return g_hash_table_lookup (c->jobs, &id);
}

struct task *
jobs_find_task (const struct cell *c, const struct task_id *id)
{
  struct job *j = jobs_find (c, id->job);

  /* An ended job keeps its tasks until they occupy no runner; then its spec is
     NULL.  */
  if (j == NULL || j->spec == NULL || id->occurrence < j->first_occurrence
      || id->occurrence - j->first_occurrence >= j->occurrence_count
      || id->step >= j->spec->step_count
      || id->index >= j->spec->steps[id->step].task_count)
    return NULL;
  return &j->occurrences[id->occurrence - j->first_occurrence]
              ->steps[id->step]
              .tasks[id->index];
}

static int
job_free (struct job *j)
{
  if (j->waiters != NULL)
    g_array_free (j->waiters, TRUE);
  return 0;
}

struct job *
jobs_new (struct cell *c, uint64_t id)
{
  struct job *j = talloc_zero (c, struct job);

  if (j == NULL)
    out_of_memory ();
  j->id = id;
  j->waiters = g_array_new (FALSE, FALSE, sizeof (struct waiter));
  talloc_set_destructor (j, job_free);
  g_hash_table_insert (c->jobs, &j->id, j);
  return j;
}

void
jobs_add_occurrence (struct cell *c, struct job *j)
{
  struct occurrence *o = talloc_zero (j, struct occurrence);
  uint32_t i;
  uint32_t k;

  o->job = j;
  o->number = j->first_occurrence + j->occurrence_count;
  o->open_step_count = j->spec->step_count;
  o->steps = talloc_zero_array (o, struct work_step, j->spec->step_count);
  for (i = 0; i < j->spec->step_count; i++)
    {
      struct work_step *s = &o->steps[i];

      s->occurrence = o;
      s->spec = &j->spec->steps[i];
      s->number = i;
      s->waiting_count = s->spec->task_count;
      s->tasks = talloc_zero_array (o, struct task, s->spec->task_count);
      for (k = 0; k < s->spec->task_count; k++)
        {
          s->tasks[k].step = s;
          s->tasks[k].index = k;
          s->tasks[k].ordered_pace_percent = 100;
          if (j->inherited)
            s->tasks[k].run = (uint32_t)(c->ownership.token * OWNER_RUN_COUNT);
        }
    }
  j->occurrences = talloc_realloc (j, j->occurrences, struct occurrence *,
                                   j->occurrence_count + 1);
  if (j->occurrences == NULL)
    out_of_memory ();
  j->occurrences[j->occurrence_count++] = o;
  j->open_occurrence_count++;
  c->task_count += progress_tasks_per_occurrence (j->spec);
  task_unblock_steps (c, o);
}

/* Returns true if the next occurrence of J waits until earlier ones are
   done.  */
static bool
has_many_open_tasks (const struct cell *c, const struct job *j)
{
  uint32_t n = progress_tasks_per_occurrence (j->spec);

  return j->occurrence_count > 0
         && ((uint64_t)(j->occurrence_count + 1) * n > JOB_OPEN_LIMIT_COUNT
             || c->task_count + n > TASK_TOTAL_LIMIT_COUNT);
}

void
jobs_add_due_occurrences (struct cell *c, struct job *j)
{
  const struct job_spec *s = j->spec;

  if (s->occurrence_count == 0)
    {
      if (j->occurrence_count == 0)
        jobs_add_occurrence (c, j);
      return;
    }
  for (;;)
    {
      uint64_t n = (uint64_t)j->first_occurrence + j->occurrence_count;

      if (n >= s->occurrence_count
          || c->wall_ms < s->first_due_ms + n * s->interval_ms
          || has_many_open_tasks (c, j))
        return;
      jobs_add_occurrence (c, j);
      c->dispatch_due = true;
    }
}

uint64_t
jobs_longest_chain_us (struct cell *c, const struct job *j)
{
  uint64_t *chain_end_us
      = talloc_zero_array (NULL, uint64_t, j->spec->step_count);
  uint64_t longest_us = 0;
  uint32_t i;
  uint32_t k;

  for (i = 0; i < j->spec->step_count; i++)
    {
      const struct job_step *s = &j->spec->steps[i];

      for (k = 0; k < s->after_count; k++)
        if (chain_end_us[s->after[k]] > chain_end_us[i])
          chain_end_us[i] = chain_end_us[s->after[k]];
      chain_end_us[i] += place_expected_task_us (c, j, s);
      if (chain_end_us[i] > longest_us)
        longest_us = chain_end_us[i];
    }
  talloc_free (chain_end_us);
  return longest_us;
}

/* Sets J's deadline by the objective of its queue.  */
static void
set_objective (struct cell *c, struct job *j)
{
  const struct site_queue *q = cell_find_queue (c, j->queue);
  uint64_t span_us = jobs_longest_chain_us (c, j);

  j->objective_known = q != NULL;
  if (q != NULL)
    span_us = span_us * q->stretch_milli / 1000
              + q->objective_slack_ms * US_PER_MS;
  j->objective_deadline_us = j->arrived_at_us + span_us;
}

void
jobs_activate (struct cell *c, struct job *j)
{
  g_ptr_array_add (c->active, j);
  set_objective (c, j);
  c->dispatch_due = true;
}

/* Judges the failed runs of J, whose queue Q has become known.  */
static void
judge_failures (struct cell *c, struct job *j, const struct site_queue *q)
{
  uint32_t o;
  uint32_t s;
  uint32_t k;

  j->failures_unjudged = false;
  for (o = 0; o < j->occurrence_count; o++)
    for (s = 0; s < j->spec->step_count; s++)
      for (k = 0; k < j->spec->steps[s].task_count && !j->final; k++)
        task_judge_failures (c, &j->occurrences[o]->steps[s].tasks[k], q);
}

void
jobs_on_config (struct cell *c)
{
  guint i;

  /* Backwards, as a job that has failed is removed.  */
  for (i = c->active->len; i > 0; i--)
    {
      struct job *j = g_ptr_array_index (c->active, i - 1);
      const struct site_queue *q = cell_find_queue (c, j->queue);

      if (q == NULL)
        continue;
      if (!j->objective_known)
        set_objective (c, j);
      if (j->failures_unjudged)
        judge_failures (c, j, q);
    }
  c->dispatch_due = true;
}

static void
send_reply (struct cell *c, const struct waiter *w, struct reply *r)
{
  r->call_id = w->call_id;
  r->kind = w->kind;
  if (w->local)
    {
      ingress_on_reply (c, r);
      return;
    }
  {
    struct cell_action *a = cell_emit (c, CELL_DO_PEER_REPLY);

    a->u.peer_reply.link_id = w->link_id;
    a->u.peer_reply.reply = *r;
  }
}

static void
send_reply_code (struct cell *c, const struct waiter *w, enum reply_code code,
                 uint32_t retry_after_ms)
{
  struct reply r = { .code = code, .retry_after_ms = retry_after_ms };

  send_reply (c, w, &r);
}

void
jobs_mark_dirty (struct cell *c, struct job *j)
{
  if (j->dirty)
    return;
  j->dirty = true;
  if (c->dirty_job_ids->len == 0)
    c->dirty_at_us = c->now_us;
  g_array_append_val (c->dirty_job_ids, j->id);
}

static bool
fits_on_pool (const struct cell *c, const struct job_spec *s, const char *pool)
{
  uint32_t i;

  for (i = 0; i < s->step_count; i++)
    if (!place_could_ever_fit (c, pool, &s->steps[i].need))
      return false;
  return true;
}

/* Takes one job from the rate bucket of TENANT.  Returns false if the bucket
   holds less than one.  A tenant without a rate has none and always passes. */
static bool
take_from_rate_bucket (struct cell *c, const char *tenant)
{
  struct rate_bucket *b = g_hash_table_lookup (c->rate_buckets, tenant);
  uint64_t weight = 0;
  uint32_t i;

  for (i = 0; c->config != NULL && i < c->config->tenant_count; i++)
    if (strcmp (c->config->tenants[i].name, tenant) == 0)
      weight = c->config->tenants[i].weight;
  if (weight == 0)
    return true;
  if (b == NULL)
    {
      b = g_new0 (struct rate_bucket, 1);
      b->milli_jobs = weight * 1000;
      g_hash_table_insert (c->rate_buckets, g_strdup (tenant), b);
    }
  else
    b->milli_jobs += weight * (c->now_us - b->refilled_at_us) / 1000;
  b->refilled_at_us = c->now_us;
  b->milli_jobs = MIN (b->milli_jobs, weight * 1000);
  if (b->milli_jobs < 1000)
    return false;
  b->milli_jobs -= 1000;
  return true;
}

/* Returns how long the oldest job of QUEUE that has not started has waited. */
static uint64_t
backlog_us (const struct cell *c, const char *queue)
{
  uint64_t oldest_us = 0;
  guint i;

  for (i = 0; i < c->active->len; i++)
    {
      const struct job *j = g_ptr_array_index (c->active, i);

      if (!j->started && strcmp (j->queue, queue) == 0
          && c->now_us - j->accepted_at_us > oldest_us)
        oldest_us = c->now_us - j->accepted_at_us;
    }
  return oldest_us;
}

/* Returns the delay to advise if CALL's job would end too late, or 0.  Sets
   END_US to when it is predicted to end; 0: not known.  */
static uint32_t
predict_retry_ms (struct cell *c, const struct job_call *call,
                  uint64_t *end_us)
{
  uint32_t retry_ms;
  struct job j = { .id = call->job, .spec = call->spec };

  text_copy (j.queue, NAME_BYTES, call->queue);
  text_copy (j.tenant, NAME_BYTES, call->tenant);
  j.arrived_at_us = admission_first_arrival_us (
      c, call->job, c->now_us - call->age_ms * US_PER_MS);
  retry_ms = admission_retry_ms (c, &j);
  *end_us = j.predicted_end_us;
  return retry_ms;
}

static void
submit (struct cell *c, const struct waiter *w, struct job_call *call)
{
  const struct site_queue *q = cell_find_queue (c, call->queue);
  bool over_rate = false;
  uint32_t task_count;
  uint64_t predicted_end_us = 0;
  uint32_t retry_ms;
  struct job *j;

  if (q == NULL || !cell_queue_is_configured (c, call->queue))
    {
      send_reply_code (c, w, REPLY_UNAVAILABLE, MS_PER_S);
      return;
    }
  /* No record of this call was sent, so it has not run.  */
  if (records_are_stalled (c))
    {
      cell_log (c, "job_refused", call->job,
                "\"queue\":\"%s\",\"tenant\":\"%s\",\"active\":%u,"
                "\"why\":\"store_stalled\"",
                call->queue, call->tenant, c->active->len);
      c->metrics.counters[CELL_COUNT_REFUSED]++;
      send_reply_code (c, w, REPLY_UNAVAILABLE,
                       STALLED_RETRY_MS + (uint32_t)(c->random % MS_PER_S));
      return;
    }
  if (!fits_on_pool (c, call->spec, q->pool))
    {
      cell_log (c, "job_impossible", call->job, "\"queue\":\"%s\"",
                call->queue);
      send_reply_code (c, w, REPLY_IMPOSSIBLE, 0);
      return;
    }
  task_count = progress_tasks_per_occurrence (call->spec);
  if (task_count > JOB_TASK_LIMIT_COUNT || !records_fit (c, call->spec))
    {
      cell_log (c, "job_too_large", call->job,
                "\"queue\":\"%s\",\"tasks\":%u,\"size\":%llu", call->queue,
                task_count,
                (unsigned long long)job_spec_size_bytes (call->spec));
      send_reply_code (c, w, REPLY_TOO_LARGE, 0);
      return;
    }
  if (c->active->len >= ACTIVE_LIMIT_COUNT
      || c->task_count + task_count > TASK_TOTAL_LIMIT_COUNT)
    {
      cell_log (c, "job_refused", call->job,
                "\"queue\":\"%s\",\"active\":%u,\"tasks\":%u,"
                "\"why\":\"active_limit\"",
                call->queue, c->active->len, c->task_count);
      send_reply_code (c, w, REPLY_OVERLOADED, 2 * MS_PER_S);
      return;
    }
  if (!take_from_rate_bucket (c, call->tenant))
    {
      if (backlog_us (c, call->queue) > OVER_RATE_BACKLOG_MS * US_PER_MS)
        {
          cell_log (c, "job_refused", call->job,
                    "\"queue\":\"%s\",\"tenant\":\"%s\",\"active\":%u,"
                    "\"why\":\"over_rate\"",
                    call->queue, call->tenant, c->active->len);
          c->metrics.counters[CELL_COUNT_REFUSED]++;
          send_reply_code (c, w, REPLY_OVERLOADED, OVER_RATE_RETRY_MS);
          return;
        }
      over_rate = true;
    }
  retry_ms = over_rate ? 0 : predict_retry_ms (c, call, &predicted_end_us);
  if (retry_ms > 0)
    {
      c->metrics.counters[CELL_COUNT_REFUSED]++;
      send_reply_code (c, w, REPLY_OVERLOADED, retry_ms);
      return;
    }
  j = jobs_new (c, call->job);
  text_copy (j->queue, NAME_BYTES, call->queue);
  text_copy (j->tenant, NAME_BYTES, call->tenant);
  j->spec = talloc_steal (j, call->spec);
  call->spec = NULL;
  j->accepted_at_ms = c->wall_ms;
  j->accepted_at_us = c->now_us;
  j->arrived_at_us = admission_first_arrival_us (
      c, call->job, c->now_us - call->age_ms * US_PER_MS);
  j->predicted_end_us = predicted_end_us;
  j->over_rate = over_rate;
  job_pools_add (j, q->pool);
  j->pools_known = true;
  j->terms
      = (struct queue_terms){ .priority = q->priority,
                              .attempt_limit = q->attempt_limit,
                              .stretch_milli = q->stretch_milli,
                              .objective_slack_ms = q->objective_slack_ms };
  j->has_terms = true;
  g_array_append_val (j->waiters, *w);
  jobs_mark_dirty (c, j);
  c->flush_now = true;
}

static void
cancel (struct cell *c, const struct waiter *w, struct job *j)
{
  if (j->final && j->end_stored)
    {
      send_reply_code (c, w, REPLY_OK, 0);
      return;
    }
  g_array_append_val (j->waiters, *w);
  if (!j->final && j->stored)
    jobs_end (c, j, JOB_CANCELLED);
  c->flush_now = true;
}

enum job_state
jobs_state (const struct job *j)
{
  if (j->final)
    /* Clients see the end only when it is durable.  */
    return j->end_stored ? j->state : JOB_RUNNING;
  return j->started ? JOB_RUNNING : JOB_QUEUED;
}

void
jobs_note_started (struct cell *c, struct job *j)
{
  if (j->started)
    return;
  j->started = true;
  state_reports_note (c, j);
}

/* Answers the call W for the state of J, or for J's acceptance.  */
static void
reply_state (struct cell *c, struct job *j, const struct waiter *w)
{
  struct reply r = { .code = REPLY_OK, .state = jobs_state (j) };

  if (w->kind == CALL_STATE && j->end_stored && !j->end_told)
    {
      j->end_told = true;
      cell_log (c, "end_told", j->id, "\"state\":\"%s\",\"ended_ms\":%llu",
                job_state_name (j->state),
                (unsigned long long)(c->wall_ms > j->ended_at_ms
                                         ? c->wall_ms - j->ended_at_ms
                                         : 0));
    }
  send_reply (c, w, &r);
}

static uint32_t
pending_count (const struct cell *c, const char *queue)
{
  uint32_t n = 0;
  guint i;

  for (i = 0; i < c->active->len; i++)
    {
      const struct job *j = g_ptr_array_index (c->active, i);

      if (!j->started && strcmp (j->queue, queue) == 0)
        n++;
    }
  return n;
}

void
jobs_on_call (struct cell *c, bool local, uint64_t link_id,
              struct job_call *call)
{
  struct waiter w = { .local = local,
                      .link_id = link_id,
                      .call_id = call->call_id,
                      .kind = call->kind };
  struct reply r = { .code = REPLY_OK };
  struct job *j;

  if (call->unconfirmed && ingress_admits (c, call))
    call->unconfirmed = false;
  if (!state_calls_may_answer (c, call))
    {
      send_reply_code (c, &w, REPLY_REDIRECT, 0);
      return;
    }
  if (!cell_is_owner (c))
    {
      if (call->kind == CALL_STATE
          && state_calls_find (c, call->job, &r.state))
        send_reply (c, &w, &r);
      else
        send_reply_code (c, &w, REPLY_REDIRECT, 0);
      return;
    }
  if (c->ownership.releasing && call->kind != CALL_STATE)
    {
      send_reply_code (c, &w, REPLY_REDIRECT, 0);
      return;
    }
  if (call->kind == CALL_PENDING)
    {
      r.pending_count = pending_count (c, call->queue);
      send_reply (c, &w, &r);
      return;
    }
  j = jobs_find (c, call->job);
  if (call->kind == CALL_SUBMIT && j == NULL)
    submit (c, &w, call);
  /* Another entry may know it.  */
  else if (call->unconfirmed && (j == NULL || !j->stored))
    send_reply_code (c, &w, REPLY_REDIRECT, 0);
  else if (j == NULL)
    send_reply_code (c, &w, REPLY_NO_JOB, 0);
  else if (call->kind == CALL_CANCEL)
    cancel (c, &w, j);
  else if (!j->stored)
    g_array_append_val (j->waiters, w);
  else
    reply_state (c, j, &w);
}

static void
stop_tasks (struct cell *c, struct job *j)
{
  uint32_t i;
  uint32_t s;
  uint32_t k;

  for (i = 0; i < j->occurrence_count; i++)
    for (s = 0; s < j->spec->step_count; s++)
      for (k = 0; k < j->spec->steps[s].task_count; k++)
        {
          struct task *t = &j->occurrences[i]->steps[s].tasks[k];

          t->stop_wanted = true;
          if (t->runner != NULL)
            task_stop (c, t);
        }
}

/* Returns true if a task of J occupies a runner.  Tasks of an ended job do so
   until their runs have ended, and must not be freed before.  */
static bool
occupies_runners (const struct job *j)
{
  uint32_t i;
  uint32_t s;
  uint32_t k;

  for (i = 0; i < j->occurrence_count; i++)
    for (s = 0; s < j->spec->step_count; s++)
      for (k = 0; k < j->spec->steps[s].task_count; k++)
        if (j->occurrences[i]->steps[s].tasks[k].runner != NULL)
          return true;
  return false;
}

/* Records how far the end of J, which completes now, is from the predicted
   one.  */
static void
record_prediction_error (struct cell *c, const struct job *j)
{
  if (j->predicted_end_us == 0)
    return;
  if (c->now_us >= j->predicted_end_us)
    cell_histogram_add (c->metrics.end_after_predicted_ms,
                        (c->now_us - j->predicted_end_us) / US_PER_MS);
  else
    cell_histogram_add (c->metrics.end_before_predicted_ms,
                        (j->predicted_end_us - c->now_us) / US_PER_MS);
}

void
jobs_end (struct cell *c, struct job *j, enum job_state state)
{
  if (j->final)
    return;
  j->final = true;
  j->state = state;
  j->ended_at_ms = c->wall_ms;
  cell_log (c, "job_ended", j->id,
            "\"state\":\"%s\",\"queue\":\"%s\",\"tenant\":\"%s\","
            "\"age_ms\":%llu,\"late_ms\":%lld",
            job_state_name (state), j->queue, j->tenant,
            (unsigned long long)((c->now_us - j->arrived_at_us) / US_PER_MS),
            ((long long)c->now_us - (long long)j->objective_deadline_us)
                / 1000);
  c->metrics.counters[state == JOB_COMPLETED ? CELL_COUNT_COMPLETED
                      : state == JOB_FAILED  ? CELL_COUNT_FAILED
                                             : CELL_COUNT_CANCELLED]++;
  cell_histogram_add (c->metrics.finish_ms,
                      (c->now_us - j->accepted_at_us) / US_PER_MS);
  if (state == JOB_COMPLETED)
    record_prediction_error (c, j);
  g_ptr_array_remove (c->active, j);
  /* The tasks of a cancelled job are stopped when its end is durable.  */
  if (state == JOB_FAILED)
    stop_tasks (c, j);
  jobs_mark_dirty (c, j);
  c->flush_now = true;
}

static void
answer_waiters (struct cell *c, struct job *j)
{
  guint i = 0;

  while (i < j->waiters->len)
    {
      struct waiter w = g_array_index (j->waiters, struct waiter, i);

      if (w.kind == CALL_CANCEL && !(j->final && j->end_stored))
        {
          i++;
          continue;
        }
      g_array_remove_index (j->waiters, i);
      reply_state (c, j, &w);
    }
}

static bool
has_cancel_waiter (const struct job *j)
{
  guint i;

  for (i = 0; i < j->waiters->len; i++)
    if (g_array_index (j->waiters, struct waiter, i).kind == CALL_CANCEL)
      return true;
  return false;
}

void
jobs_on_stored (struct cell *c, struct job *j)
{
  bool accepted = !j->stored;

  if (j->stored_pool_count < j->sent_pool_count)
    c->dispatch_due = true;
  j->stored_pool_count = j->sent_pool_count;
  if (accepted)
    {
      j->stored = true;
      c->metrics.counters[CELL_COUNT_ACCEPTED]++;
      cell_log (
          c, "job_accepted", j->id,
          "\"queue\":\"%s\",\"tenant\":\"%s\",\"steps\":%u,"
          "\"sequence\":%llu,\"store_ms\":%llu,\"over_rate\":%s,"
          "\"end_ms\":%llu",
          j->queue, j->tenant, j->spec->step_count,
          (unsigned long long)c->append.sequence,
          (unsigned long long)((c->now_us - c->append.sent_at_us) / US_PER_MS),
          j->over_rate ? "true" : "false",
          (unsigned long long)(j->predicted_end_us > 0
                                   ? (j->predicted_end_us - j->arrived_at_us)
                                         / US_PER_MS
                                   : 0));
      jobs_add_due_occurrences (c, j);
      jobs_activate (c, j);
      demand_note_arrival (c, j);
    }
  else if (j->final && !j->dirty)
    {
      j->end_stored = true;
      if (j->state == JOB_CANCELLED && j->spec != NULL)
        stop_tasks (c, j);
    }
  state_reports_note (c, j);
  answer_waiters (c, j);
  if (accepted && !j->final && has_cancel_waiter (j))
    jobs_end (c, j, JOB_CANCELLED);
}

void
jobs_refuse (struct cell *c, struct job *j)
{
  guint i;

  cell_log (c, "job_too_large", j->id, "\"queue\":\"%s\"", j->queue);
  for (i = 0; i < j->waiters->len; i++)
    {
      const struct waiter *w = &g_array_index (j->waiters, struct waiter, i);

      send_reply_code (
          c, w, w->kind == CALL_SUBMIT ? REPLY_TOO_LARGE : REPLY_NO_JOB, 0);
    }
  g_hash_table_remove (c->jobs, &j->id);
  talloc_free (j);
}

static void
add_due_occurrences (struct cell *c)
{
  guint i;

  if (c->now_us
      < c->occurrences_checked_at_us + OCCURRENCE_CHECK_MS * US_PER_MS)
    return;
  c->occurrences_checked_at_us = c->now_us;
  for (i = 0; i < c->active->len; i++)
    {
      struct job *j = g_ptr_array_index (c->active, i);

      if (j->spec->occurrence_count > 0)
        jobs_add_due_occurrences (c, j);
    }
}

static void
free_occurrences (struct cell *c, struct job *j)
{
  uint32_t i;

  c->task_count
      -= j->occurrence_count * progress_tasks_per_occurrence (j->spec);

  for (i = 0; i < j->occurrence_count; i++)
    talloc_free (j->occurrences[i]);
  TALLOC_FREE (j->occurrences);
  j->occurrence_count = 0;
}

bool
jobs_is_forgotten (const struct cell *c, uint64_t ended_at_ms)
{
  return c->wall_ms > ended_at_ms
                          + 2 * c->settings.times.status_retention_s * MS_PER_S
         && c->wall_ms < ended_at_ms + DAY_MS;
}

/* Frees the tasks of ended jobs, and later the jobs.  */
static void
free_ended_jobs (struct cell *c)
{
  GHashTableIter it;
  gpointer value;

  g_hash_table_iter_init (&it, c->jobs);
  while (g_hash_table_iter_next (&it, NULL, &value))
    {
      struct job *j = value;

      if (!j->final || !j->end_stored)
        continue;
      if (j->spec != NULL && !occupies_runners (j))
        {
          free_occurrences (c, j);
          TALLOC_FREE (j->spec);
        }
      if (j->spec == NULL && jobs_is_forgotten (c, j->ended_at_ms))
        {
          g_hash_table_iter_remove (&it);
          talloc_free (j);
        }
    }
}

void
jobs_tick (struct cell *c)
{
  struct append *a = &c->append;

  if (a->in_flight)
    {
      if (a->retry_at_us != 0 && c->now_us >= a->retry_at_us)
        records_send (c);
      return;
    }
  if (c->ownership.yielding || c->ownership.releasing
      || c->now_us < a->resume_at_us)
    return;
  if (c->flush_now || waves_are_dirty (c) || confirmation_is_due (c)
      || (c->dirty_job_ids->len > 0
          && c->now_us >= c->dirty_at_us + FLUSH_DELAY_MS * US_PER_MS))
    records_flush (c);
  else if (c->dirty_job_ids->len == 0 && c->ends_unstored)
    {
      /* No record depends on the ends processed so far.  */
      records_note_watermarks (c);
      records_apply_watermarks (c);
      c->ends_unstored = false;
    }
  add_due_occurrences (c);
  /* This walks all jobs, so it is done in one of 64 steps on average.  */
  if (c->random % 64 == 0)
    free_ended_jobs (c);
}

/* Tells the calls that wait for J that the cell is lost, so that they are sent
   again to the new owner.  */
static void
reply_ownership_lost (struct cell *c, const struct job *j)
{
  guint i;

  for (i = 0; i < j->waiters->len; i++)
    send_reply_code (c, &g_array_index (j->waiters, struct waiter, i),
                     REPLY_OWNERSHIP_LOST, 0);
}

void
jobs_clear (struct cell *c)
{
  GHashTableIter it;
  gpointer value;

  g_hash_table_iter_init (&it, c->jobs);
  while (g_hash_table_iter_next (&it, NULL, &value))
    {
      reply_ownership_lost (c, value);
      g_hash_table_iter_remove (&it);
      talloc_free (value);
    }
  c->task_count = 0;
  g_ptr_array_set_size (c->active, 0);
  g_array_set_size (c->dirty_job_ids, 0);
  g_array_set_size (c->append.job_ids, 0);
  g_array_set_size (c->append.watermarks, 0);
  TALLOC_FREE (c->append.records);
  c->append.record_count = 0;
  c->append.in_flight = false;
  c->append.sequence = 0;
  c->append.resume_at_us = 0;
  c->flush_now = false;
  admission_clear (c);
  image_samples_clear (c);
  g_hash_table_remove_all (c->shares);
}
