/* peer.h -- the peer duty: links to the other members.  */

#ifndef FTK_ADAPTER_PEER_H
#define FTK_ADAPTER_PEER_H

#include "adapter/duty.h"
#include "adapter/settings.h"

struct peer;

/** Returns the peer duty, whose messages go to DECIDE; or NULL with a reason
    in TEXT (TEXT_BYTES).  */
struct peer *peer_new (const struct settings *s, struct ring *decide,
                       char *text);

/** Returns the duty, to start and join it.  Its ring takes struct action
    (PEER, MEMBERS).  */
struct duty *peer_duty (struct peer *p);

void peer_free (struct peer *p);

#endif
