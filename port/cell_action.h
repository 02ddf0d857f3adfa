/* cell_action.h -- actions that a cell asks for: replies, store requests and
   orders to runners and to the cloud.  */

#ifndef FTK_PORT_CELL_ACTION_H
#define FTK_PORT_CELL_ACTION_H

#include "port/cell_event.h"

/** An order to a runner.  */
struct runner_order
{
  uint64_t order_id;
  enum order_kind kind;
  uint64_t link_id; /**< Link to the entry that is to send it; 0: this one.  */
  bool delegated;   /**< This entry sends it for the owner.  */
  char runner[NAME_BYTES];
  char address[ADDRESS_BYTES];
  uint64_t token;
  uint64_t booted_at_ms;   /**< Boot that lease_until_ms and stored_end_number
                              count for: no other boot of the runner gets the
                              order; 0: any may.  */
  uint64_t lease_until_ms; /**< On the runner's clock; 0: unchanged.  */
  uint32_t timeout_ms;
  bool new_connection; /**< To be sent on a new connection, as an idle one may
                        be dead.  */
  struct task_id task;
  uint32_t run;
  uint32_t wait_ms; /**< ORDER_POLL: the runner waits up to this for the end of
                       a run.  */
  uint32_t pace_percent; /**< ORDER_PACE: speed, in percent of full speed.  */
  uint64_t stored_end_number; /**< ORDER_POLL: the runner may forget ends up to
                                 this number.  */
  struct blob *payload;       /**< ORDER_START; a reference.  */
  char checkpoint[CHECKPOINT_BYTES];
  char ticket[CHECKPOINT_BYTES]; /**< Of a policy service; never set.  */
};

/** A record of an append.  Which fields are set depends on the kind.  Pointers
    refer into the cell and are valid until the cell's next step.  */
struct append_record
{
  enum append_record_kind
  {
    APPEND_RECORD_JOB,           /**< An accepted job.  */
    APPEND_RECORD_PROGRESS,      /**< A job's progress, or its final state.  */
    APPEND_RECORD_DROP_JOB,      /**< Deletes the job's APPEND_RECORD_JOB.  */
    APPEND_RECORD_DROP_PROGRESS, /**< Deletes its APPEND_RECORD_PROGRESS; never
                                    sent by the cell.  */
    APPEND_RECORD_SEGMENT,       /**< Progress of some more of its tasks.  */
    APPEND_RECORD_DROP_SEGMENT, /**< Deletes the APPEND_RECORD_SEGMENT with the
                                   same first_task.  */
    APPEND_RECORD_WAVE,         /**< Progress of a wave.  */
    APPEND_RECORD_POOL_HISTORY, /**< Demand history of the pools.  */
    APPEND_RECORD_VM_ORDERS     /**< VMs that the owner orders.  */
  } kind;
  uint64_t job;
  const char *queue;
  const char *tenant;
  uint64_t accepted_at_ms;
  const struct queue_terms *terms; /**< Of the job's queue.  */
  const struct job_spec *spec;
  const char (*run_pools)[NAME_BYTES]; /**< Pools in which runs of the job may
                                          be.  */
  uint32_t run_pool_count;             /**< Entries of run_pools.  */
  enum job_state state;
  bool final;
  uint64_t ended_at_ms;
  uint32_t pool_count;        /**< Entries of pools.  */
  struct pool_history *pools; /**< A child of the append's records.  */
  uint64_t wave_number;
  struct vm_order_note *vm_orders; /**< A child of the append's records.  */
  uint32_t vm_count;               /**< Entries of vms_done or vm_orders.  */
  /** Of each VM of the wave, in order: its maintenance is done.  */
  const bool *vms_done;
  /** Number of the first of tasks among those of all occurrences.  If the
      record is an APPEND_RECORD_PROGRESS, all before it are done.  */
  uint64_t first_task;
  uint32_t task_count;
  struct task_progress *tasks; /**< A child of the append's records.  */
};

/** Returns true if records of KIND are of a job.  */
static inline bool
append_record_is_of_job (enum append_record_kind kind)
{
  return kind < APPEND_RECORD_WAVE;
}

/** Kinds of actions; the comment names the member of u.  */
enum cell_action_kind
{
  CELL_DO_REPLY,      /**< reply: to a client of this entry.  */
  CELL_DO_PEER_REPLY, /**< peer_reply: to an entry that forwarded a call.  */
  CELL_DO_FORWARD,    /**< forward: a call, to the owner.  */
  CELL_DO_CONNECT, /**< connect: address of the relay to link to; empty: drop
                    the link.  */
  CELL_DO_TELL_STATES,   /**< states: to linked entries.  */
  CELL_DO_SET_HEARTBEAT, /**< heartbeat: contents of the relay's heartbeats. */
  CELL_DO_JOIN,          /**< Join the store's group, or renew membership.  */
  CELL_DO_LEAVE,         /**< Leave the store's group.  */
  CELL_DO_FIND_HOLDER,   /**< Ask the store which entry holds the cell.  */
  CELL_DO_CLAIM,         /**< claim: append it to the claims topic.  */
  CELL_DO_RECOVER, /**< token: fence the records with it and read them.  */
  CELL_DO_APPEND,  /**< append: store records.  */
  CELL_DO_FOLLOW_RUNNERS, /**< follow_runners: start or stop following the
                             runners' registrations.  */
  CELL_DO_ORDER,          /**< order: to a runner.  */
  CELL_DO_LIST_VMS,       /**< Read the platform's list of VMs.  */
  CELL_DO_ORDER_VM,       /**< vm_order: to the cloud.  */
  CELL_DO_LOG,            /**< log: write a line.  */
  CELL_DO_WAVE_STATE,     /**< wave_state: publish it for the operators.  */
  CELL_DO_READY,          /**< ready: result of the readiness check.  */
  CELL_DO_EXIT, /**< End the process: the planned stop is complete.  */
  CELL_ACTION_KIND_COUNT
};

/** Bytes of a log line's fields: the members of a JSON object without its
    braces, such as "\"a\":1".  */
#define LOG_FIELDS_BYTES 360

/** An action.  */
struct cell_action
{
  enum cell_action_kind kind;
  uint64_t send_until_us; /**< An order is not sent after this time: its owner
                             may have lost the cell since.  Set on the way to
                             the order client; 0: not limited.  */
  union
  {
    struct reply reply;
    struct
    {
      uint64_t link_id; /**< Link on which the call came.  */
      struct reply reply;
    } peer_reply;
    struct job_call forward; /**< The cell owns its spec.  */
    struct
    {
      bool degraded;           /**< This entry cannot reach the store, or is
                            stopping.  */
      uint32_t best_cpu_milli; /**< Largest CPU share of this entry and its
                                  peers.  */
      uint64_t followed_token; /**< As in CELL_PEER.  */
      enum store_view view;    /**< As in CELL_OWNER_LINK.  */
      uint32_t entry_count;    /**< As in CELL_OWNER_LINK.  */
    } heartbeat;
    struct
    {
      uint64_t link_id; /**< 0: each link on which states were sent before. */
      uint64_t token;   /**< Of this owner.  */
      uint32_t item_count;
      const struct job_report *items; /**< The cell owns them.  */
    } states;
    char connect[ADDRESS_BYTES];
    struct
    {
      uint64_t at_offset;       /**< Append only if the topic ends there.  */
      struct claim_terms terms; /**< Its names belong to the cell.  */
    } claim;
    uint64_t token;
    struct
    {
      uint64_t token;
      uint64_t sequence;
      uint32_t item_count;
      struct append_record *items; /**< The cell owns them.  */
    } append;
    bool follow_runners;
    struct runner_order order;
    struct
    {
      uint64_t order_id;
      bool is_move; /**< The order is a move; otherwise maintenance.  */
      char vm[NAME_BYTES];
      char pool[NAME_BYTES]; /**< Pool that a move is to.  */
      uint64_t wave;         /**< Number of the wave, for maintenance.  */
      uint64_t token;
    } vm_order;
    struct
    {
      uint64_t number;
      bool completed;
    } wave_state;
    bool ready;
    struct
    {
      const char *event; /**< Name of the event, a constant.  */
      uint64_t job;      /**< 0: none.  */
      char fields[LOG_FIELDS_BYTES];
    } log;
  } u;
};

/** Most VM orders without an answer; the order client has a connection to the
    cloud for each.  */
#define VM_ORDER_LIMIT_COUNT 32

/** Actions of one cell_step.  The caller frees items with talloc_free.  */
struct cell_actions
{
  struct cell_action *items;
  uint32_t item_count;
  uint32_t capacity_count;
};

/** Adds an empty action of KIND and returns it; the pointer is valid until the
    next call.  */
struct cell_action *cell_actions_add (struct cell_actions *a,
                                      enum cell_action_kind kind);

#endif
