/* promise_script.c -- plays scripts of the model.  */

#include "tests/promise_script.h"

#include "tests/expected.h"
#include "tests/model.h"

#include <jansson.h>
#include <stdio.h>
#include <string.h>

static uint32_t
read_number (const json_t *j, const char *name, uint32_t fallback)
{
  const json_t *v = json_object_get (j, name);

  return v != NULL ? (uint32_t)json_integer_value (v) : fallback;
}

static void
read_faults (const json_t *j, struct model_options *o)
{
  const json_t *list = json_object_get (j, "faults");
  const json_t *row;
  size_t i;
  int k;

  json_array_foreach (list, i, row)
  {
    for (k = 0; k < MODEL_FAULT_COUNT; k++)
      if (strcmp (model_fault_name (k), json_string_value (row)) == 0)
        break;
    g_assert_cmpint (k, <, MODEL_FAULT_COUNT);
    o->fault_kinds[o->fault_kind_count++] = (enum model_fault)k;
  }
  for (k = 0; list == NULL && k < MODEL_FAULT_COUNT; k++)
    if (k != MODEL_ENTRIES_RESTARTED && k < MODEL_OWNER_LOST)
      o->fault_kinds[o->fault_kind_count++] = (enum model_fault)k;
}

static void
play_line (const char *line, GString *out)
{
  json_error_t error;
  json_t *j = json_loads (line, 0, &error);
  struct model_options o = { 0 };
  const json_t *seeds = json_object_get (j, "seeds");
  uint32_t seed;
  uint32_t broken_seeds = 0;

  if (j == NULL)
    g_error ("%s: %s", line, error.text);
  o.entry_count = read_number (j, "entries", 4);
  o.vm_count = read_number (j, "vms", 5);
  o.serving_task_count = read_number (j, "serving", 4);
  o.arrival_ms = read_number (j, "arrival", 250);
  o.cpu_milli = read_number (j, "cpu", 250);
  o.fault_count = read_number (j, "fault_count", 3);
  o.restart_gap_ms = read_number (j, "restart_gap", 1000);
  o.cancel_percent = read_number (j, "cancel", 0);
  o.resend_percent = read_number (j, "resend", 0);
  o.ask_ms = read_number (j, "ask", 0);
  o.insist_ms = read_number (j, "insist", 0);
  o.unconfirmed_state_s = read_number (j, "unconfirmed_state", 0);
  o.mixed_percent = read_number (j, "mixed", 0);
  o.placed_percent = read_number (j, "placed", 0);
  o.serving_fail_percent = read_number (j, "serving_fails", 0);
  o.failing_percent = read_number (j, "failing", 0);
  o.recurring_percent = read_number (j, "recurring", 0);
  o.recurring_ms = read_number (j, "recurring_ms", 0);
  o.writes_per_s = read_number (j, "writes", 0);
  o.reads_per_s = read_number (j, "reads", 0);
  o.order_us = read_number (j, "order_us", 0);
  o.event_us = read_number (j, "event_us", 0);
  o.weak_cpu_milli = read_number (j, "weak_cpu", 0);
  o.mute_milli = read_number (j, "mute", 0);
  o.booting_milli = read_number (j, "booting", 0);
  o.unfenced = read_number (j, "unfenced", 0) != 0;
  o.verbose = g_getenv ("FTK_PROMISES_LOG") != NULL;
  read_faults (j, &o);
  for (seed = (uint32_t)json_integer_value (json_array_get (seeds, 0));
       seed <= (uint32_t)json_integer_value (json_array_get (seeds, 1));
       seed++)
    {
      GString *report = g_string_new (NULL);
      uint32_t broken = model_play (&o, seed, report);

      if (broken > 0)
        g_string_append_printf (out, "  seed %u: %u broken\n%s", seed, broken,
                                report->str);
      broken_seeds += broken > 0;
      g_string_free (report, TRUE);
    }
  g_string_append_printf (out, "  broken: %u\n", broken_seeds);
  json_decref (j);
}

static GString *
play (const gchar *file)
{
  GString *out = g_string_new (NULL);
  gchar *text = NULL;
  gchar **lines;
  guint i;

  g_assert_true (g_file_get_contents (file, &text, NULL, NULL));
  lines = g_strsplit (text, "\n", -1);
  for (i = 0; lines[i] != NULL; i++)
    {
      if (lines[i][0] == '\0')
        continue;
      g_string_append_printf (out, "%s\n", lines[i]);
      if (lines[i][0] != '#')
        play_line (lines[i], out);
    }
  g_strfreev (lines);
  g_free (text);
  return out;
}

static void
check_script (gconstpointer data)
{
  GString *out = play (data);

  expected_check (data, ".script", out->str);
  g_string_free (out, TRUE);
}

int
promise_script_main (int argc, char **argv, const char *path,
                     const char *directory)
{
  const gchar *file = g_getenv ("FTK_PROMISES");

  g_test_init (&argc, &argv, NULL);
  if (file != NULL)
    {
      GString *out = play (file);

      fputs (out->str, stdout);
      g_string_free (out, TRUE);
      return 0;
    }
  expected_add_directory (path, directory, ".script", check_script);
  return g_test_run ();
}
