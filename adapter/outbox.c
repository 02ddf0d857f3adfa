/* outbox.c -- keeping events while the decide ring is full.  */

#include "adapter/outbox.h"

#include <sys/queue.h>

#define RETRY_PUSH_US 2000

struct kept_event
{
  STAILQ_ENTRY (kept_event) link;
  struct event *event;
};

STAILQ_HEAD (kept_list, kept_event);

struct outbox
{
  struct tevent_context *loop;
  struct ring *ring;
  struct kept_list kept; /**< In the order of their push.  */
  outbox_drained_fn *on_room;
  void *state; /**< Passed to on_room.  */
};

static void on_push_again (struct tevent_context *loop,
                           struct tevent_timer *te, struct timeval at,
                           void *state);

static void
push_later (struct outbox *o)
{
  tevent_add_timer (o->loop, o, tevent_timeval_current_ofs (0, RETRY_PUSH_US),
                    on_push_again, o);
}

static void
on_push_again (struct tevent_context *loop, struct tevent_timer *te,
               struct timeval at, void *state)
{
  struct outbox *o = state;
  struct kept_event *k;

  (void)loop;
  (void)te;
  (void)at;
  while ((k = STAILQ_FIRST (&o->kept)) != NULL
         && ring_push (o->ring, k->event))
    {
      STAILQ_REMOVE_HEAD (&o->kept, link);
      talloc_free (k);
    }
  if (k != NULL)
    push_later (o);
  else if (o->on_room != NULL)
    o->on_room (o->state);
}

static int
drop_kept (struct outbox *o)
{
  struct kept_event *k;

  STAILQ_FOREACH (k, &o->kept, link)
  event_free (k->event);
  return 0;
}

struct outbox *
outbox_new (TALLOC_CTX *mem, struct tevent_context *loop, struct ring *ring,
            outbox_drained_fn *on_room, void *state)
{
  struct outbox *o = talloc_zero (mem, struct outbox);

  if (o == NULL)
    return NULL;
  o->loop = loop;
  o->ring = ring;
  o->on_room = on_room;
  o->state = state;
  STAILQ_INIT (&o->kept);
  talloc_set_destructor (o, drop_kept);
  return o;
}

void
outbox_push (struct outbox *o, struct event *e)
{
  bool first = STAILQ_EMPTY (&o->kept);
  struct kept_event *k;

  if (first && ring_push (o->ring, e))
    return;
  k = talloc (o, struct kept_event);
  if (k == NULL)
    out_of_memory ();
  k->event = e;
  STAILQ_INSERT_TAIL (&o->kept, k, link);
  if (first)
    push_later (o);
}

bool
outbox_is_empty (const struct outbox *o)
{
  return STAILQ_EMPTY (&o->kept);
}
