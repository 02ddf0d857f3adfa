/* action.h -- everything the decisions can ask for (tagged union).  */

#ifndef FTK_PORT_ACTION_H
#define FTK_PORT_ACTION_H

#include "port/event.h"

enum action_kind
{
  ACTION_ANSWER,   /**< Answer a caller; exactly once for each request.  */
  ACTION_START,    /**< Start an attempt on a worker.  */
  ACTION_ABORT,    /**< Give up waiting for an attempt.  */
  ACTION_APPEND,   /**< Append a record to the log.  */
  ACTION_PEER,     /**< Send a message to a member.  */
  ACTION_STATUS,   /**< Show the state of this entry.  */
  ACTION_NOTE,     /**< Put an event on the time line.  */
  ACTION_EXIT,     /**< Nothing is left to do; end the process.  */
  ACTION_MEMBERS,  /**< The members changed; keep links to these.  */
  ACTION_SEEK_LOG, /**< Read the log on from another offset.  */
  ACTION_FLEET_OPERATION /**< Have the platform do an operation on a VM.  */
};

/** Stable code of an answer, as shown to callers.  */
enum answer_code
{
  ANSWER_WORKER,        /**< The worker's whole answer.  */
  ANSWER_UNKNOWN,       /**< Sent; the outcome is not known.  */
  ANSWER_NO_QUEUE,      /**< 404, not run.  */
  ANSWER_NO_KEY,        /**< 401, not run.  */
  ANSWER_WRONG_TEAM,    /**< 403, not run.  */
  ANSWER_TOO_LARGE,     /**< 413, not run.  */
  ANSWER_QUEUE_FULL,    /**< 429, not run.  */
  ANSWER_EXPIRED,       /**< 504, not run.  */
  ANSWER_NOT_READY,     /**< 503, not run: no configuration yet.  */
  ANSWER_STALE,         /**< 503, not run: cut off from the log.  */
  ANSWER_STOPPING,      /**< 503, not run: planned stop.  */
  ANSWER_NO_WORKER,     /**< 503, not run: no worker could be reached.  */
  ANSWER_CANNOT_FIT,    /**< 422, not run: no VM is large enough.  */
  ANSWER_BAD_REQUEST,   /**< 400, not run.  */
  ANSWER_NOT_SUPPORTED, /**< 501, not run.  */
  ANSWER_TIMED_OUT,     /**< 504: sent; no answer by the deadline.  */
  ANSWER_CANCELLED,     /**< 499, not run: the caller went away.  */
  ANSWER_CODE_COUNT
};

/** What happened, for the time line.  */
enum note_kind
{
  NOTE_JOINED,          /**< This entry became a member.  */
  NOTE_MEMBER_JOINED,   /**< Another entry became a member.  */
  NOTE_MEMBER_LEFT,     /**< A member left.  */
  NOTE_CONFIG_IN_FORCE, /**< A configuration came into force.  */
  NOTE_CONFIG_REJECTED, /**< A configuration was refused.  */
  NOTE_KEY_GRANTED,
  NOTE_KEY_WITHDRAWN,
  NOTE_LOG_LOST, /**< The log cannot be read.  */
  NOTE_LOG_BACK,
  NOTE_BAD_RECORD,     /**< A record was malformed and skipped.  */
  NOTE_STOPPING,       /**< Planned stop began.  */
  NOTE_STOPPED,        /**< Everything in flight was answered.  */
  NOTE_PEER_REFUSED,   /**< A stranger, or malformed frames.  */
  NOTE_MEMBER_GONE,    /**< A member was declared gone.  */
  NOTE_REMOVED,        /**< This entry read its own removal.  */
  NOTE_LOG_GAP,        /**< Records that this entry needs are not kept.  */
  NOTE_RESTORED,       /**< The state came from a checkpoint.  */
  NOTE_BAD_CHECKPOINT, /**< A checkpoint does not match its digest.  */
  NOTE_STATE_DIFFERS,  /**< This entry's state is not the checkpoint's.  */
  NOTE_STALE,          /**< This entry no longer takes new work.  */
  NOTE_FRESH,          /**< It takes new work again.  */
  NOTE_WAVE_STARTED,
  NOTE_WAVE_PAUSED,
  NOTE_WAVE_RESUMED,
  NOTE_WAVE_ABORTED,
  NOTE_WAVE_DONE,
  NOTE_VM_DRAINING, /**< A VM takes no new work.  */
  NOTE_VM_DRAINED,  /**< Nothing of any member runs on a VM.  */
  NOTE_VM_REBOOTED,
  NOTE_VM_RETURNED,
  NOTE_VM_LOST,
  NOTE_VM_FOUND,
  NOTE_VM_MOVED,           /**< A VM is in another pool.  */
  NOTE_COMMAND_REJECTED,   /**< A drain, move or wave was refused.  */
  NOTE_OPERATION_REFUSED,  /**< The platform refused an operation.  */
  NOTE_WORKER_QUARANTINED, /**< A worker is set aside for failing.  */
  NOTE_WORKER_RECOVERED,   /**< A worker takes its whole load again.  */
  NOTE_SETTLED,            /**< A member closed its link with a gone one.  */
  NOTE_KIND_COUNT
};

struct action_answer
{
  uint64_t request_id;
  enum answer_code code;
  uint32_t http_status;    /**< The worker's; 0 for the code's own.  */
  uint32_t retry_after_ms; /**< 0 if a repeat is of no use.  */
  struct blob *body;       /**< One reference, or NULL.  */
};

struct action_start
{
  uint64_t attempt_id;
  char vm[NAME_BYTES];
  char address[ADDRESS_BYTES];
  char queue[NAME_BYTES];
  char team[NAME_BYTES];
  char task_id[ID_BYTES]; /**< Of this attempt, unique over the fleet.  */
  bool idempotent;        /**< May be run more than once.  */
  uint32_t timeout_ms;    /**< Time left to the caller's deadline.  */
  struct blob *body;      /**< One reference.  */
};

struct action_abort
{
  uint64_t attempt_id;
};

/** What the platform is to do with a VM.  */
enum fleet_operation
{
  FLEET_DRAIN,
  FLEET_REBOOT,
  FLEET_RETURN
};

struct action_fleet_operation
{
  char operation_id[ID_BYTES]; /**< The platform does it once for an id.  */
  char vm[NAME_BYTES];
  enum fleet_operation operation;
};

struct action_note
{
  enum note_kind kind;
  char subject[NAME_BYTES]; /**< VM, team or queue; may be empty.  */
  uint64_t value;           /**< Offset or version; 0 if none.  */
};

/** State of this entry at one moment, for status and metrics.  */
enum counter_kind
{
  COUNTER_REQUESTS,
  COUNTER_ANSWERED,
  COUNTER_REFUSED,
  COUNTER_UNKNOWN,
  COUNTER_ATTEMPTS,
  COUNTER_RECORDS,
  COUNTER_BAD_RECORDS,
  COUNTER_REJECTED_RECORDS,
  COUNTER_BAD_PEER_FRAMES,   /**< Refused hellos and frames of peers.  */
  COUNTER_RELAYED_RECORDS,   /**< Records passed on to members.  */
  COUNTER_STATE_DIFFERENCES, /**< Checkpoints that differ from this state.  */
  COUNTER_RETRIES,           /**< Attempts after the first of a request.  */
  COUNTER_RETRY_DENIED,      /**< Retries that the budget did not allow.  */
  COUNTER_QUARANTINES,       /**< Workers set aside for failing.  */
  COUNTER_LATE_ENDS,         /**< Attempts that ended after their answer.  */
  COUNTER_REPEATS,           /**< Repeats by Idempotency-Key.  */
  COUNTER_KIND_COUNT
};

struct status_member
{
  char vm[NAME_BYTES];
  uint64_t incarnation;
};

struct status_team
{
  char name[NAME_BYTES];
  uint32_t running_count;
  uint32_t high_water_count; /**< Most running at once on this entry.  */
};

/** One talloc tree, owned by the receiver of the action.  */
struct status
{
  char vm[NAME_BYTES];
  uint64_t incarnation;    /**< 0 until joined.  */
  uint64_t config_version; /**< 0 until a configuration is in force.  */
  uint64_t next_offset;
  uint64_t log_age_ms; /**< Since the last successful read.  */
  bool serving;        /**< Takes new work.  */
  uint32_t waiting_count;
  uint32_t running_count;
  uint64_t counters[COUNTER_KIND_COUNT];
  struct status_member *members;
  uint32_t member_count;
  struct status_team *teams;
  uint32_t team_count;
};

struct action_status
{
  uint64_t request_id;
  struct status *status; /**< Owned by the receiver.  */
};

struct member_address
{
  uint64_t incarnation;
  char vm[NAME_BYTES];
  char peer_address[ADDRESS_BYTES];
};

/** One talloc tree, owned by the receiver of the action.  */
struct member_list
{
  uint64_t own_incarnation; /**< 0 until joined.  */
  struct member_address *items;
  uint32_t item_count;
};

struct action
{
  enum action_kind kind;
  union
  {
    struct action_answer answer;
    struct action_start start;
    struct action_abort abort;
    struct record *append; /**< Owned by the receiver.  */
    struct peer_message peer;
    struct action_status status;
    struct action_note note;
    struct member_list *members; /**< Owned by the receiver.  */
    uint64_t log_offset;
    struct action_fleet_operation fleet_operation;
  } u;
};

/** Output of one step; the array is reused from step to step.  */
struct actions
{
  struct action *items;
  uint32_t item_count;
  uint32_t capacity_count;
};

/** Returns a zeroed action of KIND at the end of A.  */
struct action *actions_add (struct actions *a, enum action_kind kind);

/** Returns the stable name of C, such as "queue_full".  */
const char *answer_code_name (enum answer_code c);

/** Returns whether the work was run: "yes", "no" or "unknown".  */
const char *answer_code_was_run (enum answer_code c);

/** Returns the HTTP status of C (0 for ANSWER_WORKER).  */
uint32_t answer_code_http_status (enum answer_code c);

/** Returns the stable name of K, such as "config_in_force".  */
const char *note_kind_name (enum note_kind k);

/** Returns the platform's word for V, such as "drain".  */
const char *fleet_operation_name (enum fleet_operation v);

/** Returns the metric name of K, such as "requests".  */
const char *counter_kind_name (enum counter_kind k);

#endif
