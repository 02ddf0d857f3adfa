/* test_scripts.c -- scripted runs of the core with expected output.

   tests/scripts/NAME.script holds events, NAME.expected the same events with
   the actions that they must cause.  With FTK_WRITE_EXPECTED set,
   NAME.expected is overwritten with the output, to be reviewed before it is
   committed.  */

#include "tests/expected.h"
#include "tests/script.h"

#include <sodium.h>

static void
check_script (gconstpointer data)
{
  GString *out = script_run (data);

  expected_check (data, ".script", out->str);
  g_string_free (out, TRUE);
}

int
main (int argc, char **argv)
{
  if (sodium_init () < 0)
    return 1;
  g_test_init (&argc, &argv, NULL);
  expected_add_directory ("/script", "tests/scripts", ".script", check_script);
  return g_test_run ();
}
