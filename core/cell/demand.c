/* demand.c -- estimates how many VMs each pool needs.

   Demand comes in surges: one queue after the other asks for up to five
   times its mean for some seconds, and for a twentieth of it afterwards.  A
   pool needs VMs for its long-running tasks and for its short ones: those that
   run or wait and can meet their objective or, if that is more, those of the
   jobs that arrived lately.  When a pool has had two surges, or every pool
   one, the next surges are predicted; when all pools but one have had their
   first, that of the last is predicted too.  Shortly before its next surge a
   pool needs as many VMs as in its last one.  */

#include "core/cell/demand.h"
#include "core/cell/fleet.h"

#include <string.h>

/** Waiting tasks should be finished within this time.  */
#define CLEAR_MS 1000
/** Tasks can fill this part of a pool's cores.  */
#define FILL_PERCENT 90
/** In a surge, short tasks need at least this many VMs, and more than this
    many times the mean.  */
#define SURGE_MIN_COUNT 3
#define SURGE_FACTOR 2
/** They also need this part of the VMs that the pool had at first.  By the
    users' account a surge asks for more than the whole pool; a single large
    job needs much less.  */
#define SURGE_PERCENT 40
/** Least time between the starts of two surges of a pool.  */
#define SURGE_INTERVAL_MS 6000
/** A surge has ended when the need has been low for this long; until then a
    rise belongs to it.  */
#define SURGE_END_MS 2500
/** Number of VMs that a pool keeps beyond its need.  */
#define RESERVE_COUNT 1
/** A pool keeps this part of its initial VMs until its first surge.  */
#define INITIAL_KEEP_PERCENT 60
/** A VM has to be ordered this long before it is needed: as long as a move and
    the start of its runner take.  */
#define PREPARE_MS 2600
/** In this time a surge that was expected reaches its full need.  */
#define SURGE_RISE_MS 2000
/** A rise of demand this long after a pool's last surge is a new one, also if
    no other pool has had one since.  */
#define LONE_SURGE_MS 15000
/** A prediction is dropped when the surge is late by more than this.  */
#define LATE_SURGE_MS 1200
/** No surge is predicted when no job has arrived for this long: while the site
    is in use, some pool always has a surge.  */
#define DEMAND_END_MS 1500
/** The newest need has a weight of one in this many in the mean.  */
#define MEAN_PART 64
/** The peak of a surge is stored at once when one update raises it by more
    than this many VMs; a smaller rise is stored with the next record.  */
#define PEAK_STEP_COUNT 3
/** A VM counts as on its way until its runner takes tasks, but no longer than
    this after the end of its operation, or after the beginning of a move that
    has not been carried out.  */
#define ARRIVAL_LIMIT_MS 3000
/** A VM that is wanted for emptying another is needed for this long.  */
#define VM_WANTED_MS 1000

/** Time that a bucket of arrivals covers.  */
#define ARRIVAL_BUCKET_MS 100
/** Arrivals count as demand if they are at least this many jobs in all
    buckets: a single large job is no surge.  */
#define ARRIVAL_MIN_COUNT 4
/** The same for the newest buckets, if they are fewer than all: a short span
    must show more jobs.  */
#define ARRIVAL_SHORT_MIN_COUNT 12

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

/* Returns the demand on pool NAME, or NULL if it is not followed.  */
static struct pool_demand *
find_followed (struct cell *c, const char *name)
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
  return &p->pools[p->pool_count++];
}

/* Returns the demand on pool NAME, which is added if it is configured, or NULL
   if it is not configured or there are too many pools.  */
static struct pool_demand *
find_pool (struct cell *c, const char *name)
{
  struct pool_demand *m = find_followed (c, name);
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
      struct pool_demand *m = find_followed (c, h->name);

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
   about to leave.  */
static bool
is_capacity (const struct cell *c, const struct vm *v)
{
  const struct runner *r = fleet_runner (c, v);

  if (r != NULL && r->report.draining && v->phase != VM_AWAY)
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
      const struct vm *v = value;
      struct pool_demand *m
          = find_pool (c, v->moving ? v->target_pool : v->row.pool);

      if (m == NULL)
        continue;
      m->listed_count++;
      if (!is_capacity (c, v))
        continue;
      m->vm_count++;
      m->arriving_count += is_arriving (c, v);
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

/* Counts the need of W's tasks that wait, and how far its tasks spread.  */
static void
count_waiting_step (struct cell *c, struct pool_demand *m, const struct job *j,
                    struct work_step *w)
{
  uint64_t milli = w->waiting_count * w->spec->need.cpu_milli;
  uint64_t mib = w->waiting_count * w->spec->need.memory_mib;
  uint64_t run_us;

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

/* Returns the number of VMs of M that offer MILLI thousandths of a core and
   MIB of memory.  */
static uint32_t
vm_count_for (const struct pool_demand *m, uint64_t milli, uint64_t mib)
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
                 vm_count_for (m, m->unplaced_milli, m->unplaced_mib));
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

/* Makes the bucket of the current time the newest; clears those between.  */
static void
advance_buckets (const struct cell *c, struct pool_demand *m)
{
  uint64_t now = c->now_us / (ARRIVAL_BUCKET_MS * US_PER_MS);

  if (now > m->newest_bucket + ARRIVAL_BUCKET_COUNT)
    m->newest_bucket = now - ARRIVAL_BUCKET_COUNT;
  while (m->newest_bucket < now)
    {
      m->newest_bucket++;
      m->arrived_us[m->newest_bucket % ARRIVAL_BUCKET_COUNT] = 0;
      m->arrived_count[m->newest_bucket % ARRIVAL_BUCKET_COUNT] = 0;
    }
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
  advance_buckets (c, m);
  m->arrived_count[m->newest_bucket % ARRIVAL_BUCKET_COUNT]++;
  for (s = 0; s < j->spec->step_count; s++)
    {
      const struct job_step *step = &j->spec->steps[s];
      uint64_t task_us = place_expected_task_us (c, j, step);

      work_us += step->task_count * step->need.cpu_milli * task_us / 1000;
      serial_us += task_us;
    }
  /* Work that the job does only after PREPARE_MS is left out: by then more VMs
     can be moved to the pool.  */
  if (serial_us > PREPARE_MS * US_PER_MS)
    work_us = work_us * (PREPARE_MS * US_PER_MS / 1000) / (serial_us / 1000);
  m->arrived_us[m->newest_bucket % ARRIVAL_BUCKET_COUNT] += work_us;
}

/* Arrivals show the full need of a surge before its tasks have queued up.  */
uint64_t
demand_arriving_milli (const struct cell *c, struct pool_demand *m)
{
  uint64_t most_milli = 0;
  uint64_t sum_us = 0;
  uint32_t count = 0;
  uint32_t i;

  advance_buckets (c, m);
  for (i = 0; i < ARRIVAL_BUCKET_COUNT && i <= m->newest_bucket; i++)
    {
      uint32_t k = (uint32_t)((m->newest_bucket - i) % ARRIVAL_BUCKET_COUNT);

      sum_us += m->arrived_us[k];
      count += m->arrived_count[k];
      /* The time of the newest bucket is not over.  So it is not used alone,
         and with the I buckets before it, it counts as the time of I.  */
      if (i == ARRIVAL_BUCKET_COUNT - 1
              ? count >= ARRIVAL_MIN_COUNT
              : i > 0 && count >= ARRIVAL_SHORT_MIN_COUNT)
        most_milli = MAX (most_milli, sum_us / (i * ARRIVAL_BUCKET_MS));
    }
  return most_milli;
}

/* Returns the time from one surge of a pool to its next, or 0 if it is not
   known.  */
static uint64_t
surge_cycle_us (const struct fleet_demand *p)
{
  uint64_t first_us = UINT64_MAX;
  uint64_t last_us = 0;
  uint32_t seen = 0;
  uint32_t used = 0;
  uint32_t i;

  for (i = 0; i < p->pool_count; i++)
    {
      const struct pool_demand *m = &p->pools[i];

      if (m->spare || m->mean_need_milli == 0)
        continue;
      used++;
      if (m->previous_surge_at_us != 0)
        return m->surge_began_at_us - m->previous_surge_at_us;
      if (m->surge_began_at_us == 0)
        continue;
      seen++;
      first_us = MIN (first_us, m->surge_began_at_us);
      last_us = MAX (last_us, m->surge_began_at_us);
    }
  /* When every pool in use has had one surge, these are taken to follow each
     other at equal intervals: the cycle is the mean interval times the number
     of pools.  */
  return seen == used && seen > 2 ? (last_us - first_us) / (seen - 1) * seen
                                  : 0;
}

/* Raises the peak of M's surge to the VMs that it needs now.  */
static void
record_peak (struct cell *c, struct pool_demand *m)
{
  uint32_t count
      = vm_count_for (m,
                      m->long_running_milli + m->short_task_milli
                          + MIN (m->waiting_milli, m->short_task_milli / 2),
                      0);

  if (count > m->peak_vm_count + PEAK_STEP_COUNT)
    c->fleet->demand->dirty = true;
  m->peak_vm_count = MAX (m->peak_vm_count, count);
}

/* Returns true if a rise of M's demand is a new surge.  The pools have theirs
   in turn, so it belongs to the last one if no other pool has had one since:
   an outage splits a surge.  */
static bool
may_begin_surge (const struct cell *c, const struct pool_demand *m)
{
  const struct fleet_demand *p = c->fleet->demand;
  bool alone = true;
  uint32_t i;

  if (c->now_us > m->surge_began_at_us + LONE_SURGE_MS * US_PER_MS)
    return true;
  for (i = 0; i < p->pool_count; i++)
    {
      const struct pool_demand *o = &p->pools[i];

      if (o == m || o->spare || o->mean_need_milli == 0)
        continue;
      if (o->surge_began_at_us > m->surge_began_at_us)
        return true;
      alone = false;
    }
  return alone;
}

/* Updates the mean need of M, and detects and records its surges.  */
static void
detect_surge (struct cell *c, struct pool_demand *m)
{
  uint64_t need_milli = (uint64_t)m->short_task_vm_count * 1000;
  uint32_t surge_min_count
      = MAX (SURGE_MIN_COUNT, m->initial_vm_count * SURGE_PERCENT / 100);
  bool high = m->short_task_vm_count >= surge_min_count
              && need_milli > SURGE_FACTOR * m->mean_need_milli;

  if (m->mean_need_milli == 0)
    m->mean_need_milli = need_milli;
  m->mean_need_milli += need_milli / MEAN_PART;
  m->mean_need_milli -= m->mean_need_milli / MEAN_PART;
  if (high && c->now_us > m->surge_began_at_us + SURGE_INTERVAL_MS * US_PER_MS
      && c->now_us > m->high_at_us + SURGE_END_MS * US_PER_MS
      && may_begin_surge (c, m))
    {
      m->expected_vm_count = m->expecting ? m->peak_vm_count : 0;
      m->previous_surge_at_us = m->surge_began_at_us;
      m->surge_began_at_us = c->now_us;
      cell_log (c, "surge_begun", 0,
                "\"pool\":\"%s\",\"needs\":%u,\"mean_milli\":%llu,"
                "\"after_ms\":%llu,\"previous_peak\":%u",
                m->name, m->need_count, (unsigned long long)m->mean_need_milli,
                (unsigned long long)(m->previous_surge_at_us != 0
                                         ? (m->surge_began_at_us
                                            - m->previous_surge_at_us)
                                               / US_PER_MS
                                         : 0),
                m->peak_vm_count);
      m->peak_vm_count = 0;
      c->fleet->demand->dirty = true;
    }
  if (c->now_us < m->surge_began_at_us + SURGE_INTERVAL_MS * US_PER_MS)
    record_peak (c, m);
  if (high)
    m->high_at_us = c->now_us;
}

/* Returns how long before a surge M must have COUNT VMs ordered: the orders
   take time, too.  */
static uint64_t
prepare_us (const struct cell *c, const struct pool_demand *m, uint32_t count)
{
  uint64_t missing = count > m->vm_count ? count - m->vm_count : 0;
  uint64_t rate_milli = MAX (c->settings.vm_order_rate_milli, 1);

  return PREPARE_MS * US_PER_MS + missing * 1000 * US_PER_S / rate_milli;
}

/* Raises the need of M if all other pools have had their first surge: at equal
   intervals, M's is next.  */
static void
expect_first_surge (const struct cell *c, struct pool_demand *m)
{
  const struct fleet_demand *p = c->fleet->demand;
  uint64_t first_us = UINT64_MAX;
  uint64_t last_us = 0;
  uint64_t at_us;
  uint32_t seen = 0;
  uint32_t peak_sum = 0;
  uint32_t i;

  for (i = 0; i < p->pool_count; i++)
    {
      const struct pool_demand *o = &p->pools[i];

      if (o == m || o->spare)
        continue;
      if (o->surge_began_at_us == 0 || o->previous_surge_at_us != 0)
        return;
      seen++;
      peak_sum += o->peak_vm_count;
      first_us = MIN (first_us, o->surge_began_at_us);
      last_us = MAX (last_us, o->surge_began_at_us);
    }
  if (seen < 2)
    return;
  at_us = last_us + (last_us - first_us) / (seen - 1);
  if (c->now_us + prepare_us (c, m, peak_sum / seen) >= at_us
      && c->now_us < at_us + LATE_SURGE_MS * US_PER_MS)
    m->need_count = MAX (m->need_count, peak_sum / seen);
}

/* Raises the need of M around its next surge, CYCLE_US after the last one.  */
static void
expect_surge (const struct cell *c, struct pool_demand *m, uint64_t cycle_us)
{
  uint64_t at_us = m->surge_began_at_us + cycle_us;

  /* Until the surge that has begun shows its full need.  */
  if (c->now_us < m->surge_began_at_us + SURGE_RISE_MS * US_PER_MS)
    m->need_count = MAX (m->need_count, m->expected_vm_count);
  m->expecting = cycle_us != 0 && m->surge_began_at_us != 0
                 && c->now_us + prepare_us (c, m, m->peak_vm_count) >= at_us
                 && c->now_us <= at_us + LATE_SURGE_MS * US_PER_MS;
  if (m->expecting)
    m->need_count = MAX (m->need_count, m->peak_vm_count);
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

/* Computes how many VMs M needs for what it has to hold now.  */
static void
compute_need (struct cell *c, struct pool_demand *m)
{
  uint32_t more = m->unplaced_vm_count;
  uint64_t short_milli = MAX (m->short_task_milli + m->waiting_milli,
                              demand_arriving_milli (c, m));

  if (c->now_us < m->vm_wanted_until_us)
    more = MAX (more, 1);
  m->short_task_vm_count = vm_count_for (m, short_milli, 0);
  m->need_count
      = vm_count_for (m, m->long_running_milli + short_milli, m->memory_mib);
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
      if (s != NULL)
        p->pools[i].spare = s->spare;
    }
  count_vms (c);
  count_running (c);
  count_waiting (c);
  count_unplaced (c);
  cycle_us = surge_cycle_us (p);
  for (i = 0; i < p->pool_count; i++)
    {
      struct pool_demand *m = &p->pools[i];

      if (m->initial_vm_count == 0)
        m->initial_vm_count = m->listed_count;
      compute_need (c, m);
      detect_surge (c, m);
      if (jobs_arrive)
        expect_surge (c, m, cycle_us);
      if (jobs_arrive && m->surge_began_at_us == 0 && !m->spare)
        expect_first_surge (c, m);
      m->keep_count = m->need_count + RESERVE_COUNT;
      if (m->surge_began_at_us == 0 && !m->spare)
        m->keep_count = MAX (m->keep_count,
                             m->initial_vm_count * INITIAL_KEEP_PERCENT / 100);
      if (m->keep_count >= m->vm_count)
        m->busy_at_us = c->now_us;
      if (m->need_count >= m->vm_count)
        m->full_at_us = c->now_us;
    }
}
