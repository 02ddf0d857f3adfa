/* peer_mesh.h -- the peer duty: a full mesh of links to the other members.  */

#ifndef FTK_ADAPTER_PEER_MESH_H
#define FTK_ADAPTER_PEER_MESH_H

#include "adapter/duty.h"
#include "adapter/settings.h"

struct peer_mesh;

/** Returns a peer duty that listens as S says and passes messages to DECIDE,
    or NULL with a reason in TEXT (TEXT_BYTES).  */
struct peer_mesh *peer_mesh_new (const struct settings *s, struct ring *decide,
                                 char *text);

/** Returns the duty, to start and stop it.  Its ring takes struct action of
    kind ACTION_PEER and ACTION_MEMBERS.  */
struct duty *peer_mesh_duty (struct peer_mesh *p);

/** Frees the stopped duty and closes its links; NULL is allowed.  */
void peer_mesh_free (struct peer_mesh *p);

#endif
