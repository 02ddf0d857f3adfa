/* test_control.c -- configuration and key commands across entry processes.

   Guards against entries that disagree on the configuration, that revert an
   accepted one or that go on taking a withdrawn key.  The causes: operators
   who edit the same version, a log that is down, unreachable for one entry or
   has dropped records not yet read, and entries replaced by new processes.  */

#include "tests/cluster.h"

#include <signal.h>
#include <sodium.h>
#include <string.h>

#define ENTRY_COUNT 3
#define WAIT_TIMEOUT_US (20 * G_USEC_PER_SEC)
#define POLL_INTERVAL_US 10000
#define TRIAL_COUNT 20
#define WITHDRAWAL_LIMIT_US (2 * G_USEC_PER_SEC)
/* Cut off from the log in one test, paused in another.  */
#define FAULTY_ENTRY 2

static struct cluster *cluster;
static guint next_id;

/* Sends a request with KEY to ENTRY and returns the answer's status.  */
static guint
post (guint entry, const gchar *key)
{
  struct blob *b = blob_copy ("x", 1);
  struct http_result r;

  cluster_call ("POST", cluster_entry_port (cluster, entry),
                "/v1/queues/tickets", key, b, &r);
  blob_unref (r.body);
  blob_unref (b);
  return r.status;
}

/* Returns the field NAME of ENTRY's status; 0 or 1 for a boolean.  */
static gint64
status_field (guint entry, const gchar *name)
{
  json_t *j = cluster_get (cluster_entry_port (cluster, entry), "/v1/status");
  const json_t *v = json_object_get (j, name);
  gint64 n = json_is_boolean (v) ? json_is_true (v) : json_integer_value (v);

  json_decref (j);
  return n;
}

/* Waits until entry I answers with STATUS; returns the time in us.  */
static gint64
wait_for_status (guint i, const gchar *key, guint status)
{
  gint64 deadline_us = g_get_monotonic_time () + WAIT_TIMEOUT_US;

  while (post (i, key) != status)
    {
      g_assert_cmpint (g_get_monotonic_time (), <, deadline_us);
      g_usleep (POLL_INTERVAL_US);
    }
  return g_get_monotonic_time ();
}

/* Appends an edit of configuration BASE_VERSION that sets kandy's CEILING.  */
static void
append_config (gint64 base_version, guint ceiling)
{
  gchar *text = g_strdup_printf (
      "{\"id\":\"op-%u\",\"kind\":\"config\",\"tables\":{\"base_version\":"
      "%" G_GINT64_FORMAT ",\"teams\":[{\"name\":\"kandy\",\"ceiling\":%u}],"
      "\"pools\":[{\"name\":\"menders\",\"vms\":[{\"name\":\"w0\",\"address\":"
      "\"127.0.0.1:%u\",\"slots\":30}]}],\"routes\":[{\"queue\":\"tickets\","
      "\"pool\":\"menders\",\"idempotent\":true,\"timeout_ms\":4000}]}}",
      ++next_id, base_version, ceiling, cluster->worker_port);

  cluster_append (cluster, text);
  g_free (text);
}

/* Appends a command of KIND (key_grant or key_withdraw) for KEY.  */
static void
append_key_command (const gchar *kind, const gchar *key)
{
  guint8 digest[32];
  gchar hex[65];
  gchar *text;

  crypto_generichash (digest, sizeof digest, (const guint8 *)key, strlen (key),
                      NULL, 0);
  sodium_bin2hex (hex, sizeof hex, digest, sizeof digest);
  text = g_strdup_printf ("{\"id\":\"op-%u\",\"kind\":\"%s\",\"team\":"
                          "\"kandy\",\"digest\":\"%s\"}",
                          ++next_id, kind, hex);
  cluster_append (cluster, text);
  g_free (text);
}

/* Of two edits of one version every entry accepts the first only.  */
static void
test_racing_edits (void)
{
  gint64 version = status_field (0, "config_version");
  guint i;

  append_config (version, 50);
  append_config (version, 51);
  cluster_wait_version (cluster, version + 1);
  append_key_command ("key_grant", "marker");
  for (i = 0; i < ENTRY_COUNT; i++)
    {
      wait_for_status (i, "marker", 200);
      g_assert_cmpint (status_field (i, "config_version"), ==,
                       status_field (0, "config_version"));
    }
}

/* Grants a key, withdraws it, and returns the longest time in us that an entry
   went on taking work with it.  */
static gint64
time_withdrawal (guint trial)
{
  gchar *key = g_strdup_printf ("key-of-trial-%u", trial);
  gint64 start_us;
  gint64 longest_us = 0;
  guint i;

  append_key_command ("key_grant", key);
  for (i = 0; i < ENTRY_COUNT; i++)
    wait_for_status (i, key, 200);
  append_key_command ("key_withdraw", key);
  start_us = g_get_monotonic_time ();
  for (i = 0; i < ENTRY_COUNT; i++)
    longest_us = MAX (longest_us, wait_for_status (i, key, 401) - start_us);
  for (i = 0; i < ENTRY_COUNT; i++)
    g_assert_cmpuint (post (i, key), ==, 401);
  g_free (key);
  return longest_us;
}

/* An entry that is cut off from the log learns of withdrawn keys from its
   peers.  */
static void
test_withdrawn_key (void)
{
  gint64 longest_us = 0;
  guint i;

  cluster_fault (cluster->log_port, "down_port",
                 cluster->log_port + FAULTY_ENTRY);
  g_usleep (3 * G_USEC_PER_SEC);
  for (i = 0; i < TRIAL_COUNT; i++)
    longest_us = MAX (longest_us, time_withdrawal (i));
  g_test_message ("longest time to refuse a withdrawn key in %u trials: "
                  "%" G_GINT64_FORMAT " ms",
                  TRIAL_COUNT, longest_us / 1000);
  g_assert_cmpint (longest_us, <, WITHDRAWAL_LIMIT_US);
  g_assert_cmpint (status_field (FAULTY_ENTRY, "log_age_ms"), >, 3000);
  cluster_fault (cluster->log_port, "down_port", 0);
}

/* The entries go on serving, with the same configuration, while the log is
   down for longer than fresh_limit_ms (5 s), and take changes afterwards.  */
static void
test_log_down (void)
{
  gint64 version = status_field (0, "config_version");
  guint second;
  guint i;

  cluster_fault (cluster->log_port, "down", 1);
  for (second = 0; second < 8; second++)
    {
      g_usleep (G_USEC_PER_SEC);
      for (i = 0; i < ENTRY_COUNT; i++)
        g_assert_cmpuint (post (i, "kandy-key"), ==, 200);
    }
  for (i = 0; i < ENTRY_COUNT; i++)
    g_assert_cmpint (status_field (i, "config_version"), ==, version);
  cluster_fault (cluster->log_port, "down", 0);
  append_config (version, 40);
  cluster_wait_version (cluster, version + 1);
}

/* Waits until entry I has applied every record of the log.  */
static void
wait_log_applied (guint i)
{
  gint64 deadline_us = g_get_monotonic_time () + WAIT_TIMEOUT_US;
  json_t *j = cluster_get (cluster->log_port, "/v1/read?from=0&max=1");
  gint64 next = json_integer_value (json_object_get (j, "next"));

  json_decref (j);
  while (status_field (i, "next_offset") < next)
    {
      g_assert_cmpint (g_get_monotonic_time (), <, deadline_us);
      g_usleep (POLL_INTERVAL_US);
    }
}

/* An entry is paused while the log drops records that it has not read.  It
   must not take a key that was withdrawn meanwhile, and gets the state from a
   checkpoint.  */
static void
test_retention (void)
{
  gint64 version = status_field (0, "config_version");
  guint i;

  cluster_signal_entry (cluster, FAULTY_ENTRY, SIGSTOP);
  append_config (version, 30);
  append_key_command ("key_withdraw", "marker");
  for (i = 0; i < 20; i++)
    cluster_append (cluster, "{\"kind\":\"nothing\"}");
  /* The live entries read the records before the log drops them.  */
  for (i = 0; i < FAULTY_ENTRY; i++)
    wait_log_applied (i);
  cluster_fault (cluster->log_port, "retain", 8);
  g_usleep (7 * G_USEC_PER_SEC);
  cluster_signal_entry (cluster, FAULTY_ENTRY, SIGCONT);
  g_assert_cmpuint (post (FAULTY_ENTRY, "marker"), !=, 200);
  cluster_wait_version (cluster, version + 1);
  wait_for_status (FAULTY_ENTRY, "marker", 401);
  g_assert_cmpuint (post (FAULTY_ENTRY, "kandy-key"), ==, 200);
}

/* Entries, which keep no files, are replaced one by one, then all at once,
   after the log has dropped its first records.  */
static void
test_replaced_entries (void)
{
  gint64 version = status_field (0, "config_version");
  guint i;

  /* Fewer records than were written, but enough for those that replacing all
     entries writes: leaves, joins and settlements.  */
  cluster_fault (cluster->log_port, "retain", 40);
  for (i = 0; i < ENTRY_COUNT; i++)
    {
      cluster_signal_entry (cluster, i, SIGTERM);
      cluster_start_entry (cluster, i);
      cluster_wait_version (cluster, version);
    }
  for (i = 0; i < ENTRY_COUNT; i++)
    cluster_signal_entry (cluster, i, SIGKILL);
  for (i = 0; i < ENTRY_COUNT; i++)
    cluster_start_entry (cluster, i);
  cluster_wait_version (cluster, version);
  for (i = 0; i < ENTRY_COUNT; i++)
    {
      g_assert_cmpint (status_field (i, "config_version"), ==, version);
      wait_for_status (i, "kandy-key", 200);
      g_assert_cmpuint (post (i, "marker"), ==, 401);
    }
}

int
main (int argc, char **argv)
{
  int code;

  cluster_init (&argc, &argv);
  cluster = cluster_start (ENTRY_COUNT, 8);
  cluster_publish (cluster, 60);
  cluster_wait_version (cluster, 1);
  g_test_add_func ("/control/race", test_racing_edits);
  g_test_add_func ("/control/withdrawn_key", test_withdrawn_key);
  g_test_add_func ("/control/log_down", test_log_down);
  g_test_add_func ("/control/retention", test_retention);
  g_test_add_func ("/control/replaced", test_replaced_entries);
  code = g_test_run ();
  cluster_stop (cluster);
  return code;
}
