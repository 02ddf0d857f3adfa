/* site_order_client.c -- the duty that sends orders to runners and to the
   cloud.  */

#include "adapter/site_order_client.h"

#include "adapter/cell_post.h"
#include "adapter/http_client.h"
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

struct site_order_client
{
  struct duty *duty;
  struct http_client *runner_http; /**< For orders to runners.  */
  struct http_client *cloud_http;
  struct ring *cell;
  struct line_log *log;
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

static void
on_runner_answer (void *state, const struct http_result *r)
{
  struct open_call *x = state;
  const struct runner_order *o = &x->action.u.order;
  struct cell_event *e = cell_event_new (CELL_RUNNER_RESULT);

  platform_runner_order_decode (
      e, o->kind, r->status, r->sent, r->body ? r->body->data : NULL,
      r->body ? r->body->size_bytes : 0, &e->u.runner_result);
  e->u.runner_result.order_id = o->order_id;
  text_copy (e->u.runner_result.runner, NAME_BYTES, o->runner);
  cell_post (x->client->cell, e);
  talloc_free (x);
}

static void
send_runner_order (struct open_call *x)
{
  const struct runner_order *o = &x->action.u.order;
  char url[PLATFORM_RUNNER_URL_BYTES];
  char target[HEADER_BYTES];
  const char *lines[] = { "Content-Type: application/json", target, NULL };
  struct http_call call = { .method = "POST",
                            .url = url,
                            .header_lines = lines,
                            .timeout_ms = o->timeout_ms,
                            .connect_timeout_ms = CONNECT_TIMEOUT_MS,
                            .send_once = true,
                            .fresh_connection = o->new_connection,
                            .on_done = on_runner_answer,
                            .state = x };

  platform_runner_order_url (url, o);
  snprintf (target, sizeof target, "%s: %s", PLATFORM_TARGET_HEADER,
            o->runner);
  call.body = platform_runner_order_body (o);
  http_client_start (x->client->runner_http, &call);
  blob_unref (call.body);
}

static void
on_vm_answer (void *state, const struct http_result *r)
{
  struct open_call *x = state;
  struct cell_event *e = cell_event_new (CELL_VM_RESULT);

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
  text_copy (c->cloud, ADDRESS_BYTES, s->cloud_address);
  text_copy (c->holder, NAME_BYTES, s->cell.member);
  c->duty = duty_new ("back", RING_CAPACITY_COUNT, on_action, c);
  if (c->duty == NULL)
    {
      talloc_free (c);
      return NULL;
    }
  c->runner_http
      = http_client_new (c, c->duty->loop, RUNNER_CONNECTION_LIMIT_COUNT);
  c->cloud_http
      = http_client_new (c, c->duty->loop, CLOUD_CONNECTION_LIMIT_COUNT);
  return c;
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
  TALLOC_FREE (c->runner_http);
  TALLOC_FREE (c->cloud_http);
  duty_free (c->duty);
  talloc_free (c);
}
