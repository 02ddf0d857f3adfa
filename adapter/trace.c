/* trace.c -- decoding and encoding of events and actions as JSON.  */

#include "adapter/trace.h"

#include "adapter/fleet_page.h"
#include "adapter/json_field.h"
#include "adapter/peer_json.h"
#include "adapter/record_json.h"

#include <sodium.h>
#include <string.h>

static const char *const event_kind_names[] = {
  [EVENT_TICK] = "tick",         [EVENT_REQUEST] = "request",
  [EVENT_CANCEL] = "cancel",     [EVENT_ATTEMPT_DONE] = "attempt_done",
  [EVENT_LOG_READ] = "log_read", [EVENT_RECORD] = "record",
  [EVENT_PEER] = "peer",         [EVENT_STATUS] = "status",
  [EVENT_STOP] = "stop",         [EVENT_PEER_FAULT] = "peer_fault",
  [EVENT_FLEET_LIST] = "fleet",  [EVENT_OPERATION] = "operation",
};

static const char *const outcome_names[] = {
  [ATTEMPT_ANSWERED] = "answered",
  [ATTEMPT_NOT_SENT] = "not_sent",
  [ATTEMPT_NO_ANSWER] = "no_answer",
  [ATTEMPT_REJECTED] = "turned_away",
};

static const char *const operation_state_names[] = {
  [OPERATION_UNKNOWN] = "unknown",
  [OPERATION_RUNNING] = "running",
  [OPERATION_DONE] = "done",
  [OPERATION_REFUSED] = "refused",
};

static int
name_index (const char *const *names, int count, const char *name)
{
  int i;

  for (i = 0; i < count; i++)
    if (strcmp (names[i], name) == 0)
      return i;
  return -1;
}

#define NAME_INDEX(names, name)                                               \
  name_index (names, (int)(sizeof (names) / sizeof (names)[0]), name)

static struct blob *
read_body (struct json_reader *p)
{
  const json_t *text = json_object_get (p->object, "body");
  uint64_t size = json_get_number (p, "body_bytes", 0, 1u << 30, 0);
  struct blob *b;

  if (text != NULL)
    return blob_copy (json_string_value (text),
                      (uint32_t)json_string_length (text));
  b = blob_new ((uint32_t)size);
  memset (b->data, 0, size);
  return b;
}

static void
read_request (struct json_reader *p, struct event_request *r)
{
  char key[TEXT_BYTES];

  r->request_id = json_get_number (p, "request", 0, INT64_MAX, 0);
  json_get_text (p, "queue", true, r->queue, NAME_BYTES);
  json_get_text (p, "idempotency_key", false, r->idempotency_key, ID_BYTES);
  r->timeout_ms = (uint32_t)json_get_number (p, "timeout_ms", 0, INT32_MAX, 0);
  json_get_text (p, "digest", false, key, sizeof key);
  if (key[0] != '\0')
    {
      sodium_hex2bin (r->key_digest, DIGEST_BYTES, key, strlen (key), NULL,
                      NULL, NULL);
      r->has_key = true;
    }
  json_get_text (p, "key", false, key, sizeof key);
  if (key[0] != '\0')
    {
      crypto_generichash (r->key_digest, DIGEST_BYTES, (const uint8_t *)key,
                          strlen (key), NULL, 0);
      r->has_key = true;
    }
  r->body = read_body (p);
}

static void
read_attempt (struct json_reader *p, struct event_attempt *a)
{
  char name[NAME_BYTES];
  int i;

  a->attempt_id = json_get_number (p, "attempt", 0, INT64_MAX, 0);
  a->http_status = (uint32_t)json_get_number (p, "status", 0, 999, 0);
  a->elapsed_us = (uint32_t)json_get_number (p, "elapsed_us", 0, INT32_MAX, 0);
  json_get_text (p, "outcome", true, name, sizeof name);
  i = NAME_INDEX (outcome_names, name);
  if (i < 0)
    json_add_finding (p, "outcome",
                      "expected \"answered\", \"not_sent\", \"no_answer\" or "
                      "\"turned_away\"");
  else
    a->outcome = (enum attempt_outcome)i;
  if (a->outcome == ATTEMPT_ANSWERED)
    a->body = read_body (p);
}

static void
read_record (struct json_reader *p, struct event *e)
{
  e->u.record.offset = json_get_number (p, "offset", 0, INT64_MAX, 0);
  e->u.record.appended_at_ms = json_get_number (p, "at_ms", 0, INT64_MAX, 0);
  e->u.record.record
      = record_from_json (e, json_object_get (p->object, "data"));
  e->u.record.raw = record_raw_from_json (json_object_get (p->object, "data"));
}

static void
read_operation (struct json_reader *p, struct event_operation *o)
{
  char name[NAME_BYTES];
  int i;

  json_get_text (p, "operation", true, o->operation_id, ID_BYTES);
  json_get_text (p, "vm", true, o->vm, NAME_BYTES);
  json_get_text (p, "state", true, name, sizeof name);
  i = NAME_INDEX (operation_state_names, name);
  if (i < 0)
    json_add_finding (
        p, "state",
        "expected \"unknown\", \"running\", \"done\" or \"refused\"");
  else
    o->state = (enum operation_state)i;
}

static void
read_fields (struct json_reader *p, struct event *e)
{
  switch (e->kind)
    {
    case EVENT_REQUEST:
      read_request (p, &e->u.request);
      break;
    case EVENT_CANCEL:
      e->u.cancel.request_id = json_get_number (p, "request", 0, INT64_MAX, 0);
      break;
    case EVENT_ATTEMPT_DONE:
      read_attempt (p, &e->u.attempt);
      break;
    case EVENT_LOG_READ:
      e->u.log_read.readable = json_get_bool (p, "readable", true);
      e->u.log_read.first_offset
          = json_get_number (p, "first", 0, INT64_MAX, 0);
      e->u.log_read.next_offset = json_get_number (p, "next", 0, INT64_MAX, 0);
      e->u.log_read.requested_at_us
          = json_get_number (p, "asked_us", 0, INT64_MAX, 0);
      break;
    case EVENT_RECORD:
      read_record (p, e);
      break;
    case EVENT_STATUS:
      e->u.status.request_id = json_get_number (p, "request", 0, INT64_MAX, 0);
      break;
    case EVENT_PEER_FAULT:
      json_get_text (p, "address", false, e->u.peer_fault.address,
                     ADDRESS_BYTES);
      break;
    case EVENT_FLEET_LIST:
      if (!fleet_page_from_json (p, e, &e->u.fleet_list))
        json_add_finding (
            p, "vms",
            "expected a fleet list: \"at_ms\" and VMs with a name and "
            "a state");
      break;
    case EVENT_OPERATION:
      read_operation (p, &e->u.operation);
      break;
    case EVENT_PEER:
      peer_message_from_json (p, e, &e->u.peer);
      break;
    case EVENT_TICK:
    case EVENT_STOP:
      break;
    }
}

struct event *
trace_event_from_json (const json_t *j, char *text)
{
  struct event *e = talloc_zero (NULL, struct event);
  struct findings *f = findings_new (e, "trace", NULL);
  struct json_reader p;
  char name[NAME_BYTES];
  int i = -1;

  if (json_reader_open (&p, f, j, ""))
    {
      json_get_text (&p, "event", true, name, sizeof name);
      i = NAME_INDEX (event_kind_names, name);
      e->now_us = json_get_number (&p, "at_us", 0, INT64_MAX, 0);
      e->random = json_get_number (&p, "random", 0, INT64_MAX, 0);
    }
  if (i < 0)
    findings_add (f, "event", "names no kind of event");
  else
    {
      e->kind = (enum event_kind)i;
      read_fields (&p, e);
    }
  if (f->item_count == 0)
    return e;
  snprintf (text, TEXT_BYTES, "%.60s: %.90s", f->items[0].path,
            f->items[0].text);
  talloc_free (e);
  return NULL;
}

static void
set_text (json_t *j, const char *key, const char *text)
{
  if (text[0] != '\0')
    json_object_set_new (j, key, json_string (text));
}

static void
set_number (json_t *j, const char *key, uint64_t n)
{
  json_object_set_new (j, key, json_integer ((json_int_t)n));
}

static void
write_request (json_t *j, const struct event_request *r)
{
  char hex[2 * DIGEST_BYTES + 1];

  set_number (j, "request", r->request_id);
  set_text (j, "queue", r->queue);
  set_text (j, "idempotency_key", r->idempotency_key);
  if (r->timeout_ms > 0)
    set_number (j, "timeout_ms", r->timeout_ms);
  if (r->has_key)
    {
      sodium_bin2hex (hex, sizeof hex, r->key_digest, DIGEST_BYTES);
      set_text (j, "digest", hex);
    }
  set_number (j, "body_bytes", r->body->size_bytes);
}

static void
write_attempt (json_t *j, const struct event_attempt *a)
{
  set_number (j, "attempt", a->attempt_id);
  set_text (j, "outcome", outcome_names[a->outcome]);
  set_number (j, "status", a->http_status);
  set_number (j, "elapsed_us", a->elapsed_us);
  if (a->body != NULL)
    set_number (j, "body_bytes", a->body->size_bytes);
}

json_t *
trace_event_to_json (const struct event *e)
{
  json_t *j = json_pack ("{s:I, s:s, s:I}", "at_us", (json_int_t)e->now_us,
                         "event", event_kind_names[e->kind], "random",
                         (json_int_t)(e->random & INT64_MAX));

  switch (e->kind)
    {
    case EVENT_REQUEST:
      write_request (j, &e->u.request);
      break;
    case EVENT_CANCEL:
      set_number (j, "request", e->u.cancel.request_id);
      break;
    case EVENT_ATTEMPT_DONE:
      write_attempt (j, &e->u.attempt);
      break;
    case EVENT_LOG_READ:
      json_object_set_new (j, "readable",
                           json_boolean (e->u.log_read.readable));
      set_number (j, "first", e->u.log_read.first_offset);
      set_number (j, "next", e->u.log_read.next_offset);
      set_number (j, "asked_us", e->u.log_read.requested_at_us);
      break;
    case EVENT_RECORD:
      set_number (j, "offset", e->u.record.offset);
      set_number (j, "at_ms", e->u.record.appended_at_ms);
      if (e->u.record.record != NULL)
        json_object_set_new (j, "data", record_to_json (e->u.record.record));
      break;
    case EVENT_STATUS:
      set_number (j, "request", e->u.status.request_id);
      break;
    case EVENT_PEER_FAULT:
      set_text (j, "address", e->u.peer_fault.address);
      break;
    case EVENT_FLEET_LIST:
      json_object_update_new (j, fleet_page_to_json (&e->u.fleet_list));
      break;
    case EVENT_OPERATION:
      set_text (j, "operation", e->u.operation.operation_id);
      set_text (j, "vm", e->u.operation.vm);
      set_text (j, "state", operation_state_names[e->u.operation.state]);
      break;
    case EVENT_PEER:
      peer_message_to_json (&e->u.peer, j);
      break;
    case EVENT_TICK:
    case EVENT_STOP:
      break;
    }
  return j;
}

static json_t *
answer_to_json (const struct action_answer *a)
{
  json_t *j = json_pack ("{s:s, s:I, s:s}", "action", "answer", "request",
                         (json_int_t)a->request_id, "code",
                         answer_code_name (a->code));

  if (a->http_status > 0)
    set_number (j, "status", a->http_status);
  if (a->retry_after_ms > 0)
    set_number (j, "retry_after_ms", a->retry_after_ms);
  if (a->body != NULL)
    set_number (j, "body_bytes", a->body->size_bytes);
  return j;
}

static json_t *
start_to_json (const struct action_start *s)
{
  json_t *j = json_pack ("{s:s, s:I, s:s, s:s, s:s, s:i}", "action", "start",
                         "attempt", (json_int_t)s->attempt_id, "vm", s->vm,
                         "queue", s->queue, "team", s->team, "timeout_ms",
                         (int)s->timeout_ms);

  set_number (j, "body_bytes", s->body ? s->body->size_bytes : 0);
  return j;
}

static json_t *
peer_action_to_json (const struct peer_message *m)
{
  json_t *j = json_pack ("{s:s}", "action", "peer");

  peer_message_to_json (m, j);
  return j;
}

static json_t *
members_to_json (const struct member_list *l)
{
  json_t *list = json_array ();
  uint32_t i;

  for (i = 0; i < l->item_count; i++)
    json_array_append_new (list,
                           json_integer ((json_int_t)l->items[i].incarnation));
  return json_pack ("{s:s, s:I, s:o}", "action", "members", "own",
                    (json_int_t)l->own_incarnation, "incarnations", list);
}

static json_t *
status_to_json (const struct action_status *a)
{
  const struct status *s = a->status;

  return json_pack (
      "{s:s, s:I, s:I, s:I, s:b, s:i, s:i, s:i}", "action", "status",
      "request", (json_int_t)a->request_id, "config_version",
      (json_int_t)s->config_version, "next_offset", (json_int_t)s->next_offset,
      "serving", (int)s->serving, "members", (int)s->member_count, "waiting",
      (int)s->waiting_count, "running", (int)s->running_count);
}

json_t *
trace_action_to_json (const struct action *a)
{
  switch (a->kind)
    {
    case ACTION_ANSWER:
      return answer_to_json (&a->u.answer);
    case ACTION_START:
      return start_to_json (&a->u.start);
    case ACTION_ABORT:
      return json_pack ("{s:s, s:I}", "action", "abort", "attempt",
                        (json_int_t)a->u.abort.attempt_id);
    case ACTION_APPEND:
      return json_pack ("{s:s, s:o}", "action", "append", "data",
                        record_to_json (a->u.append));
    case ACTION_PEER:
      return peer_action_to_json (&a->u.peer);
    case ACTION_MEMBERS:
      return members_to_json (a->u.members);
    case ACTION_SEEK_LOG:
      return json_pack ("{s:s, s:I}", "action", "follow", "offset",
                        (json_int_t)a->u.log_offset);
    case ACTION_STATUS:
      return status_to_json (&a->u.status);
    case ACTION_NOTE:
      return json_pack ("{s:s, s:s, s:s, s:I}", "action", "note", "kind",
                        note_kind_name (a->u.note.kind), "subject",
                        a->u.note.subject, "value",
                        (json_int_t)a->u.note.value);
    case ACTION_FLEET_OPERATION:
      return json_pack ("{s:s, s:s, s:s, s:s}", "action", "fleet", "operation",
                        a->u.fleet_operation.operation_id, "vm",
                        a->u.fleet_operation.vm, "verb",
                        fleet_operation_name (a->u.fleet_operation.operation));
    case ACTION_EXIT:
      break;
    }
  return json_pack ("{s:s}", "action", "exit");
}

void
trace_action_drop (struct action *a)
{
  switch (a->kind)
    {
    case ACTION_ANSWER:
      blob_unref (a->u.answer.body);
      break;
    case ACTION_START:
      blob_unref (a->u.start.body);
      break;
    case ACTION_APPEND:
      talloc_free (a->u.append);
      break;
    case ACTION_STATUS:
      talloc_free (a->u.status.status);
      break;
    case ACTION_MEMBERS:
      talloc_free (a->u.members);
      break;
    case ACTION_PEER:
      peer_message_clear (&a->u.peer);
      break;
    case ACTION_ABORT:
    case ACTION_NOTE:
    case ACTION_SEEK_LOG:
    case ACTION_EXIT:
    case ACTION_FLEET_OPERATION:
      break;
    }
}
