/* health.c -- which workers are fit for work.

   A failure is put down to the job or to the worker before anything is
   retried.  A failed connect is always the worker's.  A 5xx or a lost answer
   is the job's if its queue failed last on two other workers at least and
   succeeded last on none, or if this very request has failed on another
   worker.  What is left counts against the worker: enough in a row set it
   aside for a time that doubles with each probe that fails.  It is let back
   by one request at a time, then two, then four, up to all its slots.

   Invariant: of a pool never more than 1 in ASIDE_PART workers is aside.  */

#include "core/state.h"

#include <string.h>

/** Failures in a row that set a worker aside.  */
#define STREAK_LIMIT_COUNT 5
/** A failed connect weighs more: no job can be at fault.  */
#define CONNECT_WEIGHT 2
#define ASIDE_FIRST_US US_PER_S
#define ASIDE_LIMIT_US (30 * US_PER_S)
#define ASIDE_SHIFT_LIMIT 5
#define ASIDE_PART 3
/** A part of the time aside is random, so that probes do not come at once.  */
#define JITTER_PART 4
/** Workers that a queue must have failed on to bear the blame itself.  */
#define JOB_FAULT_COUNT 2
/** How long a request is kept from the workers that it failed on.  */
#define AVOID_US (200 * US_PER_MS)

static uint8_t *
last_outcome (struct core *c, const char *queue, uint32_t vm_index)
{
  const struct config *f = c->control->config;
  const struct route_config *r = control_find_route (c->control, queue);

  if (r == NULL || c->last_outcomes == NULL)
    return NULL;
  return &c->last_outcomes[(size_t)(r - f->routes) * f->vm_count + vm_index];
}

/* Returns true if QUEUE has lately failed on other workers than VM_INDEX and
   succeeded on none of them.  */
static bool
queue_fails_elsewhere (struct core *c, const char *queue, uint32_t vm_index)
{
  const uint8_t *row = last_outcome (c, queue, 0);
  uint32_t failed_count = 0;
  uint32_t i;

  if (row == NULL)
    return false;
  for (i = 0; i < c->control->config->vm_count; i++)
    {
      if (i == vm_index || row[i] == OUTCOME_NONE)
        continue;
      if (row[i] == OUTCOME_SUCCESS)
        return false;
      failed_count++;
    }
  return failed_count >= JOB_FAULT_COUNT;
}

static bool
is_aside (const struct vm_state *v)
{
  return v->health.quarantine_count > 0;
}

static bool
may_set_aside (const struct core *c, uint32_t vm_index)
{
  const struct config *f = c->control->config;
  uint32_t pool = f->vms[vm_index].pool_index;
  uint32_t total_count = 0;
  uint32_t aside_count = 0;
  uint32_t i;

  for (i = 0; i < f->vm_count; i++)
    if (f->vms[i].pool_index == pool)
      {
        total_count++;
        aside_count += is_aside (&c->vms[i]) ? 1 : 0;
      }
  return aside_count + 1 <= total_count / ASIDE_PART;
}

static void
set_aside (struct core *c, uint32_t vm_index)
{
  struct vm_health *h = &c->vms[vm_index].health;
  uint32_t shift = h->quarantine_count;
  uint64_t time_us;

  if (h->quarantine_count == 0 && !may_set_aside (c, vm_index))
    return;
  if (h->quarantine_count == 0)
    core_note (c, NOTE_WORKER_QUARANTINED, c->vms[vm_index].name,
               h->consecutive_failure_count);
  if (shift > ASIDE_SHIFT_LIMIT)
    shift = ASIDE_SHIFT_LIMIT;
  time_us = ASIDE_FIRST_US << shift;
  if (time_us > ASIDE_LIMIT_US)
    time_us = ASIDE_LIMIT_US;
  h->quarantine_count++;
  h->quarantined_until_us
      = c->now_us + time_us + c->random % (time_us / JITTER_PART);
  h->concurrency_limit_count = 1;
  if (c->health_check_at_us == 0
      || h->quarantined_until_us < c->health_check_at_us)
    c->health_check_at_us = h->quarantined_until_us;
  c->counters[COUNTER_QUARANTINES]++;
}

void
core_health_success (struct core *c, const struct request *r)
{
  struct vm_health *h;
  uint8_t *last;

  if (r->vm_index < 0)
    return;
  h = &c->vms[r->vm_index].health;
  last = last_outcome (c, r->queue, (uint32_t)r->vm_index);
  if (last != NULL)
    *last = OUTCOME_SUCCESS;
  h->consecutive_failure_count = 0;
  if (h->concurrency_limit_count == 0 || c->now_us < h->quarantined_until_us)
    return;
  /* Let back slowly: twice as much with each success.  */
  h->concurrency_limit_count *= 2;
  if (h->concurrency_limit_count
      < c->control->config->vms[r->vm_index].slot_count)
    return;
  memset (h, 0, sizeof *h);
  core_note (c, NOTE_WORKER_RECOVERED, c->vms[r->vm_index].name, 0);
}

/* The first worker of a request that failed on a second one as well bears no
   blame for it.  */
static void
take_back (struct core *c, const struct request *r)
{
  uint32_t i;

  for (i = 0; i < c->control->config->vm_count; i++)
    if (strcmp (c->vms[i].name, r->failed_vms[0]) == 0
        && c->vms[i].health.consecutive_failure_count > 0)
      c->vms[i].health.consecutive_failure_count--;
}

static bool
is_job_fault (struct core *c, const struct request *r,
              enum attempt_outcome outcome)
{
  if (outcome == ATTEMPT_NOT_SENT)
    return false;
  if (r->failed_vm_count > 0 && strcmp (r->failed_vms[0], r->vm) != 0)
    {
      if (r->failed_vm_count == 1)
        take_back (c, r);
      return true;
    }
  return queue_fails_elsewhere (c, r->queue, (uint32_t)r->vm_index);
}

/* Sets the worker aside if its failures say so.  A probe that fails needs no
   second one; runs started before it was set aside tell nothing new.  */
static void
judge_worker (struct core *c, uint32_t vm_index)
{
  const struct vm_health *h = &c->vms[vm_index].health;
  bool probing = h->concurrency_limit_count > 0;

  if (probing ? c->now_us >= h->quarantined_until_us
              : h->consecutive_failure_count >= STREAK_LIMIT_COUNT)
    set_aside (c, vm_index);
}

/* Returns true if some fit worker of the pool has not failed R.  */
static bool
has_other_vm (const struct core *c, const struct request *r)
{
  const struct config *f = c->control->config;
  uint32_t i;

  for (i = 0; i < f->vm_count; i++)
    if (f->vms[i].pool_index == f->vms[r->vm_index].pool_index
        && core_vm_takes_work (c, i) && core_vm_is_healthy (c, i)
        && !core_request_avoids (c, r, i))
      return true;
  return false;
}

static void
note_failed_vm (struct core *c, struct request *r)
{
  if (r->failed_vm_count < ATTEMPT_LIMIT_COUNT)
    text_copy (r->failed_vms[r->failed_vm_count++], NAME_BYTES, r->vm);
  r->avoid_until_us = c->now_us + AVOID_US;
  if (!has_other_vm (c, r))
    r->avoid_until_us = 0;
  else if (c->health_check_at_us == 0
           || r->avoid_until_us < c->health_check_at_us)
    c->health_check_at_us = r->avoid_until_us;
}

void
core_health_failure (struct core *c, struct request *r,
                     enum attempt_outcome outcome)
{
  struct vm_health *h;
  uint8_t *last;

  if (r->vm_index < 0)
    return;
  if (outcome == ATTEMPT_REJECTED)
    {
      note_failed_vm (c, r);
      return;
    }
  h = &c->vms[r->vm_index].health;
  last = last_outcome (c, r->queue, (uint32_t)r->vm_index);
  if (!is_job_fault (c, r, outcome))
    {
      h->consecutive_failure_count
          += outcome == ATTEMPT_NOT_SENT ? CONNECT_WEIGHT : 1;
      judge_worker (c, (uint32_t)r->vm_index);
    }
  if (last != NULL && outcome != ATTEMPT_NOT_SENT)
    *last = OUTCOME_FAILURE;
  note_failed_vm (c, r);
}

bool
core_vm_is_healthy (const struct core *c, uint32_t vm_index)
{
  const struct vm_health *h = &c->vms[vm_index].health;

  if (h->concurrency_limit_count == 0)
    return true;
  return c->now_us >= h->quarantined_until_us
         && c->vms[vm_index].running_count < h->concurrency_limit_count;
}

bool
core_request_avoids (const struct core *c, const struct request *r,
                     uint32_t vm_index)
{
  uint32_t i;

  if (r->failed_vm_count == 0 || c->now_us >= r->avoid_until_us)
    return false;
  for (i = 0; i < r->failed_vm_count; i++)
    if (strcmp (r->failed_vms[i], c->vms[vm_index].name) == 0)
      return true;
  return false;
}

void
core_health_tick (struct core *c)
{
  uint32_t i;

  if (c->health_check_at_us == 0 || c->now_us < c->health_check_at_us
      || c->control->config == NULL)
    return;
  c->health_check_at_us = 0;
  for (i = 0; i < c->control->config->vm_count; i++)
    {
      const struct vm_health *h = &c->vms[i].health;

      if (h->quarantined_until_us > c->now_us
          && (c->health_check_at_us == 0
              || h->quarantined_until_us < c->health_check_at_us))
        c->health_check_at_us = h->quarantined_until_us;
    }
  core_mark_all_pools (c);
  core_dispatch_all (c);
  /* What still waits may be kept from a worker for a while.  */
  if (c->waiting_count > 0
      && (c->health_check_at_us == 0
          || c->health_check_at_us > c->now_us + AVOID_US))
    c->health_check_at_us = c->now_us + AVOID_US;
}
