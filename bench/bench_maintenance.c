/* bench_maintenance.c -- roll-out time and the spare pool, in virtual time.

   Prints JSON lines.  Everything is computed from a seed, so two runs print
   the same.  */

#include "core/spare.h"
#include "core/wave_plan.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define POOL_COUNT 4
#define SPARE_VM_COUNT 8
#define SLOT_COUNT 8
#define RACK_VM_COUNT 4
#define STEP_LOW_MS 40000
#define STEP_RANGE_MS 40000
#define WAVE_RUN_COUNT 50

#define TICK_MS 100
#define TRACE_TICK_COUNT 18000 /* 30 minutes */
#define RUN_MS 500
#define LEND_TICK_COUNT 2 /* Until a VM lent takes work.  */
#define TAKE_TICK_COUNT 7 /* Until a VM taken back is drained.  */

static const uint32_t pool_vms[POOL_COUNT] = { 8, 10, 12, 12 };
static uint64_t seed;

static uint32_t
next_random (uint32_t below)
{
  seed ^= seed << 13;
  seed ^= seed >> 7;
  seed ^= seed << 17;
  return (uint32_t)(seed >> 33) % below;
}

/* --- roll-out --- */

static void
add_vms (struct config *f, uint32_t pool_index, uint32_t count)
{
  uint32_t i;

  for (i = 0; i < count; i++)
    {
      struct vm_config *v = &f->vms[f->vm_count];

      snprintf (v->name, NAME_BYTES, "w%u", f->vm_count);
      snprintf (v->rack, NAME_BYTES, "r%u-%u", pool_index, i / RACK_VM_COUNT);
      v->pool_index = pool_index;
      v->slot_count = SLOT_COUNT;
      f->vm_count++;
    }
}

static struct control *
make_control (uint32_t unavailable_count, uint32_t domain_count)
{
  struct control *c = control_new (NULL);
  struct record *r = talloc_zero (c, struct record);
  struct config *f = talloc_zero (r, struct config);
  uint32_t i;

  f->pool_count = POOL_COUNT;
  f->pools = talloc_zero_array (f, struct pool_config, POOL_COUNT);
  f->vms = talloc_zero_array (f, struct vm_config, 64);
  for (i = 0; i < POOL_COUNT; i++)
    {
      snprintf (f->pools[i].name, NAME_BYTES, "pool-%u", i);
      f->pools[i].max_unavailable_count = unavailable_count;
      f->pools[i].max_unavailable_rack_count = domain_count;
      add_vms (f, i, pool_vms[i]);
    }
  r->kind = RECORD_CONFIG;
  r->u.config = f;
  text_copy (r->id, ID_BYTES, "config");
  control_apply (c, 0, r);
  return c;
}

static struct wave *
start_wave (struct control *c)
{
  static char targets[POOL_COUNT][NAME_BYTES];
  struct record r = { .kind = RECORD_WAVE_START, .id = "wave" };
  uint32_t i;

  for (i = 0; i < POOL_COUNT; i++)
    snprintf (targets[i], NAME_BYTES, "pool-%u", i);
  text_copy (r.u.wave.wave, NAME_BYTES, "wave");
  r.u.wave.targets = targets;
  r.u.wave.target_count = POOL_COUNT;
  control_apply (c, 1, &r);
  return vm_control_find_wave (c, "wave");
}

static void
run_wave (enum wave_order order, uint32_t unavailable_count,
          uint32_t domain_count, struct wave_plan *p)
{
  struct control *c = make_control (unavailable_count, domain_count);
  uint32_t steps[64];
  uint32_t i;

  for (i = 0; i < 64; i++)
    steps[i] = STEP_LOW_MS + next_random (STEP_RANGE_MS);
  wave_simulate (c, start_wave (c), order, steps, p);
  talloc_free (c);
}

static void
bench_order (enum wave_order order, const char *name,
             uint32_t unavailable_count, uint32_t domain_count)
{
  struct wave_plan p;
  double worst = 0;
  double worst_racks = 0;
  double sum_s = 0;
  int i;

  seed = 88172645463325252u;
  for (i = 0; i < WAVE_RUN_COUNT; i++)
    {
      run_wave (order, unavailable_count, domain_count, &p);
      sum_s += (double)p.duration_ms / 1000;
      if ((double)p.duration_ms / (double)p.lower_bound_ms > worst)
        worst = (double)p.duration_ms / (double)p.lower_bound_ms;
      if ((double)p.duration_ms / (double)p.rack_lower_bound_ms > worst_racks)
        worst_racks = (double)p.duration_ms / (double)p.rack_lower_bound_ms;
    }
  printf ("{\"bench\":\"roll_out\",\"order\":\"%s\",\"unavailable\":%u,"
          "\"racks\":%u,\"mean_s\":%.0f,\"worst_to_vm_bound\":%.2f,"
          "\"worst_to_budget_bound\":%.2f,\"held\":%u}\n",
          name, unavailable_count, domain_count, sum_s / WAVE_RUN_COUNT, worst,
          worst_racks, p.blocked_count);
}

/* --- spare pool --- */

static uint32_t trace[POOL_COUNT][TRACE_TICK_COUNT]; /* slots wanted */

/* Mean demand: a quarter of the pool's slots.  */
static uint32_t
mean_of (uint32_t pool)
{
  return pool_vms[pool] * SLOT_COUNT / 4;
}

/* Peaks of five times the mean, in turn, for PEAK_TICKS of every CYCLE_TICKS;
   a twentieth of the mean for the half of the cycle after a peak.  */
static void
make_trace (uint32_t cycle_ticks, uint32_t peak_ticks, uint32_t together_count)
{
  uint32_t p;
  uint32_t t;

  seed = 2463534242u;
  for (p = 0; p < POOL_COUNT; p++)
    for (t = 0; t < TRACE_TICK_COUNT; t++)
      {
        uint32_t turn = p / together_count;
        uint32_t turns = POOL_COUNT / together_count;
        uint32_t at
            = (t + cycle_ticks - turn * cycle_ticks / turns) % cycle_ticks;
        uint32_t mean = mean_of (p);
        uint32_t level = mean / 2;

        if (at < peak_ticks)
          level = 5 * mean;
        else if (at < cycle_ticks / 2)
          level = mean / 20;
        trace[p][t] = level * (80 + next_random (41)) / 100;
      }
}

struct site
{
  struct borrowing_pool pools[POOL_COUNT];
  uint64_t work[POOL_COUNT]; /* slots times ms not yet served */
  uint32_t
      arriving[POOL_COUNT]; /* ticks until a VM lent takes work; 0: none */
  uint32_t free_count;
  uint32_t draining_ticks; /* until a VM taken back is free; 0: none */
  uint64_t served;
  uint64_t wait; /* work waiting times ms */
  uint64_t distance;
  uint64_t ideal;
  uint64_t buffer_ms; /* VM time held in reserve and idle */
  uint32_t move_count;
};

static void
settle_moves (struct site *s)
{
  uint32_t p;

  if (s->draining_ticks > 0 && --s->draining_ticks == 0)
    s->free_count++;
  for (p = 0; p < POOL_COUNT; p++)
    if (s->arriving[p] > 0 && --s->arriving[p] == 0)
      {
        s->pools[p].borrowed_count++;
        s->pools[p].slot_count += SLOT_COUNT;
      }
}

static void
make_move (struct site *s, const struct spare_move *m)
{
  struct borrowing_pool *p = &s->pools[m->pool_index];

  if (m->kind == SPARE_STAY)
    return;
  if (m->kind == SPARE_LEND && s->arriving[m->pool_index] > 0)
    return;
  if (m->kind == SPARE_RECLAIM && s->draining_ticks > 0)
    return;
  if (m->kind == SPARE_LEND)
    {
      s->free_count--;
      s->arriving[m->pool_index] = LEND_TICK_COUNT;
    }
  else
    {
      p->borrowed_count--;
      p->slot_count -= SLOT_COUNT;
      s->draining_ticks = TAKE_TICK_COUNT;
    }
  spare_reset_counters (p);
  s->move_count++;
}

/* Serves one tick; what a pool lacks counts as distance as far as the spare
   VMs, shared out at once in proportion to the lack, could have served it.  */
static void
serve (struct site *s)
{
  uint64_t lack[POOL_COUNT];
  uint64_t total_lack = 0;
  uint64_t spare = (uint64_t)SPARE_VM_COUNT * SLOT_COUNT * TICK_MS;
  uint32_t p;

  for (p = 0; p < POOL_COUNT; p++)
    {
      uint64_t own = (uint64_t)pool_vms[p] * SLOT_COUNT * TICK_MS;

      lack[p] = s->work[p] > own ? s->work[p] - own : 0;
      total_lack += lack[p];
    }
  for (p = 0; p < POOL_COUNT; p++)
    {
      uint64_t room = (uint64_t)s->pools[p].slot_count * TICK_MS;
      uint64_t done = s->work[p] < room ? s->work[p] : room;
      uint64_t could
          = s->work[p] - lack[p]
            + (total_lack > spare ? lack[p] * spare / total_lack : lack[p]);
      uint64_t idle_vms = (room - done) / (SLOT_COUNT * TICK_MS);

      s->ideal += could;
      s->distance += could > done ? could - done : 0;
      s->served += done;
      s->work[p] -= done;
      s->wait += s->work[p] * TICK_MS;
      s->buffer_ms += (idle_vms < s->pools[p].borrowed_count
                           ? idle_vms
                           : s->pools[p].borrowed_count)
                      * TICK_MS;
    }
  s->buffer_ms += (uint64_t)s->free_count * TICK_MS;
}

static void
start_site (struct site *s, bool fixed)
{
  uint32_t p;

  memset (s, 0, sizeof *s);
  s->free_count = fixed ? 0 : SPARE_VM_COUNT;
  for (p = 0; p < POOL_COUNT; p++)
    {
      s->pools[p].borrowed_count = fixed ? SPARE_VM_COUNT / POOL_COUNT : 0;
      s->pools[p].vm_slot_count = SLOT_COUNT;
      s->pools[p].slot_count
          = (pool_vms[p] + s->pools[p].borrowed_count) * SLOT_COUNT;
    }
}

static void
bench_spare (const char *site, const char *name, enum spare_policy policy,
             bool fixed)
{
  struct site s;
  uint32_t t;
  uint32_t p;

  start_site (&s, fixed);
  for (t = 0; t < TRACE_TICK_COUNT; t++)
    {
      struct spare_move m;

      settle_moves (&s);
      for (p = 0; p < POOL_COUNT; p++)
        {
          s.work[p] += (uint64_t)trace[p][t] * TICK_MS;
          s.pools[p].demand_count = (uint32_t)(s.work[p] / TICK_MS);
          if (s.pools[p].demand_count > s.pools[p].slot_count)
            s.pools[p].demand_count
                = s.pools[p].slot_count
                  + (uint32_t)((s.work[p]
                                - (uint64_t)s.pools[p].slot_count * TICK_MS)
                               / RUN_MS);
        }
      m = spare_next_move (s.pools, POOL_COUNT, s.free_count, TICK_MS, policy);
      make_move (&s, &m);
      serve (&s);
    }
  printf ("{\"bench\":\"spare\",\"trace\":\"%s\",\"policy\":\"%s\","
          "\"moves\":%u,\"buffer_idle_vm_s\":%" PRIu64
          ",\"mean_wait_ms\":%.0f,\"distance_from_share\":%.4f}\n",
          site, name, s.move_count, s.buffer_ms / 1000,
          (double)s.wait / (double)s.served,
          (double)s.distance / (double)s.ideal);
}

static void
bench_site (const char *site)
{
  bench_spare (site, "by_cost", SPARE_BY_COST, false);
  bench_spare (site, "no_spare", SPARE_NONE, false);
  bench_spare (site, "static", SPARE_NONE, true);
  bench_spare (site, "eager", SPARE_EAGER, false);
}

int
main (void)
{
  static const uint32_t budgets[][2]
      = { { 1, 1 }, { 2, 1 }, { 2, 2 }, { 3, 1 }, { 3, 2 }, { 4, 1 } };
  size_t i;

  for (i = 0; i < sizeof budgets / sizeof budgets[0]; i++)
    {
      bench_order (WAVE_ORDER_GREEDY, "domain", budgets[i][0], budgets[i][1]);
      bench_order (WAVE_ORDER_RACK_BATCH, "colour", budgets[i][0],
                   budgets[i][1]);
      bench_order (WAVE_ORDER_ONE_BY_ONE, "one_by_one", budgets[i][0],
                   budgets[i][1]);
    }
  make_trace (400, 60, 1);
  bench_site ("kandy_market");
  make_trace (1800, 200, 2);
  bench_site ("kapurbumi_night");
  return EXIT_SUCCESS;
}
