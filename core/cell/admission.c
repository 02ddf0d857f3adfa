/* admission.c -- asks core/load/admission about a new job, and remembers those
   that were refused.

   Callers are told to come back when room is expected, one after the other at
   the rate at which the work is done, so that they do not all return at once
   and are refused again.  While the VMs of the pool are not known, nothing is
   refused here.  */

#include "core/cell/demand.h"
#include "core/cell/fleet.h"
#include "core/load/admission.h"

#include <string.h>

/** Refused jobs that are remembered, so that one that returns counts from its
    first call.  */
#define REFUSED_LIMIT_COUNT 4096
/** Bounds of the delay that a refusal advises.  */
#define RETRY_MIN_MS 500
#define RETRY_MAX_MS 10000

uint64_t
admission_work_of (struct cell *c, const struct job *j)
{
  uint64_t work = 0;
  uint32_t i;

  for (i = 0; i < j->spec->step_count; i++)
    work += j->spec->steps[i].task_count * j->spec->steps[i].need.cpu_milli
            * place_expected_task_us (c, j, &j->spec->steps[i]);
  return work;
}

/* Returns the delay to advise for a job of WORK whose room is expected in
   ROOM_US, and moves M's next_return_us, when the next refused caller may
   return, on by the time that the work takes.  */
static uint32_t
take_turn (const struct cell *c, struct pool_demand *m, uint64_t room_us,
           uint64_t work)
{
  uint64_t at_us = MAX (c->now_us + room_us, m->next_return_us);
  uint64_t delay_ms = (at_us - c->now_us) / US_PER_MS;
  uint64_t cores_milli = forecast_cores_milli (&m->forecast, at_us);

  m->next_return_us = at_us + (cores_milli > 0 ? work / cores_milli : 0);
  return (uint32_t)CLAMP (delay_ms, RETRY_MIN_MS, RETRY_MAX_MS);
}

/* Remembers that J, refused now, arrived first at its arrived_at_us.  */
static void
remember (struct cell *c, const struct job *j)
{
  struct refused_job *x;

  if (g_hash_table_contains (c->refused_jobs, &j->id))
    return;
  if (g_queue_get_length (c->refused_ids) == REFUSED_LIMIT_COUNT)
    {
      x = g_queue_pop_head (c->refused_ids);
      g_hash_table_remove (c->refused_jobs, &x->id);
    }
  x = g_new (struct refused_job, 1);
  x->id = j->id;
  x->arrived_at_us = j->arrived_at_us;
  g_queue_push_tail (c->refused_ids, x);
  g_hash_table_insert (c->refused_jobs, &x->id, x);
}

uint64_t
admission_first_arrival_us (const struct cell *c, uint64_t id,
                            uint64_t arrived_at_us)
{
  const struct refused_job *x = g_hash_table_lookup (c->refused_jobs, &id);

  return x != NULL ? MIN (x->arrived_at_us, arrived_at_us) : arrived_at_us;
}

void
admission_clear (struct cell *c)
{
  g_hash_table_remove_all (c->refused_jobs);
  g_queue_clear (c->refused_ids);
}

static void
log_refusal (struct cell *c, const struct pool_demand *m, const struct job *j,
             const struct admission_job *a, const struct admission_verdict *v)
{
  cell_log (
      c, "job_refused", j->id,
      "\"queue\":\"%s\",\"tenant\":\"%s\",\"active\":%u,"
      "\"why\":\"too_late\",\"end_ms\":%llu,\"value_ms\":%llu,"
      "\"cores_milli\":%llu",
      j->queue, j->tenant, c->active->len,
      (unsigned long long)(v->end_us / US_PER_MS),
      (unsigned long long)(a->value_us / US_PER_MS),
      (unsigned long long)forecast_cores_milli (&m->forecast, c->now_us));
}

uint32_t
admission_retry_ms (struct cell *c, struct job *j)
{
  const struct site_queue *q = cell_find_queue (c, j->queue);
  struct pool_demand *m = q != NULL ? demand_find (c, q->pool) : NULL;
  struct admission_backlog owed;
  struct admission_job a = { .arrived_at_us = j->arrived_at_us };
  struct admission_verdict v;

  if (m == NULL || !c->fleet->listed || j->spec->occurrence_count > 0
      || j->spec->steps[0].long_running)
    return 0;
  owed.in_time = m->owed_in_time;
  owed.all = m->owed;
  a.chain_us = jobs_longest_chain_us (c, j);
  a.objective_us = a.chain_us * q->stretch_milli / 1000
                   + q->objective_slack_ms * US_PER_MS;
  a.value_us = LATE_FACTOR * a.objective_us;
  a.work = admission_work_of (c, j);
  v = admission_decide (&m->forecast, &owed, &a, c->now_us);
  j->predicted_end_us = v.known ? j->arrived_at_us + v.end_us : 0;
  if (!v.refused)
    return 0;
  log_refusal (c, m, j, &a, &v);
  remember (c, j);
  return take_turn (c, m, v.room_us, a.work);
}
