/* request.c -- a caller's request from arrival to its one answer.  */

#include "core/state.h"

#include <string.h>

/** When a refused caller should come back.  */
#define RETRY_AFTER_MS 1000
/** Most attempts of one request.  */
#define ATTEMPT_LIMIT_COUNT 3

static void
answer (struct core *c, uint64_t request_id, enum answer_code code,
        uint32_t retry_after_ms)
{
  struct action *a = actions_add (c->out, ACTION_ANSWER);

  a->u.answer.request_id = request_id;
  a->u.answer.code = code;
  a->u.answer.retry_after_ms = retry_after_ms;
  c->counters[code == ANSWER_UNKNOWN ? COUNTER_UNKNOWN : COUNTER_REFUSED]++;
}

static struct pool_state *
pool_of_queue (struct core *c, const char *queue)
{
  const struct route_config *r = control_find_route (c->control, queue);

  return r == NULL ? NULL : &c->pools[r->pool_index];
}

static void
forget_request (struct core *c, struct request *r)
{
  g_hash_table_remove (c->requests, &r->request_id);
  blob_unref (r->body);
  talloc_free (r);
}

static void
refuse_waiting (struct core *c, struct pool_state *p, struct request *r,
                enum answer_code code)
{
  core_dequeue (c, p, r);
  answer (c, r->request_id, r->sent ? ANSWER_UNKNOWN : code, RETRY_AFTER_MS);
  forget_request (c, r);
}

void
core_expire_request (struct core *c, struct request *r)
{
  refuse_waiting (c, pool_of_queue (c, r->queue), r, ANSWER_EXPIRED);
}

void
core_start_attempt (struct core *c, struct request *r, uint32_t vm_index)
{
  const struct vm_config *v = &c->control->config->vms[vm_index];
  struct action *a = actions_add (c->out, ACTION_START);

  r->state = REQUEST_RUNNING;
  r->attempt_id = ++c->next_attempt_id;
  r->attempt_count++;
  g_hash_table_insert (c->attempts, &r->attempt_id, r);
  core_acquire (c, r, vm_index);
  c->counters[COUNTER_ATTEMPTS]++;
  a->u.start.attempt_id = r->attempt_id;
  text_copy (a->u.start.vm, NAME_BYTES, v->name);
  text_copy (a->u.start.address, ADDRESS_BYTES, v->address);
  text_copy (a->u.start.queue, NAME_BYTES, r->queue);
  text_copy (a->u.start.team, NAME_BYTES, r->team);
  a->u.start.timeout_ms = (uint32_t)((r->deadline_us - c->now_us) / US_PER_MS);
  a->u.start.body = blob_ref (r->body);
}

/* Returns why a request may not be taken, or ANSWER_WORKER if it may.  */
static enum answer_code
admit (const struct core *c, const struct event_request *e,
       const struct route_config *r, const struct key *k)
{
  if (c->stopping)
    return ANSWER_STOPPING;
  if (!core_is_fresh (c))
    return ANSWER_STALE;
  if (c->control->config == NULL || c->incarnation == 0)
    return ANSWER_NOT_READY;
  if (r == NULL)
    return ANSWER_NO_QUEUE;
  if (!r->open_to_all && k == NULL)
    return ANSWER_NO_KEY;
  if (!r->open_to_all && r->team[0] != '\0' && strcmp (r->team, k->team) != 0)
    return ANSWER_WRONG_TEAM;
  if (e->body->size_bytes > c->settings.max_body_bytes)
    return ANSWER_TOO_LARGE;
  if (r->route_class == ROUTE_JOB)
    return ANSWER_NOT_SUPPORTED;
  if (!core_route_fits (c, r))
    return ANSWER_CANNOT_FIT;
  if (c->pools[r->pool_index].queue.waiting_count >= r->queue_limit_count)
    return ANSWER_QUEUE_FULL;
  return ANSWER_WORKER;
}

static struct request *
make_request (struct core *c, const struct event_request *e,
              const struct route_config *route, const struct key *k)
{
  struct request *r = talloc_zero (c, struct request);
  uint32_t timeout_ms = route->timeout_ms;

  if (e->timeout_ms > 0 && e->timeout_ms < timeout_ms)
    timeout_ms = e->timeout_ms;
  r->request_id = e->request_id;
  r->deadline_us = c->now_us + timeout_ms * US_PER_MS;
  text_copy (r->queue, NAME_BYTES, route->queue);
  text_copy (r->team, NAME_BYTES, k != NULL ? k->team : route->team);
  r->idempotent = route->idempotent;
  r->body = e->body;
  g_hash_table_insert (c->requests, &r->request_id, r);
  return r;
}

void
core_on_request (struct core *c, struct event_request *e)
{
  const struct route_config *route = control_find_route (c->control, e->queue);
  const struct key *k
      = e->has_key ? control_find_key (c->control, e->key_digest) : NULL;
  enum answer_code code = admit (c, e, route, k);

  c->counters[COUNTER_REQUESTS]++;
  if (code != ANSWER_WORKER)
    {
      bool again = answer_code_http (code) == 503 || code == ANSWER_QUEUE_FULL;

      answer (c, e->request_id, code,
              code == ANSWER_QUEUE_FULL ? core_retry_after_ms (c, route)
              : again                   ? RETRY_AFTER_MS
                                        : 0);
      blob_unref (e->body);
      return;
    }
  core_enqueue (c, &c->pools[route->pool_index],
                make_request (c, e, route, k));
  core_dispatch_pool (c, route->pool_index);
}

void
core_on_cancel (struct core *c, const struct event_cancel *e)
{
  struct request *r = g_hash_table_lookup (c->requests, &e->request_id);
  struct pool_state *p;

  if (r == NULL || r->state != REQUEST_WAITING)
    return;
  p = pool_of_queue (c, r->queue);
  if (p == NULL)
    return;
  core_dequeue (c, p, r);
  forget_request (c, r);
}

static void
answer_from_worker (struct core *c, struct request *r, struct event_attempt *e)
{
  struct action *a = actions_add (c->out, ACTION_ANSWER);

  a->u.answer.request_id = r->request_id;
  a->u.answer.code = ANSWER_WORKER;
  a->u.answer.http_status = e->http_status;
  a->u.answer.body = e->body;
  c->counters[COUNTER_ANSWERED]++;
  forget_request (c, r);
}

/* Sends a request that failed to another worker, or answers truthfully.  */
static void
retry_or_answer (struct core *c, struct request *r, enum answer_code code)
{
  struct pool_state *p = pool_of_queue (c, r->queue);
  bool may_repeat = !r->sent || r->idempotent;

  if (p != NULL && may_repeat && r->attempt_count < ATTEMPT_LIMIT_COUNT
      && c->now_us < r->deadline_us)
    {
      core_enqueue (c, p, r);
      return;
    }
  answer (c, r->request_id, r->sent ? ANSWER_UNKNOWN : code, RETRY_AFTER_MS);
  forget_request (c, r);
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
  core_release (c, r);
  if (e->outcome == ATTEMPT_ANSWERED)
    core_measure_run (c, r, e->elapsed_us);
  switch (e->outcome)
    {
    case ATTEMPT_ANSWERED:
      answer_from_worker (c, r, e);
      break;
    case ATTEMPT_NO_ANSWER:
      r->sent = true;
      retry_or_answer (c, r, ANSWER_UNKNOWN);
      break;
    case ATTEMPT_NOT_SENT:
    case ATTEMPT_TURNED_AWAY:
      retry_or_answer (c, r, ANSWER_NO_WORKER);
      break;
    }
  core_dispatch_all (c);
}

void
core_expire (struct core *c)
{
  struct request *r;

  while ((r = deadline_next (&c->deadlines, c->now_us)) != NULL)
    core_expire_request (c, r);
}
