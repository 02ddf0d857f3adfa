/* script.h -- runs a core on events read from JSON lines.  */

#ifndef TESTS_SCRIPT_H
#define TESTS_SCRIPT_H

#include <glib.h>

/** Runs a core on the events of FILE, one JSON object per line; '#' starts a
    comment.  Returns the lines, each followed by the actions that it
    caused.  */
GString *script_run (const char *file);

#endif
