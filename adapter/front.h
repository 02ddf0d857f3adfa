/* front.h -- the front duty: HTTP of callers and operators.  */

#ifndef FTK_ADAPTER_FRONT_H
#define FTK_ADAPTER_FRONT_H

#include "adapter/duty.h"
#include "adapter/timeline.h"
#include "adapter/settings.h"

struct front;

/** Returns the front duty listening as S says, whose requests go to DECIDE;
    CLOSED is given one element when all is sent after EXIT.
    NULL with a reason in TEXT (TEXT_BYTES) if it cannot listen.  */
struct front *front_new (const struct settings *s, struct ring *decide,
                         struct timeline *journal, struct ring *closed,
                         char *text);

/** Returns the duty, to start and join it.  Its ring takes struct action
    (ANSWER, STATUS, EXIT).  */
struct duty *front_duty (struct front *f);

void front_free (struct front *f);

#endif
