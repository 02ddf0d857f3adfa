/* fleet_client.c -- polls the fleet list and performs operations on VMs.

   Only what changed since the last version is read, since a list of 600 VMs
   is some 30 KB.  An operation is read back by its id before it is asked for,
   so one whose answer was lost is not asked for twice.  */

#include "adapter/fleet_client.h"

#include "adapter/fleet_page.h"
#include "adapter/http_client.h"
#include "port/action.h"

#include <inttypes.h>
#include <sodium.h>
#include <stdio.h>
#include <string.h>

#define RING_COUNT 1024
#define POLL_MS 1000
#define CALL_LIMIT_MS 2000
#define CONNECT_LIMIT_MS 1000
/** Pages of changes between two readings of the whole list.  */
#define WHOLE_PERIOD_COUNT 60
#define URL_BYTES 256

struct fleet_client
{
  struct duty *duty;
  struct http_client *http;
  struct ring *decide;
  char address[ADDRESS_BYTES];
  uint64_t version;    /**< Version of the list read last; 0: none.  */
  uint32_t page_count; /**< Pages since the last whole list.  */
};

/* One operation in progress.  */
struct operation
{
  struct fleet_client *fleet;
  struct action_fleet wanted;
  bool asked; /**< The operation itself is out, not its reading back.  */
};

static void start_poll (struct fleet_client *f);

static void
on_poll_again (struct tevent_context *loop, struct tevent_timer *te,
               struct timeval at, void *state)
{
  (void)loop;
  (void)te;
  (void)at;
  start_poll (state);
}

/* Waits POLL_MS with jitter, so that members do not poll in step.  */
static void
poll_later (struct fleet_client *f)
{
  uint32_t us
      = (POLL_MS - POLL_MS / 10 + randombytes_uniform (POLL_MS / 5)) * 1000;

  tevent_add_timer (f->duty->loop, f->duty->loop,
                    tevent_timeval_current_ofs (us / 1000000, us % 1000000),
                    on_poll_again, f);
}

/* Hands E to the decisions; the next poll or retry makes up for a full ring.
 */
static bool
hand_over (struct fleet_client *f, struct event *e)
{
  if (ring_push (f->decide, e))
    return true;
  talloc_free (e);
  return false;
}

static bool
take_page (struct fleet_client *f, const struct blob *body)
{
  json_t *page
      = json_loadb ((const char *)body->data, body->size_bytes, 0, NULL);
  struct event *e = talloc_zero (NULL, struct event);
  struct findings *findings = findings_new (e, "fleet", NULL);
  struct json_reader p;
  uint64_t version
      = (uint64_t)json_integer_value (json_object_get (page, "version"));
  bool whole = false;
  bool taken = false;

  e->kind = EVENT_FLEET_LIST;
  if (json_reader_open (&p, findings, page, "")
      && fleet_page_from_json (&p, e, &e->u.fleet))
    {
      whole = e->u.fleet.complete;
      taken = hand_over (f, e);
    }
  else
    talloc_free (e);
  json_decref (page);
  if (taken)
    {
      f->version = version;
      f->page_count = whole ? 0 : f->page_count + 1;
    }
  return taken;
}

static void
on_poll_done (void *state, const struct http_result *r)
{
  struct fleet_client *f = state;

  if (!r->answered || r->status != 200 || !take_page (f, r->body))
    f->version = 0;
  poll_later (f);
}

static void
start_poll (struct fleet_client *f)
{
  char url[URL_BYTES];
  struct http_call call = {
    .method = "GET",
    .url = url,
    .timeout_ms = CALL_LIMIT_MS,
    .connect_timeout_ms = CONNECT_LIMIT_MS,
    .on_done = on_poll_done,
    .state = f,
  };

  if (f->page_count >= WHOLE_PERIOD_COUNT)
    f->version = 0;
  snprintf (url, sizeof url, "http://%s/v1/vms?since=%" PRIu64, f->address,
            f->version);
  if (http_client_start (f->http, &call) == NULL)
    poll_later (f);
}

static enum operation_state
read_state (const struct http_result *r)
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

static bool call_operation (struct operation *o);

static void
on_operation_done (void *state, const struct http_result *r)
{
  struct operation *o = state;
  struct event *e;

  if (!o->asked && r->answered && r->status == 404)
    {
      o->asked = true;
      if (!call_operation (o))
        talloc_free (o);
      return;
    }
  e = talloc_zero (NULL, struct event);
  e->kind = EVENT_OPERATION;
  e->u.operation.state = read_state (r);
  text_copy (e->u.operation.operation_id, ID_BYTES, o->wanted.operation_id);
  text_copy (e->u.operation.vm, NAME_BYTES, o->wanted.vm);
  hand_over (o->fleet, e);
  talloc_free (o);
}

static bool
call_operation (struct operation *o)
{
  char url[URL_BYTES];
  struct http_call call = {
    .method = o->asked ? "POST" : "GET",
    .url = url,
    .timeout_ms = CALL_LIMIT_MS,
    .connect_timeout_ms = CONNECT_LIMIT_MS,
    .on_done = on_operation_done,
    .state = o,
  };

  if (o->asked)
    snprintf (url, sizeof url, "http://%s/v1/vms/%s/%s?id=%s",
              o->fleet->address, o->wanted.vm,
              fleet_operation_name (o->wanted.operation),
              o->wanted.operation_id);
  else
    snprintf (url, sizeof url, "http://%s/v1/ops/%s", o->fleet->address,
              o->wanted.operation_id);
  return http_client_start (o->fleet->http, &call) != NULL;
}

static void
on_item (void *state, void *item)
{
  struct fleet_client *f = state;
  struct action *a = item;
  struct operation *o = talloc_zero (f, struct operation);

  o->fleet = f;
  o->wanted = a->u.fleet;
  talloc_free (a);
  if (!call_operation (o))
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
  f->duty = duty_new ("fleet", RING_COUNT, on_item, f);
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
