/* wave_order.c -- selects the VM of a wave to drain next.

   The order is greedy.  The pool with the most VMs left relative to its budget
   determines how long the wave takes, so it goes first.  Within a pool, a rack
   that has been begun is finished before another is begun, because a rack
   counts against the pool's budget of racks until its last VM has returned. */

#include "core/wave_order.h"

#include <string.h>

/** Fixed-point scale of a pool's pending VMs per budget.  */
#define WEIGHT_SCALE 1000

/* Returns true if VM K of W serves and is not done; sets *VM_INDEX.  */
static bool
is_pending (const struct control *c, const struct wave *w, uint32_t k,
            int32_t *vm_index)
{
  if (w->vms[k].done)
    return false;
  *vm_index = vm_control_find_vm (c, w->vms[k].name);
  return *vm_index >= 0 && c->vm_control->vms[*vm_index].phase == VM_SERVING;
}

static bool
same_rack (const struct control *c, uint32_t a, uint32_t b)
{
  const struct vm_config *x = &c->config->vms[a];
  const struct vm_config *y = &c->config->vms[b];

  return x->pool_index == y->pool_index && strcmp (x->rack, y->rack) == 0;
}

/* Returns true if some VM of VM_INDEX's rack and pool is out.  */
static bool
rack_has_vm_out (const struct control *c, uint32_t vm_index)
{
  uint32_t i;

  for (i = 0; i < c->config->vm_count; i++)
    if (same_rack (c, i, vm_index) && vm_control_is_out (c, i))
      return true;
  return false;
}

/* Counts the pending VMs of W in the pool of VM_INDEX and in its rack.  */
static void
count_pending (const struct control *c, const struct wave *w,
               uint32_t vm_index, uint32_t *pool_count, uint32_t *rack_count)
{
  uint32_t k;
  int32_t i;

  *pool_count = 0;
  *rack_count = 0;
  for (k = 0; k < w->vm_count; k++)
    {
      if (!is_pending (c, w, k, &i))
        continue;
      if (c->config->vms[i].pool_index == c->config->vms[vm_index].pool_index)
        ++*pool_count;
      if (same_rack (c, (uint32_t)i, vm_index))
        ++*rack_count;
    }
}

/* Returns the priority of VM_INDEX: its pool's pending VMs per budget, then
   whether its rack is begun, then its rack's pending VMs.  */
static uint64_t
score (const struct control *c, const struct wave *w, uint32_t vm_index)
{
  const struct config *f = c->config;
  const struct pool_config *p = &f->pools[f->vms[vm_index].pool_index];
  uint32_t pool_count;
  uint32_t rack_count;
  uint64_t weight;

  count_pending (c, w, vm_index, &pool_count, &rack_count);
  weight = (uint64_t)pool_count * WEIGHT_SCALE / p->max_unavailable_count;
  return (weight << 24)
         + ((uint64_t)(rack_has_vm_out (c, vm_index) ? 1 : 0) << 16)
         + (rack_count < UINT16_MAX ? rack_count : UINT16_MAX);
}

static uint32_t
pool_out_count (const struct control *c, uint32_t pool_index)
{
  uint32_t n = 0;
  uint32_t i;

  for (i = 0; i < c->config->vm_count; i++)
    if (c->config->vms[i].pool_index == pool_index && vm_control_is_out (c, i))
      n++;
  return n;
}

/* WAVE_ORDER_RACK_BATCH: returns true if VM_INDEX belongs to the current batch
   of its pool or may begin a new one.  A batch is as many VMs of one rack as
   the pool's budget allows out, and the next begins when all of them have
   returned.  */
static bool
batch_allows (const struct control *c, const struct wave *w, uint32_t vm_index)
{
  uint32_t pool_index = c->config->vms[vm_index].pool_index;
  uint32_t done_count = 0;
  uint32_t k;

  if (pool_out_count (c, pool_index) == 0)
    return true;
  for (k = 0; k < w->vm_count; k++)
    {
      int32_t i = vm_control_find_vm (c, w->vms[k].name);

      if (w->vms[k].done && i >= 0 && same_rack (c, (uint32_t)i, vm_index))
        done_count++;
    }
  return rack_has_vm_out (c, vm_index)
         && done_count % c->config->pools[pool_index].max_unavailable_count
                == 0;
}

static bool
order_allows (const struct control *c, const struct wave *w, uint32_t vm_index,
              enum wave_order order)
{
  switch (order)
    {
    case WAVE_ORDER_GREEDY:
      break;
    case WAVE_ORDER_RACK_BATCH:
      return batch_allows (c, w, vm_index);
    case WAVE_ORDER_ONE_BY_ONE:
      return vm_control_wave_out_count (c, w->name) == 0;
    }
  return true;
}

int32_t
wave_next_vm (const struct control *c, const struct wave *w,
              enum wave_order order)
{
  int32_t best = -1;
  uint64_t best_score = 0;
  uint32_t k;
  int32_t i;

  if (w->state != WAVE_RUNNING || c->config == NULL)
    return -1;
  if (w->parallel_limit_count > 0
      && vm_control_wave_out_count (c, w->name) >= w->parallel_limit_count)
    return -1;
  for (k = 0; k < w->vm_count; k++)
    {
      uint64_t s;

      if (!is_pending (c, w, k, &i) || !vm_control_may_drain (c, (uint32_t)i)
          || !order_allows (c, w, (uint32_t)i, order))
        continue;
      s = score (c, w, (uint32_t)i);
      if (best >= 0 && s <= best_score)
        continue;
      best = i;
      best_score = s;
    }
  return best;
}
