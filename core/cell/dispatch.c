/* dispatch.c -- chooses which tasks start next.

   In a surge, the jobs of a queue need more than its pool has.  They start
   in this order:

   1. long-running ones;
   2. by the queue's priority;
   3. started jobs that can meet their objective, oldest first, so that no
      work is lost;
   4. new jobs that can meet it, newest first.  Oldest first, every job would
      start at the last moment, and a small delay would make all late;
   5. new jobs that can meet it but are over their tenant's rate, newest first;
   6. late jobs that still have value, oldest first;
   7. the other late jobs, oldest first.  Like the jobs of 6 they mostly start
      when the surge is over.

   In a saturated pool the jobs of 4, and those of 5, are ordered by the shares
   of their tenants first (core/load/shares.c), if the setting share_by_weight
   is on and any tenant has a weight.  */

#include "core/cell/fleet.h"
#include "core/load/shares.h"

#include <string.h>

/** Number of sizes of tasks that found no room in a pool, remembered for a
    round.  */
#define NO_ROOM_LIMIT_COUNT 4
/** The reason why a job waits is logged, whenever it changes, from this time
    after the job's acceptance on.  */
#define WAIT_LOG_MS 1000
/** A runner is reserved for a task that has waited this long; for one such
    task in each pool at a time.  */
#define RESERVE_WAIT_MS 2000
/** No further job's tasks start while this many starts have no answer: more
    would queue at this entry and delay the renewal of leases.  */
#define UNANSWERED_START_LIMIT_COUNT 300
/** Margin added to the expected run time of a job that has not started: the
    tasks of a step differ, and the slowest one counts.  */
#define MARGIN_PERCENT 15
/** Interval at which it is logged which runners inherited tasks wait for.  */
#define UNREACHED_LOG_MS 1000

/* A job with waiting tasks, in the order of a round.  */
struct candidate
{
  struct job *job;
  bool long_running;          /**< Its first step is.  */
  uint32_t priority;          /**< Of its queue; 0 is highest.  */
  struct pool_shares *shares; /**< Of its pool; NULL: no order by shares.  */
  uint64_t work_us;           /**< Its core time; set with shares.  */
  uint64_t tag;               /**< Of shares_tag.  */
};

/* State of a pool during a round.  */
struct pool_round
{
  enum wait_reason wait; /**< Why the current job waits.  */
  /** A pool in which the current job may run on a runner that has not answered
      us; NULL: none.  */
  struct pool_round *unreached;
  bool has_unreached_known; /**< has_unreached is set.  */
  bool has_unreached;       /**< A runner of the pool has not answered us; told
                               from all runners and VMs, so found out once a
                               round.  */
  uint32_t unreached_count; /**< Tasks that wait for that reason.  */
  bool reserved;            /**< This round has tried to reserve a runner for a
                               task that waited for RESERVE_WAIT_MS.  */
  bool saturated;           /**< A short task found no room.  */
  uint32_t no_room_count;   /**< Entries of no_room.  */
  struct resources no_room[NO_ROOM_LIMIT_COUNT]; /**< Needs of tasks that found
                                                  no room.  */
};

/* Returns true if a task of J waits and could start.  */
static bool
has_waiting (const struct job *j)
{
  uint32_t o;
  uint32_t s;

  for (o = 0; o < j->occurrence_count; o++)
    for (s = 0; s < j->spec->step_count; s++)
      if (j->occurrences[o]->steps[s].ready
          && j->occurrences[o]->steps[s].waiting_count > 0)
        return true;
  return false;
}

/* Returns the sum of the expected run times of the steps of J's first
   occurrence that are not done.  */
static uint64_t
remaining_us (struct cell *c, const struct job *j)
{
  uint64_t sum_us = 0;
  uint32_t s;

  if (j->occurrence_count == 0)
    return 0;
  for (s = 0; s < j->spec->step_count; s++)
    {
      struct work_step *w = &j->occurrences[0]->steps[s];

      if (w->done_count < w->spec->task_count)
        sum_us += place_expected_step_us (c, w);
    }
  return sum_us;
}

/* Orders candidates as described at the head of this file.  */
static int
compare_candidates (gconstpointer a, gconstpointer b)
{
  const struct candidate *x = a;
  const struct candidate *y = b;

  if (x->long_running != y->long_running)
    return x->long_running ? -1 : 1;
  if (x->priority != y->priority)
    return x->priority < y->priority ? -1 : 1;
  if (x->job->urgency != y->job->urgency)
    return x->job->urgency < y->job->urgency ? -1 : 1;
  if (x->tag != y->tag)
    return x->tag < y->tag ? -1 : 1;
  if (x->job->arrived_at_us != y->job->arrived_at_us)
    return (x->job->arrived_at_us < y->job->arrived_at_us)
                   == (x->job->urgency > URGENCY_OVER_RATE
                       || x->job->urgency == URGENCY_STARTED)
               ? -1
               : 1;
  return x->job->id < y->job->id ? -1 : x->job->id > y->job->id;
}

static enum urgency
urgency_of (struct cell *c, const struct job *j)
{
  uint64_t left_us = remaining_us (c, j);
  uint64_t end_us = c->now_us + left_us;
  uint64_t span_us = j->objective_deadline_us - j->arrived_at_us;

  if (j->started)
    {
      if (end_us <= j->objective_deadline_us)
        return URGENCY_STARTED;
    }
  else if (end_us + left_us * MARGIN_PERCENT / 100 <= j->objective_deadline_us)
    return j->over_rate ? URGENCY_OVER_RATE : URGENCY_NEW;
  return end_us <= j->arrived_at_us + LATE_FACTOR * span_us
             ? URGENCY_LATE
             : URGENCY_BEST_EFFORT;
}

/* Logs WHY J waits if that has changed.  */
static void
note_wait (struct cell *c, struct job *j, enum wait_reason why)
{
  static const char *const names[]
      = { "",        "room",          "limit",  "unreached",
          "backoff", "queue_unknown", "record", "confirmation" };

  if (why == j->wait_reason
      || c->now_us < j->accepted_at_us + WAIT_LOG_MS * US_PER_MS)
    return;
  j->wait_reason = why;
  if (why != WAIT_NONE)
    cell_log (
        c, "job_waits", j->id,
        "\"why\":\"%s\",\"queue\":\"%s\",\"tenant\":\"%s\","
        "\"age_ms\":%llu,\"left_ms\":%lld",
        names[why], j->queue, j->tenant,
        (unsigned long long)((c->now_us - j->accepted_at_us) / US_PER_MS),
        ((long long)j->objective_deadline_us - (long long)c->now_us) / 1000);
}

static uint32_t
weight_of (const struct cell *c, const char *tenant)
{
  return GPOINTER_TO_UINT (g_hash_table_lookup (c->weights, tenant));
}

/* Orders CANDIDATES, which are in order but for the shares, by these, too.  */
static void
order_by_shares (struct cell *c, GArray *candidates)
{
  GHashTableIter it;
  gpointer shares;
  bool tagged = false;
  guint i;

  if (g_hash_table_size (c->shares) == 0)
    return;
  g_hash_table_iter_init (&it, c->shares);
  while (g_hash_table_iter_next (&it, NULL, &shares))
    shares_begin_round (shares);
  for (i = 0; i < candidates->len; i++)
    {
      struct candidate *x = &g_array_index (candidates, struct candidate, i);
      const struct job *j = x->job;

      if (x->long_running
          || (j->urgency != URGENCY_NEW && j->urgency != URGENCY_OVER_RATE))
        continue;
      x->shares = g_hash_table_lookup (c->shares,
                                       cell_find_queue (c, j->queue)->pool);
      if (x->shares == NULL)
        continue;
      x->work_us = admission_work_of (c, j) / 1000;
      x->tag = shares_tag (x->shares, j->tenant, weight_of (c, j->tenant),
                           x->work_us);
      tagged = tagged || x->tag > 0;
    }
  if (tagged)
    g_array_sort (candidates, compare_candidates);
}

/* Returns the jobs with waiting tasks in the order of the round, as an array
   of struct candidate that the caller frees.  */
static GArray *
collect_candidates (struct cell *c)
{
  GArray *candidates = g_array_new (FALSE, FALSE, sizeof (struct candidate));
  guint i;

  for (i = 0; i < c->active->len; i++)
    {
      struct job *j = g_ptr_array_index (c->active, i);
      const struct site_queue *q = cell_find_queue (c, j->queue);
      struct candidate x = { .job = j };

      if (!has_waiting (j))
        continue;
      if (q == NULL)
        {
          note_wait (c, j, WAIT_QUEUE_UNKNOWN);
          continue;
        }
      x.long_running = j->spec->steps[0].long_running;
      x.priority = q->priority;
      j->urgency = urgency_of (c, j);
      g_array_append_val (candidates, x);
    }
  g_array_sort (candidates, compare_candidates);
  order_by_shares (c, candidates);
  return candidates;
}

/* Returns the state of POOL in the round; EVERY_POOL has one, too.  */
static struct pool_round *
find_pool_round (GHashTable *pools, const char *pool)
{
  struct pool_round *p = g_hash_table_lookup (pools, pool);

  if (p == NULL)
    {
      p = g_new0 (struct pool_round, 1);
      g_hash_table_insert (pools, g_strdup (pool), p);
    }
  return p;
}

/* Returns the state of POOL if a runner of it has not answered us on which a
   former owner may have started tasks; else NULL.  Once its leases have
   expired nothing runs there, but a run may have ended as done there.  */
static struct pool_round *
find_unreached_in (const struct cell *c, GHashTable *pools, const char *pool)
{
  struct pool_round *p = find_pool_round (pools, pool);

  if (!p->has_unreached_known)
    p->has_unreached = confirmation_wait_is_over (c)
                           ? fleet_has_unasked (c, pool)
                           : fleet_has_unreached (c, pool);
  p->has_unreached_known = true;
  return p->has_unreached ? p : NULL;
}

/* Returns the state of a pool in which a former owner may have started tasks
   of J on a runner that has not answered us; NULL: there is none.  These pools
   are not those of J's queue, which may have another by now.  */
static struct pool_round *
find_unreached (const struct cell *c, GHashTable *pools, const struct job *j)
{
  struct pool_round *p = NULL;
  uint32_t i;

  if (!j->inherited)
    return NULL;
  if (!j->pools_known)
    return find_unreached_in (c, pools, EVERY_POOL);
  for (i = 0; p == NULL && i < j->pool_count; i++)
    p = find_unreached_in (c, pools, j->pools[i]);
  return p;
}

/* The same, and notes since when there is none, as far as that only holds for
   the owner.  */
static struct pool_round *
note_unreached (const struct cell *c, GHashTable *pools, struct job *j)
{
  struct pool_round *p = find_unreached (c, pools, j);

  if (p == NULL && !j->reached)
    j->reached_at_us = c->ownership.unreached_over_at_us;
  j->reached = p == NULL;
  return p;
}

/* Returns true if T may start as far as its former runs go: they were over
   while this entry was the owner.  Otherwise requests a confirmation.  */
static bool
is_confirmed (struct cell *c, struct task *t)
{
  const struct job *j = task_job (t);
  uint64_t at_us = t->over_at_us;

  if (j->inherited && !t->reconciled)
    at_us = MAX (at_us, j->reached_at_us);
  return confirmation_covers_task (c, t, at_us);
}

/* Returns true if T is long-running, has failed and has to wait for its
   restart: 50 ms for each failure, 1 s at most.  */
static bool
backs_off (const struct cell *c, const struct task *t)
{
  uint64_t wait_us = MIN ((uint64_t)t->failed_count * 50, 1000) * US_PER_MS;

  return t->step->spec->long_running && c->now_us < t->ready_at_us + wait_us;
}

/* Returns true if a task found no room in this round that needs as much as a
   task of S, or less.  */
static bool
has_no_room (const struct pool_round *p, const struct job_step *s)
{
  uint32_t i;

  for (i = 0; !s->filler && i < p->no_room_count; i++)
    if (resources_fit (&p->no_room[i], &s->need))
      return true;
  return false;
}

/* Remembers that a task of S found no room.  Steps with constraints are left
   out, since other tasks of the same size may find room.  */
static void
note_no_room (struct pool_round *p, const struct job_step *s)
{
  if (s->filler || s->per_runner_limit_count > 0 || s->label[0] != '\0'
      || p->no_room_count == NO_ROOM_LIMIT_COUNT)
    return;
  p->no_room[p->no_room_count++] = s->need;
}

/* Reserves a runner for T if it is long-running or has waited long: otherwise
   small tasks would take any room that comes free, and a large one would
   starve.  */
static void
reserve_runner (struct cell *c, struct task *t, struct pool_round *p)
{
  const struct job_step *s = t->step->spec;

  if (s->long_running && !s->filler)
    place_reserve (c, t);
  else if (!s->filler && !p->reserved
           && c->now_us > t->ready_at_us + RESERVE_WAIT_MS * US_PER_MS)
    {
      p->reserved = true;
      place_reserve (c, t);
    }
}

/* Starts T, or sets the reason in P why it waits and returns false.  */
static bool
start_one (struct cell *c, struct task *t, struct pool_round *p)
{
  struct runner *r;

  if (!place_within_limit (c, t))
    {
      p->wait = WAIT_TENANT_LIMIT;
      return false;
    }
  r = has_no_room (p, t->step->spec) ? NULL : place_find (c, t);
  if (r == NULL)
    {
      p->wait = WAIT_ROOM;
      p->saturated
          = p->saturated
            || (!t->step->spec->long_running && !t->step->spec->filler);
      note_no_room (p, t->step->spec);
      reserve_runner (c, t, p);
      return false;
    }
  c->metrics.counters[CELL_COUNT_INTERFERENCE_PLACEMENTS] += c->place_changed;
  task_start (c, t, r);
  return true;
}

/* Starts all tasks of a gang under one run number, or none.  */
static void
start_gang (struct cell *c, struct work_step *s, struct pool_round *p)
{
  bool covered = true;
  uint32_t run = 0;
  uint32_t changed_count = 0;
  uint32_t i;

  if (s->waiting_count < s->spec->task_count
      || (p->unreached != NULL && !s->tasks[0].reconciled))
    return;
  for (i = 0; i < s->spec->task_count; i++)
    covered = is_confirmed (c, &s->tasks[i]) && covered;
  if (!covered)
    {
      p->wait = WAIT_CONFIRMATION;
      return;
    }
  for (i = 0; i < s->spec->task_count; i++)
    {
      struct runner *r = place_within_limit (c, &s->tasks[i])
                             ? place_find (c, &s->tasks[i])
                             : NULL;

      if (r == NULL)
        break;
      changed_count += c->place_changed;
      task_assign (c, &s->tasks[i], r);
      run = MAX (run, MAX (s->tasks[i].run, s->tasks[i].ended_run));
    }
  if (i < s->spec->task_count)
    {
      while (i-- > 0)
        task_release (c, &s->tasks[i], RUN_NEVER);
      return;
    }
  c->metrics.counters[CELL_COUNT_INTERFERENCE_PLACEMENTS] += changed_count;
  for (i = 0; i < s->spec->task_count; i++)
    {
      struct runner *r = s->tasks[i].runner;

      task_release (c, &s->tasks[i], RUN_NEVER);
      s->tasks[i].run = run;
      /* A gang restarts from one checkpoint.  */
      text_copy (s->tasks[i].checkpoint, CHECKPOINT_BYTES,
                 s->tasks[0].checkpoint);
      task_start (c, &s->tasks[i], r);
    }
}

/* Starts the waiting tasks of S, up to the first that finds no room or would
   exceed its tenant's limit.  */
static void
start_step (struct cell *c, struct work_step *s, struct pool_round *p)
{
  uint32_t i;

  if (s->spec->gang)
    {
      start_gang (c, s, p);
      return;
    }
  for (i = 0; i < s->spec->task_count && s->waiting_count > 0; i++)
    {
      struct task *t = &s->tasks[i];

      if (t->phase != TASK_WAITING || t->stop_wanted)
        continue;
      if (p->unreached != NULL && !t->reconciled)
        {
          p->wait = WAIT_UNREACHED;
          p->unreached->unreached_count++;
          continue;
        }
      if (backs_off (c, t))
        {
          p->wait = WAIT_BACKOFF;
          continue;
        }
      if (!is_confirmed (c, t))
        {
          p->wait = WAIT_CONFIRMATION;
          continue;
        }
      if (!start_one (c, t, p))
        return;
    }
}

static void
start_job (struct cell *c, struct job *j, struct pool_round *p)
{
  uint32_t o;
  uint32_t s;

  for (o = 0; o < j->occurrence_count; o++)
    for (s = 0; s < j->spec->step_count; s++)
      {
        struct work_step *w = &j->occurrences[o]->steps[s];

        if (w->ready && w->waiting_count > 0)
          start_step (c, w, p);
      }
}

/* Logs for each pool, in POOLS, how many inherited tasks wait for runners that
   have not answered us, and for which.  */
static void
log_unreached (struct cell *c, GHashTable *pools)
{
  GHashTableIter it;
  gpointer name;
  gpointer value;
  bool logged = false;

  if (c->now_us < MAX (c->unreached_logged_at_us, c->ownership.claimed_at_us)
                      + UNREACHED_LOG_MS * US_PER_MS)
    return;
  g_hash_table_iter_init (&it, pools);
  while (g_hash_table_iter_next (&it, &name, &value))
    {
      const struct pool_round *p = value;
      uint64_t until_us = c->ownership.unconfirmed_until_us;
      const char *first = "";
      uint32_t n;

      if (p->unreached_count == 0)
        continue;
      logged = true;
      n = fleet_count_unreached (c, name, UINT32_MAX, &first);
      cell_log (c, "tasks_unconfirmed", 0,
                "\"pool\":\"%s\",\"tasks\":%u,\"unreached\":%u,"
                "\"runner\":\"%s\",\"age_ms\":%llu,\"left_ms\":%llu,"
                "\"lists_read\":%s",
                (const char *)name, p->unreached_count, n, first,
                (unsigned long long)((c->now_us - c->ownership.claimed_at_us)
                                     / US_PER_MS),
                (unsigned long long)(until_us > c->now_us
                                         ? (until_us - c->now_us) / US_PER_MS
                                         : 0),
                c->runners_known && c->fleet->listed ? "true" : "false");
    }
  if (logged)
    c->unreached_logged_at_us = c->now_us;
}

/* Starts the tasks of X's job that can start.  */
static void
start_candidate (struct cell *c, const struct candidate *x,
                 struct pool_round *p)
{
  struct job *j = x->job;
  bool was_started = j->started;

  start_job (c, j, p);
  if (x->shares != NULL && !was_started && j->started)
    shares_charge (x->shares, j->tenant, weight_of (c, j->tenant), x->work_us);
}

static bool
has_shares (const struct cell *c)
{
  return c->settings.share_by_weight && g_hash_table_size (c->weights) > 0;
}

/* Adds shares for those of POOLS, the pools of the round, that have become
   saturated.  */
static void
add_shares (struct cell *c, GHashTable *pools)
{
  GHashTableIter it;
  gpointer name;
  gpointer value;

  g_hash_table_iter_init (&it, pools);
  while (g_hash_table_iter_next (&it, &name, &value))
    if (((const struct pool_round *)value)->saturated && has_shares (c)
        && !g_hash_table_contains (c->shares, name))
      {
        g_hash_table_insert (c->shares, g_strdup (name), shares_new ());
        cell_log (c, "pool_saturated", 0, "\"pool\":\"%s\"",
                  (const char *)name);
      }
}

/* Notes which of POOLS, those of the round, are saturated.  */
static void
end_round_of_shares (struct cell *c, GHashTable *pools)
{
  GHashTableIter it;
  gpointer name;
  gpointer value;

  add_shares (c, pools);
  g_hash_table_iter_init (&it, c->shares);
  while (g_hash_table_iter_next (&it, &name, &value))
    {
      const struct pool_round *p = g_hash_table_lookup (pools, name);

      if (shares_end_round (value, p != NULL && p->saturated && has_shares (c),
                            c->now_us))
        continue;
      cell_log (c, "pool_relieved", 0, "\"pool\":\"%s\"", (const char *)name);
      g_hash_table_iter_remove (&it);
    }
}

void
dispatch_run (struct cell *c)
{
  GArray *candidates = collect_candidates (c);
  GHashTable *pools
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  guint i;

  for (i = 0; i < candidates->len
              && c->unanswered_start_count < UNANSWERED_START_LIMIT_COUNT;
       i++)
    {
      const struct candidate *x
          = &g_array_index (candidates, struct candidate, i);
      struct job *j = x->job;
      const struct site_queue *q = cell_find_queue (c, j->queue);
      struct pool_round *p = find_pool_round (pools, q->pool);

      p->wait = WAIT_RECORD;
      p->unreached = note_unreached (c, pools, j);
      if (job_pools_allow_start (c, j, q->pool))
        {
          p->wait = WAIT_NONE;
          start_candidate (c, x, p);
        }
      note_wait (c, j, p->wait);
    }
  place_end_round (c);
  end_round_of_shares (c, pools);
  log_unreached (c, pools);
  confirmation_end_round (c);
  g_hash_table_destroy (pools);
  g_array_free (candidates, TRUE);
}
