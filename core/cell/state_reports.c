/* state_reports.c -- what each entry knows of the states of jobs.

   The owner tells the entries that are linked to it which states have changed,
   in batches.  A new owner has been told as the others have: it tells what
   differs from the records that it has read.  An entry that links to it later
   is told all that has changed since it is the owner.  So an entry knows the
   states but for those that changed in the last moments of a lost owner, or
   under owners before it was started.  */

#include "core/cell/state_calls.h"

/** Interval between two batches.  */
#define TELL_INTERVAL_MS 250
/** Most states in a batch.  */
#define BATCH_LIMIT_COUNT 4096
/** Interval at which states are looked for that are not told any more.  */
#define EXPIRY_CHECK_MS 5000
/** An owner that tells states has told this entry so by this long after its
    claim was seen.  */
#define TOLD_LIMIT_MS 10000

void
state_reports_init (struct cell *c)
{
  c->known_states.jobs
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, g_free);
  c->known_states.untold
      = g_array_new (FALSE, FALSE, sizeof (struct job_report));
  c->known_states.sending
      = g_array_new (FALSE, FALSE, sizeof (struct job_report));
}

void
state_reports_free (struct cell *c)
{
  g_hash_table_destroy (c->known_states.jobs);
  g_array_free (c->known_states.untold, TRUE);
  g_array_free (c->known_states.sending, TRUE);
}

bool
state_reports_are_on (const struct cell *c)
{
  return c->settings.times.unconfirmed_state_s > 0;
}

/* Notes that JOB has STATE, and ended at ENDED_AT_MS if that is final. Returns
   false if that was known.  */
static bool
set_state (struct cell *c, uint64_t job, enum job_state state,
           uint64_t ended_at_ms)
{
  struct known_state *s = g_hash_table_lookup (c->known_states.jobs, &job);

  if (s != NULL && job_state_is_final (s->state))
    return false;
  if (s != NULL && s->state == state)
    {
      s->changed_token = c->known_states.token;
      return false;
    }
  if (s == NULL)
    {
      s = g_new0 (struct known_state, 1);
      s->job = job;
      g_hash_table_insert (c->known_states.jobs, &s->job, s);
    }
  s->state = state;
  s->ended_at_ms = ended_at_ms;
  s->changed_token = c->known_states.token;
  return true;
}

void
state_reports_note (struct cell *c, const struct job *j)
{
  struct job_report r = { .job = j->id, .state = jobs_state (j) };

  if (j->stored && set_state (c, r.job, r.state, j->ended_at_ms)
      && state_reports_are_on (c))
    g_array_append_val (c->known_states.untold, r);
}

/* Tells the states in SENDING on LINK_ID, or on all links that have been told
   any if that is 0.  */
static void
tell (struct cell *c, uint64_t link_id)
{
  const GArray *all = c->known_states.sending;
  uint32_t first = 0;

  do
    {
      struct cell_action *a = cell_emit (c, CELL_DO_TELL_STATES);

      a->u.states.link_id = link_id;
      a->u.states.token = c->known_states.token;
      a->u.states.items
          = (const struct job_report *)(const void *)all->data + first;
      a->u.states.item_count = MIN (all->len - first, BATCH_LIMIT_COUNT);
      first += a->u.states.item_count;
    }
  while (first < all->len);
}

/* Sets SENDING to the states that have changed under this owner.  */
static void
collect_changed (struct cell *c)
{
  GArray *items = c->known_states.sending;
  GHashTableIter it;
  gpointer value;

  g_array_set_size (items, 0);
  g_hash_table_iter_init (&it, c->known_states.jobs);
  while (g_hash_table_iter_next (&it, NULL, &value))
    {
      const struct known_state *s = value;
      struct job_report r = { .job = s->job, .state = s->state };

      if (s->changed_token == c->known_states.token)
        g_array_append_val (items, r);
    }
}

void
state_reports_on_linked (struct cell *c, const struct peer *p)
{
  if (!cell_is_owner (c) || !state_reports_are_on (c) || !p->takes_states)
    return;
  collect_changed (c);
  tell (c, p->link_id);
}

void
state_reports_begin (struct cell *c)
{
  GHashTableIter it;
  gpointer value;

  c->known_states.token = c->ownership.token;
  c->known_states.is_last_owner = true;
  c->known_states.counted_at_us = c->now_us;
  g_array_set_size (c->known_states.untold, 0);
  g_hash_table_iter_init (&it, c->jobs);
  while (g_hash_table_iter_next (&it, NULL, &value))
    state_reports_note (c, value);
  g_array_set_size (c->known_states.untold, 0);
  /* Entries that link to a new owner while it still reads the records.  */
  g_hash_table_iter_init (&it, c->peers);
  while (g_hash_table_iter_next (&it, NULL, &value))
    state_reports_on_linked (c, value);
}

void
state_reports_on_states (struct cell *c, const struct cell_event *e)
{
  struct known_states *k = &c->known_states;
  uint32_t i;

  if (cell_is_owner (c) || e->u.states.token < k->token)
    return;
  k->token = e->u.states.token;
  k->is_last_owner = false;
  for (i = 0; i < e->u.states.item_count; i++)
    set_state (c, e->u.states.items[i].job, e->u.states.items[i].state,
               c->wall_ms);
}

/* Tells the linked entries what has changed since the last batch.  */
static void
tell_changes (struct cell *c)
{
  struct known_states *k = &c->known_states;
  GArray *empty = k->sending;

  if (k->untold->len == 0
      || c->now_us < k->told_at_us + TELL_INTERVAL_MS * US_PER_MS)
    return;
  k->told_at_us = c->now_us;
  k->sending = k->untold;
  k->untold = empty;
  g_array_set_size (empty, 0);
  tell (c, 0);
}

static void
forget_old (struct cell *c)
{
  struct known_states *k = &c->known_states;
  GHashTableIter it;
  gpointer value;

  if (c->now_us < k->checked_at_us + EXPIRY_CHECK_MS * US_PER_MS)
    return;
  k->checked_at_us = c->now_us;
  g_hash_table_iter_init (&it, k->jobs);
  while (g_hash_table_iter_next (&it, NULL, &value))
    {
      const struct known_state *s = value;

      if (job_state_is_final (s->state)
              ? jobs_is_forgotten (c, s->ended_at_ms)
              : c->ownership.newest_token > s->changed_token
                    && c->now_us > c->ownership.newest_seen_at_us
                                       + TOLD_LIMIT_MS * US_PER_MS)
        g_hash_table_iter_remove (&it);
    }
}

void
state_reports_tick (struct cell *c)
{
  if (cell_is_owner (c))
    tell_changes (c);
  forget_old (c);
}
