/* peer_message.c -- what a member's message holds.  */

#include "port/peer_message.h"

#include <talloc.h>

void
peer_message_unref_blobs (struct peer_message *m)
{
  switch (m->kind)
    {
    case PEER_RECORD:
      blob_unref (m->u.record.raw);
      m->u.record.raw = NULL;
      break;
    case PEER_KEY_CLAIM:
    case PEER_KEY_CLAIM_REPLY:
    case PEER_KEY_STATE:
      blob_unref (m->u.key.body);
      m->u.key.body = NULL;
      break;
    case PEER_STATUS:
    case PEER_DEMAND:
    case PEER_TRANSFER:
    case PEER_ACK:
    case PEER_ASK:
      break;
    }
}

void
peer_message_clear (struct peer_message *m)
{
  peer_message_unref_blobs (m);
  if (m->kind != PEER_RECORD)
    return;
  talloc_free (m->u.record.record);
  m->u.record.record = NULL;
}
