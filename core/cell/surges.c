/* surges.c -- detects the surges of the pools' demand, and expects the next.

   Demand comes in surges: one queue after the other asks for up to five
   times its mean for some seconds, and for a twentieth of it afterwards.  When
   a pool has had two surges, or every pool one, the next surges are predicted;
   when all pools but one have had their first, that of the last is predicted
   too.  Before its next surge a pool needs as many VMs as in its last one.  */

#include "core/cell/demand.h"
#include "core/cell/fleet.h"

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
/** In this time a surge that was expected reaches its full need.  */
#define SURGE_RISE_MS 2000
/** A rise of demand this long after a pool's last surge is a new one, also if
    no other pool has had one since.  */
#define LONE_SURGE_MS 15000
/** A prediction is dropped when the surge is late by more than this.  */
#define LATE_SURGE_MS 1200
/** The newest need has a weight of one in this many in the mean.  */
#define MEAN_PART 64
/** The peak of a surge is stored at once when one update raises it by more
    than this many VMs; a smaller rise is stored with the next record.  */
#define PEAK_STEP_COUNT 3

uint64_t
surges_cycle_us (const struct fleet_demand *p)
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

uint32_t
surges_likely_peak (const struct cell *c, const struct pool_demand *m)
{
  const struct fleet_demand *p = c->fleet->demand;
  struct peaks seen = { 0 };
  uint32_t i;

  /* The peak of the first surge of M, which may go on, is not known yet.  */
  for (i = 0; i < p->pool_count; i++)
    if (!p->pools[i].spare
        && (&p->pools[i] != m || m->previous_surge_at_us != 0))
      peaks_add (&seen, p->pools[i].initial_vm_count,
                 p->pools[i].peak_vm_count);
  return peaks_expect (&seen, m->initial_vm_count);
}

/* Raises the peak of M's surge to the VMs that it needs now.  */
static void
record_peak (struct cell *c, struct pool_demand *m)
{
  uint32_t count = demand_vm_count_for (
      m,
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

void
surges_detect (struct cell *c, struct pool_demand *m)
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
      m->expected_vm_count
          = m->expecting ? m->peak_vm_count : surges_likely_peak (c, m);
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

void
surges_expect_first (const struct cell *c, struct pool_demand *m)
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

void
surges_expect (const struct cell *c, struct pool_demand *m, uint64_t cycle_us)
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
