/* request.c -- a caller's request from its arrival to its answer.  */

#include "core/state.h"

#include <stdlib.h>
#include <string.h>

/** Time after which a refused caller should try again.  */
#define RETRY_AFTER_MS 1000

struct pool_state *
core_pool_of_queue (struct core *c, const char *queue)
{
  const struct route_config *r = control_find_route (c->control, queue);

  return r == NULL ? NULL : &c->pools[r->pool_index];
}

static void
count_answer (struct core *c, enum answer_code code)
{
  if (code == ANSWER_WORKER)
    c->counters[COUNTER_ANSWERED]++;
  else if (strcmp (answer_code_was_run (code), "unknown") == 0)
    c->counters[COUNTER_UNKNOWN]++;
  else
    c->counters[COUNTER_REFUSED]++;
}

void
core_answer (struct core *c, struct request *r, const struct action_answer *a)
{
  struct action *x = actions_add (c->out, ACTION_ANSWER);

  x->u.answer = *a;
  x->u.answer.request_id = r->request_id;
  count_answer (c, a->code);
  if (r->claim != NULL)
    core_idempotency_complete (c, r->claim, a);
  r->claim = NULL;
  g_hash_table_remove (c->requests, &r->request_id);
  deadline_remove (&c->deadlines, r);
  blob_unref (r->body);
  r->body = NULL;
  if (r->attempt_id == 0)
    talloc_free (r);
  else
    r->state = REQUEST_ANSWERED;
}

void
core_refuse (struct core *c, struct request *r, enum answer_code code)
{
  struct action_answer a = { .code = r->maybe_sent ? ANSWER_UNKNOWN : code };

  /* No Retry-After if the request may have run: a repeat may run it twice.  */
  if (strcmp (answer_code_was_run (a.code), "no") == 0)
    a.retry_after_ms = RETRY_AFTER_MS;
  core_answer (c, r, &a);
}

void
core_leave_queue (struct core *c, struct request *r)
{
  switch (r->state)
    {
    case REQUEST_WAITING:
      core_dequeue (c, core_pool_of_queue (c, r->queue), r);
      break;
    case REQUEST_BACKING_OFF:
      TAILQ_REMOVE (&c->backing_off, r, link);
      break;
    case REQUEST_CLAIMING:
    case REQUEST_RUNNING:
    case REQUEST_ANSWERED:
      break;
    }
}

/* Answers R without waiting any longer: with ANSWER_TIMED_OUT if it runs, with
   ANSWER_UNKNOWN if it claims its key or may have reached a worker before, or
   else with CODE.  */
static void
give_up (struct core *c, struct request *r, enum answer_code code)
{
  struct action_answer timed_out = { .code = ANSWER_TIMED_OUT };

  core_leave_queue (c, r);
  if (r->state == REQUEST_RUNNING)
    core_answer (c, r, &timed_out);
  else
    /* While R claims its key, another entry may have run the request.  */
    core_refuse (c, r, r->state == REQUEST_CLAIMING ? ANSWER_UNKNOWN : code);
}

/* Returns why a request is refused, or ANSWER_WORKER if it is admitted.  */
static enum answer_code
admit (const struct core *c, const struct event_request *e,
       const struct route_config *r, const struct granted_key *k)
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
              const struct route_config *route, const char *team)
{
  struct request *r = talloc_zero (c, struct request);
  uint32_t timeout_ms = route->timeout_ms;

  if (e->timeout_ms > 0 && e->timeout_ms < timeout_ms)
    timeout_ms = e->timeout_ms;
  r->request_id = e->request_id;
  r->deadline_us = c->now_us + timeout_ms * US_PER_MS;
  text_copy (r->queue, NAME_BYTES, route->queue);
  text_copy (r->team, NAME_BYTES, team);
  r->idempotent = route->idempotent;
  r->body = e->body;
  g_hash_table_insert (c->requests, &r->request_id, r);
  deadline_add (&c->deadlines, r);
  return r;
}

/* Refuses a request that was not admitted.  */
static void
refuse_event (struct core *c, struct event_request *e, enum answer_code code)
{
  struct action *a = actions_add (c->out, ACTION_ANSWER);
  bool retryable
      = answer_code_http_status (code) == 503 || code == ANSWER_QUEUE_FULL;

  a->u.answer.request_id = e->request_id;
  a->u.answer.code = code;
  a->u.answer.retry_after_ms = retryable ? RETRY_AFTER_MS : 0;
  if (code == ANSWER_QUEUE_FULL)
    a->u.answer.retry_after_ms
        = core_retry_after_ms (c, control_find_route (c->control, e->queue));
  count_answer (c, code);
  blob_unref (e->body);
}

void
core_on_request (struct core *c, struct event_request *e)
{
  const struct route_config *route = control_find_route (c->control, e->queue);
  const struct granted_key *k
      = e->has_key ? control_find_key (c->control, e->key_digest) : NULL;
  enum answer_code code = admit (c, e, route, k);
  struct key_claim *claim = NULL;
  struct request *r;
  const char *team;

  c->counters[COUNTER_REQUESTS]++;
  if (code != ANSWER_WORKER)
    {
      refuse_event (c, e, code);
      return;
    }
  team = k != NULL ? k->team : route->team;
  if (!core_idempotency_begin (c, e, team, &claim))
    {
      blob_unref (e->body);
      return;
    }
  r = make_request (c, e, route, team);
  r->claim = claim;
  if (claim != NULL && !core_idempotency_acquire (c, r))
    return;
  core_enqueue (c, &c->pools[route->pool_index], r);
  core_dispatch_pool (c, route->pool_index);
}

void
core_on_cancel (struct core *c, const struct event_cancel *e)
{
  struct request *r = g_hash_table_lookup (c->requests, &e->request_id);

  if (r == NULL || r->state == REQUEST_RUNNING)
    return;
  if (r->claim != NULL && core_idempotency_has_repeats (r->claim))
    return;
  give_up (c, r, ANSWER_CANCELLED);
}

void
core_expire_request (struct core *c, struct request *r)
{
  give_up (c, r, ANSWER_EXPIRED);
}

static int
compare_requests (const void *a, const void *b)
{
  uint64_t x = (*(struct request *const *)a)->request_id;
  uint64_t y = (*(struct request *const *)b)->request_id;

  return x < y ? -1 : x > y;
}

/* Returns the unanswered requests in order of their ids, which is the order of
   arrival.  The caller frees the array.  */
static struct request **
list_requests (struct core *c, uint32_t *count)
{
  struct request **list = talloc_array (c, struct request *,
                                        g_hash_table_size (c->requests) + 1);
  GHashTableIter it;
  gpointer value;

  *count = 0;
  g_hash_table_iter_init (&it, c->requests);
  while (g_hash_table_iter_next (&it, NULL, &value))
    list[(*count)++] = value;
  qsort (list, *count, sizeof (struct request *), compare_requests);
  return list;
}

void
core_answer_expired (struct core *c)
{
  struct request *r;

  while ((r = deadline_find_expired (&c->deadlines, c->now_us)) != NULL)
    give_up (c, r, ANSWER_EXPIRED);
}

void
core_answer_remaining (struct core *c)
{
  uint32_t n;
  struct request **list = list_requests (c, &n);
  uint32_t i;

  for (i = 0; i < n; i++)
    give_up (c, list[i], ANSWER_STOPPING);
  talloc_free (list);
}
