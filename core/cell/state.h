/* state.h -- the state of a cell, shared by the files of this folder.

   Calls go downward: cell.c to the subjects, those to jobs.c and runners.c
   helpers.  */

#ifndef FTK_CORE_CELL_STATE_H
#define FTK_CORE_CELL_STATE_H

#include "core/cell/cell.h"

#include <glib.h>

/** Lease that an order asks for: outlasts one lost hold, and bounds how long
    the work of a runner that went dark cannot be begun elsewhere.  */
#define LEASE_MS 3500
/** Longest wait of a hold: a third of the lease, so that two may be lost.  */
#define POLL_WAIT_MS 1000
/** Run numbers that a former owner may have used without a record.  */
#define UNRECORDED_RUN_COUNT 64
/** An owner that could not rejoin its group acts on for this long.  */
#define OWNERSHIP_TIMEOUT_MS 10000

enum task_phase
{
  TASK_WAITING,  /**< Not ordered; runs nowhere that we know of.  */
  TASK_STARTING, /**< Ordered, no answer yet.  */
  TASK_RUNNING,
  TASK_STOPPING,    /**< A stop was ordered; its room is still taken.  */
  TASK_UNCONFIRMED, /**< An order got no answer; it may yet run there.  */
  TASK_DONE
};

/** How much a job's start matters; in the order of turns.  */
enum urgency
{
  URGENCY_STARTED,   /**< Has work done and can be on time.  */
  URGENCY_NEW,       /**< Not begun and can be on time.  */
  URGENCY_OVER_RATE, /**< New, beyond what its tenant may send in a second.  */
  URGENCY_LATE,      /**< Still earns something.  */
  URGENCY_BEST_EFFORT /**< Too late to earn, but accepted.  */
};

/** Why a job's next task does not start.  */
enum wait_reason
{
  WAIT_NONE,         /**< It did, or none waits.  */
  WAIT_ROOM,         /**< No runner has room for it.  */
  WAIT_TENANT_LIMIT, /**< Its tenant is at its limit.  */
  WAIT_UNREACHED,    /**< It may run on a runner that was not reached.  */
  WAIT_BACKOFF       /**< It ended too soon to be started at once.  */
};

struct job;
struct runner;

/** A task.  */
struct task
{
  struct work_step *step;
  uint32_t index;
  enum task_phase phase;
  uint32_t run; /**< Number of the newest run ordered.  */
  uint16_t failed_runs[FAILED_RUN_COUNT]; /**< Those counted, the first.  */
  uint32_t failed_count;
  struct runner *runner;        /**< While its phase takes room there.  */
  struct runner *failed_on;     /**< Where it failed last, or NULL.  */
  uint64_t ordered_at_us;       /**< Its newest order was sent.  */
  uint64_t start_ordered_at_us; /**< The newest start was ordered.  */
  uint64_t start_known_at_us; /**< The outcome of its start was known then.  */
  uint64_t stop_acked_at_us;  /**< A stop of it was acknowledged; 0: not.  */
  uint64_t ready_at_us;       /**< It could start from then on.  */
  uint64_t working_at_us;     /**< Last seen at work; 0: not in this run.  */
  uint32_t pace_percent;      /**< Of its pace, as the runner says.  */
  uint32_t metric;            /**< Serving: tail latency, ms.  */
  uint32_t ordered_pace_percent; /**< Percent last ordered; 100 at a start.  */
  uint64_t over_target_at_us;    /**< Over its objective since; 0: is not.  */
  bool reconciled;               /**< Where it runs is known to this owner.  */
  bool stop_wanted; /**< Not to run, whatever becomes of its order.  */
  bool evicting;    /**< Stopped to run elsewhere.  */
  char checkpoint[CHECKPOINT_BYTES];
};

/** A step of one occurrence.  */
struct work_step
{
  struct occurrence *occurrence;
  const struct job_step *spec;
  struct image_run_time
      *run_time; /**< Learned of its image; NULL: not looked up.  */
  uint32_t number;
  struct task *tasks;
  uint32_t waiting_count;
  uint32_t done_count;
  bool ready; /**< All steps before it are done.  */
};

struct occurrence
{
  struct job *job;
  uint32_t number;
  struct work_step *steps;
  uint32_t open_step_count; /**< Steps not done.  */
};

/** An accepted job, or one being made durable.  */
struct job
{
  uint64_t id;
  char queue[NAME_BYTES];
  char tenant[NAME_BYTES];
  struct job_spec *spec;   /**< NULL once final.  */
  uint64_t accepted_at_ms; /**< Wall clock.  */
  uint64_t accepted_at_us;
  uint64_t sent_at_us; /**< The client's first call, as far as known.  */
  uint64_t
      objective_deadline_us; /**< To be completed by then to earn in full.  */
  uint64_t ended_at_ms;
  enum job_state state;
  bool final;
  bool stored;                    /**< The acceptance is durable.  */
  bool dirty;                     /**< Progress to be appended.  */
  bool started;                   /**< A task of it was started.  */
  bool over_rate;                 /**< Beyond its tenant's jobs a second.  */
  bool inherited;                 /**< Accepted under an earlier owner.  */
  bool end_stored;                /**< Its final state is durable.  */
  uint32_t occurrence_count;      /**< Of occurrences made so far.  */
  uint32_t open_occurrence_count; /**< Made and not done.  */
  struct occurrence **occurrences;
  GArray *waiters;              /**< struct waiter; answered when stored.  */
  enum urgency urgency;         /**< As of the last round.  */
  enum wait_reason wait_reason; /**< As of the last round.  */
  struct recovered_record
      *progress; /**< Read back, until its job is; or NULL.  */
};

/** Someone who waits for a job's record to be durable.  */
struct waiter
{
  bool local;
  uint64_t link_id;
  uint64_t call_id;
  enum call_kind kind;
};

struct runner
{
  struct runner_report report;
  GPtrArray *pool_runners; /**< The runners of its pool, itself included.  */
  char rack[LABEL_BYTES];
  bool listed;             /**< Its entry is there.  */
  uint64_t unlisted_at_us; /**< Its entry went then.  */
  bool reached;            /**< A hold under our token was answered.  */
  uint64_t clock_ms;       /**< Its clock at clock_us of ours.  */
  uint64_t clock_read_at_us;
  uint64_t lease_until_ms;    /**< Highest lease end ordered, on its clock.  */
  uint64_t stored_end_number; /**< Ends up to it are durable.  */
  uint64_t seen_end_number;   /**< Ends up to it are taken in.  */
  uint64_t acked_end_number;  /**< Last stored_number it was told.  */
  uint64_t poll_id;           /**< In flight; 0: none.  */
  uint64_t poll_sent_at_us;
  uint64_t next_poll_at_us;
  uint64_t answered_at_us; /**< Its last answer.  */
  uint64_t
      strays_stopped_at_us;  /**< Runs that are not ours were stopped then.  */
  uint32_t miss_count;       /**< Holds in a row without an answer.  */
  struct resources used;     /**< By what has room there.  */
  GPtrArray *tasks;          /**< struct task with room there.  */
  uint32_t failed_run_count; /**< Failed runs in a row.  */
  uint64_t failed_job;       /**< Job of the last one.  */
  uint64_t quarantined_until_us; /**< Gets nothing new until then.  */
  uint32_t quarantine_ms;        /**< Length of the last time aside.  */
  uint64_t full_until_us; /**< Refused for want of room: nothing until then. */
  struct task
      *reserved_for;    /**< Kept free for it, now or last; only compared. */
  bool reserved;        /**< Kept free in this round.  */
  bool vm_up;           /**< The platform's newest list has it on a VM up.  */
  uint64_t heard_at_us; /**< Its entry was first read, or its last answer.  */
  bool maintenance_due; /**< Its VM has its maintenance before it.  */
  bool vm_emptying;     /**< For maintenance or a move.  */
  char vm[NAME_BYTES];
};

/** Another entry, linked to this one.  */
struct peer
{
  uint64_t link_id;
  bool eligible; /**< Could own the cell.  */
  uint32_t cpu_milli;
};

/** A call that an entry has passed to the owner, or is about to.  */
struct forwarded_call
{
  struct job_call call;
  uint64_t arrived_at_us;
  uint64_t deadline_us; /**< Answered by then whatever comes.  */
  bool sent;            /**< Maybe taken up by an owner.  */
  bool sent_before;     /**< So before it was handed over last.  */
  bool on_current_link; /**< On the present link.  */
};

/** An order to a runner that has no answer yet.  */
struct pending_order
{
  uint64_t id;
  enum order_kind kind;
  struct runner *runner; /**< NULL: it was dropped meanwhile.  */
  struct task_id task;
  uint32_t run;
  uint64_t sent_at_us;
  uint32_t wait_ms; /**< The runner may take this long to answer.  */
};

enum ownership_phase
{
  OWNERSHIP_NONE,       /**< Another entry owns the cell, or nobody.  */
  OWNERSHIP_JOINING,    /**< A join was sent.  */
  OWNERSHIP_CLAIMING,   /**< The claim is being appended.  */
  OWNERSHIP_RECOVERING, /**< The records are being read.  */
  OWNERSHIP_OWNER
};

struct ownership
{
  enum ownership_phase phase;
  uint64_t token;             /**< Fencing token while owner.  */
  uint64_t claims_end_offset; /**< End of the claims' topic.  */
  uint64_t newest_token;      /**< Of the newest claim seen.  */
  bool claims_known;
  bool newest_released;
  bool no_predecessor;      /**< Nobody claimed it before us.  */
  bool predecessor_is_self; /**< The claim before the newest was this VM's too.
                             */
  bool predecessor_released; /**< The claim before the newest was released.  */
  char newest_member[NAME_BYTES];
  char owner_address[ADDRESS_BYTES]; /**< Relay of the newest claim.  */
  bool link_up;
  bool owner_denied;     /**< Who is on the link says that it owns nothing.  */
  uint64_t denied_at_us; /**< Said so then.  */
  uint64_t resend_at_us; /**< What it denied is handed over again then.  */
  bool owner_degraded; /**< The owner says that it cannot reach the store.  */
  bool degraded_advertised; /**< We say so of ourselves.  */
  uint32_t
      best_advertised_milli; /**< Largest processor share that we tell of.  */
  uint32_t best_cpu_milli;   /**< The same, as an owner told us last.  */
  uint64_t next_yield_at_us; /**< Next time that we may yield the cell.  */
  uint64_t slow_until_us;    /**< We are too slow to own it until then.  */
  bool yielding;             /**< As soon as no append is under way.  */
  uint64_t link_down_at_us;  /**< Down since.  */
  bool join_sent;
  uint64_t join_sent_at_us;
  uint64_t joined_at_us; /**< The last good join was sent then.  */
  uint32_t
      unlisted_join_count;  /**< Joins in a row that did not list the cell. */
  uint64_t next_find_at_us; /**< Next question who holds the cell.  */
  bool find_sent;
  uint64_t find_sent_at_us;
  uint64_t claimed_at_us; /**< Our claim was acknowledged.  */
  uint64_t claimed_at_ms; /**< The same by the wall clock.  */
  uint64_t
      unconfirmed_until_us; /**< What an unmet runner may run is over then.  */
  uint64_t phase_began_at_us; /**< The phase began.  */
  uint64_t retry_at_us;       /**< Next try of a step that failed.  */
  bool handover;              /**< Another claim or member took it over.  */
};

/** The append in flight.  */
struct append
{
  bool in_flight;
  uint64_t sequence;
  uint64_t sent_at_us;
  uint64_t retry_at_us;
  struct append_record *records; /**< Kept for a repeat.  */
  uint32_t record_count;
  GArray *job_ids;    /**< uint64_t ids whose records it holds.  */
  GArray *watermarks; /**< struct mark.  */
};

/** Ends of a runner that are durable once an append is.  */
struct end_watermark
{
  char runner[NAME_BYTES];
  uint64_t booted_at_ms;
  uint64_t end_number;
};

/** What is learned of an image's run time.  */
struct image_run_time
{
  uint64_t mean_us;
  uint32_t count;
};

/** What a tenant may still send: its weight in jobs a second, for a second. */
struct rate_bucket
{
  uint64_t milli_jobs;
  uint64_t refilled_at_us;
};

/** How long this owner's orders take, over a short span.  */
struct order_latency
{
  uint64_t began_at_us;
  uint32_t order_count;
  uint32_t slow_count; /**< Of these, answered late or not at all.  */
  bool slow;           /**< Most of the span before were.  */
};

struct cell
{
  struct cell_settings settings;
  struct site_config *config; /**< NULL before the first.  */
  GHashTable *queues;         /**< Name to the configuration's queue.  */
  GHashTable *keys;           /**< Key to tenant's index + 1.  */
  uint64_t
      config_confirmed_at_us; /**< The newest good read of it was sent then. */
  struct ownership ownership;
  GHashTable *peers;           /**< link id to struct peer.  */
  GHashTable *forwarded_calls; /**< call_id to struct forward.  */
  GHashTable *jobs;            /**< id to struct job.  */
  GPtrArray *active;           /**< struct job, not final, by acceptance.  */
  GHashTable *runners;         /**< id to struct runner.  */
  GHashTable *pools;           /**< Pool's name to its struct runner.  */
  bool runners_known;          /**< A whole list came in this tenure.  */
  GHashTable *pending_orders;  /**< order id to struct order.  */
  GHashTable *run_times;       /**< Image or queue to struct image_time.  */
  GHashTable *rate_buckets;    /**< Tenant to struct allowance.  */
  GHashTable *usage;           /**< Tenant to struct resources running.  */
  uint64_t next_order_id;
  uint32_t
      unanswered_start_count; /**< Starts ordered that have no answer yet.  */
  struct order_latency order_latency;
  struct append append;
  bool flush_now;        /**< A caller waits for the next append.  */
  uint64_t dirty_at_us;  /**< The oldest unstored progress is from then.  */
  GArray *dirty_job_ids; /**< uint64_t ids of jobs to be appended.  */
  bool dispatch_due;
  uint64_t dispatched_at_us; /**< Last dispatch.  */
  struct cell_fleet *fleet;
  bool ready;
  bool ready_reported;
  bool stopping;
  uint64_t stop_began_at_us;
  bool exited;
  struct cell_metrics metrics;
  /* Of the step at hand.  */
  uint64_t now_us;
  uint64_t wall_ms;
  uint64_t random;
  struct cell_actions *actions;
};

/* cell.c */
struct cell_action *cell_emit (struct cell *c, enum cell_action_kind kind);
/** Adds a line for on-call; FORMAT gives the inside of a JSON object.  */
void cell_log (struct cell *c, const char *what, uint64_t job,
               const char *format, ...)
    __attribute__ ((format (printf, 4, 5)));
void cell_histogram_add (uint64_t *buckets, uint64_t ms);
const struct site_queue *cell_find_queue (const struct cell *c,
                                          const char *name);
const struct site_pool *cell_find_pool (const struct cell *c,
                                        const char *name);
bool cell_is_owner (const struct cell *c);

/* gate.c: this entry's clients.  */
void ingress_on_call (struct cell *c, struct cell_event *e);
void ingress_on_reply (struct cell *c, const struct reply *r);
void ingress_on_link (struct cell *c, bool up);
void ingress_on_config (struct cell *c, struct site_config *f);
void ingress_tick (struct cell *c);
/** Returns true if the store answered this entry lately.  */
bool ingress_store_answers (const struct cell *c);
/** Sends what waits for an owner, on its link or to this entry itself.  */
void ingress_flush (struct cell *c);

/* tenure.c: who owns the cell.  */
void ownership_on_claim (struct cell *c, const struct cell_event *e);
void ownership_on_holder (struct cell *c, const struct cell_event *e);
void ownership_on_joined (struct cell *c, const struct cell_event *e);
void ownership_on_claim_result (struct cell *c, const struct cell_event *e);
void ownership_on_recovered (struct cell *c, struct cell_event *e);
void ownership_on_link (struct cell *c, const struct cell_event *e);
void ownership_tick (struct cell *c);
/** The entry on the link does not own the cell.  */
void ownership_on_denied (struct cell *c);
/** Gives the cell up because of WHY.  */
void ownership_lose (struct cell *c, const char *why);

/* peers.c: the entries that are linked to this one.  */
void peers_on_event (struct cell *c, const struct cell_event *e);
/** Returns the largest processor share of this entry and of those linked to
    it that could own the cell.  */
uint32_t peers_best_cpu_milli (const struct cell *c);
/** Returns the same of the linked entries alone; 0: none.  */
uint32_t peers_best_other_cpu_milli (const struct cell *c);

/* jobs.c: acceptance, states.  */
void jobs_on_call (struct cell *c, bool local, uint64_t link_id,
                   struct job_call *call);
void jobs_clear (struct cell *c);
void jobs_mark_dirty (struct cell *c, struct job *j);
void jobs_end (struct cell *c, struct job *j, enum job_state state);
void jobs_tick (struct cell *c);
struct job *jobs_find (const struct cell *c, uint64_t id);
struct task *jobs_find_task (const struct cell *c, const struct task_id *id);

/** Returns a new job of that id, known to C.  */
struct job *jobs_new (struct cell *c, uint64_t id);
/** Makes the tasks of occurrence NUMBER of J.  */
struct occurrence *jobs_add_occurrence (struct cell *c, struct job *j,
                                        uint32_t number);
/** Makes the occurrences of J whose time has come.  */
void jobs_add_due_occurrences (struct cell *c, struct job *j);
/** Puts J among those that are not final.  */
void jobs_activate (struct cell *c, struct job *j);
/** The newest record of J is durable.  */
void jobs_on_stored (struct cell *c, struct job *j);

/* records.c: durable records of jobs.  */
/** Appends what is dirty; none may be under way.  */
void records_flush (struct cell *c);
/** Sends the append under way once more.  */
void records_send (struct cell *c);
/** Notes which ends of runs are durable once the next append is.  */
void records_note_watermarks (struct cell *c);
void records_apply_watermarks (struct cell *c);
/** Adds an empty record to A; valid until the next one.  */
struct append_record *records_add (struct append *a);
void records_on_appended (struct cell *c, uint64_t sequence,
                          enum append_outcome outcome);
/** Takes a record back, and then all that were read.  */
void records_restore (struct cell *c, struct recovered_record *r);
void records_finish_recovery (struct cell *c);

/* tasks.c: what becomes of a task.  */
void task_id_get (const struct task *t, struct task_id *id);
struct job *task_job (const struct task *t);
void task_assign (struct cell *c, struct task *t, struct runner *r);
void task_start (struct cell *c, struct task *t, struct runner *r);
void task_stop (struct cell *c, struct task *t);
/** Frees T's room; it waits again unless it is done.  */
void task_release (struct cell *c, struct task *t);
void task_complete (struct cell *c, struct task *t);
void task_on_end (struct cell *c, struct runner *r, struct ended_run *e);
void task_on_start_result (struct cell *c, struct task *t, struct runner *r,
                           enum order_outcome outcome);
/** Makes the steps of O ready whose turn has come.  */
void task_unblock_steps (struct cell *c, struct occurrence *o);

/* runners.c: leases, looks and orders.  */
void runners_on_reports (struct cell *c, struct cell_event *e);
void runners_on_result (struct cell *c, struct runner_result *x);
void runners_tick (struct cell *c);
void runners_clear (struct cell *c);
/** Returns the runners of POOL, struct runner, or NULL for none.  */
const GPtrArray *runners_of_pool (const struct cell *c, const char *pool);
/** Has R looked at soon.  */
void runners_schedule_poll (struct cell *c, struct runner *r,
                            uint32_t delay_ms);
struct runner_order *runners_send_order (struct cell *c, struct runner *r,
                                         enum order_kind kind,
                                         const struct task *t);
/** Returns how many orders wait for an answer longer than they should.  */
uint32_t runners_overdue_count (const struct cell *c);
/** Returns the lease end on R's clock for an order sent now, or 0.  */
uint64_t runners_lease_until_ms (const struct cell *c, const struct runner *r);
/** Returns true if nothing that was ordered on R can still run there.  */
bool runners_lease_expired (const struct cell *c, const struct runner *r);

/* dispatch.c and place.c: which task next, and where.  */
void dispatch_run (struct cell *c);
struct runner *place_find (struct cell *c, const struct task *t);
/** Returns true if T could run on another runner once there is room.  */
bool place_has_alternative (const struct cell *c, const struct task *t);
/** Keeps the runner that will soonest have room for T free of others for this
    round; a runner that was kept for it before stays it.  */
void place_reserve (struct cell *c, struct task *t);
/** Ends what place_hold kept of a round; REMEMBERED: until the next one.  */
void place_end_round (struct cell *c);
/** Returns true if some runner of POOL could ever hold NEED.  */
bool place_could_ever_fit (const struct cell *c, const char *pool,
                           const struct resources *need);
/** Returns true if T's tenant may have one more of it running.  */
bool place_within_limit (const struct cell *c, const struct task *t);
uint64_t place_expected_task_us (struct cell *c, const struct job *j,
                                 const struct job_step *s);
/** The same for a step at work, which remembers where to look.  */
uint64_t place_expected_step_us (struct cell *c, struct work_step *w);
void place_record_run_time (struct cell *c, const struct task *t);

/* serving.c: long-running tasks and the fillers beside them.  */
void serving_pace_fillers (struct cell *c, struct runner *r);
/** Returns true if T may be stopped without passing its step's limit.  */
bool serving_may_stop (const struct cell *c, const struct task *t);

/* fleet.c: the platform's list of VMs.  */
void fleet_on_vms (struct cell *c, const struct cell_event *e);

/* upkeep.c: waves, moves, pool sizes.  */
struct cell_fleet *cell_fleet_new (struct cell *c);
void waves_on_request (struct cell *c, const struct site_wave *w);
void waves_on_order_result (struct cell *c, const struct cell_event *e);
void waves_tick (struct cell *c);
/** Counts J, just accepted, for the demand on its pool.  */
void pools_note_arrival (struct cell *c, const struct job *j);
/** Takes back what was learned of demand.  */
void pools_restore (struct cell *c, const struct recovered_record *r);
/** Takes back how far a wave is.  */
void waves_restore (struct cell *c, const struct recovered_record *r);
bool waves_are_dirty (const struct cell *c);
/** Adds records of the waves that got further to A.  */
void waves_add_records (struct cell *c, struct append *a);
void cell_fleet_clear (struct cell *c);
void cell_fleet_free (struct cell *c);

#endif
