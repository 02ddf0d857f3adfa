/* fleet.c -- the platform's list of VMs, and the phases of a VM.

   The store's list of runners and the platform's list of VMs can each be
   incomplete.  Taken together they name every runner that a former owner may
   have used.  */

#include "core/cell/fleet.h"

#include <string.h>

/** A VM that is up with its previous runner this long after its downtime
    should have ended was not taken down: its order repeated one that the
    platform had executed before.  */
#define SAME_RUNNER_MS 1500

/* Names of the phases of a VM in log lines.  */
static const char *const phase_names[] = { [VM_IDLE] = "idle",
                                           [VM_EMPTYING] = "emptying",
                                           [VM_ORDERED] = "ordered",
                                           [VM_AWAY] = "away" };

struct vm *
fleet_find (const struct cell_fleet *f, const char *name)
{
  return g_hash_table_lookup (f->vms, name);
}

struct runner *
fleet_runner (const struct cell *c, const struct vm *v)
{
  return v->row.runner[0] != '\0'
             ? g_hash_table_lookup (c->runners, v->row.runner)
             : NULL;
}

bool
fleet_is_evacuated (const struct cell *c, const struct vm *v)
{
  const struct runner *r = fleet_runner (c, v);

  return zones_contain (&c->evacuated, v->row.zone)
         || (r != NULL && zones_contain (&c->evacuated, r->report.zone));
}

bool
fleet_is_empty (const struct cell *c, const struct vm *v)
{
  const struct runner *r = fleet_runner (c, v);

  return r == NULL
         || (r->tasks->len == 0 && r->seen_end_number == r->stored_end_number);
}

void
fleet_begin_emptying (struct cell *c, struct vm *v)
{
  struct runner *r = fleet_runner (c, v);

  v->phase = VM_EMPTYING;
  v->emptying_at_us = c->now_us;
  handover_want_order (c, v);
  if (r != NULL)
    r->vm_emptying = true;
}

void
fleet_return_vm (struct cell *c, struct vm *v)
{
  struct runner *r = fleet_runner (c, v);

  v->phase = VM_IDLE;
  v->moving = false;
  v->naming = VM_NOT_NAMED;
  v->target_pool[0] = '\0';
  if (r != NULL)
    r->vm_emptying = false;
  c->dispatch_due = true;
}

void
fleet_give_back_vm (struct cell *c, struct vm *v, const char *why,
                    uint32_t skip_ms)
{
  const struct runner *r = fleet_runner (c, v);

  cell_log (c, "vm_given_back", 0,
            "\"vm\":\"%s\",\"why\":\"%s\",\"move\":%s,\"runs\":%u,"
            "\"withdrawn_ms\":%llu",
            v->row.vm, why, v->moving ? "true" : "false",
            r != NULL ? r->tasks->len : 0,
            (unsigned long long)((c->now_us - v->emptying_at_us) / US_PER_MS));
  v->skipped_until_us = c->now_us + skip_ms * US_PER_MS;
  fleet_return_vm (c, v);
}

static void
clear_vm_up (struct cell *c)
{
  GHashTableIter it;
  gpointer value;

  g_hash_table_iter_init (&it, c->runners);
  while (g_hash_table_iter_next (&it, NULL, &value))
    ((struct runner *)value)->vm_up = false;
}

/* Handles that the newest list lacks V: it has left the fleet.  */
static void
handle_missing_vm (struct cell *c, struct vm *v)
{
  if (!v->row.up && v->phase == VM_IDLE)
    return;
  cell_log (c, "vm_left", 0, "\"vm\":\"%s\",\"pool\":\"%s\",\"phase\":\"%s\"",
            v->row.vm, v->row.pool, phase_names[v->phase]);
  v->row.up = false;
  c->ownership.unreached_over_at_us = c->now_us;
  if (v->phase == VM_IDLE || v->phase == VM_EMPTYING
      || (v->phase == VM_AWAY
          && c->now_us >= v->away_until_us + SAME_RUNNER_MS * US_PER_MS))
    fleet_return_vm (c, v);
}

static void
handle_missing_vms (struct cell *c)
{
  GHashTableIter it;
  gpointer value;

  g_hash_table_iter_init (&it, c->fleet->vms);
  while (g_hash_table_iter_next (&it, NULL, &value))
    if (((struct vm *)value)->list_number < c->fleet->list_number)
      handle_missing_vm (c, value);
}

void
fleet_on_vms (struct cell *c, const struct cell_event *e)
{
  struct cell_fleet *f = c->fleet;
  uint32_t up_count = 0;
  uint32_t i;

  f->list_pending = false;
  if (!cell_is_owner (c) || !e->u.vms.answered)
    return;
  if (!f->listed)
    c->ownership.unreached_over_at_us = c->now_us;
  f->listed = true;
  f->list_number++;
  f->snapshot_at_us = f->list_sent_at_us;
  clear_vm_up (c);
  for (i = 0; i < e->u.vms.row_count; i++)
    {
      const struct vm_row *row = &e->u.vms.rows[i];
      struct vm *v = fleet_find (f, row->vm);
      struct runner *r;

      if (v == NULL)
        {
          v = talloc_zero (f, struct vm);
          v->row = *row;
          text_copy (v->first_runner, NAME_BYTES, row->runner);
          v->orders_from_us = handover_orders_from_us (c, row->vm);
          g_hash_table_insert (f->vms, v->row.vm, v);
          if (!row->up)
            c->ownership.unreached_over_at_us = c->now_us;
        }
      if ((v->row.up && !row->up) || strcmp (row->runner, v->row.runner) != 0)
        c->ownership.unreached_over_at_us = c->now_us;
      text_copy (v->row.pool, NAME_BYTES, row->pool);
      text_copy (v->row.zone, NAME_BYTES, row->zone);
      text_copy (v->row.runner, NAME_BYTES, row->runner);
      v->row.up = row->up;
      v->list_number = f->list_number;
      up_count += row->up;
      r = fleet_runner (c, v);
      if (r != NULL)
        {
          text_copy (r->vm, NAME_BYTES, v->row.vm);
          r->vm_up = row->up;
        }
      if (v->phase == VM_AWAY && row->up && c->now_us >= v->away_until_us
          && (strcmp (row->runner, v->previous_runner) != 0
              || c->now_us >= v->away_until_us + SAME_RUNNER_MS * US_PER_MS))
        {
          v->returned_at_us = c->now_us;
          fleet_return_vm (c, v);
        }
    }
  handle_missing_vms (c);
  if (up_count != f->up_count)
    cell_log (c, "vms_listed", 0, "\"vms\":%u,\"up\":%u", e->u.vms.row_count,
              up_count);
  f->up_count = up_count;
}

bool
fleet_runner_is_gone (const struct cell *c, const struct runner *r)
{
  return c->fleet->listed && !r->vm_up
         && r->heard_at_us < c->fleet->snapshot_at_us;
}

/* Returns true if R got no start of a former owner: it came after we had
   fenced the records, and no former owner could learn of it and show that it
   still was one.  A known runner that was restarted is no such runner, as a
   former owner may not have heard of that.  A start time in the future tells
   nothing.  */
static bool
came_after_fence (const struct cell *c, const struct runner *r)
{
  const struct vm *v = r->vm[0] != '\0' ? fleet_find (c->fleet, r->vm) : NULL;

  return r->came_later
         && (v == NULL || strcmp (v->first_runner, r->report.id) != 0)
         && r->report.booted_at_ms
                >= c->ownership.fenced_at_ms + CLOCK_DIFFERENCE_MS
         && r->report.booted_at_ms <= c->wall_ms + CLOCK_DIFFERENCE_MS;
}

/* Returns true if NAME is POOL, or POOL stands for all.  */
static bool
is_pool (const char *name, const char *pool)
{
  return strcmp (pool, EVERY_POOL) == 0 || strcmp (name, pool) == 0;
}

/* Returns true if R is in POOL, may have runs of a former owner and has not
   answered us.  */
static bool
is_unreached (const struct cell *c, const struct runner *r, const char *pool)
{
  return !r->reached && is_pool (r->report.pool, pool)
         && !fleet_runner_is_gone (c, r) && !came_after_fence (c, r);
}

/* The same for the runner on V, which the store does not list.  */
static bool
is_unlisted (const struct cell *c, const struct vm *v, const char *pool)
{
  return v->row.up && v->first_runner[0] != '\0'
         && strcmp (v->row.runner, v->first_runner) == 0
         && is_pool (v->row.pool, pool) && fleet_runner (c, v) == NULL;
}

/* Looks in both lists.  The store's list lacks runners whose registrations
   expired while the store was unreachable; the platform's list lacks those
   that started after it was first read.  */
uint32_t
fleet_count_unreached (const struct cell *c, const char *pool, uint32_t limit,
                       const char **first)
{
  uint32_t n = 0;
  GHashTableIter it;
  gpointer value;

  g_hash_table_iter_init (&it, c->runners);
  while (n < limit && g_hash_table_iter_next (&it, NULL, &value))
    if (is_unreached (c, value, pool) && n++ == 0)
      *first = ((struct runner *)value)->report.id;
  g_hash_table_iter_init (&it, c->fleet->vms);
  while (n < limit && g_hash_table_iter_next (&it, NULL, &value))
    if (is_unlisted (c, value, pool) && n++ == 0)
      *first = ((struct vm *)value)->row.runner;
  return n;
}

bool
fleet_has_unreached (const struct cell *c, const char *pool)
{
  const char *first;

  return !c->runners_known || !c->fleet->listed
         || fleet_count_unreached (c, pool, 1, &first) > 0;
}

/* Returns true if R is registered and has neither answered a poll nor missed
   as many as make it silent.  */
static bool
is_unasked (const struct cell *c, const struct runner *r)
{
  return r->listed && !r->reached
         && (r->answered_at_us == 0 || r->ends_incomplete)
         && r->miss_count < LOST_MISS_COUNT && !fleet_runner_is_gone (c, r)
         && !came_after_fence (c, r);
}

/* Returns true if one of RUNNERS has not been asked.  */
static bool
is_one_unasked (const struct cell *c, const GPtrArray *runners)
{
  guint i;

  for (i = 0; runners != NULL && i < runners->len; i++)
    if (is_unasked (c, g_ptr_array_index (runners, i)))
      return true;
  return false;
}

bool
fleet_most_are_asked (const struct cell *c, const char *pool)
{
  const GPtrArray *runners = runners_of_pool (c, pool);
  uint32_t unasked = 0;
  guint i;

  for (i = 0; runners != NULL && i < runners->len; i++)
    unasked += is_unasked (c, g_ptr_array_index (runners, i));
  return unasked == 0 || unasked * MOST_PART <= runners->len;
}

bool
fleet_has_unasked (const struct cell *c, const char *pool)
{
  GHashTableIter it;
  gpointer runners;

  if (strcmp (pool, EVERY_POOL) != 0)
    return is_one_unasked (c, runners_of_pool (c, pool));
  g_hash_table_iter_init (&it, c->pools);
  while (g_hash_table_iter_next (&it, NULL, &runners))
    if (is_one_unasked (c, runners))
      return true;
  return false;
}

bool
fleet_runs_are_known (const struct cell *c, const struct vm *v)
{
  const struct runner *r = fleet_runner (c, v);

  if (fleet_is_spare (c, v))
    return true;
  /* A runner that is not registered may be cut off from the store and still
     have runs that a former owner started.  */
  if (r == NULL)
    return c->runners_known && confirmation_wait_is_over (c);
  return r->reached && (r->miss_count == 0 || r->tasks->len == 0);
}

bool
fleet_is_spare (const struct cell *c, const struct vm *v)
{
  const struct site_pool *p = cell_find_pool (c, v->row.pool);

  return p != NULL && p->spare;
}

bool
fleet_has_left (const struct cell *c, const struct vm *v)
{
  return v->list_number < c->fleet->list_number && v->phase == VM_IDLE;
}
