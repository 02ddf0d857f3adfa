/* dispatch.c -- which waiting request starts next, and on which worker.  */

#include "core/state.h"

#include <string.h>

void
core_enqueue (struct core *c, struct pool_state *p, struct request *r)
{
  r->state = REQUEST_WAITING;
  TAILQ_INSERT_TAIL (&p->waiting, r, link);
  p->waiting_count++;
  c->waiting_count++;
}

void
core_dequeue (struct core *c, struct pool_state *p, struct request *r)
{
  TAILQ_REMOVE (&p->waiting, r, link);
  p->waiting_count--;
  c->waiting_count--;
}

/* Returns the least loaded VM of the pool with a slot free for this entry, or
   -1.  */
static int32_t
pick_vm (const struct core *c, const struct request *r, uint32_t pool_index)
{
  const struct config *f = c->control->config;
  int32_t best = -1;
  uint32_t i;

  for (i = 0; i < f->vm_count; i++)
    {
      if (f->vms[i].pool_index != pool_index || !core_vm_takes_work (c, i)
          || !core_vm_is_healthy (c, i) || core_request_avoids (c, r, i)
          || c->vms[i].running_count >= core_vm_limit (c, i))
        continue;
      if (best < 0 || c->vms[i].running_count < c->vms[best].running_count)
        best = (int32_t)i;
    }
  return best;
}

static bool
team_may_start (const struct core *c, int32_t team_index)
{
  if (team_index < 0)
    return true;
  return c->teams[team_index].running_count
         < core_team_limit (c, (uint32_t)team_index);
}

void
core_acquire (struct core *c, struct request *r, uint32_t vm_index)
{
  int32_t team = control_team_index (c->control, r->team);

  r->vm_index = (int32_t)vm_index;
  text_copy (r->vm, NAME_BYTES, c->vms[vm_index].name);
  c->vms[vm_index].running_count++;
  c->running_count++;
  if (team < 0)
    return;
  c->teams[team].running_count++;
  if (c->teams[team].running_count > c->teams[team].high_water_count)
    c->teams[team].high_water_count = c->teams[team].running_count;
}

void
core_release (struct core *c, struct request *r)
{
  int32_t team = control_team_index (c->control, r->team);

  c->running_count--;
  if (team >= 0)
    c->teams[team].running_count--;
  if (r->vm_index >= 0)
    c->vms[r->vm_index].running_count--;
  r->vm_index = -1;
}

void
core_dispatch_pool (struct core *c, uint32_t pool_index)
{
  struct pool_state *p = &c->pools[pool_index];
  struct request *r;
  struct request *next;

  for (r = TAILQ_FIRST (&p->waiting); r != NULL; r = next)
    {
      int32_t team = control_team_index (c->control, r->team);
      int32_t vm;

      next = TAILQ_NEXT (r, link);
      if (!team_may_start (c, team))
        continue;
      vm = pick_vm (c, r, pool_index);
      if (vm < 0)
        return;
      core_dequeue (c, p, r);
      core_start_attempt (c, r, (uint32_t)vm);
    }
}

void
core_dispatch_all (struct core *c)
{
  uint32_t i;

  if (c->control->config == NULL)
    return;
  for (i = 0; i < c->control->config->pool_count; i++)
    if (c->pools[i].waiting_count > 0)
      core_dispatch_pool (c, i);
}
