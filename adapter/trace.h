/* trace.h -- events and actions as JSON lines.

   One format serves `--record`, the replay tool and the scripted tests.  */

#ifndef FTK_ADAPTER_TRACE_H
#define FTK_ADAPTER_TRACE_H

#include "port/action.h"

#include <jansson.h>

/** Returns the event in J as a talloc tree of its own, or NULL with a reason
    in TEXT (TEXT_BYTES).  */
struct event *trace_event_from_json (const json_t *j, char *text);

/** Returns E as JSON (a new reference).  */
json_t *trace_event_to_json (const struct event *e);

/** Returns A as JSON (a new reference).  */
json_t *trace_action_to_json (const struct action *a);

/** Frees what A owns, for readers that do not carry it out.  */
void trace_action_drop (struct action *a);

#endif
