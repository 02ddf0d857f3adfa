/* log_client.h -- the log duty: reads and appends the platform's log.  */

#ifndef FTK_ADAPTER_LOG_CLIENT_H
#define FTK_ADAPTER_LOG_CLIENT_H

#include "adapter/duty.h"
#include "port/record.h"

#include <sys/queue.h>

struct log_client;

/** What the duty's ring takes; a talloc tree of its own.  */
struct log_request
{
  STAILQ_ENTRY (log_request)
  link;                  /**< The sender's, while it holds the item.  */
  struct record *record; /**< Appended; a child of the item.  */
  bool follow;           /**< Else: read on from follow_offset.  */
  uint64_t follow_offset;
  struct ring *flushed_ring; /**< Else: told once when nothing is pending.  */
};

/** Returns the log duty on ADDRESS, whose records go to DECIDE; or NULL.  */
struct log_client *log_client_new (const char *address, struct ring *decide);

/** Returns the duty, to start and join it.  Its ring takes struct log_item. */
struct duty *log_client_duty (struct log_client *l);

/** Starts following the log from its first offset; call before the start.  */
void log_client_follow (struct log_client *l);

void log_client_free (struct log_client *l);

#endif
