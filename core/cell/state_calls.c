/* state_calls.c -- answers calls for the state of a job while nobody owns the
   cell, or nobody can confirm the configuration.

   Such a call executes nothing, and the state of a job does not change any
   more once its end is stored.  So the entry that owned the cell last still
   tells the states that it knew: those of ended jobs as long as an owner
   would, the others as long as no entry is known to have claimed the cell.

   Each call has a key, which a newer configuration may have withdrawn.  While
   the store answers no entry, none can know.  The state of a job is told all
   the same if the last configuration admits the call, for as long as the
   setting unconfirmed_state_s says; no other call is executed.  If an entry
   reaches the store, clients get their answer there.  */

#include "core/cell/state.h"

/** Interval at which states are looked for that are not told any more.  */
#define EXPIRY_CHECK_MS 5000

/** State of a job that this entry owned.  */
struct known_state
{
  uint64_t job;
  enum job_state state;
  bool final;
  uint64_t ended_at_ms; /**< Of a final one: Unix time.  */
};

void
state_calls_init (struct cell *c)
{
  c->known_states
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, g_free);
}

void
state_calls_keep (struct cell *c)
{
  GHashTableIter it;
  gpointer value;

  g_hash_table_remove_all (c->known_states);
  c->known_states_token = c->ownership.token;
  g_hash_table_iter_init (&it, c->jobs);
  while (g_hash_table_iter_next (&it, NULL, &value))
    {
      const struct job *j = value;
      struct known_state *s;

      if (!j->stored)
        continue;
      s = g_new0 (struct known_state, 1);
      s->job = j->id;
      s->state = jobs_state (j);
      s->final = j->end_stored;
      s->ended_at_ms = j->ended_at_ms;
      g_hash_table_insert (c->known_states, &s->job, s);
    }
}

void
state_calls_forget (struct cell *c)
{
  g_hash_table_remove_all (c->known_states);
}

/* Returns true if this entry owns the cell, or owned it last as far as it and
   the entries that are linked to it know.  These are most of those that were
   linked when it was the owner and the configuration was confirmed.  */
static bool
is_last_owner (const struct cell *c)
{
  uint64_t token
      = cell_is_owner (c) ? c->ownership.token : c->known_states_token;

  return token != 0 && c->ownership.newest_token == token
         && peers_newest_followed_token (c) <= token
         && 2 * (g_hash_table_size (c->peers) + 1) > c->owned_peer_count + 1;
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
         || (!ingress_store_answers (c) && peers_best_other_cpu_milli (c) == 0
             && is_last_owner (c) && state_calls_admit_unconfirmed (c));
}

bool
state_calls_find (const struct cell *c, uint64_t job, enum job_state *state)
{
  const struct known_state *s = g_hash_table_lookup (c->known_states, &job);

  if (s == NULL || (!s->final && !is_last_owner (c)))
    return false;
  *state = s->state;
  return true;
}

void
state_calls_tick (struct cell *c)
{
  GHashTableIter it;
  gpointer value;

  if (c->now_us < c->known_states_checked_at_us + EXPIRY_CHECK_MS * US_PER_MS)
    return;
  c->known_states_checked_at_us = c->now_us;
  g_hash_table_iter_init (&it, c->known_states);
  while (g_hash_table_iter_next (&it, NULL, &value))
    {
      const struct known_state *s = value;

      if (s->final ? jobs_is_forgotten (c, s->ended_at_ms)
                   : c->ownership.newest_token != c->known_states_token)
        g_hash_table_iter_remove (&it);
    }
}
