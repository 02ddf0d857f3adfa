/* decide.c -- feeds events to the core and hands its actions on.  */

#include "adapter/decide.h"

#include "adapter/log_client.h"
#include "adapter/outbox.h"

#include <sodium.h>
#include <stdatomic.h>

#define RING_COUNT 16384
/** Resolution of deadlines.  */
#define TICK_MS 20

STAILQ_HEAD (log_item_list, log_request);

struct decide
{
  struct duty *duty;
  struct core *core;
  struct actions actions;
  struct decide_outputs outputs;
  struct log_item_list log_items; /**< Await room in the log ring.  */
  struct member_list *members; /**< Awaits room in the peer ring, or NULL.  */
  struct outbox *returned;     /**< Attempts that could not be handed on.  */
  atomic_bool stop_asked;      /**< By another thread; taken at a tick.  */
  struct recorder *recorder;   /**< NULL unless the run is recorded.  */
};

/* Copies A to RING; returns false when the ring is full.  */
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

/* An attempt that the back ring has no room for has not been sent.  */
static void
return_attempt (struct decide *d, const struct action *a)
{
  struct event *e = talloc_zero (NULL, struct event);

  blob_unref (a->u.start.body);
  e->kind = EVENT_ATTEMPT_DONE;
  e->u.attempt.attempt_id = a->u.start.attempt_id;
  e->u.attempt.outcome = ATTEMPT_NOT_SENT;
  outbox_push (d->returned, e);
}

/* Appends keep their order, so a new one goes behind those that wait.  */
static void
send_log_item (struct decide *d, struct log_request *x)
{
  if (STAILQ_EMPTY (&d->log_items) && ring_push (d->outputs.log, x))
    return;
  STAILQ_INSERT_TAIL (&d->log_items, x, link);
}

static void
flush_log_items (struct decide *d)
{
  struct log_request *x;

  while ((x = STAILQ_FIRST (&d->log_items)) != NULL)
    {
      STAILQ_REMOVE_HEAD (&d->log_items, link);
      if (ring_push (d->outputs.log, x))
        continue;
      STAILQ_INSERT_HEAD (&d->log_items, x, link);
      return;
    }
}

static void
send_record (struct decide *d, struct record *r)
{
  struct log_request *x = talloc_zero (NULL, struct log_request);

  x->record = talloc_steal (x, r);
  send_log_item (d, x);
}

/* What a member must get is sent again until it is acknowledged.  */
static void
send_peer (struct decide *d, const struct action *a)
{
  if (!send_action (d->outputs.peer, a))
    peer_message_clear ((struct peer_message *)&a->u.peer);
}

static void
send_follow (struct decide *d, uint64_t offset)
{
  struct log_request *x = talloc_zero (NULL, struct log_request);

  x->follow = true;
  x->follow_offset = offset;
  send_log_item (d, x);
}

/* The newest list replaces one that still awaits room.  */
static void
send_members (struct decide *d, struct member_list *l)
{
  struct action a = { .kind = ACTION_MEMBERS, .u.members = l };

  if (d->members != l)
    talloc_free (d->members);
  d->members = send_action (d->outputs.peer, &a) ? NULL : l;
}

static void
hand_on (struct decide *d, const struct action *a)
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
        return_attempt (d, a);
      break;
    case ACTION_ABORT:
      send_action (d->outputs.worker_client, a);
      break;
    case ACTION_APPEND:
      send_record (d, a->u.append);
      break;
    case ACTION_PEER:
      send_peer (d, a);
      break;
    case ACTION_SEEK_LOG:
      send_follow (d, a->u.log_offset);
      break;
    case ACTION_MEMBERS:
      send_members (d, a->u.members);
      break;
    case ACTION_NOTE:
      timeline_add (d->outputs.timeline, &a->u.note);
      break;
    case ACTION_FLEET_OPERATION:
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
step (struct decide *d, struct event *e)
{
  uint32_t i;

  e->now_us = now_us ();
  randombytes_buf (&e->random, sizeof e->random);
  e->random >>= 1; /* A trace holds it as a signed number.  */
  if (d->recorder != NULL)
    recorder_begin_step (d->recorder, e);
  d->actions.item_count = 0;
  core_step (d->core, e, &d->actions);
  if (d->recorder != NULL)
    record_actions (d);
  for (i = 0; i < d->actions.item_count; i++)
    hand_on (d, &d->actions.items[i]);
}

static void
on_event (void *state, void *item)
{
  struct decide *d = state;

  step (d, item);
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
  if (atomic_exchange (&d->stop_asked, false))
    step (d, &stop);
  flush_log_items (d);
  if (d->members != NULL)
    send_members (d, d->members);
  step (d, &e);
  tevent_add_timer (loop, loop,
                    tevent_timeval_current_ofs (0, TICK_MS * US_PER_MS),
                    on_tick, state);
}

struct decide *
decide_new (const struct core_settings *s)
{
  struct decide *d = talloc_zero (NULL, struct decide);

  if (d == NULL)
    return NULL;
  STAILQ_INIT (&d->log_items);
  d->duty = duty_new ("decide", RING_COUNT, on_event, d);
  if (d->duty == NULL)
    {
      talloc_free (d);
      return NULL;
    }
  d->core = core_new (d, s);
  d->returned = outbox_new (d, d->duty->loop, d->duty->inbound, NULL, NULL);
  tevent_add_timer (d->duty->loop, d->duty->loop,
                    tevent_timeval_current_ofs (0, TICK_MS * US_PER_MS),
                    on_tick, d);
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
  atomic_store (&d->stop_asked, true);
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
  while ((x = STAILQ_FIRST (&d->log_items)) != NULL)
    {
      STAILQ_REMOVE_HEAD (&d->log_items, link);
      talloc_free (x);
    }
  talloc_free (d->returned);
  duty_free (d->duty);
  talloc_free (d);
}
