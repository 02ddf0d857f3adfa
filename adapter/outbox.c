/* outbox.c -- queues events while the decide ring is full.  */

#include "adapter/outbox.h"

#include "adapter/timer.h"

#include <sys/queue.h>

#define RETRY_DELAY_US 2000

struct queued_event
{
  STAILQ_ENTRY (queued_event) link;
  struct event *event;
};

STAILQ_HEAD (event_queue, queued_event);

struct outbox
{
  struct tevent_context *loop;
  struct ring *ring;
  struct event_queue queue; /**< Oldest first.  */
  outbox_drained_fn *on_drained;
  void *state; /**< Passed to on_drained.  */
};

static void on_push_timer (struct tevent_context *loop,
                           struct tevent_timer *te, struct timeval at,
                           void *state);

static void
schedule_push (struct outbox *o)
{
  timer_add (o->loop, o, RETRY_DELAY_US, on_push_timer, o);
}

static void
on_push_timer (struct tevent_context *loop, struct tevent_timer *te,
               struct timeval at, void *state)
{
  struct outbox *o = state;
  struct queued_event *k;

  (void)loop;
  (void)te;
  (void)at;
  while ((k = STAILQ_FIRST (&o->queue)) != NULL
         && ring_push (o->ring, k->event))
    {
      STAILQ_REMOVE_HEAD (&o->queue, link);
      talloc_free (k);
    }
  if (k != NULL)
    schedule_push (o);
  else if (o->on_drained != NULL)
    o->on_drained (o->state);
}

static int
drop_queued (struct outbox *o)
{
  struct queued_event *k;

  STAILQ_FOREACH (k, &o->queue, link)
  event_free (k->event);
  return 0;
}

struct outbox *
outbox_new (TALLOC_CTX *mem, struct tevent_context *loop, struct ring *ring,
            outbox_drained_fn *on_drained, void *state)
{
  struct outbox *o = talloc_zero (mem, struct outbox);

  if (o == NULL)
    return NULL;
  o->loop = loop;
  o->ring = ring;
  o->on_drained = on_drained;
  o->state = state;
  STAILQ_INIT (&o->queue);
  talloc_set_destructor (o, drop_queued);
  return o;
}

void
outbox_push (struct outbox *o, struct event *e)
{
  bool first = STAILQ_EMPTY (&o->queue);
  struct queued_event *k;

  if (first && ring_push (o->ring, e))
    return;
  k = talloc (o, struct queued_event);
  if (k == NULL)
    out_of_memory ();
  k->event = e;
  STAILQ_INSERT_TAIL (&o->queue, k, link);
  if (first)
    schedule_push (o);
}

bool
outbox_is_empty (const struct outbox *o)
{
  return STAILQ_EMPTY (&o->queue);
}
