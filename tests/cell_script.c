/* cell_script.c -- runs a cell on events read from JSON lines.

   The monotonic clock and the wall clock both start at START_MS.  "at",
   "tick_until" and the time printed before each action count from there; all
   other times are absolute.  Times are milliseconds, CPU is in thousandths of
   a core, memory in MiB.  */

#include "tests/cell_script.h"

#include "adapter/job_codec.h"
#include "core/cell/cell.h"
#include "port/cell_name.h"

#include <jansson.h>
#include <stdlib.h>
#include <string.h>

#define START_MS 1000000
#define TICK_MS 20
#define ORDER_HISTORY_COUNT 4096
#define APPEND_HISTORY_COUNT 256
/** The tasks of a record are printed one by one up to this many.  */
#define PRINTED_TASK_COUNT 64

struct script
{
  TALLOC_CTX *mem;
  struct cell_settings settings;
  struct cell *cell;
  struct cell_actions actions;
  GString *out;
  gchar *directory; /**< Of the script; included files are in it too.  */
  uint64_t at_ms;
  uint64_t join_us;                          /**< Time of the last join.  */
  uint32_t order_kinds[ORDER_HISTORY_COUNT]; /**< By order id.  */
  bool included;       /**< The line is of an included file: print nothing.  */
  bool hold_vm_orders; /**< Lines answer the appends of VM orders.  */
  GHashTable *vm_orders; /**< VM to the id of its newest order.  */
  bool shows_boots; /**< Orders are printed with the boots they are for.  */
  char shown_event[NAME_BYTES]; /**< Log lines of this event are printed with
                                   their keys.  */
  uint64_t last_token;          /**< Of the newest append.  */
  uint64_t last_sequence;       /**< Of the newest append.  */
  uint64_t hidden_count; /**< Appends up to it that have VM orders only.  */
  uint64_t sequences[APPEND_HISTORY_COUNT]; /**< By the number that lines have:
                                               all but the hidden appends.  */
};

static uint64_t
get_number (const json_t *j, const char *name, uint64_t fallback)
{
  const json_t *v = json_object_get (j, name);

  return json_is_integer (v) ? (uint64_t)json_integer_value (v) : fallback;
}

static bool
get_flag (const json_t *j, const char *name)
{
  return json_is_true (json_object_get (j, name));
}

static void
get_text (const json_t *j, const char *name, char *dst, uint32_t size_bytes)
{
  const char *s = json_string_value (json_object_get (j, name));

  text_copy (dst, size_bytes, s != NULL ? s : "");
}

/* Returns the enumerator, below COUNT, whose name by NAME_OF is NAME.  */
#define ENUM_OF(name, name_of, count)                                         \
  ({                                                                          \
    const char *wanted_ = (name);                                             \
    int i_ = 0;                                                               \
                                                                              \
    while (i_ < (count) && g_strcmp0 (wanted_, name_of (i_)) != 0)            \
      i_++;                                                                   \
    if (i_ == (count))                                                        \
      g_error ("unknown name: %s", wanted_ != NULL ? wanted_ : "(none)");     \
    i_;                                                                       \
  })

static uint64_t
job_id (const char *s)
{
  uint64_t id = 0;

  g_assert_nonnull (s);
  g_assert_true (job_id_parse (s, &id));
  return id;
}

/* Returns a payload of SIZE bytes, 1 if that is NULL.  */
static struct blob *
read_payload (const json_t *size)
{
  uint32_t n = size != NULL ? (uint32_t)json_integer_value (size) : 1;
  char *text = g_strnfill (n, 'x');
  struct blob *b = blob_copy (text, n);

  g_free (text);
  return b;
}

/* Reads a job.  The row of its first step also has what is of the whole job.
 */
static struct job_spec *
read_spec (TALLOC_CTX *mem, const json_t *steps, uint64_t id)
{
  const json_t *first = json_array_get (steps, 0);
  struct job_spec *s = job_spec_new (mem);
  const json_t *row;
  size_t i;

  s->id = id;
  s->payload = read_payload (json_object_get (first, "payload_bytes"));
  s->occurrence_count = (uint32_t)get_number (first, "times", 0);
  s->first_due_ms = START_MS + get_number (first, "due", 0);
  s->interval_ms = get_number (first, "interval", 0);
  s->step_count = (uint32_t)json_array_size (steps);
  s->steps = talloc_zero_array (s, struct job_step, s->step_count + 1);
  json_array_foreach (steps, i, row)
  {
    struct job_step *t = &s->steps[i];
    const json_t *after = json_object_get (row, "after");
    size_t k;

    t->task_count = (uint32_t)get_number (row, "count", 1);
    t->need.cpu_milli = get_number (row, "cpu", 1000);
    t->need.memory_mib = get_number (row, "memory", 100);
    t->estimate_ms = (uint32_t)get_number (row, "estimate", 500);
    t->long_running = get_flag (row, "long_running");
    t->filler = get_flag (row, "filler");
    t->gang = get_flag (row, "gang");
    t->latency_target_ms = (uint32_t)get_number (row, "latency_target", 0);
    t->unavailable_limit_count
        = (uint32_t)get_number (row, "unavailable_limit", 0);
    t->per_runner_limit_count
        = (uint32_t)get_number (row, "per_runner_limit", 0);
    get_text (row, "label", t->label, LABEL_BYTES);
    get_text (row, "image", t->image, LABEL_BYTES);
    t->after_count = (uint32_t)json_array_size (after);
    t->after = talloc_zero_array (s, uint32_t, t->after_count + 1);
    for (k = 0; k < t->after_count; k++)
      t->after[k] = (uint32_t)json_integer_value (json_array_get (after, k));
  }
  return s;
}

static void
read_config (const json_t *j, struct cell_event *e)
{
  const json_t *queues = json_object_get (j, "queues");
  const json_t *pools = json_object_get (j, "pools");
  const json_t *tenants = json_object_get (j, "tenants");
  struct site_config *f = talloc_zero (e, struct site_config);
  const json_t *row;
  size_t i;

  e->kind = CELL_CONFIG;
  e->u.config = f;
  f->version = get_number (j, "version", 1);
  f->queue_count = (uint32_t)json_array_size (queues);
  f->pool_count = (uint32_t)json_array_size (pools);
  f->tenant_count = (uint32_t)json_array_size (tenants);
  f->queues = talloc_zero_array (f, struct site_queue, f->queue_count + 1);
  f->pools = talloc_zero_array (f, struct site_pool, f->pool_count + 1);
  f->tenants = talloc_zero_array (f, struct site_tenant, f->tenant_count + 1);
  json_array_foreach (queues, i, row)
  {
    struct site_queue *q = &f->queues[i];

    get_text (row, "name", q->name, NAME_BYTES);
    get_text (row, "host", q->host, HOST_BYTES);
    get_text (row, "prefix", q->prefix, PREFIX_BYTES);
    get_text (row, "pool", q->pool, NAME_BYTES);
    q->is_public = get_flag (row, "public");
    q->attempt_limit = (uint32_t)get_number (row, "attempts", 3);
    q->stretch_milli = 1600;
    q->objective_slack_ms = 600;
  }
  json_array_foreach (pools, i, row)
  {
    get_text (row, "name", f->pools[i].name, NAME_BYTES);
    f->pools[i].spare = get_flag (row, "spare");
  }
  json_array_foreach (tenants, i, row)
  {
    struct site_tenant *t = &f->tenants[i];

    get_text (row, "name", t->name, NAME_BYTES);
    t->weight = (uint32_t)get_number (row, "weight", 10);
    t->limit.cpu_milli = get_number (row, "cpu", 0);
    t->key_count = 1;
    t->keys = talloc_zero_size (f, sizeof *t->keys);
    get_text (row, "key", t->keys[0], API_KEY_BYTES);
  }
}

static void
read_call (const json_t *j, struct cell_event *e)
{
  struct client_call *c = &e->u.call;

  e->kind = CELL_CALL;
  c->call_id = get_number (j, "id", 0);
  c->kind = ENUM_OF (json_string_value (json_object_get (j, "kind")),
                     call_kind_name, CALL_MALFORMED + 1);
  get_text (j, "host", c->host, HOST_BYTES);
  get_text (j, "path", c->path, sizeof c->path);
  get_text (j, "key", c->key, API_KEY_BYTES);
  c->wait_ms = (uint32_t)get_number (j, "wait", 3000);
  if (c->kind == CALL_SUBMIT)
    c->spec = read_spec (e, json_object_get (j, "steps"), 0);
}

static void
read_job_call (const json_t *j, struct cell_event *e)
{
  struct job_call *c = &e->u.job_call.call;

  e->kind = CELL_JOB_CALL;
  e->u.job_call.link_id = get_number (j, "link", 1);
  c->call_id = get_number (j, "id", 0);
  c->kind = ENUM_OF (json_string_value (json_object_get (j, "kind")),
                     call_kind_name, CALL_MALFORMED + 1);
  get_text (j, "queue", c->queue, NAME_BYTES);
  get_text (j, "tenant", c->tenant, NAME_BYTES);
  c->age_ms = (uint32_t)get_number (j, "age", 0);
  c->unconfirmed = get_flag (j, "unconfirmed");
  get_text (j, "key", c->key, API_KEY_BYTES);
  if (c->kind != CALL_PENDING)
    c->job = job_id (json_string_value (json_object_get (j, "job")));
  if (c->kind == CALL_SUBMIT)
    c->spec = read_spec (e, json_object_get (j, "steps"), c->job);
}

static void
read_runners (const json_t *j, struct cell_event *e, bool whole)
{
  const json_t *row;
  size_t i;

  e->kind = CELL_RUNNERS;
  e->u.runners.whole = whole;
  e->u.runners.row_count = (uint32_t)json_array_size (j);
  e->u.runners.rows
      = talloc_zero_array (e, struct runner_report, json_array_size (j) + 1);
  json_array_foreach (j, i, row)
  {
    struct runner_report *r = &e->u.runners.rows[i];

    get_text (row, "id", r->id, NAME_BYTES);
    get_text (row, "pool", r->pool, NAME_BYTES);
    get_text (row, "address", r->address, ADDRESS_BYTES);
    r->removed = get_flag (row, "removed");
    r->draining = get_flag (row, "draining");
    r->booted_at_ms = get_number (row, "booted_at", 1);
    r->cold_ms = (uint32_t)get_number (row, "cold", 0);
    r->capacity.cpu_milli = get_number (row, "cpu", 8000);
    r->capacity.memory_mib = get_number (row, "memory", 16000);
    r->label_count = 2;
    text_copy (r->labels[0], LABEL_BYTES, "a");
    get_text (row, "rack", r->labels[1], LABEL_BYTES);
    get_text (row, "zone", r->zone, NAME_BYTES);
  }
}

static void
read_task (const json_t *row, size_t position, struct task_id *t,
           uint32_t *run)
{
  const char *name = json_string_value (json_array_get (row, position));
  char id[JOB_ID_BYTES];

  text_copy (id, sizeof id, name);
  t->job = job_id (id);
  g_assert_cmpint (sscanf (name + JOB_ID_BYTES, "%u.%u.%u", &t->occurrence,
                           &t->step, &t->index),
                   ==, 3);
  *run = (uint32_t)json_integer_value (json_array_get (row, position + 1));
}

static void
read_result (struct script *x, const json_t *j, struct cell_event *e)
{
  const json_t *running = json_object_get (j, "running");
  const json_t *ended = json_object_get (j, "ended");
  /* That many ends of jobs that are not known, numbered from 1.  */
  size_t filler_count = get_number (j, "unknown_ends", 0);
  struct runner_result *r = &e->u.runner_result;
  const json_t *row;
  size_t i;

  e->kind = CELL_RUNNER_RESULT;
  r->order_id = get_number (j, "order", 0);
  r->token = get_number (j, "token", 0);
  r->kind = (enum order_kind)x->order_kinds[r->order_id % ORDER_HISTORY_COUNT];
  r->outcome
      = ENUM_OF (json_object_get (j, "outcome")
                     ? json_string_value (json_object_get (j, "outcome"))
                     : "done",
                 order_outcome_name, ORDER_OUTCOME_COUNT);
  r->clock_ms = get_number (j, "clock", x->at_ms);
  r->booted_at_ms = get_number (j, "booted_at", 0);
  r->running_incomplete = get_flag (j, "incomplete");
  if (r->outcome == ORDER_UNKNOWN)
    r->clock_ms = 0;
  r->running = talloc_zero_array (e, struct running_task,
                                  json_array_size (running) + 1);
  r->ended = talloc_zero_array (e, struct ended_run,
                                json_array_size (ended) + filler_count + 1);
  json_array_foreach (running, i, row)
  {
    struct running_task *t = &r->running[r->running_count++];

    read_task (row, 0, &t->task, &t->run);
    t->work_percent = (uint32_t)json_integer_value (json_array_get (row, 2));
    t->metric = (uint32_t)json_integer_value (json_array_get (row, 3));
  }
  json_array_foreach (ended, i, row)
  {
    struct ended_run *t = &r->ended[r->ended_count++];

    t->number = (uint64_t)json_integer_value (json_array_get (row, 0));
    read_task (row, 1, &t->task, &t->run);
    t->kind = ENUM_OF (json_string_value (json_array_get (row, 3)),
                       end_kind_name, END_KIND_COUNT);
  }
  for (i = 0; i < filler_count; i++)
    {
      r->ended[r->ended_count].number = i + 1;
      r->ended[r->ended_count++].kind = END_STOPPED;
    }
}

/* Reads the demand history of pools.  The times of their surges count from the
   beginning of the script and may lie before it.  */
static void
read_pool_history (TALLOC_CTX *mem, const json_t *rows,
                   struct recovered_record *r)
{
  const json_t *row;
  size_t i;

  r->is_pool_history = true;
  r->pool_count = (uint32_t)json_array_size (rows);
  r->pools = talloc_zero_array (mem, struct pool_history, r->pool_count + 1);
  json_array_foreach (rows, i, row)
  {
    struct pool_history *h = &r->pools[i];
    const json_t *began = json_object_get (row, "began");
    const json_t *previous = json_object_get (row, "previous");

    get_text (row, "name", h->name, NAME_BYTES);
    if (began != NULL)
      h->surge_began_at_ms = (uint64_t)(START_MS + json_integer_value (began));
    if (previous != NULL)
      h->previous_surge_at_ms
          = (uint64_t)(START_MS + json_integer_value (previous));
    h->peak_vm_count = (uint32_t)get_number (row, "peak", 0);
    h->initial_vm_count = (uint32_t)get_number (row, "initial", 0);
    h->mean_need_milli = get_number (row, "mean", 0);
  }
}

/* Reads the VMs of ROW, an object of their waits by name, into R.  */
static void
read_vm_orders (struct cell_event *e, const json_t *row,
                struct recovered_record *r)
{
  json_t *waits = json_object_get (row, "vm_orders");
  const char *vm;
  json_t *wait;

  r->is_vm_orders = true;
  r->vm_orders = talloc_zero_array (e, struct vm_order_note,
                                    json_object_size (waits) + 1);
  json_object_foreach (waits, vm, wait)
  {
    struct vm_order_note *n = &r->vm_orders[r->vm_count++];

    text_copy (n->vm, NAME_BYTES, vm);
    n->wait_ms = (uint32_t)json_integer_value (wait);
  }
}

/* Reads the pools that a record of a job names: "p" if it says nothing.  */
static void
read_run_pools (const json_t *row, struct cell_event *e,
                struct recovered_record *r)
{
  const json_t *names = json_object_get (row, "run_pools");
  size_t i;

  r->run_pools = talloc_zero_size (e, (json_array_size (names) + 1)
                                          * sizeof *r->run_pools);
  r->run_pool_count = names != NULL ? (uint32_t)json_array_size (names) : 1;
  text_copy (r->run_pools[0], NAME_BYTES, "p");
  for (i = 0; i < json_array_size (names); i++)
    text_copy (r->run_pools[i], NAME_BYTES,
               json_string_value (json_array_get (names, i)));
}

/* Reads the failed runs of P, a task of MEM, from its row: their count, and
   their numbers, rising, as far as they are stored.  */
static void
read_failed_runs (TALLOC_CTX *mem, const json_t *row, struct task_progress *p)
{
  size_t i;

  p->failed_count = (uint32_t)json_integer_value (json_array_get (row, 1));
  p->failed_runs = talloc_array (mem, uint16_t, json_array_size (row) + 1);
  for (i = 2; i < json_array_size (row); i++)
    p->failed_runs[p->failed_run_count++]
        = (uint16_t)json_integer_value (json_array_get (row, i));
}

static void
read_recovered (const json_t *j, struct cell_event *e)
{
  const json_t *rows = json_object_get (j, "rows");
  const json_t *row;
  size_t i;

  e->kind = CELL_RECOVERED;
  e->u.recovered.answered = !get_flag (j, "failed");
  e->u.recovered.fenced = get_flag (j, "fenced");
  e->u.recovered.last = true;
  e->u.recovered.row_count = (uint32_t)json_array_size (rows);
  e->u.recovered.rows = talloc_zero_array (e, struct recovered_record,
                                           json_array_size (rows) + 1);
  json_array_foreach (rows, i, row)
  {
    struct recovered_record *r = &e->u.recovered.rows[i];
    const json_t *tasks = json_object_get (row, "tasks");
    size_t k;

    if (json_object_get (row, "wave") != NULL)
      {
        const json_t *done = json_object_get (row, "done");

        r->is_wave = true;
        r->wave_number = get_number (row, "wave", 0);
        r->vm_count = (uint32_t)json_array_size (done);
        r->vms_done = talloc_zero_array (e, bool, r->vm_count + 1);
        for (k = 0; k < r->vm_count; k++)
          r->vms_done[k] = json_is_true (json_array_get (done, k));
        continue;
      }
    if (json_object_get (row, "vm_orders") != NULL)
      {
        read_vm_orders (e, row, r);
        continue;
      }
    if (json_object_get (row, "pools") != NULL)
      {
        read_pool_history (e, json_object_get (row, "pools"), r);
        continue;
      }
    r->job = job_id (json_string_value (json_object_get (row, "job")));
    r->is_job = json_object_get (row, "steps") != NULL;
    if (r->is_job)
      r->spec = read_spec (e, json_object_get (row, "steps"), r->job);
    get_text (row, "queue", r->queue, NAME_BYTES);
    get_text (row, "tenant", r->tenant, NAME_BYTES);
    read_run_pools (row, e, r);
    r->has_terms = json_object_get (row, "terms") != NULL;
    r->terms.attempt_limit
        = (uint32_t)get_number (json_object_get (row, "terms"), "attempts", 0);
    r->terms.stretch_milli = 1600;
    r->terms.objective_slack_ms = 600;
    r->accepted_at_ms = get_number (row, "accepted", START_MS);
    r->final = get_flag (row, "final");
    r->state = r->final ? JOB_COMPLETED : JOB_QUEUED;
    r->is_segment = get_flag (row, "segment");
    r->first_task = get_number (row, "first_task", 0);
    r->task_count = (uint32_t)json_array_size (tasks);
    r->tasks = talloc_zero_array (e, struct task_progress, r->task_count + 1);
    for (k = 0; k < r->task_count; k++)
      {
        const json_t *t = json_array_get (tasks, k);

        r->tasks[k].done = json_is_true (json_array_get (t, 0));
        read_failed_runs (r->tasks, t, &r->tasks[k]);
      }
  }
}

static void
read_wave (const json_t *j, struct cell_event *e)
{
  const json_t *vms = json_object_get (j, "vms");
  struct site_wave *w = &e->u.wave;
  size_t i;

  e->kind = CELL_WAVE;
  w->number = get_number (j, "number", 1);
  w->deadline_s = (uint32_t)get_number (j, "deadline_s", 30);
  w->parallel_limit_count = (uint32_t)get_number (j, "parallel_limit", 1);
  w->vms = talloc_zero_size (e, (json_array_size (vms) + 1) * sizeof *w->vms);
  for (i = 0; i < json_array_size (vms); i++)
    text_copy (w->vms[w->vm_count++], NAME_BYTES,
               json_string_value (json_array_get (vms, i)));
}

static void
read_evacuations (const json_t *j, struct cell_event *e)
{
  size_t i;

  e->kind = CELL_EVACUATIONS;
  e->u.evacuations.zones = talloc_zero_size (
      e, (json_array_size (j) + 1) * sizeof *e->u.evacuations.zones);
  for (i = 0; i < json_array_size (j); i++)
    text_copy (e->u.evacuations.zones[e->u.evacuations.zone_count++],
               NAME_BYTES, json_string_value (json_array_get (j, i)));
}

static void
read_vms (const json_t *j, struct cell_event *e)
{
  const json_t *row;
  size_t i;

  e->kind = CELL_VMS;
  e->u.vms.answered = true;
  e->u.vms.row_count = (uint32_t)json_array_size (j);
  e->u.vms.rows
      = talloc_zero_array (e, struct vm_row, json_array_size (j) + 1);
  json_array_foreach (j, i, row)
  {
    struct vm_row *v = &e->u.vms.rows[i];

    get_text (row, "vm", v->vm, NAME_BYTES);
    get_text (row, "pool", v->pool, NAME_BYTES);
    get_text (row, "runner", v->runner, NAME_BYTES);
    get_text (row, "zone", v->zone, NAME_BYTES);
    v->up = !get_flag (row, "down");
  }
}

/* Reads the former owners of a claim: all are known unless "former_unknown" is
   set.  */
static void
read_former (const json_t *j, struct former_owners *f)
{
  const json_t *names = json_object_get (j, "former");
  const json_t *name;
  size_t i;

  f->known = !get_flag (j, "former_unknown");
  json_array_foreach (names, i, name)
      text_copy (f->names[f->count++], NAME_BYTES, json_string_value (name));
}

static void
read_claim (const json_t *j, struct cell_event *e)
{
  e->kind = CELL_CLAIM;
  e->u.claim.none = get_flag (j, "none");
  e->u.claim.token = get_number (j, "token", 0);
  e->u.claim.next_offset = get_number (j, "next_offset", e->u.claim.token);
  e->u.claim.terms.released = get_flag (j, "released");
  e->u.claim.terms.best_cpu_milli = (uint32_t)get_number (j, "best_cpu", 0);
  e->u.claim.terms.slow_yield_at_ms = get_number (j, "slow_yield_at", 0);
  e->u.claim.terms.unconfirmed_ms
      = (uint32_t)get_number (j, "unconfirmed_ms", 0);
  e->u.claim.terms.stopped_age_ms = get_number (j, "stopped_age", 0);
  e->u.claim.terms.vm_orders_recorded = get_flag (j, "vm_orders_recorded");
  e->u.claim.terms.no_successor = get_flag (j, "no_successor");
  read_former (j, &e->u.claim.terms.former);
  get_text (j, "member", e->u.claim.member, NAME_BYTES);
  get_text (j, "address", e->u.claim.address, ADDRESS_BYTES);
}

static void
read_holder (const json_t *j, struct cell_event *e)
{
  e->kind = CELL_HOLDER;
  e->u.holder.known = json_is_string (j);
  text_copy (e->u.holder.member, NAME_BYTES,
             json_is_string (j) ? json_string_value (j) : "");
}

static uint64_t
last_vm_order (const struct script *x, const char *vm)
{
  return GPOINTER_TO_UINT (g_hash_table_lookup (x->vm_orders, vm));
}

/* Reads the states in ROWS, an object of them by job.  */
static void
read_states (const json_t *j, json_t *rows, struct cell_event *e)
{
  struct job_report *items
      = talloc_zero_array (e, struct job_report, json_object_size (rows) + 1);
  const char *id;
  json_t *state;

  e->kind = CELL_STATES;
  e->u.states.token = get_number (j, "token", 0);
  e->u.states.items = items;
  json_object_foreach (rows, id, state)
  {
    items[e->u.states.item_count].job = job_id (id);
    items[e->u.states.item_count++].state
        = ENUM_OF (json_string_value (state), job_state_name, JOB_STATE_COUNT);
  }
}

/* Reads the event of the line J; returns false if it holds none.  */
static bool
read_event (struct script *x, const json_t *j, struct cell_event *e)
{
  json_t *v;

  if ((v = json_object_get (j, "tick")) != NULL)
    e->kind = CELL_TICK;
  else if ((v = json_object_get (j, "stop")) != NULL)
    e->kind = CELL_STOP;
  else if ((v = json_object_get (j, "config")) != NULL)
    read_config (v, e);
  else if ((v = json_object_get (j, "config_confirmed")) != NULL)
    {
      e->kind = CELL_CONFIG_CONFIRMED;
      e->u.config_sent_at_us = (uint64_t)json_integer_value (v) * US_PER_MS;
    }
  else if ((v = json_object_get (j, "claim")) != NULL)
    read_claim (v, e);
  else if ((v = json_object_get (j, "holder")) != NULL)
    read_holder (v, e);
  else if ((v = json_object_get (j, "joined")) != NULL)
    {
      e->kind = CELL_JOINED;
      e->u.joined.answered = !get_flag (v, "failed");
      e->u.joined.holds = get_flag (v, "holds");
      e->u.joined.sent_at_us = x->join_us;
    }
  else if ((v = json_object_get (j, "claimed")) != NULL)
    {
      e->kind = CELL_CLAIM_RESULT;
      e->u.claimed.outcome
          = ENUM_OF (json_string_value (json_object_get (v, "outcome")),
                     append_outcome_name, APPEND_UNKNOWN + 1);
      e->u.claimed.token = get_number (v, "token", 0);
    }
  else if ((v = json_object_get (j, "appended")) != NULL)
    {
      e->kind = CELL_APPENDED;
      e->u.appended.token = get_number (v, "token", x->last_token);
      e->u.appended.sequence
          = x->sequences[get_number (v, "sequence", 0) % APPEND_HISTORY_COUNT];
      e->u.appended.outcome
          = ENUM_OF (json_string_value (json_object_get (v, "outcome")),
                     append_outcome_name, APPEND_UNKNOWN + 1);
    }
  else if ((v = json_object_get (j, "recovered")) != NULL)
    read_recovered (v, e);
  else if ((v = json_object_get (j, "runners")) != NULL)
    read_runners (v, e, get_flag (j, "whole"));
  else if ((v = json_object_get (j, "call")) != NULL)
    read_call (v, e);
  else if ((v = json_object_get (j, "job_call")) != NULL)
    read_job_call (v, e);
  else if ((v = json_object_get (j, "result")) != NULL)
    read_result (x, v, e);
  else if ((v = json_object_get (j, "wave")) != NULL)
    read_wave (v, e);
  else if ((v = json_object_get (j, "evacuations")) != NULL)
    read_evacuations (v, e);
  else if ((v = json_object_get (j, "vms")) != NULL)
    read_vms (v, e);
  else if ((v = json_object_get (j, "vm_result")) != NULL)
    {
      e->kind = CELL_VM_RESULT;
      get_text (v, "vm", e->u.vm_result.vm, NAME_BYTES);
      e->u.vm_result.order_id
          = get_number (v, "order", last_vm_order (x, e->u.vm_result.vm));
      e->u.vm_result.outcome
          = ENUM_OF (json_string_value (json_object_get (v, "outcome")),
                     order_outcome_name, ORDER_OUTCOME_COUNT);
    }
  else if ((v = json_object_get (j, "reply")) != NULL)
    {
      e->kind = CELL_REPLY;
      e->u.reply.call_id = get_number (v, "id", 0);
      e->u.reply.code
          = ENUM_OF (json_string_value (json_object_get (v, "code")),
                     reply_code_name, REPLY_CODE_COUNT);
    }
  else if ((v = json_object_get (j, "owner_link")) != NULL)
    {
      e->kind = CELL_OWNER_LINK;
      e->u.owner_link.up = json_is_true (v);
      e->u.owner_link.degraded = get_flag (j, "degraded");
      e->u.owner_link.best_cpu_milli = (uint32_t)get_number (j, "best_cpu", 0);
      e->u.owner_link.entry_count = (uint32_t)get_number (j, "entries", 0);
      if (get_flag (j, "store_away"))
        e->u.owner_link.view = STORE_VIEW_AWAY;
      if (get_flag (j, "store_reached"))
        e->u.owner_link.view = STORE_VIEW_REACHED;
    }
  else if ((v = json_object_get (j, "peer")) != NULL)
    {
      e->kind = CELL_PEER;
      e->u.peer.link_id = get_number (v, "link", 1);
      e->u.peer.up = !get_flag (v, "down");
      e->u.peer.eligible = !get_flag (v, "ineligible");
      e->u.peer.cpu_milli = (uint32_t)get_number (v, "cpu", 250);
      get_text (v, "zone", e->u.peer.zone, NAME_BYTES);
      get_text (v, "member", e->u.peer.member, NAME_BYTES);
      e->u.peer.followed_token = get_number (v, "follows", 0);
      e->u.peer.takes_states = get_flag (v, "takes_states");
      e->u.peer.entry_count = (uint32_t)get_number (v, "entries", 0);
    }
  else if ((v = json_object_get (j, "states")) != NULL)
    read_states (j, v, e);
  else
    return false;
  return true;
}

static void
print_task (GString *out, const struct runner_order *o)
{
  if (o->kind != ORDER_POLL)
    g_string_append_printf (
        out, " %016llx.%u.%u.%u run %u", (unsigned long long)o->task.job,
        o->task.occurrence, o->task.step, o->task.index, o->run);
}

static void
print_reply (GString *out, const struct reply *r)
{
  g_string_append_printf (out, " call %llu %s", (unsigned long long)r->call_id,
                          reply_code_name (r->code));
  if (r->code == REPLY_OK && r->kind == CALL_STATE)
    g_string_append_printf (out, " %s", job_state_name (r->state));
  if (r->code == REPLY_OK && r->kind == CALL_PENDING)
    g_string_append_printf (out, " %u", r->pending_count);
  if (r->retry_after_ms > 0)
    g_string_append_printf (out, " with Retry-After %u ms", r->retry_after_ms);
}

static int
compare_reports (const void *a, const void *b)
{
  uint64_t x = ((const struct job_report *)a)->job;
  uint64_t y = ((const struct job_report *)b)->job;

  return x < y ? -1 : x > y;
}

/* Prints the states that A tells, sorted by job.  */
static void
print_states (GString *out, const struct cell_action *a)
{
  struct job_report *rows = g_new0 (struct job_report, a->u.states.item_count);
  uint32_t i;

  for (i = 0; i < a->u.states.item_count; i++)
    rows[i] = a->u.states.items[i];
  qsort (rows, a->u.states.item_count, sizeof *rows, compare_reports);
  g_string_append_printf (out, "tell_states link %llu token %llu",
                          (unsigned long long)a->u.states.link_id,
                          (unsigned long long)a->u.states.token);
  for (i = 0; i < a->u.states.item_count; i++)
    g_string_append_printf (out, " %016llx=%s",
                            (unsigned long long)rows[i].job,
                            job_state_name (rows[i].state));
  g_free (rows);
}

static int
compare_notes (const void *a, const void *b)
{
  return strcmp (((const struct vm_order_note *)a)->vm,
                 ((const struct vm_order_note *)b)->vm);
}

/* Prints the VMs in the record W, sorted, with their waits.  */
static void
print_vm_orders (GString *out, const struct append_record *w)
{
  uint32_t i;

  qsort (w->vm_orders, w->vm_count, sizeof *w->vm_orders, compare_notes);
  for (i = 0; i < w->vm_count; i++)
    g_string_append_printf (out, " %s=%u", w->vm_orders[i].vm,
                            w->vm_orders[i].wait_ms);
}

/* Returns true if A, an append, has VM orders only.  It is not counted in the
   numbers of appends.  */
static bool
is_hidden_append (const struct cell_action *a)
{
  return a->u.append.item_count == 1
         && a->u.append.items[0].kind == APPEND_RECORD_VM_ORDERS;
}

/* Returns true if A, an append, has VM orders and no records of jobs.  */
static bool
is_answered_at_once (const struct script *x, const struct cell_action *a)
{
  bool found = false;
  uint32_t i;

  for (i = 0; i < a->u.append.item_count; i++)
    {
      if (append_record_is_of_job (a->u.append.items[i].kind))
        return false;
      found = found || a->u.append.items[i].kind == APPEND_RECORD_VM_ORDERS;
    }
  return found && !x->hold_vm_orders;
}

/* Notes the append A.  */
static void
count_append (struct script *x, const struct cell_action *a)
{
  if (a->u.append.sequence == x->last_sequence)
    return; /* Sent again.  */
  if (a->u.append.sequence < x->last_sequence)
    x->hidden_count = 0; /* Of a new ownership.  */
  x->last_sequence = a->u.append.sequence;
  if (!x->hold_vm_orders && is_hidden_append (a))
    x->hidden_count++;
  else
    x->sequences[(x->last_sequence - x->hidden_count) % APPEND_HISTORY_COUNT]
        = x->last_sequence;
}

/* Prints the tasks of W: each one, or how many there are and are done.  */
static void
print_progress (GString *out, const struct append_record *w)
{
  uint32_t done_count = 0;
  uint32_t k;

  if (w->first_task > 0)
    g_string_append_printf (out, " from %llu",
                            (unsigned long long)w->first_task);
  for (k = 0; k < w->task_count; k++)
    done_count += w->tasks[k].done;
  if (w->task_count > PRINTED_TASK_COUNT)
    {
      g_string_append_printf (out, " %u of %u done", done_count,
                              w->task_count);
      return;
    }
  for (k = 0; k < w->task_count; k++)
    {
      const struct task_progress *t = &w->tasks[k];
      uint32_t i;

      g_string_append_printf (out, " %s%u", t->done ? "+" : "-",
                              t->failed_count);
      /* The numbers, if there are more than of a long-running task.  */
      for (i = 0;
           t->failed_run_count > FAILED_RUN_COUNT && i < t->failed_run_count;
           i++)
        g_string_append_printf (out, "%s%u", i == 0 ? ":" : ",",
                                t->failed_runs[i]);
    }
}

/* Prints which records of A are larger than the store of the first sites
   takes, and whether all together are.  */
static void
print_excess (GString *out, const struct cell_action *a)
{
  msgpack_sbuffer all;
  uint32_t i;

  msgpack_sbuffer_init (&all);
  for (i = 0; i < a->u.append.item_count; i++)
    {
      size_t begin = all.size;

      append_records_pack (&all, &a->u.append.items[i], 1);
      if (all.size - begin > DEFAULT_RECORD_LIMIT_BYTES)
        g_string_append_printf (out, "; record %u TOO LARGE", i);
    }
  if (all.size > DEFAULT_APPEND_LIMIT_BYTES)
    g_string_append (out, "; append TOO LARGE");
  msgpack_sbuffer_destroy (&all);
}

static void
print_append (struct script *x, const struct cell_action *a)
{
  GString *out = x->out;
  static const char *const kinds[]
      = { "job",           "progress",     "drop_job",
          "drop_progress", "segment",      "drop_segment",
          "wave",          "pool_history", "vm_orders" };
  uint32_t i;
  uint32_t k;

  count_append (x, a);
  if (x->hold_vm_orders || !is_hidden_append (a))
    g_string_append_printf (
        out, " token %llu sequence %llu",
        (unsigned long long)a->u.append.token,
        (unsigned long long)(a->u.append.sequence - x->hidden_count));
  for (i = 0; i < a->u.append.item_count; i++)
    {
      const struct append_record *w = &a->u.append.items[i];

      g_string_append_printf (out, "; %s", kinds[w->kind]);
      if (append_record_is_of_job (w->kind))
        g_string_append_printf (out, " %016llx", (unsigned long long)w->job);
      /* The first pool, in which the job was accepted, is left out.  */
      for (k = 1; k < w->run_pool_count; k++)
        g_string_append_printf (out, " pool %s", w->run_pools[k]);
      if (w->kind == APPEND_RECORD_PROGRESS && w->final)
        g_string_append_printf (out, " %s", job_state_name (w->state));
      if (w->kind == APPEND_RECORD_DROP_SEGMENT)
        g_string_append_printf (out, " at %llu",
                                (unsigned long long)w->first_task);
      if (w->kind == APPEND_RECORD_PROGRESS
          || w->kind == APPEND_RECORD_SEGMENT)
        print_progress (out, w);
      for (k = 0; w->kind == APPEND_RECORD_WAVE && k < w->vm_count; k++)
        g_string_append (out, w->vms_done[k] ? " +" : " -");
      if (w->kind == APPEND_RECORD_VM_ORDERS)
        print_vm_orders (out, w);
    }
  print_excess (out, a);
}

static void
print_order (struct script *x, const struct runner_order *o)
{
  x->order_kinds[o->order_id % ORDER_HISTORY_COUNT] = o->kind;
  g_string_append_printf (x->out, "order %llu: %s on %s token %llu",
                          (unsigned long long)o->order_id,
                          order_kind_name (o->kind), o->runner,
                          (unsigned long long)o->token);
  print_task (x->out, o);
  if (o->link_id > 0)
    g_string_append_printf (x->out, " by link %llu",
                            (unsigned long long)o->link_id);
  if (x->shows_boots && o->booted_at_ms > 0)
    g_string_append_printf (x->out, " boot %llu",
                            (unsigned long long)o->booted_at_ms);
  if (o->lease_until_ms > 0)
    g_string_append_printf (x->out, " until %llu",
                            (unsigned long long)o->lease_until_ms);
  if (o->wait_ms > 0)
    g_string_append_printf (x->out, " wait %u", o->wait_ms);
  if (o->stored_end_number > 0)
    g_string_append_printf (x->out, " stored %llu",
                            (unsigned long long)o->stored_end_number);
  if (o->kind == ORDER_PACE)
    g_string_append_printf (x->out, " percent %u", o->pace_percent);
}

/* Prints an action.  Of a log line only the event and the job are printed.  */
static void
print_claim (struct script *x, const struct cell_action *a)
{
  const struct claim_terms *t = &a->u.claim.terms;
  uint32_t i;

  g_string_append_printf (x->out, "claim at %llu",
                          (unsigned long long)a->u.claim.at_offset);
  if (t->released)
    g_string_append (x->out, " released");
  if (!t->vm_orders_recorded)
    g_string_append (x->out, " vm_orders_unknown");
  if (t->no_successor)
    g_string_append (x->out, " no_successor");
  if (t->stopped_age_ms > 0)
    g_string_append_printf (x->out, " stopped_age %llu",
                            (unsigned long long)t->stopped_age_ms);
  if (t->unconfirmed_ms > 0)
    g_string_append_printf (x->out, " unconfirmed %u", t->unconfirmed_ms);
  for (i = 0; i < t->former.count; i++)
    g_string_append_printf (x->out, " former %s", t->former.names[i]);
}

static void
print_action (struct script *x, const struct cell_action *a)
{
  GString *out = x->out;

  g_string_append_printf (out, "  %llu ",
                          (unsigned long long)(x->at_ms - START_MS));
  switch (a->kind)
    {
    case CELL_DO_REPLY:
      g_string_append (out, "reply");
      print_reply (out, &a->u.reply);
      break;
    case CELL_DO_PEER_REPLY:
      g_string_append_printf (out, "peer_reply link %llu",
                              (unsigned long long)a->u.peer_reply.link_id);
      print_reply (out, &a->u.peer_reply.reply);
      break;
    case CELL_DO_FORWARD:
      g_string_append_printf (out, "forward call %llu %s",
                              (unsigned long long)a->u.forward.call_id,
                              call_kind_name (a->u.forward.kind));
      if (a->u.forward.spec != NULL)
        g_string_append_printf (out, " of %u steps",
                                a->u.forward.spec->step_count);
      break;
    case CELL_DO_CONNECT:
      g_string_append_printf (out, "connect \"%s\"", a->u.connect);
      break;
    case CELL_DO_SET_HEARTBEAT:
      g_string_append_printf (out, "heartbeat %s",
                              a->u.heartbeat.degraded ? "degraded"
                                                      : "healthy");
      if (a->u.heartbeat.followed_token != 0)
        g_string_append_printf (
            out, " follows %llu",
            (unsigned long long)a->u.heartbeat.followed_token);
      if (a->u.heartbeat.entry_count != 0)
        g_string_append_printf (out, " of %u entries",
                                a->u.heartbeat.entry_count);
      if (a->u.heartbeat.view == STORE_VIEW_REACHED)
        g_string_append (out, " store reached");
      if (a->u.heartbeat.view == STORE_VIEW_AWAY)
        g_string_append (out, " store away");
      break;
    case CELL_DO_TELL_STATES:
      print_states (out, a);
      break;
    case CELL_DO_JOIN:
      x->join_us = x->at_ms * US_PER_MS;
      g_string_append (out, "join");
      break;
    case CELL_DO_LEAVE:
      g_string_append (out, "leave");
      break;
    case CELL_DO_FIND_HOLDER:
      g_string_append (out, "find_holder");
      break;
    case CELL_DO_CLAIM:
      print_claim (x, a);
      break;
    case CELL_DO_RECOVER:
      g_string_append_printf (out, "recover token %llu",
                              (unsigned long long)a->u.token);
      break;
    case CELL_DO_APPEND:
      g_string_append (out, "append");
      print_append (x, a);
      break;
    case CELL_DO_FOLLOW_RUNNERS:
      g_string_append_printf (out, "follow_runners %s",
                              a->u.follow_runners ? "on" : "off");
      break;
    case CELL_DO_ORDER:
      print_order (x, &a->u.order);
      break;
    case CELL_DO_LIST_VMS:
      g_string_append (out, "list_vms");
      break;
    case CELL_DO_ORDER_VM:
      g_hash_table_insert (x->vm_orders, g_strdup (a->u.vm_order.vm),
                           GUINT_TO_POINTER ((guint)a->u.vm_order.order_id));
      g_string_append_printf (out, "%s %s to \"%s\" wave %llu token %llu",
                              a->u.vm_order.is_move ? "move" : "maintenance",
                              a->u.vm_order.vm, a->u.vm_order.pool,
                              (unsigned long long)a->u.vm_order.wave,
                              (unsigned long long)a->u.vm_order.token);
      break;
    case CELL_DO_LOG:
      g_string_append_printf (out, "log %s", a->u.log.event);
      if (a->u.log.job != 0)
        g_string_append_printf (out, " %016llx",
                                (unsigned long long)a->u.log.job);
      if (strcmp (a->u.log.event, x->shown_event) == 0)
        g_string_append_printf (out, " %s", a->u.log.fields);
      break;
    case CELL_DO_WAVE_STATE:
      g_string_append_printf (
          out, "wave %llu %s", (unsigned long long)a->u.wave_state.number,
          a->u.wave_state.completed ? "completed" : "running");
      break;
    case CELL_DO_READY:
      g_string_append_printf (out, "ready %s", a->u.ready ? "yes" : "no");
      break;
    case CELL_DO_EXIT:
      g_string_append (out, "exit");
      break;
    case CELL_ACTION_KIND_COUNT:
      break;
    }
  g_string_append_c (out, '\n');
}

static void
step_cell (struct script *x, struct cell_event *e)
{
  gsize length = x->out->len;
  uint64_t stored_sequence = 0;
  uint32_t i;

  e->now_us = x->at_ms * US_PER_MS;
  e->wall_ms = x->at_ms;
  e->random = 7;
  x->actions.item_count = 0;
  cell_step (x->cell, e, &x->actions);
  for (i = 0; i < x->actions.item_count; i++)
    {
      print_action (x, &x->actions.items[i]);
      if (x->actions.items[i].kind == CELL_DO_ORDER)
        blob_unref (x->actions.items[i].u.order.payload);
      if (x->actions.items[i].kind == CELL_DO_APPEND)
        x->last_token = x->actions.items[i].u.append.token;
      if (x->actions.items[i].kind == CELL_DO_APPEND
          && is_answered_at_once (x, &x->actions.items[i]))
        stored_sequence = x->actions.items[i].u.append.sequence;
    }
  if (stored_sequence > 0)
    {
      struct cell_event stored = { .kind = CELL_APPENDED };

      stored.u.appended.token = x->last_token;
      stored.u.appended.sequence = stored_sequence;
      stored.u.appended.outcome = APPEND_STORED;
      step_cell (x, &stored);
    }
  if (x->included)
    g_string_truncate (x->out, length);
}

/* Answers the starts among the orders of J, from "first" to "last", with
   "done"; their actions are not printed but counted.  */
static void
answer_starts (struct script *x, const json_t *j)
{
  uint64_t id = get_number (j, "first", 1);
  uint64_t last = get_number (j, "last", 0);
  gsize length = x->out->len;
  uint32_t action_count = 0;

  for (; id <= last; id++)
    {
      struct cell_event e = { .kind = CELL_RUNNER_RESULT };

      if (x->order_kinds[id % ORDER_HISTORY_COUNT] != ORDER_START)
        continue;
      e.u.runner_result.order_id = id;
      e.u.runner_result.kind = ORDER_START;
      e.u.runner_result.clock_ms = x->at_ms;
      step_cell (x, &e);
      action_count += x->actions.item_count;
    }
  g_string_truncate (x->out, length);
  g_string_append_printf (x->out, "  %llu %u actions\n",
                          (unsigned long long)(x->at_ms - START_MS),
                          action_count);
}

/* Prints those of BUCKETS that are not empty, each by its upper bound.  */
static void
print_buckets (struct script *x, const uint64_t *buckets)
{
  uint32_t i;

  for (i = 0; i < CELL_BUCKET_COUNT; i++)
    if (buckets[i] > 0)
      g_string_append_printf (x->out, " <%u: %llu", 1u << i,
                              (unsigned long long)buckets[i]);
}

/* Prints the metrics of confirmations: the counter, and the buckets.  */
static void
print_confirmation_metrics (struct script *x)
{
  struct cell_metrics m;

  cell_metrics_get (x->cell, &m);
  g_string_append_printf (
      x->out, "  %llu %s %llu; waits in ms",
      (unsigned long long)(x->at_ms - START_MS),
      cell_counter_name (CELL_COUNT_CONFIRMATION_APPENDS),
      (unsigned long long)m.counters[CELL_COUNT_CONFIRMATION_APPENDS]);
  print_buckets (x, m.confirmation_ms);
  g_string_append_c (x->out, '\n');
}

/* Prints the metrics of the error of predicted ends.  */
static void
print_prediction_metrics (struct script *x)
{
  struct cell_metrics m;

  cell_metrics_get (x->cell, &m);
  g_string_append_printf (x->out, "  %llu ends in ms after prediction",
                          (unsigned long long)(x->at_ms - START_MS));
  print_buckets (x, m.end_after_predicted_ms);
  g_string_append (x->out, "; before");
  print_buckets (x, m.end_before_predicted_ms);
  g_string_append_c (x->out, '\n');
}

/* Has the cell begin anew with the setting NAME on.  */
static void
turn_on (struct script *x, const char *name)
{
  if (strcmp (name, "learn_interference") == 0)
    x->settings.learn_interference = true;
  else if (strcmp (name, "share_by_weight") == 0)
    x->settings.share_by_weight = true;
  else if (strcmp (name, "unconfirmed_states") == 0)
    x->settings.times.unconfirmed_state_s = 60;
  else
    g_error ("unknown setting: %s", name);
  talloc_free (x->cell);
  x->cell = cell_new (x->mem, &x->settings);
}

static void
print_counter (struct script *x, const json_t *name)
{
  int i = ENUM_OF (json_string_value (name), cell_counter_name,
                   CELL_COUNTER_COUNT);
  struct cell_metrics m;

  cell_metrics_get (x->cell, &m);
  g_string_append_printf (
      x->out, "  %llu %s %llu\n", (unsigned long long)(x->at_ms - START_MS),
      cell_counter_name (i), (unsigned long long)m.counters[i]);
}

static void
confirm_claims (struct script *x)
{
  struct cell_event e = { .kind = CELL_CLAIMS_CONFIRMED };

  e.u.claims_sent_at_us = x->join_us;
  step_cell (x, &e);
}

static void run_file (struct script *x, const char *file);

static void
run_line (struct script *x, const char *line)
{
  json_error_t error;
  json_t *j = json_loads (line, 0, &error);
  struct cell_event *e = talloc_zero (NULL, struct cell_event);
  const char *include;

  if (j == NULL)
    g_error ("malformed line: %s: %s", line, error.text);
  x->at_ms = START_MS + get_number (j, "at", x->at_ms - START_MS);
  include = json_string_value (json_object_get (j, "include"));
  if (!x->included)
    g_string_append_printf (x->out, "%s\n", line);
  if (include != NULL)
    {
      gchar *path = g_build_filename (x->directory, include, NULL);

      x->included = true;
      run_file (x, path);
      x->included = false;
      g_free (path);
    }
  else if (json_object_get (j, "hold_vm_orders") != NULL)
    x->hold_vm_orders = json_is_true (json_object_get (j, "hold_vm_orders"));
  else if (json_object_get (j, "show_boots") != NULL)
    x->shows_boots = true;
  else if (json_object_get (j, "show_log") != NULL)
    get_text (j, "show_log", x->shown_event, NAME_BYTES);
  else if (json_object_get (j, "turn_on") != NULL)
    turn_on (x, json_string_value (json_object_get (j, "turn_on")));
  else if (json_object_get (j, "counter") != NULL)
    print_counter (x, json_object_get (j, "counter"));
  else if (json_object_get (j, "confirmation_metrics") != NULL)
    print_confirmation_metrics (x);
  else if (json_object_get (j, "prediction_metrics") != NULL)
    print_prediction_metrics (x);
  else if (json_object_get (j, "starts_done") != NULL)
    answer_starts (x, json_object_get (j, "starts_done"));
  else if (json_object_get (j, "tick_until") != NULL)
    {
      uint64_t until_ms = START_MS + get_number (j, "tick_until", 0);

      for (; x->at_ms < until_ms; x->at_ms += TICK_MS)
        {
          struct cell_event tick = { .kind = CELL_TICK };

          step_cell (x, &tick);
        }
    }
  else if (read_event (x, j, e))
    {
      step_cell (x, e);
      /* The claims can be read while joins are answered.  */
      if (e->kind == CELL_JOINED && e->u.joined.answered
          && !get_flag (json_object_get (j, "joined"), "claims_unread"))
        confirm_claims (x);
    }
  else
    g_error ("the line holds no event: %s", line);
  talloc_free (e);
  json_decref (j);
}

static void
run_file (struct script *x, const char *file)
{
  gchar *content = NULL;
  gchar **lines;
  guint i;

  if (!g_file_get_contents (file, &content, NULL, NULL))
    g_error ("cannot read %s", file);
  lines = g_strsplit (content, "\n", -1);
  for (i = 0; lines[i] != NULL; i++)
    {
      if (lines[i][0] == '#' && !x->included)
        g_string_append_printf (x->out, "%s\n", lines[i]);
      else if (lines[i][0] != '\0' && lines[i][0] != '#')
        run_line (x, lines[i]);
    }
  g_strfreev (lines);
  g_free (content);
}

GString *
cell_script_run (const char *file)
{
  struct script x = { .at_ms = START_MS,
                      .settings = { .member = "entry-1",
                                    .relay_address = "127.0.0.1:7000",
                                    .cpu_milli = 250,
                                    .vm_order_rate_milli = 64000,
                                    .times = { .revoke_ms = 5000,
                                               .lease_max_ms = 10000,
                                               .task_stop_ms = 400,
                                               .handover_gap_ms = 3000,
                                               .status_retention_s = 120,
                                               .away_notice_ms = 4500,
                                               .over_target_limit_ms = 4000,
                                               .stop_grace_ms = 6000,
                                               .early_start_ms = 250,
                                               .move_ms = 1500,
                                               .maintenance_ms = 2000 } } };
  GString *out = g_string_new ("");

  x.mem = talloc_new (NULL);
  x.vm_orders = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  x.out = out;
  x.directory = g_path_get_dirname (file);
  x.cell = cell_new (x.mem, &x.settings);
  run_file (&x, file);
  g_free (x.directory);
  g_hash_table_destroy (x.vm_orders);
  talloc_free (x.actions.items);
  talloc_free (x.mem);
  return out;
}
