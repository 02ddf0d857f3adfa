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
      struct action *a;

      TAILQ_REMOVE (all, r, link);
      if (route != NULL)
        {
          TAILQ_INSERT_TAIL (&c->pools[route->pool_index].waiting, r, link);
          c->pools[route->pool_index].waiting_count++;
          c->waiting_count++;
          continue;
        }
      a = actions_add (c->out, ACTION_ANSWER);
      a->u.answer.request_id = r->request_id;
      a->u.answer.code = r->sent ? ANSWER_UNKNOWN : ANSWER_NO_QUEUE;
      g_hash_table_remove (c->requests, &r->request_id);
      blob_unref (r->body);
      talloc_free (r);
    }
}

void
core_adopt_config (struct core *c)
{
  const struct config *f = c->control->config;
  struct team_state *old_teams = c->teams;
  uint32_t old_team_count
      = old_teams ? (uint32_t)talloc_array_length (old_teams) : 0;
  struct request_list waiting;
  GHashTableIter it;
  gpointer value;
  uint32_t i;

  collect_waiting (c, &waiting);
  talloc_free (c->pools);
  talloc_free (c->vms);
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
  keep_high_water (c, old_teams, old_team_count);
  talloc_free (old_teams);
  g_hash_table_iter_init (&it, c->attempts);
  while (g_hash_table_iter_next (&it, NULL, &value))
    count_running (c, value);
  place_waiting (c, &waiting);
}
