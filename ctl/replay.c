/* replay.c -- fulmartackctl replay.  */

#include "ctl/ctl.h"

#include "adapter/replay.h"

#include <stdio.h>

int
ctl_replay (struct ctl *c)
{
  struct replay_counts o;

  if (c->argument_count != 2)
    {
      fprintf (stderr, "usage: fulmartackctl replay FILE\n");
      return EXIT_USAGE_ERROR;
    }
  switch (replay_file (c->arguments[1], stderr, &o))
    {
    case REPLAY_SAME:
      replay_print (&o, stdout);
      return EXIT_DONE;
    case REPLAY_DIFFERENT:
      return EXIT_REFUSED;
    case REPLAY_MALFORMED:
      break;
    }
  return EXIT_BAD_DOCUMENT;
}
