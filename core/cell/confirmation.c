/* confirmation.c -- proof that this entry has still been the owner.

   An owner that is cut off does not know that another entry has taken the
   cell, for up to the ownership timeout.  What it sees then may have causes
   that it can't know of: the new owner renews the leases of runners that are
   silent here, stops their runs, and notes their ends.

   A new owner fences the records before it asks any runner.  So once an append
   under our token is stored, no new owner had acted when it was sent.  A run
   that was over by then is over for every owner: either a later one finds it
   among the ends of its runner, or its end does not count any more.

   The holder that the store's group names proves less: the group may assign
   the cell back to a member that another one has followed as owner.  */

#include "core/cell/state.h"

/** An append is requested when joins are answered this long after the newest
    proof of the ownership: the claims, which are read more often, cannot be
    read.  */
#define PROOF_AGE_MS 4000
/** Tasks that wait are logged once one has waited this long, and then at this
    interval.  */
#define LOG_MS 1000

bool
confirmation_covers (struct cell *c, uint64_t at_us)
{
  if (c->ownership.confirmed_at_us >= at_us)
    return true;
  c->ownership.confirmation_wanted_us
      = MAX (c->ownership.confirmation_wanted_us, at_us);
  return false;
}

/* Counts T among the tasks that wait in this round.  */
static void
note_unconfirmed (struct cell *c, struct task *t)
{
  struct unconfirmed_tasks *u = &c->unconfirmed_tasks;

  if (t->unconfirmed_at_us == 0)
    t->unconfirmed_at_us = c->now_us;
  if (u->count == 0 || t->unconfirmed_at_us < u->since_us)
    {
      u->since_us = t->unconfirmed_at_us;
      u->job = task_job (t)->id;
    }
  u->count++;
}

bool
confirmation_covers_task (struct cell *c, struct task *t, uint64_t at_us)
{
  if (!confirmation_covers (c, at_us))
    {
      note_unconfirmed (c, t);
      return false;
    }
  if (t->unconfirmed_at_us > 0)
    cell_histogram_add (c->metrics.confirmation_ms,
                        (c->now_us - t->unconfirmed_at_us) / US_PER_MS);
  t->unconfirmed_at_us = 0;
  return true;
}

void
confirmation_end_round (struct cell *c)
{
  struct unconfirmed_tasks *u = &c->unconfirmed_tasks;
  uint32_t n = u->count;

  u->count = 0;
  if (n == 0 || c->now_us < u->since_us + LOG_MS * US_PER_MS
      || c->now_us < u->logged_at_us + LOG_MS * US_PER_MS)
    return;
  u->logged_at_us = c->now_us;
  cell_log (c, "starts_unconfirmed", u->job,
            "\"token\":%llu,\"tasks\":%u,\"waited_ms\":%llu,"
            "\"confirmed_ms\":%llu,\"append_ms\":%llu,\"join_age_ms\":%llu",
            (unsigned long long)c->ownership.token, n,
            (unsigned long long)((c->now_us - u->since_us) / US_PER_MS),
            (unsigned long long)((c->now_us - c->ownership.confirmed_at_us)
                                 / US_PER_MS),
            (unsigned long long)(c->append.in_flight
                                     ? (c->now_us - c->append.began_at_us)
                                           / US_PER_MS
                                     : 0),
            (unsigned long long)((c->now_us - c->ownership.joined_at_us)
                                 / US_PER_MS));
}

bool
confirmation_wait_is_over (const struct cell *c)
{
  return c->ownership.confirmed_at_us >= c->ownership.unconfirmed_until_us;
}

void
confirmation_tick (struct cell *c)
{
  uint64_t until_us = c->ownership.unconfirmed_until_us;

  if (c->now_us >= until_us)
    confirmation_covers (c, until_us);
  if (c->ownership.joined_at_us
      >= ownership_proved_us (c) + PROOF_AGE_MS * US_PER_MS)
    confirmation_covers (c, c->ownership.joined_at_us);
}

bool
confirmation_is_due (const struct cell *c)
{
  return c->ownership.confirmation_wanted_us > c->ownership.confirmed_at_us;
}

void
confirmation_on_stored (struct cell *c)
{
  c->dispatch_due = c->dispatch_due || confirmation_is_due (c);
  /* An append that is sent again may have been stored at the first time.  */
  c->ownership.confirmed_at_us = c->append.began_at_us;
}
