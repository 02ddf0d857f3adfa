/* site_order_client.c -- the duty that sends orders to runners and to the
   cloud.  */

#include "adapter/site_order_client.h"

#include "adapter/cell_post.h"
#include "adapter/http_client.h"
#include "adapter/order_codec.h"
#include "adapter/relay.h"
#include "adapter/relay_codec.h"
#include "adapter/runner_calls.h"
#include "adapter/timer.h"
#include "platform/cloud.h"
#include "platform/runner.h"

#include <stdio.h>
#include <string.h>

#define RING_CAPACITY_COUNT 16384
/** Most connections to one runner: one for the poll, whose answer the runner
    holds back, and the others for orders at the same time.  */
#define RUNNER_CONNECTION_LIMIT_COUNT 4
/** Most connections to the cloud: one for each order that the cell leaves
    unanswered, so that none waits here, and one for the list of VMs.  */
#define CLOUD_CONNECTION_LIMIT_COUNT (VM_ORDER_LIMIT_COUNT + 1)
#define CONNECT_TIMEOUT_MS 400
#define CLOUD_TIMEOUT_MS 1500
#define PAGE_TOKEN_BYTES 120
#define HEADER_BYTES 120
/** Results of delegated orders that become known within this time, or at most
    so many, share a message to the owner.  */
#define RESULT_DELAY_MS 2
#define RESULT_LIMIT_COUNT 64

struct site_order_client
{
  struct duty *duty;
  struct runner_calls *runners;
  struct http_client *cloud_http;
  struct ring *cell;
  struct ring *relay; /**< Takes the results of delegated orders.  */
  struct line_log *log;
  uint64_t newest_token;   /**< Highest token of an order seen.  */
  msgpack_sbuffer results; /**< Results of delegated orders to be sent.  */
  uint32_t result_count;
  char cloud[ADDRESS_BYTES];
  char holder[NAME_BYTES]; /**< This member, named as holder in VM orders.  */
};

/* An action in progress: an order to a runner or to the cloud, or a listing of
   the VMs, whose pages are requested one after the other.  */
struct open_call
{
  struct site_order_client *client;
  struct cell_action action;
  struct cell_event *vm_list; /**< CELL_DO_LIST_VMS: event with the rows read
                                 so far.  */
};

static int
open_call_free (struct open_call *x)
{
  if (x->action.kind == CELL_DO_ORDER)
    blob_unref (x->action.u.order.payload);
  return 0;
}

/* Sends the results collected so far to the owner.  */
static void
send_results (struct site_order_client *c)
{
  struct relay_command *o = talloc_zero (NULL, struct relay_command);

  o->kind = RELAY_SEND_TO_OWNER;
  o->body = relay_encode_results (c->results.data, (uint32_t)c->results.size,
                                  c->result_count);
  msgpack_sbuffer_clear (&c->results);
  c->result_count = 0;
  if (ring_push (c->relay, o))
    return;
  line_log_write (c->log, "ring_full", 0, "\"ring\":\"relay\"");
  blob_unref (o->body);
  talloc_free (o);
}

static void
on_result_timer (struct tevent_context *loop, struct tevent_timer *te,
                 struct timeval at, void *state)
{
  struct site_order_client *c = state;

  (void)loop;
  (void)te;
  (void)at;
  if (c->result_count > 0)
    send_results (c);
}

/* Adds R to the results for the owner.  */
static void
add_result (struct site_order_client *c, const struct runner_result *r)
{
  msgpack_packer p;

  msgpack_packer_init (&p, &c->results, msgpack_sbuffer_write);
  order_result_pack (&p, r);
  c->result_count++;
  if (c->result_count >= RESULT_LIMIT_COUNT)
    send_results (c);
  else if (c->result_count == 1)
    timer_add (c->duty->loop, c->duty->loop, RESULT_DELAY_MS * US_PER_MS,
               on_result_timer, c);
}

/* Passes the result in E of the order O to the cell that gave it.  */
static void
report_result (struct site_order_client *c, const struct runner_order *o,
               struct cell_event *e)
{
  struct runner_result *r = &e->u.runner_result;

  r->order_id = o->order_id;
  r->kind = o->kind;
  text_copy (r->runner, NAME_BYTES, o->runner);
  if (!o->delegated)
    {
      cell_post (c->cell, e);
      return;
    }
  r->token = o->token;
  add_result (c, r);
  talloc_free (e);
}

static void
on_runner_result (void *state, struct cell_event *e)
{
  struct open_call *x = state;

  report_result (x->client, &x->action.u.order, e);
  talloc_free (x);
}

/* Returns true if A was delayed, maybe by a pause of this entry, for so long
   that its owner may have lost the cell or given A up.  */
static bool
is_too_late (const struct cell_action *a)
{
  return a->send_until_us != 0 && now_us () > a->send_until_us;
}

/* Returns ORDER_DONE if the order of A may be sent, or the outcome of an order
   that is not: a later owner is known, or it is too late.  */
static enum order_outcome
check_order (struct site_order_client *c, const struct cell_action *a)
{
  if (a->u.order.token < c->newest_token)
    return ORDER_FENCED;
  c->newest_token = a->u.order.token;
  return is_too_late (a) ? ORDER_BUSY : ORDER_DONE;
}

static enum order_outcome
check_open_order (void *state)
{
  struct open_call *x = state;

  return check_order (x->client, &x->action);
}

static void
send_runner_order (struct open_call *x)
{
  struct runner_call call = { .order = &x->action.u.order,
                              .check = check_open_order,
                              .on_done = on_runner_result,
                              .state = x };

  runner_calls_send (x->client->runners, &call);
}

static void
on_vm_answer (void *state, const struct http_result *r)
{
  struct open_call *x = state;
  struct cell_event *e = cell_event_new (CELL_VM_RESULT);

  e->u.vm_result.order_id = x->action.u.vm_order.order_id;
  text_copy (e->u.vm_result.vm, NAME_BYTES, x->action.u.vm_order.vm);
  e->u.vm_result.outcome = platform_vm_order_decode (
      r->status, r->sent, r->body ? r->body->data : NULL,
      r->body ? r->body->size_bytes : 0);
  cell_post (x->client->cell, e);
  talloc_free (x);
}

static void
send_vm_order (struct open_call *x)
{
  char url[PLATFORM_CLOUD_URL_BYTES];
  char body[PLATFORM_CLOUD_BODY_BYTES];
  char holder[HEADER_BYTES];
  char token[HEADER_BYTES];
  const char *lines[]
      = { "Content-Type: application/json", holder, token, NULL };
  struct http_call call = { .method = "POST",
                            .url = url,
                            .header_lines = lines,
                            .timeout_ms = CLOUD_TIMEOUT_MS,
                            .connect_timeout_ms = CONNECT_TIMEOUT_MS,
                            .send_once = true,
                            .on_done = on_vm_answer,
                            .state = x };

  platform_vm_order_encode (url, body, x->client->cloud,
                            x->action.u.vm_order.is_move,
                            x->action.u.vm_order.vm, x->action.u.vm_order.pool,
                            x->action.u.vm_order.wave);
  snprintf (holder, sizeof holder, "%s: %s", PLATFORM_HOLDER_HEADER,
            x->client->holder);
  snprintf (token, sizeof token, "%s: %llu", PLATFORM_TOKEN_HEADER,
            (unsigned long long)x->action.u.vm_order.token);
  call.body = blob_copy (body, (uint32_t)strlen (body));
  http_client_start (x->client->cloud_http, &call);
  blob_unref (call.body);
}

/* Ends X, whose order is too late to be sent.  */
static void
refuse_vm_order (struct open_call *x)
{
  struct cell_event *e = cell_event_new (CELL_VM_RESULT);

  e->u.vm_result.order_id = x->action.u.vm_order.order_id;
  text_copy (e->u.vm_result.vm, NAME_BYTES, x->action.u.vm_order.vm);
  e->u.vm_result.outcome = ORDER_UNAVAILABLE;
  line_log_write (x->client->log, "vm_order_too_late", 0, "");
  cell_post (x->client->cell, e);
  talloc_free (x);
}

static void request_vm_page (struct open_call *x, const char *page);

static void
on_vm_page (void *state, const struct http_result *r)
{
  struct open_call *x = state;
  char page[PAGE_TOKEN_BYTES];
  bool valid = platform_vms_decode (
      x->vm_list, r->status, r->body ? r->body->data : NULL,
      r->body ? r->body->size_bytes : 0, &x->vm_list->u.vms.rows,
      &x->vm_list->u.vms.row_count, page, sizeof page);

  if (valid && page[0] != '\0')
    {
      request_vm_page (x, page);
      return;
    }
  x->vm_list->u.vms.answered = valid;
  cell_post (x->client->cell, talloc_steal (NULL, x->vm_list));
  talloc_free (x);
}

static void
request_vm_page (struct open_call *x, const char *page)
{
  char url[PLATFORM_CLOUD_URL_BYTES];
  struct http_call call = { .method = "GET",
                            .url = url,
                            .timeout_ms = CLOUD_TIMEOUT_MS,
                            .connect_timeout_ms = CONNECT_TIMEOUT_MS,
                            .on_done = on_vm_page,
                            .state = x };

  platform_vms_url (url, x->client->cloud, page);
  http_client_start (x->client->cloud_http, &call);
}

static void
on_action (void *state, void *item)
{
  struct site_order_client *c = state;
  struct cell_action *a = item;
  struct open_call *x = talloc_zero (c, struct open_call);

  x->client = c;
  x->action = *a;
  talloc_set_destructor (x, open_call_free);
  talloc_free (a);
  switch (x->action.kind)
    {
    case CELL_DO_ORDER:
      send_runner_order (x);
      break;
    case CELL_DO_ORDER_VM:
      if (is_too_late (&x->action))
        refuse_vm_order (x);
      else
        send_vm_order (x);
      break;
    default:
      x->vm_list = talloc_steal (x, cell_event_new (CELL_VMS));
      request_vm_page (x, "");
      break;
    }
}

struct site_order_client *
site_order_client_new (const struct site_settings *s, struct ring *cell,
                       struct line_log *log)
{
  struct site_order_client *c = talloc_zero (NULL, struct site_order_client);

  c->cell = cell;
  c->log = log;
  msgpack_sbuffer_init (&c->results);
  text_copy (c->cloud, ADDRESS_BYTES, s->cloud_address);
  text_copy (c->holder, NAME_BYTES, s->cell.member);
  c->duty = duty_new ("back", RING_CAPACITY_COUNT, on_action, c);
  if (c->duty == NULL)
    {
      talloc_free (c);
      return NULL;
    }
  c->runners
      = runner_calls_new (c, c->duty->loop, RUNNER_CONNECTION_LIMIT_COUNT);
  c->cloud_http
      = http_client_new (c, c->duty->loop, CLOUD_CONNECTION_LIMIT_COUNT);
  return c;
}

void
site_order_client_set_relay (struct site_order_client *c, struct ring *relay)
{
  c->relay = relay;
}

struct duty *
site_order_client_duty (struct site_order_client *c)
{
  return c->duty;
}

void
site_order_client_free (struct site_order_client *c)
{
  struct cell_action *a;

  if (c == NULL)
    return;
  while (ring_pop (c->duty->inbound, (void **)&a, 1) > 0)
    {
      if (a->kind == CELL_DO_ORDER)
        blob_unref (a->u.order.payload);
      talloc_free (a);
    }
  msgpack_sbuffer_destroy (&c->results);
  TALLOC_FREE (c->runners);
  TALLOC_FREE (c->cloud_http);
  duty_free (c->duty);
  talloc_free (c);
}
