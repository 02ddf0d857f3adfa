/* lending.c -- lends VMs of the spare pools to pools with unmet demand.

   Each member estimates the fleet's demand as its own (waiting and running)
   times the number of members, since the load balancer spreads callers evenly.
   The first member in rendezvous order proposes the move.  A move is checked
   when it is applied, so two proposals at the same time do no harm.  */

#include "core/rendezvous.h"
#include "core/spare.h"
#include "core/state.h"

#include <string.h>

/** Time between two checks of whether a move is due.  */
#define LEND_PERIOD_US (200 * US_PER_MS)
/** Minimum time between two proposals.  */
#define LEND_RETRY_US (1 * US_PER_S)

struct lending
{
  struct borrowing_pool *pools; /**< Parallel to the tables' pools.  */
  uint32_t pool_count;
  uint64_t config_version; /**< Version of the tables that pools follows.  */
  uint64_t checked_at_us;  /**< Time of the last check.  */
  uint64_t proposed_at_us; /**< Time of the last proposal.  */
};

struct lending *
lending_new (TALLOC_CTX *mem)
{
  struct lending *l = talloc_zero (mem, struct lending);

  if (l == NULL)
    out_of_memory ();
  return l;
}

static bool
is_spare (const struct config *f, const char *pool)
{
  uint32_t i;

  for (i = 0; i < f->pool_count; i++)
    if (f->pools[i].is_spare && strcmp (f->pools[i].name, pool) == 0)
      return true;
  return false;
}

/* Returns true if VM I belongs to a spare pool and is lent to another.  */
static bool
is_lent (const struct core *c, uint32_t i)
{
  const struct vm_lifecycle *v = &c->control->vm_control->vms[i];

  return strcmp (v->configured_pool, v->pool) != 0
         && is_spare (c->control->config, v->configured_pool);
}

/* Adds VM I to the demand and the slots of its pool.  */
static void
measure_vm (struct core *c, uint32_t i)
{
  const struct vm_config *vm = &c->control->config->vms[i];
  struct borrowing_pool *p = &c->lending->pools[vm->pool_index];

  p->demand_count += c->vms[i].running_count;
  if (!core_vm_takes_work (c, i))
    return;
  p->slot_count += vm->slot_count;
  if (!is_lent (c, i))
    return;
  p->borrowed_count++;
  p->vm_slot_count = vm->slot_count;
}

/* Measures demand and slots of every pool.  Returns how many VMs of the spare
   pools take work.  */
static uint32_t
measure (struct core *c)
{
  const struct config *f = c->control->config;
  struct lending *l = c->lending;
  uint32_t free_count = 0;
  uint32_t i;

  for (i = 0; i < l->pool_count; i++)
    {
      l->pools[i].slot_count = 0;
      l->pools[i].vm_slot_count = 0;
      l->pools[i].borrowed_count = 0;
      l->pools[i].demand_count = c->pools[i].queue.waiting_count;
    }
  for (i = 0; i < f->vm_count; i++)
    {
      measure_vm (c, i);
      if (f->pools[f->vms[i].pool_index].is_spare && core_vm_takes_work (c, i))
        free_count++;
    }
  for (i = 0; i < l->pool_count; i++)
    {
      l->pools[i].demand_count *= c->control->member_count;
      if (f->pools[i].is_spare)
        l->pools[i].demand_count = 0;
    }
  return free_count;
}

/* Returns the VM for the move M: for SPARE_LEND the least busy VM of the spare
   pools, for SPARE_RECLAIM the least busy one that is lent to the pool; -1 if
   there is none.  */
static int32_t
pick_vm (struct core *c, const struct spare_move *m)
{
  const struct config *f = c->control->config;
  int32_t best = -1;
  uint32_t i;

  for (i = 0; i < f->vm_count; i++)
    {
      bool fits
          = m->kind == SPARE_LEND
                ? f->pools[f->vms[i].pool_index].is_spare
                : f->vms[i].pool_index == m->pool_index && is_lent (c, i);

      if (fits && core_vm_takes_work (c, i)
          && (best < 0
              || c->vms[i].running_count < c->vms[best].running_count))
        best = (int32_t)i;
    }
  return best;
}

static void
propose (struct core *c, const struct spare_move *m)
{
  const struct vm_lifecycle *v;
  int32_t i = pick_vm (c, m);
  struct record *r;

  if (i < 0)
    return;
  v = &c->control->vm_control->vms[i];
  r = core_append_record (c, RECORD_MOVE);
  text_copy (r->u.move.vm, NAME_BYTES, v->name);
  text_copy (r->u.move.from, NAME_BYTES, v->pool);
  text_copy (r->u.move.to, NAME_BYTES,
             m->kind == SPARE_LEND
                 ? c->control->config->pools[m->pool_index].name
                 : v->configured_pool);
  spare_reset_counters (&c->lending->pools[m->pool_index]);
  c->lending->proposed_at_us = c->now_us;
}

/* Starts with new pools and counters of 0 if the configuration changed.  */
static void
adopt_config (struct core *c)
{
  struct lending *l = c->lending;

  if (l->config_version == c->control->config_version)
    return;
  talloc_free (l->pools);
  l->pool_count = c->control->config->pool_count;
  l->pools = talloc_zero_array (l, struct borrowing_pool, l->pool_count + 1);
  if (l->pools == NULL)
    out_of_memory ();
  l->config_version = c->control->config_version;
}

void
core_lending_tick (struct core *c)
{
  struct lending *l = c->lending;
  struct spare_move m;
  uint64_t elapsed_us = c->now_us - l->checked_at_us;
  uint32_t free_count;

  if (c->control->config == NULL || elapsed_us < LEND_PERIOD_US)
    return;
  adopt_config (c);
  l->checked_at_us = c->now_us;
  /* The demand during a pause of this process is unknown, so the pause counts
     as one period.  */
  if (elapsed_us > 5 * LEND_PERIOD_US)
    elapsed_us = LEND_PERIOD_US;
  free_count = measure (c);
  m = spare_next_move (l->pools, l->pool_count, free_count,
                       (uint32_t)(elapsed_us / US_PER_MS), SPARE_BY_COST);
  if (m.kind == SPARE_STAY || c->incarnation == 0 || !c->log_readable
      || c->now_us - l->proposed_at_us < LEND_RETRY_US
      || core_rendezvous_rank (c, "spare") != 0)
    return;
  propose (c, &m);
}
