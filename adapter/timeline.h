/* timeline.h -- the journal duty: log lines and the time line of this entry.

   Lines go to log4c for changes of state only.  The newest notes are kept in
   memory for `fulmartackctl timeline`, which merges those of all entries.  */

#ifndef FTK_ADAPTER_TIMELINE_H
#define FTK_ADAPTER_TIMELINE_H

#include "adapter/duty.h"
#include "port/action.h"

#include <jansson.h>

struct timeline;

/** Returns a journal of entry VM, its thread not yet started; or NULL.  */
struct timeline *timeline_new (const char *vm);

/** Returns the duty, to start and join it.  */
struct duty *timeline_duty (struct timeline *j);

/** Hands a note to the journal; a full ring drops and counts it.  */
void timeline_add (struct timeline *j, const struct action_note *n);

/** Returns the notes kept after number AFTER, oldest first, as JSON (a new
    reference); all of them if AFTER was never reached, as after a restart.
    May be called from any thread.  */
json_t *timeline_to_json (struct timeline *j, uint64_t after);

/** Returns how many notes were dropped.  */
uint64_t timeline_dropped_count (const struct timeline *j);

void timeline_free (struct timeline *j);

#endif
