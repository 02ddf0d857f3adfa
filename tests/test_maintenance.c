/* test_maintenance.c -- a wave over whole processes, under load.

   Guards against a wave that exceeds an availability budget, reboots a VM
   twice or while a request runs on it, or loses the answer to a request
   whose entry was not killed.  Three entries serve eight workers in two pools
   while answers of the fleet service are lost, the log is down and entries are
   killed.  The stand-ins' own counts are checked.  */

#include "tests/cluster.h"

#include <pthread.h>
#include <signal.h>
#include <stdatomic.h>
#include <string.h>

#define WORKER_COUNT 8
#define CLIENT_COUNT 18
#define WAVE_TIMEOUT_US (40 * G_USEC_PER_SEC)
#define POLL_INTERVAL_US 50000
#define LOG_DOWN_US 1500000

static struct cluster *cluster;
static atomic_bool stopping;
static atomic_int answered_count;
static atomic_int refused_count;
/* Calls with no answer, or with a status other than 200, 4xx and 5xx, from an
   entry that was not killed.  */
static atomic_int broken_count;
static atomic_bool entry_killed[3];

/* Sends one request after another to an entry until the test stops.  */
static void *
send_load (void *state)
{
  guint client_index = GPOINTER_TO_UINT (state);
  const gchar *queue = client_index % 2 ? "open" : "tickets";
  gchar *path = g_strconcat ("/v1/queues/", queue, NULL);
  struct blob *b = blob_copy ("run_ms=600", 10);

  while (!stopping)
    {
      struct http_result r;
      guint16 port = cluster_entry_port (cluster, client_index % 3);

      cluster_call ("POST", port, path, "kandy-key", b, &r);
      if (r.answered && r.status == 200)
        answered_count++;
      else if (r.answered && r.status >= 400)
        refused_count++;
      else if (!entry_killed[client_index % 3])
        broken_count++;
      if (!r.answered || r.status != 200)
        g_usleep (POLL_INTERVAL_US);
      blob_unref (r.body);
    }
  blob_unref (b);
  g_free (path);
  return NULL;
}

/* Tells the fleet service its VMs: the first half in pool menders, the others
   in pool office, four to a rack.  */
static void
put_vms (void)
{
  GString *s = g_string_new ("[");
  struct http_result r;
  struct blob *b;
  guint i;

  for (i = 0; i < WORKER_COUNT; i++)
    g_string_append_printf (
        s, "%s{\"name\":\"w%u\",\"pool\":\"%s\",\"rack\":\"r%u\",\"port\":%u}",
        i ? "," : "", i, i < WORKER_COUNT / 2 ? "menders" : "office", i / 4,
        cluster->worker_port + i);
  g_string_append (s, "]");
  b = blob_copy (s->str, (uint32_t)s->len);
  cluster_call ("POST", cluster->fleet_port, "/vms", NULL, b, &r);
  g_assert_cmpuint (r.status, ==, 200);
  blob_unref (r.body);
  blob_unref (b);
  g_string_free (s, TRUE);
}

/* Returns the fleet stand-in's own record.  */
static json_t *
get_fleet_report (void)
{
  return cluster_get (cluster->fleet_port, "/report");
}

/* Returns how often VM wI was rebooted, as report J of the fleet says.  */
static gint64
reboot_count (const json_t *j, guint i)
{
  gchar *name = g_strdup_printf ("w%u", i);
  gint64 n = json_integer_value (
      json_object_get (json_object_get (j, "reboots"), name));

  g_free (name);
  return n;
}

static guint
count_rebooted_vms (void)
{
  json_t *j = get_fleet_report ();
  guint n = 0;
  guint i;

  for (i = 0; i < WORKER_COUNT; i++)
    n += reboot_count (j, i) > 0 ? 1 : 0;
  json_decref (j);
  return n;
}

/* Returns true if the timeline of entry I has an entry of KIND.  */
static gboolean
timeline_has (guint i, const gchar *kind)
{
  json_t *j = cluster_get (cluster_entry_port (cluster, i), "/v1/timeline");
  gchar *text = j ? json_dumps (j, JSON_COMPACT) : NULL;
  gboolean found = text != NULL && strstr (text, kind) != NULL;

  free (text);
  json_decref (j);
  return found;
}

static void
wait_rebooted_vms (guint count)
{
  gint64 deadline_us = g_get_monotonic_time () + WAVE_TIMEOUT_US;

  while (count_rebooted_vms () < count)
    {
      g_assert_cmpint (g_get_monotonic_time (), <, deadline_us);
      g_usleep (POLL_INTERVAL_US);
    }
}

static void
wait_wave_done (guint entry)
{
  gint64 deadline_us = g_get_monotonic_time () + WAVE_TIMEOUT_US;

  while (!timeline_has (entry, "wave_done"))
    {
      g_assert_cmpint (g_get_monotonic_time (), <, deadline_us);
      g_usleep (POLL_INTERVAL_US);
    }
}

static void
kill_entry (guint i)
{
  entry_killed[i] = true;
  cluster_signal_entry (cluster, i, SIGKILL);
  g_usleep (G_USEC_PER_SEC);
  cluster_start_entry (cluster, i);
}

static void
check_reports (void)
{
  json_t *j = get_fleet_report ();
  json_t *high_water = json_object_get (j, "most");
  guint i;

  for (i = 0; i < WORKER_COUNT; i++)
    g_assert_cmpint (reboot_count (j, i), ==, 1);
  g_assert_cmpint (
      json_integer_value (json_object_get (high_water, "out menders")), ==, 1);
  g_assert_cmpint (
      json_integer_value (json_object_get (high_water, "out office")), ==, 1);
  g_assert_cmpint (json_integer_value (json_object_get (j, "cut")), ==, 0);
  json_decref (j);
}

/* The wave pauses while the log is down; requests are still answered.  */
static void
check_log_outage (void)
{
  gint answered_before;

  cluster_fault (cluster->log_port, "down", 1);
  answered_before = answered_count;
  g_usleep (LOG_DOWN_US);
  g_assert_cmpint (answered_count, >, answered_before + 10);
  cluster_fault (cluster->log_port, "down", 0);
}

static void
test_wave (void)
{
  pthread_t t[CLIENT_COUNT];
  json_t *j;
  guint i;

  put_vms ();
  for (i = 0; i < CLIENT_COUNT; i++)
    pthread_create (&t[i], NULL, send_load, GUINT_TO_POINTER (i));
  cluster_append (cluster,
                  "{\"id\":\"wave-1\",\"kind\":\"wave_start\",\"wave\":"
                  "\"kernel\",\"targets\":[\"menders\",\"office\"]}");
  cluster_fault (cluster->fleet_port, "lose_answers", 1);
  wait_rebooted_vms (2);
  cluster_fault (cluster->fleet_port, "lose_answers", 0);
  check_log_outage ();
  /* The first entry in rendezvous order runs the wave; it may be any of the
     three, of which two are killed in turn.  */
  for (i = 0; i < 2; i++)
    kill_entry (i);
  wait_wave_done (2);
  stopping = true;
  for (i = 0; i < CLIENT_COUNT; i++)
    pthread_join (t[i], NULL);
  check_reports ();
  j = cluster_get (cluster->worker_port, "/report");
  g_assert_cmpint (json_integer_value (json_object_get (j, "overfilled")), ==,
                   0);
  json_decref (j);
  g_test_message ("answered %d refused %d broken %d", answered_count,
                  refused_count, broken_count);
  g_assert_cmpint (broken_count, ==, 0);
  g_assert_cmpint (answered_count, >, 100);
}

int
main (int argc, char **argv)
{
  int code;

  cluster_init (&argc, &argv);
  cluster = cluster_start (3, WORKER_COUNT);
  cluster_publish (cluster, 60);
  cluster_wait_version (cluster, 1);
  g_test_add_func ("/maintenance/wave", test_wave);
  code = g_test_run ();
  cluster_stop (cluster);
  return code;
}
