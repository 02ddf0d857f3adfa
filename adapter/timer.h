/* timer.h -- timers of an event loop that keep time when the wall clock is
   set.  */

#ifndef FTK_ADAPTER_TIMER_H
#define FTK_ADAPTER_TIMER_H

#include <stdint.h>
#include <talloc.h>
#include <tevent.h>

/** Has LOOP call FN once with STATE when DELAY_US microseconds have passed by
    now_us.  Freeing the timer or MEM, its parent, cancels it; MEM may be freed
    before or after LOOP.  Takes LOOP's trace callback over.  To be called by
    the thread that runs LOOP, or before it runs.  Returns NULL when memory is
    out.  */
struct tevent_timer *timer_add (struct tevent_context *loop, TALLOC_CTX *mem,
                                uint64_t delay_us, tevent_timer_handler_t fn,
                                void *state);

#endif
