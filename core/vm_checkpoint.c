/* vm_checkpoint.c -- digest and copy of the state of VMs and waves.  */

#include "core/vm_control.h"

#include "core/digest.h"
#include "core/rows.h"

#include <string.h>

static void
hash_vm (crypto_generichash_state *h, const struct vm_lifecycle *v)
{
  uint32_t i;

  digest_add_text (h, v->name);
  digest_add_text (h, v->configured_pool);
  digest_add_text (h, v->pool);
  digest_add_number (h, v->phase);
  digest_add_number (h, v->lost);
  digest_add_number (h, v->drain_id);
  digest_add_text (h, v->wave);
  digest_add_text (h, v->move_to);
  digest_add_number (h, v->drained_by_count);
  for (i = 0; i < v->drained_by_count; i++)
    digest_add_number (h, v->drained_by[i]);
}

static void
hash_wave (crypto_generichash_state *h, const struct wave *w)
{
  uint32_t i;

  digest_add_text (h, w->name);
  digest_add_number (h, w->state);
  digest_add_number (h, w->parallel_limit_count);
  digest_add_number (h, w->deadline_ms);
  digest_add_number (h, w->start_id);
  digest_add_number (h, w->last_step_id);
  digest_add_number (h, w->vm_count);
  digest_add_number (h, w->done_count);
  for (i = 0; i < w->vm_count; i++)
    {
      digest_add_text (h, w->vms[i].name);
      digest_add_number (h, w->vms[i].done);
    }
}

/* Adds nothing if no zone is evacuated, so that the digest is that of builds
   that know of no zones.  */
static void
hash_zones (crypto_generichash_state *h, const struct zones *z)
{
  uint32_t i;

  if (z->count == 0)
    return;
  digest_add_number (h, z->count);
  for (i = 0; i < z->count; i++)
    digest_add_text (h, z->items[i].name);
}

void
vm_control_digest (const struct vm_control *v, uint8_t *digest)
{
  crypto_generichash_state h;
  uint32_t i;

  crypto_generichash_init (&h, NULL, 0, DIGEST_BYTES);
  digest_add_number (&h, v->vm_count);
  for (i = 0; i < v->vm_count; i++)
    hash_vm (&h, &v->vms[i]);
  digest_add_number (&h, v->wave_count);
  for (i = 0; i < v->wave_count; i++)
    hash_wave (&h, v->waves[i]);
  digest_add_number (&h, v->applied_next);
  for (i = 0; i < APPLIED_ID_COUNT; i++)
    digest_add_text (&h, v->applied_ids[i]);
  digest_add_number (&h, v->config_version);
  hash_zones (&h, &v->evacuated);
  crypto_generichash_final (&h, digest, DIGEST_BYTES);
}

static struct wave *
copy_wave (TALLOC_CTX *mem, const struct wave *w)
{
  struct wave *x = rows_copy (mem, w, 1, sizeof *w);

  x->vms = rows_copy (x, w->vms, w->vm_count, sizeof *w->vms);
  return x;
}

struct vm_control *
vm_control_copy (TALLOC_CTX *mem, const struct vm_control *v)
{
  struct vm_control *x = rows_copy (mem, v, 1, sizeof *v);
  uint32_t i;

  x->vms = rows_copy (x, v->vms, v->vm_count, sizeof *v->vms);
  for (i = 0; i < v->vm_count; i++)
    x->vms[i].drained_by
        = rows_copy (x, v->vms[i].drained_by, v->vms[i].drained_by_count,
                     sizeof (uint64_t));
  x->waves = talloc_array (x, struct wave *, v->wave_count + 1);
  if (x->waves == NULL)
    out_of_memory ();
  for (i = 0; i < v->wave_count; i++)
    x->waves[i] = copy_wave (x, v->waves[i]);
  x->evacuated.items = rows_copy (x, v->evacuated.items, v->evacuated.count,
                                  sizeof *v->evacuated.items);
  return x;
}
