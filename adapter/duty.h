/* duty.h -- a thread with an event loop and an inbound ring.

   A duty sleeps in tevent until its ring or one of its descriptors is ready.
   Once it runs, only its thread may use the loop and the talloc children of
   the duty.  */

#ifndef FTK_ADAPTER_DUTY_H
#define FTK_ADAPTER_DUTY_H

#include "port/ring.h"

#include <stdbool.h>
#include <talloc.h>
#include <tevent.h>

/** Handles one element of the inbound ring and takes ITEM over.  */
typedef void duty_item_fn (void *state, void *item);

/** Called after each batch of elements.  */
typedef void duty_batch_fn (void *state);

struct duty
{
  const char *name; /**< Name of the thread; a constant.  */
  struct tevent_context *loop;
  struct ring *inbound;
  duty_item_fn *on_item;
  duty_batch_fn *on_batch; /**< May be NULL.  */
  void *state;             /**< Passed to on_item and on_batch.  */
  void *thread;            /**< Points to the pthread_t; NULL: not running.  */
  int stop_fd;             /**< An eventfd that asks the thread to end.  */
  bool stopping;
};

/** Returns a duty whose ring has room for CAPACITY_COUNT elements and which
    passes each to ON_ITEM; or NULL when memory or descriptors are out.  */
struct duty *duty_new (const char *name, uint32_t capacity_count,
                       duty_item_fn *on_item, void *state);

/** Starts the thread; returns false if it could not be created.  */
bool duty_start (struct duty *d);

/** Asks the thread to end and waits until it has; does nothing if D is NULL or
    not running.  */
void duty_stop (struct duty *d);

/** Frees D, its loop and its ring; the caller has drained the ring.  NULL is
    allowed.  */
void duty_free (struct duty *d);

/** Returns CLOCK_BOOTTIME, which includes the time that the VM was
    suspended.  */
uint64_t now_us (void);

/** Returns the wall clock as milliseconds of Unix time.  */
uint64_t wall_ms (void);

#endif
