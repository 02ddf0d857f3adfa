/* pool_queue.c -- the requests that wait for one pool on this entry.  */

#include "core/pool_queue.h"

#include "core/state.h"

/** Most urgent requests of a team in a row while normal ones of it wait.  */
#define URGENT_STREAK_LIMIT_COUNT 8

void
pool_queue_init (struct pool_queue *q, TALLOC_CTX *mem, uint32_t team_count)
{
  uint32_t i;

  q->teams = talloc_zero_array (mem, struct team_queue, team_count);
  if (q->teams == NULL)
    out_of_memory ();
  q->team_count = team_count;
  q->waiting_count = 0;
  for (i = 0; i < team_count; i++)
    {
      TAILQ_INIT (&q->teams[i].urgent);
      TAILQ_INIT (&q->teams[i].normal);
    }
}

static struct request_list *
list_of (struct team_queue *t, const struct request *r)
{
  return r->urgent ? &t->urgent : &t->normal;
}

void
pool_queue_add (struct pool_queue *q, struct request *r)
{
  struct team_queue *t = &q->teams[r->team_index];

  TAILQ_INSERT_TAIL (list_of (t, r), r, link);
  t->waiting_count++;
  q->waiting_count++;
}

void
pool_queue_remove (struct pool_queue *q, struct request *r)
{
  struct team_queue *t = &q->teams[r->team_index];

  TAILQ_REMOVE (list_of (t, r), r, link);
  t->waiting_count--;
  q->waiting_count--;
}

struct request *
pool_queue_head (const struct pool_queue *q, uint32_t team)
{
  const struct team_queue *t = &q->teams[team];
  struct request *urgent = TAILQ_FIRST (&t->urgent);
  struct request *normal = TAILQ_FIRST (&t->normal);

  if (urgent == NULL)
    return normal;
  if (normal != NULL
      && t->consecutive_urgent_count >= URGENT_STREAK_LIMIT_COUNT)
    return normal;
  return urgent;
}

void
pool_queue_count_start (struct pool_queue *q, const struct request *r)
{
  struct team_queue *t = &q->teams[r->team_index];

  if (r->urgent)
    t->consecutive_urgent_count++;
  else
    t->consecutive_urgent_count = 0;
}

struct request *
pool_queue_any (const struct pool_queue *q)
{
  uint32_t i;

  if (q->waiting_count > 0)
    for (i = 0; i < q->team_count; i++)
      if (q->teams[i].waiting_count > 0)
        return pool_queue_head (q, i);
  return NULL;
}
