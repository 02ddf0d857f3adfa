/* timer.c -- timers of an event loop.

   tevent compares a timer's due time with the wall clock.  So before each turn
   of a loop the due times of its timers are computed anew if the wall clock
   has been set.  A wait that has begun is not affected, since tevent computes
   its length beforehand.  */

#include "adapter/timer.h"

#include "adapter/duty.h"
#include "port/types.h"

#include <stdbool.h>
#include <stdlib.h>

/** The wall clock counts as set when its distance from the boot-time clock has
    changed by this much.  Slewing needs minutes for that.  */
#define STEP_MIN_US (10 * (int64_t)US_PER_MS)

/* A pending timer, a child of its tevent timer, which tevent frees when it has
   fired.  */
struct pending_timer
{
  struct pending_timer *next;
  struct pending_timer **previous; /**< The pointer to this timer; NULL: its
                                      loop was freed.  */
  struct tevent_timer *te;
  uint64_t due_at_us; /**< On the boot-time clock.  */
};

/* The timers of a loop, a child of it.  */
struct timer_list
{
  struct pending_timer *first;
  int64_t wall_offset_us; /**< Wall clock less boot-time clock.  */
};

/* Returns the wall clock less the boot-time clock.  */
static int64_t
wall_offset_us (void)
{
  struct timeval now = tevent_timeval_current ();

  return (int64_t)now.tv_sec * (int64_t)US_PER_S + now.tv_usec
         - (int64_t)now_us ();
}

/* Returns the wall clock's time when the boot-time clock is at AT_US.  */
static struct timeval
to_wall (const struct timer_list *l, uint64_t at_us)
{
  int64_t wall_us = (int64_t)at_us + l->wall_offset_us;
  struct timeval t = { .tv_sec = wall_us / (int64_t)US_PER_S,
                       .tv_usec = wall_us % (int64_t)US_PER_S };

  return t;
}

/* Computes the due times of a loop's timers anew if the wall clock was set. */
static void
before_turn (enum tevent_trace_point point, void *state)
{
  struct timer_list *l = state;
  struct pending_timer *x;
  int64_t offset_us;

  if (point != TEVENT_TRACE_BEFORE_LOOP_ONCE)
    return;
  offset_us = wall_offset_us ();
  if (llabs (offset_us - l->wall_offset_us) < STEP_MIN_US)
    return;
  l->wall_offset_us = offset_us;
  for (x = l->first; x != NULL; x = x->next)
    tevent_update_timer (x->te, to_wall (l, x->due_at_us));
}

/* Detaches the timers that outlive their loop.  */
static int
list_free (struct timer_list *l)
{
  struct pending_timer *x;

  for (x = l->first; x != NULL; x = x->next)
    x->previous = NULL;
  return 0;
}

/* Returns the timers of LOOP; the first call for a loop makes the list.  NULL
   when memory is out.  */
static struct timer_list *
list_of (struct tevent_context *loop)
{
  tevent_trace_callback_t callback = NULL;
  void *state = NULL;
  struct timer_list *l;

  tevent_get_trace_callback (loop, &callback, &state);
  if (callback == before_turn)
    return state;
  l = talloc_zero (loop, struct timer_list);
  if (l == NULL)
    return NULL;
  talloc_set_destructor (l, list_free);
  l->wall_offset_us = wall_offset_us ();
  tevent_set_trace_callback (loop, before_turn, l);
  return l;
}

static int
unlink_timer (struct pending_timer *x)
{
  if (x->previous == NULL)
    return 0;
  *x->previous = x->next;
  if (x->next != NULL)
    x->next->previous = x->previous;
  return 0;
}

struct tevent_timer *
timer_add (struct tevent_context *loop, TALLOC_CTX *mem, uint64_t delay_us,
           tevent_timer_handler_t fn, void *state)
{
  struct timer_list *l = list_of (loop);
  uint64_t due_at_us = now_us () + delay_us;
  struct tevent_timer *te;
  struct pending_timer *x;

  if (l == NULL)
    return NULL;
  te = tevent_add_timer (loop, mem, to_wall (l, due_at_us), fn, state);
  x = te != NULL ? talloc_zero (te, struct pending_timer) : NULL;
  if (x == NULL)
    {
      talloc_free (te);
      return NULL;
    }
  x->te = te;
  x->due_at_us = due_at_us;
  x->next = l->first;
  x->previous = &l->first;
  if (x->next != NULL)
    x->next->previous = &x->next;
  l->first = x;
  talloc_set_destructor (x, unlink_timer);
  return te;
}
