/* test_findings.c -- faulty documents with the findings expected.

   tests/findings/NAME.json is checked as settings if NAME starts with
   "settings-", as tables otherwise; NAME.expected holds the status and the
   report.  With FTK_WRITE_EXPECTED set the output is written instead.  */

#include "fulmartack.h"

#include <glib.h>
#include <stdlib.h>
#include <string.h>

#define FOLDER "tests/findings"

static gchar *
check_file (const gchar *file)
{
  gchar *name = g_path_get_basename (file);
  gboolean settings = g_str_has_prefix (name, "settings-");
  char *text = NULL;
  size_t size = 0;
  FILE *out = open_memstream (&text, &size);
  ftk_status s = settings ? ftk_settings_check (file, out)
                          : ftk_tables_check (file, out);
  gchar *report;

  fclose (out);
  report = g_strdup_printf ("%s\n%s", ftk_status_text (s), text);
  free (text);
  g_free (name);
  return report;
}

static void
check_document (gconstpointer data)
{
  const gchar *file = data;
  gchar *report = check_file (file);
  gchar *stem = g_strndup (file, strlen (file) - strlen (".json"));
  gchar *expected_file = g_strconcat (stem, ".expected", NULL);
  gchar *expected = NULL;

  if (g_getenv ("FTK_WRITE_EXPECTED") != NULL)
    g_file_set_contents (expected_file, report, -1, NULL);
  g_assert_true (g_file_get_contents (expected_file, &expected, NULL, NULL));
  g_assert_cmpstr (report, ==, expected);
  g_free (expected);
  g_free (expected_file);
  g_free (stem);
  g_free (report);
}

int
main (int argc, char **argv)
{
  GDir *d;
  const gchar *name;

  g_test_init (&argc, &argv, NULL);
  d = g_dir_open (FOLDER, 0, NULL);
  g_assert_nonnull (d);
  while ((name = g_dir_read_name (d)) != NULL)
    if (g_str_has_suffix (name, ".json"))
      {
        gchar *path = g_strconcat ("/findings/", name, NULL);

        g_test_add_data_func_full (path, g_build_filename (FOLDER, name, NULL),
                                   check_document, g_free);
        g_free (path);
      }
  g_dir_close (d);
  return g_test_run ();
}
