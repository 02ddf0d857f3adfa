/* bench_delivery.c -- retries and setting aside in virtual time.

   The core alone, driven by a queue of ends: ten workers of four slots, some
   of which fail everything in 1 ms, the others answer in 10 ms; 800 requests a
   second for 30 s, each idempotent.  Prints the share of requests that got a
   good answer and the attempts for each request.  */

#include "core/core.h"

#include <glib.h>
#include <sodium.h>
#include <stdio.h>
#include <string.h>

#define VM_COUNT 10u
#define SLOT_COUNT 4u
#define RATE_PER_S 800
#define TIME_S 30
#define SKIP_S 5 /* Not counted: the first reserve of retries.  */
#define GOOD_US 10000
#define BAD_US 1000
#define STEP_US 250

struct end
{
  uint64_t at_us;
  uint64_t attempt_id;
  bool fails;
};

struct run
{
  struct core *core;
  struct actions actions;
  GArray *ends;
  uint64_t now_us;
  uint32_t bad_count; /* Workers that fail everything.  */
  bool counting;
  uint64_t requests;
  uint64_t attempts;
  uint64_t good;
};

static void
take_action (struct run *x, struct action *a)
{
  struct end e = { .at_us = x->now_us };

  switch (a->kind)
    {
    case ACTION_START:
      e.fails = g_ascii_strtoull (a->u.start.vm + 1, NULL, 10) < x->bad_count;
      e.at_us += e.fails ? BAD_US : GOOD_US;
      e.attempt_id = a->u.start.attempt_id;
      g_array_append_val (x->ends, e);
      x->attempts += x->counting ? 1 : 0;
      blob_unref (a->u.start.body);
      break;
    case ACTION_ANSWER:
      if (x->counting && a->u.answer.http_status == 200)
        x->good++;
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
step (struct run *x, struct event *e)
{
  uint32_t i;

  e->now_us = x->now_us;
  randombytes_buf (&e->random, sizeof e->random);
  x->actions.item_count = 0;
  core_step (x->core, e, &x->actions);
  for (i = 0; i < x->actions.item_count; i++)
    take_action (x, &x->actions.items[i]);
}

static void
apply (struct run *x, uint64_t offset, struct record *r)
{
  struct event e = { .kind = EVENT_RECORD };

  e.u.record.offset = offset;
  e.u.record.record = r;
  step (x, &e);
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
join (struct run *x)
{
  struct event read = { .kind = EVENT_LOG_READ };
  struct record *r = talloc_zero (NULL, struct record);

  read.u.log_read.readable = true;
  step (x, &read);
  r->kind = RECORD_JOIN;
  strcpy (r->id, "entry-1-0000000000000001-1");
  strcpy (r->u.join.vm, "entry-1");
  apply (x, 0, r);
  apply (x, 1, make_tables ());
}

static void
end_due (struct run *x)
{
  guint i = 0;

  while (i < x->ends->len)
    {
      struct end d = g_array_index (x->ends, struct end, i);
      struct event e = { .kind = EVENT_ATTEMPT_DONE };

      if (d.at_us > x->now_us)
        {
          i++;
          continue;
        }
      g_array_remove_index_fast (x->ends, i);
      e.u.attempt.attempt_id = d.attempt_id;
      e.u.attempt.http_status = d.fails ? 500 : 200;
      e.u.attempt.body = blob_new (0);
      step (x, &e);
    }
}

static void
arrive (struct run *x, uint64_t id)
{
  struct event e = { .kind = EVENT_REQUEST };

  e.u.request.request_id = id;
  strcpy (e.u.request.queue, "q");
  e.u.request.body = blob_new (0);
  x->requests += x->counting ? 1 : 0;
  step (x, &e);
}

static void
run (uint32_t bad_count)
{
  struct core_settings s = { .vm = "entry-1",
                             .boot_id = 1,
                             .log_age_limit_ms = 5000,
                             .max_body_bytes = 1024 };
  struct run x = { .now_us = US_PER_S, .bad_count = bad_count };
  struct event tick = { .kind = EVENT_TICK };
  struct event read = { .kind = EVENT_LOG_READ };
  uint64_t i;

  read.u.log_read.readable = true;
  read.u.log_read.next_offset = 2;
  x.core = core_new (NULL, &s);
  x.ends = g_array_new (FALSE, FALSE, sizeof (struct end));
  join (&x);
  for (i = 0; i < TIME_S * US_PER_S / STEP_US; i++)
    {
      x.now_us += STEP_US;
      x.counting = i >= SKIP_S * US_PER_S / STEP_US;
      end_due (&x);
      if (i % (US_PER_S / STEP_US / RATE_PER_S) == 0)
        arrive (&x, i + 1);
      if (i % 80 == 0)
        step (&x, &tick);
      if (i % 4000 == 0)
        step (&x, &read);
    }
  printf ("{\"bench\":\"delivery\",\"failing\":%u,\"of\":%u,"
          "\"good_percent\":%.1f,\"attempts_per_request\":%.3f}\n",
          bad_count, VM_COUNT, 100.0 * (double)x.good / (double)x.requests,
          (double)x.attempts / (double)x.requests);
  talloc_free (x.core);
  talloc_free (x.actions.items);
  g_array_free (x.ends, TRUE);
}

int
main (void)
{
  if (sodium_init () < 0)
    return 1;
  run (0);
  run (VM_COUNT / 5);
  run (VM_COUNT);
  return 0;
}
