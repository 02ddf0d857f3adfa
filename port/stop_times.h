/* stop_times.h -- the schedule of a planned stop.

   The platform sends SIGTERM and, after the grace time, SIGKILL.  The times
   below leave room before that, whatever clients, the store and other entries
   do: a part of a short grace time, a fixed time of a long one.  */

#ifndef FTK_PORT_STOP_TIMES_H
#define FTK_PORT_STOP_TIMES_H

#include "port/types.h"

/** Least time before SIGKILL, unless it is more than a third, a quarter, a
    sixth or a twelfth of the grace time.  */
#define STOP_ANSWER_MARGIN_MS 2000u
#define STOP_CLOSE_MARGIN_MS 1500u
#define STOP_END_MARGIN_MS 1000u
#define STOP_EXIT_MARGIN_MS 500u

/** Returns GRACE_MS less MARGIN_MS or one PART of it, whichever is more, in
    us.  */
static inline uint64_t
stop_time_us (uint32_t grace_ms, uint32_t margin_ms, uint32_t part)
{
  uint32_t part_ms = grace_ms / part;

  return (grace_ms - (part_ms < margin_ms ? part_ms : margin_ms)) * US_PER_MS;
}

/** Returns the time after SIGTERM by which every call has its answer and an
    entry that still owns the cell has released it, in us; GRACE_MS is the
    grace time.  */
static inline uint64_t
stop_answer_us (uint32_t grace_ms)
{
  return stop_time_us (grace_ms, STOP_ANSWER_MARGIN_MS, 3);
}

/** Returns the time after SIGTERM by which no more requests are read, in us;
    the store has had the time since stop_answer_us to take the release.  */
static inline uint64_t
stop_close_us (uint32_t grace_ms)
{
  return stop_time_us (grace_ms, STOP_CLOSE_MARGIN_MS, 4);
}

/** Returns the time after SIGTERM at which connections that are still open are
    cut and the entry is closed, in us.  */
static inline uint64_t
stop_end_us (uint32_t grace_ms)
{
  return stop_time_us (grace_ms, STOP_END_MARGIN_MS, 6);
}

/** Returns the time after SIGTERM at which the process ends though the entry
   is not closed, in ms.  */
static inline uint32_t
stop_exit_ms (uint32_t grace_ms)
{
  return (uint32_t)(stop_time_us (grace_ms, STOP_EXIT_MARGIN_MS, 12)
                    / US_PER_MS);
}

#endif
