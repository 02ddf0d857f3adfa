/* test_scripts.c -- scripted runs of the core with expected output.

   tests/scripts/NAME.script holds events, NAME.expected the same events with
   the actions that they must cause.  With FTK_WRITE_EXPECTED set,
   NAME.expected is overwritten with the output, to be reviewed before it is
   committed.  */

#include "tests/script.h"

#include <sodium.h>
#include <string.h>

static void
check_script (gconstpointer data)
{
  const gchar *file = data;
  GString *out = script_run (file);
  gchar *stem = g_strndup (file, strlen (file) - strlen (".script"));
  gchar *expected_file = g_strconcat (stem, ".expected", NULL);
  gchar *expected = NULL;

  if (g_getenv ("FTK_WRITE_EXPECTED") != NULL)
    g_file_set_contents (expected_file, out->str, -1, NULL);
  g_assert_true (g_file_get_contents (expected_file, &expected, NULL, NULL));
  g_assert_cmpstr (out->str, ==, expected);
  g_free (expected);
  g_free (expected_file);
  g_free (stem);
  g_string_free (out, TRUE);
}

int
main (int argc, char **argv)
{
  GDir *d;
  const gchar *name;

  if (sodium_init () < 0)
    return 1;
  g_test_init (&argc, &argv, NULL);
  d = g_dir_open ("tests/scripts", 0, NULL);
  g_assert_nonnull (d);
  while ((name = g_dir_read_name (d)) != NULL)
    if (g_str_has_suffix (name, ".script"))
      {
        gchar *path = g_strconcat ("/script/", name, NULL);

        g_test_add_data_func_full (
            path, g_build_filename ("tests/scripts", name, NULL), check_script,
            g_free);
        g_free (path);
      }
  g_dir_close (d);
  return g_test_run ();
}
