/* fleet.h -- the fleet duty, a client of the platform's fleet list: it polls
   the state of the VMs and has the platform drain, reboot and return them.  */

#ifndef FTK_ADAPTER_FLEET_H
#define FTK_ADAPTER_FLEET_H

#include "adapter/duty.h"

struct fleet;

/** Returns a fleet duty for the fleet list at ADDRESS that passes its events
    to DECIDE; or NULL when memory or descriptors are out.  */
struct fleet *fleet_new (const char *address, struct ring *decide);

/** Returns the duty, to start and join it.  Its ring takes struct action of
    kind ACTION_FLEET.  */
struct duty *fleet_duty (struct fleet *f);

/** Frees the joined duty; NULL is allowed.  */
void fleet_free (struct fleet *f);

#endif
