/* former_owners.c -- which former owners may still act.

   An owner that was lost may not know it: while it is cut off or paused it
   goes on to renew leases, until its ownership timeout.  A new owner waits
   that long and a lease for the runs on runners that do not answer.  It waits
   for a lease only once each former owner is known to have ended.

   The heartbeat of an entry tells the newest claim that it has seen while it
   does not own the cell itself.  An entry that has seen our claim takes the
   cell by a newer claim only, and a process that was started again has none of
   its orders left.  All leases that it ordered before end within a lease.

   Claims name the former owners that their makers waited for: those of several
   owners in a row may still act, until the ownership timeout has passed since
   the claim.  */

#include "core/cell/state.h"

#include <string.h>

static void
add (struct former_owners *f, const char *member)
{
  if (f->count < FORMER_OWNER_LIMIT_COUNT)
    text_copy (f->names[f->count++], NAME_BYTES, member);
  else
    f->known = false;
}

/* Removes MEMBER from F.  Returns false if F does not name it.  */
static bool
remove_member (struct former_owners *f, const char *member)
{
  uint32_t i;

  for (i = 0; i < f->count; i++)
    if (strcmp (f->names[i], member) == 0)
      {
        f->count--;
        memmove (f->names[i], f->names[f->count], NAME_BYTES);
        return true;
      }
  return false;
}

void
former_owners_at_claim (const struct cell *c, struct former_owners *f)
{
  const struct ownership *o = &c->ownership;

  if (o->newest_token == 0)
    {
      memset (f, 0, sizeof *f);
      f->known = true;
      return;
    }
  *f = o->newest_former;
  /* They were lost before the newest claim was made.  */
  if (c->now_us >= o->newest_seen_at_us + OWNERSHIP_TIMEOUT_MS * US_PER_MS)
    *f = (struct former_owners){ .known = true };
  remove_member (f, o->newest_member);
  if (!o->newest_released)
    add (f, o->newest_member);
  remove_member (f, c->settings.member);
}

bool
former_owners_have_ended (const struct former_owners *f)
{
  return f->known && f->count == 0;
}

void
former_owners_check (struct cell *c)
{
  struct ownership *o = &c->ownership;
  uint64_t until_us = c->now_us + LEASE_LIMIT_MS * US_PER_MS;
  GHashTableIter it;
  gpointer value;

  if (o->phase != OWNERSHIP_RECOVERING && o->phase != OWNERSHIP_OWNER)
    return;
  g_hash_table_iter_init (&it, c->peers);
  while (o->former.count > 0 && g_hash_table_iter_next (&it, NULL, &value))
    {
      const struct peer *p = value;

      if (p->followed_token < o->token
          || !remove_member (&o->former, p->member))
        continue;
      if (former_owners_have_ended (&o->former)
          && until_us < o->unconfirmed_until_us)
        o->unconfirmed_until_us = until_us;
      cell_log (
          c, "former_owner_ended", 0,
          "\"member\":\"%s\",\"age_ms\":%llu,\"left\":%u,"
          "\"unconfirmed_ms\":%llu",
          p->member,
          (unsigned long long)((c->now_us - o->claimed_at_us) / US_PER_MS),
          o->former.count,
          (unsigned long long)(o->unconfirmed_until_us > c->now_us
                                   ? (o->unconfirmed_until_us - c->now_us)
                                         / US_PER_MS
                                   : 0));
    }
}
