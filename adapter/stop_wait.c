/* stop_wait.c -- how the main thread waits for the end of a planned stop.  */

#include "adapter/stop_wait.h"

#include "adapter/duty.h"
#include "port/types.h"

#include <glib.h>
#include <limits.h>
#include <poll.h>
#include <stdatomic.h>

#define RING_CAPACITY_COUNT 8

struct stop_wait
{
  struct ring *ring;
  _Atomic uint64_t began_at_us; /**< 0: no stop has begun.  */
  _Atomic uint64_t end_at_us;   /**< Set when the begin is pushed.  */
};

static int
stop_wait_free (struct stop_wait *w)
{
  ring_close (w->ring);
  return 0;
}

struct stop_wait *
stop_wait_new (TALLOC_CTX *mem)
{
  struct stop_wait *w = talloc_zero (mem, struct stop_wait);

  if (w == NULL)
    return NULL;
  w->ring = ring_open (RING_CAPACITY_COUNT);
  if (w->ring == NULL)
    {
      talloc_free (w);
      return NULL;
    }
  talloc_set_destructor (w, stop_wait_free);
  return w;
}

struct ring *
stop_wait_ring (struct stop_wait *w)
{
  return w->ring;
}

void
stop_wait_begin (struct stop_wait *w, uint64_t limit_us)
{
  uint64_t at_us = now_us ();
  uint64_t none = 0;

  if (!atomic_compare_exchange_strong (&w->began_at_us, &none, at_us))
    return;
  atomic_store (&w->end_at_us, at_us + limit_us);
  /* Wakes the main thread, which then knows when to end.  */
  ring_push (w->ring, w);
}

/* Returns how long to poll until END_AT_US; -1: without limit.  */
static int
poll_ms (uint64_t end_at_us)
{
  uint64_t at_us = now_us ();

  if (end_at_us == UINT64_MAX)
    return -1;
  return end_at_us <= at_us
             ? 0
             : (int)MIN ((end_at_us - at_us) / US_PER_MS + 1, INT_MAX);
}

/* Blocks until an item other than the begin is popped, or END_AT_US.  */
static bool
wait_until (struct stop_wait *w, uint64_t end_at_us)
{
  struct pollfd p = { .fd = ring_fd (w->ring), .events = POLLIN };
  bool done = false;
  void *item;

  for (;;)
    {
      uint64_t stop_end_at_us = atomic_load (&w->end_at_us);
      uint64_t until_us
          = MIN (end_at_us, stop_end_at_us > 0 ? stop_end_at_us : UINT64_MAX);

      while (!done && ring_pop (w->ring, &item, 1) > 0)
        done = item != w;
      if (done || now_us () >= until_us)
        return done;
      poll (&p, 1, poll_ms (until_us));
    }
}

bool
stop_wait_run (struct stop_wait *w)
{
  return wait_until (w, UINT64_MAX);
}

bool
stop_wait_run_for (struct stop_wait *w, uint32_t limit_ms)
{
  return wait_until (w, now_us () + limit_ms * US_PER_MS);
}

uint64_t
stop_wait_age_ms (const struct stop_wait *w)
{
  uint64_t began_us = atomic_load (&w->began_at_us);

  return began_us > 0 ? (now_us () - began_us) / US_PER_MS : 0;
}
