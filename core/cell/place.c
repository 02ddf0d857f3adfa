/* place.c -- chooses the runner of a task, and estimates run times.

   Best fit: nearly full runners are filled first, so that large tasks find
   room elsewhere and idle VMs can be switched off.  Serving tasks and fillers
   avoid each other, and fillers also avoid other fillers.  */

#include "core/cell/fleet.h"

#include <math.h>
#include <string.h>

/** Expected run time of a task without an estimate or observed runs.  */
#define DEFAULT_TASK_US (1 * US_PER_S)
/** The newest run has a weight of one in this many in an image's mean.  */
#define MEAN_PART 8
/** The mean counts beside the client's estimate after this many runs.  */
#define LEARNED_COUNT 4
/** Clocks of runners that are read at a time for a task that has no other
    place.  */
#define CLOCK_READ_COUNT 16
/* The score of a runner is its free part, from 0 to 1000, plus penalties that
   outweigh it.  */
/** Penalty for each task on the runner that would disturb the new one or be
    disturbed by it, such as a filler beside a serving task.  */
#define INTERFERENCE_PENALTY 2000
/** Penalty for another rack than that of the data, and for another than that
    of the step's other tasks.  */
#define RACK_PENALTY 4000
/** Penalty for a runner that is slow as it was started a short while ago.  */
#define COLD_PENALTY RACK_PENALTY
/** Penalty for the runner where the task failed last.  */
#define FAILED_PENALTY 8000
/** Penalty for a VM whose maintenance is still due, if the task is
    long-running: it would have to move again.  */
#define MAINTENANCE_PENALTY 1000
/** Most that the learned slowdowns on a runner count together, in
    thousandths.  */
#define SLOWDOWN_LIMIT_MILLI 4000
/** Factor by which a thousandth of slowdown outweighs the free part.  */
#define SLOWDOWN_FACTOR 1001
/** Factor by which the least penalty, 1000, outweighs the largest slowdown and
    the free part.  */
#define PENALTY_FACTOR 4100

/* Returns true if R has the label that S asks for, or S asks for none.  */
static bool
has_label (const struct runner *r, const struct job_step *s)
{
  uint32_t i;

  if (s->label[0] == '\0')
    return true;
  for (i = 0; i < r->report.label_count; i++)
    if (strcmp (r->report.labels[i], s->label) == 0)
      return true;
  return false;
}

/* Returns true if R takes new tasks now, apart from its room.  A runner in
   quarantine takes some only if IN_QUARANTINE.  A boot knows no token at first
   and would take orders of an owner that has been followed, after a newer
   owner had asked the boot before.  */
static bool
takes_tasks (const struct cell *c, const struct runner *r, bool in_quarantine)
{
  return r->listed && r->reached && !r->ends_incomplete
         && leases_excess_ms (c, r) == 0 && r->boot_doubted_at_us == 0
         && r->clock_read_at_us != 0 && !r->report.draining && !r->vm_emptying
         && !r->zone_evacuated && r->miss_count == 0
         && c->ownership.confirmed_at_us >= r->boot_known_at_us
         && handover_admits_starts (c, r)
         && (in_quarantine || c->now_us >= r->quarantined_until_us)
         && c->now_us >= r->refused_until_us && c->now_us >= r->full_until_us;
}

bool
place_is_usable (const struct cell *c, const struct runner *r)
{
  return takes_tasks (c, r, false);
}

struct resources
place_occupied_by (const struct job_step *s)
{
  struct resources n = s->need;

  if (s->filler)
    n.cpu_milli = 0;
  return n;
}

/* Returns true if NEED fits on R beside R's tasks and, if PLANNED, also beside
   the tasks that the plan names a place on R for.  */
static bool
has_room (const struct cell *c, const struct runner *r,
          const struct resources *need, bool planned)
{
  struct resources sum = r->used;

  resources_add (&sum, need);
  if (planned && places_planned_count (c, r) > 0)
    resources_add (&sum, &r->planned_sum);
  return resources_fit (&sum, &r->report.capacity);
}

/* Returns how many tasks of S are on R and, if PLANNED, how many the plan
   names a place on R for, too.  */
static uint32_t
count_same_step (const struct cell *c, const struct runner *r,
                 const struct work_step *s, bool planned)
{
  uint32_t n = 0;
  guint i;

  for (i = 0; i < r->tasks->len; i++)
    if (((struct task *)g_ptr_array_index (r->tasks, i))->step == s)
      n++;
  for (i = 0; planned && i < places_planned_count (c, r); i++)
    if (((struct task *)g_ptr_array_index (r->planned, i))->step == s)
      n++;
  return n;
}

/* Returns how many tasks on R would disturb a task of S or be disturbed by
   it.  */
static uint32_t
count_interfering (const struct runner *r, const struct job_step *s)
{
  uint32_t n = 0;
  guint i;

  if (!s->filler && s->latency_target_ms == 0 && !s->long_running)
    return 0;
  for (i = 0; i < r->tasks->len; i++)
    {
      const struct job_step *other
          = ((struct task *)g_ptr_array_index (r->tasks, i))->step->spec;

      if (s->filler ? other->latency_target_ms > 0 || other->filler
                    : other->filler)
        n++;
    }
  return n;
}

/* Returns true if RACK is that of the first task of S that has a runner, or if
   no task of S has one.  */
static bool
is_on_step_rack (const struct work_step *s, const char *rack)
{
  uint32_t i;

  for (i = 0; i < s->spec->task_count; i++)
    if (s->tasks[i].runner != NULL)
      return strcmp (s->tasks[i].runner->rack, rack) == 0;
  return true;
}

/* Returns the part of R, in thousandths, that would stay free if a task that
   needs NEED is added: of CPU or memory, whichever is more.  */
static uint64_t
free_part_milli (const struct runner *r, const struct resources *need)
{
  uint64_t room = r->report.capacity.cpu_milli;
  uint64_t taken = r->used.cpu_milli + need->cpu_milli;
  uint64_t cpu = room > taken ? (room - taken) * 1000 / room : 0;
  uint64_t mib = r->report.capacity.memory_mib;
  uint64_t taken_mib = r->used.memory_mib + need->memory_mib;
  uint64_t memory = mib > taken_mib ? (mib - taken_mib) * 1000 / mib : 0;

  return MAX (cpu, memory);
}

/* Returns true if R has the label that T's step asks for, and fewer of the
   step's tasks, with the planned ones if PLANNED, than the step's limit.  */
static bool
meets_constraints (const struct cell *c, const struct task *t,
                   const struct runner *r, bool planned)
{
  const struct job_step *s = t->step->spec;

  return has_label (r, s)
         && (s->per_runner_limit_count == 0
             || count_same_step (c, r, t->step, planned)
                    < s->per_runner_limit_count);
}

/* Returns true if T may run on R once R has room.  */
static bool
is_allowed (const struct cell *c, const struct task *t, const struct runner *r)
{
  return place_is_usable (c, r) && meets_constraints (c, t, r, false);
}

bool
place_fits (const struct cell *c, const struct task *t, const struct runner *r)
{
  struct resources need = place_occupied_by (t->step->spec);

  return meets_constraints (c, t, r, true) && has_room (c, r, &need, true);
}

/* Returns the penalties of R for T.  */
static uint64_t
penalties (const struct cell *c, const struct task *t, const struct runner *r)
{
  const struct job_step *s = t->step->spec;
  uint64_t n = (uint64_t)count_interfering (r, s) * INTERFERENCE_PENALTY;

  if (s->data_rack[0] != '\0' && strcmp (s->data_rack, r->rack) != 0)
    n += RACK_PENALTY;
  if (s->same_rack && !is_on_step_rack (t->step, r->rack))
    n += RACK_PENALTY;
  if (c->now_us < r->cold_until_us)
    n += COLD_PENALTY;
  if (t->failed_on == r)
    n += FAILED_PENALTY;
  if (s->long_running && r->maintenance_due)
    n += MAINTENANCE_PENALTY;
  return n;
}

/* The best runner so far.  */
struct choice
{
  struct runner *runner;
  uint64_t score;
};

/* Makes R the choice of X if N, its score, is lower.  */
static void
consider (struct choice *x, struct runner *r, uint64_t n)
{
  if (x->runner != NULL
      && (n > x->score
          || (n == x->score
              && strcmp (r->report.id, x->runner->report.id) >= 0)))
    return;
  x->runner = r;
  x->score = n;
}

/* Considers R, which can start T, for the choice PLAIN by the score alone, and
   for LEARNED unless P, the images to stay away from, is NULL.  There the
   slowdown outweighs the free part, and every penalty outweighs both.  */
static void
consider_runner (const struct cell *c, const struct task *t, struct runner *r,
                 const struct resources *need,
                 const struct interference_partners *p, struct choice *plain,
                 struct choice *learned)
{
  uint64_t free_milli = free_part_milli (r, need);
  uint64_t sum = penalties (c, t, r);
  uint64_t slowdown_milli;

  consider (plain, r, sum + free_milli);
  if (p == NULL)
    return;
  slowdown_milli = MIN (image_samples_penalty (r, p), SLOWDOWN_LIMIT_MILLI);
  consider (learned, r,
            sum * PENALTY_FACTOR + slowdown_milli * SLOWDOWN_FACTOR
                + free_milli);
}

/* Returns true if R can start a task of T's step that occupies NEED, now or
   when its clock has been read.  */
static bool
can_start (const struct cell *c, const struct task *t, const struct runner *r,
           const struct resources *need, bool in_quarantine)
{
  const struct job_step *s = t->step->spec;

  /* The room that is planned for a long-running task is left to it.  */
  return has_room (c, r, need, !s->long_running)
         && takes_tasks (c, r, in_quarantine)
         && meets_constraints (c, t, r, false) && slow_runners_admit (r, s)
         && (!r->reserved || r->reserved_for == t);
}

/* Returns the best runner for T, one in quarantine only if IN_QUARANTINE, or
   NULL.  Then the clocks of some runners that could start T are read, if they
   are too old for that.  */
static struct runner *
find_runner (struct cell *c, const struct task *t, bool in_quarantine)
{
  struct resources need = place_occupied_by (t->step->spec);
  const GPtrArray *pool = runners_for_task (c, t);
  struct interference_partners partners;
  const struct interference_partners *p
      = image_samples_find_partners (c, t->step, &partners) ? &partners : NULL;
  struct choice plain = { 0 };
  struct choice learned = { 0 };
  struct runner *old[CLOCK_READ_COUNT];
  uint32_t old_count = 0;
  guint i;

  for (i = 0; pool != NULL && i < pool->len; i++)
    {
      struct runner *r = g_ptr_array_index (pool, i);

      if (!can_start (c, t, r, &need, in_quarantine))
        continue;
      if (leases_clock_is_old (c, r))
        {
          if (old_count < CLOCK_READ_COUNT)
            old[old_count++] = r;
          continue;
        }
      consider_runner (c, t, r, &need, p, &plain, &learned);
    }
  for (i = 0; plain.runner == NULL && i < old_count; i++)
    runners_read_clock (c, old[i]);
  c->place_changed = p != NULL && learned.runner != plain.runner;
  return p != NULL ? learned.runner : plain.runner;
}

/* A long-running task may start on a runner in quarantine when no other has
   room: it has no limit of attempts, and away it serves nobody.  */
struct runner *
place_find (struct cell *c, const struct task *t)
{
  struct runner *r = find_runner (c, t, false);

  return r == NULL && t->step->spec->long_running ? find_runner (c, t, true)
                                                  : r;
}

/* Returns true if T fits on R beside R's long-running tasks: it will have room
   there when the short ones have ended.  */
static bool
fits_beside_long_running (const struct task *t, const struct runner *r)
{
  struct resources sum = place_occupied_by (t->step->spec);
  guint i;

  for (i = 0; i < r->tasks->len; i++)
    {
      const struct job_step *s
          = ((struct task *)g_ptr_array_index (r->tasks, i))->step->spec;
      struct resources n = place_occupied_by (s);

      if (s->long_running)
        resources_add (&sum, &n);
    }
  return resources_fit (&sum, &r->report.capacity);
}

void
place_reserve (struct cell *c, struct task *t)
{
  const GPtrArray *pool = runners_for_task (c, t);
  struct runner *best = NULL;
  guint i;

  for (i = 0; pool != NULL && i < pool->len; i++)
    {
      struct runner *r = g_ptr_array_index (pool, i);

      if (r->reserved || !is_allowed (c, t, r)
          || !fits_beside_long_running (t, r))
        continue;
      if (r->reserved_for == t)
        {
          best = r;
          break;
        }
      if (best == NULL || r->used.cpu_milli < best->used.cpu_milli)
        best = r;
    }
  if (best == NULL)
    return;
  best->reserved = true;
  best->reserved_for = t;
  c->reserved_now = true;
}

void
place_end_round (struct cell *c)
{
  GHashTableIter it;
  gpointer value;
  bool unchanged = !c->reserved_now && !c->reserved_before;

  c->reserved_before = c->reserved_now;
  c->reserved_now = false;
  if (unchanged)
    return;
  g_hash_table_iter_init (&it, c->runners);
  while (g_hash_table_iter_next (&it, NULL, &value))
    {
      struct runner *r = value;

      if (!r->reserved)
        r->reserved_for = NULL;
      r->reserved = false;
    }
}

bool
place_could_hold (const struct cell *c, const struct task *t)
{
  const struct job_step *s = t->step->spec;
  const GPtrArray *pool = runners_for_task (c, t);
  struct resources need = place_occupied_by (s);
  bool known = false;
  guint i;

  for (i = 0; pool != NULL && i < pool->len; i++)
    {
      const struct runner *r = g_ptr_array_index (pool, i);

      if (r == t->runner)
        continue;
      known = true;
      if (has_label (r, s) && resources_fit (&need, &r->report.capacity))
        return true;
    }
  return !known;
}

bool
place_could_ever_fit (const struct cell *c, const char *pool,
                      const struct resources *need)
{
  const GPtrArray *all = runners_of_pool (c, pool);
  guint i;

  for (i = 0; all != NULL && i < all->len; i++)
    if (resources_fit (
            need,
            &((struct runner *)g_ptr_array_index (all, i))->report.capacity))
      return true;
  /* Nothing is known of the VMs of a pool without runners.  */
  return all == NULL || all->len == 0;
}

static bool
is_within (uint64_t used, uint64_t need, uint64_t limit)
{
  return limit == 0 || used + need <= limit;
}

bool
place_within_limit (const struct cell *c, const struct task *t)
{
  const char *tenant = task_job (t)->tenant;
  const struct resources *need = &t->step->spec->need;
  const struct resources *used;
  const struct resources *limit;

  if (tenant[0] == '\0')
    return true;
  limit = cell_find_limit (c, tenant);
  used = g_hash_table_lookup (c->usage, tenant);
  if (limit == NULL || used == NULL)
    return true;
  return is_within (used->cpu_milli, need->cpu_milli, limit->cpu_milli)
         && is_within (used->memory_mib, need->memory_mib, limit->memory_mib)
         && is_within (used->gpu_count, need->gpu_count, limit->gpu_count);
}

static void
make_image_key (const struct job *j, const struct job_step *s, char *key)
{
  g_snprintf (key, NAME_BYTES + LABEL_BYTES, "%s/%s", j->queue, s->image);
}

static struct image_run_time *
find_run_time (struct cell *c, const struct job *j, const struct job_step *s)
{
  char key[NAME_BYTES + LABEL_BYTES];
  struct image_run_time *x;

  make_image_key (j, s, key);
  x = g_hash_table_lookup (c->run_times, key);
  if (x == NULL)
    {
      x = g_new0 (struct image_run_time, 1);
      x->number = g_hash_table_size (c->run_times) + 1;
      g_hash_table_insert (c->run_times, g_strdup (key), x);
    }
  return x;
}

static uint64_t
expected_run_us (const struct image_run_time *x, const struct job_step *s)
{
  uint64_t estimate_us = s->estimate_ms * US_PER_MS;

  if (x->count < LEARNED_COUNT)
    return estimate_us > 0 ? estimate_us : DEFAULT_TASK_US;
  /* Estimates and the runs of an image both tell little of one step, and err
     independently of each other.  */
  return estimate_us > 0
             ? (uint64_t)sqrt ((double)x->mean_us * (double)estimate_us)
             : x->mean_us;
}

uint64_t
place_expected_task_us (struct cell *c, const struct job *j,
                        const struct job_step *s)
{
  return expected_run_us (find_run_time (c, j, s), s);
}

uint64_t
place_expected_step_us (struct cell *c, struct work_step *w)
{
  if (w->run_time == NULL)
    w->run_time = find_run_time (c, w->occurrence->job, w->spec);
  return expected_run_us (w->run_time, w->spec);
}

uint32_t
place_image_number (struct cell *c, struct work_step *w)
{
  if (w->run_time == NULL)
    w->run_time = find_run_time (c, w->occurrence->job, w->spec);
  return w->run_time->number;
}

const char *
place_image_name (const struct cell *c, uint32_t number)
{
  GHashTableIter it;
  gpointer key;
  gpointer value;

  g_hash_table_iter_init (&it, c->run_times);
  while (g_hash_table_iter_next (&it, &key, &value))
    if (((struct image_run_time *)value)->number == number)
      return key;
  return "";
}

void
place_record_run_time (struct cell *c, const struct task *t)
{
  struct image_run_time *x = find_run_time (c, task_job (t), t->step->spec);
  uint64_t run_us = c->now_us - t->start_ordered_at_us;

  if (x->count == 0)
    x->mean_us = run_us;
  x->count++;
  x->mean_us += run_us / MEAN_PART;
  x->mean_us -= x->mean_us / MEAN_PART;
}
