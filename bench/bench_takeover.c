/* bench_takeover.c -- the decisions of a new owner at its takeover.

   A cell with as many runners and inherited jobs as given takes over from an
   owner that was lost.  Polls are answered after a while, a part of them
   never. Prints the time from the claim to the first start of an inherited
   task and to the last answered runner, and the longest cell_step by the event
   that it applied: a step that takes long delays the join that keeps the
   ownership.

   Usage: bench_takeover [RUNNERS JOBS]  */

#include "core/cell/cell.h"

#include <glib.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#define START_US (1000 * US_PER_S)
#define END_US (START_US + 6 * US_PER_S)
#define CALL_US 4000
#define TICK_US (20 * US_PER_MS)
#define POOL_COUNT 4
#define TASK_COUNT 8
/* One runner in this many answers no poll.  */
#define SILENT_PART 50

struct scheduled_event
{
  uint64_t at_us;
  uint64_t sequence;
  struct cell_event *event;
};

struct simulation
{
  struct cell *cell;
  struct cell_actions actions;
  GTree *events; /* struct scheduled_event, by time.  */
  uint64_t sequence;
  uint64_t at_us;
  uint32_t runner_count;
  uint32_t answered_count;
  bool *answered;   /* By runner.  */
  GArray **running; /* struct running_task, by runner.  */
  uint64_t first_start_us;
  uint64_t last_answer_us;
  uint64_t start_count;
  double longest_ms[CELL_EVENT_KIND_COUNT];
  double step_s;
};

static gint
compare_scheduled (gconstpointer a, gconstpointer b)
{
  const struct scheduled_event *x = a;
  const struct scheduled_event *y = b;

  if (x->at_us != y->at_us)
    return x->at_us < y->at_us ? -1 : 1;
  return x->sequence < y->sequence ? -1 : x->sequence > y->sequence;
}

/* Returns a new event of KIND that the cell gets in DELAY_US.  */
static struct cell_event *
schedule (struct simulation *sim, uint64_t delay_us, enum cell_event_kind kind)
{
  struct scheduled_event *x = g_new0 (struct scheduled_event, 1);
  struct cell_event *e = talloc_zero (NULL, struct cell_event);

  e->kind = kind;
  x->event = e;
  x->at_us = sim->at_us + delay_us;
  x->sequence = ++sim->sequence;
  g_tree_insert (sim->events, x, x);
  /* The tree keeps X, which cppcheck does not see.  */
  /* cppcheck-suppress memleak */
  return e;
}

static void
send_config (struct simulation *sim)
{
  struct cell_event *e = schedule (sim, 0, CELL_CONFIG);
  struct site_config *f = talloc_zero (e, struct site_config);
  uint32_t i;

  e->u.config = f;
  f->version = 1;
  f->queue_count = f->pool_count = POOL_COUNT;
  f->queues = talloc_zero_array (f, struct site_queue, f->queue_count);
  f->pools = talloc_zero_array (f, struct site_pool, f->pool_count);
  for (i = 0; i < POOL_COUNT; i++)
    {
      snprintf (f->pools[i].name, NAME_BYTES, "p%u", i);
      snprintf (f->queues[i].name, NAME_BYTES, "q%u", i);
      snprintf (f->queues[i].pool, NAME_BYTES, "p%u", i);
      snprintf (f->queues[i].prefix, PREFIX_BYTES, "/q%u/", i);
      text_copy (f->queues[i].host, HOST_BYTES, "h");
      f->queues[i].attempt_limit = 3;
      f->queues[i].stretch_milli = 1600;
      f->queues[i].objective_slack_ms = 600;
    }
  schedule (sim, 0, CELL_CONFIG_CONFIRMED)->u.config_sent_at_us = sim->at_us;
}

/* Sends the records of JOB_COUNT jobs that the former owner accepted.  */
static void
send_records (struct simulation *sim, uint32_t job_count)
{
  struct cell_event *e = schedule (sim, CALL_US, CELL_RECOVERED);
  uint32_t i;

  e->u.recovered.answered = e->u.recovered.last = true;
  e->u.recovered.row_count = job_count;
  e->u.recovered.rows
      = talloc_zero_array (e, struct recovered_record, job_count);
  for (i = 0; i < job_count; i++)
    {
      struct recovered_record *r = &e->u.recovered.rows[i];

      r->is_job = true;
      r->job = i + 1;
      snprintf (r->queue, NAME_BYTES, "q%u", i % POOL_COUNT);
      r->accepted_at_ms = sim->at_us / US_PER_MS;
      r->spec = job_spec_new (e);
      r->spec->id = r->job;
      r->spec->payload = blob_copy ("x", 1);
      r->spec->step_count = 1;
      r->spec->steps = talloc_zero_array (r->spec, struct job_step, 1);
      r->spec->steps[0].task_count = TASK_COUNT;
      r->spec->steps[0].need.cpu_milli = 4000;
      r->spec->steps[0].need.memory_mib = 4000;
      r->spec->steps[0].estimate_ms = 640;
    }
}

static void
send_runners (struct simulation *sim)
{
  struct cell_event *e = schedule (sim, 2 * CALL_US, CELL_RUNNERS);
  struct cell_event *vms = schedule (sim, 3 * CALL_US, CELL_VMS);
  uint32_t n = sim->runner_count;
  uint32_t i;

  e->u.runners.whole = vms->u.vms.answered = true;
  e->u.runners.row_count = vms->u.vms.row_count = n;
  e->u.runners.rows = talloc_zero_array (e, struct runner_report, n);
  vms->u.vms.rows = talloc_zero_array (vms, struct vm_row, n);
  for (i = 0; i < n; i++)
    {
      struct runner_report *r = &e->u.runners.rows[i];
      struct vm_row *v = &vms->u.vms.rows[i];

      snprintf (r->id, NAME_BYTES, "r%u", i);
      snprintf (r->pool, NAME_BYTES, "p%u", i % POOL_COUNT);
      text_copy (r->address, ADDRESS_BYTES, "127.0.0.1:1");
      r->booted_at_ms = 1;
      r->capacity.cpu_milli = 64000;
      r->capacity.memory_mib = 131072;
      snprintf (v->vm, NAME_BYTES, "m%u", i);
      text_copy (v->pool, NAME_BYTES, r->pool);
      text_copy (v->runner, NAME_BYTES, r->id);
      v->up = true;
    }
}

static void
answer_order (struct simulation *sim, const struct runner_order *o)
{
  uint32_t i = (uint32_t)atoi (o->runner + 1);
  bool silent = i % SILENT_PART == 0;
  struct cell_event *e = schedule (
      sim, silent ? o->timeout_ms * US_PER_MS : CALL_US + o->wait_ms * 1000,
      CELL_RUNNER_RESULT);
  struct runner_result *r = &e->u.runner_result;

  blob_unref (o->payload);
  if (o->kind == ORDER_START && sim->start_count++ == 0)
    sim->first_start_us = sim->at_us;
  r->order_id = o->order_id;
  r->kind = o->kind;
  text_copy (r->runner, NAME_BYTES, o->runner);
  if (silent)
    {
      r->outcome = ORDER_UNKNOWN;
      return;
    }
  r->clock_ms = sim->at_us / US_PER_MS;
  if (o->kind == ORDER_START)
    {
      struct running_task t = { .task = o->task, .run = o->run };

      g_array_append_val (sim->running[i], t);
    }
  if (o->kind != ORDER_POLL)
    return;
  r->running_count = sim->running[i]->len;
  r->running = talloc_memdup (e, sim->running[i]->data,
                              MAX (r->running_count, 1)
                                  * sizeof (struct running_task));
  if (!sim->answered[i])
    {
      sim->answered[i] = true;
      sim->answered_count++;
      sim->last_answer_us = sim->at_us;
    }
}

static void
apply_action (struct simulation *sim, const struct cell_action *a,
              uint32_t job_count)
{
  struct cell_event *e;

  switch (a->kind)
    {
    case CELL_DO_JOIN:
      e = schedule (sim, CALL_US, CELL_JOINED);
      e->u.joined.answered = e->u.joined.holds = true;
      e->u.joined.sent_at_us = sim->at_us;
      break;
    case CELL_DO_FIND_HOLDER:
      schedule (sim, CALL_US, CELL_HOLDER)->u.holder.known = true;
      break;
    case CELL_DO_CLAIM:
      schedule (sim, CALL_US, CELL_CLAIM_RESULT)->u.claimed.token = 6;
      break;
    case CELL_DO_RECOVER:
      send_records (sim, job_count);
      send_runners (sim);
      break;
    case CELL_DO_APPEND:
      e = schedule (sim, CALL_US, CELL_APPENDED);
      e->u.appended.token = a->u.append.token;
      e->u.appended.sequence = a->u.append.sequence;
      break;
    case CELL_DO_ORDER:
      answer_order (sim, &a->u.order);
      break;
    default:
      break;
    }
}

static void
step (struct simulation *sim, struct cell_event *e, uint32_t job_count)
{
  struct timespec a;
  struct timespec b;
  double ms;
  uint32_t i;

  e->now_us = sim->at_us;
  e->wall_ms = sim->at_us / US_PER_MS;
  sim->actions.item_count = 0;
  clock_gettime (CLOCK_THREAD_CPUTIME_ID, &a);
  cell_step (sim->cell, e, &sim->actions);
  clock_gettime (CLOCK_THREAD_CPUTIME_ID, &b);
  ms = (double)(b.tv_sec - a.tv_sec) * 1e3
       + (double)(b.tv_nsec - a.tv_nsec) / 1e6;
  sim->step_s += ms / 1e3;
  sim->longest_ms[e->kind] = MAX (sim->longest_ms[e->kind], ms);
  for (i = 0; i < sim->actions.item_count; i++)
    apply_action (sim, &sim->actions.items[i], job_count);
}

static gboolean
take_first (gpointer key, gpointer value, gpointer first)
{
  (void)key;
  *(struct scheduled_event **)first = value;
  return TRUE;
}

static void
run (struct simulation *sim, uint32_t job_count)
{
  uint64_t us;

  for (us = START_US; us < END_US; us += TICK_US)
    {
      sim->at_us = us;
      schedule (sim, 0, CELL_TICK);
      for (;;)
        {
          struct scheduled_event *x = NULL;

          g_tree_foreach (sim->events, take_first, &x);
          if (x == NULL || x->at_us >= us + TICK_US)
            break;
          sim->at_us = MAX (sim->at_us, x->at_us);
          g_tree_remove (sim->events, x);
          step (sim, x->event, job_count);
          talloc_free (x->event);
          g_free (x);
        }
    }
}

int
main (int argc, char **argv)
{
  struct cell_settings settings = { .member = "e1",
                                    .relay_address = "127.0.0.1:7000",
                                    .cpu_milli = 500,
                                    .vm_order_rate_milli = 215000,
                                    .times = { .revoke_ms = 60000,
                                               .lease_max_ms = 6000,
                                               .task_stop_ms = 400,
                                               .handover_gap_ms = 3000,
                                               .status_retention_s = 120,
                                               .stop_grace_ms = 6000,
                                               .move_ms = 1500,
                                               .maintenance_ms = 2000 } };
  struct simulation sim = { .at_us = START_US };
  uint32_t job_count = argc > 2 ? (uint32_t)atoi (argv[2]) : 900;
  struct cell_event *e;
  uint32_t i;

  sim.runner_count = argc > 1 ? (uint32_t)atoi (argv[1]) : 3000;
  sim.answered = g_new0 (bool, sim.runner_count);
  sim.running = g_new (GArray *, sim.runner_count);
  for (i = 0; i < sim.runner_count; i++)
    sim.running[i]
        = g_array_sized_new (FALSE, TRUE, sizeof (struct running_task), 16);
  sim.events = g_tree_new (compare_scheduled);
  sim.cell = cell_new (NULL, &settings);
  send_config (&sim);
  e = schedule (&sim, 0, CELL_CLAIM);
  e->u.claim.token = e->u.claim.next_offset = 5;
  text_copy (e->u.claim.member, NAME_BYTES, "e2");
  text_copy (e->u.claim.address, ADDRESS_BYTES, "127.0.0.1:7001");
  run (&sim, job_count);
  printf ("{\"bench\":\"takeover\",\"runners\":%u,\"jobs\":%u,"
          "\"first_start_ms\":%llu,\"last_answer_ms\":%llu,"
          "\"answered\":%u,\"starts\":%llu,\"longest_tick_ms\":%.1f,"
          "\"longest_result_ms\":%.1f,\"longest_records_ms\":%.1f,"
          "\"longest_runners_ms\":%.1f,\"longest_vms_ms\":%.1f,"
          "\"steps_s\":%.2f}\n",
          sim.runner_count, job_count,
          (unsigned long long)(sim.first_start_us > 0
                                   ? (sim.first_start_us - START_US) / 1000
                                   : 0),
          (unsigned long long)((sim.last_answer_us - START_US) / 1000),
          sim.answered_count, (unsigned long long)sim.start_count,
          sim.longest_ms[CELL_TICK], sim.longest_ms[CELL_RUNNER_RESULT],
          sim.longest_ms[CELL_RECOVERED], sim.longest_ms[CELL_RUNNERS],
          sim.longest_ms[CELL_VMS], sim.step_s);
  talloc_free (sim.cell);
  talloc_free (sim.actions.items);
  for (i = 0; i < sim.runner_count; i++)
    g_array_free (sim.running[i], TRUE);
  g_free (sim.running);
  g_free (sim.answered);
  g_tree_destroy (sim.events);
  return 0;
}
