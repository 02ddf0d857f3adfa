/* timeline.h -- the timeline duty: the notes of this entry, oldest first.

   A note is one change of state.  Each is written as a log line by log4c, and
   the newest are kept in memory for `fulmartackctl timeline`, which merges the
   timelines of all entries.  */

#ifndef FTK_ADAPTER_TIMELINE_H
#define FTK_ADAPTER_TIMELINE_H

#include "adapter/duty.h"
#include "port/action.h"

#include <jansson.h>

struct timeline;

/** Returns the timeline of the entry on VM, its thread not yet started, or
    NULL if out of memory or file descriptors.  */
struct timeline *timeline_new (const char *vm);

/** Returns the duty, to start and stop it.  */
struct duty *timeline_duty (struct timeline *t);

/** Adds N with the current time, or counts it as dropped when the ring is
    full.  */
void timeline_add (struct timeline *t, const struct action_note *n);

/** Returns the kept notes numbered above AFTER, oldest first, as JSON (a new
    reference).  If AFTER is above the newest number, as after a restart of
    this entry, all are returned.  May be called from any thread.  */
json_t *timeline_to_json (struct timeline *t, uint64_t after);

/** Returns how many notes were dropped; may be called from any thread.  */
uint64_t timeline_dropped_count (const struct timeline *t);

/** Frees the stopped duty and closes log4c; NULL is allowed.  */
void timeline_free (struct timeline *t);

#endif
