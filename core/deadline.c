/* deadline.c -- waiting requests by deadline: a timing wheel.  */

#include "core/deadline.h"

#include "core/state.h"

void
deadline_init (struct deadline_wheel *w)
{
  uint32_t i;

  for (i = 0; i < DEADLINE_SLOT_COUNT; i++)
    TAILQ_INIT (&w->slots[i]);
  w->next_tick = 0;
  w->cursor = NULL;
}

static struct request_list *
slot_at (struct deadline_wheel *w, uint64_t turn)
{
  return &w->slots[turn % DEADLINE_SLOT_COUNT];
}

void
deadline_add (struct deadline_wheel *w, struct request *r)
{
  uint64_t turn = r->deadline_us / DEADLINE_SLOT_US;

  /* What is late already goes where the next tick looks.  */
  if (turn < w->next_tick)
    turn = w->next_tick;
  r->deadline_tick = turn;
  TAILQ_INSERT_TAIL (slot_at (w, turn), r, deadline_link);
}

void
deadline_remove (struct deadline_wheel *w, struct request *r)
{
  if (w->cursor == r)
    w->cursor = TAILQ_NEXT (r, deadline_link);
  TAILQ_REMOVE (slot_at (w, r->deadline_tick), r, deadline_link);
}

static struct request *
scan_slot (struct deadline_wheel *w, uint64_t now_us)
{
  while (w->cursor != NULL)
    {
      struct request *r = w->cursor;

      if (r->deadline_us <= now_us)
        return r;
      w->cursor = TAILQ_NEXT (r, deadline_link);
    }
  return NULL;
}

struct request *
deadline_find_expired (struct deadline_wheel *w, uint64_t now_us)
{
  uint64_t turn = now_us / DEADLINE_SLOT_US;
  struct request *r = scan_slot (w, now_us);

  if (r != NULL)
    return r;
  if (turn - w->next_tick > DEADLINE_SLOT_COUNT && turn > w->next_tick)
    w->next_tick = turn - DEADLINE_SLOT_COUNT;
  /* The slot of NOW_US itself is looked at now and again at the next tick.  */
  while (w->next_tick <= turn)
    {
      w->cursor = TAILQ_FIRST (slot_at (w, w->next_tick));
      if (w->next_tick == turn)
        return scan_slot (w, now_us);
      w->next_tick++;
      r = scan_slot (w, now_us);
      if (r != NULL)
        return r;
    }
  return NULL;
}
