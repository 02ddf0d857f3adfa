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
#define HOLD_WAIT_MS 1000
/** Run numbers that a former owner may have used without a record.  */
#define RUN_GAP_COUNT 64
/** An owner that could not rejoin its group acts on for this long.  */
#define ACT_LIMIT_MS 10000

enum task_phase
{
  TASK_WAITING,  /**< Not ordered; runs nowhere that we know of.  */
  TASK_STARTING, /**< Ordered, no answer yet.  */
  TASK_RUNNING,
  TASK_STOPPING, /**< A stop was ordered; its room is still taken.  */
  TASK_DOUBT,    /**< An order got no answer; it may yet run there.  */
  TASK_DONE
};

/** How much a job's start matters; in the order of turns.  */
enum urgency
{
  URGENCY_BEGUN,  /**< Has work done and can be on time.  */
  URGENCY_NEW,    /**< Not begun and can be on time.  */
  URGENCY_EXCESS, /**< New, beyond what its tenant may send in a second.  */
  URGENCY_LATE,   /**< Still earns something.  */
  URGENCY_OWED    /**< Too late to earn, but accepted.  */
};

/** Why a job's next task does not start.  */
enum wait_reason
{
  WAIT_NOTHING, /**< It did, or none waits.  */
  WAIT_ROOM,    /**< No runner has room for it.  */
  WAIT_LIMIT,   /**< Its tenant is at its limit.  */
  WAIT_UNSEEN,  /**< It may run on a runner that was not reached.  */
  WAIT_BACKOFF  /**< It ended too soon to be started at once.  */
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
  struct runner *runner;    /**< While its phase takes room there.  */
  struct runner *failed_on; /**< Where it failed last, or NULL.  */
  uint64_t order_us;        /**< Its newest order was sent.  */
  uint64_t start_us;        /**< The newest start was ordered.  */
  uint64_t known_us;        /**< The outcome of its start was known then.  */
  uint64_t stopped_us;      /**< A stop of it was acknowledged; 0: not.  */
  uint64_t ready_us;        /**< It could start from then on.  */
  uint64_t work_us;         /**< Last seen at work; 0: not in this run.  */
  uint32_t percent;         /**< Of its pace, as the runner says.  */
  uint32_t figure;          /**< Serving: tail latency, ms.  */
  uint32_t paced;           /**< Percent last ordered; 100 at a start.  */
  uint64_t over_us;         /**< Over its objective since; 0: is not.  */
  bool settled;             /**< Where it runs is known to this owner.  */
  bool stop_wanted;         /**< Not to run, whatever becomes of its order.  */
  bool evicting;            /**< Stopped to run elsewhere.  */
  char checkpoint[MARK_BYTES];
};

/** A step of one occurrence.  */
struct work_step
{
  struct occurrence *occurrence;
  const struct job_step *spec;
  struct image_time *time; /**< Learned of its image; NULL: not looked up.  */
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
  uint32_t open_count; /**< Steps not done.  */
};

/** An accepted job, or one being made durable.  */
struct job
{
  uint64_t id;
  char queue[NAME_BYTES];
  char tenant[NAME_BYTES];
  struct job_spec *spec; /**< NULL once final.  */
  uint64_t accepted_ms;  /**< Wall clock.  */
  uint64_t accepted_us;
  uint64_t sent_us;      /**< The client's first call, as far as known.  */
  uint64_t objective_us; /**< To be completed by then to earn in full.  */
  uint64_t ended_ms;
  enum job_state state;
  bool final;
  bool stored;                    /**< The acceptance is durable.  */
  bool dirty;                     /**< Progress to be appended.  */
  bool started;                   /**< A task of it was started.  */
  bool excess;                    /**< Beyond its tenant's jobs a second.  */
  bool old;                       /**< Accepted under an earlier owner.  */
  bool end_stored;                /**< Its final state is durable.  */
  uint32_t occurrence_count;      /**< Of occurrences made so far.  */
  uint32_t open_occurrence_count; /**< Made and not done.  */
  struct occurrence **occurrences;
  GArray *waiters;           /**< struct waiter; answered when stored.  */
  enum urgency urgency;      /**< As of the last round.  */
  enum wait_reason wait;     /**< As of the last round.  */
  struct work_row *progress; /**< Read back, until its job is; or NULL.  */
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
  GPtrArray *siblings; /**< The runners of its pool, itself included.  */
  char rack[LABEL_BYTES];
  bool listed;         /**< Its entry is there.  */
  uint64_t missing_us; /**< Its entry went then.  */
  bool met;            /**< A hold under our token was answered.  */
  uint64_t clock_ms;   /**< Its clock at clock_us of ours.  */
  uint64_t clock_us;
  uint64_t until_ms;      /**< Highest lease end ordered, on its clock.  */
  uint64_t stored_number; /**< Ends up to it are durable.  */
  uint64_t seen_number;   /**< Ends up to it are taken in.  */
  uint64_t told_number;   /**< Last stored_number it was told.  */
  uint64_t hold_id;       /**< In flight; 0: none.  */
  uint64_t hold_sent_us;
  uint64_t next_hold_us;
  uint64_t answer_us;    /**< Its last answer.  */
  uint64_t stray_us;     /**< Runs that are not ours were stopped then.  */
  uint32_t miss_count;   /**< Holds in a row without an answer.  */
  struct resources used; /**< By what has room there.  */
  GPtrArray *tasks;      /**< struct task with room there.  */
  uint32_t fault_count;  /**< Failed runs in a row.  */
  uint64_t fault_job;    /**< Job of the last one.  */
  uint64_t aside_us;     /**< Gets nothing new until then.  */
  uint32_t aside_ms;     /**< Length of the last time aside.  */
  uint64_t full_us;      /**< Refused for want of room: nothing until then. */
  struct task *held_for; /**< Kept free for it, now or last; only compared. */
  bool held;             /**< Kept free in this round.  */
  bool vm_up;            /**< The platform's newest list has it on a VM up.  */
  uint64_t heard_us;     /**< Its entry was first read, or its last answer.  */
  bool due;              /**< Its VM has its maintenance before it.  */
  bool emptying;         /**< For maintenance or a move.  */
  char vm[NAME_BYTES];
};

/** Another entry, linked to this one.  */
struct peer
{
  uint64_t link_id;
  bool able; /**< Could own the cell.  */
  uint32_t cpu_milli;
};

/** A call that an entry has passed to the owner, or is about to.  */
struct forward
{
  struct job_call call;
  uint64_t came_us;
  uint64_t limit_us; /**< Answered by then whatever comes.  */
  bool sent;         /**< Maybe taken up by an owner.  */
  bool sent_before;  /**< So before it was handed over last.  */
  bool on_link;      /**< On the present link.  */
};

/** An order to a runner that has no answer yet.  */
struct order
{
  uint64_t id;
  enum order_kind kind;
  struct runner *runner; /**< NULL: it was dropped meanwhile.  */
  struct task_id task;
  uint32_t run;
  uint64_t sent_us;
  uint32_t wait_ms; /**< The runner may take this long to answer.  */
};

enum tenure_phase
{
  TENURE_NONE,       /**< Another entry owns the cell, or nobody.  */
  TENURE_JOINING,    /**< A join was sent.  */
  TENURE_CLAIMING,   /**< The claim is being appended.  */
  TENURE_RECOVERING, /**< The records are being read.  */
  TENURE_OWNER
};

struct tenure
{
  enum tenure_phase phase;
  uint64_t token;        /**< Fencing token while owner.  */
  uint64_t claim_offset; /**< End of the claims' topic.  */
  uint64_t newest_token; /**< Of the newest claim seen.  */
  bool claims_known;
  bool newest_released;
  bool first;        /**< Nobody claimed it before us.  */
  bool same_member;  /**< The claim before the newest was this VM's too.  */
  uint32_t doubt_ms; /**< Of the newest claim, if it is ours.  */
  uint32_t newest_doubt_ms; /**< As the newest claim says.  */
  uint64_t newest_wall_ms;
  char newest_member[NAME_BYTES];
  char owner_address[ADDRESS_BYTES]; /**< Relay of the newest claim.  */
  bool link_up;
  bool owner_denied;   /**< Who is on the link says that it owns nothing.  */
  uint64_t denied_us;  /**< Said so then.  */
  uint64_t resend_us;  /**< What it denied is handed over again then.  */
  bool owner_degraded; /**< The owner says that it cannot reach the store.  */
  bool degraded_told;  /**< We say so of ourselves.  */
  uint32_t best_told_milli; /**< Largest processor share that we tell of.  */
  uint32_t best_cpu_milli;  /**< The same, as an owner told us last.  */
  uint64_t yield_us;        /**< Next time that we may yield the cell.  */
  uint64_t slow_us;         /**< We are too slow to own it until then.  */
  bool yields;              /**< As soon as no append is under way.  */
  uint64_t link_down_us;    /**< Down since.  */
  bool join_sent;
  uint64_t join_sent_us;
  uint64_t join_good_us;   /**< The last good join was sent then.  */
  uint32_t unlisted_count; /**< Joins in a row that did not list the cell. */
  uint64_t find_us;        /**< Next question who holds the cell.  */
  bool find_sent;
  uint64_t find_sent_us;
  uint64_t claimed_us; /**< Our claim was acknowledged.  */
  uint64_t claimed_ms; /**< The same by the wall clock.  */
  uint64_t doubt_us;   /**< What an unmet runner may run is over then.  */
  uint64_t phase_us;   /**< The phase began.  */
  uint64_t retry_us;   /**< Next try of a step that failed.  */
  bool handover;       /**< Another claim or member took it over.  */
};

/** The append in flight.  */
struct append
{
  bool in_flight;
  uint64_t sequence;
  uint64_t sent_us;
  uint64_t retry_us;
  struct work_item *items; /**< Kept for a repeat.  */
  uint32_t item_count;
  GArray *jobs;  /**< uint64_t ids whose records it holds.  */
  GArray *marks; /**< struct mark.  */
};

/** Ends of a runner that are durable once an append is.  */
struct mark
{
  char runner[NAME_BYTES];
  uint64_t born_ms;
  uint64_t number;
};

/** What is learned of an image's run time.  */
struct image_time
{
  uint64_t mean_us;
  uint32_t count;
};

/** What a tenant may still send: its weight in jobs a second, for a second. */
struct allowance
{
  uint64_t milli_jobs;
  uint64_t filled_us;
};

/** How long this owner's orders take, over a short span.  */
struct order_pace
{
  uint64_t begun_us;
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
  uint64_t fresh_us; /**< The newest good read of it was sent then.  */
  struct tenure tenure;
  GHashTable *peers;      /**< link id to struct peer.  */
  GHashTable *forwards;   /**< call_id to struct forward.  */
  GHashTable *jobs;       /**< id to struct job.  */
  GPtrArray *active;      /**< struct job, not final, by acceptance.  */
  GHashTable *runners;    /**< id to struct runner.  */
  GHashTable *pools;      /**< Pool's name to its struct runner.  */
  bool runners_known;     /**< A whole list came in this tenure.  */
  GHashTable *orders;     /**< order id to struct order.  */
  GHashTable *images;     /**< Image or queue to struct image_time.  */
  GHashTable *allowances; /**< Tenant to struct allowance.  */
  GHashTable *usage;      /**< Tenant to struct resources running.  */
  uint64_t next_order_id;
  uint32_t starts_out_count; /**< Starts ordered that have no answer yet.  */
  struct order_pace pace;
  struct append append;
  bool flush_now;    /**< A caller waits for the next append.  */
  uint64_t dirty_us; /**< The oldest unstored progress is from then.  */
  GArray *dirty;     /**< uint64_t ids of jobs to be appended.  */
  bool dispatch_due;
  uint64_t dispatch_us; /**< Last dispatch.  */
  struct upkeep *upkeep;
  bool ready;
  bool ready_told;
  bool stopping;
  uint64_t stop_us;
  bool exited;
  struct cell_metrics metrics;
  /* Of the step at hand.  */
  uint64_t now_us;
  uint64_t wall_ms;
  uint64_t random;
  struct cell_actions *out;
};

/* cell.c */
struct cell_action *cell_do (struct cell *c, enum cell_action_kind kind);
/** Adds a line for on-call; FORMAT gives the inside of a JSON object.  */
void cell_log (struct cell *c, const char *what, uint64_t job,
               const char *format, ...)
    __attribute__ ((format (printf, 4, 5)));
void cell_observe (uint64_t *buckets, uint64_t ms);
const struct site_queue *cell_queue (const struct cell *c, const char *name);
const struct site_pool *cell_pool (const struct cell *c, const char *name);
bool cell_owns (const struct cell *c);

/* gate.c: this entry's clients.  */
void gate_on_call (struct cell *c, struct cell_event *e);
void gate_on_reply (struct cell *c, const struct reply *r);
void gate_on_link (struct cell *c, bool up);
void gate_on_config (struct cell *c, struct site_config *f);
void gate_tick (struct cell *c);
/** Returns true if the store answered this entry lately.  */
bool gate_store_answers (const struct cell *c);
/** Sends what waits for an owner, on its link or to this entry itself.  */
void gate_flush (struct cell *c);

/* tenure.c: who owns the cell.  */
void tenure_on_claim (struct cell *c, const struct cell_event *e);
void tenure_on_holder (struct cell *c, const struct cell_event *e);
void tenure_on_joined (struct cell *c, const struct cell_event *e);
void tenure_on_claimed (struct cell *c, const struct cell_event *e);
void tenure_on_recovered (struct cell *c, struct cell_event *e);
void tenure_on_link (struct cell *c, const struct cell_event *e);
void tenure_tick (struct cell *c);
/** The entry on the link does not own the cell.  */
void tenure_on_denied (struct cell *c);
/** Gives the cell up because of WHY.  */
void tenure_lose (struct cell *c, const char *why);

/* peers.c: the entries that are linked to this one.  */
void peers_on_event (struct cell *c, const struct cell_event *e);
/** Returns the largest processor share of this entry and of those linked to
    it that could own the cell.  */
uint32_t peers_best_milli (const struct cell *c);
/** Returns the same of the linked entries alone; 0: none.  */
uint32_t peers_other_milli (const struct cell *c);

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
void jobs_open_due (struct cell *c, struct job *j);
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
void records_note_marks (struct cell *c);
void records_apply_marks (struct cell *c);
/** Adds an empty record to A; valid until the next one.  */
struct work_item *records_add_item (struct append *a);
void records_on_appended (struct cell *c, uint64_t sequence,
                          enum append_outcome outcome);
/** Takes a record back, and then all that were read.  */
void records_take_row (struct cell *c, struct work_row *r);
void records_recovered (struct cell *c);

/* tasks.c: what becomes of a task.  */
void task_id_of (const struct task *t, struct task_id *id);
struct job *task_job (const struct task *t);
void task_place (struct cell *c, struct task *t, struct runner *r);
void task_start (struct cell *c, struct task *t, struct runner *r);
void task_stop (struct cell *c, struct task *t);
/** Frees T's room; it waits again unless it is done.  */
void task_release (struct cell *c, struct task *t);
void task_done (struct cell *c, struct task *t);
void task_on_end (struct cell *c, struct runner *r, struct ended_row *e);
void task_on_start_result (struct cell *c, struct task *t, struct runner *r,
                           enum order_outcome outcome);
/** Makes the steps of O ready whose turn has come.  */
void task_open_steps (struct cell *c, struct occurrence *o);

/* runners.c: leases, looks and orders.  */
void runners_on_reports (struct cell *c, struct cell_event *e);
void runners_on_result (struct cell *c, struct runner_result *x);
void runners_tick (struct cell *c);
void runners_clear (struct cell *c);
/** Returns the runners of POOL, struct runner, or NULL for none.  */
const GPtrArray *runners_of_pool (const struct cell *c, const char *pool);
/** Has R looked at soon.  */
void runners_look (struct cell *c, struct runner *r, uint32_t delay_ms);
struct runner_order *runners_order (struct cell *c, struct runner *r,
                                    enum order_kind kind,
                                    const struct task *t);
/** Returns how many orders wait for an answer longer than they should.  */
uint32_t runners_overdue_count (const struct cell *c);
/** Returns the lease end on R's clock for an order sent now, or 0.  */
uint64_t runners_until (const struct cell *c, const struct runner *r);
/** Returns true if nothing that was ordered on R can still run there.  */
bool runners_lapsed (const struct cell *c, const struct runner *r);

/* dispatch.c and place.c: which task next, and where.  */
void dispatch_run (struct cell *c);
struct runner *place_find (struct cell *c, const struct task *t);
/** Returns true if T could run on another runner once there is room.  */
bool place_exists (const struct cell *c, const struct task *t);
/** Keeps the runner that will soonest have room for T free of others for this
    round; a runner that was kept for it before stays it.  */
void place_hold (struct cell *c, struct task *t);
/** Ends what place_hold kept of a round; REMEMBERED: until the next one.  */
void place_release_holds (struct cell *c);
/** Returns true if some runner of POOL could ever hold NEED.  */
bool place_possible (const struct cell *c, const char *pool,
                     const struct resources *need);
/** Returns true if T's tenant may have one more of it running.  */
bool place_within_limit (const struct cell *c, const struct task *t);
uint64_t place_task_us (struct cell *c, const struct job *j,
                        const struct job_step *s);
/** The same for a step at work, which remembers where to look.  */
uint64_t place_step_us (struct cell *c, struct work_step *w);
void place_learn (struct cell *c, const struct task *t);

/* serving.c: long-running tasks and the fillers beside them.  */
void serving_on_look (struct cell *c, struct runner *r);
/** Returns true if T may be stopped without passing its step's limit.  */
bool serving_may_stop (const struct cell *c, const struct task *t);

/* fleet.c: the platform's list of VMs.  */
void fleet_on_vms (struct cell *c, const struct cell_event *e);

/* upkeep.c: waves, moves, pool sizes.  */
struct upkeep *upkeep_new (struct cell *c);
void upkeep_on_wave (struct cell *c, const struct site_wave *w);
void upkeep_on_result (struct cell *c, const struct cell_event *e);
void upkeep_tick (struct cell *c);
/** Counts J, just accepted, for the demand on its pool.  */
void pools_note_arrival (struct cell *c, const struct job *j);
/** Takes back what was learned of demand.  */
void pools_take_row (struct cell *c, const struct work_row *r);
/** Takes back how far a wave is.  */
void upkeep_take_row (struct cell *c, const struct work_row *r);
bool upkeep_is_dirty (const struct cell *c);
/** Adds records of the waves that got further to A.  */
void upkeep_add_items (struct cell *c, struct append *a);
void upkeep_clear (struct cell *c);
void upkeep_free (struct cell *c);

#endif
