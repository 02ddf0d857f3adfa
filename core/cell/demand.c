/* demand.c -- estimates how many VMs each pool needs.

   A pool needs VMs for its long-running tasks and for its short ones: those
   that run or wait and can meet their objective or, if that is more, those of
   the jobs that arrived lately.  Surges of demand, and what is prepared for
   them, are in surges.c.  */

#include "core/cell/demand.h"
#include "core/cell/fleet.h"

#include <string.h>

/** Waiting tasks should be finished within this time.  */
#define CLEAR_MS 1000
/** Number of VMs that a pool keeps beyond its need.  */
#define RESERVE_COUNT 1
/** A pool keeps this part of its initial VMs until its first surge.  */
#define INITIAL_KEEP_PERCENT 40
/** No surge is predicted when no job has arrived for this long: while the site
    is in use, some pool always has a surge.  */
#define DEMAND_END_MS 1500
/** A VM counts as on its way until its runner takes tasks, but no longer than
    this after the end of its operation, or after the beginning of a move that
    has not been carried out.  */
#define ARRIVAL_LIMIT_MS 3000
/** A VM that is wanted for emptying another is needed for this long.  */
#define VM_WANTED_MS 1000

/** Jobs that arrive within this after a change of owner are no measure of
    demand: calls that were held meanwhile come all at once.  */
#define HELD_CALLS_MS 500

struct fleet_demand *
demand_new (struct cell_fleet *f)
{
  return talloc_zero (f, struct fleet_demand);
}

void
demand_clear (struct cell *c)
{
  memset (c->fleet->demand, 0, sizeof *c->fleet->demand);
}

struct pool_demand *
demand_find (struct cell *c, const char *name)
{
  struct fleet_demand *p = c->fleet->demand;
  uint32_t i;

  for (i = 0; i < p->pool_count; i++)
    if (strcmp (p->pools[i].name, name) == 0)
      return &p->pools[i];
  return NULL;
}

/* Follows the demand on pool NAME.  Returns NULL if there are too many.  */
static struct pool_demand *
follow_pool (struct cell *c, const char *name)
{
  struct fleet_demand *p = c->fleet->demand;

  if (p->pool_count == POOL_LIMIT_COUNT)
    return NULL;
  text_copy (p->pools[p->pool_count].name, NAME_BYTES, name);
  forecast_begin (&p->pools[p->pool_count].forecast, c->now_us, 0);
  return &p->pools[p->pool_count++];
}

/* Returns the demand on pool NAME, which is added if it is configured, or NULL
   if it is not configured or there are too many pools.  */
static struct pool_demand *
find_pool (struct cell *c, const char *name)
{
  struct pool_demand *m = demand_find (c, name);
  const struct site_pool *s = m == NULL ? cell_find_pool (c, name) : NULL;

  if (s != NULL)
    m = follow_pool (c, name);
  if (m != NULL && s != NULL)
    m->spare = s->spare;
  return m;
}

/* Returns the demand on the pool of QUEUE, or NULL as find_pool does.  */
static struct pool_demand *
find_pool_of_queue (struct cell *c, const char *queue)
{
  const struct site_queue *q = cell_find_queue (c, queue);

  return q != NULL ? find_pool (c, q->pool) : NULL;
}

bool
demand_is_dirty (const struct cell *c)
{
  return c->fleet->demand->dirty;
}

/* Converts AT_US to Unix time; 0 stays 0.  */
static uint64_t
to_wall_ms (const struct cell *c, uint64_t at_us)
{
  return at_us != 0 ? c->wall_ms - (c->now_us - at_us) / US_PER_MS : 0;
}

/* Converts AT_MS, in Unix time, to this entry's clock; 0 stays 0.  */
static uint64_t
from_wall_ms (const struct cell *c, uint64_t at_ms)
{
  uint64_t age_us = c->wall_ms > at_ms ? (c->wall_ms - at_ms) * US_PER_MS : 0;

  return at_ms != 0 && c->now_us > age_us ? c->now_us - age_us : 0;
}

void
demand_add_record (struct cell *c, struct append *a)
{
  struct fleet_demand *p = c->fleet->demand;
  struct append_record *x = records_add (a);
  uint32_t i;

  p->dirty = false;
  x->kind = APPEND_RECORD_POOL_HISTORY;
  x->pool_count = p->pool_count;
  x->pools
      = talloc_zero_array (a->records, struct pool_history, p->pool_count);
  for (i = 0; i < p->pool_count; i++)
    {
      const struct pool_demand *m = &p->pools[i];
      struct pool_history *h = &x->pools[i];

      text_copy (h->name, NAME_BYTES, m->name);
      h->surge_began_at_ms = to_wall_ms (c, m->surge_began_at_us);
      h->previous_surge_at_ms = to_wall_ms (c, m->previous_surge_at_us);
      h->peak_vm_count = m->peak_vm_count;
      h->initial_vm_count = m->initial_vm_count;
      h->mean_need_milli = m->mean_need_milli;
    }
}

void
demand_restore (struct cell *c, const struct recovered_record *r)
{
  uint32_t i;

  for (i = 0; i < r->pool_count; i++)
    {
      const struct pool_history *h = &r->pools[i];
      struct pool_demand *m = demand_find (c, h->name);

      /* No configuration may have been read yet.  */
      if (m == NULL)
        m = follow_pool (c, h->name);
      if (m == NULL)
        continue;
      m->surge_began_at_us = from_wall_ms (c, h->surge_began_at_ms);
      m->previous_surge_at_us = from_wall_ms (c, h->previous_surge_at_ms);
      m->peak_vm_count = h->peak_vm_count;
      m->initial_vm_count = h->initial_vm_count;
      m->mean_need_milli = h->mean_need_milli;
    }
}

/* Returns true if V serves the pool that it counts for, or soon will.  One
   that is out of use until its maintenance begins does not, nor one that is
   about to leave, nor one in an evacuated zone.  */
static bool
is_capacity (const struct cell *c, const struct vm *v)
{
  const struct runner *r = fleet_runner (c, v);

  if (r != NULL && r->report.draining && v->phase != VM_AWAY)
    return false;
  if (fleet_is_evacuated (c, v))
    return false;
  if (!v->moving && (v->phase == VM_EMPTYING || v->phase == VM_ORDERED))
    return false;
  return v->row.up || v->phase == VM_AWAY;
}

/* Returns true if V is on its way to the pool that it counts for.  */
static bool
is_arriving (const struct cell *c, const struct vm *v)
{
  const struct runner *r = fleet_runner (c, v);
  uint64_t expected_at_us = v->returned_at_us;

  if (v->phase == VM_AWAY)
    expected_at_us = v->away_until_us;
  else if (v->moving)
    expected_at_us = v->emptying_at_us;
  else if (v->returned_at_us == 0 || (r != NULL && place_is_usable (c, r)))
    return false;
  return c->now_us < expected_at_us + ARRIVAL_LIMIT_MS * US_PER_MS;
}

/* Returns true if V serves but takes no new tasks for seconds.  */
static bool
is_unusable (const struct cell *c, const struct vm *v)
{
  const struct runner *r = fleet_runner (c, v);

  return r != NULL && !is_arriving (c, v)
         && c->now_us < r->quarantined_until_us;
}

static void
count_vms (struct cell *c)
{
  GHashTableIter it;
  gpointer value;

  g_hash_table_iter_init (&it, c->fleet->vms);
  while (g_hash_table_iter_next (&it, NULL, &value))
    {
      struct vm *v = value;
      struct pool_demand *m
          = find_pool (c, v->moving ? v->target_pool : v->row.pool);
      bool arriving;

      if (m == NULL)
        continue;
      m->listed_count++;
      if (!is_capacity (c, v))
        continue;
      m->vm_count++;
      arriving = is_arriving (c, v);
      m->arriving_count += arriving;
      supply_add_vm (c, m, v, arriving);
      m->unusable_count += is_unusable (c, v);
    }
}

/* Counts R by whether it takes new tasks, and if not, why.  */
static void
count_runner (const struct cell *c, struct pool_demand *m,
              const struct runner *r)
{
  m->usable_count += place_is_usable (c, r);
  m->emptying_count += r->vm_emptying;
  m->quarantined_count += c->now_us < r->quarantined_until_us;
  m->silent_count += r->miss_count > 0 || !r->listed;
}

static void
count_running (struct cell *c)
{
  GHashTableIter it;
  gpointer value;
  guint i;

  g_hash_table_iter_init (&it, c->runners);
  while (g_hash_table_iter_next (&it, NULL, &value))
    {
      const struct runner *r = value;
      struct pool_demand *m = find_pool (c, r->report.pool);

      if (m == NULL)
        continue;
      count_runner (c, m, r);
      m->vm_cpu_milli = MAX (m->vm_cpu_milli, r->report.capacity.cpu_milli);
      m->vm_memory_mib = MAX (m->vm_memory_mib, r->report.capacity.memory_mib);
      /* Its VM is no capacity, and holds these tasks until they end.  */
      if (r->zone_evacuated)
        continue;
      for (i = 0; i < r->tasks->len; i++)
        {
          const struct task *t = g_ptr_array_index (r->tasks, i);
          const struct job_step *s = t->step->spec;

          if (s->filler
              || (!s->long_running && task_job (t)->urgency > URGENCY_NEW))
            continue;
          m->memory_mib += s->need.memory_mib;
          if (s->long_running)
            m->long_running_milli += s->need.cpu_milli;
          else
            m->short_task_milli += s->need.cpu_milli;
        }
    }
}

/* Returns the least number of runners over which the limit of S spreads
   TASK_COUNT of its tasks; 1 if it has no limit.  */
static uint32_t
spread_of (const struct job_step *s, uint32_t task_count)
{
  uint32_t limit = s->per_runner_limit_count;

  return limit > 0 ? (task_count + limit - 1) / limit : MIN (task_count, 1);
}

/* Counts the work of W, of job J, that is not done; of its runs in progress,
   half.  */
static void
count_owed (struct cell *c, struct pool_demand *m, const struct job *j,
            struct work_step *w)
{
  uint32_t running = w->spec->task_count - w->done_count - w->waiting_count;
  uint64_t halves = 2 * w->waiting_count + running;
  uint64_t work;

  if (w->spec->long_running || w->spec->filler || j->over_rate
      || j->urgency == URGENCY_BEST_EFFORT)
    return;
  work = halves * w->spec->need.cpu_milli * place_expected_step_us (c, w) / 2;
  m->owed += work;
  if (j->urgency <= URGENCY_NEW)
    m->owed_in_time += work;
}

/* Counts the need of W's tasks that wait, and how far its tasks spread.  */
static void
count_waiting_step (struct cell *c, struct pool_demand *m, const struct job *j,
                    struct work_step *w)
{
  uint64_t milli = w->waiting_count * w->spec->need.cpu_milli;
  uint64_t mib = w->waiting_count * w->spec->need.memory_mib;
  uint64_t run_us;

  count_owed (c, m, j, w);
  if (!w->ready || w->spec->filler)
    return;
  if (w->spec->long_running)
    {
      m->long_running_milli += milli;
      m->memory_mib += mib;
      m->serving_waiting_count += w->waiting_count;
      m->spread_vm_count
          = MAX (m->spread_vm_count, spread_of (w->spec, w->spec->task_count));
    }
  else if (j->urgency <= URGENCY_NEW)
    {
      run_us = MIN (place_expected_step_us (c, w), CLEAR_MS * US_PER_MS);
      m->waiting_milli += milli * run_us / (CLEAR_MS * US_PER_MS);
      m->memory_mib += mib * run_us / (CLEAR_MS * US_PER_MS);
    }
}

static void
count_waiting (struct cell *c)
{
  guint i;
  uint32_t o;
  uint32_t s;

  for (i = 0; i < c->active->len; i++)
    {
      const struct job *j = g_ptr_array_index (c->active, i);
      struct pool_demand *m = find_pool_of_queue (c, j->queue);

      for (o = 0; m != NULL && o < j->occurrence_count; o++)
        for (s = 0; s < j->spec->step_count; s++)
          count_waiting_step (c, m, j, &j->occurrences[o]->steps[s]);
    }
}

uint32_t
demand_vm_count_for (const struct pool_demand *m, uint64_t milli, uint64_t mib)
{
  uint64_t room = m->vm_cpu_milli * FILL_PERCENT / 100;
  uint64_t room_mib = m->vm_memory_mib * FILL_PERCENT / 100;
  uint64_t n = room > 0 ? (milli + room - 1) / room : 0;

  if (room_mib > 0)
    n = MAX (n, (mib + room_mib - 1) / room_mib);
  return (uint32_t)n;
}

/* Counts the VMs that the long-running tasks without a place would fill.  */
static void
count_unplaced (struct cell *c)
{
  const GPtrArray *unplaced = c->fleet->unplaced;
  const struct work_step *step = NULL;
  uint32_t step_count = 0; /* Tasks of step.  */
  guint i;

  for (i = 0; i < unplaced->len; i++)
    {
      const struct task *t = g_ptr_array_index (unplaced, i);
      const struct job_step *s = t->step->spec;
      struct pool_demand *m = find_pool_of_queue (c, task_job (t)->queue);

      /* Fillers use what is left over.  No VM helps a task that no runner like
         those of the pool can hold.  */
      if (m == NULL || s->filler || places_is_planned (c, t)
          || !place_could_hold (c, t))
        continue;
      m->unplaced_milli += s->need.cpu_milli;
      m->unplaced_mib += s->need.memory_mib;
      step_count = t->step == step ? step_count + 1 : 1;
      step = t->step;
      m->unplaced_vm_count
          = MAX (m->unplaced_vm_count,
                 demand_vm_count_for (m, m->unplaced_milli, m->unplaced_mib));
      m->unplaced_vm_count
          = MAX (m->unplaced_vm_count, spread_of (s, step_count));
    }
}

void
demand_want_vm (struct cell *c, const char *pool)
{
  struct pool_demand *m = find_pool (c, pool);

  if (m != NULL)
    m->vm_wanted_until_us = c->now_us + VM_WANTED_MS * US_PER_MS;
}

/* Returns true if calls that were held while the cell had no owner may still
   arrive.  */
static bool
held_calls_arrive (const struct cell *c)
{
  return !c->ownership.no_predecessor
         && c->now_us < c->ownership.claimed_at_us + HELD_CALLS_MS * US_PER_MS;
}

void
demand_note_arrival (struct cell *c, const struct job *j)
{
  struct pool_demand *m = find_pool_of_queue (c, j->queue);
  uint64_t work_us = 0;
  uint64_t serial_us = 0;
  uint32_t s;

  if (m == NULL || j->over_rate || j->spec->steps[0].long_running)
    return;
  c->fleet->demand->newest_arrival_at_us = c->now_us;
  for (s = 0; s < j->spec->step_count; s++)
    {
      const struct job_step *step = &j->spec->steps[s];
      uint64_t task_us = place_expected_task_us (c, j, step);

      work_us += step->task_count * step->need.cpu_milli * task_us / 1000;
      serial_us += task_us;
    }
  m->owed += work_us * 1000;
  m->owed_in_time += work_us * 1000;
  if (held_calls_arrive (c))
    return;
  /* Work that the job does only after PREPARE_MS is left out: by then more VMs
     can be moved to the pool.  */
  if (serial_us > PREPARE_MS * US_PER_MS)
    work_us = work_us * (PREPARE_MS * US_PER_MS / 1000) / (serial_us / 1000);
  arrivals_note (&m->arrivals, c->now_us, work_us);
}

uint64_t
demand_arriving_milli (const struct cell *c, struct pool_demand *m)
{
  return arrivals_cores_milli (&m->arrivals, c->now_us);
}

/* Clears the results of the last update of M.  */
static void
clear_results (struct pool_demand *m)
{
  m->vm_count = 0;
  m->arriving_count = 0;
  m->unusable_count = 0;
  m->listed_count = 0;
  m->long_running_milli = 0;
  m->short_task_milli = 0;
  m->waiting_milli = 0;
  m->owed = 0;
  m->owed_in_time = 0;
  m->memory_mib = 0;
  m->spread_vm_count = 0;
  m->unplaced_vm_count = 0;
  m->unplaced_milli = 0;
  m->unplaced_mib = 0;
  m->usable_count = 0;
  m->emptying_count = 0;
  m->quarantined_count = 0;
  m->silent_count = 0;
  m->serving_waiting_count = 0;
}

/* Returns the cores that arriving jobs of M keep busy, but no more than the
   surges so far make likely: the estimate errs, and work beyond it shows in
   the tasks that run and wait.  */
static uint64_t
limit_lead (const struct cell *c, struct pool_demand *m)
{
  uint64_t milli = demand_arriving_milli (c, m);
  uint64_t likely_milli
      = surges_likely_peak (c, m) * m->vm_cpu_milli * FILL_PERCENT / 100;

  return likely_milli > 0 ? MIN (milli, likely_milli) : milli;
}

/* Computes how many VMs M needs for what it has to hold now.  */
static void
compute_need (struct cell *c, struct pool_demand *m)
{
  uint32_t more = m->unplaced_vm_count;
  uint64_t short_milli
      = MAX (m->short_task_milli + m->waiting_milli, limit_lead (c, m));

  if (c->now_us < m->vm_wanted_until_us)
    more = MAX (more, 1);
  m->short_task_vm_count = demand_vm_count_for (m, short_milli, 0);
  m->need_count = demand_vm_count_for (m, m->long_running_milli + short_milli,
                                       m->memory_mib);
  m->need_count = MAX (m->need_count, m->spread_vm_count);
  /* Long-running tasks may start on a runner in quarantine (place_find).  */
  if (short_milli > 0)
    m->need_count += m->unusable_count;
  /* Tasks without a place do not fit on the VMs that serve, however much room
     these have in all.  */
  if (more > 0)
    m->need_count
        = MAX (m->need_count, m->vm_count - m->arriving_count + more);
}

void
demand_update (struct cell *c)
{
  struct fleet_demand *p = c->fleet->demand;
  bool jobs_arrive
      = c->now_us < p->newest_arrival_at_us + DEMAND_END_MS * US_PER_MS;
  uint64_t cycle_us;
  uint32_t i;

  for (i = 0; i < p->pool_count; i++)
    {
      const struct site_pool *s = cell_find_pool (c, p->pools[i].name);

      clear_results (&p->pools[i]);
      forecast_begin (&p->pools[i].forecast, c->now_us, 0);
      if (s != NULL)
        p->pools[i].spare = s->spare;
    }
  count_vms (c);
  count_running (c);
  count_waiting (c);
  count_unplaced (c);
  cycle_us = surges_cycle_us (p);
  for (i = 0; i < p->pool_count; i++)
    {
      struct pool_demand *m = &p->pools[i];

      if (m->initial_vm_count == 0)
        m->initial_vm_count = m->listed_count;
      compute_need (c, m);
      surges_detect (c, m);
      if (jobs_arrive)
        surges_expect (c, m, cycle_us);
      if (jobs_arrive && m->surge_began_at_us == 0 && !m->spare)
        surges_expect_first (c, m);
      m->keep_count = m->need_count + RESERVE_COUNT;
      if (m->surge_began_at_us == 0 && !m->spare)
        m->keep_count = MAX (m->keep_count,
                             m->initial_vm_count * INITIAL_KEEP_PERCENT / 100);
      if (m->keep_count >= m->vm_count)
        m->busy_at_us = c->now_us;
      if (m->need_count >= m->vm_count)
        m->full_at_us = c->now_us;
    }
  for (i = 0; i < p->pool_count; i++)
    {
      struct pool_demand *m = &p->pools[i];

      m->forecast.held_milli = m->long_running_milli;
      if (!m->spare)
        supply_add_other_pools (c, m);
    }
}
