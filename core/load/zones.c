/* zones.c -- the zones that are evacuated.

   Load: a whole zone of a deployment stops taking work at once, and the other
   zones have to carry all of it until the zone returns.  There are few zones,
   so they are searched one by one.  */

#include "core/load/zones.h"

#include <string.h>

struct zone *
zones_find (const struct zones *z, const char *name)
{
  uint32_t i;

  if (name[0] == '\0')
    return NULL;
  for (i = 0; i < z->count; i++)
    if (strcmp (z->items[i].name, name) == 0)
      return &z->items[i];
  return NULL;
}

bool
zones_contain (const struct zones *z, const char *name)
{
  return zones_find (z, name) != NULL;
}

void
zones_keep_notices (struct zones *to, const struct zones *from)
{
  uint32_t i;

  for (i = 0; i < to->count; i++)
    {
      const struct zone *x = zones_find (from, to->items[i].name);

      if (x != NULL)
        to->items[i].notice = x->notice;
    }
}

void
zones_clear_notices (struct zones *z)
{
  uint32_t i;

  for (i = 0; i < z->count; i++)
    z->items[i].notice = ZONE_NOT_LOGGED;
}

enum zone_notice
zones_update_notice (struct zone *x, uint32_t runner_count)
{
  enum zone_notice n
      = runner_count > 0 ? ZONE_LOGGED_EVACUATED : ZONE_LOGGED_UNKNOWN;

  if (x->notice >= n)
    return ZONE_NOT_LOGGED;
  x->notice = n;
  return n;
}
