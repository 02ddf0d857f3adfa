/* worker_client.c -- runs attempts of tasks on workers and reports their ends.

   The end of an attempt is never dropped: it is queued while the decide ring
   is full.  */

#include "adapter/worker_client.h"

#include "adapter/http_client.h"
#include "adapter/outbox.h"

#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#define RING_CAPACITY_COUNT 16384
/** Most connections to one worker: as many as a worker accepts.  */
#define WORKER_CONNECTION_LIMIT_COUNT 64
#define CONNECT_TIMEOUT_MS 1000
/** An attempt times out this long after its lease.  The worker counts the
    lease from the arrival of the request, which connecting may delay by
    CONNECT_TIMEOUT_MS; so the lease has expired there when the end of the
    attempt frees the slot.  */
#define LEASE_MARGIN_MS (CONNECT_TIMEOUT_MS + 500)
#define LINE_BYTES 160

struct attempt
{
  struct worker_client *client;
  uint64_t attempt_id;
  void *call; /**< Id of its HTTP call.  */
  struct attempt *next;
};

struct worker_client
{
  struct duty *duty;
  struct http_client *http;
  struct outbox *decide; /**< Takes the ends of attempts.  */
  struct attempt *attempts;
};

static void
unlink_attempt (struct attempt *a)
{
  struct attempt **p = &a->client->attempts;

  while (*p != a)
    p = &(*p)->next;
  *p = a->next;
}

/* Only the header `Run: no` proves that the task was not run; a 503 without it
   does not.  */
static enum attempt_outcome
decode_outcome (const struct http_result *r)
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
  e->u.attempt.outcome = decode_outcome (r);
  e->u.attempt.http_status = r->status;
  e->u.attempt.elapsed_us = r->elapsed_us;
  if (e->u.attempt.outcome == ATTEMPT_ANSWERED)
    e->u.attempt.body = blob_ref (r->body);
  outbox_push (a->client->decide, e);
  unlink_attempt (a);
  talloc_free (a);
}

static void
report_not_sent (struct worker_client *c, uint64_t attempt_id)
{
  struct event *e = talloc_zero (NULL, struct event);

  e->kind = EVENT_ATTEMPT_DONE;
  e->u.attempt.attempt_id = attempt_id;
  e->u.attempt.outcome = ATTEMPT_NOT_SENT;
  outbox_push (c->decide, e);
}

static void
start_attempt (struct worker_client *c, const struct action_start *s)
{
  struct attempt *a = talloc_zero (c, struct attempt);
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
    .connect_timeout_ms = CONNECT_TIMEOUT_MS,
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
  a->client = c;
  a->attempt_id = s->attempt_id;
  a->next = c->attempts;
  c->attempts = a;
  a->call = http_client_start (c->http, &call);
  if (a->call != NULL)
    return;
  unlink_attempt (a);
  talloc_free (a);
  report_not_sent (c, s->attempt_id);
}

static void
abort_attempt (struct worker_client *c, uint64_t attempt_id)
{
  struct attempt *a;

  for (a = c->attempts; a != NULL; a = a->next)
    if (a->attempt_id == attempt_id)
      {
        http_client_abort (c->http, a->call);
        unlink_attempt (a);
        talloc_free (a);
        return;
      }
}

static void
on_action (void *state, void *item)
{
  struct worker_client *c = state;
  struct action *a = item;

  switch (a->kind)
    {
    case ACTION_START:
      start_attempt (c, &a->u.start);
      blob_unref (a->u.start.body);
      break;
    case ACTION_ABORT:
      abort_attempt (c, a->u.abort.attempt_id);
      break;
    default:
      break;
    }
  talloc_free (a);
}

struct worker_client *
worker_client_new (struct ring *decide)
{
  struct worker_client *c = talloc_zero (NULL, struct worker_client);

  if (c == NULL)
    return NULL;
  c->duty = duty_new ("back", RING_CAPACITY_COUNT, on_action, c);
  if (c->duty == NULL)
    {
      talloc_free (c);
      return NULL;
    }
  c->http = http_client_new (c->duty->loop, c->duty->loop,
                             WORKER_CONNECTION_LIMIT_COUNT);
  c->decide = outbox_new (c, c->duty->loop, decide, NULL, NULL);
  return c;
}

struct duty *
worker_client_duty (struct worker_client *c)
{
  return c->duty;
}

void
worker_client_free (struct worker_client *c)
{
  struct action *a;

  if (c == NULL)
    return;
  while (ring_pop (c->duty->inbound, (void **)&a, 1) > 0)
    {
      if (a->kind == ACTION_START)
        blob_unref (a->u.start.body);
      talloc_free (a);
    }
  talloc_free (c->http);
  talloc_free (c->decide);
  duty_free (c->duty);
  talloc_free (c);
}
