/* dispatch.c -- which task starts next.

   Load that it answers: each queue asks in turns for more than its pool holds.
   Serving tasks come first.  Then what is begun and can be on time, so that no
   work done is lost; then what is not begun and can be on time, the newest
   first: oldest first, all would start at the last moment and a little later
   be late.  What is late runs in the trough, oldest first.  */

#include "core/cell/fleet.h"

#include <string.h>

/** Sizes that a round remembers of a pool as finding no room.  */
#define FAILED_LIMIT_COUNT 4
/** Jobs older than this have a line when the reason that they wait changes. */
#define WAIT_TOLD_MS 1000
/** A task that waits longer has a runner kept free for it, one a pool.  */
#define LARGE_WAIT_MS 2000
/** Starts under way at most: more than an entry sends in the time that it
    takes to answer one would delay the renewal of leases.  */
#define STARTS_OUT_LIMIT_COUNT 300
/** A job that is not begun needs this much more than its mean run time: tasks
    of one step differ, and the slowest counts.  */
#define MARGIN_PERCENT 15
/** A job earns something until this many times its objective (the rules).  */
#define LATE_FACTOR 3

/* A job's place in the order of one round.  */
struct turn
{
  struct job *job;
  bool lasting;
  uint32_t priority;
};

/* What a round found of a pool.  */
struct pool_round
{
  enum wait_reason wait; /**< Of the job at hand.  */
  bool unseen;           /**< The job at hand may run where we cannot see. */
  bool holds;            /**< A runner is kept for a task that waits.  */
  uint32_t failed_count;
  struct resources failed[FAILED_LIMIT_COUNT]; /**< Found no room.  */
};

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

/* Longest run time of the steps that are left of the first open occurrence. */
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

static int
by_turn (gconstpointer a, gconstpointer b)
{
  const struct turn *x = a;
  const struct turn *y = b;

  if (x->lasting != y->lasting)
    return x->lasting ? -1 : 1;
  if (x->priority != y->priority)
    return x->priority < y->priority ? -1 : 1;
  if (x->job->urgency != y->job->urgency)
    return x->job->urgency < y->job->urgency ? -1 : 1;
  if (x->job->sent_at_us != y->job->sent_at_us)
    return (x->job->sent_at_us < y->job->sent_at_us)
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
  uint64_t span_us = j->objective_deadline_us - j->sent_at_us;

  if (j->started)
    {
      if (end_us <= j->objective_deadline_us)
        return URGENCY_STARTED;
    }
  else if (end_us + left_us * MARGIN_PERCENT / 100 <= j->objective_deadline_us)
    return j->over_rate ? URGENCY_OVER_RATE : URGENCY_NEW;
  return end_us <= j->sent_at_us + LATE_FACTOR * span_us ? URGENCY_LATE
                                                         : URGENCY_BEST_EFFORT;
}

static GArray *
collect (struct cell *c)
{
  GArray *turns = g_array_new (FALSE, FALSE, sizeof (struct turn));
  guint i;

  for (i = 0; i < c->active->len; i++)
    {
      struct job *j = g_ptr_array_index (c->active, i);
      const struct site_queue *q = cell_find_queue (c, j->queue);
      struct turn t = { .job = j };

      if (q == NULL || !has_waiting (j))
        continue;
      t.lasting = j->spec->steps[0].long_running;
      t.priority = q->priority;
      j->urgency = urgency_of (c, j);
      g_array_append_val (turns, t);
    }
  g_array_sort (turns, by_turn);
  return turns;
}

/* A former owner may have started work of J on a runner of its pool that we
   have not reached.  */
static bool
may_run_unseen (const struct cell *c, const struct job *j, const char *pool)
{
  return j->inherited && c->now_us < c->ownership.unconfirmed_until_us
         && fleet_has_unreached (c, pool);
}

/* A long-running task that keeps ending is started again a little later each
   time, up to a second.  */
static bool
backs_off (const struct cell *c, const struct task *t)
{
  uint64_t wait_us = MIN ((uint64_t)t->failed_count * 50, 1000) * US_PER_MS;

  return t->step->spec->long_running && c->now_us < t->ready_at_us + wait_us;
}

/* Returns true if a task no larger than one of S found no room.  */
static bool
is_hopeless (const struct pool_round *p, const struct job_step *s)
{
  uint32_t i;

  for (i = 0; !s->filler && i < p->failed_count; i++)
    if (resources_fit (&p->failed[i], &s->need))
      return true;
  return false;
}

/* A step with wishes of its own says nothing of the others.  */
static void
note_failed (struct pool_round *p, const struct job_step *s)
{
  if (s->filler || s->per_runner_limit_count > 0 || s->label[0] != '\0'
      || p->failed_count == FAILED_LIMIT_COUNT)
    return;
  p->failed[p->failed_count++] = s->need;
}

/* Small tasks would take each piece of room that comes free, and a large one
   would wait for ever.  */
static void
hold_room (struct cell *c, struct task *t, struct pool_round *p)
{
  const struct job_step *s = t->step->spec;

  if (s->long_running && !s->filler)
    place_reserve (c, t);
  else if (!s->filler && !p->holds
           && c->now_us > t->ready_at_us + LARGE_WAIT_MS * US_PER_MS)
    {
      p->holds = true;
      place_reserve (c, t);
    }
}

static bool
start_one (struct cell *c, struct task *t, struct pool_round *p)
{
  struct runner *r;

  if (!place_within_limit (c, t))
    {
      p->wait = WAIT_TENANT_LIMIT;
      return false;
    }
  r = is_hopeless (p, t->step->spec) ? NULL : place_find (c, t);
  if (r == NULL)
    {
      p->wait = WAIT_ROOM;
      note_failed (p, t->step->spec);
      hold_room (c, t, p);
      return false;
    }
  task_start (c, t, r);
  return true;
}

/* Starts all members of a gang under one run number, or none.  */
static void
start_gang (struct cell *c, struct work_step *s, const struct pool_round *p)
{
  uint32_t run = 0;
  uint32_t i;

  if (s->waiting_count < s->spec->task_count
      || (p->unseen && !s->tasks[0].reconciled))
    return;
  for (i = 0; i < s->spec->task_count; i++)
    {
      struct runner *r = place_within_limit (c, &s->tasks[i])
                             ? place_find (c, &s->tasks[i])
                             : NULL;

      if (r == NULL)
        break;
      task_assign (c, &s->tasks[i], r);
      run = MAX (run, s->tasks[i].run);
    }
  if (i < s->spec->task_count)
    {
      while (i-- > 0)
        task_release (c, &s->tasks[i]);
      return;
    }
  for (i = 0; i < s->spec->task_count; i++)
    {
      struct runner *r = s->tasks[i].runner;

      task_release (c, &s->tasks[i]);
      s->tasks[i].run = run;
      /* All carry the same checkpoint.  */
      text_copy (s->tasks[i].checkpoint, CHECKPOINT_BYTES,
                 s->tasks[0].checkpoint);
      task_start (c, &s->tasks[i], r);
    }
}

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
      if (p->unseen && !t->reconciled)
        {
          p->wait = WAIT_UNREACHED;
          continue;
        }
      if (backs_off (c, t))
        {
          p->wait = WAIT_BACKOFF;
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

static void
note_wait (struct cell *c, struct job *j, const struct pool_round *p)
{
  static const char *const names[]
      = { "", "room", "limit", "unseen", "backoff" };

  if (p->wait == j->wait_reason
      || c->now_us < j->accepted_at_us + WAIT_TOLD_MS * US_PER_MS)
    return;
  j->wait_reason = p->wait;
  if (p->wait != WAIT_NONE)
    cell_log (
        c, "job_waits", j->id,
        "\"why\":\"%s\",\"queue\":\"%s\",\"tenant\":\"%s\","
        "\"age_ms\":%llu,\"left_ms\":%lld",
        names[p->wait], j->queue, j->tenant,
        (unsigned long long)((c->now_us - j->accepted_at_us) / US_PER_MS),
        ((long long)j->objective_deadline_us - (long long)c->now_us) / 1000);
}

void
dispatch_run (struct cell *c)
{
  GArray *turns = collect (c);
  GHashTable *pools
      = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, g_free);
  guint i;

  for (i = 0;
       i < turns->len && c->unanswered_start_count < STARTS_OUT_LIMIT_COUNT;
       i++)
    {
      struct job *j = g_array_index (turns, struct turn, i).job;
      const struct site_queue *q = cell_find_queue (c, j->queue);
      struct pool_round *p = g_hash_table_lookup (pools, q->pool);

      if (p == NULL)
        {
          p = g_new0 (struct pool_round, 1);
          g_hash_table_insert (pools, (gpointer)q->pool, p);
        }
      p->wait = WAIT_NONE;
      p->unseen = may_run_unseen (c, j, q->pool);
      start_job (c, j, p);
      note_wait (c, j, p);
    }
  place_end_round (c);
  g_hash_table_destroy (pools);
  g_array_free (turns, TRUE);
}
