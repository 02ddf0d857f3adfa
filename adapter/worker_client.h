/* worker_client.h -- the duty that runs attempts of tasks on workers over
   HTTP.  */

#ifndef FTK_ADAPTER_WORKER_CLIENT_H
#define FTK_ADAPTER_WORKER_CLIENT_H

#include "adapter/duty.h"
#include "port/action.h"

struct worker_client;

/** Returns the duty, which pushes the ends of attempts to the ring DECIDE; or
    NULL when memory or descriptors are out.  */
struct worker_client *worker_client_new (struct ring *decide);

/** Returns the duty, to start and stop it.  */
struct duty *worker_client_duty (struct worker_client *c);

void worker_client_free (struct worker_client *c);

#endif
