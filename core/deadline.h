/* deadline.h -- unanswered requests by deadline: a timing wheel.

   Adding and removing take constant time, and a tick looks only at the slots
   whose time has come.  A deadline beyond one turn of the wheel is passed
   over once a turn.  */

#ifndef FTK_CORE_DEADLINE_H
#define FTK_CORE_DEADLINE_H

#include "core/pool_queue.h"

#define DEADLINE_SLOT_COUNT 1024
/** Width of a slot.  */
#define DEADLINE_SLOT_US UINT64_C (16000)

struct deadline_wheel
{
  struct request_list slots[DEADLINE_SLOT_COUNT];
  uint64_t next_tick;     /**< First slot, over all turns, not passed.  */
  struct request *cursor; /**< Next to look at in its slot.  */
};

void deadline_init (struct deadline_wheel *w);

/** Adds R under its deadline_us.  */
void deadline_add (struct deadline_wheel *w, struct request *r);

/** Removes R.  */
void deadline_remove (struct deadline_wheel *w, struct request *r);

/** Returns a request whose deadline is at or before NOW_US, or NULL.  The
    caller removes it before it calls again.  */
struct request *deadline_find_expired (struct deadline_wheel *w,
                                       uint64_t now_us);

#endif
