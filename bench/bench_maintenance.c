/* bench_maintenance.c -- time of a wave and use of the spare pool, in virtual
   time.

   Prints JSON lines.  The random numbers have fixed seeds, so each run prints
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
#define STEP_MIN_MS 40000
#define STEP_RANGE_MS 40000
#define WAVE_RUN_COUNT 50

#define TICK_MS 100
#define TRACE_TICK_COUNT 18000 /* 30 minutes.  */
#define RUN_MS 500             /* Of a request.  */
#define LEND_TICK_COUNT 2      /* Until a lent VM takes work.  */
#define RECLAIM_TICK_COUNT 7   /* Until a reclaimed VM is drained.  */

static const uint32_t pool_vm_counts[POOL_COUNT] = { 8, 10, 12, 12 };
static uint64_t random_state;

static uint32_t
next_random (uint32_t limit)
{
  random_state ^= random_state << 13;
  random_state ^= random_state >> 7;
  random_state ^= random_state << 17;
  return (uint32_t)(random_state >> 33) % limit;
}

/* --- waves --- */

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

/* Returns a control state with these budgets for each pool.  */
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
      add_vms (f, i, pool_vm_counts[i]);
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

/* Simulates a wave over all VMs whose steps take random times.  */
static void
simulate_wave (enum wave_order order, uint32_t unavailable_count,
               uint32_t domain_count, struct wave_plan *p)
{
  struct control *c = make_control (unavailable_count, domain_count);
  uint32_t step_ms[64];
  uint32_t i;

  for (i = 0; i < 64; i++)
    step_ms[i] = STEP_MIN_MS + next_random (STEP_RANGE_MS);
  wave_simulate (c, start_wave (c), order, step_ms, p);
  talloc_free (c);
}

/* Prints the mean time of a wave and the worst ratios to the least time that
   the budgets of VMs and of racks allow.  */
static void
bench_order (enum wave_order order, const char *name,
             uint32_t unavailable_count, uint32_t domain_count)
{
  struct wave_plan p;
  double worst_vm_ratio = 0;
  double worst_rack_ratio = 0;
  double total_s = 0;
  int i;

  random_state = 88172645463325252u;
  for (i = 0; i < WAVE_RUN_COUNT; i++)
    {
      simulate_wave (order, unavailable_count, domain_count, &p);
      total_s += (double)p.duration_ms / 1000;
      if ((double)p.duration_ms / (double)p.lower_bound_ms > worst_vm_ratio)
        worst_vm_ratio = (double)p.duration_ms / (double)p.lower_bound_ms;
      if ((double)p.duration_ms / (double)p.rack_lower_bound_ms
          > worst_rack_ratio)
        worst_rack_ratio
            = (double)p.duration_ms / (double)p.rack_lower_bound_ms;
    }
  printf ("{\"bench\":\"roll_out\",\"order\":\"%s\",\"unavailable\":%u,"
          "\"racks\":%u,\"mean_s\":%.0f,\"worst_to_vm_bound\":%.2f,"
          "\"worst_to_budget_bound\":%.2f,\"held\":%u}\n",
          name, unavailable_count, domain_count, total_s / WAVE_RUN_COUNT,
          worst_vm_ratio, worst_rack_ratio, p.blocked_count);
}

/* --- spare pool --- */

static uint32_t trace[POOL_COUNT][TRACE_TICK_COUNT]; /* slots wanted */

/* Mean demand: a quarter of the pool's slots.  */
static uint32_t
mean_demand_count (uint32_t pool)
{
  return pool_vm_counts[pool] * SLOT_COUNT / 4;
}

/* Fills the trace: in each CYCLE_TICKS every pool has a peak of five times its
   mean demand for PEAK_TICKS, then a twentieth of the mean until half of the
   cycle is over, then half of the mean.  TOGETHER_COUNT pools have their peak
   at once, one group after another.  */
static void
make_trace (uint32_t cycle_ticks, uint32_t peak_ticks, uint32_t together_count)
{
  uint32_t p;
  uint32_t t;

  random_state = 2463534242u;
  for (p = 0; p < POOL_COUNT; p++)
    for (t = 0; t < TRACE_TICK_COUNT; t++)
      {
        uint32_t group_index = p / together_count;
        uint32_t group_count = POOL_COUNT / together_count;
        uint32_t at
            = (t + cycle_ticks - group_index * cycle_ticks / group_count)
              % cycle_ticks;
        uint32_t mean = mean_demand_count (p);
        uint32_t demand_count = mean / 2;

        if (at < peak_ticks)
          demand_count = 5 * mean;
        else if (at < cycle_ticks / 2)
          demand_count = mean / 20;
        trace[p][t] = demand_count * (80 + next_random (41)) / 100;
      }
}

/* State and results of a simulation over a trace.  */
struct simulated_site
{
  struct borrowing_pool pools[POOL_COUNT];
  uint64_t work[POOL_COUNT]; /* slots times ms not yet served */
  /* ticks until a lent VM takes work; 0: none */
  uint32_t lend_ticks[POOL_COUNT];
  uint32_t free_vm_count;
  uint32_t draining_ticks; /* until a reclaimed VM is free; 0: none */
  uint64_t served;         /* work served */
  uint64_t total_wait;     /* work waiting times ms */
  uint64_t distance;       /* work that only the ideal of serve_tick serves */
  uint64_t ideal;          /* work that the ideal serves */
  uint64_t idle_spare_ms;  /* time of VMs that are free or lent and idle */
  uint32_t move_count;
};

/* Counts down the moves under way and ends those that are due.  */
static void
finish_moves (struct simulated_site *s)
{
  uint32_t p;

  if (s->draining_ticks > 0 && --s->draining_ticks == 0)
    s->free_vm_count++;
  for (p = 0; p < POOL_COUNT; p++)
    if (s->lend_ticks[p] > 0 && --s->lend_ticks[p] == 0)
      {
        s->pools[p].borrowed_count++;
        s->pools[p].slot_count += SLOT_COUNT;
      }
}

/* Starts move M, unless its pool already waits for a lent VM or a VM is
   already being drained.  */
static void
start_move (struct simulated_site *s, const struct spare_move *m)
{
  struct borrowing_pool *p = &s->pools[m->pool_index];

  if (m->kind == SPARE_STAY)
    return;
  if (m->kind == SPARE_LEND && s->lend_ticks[m->pool_index] > 0)
    return;
  if (m->kind == SPARE_RECLAIM && s->draining_ticks > 0)
    return;
  if (m->kind == SPARE_LEND)
    {
      s->free_vm_count--;
      s->lend_ticks[m->pool_index] = LEND_TICK_COUNT;
    }
  else
    {
      p->borrowed_count--;
      p->slot_count -= SLOT_COUNT;
      s->draining_ticks = RECLAIM_TICK_COUNT;
    }
  spare_reset_counters (p);
  s->move_count++;
}

/* Serves one tick.  The ideal shares out the spare VMs at once in proportion
   to the work that the pools' own VMs cannot serve; what it would have served
   and this tick did not counts as distance.  */
static void
serve_tick (struct simulated_site *s)
{
  uint64_t unmet_work[POOL_COUNT];
  uint64_t total_unmet_work = 0;
  uint64_t spare = (uint64_t)SPARE_VM_COUNT * SLOT_COUNT * TICK_MS;
  uint32_t p;

  for (p = 0; p < POOL_COUNT; p++)
    {
      uint64_t own = (uint64_t)pool_vm_counts[p] * SLOT_COUNT * TICK_MS;

      unmet_work[p] = s->work[p] > own ? s->work[p] - own : 0;
      total_unmet_work += unmet_work[p];
    }
  for (p = 0; p < POOL_COUNT; p++)
    {
      uint64_t capacity = (uint64_t)s->pools[p].slot_count * TICK_MS;
      uint64_t done = s->work[p] < capacity ? s->work[p] : capacity;
      uint64_t ideal_served = s->work[p] - unmet_work[p]
                              + (total_unmet_work > spare
                                     ? unmet_work[p] * spare / total_unmet_work
                                     : unmet_work[p]);
      uint64_t idle_vms = (capacity - done) / (SLOT_COUNT * TICK_MS);

      s->ideal += ideal_served;
      s->distance += ideal_served > done ? ideal_served - done : 0;
      s->served += done;
      s->work[p] -= done;
      s->total_wait += s->work[p] * TICK_MS;
      s->idle_spare_ms += (idle_vms < s->pools[p].borrowed_count
                               ? idle_vms
                               : s->pools[p].borrowed_count)
                          * TICK_MS;
    }
  s->idle_spare_ms += (uint64_t)s->free_vm_count * TICK_MS;
}

/* Gives the spare VMs to the pools in equal numbers if FIXED, else to the
   spare pool.  */
static void
init_site (struct simulated_site *s, bool fixed)
{
  uint32_t p;

  memset (s, 0, sizeof *s);
  s->free_vm_count = fixed ? 0 : SPARE_VM_COUNT;
  for (p = 0; p < POOL_COUNT; p++)
    {
      s->pools[p].borrowed_count = fixed ? SPARE_VM_COUNT / POOL_COUNT : 0;
      s->pools[p].vm_slot_count = SLOT_COUNT;
      s->pools[p].slot_count
          = (pool_vm_counts[p] + s->pools[p].borrowed_count) * SLOT_COUNT;
    }
}

static void
bench_spare (const char *trace_name, const char *name,
             enum spare_policy policy, bool fixed)
{
  struct simulated_site s;
  uint32_t t;
  uint32_t p;

  init_site (&s, fixed);
  for (t = 0; t < TRACE_TICK_COUNT; t++)
    {
      struct spare_move m;

      finish_moves (&s);
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
      m = spare_next_move (s.pools, POOL_COUNT, s.free_vm_count, TICK_MS,
                           policy);
      start_move (&s, &m);
      serve_tick (&s);
    }
  printf ("{\"bench\":\"spare\",\"trace\":\"%s\",\"policy\":\"%s\","
          "\"moves\":%u,\"buffer_idle_vm_s\":%" PRIu64
          ",\"mean_wait_ms\":%.0f,\"distance_from_share\":%.4f}\n",
          trace_name, name, s.move_count, s.idle_spare_ms / 1000,
          (double)s.total_wait / (double)s.served,
          (double)s.distance / (double)s.ideal);
}

static void
bench_policies (const char *trace_name)
{
  bench_spare (trace_name, "by_cost", SPARE_BY_COST, false);
  bench_spare (trace_name, "no_spare", SPARE_NONE, false);
  bench_spare (trace_name, "static", SPARE_NONE, true);
  bench_spare (trace_name, "eager", SPARE_EAGER, false);
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
  bench_policies ("kandy_market");
  make_trace (1800, 200, 2);
  bench_policies ("kapurbumi_night");
  return EXIT_SUCCESS;
}
