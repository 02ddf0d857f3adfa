/* test_limits.c -- ceilings hold while an entry is frozen and another killed.

   8 entries and 3 teams with more load than the workers have slots.  One entry
   is frozen for longer than the route's timeout, another is killed and started
   again.  By the workers' own counts no team may exceed its ceiling and no
   worker its slots, and afterwards all tokens must be usable again.  */

#include "tests/cluster.h"

#include <curl/curl.h>
#include <pthread.h>
#include <signal.h>
#include <sodium.h>
#include <stdatomic.h>
#include <string.h>

#define ENTRY_COUNT 8
#define WORKER_COUNT 4
#define TEAM_COUNT 3
#define TEAM_CEILING_COUNT 12
#define CALLERS_PER_TEAM 24
#define FROZEN_ENTRY 1
#define KILLED_ENTRY 2
#define ROUTE_TIMEOUT_S 4
#define FROZEN_S 20
#define CALL_TIMEOUT_MS 30000

static const gchar *const teams[TEAM_COUNT]
    = { "menders", "villages", "coordinators" };
static struct cluster *cluster;
static atomic_bool ending;
static atomic_int answered_count;

static void
publish_tables (void)
{
  GString *s = g_string_new ("{\"id\":\"c\",\"kind\":\"config\",\"tables\":{"
                             "\"base_version\":0,\"teams\":[");
  guint i;

  for (i = 0; i < TEAM_COUNT; i++)
    g_string_append_printf (s, "%s{\"name\":\"%s\",\"ceiling\":%d}",
                            i > 0 ? "," : "", teams[i], TEAM_CEILING_COUNT);
  g_string_append (s, "],\"pools\":[{\"name\":\"p\",\"vms\":[");
  for (i = 0; i < WORKER_COUNT; i++)
    g_string_append_printf (s,
                            "%s{\"name\":\"w%u\",\"address\":"
                            "\"127.0.0.1:%u\",\"slots\":8}",
                            i > 0 ? "," : "", i, cluster->worker_port + i);
  g_string_append_printf (s,
                          "]}],\"routes\":[{\"queue\":\"q\",\"pool\":\"p\","
                          "\"timeout_ms\":%d}]}}",
                          ROUTE_TIMEOUT_S * 1000);
  cluster_append (cluster, s->str);
  g_string_free (s, TRUE);
}

/* Grants TEAM a key that is its name.  */
static void
grant_key (const gchar *team)
{
  guint8 digest[32];
  gchar hex[65];
  gchar *text;

  crypto_generichash (digest, sizeof digest, (const guint8 *)team,
                      strlen (team), NULL, 0);
  sodium_bin2hex (hex, sizeof hex, digest, sizeof digest);
  text = g_strdup_printf ("{\"id\":\"g-%s\",\"kind\":\"key_grant\",\"team\":"
                          "\"%s\",\"digest\":\"%s\"}",
                          team, team, hex);
  cluster_append (cluster, text);
  g_free (text);
}

static size_t
drop_body (char *data, size_t size, size_t count, void *state)
{
  (void)data;
  (void)state;
  return size * count;
}

/* Sends one request for TEAM to ENTRY.  Returns its HTTP status; 0: no
   answer.  */
static long
post (CURL *easy, guint entry, const gchar *team)
{
  gchar *url = g_strdup_printf ("http://127.0.0.1:%u/v1/queues/q",
                                cluster_entry_port (cluster, entry));
  gchar *key = g_strdup_printf ("Authorization: Bearer %s", team);
  struct curl_slist *lines = curl_slist_append (NULL, key);
  long status = 0;

  curl_easy_setopt (easy, CURLOPT_URL, url);
  curl_easy_setopt (easy, CURLOPT_HTTPHEADER, lines);
  curl_easy_setopt (easy, CURLOPT_POSTFIELDS, "run_ms=100");
  curl_easy_setopt (easy, CURLOPT_WRITEFUNCTION, drop_body);
  curl_easy_setopt (easy, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt (easy, CURLOPT_TIMEOUT_MS, (long)CALL_TIMEOUT_MS);
  if (curl_easy_perform (easy) == CURLE_OK)
    curl_easy_getinfo (easy, CURLINFO_RESPONSE_CODE, &status);
  curl_slist_free_all (lines);
  g_free (key);
  g_free (url);
  return status;
}

/* Sends one request at a time, to each entry in turn, except the two that have
   faults.  Uses libcurl's blocking calls and no tevent loop: this process
   forks while callers run, and at a fork tevent locks every loop of the
   process, more locks at once than TSan can track.  */
static void *
run_caller (void *state)
{
  guint n = GPOINTER_TO_UINT (state);
  const gchar *team = teams[n % TEAM_COUNT];
  CURL *easy = curl_easy_init ();

  while (!atomic_load (&ending))
    {
      guint entry = n++ % ENTRY_COUNT;

      if (entry == FROZEN_ENTRY || entry == KILLED_ENTRY)
        continue;
      if (post (easy, entry, team) == 200)
        atomic_fetch_add (&answered_count, 1);
      else
        g_usleep (20000);
    }
  curl_easy_cleanup (easy);
  return NULL;
}

static gint64
team_number (const gchar *team, const gchar *field)
{
  json_t *j = cluster_get (cluster->worker_port, "/report");
  gint64 n = json_integer_value (json_object_get (
      json_object_get (json_object_get (j, "teams"), team), field));

  json_decref (j);
  return n;
}

static gint64
report_number (const gchar *field)
{
  json_t *j = cluster_get (cluster->worker_port, "/report");
  gint64 n = json_integer_value (json_object_get (j, field));

  json_decref (j);
  return n;
}

static void
check_ceilings (const gchar *moment)
{
  guint i;

  for (i = 0; i < TEAM_COUNT; i++)
    {
      g_test_message ("%s: %s high water %" G_GINT64_FORMAT " of %d", moment,
                      teams[i], team_number (teams[i], "high_water"),
                      TEAM_CEILING_COUNT);
      g_assert_cmpint (team_number (teams[i], "high_water"), <=,
                       TEAM_CEILING_COUNT);
    }
  g_assert_cmpint (report_number ("overfilled"), ==, 0);
  g_assert_cmpint (report_number ("cut"), ==, 0);
}

/* Returns how many requests are answered with 200 in the next SECONDS.  */
static gint
count_answers (guint seconds)
{
  gint before = atomic_load (&answered_count);

  g_usleep (seconds * G_USEC_PER_SEC);
  return atomic_load (&answered_count) - before;
}

static void
test_frozen_and_killed (void)
{
  pthread_t t[TEAM_COUNT * CALLERS_PER_TEAM];
  gint healthy;
  gint frozen;
  gint after;
  guint i;

  for (i = 0; i < G_N_ELEMENTS (t); i++)
    pthread_create (&t[i], NULL, run_caller, GUINT_TO_POINTER (i));
  g_usleep (2 * G_USEC_PER_SEC);
  healthy = count_answers (3);
  cluster_signal_entry (cluster, FROZEN_ENTRY, SIGSTOP);
  frozen = count_answers (3);
  check_ceilings ("frozen");
  cluster_signal_entry (cluster, KILLED_ENTRY, SIGKILL);
  cluster_start_entry (cluster, KILLED_ENTRY);
  g_usleep ((FROZEN_S - 3) * G_USEC_PER_SEC);
  cluster_signal_entry (cluster, FROZEN_ENTRY, SIGCONT);
  g_usleep ((ROUTE_TIMEOUT_S + 3) * G_USEC_PER_SEC);
  after = count_answers (3);
  atomic_store (&ending, true);
  for (i = 0; i < G_N_ELEMENTS (t); i++)
    pthread_join (t[i], NULL);
  check_ceilings ("after");
  g_test_message ("answers in 3 s: healthy %d, frozen %d, after %d", healthy,
                  frozen, after);
  /* The task leases of the killed entry have expired, so all tokens are usable
     again: at least 80 % of the answers before the faults.  */
  g_assert_cmpint (after * 10, >=, healthy * 8);
}

int
main (int argc, char **argv)
{
  int code;
  guint i;

  cluster_init (&argc, &argv);
  cluster = cluster_start (ENTRY_COUNT, WORKER_COUNT);
  publish_tables ();
  for (i = 0; i < TEAM_COUNT; i++)
    grant_key (teams[i]);
  cluster_wait_version (cluster, 1);
  g_test_add_func ("/limits/frozen_and_killed", test_frozen_and_killed);
  code = g_test_run ();
  cluster_stop (cluster);
  return code;
}
