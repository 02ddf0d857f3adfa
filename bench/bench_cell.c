/* bench_cell.c -- the owner's decisions over a day of turns, in virtual time.

   A cell of working pools and a spare one is driven as the users' queues drive
   it: each queue in its turn asks for several times its mean.  Runners, store
   and cloud answer at once or after their usual time.  Prints what was served,
   what it took in VM time, and the processor time of the decisions alone.  */

#include "core/cell/cell.h"

#include <glib.h>
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#define POOL_COUNT 5
#define SPARE_POOL 4
#define SLOT_COUNT 4096
#define CALL_US 3000  /* To a runner and back.  */
#define STORE_US 8000 /* An append.  */
#define MOVE_US (1500 * US_PER_MS)
#define UPKEEP_US (2000 * US_PER_MS)
#define TICK_US (20 * US_PER_MS)
#define DAY_S 34
#define FINISH_S 14 /* Jobs that are late go on.  */
#define LEAD_S 8
/* The queues' turns follow each other; each rises to PEAK times the queue's
   mean and falls again, as the users' days do.  */
#define FIRST_TURN_S 4.0
#define TURN_GAP_S 8.25
#define TURN_WIDTH_S 2.7
#define PEAK 5.0
#define LOW 0.05
#define CPU_MILLI 64000
#define MEMORY_MIB 131072

/* What a deployment asks of the cell.  */
struct shape
{
  const char *name;
  uint32_t pool_counts[POOL_COUNT];
  uint32_t rack_count;
  double jobs_per_s[SPARE_POOL];
  uint32_t width[SPARE_POOL];
  uint32_t step_limit[SPARE_POOL]; /* Steps of a job: 1 to this.  */
  uint32_t cpu_milli[SPARE_POOL];
  uint32_t task_ms[SPARE_POOL];
  uint32_t lasting_count; /* Tasks of each pool's serving job.  */
  uint32_t wave_count;
  uint32_t seed_count;
};

/* Sums over the days of a shape.  */
struct figures
{
  double asked;
  double in_time; /* Shares of the queues' jobs, each queue alike.  */
  double starts;
  double step_s;
  double pool_s;
  double moves;
};

static const struct shape shapes[] = {
  { "collective",
    { 9, 9, 11, 12, 8 },
    4,
    { 8.89, 1.03, 11.1, 1.26 },
    { 6, 8, 6, 8 },
    { 2, 3, 2, 3 },
    { 3500, 7700, 3500, 7700 },
    { 640, 1700, 640, 1700 },
    5,
    24,
    24 },
  { "collective-grown",
    { 62, 70, 77, 85, 56 },
    12,
    { 27.5, 4.45, 34.3, 5.43 },
    { 8, 8, 8, 8 },
    { 2, 3, 2, 3 },
    { 6200, 13000, 6200, 13000 },
    { 640, 1700, 640, 1700 },
    24,
    170,
    3 },
  { "collective-grown-scale",
    { 62, 70, 77, 85, 56 },
    12,
    { 55, 8.9, 68.6, 10.86 },
    { 8, 8, 8, 8 },
    { 2, 3, 2, 3 },
    { 6200, 13000, 6200, 13000 },
    { 640, 1700, 640, 1700 },
    24,
    170,
    3 },
};

struct run_slot
{
  struct task_id task;
  uint32_t run;
  uint64_t end_us; /* 0: free.  */
  bool lasting;
};

struct machine
{
  char name[NAME_BYTES];
  char runner[NAME_BYTES];
  uint32_t pool;
  uint32_t rack;
  uint32_t boot;
  bool up;
  uint64_t back_us;
  struct run_slot runs[200];
  struct ended_run *ended;
  uint32_t ended_count;
  uint64_t end_number;
  uint64_t hold_id;
  uint64_t hold_until_us;
};

struct job_note
{
  uint64_t sent_us;
  uint64_t objective_us;
};

struct later
{
  uint64_t at_us;
  uint64_t sequence;
  struct cell_event *event;
};

struct day
{
  const struct shape *shape;
  struct cell *cell;
  struct cell_actions actions;
  GTree *later;
  uint64_t sequence;
  uint64_t at_us;
  struct machine *machines;
  uint32_t machine_count;
  GHashTable *by_runner;
  uint64_t arrivals; /* State of the stream that jobs are drawn from.  */
  uint64_t others;
  double step_s;
  uint64_t starts;
  uint64_t next_job;
  uint64_t pool_us; /* VM time in working pools.  */
  uint64_t call_id;
  GHashTable *jobs; /* id to struct job_note.  */
  uint64_t asked[SPARE_POOL];
  uint64_t in_time[SPARE_POOL];
  uint64_t moves;
};

/* Draws from a stream of its own, so that the load stays the same whatever the
   cell decides.  */
static uint32_t
draw (uint64_t *random, uint32_t n)
{
  *random ^= *random << 13;
  *random ^= *random >> 7;
  *random ^= *random << 17;
  return (uint32_t)((*random >> 16) % n);
}

static gint
compare_later (gconstpointer a, gconstpointer b)
{
  const struct later *x = a;
  const struct later *y = b;

  if (x->at_us != y->at_us)
    return x->at_us < y->at_us ? -1 : 1;
  return x->sequence < y->sequence ? -1 : x->sequence > y->sequence;
}

static struct cell_event *
add (struct day *d, uint64_t delay_us, enum cell_event_kind kind)
{
  struct later *l = g_new0 (struct later, 1);

  l->event = talloc_zero (NULL, struct cell_event);
  l->event->kind = kind;
  l->at_us = d->at_us + delay_us;
  l->sequence = ++d->sequence;
  g_tree_insert (d->later, l, l);
  /* cppcheck-suppress memleak */
  return l->event;
}

static double
now_s (void)
{
  struct timespec t;

  clock_gettime (CLOCK_THREAD_CPUTIME_ID, &t);
  return (double)t.tv_sec + (double)t.tv_nsec / 1e9;
}

static uint64_t
clock_ms (const struct day *d)
{
  return d->at_us / US_PER_MS;
}

static void
fill_report (const struct machine *m, struct runner_report *r)
{
  text_copy (r->id, NAME_BYTES, m->runner);
  snprintf (r->pool, NAME_BYTES, "p%u", m->pool);
  text_copy (r->address, ADDRESS_BYTES, "127.0.0.1:1");
  r->booted_at_ms = 1 + m->boot;
  r->capacity.cpu_milli = CPU_MILLI;
  r->capacity.memory_mib = MEMORY_MIB;
  r->label_count = 2;
  text_copy (r->labels[0], LABEL_BYTES, "a");
  snprintf (r->labels[1], LABEL_BYTES, "r%u", m->rack);
}

static void
list_runner (struct day *d, const struct machine *m, bool removed)
{
  struct cell_event *e = add (d, STORE_US, CELL_RUNNERS);

  e->u.runners.row_count = 1;
  e->u.runners.rows = talloc_zero_array (e, struct runner_report, 1);
  fill_report (m, e->u.runners.rows);
  e->u.runners.rows[0].removed = removed;
}

static void
boot (struct day *d, struct machine *m, uint32_t pool)
{
  m->pool = pool;
  m->boot++;
  m->up = true;
  m->end_number = 0;
  m->ended_count = 0;
  m->hold_id = 0;
  memset (m->runs, 0, sizeof m->runs);
  snprintf (m->runner, NAME_BYTES, "%.20s-%u", m->name, m->boot);
  g_hash_table_insert (d->by_runner, g_strdup (m->runner), m);
}

static void
answer_hold (struct day *d, struct machine *m, uint64_t order)
{
  struct cell_event *e = add (d, CALL_US / 2, CELL_RUNNER_RESULT);
  struct runner_result *r = &e->u.runner_result;
  uint32_t i;

  r->order_id = order;
  r->kind = ORDER_POLL;
  r->clock_ms = clock_ms (d);
  text_copy (r->runner, NAME_BYTES, m->runner);
  r->running
      = talloc_zero_array (e, struct running_task, G_N_ELEMENTS (m->runs));
  for (i = 0; i < G_N_ELEMENTS (m->runs); i++)
    if (m->runs[i].end_us != 0)
      {
        struct running_task *x = &r->running[r->running_count++];

        x->task = m->runs[i].task;
        x->run = m->runs[i].run;
        x->pace_percent = 100;
      }
  r->ended
      = talloc_memdup (e, m->ended, (m->ended_count + 1) * sizeof *m->ended);
  r->ended_count = m->ended_count;
}

static void
end_run (struct machine *m, struct run_slot *s, enum end_kind how)
{
  struct ended_run *x;

  m->ended
      = talloc_realloc (NULL, m->ended, struct ended_run, m->ended_count + 2);
  x = &m->ended[m->ended_count++];
  memset (x, 0, sizeof *x);
  x->number = ++m->end_number;
  x->task = s->task;
  x->run = s->run;
  x->kind = how;
  s->end_us = 0;
}

static void
run_machine (struct day *d, struct machine *m)
{
  bool ended = false;
  uint32_t i;

  if (!m->up)
    {
      if (d->at_us >= m->back_us)
        {
          boot (d, m, m->pool);
          list_runner (d, m, false);
        }
      return;
    }
  for (i = 0; i < G_N_ELEMENTS (m->runs); i++)
    if (m->runs[i].end_us != 0 && !m->runs[i].lasting
        && d->at_us >= m->runs[i].end_us)
      {
        end_run (m, &m->runs[i], END_DONE);
        ended = true;
      }
  if (m->hold_id != 0 && (ended || d->at_us >= m->hold_until_us))
    {
      answer_hold (d, m, m->hold_id);
      m->hold_id = 0;
    }
}

static struct run_slot *
find_run (struct machine *m, const struct task_id *id)
{
  uint32_t i;

  for (i = 0; i < G_N_ELEMENTS (m->runs); i++)
    if (m->runs[i].end_us != 0
        && memcmp (&m->runs[i].task, id, sizeof *id) == 0)
      return &m->runs[i];
  return NULL;
}

static void
take_hold (struct day *d, struct machine *m, const struct runner_order *o)
{
  uint32_t kept = 0;
  uint32_t i;

  for (i = 0; i < m->ended_count; i++)
    if (m->ended[i].number > o->stored_end_number)
      m->ended[kept++] = m->ended[i];
  m->ended_count = kept;
  if (o->wait_ms == 0 || kept > 0)
    answer_hold (d, m, o->order_id);
  else
    {
      m->hold_id = o->order_id;
      m->hold_until_us = d->at_us + o->wait_ms * US_PER_MS;
    }
}

static void
take_start (struct day *d, struct machine *m, const struct runner_order *o)
{
  uint32_t pool = (uint32_t)(o->task.job >> 56);
  bool lasting = (o->task.job >> 48 & 0xff) != 0;
  uint32_t mean_us = d->shape->task_ms[pool] * 1000;
  uint32_t i;

  for (i = 0; i < G_N_ELEMENTS (m->runs); i++)
    if (m->runs[i].end_us == 0)
      break;
  if (i == G_N_ELEMENTS (m->runs))
    return;
  m->runs[i].task = o->task;
  m->runs[i].run = o->run;
  m->runs[i].lasting = lasting;
  m->runs[i].end_us
      = d->at_us + mean_us * 85 / 100 + draw (&d->others, mean_us * 3 / 10);
  d->starts++;
}

static void
take_order (struct day *d, const struct runner_order *o)
{
  struct machine *m = g_hash_table_lookup (d->by_runner, o->runner);
  struct cell_event *e;
  struct run_slot *s;

  blob_unref (o->payload);
  if (m == NULL || !m->up || strcmp (m->runner, o->runner) != 0)
    {
      e = add (d, 700 * US_PER_MS, CELL_RUNNER_RESULT);
      e->u.runner_result.order_id = o->order_id;
      e->u.runner_result.kind = o->kind;
      e->u.runner_result.outcome = ORDER_UNKNOWN;
      return;
    }
  if (o->kind == ORDER_POLL)
    {
      take_hold (d, m, o);
      return;
    }
  if (o->kind == ORDER_START)
    take_start (d, m, o);
  else if (o->kind == ORDER_STOP && (s = find_run (m, &o->task)) != NULL)
    end_run (m, s, END_STOPPED);
  e = add (d, CALL_US, CELL_RUNNER_RESULT);
  e->u.runner_result.order_id = o->order_id;
  e->u.runner_result.kind = o->kind;
  e->u.runner_result.clock_ms = clock_ms (d);
  text_copy (e->u.runner_result.runner, NAME_BYTES, o->runner);
}

static struct machine *
find_machine (struct day *d, const char *name)
{
  uint32_t i;

  for (i = 0; i < d->machine_count; i++)
    if (strcmp (d->machines[i].name, name) == 0)
      return &d->machines[i];
  return NULL;
}

static void
take_vm_order (struct day *d, const struct cell_action *a)
{
  struct machine *m = find_machine (d, a->u.vm_order.vm);
  struct cell_event *e = add (d, CALL_US, CELL_VM_RESULT);

  text_copy (e->u.vm_result.vm, NAME_BYTES, a->u.vm_order.vm);
  if (m == NULL || !m->up)
    {
      e->u.vm_result.outcome = ORDER_BUSY;
      return;
    }
  d->moves += a->u.vm_order.is_move;
  if (a->u.vm_order.is_move)
    m->pool = (uint32_t)atoi (a->u.vm_order.pool + 1);
  m->up = false;
  m->back_us = d->at_us + (a->u.vm_order.is_move ? MOVE_US : UPKEEP_US);
  list_runner (d, m, true);
}

static void
list_vms (struct day *d)
{
  struct cell_event *e = add (d, CALL_US, CELL_VMS);
  uint32_t i;

  e->u.vms.answered = true;
  e->u.vms.row_count = d->machine_count;
  e->u.vms.rows = talloc_zero_array (e, struct vm_row, d->machine_count);
  for (i = 0; i < d->machine_count; i++)
    {
      const struct machine *m = &d->machines[i];
      struct vm_row *r = &e->u.vms.rows[i];

      text_copy (r->vm, NAME_BYTES, m->name);
      snprintf (r->pool, NAME_BYTES, "p%u", m->pool);
      r->up = m->up;
      if (m->up && m->pool != SPARE_POOL)
        text_copy (r->runner, NAME_BYTES, m->runner);
    }
}

static void
note_end (struct day *d, const char *fields, uint64_t id)
{
  struct job_note *n = g_hash_table_lookup (d->jobs, &id);

  (void)fields;
  if (n != NULL && d->at_us <= n->objective_us)
    d->in_time[id >> 56]++;
}

static void
hand_on (struct day *d, const struct cell_action *a)
{
  struct cell_event *e;

  switch (a->kind)
    {
    case CELL_DO_JOIN:
      e = add (d, STORE_US, CELL_JOINED);
      e->u.joined.answered = e->u.joined.holds = true;
      e->u.joined.sent_at_us = d->at_us;
      break;
    case CELL_DO_FIND_HOLDER:
      e = add (d, STORE_US, CELL_HOLDER);
      e->u.holder.known = true;
      break;
    case CELL_DO_CLAIM:
      e = add (d, STORE_US, CELL_CLAIM_RESULT);
      e->u.claimed.token = 1;
      break;
    case CELL_DO_RECOVER:
      e = add (d, STORE_US, CELL_RECOVERED);
      e->u.recovered.answered = e->u.recovered.last = true;
      break;
    case CELL_DO_APPEND:
      e = add (d, STORE_US, CELL_APPENDED);
      e->u.appended.sequence = a->u.append.sequence;
      break;
    case CELL_DO_ORDER:
      take_order (d, &a->u.order);
      break;
    case CELL_DO_ORDER_VM:
      take_vm_order (d, a);
      break;
    case CELL_DO_LIST_VMS:
      list_vms (d);
      break;
    case CELL_DO_LOG:
      if (strcmp (a->u.log.event, "job_ended") == 0)
        note_end (d, a->u.log.fields, a->u.log.job);
      break;
    default:
      break;
    }
}

static void
step (struct day *d, struct cell_event *e)
{
  double begun;
  uint32_t i;

  e->now_us = d->at_us;
  e->wall_ms = clock_ms (d);
  e->random = draw (&d->others, 1u << 30);
  d->actions.item_count = 0;
  begun = now_s ();
  cell_step (d->cell, e, &d->actions);
  d->step_s += now_s () - begun;
  for (i = 0; i < d->actions.item_count; i++)
    hand_on (d, &d->actions.items[i]);
}

static void
step_due (struct day *d)
{
  struct later *l;

  while ((l = g_tree_nnodes (d->later) > 0
                  ? g_tree_node_key (g_tree_node_first (d->later))
                  : NULL)
             != NULL
         && l->at_us <= d->at_us)
    {
      struct cell_event *e = l->event;

      g_tree_remove (d->later, l);
      step (d, e);
      talloc_free (e);
      g_free (l);
    }
}

static void
configure (struct day *d)
{
  struct cell_event *e = add (d, 0, CELL_CONFIG);
  struct site_config *f = talloc_zero (e, struct site_config);
  uint32_t i;

  e->u.config = f;
  f->version = 1;
  f->queue_count = 2 * SPARE_POOL;
  f->queues = talloc_zero_array (f, struct site_queue, f->queue_count);
  f->pool_count = POOL_COUNT;
  f->pools = talloc_zero_array (f, struct site_pool, POOL_COUNT);
  for (i = 0; i < POOL_COUNT; i++)
    {
      snprintf (f->pools[i].name, NAME_BYTES, "p%u", i);
      f->pools[i].spare = i == SPARE_POOL;
    }
  for (i = 0; i < f->queue_count; i++)
    {
      struct site_queue *q = &f->queues[i];

      snprintf (q->name, NAME_BYTES, "q%u", i);
      snprintf (q->prefix, PREFIX_BYTES, "/q%u/", i);
      text_copy (q->host, HOST_BYTES, "h");
      snprintf (q->pool, NAME_BYTES, "p%u", i % SPARE_POOL);
      q->attempt_limit = 3;
      q->stretch_milli = 1600;
      q->objective_slack_ms = 600;
    }
}

static void
submit (struct day *d, uint32_t pool, bool lasting)
{
  const struct shape *s = d->shape;
  struct cell_event *e = add (d, 0, CELL_JOB_CALL);
  struct job_call *c = &e->u.job_call.call;
  uint32_t steps = lasting ? 1 : 1 + draw (&d->arrivals, s->step_limit[pool]);
  struct job_note *n = g_new0 (struct job_note, 1);
  uint64_t *id = g_new (uint64_t, 1);
  uint32_t i;

  e->u.job_call.link_id = 1;
  c->call_id = ++d->call_id;
  c->kind = CALL_SUBMIT;
  snprintf (c->queue, NAME_BYTES, "q%u", pool + (lasting ? SPARE_POOL : 0));
  c->job = (uint64_t)pool << 56 | (uint64_t)lasting << 48 | ++d->next_job;
  c->spec = job_spec_new (e);
  c->spec->id = c->job;
  c->spec->payload = blob_copy ("x", 1);
  c->spec->step_count = steps;
  c->spec->steps = talloc_zero_array (c->spec, struct job_step, steps);
  for (i = 0; i < steps; i++)
    {
      struct job_step *t = &c->spec->steps[i];

      t->task_count = lasting ? s->lasting_count
                              : s->width[pool] / 2
                                    + draw (&d->arrivals, s->width[pool] + 1);
      t->need.cpu_milli = s->cpu_milli[pool] / 2
                          + draw (&d->arrivals, s->cpu_milli[pool] + 1);
      t->need.memory_mib = t->need.cpu_milli;
      t->estimate_ms = s->task_ms[pool];
      t->long_running = lasting;
      t->per_runner_limit_count = lasting ? 1 : 0;
      t->unavailable_limit_count = lasting ? s->lasting_count / 5 : 0;
      t->after_count = i > 0;
      t->after = talloc_zero_array (c->spec, uint32_t, 1);
      if (i > 0)
        t->after[0] = i - 1;
    }
  if (lasting)
    {
      g_free (n);
      g_free (id);
      return;
    }
  *id = c->job;
  n->sent_us = d->at_us;
  n->objective_us
      = d->at_us + (uint64_t)steps * s->task_ms[pool] * 1600 + 600 * US_PER_MS;
  g_hash_table_insert (d->jobs, id, n);
  d->asked[pool]++;
}

/* Returns how many times its mean a queue asks at SECOND.  */
static double
demand (uint32_t pool, double second)
{
  double cycle_s = SPARE_POOL * TURN_GAP_S;
  double off_s
      = fmod (second - FIRST_TURN_S - pool * TURN_GAP_S + 1.5 * cycle_s,
              cycle_s)
        - cycle_s / 2;
  double x = off_s / TURN_WIDTH_S;

  return LOW + PEAK * exp (-x * x / 2);
}

static void
arrive (struct day *d)
{
  double second = (double)d->at_us / 1e6 - 1000 - LEAD_S;
  uint32_t i;

  for (i = 0; i < SPARE_POOL; i++)
    if (draw (&d->arrivals, 1000000)
        < d->shape->jobs_per_s[i] * demand (i, second) * 1e3)
      submit (d, i, false);
}

static void
ask_wave (struct day *d)
{
  struct cell_event *e = add (d, 0, CELL_WAVE);
  uint32_t i;

  e->u.wave.number = 1;
  e->u.wave.deadline_s = 26;
  e->u.wave.parallel_limit_count = d->shape->wave_count / 3;
  e->u.wave.vm_count = d->shape->wave_count;
  e->u.wave.vms
      = talloc_zero_size (e, d->shape->wave_count * sizeof *e->u.wave.vms);
  for (i = 0; i < d->shape->wave_count; i++)
    text_copy (e->u.wave.vms[i], NAME_BYTES, d->machines[2 * i].name);
}

static void
open_day (struct day *d, const struct shape *s, uint32_t seed)
{
  struct cell_settings set = { .member = "e1",
                               .relay_address = "127.0.0.1:7000",
                               .cpu_milli = 500,
                               .times = { 5000, 10000, 400, 3000, 120, 4500,
                                          4000, 6000, 250, 1500, 2000 } };
  struct cell_event *e;
  uint32_t pool = 0;
  uint32_t i;
  uint32_t k = 0;

  memset (d, 0, sizeof *d);
  d->shape = s;
  d->arrivals = d->others = 88172645463325252u + seed * 7919;
  d->at_us = 1000 * US_PER_S;
  d->later = g_tree_new (compare_later);
  d->by_runner = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  d->jobs
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, g_free);
  for (i = 0; i < POOL_COUNT; i++)
    d->machine_count += s->pool_counts[i];
  d->machines = g_new0 (struct machine, d->machine_count);
  for (i = 0; i < d->machine_count; i++, k++)
    {
      struct machine *m = &d->machines[i];

      if (k == s->pool_counts[pool])
        {
          pool++;
          k = 0;
        }
      snprintf (m->name, NAME_BYTES, "m%u", i);
      m->rack = i / s->rack_count;
      boot (d, m, pool);
    }
  d->cell = cell_new (NULL, &set);
  configure (d);
  add (d, 0, CELL_CONFIG_CONFIRMED)->u.config_sent_at_us = d->at_us;
  add (d, 0, CELL_CLAIM)->u.claim.none = true;
  e = add (d, 1000 * US_PER_MS, CELL_RUNNERS);
  e->u.runners.whole = true;
  e->u.runners.rows
      = talloc_zero_array (e, struct runner_report, d->machine_count);
  for (i = 0; i < d->machine_count; i++)
    if (d->machines[i].pool != SPARE_POOL)
      fill_report (&d->machines[i],
                   &e->u.runners.rows[e->u.runners.row_count++]);
}

static void
play (const struct shape *s, uint32_t seed, struct figures *f)
{
  struct day d;
  uint64_t begin_us;
  uint64_t ms;
  uint32_t i;

  open_day (&d, s, seed);
  begin_us = d.at_us;
  for (ms = 0; ms < (LEAD_S + DAY_S + FINISH_S) * 1000; ms++)
    {
      d.at_us = begin_us + ms * US_PER_MS;
      if (ms % 20 == 0)
        add (&d, 0, CELL_TICK);
      if (ms % 1000 == 0)
        add (&d, 0, CELL_CONFIG_CONFIRMED)->u.config_sent_at_us = d.at_us;
      if (ms == 2000)
        for (i = 0; i < SPARE_POOL; i++)
          submit (&d, i, true);
      if (ms == (LEAD_S + 2) * 1000)
        ask_wave (&d);
      if (ms >= LEAD_S * 1000 && ms < (LEAD_S + DAY_S) * 1000)
        arrive (&d);
      for (i = 0; i < d.machine_count; i++)
        {
          run_machine (&d, &d.machines[i]);
          d.pool_us += ms >= LEAD_S * 1000 && d.machines[i].up
                               && d.machines[i].pool != SPARE_POOL
                           ? US_PER_MS
                           : 0;
        }
      step_due (&d);
    }
  for (i = 0; i < SPARE_POOL; i++)
    {
      f->asked += (double)d.asked[i];
      f->in_time += (double)d.in_time[i] / (double)d.asked[i] / SPARE_POOL;
    }
  f->starts += (double)d.starts;
  f->step_s += d.step_s;
  f->pool_s += (double)d.pool_us / 1e6;
  f->moves += (double)d.moves;
  talloc_free (d.cell);
}

int
main (void)
{
  size_t i;
  uint32_t seed;

  for (i = 0; i < G_N_ELEMENTS (shapes); i++)
    {
      const struct shape *s = &shapes[i];
      struct figures f = { 0 };

      for (seed = 0; seed < s->seed_count; seed++)
        play (s, seed, &f);
      printf ("{\"bench\":\"cell\",\"shape\":\"%s\",\"jobs\":%.0f,"
              "\"in_time_percent\":%.1f,\"tasks\":%.0f,"
              "\"decide_us_a_task\":%.1f,\"vm_seconds\":%.0f,"
              "\"moves\":%.0f}\n",
              s->name, f.asked / s->seed_count,
              100.0 * f.in_time / s->seed_count, f.starts / s->seed_count,
              f.step_s * 1e6 / f.starts, f.pool_s / s->seed_count,
              f.moves / s->seed_count);
    }
  return 0;
}
