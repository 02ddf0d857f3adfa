/* load_script.h -- scripted runs of the decisions under load.

   A script of tests/load holds one JSON object per line; '#' starts a comment.
   The key "at" is a time in ms; the other key names what the line asks of a
   module.  Each module has a runner, which keeps its state for a script.  */

#ifndef TESTS_LOAD_SCRIPT_H
#define TESTS_LOAD_SCRIPT_H

#include <glib.h>
#include <jansson.h>

/** A module under test.  */
struct load_module
{
  const char *name; /**< Scripts of it are named NAME_*.script.  */
  void *(*create) (void);
  /** Applies LINE at AT_US and prints what the module decides.  */
  void (*run_line) (void *state, const json_t *line, guint64 at_us,
                    GString *out);
  void (*destroy) (void *state);
};

extern const struct load_module load_forecast;
extern const struct load_module load_sizing;
extern const struct load_module load_interference;
extern const struct load_module load_shares;

#endif
