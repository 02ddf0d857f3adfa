/* demand_exchange.c -- reports demand and holdings to the peers, stores
   theirs in views, and computes the target from both.

   Each EXCHANGE_PERIOD_US a member sends only what changed enough to matter.
   Since a message may be lost, it also sends one of REFRESH_PART_COUNT parts
   of the rest each time, so everything is sent again within that many periods,
   but a demand of 0 only ZERO_REPEAT_COUNT times.  */

#include "core/limit.h"

#include "core/state.h"

#include <string.h>

#define EXCHANGE_PERIOD_US (100 * US_PER_MS)
#define REFRESH_PART_COUNT 64
/** How many times a demand of 0 is sent again after it became 0, in case a
    message is lost.  */
#define ZERO_REPEAT_COUNT 3
/** A peer silent for longer than this is left out of the target.  */
#define VIEW_LIMIT_US (1 * US_PER_S)
/** Longest time without a message to the peers.  */
#define KEEPALIVE_US (300 * US_PER_MS)

struct peer_view *
core_find_peer_view (const struct core *c, uint64_t incarnation)
{
  const struct limit_state *s = c->limits;
  uint32_t i;

  for (i = 0; i < s->view_count; i++)
    if (s->views[i]->incarnation == incarnation)
      return s->views[i];
  return NULL;
}

bool
core_view_is_fresh (const struct core *c, const struct peer_view *v)
{
  return v->heard_at_us != 0 && c->now_us - v->heard_at_us <= VIEW_LIMIT_US;
}

static void
add_view (struct limit_state *s, uint64_t incarnation)
{
  struct peer_view *v = talloc_zero (s, struct peer_view);

  v->incarnation = incarnation;
  v->demand_count
      = talloc_zero_array (v, uint32_t, s->pool_count * s->column_count + 1);
  v->holdings = talloc_zero_array (v, struct peer_holding, s->group_count + 1);
  s->views
      = talloc_realloc (s, s->views, struct peer_view *, s->view_count + 1);
  if (s->views == NULL)
    out_of_memory ();
  s->views[s->view_count++] = v;
}

static bool
is_live (const struct core *c, uint64_t incarnation)
{
  const struct issuance_member *m
      = issuance_find_member (c->control->issuance, incarnation);

  return m != NULL && !m->gone;
}

/* Forgets what was sent, so that everything is sent again.  */
static void
forget_sent (struct limit_state *s)
{
  uint32_t n = s->pool_count * s->column_count;

  if (s->sent_demand_count != NULL)
    memset (s->sent_demand_count, 0, n * sizeof *s->sent_demand_count);
  if (s->sent_holdings != NULL)
    memset (s->sent_holdings, 0, s->group_count * sizeof *s->sent_holdings);
  s->next_exchange_at_us = 0;
}

void
core_sync_peer_views (struct core *c)
{
  struct limit_state *s = c->limits;
  const struct issuance *t = c->control->issuance;
  uint32_t i;

  for (i = s->view_count; i-- > 0;)
    if (!is_live (c, s->views[i]->incarnation))
      {
        talloc_free (s->views[i]);
        s->views[i] = s->views[--s->view_count];
      }
  for (i = 0; i < t->table.member_count; i++)
    {
      uint64_t n = t->table.members[i].incarnation;

      if (t->table.members[i].gone || n == c->incarnation
          || core_find_peer_view (c, n) != NULL)
        continue;
      add_view (s, n);
      forget_sent (s);
    }
}

static int32_t
find_name (char (*names)[NAME_BYTES], uint32_t count, const char *name)
{
  uint32_t i;

  for (i = 0; i < count; i++)
    if (strcmp (names[i], name) == 0)
      return (int32_t)i;
  return -1;
}

/* Stores the holding D of one group, a team or a pool.  Its running_count is
   the number of tokens held, its waiting_count the number of idle ones.  */
static void
store_holding (const struct limit_state *s, struct peer_view *v,
               const struct peer_demand *d)
{
  int32_t g = d->pool[0] == '\0'
                  ? find_name (s->team_names, s->team_count, d->team)
                  : find_name (s->pool_names, s->pool_count, d->pool);

  if (g < 0)
    return;
  if (d->pool[0] != '\0')
    g += (int32_t)s->team_count;
  v->holdings[g].held_count = (int32_t)d->running_count;
  v->holdings[g].idle_count = d->waiting_count;
}

void
core_on_demand (struct core *c, const struct peer_message *m)
{
  const struct limit_state *s = c->limits;
  const struct peer_demand *d = &m->u.demand;
  struct peer_view *v = core_find_peer_view (c, m->from_incarnation);
  int32_t pool;
  int32_t team;

  if (v == NULL)
    return;
  if (d->pool[0] == '\0' || d->team[0] == '\0')
    {
      store_holding (s, v, d);
      return;
    }
  pool = find_name (s->pool_names, s->pool_count, d->pool);
  team = find_name (s->team_names, s->column_count, d->team);
  if (pool >= 0 && team >= 0)
    v->demand_count[(uint32_t)pool * s->column_count + (uint32_t)team]
        = d->waiting_count + d->running_count;
}

struct peer_holding
core_own_holding (const struct core *c, uint32_t group)
{
  const struct limit_state *s = c->limits;
  struct peer_holding h = { 0, 0 };
  const struct pool_state *p;
  uint32_t i;

  if (group < s->team_count)
    {
      int64_t held = core_holding (c, c->teams[group].limit_index);

      h.held_count = (int32_t)held;
      if (held > c->teams[group].running_count)
        h.idle_count = (uint32_t)held - c->teams[group].running_count;
      return h;
    }
  p = &c->pools[group - s->team_count];
  for (i = 0; i < p->vm_count; i++)
    {
      const struct vm_state *v = &c->vms[p->vms[i]];
      int64_t held = core_holding (c, v->limit_index);

      if (!core_vm_takes_work (c, p->vms[i])
          || !core_vm_is_healthy (c, p->vms[i]))
        continue;
      h.held_count += (int32_t)held;
      if (held > v->running_count)
        h.idle_count += (uint32_t)held - v->running_count;
    }
  return h;
}

static uint32_t
pool_capacity (const struct core *c, uint32_t pool)
{
  const struct pool_state *p = &c->pools[pool];
  uint32_t sum = 0;
  uint32_t i;

  for (i = 0; i < p->vm_count; i++)
    if (core_vm_takes_work (c, p->vms[i]) && core_vm_is_healthy (c, p->vms[i]))
      sum += c->control->config->vms[p->vms[i]].slot_count;
  return sum;
}

/* Returns this entry's demand for COLUMN in the pool, capped by the pool's
   slots and the team's ceiling.  More would not change the target, and without
   the cap every change of a long queue would be sent.  */
static uint32_t
own_demand (const struct core *c, uint32_t pool, uint32_t column,
            uint32_t capacity)
{
  const struct pool_state *p = &c->pools[pool];
  uint32_t n
      = p->queue.teams[column].waiting_count + p->team_running_count[column];

  if (n > capacity)
    n = capacity;
  if (column < c->limits->team_count
      && n > c->control->config->teams[column].ceiling_count)
    n = c->control->config->teams[column].ceiling_count;
  return n;
}

/* Sends a PEER_DEMAND to every peer.  */
static void
broadcast (struct core *c, const char *pool, const char *team,
           uint32_t waiting, uint32_t running)
{
  struct limit_state *s = c->limits;
  uint32_t i;

  for (i = 0; i < s->view_count; i++)
    {
      struct peer_message *m
          = core_new_peer_message (c, s->views[i]->incarnation, PEER_DEMAND);

      text_copy (m->u.demand.pool, NAME_BYTES, pool);
      text_copy (m->u.demand.team, NAME_BYTES, team);
      m->u.demand.waiting_count = waiting;
      m->u.demand.running_count = running;
    }
  s->last_sent_at_us = c->now_us;
}

/* Returns true if demand changed to or from 0, or by more than 1/16.  */
static bool
differs_enough (uint32_t sent, uint32_t now)
{
  uint32_t change = sent > now ? sent - now : now - sent;

  if (change == 0)
    return false;
  return sent == 0 || now == 0 || change * 16 > sent;
}

/* Returns true if value I is due to be sent though it did not change.  */
static bool
is_refresh_due (const struct limit_state *s, uint32_t i)
{
  return i % REFRESH_PART_COUNT == s->refresh_part;
}

/* Sends the demand of COLUMN in the pool if it changed enough or its refresh
   is due.  */
static void
send_demand (struct core *c, uint32_t pool, uint32_t column, uint32_t capacity)
{
  struct limit_state *s = c->limits;
  uint32_t i = pool * s->column_count + column;
  uint32_t n = own_demand (c, pool, column, capacity);
  uint32_t sent = s->sent_demand_count[i];

  if (!differs_enough (sent, n)
      && !(is_refresh_due (s, i) && (n > 0 || s->zero_repeat_count[i] > 0)))
    return;
  if (n > 0)
    s->zero_repeat_count[i] = ZERO_REPEAT_COUNT;
  else if (sent == 0)
    s->zero_repeat_count[i]--;
  s->sent_demand_count[i] = n;
  broadcast (c, s->pool_names[pool], s->team_names[column], n, 0);
}

/* Returns the number of base-4 digits of N.  */
static uint32_t
magnitude (uint32_t n)
{
  uint32_t digits = 0;

  for (; n > 0; n >>= 2)
    digits++;
  return digits;
}

/* Sends the holding of GROUP if it changed or its refresh is due.  An idle
   count of the same magnitude counts as unchanged.  */
static void
send_holding (struct core *c, uint32_t group)
{
  struct limit_state *s = c->limits;
  struct peer_holding h = core_own_holding (c, group);
  struct peer_holding *sent = &s->sent_holdings[group];
  bool same = h.held_count == sent->held_count
              && magnitude (h.idle_count) == magnitude (sent->idle_count);

  if (same && !is_refresh_due (s, group))
    return;
  *sent = h;
  if (group < s->team_count)
    broadcast (c, "", s->team_names[group], h.idle_count,
               (uint32_t)h.held_count);
  else
    broadcast (c, s->pool_names[group - s->team_count], "", h.idle_count,
               (uint32_t)h.held_count);
}

/* Writes this member's demand to DEMAND, then that of each view.  The rows of
   stale views stay 0.  */
static void
copy_demand (struct core *c, uint32_t *demand, const uint32_t *capacity)
{
  const struct limit_state *s = c->limits;
  uint32_t n = s->pool_count * s->column_count;
  uint32_t i;
  uint32_t k;

  for (i = 0; i < s->pool_count; i++)
    for (k = 0; k < s->column_count; k++)
      demand[i * s->column_count + k] = own_demand (c, i, k, capacity[i]);
  for (i = 0; i < s->view_count; i++)
    if (core_view_is_fresh (c, s->views[i]))
      memcpy (demand + (i + 1) * n, s->views[i]->demand_count,
              n * sizeof *demand);
}

/* Computes the target.  Its row 0 is this member, row I + 1 is view I.  */
static void
compute_target (struct core *c)
{
  struct limit_state *s = c->limits;
  const struct config *f = c->control->config;
  uint32_t member_count = s->view_count + 1;
  TALLOC_CTX *mem = talloc_new (s);
  uint32_t *weight = talloc_array (mem, uint32_t, s->column_count);
  uint32_t *ceiling = talloc_array (mem, uint32_t, s->column_count);
  uint32_t *capacity = talloc_array (mem, uint32_t, s->pool_count + 1);
  uint32_t *demand = talloc_zero_array (
      mem, uint32_t, member_count * s->pool_count * s->column_count + 1);
  struct share_problem p
      = { s->pool_count, s->column_count, member_count, capacity,
          ceiling,       weight,          demand };
  uint32_t i;

  for (i = 0; i < s->team_count; i++)
    {
      weight[i] = f->teams[i].share_weight > 0 ? f->teams[i].share_weight : 1;
      ceiling[i] = f->teams[i].ceiling_count;
    }
  weight[s->team_count] = 1;
  ceiling[s->team_count] = UINT32_MAX;
  for (i = 0; i < s->pool_count; i++)
    capacity[i] = pool_capacity (c, i);
  copy_demand (c, demand, capacity);
  talloc_free (s->target);
  s->target = share_compute (s, &p);
  talloc_free (mem);
}

void
core_exchange_demand (struct core *c)
{
  struct limit_state *s = c->limits;
  uint32_t i;
  uint32_t k;

  s->next_exchange_at_us = c->now_us + EXCHANGE_PERIOD_US;
  for (i = 0; i < s->pool_count; i++)
    {
      uint32_t capacity = pool_capacity (c, i);

      for (k = 0; k < s->column_count; k++)
        send_demand (c, i, k, capacity);
    }
  for (i = 0; i < s->group_count; i++)
    send_holding (c, i);
  s->refresh_part = (s->refresh_part + 1) % REFRESH_PART_COUNT;
  if (s->team_count > 0 && c->now_us - s->last_sent_at_us >= KEEPALIVE_US)
    broadcast (c, "", s->team_names[0], s->sent_holdings[0].idle_count,
               (uint32_t)s->sent_holdings[0].held_count);
  if (c->settings.limit_policy == LIMIT_FIRST_COME)
    return;
  compute_target (c);
  core_plan_transfers (c);
}
