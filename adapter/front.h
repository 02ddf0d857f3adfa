/* front.h -- the front duty: the HTTP server for callers and operators.  */

#ifndef FTK_ADAPTER_FRONT_H
#define FTK_ADAPTER_FRONT_H

#include "adapter/duty.h"
#include "adapter/settings.h"
#include "adapter/timeline.h"

struct front;

/** Returns a front duty that listens as S says and passes requests to DECIDE,
    or NULL with a reason in TEXT (TEXT_BYTES).  After ACTION_EXIT it closes
    the connections without a request and pushes one element to EXIT_RING as
    soon as every response is sent.  */
struct front *front_new (const struct settings *s, struct ring *decide,
                         struct timeline *timeline, struct ring *exit_ring,
                         char *text);

/** Returns the duty, to start and stop it.  Its ring takes struct action of
    kind ACTION_ANSWER, ACTION_STATUS and ACTION_EXIT.  */
struct duty *front_duty (struct front *f);

/** Returns the number of requests that are not answered.  The duty must have
    been stopped.  */
uint32_t front_open_count (const struct front *f);

/** Frees the stopped duty and closes its connections; NULL is allowed.  */
void front_free (struct front *f);

#endif
