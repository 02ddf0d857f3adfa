/* test_ring.c -- the bounded ring: capacity, order, several producers.  */

#include "port/ring.h"

#include <glib.h>
#include <poll.h>
#include <pthread.h>

#define PRODUCER_COUNT 4
#define ITEM_COUNT 20000

static void
test_capacity (void)
{
  struct ring *r = ring_open (2);
  void *items[4];

  g_assert_true (ring_push (r, "a"));
  g_assert_true (ring_push (r, "b"));
  g_assert_false (ring_push (r, "c"));
  g_assert_cmpuint (ring_pop (r, items, 1), ==, 1);
  g_assert_cmpstr (items[0], ==, "a");
  g_assert_true (ring_push (r, "d"));
  g_assert_cmpuint (ring_pop (r, items, 4), ==, 2);
  g_assert_cmpstr (items[0], ==, "b");
  g_assert_cmpstr (items[1], ==, "d");
  g_assert_cmpuint (ring_count (r), ==, 0);
  ring_close (r);
}

struct producer
{
  struct ring *ring;
  uintptr_t sent; /**< Sum of the elements pushed.  */
};

static void *
produce (void *state)
{
  struct producer *p = state;
  uintptr_t i;

  for (i = 1; i <= ITEM_COUNT; i++)
    if (ring_push (p->ring, (void *)i))
      p->sent += i;
  return NULL;
}

/* Takes elements until none arrives for LIMIT_MS; returns their sum.  */
static uintptr_t
drain (struct ring *r, int limit_ms)
{
  struct pollfd p = { .fd = ring_fd (r), .events = POLLIN };
  uintptr_t sum = 0;
  void *items[64];
  uint32_t n;
  uint32_t i;

  while (poll (&p, 1, limit_ms) > 0)
    {
      n = ring_pop (r, items, 64);
      for (i = 0; i < n; i++)
        sum += (uintptr_t)items[i];
    }
  return sum;
}

/* Every element that the ring accepts reaches the consumer, which sleeps in
   poll: after a lost wake-up the drain would end too early.  */
static void
test_wakeup (void)
{
  struct producer p[PRODUCER_COUNT] = { 0 };
  pthread_t t[PRODUCER_COUNT];
  struct ring *r = ring_open (256);
  uintptr_t sent = 0;
  uintptr_t received;
  int i;

  for (i = 0; i < PRODUCER_COUNT; i++)
    {
      p[i].ring = r;
      pthread_create (&t[i], NULL, produce, &p[i]);
    }
  received = drain (r, 500);
  for (i = 0; i < PRODUCER_COUNT; i++)
    {
      pthread_join (t[i], NULL);
      sent += p[i].sent;
    }
  received += drain (r, 0);
  g_assert_cmpuint (received, ==, sent);
  ring_close (r);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/ring/capacity", test_capacity);
  g_test_add_func ("/ring/wakeup", test_wakeup);
  return g_test_run ();
}
