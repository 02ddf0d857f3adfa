/* peer_mesh.h -- the peer duty: links to the other members.  */

#ifndef FTK_ADAPTER_PEER_MESH_H
#define FTK_ADAPTER_PEER_MESH_H

#include "adapter/duty.h"
#include "adapter/settings.h"

struct peer_mesh;

/** Returns the peer duty, whose messages go to DECIDE; or NULL with a reason
    in TEXT (TEXT_BYTES).  */
struct peer_mesh *peer_mesh_new (const struct settings *s, struct ring *decide,
                                 char *text);

/** Returns the duty, to start and join it.  Its ring takes struct action
    (PEER, MEMBERS).  */
struct duty *peer_mesh_duty (struct peer_mesh *p);

void peer_mesh_free (struct peer_mesh *p);

#endif
