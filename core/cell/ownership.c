/* ownership.c -- how an entry takes, keeps and gives up the cell.

   The store's group names the holder of the cell.  Only the holder, or an
   entry to which the store has named none, joins the group.  A new holder
   appends a claim to the claims topic; the claim's offset + 1 is its fencing
   token.  It fences the records with the token, reads them and then is the
   owner.

   The former owner may have started runs on runners that do not answer.  The
   new owner treats them as running until a lease has passed since its claim.
   Unless the former owner released the cell, the ownership timeout is added,
   in which that owner may still have given orders.

   That timeout counts from a request to the store which proves that no other
   entry had taken the cell when it was sent: an append under our token that
   was stored, or a read of the claims that showed no newer one.  A new owner
   counts from when it has fenced the records, after its claim, so from later.
   A join that names this entry proves no such thing.  The group may have
   assigned the cell to another entry and back, and that one may wait for us
   since its claim.

   The other entries have a link to the owner.  While it is down they ask the
   store which entry holds the cell, and join when none does.

   An owner that is stopped releases the cell when another entry can take it
   (stop.c).  If none can, or an owner is lost, an entry that is stopping takes
   the cell if no other does and it has time left.  */

#include "core/cell/fleet.h"
#include "core/cell/state_calls.h"

#include <string.h>

/** Interval between joins of the holder.  The store removes a member no sooner
    than 1 s after its last join.  */
#define JOIN_INTERVAL_MS 250
/** A holder gives the cell up when this many of its joins in a row have
    assigned the cell to another member.  It sends them at this interval.
    Together they take longer than a member needs to join and leave again.  */
#define UNASSIGNED_LIMIT_COUNT 4
#define UNASSIGNED_INTERVAL_MS 40
/** A join, or a request for the holder, that was not answered is sent again
    after this.  */
#define STORE_TIMEOUT_MS 800
/** Interval between requests for the holder while the link to the owner is
    down, and while it is up.  With a working link to the owner the holder is
    known, so the store is seldom asked.  */
#define FIND_INTERVAL_MS 300
#define FIND_LINKED_INTERVAL_MS 4000
/** An entry that denied a call counts as owner again after this: a new owner
    denies calls while it still reads the records.  */
#define DENIED_MS 1000
/** An owner whose last answered join was sent this long ago reports that it
    cannot reach the store.  Nearly three joins fit into it.  */
#define DEGRADED_MS 700
/** A failed step of a takeover is retried after this.  */
#define STEP_RETRY_MS 200
/** A takeover ends when one of its steps has not succeeded after this.  */
#define TAKEOVER_TIMEOUT_MS 8000
/** An entry that finds no holder waits for a random time up to this before it
    joins, so that two entries rarely join at the same time.  */
#define JOIN_JITTER_MS 250
/** A weak entry delays its join by this.  */
#define WEAK_JOIN_DELAY_MS 900
/** An entry that has not started later than an owner that is stopped delays
   its join by this, so that the cell goes to an entry that was restarted
   already: where entries are restarted in turn, any other is stopped soon.
   Start times that are closer than START_MARGIN_MS are the same.  */
#define OLD_JOIN_DELAY_MS 400
#define START_MARGIN_MS 1000
/** An entry of whose stop the owner knew when it was lost delays its join by
    this, which is longer than any other may, unless the release tells that
    there is no other.  It joins only if it can own the cell for
    STOPPING_OWN_MIN_MS.  */
#define STOPPING_JOIN_DELAY_MS 1800
#define STOPPING_OWN_MIN_MS 1000
/* Names of the phases in log lines.  */
static const char *const phase_names[]
    = { [OWNERSHIP_NONE] = "none",
        [OWNERSHIP_JOINING] = "joining",
        [OWNERSHIP_CLAIMING] = "claiming",
        [OWNERSHIP_RECOVERING] = "recovering",
        [OWNERSHIP_OWNER] = "owner" };

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

/* Returns for how much longer runs may go on that a new owner may not hear of,
   in milliseconds: those of former owners, until every runner that they may
   have used has answered us, and our own under long leases.  0: no longer than
   an ordinary lease.  */
static uint32_t
remaining_unconfirmed_ms (const struct cell *c)
{
  const struct ownership *o = &c->ownership;
  uint64_t until_us = c->now_us;
  GHashTableIter it;
  gpointer value;

  if (c->now_us < o->unconfirmed_until_us
      && fleet_has_unreached (c, EVERY_POOL))
    until_us = o->unconfirmed_until_us;
  g_hash_table_iter_init (&it, c->runners);
  while (g_hash_table_iter_next (&it, NULL, &value))
    {
      const struct runner *r = value;

      if (r->tasks->len > 0 && leases_excess_ms (c, r) > 0)
        until_us = MAX (until_us, r->long_lease_until_us);
    }
  return until_us > c->now_us
             ? (uint32_t)((until_us - c->now_us) / US_PER_MS + 1)
             : 0;
}

static void
send_claim (struct cell *c, bool released)
{
  struct cell_action *a = cell_emit (c, CELL_DO_CLAIM);

  a->u.claim.at_offset = c->ownership.claims_end_offset;
  a->u.claim.terms.released = released;
  a->u.claim.terms.vm_orders_recorded
      = released ? handover_is_over (c) || c->handover.orders_known
                 : c->ownership.newest_token == 0
                       || c->ownership.newest_vm_orders_recorded;
  if (released)
    {
      a->u.claim.terms.unconfirmed_ms = remaining_unconfirmed_ms (c);
      /* Then no order of theirs has an effect any more.  */
      if (a->u.claim.terms.unconfirmed_ms == 0)
        c->ownership.former = (struct former_owners){ .known = true };
      a->u.claim.terms.no_successor = peers_best_other_cpu_milli (c) == 0;
      if (c->stopping)
        a->u.claim.terms.stopped_age_ms
            = (c->now_us - c->started_at_us) / US_PER_MS + 1;
    }
  else
    former_owners_at_claim (c, &c->ownership.former);
  a->u.claim.terms.former = c->ownership.former;
  a->u.claim.terms.slow_yield_at_ms = c->ownership.slow_yield_at_ms;
  a->u.claim.terms.best_cpu_milli
      = MAX (c->ownership.best_cpu_milli, peers_best_cpu_milli (c));
}

/* Requests a link to the relay of the entry that made the newest claim, or
   none if that claim is ours or a release.  */
static void
connect_owner (struct cell *c)
{
  struct ownership *o = &c->ownership;
  struct cell_action *a = cell_emit (c, CELL_DO_CONNECT);

  if (strcmp (o->newest_member, c->settings.member) != 0
      && !o->newest_released)
    text_copy (a->u.connect, ADDRESS_BYTES, o->owner_address);
}

/* Ends the ownership, or the attempt to take the cell.  SUPERSEDED: another
   entry has taken the cell, or is to take it.  */
static void
end_ownership (struct cell *c, bool superseded)
{
  bool owned = cell_is_owner (c);

  /* Nobody has claimed the cell by a join.  */
  if (c->ownership.phase != OWNERSHIP_JOINING)
    c->known_states.is_last_owner = owned && !superseded;
  if (owned && superseded)
    c->known_states.heard_token
        = MAX (c->known_states.heard_token, c->ownership.token + 1);
  set_phase (c, OWNERSHIP_NONE);
  c->ownership.join_sent = false;
  c->ownership.joined_at_us = 0;
  c->ownership.next_find_at_us = c->now_us + FIND_INTERVAL_MS * US_PER_MS;
  c->ownership.link_down_at_us = c->now_us;
  cell_emit (c, CELL_DO_FOLLOW_RUNNERS)->u.follow_runners = false;
  runners_clear (c);
  jobs_clear (c);
  cell_fleet_clear (c);
  if (owned)
    c->metrics.counters[CELL_COUNT_OWNERSHIPS_LOST]++;
  connect_owner (c);
}

/* Gives the cell up; see end_ownership.  WHY is logged.  */
static void
lose (struct cell *c, const char *why, bool superseded)
{
  if (c->ownership.phase == OWNERSHIP_NONE)
    return;
  cell_log (c, "ownership_lost", 0,
            "\"why\":\"%s\",\"token\":%llu,\"phase\":\"%s\","
            "\"newest_member\":\"%s\",\"join_age_ms\":%llu",
            why, (unsigned long long)c->ownership.token,
            phase_names[c->ownership.phase], c->ownership.newest_member,
            (unsigned long long)((c->now_us - c->ownership.joined_at_us)
                                 / US_PER_MS));
  /* After a leave the store assigns the cell to another member at once.  */
  cell_emit (c, CELL_DO_LEAVE);
  end_ownership (c, superseded);
}

void
ownership_lose (struct cell *c, const char *why)
{
  lose (c, why, true);
}

/* The claim that is marked as released tells that this owner did so of its own
   accord.  An entry whose own claim has not been stored makes none: it would
   hide how the former owner ended.  Nor does one that has not fenced the
   records: the former owner may have appended since our claim, and the next
   one has to wait anew.  */
void
ownership_release (struct cell *c)
{
  enum ownership_phase p = c->ownership.phase;

  if (p == OWNERSHIP_JOINING || p == OWNERSHIP_CLAIMING)
    {
      ownership_lose (c, "not_claimed");
      return;
    }
  if (p == OWNERSHIP_RECOVERING && !c->ownership.fence_known)
    {
      ownership_lose (c, "not_fenced");
      return;
    }
  cell_log (c, "ownership_released", 0, "\"token\":%llu",
            (unsigned long long)c->ownership.token);
  send_claim (c, true);
  c->ownership.release_sent = true;
  cell_emit (c, CELL_DO_LEAVE);
  end_ownership (c, true);
}

/* Handles that our claim is the newest: fences the records and reads them.  */
static void
begin_recovery (struct cell *c)
{
  struct ownership *o = &c->ownership;
  uint64_t until_us = c->now_us + LEASE_LIMIT_MS * US_PER_MS;

  if (o->predecessor_released)
    until_us = MAX (until_us, o->newest_unconfirmed_until_us);
  else if (!former_owners_have_ended (&o->former))
    until_us += OWNERSHIP_TIMEOUT_MS * US_PER_MS;

  o->token = o->newest_token;
  handover_begin (c);
  o->claimed_at_us = o->confirmed_at_us = c->now_us;
  o->confirmation_wanted_us = 0;
  o->unconfirmed_until_us = o->no_predecessor ? c->now_us : until_us;
  o->fence_known = false;
  set_phase (c, OWNERSHIP_RECOVERING);
  former_owners_check (c);
  cell_emit (c, CELL_DO_CONNECT);
  cell_emit (c, CELL_DO_RECOVER)->u.token = o->token;
}

/* Notes when the owner that released the cell with the terms T had started, if
   it is stopped.  */
static void
note_stopped_owner (struct cell *c, const struct claim_terms *t)
{
  uint64_t age_us = t->stopped_age_ms * US_PER_MS;

  c->ownership.stopped_started_at_us
      = t->stopped_age_ms > 0 && c->now_us > age_us ? c->now_us - age_us : 0;
}

/* Returns true if the newest claim is of this process.  One that it made
   before it was started again has the same member, but its state is gone.  */
static bool
is_own_claim (const struct cell *c)
{
  return c->ownership.token != 0
         && strcmp (c->ownership.newest_member, c->settings.member) == 0;
}

/* Updates the contents of our heartbeats.  When the owner reports that it
   cannot reach the store, the others ask the store for a new holder; if none
   of them can reach the store, the owner stays.  The owner does not yield to
   an entry that cannot reach the store.  */
static void
update_heartbeat (struct cell *c)
{
  struct ownership *o = &c->ownership;
  bool degraded = o->phase == OWNERSHIP_OWNER
                      ? c->now_us > o->joined_at_us + DEGRADED_MS * US_PER_MS
                      : o->phase == OWNERSHIP_NONE
                            && (!ingress_store_answers (c) || c->stopping);
  uint32_t best_milli = peers_best_cpu_milli (c);
  uint64_t followed_token = o->phase == OWNERSHIP_NONE ? o->newest_token : 0;
  enum store_view view = state_calls_view_store (c);
  uint32_t entry_count
      = state_reports_are_on (c) ? c->known_states.entry_count : 0;
  struct cell_action *a;

  if (degraded == o->degraded_advertised
      && best_milli == o->best_advertised_milli
      && followed_token == o->followed_advertised_token
      && view == o->view_advertised
      && entry_count == o->entry_count_advertised)
    return;
  a = cell_emit (c, CELL_DO_SET_HEARTBEAT);
  a->u.heartbeat.degraded = degraded;
  a->u.heartbeat.best_cpu_milli = best_milli;
  a->u.heartbeat.followed_token = followed_token;
  a->u.heartbeat.view = o->view_advertised = view;
  a->u.heartbeat.entry_count = o->entry_count_advertised = entry_count;
  o->followed_advertised_token = followed_token;
  o->best_advertised_milli = best_milli;
  if (degraded == o->degraded_advertised)
    return;
  o->degraded_advertised = degraded;
  if (o->phase == OWNERSHIP_OWNER)
    cell_log (c, degraded ? "store_unreachable" : "store_reachable", 0,
              "\"join_age_ms\":%llu",
              (unsigned long long)((c->now_us - o->joined_at_us) / US_PER_MS));
}

void
ownership_on_claim (struct cell *c, const struct cell_event *e)
{
  struct ownership *o = &c->ownership;
  bool mine = strcmp (e->u.claim.member, c->settings.member) == 0;

  o->claims_known = true;
  o->claims_end_offset = e->u.claim.next_offset;
  if (e->u.claim.none || e->u.claim.token <= o->newest_token)
    return;
  o->predecessor_released = o->newest_released;
  o->predecessor_is_self = is_own_claim (c);
  o->no_predecessor = o->newest_token == 0;
  o->newest_token = e->u.claim.token;
  o->newest_released = e->u.claim.terms.released;
  if (o->newest_released)
    o->newest_unconfirmed_until_us
        = c->now_us + e->u.claim.terms.unconfirmed_ms * US_PER_MS;
  o->newest_former = e->u.claim.terms.former;
  o->newest_seen_at_us = c->now_us;
  o->release_sent = false;
  note_stopped_owner (c, &e->u.claim.terms);
  o->former_vm_orders_recorded = o->newest_vm_orders_recorded;
  o->newest_vm_orders_recorded = e->u.claim.terms.vm_orders_recorded;
  o->newest_no_successor = e->u.claim.terms.no_successor;
  o->owner_denied = false;
  if (e->u.claim.terms.best_cpu_milli > 0)
    o->best_cpu_milli = e->u.claim.terms.best_cpu_milli;
  o->slow_yield_at_ms
      = MAX (o->slow_yield_at_ms, e->u.claim.terms.slow_yield_at_ms);
  text_copy (o->newest_member, NAME_BYTES, e->u.claim.member);
  text_copy (o->owner_address, ADDRESS_BYTES, e->u.claim.address);
  cell_log (c, "claim_seen", 0,
            "\"member\":\"%s\",\"token\":%llu,\"released\":%s",
            o->newest_member, (unsigned long long)o->newest_token,
            o->newest_released ? "true" : "false");
  if ((o->phase == OWNERSHIP_OWNER || o->phase == OWNERSHIP_RECOVERING)
      && o->newest_token > o->token)
    ownership_lose (c, "newer_claim");
  if (o->phase == OWNERSHIP_CLAIMING && o->retry_at_us != 0)
    o->retry_at_us = c->now_us;
  if (o->phase == OWNERSHIP_CLAIMING && mine && !o->newest_released)
    {
      /* The answer to our claim was lost, but it was stored.  */
      begin_recovery (c);
      return;
    }
  if (o->phase == OWNERSHIP_NONE)
    {
      o->retry_at_us = 0;
      if (o->newest_released)
        o->next_find_at_us = c->now_us;
      /* The entry that this one is linked to is told of the claim before the
         link is closed, as it may not reach the store.  */
      if (state_reports_are_on (c))
        update_heartbeat (c);
      if (!mine || o->newest_released)
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
  state_calls_on_owner_link (c, e->u.owner_link.view,
                             e->u.owner_link.entry_count);
  c->ownership.owner_degraded = up && degraded;
  if (up && degraded)
    c->ownership.next_find_at_us = c->now_us;
  if (up == c->ownership.link_up)
    return;
  c->ownership.link_up = up;
  c->ownership.owner_denied = false;
  if (!degraded)
    c->ownership.next_find_at_us
        = c->now_us + (up ? FIND_LINKED_INTERVAL_MS * US_PER_MS : 0);
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

/* Returns true if a much stronger entry exists or existed, or this one was
   slow as owner lately.  */
static bool
is_weak (const struct cell *c)
{
  return c->settings.cpu_milli * WEAK_FACTOR <= c->ownership.best_cpu_milli
         || c->now_us < c->ownership.slow_until_us;
}

/* Returns true if the last owner was stopped and this entry has not been
   started after it.  */
static bool
may_be_stopped_next (const struct cell *c)
{
  uint64_t at_us = c->ownership.stopped_started_at_us;

  return at_us > 0 && c->started_at_us <= at_us + START_MARGIN_MS * US_PER_MS;
}

/* Returns by how much longer than JOIN_JITTER_MS this entry delays its join,
   so that the cell goes to the entry that will serve it best.  */
static uint64_t
join_delay_ms (const struct cell *c)
{
  uint64_t delay_ms = 0;

  if (is_weak (c))
    delay_ms += WEAK_JOIN_DELAY_MS;
  if (may_be_stopped_next (c))
    delay_ms += OLD_JOIN_DELAY_MS;
  /* An owner that did not know of our stop may have counted on us.  */
  if (!c->ownership.newest_no_successor
      && stop_was_told (c, c->ownership.link_down_at_us))
    delay_ms += STOPPING_JOIN_DELAY_MS;
  return delay_ms;
}

void
ownership_on_holder (struct cell *c, const struct cell_event *e)
{
  struct ownership *o = &c->ownership;
  const char *m = e->u.holder.member;

  o->find_sent = false;
  o->next_find_at_us = c->now_us
                       + (o->link_up && !o->owner_degraded && !o->owner_denied
                              ? FIND_LINKED_INTERVAL_MS
                              : FIND_INTERVAL_MS)
                             * US_PER_MS;
  if (o->phase != OWNERSHIP_NONE || !e->u.holder.known || c->exited)
    return;
  /* A holder that was killed and restarted may find itself named; then it
     joins and claims the cell again.  */
  if (m[0] != '\0' && strcmp (m, c->settings.member) != 0)
    {
      o->retry_at_us = 0;
      if (!o->link_up)
        connect_owner (c);
      return;
    }
  /* While it stops, it is named only until the store has taken its leave.  */
  if (c->stopping
      && (m[0] != '\0' || !stop_has_time (c, STOPPING_OWN_MIN_MS * US_PER_MS)))
    return;
  if (m[0] == '\0' && o->retry_at_us == 0)
    {
      /* Ask again after a random delay, and join if there is still none.  */
      uint64_t wait_ms = c->random % JOIN_JITTER_MS + join_delay_ms (c);

      o->retry_at_us = c->now_us + wait_ms * US_PER_MS + 1;
      o->next_find_at_us = o->retry_at_us;
      return;
    }
  cell_log (c, "cell_is_free", 0, "\"holder\":\"%s\"", m);
  set_phase (c, OWNERSHIP_JOINING);
  send_join (c);
}

/* Handles a join that assigned the cell to another member.  Any member's join
   makes the store assign the cell anew, and an entry that does not get it
   leaves at once.  So the holder joins again and mostly gets the cell back;
   otherwise the other member claims it with a higher token.  */
static void
on_not_assigned (struct cell *c)
{
  struct ownership *o = &c->ownership;

  if (o->phase != OWNERSHIP_OWNER && o->phase != OWNERSHIP_RECOVERING)
    {
      ownership_lose (c, "assigned_to_another");
      return;
    }
  o->unassigned_join_count++;
  if (o->unassigned_join_count >= UNASSIGNED_LIMIT_COUNT)
    ownership_release (c);
}

void
ownership_on_joined (struct cell *c, const struct cell_event *e)
{
  struct ownership *o = &c->ownership;

  if (!o->join_sent || e->u.joined.sent_at_us != o->join_sent_at_us)
    return;
  o->join_sent = false;
  if (o->phase == OWNERSHIP_NONE || !e->u.joined.answered)
    return;
  if (!e->u.joined.holds)
    {
      on_not_assigned (c);
      return;
    }
  o->unassigned_join_count = 0;
  o->joined_at_us = o->join_sent_at_us;
  if (o->phase == OWNERSHIP_JOINING && o->claims_known)
    {
      set_phase (c, OWNERSHIP_CLAIMING);
      send_claim (c, false);
    }
}

void
ownership_on_claim_result (struct cell *c, const struct cell_event *e)
{
  struct ownership *o = &c->ownership;

  o->release_sent = false;
  if (o->phase != OWNERSHIP_CLAIMING)
    return;
  if (e->u.claimed.outcome != APPEND_STORED)
    {
      /* Another claim came first, or the outcome is unknown.  The claims topic
         is read in any case; the retry fails if the topic has grown.  */
      o->retry_at_us = c->now_us + STEP_RETRY_MS * US_PER_MS;
      return;
    }
  o->predecessor_released = o->newest_released;
  o->predecessor_is_self = is_own_claim (c);
  o->no_predecessor = o->newest_token == 0;
  o->newest_token = e->u.claimed.token;
  o->former_vm_orders_recorded = o->newest_vm_orders_recorded;
  o->stopped_started_at_us = 0;
  o->newest_released = false;
  o->newest_former = o->former;
  o->newest_seen_at_us = c->now_us;
  text_copy (o->newest_member, NAME_BYTES, c->settings.member);
  /* The token is the claim's offset + 1, which now is the topic's end.  */
  o->claims_end_offset = o->newest_token;
  begin_recovery (c);
}

void
ownership_on_recovered (struct cell *c, struct cell_event *e)
{
  struct ownership *o = &c->ownership;
  uint32_t i;

  if (o->phase != OWNERSHIP_RECOVERING)
    return;
  if (e->u.recovered.fenced)
    {
      ownership_lose (c, "fenced");
      return;
    }
  if (!e->u.recovered.answered)
    {
      o->retry_at_us = c->now_us + STEP_RETRY_MS * US_PER_MS;
      return;
    }
  if (!o->fence_known && !o->predecessor_released
      && !former_owners_have_ended (&o->former))
    o->unconfirmed_until_us += c->now_us - o->claimed_at_us;
  o->fence_known = true;
  for (i = 0; i < e->u.recovered.row_count; i++)
    records_restore (c, &e->u.recovered.rows[i]);
  if (!e->u.recovered.last)
    return;
  set_phase (c, OWNERSHIP_OWNER);
  o->fenced_at_ms = c->wall_ms;
  handover_on_recovered (c);
  records_finish_recovery (c);
  state_reports_begin (c);
  jobs_on_config (c);
  c->metrics.counters[CELL_COUNT_TAKEOVERS]++;
  cell_emit (c, CELL_DO_FOLLOW_RUNNERS)->u.follow_runners = true;
  cell_log (c, "ownership_taken", 0,
            "\"token\":%llu,\"jobs\":%u,\"active\":%u,\"took_ms\":%llu,"
            "\"unconfirmed_ms\":%llu",
            (unsigned long long)o->token, g_hash_table_size (c->jobs),
            c->active->len,
            (unsigned long long)((c->now_us - o->claimed_at_us) / US_PER_MS),
            (unsigned long long)((o->unconfirmed_until_us - o->claimed_at_us)
                                 / US_PER_MS));
  ingress_flush (c);
}

void
ownership_on_claims_confirmed (struct cell *c, uint64_t sent_at_us)
{
  c->ownership.claims_read_at_us
      = MAX (c->ownership.claims_read_at_us, sent_at_us);
}

uint64_t
ownership_proved_us (const struct cell *c)
{
  return MAX (c->ownership.confirmed_at_us, c->ownership.claims_read_at_us);
}

void
ownership_check (struct cell *c)
{
  const struct ownership *o = &c->ownership;
  uint64_t since_us
      = c->now_us - MIN (c->now_us, OWNERSHIP_TIMEOUT_MS * US_PER_MS);

  if (o->phase == OWNERSHIP_NONE)
    return;
  if (o->joined_at_us > 0 && o->joined_at_us < since_us)
    lose (c, "ownership_timeout", false);
  else if ((o->phase == OWNERSHIP_RECOVERING || o->phase == OWNERSHIP_OWNER)
           && ownership_proved_us (c) < since_us)
    lose (c, "ownership_unproved", false);
}

/* Sends the joins of an entry that holds the cell or is taking it over, and
   repeats the failed steps of a takeover.  */
static void
holder_tick (struct cell *c)
{
  struct ownership *o = &c->ownership;
  uint64_t age_us = c->now_us - o->join_sent_at_us;
  uint64_t gap_us = (o->unassigned_join_count > 0 ? UNASSIGNED_INTERVAL_MS
                                                  : JOIN_INTERVAL_MS)
                    * US_PER_MS;

  if ((!o->join_sent && age_us >= gap_us)
      || age_us >= STORE_TIMEOUT_MS * US_PER_MS)
    send_join (c);
  if (o->phase != OWNERSHIP_OWNER
      && c->now_us > o->phase_began_at_us + TAKEOVER_TIMEOUT_MS * US_PER_MS)
    {
      ownership_lose (c, "takeover_stalled");
      return;
    }
  if (o->retry_at_us == 0 || c->now_us < o->retry_at_us)
    return;
  o->retry_at_us = 0;
  if (o->phase == OWNERSHIP_CLAIMING)
    send_claim (c, false);
  else if (o->phase == OWNERSHIP_RECOVERING)
    {
      jobs_clear (c);
      cell_emit (c, CELL_DO_RECOVER)->u.token = o->token;
    }
}

void
ownership_tick (struct cell *c)
{
  struct ownership *o = &c->ownership;

  update_heartbeat (c);
  yields_check (c);
  if (c->now_us >= o->denied_at_us + DENIED_MS * US_PER_MS)
    o->owner_denied = false;
  o->releasing = stop_must_release (c);
  if (o->phase != OWNERSHIP_NONE)
    {
      /* Calls wait for the outcome of an append.  */
      if (o->releasing
          && (o->phase != OWNERSHIP_OWNER || !c->append.in_flight
              || !stop_has_time (c, 0)))
        ownership_release (c);
      else
        holder_tick (c);
      return;
    }
  if (c->exited || !o->claims_known || c->now_us < o->next_find_at_us)
    return;
  if (o->find_sent
      && c->now_us < o->find_sent_at_us + STORE_TIMEOUT_MS * US_PER_MS)
    return;
  o->find_sent = true;
  o->find_sent_at_us = c->now_us;
  cell_emit (c, CELL_DO_FIND_HOLDER);
}
