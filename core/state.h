/* state.h -- the state of one entry, private to the core's modules.

   An entry is one process that takes callers' requests.  It is a member of the
   fleet while the control state (control.h) lists it.  The "tables" are those
   of the configuration in force.  */

#ifndef FTK_CORE_STATE_H
#define FTK_CORE_STATE_H

#include "core/control.h"
#include "core/core.h"
#include "core/vm_control.h"
#include "core/retry.h"
#include "core/deadline.h"
#include "core/limit.h"

#include <sys/queue.h>

/** Attempts allowed per request, the first included.  */
#define ATTEMPT_LIMIT_COUNT 3

/** Stage of a request's life.  */
enum request_state
{
  REQUEST_CLAIMING,    /**< Waits for the holders to grant its key.  */
  REQUEST_WAITING,     /**< In a pool's queue.  */
  REQUEST_RUNNING,     /**< An attempt is in flight.  */
  REQUEST_BACKING_OFF, /**< In core.backing_off until its next attempt.  */
  REQUEST_ANSWERED     /**< Answered; its attempt still holds its slot.  */
};

/** Outcome of the last request of one queue on one worker.  */
enum queue_outcome
{
  OUTCOME_NONE,
  OUTCOME_SUCCESS,
  OUTCOME_FAILURE
};

struct key_placement;
struct idempotency_table;
struct key_claim;

/** Most members that hold the claim of one idempotency key.  */
#define HOLDER_LIMIT_COUNT 8

/** Members that hold the claim of a key, highest rank first.  */
struct key_holders
{
  uint64_t incarnations[HOLDER_LIMIT_COUNT];
  uint32_t count;
  bool in_doubt; /**< Every holder that knew of a claim may be lost.  */
};

/** One caller's request, from its admission to its answer and the end of its
    last attempt.  */
struct request
{
  TAILQ_ENTRY (request) link; /**< In its pool's queue or backing_off.  */
  TAILQ_ENTRY (request) deadline_link; /**< In a slot of core.deadlines.  */
  uint64_t deadline_tick;              /**< Tick of the slot that it is in.  */
  uint64_t arrival_sequence; /**< Numbers requests by arrival; 0: none yet.  */
  uint32_t team_index;       /**< Index in the tables; team_count: no team.  */
  int32_t route_index;       /**< Index in the tables; -1: route removed.  */
  bool urgent;               /**< Goes before normal requests of its team.  */
  uint64_t request_id;
  uint64_t attempt_id; /**< 0 while no attempt is in flight.  */
  uint64_t deadline_us;
  enum request_state state;
  char queue[NAME_BYTES];
  char team[NAME_BYTES];
  char vm[NAME_BYTES]; /**< Worker of the last attempt.  */
  int32_t vm_index;    /**< Index of vm in the tables; -1: holds no slot.  */
  bool idempotent;
  bool maybe_sent; /**< Some attempt may have reached a worker.  */
  uint32_t attempt_count;
  uint64_t retry_at_us; /**< End of its back-off.  */
  /** Workers on which it failed or that rejected it, in order.  */
  char failed_vms[ATTEMPT_LIMIT_COUNT][NAME_BYTES];
  uint32_t failed_vm_count;
  uint64_t avoid_until_us; /**< Not sent to failed_vms before this.  */
  struct key_claim *claim; /**< Claim of its Idempotency-Key, or NULL.  */
  struct blob *body;       /**< NULL once answered.  */
};

/** One pool on this entry; matched by name when the configuration changes.  */
struct pool_state
{
  char name[NAME_BYTES];
  struct pool_queue queue;
  uint32_t *team_running_count; /**< By team; the last is for no team.  */
  uint64_t *team_pass; /**< Stride-scheduling pass by team, see dispatch.c.  */
  uint64_t current_pass; /**< Highest pass at which a team started.  */
  uint32_t running_count;
  uint32_t *vms; /**< Indices of its VMs.  */
  uint32_t vm_count;
  bool needs_dispatch; /**< A waiting request may be able to start.  */
  struct retry_budget retry_budget;
};

/** Failures and quarantine of one worker, see health.c.  All 0: healthy.  */
struct vm_health
{
  uint32_t consecutive_failure_count; /**< Attributed to the worker.  */
  uint32_t quarantine_count; /**< Quarantines since it was last healthy.  */
  uint32_t concurrency_limit_count; /**< 0: as many as it has slots.  */
  uint64_t quarantined_until_us;    /**< Gets no request before this.  */
};

/** One worker as seen by this entry.  */
struct vm_state
{
  char name[NAME_BYTES];
  uint32_t running_count;
  struct vm_health health;
  int32_t limit_index; /**< Index of the limit of its slots; -1: none.  */
};

/** One team on this entry.  */
struct team_state
{
  char name[NAME_BYTES];
  uint32_t running_count;
  uint32_t high_water_count; /**< Most requests that ran at once.  */
  int32_t limit_index; /**< Index of the limit of its tokens; -1: none.  */
};

/** One route on this entry, parallel to the tables' routes.  */
struct route_state
{
  char queue[NAME_BYTES];
  bool fits;            /**< Some VM is large enough for its requests.  */
  uint32_t mean_run_us; /**< Moving average of the run time; 0: none yet.  */
};

/** Newest records kept to relay to members that cannot read the log.  */
#define RECORD_WINDOW_COUNT 256

/** The records first_offset to next_offset - 1, without a gap.  */
struct record_window
{
  uint64_t first_offset;
  uint64_t next_offset;
  uint32_t total_bytes; /**< Size of the records together.  */
  /** By offset % RECORD_WINDOW_COUNT.  */
  struct peer_record items[RECORD_WINDOW_COUNT];
};

/** What this entry knows of another member from its status messages.  */
struct peer_state
{
  uint64_t incarnation;
  /** Time of its last status, by its own clock.  This entry's next status
      returns it to the peer as the echo.  */
  uint64_t peer_sent_at_us;
  /** When this entry sent the latest status that the peer has echoed, by this
      entry's clock.  The peer has sent a message since then.  */
  uint64_t heard_at_us;
  uint64_t next_offset; /**< First offset that it has not applied.  */
  bool log_readable;    /**< It reads the log itself.  */
  /** Statuses in a row that repeated a next_offset below this entry's.  */
  uint32_t stalled_status_count;
  uint64_t checkpoint_sent_at_us; /**< When one was last sent; 0: never.  */
  /** When it read the log to its end, and the first offset that it had not
      applied then; 0: no such reading waits for this entry to catch up.  */
  uint64_t pending_read_at_us;
  uint64_t pending_read_offset;
};

/** The state of one entry.  */
struct core
{
  struct core_settings settings;
  struct control *control;
  struct actions *out; /**< Output of the step in progress.  */
  uint64_t now_us;     /**< Time of the step in progress.  */
  uint64_t random;     /**< Random bits of the step in progress.  */

  uint64_t incarnation;   /**< Offset of its join record, plus 1; 0: none.  */
  char join_id[ID_BYTES]; /**< Id of the join record sent; empty: none.  */
  bool log_readable;
  bool caught_up;          /**< The log was once read to its end.  */
  uint64_t log_read_at_us; /**< Start of the last read that reached the end. */
  uint64_t relay_read_at_us;  /**< Start of a peer's last such read.  */
  uint64_t known_offset;      /**< Records below this offset exist.  */
  uint64_t fell_behind_at_us; /**< When it fell behind known_offset.  */
  uint64_t first_offset;      /**< Oldest offset that the log retains.  */
  bool log_has_gap;           /**< The log dropped records not yet applied.  */
  /** A checkpoint was restored and the log reader is moving to its offset;
      records that it read before may still arrive.  */
  bool log_repositioning;
  bool was_fresh;             /**< Freshness last noted on the timeline.  */
  uint64_t status_sent_at_us; /**< When the members were last sent a status. */
  uint64_t rejoin_at_us;      /**< Earliest time of the next join.  */
  /** When a checkpoint was last read or appended.  */
  uint64_t checkpoint_at_us;
  uint64_t checkpoint_offset; /**< next_offset of the last checkpoint read.  */
  uint64_t gone_proposed_at_us; /**< When a member was last reported lost.  */
  uint64_t gone_proposed_incarnation; /**< The member last reported lost.  */
  struct peer_state *peers;           /**< Parallel to the members.  */
  uint32_t peer_count;
  struct record_window window;
  bool stopping;
  uint64_t stop_deadline_us;
  bool leave_sent; /**< The planned stop is over; if it was a member, its leave
                      record was appended.  */

  char last_refused_address[ADDRESS_BYTES]; /**< Peer link refused last.  */
  struct maintenance *maintenance;          /**< Private to maintenance.c.  */
  struct lending *lending;                  /**< Private to lending.c.  */

  uint64_t last_attempt_id;
  uint64_t last_command_sequence; /**< Last number used in a command id.  */
  GHashTable *requests; /**< request_id to struct request, unanswered.  */
  GHashTable *attempts; /**< attempt_id to struct request, in flight.  */
  struct key_placement *key_placement; /**< Which members hold which keys.  */
  struct idempotency_table *idempotency; /**< Claims of idempotency keys.  */
  struct request_list backing_off;
  /** When the next quarantine or avoidance may end; 0: there is none.  */
  uint64_t health_check_at_us;
  uint8_t *last_outcomes;          /**< enum queue_outcome by route and VM.  */
  struct pool_state *pools;        /**< Parallel to the tables' pools.  */
  struct vm_state *vms;            /**< Parallel to the tables' vms.  */
  struct team_state *teams;        /**< Parallel to the tables' teams.  */
  struct route_state *routes;      /**< Parallel to the tables' routes.  */
  struct deadline_wheel deadlines; /**< All unanswered requests.  */
  struct limit_state *limits;      /**< Tokens held, and demand.  */
  uint64_t last_arrival_sequence;
  uint32_t running_count;
  uint32_t waiting_count;
  uint64_t counters[COUNTER_KIND_COUNT];
};

/* control plane, membership.c */

/** Applies a record read from the log.  */
void core_on_record (struct core *c, struct event_record *e);
/** Handles the outcome of a read of the log.  */
void core_on_log_read (struct core *c, const struct event_log_read *e);
/** Starts a planned stop.  */
void core_on_stop (struct core *c);
/** Ends the planned stop once nothing is in flight, or at its deadline.  */
void core_try_finish_stop (struct core *c);
/** Adds a note to the timeline: an event of KIND about SUBJECT.  */
void core_note (struct core *c, enum note_kind kind, const char *subject,
                uint64_t value);
/** Writes a fresh command id to ID.  */
void core_make_command_id (struct core *c, char *id);

/** Applies the next record; R is NULL if it was malformed.  */
void core_apply_record (struct core *c, uint64_t offset, struct record *r);
/** Stops serving if this entry is no longer a member, and schedules the next
    join.  */
void core_check_own_membership (struct core *c);
/** Appends a RECORD_GONE for the member on VM, at most every 10 s for one
    incarnation.  The caller must have evidence: the fleet list dropped the VM,
    and still lacked it when it was read again later.  */
void core_propose_gone (struct core *c, const char *vm);
/** Appends a zeroed record of KIND with a fresh id; the caller fills it.  */
struct record *core_append_record (struct core *c, enum record_kind kind);

/** Tells the peer thread which members to keep links to.  */
void core_send_members (struct core *c);
/** Does the periodic work of membership: freshness and status messages.  */
void core_membership_tick (struct core *c);

/* freshness.c */

/** Returns true while this entry's view of the log is recent enough to take
    new work.  */
bool core_is_fresh (const struct core *c);
/** Rebuilds the peers after a change of the members, and tells the peer thread
    which links to keep.  */
void core_sync_peers (struct core *c);
/** Remembers that records below OFFSET exist.  */
void core_learn_offset (struct core *c, uint64_t offset);
/** Handles that records were applied: what peers have read may now be applied
    here, too.  */
void core_use_pending_readings (struct core *c);
/** Returns the state of the member INCARNATION, or NULL.  */
struct peer_state *core_find_peer (struct core *c, uint64_t incarnation);
/** Handles a member's status.  */
void core_on_peer_status (struct core *c, uint64_t from,
                          const struct peer_status *s);
/** Sends this entry's status to the members when due, and adds a note of a
    change of freshness to the timeline.  */
void core_freshness_tick (struct core *c);

/* recovery.c */

/** Handles the record R, read from the log or received from a member.  Takes
    over its reference to the bytes.  */
void core_accept_record (struct core *c, const struct peer_record *r,
                         bool from_log);
/** Handles a gap: the log has dropped records that this entry has not applied.
    OFFSET is the value of the note.  */
void core_on_gap (struct core *c, uint64_t offset);
/** Sends P the records that it lacks if it has stayed behind.  */
void core_relay_records (struct core *c, struct peer_state *p);
/** Appends a checkpoint if one is due.  */
void core_append_checkpoint (struct core *c);
/** Drops every record of W.  */
void record_window_clear (struct record_window *w);

/* peers, peer_input.c */

/** Handles a peer's message.  */
void core_on_peer (struct core *c, struct peer_message *m);
/** Counts a refused peer link, and adds a note with its address to the
    timeline unless it is the one refused last.  */
void core_on_peer_fault (struct core *c, const struct event_peer_fault *e);

/* data plane, request.c */

/** Admits and queues a caller's request, or refuses it.  */
void core_on_request (struct core *c, struct event_request *e);
/** Refuses a request whose caller closed the connection, unless it runs
    already or a repeat of its key waits for its answer.  */
void core_on_cancel (struct core *c, const struct event_cancel *e);
/** Answers every request whose deadline has passed.  */
void core_answer_expired (struct core *c);
/** Answers every request left at the end of a planned stop.  */
void core_answer_remaining (struct core *c);
/** Answers R once with A, whose body it takes over.  Frees R, or keeps it as
    REQUEST_ANSWERED until the end of the attempt in flight.  */
void core_answer (struct core *c, struct request *r,
                  const struct action_answer *a);
/** Answers R with CODE, or with ANSWER_UNKNOWN if it may have reached a
    worker.  R is in no queue.  */
void core_refuse (struct core *c, struct request *r, enum answer_code code);
/** Removes R from the list in which it waits, if any.  */
void core_leave_queue (struct core *c, struct request *r);
/** Returns the state of the pool that serves QUEUE, or NULL.  */
struct pool_state *core_pool_of_queue (struct core *c, const char *queue);
/** Answers R, whose deadline passed while it waited.  */
void core_expire_request (struct core *c, struct request *r);

/* attempts on workers, attempt.c */

/** Sends R to the worker VM_INDEX.  */
void core_start_attempt (struct core *c, struct request *r, uint32_t vm_index);
/** Handles the end of an attempt.  */
void core_on_attempt (struct core *c, struct event_attempt *e);
/** Queues the requests whose back-off has ended.  */
void core_backoff_tick (struct core *c);

/* worker health, health.c */

/** Records the success of R's attempt on its worker.  */
void core_health_success (struct core *c, const struct request *r);
/** Attributes the failure OUTCOME of R's attempt to the job or to the worker,
    and makes R avoid the worker for a while.  ATTEMPT_REJECTED is attributed
    to neither: the worker did not run the request, as when it has no room.  */
void core_health_failure (struct core *c, struct request *r,
                          enum attempt_outcome outcome);
/** Dispatches when a quarantine or an avoidance has ended.  */
void core_health_tick (struct core *c);

/** Returns false while VM_INDEX is in quarantine, or is probed after one and
    runs as many requests as the probe allows.  */
bool core_vm_is_healthy (const struct core *c, uint32_t vm_index);
/** Returns true while R is not to be sent to VM_INDEX, on which it failed.  */
bool core_request_avoids (const struct core *c, const struct request *r,
                          uint32_t vm_index);

/* placement of idempotency keys, key_holders.c */

/** Creates the empty list of members.  */
void core_key_placement_open (struct core *c);
/** Handles a record that changed the members.  */
void core_key_placement_on_record (struct core *c);
/** Updates the list from the members; returns true if they changed.  */
bool core_key_placement_update (struct core *c);
/** Remembers that the member INCARNATION left by a planned stop.  */
void core_key_placement_member_left (struct core *c, uint64_t incarnation);
/** Returns true if INCARNATION is a member.  */
bool core_is_member (struct core *c, uint64_t incarnation);
/** Writes the holders of the key with DIGEST to OUT.  */
void core_find_key_holders (struct core *c, const uint8_t *digest,
                            struct key_holders *out);

/* idempotency keys, idempotency.c */

/** Creates the empty table of claims.  */
void core_idempotency_open (struct core *c);
/** Frees the bodies of all claims.  */
void core_idempotency_close (struct core *c);
/** Drops old claims, sends claims to new holders, and asks again for grants
    that are overdue.  */
void core_idempotency_tick (struct core *c);
/** Looks up E's idempotency key for TEAM.  Returns false if E was answered or
    will get the answer of the first request of its key.  Returns true if E is
    to become a request; sets *OUT to its claim, or NULL if it has no key.  */
bool core_idempotency_begin (struct core *c, const struct event_request *e,
                             const char *team, struct key_claim **out);
/** Asks the holders of R's key for their grant, one after another.  Returns
    true if all have granted it and the key is not in doubt; otherwise R stays
    REQUEST_CLAIMING.  */
bool core_idempotency_acquire (struct core *c, struct request *r);
/** Handles a PEER_KEY_CLAIM, PEER_KEY_CLAIM_REPLY or PEER_KEY_STATE.  */
void core_idempotency_on_peer (struct core *c, const struct peer_message *m);
/** Starts sending all claims to their holders.  */
void core_idempotency_start_sync (struct core *c);
/** Returns true until all claims were sent to their holders.  */
bool core_idempotency_is_syncing (const struct core *c);
/** Stores A as the first answer of CLAIM and answers the repeats with it.  */
void core_idempotency_complete (struct core *c, struct key_claim *claim,
                                const struct action_answer *a);
/** Returns true if a repeat waits for the answer of CLAIM.  */
bool core_idempotency_has_repeats (const struct key_claim *claim);

/* lending of spare VMs, lending.c */

/** Returns the state of lending as a child of MEM.  */
struct lending *lending_new (TALLOC_CTX *mem);
/** Proposes to lend a spare VM or to take one back, if it is due.  */
void core_lending_tick (struct core *c);

/* maintenance, maintenance.c */

/** Returns false while VM_INDEX is draining, in maintenance, lost, away or in
    an evacuated zone.  */
bool core_vm_takes_work (const struct core *c, uint32_t vm_index);
/** Returns this entry's rank among the members for KEY, by rendezvous hash;
    0 is the first.  */
uint32_t core_rendezvous_rank (const struct core *c, const char *key);
/** Returns the maintenance state of one entry as a child of MEM.  */
struct maintenance *maintenance_new (TALLOC_CTX *mem);
/** Updates the platform's clock and the VM that the record R is about, and
    adds a note of R to the timeline.  V is the result of applying R, which was
    appended at AT_MS.  */
void core_maintenance_on_record (struct core *c, const struct record *r,
                                 enum apply_result v, uint64_t offset,
                                 uint64_t at_ms);
/** Handles a reading of the fleet list.  */
void core_on_fleet (struct core *c, const struct event_fleet_list *e);
/** Handles the platform's answer about an operation on a VM.  */
void core_on_operation (struct core *c, const struct event_operation *e);
/** Advances waves, drains and moves.  */
void core_maintenance_tick (struct core *c);

/* dispatch.c */

/** Adds R to the end of its team's list in P's queue.  */
void core_enqueue (struct core *c, struct pool_state *p, struct request *r);
/** Removes R from P's queue.  */
void core_dequeue (struct core *c, struct pool_state *p, struct request *r);
/** Starts every waiting request of one pool that may start now.  */
void core_dispatch_pool (struct core *c, uint32_t pool_index);
/** Does the same for every pool with needs_dispatch set.  */
void core_dispatch_all (struct core *c);
/** Counts R as running on VM_INDEX, in its pool and in its team.  */
void core_acquire_slot (struct core *c, struct request *r, uint32_t vm_index);
/** Undoes core_acquire_slot.  */
void core_release_slot (struct core *c, struct request *r);
/** Looks up the team and the route of R in the tables in force.  */
void core_bind_request (struct core *c, struct request *r);
/** Sets needs_dispatch of every pool.  */
void core_mark_all_pools (struct core *c);

/* adopt.c */

/** Recounts each pool's VMs and running requests after a VM was moved.  */
void core_adopt_moves (struct core *c);
/** Rebuilds the arrays that run parallel to the tables, and carries running
    and waiting requests over to them.  */
void core_adopt_config (struct core *c);

/* requirements and measured run times of routes, estimate.c */

/** Updates the mean run time of R's route; the attempt took ELAPSED_US.  */
void core_record_run_time (struct core *c, const struct request *r,
                           uint32_t elapsed_us);
/** Returns after how many ms a caller of ROUTE, whose queue is full, should
    try again.  */
uint32_t core_retry_after_ms (const struct core *c,
                              const struct route_config *route);
/** Returns false if no VM could ever run a request of ROUTE.  */
bool core_route_fits (const struct core *c, const struct route_config *route);
/** Returns true if VM is large enough for one request of ROUTE.  */
bool core_vm_fits (const struct vm_config *vm,
                   const struct route_config *route);

#endif
