/* job_codec.c -- msgpack coding of jobs, and of the records in the store.  */

#include "adapter/job_codec.h"

#include "adapter/progress_codec.h"

#include <arpa/inet.h>
#include <stdio.h>
#include <string.h>

#define PAYLOAD_LIMIT_BYTES (1u << 20)
/** Kinds of records: the first field of their values.  */
#define RECORD_JOB 1
#define RECORD_PROGRESS 2
#define RECORD_WAVE 3
#define RECORD_POOL_HISTORY 4
#define RECORD_VM_ORDERS 5
#define RECORD_SEGMENT 6
/** The key of a job is its id; that of its progress has this suffix, and that
    of a segment of its tasks also a point and the number of the segment's
   first task, in hexadecimal digits.  */
#define PROGRESS_KEY_SUFFIX ".p"
#define SEGMENT_DIGIT_COUNT 16
#define KEY_BYTES                                                             \
  (JOB_ID_BYTES + sizeof PROGRESS_KEY_SUFFIX + SEGMENT_DIGIT_COUNT + 1)
/** Prefix of the keys of waves.  It is not hexadecimal, so no key of a job
    starts with it.  */
#define WAVE_KEY_PREFIX "wave-"
/** Key of the only record with the pools' history.  */
#define POOL_HISTORY_KEY "plan"
/** Key of the only record with the VMs that the owner orders.  */
#define VM_ORDERS_KEY "vms"
/** No job has as many tasks in all its occurrences.  */
#define TASK_NUMBER_LIMIT (UINT64_C (1) << 48)

static void
pack_step (msgpack_packer *p, const struct job_step *s)
{
  uint32_t i;

  msgpack_pack_array (p, 18);
  msgpack_pack_uint32 (p, s->task_count);
  msgpack_pack_uint64 (p, s->need.cpu_milli);
  msgpack_pack_uint64 (p, s->need.memory_mib);
  msgpack_pack_uint64 (p, s->need.gpu_count);
  msgpack_pack_uint32 (p, s->estimate_ms);
  msgpack_pack_array (p, s->after_count);
  for (i = 0; i < s->after_count; i++)
    msgpack_pack_uint32 (p, s->after[i]);
  pack_bool (p, s->checkpointing);
  pack_bool (p, s->gang);
  pack_bool (p, s->same_rack);
  pack_bool (p, s->allows_duplicates);
  pack_bool (p, s->long_running);
  pack_bool (p, s->filler);
  msgpack_pack_uint32 (p, s->per_runner_limit_count);
  msgpack_pack_uint32 (p, s->latency_target_ms);
  msgpack_pack_uint32 (p, s->unavailable_limit_count);
  pack_text (p, s->label);
  pack_text (p, s->data_rack);
  pack_text (p, s->image);
}

void
job_pack (msgpack_packer *p, const struct job_spec *j)
{
  uint32_t i;

  msgpack_pack_array (p, 6);
  msgpack_pack_uint64 (p, j->id);
  pack_bytes (p, j->payload->data, j->payload->size_bytes);
  msgpack_pack_uint32 (p, j->occurrence_count);
  msgpack_pack_uint64 (p, j->first_due_ms);
  msgpack_pack_uint64 (p, j->interval_ms);
  msgpack_pack_array (p, j->step_count);
  for (i = 0; i < j->step_count; i++)
    pack_step (p, &j->steps[i]);
}

static void
unpack_step (TALLOC_CTX *mem, struct unpack *u, struct job_step *s)
{
  struct unpack after;
  uint32_t i;

  s->task_count = (uint32_t)unpack_number (u, TASK_LIMIT_COUNT);
  s->need.cpu_milli = unpack_number (u, UINT64_MAX);
  s->need.memory_mib = unpack_number (u, UINT64_MAX);
  s->need.gpu_count = unpack_number (u, UINT64_MAX);
  s->estimate_ms = (uint32_t)unpack_number (u, UINT32_MAX);
  unpack_array (u, &after);
  s->after_count = after.item_count;
  s->after = talloc_zero_array (mem, uint32_t, s->after_count + 1);
  for (i = 0; i < s->after_count; i++)
    s->after[i] = (uint32_t)unpack_number (&after, STEP_LIMIT_COUNT);
  s->checkpointing = unpack_bool (u);
  s->gang = unpack_bool (u);
  s->same_rack = unpack_bool (u);
  s->allows_duplicates = unpack_bool (u);
  s->long_running = unpack_bool (u);
  s->filler = unpack_bool (u);
  s->per_runner_limit_count = (uint32_t)unpack_number (u, UINT32_MAX);
  s->latency_target_ms = (uint32_t)unpack_number (u, UINT32_MAX);
  s->unavailable_limit_count = (uint32_t)unpack_number (u, UINT32_MAX);
  unpack_text (u, s->label, LABEL_BYTES);
  unpack_text (u, s->data_rack, LABEL_BYTES);
  unpack_text (u, s->image, LABEL_BYTES);
  u->failed |= after.failed;
}

struct job_spec *
job_unpack (TALLOC_CTX *mem, struct unpack *outer)
{
  struct job_spec *j = job_spec_new (mem);
  struct unpack u;
  struct unpack steps;
  const uint8_t *payload;
  uint32_t size_bytes;
  uint32_t i;

  unpack_array (outer, &u);
  j->id = unpack_number (&u, UINT64_MAX);
  payload = unpack_bytes (&u, &size_bytes);
  j->occurrence_count = (uint32_t)unpack_number (&u, UINT32_MAX);
  j->first_due_ms = unpack_number (&u, UINT64_MAX);
  j->interval_ms = unpack_number (&u, UINT64_MAX);
  unpack_array (&u, &steps);
  if (!u.failed && steps.item_count <= STEP_LIMIT_COUNT
      && size_bytes <= PAYLOAD_LIMIT_BYTES)
    {
      j->payload = blob_copy (payload, size_bytes);
      j->step_count = steps.item_count;
      j->steps = talloc_zero_array (j, struct job_step, j->step_count + 1);
      for (i = 0; i < j->step_count; i++)
        {
          struct unpack s;

          unpack_array (&steps, &s);
          unpack_step (j, &s, &j->steps[i]);
          u.failed |= s.failed;
        }
    }
  else
    u.failed = true;
  if (u.failed || j->payload == NULL || job_spec_fault (j) != NULL)
    {
      outer->failed = true;
      TALLOC_FREE (j);
    }
  return j;
}

void
keyed_record_pack (msgpack_sbuffer *out, const char *key, const void *value,
                   uint32_t size_bytes)
{
  uint8_t key_bytes = (uint8_t)strlen (key);
  uint32_t length = htonl (1 + key_bytes + size_bytes);

  msgpack_sbuffer_write (out, (const char *)&length, sizeof length);
  msgpack_sbuffer_write (out, (const char *)&key_bytes, 1);
  msgpack_sbuffer_write (out, key, key_bytes);
  if (size_bytes > 0)
    msgpack_sbuffer_write (out, value, size_bytes);
}

static void
pack_run_pools (msgpack_packer *p, const struct append_record *x)
{
  uint32_t i;

  msgpack_pack_array (p, x->run_pool_count);
  for (i = 0; i < x->run_pool_count; i++)
    pack_text (p, x->run_pools[i]);
}

static void
pack_job_record (msgpack_packer *p, const struct append_record *x)
{
  msgpack_pack_array (p, 7);
  msgpack_pack_uint8 (p, RECORD_JOB);
  pack_text (p, x->queue);
  pack_text (p, x->tenant);
  msgpack_pack_uint64 (p, x->accepted_at_ms);
  job_pack (p, x->spec);
  pack_run_pools (p, x);
  msgpack_pack_array (p, 4);
  msgpack_pack_uint32 (p, x->terms->priority);
  msgpack_pack_uint32 (p, x->terms->attempt_limit);
  msgpack_pack_uint32 (p, x->terms->stretch_milli);
  msgpack_pack_uint32 (p, x->terms->objective_slack_ms);
}

static void
pack_progress_record (msgpack_packer *p, const struct append_record *x)
{
  msgpack_pack_array (p, 9);
  msgpack_pack_uint8 (p, RECORD_PROGRESS);
  msgpack_pack_uint8 (p, (uint8_t)x->state);
  pack_bool (p, x->final);
  msgpack_pack_uint64 (p, x->ended_at_ms);
  progress_rows_pack (p, x);
  pack_run_pools (p, x);
  msgpack_pack_uint64 (p, x->first_task);
  progress_failures_pack (p, x);
}

static void
pack_segment_record (msgpack_packer *p, const struct append_record *x)
{
  msgpack_pack_array (p, 5);
  msgpack_pack_uint8 (p, RECORD_SEGMENT);
  msgpack_pack_uint64 (p, x->first_task);
  progress_rows_pack (p, x);
  progress_failures_pack (p, x);
}

static void
pack_wave_record (msgpack_packer *p, const struct append_record *x)
{
  uint32_t i;

  msgpack_pack_array (p, 3);
  msgpack_pack_uint8 (p, RECORD_WAVE);
  msgpack_pack_uint64 (p, x->wave_number);
  msgpack_pack_array (p, x->vm_count);
  for (i = 0; i < x->vm_count; i++)
    pack_bool (p, x->vms_done[i]);
}

static void
pack_pool_history_record (msgpack_packer *p, const struct append_record *x)
{
  uint32_t i;

  msgpack_pack_array (p, 2);
  msgpack_pack_uint8 (p, RECORD_POOL_HISTORY);
  msgpack_pack_array (p, x->pool_count);
  for (i = 0; i < x->pool_count; i++)
    {
      const struct pool_history *h = &x->pools[i];

      msgpack_pack_array (p, 6);
      pack_text (p, h->name);
      msgpack_pack_uint64 (p, h->surge_began_at_ms);
      msgpack_pack_uint64 (p, h->previous_surge_at_ms);
      msgpack_pack_uint32 (p, h->peak_vm_count);
      msgpack_pack_uint32 (p, h->initial_vm_count);
      msgpack_pack_uint64 (p, h->mean_need_milli);
    }
}

static void
pack_vm_orders_record (msgpack_packer *p, const struct append_record *x)
{
  uint32_t i;

  msgpack_pack_array (p, 2);
  msgpack_pack_uint8 (p, RECORD_VM_ORDERS);
  msgpack_pack_array (p, x->vm_count);
  for (i = 0; i < x->vm_count; i++)
    {
      msgpack_pack_array (p, 2);
      pack_text (p, x->vm_orders[i].vm);
      msgpack_pack_uint32 (p, x->vm_orders[i].wait_ms);
    }
}

/* Writes the key of X, a record of a job.  */
static void
print_job_key (const struct append_record *x, char *key)
{
  char id[JOB_ID_BYTES];

  job_id_print (x->job, id);
  switch (x->kind)
    {
    case APPEND_RECORD_PROGRESS:
    case APPEND_RECORD_DROP_PROGRESS:
      snprintf (key, KEY_BYTES, "%s" PROGRESS_KEY_SUFFIX, id);
      break;
    case APPEND_RECORD_SEGMENT:
    case APPEND_RECORD_DROP_SEGMENT:
      snprintf (key, KEY_BYTES, "%s" PROGRESS_KEY_SUFFIX ".%llx", id,
                (unsigned long long)x->first_task);
      break;
    default:
      text_copy (key, KEY_BYTES, id);
      break;
    }
}

void
append_records_pack (msgpack_sbuffer *out, const struct append_record *items,
                     uint32_t item_count)
{
  char key[KEY_BYTES];
  uint32_t i;

  for (i = 0; i < item_count; i++)
    {
      const struct append_record *x = &items[i];
      msgpack_sbuffer value;
      msgpack_packer p;

      msgpack_sbuffer_init (&value);
      msgpack_packer_init (&p, &value, msgpack_sbuffer_write);
      print_job_key (x, key);
      switch (x->kind)
        {
        case APPEND_RECORD_JOB:
          pack_job_record (&p, x);
          break;
        case APPEND_RECORD_PROGRESS:
          pack_progress_record (&p, x);
          break;
        case APPEND_RECORD_SEGMENT:
          pack_segment_record (&p, x);
          break;
        case APPEND_RECORD_DROP_PROGRESS:
        case APPEND_RECORD_DROP_SEGMENT:
        case APPEND_RECORD_DROP_JOB:
          break;
        case APPEND_RECORD_WAVE:
          /* At most ten digits, so that the key fits; the value has the whole
             number.  */
          snprintf (key, sizeof key, WAVE_KEY_PREFIX "%llu",
                    (unsigned long long)x->wave_number % 10000000000ULL);
          pack_wave_record (&p, x);
          break;
        case APPEND_RECORD_POOL_HISTORY:
          text_copy (key, sizeof key, POOL_HISTORY_KEY);
          pack_pool_history_record (&p, x);
          break;
        case APPEND_RECORD_VM_ORDERS:
          text_copy (key, sizeof key, VM_ORDERS_KEY);
          pack_vm_orders_record (&p, x);
          break;
        }
      keyed_record_pack (out, key, value.data, (uint32_t)value.size);
      msgpack_sbuffer_destroy (&value);
    }
}

/* Reads the pools of a job.  Records of earlier builds end before them.  */
static void
unpack_run_pools (TALLOC_CTX *mem, struct unpack *u,
                  struct recovered_record *r)
{
  struct unpack names;
  uint32_t i;

  if (u->next >= u->item_count)
    return;
  unpack_array (u, &names);
  r->run_pools
      = talloc_zero_size (mem, (names.item_count + 1) * sizeof *r->run_pools);
  for (i = 0; i < names.item_count; i++)
    unpack_text (&names, r->run_pools[i], NAME_BYTES);
  r->run_pool_count = names.item_count;
  u->failed |= names.failed;
}

static bool
unpack_progress (TALLOC_CTX *mem, struct unpack *u, struct recovered_record *r)
{
  r->state = (enum job_state)unpack_number (u, JOB_STATE_COUNT - 1);
  r->final = unpack_bool (u);
  r->ended_at_ms = unpack_number (u, UINT64_MAX);
  if (!progress_rows_unpack (mem, u, r))
    return false;
  unpack_run_pools (mem, u, r);
  /* Records of earlier builds hold all tasks.  */
  if (u->next < u->item_count)
    r->first_task = unpack_number (u, TASK_NUMBER_LIMIT);
  return progress_failures_unpack (u, r) && !u->failed;
}

static bool
unpack_segment (TALLOC_CTX *mem, struct unpack *u, struct recovered_record *r)
{
  r->is_segment = true;
  r->first_task = unpack_number (u, TASK_NUMBER_LIMIT);
  return progress_rows_unpack (mem, u, r) && progress_failures_unpack (u, r);
}

static bool
unpack_wave (TALLOC_CTX *mem, struct unpack *u, struct recovered_record *r)
{
  struct unpack done;
  uint32_t i;

  r->is_wave = true;
  r->wave_number = unpack_number (u, UINT64_MAX);
  unpack_array (u, &done);
  r->vm_count = done.item_count;
  r->vms_done = talloc_zero_array (mem, bool, r->vm_count + 1);
  for (i = 0; i < r->vm_count; i++)
    r->vms_done[i] = unpack_bool (&done);
  return !u->failed && !done.failed;
}

static bool
unpack_pool_history (TALLOC_CTX *mem, struct unpack *u,
                     struct recovered_record *r)
{
  struct unpack rows;
  uint32_t i;

  r->is_pool_history = true;
  unpack_array (u, &rows);
  r->pool_count = rows.item_count;
  r->pools = talloc_zero_array (mem, struct pool_history, r->pool_count + 1);
  for (i = 0; i < r->pool_count; i++)
    {
      struct pool_history *h = &r->pools[i];
      struct unpack row;

      unpack_array (&rows, &row);
      unpack_text (&row, h->name, NAME_BYTES);
      h->surge_began_at_ms = unpack_number (&row, UINT64_MAX);
      h->previous_surge_at_ms = unpack_number (&row, UINT64_MAX);
      h->peak_vm_count = (uint32_t)unpack_number (&row, UINT32_MAX);
      h->initial_vm_count = (uint32_t)unpack_number (&row, UINT32_MAX);
      h->mean_need_milli = unpack_number (&row, UINT64_MAX);
      rows.failed |= row.failed;
    }
  return !u->failed && !rows.failed;
}

static bool
unpack_vm_orders (TALLOC_CTX *mem, struct unpack *u,
                  struct recovered_record *r)
{
  struct unpack rows;
  uint32_t i;

  r->is_vm_orders = true;
  unpack_array (u, &rows);
  r->vm_count = rows.item_count;
  r->vm_orders
      = talloc_zero_array (mem, struct vm_order_note, r->vm_count + 1);
  for (i = 0; i < r->vm_count; i++)
    {
      struct unpack row;

      unpack_array (&rows, &row);
      unpack_text (&row, r->vm_orders[i].vm, NAME_BYTES);
      r->vm_orders[i].wait_ms = (uint32_t)unpack_number (&row, UINT32_MAX);
      rows.failed |= row.failed;
    }
  return !u->failed && !rows.failed;
}

/* Reads the terms of a job's queue.  Records of earlier builds end before
   them.  */
static void
unpack_terms (struct unpack *u, struct recovered_record *r)
{
  struct unpack t;

  if (u->next >= u->item_count)
    return;
  unpack_array (u, &t);
  r->terms.priority = (uint32_t)unpack_number (&t, UINT32_MAX);
  r->terms.attempt_limit = (uint32_t)unpack_number (&t, UINT32_MAX);
  r->terms.stretch_milli = (uint32_t)unpack_number (&t, UINT32_MAX);
  r->terms.objective_slack_ms = (uint32_t)unpack_number (&t, UINT32_MAX);
  r->has_terms = true;
  u->failed |= t.failed;
}

static bool
unpack_record (TALLOC_CTX *mem, const msgpack_object *o,
               struct recovered_record *r)
{
  struct unpack u;
  uint64_t kind;

  unpack_open (&u, o);
  kind = unpack_number (&u, UINT8_MAX);
  if (kind == RECORD_PROGRESS)
    return unpack_progress (mem, &u, r);
  if (kind == RECORD_SEGMENT)
    return unpack_segment (mem, &u, r);
  if (kind == RECORD_WAVE)
    return unpack_wave (mem, &u, r);
  if (kind == RECORD_POOL_HISTORY)
    return unpack_pool_history (mem, &u, r);
  if (kind == RECORD_VM_ORDERS)
    return unpack_vm_orders (mem, &u, r);
  if (kind != RECORD_JOB)
    return false;
  r->is_job = true;
  unpack_text (&u, r->queue, NAME_BYTES);
  unpack_text (&u, r->tenant, NAME_BYTES);
  r->accepted_at_ms = unpack_number (&u, UINT64_MAX);
  r->spec = job_unpack (mem, &u);
  unpack_run_pools (mem, &u, r);
  unpack_terms (&u, r);
  return !u.failed;
}

bool
recovered_record_unpack (TALLOC_CTX *mem, const char *key, const void *value,
                         uint32_t size_bytes, struct recovered_record *r)
{
  char id[JOB_ID_BYTES];
  msgpack_unpacked m;
  bool valid = false;

  memset (r, 0, sizeof *r);
  text_copy (id, sizeof id, key);
  if (size_bytes == 0
      || (!job_id_parse (id, &r->job) && strcmp (key, POOL_HISTORY_KEY) != 0
          && strcmp (key, VM_ORDERS_KEY) != 0
          && strncmp (key, WAVE_KEY_PREFIX, strlen (WAVE_KEY_PREFIX)) != 0))
    return false;
  if (unpack_message (&m, value, size_bytes))
    valid = unpack_record (mem, &m.data, r);
  msgpack_unpacked_destroy (&m);
  return valid;
}
