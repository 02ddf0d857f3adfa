/* limit.c -- how much of each limit this entry may use.

   The static split: each member has an equal part of every limit, and the
   first members in join order have the remainder.  It is the baseline that
   the token ledger is measured against.  */

#include "core/state.h"

static uint32_t
split (const struct core *c, uint32_t total)
{
  uint32_t n = c->control->member_count;
  uint32_t i;

  for (i = 0; i < n; i++)
    if (c->control->members[i].incarnation == c->incarnation)
      return total / n + (i < total % n ? 1 : 0);
  return 0;
}

uint32_t
core_team_limit (const struct core *c, uint32_t index)
{
  return split (c, c->control->config->teams[index].ceiling_count);
}

uint32_t
core_vm_limit (const struct core *c, uint32_t index)
{
  return split (c, c->control->config->vms[index].slot_count);
}

void
core_limit_tick (struct core *c)
{
  (void)c;
}
