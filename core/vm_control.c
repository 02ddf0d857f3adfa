/* vm_control.c -- validates and applies drains, moves and waves.  */

#include "core/vm_control.h"

#include "core/control.h"

#include <string.h>

/** Most waves kept.  Ended ones are kept for the operators to look at; the
    oldest of them is dropped for a new wave.  */
#define WAVE_LIMIT_COUNT 32

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

int32_t
vm_control_find_vm (const struct control *c, const char *vm)
{
  uint32_t i;

  for (i = 0; i < c->vm_control->vm_count; i++)
    if (strcmp (c->vm_control->vms[i].name, vm) == 0)
      return (int32_t)i;
  return -1;
}

struct wave *
vm_control_find_wave (const struct control *c, const char *name)
{
  uint32_t i;

  for (i = 0; i < c->vm_control->wave_count; i++)
    if (strcmp (c->vm_control->waves[i]->name, name) == 0)
      return c->vm_control->waves[i];
  return NULL;
}

bool
vm_control_is_out (const struct control *c, uint32_t vm_index)
{
  const struct vm_lifecycle *v = &c->vm_control->vms[vm_index];

  return v->phase != VM_SERVING || v->lost;
}

bool
vm_control_is_evacuated (const struct control *c, uint32_t vm_index)
{
  return zones_contain (&c->vm_control->evacuated,
                        c->config->vms[vm_index].zone);
}

bool
vm_control_has_zone (const struct control *c, const char *zone)
{
  uint32_t i;

  for (i = 0; c->config != NULL && i < c->config->vm_count; i++)
    if (zone[0] != '\0' && strcmp (c->config->vms[i].zone, zone) == 0)
      return true;
  return false;
}

static int32_t
find_pool (const struct config *f, const char *name)
{
  uint32_t i;

  for (i = 0; i < f->pool_count; i++)
    if (strcmp (f->pools[i].name, name) == 0)
      return (int32_t)i;
  return -1;
}

/* Returns true if an earlier VM of the same pool and rack is out.  */
static bool
has_earlier_out_in_rack (const struct control *c, uint32_t vm_index)
{
  const struct config *f = c->config;
  uint32_t i;

  for (i = 0; i < vm_index; i++)
    if (f->vms[i].pool_index == f->vms[vm_index].pool_index
        && vm_control_is_out (c, i)
        && strcmp (f->vms[i].rack, f->vms[vm_index].rack) == 0)
      return true;
  return false;
}

bool
vm_control_may_drain (const struct control *c, uint32_t vm_index)
{
  const struct config *f = c->config;
  const struct vm_config *vm = &f->vms[vm_index];
  const struct pool_config *p = &f->pools[vm->pool_index];
  uint32_t out_count = 0;
  uint32_t rack_count = 0;
  bool same_rack = false;
  uint32_t i;

  if (vm_control_is_out (c, vm_index))
    return false;
  for (i = 0; i < f->vm_count; i++)
    {
      if (f->vms[i].pool_index != vm->pool_index || !vm_control_is_out (c, i))
        continue;
      out_count++;
      rack_count += has_earlier_out_in_rack (c, i) ? 0 : 1;
      same_rack |= strcmp (f->vms[i].rack, vm->rack) == 0;
    }
  return out_count < p->max_unavailable_count
         && (same_rack || rack_count < p->max_unavailable_rack_count);
}

uint32_t
vm_control_wave_out_count (const struct control *c, const char *name)
{
  uint32_t n = 0;
  uint32_t i;

  for (i = 0; i < c->vm_control->vm_count; i++)
    if (c->vm_control->vms[i].phase != VM_SERVING
        && strcmp (c->vm_control->vms[i].wave, name) == 0)
      n++;
  return n;
}

static struct wave_vm *
find_wave_vm (struct wave *w, const char *vm)
{
  uint32_t i;

  for (i = 0; i < w->vm_count; i++)
    if (strcmp (w->vms[i].name, vm) == 0)
      return &w->vms[i];
  return NULL;
}

static void
complete_wave_if_done (struct wave *w)
{
  if (w->done_count == w->vm_count
      && (w->state == WAVE_RUNNING || w->state == WAVE_PAUSED))
    w->state = WAVE_DONE;
}

static void
finish_wave_vm (struct control *c, struct vm_lifecycle *v, uint64_t offset)
{
  struct wave *w = vm_control_find_wave (c, v->wave);
  struct wave_vm *x = w ? find_wave_vm (w, v->name) : NULL;

  if (x == NULL || x->done)
    return;
  x->done = true;
  w->done_count++;
  w->last_step_id = offset + 1;
  complete_wave_if_done (w);
}

/* Ends the drain of V, which serves again.  */
static void
end_drain (struct vm_lifecycle *v)
{
  v->phase = VM_SERVING;
  v->drain_id = 0;
  v->wave[0] = '\0';
  v->move_to[0] = '\0';
  TALLOC_FREE (v->drained_by);
  v->drained_by_count = 0;
}

static void
set_pool (struct control *c, uint32_t vm_index, uint32_t pool_index)
{
  struct vm_lifecycle *v = &c->vm_control->vms[vm_index];

  c->config->vms[vm_index].pool_index = pool_index;
  text_copy (v->pool, NAME_BYTES, c->config->pools[pool_index].name);
}

static void
set_wave_step (struct control *c, const char *name, uint64_t offset)
{
  struct wave *w = vm_control_find_wave (c, name);

  if (w != NULL)
    w->last_step_id = offset + 1;
}

static void
start_drain (struct vm_lifecycle *v, uint64_t offset, const char *wave)
{
  v->phase = VM_DRAINING;
  v->drain_id = offset + 1;
  text_copy (v->wave, NAME_BYTES, wave);
}

static bool
apply_drain (struct control *c, uint64_t offset, const struct record_vm *r)
{
  int32_t i = vm_control_find_vm (c, r->vm);
  struct wave *w = NULL;
  struct wave_vm *x;

  if (i < 0 || !vm_control_may_drain (c, (uint32_t)i))
    return false;
  if (r->wave[0] != '\0')
    {
      w = vm_control_find_wave (c, r->wave);
      x = w ? find_wave_vm (w, r->vm) : NULL;
      if (x == NULL || x->done || w->state != WAVE_RUNNING)
        return false;
      if (w->parallel_limit_count > 0
          && vm_control_wave_out_count (c, w->name) >= w->parallel_limit_count)
        return false;
    }
  start_drain (&c->vm_control->vms[i], offset, r->wave);
  set_wave_step (c, r->wave, offset);
  return true;
}

/* Returns VM if it is not serving and its drain is DRAIN_ID (0: any), else
   NULL.  */
static struct vm_lifecycle *
find_drain (const struct control *c, const char *vm, uint64_t drain_id)
{
  int32_t i = vm_control_find_vm (c, vm);
  struct vm_lifecycle *v = i < 0 ? NULL : &c->vm_control->vms[i];

  if (v == NULL || v->phase == VM_SERVING
      || (drain_id != 0 && v->drain_id != drain_id))
    return NULL;
  return v;
}

static bool
has_reported_drained (const struct vm_lifecycle *v, uint64_t incarnation)
{
  uint32_t i;

  for (i = 0; i < v->drained_by_count; i++)
    if (v->drained_by[i] == incarnation)
      return true;
  return false;
}

static bool
apply_vm_drained (struct control *c, const struct record_vm *r)
{
  struct vm_lifecycle *v = find_drain (c, r->vm, r->drain_id);

  if (v == NULL || r->drain_id == 0 || v->phase != VM_DRAINING
      || has_reported_drained (v, r->incarnation))
    return false;
  v->drained_by = talloc_realloc (c->vm_control, v->drained_by, uint64_t,
                                  v->drained_by_count + 1);
  if (v->drained_by == NULL)
    out_of_memory ();
  v->drained_by[v->drained_by_count++] = r->incarnation;
  return true;
}

static bool
apply_rebooted (struct control *c, uint64_t offset, const struct record_vm *r)
{
  struct vm_lifecycle *v = find_drain (c, r->vm, r->drain_id);

  if (v == NULL || r->drain_id == 0 || v->phase != VM_DRAINED)
    return false;
  v->phase = VM_RETURNING;
  set_wave_step (c, v->wave, offset);
  return true;
}

/* Returns a VM to service: the VM of a wave only after its reboot.  An
   operator's command has drain id 0 and returns any VM that is not out for a
   wave.  */
static bool
apply_return (struct control *c, uint64_t offset, const struct record_vm *r)
{
  struct vm_lifecycle *v = find_drain (c, r->vm, r->drain_id);

  if (v == NULL)
    return false;
  if (r->drain_id != 0 && v->wave[0] != '\0' && v->phase != VM_RETURNING)
    return false;
  if (r->drain_id == 0 && v->wave[0] != '\0')
    return false;
  finish_wave_vm (c, v, offset);
  end_drain (v);
  return true;
}

static bool
apply_lost (struct control *c, const struct record_vm *r, bool lost)
{
  int32_t i = vm_control_find_vm (c, r->vm);

  if (i < 0 || c->vm_control->vms[i].lost == lost)
    return false;
  c->vm_control->vms[i].lost = lost;
  return true;
}

/* Returns true for a spare pool that no route names, so that no request can
   run there.  */
static bool
is_unrouted_spare_pool (const struct config *f, uint32_t pool_index)
{
  uint32_t i;

  if (!f->pools[pool_index].is_spare)
    return false;
  for (i = 0; i < f->route_count; i++)
    if (f->routes[i].pool_index == pool_index)
      return false;
  return true;
}

static bool
apply_move (struct control *c, uint64_t offset, const struct record_move *r)
{
  int32_t i = vm_control_find_vm (c, r->vm);
  int32_t to = c->config ? find_pool (c->config, r->to) : -1;
  struct vm_lifecycle *v = i < 0 ? NULL : &c->vm_control->vms[i];

  if (v == NULL || to < 0 || strcmp (v->pool, r->from) != 0
      || strcmp (r->from, r->to) == 0 || vm_control_is_out (c, (uint32_t)i))
    return false;
  if (is_unrouted_spare_pool (c->config, c->config->vms[i].pool_index))
    {
      set_pool (c, (uint32_t)i, (uint32_t)to);
      return true;
    }
  if (!vm_control_may_drain (c, (uint32_t)i))
    return false;
  start_drain (v, offset, "");
  text_copy (v->move_to, NAME_BYTES, r->to);
  return true;
}

static void
add_wave_vm (struct wave *w, const char *vm)
{
  if (find_wave_vm (w, vm) == NULL)
    text_copy (w->vms[w->vm_count++].name, NAME_BYTES, vm);
}

/* Adds the VM NAME or every VM of the pool NAME; returns false if there is
   neither.  */
static bool
add_target (const struct control *c, struct wave *w, const char *name)
{
  int32_t vm = vm_control_find_vm (c, name);
  int32_t pool = find_pool (c->config, name);
  uint32_t i;

  if (vm >= 0)
    add_wave_vm (w, name);
  for (i = 0; pool >= 0 && i < c->config->vm_count; i++)
    if (c->config->vms[i].pool_index == (uint32_t)pool)
      add_wave_vm (w, c->config->vms[i].name);
  return vm >= 0 || pool >= 0;
}

/* Makes room for one wave by dropping the oldest ended one; returns false if
   all waves are in progress.  */
static bool
make_room_for_wave (struct vm_control *v)
{
  uint32_t i;

  if (v->wave_count < WAVE_LIMIT_COUNT)
    return true;
  for (i = 0; i < v->wave_count; i++)
    if (v->waves[i]->state == WAVE_DONE || v->waves[i]->state == WAVE_ABORTED)
      {
        talloc_free (v->waves[i]);
        for (v->wave_count--; i < v->wave_count; i++)
          v->waves[i] = v->waves[i + 1];
        return true;
      }
  return false;
}

static bool
apply_wave_start (struct control *c, uint64_t offset,
                  const struct record_wave *r)
{
  struct vm_control *v = c->vm_control;
  struct wave *w;
  uint32_t i;

  if (c->config == NULL || vm_control_find_wave (c, r->wave) != NULL
      || !make_room_for_wave (v))
    return false;
  w = talloc_zero (v, struct wave);
  w->vms = talloc_zero_array (w, struct wave_vm, v->vm_count + 1);
  for (i = 0; i < r->target_count; i++)
    if (!add_target (c, w, r->targets[i]))
      {
        talloc_free (w);
        return false;
      }
  if (w->vm_count == 0)
    {
      talloc_free (w);
      return false;
    }
  text_copy (w->name, NAME_BYTES, r->wave);
  w->parallel_limit_count = r->parallel_limit_count;
  w->deadline_ms = r->deadline_ms;
  w->start_id = offset + 1;
  w->last_step_id = offset + 1;
  v->waves = talloc_realloc (v, v->waves, struct wave *, v->wave_count + 1);
  if (v->waves == NULL)
    out_of_memory ();
  v->waves[v->wave_count++] = w;
  return true;
}

/* Aborts W.  Its VMs that are still draining serve again at once.  Those in
   maintenance are still rebooted and returned, since the platform may already
   be working on them.  */
static void
abort_wave (struct control *c, struct wave *w)
{
  uint32_t i;

  w->state = WAVE_ABORTED;
  for (i = 0; i < c->vm_control->vm_count; i++)
    {
      struct vm_lifecycle *v = &c->vm_control->vms[i];

      if (v->phase == VM_DRAINING && strcmp (v->wave, w->name) == 0)
        end_drain (v);
    }
}

static bool
apply_wave_change (struct control *c, uint64_t offset, const struct record *r)
{
  struct wave *w = vm_control_find_wave (c, r->u.wave.wave);

  if (w == NULL || w->state == WAVE_DONE || w->state == WAVE_ABORTED)
    return false;
  if (r->kind == RECORD_WAVE_PAUSE && w->state != WAVE_RUNNING)
    return false;
  if (r->kind == RECORD_WAVE_RESUME && w->state != WAVE_PAUSED)
    return false;
  w->last_step_id = offset + 1;
  if (r->kind == RECORD_WAVE_ABORT)
    abort_wave (c, w);
  else if (r->kind == RECORD_WAVE_PAUSE)
    w->state = WAVE_PAUSED;
  else
    {
      w->state = WAVE_RUNNING;
      w->deadline_ms = 0;
    }
  return true;
}

/* Rejects a zone that no VM has, which would be a wrong name.  */
static bool
apply_zone_evacuate (struct control *c, const char *zone)
{
  struct vm_control *v = c->vm_control;
  struct zones *z = &v->evacuated;

  if (!vm_control_has_zone (c, zone) || zones_contain (z, zone))
    return false;
  z->items = talloc_realloc (v, z->items, struct zone, z->count + 1);
  if (z->items == NULL)
    out_of_memory ();
  memset (&z->items[z->count], 0, sizeof *z->items);
  text_copy (z->items[z->count++].name, NAME_BYTES, zone);
  return true;
}

/* Also returns a zone whose VMs have left the tables since.  */
static bool
apply_zone_return (struct control *c, const char *zone)
{
  struct zones *z = &c->vm_control->evacuated;
  struct zone *x = zones_find (z, zone);

  if (x == NULL)
    return false;
  z->count--;
  memmove (x, x + 1, (size_t)(z->items + z->count - x) * sizeof *x);
  return true;
}

static bool
apply_kind (struct control *c, uint64_t offset, const struct record *r)
{
  switch (r->kind)
    {
    case RECORD_WAVE_START:
      return apply_wave_start (c, offset, &r->u.wave);
    case RECORD_WAVE_PAUSE:
    case RECORD_WAVE_RESUME:
    case RECORD_WAVE_ABORT:
      return apply_wave_change (c, offset, r);
    case RECORD_DRAIN:
      return apply_drain (c, offset, &r->u.vm);
    case RECORD_VM_DRAINED:
      return apply_vm_drained (c, &r->u.vm);
    case RECORD_REBOOTED:
      return apply_rebooted (c, offset, &r->u.vm);
    case RECORD_RETURN:
      return apply_return (c, offset, &r->u.vm);
    case RECORD_VM_LOST:
    case RECORD_VM_FOUND:
      return apply_lost (c, &r->u.vm, r->kind == RECORD_VM_LOST);
    case RECORD_MOVE:
      return apply_move (c, offset, &r->u.move);
    case RECORD_ZONE_EVACUATE:
      return apply_zone_evacuate (c, r->u.zone.zone);
    case RECORD_ZONE_RETURN:
      return apply_zone_return (c, r->u.zone.zone);
    default:
      return false;
    }
}

bool
vm_control_apply (struct control *c, uint64_t offset, const struct record *r)
{
  struct vm_control *v = c->vm_control;

  if (!apply_kind (c, offset, r))
    return false;
  text_copy (v->applied_ids[v->applied_next], ID_BYTES, r->id);
  v->applied_next = (v->applied_next + 1) % APPLIED_ID_COUNT;
  return true;
}

bool
vm_control_was_applied (const struct control *c, const char *id)
{
  uint32_t i;

  for (i = 0; i < APPLIED_ID_COUNT; i++)
    if (strcmp (c->vm_control->applied_ids[i], id) == 0)
      return true;
  return false;
}

/* Sets up VM I of new tables from its old state OLD, or NULL.  If the
   tables name its configured or its current pool, it stays in its current
   pool; any other pool is a move by the operators.  */
static void
adopt_vm (struct control *c, uint32_t i, const struct vm_lifecycle *old)
{
  const struct vm_config *row = &c->config->vms[i];
  const char *named = c->config->pools[row->pool_index].name;
  struct vm_lifecycle *v = &c->vm_control->vms[i];
  int32_t pool;

  if (old != NULL)
    *v = *old;
  text_copy (v->name, NAME_BYTES, row->name);
  if (old != NULL && strcmp (named, v->pool) == 0)
    return;
  pool = old ? find_pool (c->config, v->pool) : -1;
  if (old != NULL && strcmp (named, v->configured_pool) == 0 && pool >= 0)
    {
      c->config->vms[i].pool_index = (uint32_t)pool;
      return;
    }
  text_copy (v->configured_pool, NAME_BYTES, named);
  text_copy (v->pool, NAME_BYTES, named);
}

/* Marks VMs that are not in the tables as done in their waves.  */
static void
finish_absent_wave_vms (struct control *c)
{
  uint32_t i;
  uint32_t k;

  for (i = 0; i < c->vm_control->wave_count; i++)
    {
      struct wave *w = c->vm_control->waves[i];

      for (k = 0; k < w->vm_count; k++)
        if (!w->vms[k].done && vm_control_find_vm (c, w->vms[k].name) < 0)
          {
            w->vms[k].done = true;
            w->done_count++;
          }
      complete_wave_if_done (w);
    }
}

/* Frees OLD and the drained_by arrays of its VMs that are no longer in the
   tables; those of the others were taken over.  */
static void
free_absent (struct control *c, struct vm_lifecycle *old, uint32_t old_count)
{
  uint32_t i;

  for (i = 0; i < old_count; i++)
    if (vm_control_find_vm (c, old[i].name) < 0)
      talloc_free (old[i].drained_by);
  talloc_free (old);
}

static void
adopt_tables (struct control *c)
{
  struct vm_control *v = c->vm_control;
  struct vm_lifecycle *old = v->vms;
  uint32_t old_count = v->vm_count;
  uint32_t i;
  uint32_t k;

  v->vm_count = c->config->vm_count;
  v->vms = talloc_zero_array (v, struct vm_lifecycle, v->vm_count + 1);
  if (v->vms == NULL)
    out_of_memory ();
  for (i = 0; i < v->vm_count; i++)
    {
      for (k = 0; k < old_count; k++)
        if (strcmp (old[k].name, c->config->vms[i].name) == 0)
          break;
      adopt_vm (c, i, k < old_count ? &old[k] : NULL);
    }
  free_absent (c, old, old_count);
  v->config_version = c->config_version;
  finish_absent_wave_vms (c);
}

/* Returns true if some member has still to report V as drained.  Members that
   joined after the drain began never sent requests there.  */
static bool
awaits_members (const struct control *c, const struct vm_lifecycle *v)
{
  uint32_t i;

  for (i = 0; i < c->member_count; i++)
    if (c->members[i].incarnation <= v->drain_id
        && !has_reported_drained (v, c->members[i].incarnation))
      return true;
  return false;
}

void
vm_control_reconcile (struct control *c)
{
  struct vm_control *v = c->vm_control;
  uint32_t i;

  if (c->config == NULL)
    return;
  if (v->config_version != c->config_version)
    adopt_tables (c);
  for (i = 0; i < v->vm_count; i++)
    {
      struct vm_lifecycle *x = &v->vms[i];
      int32_t pool;

      if (x->phase != VM_DRAINING || awaits_members (c, x))
        continue;
      x->phase = VM_DRAINED;
      if (x->move_to[0] == '\0')
        continue;
      pool = find_pool (c->config, x->move_to);
      if (pool >= 0)
        set_pool (c, i, (uint32_t)pool);
      end_drain (x);
    }
}
