/* ring.h -- bounded ring of pointers between duty threads.

   Several threads may push; one pops.  The consumer sleeps in its event loop
   on ring_fd and is woken when an empty ring gets its first element, so no
   thread ever spins.  A full ring is reported to the producer, who has a
   stated answer to it (see docs/DESIGN.md, "Rings").  */

#ifndef FTK_PORT_RING_H
#define FTK_PORT_RING_H

#include <stdbool.h>
#include <stdint.h>

struct ring;

/** Returns a ring of CAPACITY_COUNT elements, or NULL when memory or file
    descriptors are out.  */
struct ring *ring_open (uint32_t capacity_count);

/** Frees R.  Elements still in it are the caller's to drain before.  */
void ring_close (struct ring *r);

/** Appends ITEM; returns false and takes nothing when the ring is full.  */
bool ring_push (struct ring *r, void *item);

/** Removes up to MAX_COUNT elements into ITEMS and returns how many.  */
uint32_t ring_pop (struct ring *r, void **items, uint32_t max_count);

/** Returns a descriptor that is readable while elements may be waiting.  */
int ring_fd (const struct ring *r);

/** Returns how many elements wait now.  */
uint32_t ring_count (struct ring *r);

#endif
