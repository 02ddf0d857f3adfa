/* ring.c -- bounded FIFO of pointers that wakes its consumer by an eventfd.
 */

#include "port/ring.h"

#include <errno.h>
#include <pthread.h>
#include <stdlib.h>
#include <sys/eventfd.h>
#include <unistd.h>

struct ring
{
  pthread_mutex_t lock;
  uint32_t capacity_count;
  uint32_t head;       /**< Index of the oldest element.  */
  uint32_t item_count; /**< Elements in the ring.  */
  int32_t event_fd;    /**< Readable while item_count may be above 0.  */
  void *items[];
};

struct ring *
ring_open (uint32_t capacity_count)
{
  struct ring *r
      = calloc (1, sizeof *r + (size_t)capacity_count * sizeof (void *));

  if (r == NULL)
    return NULL;
  r->event_fd = eventfd (0, EFD_NONBLOCK | EFD_CLOEXEC);
  if (r->event_fd < 0)
    {
      free (r);
      return NULL;
    }
  pthread_mutex_init (&r->lock, NULL);
  r->capacity_count = capacity_count;
  return r;
}

void
ring_close (struct ring *r)
{
  if (r == NULL)
    return;
  close (r->event_fd);
  pthread_mutex_destroy (&r->lock);
  free (r);
}

/* Wakes the consumer.  The eventfd's counter cannot overflow, since it is
   raised only when an empty ring gets an element.  */
static void
ring_wake (struct ring *r)
{
  uint64_t one = 1;

  while (write (r->event_fd, &one, sizeof one) < 0)
    continue;
}

bool
ring_push (struct ring *r, void *item)
{
  bool taken = false;
  bool was_empty = false;

  pthread_mutex_lock (&r->lock);
  if (r->item_count < r->capacity_count)
    {
      was_empty = r->item_count == 0;
      r->items[(r->head + r->item_count) % r->capacity_count] = item;
      r->item_count++;
      taken = true;
    }
  pthread_mutex_unlock (&r->lock);
  if (was_empty)
    ring_wake (r);
  return taken;
}

uint32_t
ring_pop (struct ring *r, void **items, uint32_t max_count)
{
  uint32_t n = 0;
  uint64_t seen;
  ssize_t got = 0;

  pthread_mutex_lock (&r->lock);
  while (n < max_count && r->item_count > 0)
    {
      items[n++] = r->items[r->head];
      r->head = (r->head + 1) % r->capacity_count;
      r->item_count--;
    }
  /* Cleared only when the ring is empty, so that a consumer that took only
     some elements is woken again.  */
  if (r->item_count == 0)
    do
      got = read (r->event_fd, &seen, sizeof seen);
    while (got < 0 && errno == EINTR);
  pthread_mutex_unlock (&r->lock);
  return n;
}

int
ring_fd (const struct ring *r)
{
  return r->event_fd;
}

uint32_t
ring_count (struct ring *r)
{
  uint32_t n;

  pthread_mutex_lock (&r->lock);
  n = r->item_count;
  pthread_mutex_unlock (&r->lock);
  return n;
}
