/* test_promises.c -- what must hold while the platform and the entries fail.
 */

#include "tests/promise_script.h"

int
main (int argc, char **argv)
{
  return promise_script_main (argc, argv, "/promises", "tests/promises");
}
