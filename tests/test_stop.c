/* test_stop.c -- planned stops of an entry.

   Guards against what keeps a stopping entry until it is killed.  The first:
   clients of the product's own interface that send bodies or headers slowly,
   read no answer, or only hold a connection; tests/soak has the same for
   entries on the users' platform.  The second: an output for log lines that
   nobody reads.  The third: a stop that is lost, as the ring of the cell is
   full.  */

#include "adapter/cell_post.h"
#include "adapter/site_decide.h"
#include "adapter/site_front.h"
#include "tests/site_cluster.h"
#include "tests/soak_client.h"

#include <fcntl.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#define STOP_LIMIT_MS 6000
#define SETTINGS ",\"stop_limit_ms\":6000"
#define CLIENT_COUNT 3
/** The clients are connected and their requests under way after this.  */
#define CONNECT_MS 1000
#define POLL_MS 10

static const gchar *const heads[SOAK_KIND_COUNT]
    = { [SOAK_SLOW_BODY] = "POST /v1/queues/open HTTP/1.1\r\nHost: a\r\n",
        [SOAK_SLOW_HEADERS] = "POST /v1/queues/open HTTP/1.1\r\nHost: a\r\n",
        [SOAK_UNREAD] = "GET /v1/timeline HTTP/1.1\r\nHost: a\r\n",
        [SOAK_IDLE] = "" };

/* Returns the wait status of PID, or -1 if it has not ended by then.  */
static int
wait_end (pid_t pid, gint64 limit_ms)
{
  gint64 end_us = g_get_monotonic_time () + limit_ms * 1000;
  int status = -1;

  while (waitpid (pid, &status, WNOHANG) != pid)
    {
      if (g_get_monotonic_time () >= end_us)
        return -1;
      g_usleep (POLL_MS * 1000);
    }
  return status;
}

static void
test_stop (gconstpointer kind)
{
  struct cluster *c = cluster_start_with (1, 2, SETTINGS);
  struct soak_client clients[CLIENT_COUNT] = { 0 };
  int status;
  guint i;

  cluster_publish (c, 100);
  cluster_wait_version (c, 1);
  for (i = 0; i < CLIENT_COUNT; i++)
    {
      clients[i].kind = (enum soak_kind)GPOINTER_TO_INT (kind);
      clients[i].head = heads[clients[i].kind];
      clients[i].ports[0] = cluster_entry_port (c, 0);
      clients[i].port_count = 1;
      soak_client_start (&clients[i]);
    }
  g_usleep (CONNECT_MS * 1000);
  kill (c->entries[0], SIGTERM);
  status = wait_end (c->entries[0], STOP_LIMIT_MS);
  for (i = 0; i < CLIENT_COUNT; i++)
    soak_client_join (&clients[i]);
  if (status == -1)
    {
      g_test_fail_printf ("the entry has not ended within its stop limit");
      cluster_signal_entry (c, 0, SIGKILL);
    }
  else if (!WIFEXITED (status) || WEXITSTATUS (status) != 0)
    g_test_fail_printf ("the entry ended with wait status %d", status);
  cluster_start_entry (c, 0);
  cluster_wait_version (c, 1);
  cluster_stop (c);
}

/* Returns the environment for an entry.  TSan would sleep 1 s at the end of
   the process, which would count as time of the entry.  */
static gchar **
make_environment (void)
{
  const gchar *options = g_getenv ("TSAN_OPTIONS");
  gchar *text = g_strdup_printf ("%s atexit_sleep_ms=0",
                                 options != NULL ? options : "");
  gchar **list
      = g_environ_setenv (g_get_environ (), "TSAN_OPTIONS", text, TRUE);

  g_free (text);
  return list;
}

/* Starts entry 0 of S, which does not run, with a full pipe as its standard
   output and error.  */
static void
start_with_full_output (struct site *s)
{
  gchar *program = g_build_filename (
      g_getenv ("FTK_BUILD") != NULL ? g_getenv ("FTK_BUILD") : "build",
      "fulmartackd", NULL);
  gchar *file = g_build_filename (s->directory, "entry-0.json", NULL);
  gchar **environment = make_environment ();
  int fds[2];

  g_assert_cmpint (pipe (fds), ==, 0);
  g_assert_cmpint (fcntl (fds[1], F_SETFL, O_NONBLOCK), ==, 0);
  while (write (fds[1], "x", 1) == 1)
    continue;
  g_assert_cmpint (fcntl (fds[1], F_SETFL, 0), ==, 0);
  s->entries[0] = fork ();
  if (s->entries[0] == 0)
    {
      prctl (PR_SET_PDEATHSIG, SIGKILL);
      dup2 (fds[1], STDOUT_FILENO);
      dup2 (fds[1], STDERR_FILENO);
      execle (program, program, file, NULL, environment);
      _exit (127);
    }
  g_assert_cmpint (s->entries[0], >, 0);
  close (fds[1]);
  g_strfreev (environment);
  g_free (file);
  g_free (program);
}

static void
test_full_output (void)
{
  struct site s;

  site_start_with (&s, NULL);
  site_stop_process (s.entries[0], SIGKILL);
  start_with_full_output (&s);
  site_wait_ready (&s);
  kill (s.entries[0], SIGTERM);
  if (wait_end (s.entries[0], STOP_LIMIT_MS) == -1)
    {
      g_test_fail_printf ("the entry has not ended within its stop limit");
      site_stop_process (s.entries[0], SIGKILL);
    }
  site_start_entry (&s, 0);
  site_stop (&s);
}

/* Returns whether R gets FRONT_CLOSE within STOP_LIMIT_MS.  */
static bool
gets_close (struct ring *r)
{
  gint64 end_us = g_get_monotonic_time () + STOP_LIMIT_MS * 1000;
  bool found = false;
  void *item;

  while (!found && g_get_monotonic_time () < end_us)
    if (ring_pop (r, &item, 1) == 0)
      g_usleep (POLL_MS * 1000);
    else
      {
        found = ((struct front_command *)item)->kind == FRONT_CLOSE;
        talloc_free (item);
      }
  return found;
}

static void
test_full_ring (void)
{
  struct cell_settings settings
      = { .member = "entry-1",
          .times = { .revoke_ms = 5000, .stop_grace_ms = 60 } };
  struct site_decide *d = site_decide_new (&settings);
  struct ring *rings[4];
  struct site_outputs o;
  guint i;

  for (i = 0; i < G_N_ELEMENTS (rings); i++)
    rings[i] = ring_open (1024);
  o = (struct site_outputs){ .front = rings[0],
                             .relay = rings[1],
                             .store = rings[2],
                             .order_client = rings[3],
                             .log = line_log_new ("entry-1", 64) };
  site_decide_set_outputs (d, &o);
  while (cell_post (site_decide_duty (d)->inbound,
                    cell_event_new (CELL_CLAIMS_CONFIRMED)))
    continue;
  site_decide_stop (d);
  g_assert_true (duty_start (site_decide_duty (d)));
  g_assert_true (gets_close (rings[0]));
  duty_stop (site_decide_duty (d));
  site_decide_free (d);
  line_log_free (o.log);
  for (i = 0; i < G_N_ELEMENTS (rings); i++)
    {
      void *item;

      while (ring_pop (rings[i], &item, 1) > 0)
        talloc_free (item);
      ring_close (rings[i]);
    }
}

int
main (int argc, char **argv)
{
  guint i;

  cluster_init (&argc, &argv);
  for (i = SOAK_SLOW_BODY; i < SOAK_KIND_COUNT; i++)
    {
      gchar *path
          = g_strdup_printf ("/stop/%s", soak_kind_name ((enum soak_kind)i));

      g_test_add_data_func (path, GUINT_TO_POINTER (i), test_stop);
      g_free (path);
    }
  g_test_add_func ("/stop/full_output", test_full_output);
  g_test_add_func ("/stop/full_ring", test_full_ring);
  return g_test_run ();
}
