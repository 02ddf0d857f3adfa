/* bench_control.c -- the control plane at the size that the users expect in
   two years.

   Prints a JSON line for each measure: commands applied per second, time of
   building the state from a day's records, size and times of a checkpoint.  */

#include "tests/records.h"

#include "adapter/record_json.h"
#include "core/control.h"

#include <glib.h>
#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define VM_COUNT 600
#define POOL_COUNT 29
#define TEAM_COUNT 46
/** Changes of a day; one in CONFIG_INTERVAL_COUNT edits the tables.  */
#define CHANGE_COUNT 510
#define CONFIG_INTERVAL_COUNT 10
#define MEMBER_COUNT 8
#define COMMAND_COUNT 200000
#define REPEAT_COUNT 20

static double
elapsed_s (gint64 start_us)
{
  return (double)(g_get_monotonic_time () - start_us) / G_USEC_PER_SEC;
}

/* Appends the JSON objects of POOL's VMs.  */
static void
add_vms (GString *s, guint pool)
{
  guint i;

  for (i = pool; i < VM_COUNT; i += POOL_COUNT)
    g_string_append_printf (
        s,
        "%s{\"name\":\"worker-%03u\",\"address\":\"10.0.%u.%u:8080\","
        "\"rack\":\"rack-%u\",\"zone\":\"az-%u\",\"slots\":8}",
        i > pool ? "," : "", i, i / 250, i % 250, i / 4, i % 3);
}

static gchar *
config_text (guint id, guint64 base_version)
{
  GString *s = g_string_new (NULL);
  guint i;

  g_string_printf (s,
                   "{\"id\":\"operator-7-edit-%u\",\"kind\":\"config\","
                   "\"tables\":{\"base_version\":%" G_GUINT64_FORMAT
                   ",\"teams\":[",
                   id, base_version);
  for (i = 0; i < TEAM_COUNT; i++)
    g_string_append_printf (
        s, "%s{\"name\":\"team-%02u\",\"share\":%u,\"ceiling\":%u}",
        i ? "," : "", i, i % 5 + 1, 100 + id % 7);
  g_string_append (s, "],\"pools\":[");
  for (i = 0; i < POOL_COUNT; i++)
    {
      g_string_append_printf (s, "%s{\"name\":\"pool-%02u\",\"vms\":[",
                              i ? "," : "", i);
      add_vms (s, i);
      g_string_append (s, "]}");
    }
  g_string_append (s, "],\"routes\":[");
  for (i = 0; i < 2 * POOL_COUNT; i++)
    g_string_append_printf (
        s, "%s{\"queue\":\"queue-%02u\",\"pool\":\"pool-%02u\"}", i ? "," : "",
        i, i % POOL_COUNT);
  g_string_append (s, "]}}");
  return g_string_free (s, FALSE);
}

static gchar *
key_text (guint id)
{
  guint8 digest[DIGEST_BYTES];
  gchar hex[2 * DIGEST_BYTES + 1];

  crypto_generichash (digest, sizeof digest, (const guint8 *)&id, sizeof id,
                      NULL, 0);
  sodium_bin2hex (hex, sizeof hex, digest, sizeof digest);
  return g_strdup_printf ("{\"id\":\"operator-7-key-%u\",\"kind\":"
                          "\"key_grant\",\"team\":\"team-%02u\",\"digest\":"
                          "\"%s\"}",
                          id, id % TEAM_COUNT, hex);
}

static gchar *
join_text (guint id)
{
  return g_strdup_printf ("{\"id\":\"entry-%u-join\",\"kind\":\"join\",\"vm\":"
                          "\"entry-%u\",\"zone\":\"az-1\",\"peer_address\":"
                          "\"10.1.0.%u:7200\"}",
                          id, id, id);
}

/* Returns a day's records as JSON texts.  */
static GPtrArray *
make_day_records (void)
{
  GPtrArray *day = g_ptr_array_new_with_free_func (g_free);
  guint64 version = 0;
  guint i;

  for (i = 0; i < MEMBER_COUNT; i++)
    g_ptr_array_add (day, join_text (i));
  for (i = 0; i < CHANGE_COUNT; i++)
    if (i % CONFIG_INTERVAL_COUNT == 0)
      {
        g_ptr_array_add (day, config_text (i, version));
        version = day->len;
      }
    else
      g_ptr_array_add (day, key_text (i));
  return day;
}

static struct record *
decode (const gchar *text)
{
  json_t *j = json_loads (text, 0, NULL);
  struct record *r = record_from_json (NULL, j);

  json_decref (j);
  g_assert_nonnull (r);
  return r;
}

/* Decodes and applies a day's records, as a new entry does.  */
static struct control *
replay (const GPtrArray *day)
{
  struct control *c = control_new (NULL);
  guint i;

  for (i = 0; i < day->len; i++)
    {
      struct record *r = decode (g_ptr_array_index (day, i));

      g_assert_cmpint (control_apply (c, i, r), ==, APPLY_OK);
      talloc_free (r);
    }
  return c;
}

static void
bench_apply (const GPtrArray *day)
{
  struct control *c = replay (day);
  gint64 start_us = g_get_monotonic_time ();
  double apply_s;
  guint i;

  for (i = 0; i < COMMAND_COUNT; i++)
    {
      struct record r
          = { .kind = i % 2 ? RECORD_KEY_WITHDRAW : RECORD_KEY_GRANT };

      snprintf (r.id, ID_BYTES, "bench-%u", i);
      memcpy (r.u.key.digest, &(guint){ i / 2 }, sizeof (guint));
      text_copy (r.u.key.team, NAME_BYTES, "team-01");
      control_apply (c, day->len + i, &r);
    }
  apply_s = elapsed_s (start_us);
  printf ("{\"bench\":\"control_apply\",\"commands\":%d,\"per_s\":%.0f}\n",
          COMMAND_COUNT, COMMAND_COUNT / apply_s);
  talloc_free (c);
}

static void
bench_replay (const GPtrArray *day)
{
  gint64 start_us = g_get_monotonic_time ();
  gsize total_bytes = 0;
  guint i;

  for (i = 0; i < REPEAT_COUNT; i++)
    talloc_free (replay (day));
  for (i = 0; i < day->len; i++)
    total_bytes += strlen (g_ptr_array_index (day, i));
  printf ("{\"bench\":\"control_replay_day\",\"records\":%u,\"bytes\":%zu,"
          "\"ms\":%.2f}\n",
          day->len, total_bytes, elapsed_s (start_us) * 1000 / REPEAT_COUNT);
}

static char *
encode_checkpoint (const struct control *c)
{
  json_t *j = records_checkpoint (c);
  char *text = json_dumps (j, JSON_COMPACT);

  json_decref (j);
  return text;
}

static void
bench_checkpoint (const GPtrArray *day)
{
  struct control *c = replay (day);
  gint64 start_us = g_get_monotonic_time ();
  char *text = NULL;
  double write_s;
  guint i;

  for (i = 0; i < REPEAT_COUNT; i++)
    {
      free (text);
      text = encode_checkpoint (c);
    }
  write_s = elapsed_s (start_us);
  start_us = g_get_monotonic_time ();
  for (i = 0; i < REPEAT_COUNT; i++)
    {
      struct control *other = control_new (NULL);
      struct record *r = decode (text);

      g_assert_true (control_restore (other, r->u.checkpoint));
      talloc_free (r);
      talloc_free (other);
    }
  printf ("{\"bench\":\"control_checkpoint\",\"bytes\":%zu,\"write_ms\":%.2f,"
          "\"restore_ms\":%.2f}\n",
          strlen (text), write_s * 1000 / REPEAT_COUNT,
          elapsed_s (start_us) * 1000 / REPEAT_COUNT);
  free (text);
  talloc_free (c);
}

int
main (void)
{
  GPtrArray *day;

  if (sodium_init () < 0)
    return 1;
  day = make_day_records ();
  bench_apply (day);
  bench_replay (day);
  bench_checkpoint (day);
  g_ptr_array_free (day, TRUE);
  return 0;
}
