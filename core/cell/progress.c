/* progress.c -- the progress of short tasks, as runners report it.

   A poll lists how much of each run is done.  From that the end of the run is
   expected, far more precisely than from the client's estimate or from other
   runs of the image.  */

#include "core/cell/state.h"

/** Less progress than this tells nothing yet.  */
#define PROGRESS_MIN_PERCENT 10

void
progress_reset (struct task *t)
{
  t->run_total_us = 0;
}

void
progress_note (struct cell *c, struct task *t)
{
  uint64_t elapsed_us = c->now_us - t->start_ordered_at_us;

  if (t->step->spec->long_running || t->work_percent < PROGRESS_MIN_PERCENT)
    return;
  t->run_total_us = elapsed_us * 100 / t->work_percent;
}

uint64_t
progress_expected_end_us (struct cell *c, const struct task *t)
{
  return t->start_ordered_at_us
         + (t->run_total_us > 0 ? t->run_total_us
                                : place_expected_step_us (c, t->step));
}
