/* timer.c -- timers of an event loop.  */

#include "adapter/timer.h"

#include "port/types.h"

struct tevent_timer *
timer_add (struct tevent_context *loop, TALLOC_CTX *mem, uint64_t delay_us,
           tevent_timer_handler_t fn, void *state)
{
  return tevent_add_timer (
      loop, mem,
      tevent_timeval_current_ofs ((uint32_t)(delay_us / US_PER_S),
                                  (uint32_t)(delay_us % US_PER_S)),
      fn, state);
}
