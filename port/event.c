/* event.c -- dropping an event that nobody will take.  */

#include "port/event.h"

#include <talloc.h>

void
event_free (struct event *e)
{
  switch (e->kind)
    {
    case EVENT_REQUEST:
      blob_unref (e->u.request.body);
      break;
    case EVENT_ATTEMPT_DONE:
      blob_unref (e->u.attempt.body);
      break;
    case EVENT_RECORD:
      blob_unref (e->u.record.raw);
      break;
    case EVENT_PEER:
      peer_message_unref_blobs (&e->u.peer);
      break;
    default: /* The rest holds talloc's children only.  */
      break;
    }
  talloc_free (e);
}
