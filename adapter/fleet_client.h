/* fleet_client.h -- the fleet duty: reads the platform's list of VMs and has
   it drain and reboot them.  */

#ifndef FTK_ADAPTER_FLEET_CLIENT_H
#define FTK_ADAPTER_FLEET_CLIENT_H

#include "adapter/duty.h"

struct fleet_client;

/** Returns the fleet duty on ADDRESS, whose events go to DECIDE; or NULL.  */
struct fleet_client *fleet_client_new (const char *address,
                                       struct ring *decide);

/** Returns the duty, to start and join it.  Its ring takes struct action of
    kind ACTION_FLEET.  */
struct duty *fleet_client_duty (struct fleet_client *f);

void fleet_client_free (struct fleet_client *f);

#endif
