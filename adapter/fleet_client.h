/* fleet_client.h -- the fleet duty, a client of the platform's fleet list: it
   polls the state of the VMs and has the platform drain, reboot and return
   them.  */

#ifndef FTK_ADAPTER_FLEET_CLIENT_H
#define FTK_ADAPTER_FLEET_CLIENT_H

#include "adapter/duty.h"

struct fleet_client;

/** Returns a fleet duty for the fleet list at ADDRESS that passes its events
    to DECIDE; or NULL if out of memory or file descriptors.  */
struct fleet_client *fleet_client_new (const char *address,
                                       struct ring *decide);

/** Returns the duty, to start and stop it.  Its ring takes struct action of
    kind ACTION_FLEET_OPERATION.  */
struct duty *fleet_client_duty (struct fleet_client *f);

/** Frees the stopped duty; NULL is allowed.  */
void fleet_client_free (struct fleet_client *f);

#endif
