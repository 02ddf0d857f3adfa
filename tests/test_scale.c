/* test_scale.c -- how the decisions' processor time grows with the cell.

   A script with many entries, and one with few, is written to a temporary
   folder and played; their processor times are compared.  */

#include "tests/cell_script.h"

#include <glib/gstdio.h>
#include <stdint.h>
#include <string.h>
#include <time.h>

#define RUNNER_COUNT 1000u
#define FEW_ENTRY_COUNT 40u
#define MANY_ENTRY_COUNT 400u
/** Ten times the entries may take this many times as long, reading the longer
    script included.  */
#define GROWTH_LIMIT 6

static void
add_runners (GString *s)
{
  uint32_t i;

  g_string_append (s, "{\"at\":80,\"runners\":[");
  for (i = 0; i < RUNNER_COUNT; i++)
    g_string_append_printf (
        s, "%s{\"id\":\"r%u\",\"pool\":\"p\",\"address\":\"10.0.0.1:%u\"}",
        i > 0 ? "," : "", i, i + 1);
  g_string_append (s, "],\"whole\":true}\n");
}

/* Returns a script in which an owner linked to ENTRY_COUNT entries starts a
   task on each of its runners, through delegates.  */
static GString *
make_script (uint32_t entry_count)
{
  GString *s = g_string_new ("{\"include\":\"claimed.part\"}\n"
                             "{\"at\":70,\"recovered\":{\"rows\":[]}}\n");
  uint32_t i;

  for (i = 0; i < entry_count; i++)
    g_string_append_printf (s,
                            "{\"at\":75,\"peer\":{\"link\":%u,\"zone\":\"z\","
                            "\"member\":\"e%u\"}}\n",
                            i + 1, i);
  add_runners (s);
  g_string_append (s, "{\"at\":100,\"tick\":true}\n");
  for (i = 0; i < RUNNER_COUNT; i++)
    g_string_append_printf (s, "{\"at\":110,\"result\":{\"order\":%u}}\n",
                            i + 1);
  g_string_append_printf (
      s,
      "{\"at\":200,\"job_call\":{\"link\":9,\"id\":1,\"kind\":\"submit\","
      "\"queue\":\"q\",\"tenant\":\"t\",\"job\":\"00000000000000aa\","
      "\"steps\":[{\"count\":%u,\"cpu\":8000}]}}\n"
      "{\"at\":210,\"appended\":{\"sequence\":1,\"outcome\":\"stored\"}}\n",
      RUNNER_COUNT);
  return s;
}

/* Plays SCRIPT as NAME in the folder DIRECTORY; returns the processor time in
   microseconds, and the number of starts that went through delegates.  */
static uint64_t
play (const gchar *directory, const char *name, const GString *script,
      uint32_t *delegated_count)
{
  gchar *path = g_build_filename (directory, name, NULL);
  struct timespec t[2];
  GString *out;
  const char *at;

  g_assert_true (g_file_set_contents (path, script->str, -1, NULL));
  clock_gettime (CLOCK_PROCESS_CPUTIME_ID, &t[0]);
  out = cell_script_run (path);
  clock_gettime (CLOCK_PROCESS_CPUTIME_ID, &t[1]);
  *delegated_count = 0;
  for (at = out->str; (at = strstr (at, ": start on ")) != NULL; at++)
    *delegated_count += strstr (at, " by link ") < strchr (at, '\n');
  g_string_free (out, TRUE);
  g_unlink (path);
  g_free (path);
  return (uint64_t)(t[1].tv_sec - t[0].tv_sec) * 1000000
         + (uint64_t)(t[1].tv_nsec / 1000) - (uint64_t)(t[0].tv_nsec / 1000);
}

/* Guards against LOST at size: the choice of a delegate took a time that grew
   with the square of the number of entries, and an owner of 300 entries fell
   behind by itself.  */
static void
test_many_entries (void)
{
  gchar *directory = g_dir_make_tmp ("ftk-scale-XXXXXX", NULL);
  gchar *part = g_build_filename (directory, "claimed.part", NULL);
  GString *few = make_script (FEW_ENTRY_COUNT);
  GString *many = make_script (MANY_ENTRY_COUNT);
  gchar *content = NULL;
  uint64_t few_us;
  uint64_t many_us;
  uint32_t delegated_count;

  g_assert_true (
      g_file_get_contents ("tests/cells/claimed.part", &content, NULL, NULL));
  g_assert_true (g_file_set_contents (part, content, -1, NULL));
  few_us = play (directory, "few.script", few, &delegated_count);
  g_assert_cmpuint (delegated_count, >, 0);
  many_us = play (directory, "many.script", many, &delegated_count);
  g_assert_cmpuint (delegated_count, >, 0);
  g_test_message ("%u entries: %llu us, %u entries: %llu us", FEW_ENTRY_COUNT,
                  (unsigned long long)few_us, MANY_ENTRY_COUNT,
                  (unsigned long long)many_us);
  g_assert_cmpuint (many_us, <, GROWTH_LIMIT * few_us);
  g_unlink (part);
  g_rmdir (directory);
  g_free (content);
  g_free (part);
  g_free (directory);
  g_string_free (few, TRUE);
  g_string_free (many, TRUE);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/scale/many_entries", test_many_entries);
  return g_test_run ();
}
