/* fleet.h -- the fleet duty: reads the platform's list of VMs and has it
   drain and reboot them.  */

#ifndef FTK_ADAPTER_FLEET_H
#define FTK_ADAPTER_FLEET_H

#include "adapter/duty.h"

struct fleet;

/** Returns the fleet duty on ADDRESS, whose events go to DECIDE; or NULL.  */
struct fleet *fleet_new (const char *address, struct ring *decide);

/** Returns the duty, to start and join it.  Its ring takes struct action of
    kind ACTION_FLEET.  */
struct duty *fleet_duty (struct fleet *f);

void fleet_free (struct fleet *f);

#endif
