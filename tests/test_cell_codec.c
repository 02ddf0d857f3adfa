/* test_cell_codec.c -- codecs of the cell's messages and records.

   What was encoded must be decoded unchanged.  Truncated or malformed input
   must be refused as a whole, and no input may be read past its end.  */

#include "adapter/claim_codec.h"
#include "adapter/job_codec.h"
#include "adapter/operator_records.h"
#include "adapter/order_codec.h"
#include "adapter/relay_codec.h"
#include "platform/client.h"
#include "platform/cloud.h"
#include "platform/config.h"
#include "platform/runner.h"
#include "platform/store.h"

#include <glib.h>
#include <string.h>

/** Two offsets at the start of the store's answer to a read.  */
#define HEADER_BYTES 16

static struct job_spec *
make_job_spec (TALLOC_CTX *mem)
{
  struct job_spec *j = job_spec_new (mem);

  j->id = 0x5c0e7a21d94b36f8;
  j->payload = blob_copy ("payload", 7);
  j->occurrence_count = 3;
  j->first_due_ms = 1700000000000;
  j->interval_ms = 2000;
  j->step_count = 2;
  j->steps = talloc_zero_array (j, struct job_step, 2);
  j->steps[0].task_count = 4;
  j->steps[0].need.cpu_milli = 500;
  j->steps[1].task_count = 20;
  j->steps[1].long_running = true;
  j->steps[1].latency_target_ms = 250;
  j->steps[1].after_count = 1;
  j->steps[1].after = talloc_zero_array (j, uint32_t, 1);
  text_copy (j->steps[1].data_rack, LABEL_BYTES, "r1-3");
  return j;
}

/* Decodes an answer of the store that holds the records of OUT.  */
static void
decode_stored (TALLOC_CTX *mem, const msgpack_sbuffer *out,
               struct platform_records *r)
{
  uint8_t *body = talloc_zero_size (mem, HEADER_BYTES + out->size);

  memcpy (body + HEADER_BYTES, out->data, out->size);
  g_assert_true (platform_read_decode (
      mem, 200, 7, body, (uint32_t)(HEADER_BYTES + out->size), r));
}

static void
test_records (void)
{
  TALLOC_CTX *mem = talloc_new (NULL);
  struct job_spec *j = make_job_spec (mem);
  uint16_t failed_runs[2] = { 1, 66 };
  struct task_progress tasks[2] = {
    { .done = true },
    { .failed_count = 2, .failed_run_count = 2, .failed_runs = failed_runs }
  };
  bool done[3] = { true, false, true };
  struct pool_history pool
      = { .name = "p", .surge_began_at_ms = 5, .peak_vm_count = 9 };
  struct vm_order_note vm_orders[2] = { { "m-1", 3300 }, { "m-2", 40 } };
  const char run_pools[2][NAME_BYTES] = { "p", "s" };
  struct queue_terms terms = { 1, 5, 1600, 600 };
  struct append_record items[] = {
    { .kind = APPEND_RECORD_JOB,
      .job = j->id,
      .terms = &terms,
      .run_pools = run_pools,
      .run_pool_count = 1,
      .queue = "q",
      .tenant = "t",
      .accepted_at_ms = 12,
      .spec = j },
    { .kind = APPEND_RECORD_PROGRESS,
      .job = j->id,
      .run_pools = run_pools,
      .run_pool_count = 2,
      .task_count = 2,
      .tasks = tasks },
    { .kind = APPEND_RECORD_WAVE,
      .wave_number = 3,
      .vm_count = 3,
      .vms_done = done },
    { .kind = APPEND_RECORD_POOL_HISTORY, .pool_count = 1, .pools = &pool },
    { .kind = APPEND_RECORD_DROP_JOB, .job = j->id },
    { .kind = APPEND_RECORD_VM_ORDERS, .vm_count = 2, .vm_orders = vm_orders },
    { .kind = APPEND_RECORD_SEGMENT,
      .job = j->id,
      .first_task = 3072,
      .task_count = 2,
      .tasks = tasks },
    { .kind = APPEND_RECORD_DROP_SEGMENT, .job = j->id, .first_task = 3072 },
  };
  struct platform_records r;
  struct recovered_record row;
  msgpack_sbuffer out;

  msgpack_sbuffer_init (&out);
  append_records_pack (&out, items, G_N_ELEMENTS (items));
  decode_stored (mem, &out, &r);
  g_assert_cmpuint (r.item_count, ==, 8);
  g_assert_cmpuint (r.items[4].offset, ==, 11);
  g_assert_true (recovered_record_unpack (
      mem, r.items[0].key, r.items[0].value, r.items[0].value_bytes, &row));
  g_assert_true (row.is_job);
  g_assert_cmpuint (row.job, ==, j->id);
  g_assert_cmpuint (row.accepted_at_ms, ==, 12);
  g_assert_cmpuint (row.spec->step_count, ==, 2);
  g_assert_cmpuint (row.spec->occurrence_count, ==, 3);
  g_assert_cmpstr (row.spec->steps[1].data_rack, ==, "r1-3");
  g_assert_cmpuint (row.spec->steps[1].after[0], ==, 0);
  g_assert_cmpuint (row.spec->payload->size_bytes, ==, 7);
  g_assert_cmpuint (row.run_pool_count, ==, 1);
  g_assert_cmpstr (row.run_pools[0], ==, "p");
  g_assert_true (row.has_terms);
  g_assert_cmpuint (row.terms.attempt_limit, ==, 5);
  g_assert_cmpuint (row.terms.objective_slack_ms, ==, 600);
  g_assert_true (recovered_record_unpack (
      mem, r.items[1].key, r.items[1].value, r.items[1].value_bytes, &row));
  g_assert_cmpuint (row.task_count, ==, 2);
  g_assert_true (row.tasks[0].done);
  g_assert_cmpuint (row.tasks[1].failed_runs[1], ==, 66);
  g_assert_cmpuint (row.run_pool_count, ==, 2);
  g_assert_cmpstr (row.run_pools[1], ==, "s");
  g_assert_true (recovered_record_unpack (
      mem, r.items[2].key, r.items[2].value, r.items[2].value_bytes, &row));
  g_assert_true (row.is_wave && row.vms_done[2] && !row.vms_done[1]);
  g_assert_true (recovered_record_unpack (
      mem, r.items[3].key, r.items[3].value, r.items[3].value_bytes, &row));
  g_assert_true (row.is_pool_history);
  g_assert_cmpuint (row.pools[0].peak_vm_count, ==, 9);
  /* A record that drops its key, and a key that the cell does not use.  */
  g_assert_false (recovered_record_unpack (
      mem, r.items[4].key, r.items[4].value, r.items[4].value_bytes, &row));
  g_assert_false (recovered_record_unpack (mem, "owner", "x", 1, &row));
  g_assert_true (recovered_record_unpack (
      mem, r.items[5].key, r.items[5].value, r.items[5].value_bytes, &row));
  g_assert_true (row.is_vm_orders);
  g_assert_cmpuint (row.vm_count, ==, 2);
  g_assert_cmpstr (row.vm_orders[1].vm, ==, "m-2");
  g_assert_cmpuint (row.vm_orders[1].wait_ms, ==, 40);
  g_assert_true (recovered_record_unpack (
      mem, r.items[6].key, r.items[6].value, r.items[6].value_bytes, &row));
  g_assert_true (row.is_segment);
  g_assert_cmpuint (row.job, ==, j->id);
  g_assert_cmpuint (row.first_task, ==, 3072);
  g_assert_true (row.tasks[0].done);
  g_assert_cmpstr (r.items[7].key, ==, r.items[6].key);
  g_assert_cmpuint (r.items[7].value_bytes, ==, 0);
  msgpack_sbuffer_destroy (&out);
  talloc_free (mem);
}

/* Packs a record of KIND with a task that failed FAILED_COUNT times, in the
   RUN_COUNT runs of RUNS, and one that is done; returns it unpacked.  */
static struct recovered_record
repack_failed_task (TALLOC_CTX *mem, enum append_record_kind kind,
                    uint32_t failed_count, uint16_t *runs, uint32_t run_count)
{
  struct task_progress tasks[2] = { { .failed_count = failed_count,
                                      .failed_run_count = run_count,
                                      .failed_runs = runs },
                                    { .done = true } };
  const char run_pools[1][NAME_BYTES] = { "p" };
  struct append_record item = { .kind = kind,
                                .job = 7,
                                .run_pools = run_pools,
                                .run_pool_count = 1,
                                .task_count = 2,
                                .tasks = tasks };
  struct platform_records r;
  struct recovered_record row;
  msgpack_sbuffer out;

  msgpack_sbuffer_init (&out);
  append_records_pack (&out, &item, 1);
  decode_stored (mem, &out, &r);
  g_assert_true (recovered_record_unpack (
      mem, r.items[0].key, r.items[0].value, r.items[0].value_bytes, &row));
  g_assert_cmpuint (row.task_count, ==, 2);
  g_assert_true (row.tasks[1].done);
  g_assert_cmpuint (row.tasks[1].failed_run_count, ==, 0);
  msgpack_sbuffer_destroy (&out);
  return row;
}

/* Guards against a record that loses the numbers of failed runs, or their
   count: a new owner would count the ends of these runs again.  */
static void
test_failed_runs (void)
{
  static const enum append_record_kind kinds[]
      = { APPEND_RECORD_PROGRESS, APPEND_RECORD_SEGMENT };
  uint16_t runs[] = { 1, 2, 3, 5, 321, 322, 323, 324, 65535 };
  uint16_t many[300];
  uint32_t i;
  uint32_t k;

  for (i = 0; i < G_N_ELEMENTS (many); i++)
    many[i] = (uint16_t)(i + 10);
  for (k = 0; k < G_N_ELEMENTS (kinds); k++)
    {
      TALLOC_CTX *mem = talloc_new (NULL);
      struct recovered_record row
          = repack_failed_task (mem, kinds[k], 9, runs, 9);

      g_assert_cmpuint (row.tasks[0].failed_count, ==, 9);
      g_assert_cmpmem (row.tasks[0].failed_runs,
                       row.tasks[0].failed_run_count * sizeof *runs, runs,
                       sizeof runs);
      row = repack_failed_task (mem, kinds[k], 300, many, 300);
      g_assert_cmpuint (row.tasks[0].failed_count, ==, 300);
      g_assert_cmpmem (row.tasks[0].failed_runs,
                       row.tasks[0].failed_run_count * sizeof *many, many,
                       sizeof many);
      /* A long-running task fails more often than numbers are kept.  */
      row = repack_failed_task (mem, kinds[k], 1000, runs, 6);
      g_assert_cmpuint (row.tasks[0].failed_count, ==, 1000);
      g_assert_cmpuint (row.tasks[0].failed_run_count, ==, 6);
      talloc_free (mem);
    }
}

/* Guards against a job whose record is larger than what its size was taken
   for when it was accepted: the store would refuse it.  */
static void
test_job_size (void)
{
  TALLOC_CTX *mem = talloc_new (NULL);
  struct job_spec *j = make_job_spec (mem);
  msgpack_sbuffer out;
  msgpack_packer p;
  uint32_t i;
  uint32_t k;

  j->id = j->first_due_ms = j->interval_ms = UINT64_MAX;
  j->step_count = STEP_LIMIT_COUNT;
  j->steps = talloc_zero_array (j, struct job_step, j->step_count);
  for (i = 0; i < j->step_count; i++)
    {
      struct job_step *s = &j->steps[i];

      memset (s->label, 'x', LABEL_BYTES - 1);
      memset (s->data_rack, 'x', LABEL_BYTES - 1);
      memset (s->image, 'x', LABEL_BYTES - 1);
      s->task_count = s->estimate_ms = s->per_runner_limit_count = UINT32_MAX;
      s->latency_target_ms = s->unavailable_limit_count = UINT32_MAX;
      s->need.cpu_milli = s->need.memory_mib = s->need.gpu_count = UINT64_MAX;
      s->after_count = i;
      s->after = talloc_zero_array (j, uint32_t, i + 1);
      for (k = 0; k < i; k++)
        s->after[k] = UINT32_MAX;
    }
  msgpack_sbuffer_init (&out);
  msgpack_packer_init (&p, &out, msgpack_sbuffer_write);
  job_pack (&p, j);
  g_assert_cmpuint (out.size, <=, job_spec_size_bytes (j));
  msgpack_sbuffer_destroy (&out);
  talloc_free (mem);
}

/* Encodes a claim and decodes the first SIZE_BYTES of its value, or all if 0;
   returns false if that is refused.  */
static bool
decode_claim_of (TALLOC_CTX *mem, const struct claim_terms *t,
                 uint32_t size_bytes, struct cell_event **out)
{
  struct blob *b = claim_encode ("entry-1", "10.0.0.1:7000", t);
  uint8_t *body = talloc_zero_size (mem, HEADER_BYTES + b->size_bytes);
  struct platform_records r;

  memcpy (body + HEADER_BYTES, b->data, b->size_bytes);
  g_assert_true (platform_read_decode (mem, 200, 7, body,
                                       HEADER_BYTES + b->size_bytes, &r));
  blob_unref (b);
  g_assert_cmpuint (r.item_count, ==, 1);
  if (size_bytes > 0)
    r.items[0].value_bytes = size_bytes;
  *out = talloc_zero (mem, struct cell_event);
  return claim_decode (&r.items[0], *out);
}

static void
test_claims (void)
{
  TALLOC_CTX *mem = talloc_new (NULL);
  struct claim_terms t
      = { .released = true,
          .best_cpu_milli = 500,
          .slow_yield_at_ms = 9,
          .vm_orders_recorded = true,
          .stopped_age_ms = 60000,
          .no_successor = true,
          .unconfirmed_ms = 12000,
          .former
          = { .known = true, .count = 2, .names = { "entry-2", "entry-3" } } };
  struct cell_event *e;
  bool valid = decode_claim_of (mem, &t, 0, &e);

  g_assert_true (valid);
  g_assert_cmpstr (e->u.claim.member, ==, "entry-1");
  g_assert_cmpstr (e->u.claim.address, ==, "10.0.0.1:7000");
  g_assert_true (e->u.claim.terms.released);
  g_assert_cmpuint (e->u.claim.terms.best_cpu_milli, ==, 500);
  g_assert_cmpuint (e->u.claim.terms.slow_yield_at_ms, ==, 9);
  g_assert_true (e->u.claim.terms.vm_orders_recorded);
  g_assert_cmpuint (e->u.claim.terms.stopped_age_ms, ==, 60000);
  g_assert_true (e->u.claim.terms.no_successor);
  g_assert_cmpuint (e->u.claim.terms.unconfirmed_ms, ==, 12000);
  g_assert_true (e->u.claim.terms.former.known);
  g_assert_cmpuint (e->u.claim.terms.former.count, ==, 2);
  g_assert_cmpstr (e->u.claim.terms.former.names[1], ==, "entry-3");
  valid = decode_claim_of (mem, &t, 1, &e);
  g_assert_false (valid);
  valid = decode_claim_of (mem, &t, 12, &e);
  g_assert_false (valid);
  talloc_free (mem);
}

/* A claim of an earlier version has five fields.  */
static void
test_claim_of_earlier_version (void)
{
  TALLOC_CTX *mem = talloc_new (NULL);
  struct cell_event *e = talloc_zero (mem, struct cell_event);
  struct platform_record x = { 0 };
  msgpack_sbuffer out;
  msgpack_packer p;
  bool valid;

  msgpack_sbuffer_init (&out);
  msgpack_packer_init (&p, &out, msgpack_sbuffer_write);
  msgpack_pack_array (&p, 5);
  pack_text (&p, "entry-1");
  pack_text (&p, "10.0.0.1:7000");
  pack_bool (&p, true);
  msgpack_pack_uint32 (&p, 500);
  msgpack_pack_uint64 (&p, 9);
  x.value = (const uint8_t *)out.data;
  x.value_bytes = (uint32_t)out.size;
  valid = claim_decode (&x, e);
  g_assert_true (valid);
  g_assert_true (e->u.claim.terms.released);
  g_assert_false (e->u.claim.terms.vm_orders_recorded);
  g_assert_cmpuint (e->u.claim.terms.unconfirmed_ms, ==, 0);
  g_assert_false (e->u.claim.terms.former.known);
  msgpack_sbuffer_destroy (&out);
  talloc_free (mem);
}

/* A record that is truncated anywhere is refused.  One with a changed byte is
   decoded or refused, but never read past its end.  */
static void
test_mutations (void)
{
  TALLOC_CTX *mem = talloc_new (NULL);
  struct job_spec *j = make_job_spec (mem);
  struct queue_terms terms = { 0 };
  struct append_record item = { .kind = APPEND_RECORD_JOB,
                                .terms = &terms,
                                .job = j->id,
                                .queue = "q",
                                .tenant = "t",
                                .spec = j };
  struct platform_records r;
  struct recovered_record row;
  msgpack_sbuffer out;
  uint32_t i;

  msgpack_sbuffer_init (&out);
  append_records_pack (&out, &item, 1);
  decode_stored (mem, &out, &r);
  for (i = 0; i < r.items[0].value_bytes; i++)
    {
      TALLOC_CTX *tmp = talloc_new (mem);
      uint8_t *cut = talloc_memdup (tmp, r.items[0].value, i + 1);
      uint8_t *changed
          = talloc_memdup (tmp, r.items[0].value, r.items[0].value_bytes);

      changed[i] ^= 0x5a;
      g_assert_false (
          recovered_record_unpack (tmp, r.items[0].key, cut, i, &row));
      recovered_record_unpack (tmp, r.items[0].key, changed,
                               r.items[0].value_bytes, &row);
      talloc_free (tmp);
    }
  msgpack_sbuffer_destroy (&out);
  talloc_free (mem);
}

static void
test_relay (void)
{
  TALLOC_CTX *mem = talloc_new (NULL);
  static const struct job_report reports[]
      = { { .job = 1, .state = JOB_QUEUED },
          { .job = UINT64_MAX, .state = JOB_CANCELLED } };
  struct relay_message m = { .kind = RELAY_CALL };
  struct relay_message decoded;
  struct blob *b;

  m.u.call.call_id = 9;
  m.u.call.kind = CALL_SUBMIT;
  m.u.call.job = 5;
  m.u.call.spec = make_job_spec (mem);
  text_copy (m.u.call.queue, NAME_BYTES, "q");
  b = relay_encode (&m);
  g_assert_true (relay_decode (mem, b->data, b->size_bytes, &decoded));
  g_assert_cmpuint (decoded.u.call.spec->steps[1].task_count, ==, 20);
  g_assert_false (relay_decode (mem, b->data, b->size_bytes - 1, &decoded));
  blob_unref (b);
  /* A call on a public queue has no tenant.  */
  m.u.call.tenant[0] = '\0';
  m.u.call.kind = CALL_STATE;
  m.u.call.spec = NULL;
  m.u.call.unconfirmed = true;
  text_copy (m.u.call.key, API_KEY_BYTES, "k");
  b = relay_encode (&m);
  g_assert_true (relay_decode (mem, b->data, b->size_bytes, &decoded));
  g_assert_cmpstr (decoded.u.call.tenant, ==, "");
  g_assert_true (decoded.u.call.unconfirmed);
  g_assert_cmpstr (decoded.u.call.key, ==, "k");
  blob_unref (b);
  m = (struct relay_message){ .kind = RELAY_HEARTBEAT,
                              .u.heartbeat = { .degraded = true,
                                               .cpu_milli = 250,
                                               .member = "entry-2",
                                               .followed_token = 7,
                                               .view = STORE_VIEW_AWAY,
                                               .takes_states = true } };
  b = relay_encode (&m);
  g_assert_true (relay_decode (mem, b->data, b->size_bytes, &decoded));
  g_assert_true (decoded.u.heartbeat.degraded);
  g_assert_cmpuint (decoded.u.heartbeat.cpu_milli, ==, 250);
  g_assert_cmpstr (decoded.u.heartbeat.member, ==, "entry-2");
  g_assert_cmpuint (decoded.u.heartbeat.followed_token, ==, 7);
  g_assert_cmpint (decoded.u.heartbeat.view, ==, STORE_VIEW_AWAY);
  g_assert_true (decoded.u.heartbeat.takes_states);
  blob_unref (b);
  m = (struct relay_message){
    .kind = RELAY_STATES,
    .u.states
    = { .token = 7, .item_count = G_N_ELEMENTS (reports), .items = reports }
  };
  b = relay_encode (&m);
  g_assert_true (relay_decode (mem, b->data, b->size_bytes, &decoded));
  g_assert_cmpuint (decoded.u.states.token, ==, 7);
  g_assert_cmpuint (decoded.u.states.item_count, ==, 2);
  g_assert_cmpuint (decoded.u.states.items[1].job, ==, UINT64_MAX);
  g_assert_cmpint (decoded.u.states.items[1].state, ==, JOB_CANCELLED);
  g_assert_false (relay_decode (mem, b->data, b->size_bytes - 1, &decoded));
  blob_unref (b);
  talloc_free (mem);
}

static bool
decode_report (const char *value, struct runner_report *r)
{
  return platform_runner_report_decode ("i-1", value, (uint32_t)strlen (value),
                                        r);
}

/* A runner's report with unknown fields is decoded.  One that lacks a field,
   or has a field of another type or an unknown state, is refused.  An empty
   value means that the runner was removed.  */
static void
test_reports (void)
{
  struct runner_report r;

  g_assert_true (
      decode_report ("{\"Service\":\"p\",\"Address\":\"10.0.0.1:1\","
                     "\"Zone\":\"z\",\"State\":\"draining\",\"born\":7,"
                     "\"ColdRemainingMs\":900,"
                     "\"Room\":{\"Cpu\":16000,\"MemMb\":5,\"Gpu\":0},"
                     "\"Labels\":[\"a\",\"r1\"],\"New\":[1]}",
                     &r));
  g_assert_true (r.draining);
  g_assert_cmpuint (r.booted_at_ms, ==, 7);
  g_assert_cmpuint (r.cold_ms, ==, 900);
  g_assert_cmpstr (r.labels[1], ==, "r1");
  g_assert_false (decode_report ("{\"Service\":\"p\"}", &r));
  g_assert_false (decode_report ("{\"Service\":7,\"Address\":\"10.0.0.1:1\","
                                 "\"State\":\"ready\",\"Room\":{}}",
                                 &r));
  g_assert_false (
      decode_report ("{\"Service\":\"p\",\"Address\":\"10.0.0.1:1\","
                     "\"State\":\"asleep\",\"Room\":{}}",
                     &r));
  g_assert_false (decode_report ("\xff\xfe", &r));
  g_assert_false (decode_report ("[]", &r));
  g_assert_true (platform_runner_report_decode ("i-1", "", 0, &r));
  g_assert_true (r.removed);
}

/* A request to evacuate a zone whose key has no name of a zone, or one that
   cannot be written to a log line, is refused: as the empty zone it would
   name all runners without one.  */
static void
test_evacuations (void)
{
  char zone[NAME_BYTES];

  g_assert_true (
      platform_evacuation_decode (PLATFORM_KEY_EVACUATE "eu-1/b", zone));
  g_assert_cmpstr (zone, ==, "eu-1/b");
  g_assert_false (platform_evacuation_decode (PLATFORM_KEY_EVACUATE, zone));
  g_assert_false (
      platform_evacuation_decode (PLATFORM_KEY_EVACUATE "a\"b", zone));
  g_assert_false (platform_evacuation_decode (
      PLATFORM_KEY_EVACUATE
      "a-name-that-is-longer-than-the-names-of-all-zones-may-be",
      zone));
}

/* Pops an event from R and checks its kind; the caller frees it.  */
static struct cell_event *
pop_event (struct ring *r, enum cell_event_kind kind)
{
  struct cell_event *e = NULL;

  g_assert_cmpuint (ring_pop (r, (void **)&e, 1), ==, 1);
  g_assert_cmpint (e->kind, ==, kind);
  return e;
}

/* A listing has the configuration on its first page and an evacuated zone on
   its last.  Were the configuration posted first, tasks could start in the
   zone.  A later listing that lacks the zone ends its evacuation.  */
static void
test_operator_records (void)
{
  struct ring *r = ring_open (8);
  struct operator_records *s = operator_records_new (NULL, r);
  struct cell_event *e = NULL;

  operator_records_begin_listing (s);
  operator_records_hold (s, cell_event_new (CELL_CONFIG));
  operator_records_set_zone (s, "z1", true, true);
  operator_records_end_listing (s);
  g_assert_true (operator_records_post (s));
  e = pop_event (r, CELL_EVACUATIONS);
  g_assert_cmpuint (e->u.evacuations.zone_count, ==, 1);
  g_assert_cmpstr (e->u.evacuations.zones[0], ==, "z1");
  talloc_free (e);
  talloc_free (pop_event (r, CELL_CONFIG));
  operator_records_set_zone (s, "z1", true, false);
  g_assert_true (operator_records_post (s));
  g_assert_cmpuint (ring_pop (r, (void **)&e, 1), ==, 0);
  operator_records_begin_listing (s);
  operator_records_end_listing (s);
  g_assert_true (operator_records_post (s));
  e = pop_event (r, CELL_EVACUATIONS);
  g_assert_cmpuint (e->u.evacuations.zone_count, ==, 0);
  talloc_free (e);
  talloc_free (s);
  ring_close (r);
}

/* The ring is full when a zone is evacuated.  The set must be posted later,
   and no configuration before it.  */
static void
test_operator_records_ring_full (void)
{
  struct ring *r = ring_open (2);
  struct operator_records *s = operator_records_new (NULL, r);
  struct cell_event *e = NULL;
  uint32_t n = 0;

  while (cell_post (r, cell_event_new (CELL_TICK)))
    n++;
  operator_records_set_zone (s, "z1", true, false);
  operator_records_hold (s, cell_event_new (CELL_CONFIG));
  g_assert_false (operator_records_post (s));
  while (n-- > 0)
    talloc_free (pop_event (r, CELL_TICK));
  g_assert_cmpuint (ring_pop (r, (void **)&e, 1), ==, 0);
  g_assert_true (operator_records_post (s));
  talloc_free (pop_event (r, CELL_EVACUATIONS));
  talloc_free (pop_event (r, CELL_CONFIG));
  talloc_free (s);
  ring_close (r);
}

/* Decodes a submission with BODY; returns NULL, or the fault reported.  */
static const char *
decode_submission (TALLOC_CTX *mem, const char *body, struct client_call *c)
{
  struct platform_request r = { .method = "POST",
                                .path = "/q/00000000000000aa",
                                .host = "h",
                                .authorization = "Bearer k",
                                .wait = "3000",
                                .body = body,
                                .body_bytes = (uint32_t)strlen (body) };

  memset (c, 0, sizeof *c);
  platform_client_decode (mem, &r, c);
  return c->kind == CALL_SUBMIT ? NULL : c->fault;
}

static void
test_calls (void)
{
  TALLOC_CTX *mem = talloc_new (NULL);
  struct client_call c;

  g_assert_null (
      decode_submission (mem,
                         "{\"Spec\":\"x\",\"Steps\":[{\"Count\":4,\"Cpu\":500,"
                         "\"Unknown\":1},{\"Count\":1,\"After\":[0],"
                         "\"LongRunning\":true,\"MayMiss\":2}]}",
                         &c));
  g_assert_cmpuint (c.spec->steps[1].unavailable_limit_count, ==, 2);
  g_assert_cmpstr (c.key, ==, "k");
  g_assert_cmpstr (decode_submission (mem, "{", &c), ==,
                   "the body is no JSON object");
  g_assert_cmpstr (decode_submission (mem, "{\"Steps\":[]}", &c), ==,
                   "the number of steps is out of range");
  g_assert_cmpstr (decode_submission (mem, "{\"Steps\":[{\"Count\":0}]}", &c),
                   ==, "a step's number of tasks is out of range");
  g_assert_cmpstr (
      decode_submission (mem, "{\"Steps\":[{\"Count\":1,\"After\":[1]}]}", &c),
      ==, "a step waits for one that is not before it");
  g_assert_cmpstr (
      decode_submission (mem, "{\"Steps\":[{\"Count\":99999999}]}", &c), ==,
      "a step has no valid number of tasks");
  g_assert_cmpstr (
      decode_submission (mem, "{\"Spec\":3,\"Steps\":[{\"Count\":1}]}", &c),
      ==, "the payload is no string");
  talloc_free (mem);
}

/* Each status and reason in an answer of a runner, the store or the cloud is
   decoded to its outcome.  */
static void
test_outcomes (void)
{
  static const struct
  {
    uint32_t status;
    bool sent;
    const char *body;
    enum order_outcome outcome;
  } cases[] = {
    { 200, true, "{\"ClockMs\":5,\"born\":9}", ORDER_DONE },
    { 409, true, "{\"Reason\":\"fence\"}", ORDER_FENCED },
    { 409, true, "{\"Reason\":\"old\"}", ORDER_STALE },
    { 409, true, "{\"Reason\":\"late\"}", ORDER_LATE },
    { 409, true, "{\"Reason\":\"room\"}", ORDER_NO_ROOM },
    { 409, true, "{\"Reason\":\"ticket\"}", ORDER_NO_TICKET },
    { 409, true, "{}", ORDER_REJECTED },
    { 421, true, "{}", ORDER_WRONG_BOOT },
    { 429, true, "{}", ORDER_BUSY },
    { 503, true, "", ORDER_BUSY },
    { 400, true, "", ORDER_REJECTED },
    { 502, true, "", ORDER_UNKNOWN },
    { 0, true, "", ORDER_UNKNOWN },
    { 0, false, "", ORDER_BUSY },
  };
  struct platform_append_result a;
  TALLOC_CTX *mem = talloc_new (NULL);
  guint i;

  for (i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      struct runner_result r = { 0 };

      platform_runner_order_decode (mem, ORDER_START, cases[i].status,
                                    cases[i].sent, cases[i].body,
                                    (uint32_t)strlen (cases[i].body), &r);
      g_assert_cmpint (r.outcome, ==, cases[i].outcome);
    }
  platform_append_decode (200, true, "{\"Offset\":840,\"End\":842}", 24, &a);
  g_assert_cmpint (a.outcome, ==, APPEND_STORED);
  g_assert_cmpuint (a.offset, ==, 840);
  platform_append_decode (409, true, "{\"Reason\":\"fenced\"}", 19, &a);
  g_assert_cmpint (a.outcome, ==, APPEND_FENCED);
  platform_append_decode (412, true, "{\"End\":3}", 9, &a);
  g_assert_true (a.outcome == APPEND_NOT_DONE && a.condition_failed);
  platform_append_decode (0, true, "", 0, &a);
  g_assert_cmpint (a.outcome, ==, APPEND_UNKNOWN);
  g_assert_cmpint (
      platform_vm_order_decode (409, true, "{\"Reason\":\"busy\"}", 17), ==,
      ORDER_BUSY);
  g_assert_cmpint (
      platform_vm_order_decode (409, true, "{\"Reason\":\"wave\"}", 17), ==,
      ORDER_REJECTED);
  talloc_free (mem);
}

/* Malformed rows in a poll's answer are skipped; an end of an unknown kind
   counts as an expired lease.  */
static void
test_polls (void)
{
  static const char body[]
      = "{\"ClockMs\":482113,\"born\":9,\"Running\":[["
        "\"5c0e7a21d94b36f8.0.1.17\",2,\"00000bb8\",41,7],[\"odd\",1]],"
        "\"Ended\":[[58,\"5c0e7a21d94b36f8.0.1.9\",1,\"done\",\"\"],"
        "[59,\"5c0e7a21d94b36f8.0.1.8\",1,\"new_word\",\"\"]]}";
  TALLOC_CTX *mem = talloc_new (NULL);
  struct runner_result r = { 0 };

  platform_runner_order_decode (mem, ORDER_POLL, 200, true, body,
                                (uint32_t)strlen (body), &r);
  g_assert_cmpuint (r.running_count, ==, 1);
  g_assert_cmpuint (r.running[0].task.index, ==, 17);
  g_assert_cmpuint (r.running[0].metric, ==, 7);
  g_assert_cmpstr (r.running[0].checkpoint, ==, "00000bb8");
  g_assert_cmpuint (r.ended_count, ==, 2);
  g_assert_cmpint (r.ended[0].kind, ==, END_DONE);
  g_assert_cmpint (r.ended[1].kind, ==, END_LEASE_EXPIRED);
  talloc_free (mem);
}

/* Orders that an owner has another entry send keep every field, and those of
   one job share its payload.  A truncated batch is refused, a changed one does
   no harm.  */
static void
test_order_batch (void)
{
  TALLOC_CTX *mem = talloc_new (NULL);
  struct runner_order orders[3] = { { .order_id = 7,
                                      .kind = ORDER_START,
                                      .runner = "r1",
                                      .address = "10.0.0.1:1",
                                      .token = 3,
                                      .lease_until_ms = 90000,
                                      .timeout_ms = 700,
                                      .new_connection = true,
                                      .booted_at_ms = 77,
                                      .task = { .job = 5, .index = 2 },
                                      .run = 65,
                                      .checkpoint = "00000bb8" } };
  struct order_batch *batch;
  struct blob *b;
  uint32_t i;

  orders[0].payload = blob_copy ("payload", 7);
  orders[1] = orders[0];
  orders[1].order_id = 8;
  orders[2] = (struct runner_order){
    .order_id = 9, .kind = ORDER_POLL, .wait_ms = 1000, .stored_end_number = 57
  };
  b = order_batch_encode (orders, 3);
  batch = order_batch_decode (mem, b->data, b->size_bytes);
  g_assert_nonnull (batch);
  g_assert_cmpuint (batch->item_count, ==, 3);
  g_assert_true (batch->items[0].payload == batch->items[1].payload);
  g_assert_cmpuint (batch->items[0].payload->size_bytes, ==, 7);
  g_assert_null (batch->items[2].payload);
  for (i = 0; i < 3; i++)
    {
      struct runner_order got = batch->items[i];

      got.payload = orders[i].payload;
      g_assert_cmpmem (&got, sizeof got, &orders[i], sizeof orders[i]);
    }
  for (i = 0; i < b->size_bytes; i++)
    {
      uint8_t *cut = talloc_memdup (mem, b->data, i + 1);

      g_assert_null (order_batch_decode (mem, cut, i));
      talloc_free (cut);
    }
  /* A changed byte may give other orders, but is never read past its end.  */
  for (i = 0; i < b->size_bytes * 3; i++)
    {
      uint8_t *changed = talloc_memdup (mem, b->data, b->size_bytes);

      changed[i / 3] ^= i % 3 == 0 ? 0xff : i % 3 == 1 ? 0x80 : 0x01;
      talloc_free (order_batch_decode (mem, changed, b->size_bytes));
      talloc_free (changed);
    }
  blob_unref (b);
  blob_unref (orders[0].payload);
  talloc_free (mem);
}

/* Results that another entry reports keep every field.  */
static void
test_order_results (void)
{
  TALLOC_CTX *mem = talloc_new (NULL);
  struct running_task running = { .task = { .job = 5, .step = 1, .index = 2 },
                                  .run = 65,
                                  .work_percent = 100,
                                  .metric = 12,
                                  .checkpoint = "00000bb8" };
  struct ended_run ended
      = { .number = 58, .task = { .job = 6 }, .run = 2, .kind = END_FAILED };
  struct runner_result r = { .order_id = 7,
                             .token = 3,
                             .kind = ORDER_POLL,
                             .outcome = ORDER_DONE,
                             .runner = "r1",
                             .clock_ms = 482113,
                             .booted_at_ms = 9,
                             .running_count = 1,
                             .ended_count = 1,
                             .running = &running,
                             .ended = &ended };
  const struct runner_result *got;
  msgpack_sbuffer out;
  msgpack_packer p;
  struct relay_message m;
  struct blob *b;
  uint32_t i;

  msgpack_sbuffer_init (&out);
  msgpack_packer_init (&p, &out, msgpack_sbuffer_write);
  order_result_pack (&p, &r);
  b = relay_encode_results (out.data, (uint32_t)out.size, 1);
  g_assert_true (relay_decode (mem, b->data, b->size_bytes, &m));
  g_assert_cmpint (m.kind, ==, RELAY_RESULTS);
  g_assert_cmpuint (m.u.results.item_count, ==, 1);
  got = &m.u.results.items[0]->u.runner_result;
  g_assert_cmpuint (got->order_id, ==, 7);
  g_assert_cmpuint (got->token, ==, 3);
  g_assert_cmpint (got->outcome, ==, ORDER_DONE);
  g_assert_cmpuint (got->clock_ms, ==, 482113);
  g_assert_cmpuint (got->booted_at_ms, ==, 9);
  g_assert_cmpmem (got->running, sizeof running, &running, sizeof running);
  g_assert_cmpmem (got->ended, sizeof ended, &ended, sizeof ended);
  for (i = 0; i < b->size_bytes; i++)
    {
      uint8_t *cut = talloc_memdup (mem, b->data, i + 1);

      g_assert_false (relay_decode (mem, cut, i, &m));
      talloc_free (cut);
    }
  blob_unref (b);
  msgpack_sbuffer_destroy (&out);
  talloc_free (mem);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/cell_codec/records", test_records);
  g_test_add_func ("/cell_codec/failed_runs", test_failed_runs);
  g_test_add_func ("/cell_codec/job_size", test_job_size);
  g_test_add_func ("/cell_codec/claims", test_claims);
  g_test_add_func ("/cell_codec/claim_of_earlier_version",
                   test_claim_of_earlier_version);
  g_test_add_func ("/cell_codec/mutations", test_mutations);
  g_test_add_func ("/cell_codec/relay", test_relay);
  g_test_add_func ("/cell_codec/reports", test_reports);
  g_test_add_func ("/cell_codec/calls", test_calls);
  g_test_add_func ("/cell_codec/outcomes", test_outcomes);
  g_test_add_func ("/cell_codec/evacuations", test_evacuations);
  g_test_add_func ("/cell_codec/operator_records", test_operator_records);
  g_test_add_func ("/cell_codec/operator_records_ring_full",
                   test_operator_records_ring_full);
  g_test_add_func ("/cell_codec/polls", test_polls);
  g_test_add_func ("/cell_codec/order_batch", test_order_batch);
  g_test_add_func ("/cell_codec/order_results", test_order_results);
  return g_test_run ();
}
