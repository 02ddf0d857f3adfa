/* duty.h -- a thread with one job: an event loop, an inbound ring, a name.

   A duty sleeps in tevent until its ring or one of its descriptors is ready.
   The loop and everything below the duty belong to its thread once it runs. */

#ifndef FTK_ADAPTER_DUTY_H
#define FTK_ADAPTER_DUTY_H

#include "port/ring.h"

#include <stdbool.h>
#include <talloc.h>
#include <tevent.h>

/** Takes one element of the inbound ring; it owns ITEM.  */
typedef void duty_item_fn (void *state, void *item);

/** Called after a batch of elements was taken.  */
typedef void duty_batch_fn (void *state);

struct duty
{
  const char *name;
  struct tevent_context *loop;
  struct ring *inbound;
  duty_item_fn *on_item;
  duty_batch_fn *on_batch; /**< May be NULL.  */
  void *state;             /**< Passed to both.  */
  void *thread;
  int stop_fd;
  bool stopping;
};

/** Returns a duty that hands each element of its ring of CAPACITY_COUNT to
    ON_ITEM, or NULL when memory or descriptors are out.  */
struct duty *duty_new (const char *name, uint32_t capacity_count,
                       duty_item_fn *on_item, void *state);

/** Starts the thread; returns false if none could be made.  */
bool duty_start (struct duty *d);

/** Asks the thread to end and waits for it.  */
void duty_stop (struct duty *d);

/** Frees the duty, its loop and its ring.  */
void duty_free (struct duty *d);

/** Returns CLOCK_BOOTTIME, which runs on through a pause.  */
uint64_t now_us (void);

/** Returns the wall clock in milliseconds since 1970.  */
uint64_t wall_ms (void);

#endif
