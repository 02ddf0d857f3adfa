/* model.h -- the users' platform and the entries on it, in virtual time.

   Several cells, one for each entry, take events and give actions as they do
   in an entry process.  The store, the runners, the cloud and the links
   between entries are modelled as the platform's pages describe them, with
   faults at random times.  What must hold is judged from what the runners do,
   not from what the entries believe.  The same seed gives the same run.

   model.c has the clock, the entries and their links; model_store.c the store;
   model_runner.c the runners; model_cloud.c the cloud; model_clients.c clients
   that ask, cancel and submit again; model_faults.c the load and the faults;
   model_island.c entries and runners that are cut off together;
   model_island_faults.c when they are;
   model_limits.c limits of processor time and of the store; model_rules.c what
   must hold.  */

#ifndef TESTS_MODEL_H
#define TESTS_MODEL_H

#include "core/cell/cell.h"

#include <glib.h>

#define MODEL_ENTRY_LIMIT 400
#define MODEL_VM_LIMIT 3200
#define MODEL_POOL_COUNT 3
/** The last pool is the spare one.  */
#define MODEL_SPARE_POOL (MODEL_POOL_COUNT - 1)
#define MODEL_CPU_MILLI 8000
/** Label of every second VM of a pool.  */
#define MODEL_LABEL "fast"
#define MODEL_ATTEMPT_LIMIT_COUNT 3
/** Unix time at which a run begins.  */
#define MODEL_EPOCH_MS UINT64_C (1700000000000)

/** Kinds of faults; names are in model_faults.c.  */
enum model_fault
{
  MODEL_OWNER_KILLED,
  MODEL_ENTRY_KILLED,
  MODEL_ALL_KILLED,
  MODEL_OWNER_STOPPED,     /**< As planned; it starts again.  */
  MODEL_ENTRIES_RESTARTED, /**< As planned, one after the other.  */
  MODEL_OWNER_FROZEN,
  MODEL_OWNER_CUT_OFF, /**< From all others.  */
  MODEL_OWNER_CUT_FROM_STORE,
  MODEL_RUNNER_CRASHED, /**< A new boot follows under the same id.  */
  MODEL_RUNNER_LOST,    /**< Its VM stays up without a runner.  */
  MODEL_VM_LOST,        /**< The cloud lists it as down.  */
  MODEL_RUNNER_CUT_OFF, /**< From the entries.  */
  MODEL_RUNNER_CUT_FROM_STORE,
  MODEL_RUNNER_DRAINED, /**< It leaves, and another one comes.  */
  MODEL_STORE_DOWN,
  MODEL_STORE_SILENT,
  MODEL_APPENDS_LOST, /**< Appends are stored, their answers lost.  */
  MODEL_ORDERS_LOST,  /**< Some orders are lost, or their answers.  */
  MODEL_ORDERS_LATE,  /**< Some are carried out seconds later.  */
  MODEL_CLOUD_DOWN,
  MODEL_WAVE,
  MODEL_CLOCK_STEP,       /**< Of the wall clock of an entry.  */
  MODEL_REASSIGNED,       /**< The group assigns the cell anew.  */
  MODEL_RUNNERS_CUT_OFF,  /**< Several at once.  */
  MODEL_ENTRY_SLOW,       /**< What is sent to it is late.  */
  MODEL_LINKS_BROKEN,     /**< Of one entry, or of all.  */
  MODEL_ENTRY_READS_LATE, /**< The store's claims and registrations.  */
  MODEL_OWNER_LOST,       /**< It never comes back.  */
  /* The owner is cut off with half of the runners.  */
  MODEL_OWNER_ISLANDED,
  MODEL_ENTRIES_ISLANDED,        /**< With other entries, too.  */
  MODEL_ISLAND_SHARED,           /**< Both sides reach some runners.  */
  MODEL_ISLAND_HALF_CUT,         /**< Messages pass in one direction only.  */
  MODEL_ISLAND_REGISTERED,       /**< Its runners reach the store.  */
  MODEL_SUCCESSOR_ISLANDED,      /**< So are those who claim the cell then.  */
  MODEL_ISLAND_ENDS_AT_TIMEOUT,  /**< At the ownership timeout.  */
  MODEL_ISLAND_ENDS_AFTER_CLAIM, /**< Just after its successor's claim.  */
  MODEL_UNASSIGNED_AND_ISLANDED, /**< A join tells it that it is not it.  */
  MODEL_SHARED_CRASH, /**< Runners that both sides reach crash after a claim.
                       */
  MODEL_RESTARTS_OVERLAP, /**< As planned: all entries in turn, the next ones
                             before the first is back.  */
  MODEL_STORE_AWAY_LONG, /**< Silent for 20 s; in half of the cases the owner's
                            process is killed meanwhile.  */
  MODEL_FAULT_COUNT
};

/** Where an entry or a runner is: with the store, on an island, by its number,
    or where all sides reach it.  */
#define MODEL_MAIN 0
#define MODEL_ALL_SIDES UINT32_MAX
/** Islands are numbered from 1.  */
#define MODEL_ISLAND_LIMIT 4

/** Which messages between an island and the rest get lost.  */
enum model_direction
{
  MODEL_ISLAND_CUT,     /**< All.  */
  MODEL_ISLAND_SENDS,   /**< Those to the island.  */
  MODEL_ISLAND_RECEIVES /**< Those from the island.  */
};

/** Some entries and runners that reach each other, but neither the store nor
    the others.  */
struct model_island
{
  uint64_t until_us; /**< It exists until then.  */
  enum model_direction direction;
  bool has_cloud; /**< It reaches the cloud.  */
  bool registers; /**< Its runners reach the store.  */
};

/** What an island is made of beside the owner and runners.  */
enum model_island_kind
{
  MODEL_ISLAND_OF_OWNER,
  MODEL_ISLAND_OF_ENTRIES,
  MODEL_ISLAND_WITH_SHARED,
  MODEL_ISLAND_ONE_WAY,
  MODEL_ISLAND_WITH_STORE
};

/** What a run is made of.  */
struct model_options
{
  uint32_t entry_count;
  uint32_t vm_count;           /**< Of each pool.  */
  uint32_t serving_task_count; /**< Of each pool's long-running job.  */
  uint32_t arrival_ms;         /**< Mean time between two short jobs.  */
  uint32_t cpu_milli;          /**< Processor share of an entry.  */
  uint32_t fault_count;
  uint32_t fault_kind_count; /**< Entries of fault_kinds.  */
  enum model_fault fault_kinds[MODEL_FAULT_COUNT];
  uint32_t restart_gap_ms; /**< Between restarts in turn.  */
  uint32_t cancel_percent; /**< Short jobs whose clients cancel them.  */
  uint32_t resend_percent; /**< Short jobs that are submitted once more.  */
  uint32_t ask_ms;         /**< Mean time between questions; 0: none.  */
  uint32_t insist_ms; /**< For so long who asks for a state goes on at other
                         entries until it is told; 0: it asks once.  */
  uint32_t unconfirmed_state_s; /**< As in struct cell_times.  */
  uint32_t mixed_percent;       /**< Short jobs whose second step lasts.  */
  uint32_t placed_percent; /**< Short jobs with a label or a limit of tasks
                              on a runner.  */
  uint32_t serving_fail_percent; /**< Long-running runs that fail.  */
  uint32_t failing_percent; /**< Short jobs of which half of the runs fail.  */
  uint32_t recurring_percent; /**< Short jobs with many occurrences.  */
  uint32_t recurring_ms; /**< Time between occurrences; 0: the default.  */
  uint32_t writes_per_s; /**< The store's limits; 0: none.  */
  uint32_t reads_per_s;
  uint32_t order_us; /**< CPU time of an order and its answer; 0: none.  */
  uint32_t event_us; /**< CPU time of another event; 0: none.  */
  uint32_t weak_cpu_milli; /**< Of two entries in three; 0: as the others.  */
  uint32_t mute_milli;     /**< Part of the runners that never answer.  */
  uint32_t booting_milli;  /**< Part of them that boot late.  */
  bool unfenced;           /**< The cloud does not check tokens.  */
  bool verbose;            /**< Print the lines of the entries' logs.  */
};

struct model;
typedef void (*model_function) (struct model *m, void *argument);

/** A run of a task on a runner.  */
struct model_run
{
  struct task_id task;
  uint32_t run;
  uint64_t began_at_us;
  uint64_t ends_at_us;  /**< 0: it ends only if stopped.  */
  uint64_t stops_at_us; /**< 0: it was not told to stop.  */
  bool fails;
  bool long_running;
  uint64_t cpu_milli;
};

/** The end of a run, until it is acknowledged.  */
struct model_end
{
  struct ended_run ended;
  uint64_t at_us;
};

/** One life of a VM's runner process.  */
struct model_runner
{
  char id[NAME_BYTES];
  uint32_t vm;
  bool alive;
  bool draining;
  uint64_t booted_at_us;
  uint64_t booted_at_ms; /**< As it tells it.  */
  uint32_t clock_milli;  /**< Rate of its clock, in thousandths.  */
  uint64_t token;
  uint64_t lease_end_ms; /**< On its clock.  */
  uint64_t lapsed_at_us; /**< When its lease last expired; 0: never.  */
  uint64_t end_number;
  GArray *runs;          /**< struct model_run.  */
  GArray *ends;          /**< struct model_end.  */
  GHashTable *last_runs; /**< Task to the highest run stopped or ended.  */
  GPtrArray *polls;      /**< struct model_call that waits for an end.  */
  uint64_t cut_until_us; /**< It reaches no entry until then.  */
  uint64_t store_cut_until_us;
  uint32_t side;
  bool registered;
  uint64_t silent_at_us;         /**< When the store last heard of it.  */
  uint64_t registration_version; /**< Of the newest change.  */
};

struct model_vm
{
  char name[NAME_BYTES];
  uint32_t pool;
  uint32_t rack;
  uint32_t life_count;
  bool up;                     /**< Not moving, in maintenance or down.  */
  struct model_runner *runner; /**< NULL: none has booted.  */
  uint32_t side;               /**< Of its next runner.  */
  uint64_t token;              /**< The highest of its orders; 0: none.  */
  uint32_t ordered_by;         /**< Entry whose order was taken last.  */
  uint64_t ordered_at_us;
};

struct model_entry
{
  struct model *model;
  uint32_t index;
  char name[NAME_BYTES];
  char address[ADDRESS_BYTES];
  struct cell_settings settings;
  struct cell *cell; /**< NULL while the process does not run.  */
  uint32_t process;  /**< Number of its process.  */
  uint64_t frozen_until_us;
  uint64_t cut_until_us; /**< From all others.  */
  uint64_t store_cut_until_us;
  uint64_t link_cut_until_us;
  uint64_t slow_until_us;
  uint64_t slow_us; /**< Delay of its events until then.  */
  uint64_t late_until_us;
  uint64_t late_us; /**< Delay of news of the store until then.  */
  bool lost;        /**< It never starts again.  */
  uint32_t side;
  uint64_t joined_at_us; /**< When it sent the last join that held the cell. */
  uint64_t unassigned_at_us; /**< When a join did not hold it.  */
  bool joins_pass;           /**< Its joins reach the store from an island.  */
  int64_t clock_step_ms;     /**< Of its wall clock.  */
  char wanted_address[ADDRESS_BYTES]; /**< Relay it is to be linked to.  */
  struct model_entry *linked;         /**< Other end of its link, or NULL.  */
  uint32_t linked_process;
  uint64_t link_id;
  uint64_t link_tried_at_us;
  uint64_t link_heard_at_us;
  uint64_t heartbeat_at_us; /**< When the next ones are exchanged on it.  */
  bool degraded;            /**< Contents of its heartbeats.  */
  uint32_t best_cpu_milli;
  bool reported_degraded; /**< What its link's other end told it.  */
  uint32_t reported_cpu_milli;
  uint64_t followed_token;
  uint64_t reported_token;
  bool reported_eligible;         /**< What it told its link's other end.  */
  enum store_view view;           /**< Contents of its heartbeats.  */
  enum store_view reported_view;  /**< What its link's other end told it.  */
  uint32_t heartbeat_entry_count; /**< In its heartbeats.  */
  uint32_t reported_entry_count;  /**< As reported_view.  */
  bool gets_states;               /**< It was sent states on its link.  */
  uint64_t claims_seen_offset;
  uint64_t claims_sent_at_us; /**< When its read of the claims was sent.  */
  uint64_t claims_told_at_us; /**< When the newest answer to one arrives.  */
  bool claims_read;
  bool follows_runners;
  bool runners_listed;
  uint64_t runners_seen_version;
  uint64_t newest_token; /**< Seen in orders that it sent.  */
  uint64_t busy_until_us;
};

/** A claim in the store.  */
struct model_claim
{
  char member[NAME_BYTES];
  char address[ADDRESS_BYTES];
  struct claim_terms terms;
};

struct model_store
{
  GArray *claims; /**< struct model_claim, by offset.  */
  uint64_t epoch;
  uint64_t sequence;
  GHashTable *records;                         /**< Key to GBytes.  */
  uint64_t member_until_us[MODEL_ENTRY_LIMIT]; /**< 0: no member.  */
  int32_t holder; /**< Index of an entry; -1: none.  */
  uint64_t down_until_us;
  bool silent; /**< While down it leaves calls unanswered.  */
  uint64_t appends_lost_until_us;
  uint64_t registration_version;
  uint64_t second; /**< Of the counts that follow.  */
  uint32_t write_tenths;
  uint32_t read_count;
  uint32_t refused_count; /**< Since the run began.  */
};

/** A task as the rules see it.  */
struct model_task
{
  struct task_id id;
  bool long_running;
  bool done;              /**< A run has ended as done.  */
  uint32_t failed_count;  /**< Runs that failed.  */
  uint32_t running_count; /**< Runs on runners that are up.  */
  uint64_t last_at_us;    /**< When its last run ended, or it was accepted. */
  uint64_t room_since_us; /**< It has had room since then; 0: it has none.  */
  bool stopped_by_order;  /**< Its last run ended by a stop or VM order.  */
  GArray *done_ends;      /**< struct model_done.  */
  GArray *failed_ends;    /**< struct model_done.  */
  uint32_t failed_before_start_count; /**< Of them, before the last start.  */
  bool over_budget;                   /**< Reported.  */
};

/** The end of a run as done or failed.  */
struct model_done
{
  struct model_runner *runner;
  uint64_t booted_at_us; /**< Its boot; ends are numbered in it.  */
  uint64_t number;
  uint64_t at_us;
  uint32_t run;
  bool noted;         /**< Acknowledged under an unbroken lease.  */
  uint32_t later_run; /**< A run that was started after it; 0: none.  */
};

/** A job as its client sees it.  */
struct model_job
{
  uint64_t id;
  uint32_t pool;
  bool long_running;
  uint32_t step_count;
  uint32_t task_count; /**< Of each step.  */
  uint32_t task_ms;
  uint64_t cpu_milli;
  bool mixed;    /**< The second of its two steps lasts.  */
  bool labelled; /**< Only VMs with MODEL_LABEL run it.  */
  uint32_t per_runner_limit_count;
  bool cancels;              /**< Its client cancels it.  */
  bool failing;              /**< Half of its runs fail.  */
  uint32_t occurrence_count; /**< 0: it does not recur.  */
  bool accepted;
  bool sent; /**< A call is open.  */
  uint64_t sent_at_us;
  uint64_t accepted_at_us;
  uint32_t open_entry;
  uint32_t open_process;
  uint64_t open_call_id;
  uint64_t cancel_sent_at_us; /**< 0: it was not cancelled.  */
  uint64_t cancelled_at_us;   /**< When that was answered; 0: it was not. */
  bool known_final;           /**< Its state was shown as final.  */
  enum job_state final_state; /**< That state.  */
  uint64_t final_at_us;       /**< When it was shown first.  */
};

/** A client's questions for the state of a job, until it is told.  */
struct model_inquiry
{
  struct model_job *job;
  uint64_t began_at_us;
  uint32_t next_entry;
  bool over;
};

/** A client's call about a job that it has submitted.  */
struct model_question
{
  uint64_t call_id;
  struct model_job *job;
  enum call_kind kind;
  uint32_t entry;
  uint32_t process;
  uint64_t sent_at_us;
  struct model_inquiry *inquiry; /**< It belongs to this; or NULL.  */
};

struct model
{
  struct model_options options;
  TALLOC_CTX *arena; /**< Parent of what is scheduled.  */
  uint64_t now_us;
  uint64_t random;
  uint64_t sequence;
  GTree *queue;
  struct cell_actions actions;
  uint32_t entry_count;
  struct model_entry *entries;
  uint64_t last_link_id;
  struct model_store store;
  uint32_t vm_count;
  struct model_vm *vms;
  GHashTable *runners; /**< Id to struct model_runner.  */
  GPtrArray *all_runners;
  GHashTable *tasks; /**< Name to struct model_task.  */
  GPtrArray *jobs;   /**< struct model_job.  */
  GHashTable *jobs_by_id;
  GHashTable *questions; /**< Number of a call to struct model_question.  */
  uint64_t last_call_id;
  uint64_t cloud_down_until_us;
  struct model_island islands[MODEL_ISLAND_LIMIT + 1]; /**< By number.  */
  uint64_t orders_lost_until_us;
  uint64_t orders_late_until_us;
  uint64_t disturbed_until_us; /**< End of the newest fault so far.  */
  uint64_t away_at_us; /**< When the store was last lost to all entries.  */
  bool only_away; /**< There was an owner then, and no other fault since.  */
  uint64_t end_us;
  uint32_t broken_count;
  GString *report; /**< The first broken rules.  */
  uint32_t start_count;
  uint32_t owner_count; /**< Claims that were stored.  */
  uint64_t next_wave;
};

/* model.c */
/** Plays a run with SEED.  Returns the number of broken rules; adds the first
    of them to REPORT.  */
uint32_t model_play (const struct model_options *o, uint64_t seed,
                     GString *report);
/** Returns a number below N.  */
uint32_t model_random (struct model *m, uint32_t n);
/** Returns a number from LOW to HIGH.  */
uint64_t model_between (struct model *m, uint64_t low, uint64_t high);
/** Calls F in DELAY_US.  ARGUMENT is a child of M's arena, which F frees, or
    NULL.  */
void model_schedule (struct model *m, uint64_t delay_us, model_function f,
                     void *argument);
/** Passes EV, whose ownership it takes, to the cell of E in DELAY_US, unless
    the process PROCESS of E has ended by then.  */
void model_post (struct model_entry *e, uint32_t process, uint64_t delay_us,
                 struct cell_event *ev);
struct cell_event *model_event (enum cell_event_kind kind);
void model_entry_start (struct model_entry *e);
void model_entry_kill (struct model_entry *e);
/** Returns what a delay that lasts until UNTIL_US adds now; what is sent later
    does not arrive earlier.  */
uint64_t model_delay_us (const struct model *m, uint64_t until_us,
                         uint64_t delay_us);
void model_link_break (struct model_entry *e);
bool model_entry_runs (const struct model_entry *e);
/** Returns the entry that owns the cell by its own counters, or NULL.  */
struct model_entry *model_owner (struct model *m);
/** Returns true if the entry can exchange messages with others.  */
bool model_entry_reaches (const struct model_entry *e);
/** Returns true if the cloud, while it is up, answers E.  */
bool model_entry_reaches_cloud (const struct model_entry *e);

/* model_island.c */
/** Has OWNER and half of the runners that are with the store form an island of
    KIND for FOR_US.  Returns its number; 0: there are too many.  */
uint32_t model_island_form (struct model *m, const struct model_entry *owner,
                            enum model_island_kind kind, uint64_t for_us);
/** Returns true if there is an island now.  */
bool model_island_exists (const struct model *m);
/** Returns the side on which who was put on SIDE is now.  */
uint32_t model_island_side (const struct model *m, uint32_t side);
/** Returns true if what is sent FROM one side TO another gets lost.  */
bool model_island_parts (const struct model *m, uint32_t from, uint32_t to);
/** The same in either direction.  */
bool model_island_parts_pair (const struct model *m, uint32_t a, uint32_t b);
/** Returns true if who is on SIDE is on an island now.  */
bool model_island_has (const struct model *m, uint32_t side);
/** Returns true if a runner on SIDE reaches the store.  */
bool model_island_registers (const struct model *m, uint32_t side);
/** Returns true if who is on SIDE reaches the cloud.  */
bool model_island_reaches_cloud (const struct model *m, uint32_t side);

/* model_island_faults.c */
void model_island_fault (struct model *m, enum model_fault kind);

/* model_store.c */
void model_store_action (struct model_entry *e, const struct cell_action *a);
/** Passes news of the store to the entries.  */
void model_store_tick (struct model *m);
bool model_store_serves (const struct model_entry *e);
void model_store_free (struct model *m);

/* model_runner.c */
/** Carries out an order of E to a runner; drops the reference to its payload.
 */
void model_runner_order (struct model_entry *e, struct runner_order *o);
void model_runner_tick (struct model *m);
void model_vm_boot (struct model *m, uint32_t vm, const char *same_id);
/** Ends the runner of VM; its runs end without a trace.  */
void model_runner_end (struct model *m, uint32_t vm);
void model_runners_free (struct model *m);
uint64_t model_runner_clock_ms (const struct model *m,
                                const struct model_runner *r);
bool model_vm_has_label (uint32_t vm);
struct model_runner *model_vm_runner (struct model *m, uint32_t vm);

/* model_cloud.c */
void model_cloud_action (struct model_entry *e, const struct cell_action *a);

/* model_rules.c */
void model_broken (struct model *m, const char *format, ...)
    __attribute__ ((format (printf, 2, 3)));
struct model_task *model_task_of (struct model *m, const struct task_id *id);
void model_rules_on_start (struct model *m, struct model_runner *r,
                           const struct model_run *x, bool late);
/** A run ended on R as KIND; END is its number in R's list, or 0 if R is
    gone.  */
void model_rules_on_end (struct model *m, struct model_runner *r,
                         const struct model_run *x, enum end_kind kind,
                         uint64_t end);
/** The ends of R up to NUMBER were acknowledged.  */
void model_rules_on_noted (struct model *m, struct model_runner *r,
                           uint64_t number);
/** An order of an entry ends the run X on R.  */
void model_rules_on_order (struct model *m, struct model_runner *r,
                           const struct model_run *x);
/** The same for an order for the VM of R.  */
void model_rules_on_vm_order (struct model *m, struct model_runner *r,
                              const struct model_run *x);
/** The cloud takes an order of E for V under TOKEN.  */
void model_rules_on_taken_order (struct model *m, const struct model_vm *v,
                                 const struct model_entry *e, uint64_t token);
/** Returns true if a task of J has failed as often as it may.  */
bool model_job_failed (struct model *m, const struct model_job *j);
/** The state of J, or that there is no such job, was shown to a client whose
    call was sent at SENT_AT_US.  */
void model_rules_on_state (struct model *m, struct model_job *j,
                           uint64_t sent_at_us, enum call_kind kind,
                           const struct reply *r);
/** A client that has asked for the state of J since BEGAN_AT_US gives up.  */
void model_rules_on_untold (struct model *m, const struct model_job *j,
                            uint64_t began_at_us);
void model_rules_tick (struct model *m);
void model_rules_finish (struct model *m);
void model_task_print (const struct task_id *id, char *text,
                       uint32_t size_bytes);

/* model_clients.c */
/** Plans what the client of J does once the job is accepted.  */
void model_client_plan (struct model *m, struct model_job *j);
/** Asks for states now and then, and for all at the end of the run.  */
void model_clients_plan (struct model *m);
void model_clients_tick (struct model *m);
void model_client_on_reply (struct model_entry *e, const struct reply *r);
void model_clients_free (struct model *m);
/** Returns a call of kind KIND about J.  */
struct cell_event *model_call (struct model *m, const struct model_job *j,
                               enum call_kind kind);

/* model_limits.c */
/** Has E work for WORK_US of processor time after all that it has to do.
    Returns in how many microseconds that is done.  */
uint64_t model_limits_work (struct model_entry *e, uint32_t work_us);
/** Counts calls of the store.  Return false if it refuses the call.  */
bool model_limits_write (struct model *m, uint32_t tenths);
bool model_limits_read (struct model *m);
/** Has some runners never answer, and others boot late.  */
void model_limits_plan (struct model *m);

/* model_faults.c */
/** Ends the runner of VM and boots it anew in BACK_US under the same id.  */
void model_runner_crash (struct model *m, uint32_t vm, uint64_t back_us);
/** Notes that a fault lasts until UNTIL_US.  */
void model_disturb (struct model *m, uint64_t until_us);
void model_faults_plan (struct model *m);
void model_load_plan (struct model *m);
void model_load_tick (struct model *m);
void model_load_on_reply (struct model_entry *e, const struct reply *r);
bool model_step_lasts (const struct model_job *j, uint32_t step);
struct job_spec *model_job_spec (const struct model *m, TALLOC_CTX *mem,
                                 const struct model_job *j);
const char *model_fault_name (int kind);

#endif
