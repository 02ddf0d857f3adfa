/* log_service.h -- the log duty: reads and appends the platform's log.  */

#ifndef FTK_ADAPTER_LOG_SERVICE_H
#define FTK_ADAPTER_LOG_SERVICE_H

#include "adapter/duty.h"
#include "port/record.h"

#include <sys/queue.h>

struct log_service;

/** What the duty's ring takes; a talloc tree of its own.  */
struct log_item
{
  STAILQ_ENTRY (log_item) link; /**< The sender's, while it holds the item.  */
  struct record *record;        /**< Appended; a child of the item.  */
  bool follow;                  /**< Else: read on from follow_offset.  */
  uint64_t follow_offset;
  struct ring *flushed; /**< Else: told once when nothing is pending.  */
};

/** Returns the log duty on ADDRESS, whose records go to DECIDE; or NULL.  */
struct log_service *log_service_new (const char *address, struct ring *decide);

/** Returns the duty, to start and join it.  Its ring takes struct log_item. */
struct duty *log_service_duty (struct log_service *l);

/** Starts following the log from its first offset; call before the start.  */
void log_service_follow (struct log_service *l);

void log_service_free (struct log_service *l);

#endif
