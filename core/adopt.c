/* adopt.c -- carries running and waiting requests over to a new configuration.

   The arrays of pools, VMs, teams and routes run parallel to the tables in
   force.  Requests, teams, pools, VMs and routes are matched to the new tables
   by name.  A waiting request whose route was removed is refused.  Workers
   keep their health, pools their retry budget, routes their mean run time and
   teams their high-water mark.  */

#include "core/state.h"

#include <string.h>

/* Counts the running request R in the new arrays.  */
static void
count_running (struct core *c, struct request *r)
{
  const struct config *f = c->control->config;
  uint32_t i;

  r->vm_index = -1;
  core_bind_request (c, r);
  if (r->team_index < f->team_count)
    c->teams[r->team_index].running_count++;
  for (i = 0; i < f->vm_count; i++)
    if (strcmp (f->vms[i].name, r->vm) == 0)
      {
        struct pool_state *p = &c->pools[f->vms[i].pool_index];

        c->vms[i].running_count++;
        p->running_count++;
        p->team_running_count[r->team_index]++;
        r->vm_index = (int32_t)i;
      }
}

static void
keep_high_water (struct core *c, const struct team_state *old,
                 uint32_t old_count)
{
  uint32_t i;
  int32_t team;

  for (i = 0; i < old_count; i++)
    {
      team = control_team_index (c->control, old[i].name);
      if (team >= 0)
        c->teams[team].high_water_count = old[i].high_water_count;
    }
}

/* Moves every waiting request from the old queues to ALL, in their order.  */
static void
collect_waiting (struct core *c, struct request_list *all)
{
  uint32_t n = c->pools ? (uint32_t)talloc_array_length (c->pools) : 0;
  struct request *r;
  uint32_t i;

  TAILQ_INIT (all);
  for (i = 0; i < n; i++)
    while ((r = pool_queue_any (&c->pools[i].queue)) != NULL)
      {
        core_dequeue (c, &c->pools[i], r);
        TAILQ_INSERT_TAIL (all, r, link);
      }
}

/* Queues the requests in ALL under the new tables, or refuses them.  */
static void
requeue_waiting (struct core *c, struct request_list *all)
{
  struct request *r;

  while ((r = TAILQ_FIRST (all)) != NULL)
    {
      const struct route_config *route
          = control_find_route (c->control, r->queue);

      TAILQ_REMOVE (all, r, link);
      if (route != NULL)
        {
          core_enqueue (c, &c->pools[route->pool_index], r);
          continue;
        }
      core_refuse (c, r, ANSWER_NO_QUEUE);
    }
}

/* Copies the health of the workers from OLD.  The last outcomes of queues on
   workers are not kept: their table is indexed by routes and VMs, which may
   have changed.  */
static void
keep_health (struct core *c, const struct vm_state *old, uint32_t old_count)
{
  uint32_t i;
  uint32_t k;

  for (i = 0; i < c->control->config->vm_count; i++)
    for (k = 0; k < old_count; k++)
      if (strcmp (c->vms[i].name, old[k].name) == 0)
        c->vms[i].health = old[k].health;
}

static void
keep_retry_budgets (struct core *c, const struct pool_state *old,
                    uint32_t old_count)
{
  uint32_t i;
  uint32_t k;

  for (i = 0; i < c->control->config->pool_count; i++)
    {
      retry_budget_init (&c->pools[i].retry_budget, c->now_us);
      for (k = 0; k < old_count; k++)
        if (strcmp (c->pools[i].name, old[k].name) == 0)
          c->pools[i].retry_budget = old[k].retry_budget;
    }
}

static void
make_pools (struct core *c, const struct config *f)
{
  uint32_t i;

  c->pools = talloc_zero_array (c, struct pool_state, f->pool_count);
  for (i = 0; i < f->pool_count; i++)
    {
      struct pool_state *p = &c->pools[i];

      text_copy (p->name, NAME_BYTES, f->pools[i].name);
      pool_queue_init (&p->queue, c->pools, f->team_count + 1);
      p->team_running_count
          = talloc_zero_array (c->pools, uint32_t, f->team_count + 1);
      p->team_pass = talloc_zero_array (c->pools, uint64_t, f->team_count + 1);
      p->vms = talloc_array (c->pools, uint32_t, f->vm_count + 1);
      p->needs_dispatch = true;
    }
  for (i = 0; i < f->vm_count; i++)
    {
      struct pool_state *p = &c->pools[f->vms[i].pool_index];

      p->vms[p->vm_count++] = i;
    }
}

/* Recounts the running requests of each pool and of each team in it.  */
static void
count_pools (struct core *c)
{
  const struct config *f = c->control->config;
  GHashTableIter it;
  gpointer value;

  g_hash_table_iter_init (&it, c->attempts);
  while (g_hash_table_iter_next (&it, NULL, &value))
    {
      const struct request *r = value;
      struct pool_state *p;

      if (r->vm_index < 0)
        continue;
      p = &c->pools[f->vms[r->vm_index].pool_index];
      p->running_count++;
      p->team_running_count[r->team_index]++;
    }
}

void
core_adopt_moves (struct core *c)
{
  const struct config *f = c->control->config;
  uint32_t i;

  for (i = 0; i < f->pool_count; i++)
    {
      c->pools[i].vm_count = 0;
      c->pools[i].running_count = 0;
      memset (c->pools[i].team_running_count, 0,
              (f->team_count + 1) * sizeof (uint32_t));
    }
  for (i = 0; i < f->vm_count; i++)
    {
      struct pool_state *p = &c->pools[f->vms[i].pool_index];

      p->vms[p->vm_count++] = i;
    }
  count_pools (c);
}

/* Returns true if some VM of R's pool, or a spare one that may be lent to it,
   is large enough.  */
static bool
route_fits (const struct config *f, const struct route_config *r)
{
  uint32_t i;

  for (i = 0; i < f->vm_count; i++)
    if ((f->vms[i].pool_index == r->pool_index
         || f->pools[f->vms[i].pool_index].is_spare)
        && core_vm_fits (&f->vms[i], r))
      return true;
  return false;
}

/* Makes the states of the routes and keeps the mean run times.  */
static void
make_routes (struct core *c, const struct config *f)
{
  struct route_state *old = c->routes;
  uint32_t old_count = old ? (uint32_t)talloc_array_length (old) : 0;
  uint32_t i;

  c->routes = talloc_zero_array (c, struct route_state, f->route_count);
  for (i = 0; i < f->route_count; i++)
    {
      text_copy (c->routes[i].queue, NAME_BYTES, f->routes[i].queue);
      c->routes[i].fits = route_fits (f, &f->routes[i]);
    }
  for (i = 0; i < old_count; i++)
    {
      const struct route_config *r
          = control_find_route (c->control, old[i].queue);

      if (r != NULL)
        c->routes[r - f->routes].mean_run_us = old[i].mean_run_us;
    }
  talloc_free (old);
}

static void
make_teams (struct core *c, const struct config *f)
{
  struct team_state *old = c->teams;
  uint32_t old_count = old ? (uint32_t)talloc_array_length (old) : 0;
  uint32_t i;

  c->teams = talloc_zero_array (c, struct team_state, f->team_count);
  for (i = 0; i < f->team_count; i++)
    text_copy (c->teams[i].name, NAME_BYTES, f->teams[i].name);
  keep_high_water (c, old, old_count);
  talloc_free (old);
}

void
core_adopt_config (struct core *c)
{
  const struct config *f = c->control->config;
  struct vm_state *old_vms = c->vms;
  struct pool_state *old_pools = c->pools;
  struct request_list waiting;
  GHashTableIter it;
  gpointer value;
  uint32_t i;

  collect_waiting (c, &waiting);
  talloc_free (c->last_outcomes);
  make_pools (c, f);
  make_teams (c, f);
  make_routes (c, f);
  c->vms = talloc_zero_array (c, struct vm_state, f->vm_count);
  for (i = 0; i < f->vm_count; i++)
    text_copy (c->vms[i].name, NAME_BYTES, f->vms[i].name);
  c->last_outcomes = talloc_zero_array (
      c, uint8_t, (size_t)f->route_count * f->vm_count + 1);
  keep_health (c, old_vms,
               old_vms ? (uint32_t)talloc_array_length (old_vms) : 0);
  keep_retry_budgets (
      c, old_pools, old_pools ? (uint32_t)talloc_array_length (old_pools) : 0);
  talloc_free (old_vms);
  talloc_free (old_pools);
  core_limit_adopt (c);
  g_hash_table_iter_init (&it, c->attempts);
  while (g_hash_table_iter_next (&it, NULL, &value))
    count_running (c, value);
  requeue_waiting (c, &waiting);
}
