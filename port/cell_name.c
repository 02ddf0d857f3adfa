/* cell_name.c -- names of enumerators, as log lines give them.  */

#include "port/cell_name.h"

/* The name of VALUE in NAMES, an array.  */
#define NAME_OF(names, value)                                                 \
  ((size_t)(value) < sizeof (names) / sizeof *(names) ? (names)[value] : "?")

const char *
call_kind_name (enum call_kind k)
{
  static const char *const names[] = { [CALL_SUBMIT] = "submit",
                                       [CALL_STATE] = "state",
                                       [CALL_CANCEL] = "cancel",
                                       [CALL_PENDING] = "pending",
                                       [CALL_MALFORMED] = "malformed" };

  return NAME_OF (names, k);
}

const char *
reply_code_name (enum reply_code c)
{
  static const char *const names[]
      = { [REPLY_OK] = "ok",
          [REPLY_NO_JOB] = "no_job",
          [REPLY_NO_QUEUE] = "no_queue",
          [REPLY_UNAUTHORIZED] = "unauthorized",
          [REPLY_MALFORMED] = "malformed",
          [REPLY_IMPOSSIBLE] = "impossible",
          [REPLY_OVERLOADED] = "overloaded",
          [REPLY_UNAVAILABLE] = "unavailable",
          [REPLY_UNKNOWN] = "unknown",
          [REPLY_REDIRECT] = "redirect",
          [REPLY_OWNERSHIP_LOST] = "ownership_lost",
          [REPLY_TOO_LARGE] = "too_large" };

  return NAME_OF (names, c);
}

const char *
end_kind_name (enum end_kind k)
{
  static const char *const names[]
      = { [END_DONE] = "done",
          [END_FAILED] = "failed",
          [END_STOPPED] = "stopped",
          [END_LEASE_EXPIRED] = "lease_expired",
          [END_GANG_BROKEN] = "gang_broken",
          [END_GANG_INCOMPLETE] = "gang_incomplete" };

  return NAME_OF (names, k);
}

const char *
order_kind_name (enum order_kind k)
{
  static const char *const names[] = { [ORDER_START] = "start",
                                       [ORDER_STOP] = "stop",
                                       [ORDER_POLL] = "poll",
                                       [ORDER_PACE] = "pace" };

  return NAME_OF (names, k);
}

const char *
order_outcome_name (enum order_outcome o)
{
  static const char *const names[] = { [ORDER_DONE] = "done",
                                       [ORDER_FENCED] = "fenced",
                                       [ORDER_STALE] = "stale",
                                       [ORDER_LATE] = "late",
                                       [ORDER_NO_ROOM] = "no_room",
                                       [ORDER_NO_TICKET] = "no_ticket",
                                       [ORDER_WRONG_BOOT] = "wrong_boot",
                                       [ORDER_BUSY] = "busy",
                                       [ORDER_REJECTED] = "rejected",
                                       [ORDER_UNKNOWN] = "unknown",
                                       [ORDER_UNAVAILABLE] = "unavailable",
                                       [ORDER_OTHER_BOOT] = "other_boot" };

  return NAME_OF (names, o);
}

const char *
append_outcome_name (enum append_outcome o)
{
  static const char *const names[] = { [APPEND_STORED] = "stored",
                                       [APPEND_NOT_DONE] = "not_done",
                                       [APPEND_REFUSED] = "refused",
                                       [APPEND_FENCED] = "fenced",
                                       [APPEND_UNKNOWN] = "unknown" };

  return NAME_OF (names, o);
}
