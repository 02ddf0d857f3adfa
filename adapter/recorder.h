/* recorder.h -- the record duty: writes a run's events and actions to a trace
   file.

   The decide duty encodes the lines of a step itself, since the step consumes
   the event.  This duty's thread writes them, so a slow file never delays a
   decision.  When the duty's ring is full, recording ends for good and the
   file holds the complete steps up to there.  */

#ifndef FTK_ADAPTER_RECORDER_H
#define FTK_ADAPTER_RECORDER_H

#include "adapter/duty.h"
#include "core/core.h"

struct recorder;

/** Opens FILE and writes the settings S as its first line; returns NULL with
    errno set on failure.  */
struct recorder *recorder_open (const char *file,
                                const struct core_settings *s);

/** Returns the duty, to start and stop it.  */
struct duty *recorder_duty (struct recorder *r);

/** Starts the lines of a step with its event E; call it before the step.  */
void recorder_begin_step (struct recorder *r, const struct event *e);

/** Adds an action of the step.  */
void recorder_add_action (struct recorder *r, const struct action *a);

/** Ends the step and passes its lines to the duty's thread.  */
void recorder_end_step (struct recorder *r);

/** Writes the lines left in the ring of the stopped duty, closes the file and
    frees R; NULL is allowed.  */
void recorder_close (struct recorder *r);

#endif
