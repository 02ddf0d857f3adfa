/* ring.h -- bounded FIFO of pointers between threads.

   Several threads may push; one pops.  The consumer waits for ring_fd in its
   event loop and is woken when an empty ring gets an element, so no thread
   spins.  A push to a full ring fails, and each producer handles that as
   docs/DESIGN.md, "Rings", says.  */

#ifndef FTK_PORT_RING_H
#define FTK_PORT_RING_H

#include <stdbool.h>
#include <stdint.h>

struct ring;

/** Returns an empty ring for CAPACITY_COUNT elements, or NULL if memory or
    file descriptors are exhausted.  */
struct ring *ring_open (uint32_t capacity_count);

/** Frees R, but not the elements in it.  NULL is allowed.  */
void ring_close (struct ring *r);

/** Appends ITEM, or returns false if the ring is full.  */
bool ring_push (struct ring *r, void *item);

/** Moves up to MAX_COUNT elements, oldest first, to ITEMS and returns their
    number.  */
uint32_t ring_pop (struct ring *r, void **items, uint32_t max_count);

/** Returns a descriptor, owned by R, that is readable while R may have
    elements.  */
int ring_fd (const struct ring *r);

/** Returns the number of elements in R.  */
uint32_t ring_count (struct ring *r);

#endif
