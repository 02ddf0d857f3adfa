/* test_maintenance.c -- a wave over whole processes, under load.

   Three entries and eight workers in two pools; the answers of the fleet
   service are lost for a while and the entry that carries the wave is killed
   in the middle.  Judged by the stand-ins' own counts.  */

#include "tests/cluster.h"

#include <pthread.h>
#include <signal.h>
#include <stdatomic.h>
#include <string.h>

#define WORKER_COUNT 8
#define LOADER_COUNT 18
#define WAVE_LIMIT_US (40 * G_USEC_PER_SEC)
#define POLL_US 50000
#define LOG_OUT_US 1500000

static struct cluster *cluster;
static atomic_bool ending;
static atomic_int answered_count;
static atomic_int refused_count;
static atomic_int other_count;
static atomic_bool entry_killed[3];

/* Sends one request after another to the entry INDEX until the end.  */
static void *
load (void *state)
{
  guint index = GPOINTER_TO_UINT (state);
  const gchar *queue = index % 2 ? "open" : "tickets";
  gchar *path = g_strconcat ("/v1/queues/", queue, NULL);
  struct blob *b = blob_copy ("run_ms=600", 10);

  while (!ending)
    {
      struct http_result r;
      guint16 port = cluster_entry_port (cluster, index % 3);

      cluster_call ("POST", port, path, "kandy-key", b, &r);
      if (r.answered && r.status == 200)
        answered_count++;
      else if (r.answered && r.status >= 400)
        refused_count++;
      else if (!entry_killed[index % 3])
        other_count++;
      if (!r.answered || r.status != 200)
        g_usleep (POLL_US);
      blob_unref (r.body);
    }
  blob_unref (b);
  g_free (path);
  return NULL;
}

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

static json_t *
report (void)
{
  return cluster_get (cluster->fleet_port, "/report");
}

static gint64
reboots_of (const json_t *j, guint i)
{
  gchar *name = g_strdup_printf ("w%u", i);
  gint64 n = json_integer_value (
      json_object_get (json_object_get (j, "reboots"), name));

  g_free (name);
  return n;
}

static guint
rebooted_count (void)
{
  json_t *j = report ();
  guint n = 0;
  guint i;

  for (i = 0; i < WORKER_COUNT; i++)
    n += reboots_of (j, i) > 0 ? 1 : 0;
  json_decref (j);
  return n;
}

/* Returns true when the timeline of entry I holds KIND.  */
static gboolean
has_note (guint i, const gchar *kind)
{
  json_t *j = cluster_get (cluster_entry_port (cluster, i), "/v1/timeline");
  gchar *text = j ? json_dumps (j, JSON_COMPACT) : NULL;
  gboolean found = text != NULL && strstr (text, kind) != NULL;

  free (text);
  json_decref (j);
  return found;
}

static void
wait_rebooted (guint count)
{
  gint64 until = g_get_monotonic_time () + WAVE_LIMIT_US;

  while (rebooted_count () < count)
    {
      g_assert_cmpint (g_get_monotonic_time (), <, until);
      g_usleep (POLL_US);
    }
}

static void
wait_done (guint entry)
{
  gint64 until = g_get_monotonic_time () + WAVE_LIMIT_US;

  while (!has_note (entry, "wave_done"))
    {
      g_assert_cmpint (g_get_monotonic_time (), <, until);
      g_usleep (POLL_US);
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
check_counts (void)
{
  json_t *j = report ();
  json_t *most = json_object_get (j, "most");
  guint i;

  for (i = 0; i < WORKER_COUNT; i++)
    g_assert_cmpint (reboots_of (j, i), ==, 1);
  g_assert_cmpint (json_integer_value (json_object_get (most, "out menders")),
                   ==, 1);
  g_assert_cmpint (json_integer_value (json_object_get (most, "out office")),
                   ==, 1);
  g_assert_cmpint (json_integer_value (json_object_get (j, "cut")), ==, 0);
  json_decref (j);
}

/* The wave rests while the log is out; the work goes on.  */
static void
rest_log (void)
{
  gint before;

  cluster_fault (cluster->log_port, "down", 1);
  before = answered_count;
  g_usleep (LOG_OUT_US);
  g_assert_cmpint (answered_count, >, before + 10);
  cluster_fault (cluster->log_port, "down", 0);
}

static void
test_wave (void)
{
  pthread_t t[LOADER_COUNT];
  json_t *j;
  guint i;

  put_vms ();
  for (i = 0; i < LOADER_COUNT; i++)
    pthread_create (&t[i], NULL, load, GUINT_TO_POINTER (i));
  cluster_append (cluster,
                  "{\"id\":\"wave-1\",\"kind\":\"wave_start\",\"wave\":"
                  "\"kernel\",\"targets\":[\"menders\",\"office\"]}");
  cluster_fault (cluster->fleet_port, "lose_answers", 1);
  wait_rebooted (2);
  cluster_fault (cluster->fleet_port, "lose_answers", 0);
  rest_log ();
  /* Each but the last in turn, so a carrier is among them.  */
  for (i = 0; i < 2; i++)
    kill_entry (i);
  wait_done (2);
  ending = true;
  for (i = 0; i < LOADER_COUNT; i++)
    pthread_join (t[i], NULL);
  check_counts ();
  j = cluster_get (cluster->worker_port, "/report");
  g_assert_cmpint (json_integer_value (json_object_get (j, "overfilled")), ==,
                   0);
  json_decref (j);
  g_test_message ("answered %d refused %d other %d", answered_count,
                  refused_count, other_count);
  g_assert_cmpint (other_count, ==, 0);
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
