/* cell_event.h -- what a cell is told: calls, the store, runners, the cloud.

   A cell is the unit of ownership: one entry at a time decides for its jobs
   and runners.  Every entry has the cell's front part; the owner has all.  */

#ifndef FTK_PORT_CELL_EVENT_H
#define FTK_PORT_CELL_EVENT_H

#include "port/site_config.h"

/** Bytes of a checkpoint or ticket with its terminating NUL.  */
#define CHECKPOINT_BYTES 64

/** What a call asks for.  */
enum call_kind
{
  CALL_SUBMIT,
  CALL_STATE,
  CALL_CANCEL,
  CALL_PENDING,
  CALL_MALFORMED /**< Decoding failed; see fault.  */
};

/** A client's call as it came in.  */
struct client_call
{
  uint64_t call_id;
  enum call_kind kind;
  char host[HOST_BYTES];
  char path[PREFIX_BYTES + JOB_ID_BYTES]; /**< Whole path.  */
  char key[API_KEY_BYTES];                /**< Empty if none came.  */
  uint32_t wait_ms;      /**< How long the client waits; 0: not said.  */
  struct job_spec *spec; /**< CALL_SUBMIT; a child of the event.  */
  const char *fault;     /**< CALL_MALFORMED: why, a constant.  */
};

/** A call that passed the checks of an entry, for the owner.  */
struct job_call
{
  uint64_t call_id; /**< The asking entry's number.  */
  enum call_kind kind;
  char queue[NAME_BYTES];
  char tenant[NAME_BYTES];
  uint64_t job;
  uint32_t age_ms;       /**< Since the client's call came in.  */
  struct job_spec *spec; /**< CALL_SUBMIT.  */
};

/** How a call was answered.  */
enum reply_code
{
  REPLY_OK,
  REPLY_NO_JOB, /**< No such job.  */
  REPLY_NO_QUEUE,
  REPLY_UNAUTHORIZED,
  REPLY_MALFORMED,      /**< Not run, and never will be.  */
  REPLY_IMPOSSIBLE,     /**< No VM could ever hold a task of it.  */
  REPLY_OVERLOADED,     /**< Not run; worth another try later.  */
  REPLY_UNAVAILABLE,    /**< Not run; the entry cannot take it now.  */
  REPLY_UNKNOWN,        /**< Maybe run: no answer from the owner or store.  */
  REPLY_REDIRECT,       /**< Between entries: not run here, ask the owner.  */
  REPLY_OWNERSHIP_LOST, /**< Between entries: maybe run, ask the new owner.  */
  REPLY_CODE_COUNT
};

struct reply
{
  uint64_t call_id;
  enum reply_code code;
  enum call_kind kind;
  enum job_state state;   /**< CALL_STATE.  */
  uint32_t pending_count; /**< CALL_PENDING.  */
  uint32_t retry_after_ms;
};

/** What a runner says of itself.  */
struct runner_report
{
  char id[NAME_BYTES];
  bool removed; /**< Its entry is gone; only the id is set.  */
  char pool[NAME_BYTES];
  char address[ADDRESS_BYTES];
  char zone[NAME_BYTES];
  bool draining;
  uint64_t booted_at_ms; /**< Start of this boot, Unix time.  */
  struct resources capacity;
  uint32_t label_count;
  char labels[4][LABEL_BYTES]; /**< Kind first, then rack.  */
};

/** How a task's run ended.  */
enum end_kind
{
  END_DONE,
  END_FAILED,
  END_STOPPED,
  END_LEASE_EXPIRED,
  END_GANG_BROKEN,     /**< Another member of its gang ended.  */
  END_GANG_INCOMPLETE, /**< Its gang was not complete in time.  */
  END_KIND_COUNT
};

struct running_task
{
  struct task_id task;
  uint32_t run;
  uint32_t pace_percent;
  uint32_t metric; /**< Serving: tail latency, ms.  Else: CPU in use.  */
  char checkpoint[CHECKPOINT_BYTES];
};

struct ended_run
{
  uint64_t number; /**< Rises in each boot.  */
  struct task_id task;
  uint32_t run;
  enum end_kind kind;
  char checkpoint[CHECKPOINT_BYTES];
};

/** How an order to a runner or the cloud ended.  */
enum order_outcome
{
  ORDER_DONE,
  ORDER_FENCED, /**< A higher fencing token was seen there.  */
  ORDER_STALE,  /**< The run is older than one seen there.  */
  ORDER_LATE,   /**< Its lease end had passed.  */
  ORDER_NO_ROOM,
  ORDER_NO_TICKET,
  ORDER_WRONG_BOOT, /**< Another boot than the one meant.  */
  ORDER_BUSY,       /**< Nothing was done; try again.  */
  ORDER_REJECTED,   /**< Will never be done.  */
  ORDER_UNKNOWN,    /**< No answer: maybe done, maybe later.  */
  ORDER_OUTCOME_COUNT
};

/** Kinds of orders to a runner.  */
enum order_kind
{
  ORDER_START,
  ORDER_STOP,
  ORDER_POLL, /**< Renews the lease and looks.  */
  ORDER_PACE,
  ORDER_KIND_COUNT
};

struct runner_result
{
  uint64_t order_id;
  enum order_kind kind;
  enum order_outcome outcome;
  char runner[NAME_BYTES];
  uint64_t clock_ms;     /**< The runner's steady clock; 0: not said.  */
  uint64_t booted_at_ms; /**< 0: not said.  */
  uint32_t running_count;
  uint32_t ended_count;
  struct running_task *running; /**< Children of the event.  */
  struct ended_run *ended;
};

struct vm_row
{
  char vm[NAME_BYTES];
  char pool[NAME_BYTES];
  char runner[NAME_BYTES]; /**< Empty when it has none.  */
  bool up;                 /**< Not moving, in maintenance or down.  */
};

/** What is learned of the demand on a pool; lasts over owners.  */
struct pool_history
{
  char name[NAME_BYTES];
  uint64_t surge_began_at_ms;    /**< Its last time of high demand began, wall
                                    clock. */
  uint64_t previous_surge_at_ms; /**< The one before it; 0: none.  */
  uint32_t peak_vm_count;        /**< VMs that the last one needed at most.  */
  uint32_t initial_vm_count;     /**< VMs that it had at first.  */
  uint64_t mean_need_milli;      /**< Mean need, in thousandths of a VM.  */
};

/** A record read back from the store at a takeover.  */
struct recovered_record
{
  bool is_job; /**< Else the progress of one, or of a wave.  */
  bool is_wave;
  bool is_pool_history;
  uint32_t pool_count; /**< Entries of pools.  */
  struct pool_history *pools;
  uint64_t wave_number; /**< Its number.  */
  uint32_t vm_count;    /**< Entries of vms_done.  */
  bool *vms_done;
  uint64_t job;
  char queue[NAME_BYTES];
  char tenant[NAME_BYTES];
  uint64_t accepted_at_ms; /**< Wall clock.  */
  struct job_spec *spec;
  /* Progress.  */
  enum job_state state;
  bool final;
  uint64_t ended_at_ms;
  uint32_t task_count;         /**< Tasks over all occurrences told of.  */
  struct task_progress *tasks; /**< In the order of occurrence, step, index. */
};

/** Failed runs whose numbers are kept, so that none counts twice.  */
#define FAILED_RUN_COUNT 6

/** What lasts of a task.  */
struct task_progress
{
  bool done;
  uint8_t failed_count;
  uint16_t failed_runs[FAILED_RUN_COUNT]; /**< Numbers of the first ones.  */
};

enum append_outcome
{
  APPEND_STORED,
  APPEND_NOT_DONE, /**< Nothing was done; try again.  */
  APPEND_FENCED,   /**< A later owner has taken the cell.  */
  APPEND_UNKNOWN   /**< No answer: maybe done; the same again is safe.  */
};

/** Times of the platform and the site, from the settings.  */
struct cell_times
{
  uint32_t revoke_ms;          /**< A withdrawn key stops within this.  */
  uint32_t lease_max_ms;       /**< Longest lease that a runner grants.  */
  uint32_t task_stop_ms;       /**< Longest stop of a task.  */
  uint32_t handover_gap_ms;    /**< Between the orders of two carriers.  */
  uint32_t status_retention_s; /**< Ended jobs are told of for this long.  */
  uint32_t away_notice_ms; /**< Tasks not at work this long count as away.  */
  uint32_t over_target_limit_ms; /**< Longest time over a latency objective. */
  uint32_t stop_grace_ms;        /**< Longest planned stop.  */
  uint32_t early_start_ms;       /**< Occurrences may begin this early.  */
  uint32_t move_ms;              /**< A VM is away this long when moved.  */
  uint32_t maintenance_ms; /**< A VM is away this long in maintenance.  */
};

enum cell_event_kind
{
  CELL_TICK,
  CELL_CALL,             /**< call: from this entry's clients.  */
  CELL_JOB_CALL,         /**< job_call: from another entry.  */
  CELL_REPLY,            /**< reply: from the owner.  */
  CELL_OWNER_LINK,       /**< link: to the owner, up or down.  */
  CELL_PEER,             /**< peer: another entry, linked to this one.  */
  CELL_CONFIG,           /**< config: a version read.  */
  CELL_CONFIG_CONFIRMED, /**< sent_us: a read of the configuration answered. */
  CELL_CLAIM,            /**< claim: the newest claim of the cell.  */
  CELL_HOLDER,        /**< holder: who holds the cell by the store's group.  */
  CELL_JOINED,        /**< joined: the store's answer to a join.  */
  CELL_CLAIM_RESULT,  /**< claimed: the answer to our claim.  */
  CELL_APPENDED,      /**< appended.  */
  CELL_RECOVERED,     /**< recovered: a page of records.  */
  CELL_RUNNERS,       /**< runners: changes of the list.  */
  CELL_WAVE,          /**< wave.  */
  CELL_RUNNER_RESULT, /**< result: of an order to a runner.  */
  CELL_VMS,           /**< vms: the cloud's list.  */
  CELL_VM_RESULT,     /**< vm_result: of an order to the cloud.  */
  CELL_SETTINGS,      /**< times: read again.  */
  CELL_STOP,          /**< A planned stop begins.  */
  CELL_EVENT_KIND_COUNT
};

struct cell_event
{
  enum cell_event_kind kind;
  uint64_t posted_at_us; /**< It was put into the cell's ring; 0: never was. */
  uint64_t now_us;       /**< Clock that runs on through a pause.  */
  uint64_t wall_ms;      /**< Unix time.  */
  uint64_t random;
  union
  {
    struct client_call call;
    struct
    {
      uint64_t link_id; /**< Where the reply goes.  */
      struct job_call call;
    } job_call;
    struct cell_times times;
    struct reply reply;
    struct
    {
      bool up;
      bool degraded;           /**< The owner cannot reach the store.  */
      uint32_t best_cpu_milli; /**< Of the owner and all linked to it.  */
    } owner_link;
    struct
    {
      uint64_t link_id;
      bool up;
      bool eligible; /**< Reaches the store and is not stopping.  */
      uint32_t cpu_milli;
    } peer;
    struct site_config *config;
    uint64_t config_sent_at_us;
    struct
    {
      bool none;      /**< Nobody ever claimed it.  */
      uint64_t token; /**< Fencing token of the claim.  */
      uint64_t next_offset;
      char member[NAME_BYTES];
      char address[ADDRESS_BYTES]; /**< Of the holder's relay.  */
      bool released;               /**< It stopped as planned.  */
      uint32_t best_cpu_milli; /**< Largest share known there; 0: not said. */
    } claim;
    struct
    {
      bool known;              /**< The store answered.  */
      char member[NAME_BYTES]; /**< Empty: nobody.  */
    } holder;
    struct
    {
      bool answered;
      bool holds; /**< The cell is this member's.  */
      uint64_t sent_at_us;
    } joined;
    struct
    {
      enum append_outcome outcome;
      uint64_t token;
    } claimed;
    struct
    {
      uint64_t sequence;
      enum append_outcome outcome;
    } appended;
    struct
    {
      bool answered;
      bool fenced;
      bool last; /**< No page follows.  */
      uint32_t row_count;
      struct recovered_record *rows;
    } recovered;
    struct
    {
      bool whole; /**< What is not named is gone.  */
      uint32_t row_count;
      struct runner_report *rows;
    } runners;
    struct site_wave wave;
    struct runner_result runner_result;
    struct
    {
      bool answered;
      uint32_t row_count;
      struct vm_row *rows;
    } vms;
    struct
    {
      char vm[NAME_BYTES];
      enum order_outcome outcome;
    } vm_result;
  } u;
};

#endif
