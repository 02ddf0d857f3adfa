/* peer_message.c -- what a member's message holds.  */

#include "port/peer_message.h"

#include <talloc.h>

void
peer_message_drop (struct peer_message *m)
{
  if (m->kind != PEER_RECORD)
    return;
  blob_unref (m->u.record.raw);
  talloc_free (m->u.record.record);
  m->u.record.raw = NULL;
  m->u.record.record = NULL;
}
