/* outbox.h -- events on their way into the decide ring.

   What the ring has no room for is kept in order and pushed again by a timer,
   so a producer that must not drop an event need not wait for the ring.  */

#ifndef FTK_ADAPTER_OUTBOX_H
#define FTK_ADAPTER_OUTBOX_H

#include "port/event.h"
#include "port/ring.h"

#include <talloc.h>
#include <tevent.h>

struct outbox;

/** Called on the loop when everything that was kept has gone.  */
typedef void outbox_drained_fn (void *state);

/** Returns an empty outbox to RING on LOOP as a child of MEM, or NULL when
    memory is out.  ON_ROOM may be NULL.  Freeing it drops what it keeps; it
    goes before its loop.  */
struct outbox *outbox_new (TALLOC_CTX *mem, struct tevent_context *loop,
                           struct ring *ring, outbox_drained_fn *on_room,
                           void *state);

/** Hands over E behind all that is kept; takes E in any case.  */
void outbox_push (struct outbox *o, struct event *e);

/** Returns true if nothing is kept.  */
bool outbox_is_empty (const struct outbox *o);

#endif
