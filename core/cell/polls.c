/* polls.c -- what the answer to a poll tells: which runs a runner has and
   which have ended.

   A run is adopted, confirmed, stopped as an orphan or found to be gone by the
   answer.  Orders can overtake each other, so an answer tells of a start only
   if the poll was sent when the start was over, or overdue.  */

#include "core/cell/fleet.h"

#include <stdlib.h>
#include <string.h>

/** Delay of the poll that follows an unanswered one: this times the number of
    unanswered polls in a row, 6 at most.  */
#define MISS_GAP_MS 150
/** The answer to a poll lists at most this many ends.  If it lists as many,
    the next answer may list more.  */
#define ENDED_PAGE_COUNT 500
/** The first answer of a runner is logged if it comes this long or longer
   after the claim: tasks may have waited for it.  */
#define REACHED_LOG_MS 1000

/* Gives T the run ROW that R reports and that a former owner started.  */
static void
adopt (struct cell *c, struct runner *r, struct task *t,
       const struct running_task *row)
{
  t->run = row->run;
  t->phase = TASK_RUNNING;
  task_assign (c, t, r);
  t->reconciled = true;
  t->start_ordered_at_us = t->ordered_at_us = t->start_known_at_us
      = t->adopted_at_us = c->now_us;
  jobs_note_started (c, task_job (t));
}

/* Stops the run ROW on R.  It is an orphan: the current run of no task.  */
static void
stop_orphan (struct cell *c, struct runner *r, const struct running_task *row)
{
  struct runner_order *o;

  /* All orphan runs of one poll are stopped; those of later polls only when
     the stops have had time to take effect.  */
  if (c->now_us != r->orphans_stopped_at_us
      && c->now_us < r->orphans_stopped_at_us + STOP_RETRY_MS * US_PER_MS)
    return;
  r->orphans_stopped_at_us = c->now_us;
  o = runners_send_order (c, r, ORDER_STOP, NULL);
  o->task = row->task;
  o->run = row->run;
  cell_log (c, "orphan_run_stopped", row->task.job,
            "\"task\":\"%u.%u.%u\",\"run\":%u,\"runner\":\"%s\"",
            row->task.occurrence, row->task.step, row->task.index, row->run,
            r->report.id);
}

static void
apply_running (struct cell *c, struct runner *r,
               const struct running_task *row)
{
  struct task *t = jobs_find_task (c, &row->task);

  /* A run before one that has failed is an orphan.  */
  if (t != NULL && t->phase == TASK_WAITING && !t->stop_wanted
      && !task_job (t)->final && row->run >= t->recorded_run)
    adopt (c, r, t, row);
  if (t == NULL || t->runner != r || t->run != row->run)
    {
      stop_orphan (c, r, row);
      return;
    }
  if (t->phase == TASK_UNCONFIRMED || t->phase == TASK_STARTING)
    {
      t->phase = TASK_RUNNING;
      t->start_known_at_us = c->now_us;
    }
  t->start_confirmed = true;
  progress_note (c, t, row->work_percent);
  t->metric = row->metric;
  if (row->work_percent > 0)
    t->working_at_us = c->now_us;
  if (row->checkpoint[0] != '\0')
    text_copy (t->checkpoint, CHECKPOINT_BYTES, row->checkpoint);
  if (t->stop_wanted && t->phase == TASK_RUNNING)
    task_stop (c, t);
}

static bool
is_reported (const struct runner_result *x, const struct task *t)
{
  struct task_id id;
  uint32_t i;

  task_id_get (t, &id);
  for (i = 0; i < x->running_count; i++)
    if (x->running[i].run == t->run && x->running[i].task.job == id.job
        && x->running[i].task.index == id.index
        && x->running[i].task.step == id.step
        && x->running[i].task.occurrence == id.occurrence)
      return true;
  return false;
}

/* Handles the tasks of R that X, the answer to a poll sent at SENT_US, does
   not list as running: their runs have ended, unless the start may still
   arrive.  When X is full it may lack ends, and no run is found to have ended.
   A start that may still arrive is stopped all the same: R is told to forget
   ends only when none is open.  */
static void
check_unreported (struct cell *c, struct runner *r,
                  const struct runner_result *x, uint64_t sent_us)
{
  guint i = 0;

  while (i < r->tasks->len)
    {
      struct task *t = g_ptr_array_index (r->tasks, i);

      /* Orders can overtake each other: only a poll that was sent after the
         start was answered must list the run.  */
      if ((t->phase == TASK_STARTING
           && !hedges_start_is_overdue (c, t, sent_us))
          || (t->phase != TASK_STARTING && t->start_known_at_us >= sent_us)
          || is_reported (x, t))
        {
          i++;
          continue;
        }
      if (t->phase == TASK_UNCONFIRMED || t->phase == TASK_STARTING)
        {
          /* The start may still arrive; after an acknowledged stop it has no
             effect.  */
          task_stop (c, t);
          i++;
          continue;
        }
      if (r->ends_incomplete
          || (t->phase == TASK_STOPPING
              && (t->stop_acked_at_us == 0 || t->stop_acked_at_us >= sent_us)))
        {
          i++;
          continue;
        }
      task_release (c, t, RUN_NOT_REPORTED);
    }
}

/* Handles that R's answer to a poll lists what cannot be read: a run that it
   seems not to list may be running there.  Logged once a boot.  */
static void
note_incomplete_poll (struct cell *c, struct runner *r)
{
  if (!r->poll_incomplete)
    cell_log (c, "poll_malformed", 0, "\"runner\":\"%s\",\"runs\":%u",
              r->report.id, r->tasks->len);
  r->poll_incomplete = true;
}

static int
compare_end_numbers (const void *a, const void *b)
{
  const struct ended_run *x = a;
  const struct ended_run *y = b;

  return x->number < y->number ? -1 : x->number > y->number;
}

static void
on_poll_answer (struct cell *c, struct runner *r, struct runner_result *x,
                uint64_t sent_us, bool is_hedge)
{
  bool has_new_end = false;
  uint32_t i;

  r->ends_incomplete = x->ended_count >= ENDED_PAGE_COUNT;
  if (!x->running_incomplete && !r->ends_incomplete)
    {
      if (!r->reached
          && c->now_us
                 > c->ownership.claimed_at_us + REACHED_LOG_MS * US_PER_MS)
        cell_log (c, "runner_reached", 0, "\"runner\":\"%s\",\"age_ms\":%llu",
                  r->report.id,
                  (unsigned long long)((c->now_us - c->ownership.claimed_at_us)
                                       / US_PER_MS));
      r->reached = true;
    }
  else if (!r->reached && x->running_incomplete)
    runners_schedule_poll (c, r, MISS_GAP_MS);
  if (x->ended_count > 1)
    qsort (x->ended, x->ended_count, sizeof *x->ended, compare_end_numbers);
  /* The poll that acknowledged them was lost, or overtaken.  */
  if (x->ended_count > 0 && x->ended[0].number <= r->acked_end_number)
    r->acked_end_number = 0;
  for (i = 0; i < x->ended_count; i++)
    if (x->ended[i].number > r->seen_end_number)
      {
        r->seen_end_number = x->ended[i].number;
        has_new_end = c->ends_unstored = true;
        task_on_end (c, r, &x->ended[i]);
      }
  for (i = 0; i < x->running_count; i++)
    apply_running (c, r, &x->running[i]);
  if (x->running_incomplete)
    note_incomplete_poll (c, r);
  else
    check_unreported (c, r, x, sent_us);
  serving_pace_fillers (c, r);
  slow_runners_judge (c, r);
  image_samples_on_answer (c, r);
  /* The poll in flight should have listed the new end before: its answer is
     lost, and another poll is sent.  */
  if (is_hedge && has_new_end)
    r->poll_id = 0;
  if (r->ends_incomplete)
    runners_schedule_poll (c, r, 0);
  else if (r->tasks->len > 0)
    runners_schedule_poll (c, r, has_new_end ? POLL_GAP_MS : 0);
  c->dispatch_due = true;
}

void
polls_on_result (struct cell *c, struct runner *r, struct runner_result *x,
                 const struct pending_order *o)
{
  uint64_t sent_us = o->sent_at_us;
  bool is_hedge = o->is_hedge;

  if (r->poll_id == x->order_id)
    r->poll_id = 0;
  if (x->outcome == ORDER_DONE)
    {
      if (r->miss_count > 0)
        cell_log (c, "runner_back", 0, "\"runner\":\"%s\",\"misses\":%u",
                  r->report.id, r->miss_count);
      r->miss_count = 0;
      r->answer_held = o->wait_ms > 0;
      if (sent_us >= r->boot_doubted_at_us)
        r->boot_doubted_at_us = 0;
      r->answered_at_us = r->heard_at_us = c->now_us;
      r->poll_gap_ms = r->clock_ms - MIN (r->poll_clock_ms, r->clock_ms);
      r->poll_clock_ms = r->clock_ms;
      r->answered_poll_sent_at_us = MAX (r->answered_poll_sent_at_us, sent_us);
      on_poll_answer (c, r, x, sent_us, is_hedge);
      return;
    }
  if (is_hedge)
    return;
  if (x->outcome == ORDER_OTHER_BOOT || sent_us < r->answered_poll_sent_at_us)
    {
      runners_schedule_poll (c, r, 0);
      return;
    }
  r->miss_count++;
  if (r->miss_count == LOST_MISS_COUNT && !r->reached)
    c->ownership.unreached_over_at_us = c->now_us;
  if (r->miss_count == 1)
    cell_log (c, "runner_silent", 0,
              "\"runner\":\"%s\",\"outcome\":\"%s\",\"runs\":%u", r->report.id,
              order_outcome_name (x->outcome), r->tasks->len);
  runners_schedule_poll (c, r, MISS_GAP_MS * MIN (r->miss_count, 6));
}
