/* cluster.c -- starts stand-ins and entries for tests of whole processes.  */

#include "tests/cluster.h"

#include "tests/ports.h"

#include <curl/curl.h>
#include <signal.h>
#include <sodium.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#define PORTS_PER_RANGE 100
#define FIRST_PORT 20000
#define PORT_RANGE_COUNT 20
#define CALL_TIMEOUT_MS 30000
#define START_TIMEOUT_MS 10000
#define POLL_INTERVAL_US 20000

static gchar *
program_path (const gchar *name)
{
  const gchar *directory = g_getenv ("FTK_BUILD");

  return g_build_filename (directory ? directory : "build", name, NULL);
}

static pid_t
spawn (const gchar *name, const gchar *first, const gchar *second,
       const gchar *log)
{
  gchar *path = program_path (name);
  pid_t pid = fork ();

  if (pid == 0)
    {
      /* The process must end even if the test aborts.  */
      prctl (PR_SET_PDEATHSIG, SIGKILL);
      if (freopen (log, "a", stderr) == NULL)
        _exit (126);
      execl (path, path, first, second, NULL);
      _exit (127);
    }
  g_assert_cmpint (pid, >, 0);
  g_free (path);
  return pid;
}

guint16
cluster_entry_port (const struct cluster *c, guint i)
{
  return (guint16)(c->first_port + 10 + i);
}

static pid_t
spawn_standin (struct cluster *c, const gchar *name, guint16 first,
               guint16 last)
{
  gchar *a = g_strdup_printf ("%u", first);
  gchar *b = g_strdup_printf ("%u", last);
  gchar *log = g_build_filename (c->directory, name, NULL);
  pid_t pid = spawn (name, a, b, log);

  g_free (a);
  g_free (b);
  g_free (log);
  return pid;
}

void
cluster_start_entry (struct cluster *c, guint i)
{
  gchar *file = g_strdup_printf ("%s/entry-%u.json", c->directory, i);
  gchar *log = g_strdup_printf ("%s/entry-%u.log", c->directory, i);
  gchar *text = g_strdup_printf (
      "{\"vm\":\"entry-%u\",\"zone\":\"a%u\",\"listen\":\"127.0.0.1:%u\","
      "\"peer_listen\":\"127.0.0.1:%u\",\"log\":\"127.0.0.1:%u\","
      "\"fleet\":\"127.0.0.1:%u\",\"cluster_secret\":\"test secret of 24 "
      "bytes\"%s}",
      i, i % 3, cluster_entry_port (c, i), c->first_port + 30 + i,
      c->log_port + i, c->fleet_port, c->settings);

  g_file_set_contents (file, text, -1, NULL);
  c->entries[i] = spawn ("fulmartackd", file, NULL, log);
  g_free (text);
  g_free (log);
  g_free (file);
}

static void
wait_until_answering (guint16 port, const gchar *path)
{
  gint64 deadline_us = g_get_monotonic_time () + START_TIMEOUT_MS * 1000;
  json_t *j = NULL;

  while (j == NULL && g_get_monotonic_time () < deadline_us)
    {
      j = cluster_get (port, path);
      if (j == NULL)
        g_usleep (POLL_INTERVAL_US);
    }
  g_assert_nonnull (j);
  json_decref (j);
}

void
cluster_init (int *argc, char ***argv)
{
  signal (SIGPIPE, SIG_IGN);
  curl_global_init (CURL_GLOBAL_DEFAULT);
  if (sodium_init () < 0)
    exit (1);
  g_test_init (argc, argv, NULL);
}

struct cluster *
cluster_start (guint entry_count, guint worker_count)
{
  return cluster_start_with (entry_count, worker_count, "");
}

struct cluster *
cluster_start_with (guint entry_count, guint worker_count,
                    const gchar *settings)
{
  struct cluster *c = g_new0 (struct cluster, 1);
  const gchar *first_port_text;
  guint i;

  first_port_text = g_getenv ("FTK_PORT_LOW");
  c->first_port = ports_take (
      (guint16)(first_port_text ? atoi (first_port_text) : FIRST_PORT),
      PORTS_PER_RANGE, PORT_RANGE_COUNT);
  c->log_port = (guint16)(c->first_port + 2);
  c->fleet_port = (guint16)(c->first_port + 1);
  c->worker_port = (guint16)(c->first_port + 50);
  c->worker_count = worker_count;
  c->entry_count = entry_count;
  c->settings = settings;
  c->directory = g_dir_make_tmp ("fulmartack-XXXXXX", NULL);
  c->log = spawn_standin (c, "standin_log", c->log_port,
                          (guint16)(c->log_port + CLUSTER_ENTRY_LIMIT - 1));
  c->fleet = spawn_standin (c, "standin_fleet", c->fleet_port, c->fleet_port);
  c->worker = spawn_standin (c, "standin_worker", c->worker_port,
                             (guint16)(c->worker_port + worker_count - 1));
  wait_until_answering (c->log_port, "/v1/read?from=0");
  wait_until_answering (c->fleet_port, "/v1/vms");
  wait_until_answering (c->worker_port, "/report");
  for (i = 0; i < entry_count; i++)
    cluster_start_entry (c, i);
  for (i = 0; i < entry_count; i++)
    wait_until_answering (cluster_entry_port (c, i), "/v1/status");
  return c;
}

static int
wait_for_exit (pid_t *pid)
{
  int status = 0;

  waitpid (*pid, &status, 0);
  *pid = 0;
  return WIFEXITED (status) ? WEXITSTATUS (status) : 128 + WTERMSIG (status);
}

int
cluster_signal_entry (struct cluster *c, guint i, int signal)
{
  kill (c->entries[i], signal);
  if (signal == SIGTERM || signal == SIGKILL)
    return wait_for_exit (&c->entries[i]);
  return 0;
}

void
cluster_signal_worker (struct cluster *c, int signal)
{
  kill (c->worker, signal);
  if (signal == SIGKILL)
    wait_for_exit (&c->worker);
}

void
cluster_start_worker (struct cluster *c)
{
  c->worker = spawn_standin (c, "standin_worker", c->worker_port,
                             (guint16)(c->worker_port + c->worker_count - 1));
  wait_until_answering (c->worker_port, "/report");
}

void
cluster_call (const gchar *method, guint16 port, const gchar *path,
              const gchar *key, struct blob *body, struct http_result *r)
{
  gchar *url = g_strdup_printf ("http://127.0.0.1:%u%s", port, path);
  gchar *line = g_strdup_printf ("Authorization: Bearer %s", key ? key : "");
  const char *const lines[] = { key ? line : NULL, NULL };
  struct http_call call = {
    .method = method,
    .url = url,
    .header_lines = lines,
    .body = body,
    .timeout_ms = CALL_TIMEOUT_MS,
    .connect_timeout_ms = 1000,
  };

  http_client_perform (NULL, &call, r);
  g_free (line);
  g_free (url);
}

json_t *
cluster_get (guint16 port, const gchar *path)
{
  struct http_result r;
  json_t *j = NULL;

  cluster_call ("GET", port, path, NULL, NULL, &r);
  if (r.body != NULL)
    j = json_loadb ((const char *)r.body->data, r.body->size_bytes, 0, NULL);
  blob_unref (r.body);
  return j;
}

void
cluster_fault (guint16 port, const gchar *fault, gint64 number)
{
  gchar *path = g_strdup_printf ("/fault?%s=%" G_GINT64_FORMAT, fault, number);
  struct http_result r;

  cluster_call ("POST", port, path, NULL, NULL, &r);
  g_assert_true (r.answered);
  blob_unref (r.body);
  g_free (path);
}

void
cluster_append (struct cluster *c, const gchar *text)
{
  gchar *batch = g_strdup_printf ("[%s]", text);
  struct blob *b = blob_copy (batch, (uint32_t)strlen (batch));
  struct http_result r;

  cluster_call ("POST", c->log_port, "/v1/append", NULL, b, &r);
  g_assert_cmpuint (r.status, ==, 200);
  blob_unref (r.body);
  blob_unref (b);
  g_free (batch);
}

static void
append_vms (GString *s, struct cluster *c, guint first, guint last)
{
  guint i;

  for (i = first; i < last; i++)
    g_string_append_printf (
        s,
        "%s{\"name\":\"w%u\",\"address\":\"127.0.0.1:%u\",\"rack\":\"r%u\","
        "\"zone\":\"a%u\",\"slots\":8}",
        i > first ? "," : "", i, c->worker_port + i, i / 4, i % 3);
}

void
cluster_publish (struct cluster *c, guint ceiling)
{
  GString *s = g_string_new ("{\"id\":\"config-1\",\"kind\":\"config\","
                             "\"tables\":{\"base_version\":0,\"teams\":[");
  static const gchar *const keys[]
      = { "{\"id\":\"key-1\",\"kind\":\"key_grant\",\"team\":\"kandy\","
          "\"digest\":\"%s\"}",
          "{\"id\":\"key-2\",\"kind\":\"key_grant\",\"team\":\"jawa\","
          "\"digest\":\"%s\"}" };
  guint half = c->worker_count / 2;

  g_string_append_printf (
      s,
      "{\"name\":\"kandy\",\"share\":2,\"ceiling\":%u},"
      "{\"name\":\"jawa\",\"share\":1,\"ceiling\":%u}],\"pools\":["
      "{\"name\":\"menders\",\"vms\":[",
      ceiling, ceiling);
  append_vms (s, c, 0, half);
  g_string_append (s, "]},{\"name\":\"office\",\"vms\":[");
  append_vms (s, c, half, c->worker_count);
  g_string_append (
      s, "]}],\"routes\":["
         "{\"queue\":\"tickets\",\"pool\":\"menders\",\"idempotent\":true},"
         "{\"queue\":\"bills\",\"pool\":\"menders\"},"
         "{\"queue\":\"plots\",\"pool\":\"office\",\"team\":\"jawa\"},"
         "{\"queue\":\"open\",\"pool\":\"office\",\"open\":true}]}}");
  cluster_append (c, s->str);
  g_string_free (s, TRUE);
  /* Digests of the keys "kandy-key" and "jawa-key".  */
  s = g_string_new (NULL);
  g_string_printf (
      s, keys[0],
      "4a3ec859e04417b9267be05a2ec4e491d51d6810fc2d7c477e2218d058e9e07e");
  cluster_append (c, s->str);
  g_string_printf (
      s, keys[1],
      "123e24f28f0207d7d209beb1a06215b5811a2d663b1574bfdc7bf2da9a10eb64");
  cluster_append (c, s->str);
  g_string_free (s, TRUE);
}

void
cluster_wait_version (struct cluster *c, gint64 version)
{
  gint64 deadline_us = g_get_monotonic_time () + START_TIMEOUT_MS * 1000;
  guint i = 0;

  while (i < c->entry_count)
    {
      json_t *j = cluster_get (cluster_entry_port (c, i), "/v1/status");
      gint64 v = json_integer_value (json_object_get (j, "config_version"));
      bool serving = json_is_true (json_object_get (j, "serving"));

      json_decref (j);
      if (v >= version && serving)
        i++;
      else
        g_usleep (POLL_INTERVAL_US);
      g_assert_cmpint (g_get_monotonic_time (), <, deadline_us);
    }
}

void
cluster_stop (struct cluster *c)
{
  pid_t *const standins[] = { &c->worker, &c->fleet, &c->log };
  guint i;

  for (i = 0; i < c->entry_count; i++)
    if (c->entries[i] > 0)
      {
        kill (c->entries[i], SIGCONT);
        g_assert_cmpint (cluster_signal_entry (c, i, SIGTERM), ==, 0);
      }
  for (i = 0; i < G_N_ELEMENTS (standins); i++)
    {
      kill (*standins[i], SIGTERM);
      wait_for_exit (standins[i]);
    }
  g_free (c->directory);
  g_free (c);
}
