/* test_islands.c -- what must hold while entries are cut off together with
   some runners.  Apart from test_promises, as each program of tests has a
   limit of time.  */

#include "tests/promise_script.h"

int
main (int argc, char **argv)
{
  return promise_script_main (argc, argv, "/islands", "tests/islands");
}
