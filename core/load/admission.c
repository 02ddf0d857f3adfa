/* admission.c -- whether a new job would end while it has value.

   The load this answers: a hot tenant, or a surge, asks for several times what
   the whole fleet can do, for longer than jobs have value, while most VMs of
   the pool are still on their way.

   Work that can be done in time goes first.  So a job is accepted if it would
   end in time after that work; else it would be late, after other late work
   too, and is accepted if it still had value then.  */

#include "core/load/admission.h"

/** Part of the work of late jobs, in percent, that is expected to be done
    before a new late job: many lose their value before their turn, and a new
    job goes before them while it can be in time.  With all of it, pools idle
    in an overload: bench_cell large-overload gave a worth of 39.9 percent; it
    gave 43.6 with half of it, 45.3 with a quarter.  */
#define LATE_PERCENT 25

/* Returns when J would end if it came after WORK; or FORECAST_NEVER.  */
static uint64_t
end_after (const struct forecast *f, const struct admission_job *j,
           uint64_t now_us, uint64_t work)
{
  uint64_t begin_at_us = forecast_done_at_us (f, now_us, work);
  uint64_t done_at_us = forecast_done_at_us (f, now_us, work + j->work);

  if (begin_at_us == FORECAST_NEVER || done_at_us == FORECAST_NEVER)
    return FORECAST_NEVER;
  return begin_at_us + j->chain_us > done_at_us ? begin_at_us + j->chain_us
                                                : done_at_us;
}

struct admission_verdict
admission_decide (const struct forecast *f, const struct admission_backlog *b,
                  const struct admission_job *j, uint64_t now_us)
{
  struct admission_verdict v = { .known = forecast_has_cores (f) };
  uint64_t late = b->all > b->in_time ? b->all - b->in_time : 0;
  uint64_t end_at_us;

  if (!v.known)
    return v;
  end_at_us = end_after (f, j, now_us, b->in_time);
  if (end_at_us > j->arrived_at_us + j->objective_us)
    {
      end_at_us
          = end_after (f, j, now_us, b->in_time + late * LATE_PERCENT / 100);
      v.refused = end_at_us > j->arrived_at_us + j->value_us;
    }
  v.end_us = end_at_us - j->arrived_at_us;
  if (v.refused)
    v.room_us = v.end_us - j->value_us;
  return v;
}
