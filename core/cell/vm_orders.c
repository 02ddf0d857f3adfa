/* vm_orders.c -- orders for VMs to the cloud.

   A VM that is taken out of use for an operation is lost to the tasks that
   wait until the operation has been carried out.  So orders are sent only as
   fast as the cloud takes them: within its rate, and no more at once than the
   order client has connections.  While the cloud does not take orders, one at
   a time is tried after a growing delay, and VMs that wait for theirs return
   to use.

   The cloud compares tokens for each VM by itself, so it takes orders of an
   owner that another one has followed.  So an order is sent only shortly after
   a confirmation that we were the owner (confirmation.c).  A new owner leaves
   the VMs that our record names unused for longer (handover.c).  */

#include "core/cell/demand.h"
#include "core/cell/fleet.h"

#include <string.h>

/** An order is sent again after this if its outcome is unknown.  */
#define RETRY_MS 800
/** It is also sent again after this if no outcome was reported at all: it was
    lost within this entry.  */
#define LOST_MS 4000
/** Delay after the first failed order; each further one doubles it, this many
    times at most.  */
#define FAILURE_DELAY_MS 100
#define FAILURE_DOUBLING_COUNT 4
#define FAILURE_DELAY_LIMIT_MS (FAILURE_DELAY_MS << FAILURE_DOUBLING_COUNT)
/** Waves leave a VM out for this long after the cloud refused its order as
    busy.  */
#define BUSY_SKIP_MS 2500
/** Part of a second's orders, in percent, that may be sent at once.  The
   budget is refilled by only the rest in a second, so that in no second more
   orders are sent than the rate allows.  */
#define BURST_PERCENT 10
/** Most VMs that are being emptied: twice as many as can have an order without
    an answer, since emptying takes longer than an order.  Of these, moves use
    MOVING_LIMIT_COUNT at most.  */
#define EMPTYING_LIMIT_COUNT (2 * VM_ORDER_LIMIT_COUNT)
#define MOVING_LIMIT_COUNT (EMPTYING_LIMIT_COUNT * 3 / 4)
/** Most VMs without tasks that wait for their orders.  At the usual rates it
   is what is sent while a record is stored.  */
#define EMPTY_LIMIT_COUNT 16

static void
refill_budget (struct cell *c)
{
  struct order_window *w = &c->fleet->window;
  uint64_t rate_milli = c->settings.vm_order_rate_milli;
  uint64_t most_milli = MAX (rate_milli * BURST_PERCENT / 100, 1000);
  uint64_t passed_us = MIN (c->now_us - w->refilled_at_us, US_PER_S);

  w->refilled_at_us = c->now_us;
  w->budget_milli
      += passed_us * rate_milli / US_PER_S * (100 - BURST_PERCENT) / 100;
  w->budget_milli = MIN (w->budget_milli, most_milli);
}

void
vm_orders_tick (struct cell *c)
{
  struct order_window *w = &c->fleet->window;
  GHashTableIter it;
  gpointer value;

  refill_budget (c);
  w->open_count = 0;
  w->emptying_count = 0;
  w->empty_count = 0;
  g_hash_table_iter_init (&it, c->fleet->vms);
  while (g_hash_table_iter_next (&it, NULL, &value))
    {
      const struct vm *v = value;

      w->open_count += v->phase == VM_ORDERED && v->order_pending
                       && c->now_us <= v->ordered_at_us + LOST_MS * US_PER_MS;
      w->emptying_count += v->phase == VM_EMPTYING;
      w->empty_count += v->phase == VM_EMPTYING && fleet_is_empty (c, v);
    }
}

/* Returns true if an order can be sent now.  */
static bool
admits_order (const struct cell *c)
{
  const struct order_window *w = &c->fleet->window;

  if (w->budget_milli < 1000)
    return false;
  if (w->failure_count > 0)
    return w->open_count == 0 && c->now_us >= w->resume_at_us;
  return w->open_count < VM_ORDER_LIMIT_COUNT;
}

bool
vm_orders_admit_empty (const struct cell *c)
{
  const struct order_window *w = &c->fleet->window;

  if (records_are_stalled (c))
    return false;
  if (w->failure_count > 0 && w->empty_count > 0)
    return false;
  return admits_order (c) && w->empty_count < EMPTY_LIMIT_COUNT
         && w->open_count + w->empty_count < VM_ORDER_LIMIT_COUNT;
}

bool
vm_orders_admit_emptying (const struct cell *c, bool is_move)
{
  const struct order_window *w = &c->fleet->window;

  if (records_are_stalled (c))
    return false;

  /* After a failure one VM is emptied for the next try, and only if none is
     being emptied or has an order without an answer.  */
  if (w->failure_count > 0)
    return w->open_count + w->emptying_count == 0
           && c->now_us >= w->resume_at_us;
  return w->emptying_count
         < (is_move ? MOVING_LIMIT_COUNT : EMPTYING_LIMIT_COUNT);
}

/* Sends the order for the move or maintenance that V was emptied for.  */
static void
send_order (struct cell *c, struct vm *v)
{
  struct cell_action *a = cell_emit (c, CELL_DO_ORDER_VM);
  struct order_window *w = &c->fleet->window;

  a->u.vm_order.order_id = ++c->last_vm_order_id;
  a->u.vm_order.is_move = v->moving;
  text_copy (a->u.vm_order.vm, NAME_BYTES, v->row.vm);
  text_copy (a->u.vm_order.pool, NAME_BYTES, v->target_pool);
  a->u.vm_order.wave = v->wave;
  a->u.vm_order.token = c->ownership.token;
  if (v->phase != VM_ORDERED)
    {
      v->first_order_id = c->last_vm_order_id;
      v->may_be_executed = false;
      v->move_ordered_at_us = 0;
      if (v->moving)
        supply_on_move_ordered (c, v);
      text_copy (v->previous_runner, NAME_BYTES, v->row.runner);
    }
  v->last_order_id = c->last_vm_order_id;
  /* What became of the one before is not known.  */
  v->may_be_executed |= v->order_pending;
  w->open_count += !v->order_pending;
  w->budget_milli -= MIN (w->budget_milli, 1000);
  v->phase = VM_ORDERED;
  v->order_pending = true;
  v->ordered_at_us = c->now_us;
  cell_log (c, v->moving ? "move_ordered" : "maintenance_ordered", 0,
            "\"vm\":\"%s\",\"wave\":%llu,\"from\":\"%s\",\"to\":\"%s\","
            "\"token\":%llu",
            v->row.vm, (unsigned long long)v->wave, v->row.pool,
            v->target_pool, (unsigned long long)c->ownership.token);
}

/* Returns true if an order for V may be sent as far as another owner may have
   followed: that one has not yet used V.  Otherwise requests a confirmation.
 */
static bool
is_confirmed (struct cell *c, const struct vm *v)
{
  const uint64_t age_us = VM_ORDER_CONFIRMED_MS * US_PER_MS;
  const struct runner *r = fleet_runner (c, v);

  return confirmation_covers (c, c->now_us > age_us ? c->now_us - age_us : 0)
         && (r == NULL || confirmation_covers (c, r->runs_over_at_us));
}

void
vm_orders_repeat (struct cell *c, struct vm *v)
{
  uint64_t gap_ms = v->order_pending ? LOST_MS : RETRY_MS;

  if (v->phase == VM_ORDERED
      && c->now_us > v->ordered_at_us + gap_ms * US_PER_MS && admits_order (c)
      && is_confirmed (c, v))
    send_order (c, v);
}

void
vm_orders_send_or_give_back (struct cell *c, struct vm *v)
{
  if (v->naming != VM_NAMED || !is_confirmed (c, v))
    {
      if (records_are_stalled (c))
        fleet_give_back_vm (c, v, "store", FAILURE_DELAY_LIMIT_MS);
    }
  else if (admits_order (c))
    send_order (c, v);
  else if (c->fleet->window.failure_count > 0)
    fleet_give_back_vm (c, v, "cloud", FAILURE_DELAY_LIMIT_MS);
}

/* Notes whether the cloud took an order, whose outcome is OUTCOME.  */
static void
note_answer (struct cell *c, bool taken, enum order_outcome outcome)
{
  struct order_window *w = &c->fleet->window;
  uint32_t doubling_count = MIN (w->failure_count, FAILURE_DOUBLING_COUNT);

  if (taken)
    {
      if (w->failure_count > 0)
        cell_log (c, "cloud_back", 0, "\"failures\":%u", w->failure_count);
      w->failure_count = 0;
      return;
    }
  w->failure_count++;
  w->resume_at_us
      = c->now_us + (FAILURE_DELAY_MS << doubling_count) * US_PER_MS;
  if (w->failure_count == 1)
    cell_log (c, "cloud_fails", 0, "\"outcome\":\"%s\"",
              order_outcome_name (outcome));
}

/* Handles that the cloud carries out the order for V.  */
static void
on_done (struct cell *c, struct vm *v)
{
  struct runner *r = fleet_runner (c, v);
  uint32_t away_ms = v->moving ? c->settings.times.move_ms
                               : c->settings.times.maintenance_ms;

  c->metrics
      .counters[v->moving ? CELL_COUNT_MOVES : CELL_COUNT_MAINTENANCES]++;
  if (!v->moving)
    waves_mark_done (c, v);
  if (v->row.up && strcmp (v->row.runner, v->previous_runner) != 0)
    {
      /* An earlier order, which got no answer, was carried out, and the VM is
         back with a new runner.  */
      v->returned_at_us = c->now_us;
      fleet_return_vm (c, v);
      return;
    }
  v->phase = VM_AWAY;
  v->away_until_us = c->now_us + away_ms * US_PER_MS;
  if (r != NULL)
    r->vm_emptying = true;
}

/* Takes V, which was ordered, on by the outcome of its order.  */
static void
apply_outcome (struct cell *c, struct vm *v, enum order_outcome outcome)
{
  switch (outcome)
    {
    case ORDER_DONE:
      on_done (c, v);
      break;
    case ORDER_FENCED:
      ownership_lose (c, "vm_order_fenced");
      break;
    case ORDER_REJECTED:
      /* The VM was deleted or left the wave: it needs no maintenance.  */
      if (!v->moving)
        waves_mark_done (c, v);
      fleet_give_back_vm (c, v, "rejected", BUSY_SKIP_MS);
      break;
    case ORDER_UNKNOWN:
      v->may_be_executed = true;
      v->ordered_at_us = c->now_us;
      break;
    default:
      if (v->may_be_executed)
        v->ordered_at_us = c->now_us;
      else if (outcome == ORDER_UNAVAILABLE)
        fleet_give_back_vm (c, v, "cloud", 0);
      else
        fleet_give_back_vm (c, v, "busy", BUSY_SKIP_MS);
      break;
    }
}

/* Returns true if the result E tells what becomes of V's operation: it is of
   its newest order, or of an earlier one of the same operation that was
   carried out or fenced.  */
static bool
decides (struct cell *c, const struct vm *v, const struct cell_event *e)
{
  uint64_t id = e->u.vm_result.order_id;
  enum order_outcome outcome = e->u.vm_result.outcome;

  if (id == v->last_order_id
      || (id >= v->first_order_id
          && (outcome == ORDER_DONE || outcome == ORDER_FENCED)))
    return true;
  cell_log (c, "vm_answer_overtaken", 0,
            "\"vm\":\"%s\",\"outcome\":\"%s\",\"same_operation\":%s",
            v->row.vm, order_outcome_name (outcome),
            id >= v->first_order_id ? "true" : "false");
  return false;
}

void
vm_orders_on_result (struct cell *c, const struct cell_event *e)
{
  struct vm *v = fleet_find (c->fleet, e->u.vm_result.vm);
  enum order_outcome outcome = e->u.vm_result.outcome;

  if (v == NULL || v->phase != VM_ORDERED || !cell_is_owner (c)
      || !decides (c, v, e))
    return;
  if (v->order_pending && c->fleet->window.open_count > 0)
    c->fleet->window.open_count--;
  v->order_pending = false;
  v->order_ended_at_us = c->now_us;
  cell_log (c, "vm_order_answered", 0,
            "\"vm\":\"%s\",\"move\":%s,\"outcome\":\"%s\",\"took_ms\":%llu,"
            "\"withdrawn_ms\":%llu",
            v->row.vm, v->moving ? "true" : "false",
            order_outcome_name (outcome),
            (unsigned long long)((c->now_us - v->ordered_at_us) / US_PER_MS),
            (unsigned long long)((c->now_us - v->emptying_at_us) / US_PER_MS));
  note_answer (c, outcome != ORDER_UNKNOWN && outcome != ORDER_UNAVAILABLE,
               outcome);
  apply_outcome (c, v, outcome);
}
