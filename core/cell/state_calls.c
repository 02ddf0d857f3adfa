/* state_calls.c -- answers calls for the state of a job while nobody owns the
   cell, or nobody can confirm the configuration.

   Such a call executes nothing, and the state of a job does not change any
   more once its end is stored.  So every entry knows the states of jobs: the
   owner tells them to the entries that are linked to it (state_reports.c).  An
   entry that gets no answer from an owner tells those of ended jobs as long as
   an owner would, the others as long as it knows of no newer claim of the
   cell.

   Each call has a key, which a newer configuration may have withdrawn.  While
   the store answers no entry, none can know.  The state of a job is told all
   the same if the last configuration admits the call, for as long as the
   setting unconfirmed_state_s says; no other call is executed.  If an entry
   reaches the store, clients get their answer there, or the owner checks the
   key of a call that another entry could not check.  */

#include "core/cell/state_calls.h"

/** Entries read the configuration in long-polling reads, and may seem not to
    reach the store for a moment, all at once.  */
#define REACHED_MS 1000
/** An owner counts the entries that are linked to it.  It takes fewer than
    before for their number only after this long, in which all others link to a
    new one.  */
#define COUNT_INTERVAL_MS 10000

void
state_calls_count_entries (struct cell *c)
{
  struct known_states *s = &c->known_states;
  uint32_t n = g_hash_table_size (c->peers) + 1;

  if (!cell_is_owner (c) || !ingress_store_answers (c))
    return;
  if (n < s->entry_count
      && c->now_us < s->counted_at_us + COUNT_INTERVAL_MS * US_PER_MS)
    return;
  if (n < s->entry_count)
    s->counted_at_us = c->now_us;
  s->entry_count = n;
}

/* Returns true if this entry and those that are linked to it are most
   entries.  */
static bool
is_linked_to_most (const struct cell *c)
{
  return c->known_states.entry_count > 0
         && 2 * (g_hash_table_size (c->peers) + 1)
                > c->known_states.entry_count;
}

/* Returns the token of the newest claim that this entry, or one that was
   linked to it, has seen.  */
static uint64_t
newest_claim (const struct cell *c)
{
  return MAX (c->ownership.newest_token, c->known_states.heard_token);
}

/* Returns true if there is a claim that neither this entry nor, where this one
   has read none, the entries that are linked to it follow.  Its maker had
   reached the store.  */
static bool
has_newer_claim (const struct cell *c)
{
  const struct ownership *o = &c->ownership;
  uint64_t known
      = o->claims_known ? o->newest_token : peers_newest_followed_token (c);

  return newest_claim (c) > known;
}

/* Returns true if this entry owns the cell, or owned it last as far as it and
   the entries that are linked to it know, which are most entries.  */
static bool
is_last_owner (const struct cell *c)
{
  const struct known_states *s = &c->known_states;

  return s->is_last_owner && s->token == newest_claim (c)
         && is_linked_to_most (c);
}

/* Returns true if the store has answered this entry, or an entry that is
   linked to it, so lately that it may still answer the others.  */
static bool
is_store_reached (const struct cell *c)
{
  return ingress_is_fresh (c) || peers_best_other_cpu_milli (c) > 0
         || c->now_us < c->known_states.reached_at_us + REACHED_MS * US_PER_MS;
}

enum store_view
state_calls_view_store (const struct cell *c)
{
  if (!state_reports_are_on (c) || !is_linked_to_most (c))
    return STORE_VIEW_NONE;
  return has_newer_claim (c) || is_store_reached (c) ? STORE_VIEW_REACHED
                                                     : STORE_VIEW_AWAY;
}

void
state_calls_on_peers (struct cell *c)
{
  struct known_states *s = &c->known_states;

  s->heard_token = MAX (s->heard_token, peers_newest_followed_token (c));
  if (peers_best_other_cpu_milli (c) > 0)
    s->reached_at_us = c->now_us;
}

void
state_calls_on_owner_link (struct cell *c, enum store_view view,
                           uint32_t entry_count)
{
  struct known_states *s = &c->known_states;

  if (entry_count > 0)
    s->entry_count = entry_count;
  if (view == STORE_VIEW_NONE)
    return;
  s->owner_view = view;
  s->owner_view_token = c->ownership.newest_token;
}

/* Returns true if the store answers neither this entry nor, as far as is
   known, any other.  An entry to which few are linked goes by what the one had
   told that it was linked to last, the owner or a process at its address.  */
static bool
store_is_away (const struct cell *c)
{
  const struct known_states *s = &c->known_states;

  return !ingress_is_fresh (c)
         && (state_calls_view_store (c) == STORE_VIEW_AWAY
             || (s->owner_view == STORE_VIEW_AWAY
                 && s->owner_view_token == c->ownership.newest_token));
}

bool
state_calls_admit_unconfirmed (const struct cell *c)
{
  uint64_t limit_us
      = c->settings.times.unconfirmed_state_s * MS_PER_S * US_PER_MS;

  return c->config != NULL && c->config_confirmed_at_us > 0
         && c->now_us < c->config_confirmed_at_us + limit_us;
}

bool
state_calls_may_answer (const struct cell *c, const struct job_call *call)
{
  return !call->unconfirmed
         || (store_is_away (c) && state_calls_admit_unconfirmed (c));
}

bool
state_calls_find (const struct cell *c, uint64_t job, enum job_state *state)
{
  const struct known_state *s
      = g_hash_table_lookup (c->known_states.jobs, &job);

  if (s == NULL || !state_reports_are_on (c)
      || (!job_state_is_final (s->state)
          && (s->changed_token != newest_claim (c)
              || (!is_last_owner (c) && !store_is_away (c)))))
    return false;
  *state = s->state;
  return true;
}
