/* cell_post.c -- events on their way to the cell's duty.  */

#include "adapter/cell_post.h"

#include "adapter/duty.h"

#include <stdatomic.h>

static _Atomic uint64_t dropped_count;

struct cell_event *
cell_event_new (enum cell_event_kind kind)
{
  struct cell_event *e = talloc_zero (NULL, struct cell_event);

  if (e == NULL)
    out_of_memory ();
  e->kind = kind;
  return e;
}

bool
cell_post (struct ring *r, struct cell_event *e)
{
  e->posted_at_us = now_us ();
  if (ring_push (r, e))
    return true;
  atomic_fetch_add (&dropped_count, 1);
  talloc_free (e);
  return false;
}

uint64_t
cell_post_dropped_count (void)
{
  return atomic_load (&dropped_count);
}
