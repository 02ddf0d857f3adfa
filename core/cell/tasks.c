/* tasks.c -- start, end, stop and loss of a task's runs.

   A task occupies room on a runner from its start order until it is certain
   that the run is not there: the runner lists its end or refuses the start, a
   poll that was sent after the start was answered or after a stop was
   acknowledged does not list it, the runner's lease has expired, the runner
   was restarted, or its VM was shut down.  Only then may the task start
   elsewhere.  */

#include "core/cell/state.h"

#include <string.h>

/** A runner is quarantined, that is, gets no new tasks for a time, after this
    many failed runs in a row, each of another job than the one before.  */
#define QUARANTINE_FAILURE_COUNT 3
/** Length of the first quarantine, and the limit up to which each further one
    is twice as long.  */
#define QUARANTINE_MS 2000
#define QUARANTINE_LIMIT_MS 16000
/** Run numbers skipped when a runner calls a run number stale.  */
#define STALE_SKIP_COUNT 16
/** A runner that refused a start as busy, late or the like gets no new tasks
    for this long.  */
#define REFUSED_BACKOFF_MS 400
/** The same for a runner that refused a start for lack of room.  */
#define FULL_BACKOFF_MS 150

/* Names of the phases of a task in log lines.  */
static const char *const phase_names[]
    = { [TASK_WAITING] = "waiting",         [TASK_STARTING] = "starting",
        [TASK_RUNNING] = "running",         [TASK_STOPPING] = "stopping",
        [TASK_UNCONFIRMED] = "unconfirmed", [TASK_DONE] = "done" };

const char *
run_over_name (enum run_over why)
{
  static const char *const names[RUN_OVER_COUNT]
      = { [RUN_NEVER] = "",
          [RUN_REFUSED] = "refused",
          [RUN_ENDED] = "ended",
          [RUN_NOT_REPORTED] = "not_reported",
          [RUN_LEASE_EXPIRED] = "lease_expired",
          [RUN_VM_DOWN] = "vm_down",
          [RUN_NEW_BOOT] = "new_boot",
          [RUN_OTHER_BOOT] = "another_boot",
          [RUN_FORGOTTEN] = "forgotten" };

  return why < RUN_OVER_COUNT ? names[why] : "";
}

struct job *
task_job (const struct task *t)
{
  return t->step->occurrence->job;
}

void
task_id_get (const struct task *t, struct task_id *id)
{
  id->job = task_job (t)->id;
  id->occurrence = t->step->occurrence->number;
  id->step = t->step->number;
  id->index = t->index;
}

bool
task_start_is_open (const struct task *t)
{
  return t->phase == TASK_STARTING || t->phase == TASK_UNCONFIRMED
         || (t->phase == TASK_STOPPING && !t->start_confirmed);
}

static struct resources *
usage_of (struct cell *c, const char *tenant)
{
  struct resources *u = g_hash_table_lookup (c->usage, tenant);

  if (u == NULL)
    {
      u = g_new0 (struct resources, 1);
      g_hash_table_insert (c->usage, g_strdup (tenant), u);
    }
  return u;
}

void
task_assign (struct cell *c, struct task *t, struct runner *r)
{
  struct resources room = place_occupied_by (t->step->spec);

  t->runner = r;
  t->unconfirmed_at_us = 0;
  t->stop_acked_at_us = 0;
  t->working_at_us = 0;
  t->over_target_at_us = 0;
  t->metric = 0;
  t->metric_mean_us = 0;
  t->metric_sampled_at_us = 0;
  t->work_percent = 0;
  progress_reset (t);
  t->ordered_pace_percent = 100;
  image_samples_on_assign (c, r, t);
  g_ptr_array_add (r->tasks, t);
  resources_add (&r->used, &room);
  resources_add (usage_of (c, task_job (t)->tenant), &t->step->spec->need);
  t->step->waiting_count--;
}

/* Returns true if WHY shows that a run on R is over only as long as this entry
   is the owner.  What R answers at once, under our token, holds anyway: no
   newer owner had asked it before.  */
static bool
needs_confirmation (const struct runner *r, enum run_over why)
{
  switch (why)
    {
    case RUN_NEVER:
    case RUN_REFUSED:
      return false;
    case RUN_ENDED:
    case RUN_NOT_REPORTED:
      return r->answer_held;
    default:
      return true;
    }
}

/* Logs that the run of T is given up by WHY, without an end that its runner
   listed.  */
static void
log_run_given_up (struct cell *c, const struct task *t, enum run_over why)
{
  const struct runner *r = t->runner;

  cell_log (c, "run_given_up", task_job (t)->id,
            "\"task\":\"%u.%u.%u\",\"run\":%u,\"runner\":\"%s\","
            "\"why\":\"%s\",\"answer_age_ms\":%llu,\"token\":%llu,"
            "\"confirmed_ms\":%llu",
            t->step->occurrence->number, t->step->number, t->index, t->run,
            r->report.id, run_over_name (why),
            (unsigned long long)((c->now_us - r->answered_at_us) / US_PER_MS),
            (unsigned long long)c->ownership.token,
            (unsigned long long)((c->now_us - c->ownership.confirmed_at_us)
                                 / US_PER_MS));
}

void
task_release (struct cell *c, struct task *t, enum run_over why)
{
  struct resources room = place_occupied_by (t->step->spec);

  if (t->runner == NULL)
    return;
  if (why > RUN_ENDED)
    log_run_given_up (c, t, why);
  if (why > RUN_REFUSED)
    {
      t->last_run_over = why;
      t->over_at_us = needs_confirmation (t->runner, why) ? c->now_us : 0;
      t->runner->runs_over_at_us
          = MAX (t->runner->runs_over_at_us, t->over_at_us);
    }
  image_samples_on_release (c, t);
  g_ptr_array_remove_fast (t->runner->tasks, t);
  resources_subtract (&t->runner->used, &room);
  resources_subtract (usage_of (c, task_job (t)->tenant),
                      &t->step->spec->need);
  t->runner = NULL;
  t->evicting = false;
  t->working_at_us = 0;
  c->dispatch_due = true;
  if (t->phase == TASK_DONE)
    return;
  t->phase = TASK_WAITING;
  t->ready_at_us = c->now_us;
  t->step->waiting_count++;
}

void
task_start (struct cell *c, struct task *t, struct runner *r)
{
  struct job *j = task_job (t);
  struct runner_order *o;

  task_assign (c, t, r);
  t->phase = TASK_STARTING;
  t->reconciled = true;
  t->run = MAX (t->run, t->ended_run) + 1;
  t->start_confirmed = false;
  t->slow_run = false;
  t->ordered_at_us = t->start_ordered_at_us = c->now_us;
  t->adopted_at_us = 0;
  jobs_note_started (c, j);
  c->metrics.counters[CELL_COUNT_STARTS]++;
  o = runners_send_order (c, r, ORDER_START, t);
  o->payload = blob_ref (j->spec->payload);
  text_copy (o->checkpoint, CHECKPOINT_BYTES, t->checkpoint);
  cell_log (c, "start_ordered", j->id,
            "\"task\":\"%u.%u.%u\",\"run\":%u,\"runner\":\"%s\","
            "\"token\":%llu,\"used_milli\":%llu,\"waited_ms\":%llu,"
            "\"after\":\"%s\",\"confirmed_ms\":%llu",
            t->step->occurrence->number, t->step->number, t->index, t->run,
            r->report.id, (unsigned long long)c->ownership.token,
            (unsigned long long)r->used.cpu_milli,
            (unsigned long long)((c->now_us - t->ready_at_us) / US_PER_MS),
            run_over_name (t->last_run_over),
            (unsigned long long)((c->now_us - c->ownership.confirmed_at_us)
                                 / US_PER_MS));
}

void
task_stop (struct cell *c, struct task *t)
{
  if (t->runner == NULL)
    return;
  t->phase = TASK_STOPPING;
  t->ordered_at_us = c->now_us;
  t->stop_acked_at_us = 0;
  runners_send_order (c, t->runner, ORDER_STOP, t);
}

static void
unblock_step (struct cell *c, struct work_step *s)
{
  uint32_t i;

  s->ready = true;
  for (i = 0; i < s->spec->task_count; i++)
    s->tasks[i].ready_at_us = c->now_us;
  c->dispatch_due = true;
}

void
task_unblock_steps (struct cell *c, struct occurrence *o)
{
  const struct job_spec *spec = o->job->spec;
  uint32_t i;
  uint32_t k;

  for (i = 0; i < spec->step_count; i++)
    {
      struct work_step *s = &o->steps[i];
      bool due = !s->ready;

      for (k = 0; due && k < s->spec->after_count; k++)
        {
          const struct work_step *before = &o->steps[s->spec->after[k]];

          due = before->done_count == before->spec->task_count;
        }
      if (due)
        unblock_step (c, s);
    }
}

void
task_end_job_if_done (struct cell *c, struct job *j)
{
  uint32_t wanted
      = j->spec->occurrence_count == 0 ? 1 : j->spec->occurrence_count;

  if (j->open_occurrence_count == 0
      && j->first_occurrence + j->occurrence_count == wanted)
    jobs_end (c, j, JOB_COMPLETED);
}

void
task_complete (struct cell *c, struct task *t)
{
  struct work_step *s = t->step;
  struct occurrence *o = s->occurrence;

  if (t->phase == TASK_DONE)
    return;
  if (t->phase == TASK_WAITING)
    s->waiting_count--;
  t->phase = TASK_DONE;
  t->progress_unstored = true;
  s->done_count++;
  jobs_mark_dirty (c, o->job);
  if (s->done_count < s->spec->task_count)
    return;
  o->open_step_count--;
  if (o->open_step_count > 0)
    {
      task_unblock_steps (c, o);
      return;
    }
  o->job->open_occurrence_count--;
  task_end_job_if_done (c, o->job);
}

/* Notes that a run of T failed on R, and quarantines R if it is due.  */
static void
note_runner_failure (struct cell *c, struct runner *r, const struct task *t)
{
  uint64_t job = task_job (t)->id;

  if (r->failed_job != job)
    r->failed_run_count++;
  r->failed_job = job;
  if (r->failed_run_count < QUARANTINE_FAILURE_COUNT)
    return;
  r->quarantine_ms = r->quarantine_ms == 0
                         ? QUARANTINE_MS
                         : MIN (2 * r->quarantine_ms, QUARANTINE_LIMIT_MS);
  r->quarantined_until_us = c->now_us + r->quarantine_ms * US_PER_MS;
  r->failed_run_count = QUARANTINE_FAILURE_COUNT - 1;
  cell_log (c, "runner_quarantined", job, "\"runner\":\"%s\",\"for_ms\":%u",
            r->report.id, r->quarantine_ms);
}

/* Notes that RUN failed.  Returns false if it was counted before, maybe by a
   former owner: a runner lists an end until it is told that the end is stored.
   All numbers are compared, as ends on several runners come in any order.  */
static bool
note_failed_run (struct task *t, uint32_t run)
{
  /* 0 stands for none in a record.  */
  uint16_t number = (uint16_t)run != 0 ? (uint16_t)run : UINT16_MAX;
  uint32_t n = t->failed_run_count;
  uint32_t i = 0;

  while (i < n && t->failed_runs[i] < number)
    i++;
  if (i < n && t->failed_runs[i] == number)
    return false;
  if (t->step->spec->long_running && n >= FAILED_RUN_COUNT)
    {
      if (i == 0)
        return true;
      /* The lowest one goes.  */
      i--;
      memmove (t->failed_runs, t->failed_runs + 1, i * sizeof *t->failed_runs);
      t->failed_runs[i] = number;
      return true;
    }
  t->failed_runs
      = talloc_realloc (t->step->occurrence, t->failed_runs, uint16_t, n + 1);
  if (t->failed_runs == NULL)
    out_of_memory ();
  memmove (t->failed_runs + i + 1, t->failed_runs + i,
           (n - i) * sizeof *t->failed_runs);
  t->failed_runs[i] = number;
  t->failed_run_count++;
  return true;
}

void
task_judge_failures (struct cell *c, struct task *t,
                     const struct site_queue *q)
{
  struct job *j = task_job (t);
  uint32_t limit = MAX (q->attempt_limit, 1);

  if (t->failed_count < limit || t->step->spec->long_running)
    return;
  cell_log (c, "task_attempts_exhausted", j->id,
            "\"task\":\"%u.%u.%u\",\"failed\":%u,\"limit\":%u",
            t->step->occurrence->number, t->step->number, t->index,
            t->failed_count, limit);
  jobs_end (c, j, JOB_FAILED);
}

static void
count_failure (struct cell *c, struct runner *r, struct task *t)
{
  struct job *j = task_job (t);
  const struct site_queue *q = cell_find_queue (c, j->queue);

  t->failed_count++;
  t->progress_unstored = true;
  t->failed_on = r;
  note_runner_failure (c, r, t);
  jobs_mark_dirty (c, j);
  /* Runs that former owners started may have failed on runners that have not
     answered this owner: the task waits until they have.  */
  if (j->inherited && !t->step->spec->long_running
      && (q == NULL || t->run >= q->attempt_limit))
    t->reconciled = false;
  if (q != NULL)
    {
      task_judge_failures (c, t, q);
      return;
    }
  j->failures_unjudged = true;
  cell_log (c, "failure_limit_unknown", j->id,
            "\"task\":\"%u.%u.%u\",\"failed\":%u,\"queue\":\"%s\"",
            t->step->occurrence->number, t->step->number, t->index,
            t->failed_count, j->queue);
}

/* Marks T as done.  When one task of a gang is done, all are.  */
static void
complete_task_or_gang (struct cell *c, struct task *t)
{
  struct work_step *s = t->step;
  uint32_t i;

  if (!s->spec->gang)
    {
      task_complete (c, t);
      return;
    }
  for (i = 0; i < s->spec->task_count; i++)
    task_complete (c, &s->tasks[i]);
}

/* Handles that a run of T was done on R.  A long-running task starts again;
   any other is done, and if the run was an older one, the current run is
   stopped.  */
static void
on_done (struct cell *c, struct runner *r, struct task *t, bool is_current_run)
{
  r->failed_run_count = 0;
  r->quarantine_ms = 0;
  if (is_current_run)
    {
      slow_runners_on_done (c, r, t);
      if (!t->slow_run)
        place_record_run_time (c, t);
    }
  if (t->step->spec->long_running)
    return;
  if (!is_current_run && t->runner != NULL)
    task_stop (c, t);
  complete_task_or_gang (c, t);
}

void
task_on_end (struct cell *c, struct runner *r, struct ended_run *e)
{
  struct task *t = jobs_find_task (c, &e->task);
  bool is_current_run;

  c->metrics.counters[CELL_COUNT_ENDS]++;
  if (t == NULL)
    return;
  is_current_run = t->runner == r && t->run == e->run;
  /* A run of a former owner may have a higher number than the current one,
     which keeps its own.  */
  t->ended_run = MAX (t->ended_run, e->run);
  if (t->phase == TASK_WAITING)
    t->run = MAX (t->run, e->run);
  if (e->checkpoint[0] != '\0' && t->phase != TASK_DONE)
    text_copy (t->checkpoint, CHECKPOINT_BYTES, e->checkpoint);
  if (e->kind != END_DONE)
    cell_log (c, "task_ended", e->task.job,
              "\"task\":\"%u.%u.%u\",\"run\":%u,\"runner\":\"%s\","
              "\"how\":\"%s\",\"failed\":%u,\"phase\":\"%s\",\"final\":%s",
              e->task.occurrence, e->task.step, e->task.index, e->run,
              r->report.id, end_kind_name (e->kind), t->failed_count,
              phase_names[t->phase], task_job (t)->final ? "true" : "false");
  if (is_current_run && e->kind == END_STOPPED)
    slow_runners_on_stopped (c, t);
  if (task_job (t)->final)
    {
      if (is_current_run)
        task_release (c, t, RUN_ENDED);
      return;
    }
  switch (e->kind)
    {
    case END_DONE:
      on_done (c, r, t, is_current_run);
      break;
    case END_FAILED:
      if (note_failed_run (t, e->run))
        count_failure (c, r, t);
      break;
    default:
      break;
    }
  if (is_current_run)
    task_release (c, t, RUN_ENDED);
}

void
task_on_start_result (struct cell *c, struct task *t, struct runner *r,
                      enum order_outcome outcome)
{
  if (outcome != ORDER_DONE)
    cell_log (c, "start_not_done", task_job (t)->id,
              "\"task\":\"%u.%u.%u\",\"run\":%u,\"runner\":\"%s\","
              "\"outcome\":\"%s\"",
              t->step->occurrence->number, t->step->number, t->index, t->run,
              r->report.id, order_outcome_name (outcome));
  if (outcome != ORDER_DONE && outcome != ORDER_UNKNOWN)
    c->metrics.counters[CELL_COUNT_START_REFUSED]++;
  switch (outcome)
    {
    case ORDER_DONE:
      /* It is not confirmed yet if R's boot has changed since the order.  */
      if (t->phase == TASK_STARTING || t->phase == TASK_UNCONFIRMED)
        t->phase = TASK_RUNNING;
      t->start_confirmed = true;
      progress_note_start (t, r);
      t->start_known_at_us = c->now_us;
      return;
    case ORDER_UNKNOWN:
      if (t->phase == TASK_STARTING)
        t->phase = TASK_UNCONFIRMED;
      t->start_known_at_us = c->now_us;
      c->metrics.counters[CELL_COUNT_ORDERS_UNANSWERED]++;
      runners_schedule_poll (c, r, 0);
      return;
    case ORDER_STALE:
      t->run += STALE_SKIP_COUNT;
      break;
    case ORDER_OTHER_BOOT:
      break;
    case ORDER_NO_ROOM:
      r->full_until_us = c->now_us + FULL_BACKOFF_MS * US_PER_MS;
      runners_schedule_poll (c, r, 0);
      break;
    default:
      r->refused_until_us = c->now_us + REFUSED_BACKOFF_MS * US_PER_MS;
      runners_schedule_poll (c, r, 0);
      break;
    }
  /* The start was refused, so this run does not exist and never will.  */
  task_release (c, t, RUN_REFUSED);
}
