/* peer_codec.c -- encoding and decoding of peer messages by msgpack-c.  */

#include "adapter/peer_codec.h"

#include "adapter/record_json.h"

#include <msgpack.h>
#include <stdlib.h>
#include <string.h>

/** Items before the fields of the kind: kind, sender and receiver.  */
#define HEADER_ITEM_COUNT 3
/** First byte of a msgpack fixarray: its low four bits are the item count.  */
#define FIXARRAY_TAG 0x90
/** Most items of a fixarray.  */
#define MAX_ITEM_COUNT 15

/* Number of fields of each kind.  */
static const uint32_t field_counts[] = {
  [PEER_STATUS] = 6,    [PEER_DEMAND] = 4,
  [PEER_TRANSFER] = 4,  [PEER_ACK] = 1,
  [PEER_ASK] = 3,       [PEER_RECORD] = 3,
  [PEER_KEY_CLAIM] = 8, [PEER_KEY_CLAIM_REPLY] = 8,
  [PEER_KEY_STATE] = 8,
};

#define KIND_COUNT (sizeof field_counts / sizeof field_counts[0])

/* Reads the items of an array in order.  After the first fault every read
   fails.  */
struct cursor
{
  const msgpack_unpacked *items;
  uint32_t item_count;
  uint32_t next;
  bool failed;
};

static void
pack_text (msgpack_packer *p, const char *text)
{
  size_t n = strlen (text);

  msgpack_pack_str (p, n);
  msgpack_pack_str_body (p, text, n);
}

static void
pack_bool (msgpack_packer *p, bool value)
{
  if (value)
    msgpack_pack_true (p);
  else
    msgpack_pack_false (p);
}

static void
pack_limit (msgpack_packer *p, const struct limit_ref *l)
{
  msgpack_pack_uint32 (p, (uint32_t)l->kind);
  pack_text (p, l->name);
}

static void
pack_record (msgpack_packer *p, const struct peer_record *r)
{
  json_t *j = r->raw == NULL ? record_to_json (r->record) : NULL;
  char *text = j ? json_dumps (j, JSON_COMPACT) : NULL;
  const void *data = r->raw ? (const void *)r->raw->data : text;
  size_t n = r->raw ? r->raw->size_bytes : strlen (text);

  msgpack_pack_uint64 (p, r->offset);
  msgpack_pack_uint64 (p, r->appended_at_ms);
  msgpack_pack_bin (p, n);
  msgpack_pack_bin_body (p, data, n);
  free (text);
  json_decref (j);
}

static void
pack_key (msgpack_packer *p, const struct peer_key *k)
{
  size_t n = k->body ? k->body->size_bytes : 0;

  msgpack_pack_bin (p, DIGEST_BYTES);
  msgpack_pack_bin_body (p, k->digest, DIGEST_BYTES);
  msgpack_pack_uint64 (p, k->owner_incarnation);
  msgpack_pack_uint64 (p, k->claim_id);
  msgpack_pack_uint32 (p, (uint32_t)k->state);
  msgpack_pack_uint32 (p, k->code);
  msgpack_pack_uint32 (p, k->http_status);
  pack_text (p, k->body ? k->body->content_type : "");
  msgpack_pack_bin (p, n);
  msgpack_pack_bin_body (p, k->body ? (void *)k->body->data : "", n);
}

static void
pack_fields (msgpack_packer *p, const struct peer_message *m)
{
  switch (m->kind)
    {
    case PEER_STATUS:
      msgpack_pack_uint64 (p, m->u.status.next_offset);
      pack_bool (p, m->u.status.log_readable);
      pack_bool (p, m->u.status.stopping);
      msgpack_pack_uint32 (p, m->u.status.log_age_ms);
      msgpack_pack_uint64 (p, m->u.status.sent_at_us);
      msgpack_pack_uint64 (p, m->u.status.echo_sent_at_us);
      break;
    case PEER_DEMAND:
      pack_text (p, m->u.demand.pool);
      pack_text (p, m->u.demand.team);
      msgpack_pack_uint32 (p, m->u.demand.waiting_count);
      msgpack_pack_uint32 (p, m->u.demand.running_count);
      break;
    case PEER_TRANSFER:
      msgpack_pack_uint64 (p, m->u.transfer.sequence);
      pack_limit (p, &m->u.transfer.limit);
      msgpack_pack_uint32 (p, m->u.transfer.token_count);
      break;
    case PEER_ACK:
      msgpack_pack_uint64 (p, m->u.ack.sequence);
      break;
    case PEER_ASK:
      pack_limit (p, &m->u.ask.limit);
      msgpack_pack_uint32 (p, m->u.ask.token_count);
      break;
    case PEER_RECORD:
      pack_record (p, &m->u.record);
      break;
    case PEER_KEY_CLAIM:
    case PEER_KEY_CLAIM_REPLY:
    case PEER_KEY_STATE:
      pack_key (p, &m->u.key);
      break;
    }
}

uint8_t *
peer_message_encode (TALLOC_CTX *mem, const struct peer_message *m)
{
  msgpack_sbuffer b;
  msgpack_packer p;
  uint8_t *data;

  msgpack_sbuffer_init (&b);
  msgpack_packer_init (&p, &b, msgpack_sbuffer_write);
  msgpack_pack_array (&p, HEADER_ITEM_COUNT + field_counts[m->kind]);
  msgpack_pack_uint32 (&p, (uint32_t)m->kind);
  msgpack_pack_uint64 (&p, m->from_incarnation);
  msgpack_pack_uint64 (&p, m->to_incarnation);
  pack_fields (&p, m);
  data = talloc_memdup (mem, b.data, b.size);
  msgpack_sbuffer_destroy (&b);
  return data;
}

/* Returns the next item if it has TYPE, else NULL.  */
static const msgpack_object *
next_item (struct cursor *c, msgpack_object_type type)
{
  const msgpack_object *o;

  if (c->failed || c->next == c->item_count
      || c->items[c->next].data.type != type)
    {
      c->failed = true;
      return NULL;
    }
  o = &c->items[c->next++].data;
  return o;
}

static uint64_t
read_number (struct cursor *c, uint64_t max)
{
  const msgpack_object *o = next_item (c, MSGPACK_OBJECT_POSITIVE_INTEGER);

  if (o == NULL)
    return 0;
  if (o->via.u64 > max)
    c->failed = true;
  return o->via.u64;
}

static bool
read_bool (struct cursor *c)
{
  const msgpack_object *o = next_item (c, MSGPACK_OBJECT_BOOLEAN);

  return o != NULL && o->via.boolean;
}

static void
read_text (struct cursor *c, char *dst, uint32_t size_bytes)
{
  const msgpack_object *o = next_item (c, MSGPACK_OBJECT_STR);

  /* msgpack-c gives no pointer for an empty string.  */
  if (o == NULL || o->via.str.size == 0)
    return;
  if (o->via.str.size >= size_bytes
      || memchr (o->via.str.ptr, '\0', o->via.str.size) != NULL)
    {
      c->failed = true;
      return;
    }
  memcpy (dst, o->via.str.ptr, o->via.str.size);
  dst[o->via.str.size] = '\0';
}

static void
read_limit (struct cursor *c, struct limit_ref *l)
{
  l->kind = (enum limit_kind)read_number (c, LIMIT_VM);
  read_text (c, l->name, NAME_BYTES);
}

/* Bytes that are not JSON make the message malformed.  JSON that is not a
   valid record is passed on with a NULL record, as the log itself may hold it.
 */
static void
read_record (struct cursor *c, struct event *e, struct peer_record *r)
{
  const msgpack_object *o;
  json_error_t error;
  json_t *j;

  r->offset = read_number (c, INT64_MAX);
  r->appended_at_ms = read_number (c, INT64_MAX);
  o = next_item (c, MSGPACK_OBJECT_BIN);
  if (o == NULL)
    return;
  j = json_loadb (o->via.bin.ptr, o->via.bin.size, JSON_DECODE_ANY, &error);
  if (j == NULL)
    {
      c->failed = true;
      return;
    }
  r->record = record_from_json (e, j);
  r->raw = blob_copy (o->via.bin.ptr, o->via.bin.size);
  json_decref (j);
}

static void
read_key (struct cursor *c, struct peer_key *k)
{
  char type[sizeof k->body->content_type];
  const msgpack_object *o = next_item (c, MSGPACK_OBJECT_BIN);

  if (o == NULL || o->via.bin.size != DIGEST_BYTES)
    {
      c->failed = true;
      return;
    }
  memcpy (k->digest, o->via.bin.ptr, DIGEST_BYTES);
  k->owner_incarnation = read_number (c, INT64_MAX);
  k->claim_id = read_number (c, INT64_MAX);
  k->state = (enum idempotency_key_state)read_number (c, KEY_OUTCOME_UNKNOWN);
  k->code = (uint32_t)read_number (c, UINT32_MAX);
  k->http_status = (uint32_t)read_number (c, UINT32_MAX);
  type[0] = '\0';
  read_text (c, type, sizeof type);
  o = next_item (c, MSGPACK_OBJECT_BIN);
  if (o == NULL)
    return;
  k->body = blob_copy (o->via.bin.ptr, o->via.bin.size);
  text_copy (k->body->content_type, sizeof type, type);
}

static void
read_fields (struct cursor *c, struct event *e, struct peer_message *m)
{
  switch (m->kind)
    {
    case PEER_STATUS:
      m->u.status.next_offset = read_number (c, INT64_MAX);
      m->u.status.log_readable = read_bool (c);
      m->u.status.stopping = read_bool (c);
      m->u.status.log_age_ms = (uint32_t)read_number (c, UINT32_MAX);
      m->u.status.sent_at_us = read_number (c, INT64_MAX);
      m->u.status.echo_sent_at_us = read_number (c, INT64_MAX);
      break;
    case PEER_DEMAND:
      read_text (c, m->u.demand.pool, NAME_BYTES);
      read_text (c, m->u.demand.team, NAME_BYTES);
      m->u.demand.waiting_count = (uint32_t)read_number (c, UINT32_MAX);
      m->u.demand.running_count = (uint32_t)read_number (c, UINT32_MAX);
      break;
    case PEER_TRANSFER:
      m->u.transfer.sequence = read_number (c, INT64_MAX);
      read_limit (c, &m->u.transfer.limit);
      m->u.transfer.token_count = (uint32_t)read_number (c, UINT32_MAX);
      break;
    case PEER_ACK:
      m->u.ack.sequence = read_number (c, INT64_MAX);
      break;
    case PEER_ASK:
      read_limit (c, &m->u.ask.limit);
      m->u.ask.token_count = (uint32_t)read_number (c, UINT32_MAX);
      break;
    case PEER_RECORD:
      read_record (c, e, &m->u.record);
      break;
    case PEER_KEY_CLAIM:
    case PEER_KEY_CLAIM_REPLY:
    case PEER_KEY_STATE:
      read_key (c, &m->u.key);
      break;
    }
}

/* msgpack-c allocates memory for the item count in a container's header before
   it reads the items, so a forged header could exhaust memory.  Messages hold
   no inner container; one is refused by its first byte.  */
static bool
is_container (uint8_t first)
{
  return (first >= 0x80 && first <= 0x9f) || (first >= 0xdc && first <= 0xdf);
}

/* Unpacks the COUNT items that follow the array's header; returns false unless
   they are valid and end with the last byte.  */
static bool
unpack_items (const uint8_t *data, uint32_t size_bytes, msgpack_unpacked *u,
              uint32_t count)
{
  size_t at = 1;
  uint32_t i;

  for (i = 0; i < count; i++)
    if (at >= size_bytes || is_container (data[at])
        || msgpack_unpack_next (&u[i], (const char *)data, size_bytes, &at)
               != MSGPACK_UNPACK_SUCCESS)
      return false;
  return at == size_bytes;
}

static bool
read_message (struct cursor *c, struct event *e)
{
  struct peer_message *m = &e->u.peer;

  m->kind = (enum peer_kind)read_number (c, KIND_COUNT - 1);
  m->from_incarnation = read_number (c, INT64_MAX);
  m->to_incarnation = read_number (c, INT64_MAX);
  if (c->failed || c->item_count != HEADER_ITEM_COUNT + field_counts[m->kind])
    return false;
  read_fields (c, e, m);
  return !c->failed;
}

struct event *
peer_message_decode (const uint8_t *data, uint32_t size_bytes)
{
  msgpack_unpacked items[MAX_ITEM_COUNT];
  struct cursor c = { .items = items };
  struct event *e;
  uint32_t i;
  bool valid;

  if (size_bytes == 0 || (data[0] & 0xf0) != FIXARRAY_TAG)
    return NULL;
  c.item_count = data[0] & 0x0f;
  e = talloc_zero (NULL, struct event);
  e->kind = EVENT_PEER;
  for (i = 0; i < MAX_ITEM_COUNT; i++)
    msgpack_unpacked_init (&items[i]);
  valid = unpack_items (data, size_bytes, items, c.item_count)
          && read_message (&c, e);
  for (i = 0; i < MAX_ITEM_COUNT; i++)
    msgpack_unpacked_destroy (&items[i]);
  if (valid)
    return e;
  peer_message_unref_blobs (&e->u.peer);
  talloc_free (e);
  return NULL;
}
