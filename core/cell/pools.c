/* pools.c -- moves VMs between pools.

   In a surge a pool needs more VMs than it has (demand.c).  It gets them
   from the spare pool, and from pools that have not needed all of theirs for a
   while.  VMs that idle for still longer are switched off by moving them into
   the spare pool.  A VM is emptied before it moves.  */

#include "core/cell/demand.h"
#include "core/cell/fleet.h"

#include <string.h>

/** Interval between updates of the pools' needs.  */
#define UPDATE_INTERVAL_MS 100
/** Interval between log lines on the state of each pool.  */
#define LOG_INTERVAL_MS 1000
/** Idle VMs of a pool are switched off when it has not had to keep all of its
    VMs for this long.  Demand falls for seconds after a surge, so a VM that
    was not needed for this long is seldom needed before the next one.  */
#define IDLE_MS 800
/** A pool gives a VM to another when it has not needed all of its VMs for this
    long.  */
#define DONOR_DELAY_MS 300
/** A VM that returned to use since a long-running task needed it is left out
    by waves for this long.  */
#define NEEDED_SKIP_MS 1000

static bool
has_long_running (const struct runner *r)
{
  guint i;

  for (i = 0; i < r->tasks->len; i++)
    if (((struct task *)g_ptr_array_index (r->tasks, i))
            ->step->spec->long_running)
      return true;
  return false;
}

/* Returns the cost of moving V, for comparison: twice the CPU in use on it.
   Among VMs with the same use, one whose maintenance is due costs less, as
   that can be done in the spare pool.  */
static uint64_t
move_cost (const struct cell *c, const struct vm *v)
{
  const struct runner *r = fleet_runner (c, v);

  return r == NULL ? 0 : 2 * r->used.cpu_milli + !r->maintenance_due;
}

/* Returns true if V, of pool M, can be moved: it has no tasks or, unless
   EMPTY, none that are long-running, and no place on it is planned.  */
static bool
is_movable (const struct cell *c, const struct pool_demand *m,
            const struct vm *v, bool empty)
{
  const struct runner *r = fleet_runner (c, v);

  if (v->phase != VM_IDLE || !v->row.up || !fleet_runs_are_known (c, v)
      || c->now_us < v->skipped_until_us || c->now_us < v->orders_from_us)
    return false;
  if (r == NULL)
    return m->spare;
  /* A VM that is about to leave cannot be moved any more.  */
  return r->listed && !r->report.draining && places_planned_count (c, r) == 0
         && (r->tasks->len == 0 || (!empty && !has_long_running (r)));
}

/* Returns the VM of pool M, in an evacuated zone or not as EVACUATED tells,
   that costs least to move, or NULL; if EMPTY, one without tasks.  */
static struct vm *
find_vm (struct cell *c, const struct pool_demand *m, bool empty,
         bool evacuated)
{
  struct vm *best = NULL;
  GHashTableIter it;
  gpointer value;

  g_hash_table_iter_init (&it, c->fleet->vms);
  while (g_hash_table_iter_next (&it, NULL, &value))
    {
      struct vm *v = value;

      if (strcmp (v->row.pool, m->name) == 0
          && fleet_is_evacuated (c, v) == evacuated
          && is_movable (c, m, v, empty)
          && (best == NULL || move_cost (c, v) < move_cost (c, best)))
        best = v;
    }
  return best;
}

/* The same for a VM that can serve another pool.  */
static struct vm *
find_movable_vm (struct cell *c, const struct pool_demand *m, bool empty)
{
  return find_vm (c, m, empty, false);
}

/* Begins the move of V between two pools.  */
static void
move_vm (struct cell *c, struct vm *v, struct pool_demand *from,
         struct pool_demand *to)
{
  v->moving = true;
  text_copy (v->target_pool, NAME_BYTES, to->name);
  /* One in an evacuated zone is counted in no pool.  */
  from->vm_count -= !fleet_is_evacuated (c, v);
  to->vm_count += !fleet_is_evacuated (c, v);
  cell_log (c, "vm_move_begun", 0,
            "\"vm\":\"%s\",\"from\":\"%s\",\"has\":%u,\"needs\":%u,"
            "\"to\":\"%s\",\"to_has\":%u,\"to_needs\":%u",
            v->row.vm, from->name, from->vm_count, from->need_count, to->name,
            to->vm_count, to->need_count);
  fleet_begin_emptying (c, v);
  c->fleet->window.emptying_count++;
  c->fleet->window.empty_count += fleet_is_empty (c, v);
}

/* Returns true if the move of V can begin now: its order can be sent at once,
   or soon if V has tasks.  */
static bool
admits_move (const struct cell *c, const struct vm *v)
{
  return fleet_is_empty (c, v) ? vm_orders_admit_empty (c)
                               : vm_orders_admit_emptying (c, true);
}

/* Returns the pool that gives a VM to TO, or NULL: the spare pool if it has a
   VM that can move, else the pool with the most VMs beyond its need.  */
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
          || find_movable_vm (c, m, false) == NULL)
        continue;
      if (m->spare)
        return m;
      /* A new owner does not know yet what the other pools need.  */
      if (!handover_is_over (c)
          || c->now_us < m->full_at_us + DONOR_DELAY_MS * US_PER_MS)
        continue;
      if (best == NULL
          || m->vm_count - m->need_count > best->vm_count - best->need_count)
        best = m;
    }
  return best;
}

/* Moves VMs into M until it has what it needs, or no pool can give one.  */
static void
add_vms (struct cell *c, struct pool_demand *m)
{
  /* Until most of its runners were asked, it is not known what M holds.  A
     few that are cut off must not hold it up in a surge.  */
  if (!handover_is_over (c) && !fleet_most_are_asked (c, m->name))
    return;
  while (!m->spare && m->vm_count < m->need_count)
    {
      struct pool_demand *from = find_donor (c, m);
      struct vm *v = from != NULL ? find_movable_vm (c, from, false) : NULL;

      if (v == NULL || !admits_move (c, v))
        return;
      move_vm (c, v, from, m);
    }
}

/* Moves idle VMs that M need not keep into SPARE.  */
static void
switch_off_idle (struct cell *c, struct pool_demand *m,
                 struct pool_demand *spare)
{
  while (!m->spare && m->vm_count > m->keep_count && handover_is_over (c)
         && c->now_us >= m->busy_at_us + IDLE_MS * US_PER_MS)
    {
      struct vm *v = find_movable_vm (c, m, true);

      if (v == NULL || !admits_move (c, v))
        return;
      move_vm (c, v, m, spare);
    }
}

/* Returns true if no pool lacks VMs: the cloud's order rate is free for other
   moves.  */
static bool
needs_are_met (const struct fleet_demand *p)
{
  uint32_t i;

  for (i = 0; i < p->pool_count; i++)
    if (!p->pools[i].spare && p->pools[i].vm_count < p->pools[i].need_count)
      return false;
  return true;
}

/* Moves the idle VMs of M that are in evacuated zones into SPARE.  */
static void
switch_off_evacuated (struct cell *c, struct pool_demand *m,
                      struct pool_demand *spare)
{
  struct vm *v = NULL;

  if (m->spare || c->evacuated.count == 0 || !handover_is_over (c)
      || !needs_are_met (c->fleet->demand))
    return;
  while ((v = find_vm (c, m, true, true)) != NULL && admits_move (c, v))
    move_vm (c, v, m, spare);
}

/* Returns the VM that is being emptied and on whose runner T could start, or
   NULL.  */
static struct vm *
find_emptying_vm (struct cell *c, const struct task *t)
{
  const struct site_queue *q = cell_find_queue (c, task_job (t)->queue);
  GHashTableIter it;
  gpointer value;

  g_hash_table_iter_init (&it, c->fleet->vms);
  while (g_hash_table_iter_next (&it, NULL, &value))
    {
      struct vm *v = value;
      struct runner *r;

      if (v->phase != VM_EMPTYING || q == NULL
          || strcmp (v->row.pool, q->pool) != 0)
        continue;
      r = fleet_runner (c, v);
      if (r != NULL && !r->zone_evacuated && place_fits (c, t, r))
        return v;
    }
  return NULL;
}

/* Returns VMs to use that are being emptied while a long-running task finds no
   other place.  */
static void
give_back_needed_vms (struct cell *c)
{
  guint i;

  for (i = 0; i < c->fleet->unplaced->len; i++)
    {
      struct task *t = g_ptr_array_index (c->fleet->unplaced, i);
      struct vm *v = find_emptying_vm (c, t);

      if (v == NULL)
        continue;
      fleet_give_back_vm (c, v, "place_needed", NEEDED_SKIP_MS);
      places_plan_task (c, t);
    }
}

/* Logs the size and the demand of each pool.  */
static void
log_pools (struct cell *c)
{
  struct fleet_demand *p = c->fleet->demand;
  uint32_t i;

  if (c->now_us < p->logged_at_us + LOG_INTERVAL_MS * US_PER_MS)
    return;
  p->logged_at_us = c->now_us;
  for (i = 0; i < p->pool_count; i++)
    {
      struct pool_demand *m = &p->pools[i];

      cell_log (c, "pool_state", 0,
                "\"pool\":\"%s\",\"vms\":%u,\"needs\":%u,\"keeps\":%u,"
                "\"long_running_milli\":%llu,\"short_task_milli\":%llu,"
                "\"waiting_milli\":%llu,\"arriving_milli\":%llu,"
                "\"memory_mib\":%llu,\"spread_vms\":%u,\"unplaced_vms\":%u,"
                "\"serving_waiting\":%u,\"usable\":%u,\"emptying\":%u,"
                "\"quarantined\":%u,\"silent\":%u",
                m->name, m->vm_count, m->need_count, m->keep_count,
                (unsigned long long)m->long_running_milli,
                (unsigned long long)m->short_task_milli,
                (unsigned long long)m->waiting_milli,
                (unsigned long long)demand_arriving_milli (c, m),
                (unsigned long long)m->memory_mib, m->spread_vm_count,
                m->unplaced_vm_count, m->serving_waiting_count,
                m->usable_count, m->emptying_count, m->quarantined_count,
                m->silent_count);
    }
}

void
pools_tick (struct cell *c)
{
  struct fleet_demand *p = c->fleet->demand;
  struct pool_demand *spare = NULL;
  uint32_t i;

  if (c->now_us < p->updated_at_us + UPDATE_INTERVAL_MS * US_PER_MS
      || c->config == NULL)
    return;
  p->updated_at_us = c->now_us;
  give_back_needed_vms (c);
  demand_update (c);
  log_pools (c);
  for (i = 0; i < p->pool_count; i++)
    if (p->pools[i].spare)
      spare = &p->pools[i];
  for (i = 0; i < p->pool_count; i++)
    add_vms (c, &p->pools[i]);
  if (spare == NULL)
    return;
  for (i = 0; i < p->pool_count; i++)
    {
      switch_off_idle (c, &p->pools[i], spare);
      switch_off_evacuated (c, &p->pools[i], spare);
    }
}
