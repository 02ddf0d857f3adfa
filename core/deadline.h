/* deadline.h -- a timing wheel of the unanswered requests by deadline.

   Time is divided into ticks of DEADLINE_SLOT_US; tick T has the slot
   T % DEADLINE_SLOT_COUNT.  Adding and removing take constant time, and a
   search looks only at the slots whose time has come.  A request whose
   deadline is more than one revolution ahead is skipped once a revolution.  */

#ifndef FTK_CORE_DEADLINE_H
#define FTK_CORE_DEADLINE_H

#include "core/pool_queue.h"

#define DEADLINE_SLOT_COUNT 1024
/** Time that a slot spans; the whole wheel spans 16.4 s.  */
#define DEADLINE_SLOT_US UINT64_C (16000)

struct deadline_wheel
{
  struct request_list slots[DEADLINE_SLOT_COUNT];
  uint64_t next_tick;     /**< First tick not wholly searched.  */
  struct request *cursor; /**< Next to look at in the slot being searched.  */
};

/** Makes W empty.  */
void deadline_init (struct deadline_wheel *w);

/** Adds R at its deadline_us.  */
void deadline_add (struct deadline_wheel *w, struct request *r);

/** Removes R, which may be the one that deadline_find_expired returned.  */
void deadline_remove (struct deadline_wheel *w, struct request *r);

/** Returns a request whose deadline is at or before NOW_US, or NULL.  The
    caller must remove it before the next call.  */
struct request *deadline_find_expired (struct deadline_wheel *w,
                                       uint64_t now_us);

#endif
