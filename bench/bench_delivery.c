/* bench_delivery.c -- retries and quarantine in virtual time.

   A core with ten simulated workers of four slots each.  Some of them fail
   every request after 1 ms, the others answer after 10 ms.  800 idempotent
   requests arrive per second for 30 s.  Prints the percentage of requests with
   a good answer and the attempts per request.  */

#include "core/core.h"

#include <glib.h>
#include <sodium.h>
#include <stdio.h>
#include <string.h>

#define VM_COUNT 10u
#define SLOT_COUNT 4u
#define RATE_PER_S 800
#define RUN_S 30
/* Not counted: uses up the reserve that a retry budget starts with.  */
#define WARMUP_S 5
#define ANSWER_US 10000
#define FAILURE_US 1000
#define STEP_INTERVAL_US 250

/* When an attempt at a simulated worker ends, and how.  */
struct attempt_end
{
  uint64_t at_us;
  uint64_t attempt_id;
  bool fails;
};

struct simulation
{
  struct core *core;
  struct actions actions;
  GArray *attempt_ends;
  uint64_t now_us;
  uint32_t failing_count; /* Workers that fail every request.  */
  bool is_measured;
  uint64_t request_count;
  uint64_t attempt_count;
  uint64_t good_count;
};

static void
handle_action (struct simulation *sim, struct action *a)
{
  struct attempt_end e = { .at_us = sim->now_us };

  switch (a->kind)
    {
    case ACTION_START:
      e.fails = g_ascii_strtoull (a->u.start.vm + 1, NULL, 10)
                < sim->failing_count;
      e.at_us += e.fails ? FAILURE_US : ANSWER_US;
      e.attempt_id = a->u.start.attempt_id;
      g_array_append_val (sim->attempt_ends, e);
      sim->attempt_count += sim->is_measured ? 1 : 0;
      blob_unref (a->u.start.body);
      break;
    case ACTION_ANSWER:
      if (sim->is_measured && a->u.answer.http_status == 200)
        sim->good_count++;
      blob_unref (a->u.answer.body);
      break;
    case ACTION_APPEND:
      talloc_free (a->u.append);
      break;
    case ACTION_MEMBERS:
      talloc_free (a->u.members);
      break;
    default:
      break;
    }
}

static void
step (struct simulation *sim, struct event *e)
{
  uint32_t i;

  e->now_us = sim->now_us;
  randombytes_buf (&e->random, sizeof e->random);
  sim->actions.item_count = 0;
  core_step (sim->core, e, &sim->actions);
  for (i = 0; i < sim->actions.item_count; i++)
    handle_action (sim, &sim->actions.items[i]);
}

static void
step_record (struct simulation *sim, uint64_t offset, struct record *r)
{
  struct event e = { .kind = EVENT_RECORD };

  e.u.record.offset = offset;
  e.u.record.record = r;
  step (sim, &e);
  talloc_free (r);
}

static struct record *
make_tables (void)
{
  struct record *r = talloc_zero (NULL, struct record);
  struct config *f = r->u.config = talloc_zero (r, struct config);
  uint32_t i;

  r->kind = RECORD_CONFIG;
  strcpy (r->id, "tables");
  f->pool_count = f->route_count = f->team_count = 1;
  f->vm_count = VM_COUNT;
  f->pools = talloc_zero_array (f, struct pool_config, 1);
  f->routes = talloc_zero_array (f, struct route_config, 1);
  f->teams = talloc_zero_array (f, struct team_config, 1);
  f->vms = talloc_zero_array (f, struct vm_config, VM_COUNT);
  strcpy (f->pools[0].name, "p");
  strcpy (f->teams[0].name, "t");
  f->teams[0].share_weight = 1;
  f->teams[0].ceiling_count = VM_COUNT * SLOT_COUNT;
  strcpy (f->routes[0].queue, "q");
  strcpy (f->routes[0].team, "t");
  f->routes[0].open_to_all = f->routes[0].idempotent = true;
  f->routes[0].timeout_ms = 1000;
  f->routes[0].queue_limit_count = 10000;
  for (i = 0; i < VM_COUNT; i++)
    {
      snprintf (f->vms[i].name, NAME_BYTES, "w%u", i);
      f->vms[i].slot_count = SLOT_COUNT;
    }
  return r;
}

static void
join_and_configure (struct simulation *sim)
{
  struct event read = { .kind = EVENT_LOG_READ };
  struct record *r = talloc_zero (NULL, struct record);

  read.u.log_read.readable = true;
  step (sim, &read);
  r->kind = RECORD_JOIN;
  strcpy (r->id, "entry-1-0000000000000001-1");
  strcpy (r->u.join.vm, "entry-1");
  step_record (sim, 0, r);
  step_record (sim, 1, make_tables ());
}

static void
end_due_attempts (struct simulation *sim)
{
  guint i = 0;

  while (i < sim->attempt_ends->len)
    {
      struct attempt_end d
          = g_array_index (sim->attempt_ends, struct attempt_end, i);
      struct event e = { .kind = EVENT_ATTEMPT_DONE };

      if (d.at_us > sim->now_us)
        {
          i++;
          continue;
        }
      g_array_remove_index_fast (sim->attempt_ends, i);
      e.u.attempt.attempt_id = d.attempt_id;
      e.u.attempt.http_status = d.fails ? 500 : 200;
      e.u.attempt.body = blob_new (0);
      step (sim, &e);
    }
}

static void
step_request (struct simulation *sim, uint64_t id)
{
  struct event e = { .kind = EVENT_REQUEST };

  e.u.request.request_id = id;
  strcpy (e.u.request.queue, "q");
  e.u.request.body = blob_new (0);
  sim->request_count += sim->is_measured ? 1 : 0;
  step (sim, &e);
}

static void
bench_failing (uint32_t failing_count)
{
  struct core_settings s = { .vm = "entry-1",
                             .boot_id = 1,
                             .log_age_limit_ms = 5000,
                             .max_body_bytes = 1024 };
  struct simulation sim
      = { .now_us = US_PER_S, .failing_count = failing_count };
  struct event tick = { .kind = EVENT_TICK };
  struct event read = { .kind = EVENT_LOG_READ };
  uint64_t i;

  read.u.log_read.readable = true;
  read.u.log_read.next_offset = 2;
  sim.core = core_new (NULL, &s);
  sim.attempt_ends = g_array_new (FALSE, FALSE, sizeof (struct attempt_end));
  join_and_configure (&sim);
  for (i = 0; i < RUN_S * US_PER_S / STEP_INTERVAL_US; i++)
    {
      sim.now_us += STEP_INTERVAL_US;
      sim.is_measured = i >= WARMUP_S * US_PER_S / STEP_INTERVAL_US;
      end_due_attempts (&sim);
      if (i % (US_PER_S / STEP_INTERVAL_US / RATE_PER_S) == 0)
        step_request (&sim, i + 1);
      if (i % 80 == 0) /* every 20 ms */
        step (&sim, &tick);
      if (i % 4000 == 0) /* every second */
        step (&sim, &read);
    }
  printf ("{\"bench\":\"delivery\",\"failing\":%u,\"of\":%u,"
          "\"good_percent\":%.1f,\"attempts_per_request\":%.3f}\n",
          failing_count, VM_COUNT,
          100.0 * (double)sim.good_count / (double)sim.request_count,
          (double)sim.attempt_count / (double)sim.request_count);
  talloc_free (sim.core);
  talloc_free (sim.actions.items);
  g_array_free (sim.attempt_ends, TRUE);
}

int
main (void)
{
  if (sodium_init () < 0)
    return 1;
  bench_failing (0);
  bench_failing (VM_COUNT / 5);
  bench_failing (VM_COUNT);
  return 0;
}
