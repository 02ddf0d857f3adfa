/* decide.h -- the decide duty, the one thread that runs the core.

   Only this thread touches the core's state.  Each event of its ring is one
   step of the core; the actions of a step go to the rings of other duties.  */

#ifndef FTK_ADAPTER_DECIDE_H
#define FTK_ADAPTER_DECIDE_H

#include "adapter/duty.h"
#include "adapter/recorder.h"
#include "adapter/timeline.h"
#include "core/core.h"

struct decide;

/** Destinations of the core's actions, by their kind.  */
struct decide_outputs
{
  struct ring *front;
  struct ring *worker_client;
  struct ring *log;
  struct ring *peer;
  struct ring *fleet; /**< NULL if the settings name no fleet list.  */
  struct timeline *timeline;
};

/** Returns a decide duty with a new core of settings S, or NULL if out of
    memory or file descriptors.  */
struct decide *decide_new (const struct core_settings *s);

/** Sets the destinations of actions; call it before the duty starts.  */
void decide_set_outputs (struct decide *d, const struct decide_outputs *o);

/** Passes every step to the recorder R, which the caller still owns; call it
    before the duty starts.  */
void decide_set_recorder (struct decide *d, struct recorder *r);

/** Starts a planned stop at the next tick, even if the ring is full.  May be
    called from any thread.  */
void decide_stop (struct decide *d);

/** Returns the duty, to start and stop it.  Its ring takes struct event.  */
struct duty *decide_duty (struct decide *d);

/** Frees the stopped duty with its core; NULL is allowed.  */
void decide_free (struct decide *d);

#endif
