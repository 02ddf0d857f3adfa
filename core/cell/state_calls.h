/* state_calls.h -- calls for the state of a job that an owner does not answer,
   and what entries know of the states of jobs for them.  */

#ifndef FTK_CORE_CELL_STATE_CALLS_H
#define FTK_CORE_CELL_STATE_CALLS_H

#include "core/cell/state.h"

/** State of a job as this entry knows it.  */
struct known_state
{
  uint64_t job;
  enum job_state state;
  uint64_t ended_at_ms; /**< Of a final state: Unix time, at the latest.  */
  uint64_t
      changed_token; /**< Token of the owner under whom it changed last.  */
};

/* state_calls.c */
/** Counts the entries that are linked to this one, if it is the owner and the
    store answers.  */
void state_calls_count_entries (struct cell *c);
/** Returns what this entry and those that are linked to it know of the store;
    STORE_VIEW_NONE if they are not most entries.  */
enum store_view state_calls_view_store (const struct cell *c);
/** Handles that entries that are linked to this one have changed.  */
void state_calls_on_peers (struct cell *c);
/** Handles that the entry at the address of the owner, to which this one is
    linked, has told VIEW and ENTRY_COUNT.  */
void state_calls_on_owner_link (struct cell *c, enum store_view view,
                                uint32_t entry_count);
/** Returns true if the configuration, which cannot be confirmed, still admits
    calls for the state of a job.  */
bool state_calls_admit_unconfirmed (const struct cell *c);
/** Returns true unless CALL was admitted by such a configuration and another
    entry may have a newer one.  */
bool state_calls_may_answer (const struct cell *c,
                             const struct job_call *call);
/** Sets STATE to the state of JOB; returns false if it is not known or may
   have changed.  */
bool state_calls_find (const struct cell *c, uint64_t job,
                       enum job_state *state);

/* state_reports.c */
/** Returns true if the settings have entries tell each other the states of
    jobs.  */
bool state_reports_are_on (const struct cell *c);
void state_reports_init (struct cell *c);
void state_reports_free (struct cell *c);
/** Handles that this entry has become the owner: what other entries may not
    know of its jobs is told.  */
void state_reports_begin (struct cell *c);
/** Notes that the state of J, a job of this owner, may have changed.  */
void state_reports_note (struct cell *c, const struct job *j);
/** Handles that P has just been linked: this owner tells it all states that
    have changed under it.  */
void state_reports_on_linked (struct cell *c, const struct peer *p);
/** Handles E, states that the owner tells.  */
void state_reports_on_states (struct cell *c, const struct cell_event *e);
/** Tells the linked entries what has changed, and forgets states that are not
    told to clients any more.  */
void state_reports_tick (struct cell *c);

#endif
