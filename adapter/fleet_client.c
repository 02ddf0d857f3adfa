/* fleet_client.c -- polls the fleet list and requests operations on VMs.

   A poll reads only the VMs that changed since the last version, as the whole
   list is about 30 KB for 600 VMs.  An operation is looked up by its id before
   it is requested, so one whose answer was lost is not requested twice.  */

#include "adapter/fleet_client.h"

#include "adapter/fleet_page.h"
#include "adapter/http_client.h"
#include "adapter/timer.h"
#include "port/action.h"

#include <inttypes.h>
#include <sodium.h>
#include <stdio.h>
#include <string.h>

#define RING_CAPACITY_COUNT 1024
#define POLL_MS 1000
#define CALL_TIMEOUT_MS 2000
#define CONNECT_TIMEOUT_MS 1000
/** Pages of changes between two reads of the whole list.  */
#define FULL_READ_PERIOD_COUNT 60
#define URL_BYTES 256

struct fleet_client
{
  struct duty *duty;
  struct http_client *http;
  struct ring *decide;
  char address[ADDRESS_BYTES];
  uint64_t version;    /**< Version of the last page; 0: the next poll asks for
                            the whole list.  */
  uint32_t page_count; /**< Pages of changes read since the whole list.  */
};

/** An operation to request, unless a look-up by its id finds it.  */
struct operation
{
  struct fleet_client *fleet;
  struct action_fleet_operation action;
  bool requested; /**< The look-up did not find it; its request was sent.  */
};

static void start_poll (struct fleet_client *f);

static void
on_poll_timer (struct tevent_context *loop, struct tevent_timer *te,
               struct timeval at, void *state)
{
  (void)loop;
  (void)te;
  (void)at;
  start_poll (state);
}

/* Waits POLL_MS, give or take a tenth, so that members do not poll at the same
   time.  */
static void
schedule_poll (struct fleet_client *f)
{
  uint32_t us
      = (POLL_MS - POLL_MS / 10 + randombytes_uniform (POLL_MS / 5)) * 1000;

  timer_add (f->duty->loop, f->duty->loop, us, on_poll_timer, f);
}

/* Pushes E to the decide ring or drops it when that is full: the next poll, or
   the core's retry of the operation, makes up for it.  */
static bool
push_event (struct fleet_client *f, struct event *e)
{
  if (ring_push (f->decide, e))
    return true;
  talloc_free (e);
  return false;
}

/* Passes on a page; returns false if it is malformed or dropped, and then the
   next poll asks for the whole list.  */
static bool
push_page (struct fleet_client *f, const struct blob *body)
{
  json_t *page
      = json_loadb ((const char *)body->data, body->size_bytes, 0, NULL);
  struct event *e = talloc_zero (NULL, struct event);
  struct findings *findings = findings_new (e, "fleet", NULL);
  struct json_reader p;
  uint64_t version
      = (uint64_t)json_integer_value (json_object_get (page, "version"));
  bool whole = false;
  bool pushed = false;

  e->kind = EVENT_FLEET_LIST;
  if (json_reader_open (&p, findings, page, "")
      && fleet_page_from_json (&p, e, &e->u.fleet_list))
    {
      whole = e->u.fleet_list.complete;
      pushed = push_event (f, e);
    }
  else
    talloc_free (e);
  json_decref (page);
  if (pushed)
    {
      f->version = version;
      f->page_count = whole ? 0 : f->page_count + 1;
    }
  return pushed;
}

static void
on_poll_done (void *state, const struct http_result *r)
{
  struct fleet_client *f = state;

  if (!r->answered || r->status != 200 || !push_page (f, r->body))
    f->version = 0;
  schedule_poll (f);
}

static void
start_poll (struct fleet_client *f)
{
  char url[URL_BYTES];
  struct http_call call = {
    .method = "GET",
    .url = url,
    .timeout_ms = CALL_TIMEOUT_MS,
    .connect_timeout_ms = CONNECT_TIMEOUT_MS,
    .on_done = on_poll_done,
    .state = f,
  };

  if (f->page_count >= FULL_READ_PERIOD_COUNT)
    f->version = 0;
  snprintf (url, sizeof url, "http://%s/v1/vms?since=%" PRIu64, f->address,
            f->version);
  if (http_client_start (f->http, &call) == NULL)
    schedule_poll (f);
}

static enum operation_state
parse_operation_state (const struct http_result *r)
{
  json_t *j;
  const char *text;
  enum operation_state s = OPERATION_UNKNOWN;

  if (!r->answered)
    return OPERATION_UNKNOWN;
  if (r->status >= 400 && r->status < 500)
    return OPERATION_REFUSED;
  if (r->status != 200)
    return OPERATION_UNKNOWN;
  j = json_loadb ((const char *)r->body->data, r->body->size_bytes, 0, NULL);
  text = json_string_value (json_object_get (j, "operation"));
  if (text != NULL && strcmp (text, "done") == 0)
    s = OPERATION_DONE;
  else if (text != NULL && strcmp (text, "running") == 0)
    s = OPERATION_RUNNING;
  json_decref (j);
  return s;
}

/* Looks O up or requests it; returns false if no call could be started.  */
static bool send_operation (struct operation *o);

static void
on_operation_done (void *state, const struct http_result *r)
{
  struct operation *o = state;
  struct event *e;

  if (!o->requested && r->answered && r->status == 404)
    {
      o->requested = true;
      if (!send_operation (o))
        talloc_free (o);
      return;
    }
  e = talloc_zero (NULL, struct event);
  e->kind = EVENT_OPERATION;
  e->u.operation.state = parse_operation_state (r);
  text_copy (e->u.operation.operation_id, ID_BYTES, o->action.operation_id);
  text_copy (e->u.operation.vm, NAME_BYTES, o->action.vm);
  push_event (o->fleet, e);
  talloc_free (o);
}

static bool
send_operation (struct operation *o)
{
  char url[URL_BYTES];
  struct http_call call = {
    .method = o->requested ? "POST" : "GET",
    .url = url,
    .timeout_ms = CALL_TIMEOUT_MS,
    .connect_timeout_ms = CONNECT_TIMEOUT_MS,
    .on_done = on_operation_done,
    .state = o,
  };

  if (o->requested)
    snprintf (url, sizeof url, "http://%s/v1/vms/%s/%s?id=%s",
              o->fleet->address, o->action.vm,
              fleet_operation_name (o->action.operation),
              o->action.operation_id);
  else
    snprintf (url, sizeof url, "http://%s/v1/ops/%s", o->fleet->address,
              o->action.operation_id);
  return http_client_start (o->fleet->http, &call) != NULL;
}

static void
on_action (void *state, void *item)
{
  struct fleet_client *f = state;
  struct action *a = item;
  struct operation *o = talloc_zero (f, struct operation);

  o->fleet = f;
  o->action = a->u.fleet_operation;
  talloc_free (a);
  if (!send_operation (o))
    talloc_free (o);
}

struct fleet_client *
fleet_client_new (const char *address, struct ring *decide)
{
  struct fleet_client *f = talloc_zero (NULL, struct fleet_client);

  if (f == NULL)
    return NULL;
  text_copy (f->address, ADDRESS_BYTES, address);
  f->decide = decide;
  f->duty = duty_new ("fleet", RING_CAPACITY_COUNT, on_action, f);
  if (f->duty == NULL)
    {
      talloc_free (f);
      return NULL;
    }
  f->http = http_client_new (f->duty->loop, f->duty->loop, 4);
  start_poll (f);
  return f;
}

struct duty *
fleet_client_duty (struct fleet_client *f)
{
  return f->duty;
}

void
fleet_client_free (struct fleet_client *f)
{
  struct action *a;

  if (f == NULL)
    return;
  while (ring_pop (f->duty->inbound, (void **)&a, 1) > 0)
    talloc_free (a);
  talloc_free (f->http);
  duty_free (f->duty);
  talloc_free (f);
}
