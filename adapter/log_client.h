/* log_client.h -- the log duty, a client of the platform's log: it follows
   the log and appends records.  */

#ifndef FTK_ADAPTER_LOG_CLIENT_H
#define FTK_ADAPTER_LOG_CLIENT_H

#include "adapter/duty.h"
#include "port/record.h"

#include <sys/queue.h>

struct log_client;

/** An element of the duty's ring, a talloc tree without a parent.  It asks for
    one thing: record, seek or flushed_ring.  */
struct log_request
{
  STAILQ_ENTRY (log_request) link; /**< For the sender's list.  */
  struct record *record;           /**< Append this record, a child of the
                                        request.  */
  bool seek;                       /**< Continue reading at seek_offset.  */
  uint64_t seek_offset;
  struct ring *flushed_ring; /**< Push to this ring once no append is
                                pending.  */
};

/** Returns a log duty for the log at ADDRESS that passes records and the
    outcome of reads to DECIDE; or NULL if out of memory or file
    descriptors.  */
struct log_client *log_client_new (const char *address, struct ring *decide);

/** Returns the duty, to start and stop it.  Its ring takes
    struct log_request.  */
struct duty *log_client_duty (struct log_client *l);

/** Starts to follow the log from offset 0; call it before the duty starts.  */
void log_client_follow (struct log_client *l);

/** Frees the stopped duty with the appends still pending; NULL is allowed.  */
void log_client_free (struct log_client *l);

#endif
