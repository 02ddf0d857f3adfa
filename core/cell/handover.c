/* handover.c -- which VMs a new owner may order.

   The platform requires a least time between the orders of two owners for one
   VM.  So an owner notes in a record the VMs that it is about to order, those
   whose orders may yet be carried out, and those that it ordered within that
   time, with the rest of it; it sends no order for a VM before a record that
   notes it is stored.  Since a new owner fences the records before it reads
   them, the record notes every VM that the former owner ordered or still may,
   however that one ended.  The new owner leaves these alone for the rest of
   the time, and may order all others at once.

   Nor does it start tasks on them until then.  The former owner may be cut off
   from the records, but not from the cloud, and still order a VM that it has
   named, whatever runs there by now.  It does so only shortly after an append
   that was stored (vm_orders.c), so before this owner's wait is over.

   Owners of earlier versions recorded nothing.  Claims tell whether the record
   can be relied on; if not, each VM may be one that was ordered.  */

#include "core/cell/fleet.h"

#include <string.h>

/** Added to handover_gap_ms, the least time that the platform requires between
    the VM orders of two owners.  */
#define HANDOVER_MARGIN_MS 300
/** The record is made anew after this, while it notes any VM, so that a new
    owner does not wait for orders that ended long ago.  */
#define RENEWAL_MS 500

static uint32_t
gap_ms (const struct cell *c)
{
  return MAX (c->settings.times.handover_gap_ms + HANDOVER_MARGIN_MS,
              VM_ORDER_CONFIRMED_MS + VM_ORDER_REACH_MS);
}

void
handover_begin (struct cell *c)
{
  struct vm_handover *h = &c->handover;
  const struct ownership *o = &c->ownership;

  h->orders_known = o->former_vm_orders_recorded;
  h->order_count = 0;
  h->dirty = false;
  h->recording = false;
  h->noted_count = 0;
  /* Our own orders, and what we waited for before, need no new wait.  */
  if (o->predecessor_is_self)
    return;
  h->begin_due = !o->no_predecessor;
  h->until_us = o->no_predecessor ? 0 : c->now_us + gap_ms (c) * US_PER_MS;
}

void
handover_on_recovered (struct cell *c)
{
  struct vm_handover *h = &c->handover;

  if (!h->begin_due)
    return;
  h->begin_due = false;
  h->begun_at_us = c->now_us;
  h->until_us = c->now_us + gap_ms (c) * US_PER_MS;
}

void
handover_restore (struct cell *c, struct recovered_record *r)
{
  struct vm_handover *h = &c->handover;

  talloc_free (h->orders);
  h->order_count = r->vm_count;
  h->orders = talloc_steal (c, r->vm_orders);
}

bool
handover_is_over (const struct cell *c)
{
  return c->now_us >= c->handover.until_us;
}

uint64_t
handover_orders_from_us (const struct cell *c, const char *vm)
{
  const struct vm_handover *h = &c->handover;
  uint32_t i;

  if (handover_is_over (c))
    return 0;
  if (!h->orders_known)
    return h->until_us;
  for (i = 0; i < h->order_count; i++)
    if (strcmp (h->orders[i].vm, vm) == 0)
      return h->begun_at_us
             + MIN (h->orders[i].wait_ms, gap_ms (c)) * US_PER_MS;
  return 0;
}

bool
handover_admits_starts (const struct cell *c, const struct runner *r)
{
  const struct vm_handover *h = &c->handover;
  const struct vm *v;

  if (handover_is_over (c) || !h->orders_known || h->order_count == 0)
    return true;
  v = fleet_find (c->fleet, r->vm);
  return v != NULL && c->now_us >= v->orders_from_us;
}

void
handover_want_order (struct cell *c, struct vm *v)
{
  if (v->naming != VM_NOT_NAMED)
    return;
  v->naming = VM_NAMING_DUE;
  c->handover.dirty = true;
}

bool
handover_is_dirty (const struct cell *c)
{
  const struct vm_handover *h = &c->handover;

  return h->dirty
         || (h->noted_count > 0
             && c->now_us >= h->noted_at_us + RENEWAL_MS * US_PER_MS);
}

/* Returns for how long another owner must not order V, in milliseconds.  */
static uint32_t
wait_ms_of (const struct cell *c, const struct vm *v)
{
  uint64_t until_us = v->orders_from_us;

  /* A VM that is away gets no further order before it is named again.  */
  if (v->phase == VM_ORDERED
      || (v->naming != VM_NOT_NAMED && v->phase != VM_AWAY))
    return gap_ms (c);
  if (v->order_ended_at_us > 0)
    until_us = MAX (until_us, v->order_ended_at_us + gap_ms (c) * US_PER_MS);
  return until_us > c->now_us
             ? (uint32_t)((until_us - c->now_us) / US_PER_MS + 1)
             : 0;
}

void
handover_add_record (struct cell *c, struct append *a)
{
  struct vm_handover *h = &c->handover;
  struct append_record *x = records_add (a);
  uint32_t inherited_count
      = handover_is_over (c) || c->fleet->listed ? 0 : h->order_count;
  GHashTableIter it;
  gpointer value;

  h->dirty = false;
  h->recording = true;
  x->kind = APPEND_RECORD_VM_ORDERS;
  x->vm_orders = talloc_zero_array (a->records, struct vm_order_note,
                                    g_hash_table_size (c->fleet->vms)
                                        + inherited_count + 1);
  g_hash_table_iter_init (&it, c->fleet->vms);
  while (g_hash_table_iter_next (&it, NULL, &value))
    {
      struct vm *v = value;
      uint32_t wait_ms = wait_ms_of (c, v);

      if (wait_ms == 0)
        continue;
      text_copy (x->vm_orders[x->vm_count].vm, NAME_BYTES, v->row.vm);
      x->vm_orders[x->vm_count++].wait_ms = wait_ms;
      if (v->naming == VM_NAMING_DUE)
        v->naming = VM_NAMING_SENT;
    }
  /* The list of VMs, which will have these, is not read yet.  */
  if (inherited_count > 0)
    memcpy (x->vm_orders + x->vm_count, h->orders,
            inherited_count * sizeof *h->orders);
  x->vm_count += inherited_count;
  h->noted_count = x->vm_count;
  h->noted_at_us = c->now_us;
}

void
handover_on_stored (struct cell *c)
{
  GHashTableIter it;
  gpointer value;

  if (!c->handover.recording)
    return;
  c->handover.recording = false;
  g_hash_table_iter_init (&it, c->fleet->vms);
  while (g_hash_table_iter_next (&it, NULL, &value))
    {
      struct vm *v = value;

      vm_orders_repeat (c, v);
      if (v->naming == VM_NAMING_SENT)
        v->naming = VM_NAMED;
      if (v->naming == VM_NAMED && v->phase == VM_EMPTYING
          && fleet_is_empty (c, v) && fleet_runs_are_known (c, v))
        vm_orders_send_or_give_back (c, v);
    }
}
