/* test_cell.c -- scripted runs of the cell with expected output.

   tests/cells/NAME.script holds events, NAME.expected the same events with the
   actions that they must cause.  With FTK_WRITE_EXPECTED set, NAME.expected is
   overwritten with the output, to be reviewed before it is committed.  */

#include "tests/cell_script.h"
#include "tests/expected.h"

static void
check_script (gconstpointer data)
{
  GString *out = cell_script_run (data);

  expected_check (data, ".script", out->str);
  g_string_free (out, TRUE);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  expected_add_directory ("/cell", "tests/cells", ".script", check_script);
  return g_test_run ();
}
