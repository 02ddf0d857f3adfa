/* limit.c -- how much of each limit this entry may use, and the settlement of
   its links with gone members.  */

#include "core/limit.h"

#include "core/state.h"

#include <string.h>

/** Minimum time between two requests to peers for tokens of one group.  */
#define ASK_PERIOD_US (10 * US_PER_MS)
/** Wait after the gone member's last task lease has lapsed before a settlement
    is sent.  */
#define SETTLE_MARGIN_US (100 * US_PER_MS)
/** Time after which a settlement not yet in the log is appended again.  */
#define SETTLE_RETRY_US (2 * US_PER_S)

struct limit_state *
limit_state_new (TALLOC_CTX *mem)
{
  struct limit_state *s = talloc_zero (mem, struct limit_state);

  if (s == NULL)
    out_of_memory ();
  s->ledger = ledger_new (s);
  return s;
}

/* LIMIT_STATIC_SPLIT: every member has an equal part, and the first members in
   join order share the remainder.  */
static uint32_t
static_part (const struct core *c, uint32_t total)
{
  uint32_t n = c->control->member_count;
  uint32_t i;

  for (i = 0; i < n; i++)
    if (c->control->members[i].incarnation == c->incarnation)
      return total / n + (i < total % n ? 1 : 0);
  return 0;
}

int64_t
core_holding (const struct core *c, int32_t limit)
{
  const struct limit_state *s = c->limits;

  if (limit < 0 || s->issued == NULL
      || (uint32_t)limit >= s->ledger->limit_count)
    return 0;
  return s->issued[limit] + s->ledger->net[limit];
}

static uint32_t
usable (int64_t holding, uint32_t reserved)
{
  return holding > reserved ? (uint32_t)(holding - reserved) : 0;
}

uint32_t
core_team_limit (const struct core *c, uint32_t index)
{
  if (c->settings.limit_policy == LIMIT_STATIC_SPLIT)
    return static_part (c, c->control->config->teams[index].ceiling_count);
  return usable (core_holding (c, c->teams[index].limit_index),
                 c->limits->reserved_count[index]);
}

uint32_t
core_vm_limit (const struct core *c, uint32_t index)
{
  if (c->settings.limit_policy == LIMIT_STATIC_SPLIT)
    return static_part (c, c->control->config->vms[index].slot_count);
  return usable (core_holding (c, c->vms[index].limit_index), 0);
}

uint32_t
core_pool_limit (const struct core *c, uint32_t index)
{
  const struct limit_state *s = c->limits;
  uint32_t reserved = s->reserved_count[s->team_count + index];

  if (c->settings.limit_policy == LIMIT_STATIC_SPLIT || reserved == 0)
    return UINT32_MAX;
  return usable (core_own_holding (c, s->team_count + index).held_count,
                 reserved);
}

static void
find_limits (struct core *c)
{
  const struct issuance *s = c->control->issuance;
  const struct config *f = c->control->config;
  uint32_t i;

  for (i = 0; i < f->team_count; i++)
    c->teams[i].limit_index
        = issuance_find_limit (s, LIMIT_TEAM, f->teams[i].name);
  for (i = 0; i < f->vm_count; i++)
    c->vms[i].limit_index = issuance_find_limit (s, LIMIT_VM, f->vms[i].name);
}

/* Copies the names, because the tables that they come from are replaced
   later.  */
static void
copy_names (struct limit_state *s, const struct config *f)
{
  uint32_t i;

  talloc_free (s->team_names);
  talloc_free (s->pool_names);
  s->team_names = talloc_zero_size (s, (size_t)s->column_count * NAME_BYTES);
  s->pool_names
      = talloc_zero_size (s, (size_t)(s->pool_count + 1) * NAME_BYTES);
  for (i = 0; i < f->team_count; i++)
    text_copy (s->team_names[i], NAME_BYTES, f->teams[i].name);
  text_copy (s->team_names[f->team_count], NAME_BYTES, DEMAND_NO_TEAM);
  for (i = 0; i < f->pool_count; i++)
    text_copy (s->pool_names[i], NAME_BYTES, f->pools[i].name);
}

static void
drop_views (struct limit_state *s)
{
  uint32_t i;

  for (i = 0; i < s->view_count; i++)
    talloc_free (s->views[i]);
  s->view_count = 0;
}

/* Keeps the counts if the tables keep their size.  Demand reported earlier may
   reach a peer after it adopted the new tables, so the end of that demand
   still has to be reported.  */
static void
keep_zero_repeats (struct limit_state *s, uint32_t demand_count)
{
  if (talloc_array_length (s->zero_repeat_count) == demand_count + 1)
    return;
  talloc_free (s->zero_repeat_count);
  s->zero_repeat_count = talloc_zero_array (s, uint8_t, demand_count + 1);
}

void
core_limit_adopt (struct core *c)
{
  struct limit_state *s = c->limits;
  const struct config *f = c->control->config;
  uint32_t demand_count;

  find_limits (c);
  s->team_count = f->team_count;
  s->pool_count = f->pool_count;
  s->group_count = f->team_count + f->pool_count;
  s->column_count = f->team_count + 1;
  demand_count = s->pool_count * s->column_count;
  copy_names (s, f);
  drop_views (s);
  talloc_free (s->sent_demand_count);
  talloc_free (s->sent_holdings);
  talloc_free (s->reserved_count);
  talloc_free (s->shortage_count);
  talloc_free (s->asked_at_us);
  TALLOC_FREE (s->target);
  TALLOC_FREE (s->planned_transfers);
  s->planned_transfer_count = 0;
  s->sent_demand_count = talloc_zero_array (s, uint32_t, demand_count + 1);
  keep_zero_repeats (s, demand_count);
  s->sent_holdings
      = talloc_zero_array (s, struct peer_holding, s->group_count + 1);
  s->reserved_count = talloc_zero_array (s, uint32_t, s->group_count + 1);
  s->shortage_count = talloc_zero_array (s, uint32_t, s->group_count + 1);
  s->asked_at_us = talloc_zero_array (s, uint64_t, s->group_count + 1);
  s->refresh_part = 0;
}

static struct pending_settlement *
find_pending_settlement (struct limit_state *s, uint64_t incarnation)
{
  uint32_t i;

  for (i = 0; i < s->pending_settlement_count; i++)
    if (s->pending_settlements[i].incarnation == incarnation)
      return &s->pending_settlements[i];
  return NULL;
}

/* Returns how long G, by the log's clock, may go on starting requests after
   the record of its end.  A member that was declared gone may be cut off
   instead: it starts requests until its last reading of the log, which is
   older than that record, has become too old.  One that was replaced on its VM
   or left with nothing running has ended.  */
static uint64_t
start_limit_ms (const struct core *c, const struct issuance_member *g)
{
  bool replaced
      = issuance_find_member (c->control->issuance, g->gone_offset + 1)
        != NULL;
  bool left_idle = g->leases_expire_at_ms == c->control->last_append_at_ms;

  return replaced || left_idle ? 0 : c->settings.log_age_limit_ms;
}

/* Closes the link with a gone member and schedules the settlement.  */
static void
add_pending_settlement (struct core *c, const struct issuance_member *g)
{
  struct limit_state *s = c->limits;
  struct ledger_link *k = ledger_link_find (s->ledger, g->incarnation);
  uint64_t end_ms = g->leases_expire_at_ms + start_limit_ms (c, g);

  if (k != NULL)
    k->closed = true;
  if (find_pending_settlement (s, g->incarnation) != NULL)
    return;
  s->pending_settlements
      = talloc_realloc (s, s->pending_settlements, struct pending_settlement,
                        s->pending_settlement_count + 1);
  if (s->pending_settlements == NULL)
    out_of_memory ();
  s->pending_settlements[s->pending_settlement_count].incarnation
      = g->incarnation;
  s->pending_settlements[s->pending_settlement_count].send_at_us
      = c->now_us + SETTLE_MARGIN_US;
  if (end_ms > c->control->last_append_at_ms)
    s->pending_settlements[s->pending_settlement_count].send_at_us
        += (end_ms - c->control->last_append_at_ms) * US_PER_MS;
  s->pending_settlement_count++;
}

/* Removes the links whose net amount has become part of what is issued.  */
static void
remove_settled_links (struct core *c)
{
  struct ledger *l = c->limits->ledger;
  uint32_t i;

  for (i = l->link_count; i-- > 0;)
    {
      const struct issuance_member *g
          = issuance_find_member (c->control->issuance, l->links[i]->peer);

      if (g == NULL || (g->gone && issuance_has_settled (g, c->incarnation)))
        ledger_remove_link (l, l->links[i]);
    }
}

static void
drop_finished_settlements (struct core *c)
{
  struct limit_state *s = c->limits;
  uint32_t i;

  for (i = s->pending_settlement_count; i-- > 0;)
    if (issuance_find_member (c->control->issuance,
                              s->pending_settlements[i].incarnation)
        == NULL)
      s->pending_settlements[i]
          = s->pending_settlements[--s->pending_settlement_count];
}

void
core_limit_sync (struct core *c)
{
  struct limit_state *s = c->limits;
  const struct issuance *t = c->control->issuance;
  const struct issuance_member *own = issuance_find_member (t, c->incarnation);
  uint32_t i;

  /* A new incarnation has no link with any member yet.  */
  if (s->incarnation != c->incarnation)
    {
      talloc_free (s->ledger);
      s->ledger = ledger_new (s);
      s->incarnation = c->incarnation;
    }
  ledger_grow (s->ledger, t->table.limit_count);
  s->issued = own != NULL && !own->gone ? own->tokens : NULL;
  for (i = 0; i < t->table.member_count; i++)
    if (t->table.members[i].gone)
      add_pending_settlement (c, &t->table.members[i]);
  remove_settled_links (c);
  drop_finished_settlements (c);
  core_sync_peer_views (c);
  core_mark_all_pools (c);
}

static void
fill_settlement (struct core *c, struct record *r, const struct ledger_link *k)
{
  const struct issuance *t = c->control->issuance;
  uint32_t i;

  if (k == NULL)
    return;
  r->u.settle.items
      = talloc_zero_array (r, struct settle_item, t->table.limit_count);
  for (i = 0; i < t->table.limit_count; i++)
    if (k->net[i] != 0)
      {
        struct settle_item *x = &r->u.settle.items[r->u.settle.item_count++];

        x->limit = t->table.limits[i].ref;
        x->token_count = k->net[i];
      }
}

static void
send_settlement (struct core *c, uint64_t gone)
{
  struct action *a = actions_add (c->out, ACTION_APPEND);
  struct record *r = talloc_zero (NULL, struct record);

  r->kind = RECORD_SETTLE;
  core_make_command_id (c, r->id);
  r->u.settle.incarnation = c->incarnation;
  r->u.settle.gone_incarnation = gone;
  fill_settlement (c, r, ledger_link_find (c->limits->ledger, gone));
  a->u.append = r;
}

/* Returns true if this member is to settle with G: it may share a link with G
   and has not settled, or no member still has to settle and this one, which
   has not either, is the first live one.  In the second case the settlement
   has no amounts; it is sent because what is left of gone members is issued
   again only when a settlement or a join is applied.  */
static bool
must_settle (const struct core *c, const struct issuance_member *g)
{
  const struct issuance *t = c->control->issuance;
  uint32_t i;

  if (issuance_must_settle (t, g, c->incarnation))
    return true;
  if (issuance_has_settled (g, c->incarnation))
    return false;
  for (i = 0; i < t->table.member_count; i++)
    if (issuance_must_settle (t, g, t->table.members[i].incarnation))
      return false;
  for (i = 0; i < t->table.member_count; i++)
    if (!t->table.members[i].gone)
      return t->table.members[i].incarnation == c->incarnation;
  return false;
}

static void
send_due_settlements (struct core *c)
{
  struct limit_state *s = c->limits;
  uint32_t i;

  if (s->issued == NULL || !c->log_readable)
    return;
  for (i = 0; i < s->pending_settlement_count; i++)
    {
      const struct issuance_member *g = issuance_find_member (
          c->control->issuance, s->pending_settlements[i].incarnation);

      if (g == NULL || c->now_us < s->pending_settlements[i].send_at_us
          || !must_settle (c, g))
        continue;
      s->pending_settlements[i].send_at_us = c->now_us + SETTLE_RETRY_US;
      send_settlement (c, g->incarnation);
    }
}

/* Records the team tokens that this member lacks because it runs more requests
   than it holds tokens for, or is in debt.  */
static void
register_debts (struct core *c)
{
  const struct limit_state *s = c->limits;
  uint32_t i;

  for (i = 0; i < s->team_count; i++)
    {
      int64_t held = core_holding (c, c->teams[i].limit_index);
      int64_t missing = c->teams[i].running_count - held;

      if (missing > 0)
        core_register_shortage (c, i, (uint32_t)missing);
    }
}

void
core_limit_tick (struct core *c)
{
  struct limit_state *s = c->limits;

  if (c->control->config == NULL || s->issued == NULL
      || c->settings.limit_policy == LIMIT_STATIC_SPLIT)
    return;
  send_due_settlements (c);
  core_service_ledger_links (c);
  /* While requests wait, the tokens are still needed to run them.  */
  if (c->stopping && c->waiting_count == 0)
    {
      core_give_all_idle (c);
      return;
    }
  if (c->now_us >= s->next_exchange_at_us)
    core_exchange_demand (c);
  core_run_planned_transfers (c);
  register_debts (c);
  core_mark_all_pools (c);
  core_dispatch_all (c);
}

void
core_register_shortage (struct core *c, uint32_t group, uint32_t count)
{
  struct limit_state *s = c->limits;

  if (s->shortage_count[group] < count)
    s->shortage_count[group] = count;
  s->has_shortage = true;
}

void
core_ask_for_shortages (struct core *c)
{
  struct limit_state *s = c->limits;
  uint32_t i;

  if (!s->has_shortage || c->settings.limit_policy == LIMIT_STATIC_SPLIT)
    return;
  s->has_shortage = false;
  for (i = 0; i < s->group_count; i++)
    {
      if (s->shortage_count[i] > 0
          && c->now_us >= s->asked_at_us[i] + ASK_PERIOD_US)
        {
          s->asked_at_us[i] = c->now_us;
          core_ask_peer (c, i, s->shortage_count[i]);
        }
      s->shortage_count[i] = 0;
    }
}
