/* pool_queue.h -- the requests that wait for one pool on this entry.

   Each team has its own lists, so the order among teams is decided when a
   slot becomes free.  Within a team urgent requests go first, but at most
   URGENT_STREAK_LIMIT_COUNT in a row while normal ones of the team wait.
   Adding and removing take constant time.  */

#ifndef FTK_CORE_POOL_QUEUE_H
#define FTK_CORE_POOL_QUEUE_H

#include <stdbool.h>
#include <stdint.h>
#include <sys/queue.h>
#include <talloc.h>

struct request;

TAILQ_HEAD (request_list, request);

/** The waiting requests of one team.  */
struct team_queue
{
  struct request_list urgent;
  struct request_list normal;
  uint32_t waiting_count;
  uint32_t consecutive_urgent_count; /**< Urgent ones started in a row.  */
};

struct pool_queue
{
  struct team_queue *teams; /**< By team; the last: no team.  */
  uint32_t team_count;
  uint32_t waiting_count;
};

/** Makes Q empty, with TEAM_COUNT teams allocated as a child of MEM.  */
void pool_queue_init (struct pool_queue *q, TALLOC_CTX *mem,
                      uint32_t team_count);

/** Adds R to the end of its team's list.  */
void pool_queue_add (struct pool_queue *q, struct request *r);

/** Removes R, which may be anywhere in its list.  */
void pool_queue_remove (struct pool_queue *q, struct request *r);

/** Returns the request of TEAM that starts next, or NULL.  */
struct request *pool_queue_head (const struct pool_queue *q, uint32_t team);

/** Updates the count of urgent requests in a row; R, the head of its team, is
    about to start.  The caller still removes R.  */
void pool_queue_count_start (struct pool_queue *q, const struct request *r);

/** Returns any request, or NULL when Q is empty.  */
struct request *pool_queue_any (const struct pool_queue *q);

#endif
