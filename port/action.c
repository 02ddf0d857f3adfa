/* action.c -- the list of actions of a step, and names of enumerators.  */

#include "port/action.h"

#include <string.h>
#include <talloc.h>

/** Initial capacity of the array of actions.  */
#define ACTIONS_FIRST_COUNT 64

struct action *
actions_add (struct actions *a, enum action_kind kind)
{
  struct action *x;

  if (a->item_count == a->capacity_count)
    {
      uint32_t n
          = a->capacity_count ? 2 * a->capacity_count : ACTIONS_FIRST_COUNT;

      a->items = talloc_realloc (NULL, a->items, struct action, n);
      if (a->items == NULL)
        out_of_memory ();
      a->capacity_count = n;
    }
  x = &a->items[a->item_count++];
  memset (x, 0, sizeof *x);
  x->kind = kind;
  return x;
}

struct answer_meaning
{
  const char *name;
  uint32_t http_status;
};

static const struct answer_meaning answer_meanings[ANSWER_CODE_COUNT] = {
  [ANSWER_WORKER] = { "worker", 0 },
  [ANSWER_UNKNOWN] = { "outcome_unknown", 502 },
  [ANSWER_NO_QUEUE] = { "no_queue", 404 },
  [ANSWER_NO_KEY] = { "no_key", 401 },
  [ANSWER_WRONG_TEAM] = { "wrong_team", 403 },
  [ANSWER_TOO_LARGE] = { "too_large", 413 },
  [ANSWER_QUEUE_FULL] = { "queue_full", 429 },
  [ANSWER_EXPIRED] = { "expired", 504 },
  [ANSWER_NOT_READY] = { "not_ready", 503 },
  [ANSWER_STALE] = { "stale", 503 },
  [ANSWER_STOPPING] = { "stopping", 503 },
  [ANSWER_NO_WORKER] = { "no_worker", 503 },
  [ANSWER_CANNOT_FIT] = { "cannot_fit", 422 },
  [ANSWER_BAD_REQUEST] = { "bad_request", 400 },
  [ANSWER_NOT_SUPPORTED] = { "not_supported", 501 },
  [ANSWER_TIMED_OUT] = { "late", 504 },
  [ANSWER_CANCELLED] = { "cancelled", 499 },
  [ANSWER_FIRST_NOT_RUN] = { "first_not_run", 503 },
};

const char *
answer_code_name (enum answer_code c)
{
  return answer_meanings[c].name;
}

const char *
answer_code_was_run (enum answer_code c)
{
  switch (c)
    {
    case ANSWER_WORKER:
      return "yes";
    case ANSWER_UNKNOWN:
    case ANSWER_TIMED_OUT:
      return "unknown";
    default:
      return "no";
    }
}

uint32_t
answer_code_http_status (enum answer_code c)
{
  return answer_meanings[c].http_status;
}

const char *
note_kind_name (enum note_kind k)
{
  static const char *const names[NOTE_KIND_COUNT] = {
    [NOTE_JOINED] = "joined",
    [NOTE_MEMBER_JOINED] = "member_joined",
    [NOTE_MEMBER_LEFT] = "member_left",
    [NOTE_CONFIG_IN_FORCE] = "config_in_force",
    [NOTE_CONFIG_REJECTED] = "config_rejected",
    [NOTE_KEY_GRANTED] = "key_granted",
    [NOTE_KEY_WITHDRAWN] = "key_withdrawn",
    [NOTE_LOG_LOST] = "log_lost",
    [NOTE_LOG_BACK] = "log_back",
    [NOTE_BAD_RECORD] = "bad_record",
    [NOTE_STOPPING] = "stopping",
    [NOTE_STOPPED] = "stopped",
    [NOTE_REQUESTS_CUT] = "requests_cut",
    [NOTE_PEER_REFUSED] = "peer_refused",
    [NOTE_MEMBER_GONE] = "member_gone",
    [NOTE_REMOVED] = "removed",
    [NOTE_LOG_GAP] = "log_gap",
    [NOTE_RESTORED] = "restored",
    [NOTE_BAD_CHECKPOINT] = "bad_checkpoint",
    [NOTE_STATE_DIFFERS] = "state_differs",
    [NOTE_STALE] = "stale",
    [NOTE_FRESH] = "fresh",
    [NOTE_WAVE_STARTED] = "wave_started",
    [NOTE_WAVE_PAUSED] = "wave_paused",
    [NOTE_WAVE_RESUMED] = "wave_resumed",
    [NOTE_WAVE_ABORTED] = "wave_aborted",
    [NOTE_WAVE_DONE] = "wave_done",
    [NOTE_VM_DRAINING] = "vm_draining",
    [NOTE_VM_DRAINED] = "vm_drained",
    [NOTE_VM_REBOOTED] = "vm_rebooted",
    [NOTE_VM_RETURNED] = "vm_returned",
    [NOTE_VM_LOST] = "vm_lost",
    [NOTE_VM_FOUND] = "vm_found",
    [NOTE_VM_MOVED] = "vm_moved",
    [NOTE_ZONE_EVACUATED] = "zone_evacuated",
    [NOTE_ZONE_RETURNED] = "zone_returned",
    [NOTE_COMMAND_REJECTED] = "command_rejected",
    [NOTE_OPERATION_REFUSED] = "operation_refused",
    [NOTE_WORKER_QUARANTINED] = "set_aside",
    [NOTE_WORKER_RECOVERED] = "let_back",
    [NOTE_SETTLED] = "settled",
  };

  return names[k];
}

const char *
fleet_operation_name (enum fleet_operation v)
{
  switch (v)
    {
    case FLEET_DRAIN:
      return "drain";
    case FLEET_REBOOT:
      return "reboot";
    case FLEET_RETURN:
      break;
    }
  return "return";
}

const char *
counter_kind_name (enum counter_kind k)
{
  static const char *const names[COUNTER_KIND_COUNT] = {
    [COUNTER_REQUESTS] = "requests",
    [COUNTER_ANSWERED] = "answered",
    [COUNTER_REFUSED] = "refused",
    [COUNTER_UNKNOWN] = "unknown",
    [COUNTER_ATTEMPTS] = "attempts",
    [COUNTER_RECORDS] = "records",
    [COUNTER_BAD_RECORDS] = "bad_records",
    [COUNTER_REJECTED_RECORDS] = "rejected_records",
    [COUNTER_BAD_PEER_FRAMES] = "bad_peer_frames",
    [COUNTER_RELAYED_RECORDS] = "relayed_records",
    [COUNTER_STATE_DIFFERENCES] = "state_differences",
    [COUNTER_RETRIES] = "retries",
    [COUNTER_RETRY_DENIED] = "retry_denied",
    [COUNTER_QUARANTINES] = "set_aside",
    [COUNTER_LATE_ENDS] = "late_ends",
    [COUNTER_REPEATS] = "repeats",
  };

  return names[k];
}
