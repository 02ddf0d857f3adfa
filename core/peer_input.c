/* peer_input.c -- passes a peer's message to the module that handles it.  */

#include "core/state.h"

#include <string.h>

/* Returns true if M is from a live member.  Messages of gone members are
   ignored, and so are those of members whose join record is not applied here
   yet; the latter send their transfers again.  */
static bool
is_from_member (const struct core *c, const struct peer_message *m)
{
  const struct issuance_member *from
      = issuance_find_member (c->control->issuance, m->from_incarnation);

  return from != NULL && !from->gone;
}

static void
on_limit_message (struct core *c, const struct peer_message *m)
{
  struct peer_view *v = core_find_peer_view (c, m->from_incarnation);

  if (!is_from_member (c, m))
    return;
  if (v != NULL)
    v->heard_at_us = c->now_us;
  switch (m->kind)
    {
    case PEER_DEMAND:
      core_on_demand (c, m);
      break;
    case PEER_TRANSFER:
      core_on_transfer (c, m);
      break;
    case PEER_ACK:
      core_on_ack (c, m);
      break;
    case PEER_ASK:
      core_on_ask (c, m);
      break;
    case PEER_STATUS:
    case PEER_RECORD:
    case PEER_KEY_CLAIM:
    case PEER_KEY_CLAIM_REPLY:
    case PEER_KEY_STATE:
      break;
    }
}

void
core_on_peer (struct core *c, struct peer_message *m)
{
  if (c->incarnation == 0 || m->to_incarnation != c->incarnation)
    {
      peer_message_unref_blobs (m);
      return;
    }
  switch (m->kind)
    {
    case PEER_STATUS:
      core_on_peer_status (c, m->from_incarnation, &m->u.status);
      break;
    case PEER_RECORD:
      core_accept_record (c, &m->u.record, false);
      break;
    case PEER_KEY_CLAIM:
    case PEER_KEY_CLAIM_REPLY:
    case PEER_KEY_STATE:
      core_idempotency_on_peer (c, m);
      peer_message_unref_blobs (m);
      break;
    case PEER_DEMAND:
    case PEER_TRANSFER:
    case PEER_ACK:
    case PEER_ASK:
      on_limit_message (c, m);
      break;
    }
}

void
core_on_peer_fault (struct core *c, const struct event_peer_fault *e)
{
  c->counters[COUNTER_BAD_PEER_FRAMES]++;
  if (strcmp (c->last_refused_address, e->address) == 0)
    return;
  text_copy (c->last_refused_address, ADDRESS_BYTES, e->address);
  core_note (c, NOTE_PEER_REFUSED, e->address,
             c->counters[COUNTER_BAD_PEER_FRAMES]);
}
