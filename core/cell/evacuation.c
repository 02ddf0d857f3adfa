/* evacuation.c -- evacuated zones, whose runners take no new tasks.

   Each entry keeps the set that it has read from the operators' records
   (core/load/zones.c), so that a new owner has it before its first start.
   Only the owner knows the runners, applies the set to them, and logs.  */

#include "core/cell/state.h"

#include <string.h>

static uint32_t
count_runners (const struct cell *c, const char *zone)
{
  uint32_t n = 0;
  GHashTableIter it;
  gpointer value;

  g_hash_table_iter_init (&it, c->runners);
  while (g_hash_table_iter_next (&it, NULL, &value))
    {
      const struct runner *r = value;

      n += r->listed && strcmp (r->report.zone, zone) == 0;
    }
  return n;
}

/* Logs the zones of Z that NOW lacks and that had runners.  */
static void
log_returned (struct cell *c, const struct zones *z, const struct zones *now)
{
  uint32_t i;

  for (i = 0; i < z->count; i++)
    if (z->items[i].notice == ZONE_LOGGED_EVACUATED
        && !zones_contain (now, z->items[i].name))
      cell_log (c, "zone_returned", 0, "\"zone\":\"%s\",\"runners\":%u",
                z->items[i].name, count_runners (c, z->items[i].name));
}

void
evacuation_update_runners (struct cell *c)
{
  GHashTableIter it;
  gpointer value;
  uint32_t i;

  g_hash_table_iter_init (&it, c->runners);
  while (g_hash_table_iter_next (&it, NULL, &value))
    {
      struct runner *r = value;

      r->zone_evacuated = zones_contain (&c->evacuated, r->report.zone);
    }
  /* Before the whole list was read, a zone may only seem to be unknown.  */
  for (i = 0; c->runners_known && i < c->evacuated.count; i++)
    {
      struct zone *x = &c->evacuated.items[i];
      uint32_t n = count_runners (c, x->name);

      switch (zones_update_notice (x, n))
        {
        case ZONE_LOGGED_EVACUATED:
          cell_log (c, "zone_evacuated", 0, "\"zone\":\"%s\",\"runners\":%u",
                    x->name, n);
          break;
        case ZONE_LOGGED_UNKNOWN:
          cell_log (c, "evacuation_zone_unknown", 0, "\"zone\":\"%s\"",
                    x->name);
          break;
        case ZONE_NOT_LOGGED:
          break;
        }
    }
}

void
evacuation_on_zones (struct cell *c, const struct cell_event *e)
{
  struct zones new = { 0 };
  uint32_t i;

  new.count = e->u.evacuations.zone_count;
  new.items = talloc_zero_array (c, struct zone, new.count + 1);
  if (new.items == NULL)
    out_of_memory ();
  for (i = 0; i < new.count; i++)
    text_copy (new.items[i].name, NAME_BYTES, e->u.evacuations.zones[i]);
  zones_keep_notices (&new, &c->evacuated);
  log_returned (c, &c->evacuated, &new);
  talloc_free (c->evacuated.items);
  c->evacuated = new;
  if (!cell_is_owner (c))
    return;
  evacuation_update_runners (c);
  c->dispatch_due = true;
}
