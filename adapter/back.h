/* back.h -- the back duty: attempts on workers over HTTP.  */

#ifndef FTK_ADAPTER_BACK_H
#define FTK_ADAPTER_BACK_H

#include "adapter/duty.h"
#include "port/action.h"

struct back;

/** Returns the back duty, whose ends of attempts go to DECIDE; or NULL.  */
struct back *back_new (struct ring *decide);

/** Returns the duty, to start and join it.  */
struct duty *back_duty (struct back *b);

void back_free (struct back *b);

#endif
