/* cell_post.h -- events on their way to the cell's duty.  */

#ifndef FTK_ADAPTER_CELL_POST_H
#define FTK_ADAPTER_CELL_POST_H

#include "port/cell_event.h"
#include "port/ring.h"

/** Room for events: more than all calls and orders that can be open.  */
#define CELL_RING_CAPACITY_COUNT 16384

/** Returns an empty event of KIND.  */
struct cell_event *cell_event_new (enum cell_event_kind kind);

/** Hands E over; a full ring drops it, counts it and returns false.  What was
    asked then ends by its own time-out in the cell.  */
bool cell_post (struct ring *r, struct cell_event *e);

/** Returns how many events found no room in this process.  */
uint64_t cell_post_dropped_count (void);

#endif
