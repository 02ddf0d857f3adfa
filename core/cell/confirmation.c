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

bool
confirmation_covers (struct cell *c, uint64_t at_us)
{
  if (c->ownership.confirmed_at_us >= at_us)
    return true;
  c->ownership.confirmation_wanted_us
      = MAX (c->ownership.confirmation_wanted_us, at_us);
  return false;
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
