/* test_soak.c -- planned stops of entry processes that overlap with each other
   and with faults, under clients that nobody controls.

   Plays the scripts in tests/soak.  With FTK_SOAK_SEEDS=N it plays the seeds 1
   to N in their place, or from FTK_SOAK_FIRST on, with up to FTK_SOAK_ENTRIES
   entries (8), and prints the script of each seed that fails.  FTK_SOAK names
   another script, whose result is printed.  */

#include "tests/soak.h"

#include "tests/cluster.h"
#include "tests/expected.h"

#include <stdio.h>
#include <stdlib.h>

#define ENTRY_LIMIT 8

static void
print_result (const gchar *name, const struct soak_result *r)
{
  g_test_message ("%s: %u requests, %u answered, %u jobs accepted, %u stops, "
                  "the longest %" G_GINT64_FORMAT " ms, %" G_GINT64_FORMAT
                  " ms without an owner, %u broken",
                  name, r->request_count, r->answered_count, r->accepted_count,
                  r->stop_count, r->longest_stop_ms, r->ownerless_ms,
                  r->broken_count);
  if (r->broken_count > 0)
    g_test_message ("%s", r->report->str);
}

static void
check_script (gconstpointer data)
{
  struct soak_result r;
  gchar *text = NULL;
  gchar *out;

  g_assert_true (g_file_get_contents (data, &text, NULL, NULL));
  soak_play (text, &r);
  print_result (data, &r);
  out = g_strdup_printf ("%s  broken: %u\n", text, r.broken_count);
  expected_check (data, ".script", out);
  g_string_free (r.report, TRUE);
  g_free (out);
  g_free (text);
}

static guint
get_number (const gchar *name, guint otherwise)
{
  const gchar *text = g_getenv (name);

  return text != NULL ? (guint)strtoul (text, NULL, 10) : otherwise;
}

static void
check_seed (gconstpointer data)
{
  guint seed = GPOINTER_TO_UINT (data);
  gchar *script
      = soak_plan (seed, get_number ("FTK_SOAK_ENTRIES", ENTRY_LIMIT));
  gchar *name = g_strdup_printf ("seed %u", seed);
  struct soak_result r;

  soak_play (script, &r);
  print_result (name, &r);
  if (r.broken_count > 0)
    {
      g_test_message ("%s", script);
      g_test_fail ();
    }
  g_string_free (r.report, TRUE);
  g_free (name);
  g_free (script);
}

int
main (int argc, char **argv)
{
  guint count = get_number ("FTK_SOAK_SEEDS", 0);
  guint first = get_number ("FTK_SOAK_FIRST", 1);
  const gchar *file = g_getenv ("FTK_SOAK");
  guint i;

  cluster_init (&argc, &argv);
  if (file != NULL)
    g_test_add_data_func ("/soak/script", file, check_script);
  else if (count == 0)
    expected_add_directory ("/soak", "tests/soak", ".script", check_script);
  for (i = first; file == NULL && i < first + count; i++)
    {
      gchar *path = g_strdup_printf ("/soak/seed/%u", i);

      g_test_add_data_func (path, GUINT_TO_POINTER (i), check_seed);
      g_free (path);
    }
  return g_test_run ();
}
