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

/* Returns true if this entry owns the cell, or owned it last as far as it and
   the entries that are linked to it know.  These are most of those that were
   linked when it was the owner and the configuration was confirmed.  */
static bool
is_last_owner (const struct cell *c)
{
  const struct known_states *s = &c->known_states;

  return s->is_last_owner && s->token == c->ownership.newest_token
         && peers_newest_followed_token (c) <= s->token
         && 2 * (g_hash_table_size (c->peers) + 1) > s->owned_peer_count + 1;
}

enum store_view
state_calls_view_store (const struct cell *c)
{
  if (!state_reports_are_on (c) || !is_last_owner (c))
    return STORE_VIEW_NONE;
  return ingress_store_answers (c) || peers_best_other_cpu_milli (c) > 0
             ? STORE_VIEW_REACHED
             : STORE_VIEW_AWAY;
}

void
state_calls_on_owner_view (struct cell *c, enum store_view view)
{
  if (view != STORE_VIEW_NONE)
    {
      c->known_states.owner_view = view;
      c->known_states.owner_view_token = c->ownership.newest_token;
    }
}

/* Returns true if the store answers neither this entry nor, as far as is
   known, any other.  An entry that has lost the link to its owner goes by what
   that had told.  */
static bool
store_is_away (const struct cell *c)
{
  const struct known_states *s = &c->known_states;

  return !ingress_store_answers (c)
         && (state_calls_view_store (c) == STORE_VIEW_AWAY
             || (s->owner_view == STORE_VIEW_AWAY
                 && s->owner_view_token == c->ownership.newest_token
                 && s->token == c->ownership.newest_token));
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

  if (s == NULL
      || (!job_state_is_final (s->state)
          && (s->changed_token != c->known_states.token
              || (!is_last_owner (c) && !store_is_away (c)))))
    return false;
  *state = s->state;
  return true;
}
