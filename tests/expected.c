/* expected.c -- compares the output of a test with its expected output.  */

#include "tests/expected.h"

#include <string.h>

static void
check_lines (const gchar *file, const gchar *text, const gchar *expected)
{
  gchar **actual_lines = g_strsplit (text, "\n", -1);
  gchar **expected_lines = g_strsplit (expected, "\n", -1);
  guint i = 0;

  while (actual_lines[i] != NULL && expected_lines[i] != NULL
         && strcmp (actual_lines[i], expected_lines[i]) == 0)
    i++;
  if (g_strcmp0 (actual_lines[i], expected_lines[i]) != 0)
    {
      g_test_message ("%s:%u: expected: %s", file, i + 1,
                      expected_lines[i] ? expected_lines[i] : "end of file");
      g_test_message ("%s:%u: actual: %s", file, i + 1,
                      actual_lines[i] ? actual_lines[i] : "end of file");
      g_test_fail ();
    }
  g_strfreev (actual_lines);
  g_strfreev (expected_lines);
}

void
expected_check (const gchar *file, const gchar *suffix, const gchar *text)
{
  gchar *stem = g_strndup (file, strlen (file) - strlen (suffix));
  gchar *expected_file = g_strconcat (stem, ".expected", NULL);
  gchar *expected = NULL;

  if (g_getenv ("FTK_WRITE_EXPECTED") != NULL)
    g_file_set_contents (expected_file, text, -1, NULL);
  g_assert_true (g_file_get_contents (expected_file, &expected, NULL, NULL));
  check_lines (expected_file, text, expected);
  g_free (expected);
  g_free (expected_file);
  g_free (stem);
}

void
expected_add_directory (const gchar *prefix, const gchar *directory,
                        const gchar *suffix, GTestDataFunc check)
{
  GDir *d = g_dir_open (directory, 0, NULL);
  const gchar *name;

  g_assert_nonnull (d);
  while ((name = g_dir_read_name (d)) != NULL)
    if (g_str_has_suffix (name, suffix))
      {
        gchar *path = g_strconcat (prefix, "/", name, NULL);
        gchar *file = g_build_filename (directory, name, NULL);

        /* GLib does not free the data of a case that is left out.  */
        g_test_add_data_func (path, g_intern_string (file), check);
        g_free (file);
        g_free (path);
      }
  g_dir_close (d);
}
