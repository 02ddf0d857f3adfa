/* action.h -- output of the decision core (tagged union).  */

#ifndef FTK_PORT_ACTION_H
#define FTK_PORT_ACTION_H

#include "port/event.h"

enum action_kind
{
  ACTION_ANSWER,   /**< Answer a caller; exactly once for each request.  */
  ACTION_START,    /**< Start an attempt on a worker.  */
  ACTION_ABORT,    /**< Stop waiting for an attempt.  */
  ACTION_APPEND,   /**< Append a record to the log.  */
  ACTION_PEER,     /**< Send a message to a member.  */
  ACTION_STATUS,   /**< Report the state of this entry.  */
  ACTION_NOTE,     /**< Add a note to the timeline.  */
  ACTION_EXIT,     /**< End the process: the planned stop is complete. */
  ACTION_MEMBERS,  /**< The list of members changed: link to these.  */
  ACTION_SEEK_LOG, /**< Continue reading the log at another offset.  */
  ACTION_FLEET_OPERATION /**< Have the platform operate on a VM.  */
};

/** Code of an answer; answer_code_name gives the name that callers see.  */
enum answer_code
{
  ANSWER_WORKER,        /**< The worker's answer.  */
  ANSWER_UNKNOWN,       /**< 502: sent; the outcome is unknown.  */
  ANSWER_NO_QUEUE,      /**< 404, not run: no such queue or path.  */
  ANSWER_NO_KEY,        /**< 401, not run: no key, or one not granted.  */
  ANSWER_WRONG_TEAM,    /**< 403, not run: the queue is another team's.  */
  ANSWER_TOO_LARGE,     /**< 413, not run: body above max_body_bytes.  */
  ANSWER_QUEUE_FULL,    /**< 429, not run: too many requests wait.  */
  ANSWER_EXPIRED,       /**< 504, not run: not sent by its deadline.  */
  ANSWER_NOT_READY,     /**< 503, not run: no tables yet, or not yet a
                             member.  */
  ANSWER_STALE,         /**< 503, not run: the view of the log is too old.  */
  ANSWER_STOPPING,      /**< 503, not run: planned stop.  */
  ANSWER_NO_WORKER,     /**< 503, not run: no worker could be reached.  */
  ANSWER_CANNOT_FIT,    /**< 422, not run: no VM is large enough.  */
  ANSWER_BAD_REQUEST,   /**< 400, not run.  */
  ANSWER_NOT_SUPPORTED, /**< 501, not run: the queue is for jobs.  */
  ANSWER_TIMED_OUT,     /**< 504: sent; no answer by the deadline.  */
  ANSWER_CANCELLED,     /**< 499, not run: the caller disconnected.  */
  ANSWER_FIRST_NOT_RUN, /**< 503, not run: nor was the request with the same
                             key that another entry had first.  */
  ANSWER_CODE_COUNT
};

/** Kind of a note on the timeline.  */
enum note_kind
{
  NOTE_JOINED,          /**< This entry became a member.  */
  NOTE_MEMBER_JOINED,   /**< Another entry became a member.  */
  NOTE_MEMBER_LEFT,     /**< A member left.  */
  NOTE_CONFIG_IN_FORCE, /**< A configuration was applied.  */
  NOTE_CONFIG_REJECTED, /**< A configuration was rejected.  */
  NOTE_KEY_GRANTED,
  NOTE_KEY_WITHDRAWN,
  NOTE_LOG_LOST,       /**< The log cannot be read.  */
  NOTE_LOG_BACK,       /**< The log can be read again.  */
  NOTE_BAD_RECORD,     /**< A malformed record was skipped.  */
  NOTE_STOPPING,       /**< A planned stop began.  */
  NOTE_STOPPED,        /**< A planned stop ended; every request is
                             answered.  */
  NOTE_REQUESTS_CUT,   /**< The time of a planned stop was over before every
                             request was answered.  */
  NOTE_PEER_REFUSED,   /**< A peer connection failed the handshake or sent
                             malformed frames.  */
  NOTE_MEMBER_GONE,    /**< A member's VM is gone from the fleet list.  */
  NOTE_REMOVED,        /**< This entry read that it is no longer a member.  */
  NOTE_LOG_GAP,        /**< The log dropped records that this entry needs.  */
  NOTE_RESTORED,       /**< The state was restored from a checkpoint.  */
  NOTE_BAD_CHECKPOINT, /**< A checkpoint does not match its digest.  */
  NOTE_STATE_DIFFERS,  /**< This entry's state differs from a checkpoint.  */
  NOTE_STALE,          /**< View of the log too old: takes no new work.  */
  NOTE_FRESH,          /**< View of the log recent again: takes new work.  */
  NOTE_WAVE_STARTED,
  NOTE_WAVE_PAUSED,
  NOTE_WAVE_RESUMED,
  NOTE_WAVE_ABORTED,
  NOTE_WAVE_DONE,
  NOTE_VM_DRAINING, /**< A VM takes no new work.  */
  NOTE_VM_DRAINED,  /**< No request runs on a draining VM any more.  */
  NOTE_VM_REBOOTED,
  NOTE_VM_RETURNED,
  NOTE_VM_LOST,            /**< See RECORD_VM_LOST.  */
  NOTE_VM_FOUND,           /**< A lost VM is live again.  */
  NOTE_VM_MOVED,           /**< A move of a VM was accepted.  */
  NOTE_ZONE_EVACUATED,     /**< VMs of a zone take no new work.  */
  NOTE_ZONE_RETURNED,      /**< They take work again.  */
  NOTE_COMMAND_REJECTED,   /**< A drain, move, wave or zone command was
                              rejected.  */
  NOTE_OPERATION_REFUSED,  /**< The platform refused an operation.  */
  NOTE_WORKER_QUARANTINED, /**< A failing worker was quarantined.  */
  NOTE_WORKER_RECOVERED,   /**< A quarantined worker takes full load again.  */
  NOTE_SETTLED,            /**< A member settled with one that is gone.  */
  NOTE_KIND_COUNT
};

struct action_answer
{
  uint64_t request_id;
  enum answer_code code;
  uint32_t http_status;    /**< The worker's status; 0: the status of code.  */
  uint32_t retry_after_ms; /**< 0: a retry is pointless.  */
  struct blob *body;       /**< One reference, or NULL.  */
};

struct action_start
{
  uint64_t attempt_id;
  char vm[NAME_BYTES];
  char address[ADDRESS_BYTES];
  char queue[NAME_BYTES];
  char team[NAME_BYTES];
  char task_id[ID_BYTES]; /**< Id of this attempt, unique in the fleet.  */
  bool idempotent;        /**< May run more than once.  */
  uint32_t timeout_ms;    /**< Time left to the caller's deadline.  */
  struct blob *body;      /**< One reference.  */
};

struct action_abort
{
  uint64_t attempt_id;
};

/** Operation of the platform on a VM.  */
enum fleet_operation
{
  FLEET_DRAIN,
  FLEET_REBOOT,
  FLEET_RETURN
};

struct action_fleet_operation
{
  char operation_id[ID_BYTES]; /**< Done at most once per id.  */
  char vm[NAME_BYTES];
  enum fleet_operation operation;
};

struct action_note
{
  enum note_kind kind;
  char subject[NAME_BYTES]; /**< VM, team, wave or peer's address; may be
                                 empty.  */
  uint64_t value; /**< Depends on the kind, such as an offset or version. */
};

/** Counter of this entry, for status and metrics.  */
enum counter_kind
{
  COUNTER_REQUESTS,
  COUNTER_ANSWERED,
  COUNTER_REFUSED, /**< Answers to requests that were not run.  */
  COUNTER_UNKNOWN, /**< Answers to requests that may have run.  */
  COUNTER_ATTEMPTS,
  COUNTER_RECORDS,
  COUNTER_BAD_RECORDS,
  COUNTER_REJECTED_RECORDS,
  COUNTER_BAD_PEER_FRAMES,   /**< Refused handshakes and frames of peers.  */
  COUNTER_RELAYED_RECORDS,   /**< Records relayed to members.  */
  COUNTER_STATE_DIFFERENCES, /**< Checkpoints that differed from the state.  */
  COUNTER_RETRIES,           /**< Attempts after a request's first.  */
  COUNTER_RETRY_DENIED,      /**< Retries denied by the retry budget.  */
  COUNTER_QUARANTINES,       /**< Times a worker was quarantined.  */
  COUNTER_LATE_ENDS, /**< Attempts that ended after the caller's answer.  */
  COUNTER_REPEATS,   /**< Requests that repeated an Idempotency-Key.  */
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

/** State of this entry; the receiver of the action frees it.  */
struct status
{
  char vm[NAME_BYTES];
  uint64_t incarnation;    /**< 0 until joined.  */
  uint64_t config_version; /**< 0 until a configuration is in force.  */
  uint64_t next_offset;    /**< First log offset not applied.  */
  uint64_t log_age_ms;     /**< Time since the log was read to its end.  */
  bool serving;            /**< Takes new work.  */
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
  struct status *status; /**< Freed by the receiver.  */
};

struct member_address
{
  uint64_t incarnation;
  char vm[NAME_BYTES];
  char peer_address[ADDRESS_BYTES];
};

/** The live members; the receiver of the action frees it.  */
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
    struct record *append; /**< Freed by the receiver.  */
    struct peer_message peer;
    struct action_status status;
    struct action_note note;
    struct member_list *members; /**< Freed by the receiver.  */
    uint64_t log_offset;         /**< ACTION_SEEK_LOG: where to continue.  */
    struct action_fleet_operation fleet_operation;
  } u;
};

/** Actions of one step; items is reused for the next step.  */
struct actions
{
  struct action *items;
  uint32_t item_count;
  uint32_t capacity_count;
};

/** Appends a zeroed action of KIND to A and returns it.  The pointer is valid
    until the next call.  */
struct action *actions_add (struct actions *a, enum action_kind kind);

/** Returns the name of C that callers see, such as "queue_full".  */
const char *answer_code_name (enum answer_code c);

/** Returns whether a request answered with C was run: "yes", "no" or
    "unknown".  */
const char *answer_code_was_run (enum answer_code c);

/** Returns the HTTP status of C, or 0 for ANSWER_WORKER.  */
uint32_t answer_code_http_status (enum answer_code c);

/** Returns the name of K on the timeline, such as "config_in_force".  */
const char *note_kind_name (enum note_kind k);

/** Returns the platform's name of V, such as "drain".  */
const char *fleet_operation_name (enum fleet_operation v);

/** Returns the metric name of K, such as "requests".  */
const char *counter_kind_name (enum counter_kind k);

#endif
