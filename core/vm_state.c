/* vm_state.c -- making and copying the control state of VMs.  */

#include "core/vm_control.h"

struct vm_control *
vm_control_new (TALLOC_CTX *mem)
{
  struct vm_control *v = talloc_zero (mem, struct vm_control);

  if (v == NULL)
    out_of_memory ();
  return v;
}

const char *
vm_phase_name (enum vm_phase p)
{
  static const char *const names[VM_PHASE_COUNT] = {
    [VM_SERVING] = "serving",
    [VM_DRAINING] = "draining",
    [VM_DRAINED] = "maintenance",
    [VM_RETURNING] = "returning",
  };

  return names[p];
}

const char *
wave_state_name (enum wave_state s)
{
  static const char *const names[WAVE_STATE_COUNT] = {
    [WAVE_RUNNING] = "running",
    [WAVE_PAUSED] = "paused",
    [WAVE_ABORTED] = "aborted",
    [WAVE_DONE] = "done",
  };

  return names[s];
}

struct vm_control *
vm_control_copy (TALLOC_CTX *mem, const struct vm_control *v)
{
  struct vm_control *x = vm_control_new (mem);
  uint32_t i;

  *x = *v;
  x->vms = talloc_zero_array (x, struct vm_entry, v->vm_count + 1);
  x->waves = talloc_zero_array (x, struct wave *, v->wave_count + 1);
  if (x->vms == NULL || x->waves == NULL)
    out_of_memory ();
  for (i = 0; i < v->vm_count; i++)
    {
      struct vm_entry *e = &x->vms[i];

      *e = v->vms[i];
      if (e->drained_by_count > 0)
        e->drained_by = talloc_memdup (
            x, e->drained_by, e->drained_by_count * sizeof (uint64_t));
    }
  for (i = 0; i < v->wave_count; i++)
    {
      const struct wave *w = v->waves[i];

      x->waves[i] = talloc_memdup (x, w, sizeof *w);
      x->waves[i]->vms
          = talloc_memdup (x->waves[i], w->vms, w->vm_count * sizeof *w->vms);
    }
  return x;
}

struct vm_control *
vm_control_of_tables (TALLOC_CTX *mem, const struct config *f,
                      uint64_t config_version)
{
  struct vm_control *v = vm_control_new (mem);
  uint32_t i;

  if (f == NULL)
    return v;
  v->vms = talloc_zero_array (v, struct vm_entry, f->vm_count + 1);
  if (v->vms == NULL)
    out_of_memory ();
  v->vm_count = f->vm_count;
  v->config_version = config_version;
  for (i = 0; i < f->vm_count; i++)
    {
      const char *pool = f->pools[f->vms[i].pool_index].name;

      text_copy (v->vms[i].name, NAME_BYTES, f->vms[i].name);
      text_copy (v->vms[i].home, NAME_BYTES, pool);
      text_copy (v->vms[i].pool, NAME_BYTES, pool);
    }
  return v;
}
