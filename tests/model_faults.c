/* model_faults.c -- the load of a run of the model, and its faults.  */

#include "tests/model.h"

#include <stdio.h>
#include <string.h>

#define SERVING_CPU_MILLI 2000
#define SHORT_CPU_MILLI 1000
/** Times of a run, from its beginning.  */
#define SERVING_AT_MS 3000
#define ARRIVALS_FROM_MS 5000
#define FAULTS_FROM_MS 9000
#define FAULTS_FOR_MS 22000
/** Faults in groups follow each other within this.  */
#define GROUP_MS 1500
/** After the last fault: arrivals end, and later the run.  */
#define ARRIVALS_AFTER_MS 2000
#define RUN_AFTER_MS 20000
/** A task of some of the jobs that are cancelled.  */
#define CANCELLED_TASK_MS 12000
/** Recurring jobs: all occurrences are due when the job is submitted.  Their
    progress takes several records.  */
#define RECURRING_COUNT 60
#define RECURRING_INTERVAL_MS 40
#define RECURRING_TASK_COUNT 40
#define RECURRING_TASK_MS 60
#define RECURRING_CPU_MILLI 100
/** Those of which the occurrences become due one after the other.  */
#define TIMED_COUNT 8
#define TIMED_TASK_COUNT 2
#define TIMED_TASK_MS 500
#define CALL_TIMEOUT_US (3000 * US_PER_MS)
#define RETRY_US (300 * US_PER_MS)
/** Planned stops: the grace time, the interval at which the process is looked
    at, and the time that a new one takes to start.  */
#define GRACE_US (6000 * US_PER_MS)
#define WATCH_US (50 * US_PER_MS)
#define PROCESS_START_US (500 * US_PER_MS)
/** The store is away for long, and when its owner's process is killed then.
    By that time its heartbeats have told of it.  */
#define AWAY_LONG_US (20 * US_PER_S)
#define AWAY_KILL_FROM_MS 4001
#define AWAY_KILL_TO_MS 16000
/** For so long nothing was at fault when the store is lost.  */
#define AWAY_CALM_US (7000 * US_PER_MS)

static const char *const names[MODEL_FAULT_COUNT] = {
  [MODEL_OWNER_KILLED] = "owner_killed",
  [MODEL_ENTRY_KILLED] = "entry_killed",
  [MODEL_ALL_KILLED] = "all_killed",
  [MODEL_OWNER_STOPPED] = "owner_stopped",
  [MODEL_ENTRIES_RESTARTED] = "entries_restarted",
  [MODEL_OWNER_FROZEN] = "owner_frozen",
  [MODEL_OWNER_CUT_OFF] = "owner_cut_off",
  [MODEL_OWNER_CUT_FROM_STORE] = "owner_cut_from_store",
  [MODEL_RUNNER_CRASHED] = "runner_crashed",
  [MODEL_RUNNER_LOST] = "runner_lost",
  [MODEL_VM_LOST] = "vm_lost",
  [MODEL_RUNNER_CUT_OFF] = "runner_cut_off",
  [MODEL_RUNNER_CUT_FROM_STORE] = "runner_cut_from_store",
  [MODEL_RUNNER_DRAINED] = "runner_drained",
  [MODEL_STORE_DOWN] = "store_down",
  [MODEL_STORE_SILENT] = "store_silent",
  [MODEL_APPENDS_LOST] = "appends_lost",
  [MODEL_ORDERS_LOST] = "orders_lost",
  [MODEL_ORDERS_LATE] = "orders_late",
  [MODEL_CLOUD_DOWN] = "cloud_down",
  [MODEL_WAVE] = "wave",
  [MODEL_CLOCK_STEP] = "clock_step",
  [MODEL_REASSIGNED] = "reassigned",
  [MODEL_RUNNERS_CUT_OFF] = "runners_cut_off",
  [MODEL_ENTRY_SLOW] = "entry_slow",
  [MODEL_LINKS_BROKEN] = "links_broken",
  [MODEL_ENTRY_READS_LATE] = "entry_reads_late",
  [MODEL_OWNER_LOST] = "owner_lost",
  [MODEL_OWNER_ISLANDED] = "owner_islanded",
  [MODEL_ENTRIES_ISLANDED] = "entries_islanded",
  [MODEL_ISLAND_SHARED] = "island_shared",
  [MODEL_ISLAND_HALF_CUT] = "island_half_cut",
  [MODEL_ISLAND_REGISTERED] = "island_registered",
  [MODEL_SUCCESSOR_ISLANDED] = "successor_islanded",
  [MODEL_ISLAND_ENDS_AT_TIMEOUT] = "island_ends_at_timeout",
  [MODEL_ISLAND_ENDS_AFTER_CLAIM] = "island_ends_after_claim",
  [MODEL_SHARED_CRASH] = "shared_crash",
  [MODEL_UNASSIGNED_AND_ISLANDED] = "unassigned_and_islanded",
  [MODEL_RESTARTS_OVERLAP] = "restarts_overlap",
  [MODEL_STORE_AWAY_LONG] = "store_away_long",
};

struct planned_fault
{
  enum model_fault kind;
};

struct vm_action
{
  uint32_t vm;
  char id[NAME_BYTES];
};

const char *
model_fault_name (int kind)
{
  return names[kind];
}

void
model_disturb (struct model *m, uint64_t until_us)
{
  m->disturbed_until_us = MAX (m->disturbed_until_us, until_us);
}

static void
start_entry (struct model *m, void *argument)
{
  uint32_t *index = argument;

  model_entry_start (&m->entries[*index]);
  model_disturb (m, m->now_us);
  talloc_free (index);
}

static void
schedule_entry (struct model *m, uint64_t delay_us, model_function f,
                uint32_t i)
{
  uint32_t *index = talloc (m->arena, uint32_t);

  *index = i;
  model_schedule (m, delay_us, f, index);
}

static void
kill_entry (struct model *m, struct model_entry *e)
{
  uint64_t back_us = model_between (m, 200, 2000) * US_PER_MS;

  if (e->cell == NULL)
    return;
  model_entry_kill (e);
  model_disturb (m, m->now_us + back_us);
  schedule_entry (m, back_us, start_entry, e->index);
}

static void
kill_planned (struct model *m, void *argument)
{
  uint32_t *index = argument;

  if (m->options.verbose)
    printf ("%7.3f kills entry-%u\n", (double)m->now_us / 1e6 - 100, *index);
  kill_entry (m, &m->entries[*index]);
  talloc_free (index);
}

/* Kills a process that was stopped and has not ended, and starts it anew.  */
static void
finish_stop (struct model *m, void *argument)
{
  uint32_t *index = argument;

  model_entry_kill (&m->entries[*index]);
  start_entry (m, index);
}

static void
stop_entry (struct model *m, void *argument)
{
  uint32_t *index = argument;
  struct model_entry *e = &m->entries[*index];

  if (e->cell != NULL)
    model_post (e, e->process, 0, model_event (CELL_STOP));
  model_schedule (m, 6200 * US_PER_MS, finish_stop, index);
}

static void
restart_in_turn (struct model *m)
{
  uint64_t gap_us = m->options.restart_gap_ms * US_PER_MS;
  uint32_t i;

  for (i = 0; i < m->entry_count; i++)
    schedule_entry (m, i * gap_us, stop_entry, i);
  model_disturb (m, m->now_us + m->entry_count * gap_us + 6200 * US_PER_MS);
}

/* A stop that the platform watches.  */
struct watched_stop
{
  uint32_t entry;
  uint32_t process;
  uint64_t kill_at_us;
};

/* Starts the entry anew when its process has ended, or kills that after the
   grace time.  */
static void
watch_stop (struct model *m, void *argument)
{
  struct watched_stop *x = argument;
  struct model_entry *e = &m->entries[x->entry];
  bool ended = e->cell == NULL || e->process != x->process;

  model_disturb (m, m->now_us);
  if (!ended && m->now_us < x->kill_at_us)
    {
      model_schedule (m, WATCH_US, watch_stop, x);
      return;
    }
  model_entry_kill (e);
  schedule_entry (m, PROCESS_START_US, start_entry, x->entry);
  talloc_free (x);
}

static void
stop_watched (struct model *m, void *argument)
{
  uint32_t *index = argument;
  struct model_entry *e = &m->entries[*index];
  struct watched_stop *x = talloc (m->arena, struct watched_stop);

  x->entry = *index;
  x->process = e->process;
  x->kill_at_us = m->now_us + GRACE_US;
  if (e->cell != NULL)
    {
      model_post (e, e->process, 0, model_event (CELL_STOP));
      watch_stop (m, x);
    }
  talloc_free (index);
}

static void
restart_overlapping (struct model *m)
{
  uint64_t gap_us = m->options.restart_gap_ms * US_PER_MS;
  uint32_t first = model_random (m, m->entry_count);
  uint32_t i;

  for (i = 0; i < m->entry_count; i++)
    schedule_entry (m, i * gap_us, stop_watched, (first + i) % m->entry_count);
}

/* Returns a random VM with a runner that is up and not draining.  */
static uint32_t
choose_vm (struct model *m)
{
  uint32_t n;

  for (n = 0; n < 100; n++)
    {
      uint32_t vm = model_random (m, m->vm_count);
      const struct model_runner *r = model_vm_runner (m, vm);

      if (r != NULL && m->vms[vm].up && !r->draining)
        return vm;
    }
  return 0;
}

static void
boot_vm (struct model *m, void *argument)
{
  struct vm_action *x = argument;
  struct model_vm *v = &m->vms[x->vm];

  if (v->up && model_vm_runner (m, x->vm) == NULL)
    model_vm_boot (m, x->vm, x->id[0] != '\0' ? x->id : NULL);
  model_disturb (m, m->now_us);
  talloc_free (x);
}

/* Boots a runner on VM later, under SAME_ID unless that is empty.  */
static void
boot_later (struct model *m, uint32_t vm, uint64_t delay_us,
            const char *same_id)
{
  struct vm_action *x = talloc_zero (m->arena, struct vm_action);

  x->vm = vm;
  text_copy (x->id, NAME_BYTES, same_id);
  model_disturb (m, m->now_us + delay_us);
  model_schedule (m, delay_us, boot_vm, x);
}

void
model_runner_crash (struct model *m, uint32_t vm, uint64_t back_us)
{
  const struct model_runner *r = model_vm_runner (m, vm);

  if (r == NULL)
    return;
  model_runner_end (m, vm);
  boot_later (m, vm, back_us, r->id);
}

static void
end_drained (struct model *m, void *argument)
{
  struct vm_action *x = argument;
  const struct model_runner *r = model_vm_runner (m, x->vm);

  if (r != NULL && r->draining)
    {
      model_runner_end (m, x->vm);
      boot_later (m, x->vm, 500 * US_PER_MS, "");
    }
  talloc_free (x);
}

static void
drain_runner (struct model *m, uint32_t vm)
{
  struct model_runner *r = model_vm_runner (m, vm);
  struct vm_action *x;

  if (r == NULL)
    return;
  r->draining = true;
  r->registration_version = ++m->store.registration_version;
  x = talloc_zero (m->arena, struct vm_action);
  x->vm = vm;
  model_schedule (m, 2500 * US_PER_MS, end_drained, x);
  model_disturb (m, m->now_us + 2500 * US_PER_MS);
}

static void
request_wave (struct model *m)
{
  uint32_t count = MIN (m->vm_count, 4);
  uint64_t number = ++m->next_wave;
  uint32_t vms[4];
  uint32_t i;
  uint32_t k;

  for (k = 0; k < count; k++)
    vms[k] = (number * 5 + k * 7) % m->vm_count;
  for (i = 0; i < m->entry_count; i++)
    {
      struct cell_event *ev = model_event (CELL_WAVE);

      ev->u.wave.number = number;
      ev->u.wave.deadline_s = 20;
      ev->u.wave.parallel_limit_count = 2;
      ev->u.wave.vm_count = count;
      ev->u.wave.vms = talloc_zero_size (ev, count * NAME_BYTES);
      for (k = 0; k < count; k++)
        text_copy (ev->u.wave.vms[k], NAME_BYTES, m->vms[vms[k]].name);
      model_post (&m->entries[i], m->entries[i].process, 5000, ev);
    }
}

/* Ends the process of E for good, unless it would be the last but one that is
   lost.  */
static void
lose_entry (struct model *m, struct model_entry *e)
{
  uint32_t n = 0;
  uint32_t i;

  for (i = 0; i < m->entry_count; i++)
    n += !m->entries[i].lost;
  if (n <= 2)
    return;
  e->lost = true;
  model_entry_kill (e);
}

static void
break_links (struct model *m)
{
  bool all = model_random (m, 2) == 0;
  uint32_t chosen = model_random (m, m->entry_count);
  uint64_t until_us = m->now_us + model_between (m, 0, 3000) * US_PER_MS;
  uint32_t i;

  for (i = 0; i < m->entry_count; i++)
    if (all || i == chosen)
      {
        model_link_break (&m->entries[i]);
        m->entries[i].link_cut_until_us = until_us;
      }
  model_disturb (m, until_us);
}

static void
apply_to_entry (struct model *m, enum model_fault kind)
{
  struct model_entry *e = &m->entries[model_random (m, m->entry_count)];
  uint64_t until_us = m->now_us + model_between (m, 1000, 8000) * US_PER_MS;

  if (kind == MODEL_ENTRY_SLOW)
    {
      e->slow_until_us = until_us;
      e->slow_us = model_between (m, 50, 400) * US_PER_MS;
    }
  else
    {
      e->late_until_us = until_us;
      e->late_us = model_between (m, 200, 4000) * US_PER_MS;
    }
  model_disturb (m, until_us);
}

static void
apply_to_owner (struct model *m, enum model_fault kind)
{
  struct model_entry *e = model_owner (m);
  uint64_t for_us = model_between (m, 300, 8000) * US_PER_MS;

  if (e == NULL)
    return;
  switch (kind)
    {
    case MODEL_OWNER_KILLED:
      kill_entry (m, e);
      return;
    case MODEL_OWNER_LOST:
      lose_entry (m, e);
      return;
    case MODEL_OWNER_STOPPED:
      schedule_entry (m, 0, stop_entry, e->index);
      model_disturb (m, m->now_us + 6200 * US_PER_MS);
      return;
    case MODEL_OWNER_FROZEN:
      e->frozen_until_us = m->now_us + for_us;
      break;
    case MODEL_OWNER_CUT_OFF:
      e->cut_until_us = m->now_us + for_us;
      break;
    default:
      e->store_cut_until_us = m->now_us + for_us;
      break;
    }
  model_disturb (m, m->now_us + for_us);
}

static void
apply_to_runner (struct model *m, enum model_fault kind)
{
  uint32_t vm = choose_vm (m);
  struct model_runner *r = model_vm_runner (m, vm);
  uint64_t for_us = model_between (m, 500, 8000) * US_PER_MS;

  if (r == NULL)
    return;
  switch (kind)
    {
    case MODEL_RUNNER_CRASHED:
      model_runner_crash (m, vm, model_between (m, 300, 2000) * US_PER_MS);
      break;
    case MODEL_RUNNER_LOST:
      model_runner_end (m, vm);
      break;
    case MODEL_VM_LOST:
      model_runner_end (m, vm);
      m->vms[vm].up = false;
      break;
    case MODEL_RUNNER_CUT_OFF:
      r->cut_until_us = m->now_us + for_us;
      model_disturb (m, r->cut_until_us);
      break;
    case MODEL_RUNNER_CUT_FROM_STORE:
      r->store_cut_until_us = m->now_us + for_us;
      model_disturb (m, r->store_cut_until_us);
      break;
    default:
      drain_runner (m, vm);
      break;
    }
}

static void
cut_off_runners (struct model *m)
{
  uint64_t until_us = m->now_us + model_between (m, 500, 8000) * US_PER_MS;
  uint32_t n = 2 + model_random (m, m->vm_count / 2);

  while (n-- > 0)
    {
      struct model_runner *r = model_vm_runner (m, choose_vm (m));

      if (r != NULL)
        r->cut_until_us = until_us;
    }
  model_disturb (m, until_us);
}

static void
apply_to_platform (struct model *m, enum model_fault kind)
{
  uint64_t for_us = model_between (m, 500, 6000) * US_PER_MS;
  uint64_t until_us = m->now_us + for_us;
  struct model_entry *e;

  switch (kind)
    {
    case MODEL_STORE_DOWN:
    case MODEL_STORE_SILENT:
      m->store.down_until_us = until_us;
      m->store.silent = kind == MODEL_STORE_SILENT;
      break;
    case MODEL_STORE_AWAY_LONG:
      until_us = m->now_us + AWAY_LONG_US;
      m->store.down_until_us = until_us;
      m->store.silent = true;
      e = model_owner (m);
      if (model_random (m, 2) == 0 && e != NULL)
        schedule_entry (m,
                        model_between (m, AWAY_KILL_FROM_MS, AWAY_KILL_TO_MS)
                            * US_PER_MS,
                        kill_planned, e->index);
      break;
    case MODEL_APPENDS_LOST:
      m->store.appends_lost_until_us = until_us;
      break;
    case MODEL_ORDERS_LOST:
      m->orders_lost_until_us = until_us;
      break;
    case MODEL_ORDERS_LATE:
      m->orders_late_until_us = until_us;
      until_us += 5000 * US_PER_MS;
      break;
    case MODEL_CLOUD_DOWN:
      m->cloud_down_until_us = until_us;
      break;
    case MODEL_REASSIGNED:
      m->store.holder = -1;
      return;
    default:
      e = &m->entries[model_random (m, m->entry_count)];
      e->clock_step_ms = (int64_t)model_random (m, 10000) - 5000;
      return;
    }
  model_disturb (m, until_us);
}

/* Notes since when the store is lost to all entries and nothing else is at
   fault, when a fault of KIND begins.  */
static void
note_away (struct model *m, enum model_fault kind)
{
  if (kind != MODEL_STORE_DOWN && kind != MODEL_STORE_SILENT
      && kind != MODEL_STORE_AWAY_LONG)
    m->only_away = false;
  else if (m->now_us >= m->store.down_until_us)
    {
      m->away_at_us = m->now_us;
      m->only_away = m->now_us >= m->disturbed_until_us + AWAY_CALM_US
                     && model_owner (m) != NULL;
    }
}

static void
apply_fault (struct model *m, void *argument)
{
  struct planned_fault *x = argument;
  uint32_t i;

  if (m->options.verbose)
    printf ("%7.3f fault %s\n", (double)m->now_us / 1e6 - 100, names[x->kind]);
  note_away (m, x->kind);
  model_disturb (m, m->now_us);
  switch (x->kind)
    {
    case MODEL_OWNER_KILLED:
    case MODEL_OWNER_STOPPED:
    case MODEL_OWNER_FROZEN:
    case MODEL_OWNER_CUT_OFF:
    case MODEL_OWNER_CUT_FROM_STORE:
    case MODEL_OWNER_LOST:
      apply_to_owner (m, x->kind);
      break;
    case MODEL_ENTRY_KILLED:
      kill_entry (m, &m->entries[model_random (m, m->entry_count)]);
      break;
    case MODEL_ALL_KILLED:
      for (i = 0; i < m->entry_count; i++)
        kill_entry (m, &m->entries[i]);
      break;
    case MODEL_ENTRIES_RESTARTED:
      restart_in_turn (m);
      break;
    case MODEL_RESTARTS_OVERLAP:
      restart_overlapping (m);
      break;
    case MODEL_RUNNER_CRASHED:
    case MODEL_RUNNER_LOST:
    case MODEL_VM_LOST:
    case MODEL_RUNNER_CUT_OFF:
    case MODEL_RUNNER_CUT_FROM_STORE:
    case MODEL_RUNNER_DRAINED:
      apply_to_runner (m, x->kind);
      break;
    case MODEL_WAVE:
      request_wave (m);
      break;
    case MODEL_RUNNERS_CUT_OFF:
      cut_off_runners (m);
      break;
    case MODEL_ENTRY_SLOW:
    case MODEL_ENTRY_READS_LATE:
      apply_to_entry (m, x->kind);
      break;
    case MODEL_LINKS_BROKEN:
      break_links (m);
      break;
    case MODEL_OWNER_ISLANDED:
    case MODEL_ENTRIES_ISLANDED:
    case MODEL_ISLAND_SHARED:
    case MODEL_ISLAND_HALF_CUT:
    case MODEL_ISLAND_REGISTERED:
    case MODEL_SUCCESSOR_ISLANDED:
    case MODEL_ISLAND_ENDS_AT_TIMEOUT:
    case MODEL_ISLAND_ENDS_AFTER_CLAIM:
    case MODEL_UNASSIGNED_AND_ISLANDED:
    case MODEL_SHARED_CRASH:
      model_island_fault (m, x->kind);
      break;
    default:
      apply_to_platform (m, x->kind);
      break;
    }
  talloc_free (x);
}

void
model_faults_plan (struct model *m)
{
  uint64_t last_ms = FAULTS_FROM_MS;
  uint32_t i;

  for (i = 0; i < m->options.fault_count; i++)
    {
      struct planned_fault *x = talloc_zero (m->arena, struct planned_fault);
      uint64_t at_ms = i > 0 && model_random (m, 2) == 0
                           ? last_ms + model_random (m, GROUP_MS)
                           : FAULTS_FROM_MS + model_random (m, FAULTS_FOR_MS);

      last_ms = at_ms;
      x->kind
          = m->options
                .fault_kinds[model_random (m, m->options.fault_kind_count)];
      model_schedule (m, at_ms * US_PER_MS, apply_fault, x);
    }
  /* Arrivals and the end follow the last fault (model_load_tick).  */
  model_disturb (
      m, m->now_us + (FAULTS_FROM_MS + FAULTS_FOR_MS + GROUP_MS) * US_PER_MS);
  m->end_us = m->disturbed_until_us + RUN_AFTER_MS * US_PER_MS;
  m->disturbed_until_us = m->now_us;
}

static struct model_job *
add_job (struct model *m, uint32_t pool, bool long_running)
{
  struct model_job *j = g_new0 (struct model_job, 1);

  j->id = (uint64_t)(m->jobs->len + 1) << 32 | model_random (m, UINT32_MAX);
  j->pool = pool;
  j->long_running = long_running;
  j->step_count = long_running ? 1 : 1 + model_random (m, 2);
  j->task_count
      = long_running ? m->options.serving_task_count : 1 + model_random (m, 4);
  j->task_ms = 200 + model_random (m, 900);
  if (!long_running && m->options.cancel_percent > 0)
    j->cancels = model_random (m, 100) < m->options.cancel_percent;
  if (j->cancels && model_random (m, 2) == 0)
    j->task_ms = CANCELLED_TASK_MS;
  j->cpu_milli = long_running ? SERVING_CPU_MILLI : SHORT_CPU_MILLI;
  j->per_runner_limit_count = long_running ? 2 : 0;
  if (!long_running && m->options.mixed_percent > 0)
    j->mixed = model_random (m, 100) < m->options.mixed_percent;
  if (j->mixed)
    {
      j->step_count = 2;
      j->task_count = MIN (j->task_count, 2);
    }
  if (!long_running && m->options.placed_percent > 0
      && model_random (m, 100) < m->options.placed_percent)
    {
      j->labelled = model_random (m, 2) == 0;
      j->per_runner_limit_count = !j->labelled || model_random (m, 2) == 0;
    }
  if (!long_running && m->options.failing_percent > 0)
    j->failing = model_random (m, 100) < m->options.failing_percent;
  if (!long_running && m->options.recurring_percent > 0
      && model_random (m, 100) < m->options.recurring_percent)
    {
      j->occurrence_count = RECURRING_COUNT;
      j->step_count = 1;
      j->task_count = RECURRING_TASK_COUNT;
      j->task_ms = RECURRING_TASK_MS;
      j->cpu_milli = RECURRING_CPU_MILLI;
      if (m->options.recurring_ms > 0)
        {
          j->occurrence_count = TIMED_COUNT;
          j->task_count = TIMED_TASK_COUNT;
          j->task_ms = TIMED_TASK_MS;
        }
    }
  g_ptr_array_add (m->jobs, j);
  g_hash_table_insert (m->jobs_by_id, &j->id, j);
  return j;
}

/* Adds the serving job of a pool.  */
static void
add_serving_jobs (struct model *m, void *argument)
{
  uint32_t p;

  (void)argument;
  for (p = 0; p < MODEL_SPARE_POOL; p++)
    add_job (m, p, true);
}

static void
add_short_job (struct model *m, void *argument)
{
  uint64_t until_us
      = MAX (m->disturbed_until_us,
             100 * US_PER_S
                 + (FAULTS_FROM_MS + FAULTS_FOR_MS + GROUP_MS) * US_PER_MS)
        + ARRIVALS_AFTER_MS * US_PER_MS;

  (void)argument;
  /* A fault may last longer than planned.  */
  m->end_us = MAX (m->end_us, until_us + RUN_AFTER_MS * US_PER_MS);
  if (m->now_us > until_us)
    return;
  add_job (m, model_random (m, MODEL_SPARE_POOL), false);
  model_schedule (
      m, (1 + model_random (m, 2 * m->options.arrival_ms)) * US_PER_MS,
      add_short_job, NULL);
}

void
model_load_plan (struct model *m)
{
  model_schedule (m, SERVING_AT_MS * US_PER_MS, add_serving_jobs, NULL);
  if (m->options.arrival_ms > 0)
    model_schedule (m, ARRIVALS_FROM_MS * US_PER_MS, add_short_job, NULL);
}

bool
model_step_lasts (const struct model_job *j, uint32_t step)
{
  return j->long_running || (j->mixed && step == 1);
}

struct job_spec *
model_job_spec (const struct model *m, TALLOC_CTX *mem,
                const struct model_job *j)
{
  struct job_spec *s = job_spec_new (mem);
  uint32_t i;

  s->id = j->id;
  s->payload = blob_copy ("x", 1);
  s->occurrence_count = j->occurrence_count;
  s->interval_ms = RECURRING_INTERVAL_MS;
  if (m->options.recurring_ms > 0)
    {
      s->interval_ms = m->options.recurring_ms;
      s->first_due_ms = MODEL_EPOCH_MS + m->now_us / US_PER_MS;
    }
  s->step_count = j->step_count;
  s->steps = talloc_zero_array (s, struct job_step, s->step_count);
  for (i = 0; i < s->step_count; i++)
    {
      struct job_step *t = &s->steps[i];

      t->task_count = j->task_count;
      t->need.cpu_milli = j->cpu_milli;
      t->need.memory_mib = 100;
      t->estimate_ms = j->task_ms;
      t->long_running = model_step_lasts (j, i);
      t->per_runner_limit_count = j->per_runner_limit_count;
      t->unavailable_limit_count = t->long_running ? 1 : 0;
      if (j->labelled)
        text_copy (t->label, LABEL_BYTES, MODEL_LABEL);
      if (i > 0)
        {
          t->after_count = 1;
          t->after = talloc_zero_array (s, uint32_t, 1);
          t->after[0] = i - 1;
        }
    }
  return s;
}

/* Has a random entry that runs take J.  */
static void
submit (struct model *m, struct model_job *j)
{
  struct model_entry *e = &m->entries[model_random (m, m->entry_count)];
  struct cell_event *ev;

  j->sent = true;
  j->sent_at_us = m->now_us;
  if (!model_entry_reaches (e))
    {
      j->sent_at_us = m->now_us - CALL_TIMEOUT_US + RETRY_US;
      return;
    }
  ev = model_call (m, j, CALL_SUBMIT);
  ev->u.call.spec = model_job_spec (m, ev, j);
  j->open_entry = e->index;
  j->open_process = e->process;
  j->open_call_id = ev->u.call.call_id;
  model_post (e, e->process, 1000, ev);
}

void
model_load_tick (struct model *m)
{
  guint i;

  for (i = 0; i < m->jobs->len; i++)
    {
      struct model_job *j = g_ptr_array_index (m->jobs, i);

      if (!j->accepted
          && (!j->sent || m->now_us >= j->sent_at_us + CALL_TIMEOUT_US))
        submit (m, j);
    }
}

void
model_load_on_reply (struct model_entry *e, const struct reply *r)
{
  struct model *m = e->model;
  guint i;

  for (i = 0; i < m->jobs->len; i++)
    {
      struct model_job *j = g_ptr_array_index (m->jobs, i);

      if (j->accepted || !j->sent || j->open_call_id != r->call_id
          || j->open_entry != e->index || j->open_process != e->process)
        continue;
      if (r->code == REPLY_OK)
        {
          j->accepted = true;
          j->accepted_at_us = m->now_us;
          model_client_plan (m, j);
          return;
        }
      j->sent_at_us = m->now_us - CALL_TIMEOUT_US
                      + MAX (r->retry_after_ms * US_PER_MS, RETRY_US);
      return;
    }
}
