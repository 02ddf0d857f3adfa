/* stop_wait.h -- how the main thread waits for the end of a planned stop.

   The duties report when a stop is complete.  Whatever holds them up, the wait
   ends at the end of the stop's time (port/stop_times.h).  */

#ifndef FTK_ADAPTER_STOP_WAIT_H
#define FTK_ADAPTER_STOP_WAIT_H

#include "port/ring.h"

#include <stdbool.h>
#include <stdint.h>
#include <talloc.h>

struct stop_wait;

/** Returns a wait as a child of MEM, or NULL when memory or descriptors are
    out.  */
struct stop_wait *stop_wait_new (TALLOC_CTX *mem);

/** Returns the ring to which a duty pushes any item when its part of the stop
    is complete.  */
struct ring *stop_wait_ring (struct stop_wait *w);

/** Begins a stop that ends within LIMIT_US; without effect if one has begun.
    Callable from any thread.  */
void stop_wait_begin (struct stop_wait *w, uint64_t limit_us);

/** Blocks until a stop has begun and an item was pushed, or its time is over.
    Returns false in the latter case.  */
bool stop_wait_run (struct stop_wait *w);

/** The same, for at most LIMIT_MS from now.  */
bool stop_wait_run_for (struct stop_wait *w, uint32_t limit_ms);

/** Returns the time since the stop has begun, in ms; 0: none has.  */
uint64_t stop_wait_age_ms (const struct stop_wait *w);

#endif
