/* pool_queue.h -- what waits for one pool on this entry.

   One list for each team, so that the order among teams is decided when a
   slot comes free.  Within a team urgent requests go first, but never more
   than URGENT_RUN_COUNT in a row while others of the team wait.  Adding and
   removing take constant time.  */

#ifndef FTK_CORE_POOL_QUEUE_H
#define FTK_CORE_POOL_QUEUE_H

#include <stdbool.h>
#include <stdint.h>
#include <sys/queue.h>
#include <talloc.h>

struct request;

TAILQ_HEAD (request_list, request);

/** What waits of one team.  */
struct team_queue
{
  struct request_list urgent;
  struct request_list normal;
  uint32_t waiting_count;
  uint32_t consecutive_urgent_count; /**< Urgent ones taken in a row.  */
};

struct pool_queue
{
  struct team_queue *teams; /**< By team; the last is for no team.  */
  uint32_t team_count;
  uint32_t waiting_count;
};

/** Sets up Q for TEAM_COUNT lists below MEM.  */
void pool_queue_init (struct pool_queue *q, TALLOC_CTX *mem,
                      uint32_t team_count);

/** Adds R at the end of its team's list.  */
void pool_queue_add (struct pool_queue *q, struct request *r);

/** Removes R, wherever it stands.  */
void pool_queue_remove (struct pool_queue *q, struct request *r);

/** Returns the request of TEAM that goes next, or NULL.  */
struct request *pool_queue_head (const struct pool_queue *q, uint32_t team);

/** Notes that R, the head of its team, starts now.  */
void pool_queue_note_start (struct pool_queue *q, const struct request *r);

/** Returns any request, or NULL when Q is empty.  */
struct request *pool_queue_any (const struct pool_queue *q);

#endif
