/* transfer.c -- gives tokens to peers and asks them for some.

   Only idle tokens are given.  While a group is contended (a pool whose demand
   exceeds its slots, or a team that is allocated its whole ceiling), a member
   plans to transfer what it holds above its target to the members below
   theirs.  The plan reserves these tokens: they are given as soon as they are
   idle, and this entry starts no more requests with them.  Without contention
   tokens move only when a peer asks for them, so steady demand moves none.  */

#include "core/limit.h"

#include "core/state.h"

#include <string.h>

/** A member with a target above 0 plans no transfer while its excess over the
    target is at most 1 token plus 1 / DEAD_BAND_PART of the target, so a
    target that varies a little moves no tokens.  */
#define DEAD_BAND_PART 8
/** If no peer is known to have idle tokens and this member holds some, only 1
    request for tokens in BLIND_ASK_PART is sent, to a random peer.  */
#define BLIND_ASK_PART 16
/** Minimum time between two requests for tokens to the same peer.  */
#define ASK_PEER_PERIOD_US (20 * US_PER_MS)
/** Time after which a transfer not yet acknowledged is sent again.  */
#define RESEND_US (200 * US_PER_MS)
/** Most transfers sent again over a link at a time.  */
#define RESEND_LIMIT_COUNT 64

struct peer_message *
core_new_peer_message (struct core *c, uint64_t peer, enum peer_kind kind)
{
  struct action *a = actions_add (c->out, ACTION_PEER);

  a->u.peer.from_incarnation = c->incarnation;
  a->u.peer.to_incarnation = peer;
  a->u.peer.kind = kind;
  return &a->u.peer;
}

static void
send_transfer (struct core *c, uint64_t peer, uint64_t sequence,
               uint32_t limit, uint32_t count)
{
  struct peer_message *m = core_new_peer_message (c, peer, PEER_TRANSFER);

  m->u.transfer.sequence = sequence;
  m->u.transfer.limit = c->control->issuance->table.limits[limit].ref;
  m->u.transfer.token_count = count;
}

/* Debits COUNT tokens of LIMIT and sends them to PEER.  */
static void
give (struct core *c, uint64_t peer, int32_t limit, uint32_t count)
{
  struct ledger *l = c->limits->ledger;
  struct ledger_link *k = ledger_link_get (l, peer);
  uint64_t sequence;

  if (count == 0 || limit < 0 || k->closed)
    return;
  if (k->unacked_count == 0)
    k->resend_at_us = c->now_us + RESEND_US;
  sequence = ledger_give (l, k, (uint32_t)limit, count);
  send_transfer (c, peer, sequence, (uint32_t)limit, count);
}

static uint32_t
vm_idle_count (const struct core *c, uint32_t vm)
{
  int64_t held = core_holding (c, c->vms[vm].limit_index);

  if (held <= c->vms[vm].running_count)
    return 0;
  return (uint32_t)held - c->vms[vm].running_count;
}

/* Gives up to COUNT idle slots of a pool, each from the VM that then has the
   most idle ones.  */
static void
give_slots (struct core *c, uint64_t peer, const struct pool_state *p,
            uint32_t count)
{
  uint32_t *parts = talloc_zero_array (c, uint32_t, p->vm_count + 1);
  uint32_t i;

  for (; count > 0; count--)
    {
      uint32_t best = 0;
      uint32_t most = 0;

      for (i = 0; i < p->vm_count; i++)
        {
          uint32_t idle = vm_idle_count (c, p->vms[i]) - parts[i];

          if (idle > most && core_vm_takes_work (c, p->vms[i])
              && core_vm_is_healthy (c, p->vms[i]))
            {
              most = idle;
              best = i;
            }
        }
      if (most == 0)
        break;
      parts[best]++;
    }
  for (i = 0; i < p->vm_count; i++)
    give (c, peer, c->vms[p->vms[i]].limit_index, parts[i]);
  talloc_free (parts);
}

/* Gives COUNT idle tokens of GROUP and counts them in the view of the peer. */
static void
give_group (struct core *c, uint64_t peer, uint32_t group, uint32_t count)
{
  struct limit_state *s = c->limits;
  struct peer_view *v = core_find_peer_view (c, peer);

  /* Tokens given to a member that is gone would be lost until settlement.  */
  if (count == 0 || v == NULL)
    return;
  v->holdings[group].held_count += (int32_t)count;
  if (group < s->team_count)
    give (c, peer, c->teams[group].limit_index, count);
  else
    give_slots (c, peer, &c->pools[group - s->team_count], count);
}

static bool
is_contended (const struct limit_state *s, uint32_t group)
{
  if (s->target == NULL)
    return false;
  return group < s->team_count
             ? s->target->team_contended[group]
             : s->target->pool_contended[group - s->team_count];
}

static uint32_t
target_of (const struct limit_state *s, uint32_t row, uint32_t group)
{
  if (group < s->team_count)
    return s->target->team_token_count[row * s->column_count + group];
  return s->target
      ->pool_slot_count[row * s->pool_count + group - s->team_count];
}

/* Plans to give COUNT tokens of GROUP to PEER, and reserves them.  */
static void
plan_transfer (struct limit_state *s, uint32_t group, uint64_t peer,
               uint32_t count)
{
  struct planned_transfer *p;

  s->planned_transfers
      = talloc_realloc (s, s->planned_transfers, struct planned_transfer,
                        s->planned_transfer_count + 1);
  if (s->planned_transfers == NULL)
    out_of_memory ();
  p = &s->planned_transfers[s->planned_transfer_count++];
  p->group = group;
  p->peer = peer;
  p->token_count = count;
  s->reserved_count[group] += count;
}

/* Returns how much VIEW's member holds above its target; negative: below it; 0
   if the view is stale.  */
static int64_t
above_target (const struct core *c, uint32_t view, uint32_t group)
{
  const struct limit_state *s = c->limits;
  const struct peer_view *v = s->views[view];

  if (!core_view_is_fresh (c, v))
    return 0;
  return (int64_t)v->holdings[group].held_count
         - target_of (s, view + 1, group);
}

/* Returns how much the members with a lower incarnation can give.  All members
   compute the same plan: the givers, in order of incarnation, serve the
   members below their target, in order of incarnation.  */
static int64_t
given_by_earlier (const struct core *c, uint32_t group)
{
  const struct limit_state *s = c->limits;
  int64_t sum = 0;
  uint32_t i;

  for (i = 0; i < s->view_count; i++)
    if (s->views[i]->incarnation < c->incarnation
        && above_target (c, i, group) > 0)
      sum += above_target (c, i, group);
  return sum;
}

/* Returns the index of the view with the lowest incarnation above AFTER, or
   -1.  */
static int32_t
next_view (const struct limit_state *s, uint64_t after)
{
  int32_t best = -1;
  uint32_t i;

  for (i = 0; i < s->view_count; i++)
    if (s->views[i]->incarnation > after
        && (best < 0
            || s->views[i]->incarnation < s->views[best]->incarnation))
      best = (int32_t)i;
  return best;
}

/* Plans which peers get what this member holds of GROUP above its target.  */
static void
plan_group (struct core *c, uint32_t group)
{
  struct limit_state *s = c->limits;
  int64_t target = target_of (s, 0, group);
  int64_t excess = core_own_holding (c, group).held_count - target;
  int64_t skip;
  int32_t i;

  if (excess <= (target > 0 ? 1 + target / DEAD_BAND_PART : 0))
    return;
  skip = given_by_earlier (c, group);
  for (i = next_view (s, 0); i >= 0 && excess > 0;
       i = next_view (s, s->views[i]->incarnation))
    {
      int64_t need = -above_target (c, (uint32_t)i, group);

      if (need <= 0)
        continue;
      if (skip >= need)
        {
          skip -= need;
          continue;
        }
      need -= skip;
      skip = 0;
      if (need > excess)
        need = excess;
      plan_transfer (s, group, s->views[i]->incarnation, (uint32_t)need);
      excess -= need;
    }
}

void
core_plan_transfers (struct core *c)
{
  struct limit_state *s = c->limits;
  uint32_t i;

  s->planned_transfer_count = 0;
  memset (s->reserved_count, 0, s->group_count * sizeof *s->reserved_count);
  for (i = 0; i < s->group_count; i++)
    if (is_contended (s, i))
      plan_group (c, i);
}

void
core_run_planned_transfers (struct core *c)
{
  struct limit_state *s = c->limits;
  uint32_t i;

  for (i = 0; i < s->planned_transfer_count; i++)
    {
      struct planned_transfer *p = &s->planned_transfers[i];
      uint32_t idle;

      if (p->token_count == 0)
        continue;
      idle = core_own_holding (c, p->group).idle_count;
      if (idle > p->token_count)
        idle = p->token_count;
      p->token_count -= idle;
      s->reserved_count[p->group] -= idle;
      give_group (c, p->peer, p->group, idle);
    }
}

/* Returns the group that the limit REF belongs to, or -1.  */
static int32_t
group_of (const struct core *c, const struct limit_ref *ref)
{
  const struct config *f = c->control->config;
  uint32_t i;

  if (f == NULL)
    return -1;
  if (ref->kind == LIMIT_TEAM)
    return control_team_index (c->control, ref->name);
  for (i = 0; i < f->vm_count; i++)
    if (strcmp (f->vms[i].name, ref->name) == 0)
      return (int32_t)(f->team_count + f->vms[i].pool_index);
  return -1;
}

static uint32_t
excess_over (int64_t held, uint32_t target)
{
  return held > target ? (uint32_t)(held - target) : 0;
}

void
core_on_ask (struct core *c, const struct peer_message *m)
{
  struct limit_state *s = c->limits;
  int32_t group = group_of (c, &m->u.ask.limit);
  struct peer_view *v = core_find_peer_view (c, m->from_incarnation);
  struct peer_holding own;
  uint32_t spare;
  uint32_t count = m->u.ask.token_count;

  if (group < 0 || v == NULL)
    return;
  own = core_own_holding (c, (uint32_t)group);
  spare = own.idle_count > s->reserved_count[group]
              ? own.idle_count - s->reserved_count[group]
              : 0;
  if (is_contended (s, (uint32_t)group))
    spare = MIN (spare, excess_over (own.held_count,
                                     target_of (s, 0, (uint32_t)group)));
  else
    spare = (spare + 1) / 2;
  if (count > spare)
    count = spare;
  give_group (c, v->incarnation, (uint32_t)group, count);
  /* A peer that holds none or is in debt gets the next tokens that become
     idle here; otherwise a target rounded down to 0 could leave it without
     any for good.  */
  if (count == 0 && own.held_count > 0 && v->holdings[group].held_count <= 0
      && s->reserved_count[group] == 0)
    plan_transfer (s, (uint32_t)group, v->incarnation,
                   1 + (uint32_t)-v->holdings[group].held_count);
}

/* Returns the view of the peer to ask for GROUP: the one with the most idle
   tokens or, if equal, the one that holds most.  NULL if no view is fresh or
   all were asked within ASK_PEER_PERIOD_US.  */
static struct peer_view *
pick_giver (const struct core *c, uint32_t group)
{
  const struct limit_state *s = c->limits;
  struct peer_view *best = NULL;
  uint32_t i;

  for (i = 0; i < s->view_count; i++)
    {
      struct peer_view *v = s->views[i];
      const struct peer_holding *h = &v->holdings[group];

      if (!core_view_is_fresh (c, v)
          || c->now_us < v->asked_at_us + ASK_PEER_PERIOD_US)
        continue;
      if (best == NULL || h->idle_count > best->holdings[group].idle_count
          || (h->idle_count == best->holdings[group].idle_count
              && h->held_count > best->holdings[group].held_count))
        best = v;
    }
  return best;
}

static void
send_ask (struct core *c, uint64_t peer, uint32_t group, uint32_t count)
{
  const struct config *f = c->control->config;
  struct limit_state *s = c->limits;
  struct peer_message *m = core_new_peer_message (c, peer, PEER_ASK);

  m->u.ask.token_count = count;
  m->u.ask.limit.kind = group < s->team_count ? LIMIT_TEAM : LIMIT_VM;
  if (group < s->team_count)
    text_copy (m->u.ask.limit.name, NAME_BYTES, f->teams[group].name);
  else
    text_copy (m->u.ask.limit.name, NAME_BYTES,
               f->vms[c->pools[group - s->team_count].vms[0]].name);
}

void
core_ask_peer (struct core *c, uint32_t group, uint32_t count)
{
  struct limit_state *s = c->limits;
  struct peer_view *v = pick_giver (c, group);
  uint32_t i;

  if (group >= s->team_count && c->pools[group - s->team_count].vm_count == 0)
    return;
  if (v == NULL)
    {
      /* Nothing is known of the peers yet, or all were asked within
         ASK_PEER_PERIOD_US: asks only those that never sent a message.  */
      for (i = 0; i < s->view_count; i++)
        if (s->views[i]->heard_at_us == 0)
          send_ask (c, s->views[i]->incarnation, group, count);
      return;
    }
  /* Tokens beyond this member's target are for the others.  */
  if (is_contended (s, group)
      && core_own_holding (c, group).held_count
             >= MAX (1, (int64_t)target_of (s, 0, group)))
    return;
  if (v->holdings[group].idle_count == 0
      && core_own_holding (c, group).held_count > 0)
    {
      if (c->random % BLIND_ASK_PART == 0)
        send_ask (
            c,
            s->views[c->random / BLIND_ASK_PART % s->view_count]->incarnation,
            group, count);
      return;
    }
  send_ask (c, v->incarnation, group, count);
  v->asked_at_us = c->now_us;
}

void
core_give_all_idle (struct core *c)
{
  struct limit_state *s = c->limits;
  uint32_t next = 0;
  uint32_t i;
  uint32_t k;

  for (i = 0; i < s->group_count && s->view_count > 0; i++)
    {
      for (k = 0; k < s->view_count; k++, next++)
        if (core_view_is_fresh (c, s->views[next % s->view_count]))
          break;
      if (k < s->view_count)
        give_group (c, s->views[next % s->view_count]->incarnation, i,
                    core_own_holding (c, i).idle_count);
      next++;
    }
}

void
core_on_transfer (struct core *c, const struct peer_message *m)
{
  const struct peer_transfer *t = &m->u.transfer;
  struct ledger *l = c->limits->ledger;
  int32_t limit = issuance_find_ref (c->control->issuance, &t->limit);

  /* The record that adds the limit is not applied here yet.  Without an
     acknowledgement the peer sends the transfer again.  */
  if (limit < 0)
    return;
  if (!ledger_credit (l, ledger_link_get (l, m->from_incarnation), t->sequence,
                      (uint32_t)limit, t->token_count))
    return;
  core_mark_all_pools (c);
  core_dispatch_all (c);
}

void
core_on_ack (struct core *c, const struct peer_message *m)
{
  struct ledger_link *k
      = ledger_link_find (c->limits->ledger, m->from_incarnation);

  if (k != NULL)
    ledger_acknowledge (k, m->u.ack.sequence);
}

static void
resend_link (struct core *c, struct ledger_link *k)
{
  uint32_t i;

  k->resend_at_us = c->now_us + RESEND_US;
  for (i = 0; i < k->unacked_count && i < RESEND_LIMIT_COUNT; i++)
    send_transfer (c, k->peer, k->unacked[i].sequence, k->unacked[i].limit,
                   k->unacked[i].token_count);
}

void
core_service_ledger_links (struct core *c)
{
  struct ledger *l = c->limits->ledger;
  uint32_t i;

  for (i = 0; i < l->link_count; i++)
    {
      struct ledger_link *k = l->links[i];

      if (k->closed)
        continue;
      if (k->ack_due)
        {
          k->ack_due = false;
          core_new_peer_message (c, k->peer, PEER_ACK)->u.ack.sequence
              = k->received_sequence;
        }
      if (k->unacked_count > 0 && c->now_us >= k->resend_at_us)
        resend_link (c, k);
    }
}
