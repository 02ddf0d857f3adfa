/* worker_client.h -- the back duty: attempts on workers over HTTP.  */

#ifndef FTK_ADAPTER_WORKER_CLIENT_H
#define FTK_ADAPTER_WORKER_CLIENT_H

#include "adapter/duty.h"
#include "port/action.h"

struct worker_client;

/** Returns the back duty, whose ends of attempts go to DECIDE; or NULL.  */
struct worker_client *worker_client_new (struct ring *decide);

/** Returns the duty, to start and join it.  */
struct duty *worker_client_duty (struct worker_client *b);

void worker_client_free (struct worker_client *b);

#endif
