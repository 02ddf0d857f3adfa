/* wave_plan.c -- simulates a wave in virtual time.  */

#include "core/wave_plan.h"

#include <stdlib.h>
#include <string.h>

/* Drain and reboot times of VMs that share a budget.  */
struct steps
{
  uint32_t *ms;
  uint32_t count;
};

static int
compare_steps (const void *a, const void *b)
{
  uint32_t x = *(const uint32_t *)a;
  uint32_t y = *(const uint32_t *)b;

  return x < y ? -1 : x > y;
}

/* Returns a lower bound on the time for S with at most BUDGET at once: the
   largest of the longest step, the sum divided by BUDGET, and the sum of the
   ceil (count / BUDGET) shortest steps, since some slot of the budget has to
   run that many in sequence.  */
static uint64_t
lower_bound_ms (struct steps *s, uint32_t budget)
{
  uint64_t sum_ms = 0;
  uint64_t chain_ms = 0;
  uint64_t least;
  uint32_t chain_count;
  uint32_t i;

  if (s->count == 0)
    return 0;
  if (budget == 0)
    budget = 1;
  qsort (s->ms, s->count, sizeof *s->ms, compare_steps);
  chain_count = (s->count + budget - 1) / budget;
  for (i = 0; i < s->count; i++)
    {
      sum_ms += s->ms[i];
      if (i < chain_count)
        chain_ms += s->ms[i];
    }
  least = s->ms[s->count - 1];
  sum_ms = (sum_ms + budget - 1) / budget;
  if (sum_ms > least)
    least = sum_ms;
  return chain_ms > least ? chain_ms : least;
}

/* Collects the pending steps of W in pool P, only those of the rack of
   VM_INDEX unless that is -1.  */
static void
collect_steps (const struct control *c, const struct wave *w, uint32_t p,
               int32_t vm_index, const uint32_t *step_ms, struct steps *s)
{
  const struct vm_config *vms = c->config->vms;
  uint32_t k;

  s->count = 0;
  for (k = 0; k < w->vm_count; k++)
    {
      int32_t i = vm_control_find_vm (c, w->vms[k].name);

      if (i >= 0 && !w->vms[k].done && vms[i].pool_index == p
          && (vm_index < 0 || strcmp (vms[i].rack, vms[vm_index].rack) == 0))
        s->ms[s->count++] = step_ms[i];
    }
}

/* Returns true if no VM before VM_INDEX has its pool and rack.  */
static bool
is_first_of_rack (const struct control *c, uint32_t vm_index)
{
  const struct vm_config *vms = c->config->vms;
  uint32_t i;

  for (i = 0; i < vm_index; i++)
    if (vms[i].pool_index == vms[vm_index].pool_index
        && strcmp (vms[i].rack, vms[vm_index].rack) == 0)
      return false;
  return true;
}

/* Returns a lower bound on the time of W in pool P by its budget of racks: the
   sum of the bounds of its racks, divided by the racks that may be out.  */
static uint64_t
rack_lower_bound_ms (const struct control *c, const struct wave *w, uint32_t p,
                     const uint32_t *step_ms, struct steps *s)
{
  const struct pool_config *pool = &c->config->pools[p];
  uint64_t sum_ms = 0;
  uint32_t i;

  for (i = 0; i < c->config->vm_count; i++)
    {
      if (c->config->vms[i].pool_index != p || !is_first_of_rack (c, i))
        continue;
      collect_steps (c, w, p, (int32_t)i, step_ms, s);
      sum_ms += lower_bound_ms (s, pool->max_unavailable_count);
    }
  return sum_ms / pool->max_unavailable_rack_count;
}

/* Returns a lower bound on the time of W by its own limit of VMs at once.  */
static uint64_t
parallel_lower_bound_ms (const struct control *c, const struct wave *w,
                         const uint32_t *step_ms)
{
  uint64_t sum_ms = 0;
  uint32_t k;

  if (w->parallel_limit_count == 0)
    return 0;
  for (k = 0; k < w->vm_count; k++)
    {
      int32_t i = vm_control_find_vm (c, w->vms[k].name);

      if (i >= 0 && !w->vms[k].done)
        sum_ms += step_ms[i];
    }
  return sum_ms / w->parallel_limit_count;
}

static void
set_bounds (const struct control *c, const struct wave *w,
            const uint32_t *step_ms, struct wave_plan *plan)
{
  struct steps s = { .ms = talloc_array (NULL, uint32_t, w->vm_count + 1) };
  uint64_t parallel_ms = parallel_lower_bound_ms (c, w, step_ms);
  uint32_t p;

  for (p = 0; p < c->config->pool_count; p++)
    {
      uint64_t racks_ms = rack_lower_bound_ms (c, w, p, step_ms, &s);
      uint64_t ms;

      collect_steps (c, w, p, -1, step_ms, &s);
      ms = lower_bound_ms (&s, c->config->pools[p].max_unavailable_count);
      if (racks_ms > plan->rack_lower_bound_ms)
        plan->rack_lower_bound_ms = racks_ms;
      if (ms <= plan->lower_bound_ms)
        continue;
      plan->lower_bound_ms = ms;
      plan->bottleneck_pool_index = p;
    }
  if (parallel_ms > plan->lower_bound_ms)
    plan->lower_bound_ms = parallel_ms;
  if (plan->lower_bound_ms > plan->rack_lower_bound_ms)
    plan->rack_lower_bound_ms = plan->lower_bound_ms;
  talloc_free (s.ms);
}

static void
drain_vm (struct control *c, struct wave *w, uint32_t vm_index)
{
  struct vm_lifecycle *v = &c->vm_control->vms[vm_index];

  v->phase = VM_DRAINED;
  text_copy (v->wave, NAME_BYTES, w->name);
}

static void
return_vm (struct control *c, struct wave *w, uint32_t vm_index)
{
  struct vm_lifecycle *v = &c->vm_control->vms[vm_index];
  uint32_t k;

  v->phase = VM_SERVING;
  v->wave[0] = '\0';
  for (k = 0; k < w->vm_count; k++)
    if (strcmp (w->vms[k].name, v->name) == 0 && !w->vms[k].done)
      {
        w->vms[k].done = true;
        w->done_count++;
      }
}

/* Returns the VM of W that returns first, or -1 if none is out.  */
static int32_t
find_first_returning (const struct control *c, const struct wave *w,
                      const uint64_t *return_at_ms)
{
  int32_t first = -1;
  uint32_t i;

  for (i = 0; i < c->vm_control->vm_count; i++)
    if (c->vm_control->vms[i].phase != VM_SERVING && return_at_ms[i] > 0
        && strcmp (c->vm_control->vms[i].wave, w->name) == 0
        && (first < 0 || return_at_ms[i] < return_at_ms[first]))
      first = (int32_t)i;
  return first;
}

void
wave_simulate (struct control *c, struct wave *w, enum wave_order order,
               const uint32_t *step_ms, struct wave_plan *plan)
{
  uint64_t *return_at_ms
      = talloc_zero_array (c, uint64_t, c->vm_control->vm_count + 1);
  uint32_t done_before = w->done_count;
  uint32_t out_count = 0;
  int32_t i;

  memset (plan, 0, sizeof *plan);
  set_bounds (c, w, step_ms, plan);
  for (;;)
    {
      while ((i = wave_next_vm (c, w, order)) >= 0)
        {
          drain_vm (c, w, (uint32_t)i);
          return_at_ms[i] = plan->duration_ms + step_ms[i];
          if (++out_count > plan->max_out_count)
            plan->max_out_count = out_count;
        }
      i = find_first_returning (c, w, return_at_ms);
      if (i < 0)
        break;
      plan->duration_ms = return_at_ms[i];
      return_vm (c, w, (uint32_t)i);
      out_count--;
    }
  plan->vm_count = w->done_count - done_before;
  plan->blocked_count = w->vm_count - w->done_count;
  talloc_free (return_at_ms);
}
