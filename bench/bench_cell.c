/* bench_cell.c -- the decisions of a cell's owner, in virtual time.

   Simulates the users' platform: four working pools, each with a queue, and a
   spare pool.  Each queue in turn has a peak of several times its mean demand.
   Runners, store and cloud answer after their usual times.  Prints for each
   deployment the jobs that met their objective, the VM time used, the moves of
   VMs, and the processor time of cell_step alone.

   Usage: bench_cell [NAME...]; the default is all deployments.  */

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
#define RUNNER_CALL_US 3000 /* A call and its answer.  */
#define STORE_CALL_US 8000
#define MOVE_US (1500 * US_PER_MS)
#define REBOOT_US (2000 * US_PER_MS)
#define TICK_US (20 * US_PER_MS)
#define ARRIVAL_S 34
#define DRAIN_S 14 /* After the last arrival; late jobs may end.  */
#define WARMUP_S 8 /* Before the first arrival.  */
/* Demand of the queues as in a day of the users: the peaks, bell curves of up
   to PEAK_FACTOR times the queue's mean, follow each other.  */
#define FIRST_PEAK_S 4.0
#define PEAK_GAP_S 8.25
#define PEAK_WIDTH_S 2.7 /* Standard deviation of the curve.  */
#define PEAK_FACTOR 5.0
#define BASE_FACTOR 0.05
/* Capacity of each VM.  */
#define CPU_MILLI 64000
#define MEMORY_MIB 131072

/* VMs and load of a cell.  Values of each pool's queue are means, but for
   step_limit_count.  */
struct deployment
{
  const char *name;
  uint32_t pool_vm_counts[POOL_COUNT];
  uint32_t rack_vm_count;
  double jobs_per_s[SPARE_POOL];
  uint32_t step_task_count[SPARE_POOL];
  uint32_t step_limit_count[SPARE_POOL]; /* A job has 1 to this many steps.  */
  uint32_t cpu_milli[SPARE_POOL];
  uint32_t task_ms[SPARE_POOL];
  /* Tasks of each pool's long-running job.  */
  uint32_t long_running_task_count;
  uint32_t wave_vm_count;
  uint32_t seed_count;
  /* Jobs vary: standard deviations of the logarithms of the count, the cores
     and the run time of a step's tasks, and of their estimate.  */
  bool varied;
  uint32_t lost_permille; /* Starts and polls without an answer.  */
  /* These many runners of the pool, in percent, work SLOW_FACTOR times slower
     from SLOW_BEGIN_S on for SLOW_S.  */
  uint32_t slow_percent;
  /* Jobs have two images by turns, and a task takes this many percent longer
     if a task of the other one is on its VM when it starts; 0: one image.  */
  uint32_t slowed_percent;
  bool learns; /* The setting learn_interference.  */
};

/* Spreads of varied jobs, as the users state them.  */
#define COUNT_SPREAD 0.6
#define CORES_SPREAD 0.45
#define TIME_SPREAD 0.5
#define ESTIMATE_SPREAD 0.5
#define TASK_SPREAD 0.28 /* Of the tasks of one step.  */
#define SPREAD_LIMIT 2.5 /* Nothing is more than this many times its mean. */
#define JOB_STEP_LIMIT_COUNT 8
/* Lost orders begin with the first peak.  */
#define LOST_BEGIN_S 4.0
#define LOST_S 15.0
#define SLOW_FACTOR 5
#define SLOW_BEGIN_S 4.0
#define SLOW_S 6.5
#define STOP_MS 400
/* By the users' prices.  */
#define LATE_WORTH 0.07
#define LATE_FACTOR 3
#define ATTEMPT_LIMIT_COUNT 5

/* Sums over the simulations of a deployment.  */
struct totals
{
  double job_count;
  /* Mean over the queues of the share of jobs that met their objective.  */
  double in_time_share;
  /* What the jobs were worth: one in time, LATE_WORTH late, else nothing.  */
  double worth;
  double refusal_count;
  double returned_count; /* Jobs accepted after a refusal.  */
  double start_count;
  double step_cpu_s;
  double vm_s;
  double move_count;
};

static const struct deployment deployments[] = {
  { .name = "collective",
    .pool_vm_counts = { 9, 9, 11, 12, 8 },
    .rack_vm_count = 4,
    .jobs_per_s = { 8.89, 1.03, 11.1, 1.26 },
    .step_task_count = { 6, 8, 6, 8 },
    .step_limit_count = { 2, 3, 2, 3 },
    .cpu_milli = { 3500, 7700, 3500, 7700 },
    .task_ms = { 640, 1700, 640, 1700 },
    .long_running_task_count = 5,
    .wave_vm_count = 24,
    .seed_count = 24 },
  { .name = "collective-grown",
    .pool_vm_counts = { 62, 70, 77, 85, 56 },
    .rack_vm_count = 12,
    .jobs_per_s = { 27.5, 4.45, 34.3, 5.43 },
    .step_task_count = { 8, 8, 8, 8 },
    .step_limit_count = { 2, 3, 2, 3 },
    .cpu_milli = { 6200, 13000, 6200, 13000 },
    .task_ms = { 640, 1700, 640, 1700 },
    .long_running_task_count = 24,
    .wave_vm_count = 170,
    .seed_count = 3 },
  { .name = "collective-grown-scale",
    .pool_vm_counts = { 62, 70, 77, 85, 56 },
    .rack_vm_count = 12,
    .jobs_per_s = { 55, 8.9, 68.6, 10.86 },
    .step_task_count = { 8, 8, 8, 8 },
    .step_limit_count = { 2, 3, 2, 3 },
    .cpu_milli = { 6200, 13000, 6200, 13000 },
    .task_ms = { 640, 1700, 640, 1700 },
    .long_running_task_count = 24,
    .wave_vm_count = 170,
    .seed_count = 3 },
  { .name = "collective-grown-wide",
    .pool_vm_counts = { 620, 700, 770, 850, 560 },
    .rack_vm_count = 12,
    .jobs_per_s = { 27.5, 4.45, 34.3, 5.43 },
    .step_task_count = { 8, 8, 8, 8 },
    .step_limit_count = { 2, 3, 2, 3 },
    .cpu_milli = { 6200, 13000, 6200, 13000 },
    .task_ms = { 640, 1700, 640, 1700 },
    .long_running_task_count = 24,
    .wave_vm_count = 170,
    .seed_count = 1 },
  { .name = "large",
    .pool_vm_counts = { 65, 74, 82, 90, 60 },
    .rack_vm_count = 8,
    .jobs_per_s = { 20.6, 3.99, 25.7, 4.87 },
    .step_task_count = { 8, 8, 8, 8 },
    .step_limit_count = { 2, 3, 2, 3 },
    .cpu_milli = { 9100, 20000, 9100, 20000 },
    .task_ms = { 640, 1300, 640, 1300 },
    .long_running_task_count = 24,
    .wave_vm_count = 170,
    .seed_count = 3,
    .varied = true },
  { .name = "large-learning",
    .pool_vm_counts = { 65, 74, 82, 90, 60 },
    .rack_vm_count = 8,
    .jobs_per_s = { 20.6, 3.99, 25.7, 4.87 },
    .step_task_count = { 8, 8, 8, 8 },
    .step_limit_count = { 2, 3, 2, 3 },
    .cpu_milli = { 9100, 20000, 9100, 20000 },
    .task_ms = { 640, 1300, 640, 1300 },
    .long_running_task_count = 24,
    .wave_vm_count = 170,
    .seed_count = 3,
    .varied = true,
    .learns = true },
  { .name = "large-lost",
    .pool_vm_counts = { 65, 74, 82, 90, 60 },
    .rack_vm_count = 8,
    .jobs_per_s = { 20.6, 3.99, 25.7, 4.87 },
    .step_task_count = { 8, 8, 8, 8 },
    .step_limit_count = { 2, 3, 2, 3 },
    .cpu_milli = { 9100, 20000, 9100, 20000 },
    .task_ms = { 640, 1300, 640, 1300 },
    .long_running_task_count = 24,
    .wave_vm_count = 170,
    .seed_count = 2,
    .varied = true,
    .lost_permille = 55 },
  { .name = "large-slow",
    .pool_vm_counts = { 65, 74, 82, 90, 60 },
    .rack_vm_count = 8,
    .jobs_per_s = { 20.6, 3.99, 25.7, 4.87 },
    .step_task_count = { 8, 8, 8, 8 },
    .step_limit_count = { 2, 3, 2, 3 },
    .cpu_milli = { 9100, 20000, 9100, 20000 },
    .task_ms = { 640, 1300, 640, 1300 },
    .long_running_task_count = 24,
    .wave_vm_count = 170,
    .seed_count = 2,
    .varied = true,
    .slow_percent = 16 },
  { .name = "large-overload",
    .pool_vm_counts = { 65, 74, 82, 90, 60 },
    .rack_vm_count = 8,
    .jobs_per_s = { 62, 12, 77, 14.6 },
    .step_task_count = { 8, 8, 8, 8 },
    .step_limit_count = { 2, 3, 2, 3 },
    .cpu_milli = { 9100, 20000, 9100, 20000 },
    .task_ms = { 640, 1300, 640, 1300 },
    .long_running_task_count = 24,
    .wave_vm_count = 170,
    .seed_count = 1,
    .varied = true },
  { .name = "interference",
    .pool_vm_counts = { 9, 9, 11, 12, 8 },
    .rack_vm_count = 4,
    .jobs_per_s = { 8.89, 1.03, 11.1, 1.26 },
    .step_task_count = { 6, 8, 6, 8 },
    .step_limit_count = { 2, 3, 2, 3 },
    .cpu_milli = { 3500, 7700, 3500, 7700 },
    .task_ms = { 640, 1700, 640, 1700 },
    .long_running_task_count = 5,
    .wave_vm_count = 24,
    .seed_count = 24,
    .slowed_percent = 60 },
  { .name = "interference-learning",
    .pool_vm_counts = { 9, 9, 11, 12, 8 },
    .rack_vm_count = 4,
    .jobs_per_s = { 8.89, 1.03, 11.1, 1.26 },
    .step_task_count = { 6, 8, 6, 8 },
    .step_limit_count = { 2, 3, 2, 3 },
    .cpu_milli = { 3500, 7700, 3500, 7700 },
    .task_ms = { 640, 1700, 640, 1700 },
    .long_running_task_count = 5,
    .wave_vm_count = 24,
    .seed_count = 24,
    .slowed_percent = 60,
    .learns = true },
};

struct run_slot
{
  struct task_id task;
  uint32_t run;
  uint64_t start_us;
  uint64_t end_us;  /* 0 if the slot is free.  */
  uint64_t stop_us; /* When it ends because of a stop; 0: none.  */
  bool long_running;
};

struct vm
{
  char name[NAME_BYTES];
  char runner[NAME_BYTES];
  uint32_t pool;
  uint32_t rack;
  uint32_t boot_count;
  bool up;
  uint64_t up_at_us;
  struct run_slot runs[200];
  struct ended_run *ended;
  uint32_t ended_count;
  uint64_t end_number;
  uint64_t poll_order_id;
  uint64_t poll_end_us;
};

struct job_record
{
  uint64_t submitted_at_us;
  uint64_t objective_at_us;
  uint64_t value_until_us;                /* Later it is worth nothing.  */
  uint32_t step_ms[JOB_STEP_LIMIT_COUNT]; /* Run times of its steps' tasks.  */
  struct job_spec *spec;
  uint32_t attempt_count;
};

struct scheduled_event
{
  uint64_t at_us;
  uint64_t sequence;
  struct cell_event *event;
};

struct simulation
{
  const struct deployment *deployment;
  struct cell *cell;
  struct cell_actions actions;
  GTree *events; /* struct scheduled_event, by time.  */
  uint64_t sequence;
  uint64_t at_us;
  struct vm *vms;
  uint32_t vm_count;
  GHashTable *runners;
  uint64_t arrival_random; /* Generator of the jobs' random numbers.  */
  uint64_t other_random;   /* Generator of all other random numbers.  */
  double step_cpu_s;
  uint64_t start_count;
  uint64_t next_job;
  uint64_t vm_us;   /* VM time in working pools.  */
  GHashTable *jobs; /* id to struct job_record.  */
  uint64_t job_count[SPARE_POOL];
  uint64_t in_time_count[SPARE_POOL];
  uint64_t late_count;
  uint64_t refusal_count;
  uint64_t returned_count;
  uint64_t move_count;
};

/* Returns a number below N and advances the generator RANDOM.  Jobs have a
   generator of their own, so that the load is the same whatever the cell
   decides.  */
static uint32_t
next_random (uint64_t *random, uint32_t n)
{
  *random ^= *random << 13;
  *random ^= *random >> 7;
  *random ^= *random << 17;
  return (uint32_t)((*random >> 16) % n);
}

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
  struct scheduled_event *scheduled = g_new0 (struct scheduled_event, 1);

  scheduled->event = talloc_zero (NULL, struct cell_event);
  scheduled->event->kind = kind;
  scheduled->at_us = sim->at_us + delay_us;
  scheduled->sequence = ++sim->sequence;
  g_tree_insert (sim->events, scheduled, scheduled);
  /* cppcheck-suppress memleak */
  return scheduled->event;
}

/* Returns the processor time of the thread.  */
static double
cpu_s (void)
{
  struct timespec t;

  clock_gettime (CLOCK_THREAD_CPUTIME_ID, &t);
  return (double)t.tv_sec + (double)t.tv_nsec / 1e9;
}

static uint64_t
clock_ms (const struct simulation *sim)
{
  return sim->at_us / US_PER_MS;
}

static void
fill_report (const struct vm *v, struct runner_report *r)
{
  text_copy (r->id, NAME_BYTES, v->runner);
  snprintf (r->pool, NAME_BYTES, "p%u", v->pool);
  text_copy (r->address, ADDRESS_BYTES, "127.0.0.1:1");
  r->booted_at_ms = 1 + v->boot_count;
  r->capacity.cpu_milli = CPU_MILLI;
  r->capacity.memory_mib = MEMORY_MIB;
  r->label_count = 2;
  text_copy (r->labels[0], LABEL_BYTES, "a");
  snprintf (r->labels[1], LABEL_BYTES, "r%u", v->rack);
}

/* Reports V's runner to the cell, or that it is REMOVED.  */
static void
report_runner (struct simulation *sim, const struct vm *v, bool removed)
{
  struct cell_event *e = schedule (sim, STORE_CALL_US, CELL_RUNNERS);

  e->u.runners.row_count = 1;
  e->u.runners.rows = talloc_zero_array (e, struct runner_report, 1);
  fill_report (v, e->u.runners.rows);
  e->u.runners.rows[0].removed = removed;
}

/* Starts V in POOL with a new runner and no runs.  */
static void
boot_vm (struct simulation *sim, struct vm *v, uint32_t pool)
{
  v->pool = pool;
  v->boot_count++;
  v->up = true;
  v->end_number = 0;
  v->ended_count = 0;
  v->poll_order_id = 0;
  memset (v->runs, 0, sizeof v->runs);
  snprintf (v->runner, NAME_BYTES, "%.20s-%u", v->name, v->boot_count);
  g_hash_table_insert (sim->runners, g_strdup (v->runner), v);
}

/* Returns the part of the run S that is done; 100 for a long-running one.  */
static uint32_t
work_percent (const struct simulation *sim, const struct run_slot *s)
{
  if (s->long_running || sim->at_us >= s->end_us)
    return 100;
  return (uint32_t)((sim->at_us - s->start_us) * 100
                    / (s->end_us - s->start_us));
}

static void
answer_poll (struct simulation *sim, struct vm *v, uint64_t order_id)
{
  struct cell_event *e
      = schedule (sim, RUNNER_CALL_US / 2, CELL_RUNNER_RESULT);
  struct runner_result *r = &e->u.runner_result;
  uint32_t i;

  r->order_id = order_id;
  r->kind = ORDER_POLL;
  r->clock_ms = clock_ms (sim);
  text_copy (r->runner, NAME_BYTES, v->runner);
  r->running
      = talloc_zero_array (e, struct running_task, G_N_ELEMENTS (v->runs));
  for (i = 0; i < G_N_ELEMENTS (v->runs); i++)
    if (v->runs[i].end_us != 0)
      {
        struct running_task *x = &r->running[r->running_count++];

        x->task = v->runs[i].task;
        x->run = v->runs[i].run;
        x->work_percent = work_percent (sim, &v->runs[i]);
      }
  r->ended
      = talloc_memdup (e, v->ended, (v->ended_count + 1) * sizeof *v->ended);
  r->ended_count = v->ended_count;
}

static void
end_run (struct vm *v, struct run_slot *s, enum end_kind outcome)
{
  struct ended_run *x;

  v->ended
      = talloc_realloc (NULL, v->ended, struct ended_run, v->ended_count + 2);
  x = &v->ended[v->ended_count++];
  memset (x, 0, sizeof *x);
  x->number = ++v->end_number;
  x->task = s->task;
  x->run = s->run;
  x->kind = outcome;
  s->end_us = 0;
  s->stop_us = 0;
}

/* Boots V if it is down and its time has come; otherwise ends the runs that
   are due on V and answers a waiting poll if one ended or its wait is over. */
static void
advance_vm (struct simulation *sim, struct vm *v)
{
  bool ended = false;
  uint32_t i;

  if (!v->up)
    {
      if (sim->at_us >= v->up_at_us)
        {
          boot_vm (sim, v, v->pool);
          report_runner (sim, v, false);
        }
      return;
    }
  for (i = 0; i < G_N_ELEMENTS (v->runs); i++)
    if (v->runs[i].end_us != 0 && v->runs[i].stop_us != 0
        && sim->at_us >= v->runs[i].stop_us)
      {
        end_run (v, &v->runs[i], END_STOPPED);
        ended = true;
      }
    else if (v->runs[i].end_us != 0 && !v->runs[i].long_running
             && sim->at_us >= v->runs[i].end_us)
      {
        end_run (v, &v->runs[i], END_DONE);
        ended = true;
      }
  if (v->poll_order_id != 0 && (ended || sim->at_us >= v->poll_end_us))
    {
      answer_poll (sim, v, v->poll_order_id);
      v->poll_order_id = 0;
    }
}

static struct run_slot *
find_run (struct vm *v, const struct task_id *id)
{
  uint32_t i;

  for (i = 0; i < G_N_ELEMENTS (v->runs); i++)
    if (v->runs[i].end_us != 0
        && memcmp (&v->runs[i].task, id, sizeof *id) == 0)
      return &v->runs[i];
  return NULL;
}

/* Returns a random number around MEAN whose logarithm has the standard
   deviation SPREAD.  */
static double
vary (uint64_t *random, double mean, double spread)
{
  double sum = 0;
  int i;

  /* Twelve uniform numbers add up to nearly a normal one.  */
  for (i = 0; i < 12; i++)
    sum += next_random (random, 1000000) / 1e6;
  return MIN (mean * exp (spread * (sum - 6) - spread * spread / 2),
              mean * SPREAD_LIMIT);
}

/* Returns the seconds since the first arrival.  */
static double
arrival_second (const struct simulation *sim)
{
  return (double)sim->at_us / 1e6 - 1000 - WARMUP_S;
}

/* Returns true if V works slowly now.  */
static bool
is_slow (const struct simulation *sim, const struct vm *v)
{
  double second = arrival_second (sim);

  return second >= SLOW_BEGIN_S && second < SLOW_BEGIN_S + SLOW_S
         && (uint32_t)(v - sim->vms) * 37 % 100
                < sim->deployment->slow_percent;
}

/* Returns true if the order that is being sent gets no answer.  */
static bool
is_lost (struct simulation *sim)
{
  double second = arrival_second (sim);

  return second >= LOST_BEGIN_S && second < LOST_BEGIN_S + LOST_S
         && sim->deployment->lost_permille > 0
         && next_random (&sim->other_random, 1000)
                < sim->deployment->lost_permille;
}

/* Returns true if V runs a short task of the other image than that of ID: jobs
   have their images by turns.  */
static bool
has_other_image (const struct vm *v, const struct task_id *id)
{
  uint32_t i;

  for (i = 0; i < G_N_ELEMENTS (v->runs); i++)
    if (v->runs[i].end_us != 0 && !v->runs[i].long_running
        && (v->runs[i].task.job & 1) != (id->job & 1))
      return true;
  return false;
}

/* Returns the run time of a task of ID on V.  */
static uint64_t
run_us (struct simulation *sim, const struct vm *v, const struct task_id *id)
{
  const struct job_record *n = g_hash_table_lookup (sim->jobs, &id->job);
  uint32_t pool = (uint32_t)(id->job >> 56);
  uint32_t mean_us = sim->deployment->task_ms[pool] * 1000;
  uint64_t us;

  if (sim->deployment->varied && n != NULL)
    us = (uint64_t)vary (&sim->other_random, n->step_ms[id->step] * 1000.0,
                         TASK_SPREAD);
  else
    us = mean_us * 85 / 100
         + next_random (&sim->other_random, mean_us * 3 / 10);
  if (sim->deployment->slowed_percent > 0 && has_other_image (v, id))
    us += us * sim->deployment->slowed_percent / 100;
  return is_slow (sim, v) ? us * SLOW_FACTOR : us;
}

/* Answers a poll at once if there is an end to report, else keeps it waiting.
 */
static void
handle_poll (struct simulation *sim, struct vm *v,
             const struct runner_order *o)
{
  uint32_t kept = 0;
  uint32_t i;

  for (i = 0; i < v->ended_count; i++)
    if (v->ended[i].number > o->stored_end_number)
      v->ended[kept++] = v->ended[i];
  v->ended_count = kept;
  if (o->wait_ms == 0 || kept > 0)
    answer_poll (sim, v, o->order_id);
  else
    {
      v->poll_order_id = o->order_id;
      v->poll_end_us = sim->at_us + o->wait_ms * US_PER_MS;
    }
}

static void
handle_start (struct simulation *sim, struct vm *v,
              const struct runner_order *o)
{
  bool long_running = (o->task.job >> 48 & 0xff) != 0;
  uint32_t i;

  for (i = 0; i < G_N_ELEMENTS (v->runs); i++)
    if (v->runs[i].end_us == 0)
      break;
  if (i == G_N_ELEMENTS (v->runs))
    return;
  v->runs[i].task = o->task;
  v->runs[i].run = o->run;
  v->runs[i].long_running = long_running;
  v->runs[i].start_us = sim->at_us;
  v->runs[i].end_us = sim->at_us + run_us (sim, v, &o->task);
  sim->start_count++;
}

static void
handle_order (struct simulation *sim, const struct runner_order *o)
{
  struct vm *v = g_hash_table_lookup (sim->runners, o->runner);
  struct cell_event *e;
  struct run_slot *s;

  blob_unref (o->payload);
  if (v == NULL || !v->up || strcmp (v->runner, o->runner) != 0
      || is_lost (sim))
    {
      /* The runner is gone: the call ends without an answer.  */
      e = schedule (sim, o->timeout_ms * US_PER_MS, CELL_RUNNER_RESULT);
      e->u.runner_result.order_id = o->order_id;
      e->u.runner_result.kind = o->kind;
      e->u.runner_result.outcome = ORDER_UNKNOWN;
      return;
    }
  if (o->kind == ORDER_POLL)
    {
      handle_poll (sim, v, o);
      return;
    }
  if (o->kind == ORDER_START)
    handle_start (sim, v, o);
  else if (o->kind == ORDER_STOP && (s = find_run (v, &o->task)) != NULL)
    s->stop_us = sim->at_us + STOP_MS * US_PER_MS / 2;
  e = schedule (sim, RUNNER_CALL_US, CELL_RUNNER_RESULT);
  e->u.runner_result.order_id = o->order_id;
  e->u.runner_result.kind = o->kind;
  e->u.runner_result.clock_ms = clock_ms (sim);
  text_copy (e->u.runner_result.runner, NAME_BYTES, o->runner);
}

static struct vm *
find_vm (struct simulation *sim, const char *name)
{
  uint32_t i;

  for (i = 0; i < sim->vm_count; i++)
    if (strcmp (sim->vms[i].name, name) == 0)
      return &sim->vms[i];
  return NULL;
}

static void
handle_vm_order (struct simulation *sim, const struct cell_action *a)
{
  struct vm *v = find_vm (sim, a->u.vm_order.vm);
  struct cell_event *e = schedule (sim, RUNNER_CALL_US, CELL_VM_RESULT);

  e->u.vm_result.order_id = a->u.vm_order.order_id;
  text_copy (e->u.vm_result.vm, NAME_BYTES, a->u.vm_order.vm);
  if (v == NULL || !v->up)
    {
      e->u.vm_result.outcome = ORDER_BUSY;
      return;
    }
  sim->move_count += a->u.vm_order.is_move;
  if (a->u.vm_order.is_move)
    v->pool = (uint32_t)atoi (a->u.vm_order.pool + 1);
  v->up = false;
  v->up_at_us = sim->at_us + (a->u.vm_order.is_move ? MOVE_US : REBOOT_US);
  report_runner (sim, v, true);
}

static void
list_vms (struct simulation *sim)
{
  struct cell_event *e = schedule (sim, RUNNER_CALL_US, CELL_VMS);
  uint32_t i;

  e->u.vms.answered = true;
  e->u.vms.row_count = sim->vm_count;
  e->u.vms.rows = talloc_zero_array (e, struct vm_row, sim->vm_count);
  for (i = 0; i < sim->vm_count; i++)
    {
      const struct vm *v = &sim->vms[i];
      struct vm_row *r = &e->u.vms.rows[i];

      text_copy (r->vm, NAME_BYTES, v->name);
      snprintf (r->pool, NAME_BYTES, "p%u", v->pool);
      r->up = v->up;
      if (v->up && v->pool != SPARE_POOL)
        text_copy (r->runner, NAME_BYTES, v->runner);
    }
}

/* Counts job ID if it met its objective.  */
static void
record_job_end (struct simulation *sim, const char *fields, uint64_t id)
{
  struct job_record *n = g_hash_table_lookup (sim->jobs, &id);

  (void)fields;
  if (n != NULL && sim->at_us <= n->objective_at_us)
    sim->in_time_count[id >> 56]++;
  else if (n != NULL && sim->at_us <= n->value_until_us)
    sim->late_count++;
}

/* Hands job ID in after DELAY_US, for the first time or again.  */
static void
hand_in (struct simulation *sim, uint64_t id, uint64_t delay_us)
{
  struct job_record *n = g_hash_table_lookup (sim->jobs, &id);
  struct cell_event *e = schedule (sim, delay_us, CELL_JOB_CALL);
  struct job_call *c = &e->u.job_call.call;

  n->attempt_count++;
  e->u.job_call.link_id = 1;
  c->call_id = id;
  c->kind = CALL_SUBMIT;
  c->job = id;
  snprintf (c->queue, NAME_BYTES, "q%u", (uint32_t)(id >> 56));
  c->spec = job_spec_copy (e, n->spec);
}

/* Handles the reply X: a client that is refused returns when it is told to. */
static void
handle_reply (struct simulation *sim, const struct reply *x)
{
  const struct job_record *n = g_hash_table_lookup (sim->jobs, &x->call_id);

  if (n == NULL)
    return;
  sim->returned_count += x->code == REPLY_OK && n->attempt_count > 1;
  if (x->code != REPLY_OVERLOADED)
    return;
  sim->refusal_count++;
  if (n->attempt_count < ATTEMPT_LIMIT_COUNT)
    hand_in (sim, x->call_id, x->retry_after_ms * US_PER_MS);
}

/* Carries out an action of the cell; the answer comes as an event.  */
static void
apply_action (struct simulation *sim, const struct cell_action *a)
{
  struct cell_event *e;

  switch (a->kind)
    {
    case CELL_DO_JOIN:
      e = schedule (sim, STORE_CALL_US, CELL_JOINED);
      e->u.joined.answered = e->u.joined.holds = true;
      e->u.joined.sent_at_us = sim->at_us;
      break;
    case CELL_DO_FIND_HOLDER:
      e = schedule (sim, STORE_CALL_US, CELL_HOLDER);
      e->u.holder.known = true;
      break;
    case CELL_DO_CLAIM:
      e = schedule (sim, STORE_CALL_US, CELL_CLAIM_RESULT);
      e->u.claimed.token = 1;
      break;
    case CELL_DO_RECOVER:
      e = schedule (sim, STORE_CALL_US, CELL_RECOVERED);
      e->u.recovered.answered = e->u.recovered.last = true;
      break;
    case CELL_DO_APPEND:
      e = schedule (sim, STORE_CALL_US, CELL_APPENDED);
      e->u.appended.token = a->u.append.token;
      e->u.appended.sequence = a->u.append.sequence;
      break;
    case CELL_DO_ORDER:
      handle_order (sim, &a->u.order);
      break;
    case CELL_DO_ORDER_VM:
      handle_vm_order (sim, a);
      break;
    case CELL_DO_LIST_VMS:
      list_vms (sim);
      break;
    case CELL_DO_PEER_REPLY:
      handle_reply (sim, &a->u.peer_reply.reply);
      break;
    case CELL_DO_LOG:
      if (strcmp (a->u.log.event, "job_ended") == 0)
        record_job_end (sim, a->u.log.fields, a->u.log.job);
      break;
    default:
      break;
    }
}

static void
step (struct simulation *sim, struct cell_event *e)
{
  double start_s;
  uint32_t i;

  e->now_us = sim->at_us;
  e->wall_ms = clock_ms (sim);
  e->random = next_random (&sim->other_random, 1u << 30);
  sim->actions.item_count = 0;
  start_s = cpu_s ();
  cell_step (sim->cell, e, &sim->actions);
  sim->step_cpu_s += cpu_s () - start_s;
  for (i = 0; i < sim->actions.item_count; i++)
    apply_action (sim, &sim->actions.items[i]);
}

/* Gives the cell the events that are due.  */
static void
step_due_events (struct simulation *sim)
{
  struct scheduled_event *scheduled;

  while ((scheduled = g_tree_nnodes (sim->events) > 0
                          ? g_tree_node_key (g_tree_node_first (sim->events))
                          : NULL)
             != NULL
         && scheduled->at_us <= sim->at_us)
    {
      struct cell_event *e = scheduled->event;

      g_tree_remove (sim->events, scheduled);
      step (sim, e);
      talloc_free (e);
      g_free (scheduled);
    }
}

/* Gives the cell its settings: a queue for short and one for long-running jobs
   of each working pool.  */
static void
configure (struct simulation *sim)
{
  struct cell_event *e = schedule (sim, 0, CELL_CONFIG);
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

/* Draws the tasks of T, a step of a job of POOL, and their mean run time.  */
static void
vary_step (struct simulation *sim, uint32_t pool, struct job_step *t,
           uint32_t *run_ms)
{
  const struct deployment *s = sim->deployment;
  uint64_t *random = &sim->arrival_random;

  t->task_count = (uint32_t)MAX (
      vary (random, s->step_task_count[pool], COUNT_SPREAD) + 0.5, 1.0);
  t->need.cpu_milli
      = (uint64_t)vary (random, s->cpu_milli[pool], CORES_SPREAD);
  t->need.memory_mib = 2 * t->need.cpu_milli;
  *run_ms = (uint32_t)vary (random, s->task_ms[pool], TIME_SPREAD);
  t->estimate_ms = (uint32_t)vary (random, *run_ms, ESTIMATE_SPREAD);
}

/* Submits a job with random steps, or the long-running job of POOL.  The
   highest byte of a job's id is its pool, the next one is 1 if the job is
   long-running.  */
static void
submit (struct simulation *sim, uint32_t pool, bool long_running)
{
  const struct deployment *s = sim->deployment;
  struct job_spec *spec = job_spec_new (NULL);
  struct cell_event *e;
  uint32_t steps = long_running
                       ? 1
                       : 1
                             + next_random (&sim->arrival_random,
                                            s->step_limit_count[pool]);
  struct job_record *n = g_new0 (struct job_record, 1);
  uint64_t *id = g_new (uint64_t, 1);
  uint64_t chain_ms = 0;
  uint32_t i;

  spec->id
      = (uint64_t)pool << 56 | (uint64_t)long_running << 48 | ++sim->next_job;
  spec->payload = blob_copy ("x", 1);
  spec->step_count = steps;
  spec->steps = talloc_zero_array (spec, struct job_step, steps);
  for (i = 0; i < steps; i++)
    {
      struct job_step *t = &spec->steps[i];

      t->task_count = long_running
                          ? s->long_running_task_count
                          : s->step_task_count[pool] / 2
                                + next_random (&sim->arrival_random,
                                               s->step_task_count[pool] + 1);
      t->need.cpu_milli
          = s->cpu_milli[pool] / 2
            + next_random (&sim->arrival_random, s->cpu_milli[pool] + 1);
      t->need.memory_mib = t->need.cpu_milli;
      t->estimate_ms = s->task_ms[pool];
      n->step_ms[i] = s->task_ms[pool];
      if (s->varied && !long_running)
        vary_step (sim, pool, t, &n->step_ms[i]);
      chain_ms += n->step_ms[i];
      if (s->slowed_percent > 0 && !long_running)
        text_copy (t->image, LABEL_BYTES, spec->id & 1 ? "a" : "b");
      t->long_running = long_running;
      t->per_runner_limit_count = long_running ? 1 : 0;
      t->unavailable_limit_count
          = long_running ? s->long_running_task_count / 5 : 0;
      t->after_count = i > 0;
      t->after = talloc_zero_array (spec, uint32_t, 1);
      if (i > 0)
        t->after[0] = i - 1;
    }
  if (long_running)
    {
      e = schedule (sim, 0, CELL_JOB_CALL);
      e->u.job_call.link_id = 1;
      e->u.job_call.call.kind = CALL_SUBMIT;
      e->u.job_call.call.job = spec->id;
      snprintf (e->u.job_call.call.queue, NAME_BYTES, "q%u",
                pool + SPARE_POOL);
      e->u.job_call.call.spec = talloc_steal (e, spec);
      g_free (n);
      g_free (id);
      return;
    }
  *id = spec->id;
  n->spec = spec;
  n->submitted_at_us = sim->at_us;
  /* By stretch_milli and objective_slack_ms of the queues; see configure.  */
  n->objective_at_us = sim->at_us + chain_ms * 1600 + 600 * US_PER_MS;
  n->value_until_us
      = sim->at_us + LATE_FACTOR * (n->objective_at_us - sim->at_us);
  g_hash_table_insert (sim->jobs, id, n);
  sim->job_count[pool]++;
  hand_in (sim, spec->id, 0);
}

/* Returns the demand of POOL's queue at SECOND as a multiple of its mean.  */
static double
demand_factor (uint32_t pool, double second)
{
  double cycle_s = SPARE_POOL * PEAK_GAP_S;
  double distance_s
      = fmod (second - FIRST_PEAK_S - pool * PEAK_GAP_S + 1.5 * cycle_s,
              cycle_s)
        - cycle_s / 2;
  double x = distance_s / PEAK_WIDTH_S;

  return BASE_FACTOR + PEAK_FACTOR * exp (-x * x / 2);
}

/* Submits the jobs that arrive in this millisecond.  The simulated time starts
   at 1000 s.  */
static void
submit_arrivals (struct simulation *sim)
{
  double second = (double)sim->at_us / 1e6 - 1000 - WARMUP_S;
  uint32_t i;

  for (i = 0; i < SPARE_POOL; i++)
    if (next_random (&sim->arrival_random, 1000000)
        < sim->deployment->jobs_per_s[i] * demand_factor (i, second) * 1e3)
      submit (sim, i, false);
}

/* Starts a wave over wave_vm_count VMs of the deployment, every other one from
   the first on.  */
static void
start_wave (struct simulation *sim)
{
  struct cell_event *e = schedule (sim, 0, CELL_WAVE);
  uint32_t i;

  e->u.wave.number = 1;
  e->u.wave.deadline_s = 26;
  e->u.wave.parallel_limit_count = sim->deployment->wave_vm_count / 3;
  e->u.wave.vm_count = sim->deployment->wave_vm_count;
  e->u.wave.vms = talloc_zero_size (e, sim->deployment->wave_vm_count
                                           * sizeof *e->u.wave.vms);
  for (i = 0; i < sim->deployment->wave_vm_count; i++)
    text_copy (e->u.wave.vms[i], NAME_BYTES, sim->vms[2 * i].name);
}

static void
start_simulation (struct simulation *sim, const struct deployment *s,
                  uint32_t seed)
{
  struct cell_settings settings = { .member = "e1",
                                    .relay_address = "127.0.0.1:7000",
                                    .cpu_milli = 500,
                                    .vm_order_rate_milli = 215000,
                                    .learn_interference = s->learns,
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
                                               .maintenance_ms = 2000 } };
  struct cell_event *e;
  uint32_t pool = 0;
  uint32_t i;
  uint32_t k = 0;

  memset (sim, 0, sizeof *sim);
  sim->deployment = s;
  sim->arrival_random = sim->other_random = 88172645463325252u + seed * 7919;
  sim->at_us = 1000 * US_PER_S;
  sim->events = g_tree_new (compare_scheduled);
  sim->runners = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  sim->jobs
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, g_free);
  for (i = 0; i < POOL_COUNT; i++)
    sim->vm_count += s->pool_vm_counts[i];
  sim->vms = g_new0 (struct vm, sim->vm_count);
  for (i = 0; i < sim->vm_count; i++, k++)
    {
      struct vm *v = &sim->vms[i];

      if (k == s->pool_vm_counts[pool])
        {
          pool++;
          k = 0;
        }
      snprintf (v->name, NAME_BYTES, "m%u", i);
      v->rack = i / s->rack_vm_count;
      boot_vm (sim, v, pool);
    }
  sim->cell = cell_new (NULL, &settings);
  configure (sim);
  schedule (sim, 0, CELL_CONFIG_CONFIRMED)->u.config_sent_at_us = sim->at_us;
  schedule (sim, 0, CELL_CLAIM)->u.claim.none = true;
  e = schedule (sim, 1000 * US_PER_MS, CELL_RUNNERS);
  e->u.runners.whole = true;
  e->u.runners.rows
      = talloc_zero_array (e, struct runner_report, sim->vm_count);
  for (i = 0; i < sim->vm_count; i++)
    if (sim->vms[i].pool != SPARE_POOL)
      fill_report (&sim->vms[i], &e->u.runners.rows[e->u.runners.row_count++]);
}

/* Runs one simulation and adds its results to F.  */
static void
simulate (const struct deployment *s, uint32_t seed, struct totals *f)
{
  struct simulation sim;
  uint64_t start_us;
  uint64_t ms;
  uint32_t i;

  start_simulation (&sim, s, seed);
  start_us = sim.at_us;
  for (ms = 0; ms < (WARMUP_S + ARRIVAL_S + DRAIN_S) * 1000; ms++)
    {
      sim.at_us = start_us + ms * US_PER_MS;
      if (ms % 20 == 0)
        schedule (&sim, 0, CELL_TICK);
      if (ms % 1000 == 0)
        schedule (&sim, 0, CELL_CONFIG_CONFIRMED)->u.config_sent_at_us
            = sim.at_us;
      if (ms == 2000)
        for (i = 0; i < SPARE_POOL; i++)
          submit (&sim, i, true);
      if (ms == (WARMUP_S + 2) * 1000)
        start_wave (&sim);
      if (ms >= WARMUP_S * 1000 && ms < (WARMUP_S + ARRIVAL_S) * 1000)
        submit_arrivals (&sim);
      for (i = 0; i < sim.vm_count; i++)
        {
          advance_vm (&sim, &sim.vms[i]);
          sim.vm_us += ms >= WARMUP_S * 1000 && sim.vms[i].up
                               && sim.vms[i].pool != SPARE_POOL
                           ? US_PER_MS
                           : 0;
        }
      step_due_events (&sim);
    }
  for (i = 0; i < SPARE_POOL; i++)
    {
      f->job_count += (double)sim.job_count[i];
      f->in_time_share += (double)sim.in_time_count[i]
                          / (double)sim.job_count[i] / SPARE_POOL;
    }
  for (i = 0; i < SPARE_POOL; i++)
    f->worth += (double)sim.in_time_count[i];
  f->worth += LATE_WORTH * (double)sim.late_count;
  f->refusal_count += (double)sim.refusal_count;
  f->returned_count += (double)sim.returned_count;
  f->start_count += (double)sim.start_count;
  f->step_cpu_s += sim.step_cpu_s;
  f->vm_s += (double)sim.vm_us / 1e6;
  f->move_count += (double)sim.move_count;
  talloc_free (sim.cell);
}

static bool
is_wanted (const char *name, int count, char **names)
{
  int i;

  for (i = 1; i < count; i++)
    if (strcmp (name, names[i]) == 0)
      return true;
  return count <= 1;
}

int
main (int argc, char **argv)
{
  size_t i;
  uint32_t seed;

  for (i = 0; i < G_N_ELEMENTS (deployments); i++)
    {
      const struct deployment *s = &deployments[i];
      struct totals f = { 0 };

      if (!is_wanted (s->name, argc, argv))
        continue;
      for (seed = 0; seed < s->seed_count; seed++)
        simulate (s, seed, &f);
      printf ("{\"bench\":\"cell\",\"shape\":\"%s\",\"jobs\":%.0f,"
              "\"in_time_percent\":%.1f,\"worth_percent\":%.1f,"
              "\"refusals\":%.0f,\"returned\":%.0f,\"tasks\":%.0f,"
              "\"decide_us_a_task\":%.1f,\"vm_seconds\":%.0f,"
              "\"moves\":%.0f}\n",
              s->name, f.job_count / s->seed_count,
              100.0 * f.in_time_share / s->seed_count,
              100.0 * f.worth / f.job_count, f.refusal_count / s->seed_count,
              f.returned_count / s->seed_count, f.start_count / s->seed_count,
              f.step_cpu_s * 1e6 / f.start_count, f.vm_s / s->seed_count,
              f.move_count / s->seed_count);
    }
  return 0;
}
