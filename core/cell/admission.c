/* admission.c -- refuses a job that would end too late to have any value.

   A pool owes the work of the jobs that it has accepted and that still have
   value.  Divided by the cores that it has and can get, that is the time after
   which a new job would be done.  Work that can be done in time goes first
   (dispatch.c).  So a job is accepted if it would end in time after that work;
   else it would be late, after all the work that is owed.  When that is past
   the time at which it loses its value, it is refused at once; it has not run.

   Callers are told to come back when room is expected, one after the other at
   the rate at which the work is done, so that they do not all return at once
   and are refused again.

   The load this answers: a hot tenant, or a surge, asks for several times what
   the whole fleet can do, for longer than jobs have value.  While the VMs of
   the pool are not known, nothing is refused here.  */

#include "core/cell/demand.h"
#include "core/cell/fleet.h"

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

/* Returns the time that CORES_MILLI thousandths of a core take for OWED.  */
static uint64_t
wait_us (uint64_t owed, uint64_t cores_milli)
{
  return cores_milli > 0 ? owed / cores_milli : 0;
}

/* Returns the delay to advise for a job of WORK whose room is expected in
   ROOM_US, and moves *NEXT_US, when the next refused caller may return, on by
   the time that the work takes.  */
static uint32_t
take_turn (const struct cell *c, uint64_t room_us, uint64_t work,
           uint64_t cores_milli, uint64_t *next_us)
{
  uint64_t at_us = MAX (c->now_us + room_us, *next_us);
  uint64_t delay_ms = (at_us - c->now_us) / US_PER_MS;

  *next_us = at_us + wait_us (work, cores_milli);
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

uint32_t
admission_retry_ms (struct cell *c, const struct job *j)
{
  const struct site_queue *q = cell_find_queue (c, j->queue);
  struct pool_demand *m = q != NULL ? demand_find (c, q->pool) : NULL;
  uint64_t chain_us = jobs_longest_chain_us (c, j);
  uint64_t cores_milli;
  uint64_t span_us;
  uint64_t value_us;
  uint64_t age_us = c->now_us - j->arrived_at_us;
  uint64_t work;
  uint64_t in_time_us;
  uint64_t end_us;

  if (m == NULL || j->spec->occurrence_count > 0
      || j->spec->steps[0].long_running)
    return 0;
  cores_milli = demand_reachable_milli (c, m);
  if (cores_milli == 0)
    return 0;
  work = admission_work_of (c, j);
  span_us
      = chain_us * q->stretch_milli / 1000 + q->objective_slack_ms * US_PER_MS;
  value_us = LATE_FACTOR * span_us;
  in_time_us = age_us + wait_us (m->owed_in_time, cores_milli) + chain_us;
  end_us = age_us + wait_us (m->owed, cores_milli) + chain_us;
  if (in_time_us <= span_us || end_us <= value_us)
    return 0;
  cell_log (c, "job_refused", j->id,
            "\"queue\":\"%s\",\"tenant\":\"%s\",\"active\":%u,"
            "\"why\":\"too_late\",\"end_ms\":%llu,\"value_ms\":%llu,"
            "\"cores_milli\":%llu",
            j->queue, j->tenant, c->active->len,
            (unsigned long long)(end_us / US_PER_MS),
            (unsigned long long)(value_us / US_PER_MS),
            (unsigned long long)cores_milli);
  remember (c, j);
  return take_turn (c, end_us - value_us, work, cores_milli,
                    &m->next_return_us);
}
