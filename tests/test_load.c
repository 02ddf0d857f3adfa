/* test_load.c -- scripted runs of the decisions under load with expected
   output.

   tests/load/MODULE_NAME.script is run by the module MODULE, see
   load_script.h.  With FTK_WRITE_EXPECTED set, the expected output is
   overwritten.  */

#include "tests/expected.h"
#include "tests/load_script.h"

static const struct load_module *const modules[]
    = { &load_forecast, &load_interference, &load_shares, &load_sizing };

static const struct load_module *
find_module (const char *file)
{
  gchar *name = g_path_get_basename (file);
  const struct load_module *found = NULL;
  gsize i;

  for (i = 0; i < G_N_ELEMENTS (modules); i++)
    if (g_str_has_prefix (name, modules[i]->name))
      found = modules[i];
  g_free (name);
  return found;
}

static void
check_script (gconstpointer data)
{
  const struct load_module *m = find_module (data);
  GString *out = g_string_new (NULL);
  void *state;
  gchar *text = NULL;
  gchar **lines;
  guint i;

  g_assert_nonnull (m);
  g_assert_true (g_file_get_contents (data, &text, NULL, NULL));
  state = m->create ();
  lines = g_strsplit (text, "\n", -1);
  for (i = 0; lines[i] != NULL; i++)
    {
      json_t *j;

      if (lines[i][0] == '\0' || lines[i][0] == '#')
        continue;
      j = json_loads (lines[i], 0, NULL);
      g_assert_nonnull (j);
      g_string_append_printf (out, "%s\n", lines[i]);
      m->run_line (
          state, j,
          (guint64)json_integer_value (json_object_get (j, "at")) * 1000, out);
      json_decref (j);
    }
  m->destroy (state);
  expected_check (data, ".script", out->str);
  g_strfreev (lines);
  g_free (text);
  g_string_free (out, TRUE);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  expected_add_directory ("/load", "tests/load", ".script", check_script);
  return g_test_run ();
}
