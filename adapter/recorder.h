/* recorder.h -- the record duty: writes a run's events and actions to a file.

   The decide duty codes the lines of a step, for the step takes the event
   over; this duty's thread writes them, so a slow file never holds up a
   decision.  When its ring is full, recording ends there and the file keeps
   the whole steps before.  */

#ifndef FTK_ADAPTER_RECORDER_H
#define FTK_ADAPTER_RECORDER_H

#include "adapter/duty.h"
#include "core/core.h"

struct recorder;

/** Opens FILE and writes the settings S, or returns NULL with errno set.  */
struct recorder *recorder_open (const char *file,
                                const struct core_settings *s);

/** Returns the duty, to start and join it.  */
struct duty *recorder_duty (struct recorder *r);

/** Begins a step with E.  */
void recorder_begin_step (struct recorder *r, const struct event *e);

/** Adds an action to the step.  */
void recorder_add_action (struct recorder *r, const struct action *a);

/** Ends the step and hands its lines to the writer.  */
void recorder_end_step (struct recorder *r);

/** Writes what is left and closes the file; NULL is allowed.  */
void recorder_close (struct recorder *r);

#endif
