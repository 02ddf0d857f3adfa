/* cell_post.h -- posts events to the duty that runs the cell.  */

#ifndef FTK_ADAPTER_CELL_POST_H
#define FTK_ADAPTER_CELL_POST_H

#include "port/cell_event.h"
#include "port/ring.h"

/** Capacity of the cell's ring: more than the calls and orders that can be
    open at once with the default limit of connections.  */
#define CELL_RING_CAPACITY_COUNT 16384

/** Returns an empty event of KIND, a talloc tree of its own.  */
struct cell_event *cell_event_new (enum cell_event_kind kind);

/** Posts E to the cell's ring R, which takes it over.  If R is full, frees and
    counts E and returns false; a timeout of the cell then ends what waits for
    E.  */
bool cell_post (struct ring *r, struct cell_event *e);

/** Returns how many events were dropped in this process.  */
uint64_t cell_post_dropped_count (void);

#endif
