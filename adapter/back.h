/* back.h -- the back duty: runs attempts of tasks on workers over HTTP.  */

#ifndef FTK_ADAPTER_BACK_H
#define FTK_ADAPTER_BACK_H

#include "adapter/duty.h"
#include "port/action.h"

struct back;

/** Returns the back duty, which pushes the ends of attempts to DECIDE; or NULL
    when memory or descriptors are out.  */
struct back *back_new (struct ring *decide);

/** Returns the duty, to start and stop it.  */
struct duty *back_duty (struct back *b);

void back_free (struct back *b);

#endif
