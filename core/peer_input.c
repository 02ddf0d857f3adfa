/* peer_input.c -- hands a peer's message to the module that decides on it.  */

#include "core/state.h"

#include <string.h>

void
core_on_peer (struct core *c, struct peer_message *m)
{
  if (c->incarnation == 0 || m->to_incarnation != c->incarnation)
    {
      peer_message_drop_blobs (m);
      return;
    }
  switch (m->kind)
    {
    case PEER_STATUS:
      core_on_peer_status (c, m->from_incarnation, &m->u.status);
      break;
    case PEER_RECORD:
      core_take_record (c, &m->u.record, false);
      break;
    case PEER_CLAIM:
    case PEER_CLAIMED:
    case PEER_NOTE:
      core_keyed_on_peer (c, m);
      peer_message_drop_blobs (m);
      break;
    case PEER_DEMAND:
    case PEER_TRANSFER:
    case PEER_ACK:
    case PEER_ASK:
      break;
    }
}

void
core_on_peer_fault (struct core *c, const struct event_peer_fault *e)
{
  c->counters[COUNTER_BAD_PEER_FRAMES]++;
  if (strcmp (c->refused_address, e->address) == 0)
    return;
  text_copy (c->refused_address, ADDRESS_BYTES, e->address);
  core_note (c, NOTE_PEER_REFUSED, e->address,
             c->counters[COUNTER_BAD_PEER_FRAMES]);
}
