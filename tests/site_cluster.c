/* site_cluster.c -- starts the stand-in of the users' platform and entries for
   tests of whole processes.  */

#include "tests/site_cluster.h"

#include "tests/ports.h"

#include <signal.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#define PORT_LOW 23000
/** The entries' metrics come last.  */
#define METRICS_OFFSET 50
/** The last port of a range marks it as taken.  */
#define PORT_STEP (METRICS_OFFSET + SITE_ENTRY_LIMIT + 1)
#define PORT_RANGE_COUNT 20
#define START_TIMEOUT_MS 15000
#define POLL_INTERVAL_MS 50

guint16
site_api_port (const struct site *s, guint i)
{
  return (guint16)(s->base_port + 20 + i);
}

guint16
site_metrics_port (const struct site *s, guint i)
{
  return (guint16)(s->base_port + METRICS_OFFSET + i);
}

/* The port at which entry I reaches the store and the cloud.  */
guint16
site_store_port (const struct site *s, guint i)
{
  return (guint16)(s->base_port + 1 + SITE_RUNNER_COUNT + i);
}

/* Starts program NAME of the build with up to three arguments, output to file
   LOG.  */
static pid_t
spawn (const gchar *name, const gchar *first, const gchar *second,
       const gchar *third, const gchar *log)
{
  const gchar *directory = g_getenv ("FTK_BUILD");
  gchar *path = g_build_filename (directory ? directory : "build", name, NULL);
  pid_t pid = fork ();

  if (pid == 0)
    {
      prctl (PR_SET_PDEATHSIG, SIGKILL);
      if (freopen (log, "a", stdout) == NULL
          || freopen (log, "a", stderr) == NULL)
        _exit (126);
      execl (path, path, first, second, third, NULL);
      _exit (127);
    }
  g_assert_cmpint (pid, >, 0);
  g_free (path);
  return pid;
}

void
site_start_entry (struct site *s, guint i)
{
  gchar *name = g_strdup_printf ("entry-%u.json", i);
  gchar *file = g_build_filename (s->directory, name, NULL);
  gchar *log = g_strconcat (file, ".log", NULL);
  gchar *text = g_strdup_printf (
      "{\"vm\":\"entry-%u\",\"listen\":\"127.0.0.1:%u\",\"ready_listen\":"
      "\"127.0.0.1:%u\",\"relay_listen\":\"127.0.0.1:%u\",\"metrics_listen\":"
      "\"127.0.0.1:%u\",\"store\":\"127.0.0.1:%u\",\"cloud\":\"127.0.0.1:%u\","
      "\"relay_secret\":\"a secret of the test\"%s}",
      i, site_api_port (s, i), s->base_port + 30 + i, s->base_port + 40 + i,
      site_metrics_port (s, i), site_store_port (s, i), site_store_port (s, i),
      s->settings != NULL ? s->settings : "");

  g_assert_true (g_file_set_contents (file, text, -1, NULL));
  s->entries[i] = spawn ("fulmartackd", file, NULL, NULL, log);
  g_free (text);
  g_free (log);
  g_free (file);
  g_free (name);
}

/* Calls entry I and returns the status; copies the body to ANSWER, unless
   NULL.  */
guint
site_call (const struct site *s, guint i, const gchar *method,
           const gchar *path, const gchar *body, gchar *answer,
           gsize answer_bytes)
{
  gchar *url
      = g_strdup_printf ("http://127.0.0.1:%u%s", site_api_port (s, i), path);
  const char *lines[] = { "Host: site", "Authorization: Bearer key-of-t",
                          "X-Fulmartack-Deadline-Ms: 3000", NULL };
  struct http_call c = { .method = method,
                         .url = url,
                         .header_lines = lines,
                         .timeout_ms = 4000,
                         .connect_timeout_ms = 1000 };
  struct http_result r = { 0 };

  if (body != NULL)
    c.body = blob_copy (body, (uint32_t)strlen (body));
  http_client_perform (NULL, &c, &r);
  if (answer != NULL)
    g_snprintf (answer, answer_bytes, "%.*s",
                r.body ? (int)r.body->size_bytes : 0,
                r.body ? (const char *)r.body->data : "");
  blob_unref (r.body);
  blob_unref (c.body);
  g_free (url);
  return r.status;
}

void
site_wait_ready (const struct site *s)
{
  guint waited_ms = 0;
  guint i;

  for (i = 0; i < s->entry_count; i++)
    while (site_call (s, i, "GET", "/q/", NULL, NULL, 0) != 200)
      {
        g_assert_cmpuint (waited_ms, <, START_TIMEOUT_MS);
        g_usleep (POLL_INTERVAL_MS * 1000);
        waited_ms += POLL_INTERVAL_MS;
      }
}

void
site_start_platform (struct site *s, guint entry_count)
{
  gchar *first;
  gchar *last;
  gchar *count;
  gchar *log;

  s->entry_count = entry_count;
  s->base_port = ports_take (PORT_LOW, PORT_STEP, PORT_RANGE_COUNT);
  s->directory = g_dir_make_tmp ("site-XXXXXX", NULL);
  first = g_strdup_printf ("%u", s->base_port);
  last = g_strdup_printf ("%d", s->base_port + SITE_RUNNER_COUNT);
  count = g_strdup_printf ("%u", s->proxied ? 0 : entry_count);
  log = g_build_filename (s->directory, "platform.log", NULL);
  s->platform = spawn ("standin_site", first, last, count, log);
  g_free (log);
  g_free (count);
  g_free (last);
  g_free (first);
}

void
site_start_with (struct site *s, const gchar *settings)
{
  guint i;

  memset (s, 0, sizeof *s);
  s->settings = settings;
  site_start_platform (s, SITE_ENTRY_COUNT);
  for (i = 0; i < s->entry_count; i++)
    site_start_entry (s, i);
  site_wait_ready (s);
}

void
site_start (struct site *s)
{
  site_start_with (s, NULL);
}

/* Sends SIGNAL_NUMBER, waits for the end and returns the wait status.  */
int
site_stop_process (pid_t pid, int signal_number)
{
  int status = 0;

  kill (pid, signal_number);
  waitpid (pid, &status, 0);
  return status;
}

void
site_stop (struct site *s)
{
  gchar *remove = g_strdup_printf ("rm -r '%s'", s->directory);
  guint i;

  for (i = 0; i < s->entry_count; i++)
    site_stop_process (s->entries[i], SIGKILL);
  site_stop_process (s->platform, SIGKILL);
  g_assert_cmpint (system (remove), ==, 0);
  g_free (remove);
  g_free (s->directory);
}
