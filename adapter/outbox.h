/* outbox.h -- a queue of events in front of the decide ring.

   Events for which the ring has no room are queued and pushed again by a
   timer, so a producer that must not drop an event need not block.  */

#ifndef FTK_ADAPTER_OUTBOX_H
#define FTK_ADAPTER_OUTBOX_H

#include "port/event.h"
#include "port/ring.h"

#include <talloc.h>
#include <tevent.h>

struct outbox;

/** Called on the loop when the last queued event has been pushed.  */
typedef void outbox_drained_fn (void *state);

/** Returns an empty outbox for RING on LOOP as a child of MEM, or NULL when
    memory is out.  ON_DRAINED may be NULL.  Freeing the outbox drops its
    queued events; free it before LOOP.  */
struct outbox *outbox_new (TALLOC_CTX *mem, struct tevent_context *loop,
                           struct ring *ring, outbox_drained_fn *on_drained,
                           void *state);

/** Pushes E to the ring, or queues it if the ring is full or other events are
    queued; takes E over.  */
void outbox_push (struct outbox *o, struct event *e);

/** Returns true if no event is queued.  */
bool outbox_is_empty (const struct outbox *o);

#endif
