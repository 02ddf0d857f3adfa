/* ownership.c -- how the cell is owned and changes hands.

   The store's group says who holds the cell; only the holder, or an entry that
   sees none, is a member of it.  A new holder appends a claim, whose offset
   gives its fencing token, fences the records with it and reads them back.
   What the former owner may have started on a runner that cannot be reached is
   waited for: its act limit and a lease, unless it released the cell.

   Entries that own nothing watch the link to the owner.  When it is silent
   they ask the store who holds the cell, and join when nobody does.  */

#include "core/cell/state.h"

#include <string.h>

/** Between two joins of the holder; the store's shortest expiry is 1 s.  */
#define JOIN_GAP_MS 250
/** Answers in a row that deal the cell to another until it is handed over,
    and the time between them: more than another's way in and out.  */
#define UNLISTED_LIMIT_COUNT 4
#define UNLISTED_GAP_MS 40
/** A join without an answer is sent again after this.  */
#define JOIN_TIMEOUT_MS 800
/** Between two questions who holds the cell while its owner is silent.  */
#define FIND_GAP_MS 300
/** With a link to the owner that works nobody need ask.  */
#define FIND_QUIET_MS 4000
/** A denial counts this long, then the owner is asked again: it may have been
    reading its journal.  */
#define DENIED_HOLD_MS 1000
/** A holder that could not join for this long says so: three joins.  */
#define DEGRADED_MS 700
/** A step of a takeover is tried again after this.  */
#define STEP_RETRY_MS 200
/** A takeover that does not get on is given up after this.  */
#define TAKEOVER_LIMIT_MS 8000
/** Entries join in different order, so that seldom two do at once.  */
#define JOIN_SPREAD_MS 250
/** An entry with less than half of the largest processor share known waits so
    much longer before it joins: an owner that is too slow harms all.  */
#define WEAK_WAIT_MS 900
#define WEAK_PART 2
/** An owner yields to a stronger entry at most once in this time.  */
#define YIELD_GAP_MS 10000
/** And not before it has settled.  */
#define YIELD_AFTER_MS 1000
/** Orders are judged over this span, and from this many on.  */
#define PACE_SPAN_MS 700
#define PACE_LOW_COUNT 20
/** An owner that gave the cell up as it was slow counts as weak for this long:
    a VM's slowness lasts seconds.  */
#define SLOW_HOLD_MS 8000
/** The rate of a runner's clock may be off by this much.  */
#define CLOCK_ERROR_PERCENT 2

static void
set_phase (struct cell *c, enum ownership_phase p)
{
  c->ownership.phase = p;
  c->ownership.phase_began_at_us = c->now_us;
  c->ownership.retry_at_us = 0;
}

static void
send_join (struct cell *c)
{
  c->ownership.join_sent = true;
  c->ownership.join_sent_at_us = c->now_us;
  cell_emit (c, CELL_DO_JOIN);
}

static void
send_claim (struct cell *c, bool released)
{
  struct cell_action *a = cell_emit (c, CELL_DO_CLAIM);

  a->u.claim.at_offset = c->ownership.claims_end_offset;
  a->u.claim.released = released;
  a->u.claim.best_cpu_milli
      = MAX (c->ownership.best_cpu_milli, peers_best_cpu_milli (c));
}

/* Goes for the link to the newest claimant, unless it is this entry.  */
static void
connect_owner (struct cell *c)
{
  struct ownership *t = &c->ownership;
  struct cell_action *a = cell_emit (c, CELL_DO_CONNECT);

  if (strcmp (t->newest_member, c->settings.member) != 0
      && !t->newest_released)
    text_copy (a->u.connect, ADDRESS_BYTES, t->owner_address);
}

static void
give_up (struct cell *c)
{
  bool owned = cell_is_owner (c);

  set_phase (c, OWNERSHIP_NONE);
  c->ownership.join_sent = false;
  c->ownership.joined_at_us = 0;
  c->ownership.next_find_at_us = c->now_us + FIND_GAP_MS * US_PER_MS;
  c->ownership.link_down_at_us = c->now_us;
  cell_emit (c, CELL_DO_FOLLOW_RUNNERS)->u.follow_runners = false;
  runners_clear (c);
  jobs_clear (c);
  cell_fleet_clear (c);
  if (owned)
    c->metrics.counters[CELL_COUNT_OWNERSHIPS_LOST]++;
  connect_owner (c);
}

void
ownership_lose (struct cell *c, const char *why)
{
  if (c->ownership.phase == OWNERSHIP_NONE)
    return;
  cell_log (c, "ownership_lost", 0,
            "\"why\":\"%s\",\"token\":%llu,\"phase\":%u,\"newest\":\"%s\","
            "\"join_age_ms\":%llu",
            why, (unsigned long long)c->ownership.token, c->ownership.phase,
            c->ownership.newest_member,
            (unsigned long long)((c->now_us - c->ownership.joined_at_us)
                                 / US_PER_MS));
  /* Leaving lets the store deal the cell anew at once.  */
  cell_emit (c, CELL_DO_LEAVE);
  give_up (c);
}

/* Releases the cell: nothing is ordered after this.  */
static void
release (struct cell *c)
{
  cell_log (c, "ownership_released", 0, "\"token\":%llu",
            (unsigned long long)c->ownership.token);
  send_claim (c, true);
  cell_emit (c, CELL_DO_LEAVE);
  give_up (c);
}

/* Our claim, the newest, stands: what it lets us do begins.  */
static void
begin_recovery (struct cell *c)
{
  struct ownership *t = &c->ownership;
  uint64_t lease_ms = LEASE_MS * (100 + CLOCK_ERROR_PERCENT) / 100;
  uint64_t doubt_ms
      = t->predecessor_released ? lease_ms : OWNERSHIP_TIMEOUT_MS + lease_ms;

  t->token = t->newest_token;
  t->claimed_at_us = c->now_us;
  t->claimed_at_ms = c->wall_ms;
  t->unconfirmed_until_us
      = c->now_us + (t->no_predecessor ? 0 : doubt_ms * US_PER_MS);
  set_phase (c, OWNERSHIP_RECOVERING);
  cell_emit (c, CELL_DO_CONNECT);
  cell_emit (c, CELL_DO_RECOVER)->u.token = t->token;
}

void
ownership_on_claim (struct cell *c, const struct cell_event *e)
{
  struct ownership *t = &c->ownership;
  bool mine = strcmp (e->u.claim.member, c->settings.member) == 0;

  t->claims_known = true;
  t->claims_end_offset = e->u.claim.next_offset;
  if (e->u.claim.none || e->u.claim.token <= t->newest_token)
    return;
  t->predecessor_released = t->newest_released;
  t->predecessor_is_self = strcmp (t->newest_member, c->settings.member) == 0;
  t->no_predecessor = t->newest_token == 0;
  t->newest_token = e->u.claim.token;
  t->newest_released = e->u.claim.released;
  t->owner_denied = false;
  if (e->u.claim.best_cpu_milli > 0)
    t->best_cpu_milli = e->u.claim.best_cpu_milli;
  text_copy (t->newest_member, NAME_BYTES, e->u.claim.member);
  text_copy (t->owner_address, ADDRESS_BYTES, e->u.claim.address);
  cell_log (c, "claim_seen", 0,
            "\"member\":\"%s\",\"token\":%llu,\"released\":%s",
            t->newest_member, (unsigned long long)t->newest_token,
            t->newest_released ? "true" : "false");
  if ((t->phase == OWNERSHIP_OWNER || t->phase == OWNERSHIP_RECOVERING)
      && t->newest_token > t->token)
    ownership_lose (c, "newer_claim");
  if (t->phase == OWNERSHIP_CLAIMING && mine && !t->newest_released)
    {
      /* The answer to our claim was lost, and here it is.  */
      begin_recovery (c);
      return;
    }
  if (t->phase == OWNERSHIP_NONE)
    {
      t->retry_at_us = 0;
      if (t->newest_released)
        t->next_find_at_us = c->now_us;
      if (!mine || t->newest_released)
        connect_owner (c);
    }
}

void
ownership_on_link (struct cell *c, const struct cell_event *e)
{
  bool up = e->u.owner_link.up;
  bool degraded = e->u.owner_link.degraded;

  if (e->u.owner_link.best_cpu_milli > 0)
    c->ownership.best_cpu_milli = e->u.owner_link.best_cpu_milli;
  c->ownership.owner_degraded = up && degraded;
  if (up && degraded)
    c->ownership.next_find_at_us = c->now_us;
  if (up == c->ownership.link_up)
    return;
  c->ownership.link_up = up;
  c->ownership.owner_denied = false;
  if (!degraded)
    c->ownership.next_find_at_us
        = c->now_us + (up ? FIND_QUIET_MS * US_PER_MS : 0);
  if (!up)
    c->ownership.link_down_at_us = c->now_us;
  cell_log (c, up ? "owner_link_up" : "owner_link_lost", 0, "\"owner\":\"%s\"",
            c->ownership.newest_member);
}

void
ownership_on_denied (struct cell *c)
{
  if (c->ownership.owner_denied)
    return;
  c->ownership.owner_denied = true;
  c->ownership.resend_at_us = c->now_us;
  c->ownership.denied_at_us = c->now_us;
  c->ownership.next_find_at_us = c->now_us;
  cell_log (c, "owner_denied", 0, "\"owner\":\"%s\"",
            c->ownership.newest_member);
}

/* Much stronger entries are, or were, there.  */
static bool
is_weak (const struct cell *c)
{
  return c->settings.cpu_milli * WEAK_PART <= c->ownership.best_cpu_milli
         || c->now_us < c->ownership.slow_until_us;
}

void
ownership_on_holder (struct cell *c, const struct cell_event *e)
{
  struct ownership *t = &c->ownership;
  const char *m = e->u.holder.member;

  t->find_sent = false;
  t->next_find_at_us
      = c->now_us
        + (t->link_up && !t->owner_degraded && !t->owner_denied ? FIND_QUIET_MS
                                                                : FIND_GAP_MS)
              * US_PER_MS;
  if (t->phase != OWNERSHIP_NONE || !e->u.holder.known || c->stopping)
    return;
  /* A process that was killed and came back finds its own name: it holds
     the cell by the group and has to claim it anew.  */
  if (m[0] != '\0' && strcmp (m, c->settings.member) != 0)
    {
      t->retry_at_us = 0;
      if (!t->link_up)
        connect_owner (c);
      return;
    }
  if (m[0] == '\0' && t->retry_at_us == 0)
    {
      uint64_t wait_ms
          = c->random % JOIN_SPREAD_MS + (is_weak (c) ? WEAK_WAIT_MS : 0);

      t->retry_at_us = c->now_us + wait_ms * US_PER_MS + 1;
      t->next_find_at_us = t->retry_at_us;
      return;
    }
  cell_log (c, "cell_is_free", 0, "\"holder\":\"%s\"", m);
  set_phase (c, OWNERSHIP_JOINING);
  send_join (c);
}

/* A member that joins for a moment has the store deal the cell anew.  It
   leaves at once when it is not listed, so a holder that joins again, with the
   new generation, most often finds the cell its own; if not, whoever has it
   claims it with a higher token.  */
static void
on_not_dealt (struct cell *c)
{
  struct ownership *t = &c->ownership;

  if (t->phase != OWNERSHIP_OWNER && t->phase != OWNERSHIP_RECOVERING)
    {
      ownership_lose (c, "dealt_to_another");
      return;
    }
  t->unlisted_join_count++;
  t->joined_at_us = t->join_sent_at_us;
  if (t->unlisted_join_count >= UNLISTED_LIMIT_COUNT)
    release (c);
}

void
ownership_on_joined (struct cell *c, const struct cell_event *e)
{
  struct ownership *t = &c->ownership;

  if (!t->join_sent || e->u.joined.sent_at_us != t->join_sent_at_us)
    return;
  t->join_sent = false;
  if (t->phase == OWNERSHIP_NONE || !e->u.joined.answered)
    return;
  if (!e->u.joined.holds)
    {
      on_not_dealt (c);
      return;
    }
  t->unlisted_join_count = 0;
  t->joined_at_us = t->join_sent_at_us;
  if (t->phase == OWNERSHIP_JOINING && t->claims_known)
    {
      set_phase (c, OWNERSHIP_CLAIMING);
      send_claim (c, false);
    }
}

void
ownership_on_claim_result (struct cell *c, const struct cell_event *e)
{
  struct ownership *t = &c->ownership;

  if (t->phase != OWNERSHIP_CLAIMING)
    return;
  if (e->u.claimed.outcome != APPEND_STORED)
    {
      /* Another claim came between, or the outcome is unknown: what the
         topic holds shows which.  */
      t->retry_at_us = c->now_us + STEP_RETRY_MS * US_PER_MS;
      return;
    }
  t->predecessor_released = t->newest_released;
  t->predecessor_is_self = strcmp (t->newest_member, c->settings.member) == 0;
  t->no_predecessor = t->newest_token == 0;
  t->newest_token = e->u.claimed.token;
  t->newest_released = false;
  text_copy (t->newest_member, NAME_BYTES, c->settings.member);
  t->claims_end_offset = t->newest_token;
  begin_recovery (c);
}

void
ownership_on_recovered (struct cell *c, struct cell_event *e)
{
  struct ownership *t = &c->ownership;
  uint32_t i;

  if (t->phase != OWNERSHIP_RECOVERING)
    return;
  if (e->u.recovered.fenced)
    {
      ownership_lose (c, "fenced");
      return;
    }
  if (!e->u.recovered.answered)
    {
      t->retry_at_us = c->now_us + STEP_RETRY_MS * US_PER_MS;
      return;
    }
  for (i = 0; i < e->u.recovered.row_count; i++)
    records_restore (c, &e->u.recovered.rows[i]);
  if (!e->u.recovered.last)
    return;
  set_phase (c, OWNERSHIP_OWNER);
  records_finish_recovery (c);
  c->metrics.counters[CELL_COUNT_TAKEOVERS]++;
  cell_emit (c, CELL_DO_FOLLOW_RUNNERS)->u.follow_runners = true;
  cell_log (c, "ownership_taken", 0,
            "\"token\":%llu,\"jobs\":%u,\"active\":%u,\"took_ms\":%llu,"
            "\"doubt_ms\":%llu",
            (unsigned long long)t->token, g_hash_table_size (c->jobs),
            c->active->len,
            (unsigned long long)((c->now_us - t->claimed_at_us) / US_PER_MS),
            (unsigned long long)((t->unconfirmed_until_us - t->claimed_at_us)
                                 / US_PER_MS));
  ingress_flush (c);
}

/* What our beats say.  An owner that cannot reach the store has the others ask
   for a new holder; if nobody can, nothing changes.  Another entry that cannot
   is not one to yield the cell to.  */
static void
tell_beat (struct cell *c)
{
  struct ownership *t = &c->ownership;
  bool degraded = t->phase == OWNERSHIP_OWNER
                      ? c->now_us > t->joined_at_us + DEGRADED_MS * US_PER_MS
                      : t->phase == OWNERSHIP_NONE
                            && (!ingress_store_answers (c) || c->stopping);
  uint32_t best_milli = peers_best_cpu_milli (c);
  struct cell_action *a;

  if (degraded == t->degraded_advertised
      && best_milli == t->best_advertised_milli)
    return;
  a = cell_emit (c, CELL_DO_SET_HEARTBEAT);
  a->u.heartbeat.degraded = degraded;
  a->u.heartbeat.best_cpu_milli = best_milli;
  t->best_advertised_milli = best_milli;
  if (degraded == t->degraded_advertised)
    return;
  t->degraded_advertised = degraded;
  if (t->phase == OWNERSHIP_OWNER)
    cell_log (c, degraded ? "store_unreachable" : "store_reachable", 0,
              "\"join_age_ms\":%llu",
              (unsigned long long)((c->now_us - t->joined_at_us) / US_PER_MS));
}

/* Judges the orders of the span that has ended, if one has.  */
static void
judge_pace (struct cell *c)
{
  struct order_latency *p = &c->order_latency;
  uint32_t overdue;

  if (c->now_us < p->began_at_us + PACE_SPAN_MS * US_PER_MS)
    return;
  /* A very slow owner gets no answers at all.  */
  overdue = runners_overdue_count (c);
  p->slow = p->order_count + overdue >= PACE_LOW_COUNT
            && p->slow_count + overdue >= p->order_count - p->slow_count;
  p->began_at_us = c->now_us;
  p->order_count = p->slow_count = 0;
}

/* Hands the cell over as planned when this entry falls behind, and another
   could do better: leases lapse and work piles up under a slow owner.  */
static void
check_yield (struct cell *c)
{
  struct ownership *t = &c->ownership;
  uint32_t best_milli;
  bool slow;

  if (t->phase != OWNERSHIP_OWNER)
    return;
  best_milli = peers_best_cpu_milli (c);
  judge_pace (c);
  slow = c->order_latency.slow
         && peers_best_other_cpu_milli (c) >= c->settings.cpu_milli;
  /* A slow owner joins late as well; that others reach the store is known.  */
  t->yielding = (slow
                 || (best_milli >= WEAK_PART * c->settings.cpu_milli
                     && !t->degraded_advertised))
                && c->now_us >= t->claimed_at_us + YIELD_AFTER_MS * US_PER_MS
                && c->now_us >= t->next_yield_at_us;
  if (!t->yielding || c->append.in_flight)
    return;
  t->yielding = false;
  t->next_yield_at_us = c->now_us + YIELD_GAP_MS * US_PER_MS;
  t->best_cpu_milli = MAX (t->best_cpu_milli, best_milli);
  c->order_latency.slow = false;
  if (slow)
    t->slow_until_us = c->now_us + SLOW_HOLD_MS * US_PER_MS;
  cell_log (c, "ownership_yielded", 0,
            "\"why\":\"%s\",\"cpu_milli\":%u,\"best_cpu_milli\":%u,"
            "\"starts_out\":%u",
            slow ? "slow" : "weak", c->settings.cpu_milli, best_milli,
            c->unanswered_start_count);
  release (c);
}

static void
tick_holder (struct cell *c)
{
  struct ownership *t = &c->ownership;
  uint64_t age_us = c->now_us - t->join_sent_at_us;
  uint64_t gap_us
      = (t->unlisted_join_count > 0 ? UNLISTED_GAP_MS : JOIN_GAP_MS)
        * US_PER_MS;

  if ((!t->join_sent && age_us >= gap_us)
      || age_us >= JOIN_TIMEOUT_MS * US_PER_MS)
    send_join (c);
  if (t->phase != OWNERSHIP_OWNER
      && c->now_us > t->phase_began_at_us + TAKEOVER_LIMIT_MS * US_PER_MS)
    {
      ownership_lose (c, "takeover_stalled");
      return;
    }
  if (t->retry_at_us == 0 || c->now_us < t->retry_at_us)
    return;
  t->retry_at_us = 0;
  if (t->phase == OWNERSHIP_CLAIMING)
    send_claim (c, false);
  else if (t->phase == OWNERSHIP_RECOVERING)
    {
      jobs_clear (c);
      cell_emit (c, CELL_DO_RECOVER)->u.token = t->token;
    }
}

void
ownership_tick (struct cell *c)
{
  struct ownership *t = &c->ownership;

  tell_beat (c);
  check_yield (c);
  if (c->now_us >= t->denied_at_us + DENIED_HOLD_MS * US_PER_MS)
    t->owner_denied = false;
  if (c->stopping && t->phase != OWNERSHIP_NONE)
    {
      if (t->phase != OWNERSHIP_OWNER || !c->append.in_flight)
        release (c);
      return;
    }
  if (t->phase != OWNERSHIP_NONE)
    {
      tick_holder (c);
      return;
    }
  if (c->stopping || !t->claims_known || c->now_us < t->next_find_at_us)
    return;
  if (t->find_sent
      && c->now_us < t->find_sent_at_us + JOIN_TIMEOUT_MS * US_PER_MS)
    return;
  t->find_sent = true;
  t->find_sent_at_us = c->now_us;
  cell_emit (c, CELL_DO_FIND_HOLDER);
}
