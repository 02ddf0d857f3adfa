/* worker_client.c -- runs attempts on workers and reports their ends.

   The ring holds struct action (START, ABORT), each a talloc tree of its
   own.  An end that finds the decide ring full is kept and pushed again by a
   timer: an answer is never dropped.  */

#include "adapter/worker_client.h"

#include "adapter/http_client.h"
#include "adapter/outbox.h"

#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#define RING_COUNT 16384
/** Connections to one worker, as each runner offers.  */
#define WORKER_CONNECTION_COUNT 64
#define CONNECT_LIMIT_MS 1000
/** An attempt is given up this long after its lease.  The worker counts the
    lease from the arrival, which connecting may delay by CONNECT_LIMIT_MS; so
    the lease has lapsed there when the attempt's end gives the slot back.  */
#define LEASE_MARGIN_MS (CONNECT_LIMIT_MS + 500)
#define LINE_BYTES 160

struct attempt
{
  struct worker_client *back;
  uint64_t attempt_id;
  void *call; /**< Id of the HTTP call.  */
  struct attempt *next;
};

struct worker_client
{
  struct duty *duty;
  struct http_client *http;
  struct outbox *decide; /**< Ends of attempts: never dropped.  */
  struct attempt *attempts;
};

static void
unlink_attempt (struct attempt *a)
{
  struct attempt **p = &a->back->attempts;

  while (*p != a)
    p = &(*p)->next;
  *p = a->next;
}

/* A 503 alone says nothing of the run: only `Run: no` does.  */
static enum attempt_outcome
outcome_of (const struct http_result *r)
{
  if (!r->answered)
    return r->sent ? ATTEMPT_NO_ANSWER : ATTEMPT_NOT_SENT;
  if (r->wrong_task_id)
    return ATTEMPT_NO_ANSWER;
  if (r->status == 503 && r->not_run)
    return ATTEMPT_REJECTED;
  return ATTEMPT_ANSWERED;
}

static void
on_done (void *state, const struct http_result *r)
{
  struct attempt *a = state;
  struct event *e = talloc_zero (NULL, struct event);

  e->kind = EVENT_ATTEMPT_DONE;
  e->u.attempt.attempt_id = a->attempt_id;
  e->u.attempt.outcome = outcome_of (r);
  e->u.attempt.http_status = r->status;
  e->u.attempt.elapsed_us = r->elapsed_us;
  if (e->u.attempt.outcome == ATTEMPT_ANSWERED)
    e->u.attempt.body = blob_ref (r->body);
  outbox_push (a->back->decide, e);
  unlink_attempt (a);
  talloc_free (a);
}

static void
report_not_sent (struct worker_client *b, uint64_t attempt_id)
{
  struct event *e = talloc_zero (NULL, struct event);

  e->kind = EVENT_ATTEMPT_DONE;
  e->u.attempt.attempt_id = attempt_id;
  e->u.attempt.outcome = ATTEMPT_NOT_SENT;
  outbox_push (b->decide, e);
}

static void
start (struct worker_client *b, const struct action_start *s)
{
  struct attempt *a = talloc_zero (b, struct attempt);
  char url[LINE_BYTES];
  char task[LINE_BYTES];
  char queue[LINE_BYTES];
  char team[LINE_BYTES];
  char lease[LINE_BYTES];
  const char *const lines[] = { task, queue, team, lease, NULL };
  struct http_call call = {
    .method = "POST",
    .url = url,
    .header_lines = lines,
    .body = s->body,
    .timeout_ms = s->timeout_ms + LEASE_MARGIN_MS,
    .connect_timeout_ms = CONNECT_LIMIT_MS,
    .task_id = s->task_id,
    .send_once = true,
    .fresh_connection = !s->idempotent,
    .on_done = on_done,
    .state = a,
  };

  snprintf (url, sizeof url, "http://%s/v1/run", s->address);
  snprintf (task, sizeof task, "Task-Id: %s", s->task_id);
  snprintf (queue, sizeof queue, "Queue: %s", s->queue);
  snprintf (team, sizeof team, "Team: %s", s->team);
  snprintf (lease, sizeof lease, "Lease-Ms: %" PRIu32, s->timeout_ms);
  a->back = b;
  a->attempt_id = s->attempt_id;
  a->next = b->attempts;
  b->attempts = a;
  a->call = http_client_start (b->http, &call);
  if (a->call != NULL)
    return;
  unlink_attempt (a);
  talloc_free (a);
  report_not_sent (b, s->attempt_id);
}

static void
abort_attempt (struct worker_client *b, uint64_t attempt_id)
{
  struct attempt *a;

  for (a = b->attempts; a != NULL; a = a->next)
    if (a->attempt_id == attempt_id)
      {
        http_client_abort (b->http, a->call);
        unlink_attempt (a);
        talloc_free (a);
        return;
      }
}

static void
on_action (void *state, void *item)
{
  struct worker_client *b = state;
  struct action *a = item;

  switch (a->kind)
    {
    case ACTION_START:
      start (b, &a->u.start);
      blob_unref (a->u.start.body);
      break;
    case ACTION_ABORT:
      abort_attempt (b, a->u.abort.attempt_id);
      break;
    default:
      break;
    }
  talloc_free (a);
}

struct worker_client *
worker_client_new (struct ring *decide)
{
  struct worker_client *b = talloc_zero (NULL, struct worker_client);

  if (b == NULL)
    return NULL;
  b->duty = duty_new ("back", RING_COUNT, on_action, b);
  if (b->duty == NULL)
    {
      talloc_free (b);
      return NULL;
    }
  b->http = http_client_new (b->duty->loop, b->duty->loop,
                             WORKER_CONNECTION_COUNT);
  b->decide = outbox_new (b, b->duty->loop, decide, NULL, NULL);
  return b;
}

struct duty *
worker_client_duty (struct worker_client *b)
{
  return b->duty;
}

void
worker_client_free (struct worker_client *b)
{
  struct action *a;

  if (b == NULL)
    return;
  while (ring_pop (b->duty->inbound, (void **)&a, 1) > 0)
    {
      if (a->kind == ACTION_START)
        blob_unref (a->u.start.body);
      talloc_free (a);
    }
  talloc_free (b->http);
  talloc_free (b->decide);
  duty_free (b->duty);
  talloc_free (b);
}
