/* operator_records.c -- what the operators' records tell the cell.

   A listing may have several pages, and the pages list keys in any order.  The
   configuration is kept back until the zones are posted, so that no task
   starts in an evacuated zone because only the configuration was read.  */

#include "adapter/operator_records.h"

#include <glib.h>

struct operator_records
{
  struct ring *cell;
  GHashTable *zones;  /**< Names of the evacuated zones.  */
  GHashTable *listed; /**< Those of the pages of a listing so far.  */
  bool changed;       /**< zones was not posted as it is.  */
  GPtrArray *held;    /**< struct cell_event.  */
};

static void
drop_held (struct operator_records *s)
{
  guint i;

  for (i = 0; i < s->held->len; i++)
    talloc_free (g_ptr_array_index (s->held, i));
  g_ptr_array_set_size (s->held, 0);
}

static int
operator_records_free (struct operator_records *s)
{
  drop_held (s);
  g_ptr_array_free (s->held, TRUE);
  g_hash_table_destroy (s->zones);
  g_hash_table_destroy (s->listed);
  return 0;
}

struct operator_records *
operator_records_new (TALLOC_CTX *mem, struct ring *cell)
{
  struct operator_records *s = talloc_zero (mem, struct operator_records);

  if (s == NULL)
    out_of_memory ();
  s->cell = cell;
  s->zones = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  s->listed = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  s->held = g_ptr_array_new ();
  talloc_set_destructor (s, operator_records_free);
  return s;
}

void
operator_records_begin_listing (struct operator_records *s)
{
  drop_held (s);
  g_hash_table_remove_all (s->listed);
}

void
operator_records_set_zone (struct operator_records *s, const char *zone,
                           bool evacuated, bool of_listing)
{
  GHashTable *set = of_listing ? s->listed : s->zones;
  bool changed = evacuated ? g_hash_table_add (set, g_strdup (zone))
                           : g_hash_table_remove (set, zone);

  s->changed = s->changed || (changed && !of_listing);
}

void
operator_records_hold (struct operator_records *s, struct cell_event *e)
{
  g_ptr_array_add (s->held, e);
}

/* Returns true if the sets of names A and B are equal.  */
static bool
is_same_set (GHashTable *a, GHashTable *b)
{
  GHashTableIter it;
  gpointer name;

  if (g_hash_table_size (a) != g_hash_table_size (b))
    return false;
  g_hash_table_iter_init (&it, a);
  while (g_hash_table_iter_next (&it, &name, NULL))
    if (!g_hash_table_contains (b, name))
      return false;
  return true;
}

void
operator_records_end_listing (struct operator_records *s)
{
  GHashTable *old = s->zones;

  s->changed = s->changed || !is_same_set (old, s->listed);
  s->zones = s->listed;
  s->listed = old;
  g_hash_table_remove_all (old);
}

/* Posts the evacuated zones.  Returns false if the ring was full.  */
static bool
post_zones (struct operator_records *s)
{
  struct cell_event *e = cell_event_new (CELL_EVACUATIONS);
  uint32_t n = g_hash_table_size (s->zones);
  GHashTableIter it;
  gpointer name;

  e->u.evacuations.zones
      = talloc_zero_size (e, (n + 1) * sizeof *e->u.evacuations.zones);
  if (e->u.evacuations.zones == NULL)
    out_of_memory ();
  g_hash_table_iter_init (&it, s->zones);
  while (g_hash_table_iter_next (&it, &name, NULL))
    text_copy (e->u.evacuations.zones[e->u.evacuations.zone_count++],
               NAME_BYTES, name);
  return cell_post (s->cell, e);
}

bool
operator_records_post (struct operator_records *s)
{
  guint i;

  if (s->changed && !post_zones (s))
    return false;
  s->changed = false;
  for (i = 0; i < s->held->len; i++)
    cell_post (s->cell, g_ptr_array_index (s->held, i));
  g_ptr_array_set_size (s->held, 0);
  return true;
}
