/* test_ctl.c -- scripted runs of fulmartackctl with expected output.

   Each tests/ctl/NAME.script is run with a log and two entries of its own:

     $ ARGUMENTS         runs fulmartackctl; "@" stands for tests/ctl
     fault log NAME N    sets fault NAME of the log to N
     signal I STOP|CONT  pauses or resumes entry I
     checkpoint          waits until the log holds a checkpoint
     follow ARGUMENTS    starts fulmartackctl in the background
     until TEXT          waits until that one has printed TEXT, then ends it

   NAME.expected holds each line with what it printed and the exit code;
   addresses and times are masked.  With FTK_WRITE_EXPECTED set, NAME.expected
   is overwritten with the output.  */

#include "tests/cluster.h"
#include "tests/expected.h"

#include <curl/curl.h>
#include <glib/gstdio.h>
#include <signal.h>
#include <sodium.h>
#include <string.h>
#include <sys/wait.h>

#define DIRECTORY "tests/ctl"
#define WAIT_TIMEOUT_US (10 * G_USEC_PER_SEC)
#define POLL_INTERVAL_US 20000

/** A run of a script.  */
struct run
{
  struct cluster *cluster;
  gchar *settings;        /**< Settings file of fulmartackctl.  */
  gchar *follower_output; /**< Output file of the follower.  */
  GPid follower;          /**< fulmartackctl in the background.  */
  GString *out;           /**< To be compared with NAME.expected.  */
};

/* Replaces every match of PATTERN in *TEXT by BY.  */
static void
mask (gchar **text, const gchar *pattern, const gchar *by)
{
  GRegex *r = g_regex_new (pattern, G_REGEX_MULTILINE, 0, NULL);
  gchar *masked = g_regex_replace_literal (r, *text, -1, 0, by, 0, NULL);

  g_regex_unref (r);
  g_free (*text);
  *text = masked;
}

static void
mask_address (struct run *r, gchar **text, guint16 port, const gchar *name)
{
  gchar *address = g_strdup_printf ("127\\.0\\.0\\.1:%u", port);

  (void)r;
  mask (text, address, name);
  g_free (address);
}

static int
compare_lines (gconstpointer a, gconstpointer b)
{
  return strcmp (*(gchar *const *)a, *(gchar *const *)b);
}

/* Sorts the lines: events of two entries within the same millisecond are
   listed in either order.  */
static void
sort_lines (gchar **text)
{
  gchar **lines = g_strsplit (*text, "\n", -1);
  guint n = g_strv_length (lines);

  qsort (lines, n > 0 ? n - 1 : 0, sizeof *lines, compare_lines);
  g_free (*text);
  *text = g_strjoinv ("\n", lines);
  g_strfreev (lines);
}

static void
print_masked (struct run *r, gchar *text)
{
  struct cluster *c = r->cluster;

  mask_address (r, &text, c->log_port, "LOG");
  mask_address (r, &text, cluster_entry_port (c, 0), "ENTRY-0");
  mask_address (r, &text, cluster_entry_port (c, 1), "ENTRY-1");
  mask (&text, "log_age_ms=\\d+", "log_age_ms=N");
  if (g_regex_match_simple ("^\\d\\d:\\d\\d:\\d\\d\\.", text, 0, 0))
    {
      mask (&text, "^\\d\\d:\\d\\d:\\d\\d\\.\\d+", "TIME");
      mask (&text, "\\d+$", "N");
      sort_lines (&text);
    }
  g_string_append (r->out, text);
  g_free (text);
}

/* Returns the command line of fulmartackctl with the ARGUMENTS.  */
static gchar **
make_command_line (struct run *r, const gchar *arguments)
{
  const gchar *directory = g_getenv ("FTK_BUILD");
  GString *line = g_string_new (NULL);
  gchar **argv;

  g_string_printf (line, "%s/fulmartackctl --settings %s %s",
                   directory ? directory : "build", r->settings, arguments);
  g_string_replace (line, "@", DIRECTORY, 0);
  argv = g_strsplit (line->str, " ", -1);
  g_string_free (line, TRUE);
  return argv;
}

static void
run_ctl (struct run *r, const gchar *arguments)
{
  gchar **argv = make_command_line (r, arguments);
  gchar *out = NULL;
  gchar *errors = NULL;
  gint status = 0;

  g_assert_true (g_spawn_sync (NULL, argv, NULL, 0, NULL, NULL, &out, &errors,
                               &status, NULL));
  print_masked (r, out);
  print_masked (r, errors);
  g_string_append_printf (r->out, "exit %d\n",
                          WIFEXITED (status) ? WEXITSTATUS (status) : 128);
  g_strfreev (argv);
}

static void
start_follower (struct run *r, const gchar *arguments)
{
  gchar **argv = make_command_line (r, arguments);
  FILE *out;

  r->follower_output
      = g_build_filename (r->cluster->directory, "followed", NULL);
  out = fopen (r->follower_output, "we");
  g_assert_nonnull (out);
  g_assert_true (g_spawn_async_with_fds (
      NULL, argv, NULL, G_SPAWN_DO_NOT_REAP_CHILD, NULL, NULL, &r->follower,
      -1, fileno (out), -1, NULL));
  fclose (out);
  g_strfreev (argv);
}

static void
wait_for_output (struct run *r, const gchar *text)
{
  gint64 deadline_us = g_get_monotonic_time () + WAIT_TIMEOUT_US;
  gboolean found = FALSE;

  while (!found && g_get_monotonic_time () < deadline_us)
    {
      gchar *all = NULL;

      g_usleep (POLL_INTERVAL_US);
      g_assert_true (
          g_file_get_contents (r->follower_output, &all, NULL, NULL));
      found = strstr (all, text) != NULL;
      g_free (all);
    }
  kill (r->follower, SIGTERM);
  waitpid (r->follower, NULL, 0);
  g_free (r->follower_output);
  g_string_append_printf (r->out, "%s\n", found ? "printed" : "not printed");
}

/* Waits until the log holds a checkpoint.  An entry appends one when the log
   has dropped records.  */
static void
wait_for_checkpoint (struct run *r)
{
  gint64 deadline_us = g_get_monotonic_time () + WAIT_TIMEOUT_US;
  gboolean found = FALSE;

  while (!found && g_get_monotonic_time () < deadline_us)
    {
      json_t *page = cluster_get (r->cluster->log_port, "/v1/read?from=0");
      gchar *text = json_dumps (page, JSON_COMPACT);

      found = strstr (text, "\"kind\":\"checkpoint\"") != NULL;
      free (text);
      json_decref (page);
      g_usleep (POLL_INTERVAL_US);
    }
  g_string_append_printf (r->out, "%s\n", found ? "held" : "not held");
}

static void
run_line (struct run *r, const gchar *line)
{
  gchar **words = g_strsplit (line, " ", -1);

  if (line[0] == '\0' || line[0] == '#')
    goto done;
  g_string_append_printf (r->out, "%s\n", line);
  if (g_str_has_prefix (line, "$ "))
    run_ctl (r, line + 2);
  else if (g_str_has_prefix (line, "follow "))
    start_follower (r, line + strlen ("follow "));
  else if (strcmp (line, "checkpoint") == 0)
    wait_for_checkpoint (r);
  else if (g_str_has_prefix (line, "until "))
    wait_for_output (r, line + strlen ("until "));
  else if (strcmp (words[0], "fault") == 0)
    cluster_fault (r->cluster->log_port, words[2],
                   g_ascii_strtoll (words[3], NULL, 10));
  else if (strcmp (words[0], "signal") == 0)
    cluster_signal_entry (r->cluster,
                          (guint)g_ascii_strtoull (words[1], NULL, 10),
                          strcmp (words[2], "STOP") == 0 ? SIGSTOP : SIGCONT);
  else
    g_error ("unknown command: %s", line);
done:
  g_strfreev (words);
}

static GString *
run_script (const gchar *file)
{
  struct run r = { .out = g_string_new (NULL) };
  gchar *text = NULL;
  gchar *settings;
  gchar **lines;
  guint i;

  g_assert_true (g_file_get_contents (file, &text, NULL, NULL));
  r.cluster = cluster_start (2, 1);
  cluster_wait_version (r.cluster, 0);
  r.settings = g_build_filename (r.cluster->directory, "ctl.json", NULL);
  settings
      = g_strdup_printf ("{\"log\":\"127.0.0.1:%u\"}", r.cluster->log_port);
  g_file_set_contents (r.settings, settings, -1, NULL);
  lines = g_strsplit (text, "\n", -1);
  for (i = 0; lines[i] != NULL; i++)
    run_line (&r, lines[i]);
  cluster_stop (r.cluster);
  g_strfreev (lines);
  g_free (settings);
  g_free (r.settings);
  g_free (text);
  return r.out;
}

static void
check_script (gconstpointer data)
{
  const gchar *file = data;
  GString *out = run_script (file);

  expected_check (file, ".script", out->str);
  g_string_free (out, TRUE);
}

int
main (int argc, char **argv)
{
  cluster_init (&argc, &argv);
  g_setenv ("FULMARTACK_KEY", "menders secret", TRUE);
  expected_add_directory ("/ctl", DIRECTORY, ".script", check_script);
  return g_test_run ();
}
