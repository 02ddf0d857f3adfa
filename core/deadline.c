/* deadline.c -- a timing wheel of the unanswered requests by deadline.  */

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
slot_at (struct deadline_wheel *w, uint64_t tick)
{
  return &w->slots[tick % DEADLINE_SLOT_COUNT];
}

void
deadline_add (struct deadline_wheel *w, struct request *r)
{
  uint64_t tick = r->deadline_us / DEADLINE_SLOT_US;

  /* An overdue request goes into the slot that is searched next.  */
  if (tick < w->next_tick)
    tick = w->next_tick;
  r->deadline_tick = tick;
  TAILQ_INSERT_TAIL (slot_at (w, tick), r, deadline_link);
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
  uint64_t tick = now_us / DEADLINE_SLOT_US;
  struct request *r = scan_slot (w, now_us);

  if (r != NULL)
    return r;
  /* After a long pause one revolution covers every slot.  */
  if (tick - w->next_tick > DEADLINE_SLOT_COUNT && tick > w->next_tick)
    w->next_tick = tick - DEADLINE_SLOT_COUNT;
  /* The slot of NOW_US is searched again next time: its span has not ended. */
  while (w->next_tick <= tick)
    {
      w->cursor = TAILQ_FIRST (slot_at (w, w->next_tick));
      if (w->next_tick == tick)
        return scan_slot (w, now_us);
      w->next_tick++;
      r = scan_slot (w, now_us);
      if (r != NULL)
        return r;
    }
  return NULL;
}
