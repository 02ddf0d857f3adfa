/* relay_codec.c -- msgpack coding of the messages between entries.  */

#include "adapter/relay_codec.h"

#include "adapter/cell_post.h"
#include "adapter/job_codec.h"
#include "adapter/order_codec.h"

#include <string.h>

static void
pack_call (msgpack_packer *p, const struct job_call *c)
{
  msgpack_pack_uint64 (p, c->call_id);
  msgpack_pack_uint8 (p, (uint8_t)c->kind);
  pack_text (p, c->queue);
  pack_text (p, c->tenant);
  msgpack_pack_uint64 (p, c->job);
  msgpack_pack_uint32 (p, c->age_ms);
  if (c->spec != NULL)
    job_pack (p, c->spec);
  else
    msgpack_pack_array (p, 0);
  pack_bool (p, c->unconfirmed);
  pack_text (p, c->key);
}

static void
pack_reply (msgpack_packer *p, const struct reply *r)
{
  msgpack_pack_uint64 (p, r->call_id);
  msgpack_pack_uint8 (p, (uint8_t)r->code);
  msgpack_pack_uint8 (p, (uint8_t)r->kind);
  msgpack_pack_uint8 (p, (uint8_t)r->state);
  msgpack_pack_uint32 (p, r->pending_count);
  msgpack_pack_uint32 (p, r->retry_after_ms);
}

/* Packs the jobs and their states in turn, in one array.  */
static void
pack_states (msgpack_packer *p, const struct relay_message *m)
{
  uint32_t i;

  msgpack_pack_uint64 (p, m->u.states.token);
  msgpack_pack_array (p, 2 * m->u.states.item_count);
  for (i = 0; i < m->u.states.item_count; i++)
    {
      msgpack_pack_uint64 (p, m->u.states.items[i].job);
      msgpack_pack_uint8 (p, (uint8_t)m->u.states.items[i].state);
    }
}

struct blob *
relay_encode (const struct relay_message *m)
{
  static const uint32_t field_counts[] = { [RELAY_HEARTBEAT] = 10,
                                           [RELAY_CALL] = 10,
                                           [RELAY_REPLY] = 7,
                                           [RELAY_ORDERS] = 3,
                                           [RELAY_STATES] = 3 };
  msgpack_sbuffer out;
  msgpack_packer p;
  struct blob *b;

  msgpack_sbuffer_init (&out);
  msgpack_packer_init (&p, &out, msgpack_sbuffer_write);
  msgpack_pack_array (&p, field_counts[m->kind]);
  msgpack_pack_uint8 (&p, (uint8_t)m->kind);
  if (m->kind == RELAY_HEARTBEAT)
    {
      pack_bool (&p, m->u.heartbeat.degraded);
      msgpack_pack_uint32 (&p, m->u.heartbeat.cpu_milli);
      pack_text (&p, m->u.heartbeat.zone);
      msgpack_pack_uint64 (&p, m->u.heartbeat.clock_us);
      pack_text (&p, m->u.heartbeat.member);
      msgpack_pack_uint64 (&p, m->u.heartbeat.followed_token);
      msgpack_pack_uint8 (&p, (uint8_t)m->u.heartbeat.view);
      pack_bool (&p, m->u.heartbeat.takes_states);
      msgpack_pack_uint32 (&p, m->u.heartbeat.entry_count);
    }
  else if (m->kind == RELAY_CALL)
    pack_call (&p, &m->u.call);
  else if (m->kind == RELAY_REPLY)
    pack_reply (&p, &m->u.reply);
  else if (m->kind == RELAY_ORDERS)
    {
      msgpack_pack_uint64 (&p, m->u.orders.clock_us);
      pack_bytes (&p, m->u.orders.batch->data, m->u.orders.batch->size_bytes);
    }
  else if (m->kind == RELAY_STATES)
    pack_states (&p, m);
  b = blob_copy (out.data, (uint32_t)out.size);
  msgpack_sbuffer_destroy (&out);
  return b;
}

struct blob *
relay_encode_results (const void *data, uint32_t size_bytes, uint32_t count)
{
  msgpack_sbuffer out;
  msgpack_packer p;
  struct blob *b;

  msgpack_sbuffer_init (&out);
  msgpack_packer_init (&p, &out, msgpack_sbuffer_write);
  msgpack_pack_array (&p, 2);
  msgpack_pack_uint8 (&p, RELAY_RESULTS);
  msgpack_pack_array (&p, count);
  msgpack_sbuffer_write (&out, data, size_bytes);
  b = blob_copy (out.data, (uint32_t)out.size);
  msgpack_sbuffer_destroy (&out);
  return b;
}

static void
unpack_call (TALLOC_CTX *mem, struct unpack *u, struct job_call *c)
{
  struct unpack no_spec;

  c->call_id = unpack_number (u, UINT64_MAX);
  c->kind = (enum call_kind)unpack_number (u, CALL_PENDING);
  unpack_text (u, c->queue, NAME_BYTES);
  unpack_text (u, c->tenant, NAME_BYTES);
  c->job = unpack_number (u, UINT64_MAX);
  c->age_ms = (uint32_t)unpack_number (u, UINT32_MAX);
  if (c->kind != CALL_SUBMIT)
    unpack_array (u, &no_spec);
  else if (!u->failed)
    c->spec = job_unpack (mem, u);
  if (u->next == u->item_count)
    return;
  c->unconfirmed = unpack_bool (u);
  unpack_text (u, c->key, API_KEY_BYTES);
}

static void
unpack_reply (struct unpack *u, struct reply *r)
{
  r->call_id = unpack_number (u, UINT64_MAX);
  r->code = (enum reply_code)unpack_number (u, REPLY_CODE_COUNT - 1);
  r->kind = (enum call_kind)unpack_number (u, CALL_PENDING);
  r->state = (enum job_state)unpack_number (u, JOB_STATE_COUNT - 1);
  r->pending_count = (uint32_t)unpack_number (u, UINT32_MAX);
  r->retry_after_ms = (uint32_t)unpack_number (u, UINT32_MAX);
}

static void
unpack_heartbeat (struct unpack *u, struct relay_message *m)
{
  m->u.heartbeat.degraded = unpack_bool (u);
  m->u.heartbeat.cpu_milli = (uint32_t)unpack_number (u, UINT32_MAX);
  if (u->next == u->item_count)
    return;
  unpack_text (u, m->u.heartbeat.zone, NAME_BYTES);
  m->u.heartbeat.clock_us = unpack_number (u, UINT64_MAX);
  if (u->next == u->item_count)
    return;
  unpack_text (u, m->u.heartbeat.member, NAME_BYTES);
  m->u.heartbeat.followed_token = unpack_number (u, UINT64_MAX);
  if (u->next == u->item_count)
    return;
  m->u.heartbeat.view
      = (enum store_view)unpack_number (u, STORE_VIEW_COUNT - 1);
  m->u.heartbeat.takes_states = unpack_bool (u);
  m->u.heartbeat.entry_count = (uint32_t)unpack_number (u, UINT32_MAX);
}

static void
unpack_orders (struct unpack *u, struct relay_message *m)
{
  const uint8_t *bytes;
  uint32_t size_bytes;

  m->u.orders.clock_us = unpack_number (u, UINT64_MAX);
  bytes = unpack_bytes (u, &size_bytes);
  if (!u->failed)
    m->u.orders.batch = blob_copy (bytes, size_bytes);
}

static void
unpack_results (TALLOC_CTX *mem, struct unpack *u, struct relay_message *m)
{
  struct unpack list;

  unpack_array (u, &list);
  m->u.results.items
      = talloc_zero_array (mem, struct cell_event *, list.item_count + 1);
  while (m->u.results.item_count < list.item_count && !list.failed)
    {
      struct cell_event *e
          = talloc_steal (mem, cell_event_new (CELL_RUNNER_RESULT));

      order_result_unpack (e, &list, &e->u.runner_result);
      m->u.results.items[m->u.results.item_count++] = e;
    }
  u->failed |= list.failed;
}

static void
unpack_states (TALLOC_CTX *mem, struct unpack *u, struct relay_message *m)
{
  struct unpack list;
  struct job_report *items;
  uint32_t i;

  m->u.states.token = unpack_number (u, UINT64_MAX);
  unpack_array (u, &list);
  m->u.states.item_count = list.item_count / 2;
  m->u.states.items = items
      = talloc_zero_array (mem, struct job_report, list.item_count / 2 + 1);
  for (i = 0; i < m->u.states.item_count && !list.failed; i++)
    {
      items[i].job = unpack_number (&list, UINT64_MAX);
      items[i].state
          = (enum job_state)unpack_number (&list, JOB_STATE_COUNT - 1);
    }
  u->failed |= list.failed;
}

bool
relay_decode (TALLOC_CTX *mem, const uint8_t *data, uint32_t size_bytes,
              struct relay_message *m)
{
  msgpack_unpacked x;
  struct unpack u;

  memset (m, 0, sizeof *m);
  if (unpack_message (&x, data, size_bytes))
    unpack_open (&u, &x.data);
  else
    unpack_open (&u, NULL);
  m->kind = (enum relay_message_kind)unpack_number (&u, RELAY_STATES);
  switch (m->kind)
    {
    case RELAY_HEARTBEAT:
      unpack_heartbeat (&u, m);
      break;
    case RELAY_CALL:
      unpack_call (mem, &u, &m->u.call);
      break;
    case RELAY_REPLY:
      unpack_reply (&u, &m->u.reply);
      break;
    case RELAY_ORDERS:
      unpack_orders (&u, m);
      break;
    case RELAY_RESULTS:
      unpack_results (mem, &u, m);
      break;
    case RELAY_STATES:
      unpack_states (mem, &u, m);
      break;
    }
  msgpack_unpacked_destroy (&x);
  return !u.failed;
}
