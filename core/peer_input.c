/* peer_input.c -- hands a peer's message to the module that decides on it.  */

#include "core/state.h"

void
core_on_peer (struct core *c, const struct peer_message *m)
{
  if (m->to_incarnation != c->incarnation)
    return;
  switch (m->kind)
    {
    case PEER_STATUS:
    case PEER_DEMAND:
    case PEER_TRANSFER:
    case PEER_ACK:
    case PEER_ASK:
      break;
    }
}
