/* decide.h -- the decide duty: the only owner of the core's state.  */

#ifndef FTK_ADAPTER_DECIDE_H
#define FTK_ADAPTER_DECIDE_H

#include "adapter/duty.h"
#include "adapter/timeline.h"
#include "adapter/recorder.h"
#include "core/core.h"

struct decide;

/** Rings that the actions of a step go to.  */
struct decide_outputs
{
  struct ring *front;
  struct ring *worker_client;
  struct ring *log;
  struct ring *peer;
  struct ring *fleet; /**< NULL: no fleet service is set.  */
  struct timeline *timeline;
};

/** Returns the decide duty of a core with settings S; or NULL.  */
struct decide *decide_new (const struct core_settings *s);

/** Sets where actions go; call before the start.  */
void decide_set_outputs (struct decide *d, const struct decide_outputs *o);

/** Has every step recorded by R, which stays the caller's; call before the
    start.  */
void decide_set_recorder (struct decide *d, struct recorder *r);

/** Starts a planned stop at the next tick, however full the ring is.  May be
    called from any thread.  */
void decide_stop (struct decide *d);

/** Returns the duty, to start and join it.  Its ring takes struct event.  */
struct duty *decide_duty (struct decide *d);

void decide_free (struct decide *d);

#endif
