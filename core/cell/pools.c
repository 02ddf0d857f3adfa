/* pools.c -- how many VMs each pool has.

   Load that it answers: a pool's need (demand.c) rises to several times its
   mean for some seconds, more than it holds.  A pool that lacks room gets VMs
   from the spare pool and from pools whose turn is over; what idles for a
   while is switched off into the spare pool.  Only empty VMs move.  */

#include "core/cell/demand.h"
#include "core/cell/fleet.h"

#include <string.h>

/** Between two looks at demand.  */
#define PLAN_GAP_MS 100
/** Between two lines on the state of each pool.  */
#define TELL_GAP_MS 1000
/** A VM is switched off after idling: two moves' price in VM time, and some.
 */
#define IDLE_MS 1500
/** A pool lends what it has not needed for this long.  */
#define LEND_MS 300

static bool
has_lasting (const struct runner *r)
{
  guint i;

  for (i = 0; i < r->tasks->len; i++)
    if (((struct task *)g_ptr_array_index (r->tasks, i))
            ->step->spec->long_running)
      return true;
  return false;
}

/* One with maintenance before it has it where it is off.  */
static uint64_t
cost_of (const struct cell *c, const struct vm *v)
{
  const struct runner *r = fleet_runner (c, v);

  return r == NULL ? 0 : 2 * r->used.cpu_milli + !r->maintenance_due;
}

/* Returns the VM of pool M with least to end before it can move, or NULL.
   EMPTY: only one that has nothing.  */
static struct vm *
free_vm (struct cell *c, const struct pool_demand *m, bool empty)
{
  struct vm *best = NULL;
  GHashTableIter it;
  gpointer value;

  g_hash_table_iter_init (&it, c->fleet->vms);
  while (g_hash_table_iter_next (&it, NULL, &value))
    {
      struct vm *v = value;
      struct runner *r = fleet_runner (c, v);

      if (v->phase != VM_IDLE || !v->row.up || !fleet_runs_are_known (c, v)
          || strcmp (v->row.pool, m->name) != 0 || (r == NULL && !m->spare)
          || (r != NULL && r->tasks->len > 0 && (empty || has_lasting (r))))
        continue;
      if (best == NULL || cost_of (c, v) < cost_of (c, best))
        best = v;
    }
  return best;
}

static void
move_vm (struct cell *c, struct vm *v, struct pool_demand *from,
         struct pool_demand *to)
{
  struct runner *r = fleet_runner (c, v);

  v->moving = true;
  text_copy (v->target_pool, NAME_BYTES, to->name);
  if (r != NULL)
    r->vm_emptying = true;
  from->vm_count--;
  to->vm_count++;
  cell_log (c, "vm_moves", 0,
            "\"vm\":\"%s\",\"from\":\"%s\",\"has\":%u,\"needs\":%u,"
            "\"to\":\"%s\",\"to_has\":%u,\"to_needs\":%u",
            v->row.vm, from->name, from->vm_count, from->need_count, to->name,
            to->vm_count, to->need_count);
  v->phase = VM_EMPTYING;
  if (r == NULL || r->tasks->len == 0)
    fleet_send_order (c, v);
}

/* Returns a pool that can give a VM to one that lacks it, or NULL.  */
static struct pool_demand *
find_donor (struct cell *c, const struct pool_demand *to)
{
  struct fleet_demand *p = c->fleet->demand;
  struct pool_demand *best = NULL;
  uint32_t i;

  for (i = 0; i < p->pool_count; i++)
    {
      struct pool_demand *m = &p->pools[i];

      if (m == to || m->vm_count <= m->need_count
          || free_vm (c, m, false) == NULL)
        continue;
      if (m->spare)
        return m;
      if (c->now_us < m->full_at_us + LEND_MS * US_PER_MS)
        continue;
      if (best == NULL
          || m->vm_count - m->need_count > best->vm_count - best->need_count)
        best = m;
    }
  return best;
}

static void
fill (struct cell *c, struct pool_demand *m)
{
  while (!m->spare && m->vm_count < m->need_count)
    {
      struct pool_demand *from = find_donor (c, m);

      if (from == NULL)
        return;
      move_vm (c, free_vm (c, from, false), from, m);
    }
}

static void
switch_off (struct cell *c, struct pool_demand *m, struct pool_demand *spare)
{
  while (!m->spare && m->vm_count > m->keep_count
         && c->now_us >= m->busy_at_us + IDLE_MS * US_PER_MS)
    {
      struct vm *v = free_vm (c, m, true);

      if (v == NULL)
        return;
      move_vm (c, v, m, spare);
    }
}

/* One line a pool: what it has, and what the need rests on.  */
static void
tell_state (struct cell *c)
{
  struct fleet_demand *p = c->fleet->demand;
  uint32_t i;

  if (c->now_us < p->logged_at_us + TELL_GAP_MS * US_PER_MS)
    return;
  p->logged_at_us = c->now_us;
  for (i = 0; i < p->pool_count; i++)
    {
      struct pool_demand *m = &p->pools[i];

      cell_log (c, "pool_state", 0,
                "\"pool\":\"%s\",\"vms\":%u,\"needs\":%u,\"keeps\":%u,"
                "\"lasting_milli\":%llu,\"short_milli\":%llu,"
                "\"waiting_milli\":%llu,\"arriving_milli\":%llu",
                m->name, m->vm_count, m->need_count, m->keep_count,
                (unsigned long long)m->long_running_milli,
                (unsigned long long)m->short_task_milli,
                (unsigned long long)m->waiting_milli,
                (unsigned long long)demand_arriving_milli (c, m));
    }
}

void
pools_tick (struct cell *c)
{
  struct fleet_demand *p = c->fleet->demand;
  struct pool_demand *spare = NULL;
  uint32_t i;

  if (c->now_us < p->updated_at_us + PLAN_GAP_MS * US_PER_MS
      || c->config == NULL)
    return;
  p->updated_at_us = c->now_us;
  demand_update (c);
  tell_state (c);
  for (i = 0; i < p->pool_count; i++)
    if (p->pools[i].spare)
      spare = &p->pools[i];
  for (i = 0; i < p->pool_count; i++)
    fill (c, &p->pools[i]);
  if (spare == NULL)
    return;
  for (i = 0; i < p->pool_count; i++)
    switch_off (c, &p->pools[i], spare);
}
