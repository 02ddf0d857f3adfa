/* worker_client.h -- the duty that runs attempts of tasks on workers over
   HTTP.  */

#ifndef FTK_ADAPTER_WORKER_CLIENT_H
#define FTK_ADAPTER_WORKER_CLIENT_H

#include "adapter/duty.h"
#include "port/action.h"

struct worker_client;

/** Returns a client that pushes the ends of attempts to the ring DECIDE, its
    duty not yet started; or NULL when memory or descriptors are out.  */
struct worker_client *worker_client_new (struct ring *decide);

/** Returns the duty, to start and stop it.  Its ring takes struct action of
   the kinds ACTION_START and ACTION_ABORT, each a talloc tree of its own.  */
struct duty *worker_client_duty (struct worker_client *c);

void worker_client_free (struct worker_client *c);

#endif
