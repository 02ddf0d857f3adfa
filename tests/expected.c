/* expected.c -- comparing what a test gave with its expected output.  */

#include "tests/expected.h"

#include <string.h>

static void
check_lines (const gchar *file, const gchar *text, const gchar *expected)
{
  gchar **given = g_strsplit (text, "\n", -1);
  gchar **wanted = g_strsplit (expected, "\n", -1);
  guint i = 0;

  while (given[i] != NULL && wanted[i] != NULL
         && strcmp (given[i], wanted[i]) == 0)
    i++;
  if (g_strcmp0 (given[i], wanted[i]) != 0)
    {
      g_test_message ("%s:%u: expected: %s", file, i + 1,
                      wanted[i] ? wanted[i] : "end");
      g_test_message ("%s:%u: given: %s", file, i + 1,
                      given[i] ? given[i] : "end");
      g_test_fail ();
    }
  g_strfreev (given);
  g_strfreev (wanted);
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
expected_add_folder (const gchar *prefix, const gchar *folder,
                     const gchar *suffix, GTestDataFunc check)
{
  GDir *d = g_dir_open (folder, 0, NULL);
  const gchar *name;

  g_assert_nonnull (d);
  while ((name = g_dir_read_name (d)) != NULL)
    if (g_str_has_suffix (name, suffix))
      {
        gchar *path = g_strconcat (prefix, "/", name, NULL);

        g_test_add_data_func_full (path, g_build_filename (folder, name, NULL),
                                   check, g_free);
        g_free (path);
      }
  g_dir_close (d);
}
