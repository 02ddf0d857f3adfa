/* attempt.c -- attempts of requests on workers: start, end, retry.  */

#include "core/state.h"

#include <stdio.h>

/** Lowest HTTP status of a worker that counts as a failure.  */
#define FAILURE_STATUS 500

/* Writes the task id of an attempt to ID.  It is unique in the fleet, so the
   worker and this entry recognize a late answer or one to another attempt.  */
static void
write_task_id (const struct core *c, uint64_t attempt_id, char *id)
{
  snprintf (id, ID_BYTES, "%.24s-%016llx-%llu", c->settings.vm,
            (unsigned long long)c->settings.boot_id,
            (unsigned long long)attempt_id);
}

void
core_start_attempt (struct core *c, struct request *r, uint32_t vm_index)
{
  const struct vm_config *v = &c->control->config->vms[vm_index];
  struct action *a = actions_add (c->out, ACTION_START);

  r->state = REQUEST_RUNNING;
  r->attempt_id = ++c->last_attempt_id;
  r->attempt_count++;
  g_hash_table_insert (c->attempts, &r->attempt_id, r);
  core_acquire_slot (c, r, vm_index);
  c->counters[COUNTER_ATTEMPTS]++;
  if (r->attempt_count > 1)
    c->counters[COUNTER_RETRIES]++;
  a->u.start.attempt_id = r->attempt_id;
  text_copy (a->u.start.vm, NAME_BYTES, v->name);
  text_copy (a->u.start.address, ADDRESS_BYTES, v->address);
  text_copy (a->u.start.queue, NAME_BYTES, r->queue);
  text_copy (a->u.start.team, NAME_BYTES, r->team);
  write_task_id (c, r->attempt_id, a->u.start.task_id);
  a->u.start.idempotent = r->idempotent;
  a->u.start.timeout_ms = (uint32_t)((r->deadline_us - c->now_us) / US_PER_MS);
  a->u.start.body = blob_ref (r->body);
}

static bool
has_failed (const struct event_attempt *e)
{
  switch (e->outcome)
    {
    case ATTEMPT_ANSWERED:
      return e->http_status >= FAILURE_STATUS;
    case ATTEMPT_NOT_SENT:
    case ATTEMPT_NO_ANSWER:
      return true;
    case ATTEMPT_REJECTED:
      break;
    }
  return false;
}

static void
update_health (struct core *c, struct request *r,
               const struct event_attempt *e)
{
  if (c->control->config == NULL)
    return;
  if (has_failed (e) || e->outcome == ATTEMPT_REJECTED)
    core_health_failure (c, r, e->outcome);
  else
    core_health_success (c, r);
}

/* Queues R again after its back-off.  */
static void
back_off (struct core *c, struct pool_state *p, struct request *r)
{
  uint64_t delay_us = retry_delay_us (r->attempt_count, c->random);

  if (delay_us == 0)
    {
      core_enqueue (c, p, r);
      return;
    }
  r->state = REQUEST_BACKING_OFF;
  r->retry_at_us = c->now_us + delay_us;
  TAILQ_INSERT_TAIL (&c->backing_off, r, link);
}

/* Schedules another attempt of R and returns true, if R may be run again and
   its attempts, its deadline and the retry budget of its pool allow it.  */
static bool
retry (struct core *c, struct request *r)
{
  struct pool_state *p = core_pool_of_queue (c, r->queue);

  if (p == NULL || (r->maybe_sent && !r->idempotent)
      || r->attempt_count >= ATTEMPT_LIMIT_COUNT
      || c->now_us >= r->deadline_us)
    return false;
  if (!retry_budget_spend (&p->retry_budget, c->now_us))
    {
      c->counters[COUNTER_RETRY_DENIED]++;
      return false;
    }
  back_off (c, p, r);
  return true;
}

static void
on_answered (struct core *c, struct request *r, const struct event_attempt *e)
{
  struct action_answer a = { .code = ANSWER_WORKER,
                             .http_status = e->http_status,
                             .body = e->body };
  struct pool_state *p = core_pool_of_queue (c, r->queue);

  r->maybe_sent = true;
  if (has_failed (e) && retry (c, r))
    {
      blob_unref (e->body);
      return;
    }
  if (p != NULL && !has_failed (e))
    retry_budget_deposit (&p->retry_budget, c->now_us);
  core_answer (c, r, &a);
}

static void
on_end (struct core *c, struct request *r, const struct event_attempt *e)
{
  switch (e->outcome)
    {
    case ATTEMPT_ANSWERED:
      on_answered (c, r, e);
      break;
    case ATTEMPT_NO_ANSWER:
      r->maybe_sent = true;
      if (!retry (c, r))
        core_refuse (c, r, ANSWER_UNKNOWN);
      break;
    case ATTEMPT_NOT_SENT:
    case ATTEMPT_REJECTED:
      if (!retry (c, r))
        core_refuse (c, r, ANSWER_NO_WORKER);
      break;
    }
}

/* Handles the end of an attempt whose request was answered already: drops the
   worker's answer.  */
static void
on_late_end (struct core *c, struct request *r, const struct event_attempt *e)
{
  c->counters[COUNTER_LATE_ENDS]++;
  blob_unref (e->body);
  talloc_free (r);
}

void
core_on_attempt (struct core *c, struct event_attempt *e)
{
  struct request *r = g_hash_table_lookup (c->attempts, &e->attempt_id);

  if (r == NULL)
    {
      blob_unref (e->body);
      return;
    }
  g_hash_table_remove (c->attempts, &r->attempt_id);
  r->attempt_id = 0;
  update_health (c, r, e);
  core_release_slot (c, r);
  if (e->outcome == ATTEMPT_ANSWERED)
    core_record_run_time (c, r, e->elapsed_us);
  if (r->state == REQUEST_ANSWERED)
    on_late_end (c, r, e);
  else
    on_end (c, r, e);
  core_dispatch_all (c);
}

void
core_backoff_tick (struct core *c)
{
  struct request *r;
  struct request *next;
  bool any_queued = false;

  for (r = TAILQ_FIRST (&c->backing_off); r != NULL; r = next)
    {
      struct pool_state *p = core_pool_of_queue (c, r->queue);

      next = TAILQ_NEXT (r, link);
      if (r->retry_at_us > c->now_us)
        continue;
      TAILQ_REMOVE (&c->backing_off, r, link);
      any_queued = true;
      if (p != NULL)
        core_enqueue (c, p, r);
      else
        core_refuse (c, r, ANSWER_NO_QUEUE);
    }
  if (any_queued)
    core_dispatch_all (c);
}
