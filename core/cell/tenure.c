/* tenure.c -- how the cell is owned and changes hands.

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
/** The wall clock of a VM may have jumped by less since it was read.  */
#define CLOCK_STEP_MS 3000
/** The rate of a runner's clock may be off by this much.  */
#define CLOCK_ERROR_PERCENT 2

/* The newest claim is of this VM, at this address: its port is ours now, so
   the process that wrote it, if it is not this one, has ended.  */
static bool
is_own_claim (const struct cell *c)
{
  return strcmp (c->tenure.newest_member, c->settings.member) == 0
         && strcmp (c->tenure.owner_address, c->settings.relay_address) == 0;
}

static void
set_phase (struct cell *c, enum tenure_phase p)
{
  c->tenure.phase = p;
  c->tenure.phase_us = c->now_us;
  c->tenure.retry_us = 0;
}

static void
send_join (struct cell *c)
{
  c->tenure.join_sent = true;
  c->tenure.join_sent_us = c->now_us;
  cell_do (c, CELL_DO_JOIN);
}

/* Returns how long after a claim that follows the newest one orders of earlier
   owners may still take effect on runners that are not reached: a lease after
   the last of them, and longer if that one is not known to have stopped.  What
   the newest owner had still to wait for is waited for on.  */
static uint32_t
doubt_after_newest (const struct cell *c)
{
  const struct tenure *t = &c->tenure;
  uint64_t lease_ms = LEASE_MS * (100 + CLOCK_ERROR_PERCENT) / 100;
  uint64_t full_ms = ACT_LIMIT_MS + lease_ms;
  uint64_t left_ms = MIN (t->newest_doubt_ms, full_ms);
  uint64_t age_ms
      = c->wall_ms > t->newest_wall_ms ? c->wall_ms - t->newest_wall_ms : 0;

  if (t->newest_token == 0)
    return 0;
  if (t->newest_released)
    return (uint32_t)MAX (lease_ms, left_ms);
  /* Its process was this VM's, and has ended.  */
  if (is_own_claim (c) && t->newest_wall_ms != 0)
    {
      left_ms += CLOCK_STEP_MS;
      left_ms = left_ms > age_ms ? left_ms - age_ms : 0;
      return (uint32_t)MIN (MAX (lease_ms, left_ms), full_ms);
    }
  return (uint32_t)full_ms;
}

static void
send_claim (struct cell *c, bool released)
{
  struct cell_action *a = cell_do (c, CELL_DO_CLAIM);

  a->u.claim.at_offset = c->tenure.claim_offset;
  a->u.claim.released = released;
  a->u.claim.best_cpu_milli
      = MAX (c->tenure.best_cpu_milli, peers_best_milli (c));
  a->u.claim.wall_ms = c->wall_ms;
  if (!released)
    a->u.claim.doubt_ms = doubt_after_newest (c);
  else if (c->tenure.doubt_us > c->now_us)
    a->u.claim.doubt_ms
        = (uint32_t)((c->tenure.doubt_us - c->now_us) / US_PER_MS + 1);
}

/* Goes for the link to the newest claimant, unless it is this entry.  */
static void
connect_owner (struct cell *c)
{
  struct tenure *t = &c->tenure;
  struct cell_action *a = cell_do (c, CELL_DO_CONNECT);

  if (strcmp (t->newest_member, c->settings.member) != 0
      && !t->newest_released)
    text_copy (a->u.connect, ADDRESS_BYTES, t->owner_address);
}

static void
give_up (struct cell *c)
{
  bool owned = cell_owns (c);

  set_phase (c, TENURE_NONE);
  c->tenure.join_sent = false;
  c->tenure.join_good_us = 0;
  c->tenure.find_us = c->now_us + FIND_GAP_MS * US_PER_MS;
  c->tenure.link_down_us = c->now_us;
  cell_do (c, CELL_DO_FOLLOW)->u.follow = false;
  runners_clear (c);
  jobs_clear (c);
  upkeep_clear (c);
  if (owned)
    c->metrics.counters[CELL_COUNT_LOST_TENURES]++;
  connect_owner (c);
}

void
tenure_lose (struct cell *c, const char *why)
{
  if (c->tenure.phase == TENURE_NONE)
    return;
  cell_log (
      c, "ownership_lost", 0,
      "\"why\":\"%s\",\"token\":%llu,\"phase\":%u,\"newest\":\"%s\","
      "\"join_age_ms\":%llu",
      why, (unsigned long long)c->tenure.token, c->tenure.phase,
      c->tenure.newest_member,
      (unsigned long long)((c->now_us - c->tenure.join_good_us) / US_PER_MS));
  /* Leaving lets the store deal the cell anew at once.  */
  cell_do (c, CELL_DO_LEAVE);
  give_up (c);
}

/* Releases the cell: nothing is ordered after this.  */
static void
release (struct cell *c)
{
  cell_log (c, "ownership_released", 0, "\"token\":%llu",
            (unsigned long long)c->tenure.token);
  send_claim (c, true);
  cell_do (c, CELL_DO_LEAVE);
  give_up (c);
}

/* Our claim, the newest, stands: what it lets us do begins.  */
static void
begin_recovery (struct cell *c)
{
  struct tenure *t = &c->tenure;

  t->token = t->newest_token;
  t->claimed_us = c->now_us;
  t->claimed_ms = c->wall_ms;
  t->doubt_us = c->now_us + t->doubt_ms * US_PER_MS;
  set_phase (c, TENURE_RECOVERING);
  cell_do (c, CELL_DO_CONNECT);
  cell_do (c, CELL_DO_RECOVER)->u.token = t->token;
}

/* Takes note that the newest claim is of MEMBER; what follows from the one
   before it is kept.  */
static void
follow_claim (struct cell *c, uint64_t token, const char *member,
              const char *address, bool released)
{
  struct tenure *t = &c->tenure;

  t->doubt_ms = doubt_after_newest (c);
  t->same_member = is_own_claim (c);
  t->first = t->newest_token == 0;
  t->newest_token = token;
  t->newest_released = released;
  text_copy (t->newest_member, NAME_BYTES, member);
  text_copy (t->owner_address, ADDRESS_BYTES, address);
}

void
tenure_on_claim (struct cell *c, const struct cell_event *e)
{
  struct tenure *t = &c->tenure;
  bool mine = strcmp (e->u.claim.member, c->settings.member) == 0;

  t->claims_known = true;
  t->claim_offset = e->u.claim.next_offset;
  if (e->u.claim.none || e->u.claim.token <= t->newest_token)
    return;
  follow_claim (c, e->u.claim.token, e->u.claim.member, e->u.claim.address,
                e->u.claim.released);
  t->newest_doubt_ms = e->u.claim.doubt_ms;
  t->newest_wall_ms = e->u.claim.wall_ms;
  t->owner_denied = false;
  if (e->u.claim.best_cpu_milli > 0)
    t->best_cpu_milli = e->u.claim.best_cpu_milli;
  cell_log (c, "claim_seen", 0,
            "\"member\":\"%s\",\"token\":%llu,\"released\":%s",
            t->newest_member, (unsigned long long)t->newest_token,
            t->newest_released ? "true" : "false");
  if ((t->phase == TENURE_OWNER || t->phase == TENURE_RECOVERING)
      && t->newest_token > t->token)
    tenure_lose (c, "newer_claim");
  if (t->phase == TENURE_CLAIMING && mine && !t->newest_released)
    {
      /* The answer to our claim was lost, and here it is.  */
      begin_recovery (c);
      return;
    }
  if (t->phase == TENURE_NONE)
    {
      t->retry_us = 0;
      if (t->newest_released)
        t->find_us = c->now_us;
      if (!mine || t->newest_released)
        connect_owner (c);
    }
}

void
tenure_on_link (struct cell *c, const struct cell_event *e)
{
  bool up = e->u.link.up;
  bool degraded = e->u.link.degraded;

  if (e->u.link.best_cpu_milli > 0)
    c->tenure.best_cpu_milli = e->u.link.best_cpu_milli;
  c->tenure.owner_degraded = up && degraded;
  if (up && degraded)
    c->tenure.find_us = c->now_us;
  if (up == c->tenure.link_up)
    return;
  c->tenure.link_up = up;
  c->tenure.owner_denied = false;
  if (!degraded)
    c->tenure.find_us = c->now_us + (up ? FIND_QUIET_MS * US_PER_MS : 0);
  if (!up)
    c->tenure.link_down_us = c->now_us;
  cell_log (c, up ? "owner_link_up" : "owner_link_lost", 0, "\"owner\":\"%s\"",
            c->tenure.newest_member);
}

void
tenure_on_denied (struct cell *c)
{
  if (c->tenure.owner_denied)
    return;
  c->tenure.owner_denied = true;
  c->tenure.resend_us = c->now_us;
  c->tenure.denied_us = c->now_us;
  c->tenure.find_us = c->now_us;
  cell_log (c, "owner_denied", 0, "\"owner\":\"%s\"", c->tenure.newest_member);
}

/* Much stronger entries are, or were, there.  */
static bool
is_weak (const struct cell *c)
{
  return c->settings.cpu_milli * WEAK_PART <= c->tenure.best_cpu_milli
         || c->now_us < c->tenure.slow_us;
}

void
tenure_on_holder (struct cell *c, const struct cell_event *e)
{
  struct tenure *t = &c->tenure;
  const char *m = e->u.holder.member;

  t->find_sent = false;
  t->find_us
      = c->now_us
        + (t->link_up && !t->owner_degraded && !t->owner_denied ? FIND_QUIET_MS
                                                                : FIND_GAP_MS)
              * US_PER_MS;
  if (t->phase != TENURE_NONE || !e->u.holder.known || c->stopping)
    return;
  /* A process that was killed and came back finds its own name: it holds
     the cell by the group and has to claim it anew.  */
  if (m[0] != '\0' && strcmp (m, c->settings.member) != 0)
    {
      t->retry_us = 0;
      if (!t->link_up)
        connect_owner (c);
      return;
    }
  if (m[0] == '\0' && t->retry_us == 0)
    {
      uint64_t wait_ms
          = c->random % JOIN_SPREAD_MS + (is_weak (c) ? WEAK_WAIT_MS : 0);

      t->retry_us = c->now_us + wait_ms * US_PER_MS + 1;
      t->find_us = t->retry_us;
      return;
    }
  cell_log (c, "cell_is_free", 0, "\"holder\":\"%s\"", m);
  set_phase (c, TENURE_JOINING);
  send_join (c);
}

/* A member that joins for a moment has the store deal the cell anew.  It
   leaves at once when it is not listed, so a holder that joins again, with the
   new generation, most often finds the cell its own; if not, whoever has it
   claims it with a higher token.  */
static void
on_not_dealt (struct cell *c)
{
  struct tenure *t = &c->tenure;

  if (t->phase != TENURE_OWNER && t->phase != TENURE_RECOVERING)
    {
      tenure_lose (c, "dealt_to_another");
      return;
    }
  t->unlisted_count++;
  t->join_good_us = t->join_sent_us;
  if (t->unlisted_count >= UNLISTED_LIMIT_COUNT)
    release (c);
}

void
tenure_on_joined (struct cell *c, const struct cell_event *e)
{
  struct tenure *t = &c->tenure;

  if (!t->join_sent || e->u.joined.sent_us != t->join_sent_us)
    return;
  t->join_sent = false;
  if (t->phase == TENURE_NONE || !e->u.joined.answered)
    return;
  if (!e->u.joined.holds)
    {
      on_not_dealt (c);
      return;
    }
  t->unlisted_count = 0;
  t->join_good_us = t->join_sent_us;
  if (t->phase == TENURE_JOINING && t->claims_known)
    {
      set_phase (c, TENURE_CLAIMING);
      send_claim (c, false);
    }
}

void
tenure_on_claimed (struct cell *c, const struct cell_event *e)
{
  struct tenure *t = &c->tenure;

  if (t->phase != TENURE_CLAIMING)
    return;
  if (e->u.claimed.outcome != APPEND_STORED)
    {
      /* Another claim came between, or the outcome is unknown: what the
         topic holds shows which.  */
      t->retry_us = c->now_us + STEP_RETRY_MS * US_PER_MS;
      return;
    }
  follow_claim (c, e->u.claimed.token, c->settings.member,
                c->settings.relay_address, false);
  t->newest_doubt_ms = t->doubt_ms;
  t->newest_wall_ms = c->wall_ms;
  t->claim_offset = t->newest_token;
  begin_recovery (c);
}

void
tenure_on_recovered (struct cell *c, struct cell_event *e)
{
  struct tenure *t = &c->tenure;
  uint32_t i;

  if (t->phase != TENURE_RECOVERING)
    return;
  if (e->u.recovered.fenced)
    {
      tenure_lose (c, "fenced");
      return;
    }
  if (!e->u.recovered.answered)
    {
      t->retry_us = c->now_us + STEP_RETRY_MS * US_PER_MS;
      return;
    }
  for (i = 0; i < e->u.recovered.row_count; i++)
    records_take_row (c, &e->u.recovered.rows[i]);
  if (!e->u.recovered.last)
    return;
  set_phase (c, TENURE_OWNER);
  records_recovered (c);
  c->metrics.counters[CELL_COUNT_TAKEOVERS]++;
  cell_do (c, CELL_DO_FOLLOW)->u.follow = true;
  cell_log (c, "ownership_taken", 0,
            "\"token\":%llu,\"jobs\":%u,\"active\":%u,\"took_ms\":%llu,"
            "\"doubt_ms\":%llu",
            (unsigned long long)t->token, g_hash_table_size (c->jobs),
            c->active->len,
            (unsigned long long)((c->now_us - t->claimed_us) / US_PER_MS),
            (unsigned long long)((t->doubt_us - t->claimed_us) / US_PER_MS));
  gate_flush (c);
}

/* What our beats say.  An owner that cannot reach the store has the others ask
   for a new holder; if nobody can, nothing changes.  Another entry that cannot
   is not one to yield the cell to.  */
static void
tell_beat (struct cell *c)
{
  struct tenure *t = &c->tenure;
  bool degraded = t->phase == TENURE_OWNER
                      ? c->now_us > t->join_good_us + DEGRADED_MS * US_PER_MS
                      : t->phase == TENURE_NONE
                            && (!gate_store_answers (c) || c->stopping);
  uint32_t best_milli = peers_best_milli (c);
  struct cell_action *a;

  if (degraded == t->degraded_told && best_milli == t->best_told_milli)
    return;
  a = cell_do (c, CELL_DO_BEAT);
  a->u.beat.degraded = degraded;
  a->u.beat.best_cpu_milli = best_milli;
  t->best_told_milli = best_milli;
  if (degraded == t->degraded_told)
    return;
  t->degraded_told = degraded;
  if (t->phase == TENURE_OWNER)
    cell_log (c, degraded ? "store_unreachable" : "store_reachable", 0,
              "\"join_age_ms\":%llu",
              (unsigned long long)((c->now_us - t->join_good_us) / US_PER_MS));
}

/* Judges the orders of the span that has ended, if one has.  */
static void
judge_pace (struct cell *c)
{
  struct order_pace *p = &c->pace;
  uint32_t overdue;

  if (c->now_us < p->begun_us + PACE_SPAN_MS * US_PER_MS)
    return;
  /* A very slow owner gets no answers at all.  */
  overdue = runners_overdue_count (c);
  p->slow = p->order_count + overdue >= PACE_LOW_COUNT
            && p->slow_count + overdue >= p->order_count - p->slow_count;
  p->begun_us = c->now_us;
  p->order_count = p->slow_count = 0;
}

/* Hands the cell over as planned when this entry falls behind, and another
   could do better: leases lapse and work piles up under a slow owner.  */
static void
check_yield (struct cell *c)
{
  struct tenure *t = &c->tenure;
  uint32_t best_milli;
  bool slow;

  if (t->phase != TENURE_OWNER)
    return;
  best_milli = peers_best_milli (c);
  judge_pace (c);
  slow = c->pace.slow && peers_other_milli (c) >= c->settings.cpu_milli;
  /* A slow owner joins late as well; that others reach the store is known.  */
  t->yields = (slow
               || (best_milli >= WEAK_PART * c->settings.cpu_milli
                   && !t->degraded_told))
              && c->now_us >= t->claimed_us + YIELD_AFTER_MS * US_PER_MS
              && c->now_us >= t->yield_us;
  if (!t->yields || c->append.in_flight)
    return;
  t->yields = false;
  t->yield_us = c->now_us + YIELD_GAP_MS * US_PER_MS;
  t->best_cpu_milli = MAX (t->best_cpu_milli, best_milli);
  c->pace.slow = false;
  if (slow)
    t->slow_us = c->now_us + SLOW_HOLD_MS * US_PER_MS;
  cell_log (c, "ownership_yielded", 0,
            "\"why\":\"%s\",\"cpu_milli\":%u,\"best_cpu_milli\":%u,"
            "\"starts_out\":%u",
            slow ? "slow" : "weak", c->settings.cpu_milli, best_milli,
            c->starts_out_count);
  release (c);
}

static void
tick_holder (struct cell *c)
{
  struct tenure *t = &c->tenure;
  uint64_t age_us = c->now_us - t->join_sent_us;
  uint64_t gap_us
      = (t->unlisted_count > 0 ? UNLISTED_GAP_MS : JOIN_GAP_MS) * US_PER_MS;

  if ((!t->join_sent && age_us >= gap_us)
      || age_us >= JOIN_TIMEOUT_MS * US_PER_MS)
    send_join (c);
  if (t->phase != TENURE_OWNER
      && c->now_us > t->phase_us + TAKEOVER_LIMIT_MS * US_PER_MS)
    {
      tenure_lose (c, "takeover_stalled");
      return;
    }
  if (t->retry_us == 0 || c->now_us < t->retry_us)
    return;
  t->retry_us = 0;
  if (t->phase == TENURE_CLAIMING)
    send_claim (c, false);
  else if (t->phase == TENURE_RECOVERING)
    {
      jobs_clear (c);
      cell_do (c, CELL_DO_RECOVER)->u.token = t->token;
    }
}

void
tenure_tick (struct cell *c)
{
  struct tenure *t = &c->tenure;

  tell_beat (c);
  check_yield (c);
  if (c->now_us >= t->denied_us + DENIED_HOLD_MS * US_PER_MS)
    t->owner_denied = false;
  if (c->stopping && t->phase != TENURE_NONE)
    {
      if (t->phase != TENURE_OWNER || !c->append.in_flight)
        release (c);
      return;
    }
  if (t->phase != TENURE_NONE)
    {
      tick_holder (c);
      return;
    }
  if (c->stopping || !t->claims_known || c->now_us < t->find_us)
    return;
  if (t->find_sent
      && c->now_us < t->find_sent_us + JOIN_TIMEOUT_MS * US_PER_MS)
    return;
  t->find_sent = true;
  t->find_sent_us = c->now_us;
  cell_do (c, CELL_DO_FIND);
}
