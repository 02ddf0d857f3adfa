/* model_cloud.c -- the cloud of the model: its list of VMs, and orders for
   them.  */

#include "tests/model.h"

#include <stdlib.h>

#define CLOUD_TIMEOUT_US (1500 * US_PER_MS)
#define MOVE_US (1500 * US_PER_MS)
#define MAINTENANCE_US (2000 * US_PER_MS)

/* The return of a VM from a move or from maintenance.  */
struct vm_return
{
  uint32_t vm;
};

static void
return_vm (struct model *m, void *argument)
{
  struct vm_return *x = argument;
  struct model_vm *v = &m->vms[x->vm];

  v->up = true;
  if (v->pool != MODEL_SPARE_POOL)
    model_vm_boot (m, x->vm, NULL);
  talloc_free (x);
}

/* Takes VM down for DOWN_US.  */
static void
take_vm_down (struct model *m, uint32_t vm, uint64_t down_us)
{
  struct vm_return *x = talloc_zero (m->arena, struct vm_return);
  struct model_runner *r = model_vm_runner (m, vm);
  guint i;

  for (i = 0; r != NULL && i < r->runs->len; i++)
    model_rules_on_vm_order (m, r,
                             &g_array_index (r->runs, struct model_run, i));
  model_runner_end (m, vm);
  m->vms[vm].up = false;
  m->vms[vm].runner = NULL;
  x->vm = vm;
  model_schedule (m, down_us, return_vm, x);
}

static void
order_vm (struct model_entry *e, const struct cell_action *a)
{
  struct model *m = e->model;
  struct cell_event *ev = model_event (CELL_VM_RESULT);
  uint64_t delay_us = 5000;
  uint32_t vm = (uint32_t)atoi (a->u.vm_order.vm + 1);
  struct model_vm *v = &m->vms[vm];

  ev->u.vm_result.order_id = a->u.vm_order.order_id;
  text_copy (ev->u.vm_result.vm, NAME_BYTES, a->u.vm_order.vm);
  if (!model_entry_reaches_cloud (e) || m->now_us < m->cloud_down_until_us)
    {
      ev->u.vm_result.outcome
          = model_random (m, 2) == 0 ? ORDER_UNAVAILABLE : ORDER_UNKNOWN;
      delay_us
          = ev->u.vm_result.outcome == ORDER_UNKNOWN ? CLOUD_TIMEOUT_US : 5000;
    }
  else if (!m->options.unfenced && a->u.vm_order.token < v->token)
    ev->u.vm_result.outcome = ORDER_FENCED;
  else if (!v->up || (v->runner != NULL && v->runner->draining))
    ev->u.vm_result.outcome = ORDER_BUSY;
  else
    {
      model_rules_on_taken_order (m, v, e, a->u.vm_order.token);
      v->token = MAX (v->token, a->u.vm_order.token);
      v->ordered_by = e->index;
      v->ordered_at_us = m->now_us;
      if (a->u.vm_order.is_move)
        v->pool = (uint32_t)atoi (a->u.vm_order.pool + 1);
      take_vm_down (m, vm, a->u.vm_order.is_move ? MOVE_US : MAINTENANCE_US);
    }
  model_post (e, e->process, delay_us, ev);
}

static void
list_vms (struct model_entry *e)
{
  struct model *m = e->model;
  struct cell_event *ev = model_event (CELL_VMS);
  uint32_t i;

  if (!model_entry_reaches_cloud (e) || m->now_us < m->cloud_down_until_us)
    {
      model_post (e, e->process,
                  model_random (m, 2) == 0 ? CLOUD_TIMEOUT_US : 5000, ev);
      return;
    }
  ev->u.vms.answered = true;
  ev->u.vms.row_count = m->vm_count;
  ev->u.vms.rows = talloc_zero_array (ev, struct vm_row, m->vm_count);
  for (i = 0; i < m->vm_count; i++)
    {
      const struct model_vm *v = &m->vms[i];
      struct vm_row *row = &ev->u.vms.rows[i];

      text_copy (row->vm, NAME_BYTES, v->name);
      g_snprintf (row->pool, NAME_BYTES, "p%u", v->pool);
      row->up = v->up;
      if (v->runner != NULL)
        text_copy (row->runner, NAME_BYTES, v->runner->id);
    }
  model_post (e, e->process, 8000, ev);
}

void
model_cloud_action (struct model_entry *e, const struct cell_action *a)
{
  if (a->kind == CELL_DO_ORDER_VM)
    order_vm (e, a);
  else
    list_vms (e);
}
