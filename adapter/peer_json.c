/* peer_json.c -- decoding and encoding of peer messages as JSON.  */

#include "adapter/peer_json.h"

#include "adapter/record_json.h"

#include <sodium.h>
#include <string.h>

static const char *const kind_names[] = {
  [PEER_STATUS] = "status",     [PEER_DEMAND] = "demand",
  [PEER_TRANSFER] = "transfer", [PEER_ACK] = "ack",
  [PEER_ASK] = "ask",           [PEER_RECORD] = "record",
  [PEER_KEY_CLAIM] = "claim",   [PEER_KEY_CLAIM_REPLY] = "claimed",
  [PEER_KEY_STATE] = "note",
};

static const char *const key_state_names[] = {
  [KEY_GRANTED] = "granted",          [KEY_RUNNING] = "open",
  [KEY_ANSWERED] = "ended",           [KEY_NOT_RUN] = "not_run",
  [KEY_OUTCOME_UNKNOWN] = "in_doubt",
};

#define KEY_STATE_COUNT (sizeof key_state_names / sizeof key_state_names[0])

#define KIND_COUNT (sizeof kind_names / sizeof kind_names[0])

static const char *const limit_kind_names[] = {
  [LIMIT_TEAM] = "team",
  [LIMIT_VM] = "vm",
};

static void
read_limit (struct json_reader *p, struct limit_ref *l)
{
  char kind[NAME_BYTES];

  json_get_text (p, "limit", true, kind, sizeof kind);
  if (strcmp (kind, limit_kind_names[LIMIT_VM]) == 0)
    l->kind = LIMIT_VM;
  else if (strcmp (kind, limit_kind_names[LIMIT_TEAM]) != 0)
    json_add_finding (p, "limit", "expected \"team\" or \"vm\"");
  json_get_text (p, "name", true, l->name, NAME_BYTES);
}

static void
read_record (struct json_reader *p, TALLOC_CTX *mem, struct peer_record *r)
{
  const json_t *data = json_object_get (p->object, "data");

  r->offset = json_get_number (p, "offset", 0, INT64_MAX, 0);
  r->appended_at_ms = json_get_number (p, "at_ms", 0, INT64_MAX, 0);
  r->record = record_from_json (mem, data);
  r->raw = record_raw_from_json (data);
}

static void
read_key (struct json_reader *p, struct peer_key *k)
{
  const char *body = json_string_value (json_object_get (p->object, "body"));
  char text[2 * DIGEST_BYTES + 1];
  uint32_t i;

  json_get_text (p, "digest", true, text, sizeof text);
  sodium_hex2bin (k->digest, DIGEST_BYTES, text, strlen (text), NULL, NULL,
                  NULL);
  k->owner_incarnation = json_get_number (p, "owner", 0, INT64_MAX, 0);
  k->claim_id = json_get_number (p, "claim", 0, INT64_MAX, 0);
  k->code = (uint32_t)json_get_number (p, "code", 0, UINT32_MAX, 0);
  k->http_status = (uint32_t)json_get_number (p, "status", 0, 999, 0);
  json_get_text (p, "state", true, text, sizeof text);
  for (i = 0; i < KEY_STATE_COUNT; i++)
    if (strcmp (key_state_names[i], text) == 0)
      k->state = (enum idempotency_key_state)i;
  if (body != NULL)
    k->body = blob_copy (body, (uint32_t)strlen (body));
}

static void
read_fields (struct json_reader *p, TALLOC_CTX *mem, struct peer_message *m)
{
  switch (m->kind)
    {
    case PEER_STATUS:
      m->u.status.next_offset = json_get_number (p, "next", 0, INT64_MAX, 0);
      m->u.status.log_readable = json_get_bool (p, "readable", true);
      m->u.status.stopping = json_get_bool (p, "stopping", false);
      m->u.status.log_age_ms
          = (uint32_t)json_get_number (p, "log_age_ms", 0, UINT32_MAX, 0);
      m->u.status.sent_at_us = json_get_number (p, "sent_us", 0, INT64_MAX, 0);
      m->u.status.echo_sent_at_us
          = json_get_number (p, "echo_us", 0, INT64_MAX, 0);
      break;
    case PEER_DEMAND:
      json_get_text (p, "pool", false, m->u.demand.pool, NAME_BYTES);
      json_get_text (p, "team", false, m->u.demand.team, NAME_BYTES);
      m->u.demand.waiting_count
          = (uint32_t)json_get_number (p, "waiting", 0, UINT32_MAX, 0);
      m->u.demand.running_count
          = (uint32_t)json_get_number (p, "running", 0, UINT32_MAX, 0);
      break;
    case PEER_TRANSFER:
      m->u.transfer.sequence
          = json_get_number (p, "sequence", 0, INT64_MAX, 0);
      read_limit (p, &m->u.transfer.limit);
      m->u.transfer.token_count
          = (uint32_t)json_get_number (p, "tokens", 0, UINT32_MAX, 0);
      break;
    case PEER_ACK:
      m->u.ack.sequence = json_get_number (p, "sequence", 0, INT64_MAX, 0);
      break;
    case PEER_ASK:
      read_limit (p, &m->u.ask.limit);
      m->u.ask.token_count
          = (uint32_t)json_get_number (p, "tokens", 0, UINT32_MAX, 0);
      break;
    case PEER_RECORD:
      read_record (p, mem, &m->u.record);
      break;
    case PEER_KEY_CLAIM:
    case PEER_KEY_CLAIM_REPLY:
    case PEER_KEY_STATE:
      read_key (p, &m->u.key);
      break;
    }
}

void
peer_message_from_json (struct json_reader *p, TALLOC_CTX *mem,
                        struct peer_message *m)
{
  char kind[NAME_BYTES];
  uint32_t i;

  json_get_text (p, "kind", true, kind, sizeof kind);
  m->from_incarnation = json_get_number (p, "from", 0, INT64_MAX, 0);
  m->to_incarnation = json_get_number (p, "to", 0, INT64_MAX, 0);
  for (i = 0; i < KIND_COUNT; i++)
    if (strcmp (kind_names[i], kind) == 0)
      {
        m->kind = (enum peer_kind)i;
        read_fields (p, mem, m);
        return;
      }
  json_add_finding (p, "kind", "names no kind of peer message");
}

static void
set_number (json_t *j, const char *key, uint64_t n)
{
  json_object_set_new (j, key, json_integer ((json_int_t)n));
}

static void
set_text (json_t *j, const char *key, const char *text)
{
  json_object_set_new (j, key, json_string (text));
}

static void
write_limit (const struct limit_ref *l, json_t *j)
{
  set_text (j, "limit", limit_kind_names[l->kind]);
  set_text (j, "name", l->name);
}

static void
write_key (const struct peer_key *k, json_t *j)
{
  char hex[2 * DIGEST_BYTES + 1];

  sodium_bin2hex (hex, sizeof hex, k->digest, DIGEST_BYTES);
  set_text (j, "digest", hex);
  set_number (j, "owner", k->owner_incarnation);
  set_number (j, "claim", k->claim_id);
  set_text (j, "state", key_state_names[k->state]);
  if (k->state != KEY_ANSWERED)
    return;
  set_number (j, "code", k->code);
  set_number (j, "status", k->http_status);
  set_number (j, "body_bytes", k->body ? k->body->size_bytes : 0);
}

static void
write_record (const struct peer_record *r, json_t *j)
{
  json_t *data;

  if (r->raw != NULL)
    data = json_loadb ((const char *)r->raw->data, r->raw->size_bytes,
                       JSON_DECODE_ANY, NULL);
  else
    data = record_to_json (r->record);
  set_number (j, "offset", r->offset);
  set_number (j, "at_ms", r->appended_at_ms);
  json_object_set_new (j, "data", data);
}

void
peer_message_to_json (const struct peer_message *m, json_t *j)
{
  set_text (j, "kind", kind_names[m->kind]);
  set_number (j, "from", m->from_incarnation);
  set_number (j, "to", m->to_incarnation);
  switch (m->kind)
    {
    case PEER_STATUS:
      set_number (j, "next", m->u.status.next_offset);
      json_object_set_new (j, "readable",
                           json_boolean (m->u.status.log_readable));
      json_object_set_new (j, "stopping", json_boolean (m->u.status.stopping));
      set_number (j, "log_age_ms", m->u.status.log_age_ms);
      set_number (j, "sent_us", m->u.status.sent_at_us);
      set_number (j, "echo_us", m->u.status.echo_sent_at_us);
      break;
    case PEER_DEMAND:
      set_text (j, "pool", m->u.demand.pool);
      set_text (j, "team", m->u.demand.team);
      set_number (j, "waiting", m->u.demand.waiting_count);
      set_number (j, "running", m->u.demand.running_count);
      break;
    case PEER_TRANSFER:
      set_number (j, "sequence", m->u.transfer.sequence);
      write_limit (&m->u.transfer.limit, j);
      set_number (j, "tokens", m->u.transfer.token_count);
      break;
    case PEER_ACK:
      set_number (j, "sequence", m->u.ack.sequence);
      break;
    case PEER_ASK:
      write_limit (&m->u.ask.limit, j);
      set_number (j, "tokens", m->u.ask.token_count);
      break;
    case PEER_RECORD:
      write_record (&m->u.record, j);
      break;
    case PEER_KEY_CLAIM:
    case PEER_KEY_CLAIM_REPLY:
    case PEER_KEY_STATE:
      write_key (&m->u.key, j);
      break;
    }
}
