/* test_replay.c -- recorded runs replayed, with their stated outcomes.

   tests/traces/NAME.trace was recorded by tests/record.sh; NAME.expected holds
   what it must come to.  With FTK_WRITE_EXPECTED set the output is written
   instead.  */

#include "adapter/replay.h"
#include "tests/expected.h"

#include <glib/gstdio.h>
#include <sodium.h>
#include <stdlib.h>
#include <string.h>

#define FOLDER "tests/traces"

/* Returns what the replay of FILE printed; its end goes to *END.  */
static gchar *
replay_text (const gchar *file, enum replay_result *end)
{
  struct replay_counts o;
  char *text = NULL;
  size_t size = 0;
  FILE *out = open_memstream (&text, &size);
  gchar *copy;

  *end = replay_file (file, out, &o);
  if (*end == REPLAY_SAME)
    replay_print (&o, out);
  fclose (out);
  copy = g_strdup (text);
  free (text);
  return copy;
}

static void
check_trace (gconstpointer data)
{
  const gchar *file = data;
  enum replay_result end;
  gchar *text = replay_text (file, &end);

  if (end != REPLAY_SAME)
    g_test_message ("%s", text);
  g_assert_cmpint (end, ==, REPLAY_SAME);
  expected_check (file, ".trace", text);
  g_free (text);
}

/* Replays the first trace with FROM made TO and checks the end.  */
static void
check_changed (const gchar *from, const gchar *to, enum replay_result expected)
{
  gchar *text = NULL;
  gchar *file = NULL;
  gchar *at;
  GString *changed;
  enum replay_result end;
  gint fd = g_file_open_tmp ("fulmartack-XXXXXX", &file, NULL);

  g_assert_true (
      g_file_get_contents (FOLDER "/kandy.trace", &text, NULL, NULL));
  at = strstr (text, from);
  g_assert_nonnull (at);
  changed = g_string_new_len (text, at - text);
  g_string_append (changed, to);
  g_string_append (changed, at + strlen (from));
  g_file_set_contents (file, changed->str, -1, NULL);
  g_free (replay_text (file, &end));
  g_assert_cmpint (end, ==, expected);
  g_remove (file);
  g_close (fd, NULL);
  g_string_free (changed, TRUE);
  g_free (file);
  g_free (text);
}

static void
test_differences (void)
{
  check_changed ("\"code\":\"worker\"", "\"code\":\"late\"", REPLAY_DIFFERENT);
  check_changed ("\"event\":\"request\"", "\"event\":\"tick\"",
                 REPLAY_DIFFERENT);
  check_changed ("\"event\":\"request\"", "\"event\":\"nothing\"",
                 REPLAY_MALFORMED);
  check_changed ("\"vm\":", "\"vn\":", REPLAY_MALFORMED);
}

int
main (int argc, char **argv)
{
  if (sodium_init () < 0)
    return 1;
  g_test_init (&argc, &argv, NULL);
  expected_add_folder ("/replay", FOLDER, ".trace", check_trace);
  g_test_add_func ("/replay/differences", test_differences);
  return g_test_run ();
}
