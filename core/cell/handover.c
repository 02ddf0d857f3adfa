/* handover.c -- which VMs a new owner may order.

   The platform requires a least time between the orders of two owners for one
   VM.  A release names the VMs that its maker ordered within that time; the
   next owner leaves these alone until it has passed since its claim, and may
   order all others at once.  After an owner was lost without a release, each
   VM may be one that it ordered.  */

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
handover_note_claim (struct cell *c, struct claim_terms *t)
{
  struct vm_handover *h = &c->handover;

  TALLOC_FREE (h->newest.ordered_vms);
  h->newest = *t;
  t->ordered_vms = talloc_steal (c, t->ordered_vms);
}

void
handover_begin (struct cell *c)
{
  struct vm_handover *h = &c->handover;
  const struct ownership *o = &c->ownership;

  /* Our own orders, and what we waited for before, need no new wait.  */
  if (o->predecessor_is_self)
    return;
  TALLOC_FREE (h->former.ordered_vms);
  h->former = h->newest;
  h->newest = (struct claim_terms){ 0 };
  h->until_us = o->no_predecessor ? 0 : c->now_us + gap_us (c);
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
  if (!h->former.released || !h->former.vm_orders_known)
    return h->until_us;
  for (i = 0; i < h->former.ordered_vm_count; i++)
    if (strcmp (h->former.ordered_vms[i], vm) == 0)
      return h->until_us;
  return 0;
}

/* Returns true if an order for V was sent within the gap, or one may yet be
   carried out.  */
static bool
was_ordered (const struct cell *c, const struct vm *v)
{
  return v->phase == VM_ORDERED || v->may_be_executed
         || (v->ordered_at_us > 0
             && c->now_us < v->ordered_at_us + gap_us (c));
}

static void
add_name (struct claim_terms *t, const char *vm)
{
  if (t->ordered_vm_count == CLAIM_VM_LIMIT_COUNT)
    {
      t->vm_orders_known = false;
      return;
    }
  text_copy (t->ordered_vms[t->ordered_vm_count++], NAME_BYTES, vm);
}

void
handover_fill_release (struct cell *c, struct claim_terms *t)
{
  struct vm_handover *h = &c->handover;
  bool waiting = !handover_is_over (c);
  GHashTableIter it;
  gpointer value;
  uint32_t i;

  TALLOC_FREE (h->released_vms);
  h->released_vms
      = talloc_zero_size (c, CLAIM_VM_LIMIT_COUNT * sizeof *h->released_vms);
  if (h->released_vms == NULL
      || (waiting && !(h->former.released && h->former.vm_orders_known)))
    return;
  t->vm_orders_known = true;
  t->ordered_vms = h->released_vms;
  g_hash_table_iter_init (&it, c->fleet->vms);
  while (g_hash_table_iter_next (&it, NULL, &value))
    if (was_ordered (c, value))
      add_name (t, ((const struct vm *)value)->row.vm);
  for (i = 0; waiting && i < h->former.ordered_vm_count; i++)
    add_name (t, h->former.ordered_vms[i]);
}
