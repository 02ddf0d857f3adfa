/* cell_event.h -- events that a cell takes: clients' calls, and results of the
   store, the runners and the cloud.

   An entry is a daemon process that takes clients' calls.  A cell is the unit
   of ownership: one entry at a time owns it and decides on its jobs and
   runners.  Every entry checks and forwards calls; only the owner executes
   them.  */

#ifndef FTK_PORT_CELL_EVENT_H
#define FTK_PORT_CELL_EVENT_H

#include "port/claim.h"
#include "port/site_config.h"

/** Bytes of a checkpoint or ticket with its terminating NUL.  */
#define CHECKPOINT_BYTES 64

/** Operation of a call.  */
enum call_kind
{
  CALL_SUBMIT,
  CALL_STATE,
  CALL_CANCEL,
  CALL_PENDING,  /**< Number of a queue's jobs that have not started.  */
  CALL_MALFORMED /**< Decoding failed; client_call's fault tells why.  */
};

/** A client's call as received by this entry.  */
struct client_call
{
  uint64_t call_id;
  enum call_kind kind;
  char host[HOST_BYTES];
  char path[PREFIX_BYTES + JOB_ID_BYTES]; /**< Queue's prefix, then job id.  */
  char key[API_KEY_BYTES];                /**< Empty if none was sent.  */
  uint32_t wait_ms;      /**< Client's timeout; 0: not given.  */
  struct job_spec *spec; /**< Of CALL_SUBMIT; a child of the event.  */
  const char *fault;     /**< CALL_MALFORMED: the reason, a constant.  */
};

/** A call that passed an entry's checks, as forwarded to the owner.  */
struct job_call
{
  uint64_t call_id; /**< Unique within the forwarding entry.  */
  enum call_kind kind;
  char queue[NAME_BYTES];
  char tenant[NAME_BYTES];
  uint64_t job;
  uint32_t age_ms;       /**< Time since the client's call arrived.  */
  struct job_spec *spec; /**< Of CALL_SUBMIT.  */
  bool unconfirmed; /**< Of CALL_STATE: the configuration that admitted it is
                       too old to know of withdrawn keys.  */
  char key[API_KEY_BYTES]; /**< Of such a call: its key, empty if none was
                              sent.  */
};

/** Outcome of a call.  */
enum reply_code
{
  REPLY_OK,
  REPLY_NO_JOB, /**< No such job.  */
  REPLY_NO_QUEUE,
  REPLY_UNAUTHORIZED,
  REPLY_MALFORMED,   /**< Not executed; a retry cannot succeed.  */
  REPLY_IMPOSSIBLE,  /**< A task of the job fits on no VM of the pool.  */
  REPLY_OVERLOADED,  /**< Not executed: too many jobs; the client may retry
                      later.  */
  REPLY_UNAVAILABLE, /**< Not executed; this entry cannot serve it now.  */
  REPLY_UNKNOWN,     /**< Maybe executed: owner or store did not answer.  */
  REPLY_REDIRECT,    /**< Between entries: not executed, as the receiver does
                        not serve the cell; resend to the owner.  */
  REPLY_OWNERSHIP_LOST, /**< Between entries: maybe executed, as the receiver
                           has lost the cell; resend to the new owner.  */
  REPLY_TOO_LARGE,      /**< The job has too many tasks, or its record is too
                           large; a retry cannot succeed.  */
  REPLY_CODE_COUNT
};

/** Reply to a call.  */
struct reply
{
  uint64_t call_id;
  enum reply_code code;
  enum call_kind kind;
  enum job_state state;    /**< Of CALL_STATE.  */
  uint32_t pending_count;  /**< Of CALL_PENDING.  */
  uint32_t retry_after_ms; /**< Advised delay of a retry; 0: none.  */
};

/** A runner's registration in the store.  */
struct runner_report
{
  char id[NAME_BYTES];
  bool removed; /**< The registration was deleted; only id is set.  */
  char pool[NAME_BYTES];
  char address[ADDRESS_BYTES];
  char zone[NAME_BYTES];
  bool draining;
  uint64_t booted_at_ms; /**< Unix time.  */
  uint32_t cold_ms;      /**< It stays slow for this long.  */
  struct resources capacity;
  uint32_t label_count;
  char labels[4][LABEL_BYTES]; /**< The kind, the rack, then others.  */
};

/** How a run of a task ended.  */
enum end_kind
{
  END_DONE,
  END_FAILED,
  END_STOPPED,
  END_LEASE_EXPIRED,   /**< The runner's lease expired.  */
  END_GANG_BROKEN,     /**< Another member of its gang ended.  */
  END_GANG_INCOMPLETE, /**< Its gang did not become complete in time.  */
  END_KIND_COUNT
};

/** A run that a runner reports as running.  */
struct running_task
{
  struct task_id task;
  uint32_t run;
  uint32_t work_percent; /**< Short task: the part that is done.  Long-running
                            one: 100 while at work, 0: not working.  */
  uint32_t metric; /**< Of a serving task: tail latency, ms; else CPU used,
                       which the cell does not read.  */
  char checkpoint[CHECKPOINT_BYTES];
};

/** A run that a runner reports as ended.  */
struct ended_run
{
  uint64_t number; /**< Number of this end; rises within a boot.  */
  struct task_id task;
  uint32_t run;
  enum end_kind kind;
  char checkpoint[CHECKPOINT_BYTES];
};

/** Outcome of an order to a runner or to the cloud.  */
enum order_outcome
{
  ORDER_DONE,
  ORDER_FENCED, /**< The receiver has seen a higher fencing token.  */
  ORDER_STALE,  /**< The runner has seen a higher run number of the task.  */
  ORDER_LATE,   /**< The order arrived after the lease end that it carries.  */
  ORDER_NO_ROOM,    /**< The task does not fit on the runner now.  */
  ORDER_NO_TICKET,  /**< Refused because of the order's ticket.  */
  ORDER_WRONG_BOOT, /**< The order was meant for another boot of the runner. */
  ORDER_BUSY,       /**< Not executed; a retry may succeed.  */
  ORDER_REJECTED,   /**< Not executed; a retry cannot succeed.  */
  ORDER_UNKNOWN, /**< No answer: it may have been executed, or may yet be. */
  ORDER_UNAVAILABLE, /**< Not executed: the receiver takes no orders now, or
                        could not be reached.  */
  ORDER_OTHER_BOOT,  /**< Not sent: the runner has answered as another boot,
                        which the result names, than the order is for.  */
  ORDER_OUTCOME_COUNT
};

/** Kinds of orders to a runner.  */
enum order_kind
{
  ORDER_START,
  ORDER_STOP,
  ORDER_POLL, /**< Renews the lease; returns the running and ended runs.  */
  ORDER_PACE, /**< Sets the speed of a filler.  */
  ORDER_KIND_COUNT
};

/** Result of an order to a runner.  */
struct runner_result
{
  uint64_t order_id;
  uint64_t token; /**< Of the order if another entry sent it; else 0.  */
  enum order_kind kind;
  enum order_outcome outcome;
  char runner[NAME_BYTES];
  uint64_t clock_ms;       /**< The runner's monotonic clock; 0: not given.  */
  uint64_t booted_at_ms;   /**< Unix time; 0: not given.  */
  bool running_incomplete; /**< Poll: running lacks runs that could not be
                              read.  */
  uint32_t running_count;
  uint32_t ended_count;
  struct running_task *running; /**< Children of the event.  */
  struct ended_run *ended;
};

/** A VM in the platform's list.  */
struct vm_row
{
  char vm[NAME_BYTES];
  char pool[NAME_BYTES];
  char runner[NAME_BYTES]; /**< Empty if none.  */
  char zone[NAME_BYTES];   /**< Empty if not given.  */
  bool up;                 /**< It is not moving, in maintenance or down.  */
};

/** Demand history of a pool, handed on from owner to owner.  */
struct pool_history
{
  char name[NAME_BYTES];
  uint64_t surge_began_at_ms;    /**< Last surge, Unix time; 0: none.  */
  uint64_t previous_surge_at_ms; /**< The surge before it; 0: none.  */
  uint32_t peak_vm_count;        /**< Most VMs that the last surge needed.  */
  uint32_t initial_vm_count; /**< VMs in the pool when it was first listed.  */
  uint64_t mean_need_milli;  /**< Mean need of short tasks, thousandths of a
                                VM.  */
};

/** A VM that the owner orders or ordered lately.  */
struct vm_order_note
{
  char vm[NAME_BYTES];
  uint32_t wait_ms; /**< Another owner may order it after this.  */
};

/** A record read back from the store at a takeover.  One flag tells what it
    describes; without a flag it is the progress of a job.  */
struct recovered_record
{
  bool is_job;
  bool is_wave;
  bool is_pool_history;
  bool is_vm_orders;
  bool is_segment;     /**< It is an APPEND_RECORD_SEGMENT of a job.  */
  uint32_t pool_count; /**< Entries of pools.  */
  struct pool_history *pools;
  uint64_t wave_number;
  struct vm_order_note *vm_orders; /**< Of the owner.  */
  uint32_t vm_count;               /**< Entries of vms_done or vm_orders.  */
  bool *vms_done; /**< Of each VM of the wave, in order: it is done.  */
  uint64_t job;
  char queue[NAME_BYTES];
  char tenant[NAME_BYTES];
  uint64_t accepted_at_ms;  /**< Unix time.  */
  bool has_terms;           /**< terms is set; records of earlier builds have
                               none.  */
  struct queue_terms terms; /**< Of the job's queue when it was accepted.  */
  struct job_spec *spec;
  /** Pools in which runs of the job may be, beside those that other records of
      it name; none: the record is of an earlier build.  */
  char (*run_pools)[NAME_BYTES];
  uint32_t run_pool_count; /**< Entries of run_pools.  */
  /* The progress of a job.  */
  enum job_state state;
  bool final;
  uint64_t ended_at_ms;        /**< Unix time.  */
  uint64_t first_task;         /**< Number of the first of tasks.  */
  uint32_t task_count;         /**< Entries of tasks.  */
  struct task_progress *tasks; /**< By occurrence, then step, then index.  */
};

/** A long-running task has no limit of attempts: of its failed runs so many
    are known by number, the highest.  */
#define FAILED_RUN_COUNT 6

/** Durable progress of a task.  */
struct task_progress
{
  bool done;
  uint32_t failed_count;     /**< Runs that have failed.  */
  uint32_t failed_run_count; /**< Entries of failed_runs.  */
  /** The low 16 bits of the numbers of failed runs, rising; of a short task of
      all, so that none is counted twice.  A child of the array of tasks.  */
  uint16_t *failed_runs;
};

/** Outcome of an append to the store.  */
enum append_outcome
{
  APPEND_STORED,
  APPEND_NOT_DONE, /**< Not executed; a retry may succeed.  */
  APPEND_REFUSED,  /**< Not executed, and never will be: a record is too
                      large.  */
  APPEND_FENCED,   /**< Not executed: a later owner has fenced the records.  */
  APPEND_UNKNOWN   /**< No answer: maybe stored.  Repeating it is safe.  */
};

/** Times of the platform and of the site, from the settings.  The cell does
    not use away_notice_ms, over_target_limit_ms and early_start_ms.  */
struct cell_times
{
  uint32_t revoke_ms;       /**< Longest time that a withdrawn key works.  */
  uint32_t lease_max_ms;    /**< Longest lease that a runner grants.  */
  uint32_t task_stop_ms;    /**< Longest time that a task takes to stop.  */
  uint32_t handover_gap_ms; /**< Least time between VM orders of two owners. */
  uint32_t status_retention_s;  /**< How long clients can ask for an ended
                                     job's state.  */
  uint32_t unconfirmed_state_s; /**< For so long a configuration that the store
                                   does not confirm admits calls for the state
                                   of a job, if no entry reaches the store; 0:
                                   for revoke_ms, as other calls.  */
  uint32_t away_notice_ms; /**< A task idle this long counts as unavailable. */
  uint32_t over_target_limit_ms; /**< Longest time over a latency target.  */
  uint32_t stop_grace_ms;        /**< Longest planned stop of an entry.  */
  uint32_t early_start_ms;       /**< Occurrences may begin this early.  */
  uint32_t move_ms;              /**< Downtime of a VM that is moved.  */
  uint32_t maintenance_ms;       /**< Downtime of a VM in maintenance.  */
};

/** State of a job, as the owner tells it to other entries.  A final one is
    stored.  */
struct job_report
{
  uint64_t job;
  enum job_state state;
};

/** What an entry and those that are linked to it know of the store.  */
enum store_view
{
  STORE_VIEW_NONE,    /**< They are not most entries, or it does not tell.  */
  STORE_VIEW_REACHED, /**< One of them reaches the store.  */
  STORE_VIEW_AWAY,    /**< None of them does.  */
  STORE_VIEW_COUNT
};

/** Kinds of events; the comment names the member of u.  */
enum cell_event_kind
{
  CELL_TICK,       /**< Time has passed; see cell_tick_ms.  */
  CELL_CALL,       /**< call: from a client of this entry.  */
  CELL_JOB_CALL,   /**< job_call: forwarded by another entry.  */
  CELL_REPLY,      /**< reply: from the owner to a forwarded call.  */
  CELL_OWNER_LINK, /**< owner_link: went up or down, or its state changed.  */
  CELL_PEER,       /**< peer: an entry linked to this one.  */
  CELL_CONFIG,     /**< config: a version was read.  */
  CELL_CONFIG_CONFIRMED, /**< config_sent_at_us: a read of the configuration
                            that was sent then showed that the newest version
                            is in force.  */
  CELL_CLAIM,            /**< claim: the newest claim of the cell.  */
  CELL_CLAIMS_CONFIRMED, /**< claims_sent_at_us: a read of the claims that was
                            sent then showed none that was not told before.  */
  CELL_HOLDER,        /**< holder: the cell's holder in the store's group.  */
  CELL_JOINED,        /**< joined: the store's answer to a join.  */
  CELL_CLAIM_RESULT,  /**< claimed: the outcome of this entry's claim.  */
  CELL_APPENDED,      /**< appended: the outcome of an append.  */
  CELL_RECOVERED,     /**< recovered: a page of records.  */
  CELL_RUNNERS,       /**< runners: changed registrations.  */
  CELL_WAVE,          /**< wave: a maintenance wave was requested.  */
  CELL_EVACUATIONS,   /**< evacuations: the set of evacuated zones.  */
  CELL_STATES,        /**< states: told by the owner.  */
  CELL_RUNNER_RESULT, /**< runner_result: of an order to a runner.  */
  CELL_VMS,           /**< vms: the platform's list of VMs.  */
  CELL_VM_RESULT,     /**< vm_result: of an order to the cloud.  */
  CELL_SETTINGS,      /**< times: from reloaded settings.  */
  CELL_STOP,          /**< A planned stop begins.  */
  CELL_EVENT_KIND_COUNT
};

/** An event; a talloc parent of what it points to.  */
struct cell_event
{
  enum cell_event_kind kind;
  uint64_t posted_at_us; /**< When it was put into the cell's ring; 0: it was
                            not.  */
  uint64_t now_us;       /**< Boot-time clock: includes suspended time.  */
  uint64_t wall_ms;      /**< Unix time.  */
  uint64_t random;       /**< Input for random choices of this step.  */
  union
  {
    struct client_call call;
    struct
    {
      uint64_t link_id; /**< Link on which the reply is sent.  */
      struct job_call call;
    } job_call;
    struct cell_times times;
    struct reply reply;
    struct
    {
      bool up;
      bool degraded;           /**< The owner cannot reach the store.  */
      uint32_t best_cpu_milli; /**< Largest CPU share of the owner and its
                                    peers; 0: not known.  */
      enum store_view view;
      uint32_t
          entry_count; /**< Entries that the owner counts; 0: not known. */
    } owner_link;
    struct
    {
      uint64_t link_id;
      bool up;
      bool eligible;         /**< It reaches the store and is not stopping.  */
      uint32_t cpu_milli;    /**< Its CPU share, thousandths of a core.  */
      char zone[NAME_BYTES]; /**< Its zone; empty: it takes no delegated
                                orders.  */
      char member[NAME_BYTES]; /**< Its name; empty: not given.  */
      uint64_t followed_token; /**< Token of the newest claim that it has seen,
                                  if it neither owns the cell nor is about
                                  to; else 0.  */
      bool takes_states;       /**< It takes the states of jobs.  */
      uint32_t
          entry_count; /**< Entries that the owner counts; 0: not known. */
    } peer;
    struct site_config *config;
    uint64_t config_sent_at_us;
    uint64_t claims_sent_at_us;
    struct
    {
      bool none;            /**< The cell was never claimed.  */
      uint64_t token;       /**< Its fencing token: the claim's offset + 1. */
      uint64_t next_offset; /**< End of the claims topic.  */
      char member[NAME_BYTES];     /**< Entry that made the claim.  */
      char address[ADDRESS_BYTES]; /**< Address of that entry's relay.  */
      struct claim_terms terms;
    } claim;
    struct
    {
      bool known;              /**< The store answered.  */
      char member[NAME_BYTES]; /**< Empty: no entry holds the cell.  */
    } holder;
    struct
    {
      bool answered;
      bool holds;          /**< The cell is assigned to this entry.  */
      uint64_t sent_at_us; /**< When the join was sent.  */
    } joined;
    struct
    {
      enum append_outcome outcome;
      uint64_t token;
    } claimed;
    struct
    {
      uint64_t token; /**< Under which it was sent.  */
      uint64_t sequence;
      enum append_outcome outcome;
    } appended;
    struct
    {
      bool answered;
      bool fenced;
      bool last; /**< No more pages follow.  */
      uint32_t row_count;
      struct recovered_record *rows;
    } recovered;
    struct
    {
      bool whole; /**< The list is complete: runners not in it are deleted.  */
      uint32_t row_count;
      struct runner_report *rows;
    } runners;
    struct site_wave wave;
    struct
    {
      uint32_t zone_count;
      char (*zones)[NAME_BYTES]; /**< All evacuated zones.  */
    } evacuations;
    struct
    {
      uint64_t token; /**< Of the owner.  */
      uint32_t item_count;
      const struct job_report *items;
    } states;
    struct runner_result runner_result;
    struct
    {
      bool answered;
      uint32_t row_count;
      struct vm_row *rows;
    } vms;
    struct
    {
      uint64_t order_id; /**< Of the order that it is the result of.  */
      char vm[NAME_BYTES];
      enum order_outcome outcome;
    } vm_result;
  } u;
};

#endif
