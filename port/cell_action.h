/* cell_action.h -- what a cell wants done.  */

#ifndef FTK_PORT_CELL_ACTION_H
#define FTK_PORT_CELL_ACTION_H

#include "port/cell_event.h"

/** An order to a runner.  */
struct runner_order
{
  uint64_t order_id;
  enum order_kind kind;
  char runner[NAME_BYTES];
  char address[ADDRESS_BYTES];
  uint64_t token;
  uint64_t
      lease_until_ms; /**< Lease end on the runner's clock; 0: none given.  */
  uint32_t timeout_ms;
  bool
      new_connection; /**< On a connection of its own: old ones may be dead. */
  struct task_id task;
  uint32_t run;
  uint32_t wait_ms;           /**< ORDER_HOLD: wait this long for an end.  */
  uint32_t pace_percent;      /**< ORDER_PACE.  */
  uint64_t stored_end_number; /**< ORDER_HOLD: ends up to it may go.  */
  struct blob *payload;       /**< ORDER_START; a reference.  */
  char checkpoint[CHECKPOINT_BYTES];
  char ticket[CHECKPOINT_BYTES];
};

/** A record of an append.  The fields point into the cell and hold until the
    step returns to its caller's encoder.  */
struct append_record
{
  enum
  {
    APPEND_RECORD_JOB,
    APPEND_RECORD_PROGRESS,
    APPEND_RECORD_DROP_JOB,
    APPEND_RECORD_DROP_PROGRESS,
    APPEND_RECORD_WAVE,
    APPEND_RECORD_POOL_HISTORY
  } kind;
  uint64_t job;
  const char *queue;
  const char *tenant;
  uint64_t accepted_at_ms;
  const struct job_spec *spec;
  enum job_state state;
  bool final;
  uint64_t ended_at_ms;
  uint32_t pool_count;        /**< WORK_PLAN: entries of pools.  */
  struct pool_history *pools; /**< A child of the action's items.  */
  uint64_t wave_number;       /**< WORK_WAVE: its number.  */
  uint32_t vm_count;          /**< Of it.  */
  const bool *vms_done; /**< Had their maintenance, in the wave's order.  */
  uint32_t task_count;
  struct task_progress *tasks; /**< A child of the action's items.  */
};

enum cell_action_kind
{
  CELL_DO_REPLY,      /**< reply: to this entry's client.  */
  CELL_DO_PEER_REPLY, /**< answer: to another entry.  */
  CELL_DO_FORWARD,    /**< forward: to the owner.  */
  CELL_DO_CONNECT,    /**< connect: to the owner's relay; empty: to none.  */
  CELL_DO_SET_HEARTBEAT, /**< beat: what this entry's relay says of it.  */
  CELL_DO_JOIN,          /**< Join the store's group, or stay in it.  */
  CELL_DO_LEAVE,
  CELL_DO_FIND_HOLDER,    /**< Ask who holds the cell.  */
  CELL_DO_CLAIM,          /**< claim.  */
  CELL_DO_RECOVER,        /**< token: fence the records, then read them.  */
  CELL_DO_APPEND,         /**< append.  */
  CELL_DO_FOLLOW_RUNNERS, /**< follow: the list of runners, or not.  */
  CELL_DO_ORDER,          /**< order: to a runner.  */
  CELL_DO_LIST_VMS,
  CELL_DO_ORDER_VM,   /**< vm: an order to the cloud.  */
  CELL_DO_LOG,        /**< log: a line for on-call.  */
  CELL_DO_WAVE_STATE, /**< wave_state: for the operators.  */
  CELL_DO_READY,      /**< ready: whether new connections are welcome.  */
  CELL_DO_EXIT,
  CELL_ACTION_KIND_COUNT
};

/** Fields of a line, as one JSON object's inside, such as "\"a\":1".  */
#define LOG_FIELDS_BYTES 360

struct cell_action
{
  enum cell_action_kind kind;
  union
  {
    struct reply reply;
    struct
    {
      uint64_t link_id;
      struct reply reply;
    } peer_reply;
    struct job_call forward; /**< Its spec stays the cell's.  */
    struct
    {
      bool degraded;           /**< Cannot reach the store, or is stopping.  */
      uint32_t best_cpu_milli; /**< Of this entry and all linked to it.  */
    } heartbeat;
    char connect[ADDRESS_BYTES];
    struct
    {
      uint64_t at_offset; /**< Valid only if the topic ends there.  */
      bool released;
      uint32_t best_cpu_milli; /**< Largest processor share known.  */
    } claim;
    uint64_t token;
    struct
    {
      uint64_t token;
      uint64_t sequence;
      uint32_t item_count;
      struct append_record *items; /**< The receiver's to free.  */
    } append;
    bool follow_runners;
    struct runner_order order;
    struct
    {
      bool is_move; /**< Else maintenance.  */
      char vm_order[NAME_BYTES];
      char pool[NAME_BYTES];
      uint64_t wave;
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
      const char *event; /**< Name of the decision, a constant.  */
      uint64_t job;      /**< 0: none.  */
      char fields[LOG_FIELDS_BYTES];
    } log;
  } u;
};

/** Output of a step; grows as needed.  */
struct cell_actions
{
  struct cell_action *items;
  uint32_t item_count;
  uint32_t capacity_count;
};

/** Adds an empty action of KIND and returns it; valid until the next one.  */
struct cell_action *cell_actions_add (struct cell_actions *a,
                                      enum cell_action_kind kind);

#endif
