/* trace.h -- the core's events and actions as JSON.

   Trace files (`--record`), their replay and the scripted tests share this
   format.  */

#ifndef FTK_ADAPTER_TRACE_H
#define FTK_ADAPTER_TRACE_H

#include "port/action.h"

#include <jansson.h>

/** Returns the event in J as a talloc tree without a parent, or NULL with a
    reason in TEXT (TEXT_BYTES).  */
struct event *trace_event_from_json (const json_t *j, char *text);

/** Returns E as JSON (a new reference).  */
json_t *trace_event_to_json (const struct event *e);

/** Returns A as JSON (a new reference).  */
json_t *trace_action_to_json (const struct action *a);

/** Frees what A owns, for programs that do not execute the action.  */
void trace_action_drop (struct action *a);

#endif
