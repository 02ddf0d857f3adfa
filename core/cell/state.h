/* state.h -- state of a cell, private to this folder.

   cell.c passes each event to the file that handles it; those files call each
   other through the functions declared below.  */

#ifndef FTK_CORE_CELL_STATE_H
#define FTK_CORE_CELL_STATE_H

#include "core/cell/cell.h"
#include "core/load/zones.h"
#include "core/interference/pairs.h"
#include "port/cell_name.h"

#include <glib.h>

/** Length of the lease that start and poll orders ask for.  It outlasts a lost
    poll; a longer one would keep the tasks of a silent runner from starting
    elsewhere for longer.  */
#define LEASE_MS 3500
/** Longest wait of a poll: under a third of the lease, so that two may be
    lost.  */
#define POLL_WAIT_MS 1000
/** Processor time that an order and its answer take the entry that sends it,
    on average.  */
#define ORDER_CPU_US 600
/** Each owner has this many run numbers of its own for an inherited task, from
    its token times this on, so that two owners give no number to two runs.  */
#define OWNER_RUN_COUNT 64
/** A runner counts as silent, and its expired lease counts, only after this
    many unanswered polls: as many as a silent runner has missed when its lease
    expires.  With fewer, this entry itself was late, and an answer that tells
    how the runs ended may still be unread.  */
#define LOST_MISS_COUNT 3
/** Delay of the poll that follows one with a new end, so that ends that come
    close together share a poll.  */
#define POLL_GAP_MS 30
/** A stop that was not acknowledged is sent again after this.  */
#define STOP_RETRY_MS 500
/** A runner's clock runs slow by at most this, in thousandths.  */
#define CLOCK_SLOW_MILLI 20
/** Margin for the resolution of the clocks, which are read in whole
    milliseconds.  */
#define CLOCK_GRAIN_MS 20
/** Longest time for which a lease that an owner ordered lasts, as this entry's
    clock measures it.  */
#define LEASE_LIMIT_MS (LEASE_MS * 1000 / (1000 - CLOCK_SLOW_MILLI) + 1)
/** An entry that owns the cell or is taking it over gives it up when it sent
    its last answered join of the store's group this long ago, or its last
    request that proved that no other entry had taken the cell (ownership.c).
    */
#define OWNERSHIP_TIMEOUT_MS 10000

/** An entry is weak if the largest CPU share known is at least this many times
    its own: as owner it would slow the whole cell.  */
#define WEAK_FACTOR 2

/** By the site's rules a job has value until it has taken this many times the
    time of its objective.  */
#define LATE_FACTOR 3

enum task_phase
{
  TASK_WAITING,  /**< Occupies no runner.  After a takeover it may still run
                    on one that has not answered this owner.  */
  TASK_STARTING, /**< Start ordered, no answer yet.  */
  TASK_RUNNING,
  TASK_STOPPING,    /**< Stop ordered; still occupies its runner.  */
  TASK_UNCONFIRMED, /**< The start got no answer: it may run, now or later.  */
  TASK_DONE
};

/** Classes of jobs with waiting tasks, the most urgent first.  */
enum urgency
{
  URGENCY_STARTED,    /**< Started and can meet its objective.  */
  URGENCY_NEW,        /**< Not started and can meet its objective.  */
  URGENCY_OVER_RATE,  /**< As URGENCY_NEW, but over its tenant's rate.  */
  URGENCY_LATE,       /**< Misses its objective but still has value.  */
  URGENCY_BEST_EFFORT /**< Too late to have value; accepted, so it runs.  */
};

/** Why a job's next task does not start.  */
enum wait_reason
{
  WAIT_NONE,          /**< The task started, or none waits.  */
  WAIT_ROOM,          /**< No runner has room for it.  */
  WAIT_TENANT_LIMIT,  /**< Its tenant is at its resource limit.  */
  WAIT_UNREACHED,     /**< It may run on a runner that has not answered this
                       owner.  */
  WAIT_BACKOFF,       /**< It has failed and is restarted with a delay.  */
  WAIT_QUEUE_UNKNOWN, /**< Its queue is not known: no configuration has been
                       read, or none has the queue.  */
  WAIT_RECORD,        /**< Its queue has another pool than before, and the
                         record that names that pool is not stored yet.  */
  WAIT_CONFIRMATION   /**< Its last run is over, but this entry may not have
                         been the owner any more at that time.  */
};

/** Why it is certain that a run is over, or never was.  */
enum run_over
{
  RUN_NEVER,         /**< It was not ordered.  */
  RUN_REFUSED,       /**< Its runner refused the start.  */
  RUN_ENDED,         /**< Its runner listed its end.  */
  RUN_NOT_REPORTED,  /**< Its runner does not list it.  */
  RUN_LEASE_EXPIRED, /**< Its silent runner's lease has expired.  */
  RUN_VM_DOWN,       /**< The platform lists its VM as down.  */
  RUN_NEW_BOOT,      /**< A registration names a newer boot.  */
  RUN_OTHER_BOOT,    /**< An answer to an order names another boot.  */
  RUN_FORGOTTEN,     /**< Its runner is forgotten.  */
  RUN_OVER_COUNT
};

struct job;
struct runner;

/** A task of a step.  */
struct task
{
  struct work_step *step;
  uint32_t index;
  enum task_phase phase;
  uint32_t run;          /**< Highest run number known.  */
  uint32_t recorded_run; /**< Highest of failed_runs as read from a record.  */
  uint32_t failed_count; /**< Runs that have failed.  */
  uint32_t failed_run_count; /**< Entries of failed_runs.  */
  uint16_t *failed_runs;     /**< As in struct task_progress; a child of the
                                occurrence.  */
  bool progress_unstored;    /**< It is done or has failed, and no record that
                                was sent tells so.  */
  struct runner *runner;     /**< Runner that it occupies, or NULL.  */
  struct runner *failed_on;  /**< Runner of its last failed run, or NULL.  */
  uint64_t ordered_at_us;    /**< When its newest order was sent.  */
  uint64_t start_ordered_at_us; /**< When its newest start was ordered.  */
  uint64_t start_known_at_us;   /**< When that start's outcome was known.  */
  uint64_t adopted_at_us; /**< When its run, which a former owner started, was
                             found; 0: it has none.  */
  bool start_confirmed;   /**< This run is known to have started.  */
  uint64_t stop_acked_at_us;   /**< When its stop was acknowledged, or 0.  */
  uint64_t ready_at_us;        /**< When it became able to start.  */
  enum run_over last_run_over; /**< How its last run came to be over.  */
  uint64_t over_at_us;         /**< When that became known in a way that only
                                  holds for the owner; 0: it did not.  */
  uint64_t unconfirmed_at_us; /**< Since when only that keeps it from starting;
                                 0: it does not.  */
  uint64_t working_at_us;   /**< When this run last worked; 0: never.  Set, but
                               not used.  */
  uint32_t work_percent;    /**< Reported: of a short task, the part that is
                               done; a long-running one is at work at 100.  */
  uint64_t run_total_us;    /**< Run time of this run as its progress projects
                               it, or as it was; 0: not known.  */
  uint64_t expected_end_us; /**< When its progress lets this run end; 0: not
                               known.  */
  /* Times on the runner's clock, in ms.  */
  uint64_t start_clock_ms; /**< When this run began to work; 0: not known.  */
  uint64_t first_report_clock_ms; /**< Its first report; 0: none yet.  */
  uint64_t progressed_clock_ms;   /**< When work_percent last changed.  */
  uint32_t first_percent;         /**< work_percent in its first report.  */
  uint32_t restart_count;         /**< Stops because its runner was slow.  */
  bool slow_run;                  /**< run_total_us was on a slow runner.  */
  uint32_t metric;                /**< Serving: tail latency, ms.  */
  uint64_t metric_mean_us;        /**< Its moving mean in this run, in us; 0:
                                     none yet.  */
  uint64_t metric_sampled_at_us;  /**< When it was last sampled; 0: never.  */
  uint32_t ordered_pace_percent;  /**< Speed last ordered; 100 at a start.  */
  /** When a serving task exceeded its latency target.  Only ever set to 0:
      the cell does not enforce over_target_limit_ms.  */
  uint64_t over_target_at_us;
  uint32_t ended_run; /**< Highest run that a runner has listed as ended.  */
  bool reconciled;    /**< This owner has started it or seen its run.  */
  bool stop_wanted;   /**< It must not run; a run that is seen is stopped.  */
  bool evicting; /**< It is being stopped to start elsewhere.  Set, but not
                    used.  */
  /** The plan (cell_fleet) that names a place for it, and that place; valid in
      that plan only.  */
  uint64_t plan_number;
  struct runner *planned_on;
  char checkpoint[CHECKPOINT_BYTES];
};

/** A step of an occurrence.  */
struct work_step
{
  struct occurrence *occurrence;
  const struct job_step *spec;
  struct image_run_time *run_time; /**< NULL: not looked up yet.  */
  uint32_t number;
  struct task *tasks;
  uint32_t waiting_count; /**< Tasks that occupy no runner and are not done. */
  uint32_t done_count;
  bool ready; /**< All steps that it depends on are done.  */
};

/** One execution of a job's steps.  */
struct occurrence
{
  struct job *job;
  uint32_t number;
  struct work_step *steps;
  uint32_t open_step_count; /**< Steps that are not done.  */
};

/** A job that was accepted, or whose acceptance is being stored.  */
struct job
{
  uint64_t id;
  char queue[NAME_BYTES];
  char tenant[NAME_BYTES];
  struct queue_terms terms;  /**< Of its queue when it was accepted.  */
  bool has_terms;            /**< terms is set.  */
  struct job_spec *spec;     /**< NULL when final and its tasks are freed.  */
  uint64_t accepted_at_ms;   /**< Unix time.  */
  uint64_t accepted_at_us;   /**< accepted_at_ms on this entry's clock.  */
  uint64_t arrived_at_us;    /**< When its call arrived at an entry; after a
                           takeover accepted_at_us.  */
  uint64_t predicted_end_us; /**< When it was predicted to end as it was
                                accepted; 0: not known.  */
  uint64_t objective_deadline_us; /**< When it should be completed to have
                                     its full value.  */
  uint64_t ended_at_ms;           /**< Unix time.  */
  enum job_state state;           /**< Valid once final.  */
  bool final;
  bool stored;            /**< Its acceptance is durable.  */
  bool dirty;             /**< Its progress is to be appended.  */
  bool started;           /**< A task of it was started.  */
  bool over_rate;         /**< It exceeded its tenant's rate.  */
  bool inherited;         /**< Accepted by an earlier owner.  */
  bool reached;           /**< No runner may have runs of it that this owner
                             does not know of.  */
  uint64_t reached_at_us; /**< The owner's unreached_over_at_us when reached
                             became true.  */
  bool end_stored;        /**< Its final state is durable.  */
  bool end_told;          /**< A client was told its final state.  */
  bool objective_known;   /**< objective_deadline_us is set by its queue.  */
  bool failures_unjudged; /**< A run failed while its queue was not known, or
                             under a former owner: whether it was one too many
                             is to be judged.  */
  /** The pools in which runs of it may be, the oldest first (job_pools.c).  */
  char (*pools)[NAME_BYTES];
  uint32_t pool_count;            /**< Entries of pools.  */
  uint32_t sent_pool_count;       /**< Those that its newest record names.  */
  uint32_t stored_pool_count;     /**< Those that its stored records name.  */
  bool pools_known;               /**< pools names all of them.  */
  uint32_t first_occurrence;      /**< Number of the first of occurrences; all
                                     before it are done and freed.  */
  uint32_t occurrence_count;      /**< Entries of occurrences.  */
  uint32_t open_occurrence_count; /**< Occurrences that are not done.  */
  struct occurrence **occurrences;
  GArray *waiters;              /**< struct waiter; answered when stored.  */
  enum urgency urgency;         /**< Class in the last round of dispatch.  */
  enum wait_reason wait_reason; /**< Reason that was last logged.  */
  struct recovered_progress *recovered; /**< Records of its progress that were
                                           read and not restored yet.  */
  uint64_t *segment_records;     /**< Segments of its tasks that have a record
                                    of their own (progress_records.c).  */
  uint32_t segment_record_count; /**< Entries of segment_records.  */
  uint64_t sent_segment;         /**< The append in flight deletes the records
                                    of segments up to this.  */
  bool progress_refused; /**< The store refuses records of its progress:
                            none is appended before its end.  */
};

/** Progress of some tasks of a job, as read from a record.  */
struct recovered_progress
{
  struct recovered_progress *next;
  bool is_segment; /**< It is the record of a segment; all tasks before those
                      of the other record are done.  */
  uint64_t first_task; /**< Number of the first of tasks.  */
  uint32_t task_count; /**< Entries of tasks.  */
  struct task_progress *tasks;
};

/** A call that waits for a job's record to be durable.  */
struct waiter
{
  bool local;       /**< The call is from a client of this entry.  */
  uint64_t link_id; /**< If not local, the link on which it came.  */
  uint64_t call_id;
  enum call_kind kind;
};

/** A runner.  Its lease is kept on its own clock.  */
struct runner
{
  struct runner_report report;
  GPtrArray *pool_runners; /**< All runners of its pool.  */
  char rack[LABEL_BYTES];
  bool zone_evacuated;     /**< Its zone is evacuated: it gets no new tasks. */
  uint64_t cold_until_us;  /**< It is slow until then, having started.  */
  uint64_t draining_at_us; /**< When it was last seen to begin to drain; 0:
                              never.  */
  bool listed;             /**< It is registered in the store.  */
  bool came_later;         /**< No whole list that this owner has read named
                              it before it was registered.  */
  uint64_t unlisted_at_us; /**< When its registration was deleted.  */
  bool reached;         /**< Its boot has answered a poll of this owner, with
                           lists of all runs and all ends.  */
  bool ends_incomplete; /**< Its last answer may lack ends.  */
  bool answer_held;     /**< Its last answer is to a poll that waits for ends:
                           another owner may have asked it meanwhile.  */
  bool boot_named; /**< Its own answer has named report's booted_at_ms.  */
  bool took_earlier_lease; /**< Its boot has taken an order that was meant for
                              the boot before.  */
  uint64_t long_lease_until_us; /**< A lease by the clock of another boot,
                                   which one of its boots has taken, has
                                   expired by then; 0: none has taken any.  */
  uint64_t previous_boot_ms; /**< booted_at_ms of the boot before; 0: none.  */
  uint64_t boot_known_at_us; /**< When we first heard of its boot.  */
  uint64_t runs_over_at_us;  /**< Newest over_at_us of the tasks that it
                                had.  */
  uint64_t boot_doubted_at_us; /**< When a registration named another boot, for
                                  which it is polled; 0: none.  */
  uint64_t boot_read_at_us;   /**< When booted_at_ms changed; answers to orders
                                 sent before may be of the boot before.  */
  uint64_t clock_ms;          /**< Its clock, as last read.  */
  uint64_t clock_read_at_us;  /**< When clock_ms was read; 0: never.  */
  uint64_t lease_until_ms;    /**< Latest lease end ordered, on its clock.  */
  uint64_t stored_end_number; /**< Ends up to this number are durable.  */
  uint64_t seen_end_number;   /**< Ends up to this number are processed.  */
  uint64_t acked_end_number;  /**< Last stored_end_number sent to it; 0 if it
                                 has listed such an end since.  */
  uint64_t poll_id;           /**< Poll in flight; 0: none.  */
  bool poll_incomplete; /**< A poll of this boot listed what cannot be read. */
  uint64_t poll_sent_at_us; /**< When that poll was sent.  */
  uint64_t hedged_at_us;    /**< When a hedged poll was last sent, or one that
                               does not wait for an end.  */
  uint64_t answered_poll_sent_at_us; /**< When the newest answered poll was
                                        sent.  */
  uint64_t next_poll_at_us;       /**< When it is polled next; 0: no poll.  */
  uint64_t answered_at_us;        /**< When it last answered a poll.  */
  uint64_t orphans_stopped_at_us; /**< When orphan runs were last stopped.  */
  uint32_t miss_count;            /**< Polls in a row without an answer.  */
  struct resources used;          /**< What its tasks occupy.  */
  GPtrArray *tasks;               /**< struct task that occupies it.  */
  struct runner_images *images; /**< Which images it had when; NULL: none yet,
                                   or not recorded.  */
  uint64_t plan_number;         /**< Plan that planned belongs to.  */
  struct resources planned_sum; /**< What those tasks occupy.  */
  GPtrArray *planned;           /**< struct task that a place on it is
                                   planned for.  */
  uint32_t failed_run_count; /**< Failed runs in a row, of different jobs.  */
  uint64_t failed_job;       /**< Job of the last failed run.  */
  uint64_t quarantined_until_us; /**< Gets no new tasks until then.  */
  uint32_t quarantine_ms;        /**< Length of the last quarantine.  */
  uint32_t ended_ratio_milli;    /**< Mean of the run times of its last runs in
                                    proportion to those elsewhere.  */
  uint32_t ended_ratio_count;    /**< Runs in that mean.  */
  uint64_t poll_clock_ms; /**< Its clock in the last answer to a poll.  */
  uint64_t poll_gap_ms;   /**< Time from the answer before to that one.  */
  uint64_t slow_at_us;    /**< When it was last found slow.  */
  bool on_probation; /**< It was slow and has not shown yet that it is sound:
                        it gets one short task at a time.  */
  uint64_t refused_until_us; /**< It refused a start as busy, late or the
                                like: gets no new tasks until then.  */
  uint64_t full_until_us;    /**< It refused a task for lack of room: gets
                              no new tasks until then.  */
  struct task *reserved_for; /**< Task that it is or was reserved for in this
                                or the last round of dispatch; only compared,
                                never dereferenced.  */
  bool reserved;             /**< It is reserved in this round.  */
  bool vm_up;                /**< The newest list has it on a VM that is up. */
  uint32_t delegate_version; /**< Of the delegation that chose its delegate.
                              */
  uint64_t delegate_link_id; /**< Link to its delegate; 0: none.  */
  uint64_t direct_until_us;  /**< This entry sends its orders until then.  */
  uint64_t heard_at_us;      /**< When it last answered a poll; before that,
                                when this owner first listed it.  */
  bool maintenance_due; /**< A wave has yet to do its VM's maintenance.  */
  bool vm_emptying;     /**< Its VM is being emptied, or is away.  */
  char vm[NAME_BYTES];  /**< Its VM by the newest list.  */
};

/** Another entry that is linked to this one.  */
struct peer
{
  uint64_t link_id;
  bool eligible; /**< It could own the cell.  */
  uint32_t cpu_milli;
  char zone[NAME_BYTES];     /**< Empty: it takes no delegated orders.  */
  char member[NAME_BYTES];   /**< Empty: not known.  */
  uint64_t followed_token;   /**< As in CELL_PEER.  */
  bool takes_states;         /**< As in CELL_PEER.  */
  uint64_t avoided_until_us; /**< As a delegate it is not used until then.  */
  uint32_t order_count;      /**< Orders that it answered in this period.  */
  uint32_t late_count;       /**< Those of them that it answered late.  */
  uint32_t unknown_count;    /**< Those of them whose outcome is unknown.  */
};

/** The use of other entries to send orders to runners.  */
struct delegation
{
  bool active;
  uint32_t version; /**< Changes when runners may have another delegate.  */
  uint32_t order_count;     /**< Orders since the load was measured.  */
  uint64_t measured_at_us;  /**< When the load was last measured.  */
  uint64_t busy_at_us;      /**< When the load last was high.  */
  uint64_t expired_at_us;   /**< When overdue orders were last looked for.  */
  uint64_t cut_off_link_id; /**< Link to a delegate whose open orders are to be
                               given up in the next tick; 0: none.  */
  uint64_t judged_at_us; /**< When the delegates' latency was last judged. */
};

/** A client's call that waits for the owner's reply.  */
struct forwarded_call
{
  struct job_call call;
  uint64_t arrived_at_us;
  uint64_t deadline_us; /**< Latest time of the answer to the client.  */
  bool sent;            /**< An owner may have executed it.  */
  bool sent_before;     /**< Value of sent before it was last sent.  */
  bool on_current_link; /**< Sent to the current owner, which has not denied
                         it.  */
};

/** An order to a runner that has not been answered.  */
struct pending_order
{
  uint64_t id;
  enum order_kind kind;
  struct runner *runner;
  struct task_id task;
  uint32_t run;
  uint64_t sent_at_us;
  uint64_t booted_at_ms;   /**< Boot that it was meant for; 0: not known.  */
  uint64_t lease_until_ms; /**< As in the order, on the clock of that boot.  */
  uint32_t wait_ms; /**< The runner may delay its answer by up to this.  */
  uint32_t timeout_ms;
  uint64_t link_id; /**< Link to the delegate that sends it; 0: none.  */
  bool is_probe;    /**< It is counted in open_probe_count.  */
  bool is_hedge;    /**< It is a hedged poll, counted in open_hedge_count.  */
};

enum ownership_phase
{
  OWNERSHIP_NONE,       /**< Another entry owns the cell, or none.  */
  OWNERSHIP_JOINING,    /**< A join was sent.  */
  OWNERSHIP_CLAIMING,   /**< A claim was sent.  */
  OWNERSHIP_RECOVERING, /**< The records are being read.  */
  OWNERSHIP_OWNER
};

/** Ownership of the cell, as this entry knows it.  */
struct ownership
{
  enum ownership_phase phase;
  uint64_t token;             /**< Our fencing token, from our claim on.  */
  uint64_t claims_end_offset; /**< End of the claims topic.  */
  uint64_t newest_token;      /**< Token of the newest claim seen.  */
  bool claims_known;          /**< The claims topic was read to its end.  */
  bool newest_released;       /**< The newest claim gives the cell up.  */
  bool no_predecessor;        /**< The cell was never claimed before.  */
  bool predecessor_is_self;   /**< The claim before the newest was of this
                                 process, too.  */
  bool predecessor_released; /**< The claim before the newest was a release. */
  uint64_t
      newest_unconfirmed_until_us; /**< The end of unconfirmed_ms of the newest
                                      release, from when it was read.  */
  uint64_t newest_seen_at_us;      /**< When the newest claim was read.  */
  struct former_owners
      newest_former;              /**< The same field of the newest claim. */
  struct former_owners former;    /**< Owners before us that may still act.  */
  uint64_t stopped_started_at_us; /**< When the owner that was stopped last had
                                     started; 0: not known, or the newest claim
                                     is no such release.  */
  bool newest_no_successor;       /**< no_successor of the newest claim.  */
  bool newest_vm_orders_recorded; /**< vm_orders_recorded of the newest
                                     claim.  */
  bool former_vm_orders_recorded; /**< The same of the claim before ours.  */
  char newest_member[NAME_BYTES];
  char owner_address[ADDRESS_BYTES]; /**< Relay of newest_member.  */
  bool link_up;                      /**< The link to the owner is up.  */
  bool owner_denied;     /**< The entry on the link does not own the cell.  */
  uint64_t denied_at_us; /**< When owner_denied was set.  */
  uint64_t resend_at_us; /**< When denied calls are sent again.  */
  bool owner_degraded;   /**< The owner cannot reach the store.  */
  bool degraded_advertised; /**< Our heartbeats say that we are degraded.  */
  uint32_t best_advertised_milli; /**< Largest CPU share in our heartbeats.  */
  uint64_t followed_advertised_token; /**< followed_token in them.  */
  enum store_view view_advertised;    /**< view in them.  */
  uint32_t entry_count_advertised;    /**< entry_count in them.  */
  uint32_t best_cpu_milli;   /**< Largest CPU share reported by an owner.  */
  uint64_t next_yield_at_us; /**< We may yield the cell from then on.  */
  uint64_t slow_yield_at_ms; /**< When an owner on a slow VM last yielded the
                                cell, in Unix time; 0: none has.  */
  uint64_t slow_until_us;    /**< Until then we count as weak, having been slow
                                as owner.  */
  bool yielding;             /**< We yield when no append is in flight.  */
  bool releasing; /**< A planned stop has us give the cell up: no new appends
                     and calls.  */
  bool release_sent;        /**< Our release of the cell has no answer yet. */
  uint64_t link_down_at_us; /**< When the link went down, or our ownership
                               ended.  */
  bool join_sent;           /**< A join is in flight.  */
  uint64_t join_sent_at_us;
  uint64_t joined_at_us; /**< When the last join that was answered was sent; 0:
                            none was.  */
  uint64_t confirmed_at_us;   /**< When the newest append that was stored under
                                 our token was first sent: no newer owner had
                                 fenced the records by then.  */
  uint64_t claims_read_at_us; /**< When the newest answered read of the claims
                                 was sent: none was newer than those that we
                                 know.  */
  uint64_t confirmation_wanted_us; /**< Latest time for which a decision
                                      depends on confirmed_at_us.  */
  uint64_t unreached_over_at_us;   /**< When runs on a runner that had not
                                      answered were last found to be over in a
                                      way that only holds for the owner.  */
  uint32_t unassigned_join_count; /**< Joins in a row that assigned the cell to
                                   another member.  */
  uint64_t next_find_at_us; /**< When we may ask for the holder again.  */
  bool find_sent;           /**< A request for the holder is in flight.  */
  uint64_t find_sent_at_us;
  uint64_t claimed_at_us; /**< When our claim became known as stored. */
  bool fence_known;       /**< Our token is known to fence the records. */
  uint64_t fenced_at_ms;  /**< When the records had been read, which are
                             fenced before, in Unix time.  */
  uint64_t unconfirmed_until_us; /**< By then every run that a former owner
                                    started has ended, even on runners that
                                    have not answered us.  */
  uint64_t phase_began_at_us;    /**< When the phase began.  */
  /** When a failed request is sent again; in OWNERSHIP_NONE, when the store is
      asked again after it named no holder.  0: neither.  */
  uint64_t retry_at_us;
};

/** What this entry knows of the states of jobs.  */
struct known_states
{
  GHashTable *jobs; /**< id to struct known_state.  */
  uint64_t token;   /**< Of the owner that told them last, maybe this one.  */
  GArray *untold;   /**< struct job_report that the owner is to tell.  */
  GArray *sending;  /**< The same, of the actions of this step.  */
  uint64_t told_at_us;    /**< When the owner told the last batch.  */
  uint64_t checked_at_us; /**< When old ones were last forgotten.  */
  uint64_t heard_token;   /**< Of the newest claim that a linked entry has
                             seen.  */
  uint64_t reached_at_us; /**< When a linked entry last reached the store.  */
  uint32_t entry_count; /**< Entries, with this one, that the owner counts; 0:
                           not known.  */
  uint64_t counted_at_us; /**< When this owner last counted fewer, or when it
                             became the owner.  */
  bool is_last_owner; /**< This entry owns the cell, or gave it up only as it
                         could not prove any more that it does.  */
  enum store_view owner_view; /**< What the last owner told of the store.  */
  uint64_t owner_view_token;  /**< The newest claim known then.  */
};

/** Tasks that wait in this round of dispatch until an append shows that this
    entry was the owner when their last runs were over.  */
struct unconfirmed_tasks
{
  uint32_t count;
  uint64_t since_us;     /**< Since when the one that waits longest does.  */
  uint64_t job;          /**< Job of that task.  */
  uint64_t logged_at_us; /**< When they were last logged.  */
};

/** Which VMs this owner orders, and the former one may have (handover.c).  */
struct vm_handover
{
  bool orders_known; /**< orders are all that the former owner gave.  */
  uint32_t order_count;
  struct vm_order_note *orders;
  bool begin_due;       /**< Those of another owner have not been read.  */
  uint64_t begun_at_us; /**< When they had been.  */
  uint64_t until_us;    /**< Then all VMs may be ordered.  */
  uint32_t noted_count; /**< VMs in our last record.  */
  uint64_t noted_at_us; /**< When it was made.  */
  bool dirty;           /**< Our record has to be appended.  */
  bool recording;       /**< The append in flight has our record.  */
};

/** The append in flight; one at a time.  */
struct append
{
  bool in_flight;
  uint64_t sequence;    /**< Its number; rises by one within an ownership.  */
  uint64_t began_at_us; /**< When it was first sent.  */
  uint64_t sent_at_us;
  uint64_t retry_at_us;  /**< When it is sent again; 0: not failed.  */
  uint64_t resume_at_us; /**< None is sent before then, as the store has
                            refused the last one.  */
  struct append_record *records; /**< Kept to send the append again.  */
  uint32_t record_count;
  uint64_t size_bytes; /**< Most bytes that the records of jobs take.  */
  GArray *job_ids;     /**< uint64_t ids of the jobs in it.  */
  GArray *watermarks;  /**< struct end_watermark.  */
};

/** The ends of a runner's runs that become durable with an append: those up to
    end_number.  */
struct end_watermark
{
  char runner[NAME_BYTES];
  uint64_t booted_at_ms; /**< Boot of the runner; ends are numbered in it.  */
  uint64_t end_number;
};

/** Observed run time of an image.  */
struct image_run_time
{
  uint64_t mean_us; /**< Moving average.  */
  uint32_t count;   /**< Runs observed.  */
  uint32_t number;  /**< Number of the image, from 1 on.  */
};

/** A job that was refused because it would end too late.  */
struct refused_job
{
  uint64_t id;
  uint64_t arrived_at_us; /**< When its first call arrived.  */
};

/** Token bucket of a tenant.  It fills by the tenant's weight in jobs a second
    and holds as many.  */
struct rate_bucket
{
  uint64_t milli_jobs; /**< Jobs that it may submit now, in thousandths.  */
  uint64_t refilled_at_us;
};

/** How fast this owner's orders are answered, by periods.  */
struct order_latency
{
  uint64_t began_at_us;   /**< Start of the period.  */
  uint32_t order_count;   /**< Orders of this entry itself whose outcome became
                             known, or was given up, in the period.  */
  uint32_t slow_count;    /**< Those of them that were answered late.  */
  uint32_t on_time_count; /**< Orders that were answered in time, by delegates
                             too.  */
  bool slow; /**< In the last period half of the answers or more were late. */
};

/** A cell as one entry sees it.  */
struct cell
{
  struct cell_settings settings;
  struct site_config *config;      /**< NULL before the first was read.  */
  GHashTable *queues;              /**< Name to struct site_queue.  */
  GHashTable *dropped_queues;      /**< The same for queues that config lacks,
                                      as they were last configured.  */
  GHashTable *limits;              /**< Tenant to struct resources, also of
                                      tenants that config lacks.  */
  GHashTable *keys;                /**< API key to tenant's index + 1.  */
  GHashTable *weights;             /**< Tenant to its weight, as a number; has
                                      only the tenants with one.  */
  uint64_t config_confirmed_at_us; /**< When config was last the newest; 0:
                                      never confirmed.  */
  uint64_t started_at_us;          /**< Time of the first event.  */
  struct ownership ownership;
  struct unconfirmed_tasks unconfirmed_tasks;
  struct vm_handover handover;
  GHashTable *peers;            /**< link_id to struct peer.  */
  uint32_t best_peer_cpu_milli; /**< Largest CPU share of the peers that could
                                   own the cell; 0: there are none.  */
  GHashTable *forwarded_calls;  /**< call_id to struct forwarded_call.  */
  GHashTable *jobs;             /**< id to struct job.  */
  struct known_states known_states;
  uint32_t task_count;        /**< Tasks of all jobs in memory.  */
  GPtrArray *active;          /**< struct job that is not final.  */
  GHashTable *runners;        /**< id to struct runner.  */
  GHashTable *pools;          /**< Name to GPtrArray of struct runner.  */
  bool runners_known;         /**< This owner has read a complete list.  */
  struct zones evacuated;     /**< As last read, by every entry.  */
  GHashTable *pending_orders; /**< id to struct pending_order.  */
  GHashTable *run_times;      /**< "QUEUE/IMAGE" to struct image_run_time.  */
  struct interference *interference;  /**< NULL: it is not learned.  */
  uint64_t interference_judged_at_us; /**< When its pairs were last judged. */
  bool place_changed; /**< The last place_find gave another runner than it
                         would without learned interference.  */
  GHashTable *rate_buckets;  /**< Tenant to struct rate_bucket.  */
  GHashTable *shares;        /**< Pool to struct pool_shares, if it is or was
                                lately saturated.  */
  GHashTable *refused_jobs;  /**< id to struct refused_job.  */
  GQueue *refused_ids;       /**< The same, oldest first; not owned.  */
  GHashTable *usage;         /**< Tenant to struct resources in use.  */
  uint64_t last_order_id;    /**< Id of the newest order; 0: none yet.  */
  uint64_t last_vm_order_id; /**< Id of the newest order for a VM; 0: none.  */
  uint32_t unanswered_start_count; /**< Start orders without an answer.  */
  uint32_t open_probe_count; /**< Polls without an answer that this entry sent
                                to runners that are not reached or silent.  */
  uint32_t open_hedge_count; /**< Hedged polls without an answer.  */
  uint64_t stop_mean_us; /**< Mean time from a stop order to the run's end; 0:
                            not known.  */
  uint64_t start_latency_us; /**< Mean time from a start order to its
                                answer.  */
  struct order_latency order_latency;
  struct delegation delegation;
  struct append append;
  bool reserved_now;    /**< This round of dispatch has reserved a runner.  */
  bool reserved_before; /**< The round before had.  */
  bool ends_unstored;   /**< A runner may have listed ends that are not stored
                           yet.  */
  uint64_t occurrences_checked_at_us; /**< When due occurrences were last
                                         looked for.  */
  bool flush_now;        /**< Append without waiting for more progress.  */
  uint64_t dirty_at_us;  /**< Since when progress waits for an append.  */
  GArray *dirty_job_ids; /**< uint64_t ids of jobs to be appended.  */
  bool dispatch_due;     /**< Something changed that may let a task start.  */
  uint64_t dispatched_at_us; /**< When the last round of dispatch was.  */
  uint64_t unreached_logged_at_us; /**< When the runners that inherited tasks
                                      wait for were last logged.  */
  struct cell_fleet *fleet;
  bool ready;          /**< Last result of the readiness check.  */
  bool ready_reported; /**< ready was reported at least once.  */
  bool stopping;
  uint64_t stop_began_at_us;
  bool exited;
  struct cell_metrics metrics;
  /* Set by cell_step for the event that it applies.  */
  uint64_t now_us;
  uint64_t wall_ms;
  uint64_t random;
  struct cell_actions *actions;
};

/* cell.c */
/** Adds an empty action of KIND to the step's output.  */
struct cell_action *cell_emit (struct cell *c, enum cell_action_kind kind);
/** Logs EVENT, which concerns JOB unless that is 0.  FORMAT and the arguments
    give the members of a JSON object without its braces; the text is cut off
    after LOG_FIELDS_BYTES - 1 bytes.  */
void cell_log (struct cell *c, const char *event, uint64_t job,
               const char *format, ...)
    __attribute__ ((format (printf, 4, 5)));
/** Counts a latency of MS in a histogram of CELL_BUCKET_COUNT buckets.  */
void cell_histogram_add (uint64_t *buckets, uint64_t ms);
bool cell_is_owner (const struct cell *c);

/* catalog.c: the queues, pools and tenants that the cell knows.  */
/** Returns the queue NAME, which the newest configuration may have dropped, or
    NULL if it is not known: before the first configuration was read, or if
    none that this entry has read had it and no job's record tells its terms.
    What depends on the queue waits then.  */
const struct site_queue *cell_find_queue (const struct cell *c,
                                          const char *name);
/** Returns true if the newest configuration has the queue NAME.  */
bool cell_queue_is_configured (const struct cell *c, const char *name);
/** Returns the pool NAME of the newest configuration, or NULL.  */
const struct site_pool *cell_find_pool (const struct cell *c,
                                        const char *name);
/** Returns the limit of TENANT as last configured; NULL if it is not known,
    else a resource that is 0 has no limit.  */
const struct resources *cell_find_limit (const struct cell *c,
                                         const char *tenant);
/** Restores the queue of J, which a former owner accepted, if no configuration
    that this entry has read has it.  */
void catalog_restore_queue (struct cell *c, const struct job *j);
/** Makes CONFIG, a child of C, the newest configuration.  */
void catalog_set_config (struct cell *c, struct site_config *config);

/* ingress.c: calls of this entry's clients.  */
void ingress_on_call (struct cell *c, struct cell_event *e);
void ingress_on_reply (struct cell *c, const struct reply *r);
void ingress_on_link (struct cell *c, bool up);
void ingress_on_config (struct cell *c, struct site_config *config);
void ingress_tick (struct cell *c);
/** Returns true if the store answered this entry's reads recently.  */
bool ingress_store_answers (const struct cell *c);
/** Returns true if the configuration is confirmed: it knows of all keys that
    were withdrawn over revoke_ms ago.  */
bool ingress_is_fresh (const struct cell *c);
/** Returns true if the configuration, which is confirmed, admits CALL by its
   key and its queue.  */
bool ingress_admits (const struct cell *c, const struct job_call *call);
/** Sends the calls that wait for an owner, if one can be reached.  */
void ingress_flush (struct cell *c);

/* stop.c: what a planned stop of this entry still allows.  */
/** Begins a planned stop.  */
void stop_begin (struct cell *c);
/** Has the connections closed when nothing is left to do, or at the latest
   time for that.  Calls that wait are still answered.  */
void stop_tick (struct cell *c);
/** Returns false if a planned stop leaves less than SPAN_US until all calls
    have to be answered.  */
bool stop_has_time (const struct cell *c, uint64_t span_us);
/** Returns true if the other entries knew at AT_US that this one is
    stopping.  */
bool stop_was_told (const struct cell *c, uint64_t at_us);
/** Returns true if a planned stop leaves no more time for calls: those that
    wait are answered, and new ones are refused at once.  */
bool stop_must_answer (const struct cell *c);
/** Returns true if a planned stop has this entry give the cell up.  */
bool stop_must_release (const struct cell *c);

/* ownership.c: which entry owns the cell.  */
void ownership_on_claim (struct cell *c, const struct cell_event *e);
void ownership_on_claims_confirmed (struct cell *c, uint64_t sent_at_us);
void ownership_on_holder (struct cell *c, const struct cell_event *e);
void ownership_on_joined (struct cell *c, const struct cell_event *e);
void ownership_on_claim_result (struct cell *c, const struct cell_event *e);
void ownership_on_recovered (struct cell *c, struct cell_event *e);
void ownership_on_link (struct cell *c, const struct cell_event *e);
void ownership_tick (struct cell *c);
/** Returns when the newest request was sent that proves that no other entry
   had taken the cell.  */
uint64_t ownership_proved_us (const struct cell *c);
/** Gives the cell up if this entry may not be its owner any more.  */
void ownership_check (struct cell *c);
/** Handles the answer that the entry on the link does not own the cell.  */
void ownership_on_denied (struct cell *c);
/** Gives the cell up without a release; WHY is logged.  */
void ownership_lose (struct cell *c, const char *why);
/** Gives the cell up.  No order may follow.  */
void ownership_release (struct cell *c);

/* yields.c: an owner that is slow or weak.  */
/** Releases the cell if this entry is slow or weak and a peer has as much CPU
    or more: under a slow owner leases expire and jobs pile up.  */
void yields_check (struct cell *c);

/* confirmation.c: proof that this entry has still been the owner.  */
/** Returns true if no newer owner had begun to act at AT_US.  If that is not
    known, requests an append, which shows it when it is stored.  */
bool confirmation_covers (struct cell *c, uint64_t at_us);
/** The same for T, which could start otherwise, and its last run.  */
bool confirmation_covers_task (struct cell *c, struct task *t, uint64_t at_us);
/** Logs the tasks for which that was not known in the round of dispatch that
    ends, if one of them has waited long.  */
void confirmation_end_round (struct cell *c);
/** Returns true if runs of former owners have ended even on runners that have
    not answered us: the time for that has passed, and this entry was the owner
    then.  */
bool confirmation_wait_is_over (const struct cell *c);
/** Requests an append when that time has passed, or when the newest proof of
    the ownership is old.  */
void confirmation_tick (struct cell *c);
/** Returns true if an append has to be sent for that.  */
bool confirmation_is_due (const struct cell *c);
/** Handles that the append in flight was stored.  */
void confirmation_on_stored (struct cell *c);

/* former_owners.c: which former owners may still act.  */
/** Sets F to the owners that may act when this entry claims the cell.  */
void former_owners_at_claim (const struct cell *c, struct former_owners *f);
/** Returns true if none may act any more.  */
bool former_owners_have_ended (const struct former_owners *f);
/** Takes those owners out that a peer shows to have ended.  When none is left,
    their runs go on for no longer than a lease.  */
void former_owners_check (struct cell *c);

/* peers.c: the entries that are linked to this one.  */
void peers_on_event (struct cell *c, const struct cell_event *e);
/** Returns the largest CPU share, in thousandths of a core, of this entry and
    of the peers that could own the cell.  */
uint32_t peers_best_cpu_milli (const struct cell *c);
/** Returns the largest CPU share of those peers alone; 0: there are none.  */
uint32_t peers_best_other_cpu_milli (const struct cell *c);
/** Returns the token of the newest claim that a peer has seen; 0: none.  */
uint64_t peers_newest_followed_token (const struct cell *c);

/* delegates.c: which entry sends the orders to a runner.  */
/** Returns the link to the delegate that would send an order to R now; 0: this
    entry would.  */
uint64_t delegates_link_for (struct cell *c, struct runner *r);
/** The same for an order that is sent, which it counts.  */
uint64_t delegates_take_order (struct cell *c, struct runner *r);
/** Handles that a peer came, left or changed.  */
void delegates_on_change (struct cell *c);
/** Handles that the link LINK_ID went down.  */
void delegates_on_lost (struct cell *c, uint64_t link_id);
/** Counts an answer on LINK_ID to an order: whether it was LATE, and whether
   the order's outcome is UNKNOWN.  */
void delegates_count_answer (struct cell *c, uint64_t link_id, bool late,
                             bool unknown);
/** Begins and ends the use of delegates, and gives up orders that they leave
    unanswered.  */
void delegates_tick (struct cell *c);
/** Forgets the load; called when the cell is lost.  */
void delegates_clear (struct cell *c);

/* jobs.c: acceptance and states of jobs.  */
/** Executes CALL and replies, at once or when its record is durable.  CALL is
    from a client of this entry if LOCAL, and otherwise came on LINK_ID.  */
void jobs_on_call (struct cell *c, bool local, uint64_t link_id,
                   struct job_call *call);
/** Forgets all jobs; their waiters are referred to the new owner.  */
void jobs_clear (struct cell *c);
/** Sets the objectives, and judges the failed runs, of the jobs whose queue
   was not known before; called after a takeover and for each configuration. */
void jobs_on_config (struct cell *c);
/** Requests that the progress of J be appended.  */
void jobs_mark_dirty (struct cell *c, struct job *j);
/** Makes STATE the final state of J.  */
void jobs_end (struct cell *c, struct job *j, enum job_state state);
/** Sends an append that is due, creates the occurrences whose start time has
    come, and frees ended jobs.  Runs after every event.  */
void jobs_tick (struct cell *c);
/** Returns the expected run time of J's longest chain of dependent steps.  */
uint64_t jobs_longest_chain_us (struct cell *c, const struct job *j);
/** These return the job or the task whose id is ID, or NULL.  */
struct job *jobs_find (const struct cell *c, uint64_t id);
struct task *jobs_find_task (const struct cell *c, const struct task_id *id);

/** Handles that a task of J was started, or is found to run.  */
void jobs_note_started (struct cell *c, struct job *j);
/** Returns the state of J to tell clients.  */
enum job_state jobs_state (const struct job *j);
/** Returns true if clients cannot ask any more for the state of a job that
    ended at ENDED_AT_MS: it is kept for twice the time in which they may.  */
bool jobs_is_forgotten (const struct cell *c, uint64_t ended_at_ms);

/** Adds an empty job ID to C and returns it.  */
struct job *jobs_new (struct cell *c, uint64_t id);
/** Creates the tasks of J's next occurrence.  */
void jobs_add_occurrence (struct cell *c, struct job *j);
/** Creates the occurrences of J whose start time has come.  */
void jobs_add_due_occurrences (struct cell *c, struct job *j);
/** Adds J to the jobs that are not final.  */
void jobs_activate (struct cell *c, struct job *j);
/** Removes J, whose acceptance the store refuses.  */
void jobs_refuse (struct cell *c, struct job *j);
/** Handles that a record of J has become durable: that of its acceptance, or a
    later one.  */
void jobs_on_stored (struct cell *c, struct job *j);

/* job_pools.c: the pools in which runs of a job may be.  */
/** Adds POOL to the pools of J.  */
void job_pools_add (struct job *j, const char *pool);
/** Returns true if tasks of J may start in POOL: a stored record names it.
    Otherwise requests such a record.  */
bool job_pools_allow_start (struct cell *c, struct job *j, const char *pool);
/** Adds the pools that R, a record of J, names.  */
void job_pools_restore (struct job *j, const struct recovered_record *r);

/* records.c: durable records of jobs.  */
/** Appends the dirty records.  No append may be in flight.  */
void records_flush (struct cell *c);
/** Returns true if the store has not taken the append in flight for long.  */
bool records_are_stalled (const struct cell *c);
/** Sends the current append again.  */
void records_send (struct cell *c);
/** Notes which ends of runs become durable with the next append.  */
void records_note_watermarks (struct cell *c);
/** Marks the noted ends as durable, so that their runners may forget them.  */
void records_apply_watermarks (struct cell *c);
/** Returns true if a job of SPEC fits into a record of the store.  */
bool records_fit (const struct cell *c, const struct job_spec *spec);
/** Returns true if no further job is to be added to the append.  */
bool records_append_is_full (const struct cell *c);
/** Adds an empty record to A; the pointer is valid until the next call.  */
struct append_record *records_add (struct append *a);
void records_on_appended (struct cell *c, const struct cell_event *e);
/** Restores state from a recovered record; may take parts of it over.  */
void records_restore (struct cell *c, struct recovered_record *r);
/** Activates the recovered jobs once all records were read.  */
void records_finish_recovery (struct cell *c);

/* progress_records.c: the durable progress of a job.  */
/** Returns the number of tasks in an occurrence of a job of SPEC.  */
uint32_t progress_tasks_per_occurrence (const struct job_spec *spec);
/** Adds the records of J's progress that is not stored to the append.  Returns
    false if some had no room in it.  */
bool progress_add_records (struct cell *c, struct job *j);
/** Adds the record of J's final state, and deletes the others.  */
void progress_add_final (struct cell *c, struct job *j);
/** Handles that the records of J in the append were stored, or that they were
    taken out of it.  */
void progress_on_stored (struct job *j);
void progress_on_withdrawn (struct job *j);
/** Keeps R, a record of J's progress, until progress_restore restores the
    tasks of J.  */
void progress_note_recovered (struct job *j, struct recovered_record *r);
void progress_restore (struct cell *c, struct job *j);

/* tasks.c: the life of a task.  */
void task_id_get (const struct task *t, struct task_id *id);
struct job *task_job (const struct task *t);
/** Makes T occupy room on R.  */
void task_assign (struct cell *c, struct task *t, struct runner *r);
/** Orders R to start T under a new run number.  */
void task_start (struct cell *c, struct task *t, struct runner *r);
/** Orders T's runner to stop it, if it has one.  */
void task_stop (struct cell *c, struct task *t);
/** Returns true if the start of T may yet be carried out, by whatever boot of
    its runner the order reaches.  */
bool task_start_is_open (const struct task *t);
/** Returns the name of WHY in log lines.  */
const char *run_over_name (enum run_over why);
/** Frees T's room on its runner, as its run is over by WHY; T waits again
    unless it is done.  */
void task_release (struct cell *c, struct task *t, enum run_over why);
/** Marks T as done, and its step, occurrence and job if it was the last.  */
void task_complete (struct cell *c, struct task *t);
/** Ends J if all its occurrences are done, those to come included.  */
void task_end_job_if_done (struct cell *c, struct job *j);
/** Fails T's job if T has failed as often as its queue, Q, allows.  */
void task_judge_failures (struct cell *c, struct task *t,
                          const struct site_queue *q);
/** Handles the end of a run that R has listed.  */
void task_on_end (struct cell *c, struct runner *r, struct ended_run *e);
/** Handles OUTCOME of the order to R to start T.  */
void task_on_start_result (struct cell *c, struct task *t, struct runner *r,
                           enum order_outcome outcome);
/** Makes those steps of O ready whose dependencies are done.  */
void task_unblock_steps (struct cell *c, struct occurrence *o);

/* registrations.c: the runners that are registered in the store.  */
void runners_on_reports (struct cell *c, struct cell_event *e);
/** Frees R, releases its tasks and forgets its orders without an answer.  */
void runners_drop (struct cell *c, struct runner *r);
/** Returns the array of struct runner of POOL, or NULL if it had none yet.  */
const GPtrArray *runners_of_pool (const struct cell *c, const char *pool);
/** The same for the pool of the queue that T's job is in; NULL also if that
    queue is not configured.  */
const GPtrArray *runners_for_task (const struct cell *c, const struct task *t);

/* evacuation.c: evacuated zones.  */
/** Handles E, a new set of evacuated zones.  */
void evacuation_on_zones (struct cell *c, const struct cell_event *e);
/** Applies the set to all runners, and logs zones that were not known
    before.  */
void evacuation_update_runners (struct cell *c);

/* runners.c: polls of runners, and orders to them.  */
/** Releases the tasks of R, whose runs are certainly over by WHY, and logs
    it.  */
void runners_release_tasks (struct cell *c, struct runner *r,
                            enum run_over why);
/** Logs that N runs on R have ended, WHY.  */
void runners_log_lost (struct cell *c, const struct runner *r,
                       enum run_over why, uint32_t n);
void runners_on_result (struct cell *c, struct runner_result *x);
void runners_tick (struct cell *c);
void runners_clear (struct cell *c);
/** Sends R a poll beside the one in flight, on a new connection.  */
void runners_send_hedge (struct cell *c, struct runner *r);
/** Schedules a poll of R in DELAY_MS at the latest.  */
void runners_schedule_poll (struct cell *c, struct runner *r,
                            uint32_t delay_ms);
/** Sends R an order of KIND, about T unless that is NULL.  The caller may then
    set the fields that only KIND uses.  */
struct runner_order *runners_send_order (struct cell *c, struct runner *r,
                                         enum order_kind kind,
                                         const struct task *t);
/** Returns the number of orders whose answers are overdue.  */
uint32_t runners_overdue_count (const struct cell *c);
/** Sends R a poll, whose answer tells R's clock, unless one is in flight.  */
void runners_read_clock (struct cell *c, struct runner *r);

/* boots.c: restarts of runners.  */
/** Handles that R was restarted, as WHY tells: it has none of our runs, which
    are released, and another clock.  Its boot started at BOOTED_AT_MS, in Unix
    time; 0: not known.  */
void boots_reset (struct cell *c, struct runner *r, uint64_t booted_at_ms,
                  enum run_over why);
/** Notes that R's boot has just become known.  It gets no starts before an
    append that is sent from now on is stored.  */
void boots_note (struct cell *c, struct runner *r);
/** Notes the time CLOCK_MS on the clock of R's boot; 0: not told.  */
void boots_note_clock (struct cell *c, struct runner *r, uint64_t clock_ms);
/** Handles that X, the result of an order to R about T or none, is of another
    boot than R's.  */
void boots_on_other (struct cell *c, struct runner *r, struct task *t,
                     const struct runner_result *x);
/** Returns true if X, the result of O, has the clock of another boot of R.  */
bool boots_is_other_clock (const struct runner *r,
                           const struct pending_order *o,
                           const struct runner_result *x);
/** Handles that X, the result of O to R about T or none, names no other boot
    but has the clock of one.  */
void boots_on_other_clock (struct cell *c, struct runner *r, struct task *t,
                           const struct runner_result *x,
                           const struct pending_order *o);

/* leases.c: leases of runners.  */
/** Returns the lease end, on R's clock, for an order sent now; 0: its clock
    is not known.  The lease lasts for LEASE_LIMIT_MS at most, however long ago
    the clock was read.  */
uint64_t leases_until_ms (const struct cell *c, const struct runner *r);
/** Adds a lease of R to O, which X notes, unless R must not get one now.  */
void leases_add (const struct cell *c, struct runner *r,
                 struct runner_order *o, struct pending_order *x);
/** Returns true if R's clock was read so long ago that no run is to be started
    before it has been read again.  */
bool leases_clock_is_old (const struct cell *c, const struct runner *r);
/** Returns true if the lease of R has certainly expired on its clock.  */
bool leases_expired (const struct cell *c, const struct runner *r);
/** Notes the lease that another boot of R has taken from O, as its result X
    shows.  */
void leases_on_other_boot (struct cell *c, struct runner *r,
                           const struct pending_order *o,
                           const struct runner_result *x);
/** Returns for how long runs on R may outlast LEASE_LIMIT_MS from now on, in
    milliseconds, as R has taken a lease by the clock of another boot; 0: they
    do not.  */
uint32_t leases_excess_ms (const struct cell *c, const struct runner *r);
/** Stops the runs on R, which has taken a long lease; of serving tasks as many
    as may be away.  */
void leases_stop_long (struct cell *c, struct runner *r);

/* polls.c: what the answer to a poll tells.  */
/** Handles the result X of O, a poll of R.  Polls without an answer count as
   misses, but for hedged ones and those that were followed by one with an
   answer.  */
void polls_on_result (struct cell *c, struct runner *r,
                      struct runner_result *x, const struct pending_order *o);

/* hedges.c: hedged polls of runners that leave orders unanswered.  */
/** Sends R a hedged poll if one is due.  */
void hedges_tick_runner (struct cell *c, struct runner *r);
/** Returns true if it should be known at once what runs on R: a start has no
    answer though it should, or a stop may have met no run.  */
bool hedges_need_answer (const struct cell *c, const struct runner *r);
/** Returns true if T's start had no answer at AT_US, though it should.  */
bool hedges_start_is_overdue (const struct cell *c, const struct task *t,
                              uint64_t at_us);
/** Notes that a start was answered after LATENCY_US.  */
void hedges_note_start_latency (struct cell *c, uint64_t latency_us);

/* progress.c: the progress of short tasks.  */
/** Returns the time on R's clock from SINCE_MS to its last reading; 0 if that
    is older.  */
uint64_t progress_elapsed_us (const struct runner *r, uint64_t since_ms);
/** Forgets the progress of T's last run.  */
void progress_reset (struct task *t);
/** Handles that R has confirmed the start of T's run.  */
void progress_note_start (struct task *t, const struct runner *r);
/** Handles that a poll has reported that PERCENT of T's work is done.  */
void progress_note (struct cell *c, struct task *t, uint32_t percent);
/** Returns for how long a poll of R may wait, at most LIMIT_MS: until a run
    whose progress is not known should have made some.  */
uint32_t progress_poll_wait_ms (struct cell *c, const struct runner *r,
                                uint32_t limit_ms);
/** Returns the run time to expect of T on a sound runner: the mean of its
    step's tasks on other runners; 0: not known.  */
uint64_t progress_peers_us (const struct task *t);
/** Returns when T's run is expected to end.  */
uint64_t progress_expected_end_us (struct cell *c, const struct task *t);

/* slow_runners.c: runners that work slowly or whose tasks stand still.  */
/** Judges R, which has answered a poll, by its runs.  */
void slow_runners_judge (struct cell *c, struct runner *r);
/** Handles that T's current run is done on R.  */
void slow_runners_on_done (struct cell *c, struct runner *r, struct task *t);
/** Handles that T's current run has ended after a stop.  */
void slow_runners_on_stopped (struct cell *c, const struct task *t);
/** Returns true if R may get another task of S, as far as its speed goes.  */
bool slow_runners_admit (const struct runner *r, const struct job_step *s);

/* image_samples.c: learned interference between images.  All do nothing unless
   the setting learn_interference is on.  */
/** Notes that T is about to be added to the tasks of R.  */
void image_samples_on_assign (struct cell *c, struct runner *r,
                              struct task *t);
/** Notes that T is about to leave its runner.  */
void image_samples_on_release (struct cell *c, struct task *t);
/** Takes a sample of T, a run of which is done on R and took RATIO thousandths
    of the time elsewhere.  */
void image_samples_on_done (struct cell *c, struct runner *r, struct task *t,
                            uint32_t ratio);
/** Takes samples of the serving tasks of R, which has answered a poll.  */
void image_samples_on_answer (struct cell *c, struct runner *r);
/** Judges the pairs of images, and logs which have changed.  */
void image_samples_tick (struct cell *c);
/** Forgets all that was learned.  */
void image_samples_clear (struct cell *c);
/** Sets P to the images that a task of W should stay away from; returns false
    if there are none.  */
bool image_samples_find_partners (struct cell *c, struct work_step *w,
                                  struct interference_partners *p);
/** Returns the sum over the tasks of R of their penalties by P.  */
uint32_t image_samples_penalty (const struct runner *r,
                                const struct interference_partners *p);

/* dispatch.c and place.c: which task starts next, and on which runner.  */
/** Starts the waiting tasks that can start.  */
void dispatch_run (struct cell *c);
/** Returns what a task of S occupies on its runner: for a filler, no CPU, as
   it runs on the time that other tasks leave.  */
struct resources place_occupied_by (const struct job_step *s);
/** Returns true if R takes new tasks now, apart from its room.  */
bool place_is_usable (const struct cell *c, const struct runner *r);
/** Returns the number of the image of W's tasks; not 0.  */
uint32_t place_image_number (struct cell *c, struct work_step *w);
/** Returns queue and image of the image NUMBER, with a slash between them.  */
const char *place_image_name (const struct cell *c, uint32_t number);
/** Returns the best runner for T that has room, or NULL.  */
struct runner *place_find (struct cell *c, const struct task *t);
/** Returns true if R has room for T, beside its tasks and those that the plan
    names places for, and meets the constraints of T's step.  */
bool place_fits (const struct cell *c, const struct task *t,
                 const struct runner *r);
/** Reserves a runner for T until the round ends: the one that was reserved for
    T in the last round, else the one with the least CPU used.  */
void place_reserve (struct cell *c, struct task *t);
/** Ends the reservations of a round; the next one remembers them.  */
void place_end_round (struct cell *c);
/** Returns true if a runner of T's pool other than its own could hold T when
    empty, or if no other is known.  */
bool place_could_hold (const struct cell *c, const struct task *t);
/** Returns true if a runner of POOL could hold NEED when empty, or if POOL has
    no runners, so that nothing is known of its VMs.  */
bool place_could_ever_fit (const struct cell *c, const char *pool,
                           const struct resources *need);
/** Returns true if T's tenant stays within its resource limit when T
    starts.  */
bool place_within_limit (const struct cell *c, const struct task *t);
/** Returns the expected run time of a task of step S of J.  */
uint64_t place_expected_task_us (struct cell *c, const struct job *j,
                                 const struct job_step *s);
/** Returns the expected run time of a task of W, caching the lookup in W.  */
uint64_t place_expected_step_us (struct cell *c, struct work_step *w);
/** Adds the run time of T, which has just ended, to its image's mean.  */
void place_record_run_time (struct cell *c, const struct task *t);

/* serving.c: serving tasks and the fillers beside them.  */
/** Sets the speed of the fillers on R by the latencies in the last poll.  */
void serving_pace_fillers (struct cell *c, struct runner *r);
/** Returns true if T's step stays within its limit of unavailable tasks when T
    is stopped.  */
bool serving_may_stop (const struct cell *c, const struct task *t);

/* fleet.c: the platform's list of VMs.  */
void fleet_on_vms (struct cell *c, const struct cell_event *e);

/* vm_orders.c: orders for VMs to the cloud.  */
void vm_orders_on_result (struct cell *c, const struct cell_event *e);

/* waves.c: maintenance waves.  */
/** Returns the state of the VMs as a child of C.  */
struct cell_fleet *cell_fleet_new (struct cell *c);
/** Adds wave W, which is copied, unless its number is known already.  */
void waves_on_request (struct cell *c, const struct site_wave *w);
void waves_tick (struct cell *c);
/** Restores the progress of a wave.  */
void waves_restore (struct cell *c, const struct recovered_record *r);
/** Returns true if a wave or the demand history has to be appended.  */
bool waves_are_dirty (const struct cell *c);
/** handover.c: takes over the names in R, a record of VM orders.  */
void handover_restore (struct cell *c, struct recovered_record *r);
/** handover.c: handles that an append was stored.  */
void handover_on_stored (struct cell *c);
/** Adds to A the records that waves_are_dirty tells of.  */
void waves_add_records (struct cell *c, struct append *a);
/** Forgets the VMs and the waves' progress; the waves stay.  */
void cell_fleet_clear (struct cell *c);
void cell_fleet_free (struct cell *c);

/* admission.c: which jobs are accepted.  */
/** Returns the core time, in thousandths of a core times us, that J needs.  */
uint64_t admission_work_of (struct cell *c, const struct job *j);
/** Returns 0 if J, a new job, can end while it has value, and otherwise the
    delay to advise to its client, in ms.  Sets predicted_end_us of J.  */
uint32_t admission_retry_ms (struct cell *c, struct job *j);
/** Returns when the first call for job ID arrived, if this owner refused it
    before; otherwise ARRIVED_AT_US, when the present call did.  */
uint64_t admission_first_arrival_us (const struct cell *c, uint64_t id,
                                     uint64_t arrived_at_us);
/** Forgets the refused jobs.  */
void admission_clear (struct cell *c);

/* demand.c: demand on the pools.  */
/** Counts J, just accepted, towards the demand on its pool.  */
void demand_note_arrival (struct cell *c, const struct job *j);
/** Notes that POOL needs another VM before one of its VMs can be emptied.  */
void demand_want_vm (struct cell *c, const char *pool);
/** Restores the pools' demand history.  */
void demand_restore (struct cell *c, const struct recovered_record *r);

#endif
