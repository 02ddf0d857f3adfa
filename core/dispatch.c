/* dispatch.c -- which waiting request starts next, and on which worker.

   Teams share a pool by stride scheduling: each start adds the expected run
   time, divided by the team's weight, to the team's pass, and the waiting team
   with the lowest pass goes first.  So over a few requests each team gets its
   share, even if that is not a whole number of slots.  A pool is examined only
   after a change that may let one of its requests start.  */

#include "core/state.h"

#include <string.h>

/** Fixed-point representation of a weight of 1.  */
#define WEIGHT_SCALE 256
/** What 1 us of run time adds to a pass at a weight of 1 / WEIGHT_SCALE.  */
#define PASS_SCALE 65536
/** A peer is asked for at most 1 token plus 1 / ASK_PART of those in use.  */
#define ASK_PART 4
/** Run time assumed for a route without a measured one.  */
#define DEFAULT_RUN_US (50 * US_PER_MS)

void
core_bind_request (struct core *c, struct request *r)
{
  const struct config *f = c->control->config;
  const struct route_config *route = control_find_route (c->control, r->queue);
  int32_t team = control_team_index (c->control, r->team);

  r->team_index = team < 0 ? f->team_count : (uint32_t)team;
  r->route_index = route == NULL ? -1 : (int32_t)(route - f->routes);
  r->urgent = route != NULL && route->urgent;
}

void
core_mark_all_pools (struct core *c)
{
  uint32_t i;

  if (c->control->config == NULL || c->pools == NULL)
    return;
  for (i = 0; i < c->control->config->pool_count; i++)
    c->pools[i].needs_dispatch = true;
}

/* Raises the pass of a team that was idle or at its limit to the pool's
   current pass.  Otherwise the team would get ahead of the others later for
   the time in which it started nothing.  */
static void
catch_up (struct pool_state *p, uint32_t team)
{
  if (p->team_pass[team] < p->current_pass)
    p->team_pass[team] = p->current_pass;
}

void
core_enqueue (struct core *c, struct pool_state *p, struct request *r)
{
  r->state = REQUEST_WAITING;
  if (r->arrival_sequence == 0)
    r->arrival_sequence = ++c->last_arrival_sequence;
  core_bind_request (c, r);
  if (p->queue.teams[r->team_index].waiting_count == 0
      && p->team_running_count[r->team_index] == 0)
    catch_up (p, r->team_index);
  pool_queue_add (&p->queue, r);
  p->needs_dispatch = true;
  c->waiting_count++;
}

void
core_dequeue (struct core *c, struct pool_state *p, struct request *r)
{
  pool_queue_remove (&p->queue, r);
  c->waiting_count--;
}

/* Returns the VM of the pool that can run R, has a free slot among those that
   this entry may use, and runs the fewest of this entry's requests, or -1.  */
static int32_t
pick_vm (const struct core *c, const struct request *r,
         const struct pool_state *p)
{
  const struct config *f = c->control->config;
  int32_t best = -1;
  uint32_t i;

  for (i = 0; i < p->vm_count; i++)
    {
      uint32_t vm = p->vms[i];
      uint32_t running = c->vms[vm].running_count;

      if (running >= core_vm_limit (c, vm)
          || (best >= 0 && running >= c->vms[best].running_count))
        continue;
      if (core_vm_takes_work (c, vm) && core_vm_is_healthy (c, vm)
          && !core_request_avoids (c, r, vm)
          && core_vm_fits (&f->vms[vm], &f->routes[r->route_index]))
        best = (int32_t)vm;
    }
  return best;
}

static bool
team_may_start (const struct core *c, uint32_t team)
{
  if (team == c->control->config->team_count)
    return true;
  return c->teams[team].running_count < core_team_limit (c, team);
}

/* Returns the weight of TEAM in the pool, times WEIGHT_SCALE: this entry's
   part of the target for the pool and team or, if that is less than 1 /
   WEIGHT_SCALE, the team's configured share, or 1 if it has none.  */
static uint64_t
weight_of (const struct core *c, uint32_t pool, uint32_t team)
{
  const struct config *f = c->control->config;
  const struct share_target *t = c->limits->target;
  double part
      = t != NULL ? t->own_allocation[pool * (f->team_count + 1) + team] : 0;

  if (part * WEIGHT_SCALE >= 1)
    return (uint64_t)(part * WEIGHT_SCALE);
  if (team == f->team_count || f->teams[team].share_weight == 0)
    return WEIGHT_SCALE;
  return WEIGHT_SCALE * (uint64_t)f->teams[team].share_weight;
}

/* Adds the expected run time of R, divided by its team's weight, to the team's
   pass, and raises the pool's current pass to the team's pass before that.  */
static void
charge (struct core *c, uint32_t pool, const struct request *r)
{
  struct pool_state *p = &c->pools[pool];
  uint64_t run_us = c->routes[r->route_index].mean_run_us;

  if (run_us == 0)
    run_us = DEFAULT_RUN_US;
  if (p->current_pass < p->team_pass[r->team_index])
    p->current_pass = p->team_pass[r->team_index];
  p->team_pass[r->team_index]
      += run_us * PASS_SCALE / weight_of (c, pool, r->team_index);
}

/* Returns true if TEAM goes before BEST in the pool.  */
static bool
goes_before (const struct core *c, const struct pool_state *p, uint32_t team,
             uint32_t best)
{
  if (c->settings.limit_policy == LIMIT_FIRST_COME)
    return pool_queue_head (&p->queue, team)->arrival_sequence
           < pool_queue_head (&p->queue, best)->arrival_sequence;
  return p->team_pass[team] < p->team_pass[best];
}

/* Returns how many tokens to ask for: as many as requests of TEAM wait, but at
   most 1 + RUNNING / ASK_PART, so that the peer keeps tokens that it will need
   itself.  */
static uint32_t
tokens_to_ask (const struct pool_state *p, uint32_t team, uint32_t running)
{
  uint32_t most = 1 + running / ASK_PART;
  uint32_t waiting = p->queue.teams[team].waiting_count;

  return waiting < most ? waiting : most;
}

/* Returns the request that starts next, or NULL.  Skips the teams in BLOCKED
   and those at their limit.  */
static struct request *
pick_request (struct core *c, struct pool_state *p, const bool *blocked)
{
  int32_t best = -1;
  uint32_t t;

  for (t = 0; t < p->queue.team_count; t++)
    {
      if (p->queue.teams[t].waiting_count == 0 || blocked[t])
        continue;
      if (!team_may_start (c, t))
        {
          core_register_shortage (
              c, t, tokens_to_ask (p, t, c->teams[t].running_count));
          catch_up (p, t);
          continue;
        }
      if (best < 0 || goes_before (c, p, t, (uint32_t)best))
        best = (int32_t)t;
    }
  return best < 0 ? NULL : pool_queue_head (&p->queue, (uint32_t)best);
}

void
core_acquire_slot (struct core *c, struct request *r, uint32_t vm_index)
{
  struct pool_state *p
      = &c->pools[c->control->config->vms[vm_index].pool_index];
  struct team_state *t;

  r->vm_index = (int32_t)vm_index;
  text_copy (r->vm, NAME_BYTES, c->vms[vm_index].name);
  c->vms[vm_index].running_count++;
  p->running_count++;
  p->team_running_count[r->team_index]++;
  c->running_count++;
  if (r->team_index == c->control->config->team_count)
    return;
  t = &c->teams[r->team_index];
  t->running_count++;
  if (t->running_count > t->high_water_count)
    t->high_water_count = t->running_count;
}

/* Marks every pool in which TEAM has waiting requests, since the team may be
   below its limit again.  */
static void
mark_team (struct core *c, uint32_t team)
{
  uint32_t i;

  for (i = 0; i < c->control->config->pool_count; i++)
    if (c->pools[i].queue.waiting_count > 0
        && c->pools[i].queue.teams[team].waiting_count > 0)
      c->pools[i].needs_dispatch = true;
}

void
core_release_slot (struct core *c, struct request *r)
{
  c->running_count--;
  if (r->team_index < c->control->config->team_count)
    {
      c->teams[r->team_index].running_count--;
      mark_team (c, r->team_index);
    }
  if (r->vm_index >= 0)
    {
      struct pool_state *p
          = &c->pools[c->control->config->vms[r->vm_index].pool_index];

      c->vms[r->vm_index].running_count--;
      p->running_count--;
      p->team_running_count[r->team_index]--;
      p->needs_dispatch = true;
    }
  r->vm_index = -1;
}

void
core_dispatch_pool (struct core *c, uint32_t pool_index)
{
  struct pool_state *p = &c->pools[pool_index];
  bool blocked[p->queue.team_count + 1];
  struct request *r;

  p->needs_dispatch = false;
  /* An entry that is not fresh, such as after a pause, may know outdated
     limits.  */
  if (!core_is_fresh (c))
    return;
  memset (blocked, 0, sizeof blocked);
  while (p->queue.waiting_count > 0
         && (r = pick_request (c, p, blocked)) != NULL)
    {
      int32_t vm = -1;

      if (r->deadline_us <= c->now_us)
        {
          core_expire_request (c, r);
          continue;
        }
      if (p->running_count < core_pool_limit (c, pool_index))
        vm = pick_vm (c, r, p);
      if (vm < 0)
        {
          core_register_shortage (
              c, c->control->config->team_count + pool_index,
              tokens_to_ask (p, r->team_index, p->running_count));
          blocked[r->team_index] = true;
          continue;
        }
      pool_queue_count_start (&p->queue, r);
      charge (c, pool_index, r);
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
    if (c->pools[i].needs_dispatch && c->pools[i].queue.waiting_count > 0)
      core_dispatch_pool (c, i);
}
