/* waves.c -- maintenance waves.

   Only the owner of the cell orders maintenance and moves of VMs, under its
   fencing token.  After a takeover it leaves the VMs alone for a while that
   the former owner may have ordered (handover.c).  A VM is emptied first:
   short tasks end, and long-running ones start elsewhere, within their steps'
   limits of unavailable tasks.  */

#include "core/cell/demand.h"
#include "core/cell/wave.h"

#include <string.h>

/** Interval between reads of the platform's list of VMs while wants_list is
    true.  */
#define LIST_INTERVAL_MS 700
/** A VM that is to be moved or maintained and is not empty after this returns
    to use.  */
#define EMPTY_LIMIT_MS 5000
/** Waves leave such a VM out for this long.  */
#define SKIP_MS 2500
/** Time allowed for emptying and maintaining a VM when it is judged whether a
    wave meets its deadline.  If it would not, short tasks are stopped.  */
#define VM_ALLOWANCE_MS 6000
/** A VM whose long-running tasks have no places elsewhere is left out for this
    long, while its pool gets another VM.  */
#define PLACE_SKIP_MS 500

/* The stored progress of a wave, which may be read before the wave itself.  */
struct recovered_wave
{
  uint64_t number;
  uint32_t vm_count;
  bool *done; /**< Of each VM of the wave, in order.  */
};

struct cell_fleet *
cell_fleet_new (struct cell *c)
{
  struct cell_fleet *f = talloc_zero (c, struct cell_fleet);

  f->vms = g_hash_table_new (g_str_hash, g_str_equal);
  f->waves = g_ptr_array_new ();
  f->recovered_waves = g_ptr_array_new ();
  f->demand = demand_new (f);
  f->unplaced = g_ptr_array_new ();
  f->plan_number = 1; /* Tasks and runners without a plan have 0.  */
  return f;
}

/* The waves stay, as every entry reads them, owner or not.  */
void
cell_fleet_clear (struct cell *c)
{
  struct cell_fleet *f = c->fleet;
  GHashTableIter it;
  gpointer value;
  guint i;

  g_hash_table_iter_init (&it, f->vms);
  while (g_hash_table_iter_next (&it, NULL, &value))
    {
      g_hash_table_iter_remove (&it);
      talloc_free (value);
    }
  f->listed = false;
  f->list_pending = false;
  memset (&f->window, 0, sizeof f->window);
  g_ptr_array_set_size (f->unplaced, 0);
  demand_clear (c);
  while (f->recovered_waves->len > 0)
    talloc_free (g_ptr_array_remove_index_fast (f->recovered_waves,
                                                f->recovered_waves->len - 1));
  for (i = 0; i < f->waves->len; i++)
    {
      struct wave *w = g_ptr_array_index (f->waves, i);

      w->running_published = false;
      w->completed = false;
      w->dirty = false;
      w->done_count = 0;
      memset (w->done, 0, w->spec.vm_count * sizeof *w->done);
    }
}

void
cell_fleet_free (struct cell *c)
{
  cell_fleet_clear (c);
  g_hash_table_destroy (c->fleet->vms);
  g_ptr_array_free (c->fleet->waves, TRUE);
  g_ptr_array_free (c->fleet->recovered_waves, TRUE);
  g_ptr_array_free (c->fleet->unplaced, TRUE);
}

/* Restores the progress of W from its record, if there is one.  */
static void
restore_wave (const struct cell_fleet *f, struct wave *w)
{
  guint i;
  uint32_t k;

  for (i = 0; i < f->recovered_waves->len; i++)
    {
      const struct recovered_wave *s
          = g_ptr_array_index (f->recovered_waves, i);

      if (s->number != w->spec.number || s->vm_count != w->spec.vm_count)
        continue;
      w->done_count = 0;
      for (k = 0; k < s->vm_count; k++)
        {
          w->done[k] = s->done[k];
          w->done_count += s->done[k];
        }
    }
}

void
waves_restore (struct cell *c, const struct recovered_record *r)
{
  struct cell_fleet *f = c->fleet;
  struct recovered_wave *s = talloc_zero (f, struct recovered_wave);
  guint i;

  s->number = r->wave_number;
  s->vm_count = r->vm_count;
  s->done = talloc_memdup (s, r->vms_done, (r->vm_count + 1) * sizeof (bool));
  g_ptr_array_add (f->recovered_waves, s);
  for (i = 0; i < f->waves->len; i++)
    restore_wave (f, g_ptr_array_index (f->waves, i));
}

bool
waves_are_dirty (const struct cell *c)
{
  guint i;

  for (i = 0; i < c->fleet->waves->len; i++)
    if (((struct wave *)g_ptr_array_index (c->fleet->waves, i))->dirty)
      return true;
  return demand_is_dirty (c) || handover_is_dirty (c);
}

void
waves_add_records (struct cell *c, struct append *a)
{
  guint i;

  for (i = 0; i < c->fleet->waves->len; i++)
    {
      struct wave *w = g_ptr_array_index (c->fleet->waves, i);
      struct append_record *x;

      if (!w->dirty)
        continue;
      w->dirty = false;
      x = records_add (a);
      x->kind = APPEND_RECORD_WAVE;
      x->wave_number = w->spec.number;
      x->vm_count = w->spec.vm_count;
      x->vms_done = w->done;
    }
  if (demand_is_dirty (c))
    demand_add_record (c, a);
  if (handover_is_dirty (c))
    handover_add_record (c, a);
}

void
waves_on_request (struct cell *c, const struct site_wave *s)
{
  struct cell_fleet *f = c->fleet;
  struct wave *w;
  guint i;

  for (i = 0; i < f->waves->len; i++)
    if (((struct wave *)g_ptr_array_index (f->waves, i))->spec.number
        == s->number)
      return;
  w = talloc_zero (f, struct wave);
  w->spec = *s;
  w->spec.vms = talloc_memdup (w, s->vms, s->vm_count * sizeof *s->vms);
  w->done = talloc_zero_array (w, bool, s->vm_count);
  w->deadline_us = c->now_us + s->deadline_s * US_PER_S;
  g_ptr_array_add (f->waves, w);
  restore_wave (f, w);
  cell_log (c, "wave_requested", 0,
            "\"wave\":%llu,\"vms\":%u,\"deadline_s\":%u,\"limit\":%u",
            (unsigned long long)s->number, s->vm_count, s->deadline_s,
            s->parallel_limit_count);
}

void
waves_mark_done (struct cell *c, const struct vm *v)
{
  guint i;
  uint32_t k;

  for (i = 0; i < c->fleet->waves->len; i++)
    {
      struct wave *w = g_ptr_array_index (c->fleet->waves, i);

      if (w->spec.number != v->wave)
        continue;
      for (k = 0; k < w->spec.vm_count; k++)
        if (!w->done[k] && strcmp (w->spec.vms[k], v->row.vm) == 0)
          {
            w->done[k] = true;
            w->done_count++;
            w->dirty = true;
          }
    }
}

/* Stops those long-running tasks of R that have a place elsewhere, as far as
   their steps' limits allow.  Short tasks end by themselves, and are stopped
   only if SHORT_OF_TIME.  */
static void
empty_runner (struct cell *c, struct runner *r, bool short_of_time)
{
  guint i;

  for (i = 0; i < r->tasks->len; i++)
    {
      struct task *t = g_ptr_array_index (r->tasks, i);
      bool long_running = t->step->spec->long_running;

      if (t->phase != TASK_RUNNING)
        continue;
      if (long_running ? serving_may_stop (c, t) && places_is_planned (c, t)
                       : short_of_time)
        {
          t->evicting = true;
          cell_log (c, "task_evicted", task_job (t)->id,
                    "\"task\":\"%u.%u.%u\",\"runner\":\"%s\",\"vm\":\"%s\"",
                    t->step->occurrence->number, t->step->number, t->index,
                    r->report.id, r->vm);
          task_stop (c, t);
        }
    }
}

/* Marks the runners whose VMs have maintenance due, for placement.  */
static void
mark_maintenance_due (struct cell *c)
{
  GHashTableIter it;
  gpointer value;
  guint i;
  uint32_t k;

  g_hash_table_iter_init (&it, c->runners);
  while (g_hash_table_iter_next (&it, NULL, &value))
    ((struct runner *)value)->maintenance_due = false;
  for (i = 0; i < c->fleet->waves->len; i++)
    {
      const struct wave *w = g_ptr_array_index (c->fleet->waves, i);

      for (k = 0; k < w->spec.vm_count; k++)
        {
          const struct vm *v
              = w->done[k] ? NULL : fleet_find (c->fleet, w->spec.vms[k]);
          struct runner *r = v != NULL ? fleet_runner (c, v) : NULL;

          if (r != NULL)
            r->maintenance_due = true;
        }
    }
}

static void
publish_state (struct cell *c, const struct wave *w, bool completed)
{
  struct cell_action *a = cell_emit (c, CELL_DO_WAVE_STATE);

  a->u.wave_state.number = w->spec.number;
  a->u.wave_state.completed = completed;
}

/* Returns V, which is not empty, to use if its emptying has taken too long;
   returns true if so.  */
static bool
give_back_late_vm (struct cell *c, struct vm *v)
{
  if (c->now_us <= v->emptying_at_us + EMPTY_LIMIT_MS * US_PER_MS)
    return false;
  fleet_give_back_vm (c, v, "not_empty", SKIP_MS);
  return true;
}

/* Takes V, which W has chosen, a step further: empties it, or orders its
   maintenance when it is empty.  */
static void
advance_vm (struct cell *c, struct vm *v, const struct wave *w)
{
  uint32_t left = w->spec.vm_count - w->done_count;
  uint64_t rounds = (left + w->spec.parallel_limit_count - 1)
                    / MAX (w->spec.parallel_limit_count, 1);
  bool short_of_time
      = c->now_us + rounds * VM_ALLOWANCE_MS * US_PER_MS > w->deadline_us;

  vm_orders_repeat (c, v);
  if (v->phase != VM_EMPTYING || !fleet_runs_are_known (c, v))
    return;
  if (fleet_is_empty (c, v))
    vm_orders_send_or_give_back (c, v);
  else if (!give_back_late_vm (c, v))
    empty_runner (c, fleet_runner (c, v), short_of_time);
}

/* Orders the moves of VMs that have become empty, and repeats such orders that
   got no answer.  VMs that do not become empty return to use.  */
static void
advance_moves (struct cell *c)
{
  GHashTableIter it;
  gpointer value;

  g_hash_table_iter_init (&it, c->fleet->vms);
  while (g_hash_table_iter_next (&it, NULL, &value))
    {
      struct vm *v = value;

      if (!v->moving)
        continue;
      if (v->phase != VM_EMPTYING)
        vm_orders_repeat (c, v);
      else if (fleet_is_empty (c, v))
        vm_orders_send_or_give_back (c, v);
      else
        give_back_late_vm (c, v);
    }
}

/* Returns true if runners like the others of its pool could hold each of R's
   long-running tasks.  */
static bool
others_could_hold (const struct cell *c, const struct runner *r)
{
  guint i;

  for (i = 0; i < r->tasks->len; i++)
    {
      const struct task *t = g_ptr_array_index (r->tasks, i);

      if (t->step->spec->long_running && !place_could_hold (c, t))
        return false;
    }
  return true;
}

/* Begins to empty as many VMs of W as may be away now.  */
static void
empty_next_vms (struct cell *c, struct wave *w)
{
  uint32_t limit_count = MAX (w->spec.parallel_limit_count, 1);
  uint32_t out_count = wave_choice_count_out (c, w);
  GArray *counts;
  struct vm *v;

  if (out_count >= limit_count)
    return;
  counts = wave_choice_count_pools (c, w);
  while (out_count < limit_count && vm_orders_admit_emptying (c, false)
         && (v = wave_choice_next (c, w, counts)) != NULL)
    {
      struct runner *r = fleet_runner (c, v);

      if (r != NULL && !places_plan_runner (c, r))
        {
          v->skipped_until_us = c->now_us + PLACE_SKIP_MS * US_PER_MS;
          if (others_could_hold (c, r))
            demand_want_vm (c, v->row.pool);
          continue;
        }
      out_count++;
      c->fleet->window.emptying_count++;
      wave_choice_note_out (counts, v);
      v->wave = w->spec.number;
      fleet_begin_emptying (c, v);
      cell_log (c, "vm_emptying", 0,
                "\"vm\":\"%s\",\"pool\":\"%s\",\"wave\":%llu,\"runs\":%u",
                v->row.vm, v->row.pool, (unsigned long long)w->spec.number,
                r != NULL ? r->tasks->len : 0);
    }
  g_array_free (counts, TRUE);
}

static void
advance_wave (struct cell *c, struct wave *w)
{
  struct vm *v;
  uint32_t k;

  if (!w->running_published)
    {
      w->running_published = true;
      publish_state (c, w, false);
    }
  for (k = 0; k < w->spec.vm_count; k++)
    {
      v = w->done[k] ? NULL : fleet_find (c->fleet, w->spec.vms[k]);
      if (v != NULL && fleet_has_left (c, v))
        {
          w->done[k] = true;
          w->done_count++;
          w->dirty = true;
          continue;
        }
      if (v != NULL && v->wave == w->spec.number && !v->moving)
        advance_vm (c, v, w);
      if (!cell_is_owner (c))
        return;
    }
  empty_next_vms (c, w);
  wave_choice_log (c, w);
  if (w->done_count == w->spec.vm_count)
    {
      w->completed = true;
      publish_state (c, w, true);
      cell_log (c, "wave_completed", 0, "\"wave\":%llu,\"late_ms\":%lld",
                (unsigned long long)w->spec.number,
                ((long long)c->now_us - (long long)w->deadline_us) / 1000);
    }
}

/* Returns true if a VM is away or down; VMs may also be down when a site
   starts.  While one is, the list has to be read again: it will name the VM's
   new runner.  */
static bool
any_away (const struct cell_fleet *f)
{
  GHashTableIter it;
  gpointer value;

  g_hash_table_iter_init (&it, f->vms);
  while (g_hash_table_iter_next (&it, NULL, &value))
    {
      const struct vm *v = value;

      if (v->phase == VM_AWAY || !v->row.up)
        return true;
    }
  return false;
}

/* Asks for the platform's list of VMs if WANTED and due.  */
static void
request_list (struct cell *c, bool wanted)
{
  struct cell_fleet *f = c->fleet;

  if (!wanted || f->list_pending || !c->runners_known
      || c->now_us <= f->list_sent_at_us + LIST_INTERVAL_MS * US_PER_MS)
    return;
  f->list_pending = true;
  f->list_sent_at_us = c->now_us;
  cell_emit (c, CELL_DO_LIST_VMS);
}

static bool
wants_list (const struct cell *c)
{
  const struct cell_fleet *f = c->fleet;
  GHashTableIter it;
  gpointer value;
  guint i;

  if (!f->listed || any_away (f))
    return true;
  for (i = 0; i < f->waves->len; i++)
    if (!((struct wave *)g_ptr_array_index (f->waves, i))->completed)
      return true;
  g_hash_table_iter_init (&it, c->runners);
  while (g_hash_table_iter_next (&it, NULL, &value))
    {
      const struct runner *r = value;

      /* Tasks wait until it is known that a silent runner is gone.  */
      if ((r->miss_count > 0 && r->tasks->len > 0)
          || (!r->reached && !confirmation_wait_is_over (c)))
        return true;
    }
  return false;
}

void
waves_tick (struct cell *c)
{
  struct cell_fleet *f = c->fleet;
  guint i;

  request_list (c, wants_list (c));
  /* Without the configuration it is not known which VMs are spare.  */
  if (!f->listed || c->config == NULL)
    return;
  vm_orders_tick (c);
  pools_tick (c);
  advance_moves (c);
  mark_maintenance_due (c);
  for (i = 0; i < f->waves->len && cell_is_owner (c); i++)
    {
      struct wave *w = g_ptr_array_index (f->waves, i);

      if (!w->completed)
        advance_wave (c, w);
    }
}
