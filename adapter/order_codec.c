/* order_codec.c -- msgpack coding of orders and results between entries.  */

#include "adapter/order_codec.h"

#include <string.h>

#define ORDER_FIELD_COUNT 19
#define RESULT_FIELD_COUNT 10
#define RUNNING_FIELD_COUNT 8
#define ENDED_FIELD_COUNT 8
/** Index of an order without a payload.  */
#define NO_PAYLOAD UINT32_MAX

static void
pack_task (msgpack_packer *p, const struct task_id *t)
{
  msgpack_pack_uint64 (p, t->job);
  msgpack_pack_uint32 (p, t->occurrence);
  msgpack_pack_uint32 (p, t->step);
  msgpack_pack_uint32 (p, t->index);
}

static void
unpack_task (struct unpack *u, struct task_id *t)
{
  t->job = unpack_number (u, UINT64_MAX);
  t->occurrence = (uint32_t)unpack_number (u, UINT32_MAX);
  t->step = (uint32_t)unpack_number (u, UINT32_MAX);
  t->index = (uint32_t)unpack_number (u, UINT32_MAX);
}

static void
pack_order (msgpack_packer *p, const struct runner_order *o, uint32_t payload)
{
  msgpack_pack_array (p, ORDER_FIELD_COUNT);
  msgpack_pack_uint64 (p, o->order_id);
  msgpack_pack_uint8 (p, (uint8_t)o->kind);
  pack_text (p, o->runner);
  pack_text (p, o->address);
  msgpack_pack_uint64 (p, o->token);
  msgpack_pack_uint64 (p, o->lease_until_ms);
  msgpack_pack_uint32 (p, o->timeout_ms);
  pack_bool (p, o->new_connection);
  pack_task (p, &o->task);
  msgpack_pack_uint32 (p, o->run);
  msgpack_pack_uint32 (p, o->wait_ms);
  msgpack_pack_uint32 (p, o->pace_percent);
  msgpack_pack_uint64 (p, o->stored_end_number);
  msgpack_pack_uint32 (p, payload);
  pack_text (p, o->checkpoint);
  msgpack_pack_uint64 (p, o->booted_at_ms);
}

/* Returns true if the payload of item I is another than that of the one
   before.  */
static bool
begins_payload (const struct runner_order *items, uint32_t i)
{
  return items[i].payload != NULL
         && (i == 0 || items[i].payload != items[i - 1].payload);
}

struct blob *
order_batch_encode (const struct runner_order *items, uint32_t count)
{
  uint32_t payload_count = 0;
  msgpack_sbuffer out;
  msgpack_packer p;
  struct blob *b;
  uint32_t i;

  for (i = 0; i < count; i++)
    payload_count += begins_payload (items, i);
  msgpack_sbuffer_init (&out);
  msgpack_packer_init (&p, &out, msgpack_sbuffer_write);
  msgpack_pack_array (&p, 2);
  msgpack_pack_array (&p, payload_count);
  for (i = 0; i < count; i++)
    if (begins_payload (items, i))
      pack_bytes (&p, items[i].payload->data, items[i].payload->size_bytes);
  msgpack_pack_array (&p, count);
  payload_count = 0;
  for (i = 0; i < count; i++)
    {
      payload_count += begins_payload (items, i);
      pack_order (&p, &items[i],
                  items[i].payload != NULL ? payload_count - 1 : NO_PAYLOAD);
    }
  b = blob_copy (out.data, (uint32_t)out.size);
  msgpack_sbuffer_destroy (&out);
  return b;
}

static int
batch_free (struct order_batch *b)
{
  uint32_t i;

  for (i = 0; i < b->item_count; i++)
    blob_unref (b->items[i].payload);
  return 0;
}

static void
unpack_order (struct unpack *list, struct blob *const *payloads,
              uint32_t payload_count, struct runner_order *o)
{
  struct unpack u;
  uint32_t payload;

  unpack_array (list, &u);
  o->order_id = unpack_number (&u, UINT64_MAX);
  o->kind = (enum order_kind)unpack_number (&u, ORDER_KIND_COUNT - 1);
  unpack_text (&u, o->runner, NAME_BYTES);
  unpack_text (&u, o->address, ADDRESS_BYTES);
  o->token = unpack_number (&u, UINT64_MAX);
  o->lease_until_ms = unpack_number (&u, UINT64_MAX);
  o->timeout_ms = (uint32_t)unpack_number (&u, UINT32_MAX);
  o->new_connection = unpack_bool (&u);
  unpack_task (&u, &o->task);
  o->run = (uint32_t)unpack_number (&u, UINT32_MAX);
  o->wait_ms = (uint32_t)unpack_number (&u, UINT32_MAX);
  o->pace_percent = (uint32_t)unpack_number (&u, UINT32_MAX);
  o->stored_end_number = unpack_number (&u, UINT64_MAX);
  payload = (uint32_t)unpack_number (&u, UINT32_MAX);
  unpack_text (&u, o->checkpoint, CHECKPOINT_BYTES);
  /* Entries of earlier builds do not send it.  */
  if (u.next < u.item_count)
    o->booted_at_ms = unpack_number (&u, UINT64_MAX);
  if (payload < payload_count)
    o->payload = blob_ref (payloads[payload]);
  /* Only a start has a payload, and it must.  */
  if (u.failed || (o->kind == ORDER_START) != (o->payload != NULL))
    list->failed = true;
}

struct order_batch *
order_batch_decode (TALLOC_CTX *mem, const uint8_t *data, uint32_t size_bytes)
{
  struct order_batch *b = talloc_zero (mem, struct order_batch);
  struct blob **payloads;
  struct unpack payload_list;
  struct unpack list;
  struct unpack u;
  msgpack_unpacked m;
  uint32_t i;

  talloc_set_destructor (b, batch_free);
  unpack_open (&u, unpack_message (&m, data, size_bytes) ? &m.data : NULL);
  unpack_array (&u, &payload_list);
  unpack_array (&u, &list);
  payloads = talloc_zero_array (b, struct blob *, payload_list.item_count + 1);
  for (i = 0; i < payload_list.item_count; i++)
    {
      uint32_t payload_bytes = 0;
      const uint8_t *bytes = unpack_bytes (&payload_list, &payload_bytes);

      payloads[i] = bytes != NULL ? blob_copy (bytes, payload_bytes) : NULL;
    }
  b->items = talloc_zero_array (b, struct runner_order, list.item_count + 1);
  for (i = 0; i < list.item_count && !list.failed; i++)
    unpack_order (&list, payloads, payload_list.item_count,
                  &b->items[b->item_count++]);
  for (i = 0; i < payload_list.item_count; i++)
    blob_unref (payloads[i]);
  msgpack_unpacked_destroy (&m);
  if (u.failed || payload_list.failed || list.failed)
    TALLOC_FREE (b);
  return b;
}

static void
pack_running (msgpack_packer *p, const struct running_task *t)
{
  msgpack_pack_array (p, RUNNING_FIELD_COUNT);
  pack_task (p, &t->task);
  msgpack_pack_uint32 (p, t->run);
  msgpack_pack_uint32 (p, t->work_percent);
  msgpack_pack_uint32 (p, t->metric);
  pack_text (p, t->checkpoint);
}

static void
unpack_running (struct unpack *list, struct running_task *t)
{
  struct unpack u;

  unpack_array (list, &u);
  unpack_task (&u, &t->task);
  t->run = (uint32_t)unpack_number (&u, UINT32_MAX);
  t->work_percent = (uint32_t)unpack_number (&u, UINT32_MAX);
  t->metric = (uint32_t)unpack_number (&u, UINT32_MAX);
  unpack_text (&u, t->checkpoint, CHECKPOINT_BYTES);
  list->failed |= u.failed;
}

static void
pack_ended (msgpack_packer *p, const struct ended_run *e)
{
  msgpack_pack_array (p, ENDED_FIELD_COUNT);
  msgpack_pack_uint64 (p, e->number);
  pack_task (p, &e->task);
  msgpack_pack_uint32 (p, e->run);
  msgpack_pack_uint8 (p, (uint8_t)e->kind);
  pack_text (p, e->checkpoint);
}

static void
unpack_ended (struct unpack *list, struct ended_run *e)
{
  struct unpack u;

  unpack_array (list, &u);
  e->number = unpack_number (&u, UINT64_MAX);
  unpack_task (&u, &e->task);
  e->run = (uint32_t)unpack_number (&u, UINT32_MAX);
  e->kind = (enum end_kind)unpack_number (&u, END_KIND_COUNT - 1);
  unpack_text (&u, e->checkpoint, CHECKPOINT_BYTES);
  list->failed |= u.failed;
}

void
order_result_pack (msgpack_packer *p, const struct runner_result *r)
{
  uint32_t i;

  msgpack_pack_array (p, RESULT_FIELD_COUNT);
  msgpack_pack_uint64 (p, r->order_id);
  msgpack_pack_uint64 (p, r->token);
  msgpack_pack_uint8 (p, (uint8_t)r->kind);
  msgpack_pack_uint8 (p, (uint8_t)r->outcome);
  pack_text (p, r->runner);
  msgpack_pack_uint64 (p, r->clock_ms);
  msgpack_pack_uint64 (p, r->booted_at_ms);
  pack_bool (p, r->running_incomplete);
  msgpack_pack_array (p, r->running_count);
  for (i = 0; i < r->running_count; i++)
    pack_running (p, &r->running[i]);
  msgpack_pack_array (p, r->ended_count);
  for (i = 0; i < r->ended_count; i++)
    pack_ended (p, &r->ended[i]);
}

void
order_result_unpack (TALLOC_CTX *mem, struct unpack *u,
                     struct runner_result *r)
{
  struct unpack inner;
  struct unpack list;

  unpack_array (u, &inner);
  r->order_id = unpack_number (&inner, UINT64_MAX);
  r->token = unpack_number (&inner, UINT64_MAX);
  r->kind = (enum order_kind)unpack_number (&inner, ORDER_KIND_COUNT - 1);
  r->outcome
      = (enum order_outcome)unpack_number (&inner, ORDER_OUTCOME_COUNT - 1);
  unpack_text (&inner, r->runner, NAME_BYTES);
  r->clock_ms = unpack_number (&inner, UINT64_MAX);
  r->booted_at_ms = unpack_number (&inner, UINT64_MAX);
  r->running_incomplete = unpack_bool (&inner);
  unpack_array (&inner, &list);
  r->running
      = talloc_zero_array (mem, struct running_task, list.item_count + 1);
  while (r->running_count < list.item_count && !list.failed)
    unpack_running (&list, &r->running[r->running_count++]);
  inner.failed |= list.failed;
  unpack_array (&inner, &list);
  r->ended = talloc_zero_array (mem, struct ended_run, list.item_count + 1);
  while (r->ended_count < list.item_count && !list.failed)
    unpack_ended (&list, &r->ended[r->ended_count++]);
  u->failed |= inner.failed || list.failed;
}
