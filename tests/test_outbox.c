/* test_outbox.c -- what a full decide ring does to those who push.  */

#include "adapter/decide.h"
#include "adapter/outbox.h"

#include <glib.h>
#include <poll.h>
#include <sodium.h>

#define RING_COUNT 4
#define EVENT_COUNT 20
#define STOP_LIMIT_MS 5000

static struct event *
make_event (uint64_t id)
{
  struct event *e = talloc_zero (NULL, struct event);

  e->kind = EVENT_ATTEMPT_DONE;
  e->u.attempt.attempt_id = id;
  e->u.attempt.body = blob_new (1);
  return e;
}

static void
count_room (void *state)
{
  ++*(guint *)state;
}

/* All come, in order, once there is room; what is left is freed.  */
static void
test_order (void)
{
  struct tevent_context *loop = tevent_context_init (NULL);
  struct ring *r = ring_open (RING_COUNT);
  guint room_count = 0;
  struct outbox *o = outbox_new (NULL, loop, r, count_room, &room_count);
  struct event *e;
  uint64_t next = 0;
  guint i;

  for (i = 0; i < EVENT_COUNT; i++)
    outbox_push (o, make_event (i));
  g_assert_false (outbox_is_empty (o));
  while (next < EVENT_COUNT)
    {
      if (ring_pop (r, (void **)&e, 1) == 0)
        {
          g_assert_cmpint (tevent_loop_once (loop), ==, 0);
          continue;
        }
      g_assert_cmpuint (e->u.attempt.attempt_id, ==, next);
      next++;
      event_free (e);
    }
  g_assert_true (outbox_is_empty (o));
  g_assert_cmpuint (room_count, ==, 1);
  for (i = 0; i < EVENT_COUNT; i++)
    outbox_push (o, make_event (i));
  talloc_free (o);
  while (ring_pop (r, (void **)&e, 1) > 0)
    event_free (e);
  talloc_free (loop);
  ring_close (r);
}

static bool
waits_for_exit (struct ring *front)
{
  struct pollfd p = { .fd = ring_fd (front), .events = POLLIN };
  struct action *a;
  bool found = false;

  while (!found && poll (&p, 1, STOP_LIMIT_MS) > 0)
    while (ring_pop (front, (void **)&a, 1) > 0)
      {
        found |= a->kind == ACTION_EXIT;
        talloc_free (a);
      }
  return found;
}

/* A planned stop is not lost when the ring is full.  */
static void
test_stop (void)
{
  struct core_settings s = { .vm = "entry-1", .stop_limit_ms = 1000 };
  struct decide *d = decide_new (&s);
  struct timeline *j = timeline_new ("entry-1");
  struct decide_outputs o = { .front = ring_open (RING_COUNT),
                              .worker_client = ring_open (RING_COUNT),
                              .log = ring_open (RING_COUNT),
                              .peer = ring_open (RING_COUNT),
                              .fleet = ring_open (RING_COUNT),
                              .timeline = j };
  struct event *e;

  decide_set_outputs (d, &o);
  do
    {
      e = talloc_zero (NULL, struct event);
      e->kind = EVENT_TICK;
    }
  while (ring_push (decide_duty (d)->inbound, e));
  talloc_free (e);
  decide_stop (d);
  g_assert_true (duty_start (decide_duty (d)));
  g_assert_true (waits_for_exit (o.front));
  duty_stop (decide_duty (d));
  decide_free (d);
  timeline_free (j);
  ring_close (o.front);
  ring_close (o.worker_client);
  ring_close (o.log);
  ring_close (o.peer);
  ring_close (o.fleet);
}

int
main (int argc, char **argv)
{
  if (sodium_init () < 0)
    return 1;
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/outbox/order", test_order);
  g_test_add_func ("/outbox/stop", test_stop);
  return g_test_run ();
}
