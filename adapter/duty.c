/* duty.c -- threads that sleep on a ring and an event loop.  */

#include "adapter/duty.h"

#include "port/types.h"

#include <pthread.h>
#include <signal.h>
#include <sys/eventfd.h>
#include <time.h>
#include <unistd.h>

/** Elements taken from a ring in one turn of the loop.  */
#define BATCH_COUNT 256

static void
on_ring (struct tevent_context *loop, struct tevent_fd *fde, uint16_t flags,
         void *state)
{
  struct duty *d = state;
  void *items[BATCH_COUNT];
  uint32_t n = ring_pop (d->inbound, items, BATCH_COUNT);
  uint32_t i;

  (void)loop;
  (void)fde;
  (void)flags;
  for (i = 0; i < n; i++)
    d->on_item (d->state, items[i]);
  if (d->on_batch != NULL)
    d->on_batch (d->state);
}

static void
on_stop (struct tevent_context *loop, struct tevent_fd *fde, uint16_t flags,
         void *state)
{
  struct duty *d = state;

  (void)loop;
  (void)fde;
  (void)flags;
  d->stopping = true;
}

static int
duty_destroy (struct duty *d)
{
  if (d->stop_fd >= 0)
    close (d->stop_fd);
  ring_close (d->inbound);
  return 0;
}

struct duty *
duty_new (const char *name, uint32_t capacity_count, duty_item_fn *on_item,
          void *state)
{
  struct duty *d = talloc_zero (NULL, struct duty);

  if (d == NULL)
    return NULL;
  d->name = name;
  d->on_item = on_item;
  d->state = state;
  d->stop_fd = eventfd (0, EFD_NONBLOCK | EFD_CLOEXEC);
  d->inbound = ring_open (capacity_count);
  talloc_set_destructor (d, duty_destroy);
  d->loop = tevent_context_init (d);
  if (d->loop == NULL || d->inbound == NULL || d->stop_fd < 0
      || tevent_add_fd (d->loop, d->loop, ring_fd (d->inbound), TEVENT_FD_READ,
                        on_ring, d)
             == NULL
      || tevent_add_fd (d->loop, d->loop, d->stop_fd, TEVENT_FD_READ, on_stop,
                        d)
             == NULL)
    {
      talloc_free (d);
      return NULL;
    }
  return d;
}

static void *
duty_main (void *state)
{
  struct duty *d = state;

  while (!d->stopping && tevent_loop_once (d->loop) == 0)
    continue;
  return NULL;
}

bool
duty_start (struct duty *d)
{
  pthread_t *t = talloc (d, pthread_t);
  sigset_t all;
  sigset_t old;
  bool started;

  /* Signals go to the main thread alone.  */
  sigfillset (&all);
  pthread_sigmask (SIG_SETMASK, &all, &old);
  started = pthread_create (t, NULL, duty_main, d) == 0;
  pthread_sigmask (SIG_SETMASK, &old, NULL);
  if (started)
    {
      pthread_setname_np (*t, d->name);
      d->thread = t;
    }
  return started;
}

void
duty_stop (struct duty *d)
{
  uint64_t one = 1;
  ssize_t n;

  if (d == NULL || d->thread == NULL)
    return;
  n = write (d->stop_fd, &one, sizeof one);
  (void)n;
  pthread_join (*(pthread_t *)d->thread, NULL);
  d->thread = NULL;
}

void
duty_free (struct duty *d)
{
  if (d == NULL)
    return;
  /* The loop's descriptors go before the ring that they watch.  */
  TALLOC_FREE (d->loop);
  talloc_free (d);
}

static uint64_t
read_clock_us (clockid_t id)
{
  struct timespec t;

  clock_gettime (id, &t);
  return (uint64_t)t.tv_sec * US_PER_S + (uint64_t)t.tv_nsec / 1000;
}

uint64_t
now_us (void)
{
  return read_clock_us (CLOCK_BOOTTIME);
}

uint64_t
wall_ms (void)
{
  return read_clock_us (CLOCK_REALTIME) / US_PER_MS;
}
