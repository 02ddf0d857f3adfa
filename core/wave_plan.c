/* wave_plan.c -- plays a wave through in virtual time.  */

#include "core/wave_plan.h"

#include <string.h>

/* Returns the least time in which the budget of pool P lets W finish.  */
static uint64_t
pool_bound_ms (const struct control *c, const struct wave *w, uint32_t p,
               const uint32_t *step_ms)
{
  uint32_t budget = c->config->pools[p].unavailable_count;
  uint64_t sum_ms = 0;
  uint64_t longest_ms = 0;
  uint32_t k;

  for (k = 0; k < w->vm_count; k++)
    {
      int32_t i = vm_control_find (c, w->vms[k].name);

      if (i < 0 || w->vms[k].done || c->config->vms[i].pool_index != p)
        continue;
      sum_ms += step_ms[i];
      if (step_ms[i] > longest_ms)
        longest_ms = step_ms[i];
    }
  if (budget > 0)
    sum_ms = (sum_ms + budget - 1) / budget;
  return sum_ms > longest_ms ? sum_ms : longest_ms;
}

static void
set_bound (const struct control *c, const struct wave *w,
           const uint32_t *step_ms, struct wave_plan *plan)
{
  uint64_t sum_ms = 0;
  uint32_t p;
  uint32_t k;

  for (p = 0; p < c->config->pool_count; p++)
    {
      uint64_t ms = pool_bound_ms (c, w, p, step_ms);

      if (ms <= plan->bound_ms)
        continue;
      plan->bound_ms = ms;
      plan->longest_pool = p;
    }
  for (k = 0; k < w->vm_count && w->parallel_count > 0; k++)
    {
      int32_t i = vm_control_find (c, w->vms[k].name);

      if (i >= 0 && !w->vms[k].done)
        sum_ms += step_ms[i];
    }
  if (w->parallel_count > 0 && sum_ms / w->parallel_count > plan->bound_ms)
    plan->bound_ms = sum_ms / w->parallel_count;
}

static void
take_out (struct control *c, struct wave *w, uint32_t vm_index)
{
  struct vm_entry *v = &c->vm_control->vms[vm_index];

  v->phase = VM_DRAINED;
  text_copy (v->wave, NAME_BYTES, w->name);
}

static void
bring_back (struct control *c, struct wave *w, uint32_t vm_index)
{
  struct vm_entry *v = &c->vm_control->vms[vm_index];
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

/* Returns the VM of the wave that comes back first, or -1 if none is out.  */
static int32_t
first_back (const struct control *c, const struct wave *w,
            const uint64_t *back_ms)
{
  int32_t first = -1;
  uint32_t i;

  for (i = 0; i < c->vm_control->vm_count; i++)
    if (c->vm_control->vms[i].phase != VM_SERVING && back_ms[i] > 0
        && strcmp (c->vm_control->vms[i].wave, w->name) == 0
        && (first < 0 || back_ms[i] < back_ms[first]))
      first = (int32_t)i;
  return first;
}

void
wave_simulate (struct control *c, struct wave *w, enum wave_order order,
               const uint32_t *step_ms, struct wave_plan *plan)
{
  uint64_t *back_ms
      = talloc_zero_array (c, uint64_t, c->vm_control->vm_count + 1);
  uint32_t done_before = w->done_count;
  uint32_t out_count = 0;
  int32_t i;

  memset (plan, 0, sizeof *plan);
  set_bound (c, w, step_ms, plan);
  for (;;)
    {
      while ((i = wave_next (c, w, order)) >= 0)
        {
          take_out (c, w, (uint32_t)i);
          back_ms[i] = plan->finish_ms + step_ms[i];
          if (++out_count > plan->most_count)
            plan->most_count = out_count;
        }
      i = first_back (c, w, back_ms);
      if (i < 0)
        break;
      plan->finish_ms = back_ms[i];
      bring_back (c, w, (uint32_t)i);
      out_count--;
    }
  plan->vm_count = w->done_count - done_before;
  plan->held_count = w->vm_count - w->done_count;
  talloc_free (back_ms);
}
