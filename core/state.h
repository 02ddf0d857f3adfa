/* state.h -- the state of one entry, shared by the core's own modules.  */

#ifndef FTK_CORE_STATE_H
#define FTK_CORE_STATE_H

#include "core/control.h"
#include "core/core.h"
#include "core/vm_control.h"
#include "core/retry.h"
#include "core/deadline.h"
#include "core/limit.h"

#include <sys/queue.h>

/** Most attempts of one request.  */
#define ATTEMPT_LIMIT_COUNT 3

/** Where a request stands (tag of its life).  */
enum request_state
{
  REQUEST_CLAIMING,    /**< Its key is not yet granted by all holders.  */
  REQUEST_WAITING,     /**< In a pool's queue.  */
  REQUEST_RUNNING,     /**< An attempt is out.  */
  REQUEST_BACKING_OFF, /**< Waits in core.backing_off for its next attempt.  */
  REQUEST_ANSWERED     /**< Answered; its attempt still holds its slot.  */
};

/** What a worker last did with a queue's work (index: route, VM).  */
enum queue_outcome
{
  OUTCOME_NONE,
  OUTCOME_SUCCESS,
  OUTCOME_FAILURE
};

struct key_placement;
struct idempotency_table;
struct key_claim;

/** Most holders of a key.  */
#define HOLDER_LIMIT_COUNT 8

/** Who keeps a key, highest rank first.  */
struct key_holders
{
  uint64_t incarnations[HOLDER_LIMIT_COUNT]; /**< Incarnations.  */
  uint32_t count;
  bool in_doubt; /**< Notes of it may be lost.  */
};

/** One caller's request; everything it needs hangs below it (its arena).  */
struct request
{
  TAILQ_ENTRY (request) link; /**< In its pool's queue or backing_off.  */
  TAILQ_ENTRY (request) deadline_link; /**< In the wheel until answered.  */
  uint64_t deadline_tick;              /**< Its slot in the wheel.  */
  uint64_t arrival_sequence;           /**< Order of arrival on this entry.  */
  uint32_t team_index; /**< In the tables; team_count: no team.  */
  int32_t route_index; /**< In the tables; -1: route is gone.  */
  bool urgent;         /**< Goes before others of its team.  */
  uint64_t request_id;
  uint64_t attempt_id; /**< 0 unless running.  */
  uint64_t deadline_us;
  enum request_state state;
  char queue[NAME_BYTES];
  char team[NAME_BYTES];
  char vm[NAME_BYTES]; /**< Worker of the attempt.  */
  int32_t vm_index;    /**< Its index in the tables; -1: none.  */
  bool idempotent;
  bool maybe_sent; /**< A byte may have reached a worker.  */
  uint32_t attempt_count;
  uint64_t retry_at_us; /**< End of its back-off.  */
  char failed_vms[ATTEMPT_LIMIT_COUNT][NAME_BYTES];
  uint32_t failed_vm_count;
  uint64_t avoid_until_us; /**< Kept from failed_vms until then.  */
  struct key_claim *claim; /**< Of its Idempotency-Key, or NULL.  */
  struct blob *body;       /**< NULL once answered.  */
};

/** One pool's queue on this entry, matched by name over configurations.  */
struct pool_state
{
  char name[NAME_BYTES];
  struct pool_queue queue;
  uint32_t *team_running_count; /**< By team; the last: no team.  */
  uint64_t *team_pass;   /**< Run time started, for its weight, by team.  */
  uint64_t current_pass; /**< Pass of the team that started last.  */
  uint32_t running_count;
  uint32_t *vms; /**< Indices of its VMs.  */
  uint32_t vm_count;
  bool needs_dispatch; /**< Something may be able to start.  */
  struct retry_budget retry_budget;
};

/** How a worker does its work, see health.c.  All 0: nothing against it.  */
struct vm_health
{
  uint32_t consecutive_failure_count; /**< In a row, put down to the worker. */
  uint32_t quarantine_count; /**< Times set aside since it was fit.  */
  uint32_t
      concurrency_limit_count; /**< Most requests at once; 0: all its slots. */
  uint64_t quarantined_until_us; /**< Takes nothing before.  */
};

/** One worker as this entry sees it.  */
struct vm_state
{
  char name[NAME_BYTES];
  uint32_t running_count;
  struct vm_health health;
  int32_t limit_index; /**< Index of its limit in the ledger.  */
};

/** One team on this entry.  */
struct team_state
{
  char name[NAME_BYTES];
  uint32_t running_count;
  uint32_t high_water_count;
  int32_t limit_index; /**< Index of its limit in the ledger.  */
};

/** One queue on this entry, parallel to the tables' routes.  */
struct route_state
{
  char queue[NAME_BYTES];
  bool fits;            /**< Some VM is large enough for its requests.  */
  uint32_t mean_run_us; /**< Measured run time, smoothed; 0: none yet.  */
};

/** Newest records kept for members that cannot read the log.  */
#define RECORD_WINDOW_COUNT 256

/** Offsets first_offset to next_offset - 1, without a hole.  */
struct record_window
{
  uint64_t first_offset;
  uint64_t next_offset;
  uint32_t total_bytes;
  struct peer_record
      items[RECORD_WINDOW_COUNT]; /**< At offset % RECORD_WINDOW_COUNT.  */
};

/** Another member as this entry hears it.  */
struct peer_state
{
  uint64_t incarnation;
  uint64_t peer_sent_at_us; /**< Its clock at its last status, for the echo. */
  uint64_t heard_at_us;     /**< Own clock; it has spoken since then.  */
  uint64_t next_offset;     /**< First offset that it has not applied.  */
  bool log_readable;
  uint32_t stalled_status_count;  /**< Statuses in a row at one old offset.  */
  uint64_t checkpoint_sent_at_us; /**< When it was last sent a checkpoint.  */
};

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
  uint64_t log_read_at_us; /**< Own reading to the end; when it was asked.  */
  uint64_t
      relay_read_at_us;  /**< The same by a member that passes records on. */
  uint64_t known_offset; /**< Records below it exist.  */
  uint64_t fell_behind_at_us; /**< Since when some of them are missing.  */
  uint64_t first_offset;      /**< Oldest offset that the log keeps.  */
  bool log_has_gap;           /**< Records that are needed are not kept.  */
  bool log_repositioning;     /**< The log is read again from a checkpoint.  */
  bool was_fresh;             /**< As last noted.  */
  uint64_t status_sent_at_us; /**< Last status to the members.  */
  uint64_t rejoin_at_us;      /**< Not to join before this time.  */
  uint64_t checkpoint_at_us;  /**< Newest checkpoint read or appended.  */
  uint64_t checkpoint_offset; /**< The offset that it tells of.  */
  uint64_t gone_proposed_at_us;       /**< Last proposal of a lost member.  */
  uint64_t gone_proposed_incarnation; /**< That member.  */
  struct peer_state *peers;           /**< Parallel to the members.  */
  uint32_t peer_count;
  struct record_window window;
  bool stopping;
  uint64_t stop_deadline_us;
  bool leave_sent;

  char last_refused_address[ADDRESS_BYTES]; /**< Last one told of.  */
  struct maintenance *maintenance;          /**< Private to maintenance.c.  */
  struct lending *lending;                  /**< Private to lending.c.  */

  uint64_t last_attempt_id;
  uint64_t last_command_sequence; /**< Counts this process's command ids.  */
  GHashTable *requests; /**< request_id to struct request, unanswered.  */
  GHashTable *attempts; /**< attempt_id to struct request.  */
  struct key_placement *key_placement; /**< Who keeps keys.  */
  struct idempotency_table
      *idempotency; /**< First answers by Idempotency-Key.  */
  struct request_list backing_off;
  uint64_t health_check_at_us;     /**< When a worker may be fit again; 0: not
                                      awaited.  */
  uint8_t *last_outcomes;          /**< enum queue_outcome, route by VM.  */
  struct pool_state *pools;        /**< Parallel to the tables' pools.  */
  struct vm_state *vms;            /**< Parallel to the tables' vms.  */
  struct team_state *teams;        /**< Parallel to the tables' teams.  */
  struct route_state *routes;      /**< Parallel to the tables' routes.  */
  struct deadline_wheel deadlines; /**< Every unanswered request.  */
  struct limit_state *limits;      /**< Tokens and demand.  */
  uint64_t last_arrival_sequence;
  uint32_t running_count;
  uint32_t waiting_count;
  uint64_t counters[COUNTER_KIND_COUNT];
};

/* control plane, membership.c */

/** Applies a record read from the log.  */
void core_on_record (struct core *c, struct event_record *e);
/** Notes the outcome of a reading of the log.  */
void core_on_log_read (struct core *c, const struct event_log_read *e);
/** Starts a planned stop.  */
void core_on_stop (struct core *c);
/** Ends the planned stop when nothing is left in flight.  */
void core_try_finish_stop (struct core *c);
/** Adds a note for the time line.  */
void core_note (struct core *c, enum note_kind kind, const char *subject,
                uint64_t value);
/** Writes a fresh command id to ID.  */
void core_make_command_id (struct core *c, char *id);

/** Applies the next record; R is NULL if it was malformed.  */
void core_apply_record (struct core *c, uint64_t offset, struct record *r);
/** Stops serving, to join again, if this entry is no longer a member.  */
void core_check_own_membership (struct core *c);
/** Appends that the member on VM is lost, once for each incarnation and 10 s.
    Only on evidence: the fleet list has dropped the VM, read again over a
    stated time.  */
void core_propose_gone (struct core *c, const char *vm);
/** Appends a zeroed record of KIND with a fresh id; the caller fills it.  */
struct record *core_append_record (struct core *c, enum record_kind kind);

/** Does the membership's periodic work (join, freshness, peers' status).  */
void core_membership_tick (struct core *c);

/* freshness.c */

/** Returns true while this entry may take new work.  */
bool core_is_fresh (const struct core *c);
/** Matches what is known of the peers to the members, and tells the peer duty
    whom to keep links to.  */
void core_sync_peers (struct core *c);
/** Remembers that records below OFFSET exist.  */
void core_learn_offset (struct core *c, uint64_t offset);
/** Returns what is known of the member INCARNATION, or NULL.  */
struct peer_state *core_find_peer (struct core *c, uint64_t incarnation);
/** Takes a member's status.  */
void core_on_peer_status (struct core *c, uint64_t from,
                          const struct peer_status *s);
/** Tells the members the status of this entry; notes a change of freshness. */
void core_freshness_tick (struct core *c);

/* recovery.c */

/** Takes the record R with its bytes, from the log or from a member.  */
void core_accept_record (struct core *c, const struct peer_record *r,
                         bool from_log);
/** Notes that the records from OFFSET on are not kept any more.  */
void core_on_gap (struct core *c, uint64_t offset);
/** Sends P records if it stays behind.  */
void core_relay_records (struct core *c, struct peer_state *p);
/** Appends a checkpoint if one is due.  */
void core_append_checkpoint (struct core *c);
/** Drops the records kept for members.  */
void record_window_clear (struct record_window *w);

/* peers, peer_input.c */

/** Takes a peer's message.  */
void core_on_peer (struct core *c, struct peer_message *m);
/** Counts a refused peer link and tells of each address once.  */
void core_on_peer_fault (struct core *c, const struct event_peer_fault *e);
/** Tells the peer duty whom to keep links to.  */
void core_send_members (struct core *c);

/* data plane, request.c */

/** Takes, queues or refuses a caller's request.  */
void core_on_request (struct core *c, struct event_request *e);
/** Frees the place of a request whose caller went away.  */
void core_on_cancel (struct core *c, const struct event_cancel *e);
/** Answers what is past its deadline.  */
void core_answer_expired (struct core *c);
/** Answers all that is left, at the end of a planned stop.  */
void core_answer_remaining (struct core *c);
/** Answers R once with A and forgets it, or keeps it as REQUEST_LATE while an
    attempt is out.  Takes over the body of A.  */
void core_answer (struct core *c, struct request *r,
                  const struct action_answer *a);
/** Answers R with CODE, or as unknown if it was sent.  R is in no queue.  */
void core_refuse (struct core *c, struct request *r, enum answer_code code);
/** Returns the pool state of QUEUE, or NULL.  */
struct pool_state *core_pool_of_queue (struct core *c, const char *queue);

/* attempts on workers, attempt.c */

/** Refuses R, which waited past its deadline.  */
void core_expire_request (struct core *c, struct request *r);
/** Sends R to the worker VM_INDEX.  */
void core_start_attempt (struct core *c, struct request *r, uint32_t vm_index);
/** Takes the end of an attempt.  */
void core_on_attempt (struct core *c, struct event_attempt *e);
/** Queues again what has backed off long enough.  */
void core_backoff_tick (struct core *c);

/* worker health, health.c */

/** Counts a success of R's attempt on its worker.  */
void core_health_success (struct core *c, const struct request *r);
/** Puts the failure OUTCOME of R's attempt down to its job or its worker; a
    worker that only had no room is kept from R for a while.  */
void core_health_failure (struct core *c, struct request *r,
                          enum attempt_outcome outcome);
/** Dispatches when a worker may be fit again.  */
void core_health_tick (struct core *c);

/** Returns false while VM_INDEX is set aside for failing.  */
bool core_vm_is_healthy (const struct core *c, uint32_t vm_index);
/** Returns true if R should not go to VM_INDEX, for it failed there.  */
bool core_request_avoids (const struct core *c, const struct request *r,
                          uint32_t vm_index);

/* homes of keys, home.c */

/** Opens the empty list of members.  */
void core_key_placement_open (struct core *c);
/** Takes over the members; returns true if they changed.  */
bool core_key_placement_update (struct core *c);
/** Notes that a member left in good order.  */
void core_key_placement_member_left (struct core *c, uint64_t incarnation);
/** Returns true if INCARNATION is a member.  */
bool core_is_member (struct core *c, uint64_t incarnation);
/** Writes to OUT who keeps the key of DIGEST.  */
void core_find_key_holders (struct core *c, const uint8_t *digest,
                            struct key_holders *out);

/* idempotency keys, keyed.c */

/** Opens the empty table of notes.  */
void core_idempotency_open (struct core *c);
/** Frees every note.  */
void core_idempotency_close (struct core *c);
/** Forgets notes that are too old.  */
void core_idempotency_tick (struct core *c);
/** Looks E's key up for TEAM.  Returns false if E is answered or will be with
    the first request of its key; true if E is to be run, with its new note in
    NOTE or NULL when it has no key.  */
bool core_idempotency_begin (struct core *c, const struct event_request *e,
                             const char *team, struct key_claim **note);
/** Asks the holders of R's key.  Returns true if all have granted it;
    otherwise R is REQUEST_CLAIMING.  */
bool core_idempotency_acquire (struct core *c, struct request *r);
/** Takes a PEER_CLAIM, PEER_CLAIMED or PEER_NOTE.  */
void core_idempotency_on_peer (struct core *c, const struct peer_message *m);
/** Starts handing all notes to their holders.  */
void core_idempotency_start_sync (struct core *c);
/** Returns true while notes are being handed over.  */
bool core_idempotency_is_syncing (const struct core *c);
/** Keeps A as the first answer of NOTE and gives it to the repeats.  */
void core_idempotency_complete (struct core *c, struct key_claim *note,
                                const struct action_answer *a);
/** Returns true if a repeat waits for NOTE's answer.  */
bool core_idempotency_has_repeats (const struct key_claim *note);

/* maintenance, maintenance.c */

/** Returns false while VM_INDEX is leaving or out.  */
bool core_vm_takes_work (const struct core *c, uint32_t vm_index);
/** Returns this entry's place in the rendezvous order of members for KEY.  */
uint32_t core_rendezvous_rank (const struct core *c, const char *key);
/** Returns the state of the lending of spare VMs as a child of MEM.  */
struct lending *lending_new (TALLOC_CTX *mem);
/** Lends spare VMs and takes them back.  */
void core_lending_tick (struct core *c);
/** Returns the maintenance state of one entry as a child of MEM.  */
struct maintenance *maintenance_new (TALLOC_CTX *mem);
/** Takes note of R, applied or (by V) rejected, appended at AT_MS.  */
void core_maintenance_on_record (struct core *c, const struct record *r,
                                 enum apply_result v, uint64_t offset,
                                 uint64_t at_ms);
/** Takes a reading of the fleet list.  */
void core_on_fleet (struct core *c, const struct event_fleet_list *e);
/** Takes what the platform says of an operation.  */
void core_on_operation (struct core *c, const struct event_operation *e);
/** Carries on waves, drains and moves.  */
void core_maintenance_tick (struct core *c);

/* dispatch.c */

/** Puts R at its place in P's queue.  */
void core_enqueue (struct core *c, struct pool_state *p, struct request *r);
/** Takes R out of P's queue.  */
void core_dequeue (struct core *c, struct pool_state *p, struct request *r);
/** Starts what may start now in one pool.  */
void core_dispatch_pool (struct core *c, uint32_t pool_index);
/** Starts what may start now in every pool.  */
void core_dispatch_all (struct core *c);
/** Counts the start of R on VM_INDEX against its limits.  */
void core_acquire_slot (struct core *c, struct request *r, uint32_t vm_index);
/** Gives back what core_acquire took.  */
void core_release_slot (struct core *c, struct request *r);

/* adopt.c */

/** Takes over which VM is in which pool, after a move.  */
void core_adopt_moves (struct core *c);
/** Rebuilds the tables that run parallel to the configuration.  */
void core_adopt_config (struct core *c);

/** Finds the team and the route of R in the tables in force.  */
void core_bind_request (struct core *c, struct request *r);
/** Lets every pool with something waiting be looked at.  */
void core_mark_all_pools (struct core *c);

/* measured run times, estimate.c */

/** Learns from the end of an attempt of R, which took ELAPSED_US.  */
void core_record_run_time (struct core *c, const struct request *r,
                           uint32_t elapsed_us);
/** Returns when a caller of ROUTE, whose queue is full, should come back.  */
uint32_t core_retry_after_ms (const struct core *c,
                              const struct route_config *route);
/** Returns false if no VM could ever run a request of ROUTE.  */
bool core_route_fits (const struct core *c, const struct route_config *route);
/** Returns true if VM has room for one request of ROUTE when idle.  */
bool core_vm_fits (const struct vm_config *vm,
                   const struct route_config *route);

#endif
