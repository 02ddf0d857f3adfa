/* wave_choice.c -- which VM of a maintenance wave is emptied next, and why
   others are not.

   The load that it answers is a wave that meets surges: spare VMs and those
   that their pools need not keep are always taken, and a pool gives up no more
   of the others at once than the deadline asks for.  */

#include "core/cell/demand.h"
#include "core/cell/wave.h"

#include <stdio.h>
#include <string.h>

/** Time for which a pool lacks a VM under maintenance: emptying and
    downtime.  */
#define ROUND_MS 4500
/** Waves take no further VM of a pool while one in this many of its VMs is
    away, down or being emptied; but one always may be.  The spare pool has no
    such limit, nor have VMs that a pool need not keep.  */
#define POOL_PART 3
/** Interval between log lines on the state of a wave, and their size.  */
#define LOG_INTERVAL_MS 1000
#define WAVE_FIELDS_BYTES 120

/* Returns the cost of emptying V, for comparison: 1 plus the CPU in use on it;
   0 for a spare VM or one without a runner.  */
static uint64_t
empty_cost (const struct cell *c, const struct vm *v)
{
  const struct runner *r = fleet_runner (c, v);

  if (fleet_is_spare (c, v) || r == NULL)
    return 0;
  return 1 + r->used.cpu_milli;
}

/* Counts of a pool's VMs.  */
struct pool_vm_counts
{
  const char *pool;
  uint32_t all_count;
  uint32_t out_count;   /**< VMs that are away, down or being emptied, other
                           than for a move to another pool.  */
  uint32_t left_count;  /**< VMs of the wave that are not done.  */
  uint32_t clear_count; /**< VMs in use that have no maintenance due.  */
};

static struct pool_vm_counts *
find_count (GArray *counts, const char *pool)
{
  struct pool_vm_counts n = { .pool = pool };
  guint i;

  for (i = 0; i < counts->len; i++)
    if (strcmp (g_array_index (counts, struct pool_vm_counts, i).pool, pool)
        == 0)
      return &g_array_index (counts, struct pool_vm_counts, i);
  g_array_append_val (counts, n);
  return &g_array_index (counts, struct pool_vm_counts, counts->len - 1);
}

GArray *
wave_choice_count_pools (const struct cell *c, const struct wave *w)
{
  GArray *counts = g_array_new (FALSE, FALSE, sizeof (struct pool_vm_counts));
  GHashTableIter it;
  gpointer value;
  uint32_t k;

  g_hash_table_iter_init (&it, c->fleet->vms);
  while (g_hash_table_iter_next (&it, NULL, &value))
    {
      const struct vm *v = value;
      struct pool_vm_counts *n = find_count (counts, v->row.pool);
      const struct runner *r;

      /* A pool gives up only VMs that it does not need.  */
      if (v->moving)
        continue;
      n->all_count++;
      n->out_count += v->phase != VM_IDLE || !v->row.up
                      || c->now_us < v->orders_from_us;
      r = fleet_runner (c, v);
      n->clear_count
          += r != NULL && place_is_usable (c, r) && !r->maintenance_due;
    }
  for (k = 0; k < w->spec.vm_count; k++)
    {
      const struct vm *v
          = w->done[k] ? NULL : fleet_find (c->fleet, w->spec.vms[k]);

      if (v != NULL)
        find_count (counts, v->row.pool)->left_count++;
    }
  return counts;
}

void
wave_choice_note_out (GArray *counts, const struct vm *v)
{
  find_count (counts, v->row.pool)->out_count++;
}

/* Returns true if the pool of N keeps what it has to without one of the VMs
   that are in use now.  */
static bool
has_surplus (struct cell *c, const struct pool_vm_counts *n)
{
  const struct pool_demand *m = demand_find (c, n->pool);

  return m != NULL && n->all_count - n->out_count > m->keep_count;
}

/* Returns true if V's pool can do without V now.  A pool other than the spare
   one gives up the VMs that it need not keep, and of the others no more at the
   same time than W needs to meet its deadline.  */
static bool
pool_allows (struct cell *c, const struct wave *w, const struct vm *v,
             GArray *counts)
{
  uint64_t left_us
      = w->deadline_us > c->now_us ? w->deadline_us - c->now_us : 0;
  uint64_t rounds = left_us / (ROUND_MS * US_PER_MS);
  const struct pool_vm_counts *n = find_count (counts, v->row.pool);
  uint64_t limit;

  if (fleet_is_spare (c, v))
    return true;
  limit = rounds > 0 ? (n->left_count + rounds - 1) / rounds : n->left_count;
  limit = MIN (limit, MAX (n->all_count / POOL_PART, 1));
  return n->out_count < MAX (limit, 1) || has_surplus (c, n);
}

/* Returns true if V has long-running tasks, and its pool has VMs that they can
   move to without having to move again.  Such a VM takes longest to empty, as
   only few tasks of a step may be away at once, so it comes first.  */
static bool
empties_slowly (const struct cell *c, const struct vm *v, GArray *counts)
{
  const struct runner *r = fleet_runner (c, v);
  guint i;

  if (r == NULL || find_count (counts, v->row.pool)->clear_count == 0)
    return false;
  for (i = 0; i < r->tasks->len; i++)
    if (((struct task *)g_ptr_array_index (r->tasks, i))
            ->step->spec->long_running)
      return true;
  return false;
}

uint32_t
wave_choice_count_out (const struct cell *c, const struct wave *w)
{
  uint32_t n = 0;
  uint32_t k;

  for (k = 0; k < w->spec.vm_count; k++)
    {
      const struct vm *v = fleet_find (c->fleet, w->spec.vms[k]);

      /* A VM that is down without an order of ours was sent into maintenance
         by a former owner.  Such an order may not show in the list yet, unless
         the list was asked for when it was over.  */
      if (v != NULL
          && (v->phase != VM_IDLE
                  ? v->wave == w->spec.number
                  : !v->row.up
                        || (!w->done[k]
                            && c->fleet->snapshot_at_us < v->orders_from_us)))
        n++;
    }
  return n;
}

/* Why a VM of a wave is not emptied now.  */
enum wave_obstacle
{
  WAVE_MAY_EMPTY,
  WAVE_VM_BUSY,    /* Another operation on it is under way, or it is down.  */
  WAVE_VM_UNKNOWN, /* What runs on it is not known.  */
  WAVE_VM_SKIPPED, /* It was given back lately, or its tasks had no places.  */
  WAVE_VM_ORDERED, /* The former owner may have ordered it lately.  */
  WAVE_POOL_BUSY,  /* Its pool cannot do without it.  */
  WAVE_OBSTACLE_COUNT
};

static const char *const obstacle_names[WAVE_OBSTACLE_COUNT]
    = { "free", "busy", "unknown", "skipped", "ordered", "pool" };

static enum wave_obstacle
find_obstacle (struct cell *c, const struct wave *w, const struct vm *v,
               GArray *counts)
{
  if (v->phase != VM_IDLE || !v->row.up)
    return WAVE_VM_BUSY;
  if (!fleet_runs_are_known (c, v))
    return WAVE_VM_UNKNOWN;
  if (c->now_us < v->skipped_until_us)
    return WAVE_VM_SKIPPED;
  if (c->now_us < v->orders_from_us)
    return WAVE_VM_ORDERED;
  return pool_allows (c, w, v, counts) ? WAVE_MAY_EMPTY : WAVE_POOL_BUSY;
}

void
wave_choice_log (struct cell *c, struct wave *w)
{
  uint32_t by_obstacle[WAVE_OBSTACLE_COUNT] = { 0 };
  char fields[WAVE_FIELDS_BYTES] = "";
  GArray *counts;
  size_t used = 0;
  uint32_t k;

  if (c->now_us < w->logged_at_us + LOG_INTERVAL_MS * US_PER_MS)
    return;
  w->logged_at_us = c->now_us;
  counts = wave_choice_count_pools (c, w);
  for (k = 0; k < w->spec.vm_count; k++)
    {
      const struct vm *v
          = w->done[k] ? NULL : fleet_find (c->fleet, w->spec.vms[k]);

      if (v != NULL)
        by_obstacle[find_obstacle (c, w, v, counts)]++;
    }
  for (k = 0; k < WAVE_OBSTACLE_COUNT; k++)
    used += (size_t)snprintf (fields + used, sizeof fields - used,
                              ",\"%s\":%u", obstacle_names[k], by_obstacle[k]);
  g_array_free (counts, TRUE);
  cell_log (c, "wave_state", 0,
            "\"wave\":%llu,\"left\":%u,\"out\":%u,\"limit\":%u,"
            "\"emptying\":%u%s",
            (unsigned long long)w->spec.number,
            w->spec.vm_count - w->done_count, wave_choice_count_out (c, w),
            w->spec.parallel_limit_count, c->fleet->window.emptying_count,
            fields);
}

struct vm *
wave_choice_next (struct cell *c, struct wave *w, GArray *counts)
{
  struct vm *best = NULL;
  bool best_slow = false;
  uint32_t k;

  for (k = 0; k < w->spec.vm_count; k++)
    {
      struct vm *v = w->done[k] ? NULL : fleet_find (c->fleet, w->spec.vms[k]);
      bool slow;

      if (v == NULL || find_obstacle (c, w, v, counts) != WAVE_MAY_EMPTY)
        continue;
      slow = empties_slowly (c, v, counts);
      if (best == NULL || slow > best_slow
          || (slow == best_slow && empty_cost (c, v) < empty_cost (c, best)))
        {
          best = v;
          best_slow = slow;
        }
    }
  return best;
}
