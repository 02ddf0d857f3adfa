/* decide.c -- feeds events to the core and dispatches its actions.  */

#include "adapter/decide.h"

#include "adapter/log_client.h"
#include "adapter/outbox.h"
#include "adapter/timer.h"

#include <sodium.h>
#include <stdatomic.h>

#define RING_CAPACITY_COUNT 16384
/** Interval of EVENT_TICK, hence the resolution of the core's deadlines.  */
#define TICK_MS 20

STAILQ_HEAD (log_request_list, log_request);

struct decide
{
  struct duty *duty;
  struct core *core;
  struct actions actions;
  struct decide_outputs outputs;
  /** Requests not yet sent, as the log ring was full; oldest first.  */
  struct log_request_list log_requests;
  /** Member list not yet sent, as the peer ring was full; else NULL.  */
  struct member_list *members;
  /** EVENT_ATTEMPT_DONE of the attempts that found the worker client's ring
      full.  */
  struct outbox *unsent_attempts;
  atomic_bool stop_requested; /**< Set by any thread, read at a tick.  */
  struct recorder *recorder;  /**< NULL unless the run is recorded.  */
};

/* Pushes a copy of A to RING; returns false when the ring is full.  */
static bool
send_action (struct ring *ring, const struct action *a)
{
  struct action *copy = talloc (NULL, struct action);

  *copy = *a;
  if (ring_push (ring, copy))
    return true;
  talloc_free (copy);
  return false;
}

/* Ends an attempt as ATTEMPT_NOT_SENT, as the worker client's ring is full. */
static void
fail_attempt (struct decide *d, const struct action *a)
{
  struct event *e = talloc_zero (NULL, struct event);

  blob_unref (a->u.start.body);
  e->kind = EVENT_ATTEMPT_DONE;
  e->u.attempt.attempt_id = a->u.start.attempt_id;
  e->u.attempt.outcome = ATTEMPT_NOT_SENT;
  outbox_push (d->unsent_attempts, e);
}

/* Requests keep their order, as appends must: X goes behind those not yet
   sent.  */
static void
send_log_request (struct decide *d, struct log_request *x)
{
  if (STAILQ_EMPTY (&d->log_requests) && ring_push (d->outputs.log, x))
    return;
  STAILQ_INSERT_TAIL (&d->log_requests, x, link);
}

static void
flush_log_requests (struct decide *d)
{
  struct log_request *x;

  while ((x = STAILQ_FIRST (&d->log_requests)) != NULL)
    {
      STAILQ_REMOVE_HEAD (&d->log_requests, link);
      if (ring_push (d->outputs.log, x))
        continue;
      STAILQ_INSERT_HEAD (&d->log_requests, x, link);
      return;
    }
}

static void
send_record (struct decide *d, struct record *r)
{
  struct log_request *x = talloc_zero (NULL, struct log_request);

  x->record = talloc_steal (x, r);
  send_log_request (d, x);
}

/* Drops the message when the ring is full: the core resends what a member must
   get until it is acknowledged.  */
static void
send_peer_message (struct decide *d, const struct action *a)
{
  if (!send_action (d->outputs.peer, a))
    peer_message_clear ((struct peer_message *)&a->u.peer);
}

static void
send_seek_request (struct decide *d, uint64_t offset)
{
  struct log_request *x = talloc_zero (NULL, struct log_request);

  x->seek = true;
  x->seek_offset = offset;
  send_log_request (d, x);
}

/* Sends L, or keeps it for the next tick when the ring is full.  It replaces
   an older list that is still kept.  */
static void
send_members (struct decide *d, struct member_list *l)
{
  struct action a = { .kind = ACTION_MEMBERS, .u.members = l };

  if (d->members != l)
    talloc_free (d->members);
  d->members = send_action (d->outputs.peer, &a) ? NULL : l;
}

static void
dispatch_action (struct decide *d, const struct action *a)
{
  switch (a->kind)
    {
    case ACTION_ANSWER:
      if (!send_action (d->outputs.front, a))
        blob_unref (a->u.answer.body);
      break;
    case ACTION_STATUS:
      if (!send_action (d->outputs.front, a))
        talloc_free (a->u.status.status);
      break;
    case ACTION_START:
      if (!send_action (d->outputs.worker_client, a))
        fail_attempt (d, a);
      break;
    case ACTION_ABORT:
      send_action (d->outputs.worker_client, a);
      break;
    case ACTION_APPEND:
      send_record (d, a->u.append);
      break;
    case ACTION_PEER:
      send_peer_message (d, a);
      break;
    case ACTION_SEEK_LOG:
      send_seek_request (d, a->u.log_offset);
      break;
    case ACTION_MEMBERS:
      send_members (d, a->u.members);
      break;
    case ACTION_NOTE:
      timeline_add (d->outputs.timeline, &a->u.note);
      break;
    case ACTION_FLEET_OPERATION:
      /* Dropped when the ring is full: the core sends it again.  */
      if (d->outputs.fleet != NULL)
        send_action (d->outputs.fleet, a);
      break;
    case ACTION_EXIT:
      send_action (d->outputs.front, a);
      break;
    }
}

static void
record_actions (struct decide *d)
{
  uint32_t i;

  for (i = 0; i < d->actions.item_count; i++)
    recorder_add_action (d->recorder, &d->actions.items[i]);
  recorder_end_step (d->recorder);
}

static void
run_step (struct decide *d, struct event *e)
{
  uint32_t i;

  e->now_us = now_us ();
  randombytes_buf (&e->random, sizeof e->random);
  e->random >>= 1; /* JSON integers of a trace are signed.  */
  if (d->recorder != NULL)
    recorder_begin_step (d->recorder, e);
  d->actions.item_count = 0;
  core_step (d->core, e, &d->actions);
  if (d->recorder != NULL)
    record_actions (d);
  for (i = 0; i < d->actions.item_count; i++)
    dispatch_action (d, &d->actions.items[i]);
}

static void
on_event (void *state, void *item)
{
  struct decide *d = state;

  run_step (d, item);
  talloc_free (item);
}

static void
on_tick (struct tevent_context *loop, struct tevent_timer *te,
         struct timeval at, void *state)
{
  struct decide *d = state;
  struct event e = { .kind = EVENT_TICK };
  struct event stop = { .kind = EVENT_STOP };

  (void)te;
  (void)at;
  if (atomic_exchange (&d->stop_requested, false))
    run_step (d, &stop);
  flush_log_requests (d);
  if (d->members != NULL)
    send_members (d, d->members);
  run_step (d, &e);
  timer_add (loop, loop, TICK_MS * US_PER_MS, on_tick, state);
}

struct decide *
decide_new (const struct core_settings *s)
{
  struct decide *d = talloc_zero (NULL, struct decide);

  if (d == NULL)
    return NULL;
  STAILQ_INIT (&d->log_requests);
  d->duty = duty_new ("decide", RING_CAPACITY_COUNT, on_event, d);
  if (d->duty == NULL)
    {
      talloc_free (d);
      return NULL;
    }
  d->core = core_new (d, s);
  d->unsent_attempts
      = outbox_new (d, d->duty->loop, d->duty->inbound, NULL, NULL);
  timer_add (d->duty->loop, d->duty->loop, TICK_MS * US_PER_MS, on_tick, d);
  return d;
}

void
decide_set_outputs (struct decide *d, const struct decide_outputs *o)
{
  d->outputs = *o;
}

void
decide_set_recorder (struct decide *d, struct recorder *r)
{
  d->recorder = r;
}

void
decide_stop (struct decide *d)
{
  atomic_store (&d->stop_requested, true);
}

struct duty *
decide_duty (struct decide *d)
{
  return d->duty;
}

void
decide_free (struct decide *d)
{
  struct log_request *x;
  struct event *e;

  if (d == NULL)
    return;
  while (ring_pop (d->duty->inbound, (void **)&e, 1) > 0)
    event_free (e);
  talloc_free (d->actions.items);
  talloc_free (d->members);
  while ((x = STAILQ_FIRST (&d->log_requests)) != NULL)
    {
      STAILQ_REMOVE_HEAD (&d->log_requests, link);
      talloc_free (x);
    }
  talloc_free (d->unsent_attempts);
  duty_free (d->duty);
  talloc_free (d);
}
