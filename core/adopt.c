/* adopt.c -- carries running work over to a new configuration.

   The arrays of pools, VMs and teams run parallel to the tables in force.
   What runs or waits is matched by name; a queue whose route is gone answers
   what waits in it.  */

#include "core/state.h"

#include <string.h>

static void
count_running (struct core *c, struct request *r)
{
  const struct config *f = c->control->config;
  int32_t team = control_team_index (c->control, r->team);
  uint32_t i;

  r->vm_index = -1;
  if (team >= 0)
    c->teams[team].running_count++;
  for (i = 0; i < f->vm_count; i++)
    if (strcmp (f->vms[i].name, r->vm) == 0)
      {
        c->vms[i].running_count++;
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

/* Takes every waiting request out of the old queues, in their order.  */
static void
collect_waiting (struct core *c, struct request_list *all)
{
  uint32_t i;
  uint32_t n = c->pools ? (uint32_t)talloc_array_length (c->pools) : 0;

  TAILQ_INIT (all);
  for (i = 0; i < n; i++)
    TAILQ_CONCAT (all, &c->pools[i].waiting, link);
  c->waiting_count = 0;
}

static void
place_waiting (struct core *c, struct request_list *all)
{
  struct request *r;

  while ((r = TAILQ_FIRST (all)) != NULL)
    {
      const struct route_config *route
          = control_find_route (c->control, r->queue);

      TAILQ_REMOVE (all, r, link);
      if (route != NULL)
        {
          TAILQ_INSERT_TAIL (&c->pools[route->pool_index].waiting, r, link);
          c->pools[route->pool_index].waiting_count++;
          c->waiting_count++;
          continue;
        }
      core_refuse (c, r, ANSWER_NO_QUEUE);
    }
}

/* Workers keep their health and pools their retry budget.  What queues did on
   workers is learnt anew: its table runs parallel to both.  */
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
keep_budgets (struct core *c, const struct pool_state *old, uint32_t old_count)
{
  uint32_t i;
  uint32_t k;

  for (i = 0; i < c->control->config->pool_count; i++)
    {
      retry_open (&c->pools[i].retry, c->now_us);
      for (k = 0; k < old_count; k++)
        if (strcmp (c->pools[i].name, old[k].name) == 0)
          c->pools[i].retry = old[k].retry;
    }
}

void
core_adopt_config (struct core *c)
{
  const struct config *f = c->control->config;
  struct team_state *old_teams = c->teams;
  struct vm_state *old_vms = c->vms;
  struct pool_state *old_pools = c->pools;
  uint32_t old_team_count
      = old_teams ? (uint32_t)talloc_array_length (old_teams) : 0;
  struct request_list waiting;
  GHashTableIter it;
  gpointer value;
  uint32_t i;

  collect_waiting (c, &waiting);
  talloc_free (c->last_outcomes);
  c->pools = talloc_zero_array (c, struct pool_state, f->pool_count);
  c->vms = talloc_zero_array (c, struct vm_state, f->vm_count);
  c->teams = talloc_zero_array (c, struct team_state, f->team_count);
  for (i = 0; i < f->pool_count; i++)
    {
      text_copy (c->pools[i].name, NAME_BYTES, f->pools[i].name);
      TAILQ_INIT (&c->pools[i].waiting);
    }
  for (i = 0; i < f->vm_count; i++)
    text_copy (c->vms[i].name, NAME_BYTES, f->vms[i].name);
  for (i = 0; i < f->team_count; i++)
    text_copy (c->teams[i].name, NAME_BYTES, f->teams[i].name);
  c->last_outcomes = talloc_zero_array (
      c, uint8_t, (size_t)f->route_count * f->vm_count + 1);
  keep_high_water (c, old_teams, old_team_count);
  keep_health (c, old_vms,
               old_vms ? (uint32_t)talloc_array_length (old_vms) : 0);
  keep_budgets (c, old_pools,
                old_pools ? (uint32_t)talloc_array_length (old_pools) : 0);
  talloc_free (old_teams);
  talloc_free (old_vms);
  talloc_free (old_pools);
  g_hash_table_iter_init (&it, c->attempts);
  while (g_hash_table_iter_next (&it, NULL, &value))
    count_running (c, value);
  place_waiting (c, &waiting);
}
