/* runners.c -- polls of runners, and orders to them.

   A runner that has tasks gets one long poll after the other: a poll renews
   its lease and returns which runs it has and which have ended.  An idle
   runner is polled only until it has answered, and to tell it which ends are
   stored.  */

#include "core/cell/fleet.h"

#include <stdlib.h>
#include <string.h>

/** A poll is put off for up to this until the ends listed so far are
    stored.  */
#define STORE_WAIT_MS 400
/** A poll is put off for up to this while a start on its runner has no answer:
    it could not acknowledge ends.  A start is answered within milliseconds;
    when many are ordered, a longer delay would hide the ends of other runs. */
#define OPEN_START_WAIT_MS 60
/** An idle runner gets a poll after this to acknowledge stored ends.  */
#define IDLE_ACK_DELAY_MS 900
/** Timeout of an order; for a poll, its wait is added.  */
#define ORDER_TIMEOUT_MS 700
/** An order without an answer is overdue after this; for a poll, its wait is
    added.  A runner answers within milliseconds, and a silent one is soon sent
    no more orders, so the delay is mostly at this entry.  */
#define SLOW_ORDER_MS 300
/** As many polls of runners that are not reached, or silent, may be without an
    answer as this entry handles in this time, but no fewer than the least
    count.  More at once would all be answered too late, again and again.  */
#define PROBE_WINDOW_MS 300
#define PROBE_MIN_COUNT 32
/** A runner without tasks is forgotten this long after its registration was
    deleted.  */
#define UNLISTED_LIMIT_MS 15000
/** A long-running task leaves a draining runner after this even if it has no
    place elsewhere.  A runner drains for 2 s or longer.  */
#define DRAIN_LIMIT_MS 1000

struct runner_order *
runners_send_order (struct cell *c, struct runner *r, enum order_kind kind,
                    const struct task *t)
{
  struct runner_order *o = &cell_emit (c, CELL_DO_ORDER)->u.order;
  struct pending_order *x = g_new0 (struct pending_order, 1);

  o->order_id = x->id = ++c->last_order_id;
  o->kind = x->kind = kind;
  o->link_id = x->link_id = delegates_take_order (c, r);
  x->runner = r;
  x->sent_at_us = c->now_us;
  text_copy (o->runner, NAME_BYTES, r->report.id);
  text_copy (o->address, ADDRESS_BYTES, r->report.address);
  o->token = c->ownership.token;
  o->timeout_ms = x->timeout_ms = ORDER_TIMEOUT_MS;
  o->new_connection = r->miss_count > 0;
  x->booted_at_ms = r->report.booted_at_ms;
  if (t != NULL)
    {
      task_id_get (t, &o->task);
      o->run = t->run;
      x->task = o->task;
      x->run = t->run;
    }
  if (kind == ORDER_START)
    {
      o->booted_at_ms = r->report.booted_at_ms;
      leases_add (c, r, o, x);
    }
  c->unanswered_start_count += kind == ORDER_START;
  /* The poll of an idle runner may be far off.  */
  if (kind == ORDER_START && r->next_poll_at_us != 0)
    runners_schedule_poll (c, r, POLL_GAP_MS);
  g_hash_table_insert (c->pending_orders, &x->id, x);
  return o;
}

void
runners_schedule_poll (struct cell *c, struct runner *r, uint32_t delay_ms)
{
  uint64_t at_us = c->now_us + delay_ms * US_PER_MS;

  if (r->next_poll_at_us == 0 || at_us < r->next_poll_at_us)
    r->next_poll_at_us = at_us;
}

static bool
needs_probe (const struct runner *r)
{
  return !r->reached || r->miss_count > 0;
}

/* Returns true if R may be polled now, as far as other polls go.  */
static bool
probe_is_admitted (struct cell *c, struct runner *r)
{
  uint64_t limit = PROBE_WINDOW_MS * US_PER_MS * c->settings.cpu_milli / 1000
                   / ORDER_CPU_US;

  return !needs_probe (r) || delegates_link_for (c, r) != 0
         || c->open_probe_count < MAX (limit, PROBE_MIN_COUNT);
}

/* Returns true if a poll of R may acknowledge ends.  A new boot numbers its
   ends anew, and one that we do not know of must not forget any.  It can have
   some only if it took a start that we have no answer to.  While R's list of
   ends is full, no poll can tell that such a run has ended, so an acknowledged
   stop is enough.  */
static bool
may_acknowledge (const struct runner *r)
{
  guint i;

  for (i = 0; i < r->tasks->len; i++)
    {
      const struct task *t = g_ptr_array_index (r->tasks, i);

      if (task_start_is_open (t)
          && !(r->ends_incomplete && t->stop_acked_at_us != 0))
        return false;
    }
  return r->miss_count == 0;
}

/* Sends R a poll that waits up to WAIT_MS for the end of a run.  As it is, it
   renews no lease and acknowledges no ends, so any boot may answer it.  */
static struct runner_order *
send_poll_order (struct cell *c, struct runner *r, uint32_t wait_ms)
{
  struct runner_order *o = runners_send_order (c, r, ORDER_POLL, NULL);
  struct pending_order *x
      = g_hash_table_lookup (c->pending_orders, &o->order_id);

  o->wait_ms = x->wait_ms = wait_ms;
  o->timeout_ms += o->wait_ms;
  x->timeout_ms = o->timeout_ms;
  c->metrics.counters[CELL_COUNT_LEASE_RENEWALS]++;
  return o;
}

/* Polls R.  The poll waits only if R has tasks and has answered this owner
   before, and nothing depends on an answer now.  */
static void
send_poll (struct cell *c, struct runner *r)
{
  bool needs_answer = hedges_need_answer (c, r);
  bool waits = r->tasks->len > 0 && r->reached && !needs_answer
               && r->boot_doubted_at_us == 0;
  uint32_t wait_ms = waits ? progress_poll_wait_ms (c, r, POLL_WAIT_MS) : 0;
  struct runner_order *o = send_poll_order (c, r, wait_ms);
  struct pending_order *x
      = g_hash_table_lookup (c->pending_orders, &o->order_id);

  /* R's clock is not known before the first one: runs of a former owner keep
     the lease that they have until R has answered.  An idle runner may have
     been restarted.  */
  if (r->tasks->len > 0)
    leases_add (c, r, o, x);
  if (may_acknowledge (r) && r->stored_end_number > 0)
    {
      o->stored_end_number = r->acked_end_number = r->stored_end_number;
      o->booted_at_ms = r->report.booted_at_ms;
    }
  x->is_probe = needs_probe (r) && x->link_id == 0;
  c->open_probe_count += x->is_probe;
  r->poll_id = o->order_id;
  r->poll_sent_at_us = c->now_us;
  r->next_poll_at_us = 0;
  if (needs_answer)
    r->hedged_at_us = c->now_us;
}

void
runners_read_clock (struct cell *c, struct runner *r)
{
  if (r->poll_id == 0)
    send_poll (c, r);
}

void
runners_send_hedge (struct cell *c, struct runner *r)
{
  struct runner_order *o = send_poll_order (c, r, 0);
  struct pending_order *x
      = g_hash_table_lookup (c->pending_orders, &o->order_id);

  o->new_connection = true;
  x->is_hedge = true;
  c->open_hedge_count++;
  r->hedged_at_us = c->now_us;
}

void
runners_log_lost (struct cell *c, const struct runner *r, enum run_over why,
                  uint32_t n)
{
  if (n == 0)
    return;
  c->metrics.counters[CELL_COUNT_LOST_RUNS] += n;
  cell_log (
      c, "runs_lost", 0,
      "\"runner\":\"%s\",\"why\":\"%s\",\"runs\":%u,\"misses\":%u,"
      "\"answer_age_ms\":%llu,\"lease_end_ms\":%llu,"
      "\"clock_ms\":%llu,\"clock_age_ms\":%llu",
      r->report.id, run_over_name (why), n, r->miss_count,
      (unsigned long long)((c->now_us - r->answered_at_us) / US_PER_MS),
      (unsigned long long)r->lease_until_ms, (unsigned long long)r->clock_ms,
      (unsigned long long)((c->now_us - r->clock_read_at_us) / US_PER_MS));
}

void
runners_release_tasks (struct cell *c, struct runner *r, enum run_over why)
{
  runners_log_lost (c, r, why, r->tasks->len);
  while (r->tasks->len > 0)
    task_release (c, g_ptr_array_index (r->tasks, r->tasks->len - 1), why);
}

static bool
is_overdue (const struct cell *c, const struct pending_order *o)
{
  return c->now_us > o->sent_at_us + (o->wait_ms + SLOW_ORDER_MS) * US_PER_MS;
}

uint32_t
runners_overdue_count (const struct cell *c)
{
  uint32_t n = 0;
  GHashTableIter it;
  gpointer value;

  g_hash_table_iter_init (&it, c->pending_orders);
  while (g_hash_table_iter_next (&it, NULL, &value))
    n += ((struct pending_order *)value)->link_id == 0
         && is_overdue (c, value);
  return n;
}

/* Counts whether X, the result of O, is late, for what it tells of this entry
   and of the delegate that sent O.  A hedged poll tells nothing: it is sent
   when its runner is doubted already.  */
static void
count_latency (struct cell *c, const struct pending_order *o,
               const struct runner_result *x)
{
  /* A connection that could not be made is no answer.  */
  bool answered = x->clock_ms != 0;
  bool late = is_overdue (c, o);

  if (o->is_hedge)
    return;
  c->order_latency.on_time_count += answered && !late;
  if (o->link_id != 0)
    {
      delegates_count_answer (c, o->link_id, late,
                              x->outcome == ORDER_UNKNOWN);
      return;
    }
  c->order_latency.order_count++;
  c->order_latency.slow_count += answered && late;
}

/* Removes O, which X answers, from the orders without an answer, and counts
   how long the answer took.  */
static void
close_order (struct cell *c, const struct pending_order *o,
             const struct runner_result *x)
{
  c->unanswered_start_count -= o->kind == ORDER_START;
  c->open_probe_count -= o->is_probe;
  c->open_hedge_count -= o->is_hedge;
  count_latency (c, o, x);
  g_hash_table_remove (c->pending_orders, &x->order_id);
}

/* Handles X, the result of O, which was sent to R's present boot about T or
   none.  */
static void
apply_result (struct cell *c, struct runner *r, struct task *t,
              struct runner_result *x, const struct pending_order *o)
{
  if (x->booted_at_ms != 0)
    {
      if (r->report.booted_at_ms == 0)
        boots_note (c, r);
      r->report.booted_at_ms = x->booted_at_ms;
      r->boot_named = true;
    }
  boots_note_clock (c, r, x->clock_ms);
  switch (x->kind)
    {
    case ORDER_START:
      if (x->outcome == ORDER_DONE)
        hedges_note_start_latency (c, c->now_us - o->sent_at_us);
      if (t != NULL)
        task_on_start_result (c, t, r, x->outcome);
      break;
    case ORDER_STOP:
      if (t != NULL && t->phase == TASK_STOPPING && x->outcome == ORDER_DONE)
        {
          t->stop_acked_at_us = c->now_us;
          runners_schedule_poll (c, r, POLL_GAP_MS);
        }
      break;
    case ORDER_POLL:
      polls_on_result (c, r, x, o);
      break;
    default:
      break;
    }
}

void
runners_on_result (struct cell *c, struct runner_result *x)
{
  const struct pending_order *open
      = g_hash_table_lookup (c->pending_orders, &x->order_id);
  struct pending_order o;
  struct runner *r;
  struct task *t;

  if (open == NULL || !cell_is_owner (c))
    return;
  /* A delegate may answer an order of an earlier ownership.  */
  if (x->token != 0 && x->token != c->ownership.token)
    return;
  o = *open;
  r = o.runner;
  t = jobs_find_task (c, &o.task);
  if (t != NULL && (t->runner != r || t->run != o.run))
    t = NULL;
  close_order (c, open, x);
  if (x->outcome == ORDER_FENCED)
    {
      cell_log (c, "order_fenced", 0, "\"runner\":\"%s\",\"token\":%llu",
                r->report.id, (unsigned long long)c->ownership.token);
      ownership_lose (c, "order_fenced");
      return;
    }
  /* It was not sent, so the run does not exist and never will.  */
  if (x->outcome == ORDER_OTHER_BOOT && t != NULL && x->kind == ORDER_START)
    {
      task_on_start_result (c, t, r, x->outcome);
      t = NULL;
    }
  if (o.booted_at_ms != 0 && x->booted_at_ms != 0
      && x->booted_at_ms != o.booted_at_ms)
    leases_on_other_boot (c, r, &o, x);
  if (x->booted_at_ms != 0 && x->booted_at_ms != r->report.booted_at_ms
      && o.sent_at_us < r->boot_read_at_us)
    return; /* Of the boot before.  */
  if (x->outcome == ORDER_WRONG_BOOT
      || (x->booted_at_ms != 0 && r->report.booted_at_ms != 0
          && x->booted_at_ms != r->report.booted_at_ms))
    {
      boots_on_other (c, r, t, x);
      return;
    }
  if (x->kind != ORDER_POLL && boots_is_other_clock (r, &o, x))
    {
      boots_on_other_clock (c, r, t, x, &o);
      return;
    }
  apply_result (c, r, t, x, &o);
}

/* Returns true if a poll of R is put off, as it would leave ends that R has
   listed there, and nothing depends on its answer.  */
static bool
keeps_ends (const struct cell *c, const struct runner *r)
{
  uint64_t age_us = c->now_us - r->answered_at_us;

  if (r->seen_end_number > r->stored_end_number)
    return age_us < STORE_WAIT_MS * US_PER_MS;
  return r->stored_end_number > r->acked_end_number
         && age_us < OPEN_START_WAIT_MS * US_PER_MS && !may_acknowledge (r)
         && !hedges_need_answer (c, r);
}

static bool
poll_is_due (const struct cell *c, const struct runner *r)
{
  if (r->poll_id != 0 || c->now_us < r->next_poll_at_us)
    return false;
  /* Ends that the poll does not acknowledge would be listed again, and the
     poll answered without waiting.  */
  if (((r->reached && r->tasks->len > 0) || r->ends_incomplete)
      && keeps_ends (c, r))
    return false;
  if (!r->reached)
    return r->listed || r->tasks->len > 0;
  return r->tasks->len > 0 || r->next_poll_at_us != 0;
}

static void
repeat_stops (struct cell *c, struct runner *r)
{
  guint i;

  for (i = 0; i < r->tasks->len; i++)
    {
      struct task *t = g_ptr_array_index (r->tasks, i);

      if (t->phase == TASK_STOPPING && t->stop_acked_at_us == 0
          && c->now_us > t->ordered_at_us + STOP_RETRY_MS * US_PER_MS)
        task_stop (c, t);
    }
}

/* Stops the long-running tasks of R that have a place elsewhere, and after
   DRAIN_LIMIT_MS the others.  R is draining and will be gone within seconds;
   after that they could start elsewhere only when its lease has expired.  */
static void
evict_from_draining (struct cell *c, struct runner *r)
{
  guint i;

  for (i = 0; i < r->tasks->len; i++)
    {
      struct task *t = g_ptr_array_index (r->tasks, i);

      if (t->step->spec->long_running && t->phase == TASK_RUNNING
          && (places_is_planned (c, t)
              || c->now_us >= r->draining_at_us + DRAIN_LIMIT_MS * US_PER_MS))
        {
          cell_log (c, "task_evicted", task_job (t)->id,
                    "\"task\":\"%u.%u.%u\",\"runner\":\"%s\","
                    "\"draining\":true",
                    t->step->occurrence->number, t->step->number, t->index,
                    r->report.id);
          task_stop (c, t);
        }
    }
}

static void
tick_runner (struct cell *c, struct runner *r)
{
  if (r->tasks->len > 0 && r->miss_count >= LOST_MISS_COUNT
      && leases_expired (c, r))
    runners_release_tasks (c, r, RUN_LEASE_EXPIRED);
  if (r->tasks->len > 0 && r->miss_count > 0 && fleet_runner_is_gone (c, r))
    runners_release_tasks (c, r, RUN_VM_DOWN);
  repeat_stops (c, r);
  if (r->report.draining)
    evict_from_draining (c, r);
  if (leases_excess_ms (c, r) > 0)
    leases_stop_long (c, r);
  if (r->tasks->len == 0 && r->reached && r->next_poll_at_us == 0
      && r->stored_end_number > r->acked_end_number)
    r->next_poll_at_us = c->now_us + IDLE_ACK_DELAY_MS * US_PER_MS;
  if (poll_is_due (c, r))
    {
      /* No poll is sent to an idle runner that knows which ends are stored. */
      if (r->reached && r->tasks->len == 0
          && r->stored_end_number == r->acked_end_number && r->miss_count == 0
          && r->boot_doubted_at_us == 0)
        r->next_poll_at_us = 0;
      else if ((r->listed || r->tasks->len > 0) && probe_is_admitted (c, r))
        send_poll (c, r);
    }
  else
    hedges_tick_runner (c, r);
}

void
runners_tick (struct cell *c)
{
  GPtrArray *all = g_ptr_array_new ();
  GHashTableIter it;
  gpointer value;
  guint i;

  g_hash_table_iter_init (&it, c->runners);
  while (g_hash_table_iter_next (&it, NULL, &value))
    g_ptr_array_add (all, value);
  for (i = 0; i < all->len; i++)
    {
      struct runner *r = g_ptr_array_index (all, i);

      tick_runner (c, r);
      if (!r->listed && r->tasks->len == 0
          && c->now_us > r->unlisted_at_us + UNLISTED_LIMIT_MS * US_PER_MS)
        runners_drop (c, r);
    }
  g_ptr_array_free (all, TRUE);
}

void
runners_clear (struct cell *c)
{
  GHashTableIter it;
  gpointer value;

  delegates_clear (c);
  g_hash_table_remove_all (c->pending_orders);
  c->unanswered_start_count = 0;
  c->open_probe_count = 0;
  c->open_hedge_count = 0;
  c->start_latency_us = 0;
  c->stop_mean_us = 0;
  g_hash_table_iter_init (&it, c->runners);
  while (g_hash_table_iter_next (&it, NULL, &value))
    {
      g_hash_table_iter_remove (&it);
      talloc_free (value);
    }
  g_hash_table_remove_all (c->pools);
  g_hash_table_remove_all (c->usage);
  c->runners_known = false;
  zones_clear_notices (&c->evacuated);
}
