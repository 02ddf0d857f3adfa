/* model_runner.c -- the runners of the model, and the orders to them.  */

#include "tests/model.h"

#include <stdio.h>
#include <string.h>

#define CALL_US 1000 /* One way.  */
#define CONNECT_TIMEOUT_US (400 * US_PER_MS)
/** Longest time for which an order is sent: by the owner, by a delegate.  */
#define ORDER_LIMIT_US (2000 * US_PER_MS)
#define DELEGATED_LIMIT_US (1000 * US_PER_MS)
#define LEASE_LIMIT_MS 10000
#define STOP_MS 300
#define STARTUP_US (150 * US_PER_MS)
#define ENDED_PAGE_COUNT 500
/** While orders are lost or late, one in this many is.  */
#define FAULTY_PART 5
/** One short run in this many fails, and one boot in this many has a clock
    that is slow.  */
#define FAILING_PART 25
/** No task fails more often, so that no job fails but those meant to.  */
#define FAILING_LIMIT_COUNT 2
#define SLOW_CLOCK_PART 3

/* An order on its way, and its result on the way back.  */
struct call
{
  struct model_entry *owner;
  uint32_t owner_process;
  struct model_entry *sender;
  uint32_t sender_process;
  uint64_t link_id; /* Of a delegate's link; 0: the owner sends it.  */
  uint64_t decided_at_us;
  struct runner_order order;
  bool answered; /* The owner has a result, or the call has timed out.  */
  bool late; /* It is carried out late, by the boot that has received it. */
  uint64_t booted_at_us; /* That boot.  */
  bool queued;           /* The sender's turn for it is known.  */
  uint32_t reference_count;
};

uint64_t
model_runner_clock_ms (const struct model *m, const struct model_runner *r)
{
  return 1000
         + (m->now_us - r->booted_at_us) / US_PER_MS * r->clock_milli / 1000;
}

bool
model_vm_has_label (uint32_t vm)
{
  return vm / MODEL_POOL_COUNT % 2 == 0;
}

struct model_runner *
model_vm_runner (struct model *m, uint32_t vm)
{
  struct model_runner *r = m->vms[vm].runner;

  return r != NULL && r->alive ? r : NULL;
}

static void
release (struct call *x)
{
  if (--x->reference_count == 0)
    talloc_free (x);
}

/* Gives the owner the result EV of X, unless it has one.  */
static void
give_result (struct call *x, struct cell_event *ev)
{
  struct runner_result *r = &ev->u.runner_result;
  struct model *m = x->owner->model;
  bool arrives
      = !x->answered
        && (x->link_id == 0
            || (x->sender->process == x->sender_process
                && x->sender->linked == x->owner
                && x->sender->link_id == x->link_id
                && model_entry_reaches (x->owner)
                && !model_island_parts (m, x->sender->side, x->owner->side)));

  x->answered = true;
  r->order_id = x->order.order_id;
  r->kind = x->order.kind;
  text_copy (r->runner, NAME_BYTES, x->order.runner);
  if (x->link_id != 0)
    r->token = x->order.token;
  if (!arrives)
    {
      talloc_free (ev);
      return;
    }
  /* A frozen sender reads the answer when it wakes.  */
  model_post (x->owner, x->owner_process,
              CALL_US + model_limits_work (x->sender, m->options.order_us / 2)
                  + (m->now_us < x->sender->frozen_until_us
                         ? x->sender->frozen_until_us - m->now_us
                         : 0),
              ev);
}

static void
give_outcome (struct call *x, enum order_outcome outcome)
{
  struct cell_event *ev = model_event (CELL_RUNNER_RESULT);

  ev->u.runner_result.outcome = outcome;
  give_result (x, ev);
}

static void
on_timeout (struct model *m, void *argument)
{
  struct call *x = argument;

  (void)m;
  if (!x->answered)
    give_outcome (x, ORDER_UNKNOWN);
  release (x);
}

static char *
task_key (const struct task_id *id, char *text)
{
  model_task_print (id, text, 64);
  return text;
}

/* Returns the highest run of the task that was stopped or ended on R.  */
static uint32_t
last_run (const struct model_runner *r, const struct task_id *id)
{
  char key[64];

  return GPOINTER_TO_UINT (
      g_hash_table_lookup (r->last_runs, task_key (id, key)));
}

static void
note_last_run (struct model_runner *r, const struct task_id *id, uint32_t run)
{
  char key[64];

  if (run > last_run (r, id))
    g_hash_table_insert (r->last_runs, g_strdup (task_key (id, key)),
                         GUINT_TO_POINTER (run));
}

static int
find_run (const struct model_runner *r, const struct task_id *id, uint32_t run)
{
  guint i;

  for (i = 0; i < r->runs->len; i++)
    {
      const struct model_run *x
          = &g_array_index (r->runs, struct model_run, i);

      if (memcmp (&x->task, id, sizeof *id) == 0 && x->run == run)
        return (int)i;
    }
  return -1;
}

static void
fill_poll (struct model *m, struct model_runner *r, struct cell_event *ev)
{
  struct runner_result *x = &ev->u.runner_result;
  guint i;

  x->running = talloc_zero_array (ev, struct running_task, r->runs->len + 1);
  x->ended = talloc_zero_array (ev, struct ended_run, ENDED_PAGE_COUNT + 1);
  for (i = 0; i < r->runs->len; i++)
    {
      const struct model_run *run
          = &g_array_index (r->runs, struct model_run, i);
      struct running_task *t = &x->running[x->running_count++];

      t->task = run->task;
      t->run = run->run;
      if (run->long_running)
        t->work_percent = m->now_us >= run->began_at_us + STARTUP_US ? 100 : 0;
      else
        t->work_percent
            = (uint32_t)((m->now_us - run->began_at_us) * 100
                         / MAX (run->ends_at_us - run->began_at_us, 1));
    }
  for (i = 0; i < r->ends->len && x->ended_count < ENDED_PAGE_COUNT; i++)
    x->ended[x->ended_count++]
        = g_array_index (r->ends, struct model_end, i).ended;
}

/* Returns true if what E sends reaches R.  */
static bool
reaches_runner (const struct model_entry *e, const struct model_runner *r)
{
  const struct model *m = e->model;

  return m->now_us >= e->cut_until_us && m->now_us >= r->cut_until_us
         && !model_island_parts (m, e->side, r->side);
}

/* Returns true if what R answers reaches E.  */
static bool
answer_reaches (const struct model_entry *e, const struct model_runner *r)
{
  const struct model *m = e->model;

  return m->now_us >= e->cut_until_us && m->now_us >= r->cut_until_us
         && !model_island_parts (m, r->side, e->side);
}

/* Sends R's answer to X, unless it is lost on the way.  */
static void
answer_call (struct model *m, struct model_runner *r, struct call *x,
             enum order_outcome outcome)
{
  struct cell_event *ev;

  if (x->late || !answer_reaches (x->sender, r)
      || (m->now_us < m->orders_lost_until_us
          && model_random (m, FAULTY_PART) == 0))
    return;
  ev = model_event (CELL_RUNNER_RESULT);
  ev->u.runner_result.outcome = outcome;
  ev->u.runner_result.clock_ms = model_runner_clock_ms (m, r);
  ev->u.runner_result.booted_at_ms = r->booted_at_ms;
  if (x->order.kind == ORDER_POLL && outcome == ORDER_DONE)
    fill_poll (m, r, ev);
  give_result (x, ev);
}

/* Answers the polls of R that wait, as a run has ended.  */
static void
answer_polls (struct model *m, struct model_runner *r)
{
  while (r->polls->len > 0)
    {
      struct call *x = g_ptr_array_remove_index (r->polls, 0);

      answer_call (m, r, x, ORDER_DONE);
      release (x);
    }
}

static void
end_run (struct model *m, struct model_runner *r, guint i, enum end_kind kind)
{
  struct model_run x = g_array_index (r->runs, struct model_run, i);
  struct model_end e = { .at_us = m->now_us };

  g_array_remove_index (r->runs, i);
  note_last_run (r, &x.task, x.run);
  e.ended.number = ++r->end_number;
  e.ended.task = x.task;
  e.ended.run = x.run;
  e.ended.kind = kind;
  g_array_append_val (r->ends, e);
  model_rules_on_end (m, r, &x, kind, r->end_number);
}

static void
renew_lease (struct model *m, struct model_runner *r, uint64_t until_ms)
{
  uint64_t now_ms = model_runner_clock_ms (m, r);

  if (until_ms == 0)
    return;
  until_ms = MIN (until_ms, now_ms + LEASE_LIMIT_MS);
  /* A lease that has expired may begin again.  */
  if (r->lease_end_ms < now_ms)
    r->lapsed_at_us = m->now_us;
  r->lease_end_ms = MAX (r->lease_end_ms, until_ms);
}

static uint64_t
used_milli (const struct model_runner *r)
{
  uint64_t sum = 0;
  guint i;

  for (i = 0; i < r->runs->len; i++)
    sum += g_array_index (r->runs, struct model_run, i).cpu_milli;
  return sum;
}

static enum order_outcome
start_run (struct model *m, struct model_runner *r, const struct call *x)
{
  const struct runner_order *o = &x->order;
  const struct model_job *j
      = g_hash_table_lookup (m->jobs_by_id, &o->task.job);
  struct model_run run = { .task = o->task, .run = o->run };

  if (j == NULL)
    {
      model_broken (m, "UNASKED: a task of a job that no client sent");
      return ORDER_REJECTED;
    }
  if (o->lease_until_ms <= model_runner_clock_ms (m, r))
    return ORDER_LATE;
  renew_lease (m, r, o->lease_until_ms);
  if (find_run (r, &o->task, o->run) >= 0)
    return ORDER_DONE;
  if (o->run <= last_run (r, &o->task))
    return ORDER_STALE;
  if (used_milli (r) + j->cpu_milli > MODEL_CPU_MILLI)
    return ORDER_NO_ROOM;
  run.began_at_us = m->now_us;
  run.long_running = model_step_lasts (j, o->task.step);
  run.cpu_milli = j->cpu_milli;
  if (run.long_running && m->options.serving_fail_percent > 0
      && model_random (m, 100) < m->options.serving_fail_percent)
    {
      run.ends_at_us = m->now_us + model_between (m, 500, 15000) * US_PER_MS;
      run.fails = true;
    }
  if (!run.long_running)
    {
      run.ends_at_us
          = m->now_us
            + j->task_ms * US_PER_MS * (80 + model_random (m, 40)) / 100;
      if (j->failing)
        run.fails = model_random (m, 2) == 0;
      else
        run.fails = model_random (m, FAILING_PART) == 0
                    && model_task_of (m, &o->task)->failed_count
                           < FAILING_LIMIT_COUNT;
    }
  model_rules_on_start (m, r, &run, x->late);
  g_array_append_val (r->runs, run);
  return ORDER_DONE;
}

static enum order_outcome
stop_run (struct model *m, struct model_runner *r, const struct call *x)
{
  int i = find_run (r, &x->order.task, x->order.run);
  struct model_run *run;

  note_last_run (r, &x->order.task, x->order.run);
  if (i < 0)
    return ORDER_DONE;
  run = &g_array_index (r->runs, struct model_run, i);
  if (run->stops_at_us == 0)
    {
      if (!x->late)
        model_rules_on_order (m, r, run);
      run->stops_at_us = m->now_us + model_random (m, STOP_MS) * US_PER_MS;
    }
  return ORDER_DONE;
}

/* Forgets the ends that a poll acknowledges.  */
static void
note_ends (struct model *m, struct model_runner *r, uint64_t number)
{
  if (number > 0)
    model_rules_on_noted (m, r, number);
  while (r->ends->len > 0
         && g_array_index (r->ends, struct model_end, 0).ended.number
                <= number)
    g_array_remove_index (r->ends, 0);
}

/* Has a poll that waited long enough answered.  */
static void
on_poll_waited (struct model *m, void *argument)
{
  struct call *x = argument;
  struct model_runner *r = g_hash_table_lookup (m->runners, x->order.runner);

  if (r != NULL && g_ptr_array_remove (r->polls, x))
    {
      answer_call (m, r, x, ORDER_DONE);
      release (x);
    }
  release (x);
}

/* Carries X out on R.  */
static void
execute (struct model *m, struct model_runner *r, struct call *x)
{
  const struct runner_order *o = &x->order;
  enum order_outcome outcome = ORDER_DONE;

  if (o->token < r->token)
    {
      answer_call (m, r, x, ORDER_FENCED);
      return;
    }
  r->token = o->token;
  switch (o->kind)
    {
    case ORDER_START:
      outcome = start_run (m, r, x);
      break;
    case ORDER_STOP:
      outcome = stop_run (m, r, x);
      break;
    case ORDER_POLL:
      note_ends (m, r, o->stored_end_number);
      renew_lease (m, r, o->lease_until_ms);
      if (o->wait_ms > 0 && r->ends->len == 0 && !x->late)
        {
          x->reference_count += 2;
          g_ptr_array_add (r->polls, x);
          model_schedule (m, o->wait_ms * US_PER_MS, on_poll_waited, x);
          return;
        }
      break;
    default:
      break;
    }
  answer_call (m, r, x, outcome);
}

static void
arrive (struct model *m, void *argument)
{
  struct call *x = argument;
  struct model_runner *r = g_hash_table_lookup (m->runners, x->order.runner);

  if (r != NULL && r->alive
      && (!x->late || r->booted_at_us == x->booted_at_us))
    {
      /* No connection leads to the boot that it is for.  */
      if (x->order.booted_at_ms != 0
          && x->order.booted_at_ms != r->booted_at_ms)
        answer_call (m, r, x, ORDER_OTHER_BOOT);
      else
        execute (m, r, x);
    }
  release (x);
}

/* Sends X to its runner.  */
static void
send_call (struct model *m, struct call *x)
{
  struct model_runner *r = g_hash_table_lookup (m->runners, x->order.runner);
  uint64_t delay_us = CALL_US + model_random (m, 1000);

  if (r != NULL && !r->alive && m->vms[r->vm].up)
    {
      /* The VM refuses the connection.  */
      give_outcome (x, ORDER_BUSY);
      return;
    }
  if (r == NULL || !r->alive || !reaches_runner (x->sender, r))
    {
      if (model_random (m, 2) == 0)
        give_outcome (x, ORDER_BUSY);
      return;
    }
  if (m->now_us < m->orders_lost_until_us
      && model_random (m, FAULTY_PART) == 0)
    return;
  if (m->now_us < m->orders_late_until_us
      && model_random (m, FAULTY_PART) == 0)
    {
      x->late = true;
      x->booted_at_us = r->booted_at_us;
      delay_us = model_between (m, 1000, 5000) * US_PER_MS;
    }
  x->reference_count++;
  model_schedule (m, delay_us, arrive, x);
}

static void
leave_sender (struct model *m, void *argument)
{
  struct call *x = argument;
  uint64_t limit_us = x->link_id != 0 ? DELEGATED_LIMIT_US : ORDER_LIMIT_US;

  if (x->sender->cell == NULL || x->sender->process != x->sender_process)
    {
      release (x);
      return;
    }
  if (m->now_us < x->sender->frozen_until_us)
    {
      model_schedule (m, x->sender->frozen_until_us - m->now_us, leave_sender,
                      x);
      return;
    }
  if (!x->queued && m->options.order_us > 0)
    {
      x->queued = true;
      model_schedule (m,
                      model_limits_work (x->sender, m->options.order_us / 2),
                      leave_sender, x);
      return;
    }
  if (x->order.token < x->sender->newest_token)
    give_outcome (x, ORDER_FENCED);
  else if (m->now_us > x->decided_at_us + limit_us)
    give_outcome (x, ORDER_BUSY);
  else
    {
      x->sender->newest_token = x->order.token;
      x->reference_count++;
      model_schedule (m, x->order.timeout_ms * US_PER_MS, on_timeout, x);
      send_call (m, x);
    }
  release (x);
}

/* Returns the entry at the other end of the link LINK_ID to E, or NULL.  */
static struct model_entry *
delegate_of (struct model_entry *e, uint64_t link_id)
{
  struct model *m = e->model;
  uint32_t i;

  for (i = 0; i < m->entry_count; i++)
    if (m->entries[i].linked == e && m->entries[i].link_id == link_id
        && model_entry_reaches (&m->entries[i]) && model_entry_reaches (e)
        && !model_island_parts (m, e->side, m->entries[i].side))
      return &m->entries[i];
  return NULL;
}

void
model_runner_order (struct model_entry *e, struct runner_order *o)
{
  struct model *m = e->model;
  struct model_entry *sender
      = o->link_id != 0 ? delegate_of (e, o->link_id) : e;
  struct call *x;

  blob_unref (o->payload);
  o->payload = NULL;
  if (sender == NULL)
    return;
  x = talloc_zero (m->arena, struct call);
  x->owner = e;
  x->owner_process = e->process;
  x->sender = sender;
  x->sender_process = sender->process;
  x->link_id = o->link_id;
  x->decided_at_us = m->now_us;
  x->order = *o;
  x->reference_count = 1;
  model_schedule (m, o->link_id != 0 ? 2 * CALL_US : 100, leave_sender, x);
}

void
model_vm_boot (struct model *m, uint32_t vm, const char *same_id)
{
  struct model_vm *v = &m->vms[vm];
  struct model_runner *r
      = same_id != NULL ? g_hash_table_lookup (m->runners, same_id) : NULL;

  if (r == NULL)
    {
      r = g_new0 (struct model_runner, 1);
      g_snprintf (r->id, NAME_BYTES, "r%u-%u", vm, ++v->life_count);
      r->vm = vm;
      r->side = v->side;
      r->runs = g_array_new (FALSE, TRUE, sizeof (struct model_run));
      r->ends = g_array_new (FALSE, TRUE, sizeof (struct model_end));
      r->last_runs
          = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
      r->polls = g_ptr_array_new ();
      g_hash_table_insert (m->runners, r->id, r);
      g_ptr_array_add (m->all_runners, r);
    }
  g_hash_table_remove_all (r->last_runs);
  r->alive = true;
  r->draining = false;
  r->booted_at_us = m->now_us;
  r->booted_at_ms = MODEL_EPOCH_MS + m->now_us / US_PER_MS;
  r->clock_milli = model_random (m, SLOW_CLOCK_PART) == 0 ? 980 : 1000;
  r->token = 0;
  r->lease_end_ms = 0;
  r->lapsed_at_us = 0;
  r->end_number = 0;
  v->runner = r;
}

void
model_runner_end (struct model *m, uint32_t vm)
{
  struct model_runner *r = model_vm_runner (m, vm);

  if (r == NULL)
    return;
  while (r->runs->len > 0)
    {
      struct model_run x = g_array_index (r->runs, struct model_run, 0);

      g_array_remove_index (r->runs, 0);
      model_rules_on_end (m, r, &x, END_STOPPED, 0);
    }
  g_array_set_size (r->ends, 0);
  r->alive = false;
  while (r->polls->len > 0)
    {
      struct call *x = g_ptr_array_remove_index (r->polls, 0);

      if (!x->answered && answer_reaches (x->sender, r))
        give_outcome (x, ORDER_UNKNOWN);
      release (x);
    }
}

static void
tick_runner (struct model *m, struct model_runner *r)
{
  uint64_t now_ms = model_runner_clock_ms (m, r);
  bool expired = r->lease_end_ms < now_ms;
  bool ended = false;
  guint i = 0;

  while (i < r->runs->len)
    {
      struct model_run *x = &g_array_index (r->runs, struct model_run, i);
      enum end_kind kind;

      if (expired)
        kind = END_LEASE_EXPIRED;
      else if (x->ends_at_us != 0 && m->now_us >= x->ends_at_us)
        kind = x->fails ? END_FAILED : END_DONE;
      else if (x->stops_at_us != 0 && m->now_us >= x->stops_at_us)
        kind = END_STOPPED;
      else
        {
          i++;
          continue;
        }
      end_run (m, r, i, kind);
      ended = true;
    }
  if (ended)
    answer_polls (m, r);
}

void
model_runner_tick (struct model *m)
{
  guint i;

  for (i = 0; i < m->all_runners->len; i++)
    {
      struct model_runner *r = g_ptr_array_index (m->all_runners, i);

      if (r->alive)
        tick_runner (m, r);
    }
}

void
model_runners_free (struct model *m)
{
  guint i;

  for (i = 0; i < m->all_runners->len; i++)
    {
      struct model_runner *r = g_ptr_array_index (m->all_runners, i);

      g_array_free (r->runs, TRUE);
      g_array_free (r->ends, TRUE);
      g_hash_table_destroy (r->last_runs);
      g_ptr_array_free (r->polls, TRUE);
      g_free (r);
    }
  g_ptr_array_free (m->all_runners, TRUE);
  g_hash_table_destroy (m->runners);
}
