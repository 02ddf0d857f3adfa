/* spare.c -- when to lend VMs of the spare pool, and when to take them back.
 */

#include "core/spare.h"

static uint32_t
unmet_slots (const struct borrowing_pool *p)
{
  return p->demand_count > p->slot_count ? p->demand_count - p->slot_count : 0;
}

/* Returns true if the pool could do with one VM less and still have room for
   a quarter of that VM's slots.  */
static bool
can_spare (const struct borrowing_pool *p)
{
  return p->borrowed_count > 0
         && p->demand_count + p->vm_slot_count + p->vm_slot_count / 4
                <= p->slot_count;
}

static void
count_pool (struct borrowing_pool *p, uint32_t elapsed_ms)
{
  uint32_t unmet = unmet_slots (p);

  if (unmet > 0)
    p->unmet_slot_ms += (uint64_t)unmet * elapsed_ms;
  else
    p->unmet_slot_ms = 0;
  /* Idleness decays while the VM is of use, so that a pool with a peak every
     few seconds keeps it.  */
  if (can_spare (p))
    p->idle_slot_ms += (uint64_t)p->vm_slot_count * elapsed_ms;
  else
    p->idle_slot_ms /= 2;
}

/* Each VM lent already makes one more worth less: what waits may be the
   rest of a peak that those lent will serve.  */
static uint64_t
lend_cost (const struct borrowing_pool *p)
{
  return (uint64_t)SPARE_LEND_COST * (1 + p->borrowed_count);
}

static bool
lend_is_due (const struct borrowing_pool *p, enum spare_policy policy)
{
  switch (policy)
    {
    case SPARE_BY_COST:
      return p->unmet_slot_ms >= lend_cost (p);
    case SPARE_NONE:
      return false;
    case SPARE_EAGER:
      break;
    }
  return unmet_slots (p) > 0;
}

static bool
take_is_due (const struct borrowing_pool *p, enum spare_policy policy)
{
  switch (policy)
    {
    case SPARE_BY_COST:
      return p->idle_slot_ms >= SPARE_RECLAIM_COST && can_spare (p);
    case SPARE_NONE:
      return false;
    case SPARE_EAGER:
      break;
    }
  return can_spare (p);
}

/* Returns the pool with most unmet demand among those due, or -1.  */
static int32_t
pick_lend (const struct borrowing_pool *pools, uint32_t pool_count,
           enum spare_policy policy)
{
  int32_t best = -1;
  uint32_t i;

  for (i = 0; i < pool_count; i++)
    if (lend_is_due (&pools[i], policy)
        && (best < 0 || pools[i].unmet_slot_ms > pools[best].unmet_slot_ms))
      best = (int32_t)i;
  return best;
}

struct spare_move
spare_next_move (struct borrowing_pool *pools, uint32_t pool_count,
                 uint32_t free_count, uint32_t elapsed_ms,
                 enum spare_policy policy)
{
  struct spare_move m = { .kind = SPARE_STAY };
  int32_t needy;
  uint32_t i;

  for (i = 0; i < pool_count; i++)
    count_pool (&pools[i], elapsed_ms);
  needy = pick_lend (pools, pool_count, policy);
  if (needy >= 0 && free_count > 0)
    {
      m.kind = SPARE_LEND;
      m.pool_index = (uint32_t)needy;
      return m;
    }
  for (i = 0; i < pool_count; i++)
    {
      /* A VM that is idle where it was lent is of more use to a needy pool,
         but the one that lends it will want it back: it is taken only for a
         need that lasts.  */
      bool wanted = needy >= 0 && (uint32_t)needy != i && can_spare (&pools[i])
                    && (policy == SPARE_EAGER
                        || pools[needy].unmet_slot_ms >= SPARE_SHIFT_COST);

      if (!wanted && !take_is_due (&pools[i], policy))
        continue;
      m.kind = SPARE_RECLAIM;
      m.pool_index = i;
      return m;
    }
  return m;
}

void
spare_reset_counters (struct borrowing_pool *p)
{
  p->unmet_slot_ms = 0;
  p->idle_slot_ms = 0;
}
