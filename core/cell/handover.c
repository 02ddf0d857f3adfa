/* handover.c -- which VMs a new owner may order.

   The platform requires a least time between the orders of two owners for one
   VM.  So an owner names in a record the VMs that it is about to order, those
   that it ordered within that time, and those whose orders may yet be carried
   out; it sends no order for a VM before a record with its name is stored.
   Since a new owner fences the records before it reads them, the record names
   every VM that the former owner ordered or still may, however that one ended.
   The new owner leaves these alone until the time has passed since its claim,
   and may order all others at once.

   Owners of earlier versions recorded nothing.  Claims tell whether the record
   can be relied on; if not, each VM may be one that was ordered.  */

#include "core/cell/fleet.h"

#include <string.h>

/** Added to handover_gap_ms, the least time that the platform requires between
    the VM orders of two owners.  */
#define HANDOVER_MARGIN_MS 300

static uint64_t
gap_us (const struct cell *c)
{
  return (c->settings.times.handover_gap_ms + HANDOVER_MARGIN_MS) * US_PER_MS;
}

void
handover_begin (struct cell *c)
{
  struct vm_handover *h = &c->handover;
  const struct ownership *o = &c->ownership;

  h->names_known = o->former_vm_orders_recorded;
  h->name_count = 0;
  h->dirty = false;
  h->recording = false;
  /* Our own orders, and what we waited for before, need no new wait.  */
  if (!o->predecessor_is_self)
    h->until_us = o->no_predecessor ? 0 : c->now_us + gap_us (c);
}

void
handover_restore (struct cell *c, struct recovered_record *r)
{
  struct vm_handover *h = &c->handover;

  TALLOC_FREE (h->names);
  h->name_count = r->vm_count;
  h->names = talloc_steal (c, r->vm_names);
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
  if (!h->names_known)
    return h->until_us;
  for (i = 0; i < h->name_count; i++)
    if (strcmp (h->names[i], vm) == 0)
      return h->until_us;
  return 0;
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
  return c->handover.dirty;
}

/* Returns true if the record has to name V.  */
static bool
has_order (const struct cell *c, const struct vm *v)
{
  return v->naming != VM_NOT_NAMED || v->phase == VM_ORDERED
         || v->may_be_executed || c->now_us < v->orders_from_us
         || (v->ordered_at_us > 0
             && c->now_us < v->ordered_at_us + gap_us (c));
}

void
handover_add_record (struct cell *c, struct append *a)
{
  struct vm_handover *h = &c->handover;
  struct append_record *x = records_add (a);
  uint32_t inherited_count
      = h->names_known && !handover_is_over (c) && !c->fleet->listed
            ? h->name_count
            : 0;
  GHashTableIter it;
  gpointer value;
  uint32_t i;

  h->dirty = false;
  h->recording = true;
  x->kind = APPEND_RECORD_VM_ORDERS;
  x->vm_names
      = talloc_zero_size (a->records, (g_hash_table_size (c->fleet->vms)
                                       + (size_t)inherited_count + 1)
                                          * sizeof *x->vm_names);
  g_hash_table_iter_init (&it, c->fleet->vms);
  while (g_hash_table_iter_next (&it, NULL, &value))
    {
      struct vm *v = value;

      if (!has_order (c, v))
        continue;
      text_copy (x->vm_names[x->vm_count++], NAME_BYTES, v->row.vm);
      if (v->naming == VM_NAMING_DUE)
        v->naming = VM_NAMING_SENT;
    }
  /* The list of VMs, which will have these names, is not read yet.  */
  for (i = 0; i < inherited_count; i++)
    text_copy (x->vm_names[x->vm_count++], NAME_BYTES, h->names[i]);
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

      if (v->naming != VM_NAMING_SENT)
        continue;
      v->naming = VM_NAMED;
      if (v->phase == VM_EMPTYING && fleet_is_empty (c, v)
          && fleet_runs_are_known (c, v))
        vm_orders_send_or_give_back (c, v);
    }
}
