/* spare.c -- decides when to lend VMs of the spare pool and reclaim them.  */

#include "core/spare.h"

static uint32_t
unmet_slots (const struct borrowing_pool *p)
{
  return p->demand_count > p->slot_count ? p->demand_count - p->slot_count : 0;
}

/* Returns true if P, without one of its borrowed VMs, would still have free
   slots for its demand and a quarter of that VM's slots more.  */
static bool
can_return_vm (const struct borrowing_pool *p)
{
  return p->borrowed_count > 0
         && p->demand_count + p->vm_slot_count + p->vm_slot_count / 4
                <= p->slot_count;
}

static void
update_counters (struct borrowing_pool *p, uint32_t elapsed_ms)
{
  uint32_t unmet = unmet_slots (p);

  if (unmet > 0)
    p->unmet_slot_ms += (uint64_t)unmet * elapsed_ms;
  else
    p->unmet_slot_ms = 0;
  /* The idle time is halved at each step in which the VM is needed, so that a
     pool with a peak every few seconds keeps the VM.  */
  if (can_return_vm (p))
    p->idle_slot_ms += (uint64_t)p->vm_slot_count * elapsed_ms;
  else
    p->idle_slot_ms /= 2;
}

/* The cost rises with each borrowed VM, since the requests that wait may be
   the rest of a peak that the borrowed VMs will serve.  */
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
reclaim_is_due (const struct borrowing_pool *p, enum spare_policy policy)
{
  switch (policy)
    {
    case SPARE_BY_COST:
      return p->idle_slot_ms >= SPARE_RECLAIM_COST && can_return_vm (p);
    case SPARE_NONE:
      return false;
    case SPARE_EAGER:
      break;
    }
  return can_return_vm (p);
}

/* Returns the pool with the most unmet demand of those due for a VM, or -1. */
static int32_t
find_borrower (const struct borrowing_pool *pools, uint32_t pool_count,
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
  int32_t short_pool;
  uint32_t i;

  for (i = 0; i < pool_count; i++)
    update_counters (&pools[i], elapsed_ms);
  short_pool = find_borrower (pools, pool_count, policy);
  if (short_pool >= 0 && free_count > 0)
    {
      m.kind = SPARE_LEND;
      m.pool_index = (uint32_t)short_pool;
      return m;
    }
  for (i = 0; i < pool_count; i++)
    {
      /* A borrowed VM that is idle here would help a pool that is short of
         slots.  But its borrower may soon need it again, so it is reclaimed
         for the other pool only when the shortage lasts.  */
      bool needed_elsewhere
          = short_pool >= 0 && (uint32_t)short_pool != i
            && can_return_vm (&pools[i])
            && (policy == SPARE_EAGER
                || pools[short_pool].unmet_slot_ms >= SPARE_SHIFT_COST);

      if (!needed_elsewhere && !reclaim_is_due (&pools[i], policy))
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
