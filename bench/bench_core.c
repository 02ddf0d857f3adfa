/* bench_core.c -- events per second that core_step handles on one thread, and
   the time of encoding a recording.  */

#include "adapter/recording.h"
#include "adapter/trace.h"
#include "core/core.h"

#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#define REQUEST_COUNT 500000
#define INFLIGHT_COUNT 32
#define TEXT_LIMIT 65536
#define STEP_INTERVAL_US 2
#define RECORDED_STEP_COUNT 100000
#define BODY_BYTES 1000

static struct actions actions;
static uint64_t clock_us = 1000000;

static double
now_s (void)
{
  struct timespec t;

  clock_gettime (CLOCK_MONOTONIC, &t);
  return (double)t.tv_sec + (double)t.tv_nsec / 1e9;
}

/* Gives C event E and drops the actions of the step before.  */
static void
step (struct core *c, struct event *e)
{
  uint32_t i;

  clock_us += STEP_INTERVAL_US;
  e->now_us = clock_us;
  for (i = 0; i < actions.item_count; i++)
    trace_action_drop (&actions.items[i]);
  actions.item_count = 0;
  core_step (c, e, &actions);
}

static void
step_text (struct core *c, const char *text)
{
  char reason[TEXT_BYTES];
  json_t *j = json_loads (text, 0, NULL);
  struct event *e = j ? trace_event_from_json (j, reason) : NULL;

  if (e == NULL)
    {
      fprintf (stderr, "bench_core: bad event: %s\n", text);
      exit (1);
    }
  step (c, e);
  talloc_free (e);
  json_decref (j);
}

/* Writes the event of a configuration record to TEXT.  */
static void
write_tables_record (char *text, uint32_t pool_count, uint32_t vm_count,
                     uint32_t team_count)
{
  char *p = text;
  uint32_t i;
  uint32_t k;

  p += sprintf (p, "{\"event\":\"record\",\"offset\":1,\"data\":{\"id\":\"b\","
                   "\"kind\":\"config\",\"tables\":{\"base_version\":0,"
                   "\"teams\":[");
  for (i = 0; i < team_count; i++)
    p += sprintf (p, "%s{\"name\":\"t%u\",\"share\":1,\"ceiling\":100000}",
                  i ? "," : "", i);
  p += sprintf (p, "],\"pools\":[");
  for (i = 0; i < pool_count; i++)
    {
      p += sprintf (p, "%s{\"name\":\"p%u\",\"vms\":[", i ? "," : "", i);
      for (k = 0; k < vm_count; k++)
        p += sprintf (p, "%s{\"name\":\"w%u-%u\",\"address\":\"127.0.0.1:1\"}",
                      k ? "," : "", i, k);
      p += sprintf (p, "]}");
    }
  p += sprintf (p, "],\"routes\":[");
  for (i = 0; i < pool_count; i++)
    p += sprintf (p, "%s{\"queue\":\"q%u\",\"pool\":\"p%u\"}", i ? "," : "", i,
                  i);
  sprintf (p, "]}}}");
}

/* Returns the core of a cluster's only entry, which has joined and has tables
   of the sizes given and a key of the first team.  */
static struct core *
make_core (uint32_t pool_count, uint32_t vm_count, uint32_t team_count)
{
  struct core_settings s = { .vm = "entry-1",
                             .boot_id = 1,
                             .stop_limit_ms = 30000,
                             .log_age_limit_ms = 1u << 30,
                             .max_body_bytes = 8u << 20 };
  struct core *c = core_new (NULL, &s);
  char *text = malloc (TEXT_LIMIT);
  uint8_t digest[DIGEST_BYTES];
  char hex[2 * DIGEST_BYTES + 1];

  step_text (c, "{\"event\":\"log_read\",\"next\":0}");
  step_text (c, "{\"event\":\"record\",\"offset\":0,\"data\":{\"id\":"
                "\"entry-1-0000000000000001-1\",\"kind\":\"join\","
                "\"vm\":\"entry-1\"}}");
  write_tables_record (text, pool_count, vm_count, team_count);
  step_text (c, text);
  crypto_generichash (digest, sizeof digest, (const uint8_t *)"k", 1, NULL, 0);
  sodium_bin2hex (hex, sizeof hex, digest, sizeof digest);
  snprintf (text, TEXT_LIMIT,
            "{\"event\":\"record\",\"offset\":2,\"data\":{\"id\":\"k\","
            "\"kind\":\"key_grant\",\"team\":\"t0\",\"digest\":\"%s\"}}",
            hex);
  step_text (c, text);
  free (text);
  return c;
}

static void
step_request (struct core *c, struct event *e, uint64_t id, struct blob *body,
              uint32_t pool_count)
{
  struct event_request *r = &e->u.request;

  e->kind = EVENT_REQUEST;
  r->request_id = id;
  snprintf (r->queue, NAME_BYTES, "q%u", (unsigned)(id % pool_count));
  r->body = blob_ref (body);
  step (c, e);
}

/* Returns the attempt that the last step started, or 0.  */
static uint64_t
get_started_attempt (void)
{
  uint32_t i;

  for (i = 0; i < actions.item_count; i++)
    if (actions.items[i].kind == ACTION_START)
      return actions.items[i].u.start.attempt_id;
  return 0;
}

static void
step_attempt_done (struct core *c, uint64_t attempt_id, struct blob *body)
{
  struct event e = { .kind = EVENT_ATTEMPT_DONE };

  e.u.attempt.attempt_id = attempt_id;
  e.u.attempt.outcome = ATTEMPT_ANSWERED;
  e.u.attempt.http_status = 200;
  e.u.attempt.elapsed_us = 300;
  e.u.attempt.body = blob_ref (body);
  step (c, &e);
}

/* Prints the events per second with INFLIGHT_COUNT requests in flight.  */
static void
bench (uint32_t pool_count, uint32_t vm_count, uint32_t team_count)
{
  struct core *c = make_core (pool_count, vm_count, team_count);
  struct blob *body = blob_copy ("strap", 5);
  struct event request = { 0 };
  uint64_t inflight[INFLIGHT_COUNT] = { 0 };
  uint64_t event_count = 0;
  uint64_t not_started_count = 0;
  double start_s;
  double elapsed_s;
  uint64_t id;

  request.u.request.has_key = true;
  crypto_generichash (request.u.request.key_digest, DIGEST_BYTES,
                      (const uint8_t *)"k", 1, NULL, 0);
  start_s = now_s ();
  for (id = 1; id <= REQUEST_COUNT; id++)
    {
      uint64_t *slot = &inflight[id % INFLIGHT_COUNT];

      if (*slot != 0)
        {
          step_attempt_done (c, *slot, body);
          event_count++;
        }
      step_request (c, &request, id, body, pool_count);
      event_count++;
      *slot = get_started_attempt ();
      not_started_count += *slot == 0;
    }
  elapsed_s = now_s () - start_s;
  printf ("{\"bench\":\"core\",\"pools\":%u,\"vms\":%u,\"teams\":%u,"
          "\"events\":%llu,\"not_started\":%llu,\"events_per_s\":%.0f,"
          "\"aim_events_per_s\":300000}\n",
          pool_count, pool_count * vm_count, team_count,
          (unsigned long long)event_count,
          (unsigned long long)not_started_count,
          (double)event_count / elapsed_s);
  blob_unref (body);
  talloc_free (c);
}

/* Prints the time that the decide thread takes to encode a step's lines.  */
static void
bench_recording (void)
{
  struct event e = { .kind = EVENT_REQUEST, .now_us = 1847162608 };
  struct action a = { .kind = ACTION_START };
  struct blob *body = blob_new (BODY_BYTES);
  double start_s = now_s ();
  uint32_t i;

  memset (body->data, 'x', BODY_BYTES);
  text_copy (e.u.request.queue, NAME_BYTES, "tickets");
  e.u.request.body = body;
  e.u.request.has_key = true;
  text_copy (a.u.start.vm, NAME_BYTES, "w1");
  a.u.start.body = body;
  for (i = 0; i < RECORDED_STEP_COUNT; i++)
    {
      free (recording_event_line (&e));
      free (recording_action_line (&a));
    }
  printf ("{\"bench\":\"recording\",\"steps\":%d,\"body_bytes\":%d,"
          "\"us_per_step\":%.2f}\n",
          RECORDED_STEP_COUNT, BODY_BYTES,
          (now_s () - start_s) * 1e6 / RECORDED_STEP_COUNT);
  blob_unref (body);
}

int
main (void)
{
  if (sodium_init () < 0)
    return 1;
  bench (2, 4, 2);
  bench (5, 10, 6);
  bench (29, 21, 46);
  bench_recording ();
  return 0;
}
