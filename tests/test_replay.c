/* test_replay.c -- recorded runs are replayed with the same decisions.

   tests/traces/NAME.trace was recorded by tests/record.sh.  Its replay must
   decide as recorded and print the counts in NAME.expected; with
   FTK_WRITE_EXPECTED set, NAME.expected is overwritten with the output.  */

#include "adapter/replay.h"
#include "tests/expected.h"

#include <glib/gstdio.h>
#include <sodium.h>
#include <stdlib.h>
#include <string.h>

#define DIRECTORY "tests/traces"

/* Replays FILE, sets *RESULT and returns what the replay printed.  */
static gchar *
replay_text (const gchar *file, enum replay_result *result)
{
  struct replay_counts counts;
  char *text = NULL;
  size_t size = 0;
  FILE *out = open_memstream (&text, &size);
  gchar *copy;

  *result = replay_file (file, out, &counts);
  if (*result == REPLAY_SAME)
    replay_print (&counts, out);
  fclose (out);
  copy = g_strdup (text);
  free (text);
  return copy;
}

static void
check_trace (gconstpointer data)
{
  const gchar *file = data;
  enum replay_result result;
  gchar *text = replay_text (file, &result);

  if (result != REPLAY_SAME)
    g_test_message ("%s", text);
  g_assert_cmpint (result, ==, REPLAY_SAME);
  expected_check (file, ".trace", text);
  g_free (text);
}

/* Replays kandy.trace with the first FROM replaced by TO, which must result in
   EXPECTED.  */
static void
check_changed (const gchar *from, const gchar *to, enum replay_result expected)
{
  gchar *text = NULL;
  gchar *file = NULL;
  gchar *at;
  GString *changed;
  enum replay_result result;
  gint fd = g_file_open_tmp ("fulmartack-XXXXXX", &file, NULL);

  g_assert_true (
      g_file_get_contents (DIRECTORY "/kandy.trace", &text, NULL, NULL));
  at = strstr (text, from);
  g_assert_nonnull (at);
  changed = g_string_new_len (text, at - text);
  g_string_append (changed, to);
  g_string_append (changed, at + strlen (from));
  g_file_set_contents (file, changed->str, -1, NULL);
  g_free (replay_text (file, &result));
  g_assert_cmpint (result, ==, expected);
  g_remove (file);
  g_close (fd, NULL);
  g_string_free (changed, TRUE);
  g_free (file);
  g_free (text);
}

/* A changed decision or event is a difference; an unknown event or a missing
   setting is malformed.  */
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
  expected_add_directory ("/replay", DIRECTORY, ".trace", check_trace);
  g_test_add_func ("/replay/differences", test_differences);
  return g_test_run ();
}
