/* supply.c -- fills in the forecasts of the cores that pools offer.

   demand_update calls it for each VM that is capacity of a pool, so that a
   call of a client costs no walk over VMs or runners.  */

#include "core/cell/demand.h"
#include "core/cell/fleet.h"

/** Time from the order of a move to the first moment at which the runner takes
    tasks, before one was measured.  */
#define ARRIVAL_MS 3000
/** Time to empty a VM for a move and to store its name, before one was
    measured; not measured itself.  */
#define EMPTYING_MS 500
/** A longer delay is no sample: the VM or its runner had failed meanwhile.  */
#define SAMPLE_LIMIT_MS 10000

static uint64_t
arrival_us (const struct cell *c)
{
  return forecast_delay_us (&c->fleet->demand->arrival_delay,
                            ARRIVAL_MS * US_PER_MS);
}

static uint64_t
emptying_us (const struct cell *c)
{
  return forecast_delay_us (&c->fleet->demand->emptying_delay,
                            EMPTYING_MS * US_PER_MS);
}

static void
learn (struct forecast_delay *d, uint64_t sample_us)
{
  if (sample_us <= SAMPLE_LIMIT_MS * US_PER_MS)
    forecast_learn (d, sample_us);
}

void
supply_on_move_ordered (struct cell *c, struct vm *v)
{
  v->move_ordered_at_us = c->now_us;
  learn (&c->fleet->demand->emptying_delay, c->now_us - v->emptying_at_us);
}

/* Learns how long the move of V took if its runner R takes tasks.  */
static void
learn_arrival (struct cell *c, struct vm *v, const struct runner *r)
{
  if (v->move_ordered_at_us == 0 || v->phase != VM_IDLE
      || v->returned_at_us < v->move_ordered_at_us || r == NULL
      || !place_is_usable (c, r))
    return;
  learn (&c->fleet->demand->arrival_delay, c->now_us - v->move_ordered_at_us);
  v->move_ordered_at_us = 0;
}

/* Returns when V, which is on its way, is expected to take tasks.  */
static uint64_t
expected_at_us (const struct cell *c, const struct vm *v)
{
  uint64_t move_us = c->settings.times.move_ms * US_PER_MS;
  uint64_t start_us = arrival_us (c) > move_us ? arrival_us (c) - move_us : 0;

  if (v->phase == VM_EMPTYING)
    return MAX (v->emptying_at_us + emptying_us (c), c->now_us)
           + arrival_us (c);
  if (v->move_ordered_at_us != 0)
    return v->move_ordered_at_us + arrival_us (c);
  if (v->phase == VM_AWAY)
    return v->away_until_us + start_us;
  return v->returned_at_us + start_us;
}

void
supply_add_vm (struct cell *c, struct pool_demand *m, struct vm *v,
               bool arriving)
{
  const struct runner *r = fleet_runner (c, v);
  uint64_t milli = (r != NULL ? r->report.capacity.cpu_milli : m->vm_cpu_milli)
                   * FILL_PERCENT / 100;

  learn_arrival (c, v, r);
  if (arriving)
    forecast_add (&m->forecast,
                  MAX (expected_at_us (c, v), c->now_us + FORECAST_STEP_US),
                  milli);
  /* A runner that has not answered this owner yet is as good as one that has:
     after a takeover most have not.  */
  else if (r != NULL && r->listed && r->miss_count == 0)
    forecast_add (&m->forecast, MAX (r->quarantined_until_us, c->now_us),
                  milli);
  /* A VM of the platform's list whose runner is not registered yet.  */
  else if (r == NULL && v->returned_at_us == 0)
    forecast_add (&m->forecast, c->now_us + arrival_us (c), milli);
}

void
supply_add_other_pools (const struct cell *c, struct pool_demand *m)
{
  const struct fleet_demand *p = c->fleet->demand;
  uint64_t gap_us = 1000 * US_PER_S / MAX (c->settings.vm_order_rate_milli, 1);
  uint64_t milli = m->vm_cpu_milli * FILL_PERCENT / 100;
  uint32_t before = 0;
  uint32_t pass;
  uint32_t i;

  /* The spare pool gives its VMs first: they are empty.  */
  for (pass = 0; pass < 2; pass++)
    for (i = 0; i < p->pool_count; i++)
      {
        const struct pool_demand *o = &p->pools[i];
        uint32_t count
            = o->vm_count > o->need_count ? o->vm_count - o->need_count : 0;

        if (o == m || o->spare != (pass == 0))
          continue;
        forecast_add_series (&m->forecast,
                             c->now_us + (o->spare ? 0 : emptying_us (c))
                                 + arrival_us (c) + before * gap_us,
                             gap_us, count, milli);
        before += count;
      }
}
