/* recording.h -- the lines of a recorded run, shared by recorder and replay.

   The first line holds the core's settings.  Each event is a line, followed by
   a line for each of its actions, which begins with two spaces: the format of
   the scripts' expected output.  Bodies are kept by size and digest.  */

#ifndef FTK_ADAPTER_RECORDING_H
#define FTK_ADAPTER_RECORDING_H

#include "core/core.h"
#include "port/action.h"

/** Returns S as a line without its end; free it with free.  */
char *recording_settings_line (const struct core_settings *s);

/** Reads S from a line; returns false if it is malformed.  */
bool recording_read_settings (const char *line, struct core_settings *s);

/** Returns E as a line without its end; free it with free.  Call it before
    the step, which takes the event's record over.  */
char *recording_event_line (const struct event *e);

/** Returns the event of a line as a talloc tree of its own, or NULL with a
    reason in TEXT (TEXT_BYTES).  Its body has the recorded size and stands for
    the recorded digest.  */
struct event *recording_read_event (const char *line, char *text);

/** Returns A as a line without its end; free it with free.  */
char *recording_action_line (const struct action *a);

#endif
