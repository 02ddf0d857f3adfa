/* test_timer.c -- timers while the wall clock is set.

   A timer that follows the wall clock fires late by the time that the clock is
   set back: an owner then renews no lease.  This program's gettimeofday, which
   the event loop's library calls, returns the true time plus a step.  */

#include "adapter/duty.h"
#include "adapter/timer.h"
#include "port/types.h"

#include <glib.h>
#include <sys/time.h>
#include <time.h>

/** Timers fire this late at most, also on a busy machine.  */
#define LATE_LIMIT_MS 1000
#define STEP_S 5

static int64_t step_s;

/* Replaces the function of the C library in this program.  */
int
gettimeofday (struct timeval *tv, void *zone)
{
  struct timespec t;

  (void)zone;
  clock_gettime (CLOCK_REALTIME, &t);
  tv->tv_sec = t.tv_sec + step_s;
  tv->tv_usec = t.tv_nsec / 1000;
  return 0;
}

static void
on_timer (struct tevent_context *loop, struct tevent_timer *te,
          struct timeval at, void *state)
{
  uint64_t *fired_at_us = state;

  (void)loop;
  (void)te;
  (void)at;
  *fired_at_us = now_us ();
}

/* Returns how long after its due time a timer of 200 ms fires when the wall
   clock is set by STEP seconds at once, in ms; below 0 if before.  */
static int64_t
measure_lateness (int64_t step)
{
  struct tevent_context *loop = tevent_context_init (NULL);
  uint64_t began_at_us = now_us ();
  uint64_t fired_at_us = 0;

  step_s = 0;
  timer_add (loop, loop, 200 * US_PER_MS, on_timer, &fired_at_us);
  /* Runs once, so that the loop knows the timer before the step.  */
  timer_add (loop, loop, 0, on_timer, &(uint64_t){ 0 });
  tevent_loop_once (loop);
  step_s = step;
  while (fired_at_us == 0)
    g_assert_cmpint (tevent_loop_once (loop), ==, 0);
  step_s = 0;
  talloc_free (loop);
  return (int64_t)(fired_at_us - began_at_us) / 1000 - 200;
}

static void
test_clock_set_back (void)
{
  int64_t late_ms = measure_lateness (-STEP_S);

  g_assert_cmpint (late_ms, <, LATE_LIMIT_MS);
}

static void
test_clock_set_ahead (void)
{
  int64_t late_ms = measure_lateness (STEP_S);

  g_assert_cmpint (late_ms, >, -10);
  g_assert_cmpint (late_ms, <, LATE_LIMIT_MS);
}

/* A timer that is freed does not fire, and the loop still corrects others.  */
static void
test_cancelled (void)
{
  struct tevent_context *loop = tevent_context_init (NULL);
  uint64_t cancelled_at_us = 0;
  uint64_t fired_at_us = 0;
  struct tevent_timer *te
      = timer_add (loop, loop, 50 * US_PER_MS, on_timer, &cancelled_at_us);
  uint64_t began_at_us = now_us ();

  timer_add (loop, loop, 100 * US_PER_MS, on_timer, &fired_at_us);
  talloc_free (te);
  step_s = -STEP_S;
  while (fired_at_us == 0)
    g_assert_cmpint (tevent_loop_once (loop), ==, 0);
  step_s = 0;
  g_assert_cmpint (cancelled_at_us, ==, 0);
  g_assert_cmpint ((int64_t)(fired_at_us - began_at_us) / 1000, <,
                   100 + LATE_LIMIT_MS);
  talloc_free (loop);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/timer/clock_set_back", test_clock_set_back);
  g_test_add_func ("/timer/clock_set_ahead", test_clock_set_ahead);
  g_test_add_func ("/timer/cancelled", test_cancelled);
  return g_test_run ();
}
