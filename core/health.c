/* health.c -- quarantine of failing workers.

   Each failure is attributed to the job or to the worker.  A failed connect is
   the worker's.  A 5xx or a lost answer is the job's if the last outcome of
   its queue was a failure on at least two other workers and a success on none,
   or if this request has failed on, or was rejected by, another worker before.
   Any other failure is the worker's.

   Enough failures in a row put the worker in quarantine ("set_aside" in notes
   and counters) for a time that doubles with each failed probe.  After it, the
   worker gets one request at a time as a probe, then two, then four, up to all
   its slots; then it is healthy again ("let_back" in notes).

   Invariant: at most 1 in QUARANTINE_PART workers of a pool is in quarantine
   or still being probed after it.  */

#include "core/state.h"

#include <string.h>

/** Failures in a row that put a worker in quarantine.  */
#define FAILURE_STREAK_LIMIT_COUNT 5
/** Failures that a failed connect counts as: the job cannot be at fault.  */
#define CONNECT_WEIGHT 2
/** Lengths of the first and of the longest quarantine.  */
#define QUARANTINE_FIRST_US US_PER_S
#define QUARANTINE_LIMIT_US (30 * US_PER_S)
/** Most times that the length doubles.  */
#define QUARANTINE_SHIFT_LIMIT 5
/** At most 1 in QUARANTINE_PART workers of a pool; see the invariant above. */
#define QUARANTINE_PART 3
/** Up to 1 / JITTER_PART of a quarantine's length is added at random, so that
    the probes of several workers do not coincide.  */
#define JITTER_PART 4
/** Other workers on which a queue must have failed for a failure to be the
    job's.  */
#define JOB_FAULT_COUNT 2
/** How long a request avoids a worker on which it failed.  */
#define AVOID_US (200 * US_PER_MS)

/* Returns where the last outcome of QUEUE on the worker is stored, or NULL. */
static uint8_t *
last_outcome (struct core *c, const char *queue, uint32_t vm_index)
{
  const struct config *f = c->control->config;
  const struct route_config *r = control_find_route (c->control, queue);

  if (r == NULL || c->last_outcomes == NULL)
    return NULL;
  return &c->last_outcomes[(size_t)(r - f->routes) * f->vm_count + vm_index];
}

/* Returns true if the last outcome of QUEUE was a failure on enough workers
   other than VM_INDEX and a success on none of them.  */
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

/* Returns true from the start of V's quarantine until V is healthy again.  */
static bool
is_quarantined (const struct vm_state *v)
{
  return v->health.quarantine_count > 0;
}

/* Returns true if the invariant allows one more quarantine in VM_INDEX's
   pool.  */
static bool
may_quarantine (const struct core *c, uint32_t vm_index)
{
  const struct config *f = c->control->config;
  uint32_t pool = f->vms[vm_index].pool_index;
  uint32_t total_count = 0;
  uint32_t quarantined_count = 0;
  uint32_t i;

  for (i = 0; i < f->vm_count; i++)
    if (f->vms[i].pool_index == pool)
      {
        total_count++;
        quarantined_count += is_quarantined (&c->vms[i]) ? 1 : 0;
      }
  return quarantined_count + 1 <= total_count / QUARANTINE_PART;
}

/* Starts the quarantine of a worker, if the invariant allows one more, or
   prolongs it.  */
static void
quarantine_vm (struct core *c, uint32_t vm_index)
{
  struct vm_health *h = &c->vms[vm_index].health;
  uint32_t shift = h->quarantine_count;
  uint64_t quarantine_us;

  if (h->quarantine_count == 0 && !may_quarantine (c, vm_index))
    return;
  if (h->quarantine_count == 0)
    core_note (c, NOTE_WORKER_QUARANTINED, c->vms[vm_index].name,
               h->consecutive_failure_count);
  if (shift > QUARANTINE_SHIFT_LIMIT)
    shift = QUARANTINE_SHIFT_LIMIT;
  quarantine_us = QUARANTINE_FIRST_US << shift;
  if (quarantine_us > QUARANTINE_LIMIT_US)
    quarantine_us = QUARANTINE_LIMIT_US;
  h->quarantine_count++;
  h->quarantined_until_us
      = c->now_us + quarantine_us + c->random % (quarantine_us / JITTER_PART);
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
  /* Each success after the quarantine doubles how many may run at once.  */
  h->concurrency_limit_count *= 2;
  if (h->concurrency_limit_count
      < c->control->config->vms[r->vm_index].slot_count)
    return;
  memset (h, 0, sizeof *h);
  core_note (c, NOTE_WORKER_RECOVERED, c->vms[r->vm_index].name, 0);
}

/* Deducts one failure from the first worker on which R failed: R failed on a
   second one as well, so the failure was the job's.  */
static void
clear_first_failure (struct core *c, const struct request *r)
{
  uint32_t i;

  for (i = 0; i < c->control->config->vm_count; i++)
    if (strcmp (c->vms[i].name, r->failed_vms[0]) == 0
        && c->vms[i].health.consecutive_failure_count > 0)
      c->vms[i].health.consecutive_failure_count--;
}

/* Returns true if the failure is attributed to the job.  If the only
   entry of R's failed_vms is another worker, also deducts one failure from
   that worker.  */
static bool
is_job_fault (struct core *c, const struct request *r,
              enum attempt_outcome outcome)
{
  if (outcome == ATTEMPT_NOT_SENT)
    return false;
  if (r->failed_vm_count > 0 && strcmp (r->failed_vms[0], r->vm) != 0)
    {
      if (r->failed_vm_count == 1)
        clear_first_failure (c, r);
      return true;
    }
  return queue_fails_elsewhere (c, r->queue, (uint32_t)r->vm_index);
}

/* Puts the worker in quarantine if its failures require it.  Of a worker being
   probed one failure is enough.  A failure that arrives during a quarantine
   does not count, since its request was sent before.  */
static void
quarantine_if_due (struct core *c, uint32_t vm_index)
{
  const struct vm_health *h = &c->vms[vm_index].health;
  bool probing = h->concurrency_limit_count > 0;

  if (probing ? c->now_us >= h->quarantined_until_us
              : h->consecutive_failure_count >= FAILURE_STREAK_LIMIT_COUNT)
    quarantine_vm (c, vm_index);
}

/* Returns true if R may go to some healthy worker of the pool on which it has
   not failed.  */
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

/* Makes R avoid its worker for a while if another one can take it.  */
static void
avoid_failed_vm (struct core *c, struct request *r)
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
      avoid_failed_vm (c, r);
      return;
    }
  h = &c->vms[r->vm_index].health;
  last = last_outcome (c, r->queue, (uint32_t)r->vm_index);
  if (!is_job_fault (c, r, outcome))
    {
      h->consecutive_failure_count
          += outcome == ATTEMPT_NOT_SENT ? CONNECT_WEIGHT : 1;
      quarantine_if_due (c, (uint32_t)r->vm_index);
    }
  if (last != NULL && outcome != ATTEMPT_NOT_SENT)
    *last = OUTCOME_FAILURE;
  avoid_failed_vm (c, r);
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
  /* A request that still waits may be avoiding a worker.  */
  if (c->waiting_count > 0
      && (c->health_check_at_us == 0
          || c->health_check_at_us > c->now_us + AVOID_US))
    c->health_check_at_us = c->now_us + AVOID_US;
}
