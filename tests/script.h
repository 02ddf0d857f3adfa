/* script.h -- runs a script of events through a core.  */

#ifndef TESTS_SCRIPT_H
#define TESTS_SCRIPT_H

#include <glib.h>

/** Runs the events of FILE (JSON lines, '#' starts a comment) and returns
    each event's actions as lines.  */
GString *script_run (const char *file);

#endif
