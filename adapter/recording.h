/* recording.h -- the lines of a trace file, shared by recorder and replay.

   The first line holds the core's settings.  Each event is a line, followed by
   a line for each of its actions, which begins with two spaces, as in the
   scripts' expected output.  Of a body only the size and digest are kept.  */

#ifndef FTK_ADAPTER_RECORDING_H
#define FTK_ADAPTER_RECORDING_H

#include "core/core.h"
#include "port/action.h"

/** Returns S as a line without newline; free it with free.  */
char *recording_settings_line (const struct core_settings *s);

/** Reads S from a line; returns false if it is malformed.  */
bool recording_read_settings (const char *line, struct core_settings *s);

/** Returns E as a line without newline; free it with free.  Call it before the
    step, which consumes the event's record.  */
char *recording_event_line (const struct event *e);

/** Returns the event of a line as a talloc tree without a parent, or NULL with
    a reason in TEXT (TEXT_BYTES).  Its body is a placeholder of the recorded
    size, for which recording_action_line writes the recorded digest.  */
struct event *recording_read_event (const char *line, char *text);

/** Returns A as a line without newline; free it with free.  */
char *recording_action_line (const struct action *a);

#endif
