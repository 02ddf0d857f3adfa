/* test_findings.c -- checks of settings and tables with expected findings.

   tests/findings/NAME.json is checked as settings if NAME starts with
   "settings-", as tables otherwise.  NAME.expected holds the status and the
   findings; with FTK_WRITE_EXPECTED set it is overwritten with the output.  */

#include "fulmartack.h"

#include "tests/expected.h"

#include <stdlib.h>
#include <string.h>

#define DIRECTORY "tests/findings"

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

  expected_check (file, ".json", report);
  g_free (report);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  expected_add_directory ("/findings", DIRECTORY, ".json", check_document);
  return g_test_run ();
}
