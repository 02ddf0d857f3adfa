/* site_order_client.c -- the duty that carries orders to runners and the
 * cloud.  */

#include "adapter/site_order_client.h"

#include "adapter/cell_post.h"
#include "adapter/http_client.h"
#include "platform/cloud.h"
#include "platform/runner.h"

#include <stdio.h>
#include <string.h>

#define RING_COUNT 16384
/** To one runner: its waiting hold, and orders beside it.  */
#define HOST_CONNECTION_COUNT 4
#define CONNECT_MS 400
#define CLOUD_MS 1500
#define PAGE_BYTES 120
#define HEADER_BYTES 120

struct site_order_client
{
  struct duty *duty;
  struct http_client *http;
  struct ring *cell;
  struct line_log *log;
  char cloud[ADDRESS_BYTES];
  char holder[NAME_BYTES];
};

/* An order to a runner, or one to the cloud.  */
struct back_call
{
  struct site_order_client *back;
  struct cell_action action;
  struct cell_event *list; /**< CELL_VMS being read.  */
};

static int
call_free (struct back_call *x)
{
  if (x->action.kind == CELL_DO_ORDER)
    blob_unref (x->action.u.order.payload);
  return 0;
}

static void
on_order (void *state, const struct http_result *r)
{
  struct back_call *x = state;
  const struct runner_order *o = &x->action.u.order;
  struct cell_event *e = cell_event_new (CELL_RUNNER_RESULT);

  platform_runner_order_decode (
      e, o->kind, r->status, r->sent, r->body ? r->body->data : NULL,
      r->body ? r->body->size_bytes : 0, &e->u.runner_result);
  e->u.runner_result.order_id = o->order_id;
  text_copy (e->u.runner_result.runner, NAME_BYTES, o->runner);
  cell_post (x->back->cell, e);
  talloc_free (x);
}

static void
send_order (struct back_call *x)
{
  const struct runner_order *o = &x->action.u.order;
  char url[PLATFORM_RUNNER_URL_BYTES];
  char boot[HEADER_BYTES];
  const char *lines[] = { "Content-Type: application/json", boot, NULL };
  struct http_call call = { .method = "POST",
                            .url = url,
                            .header_lines = lines,
                            .timeout_ms = o->timeout_ms,
                            .connect_timeout_ms = CONNECT_MS,
                            .send_once = true,
                            .fresh_connection = o->new_connection,
                            .on_done = on_order,
                            .state = x };

  platform_runner_order_url (url, o);
  snprintf (boot, sizeof boot, "%s: %s", PLATFORM_BOOT_HEADER, o->runner);
  call.body = platform_runner_order_body (o);
  http_client_start (x->back->http, &call);
  blob_unref (call.body);
}

static void
on_vm_order (void *state, const struct http_result *r)
{
  struct back_call *x = state;
  struct cell_event *e = cell_event_new (CELL_VM_RESULT);

  text_copy (e->u.vm_result.vm, NAME_BYTES, x->action.u.vm_order.vm);
  e->u.vm_result.outcome = platform_vm_order_decode (
      r->status, r->sent, r->body ? r->body->data : NULL,
      r->body ? r->body->size_bytes : 0);
  cell_post (x->back->cell, e);
  talloc_free (x);
}

static void
send_vm_order (struct back_call *x)
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
                            .timeout_ms = CLOUD_MS,
                            .connect_timeout_ms = CONNECT_MS,
                            .send_once = true,
                            .on_done = on_vm_order,
                            .state = x };

  platform_vm_order_encode (url, body, x->back->cloud,
                            x->action.u.vm_order.is_move,
                            x->action.u.vm_order.vm, x->action.u.vm_order.pool,
                            x->action.u.vm_order.wave);
  snprintf (holder, sizeof holder, "%s: %s", PLATFORM_HOLDER_HEADER,
            x->back->holder);
  snprintf (token, sizeof token, "%s: %llu", PLATFORM_TOKEN_HEADER,
            (unsigned long long)x->action.u.vm_order.token);
  call.body = blob_copy (body, (uint32_t)strlen (body));
  http_client_start (x->back->http, &call);
  blob_unref (call.body);
}

static void send_list (struct back_call *x, const char *page);

static void
on_list (void *state, const struct http_result *r)
{
  struct back_call *x = state;
  char page[PAGE_BYTES];
  bool good = platform_vms_decode (
      x->list, r->status, r->body ? r->body->data : NULL,
      r->body ? r->body->size_bytes : 0, &x->list->u.vms.rows,
      &x->list->u.vms.row_count, page, sizeof page);

  if (good && page[0] != '\0')
    {
      send_list (x, page);
      return;
    }
  x->list->u.vms.answered = good;
  cell_post (x->back->cell, talloc_steal (NULL, x->list));
  talloc_free (x);
}

static void
send_list (struct back_call *x, const char *page)
{
  char url[PLATFORM_CLOUD_URL_BYTES];
  struct http_call call = { .method = "GET",
                            .url = url,
                            .timeout_ms = CLOUD_MS,
                            .connect_timeout_ms = CONNECT_MS,
                            .on_done = on_list,
                            .state = x };

  platform_vms_url (url, x->back->cloud, page);
  http_client_start (x->back->http, &call);
}

static void
on_action (void *state, void *item)
{
  struct site_order_client *b = state;
  struct cell_action *a = item;
  struct back_call *x = talloc_zero (b, struct back_call);

  x->back = b;
  x->action = *a;
  talloc_set_destructor (x, call_free);
  talloc_free (a);
  switch (x->action.kind)
    {
    case CELL_DO_ORDER:
      send_order (x);
      break;
    case CELL_DO_ORDER_VM:
      send_vm_order (x);
      break;
    default:
      x->list = talloc_steal (x, cell_event_new (CELL_VMS));
      send_list (x, "");
      break;
    }
}

struct site_order_client *
site_order_client_new (const struct site_settings *s, struct ring *cell,
                       struct line_log *log)
{
  struct site_order_client *b = talloc_zero (NULL, struct site_order_client);

  b->cell = cell;
  b->log = log;
  text_copy (b->cloud, ADDRESS_BYTES, s->cloud_address);
  text_copy (b->holder, NAME_BYTES, s->cell.member);
  b->duty = duty_new ("back", RING_COUNT, on_action, b);
  if (b->duty == NULL)
    {
      talloc_free (b);
      return NULL;
    }
  b->http = http_client_new (b, b->duty->loop, HOST_CONNECTION_COUNT);
  return b;
}

struct duty *
site_order_client_duty (struct site_order_client *b)
{
  return b->duty;
}

void
site_order_client_free (struct site_order_client *b)
{
  struct cell_action *a;

  if (b == NULL)
    return;
  while (ring_pop (b->duty->inbound, (void **)&a, 1) > 0)
    {
      if (a->kind == CELL_DO_ORDER)
        blob_unref (a->u.order.payload);
      talloc_free (a);
    }
  TALLOC_FREE (b->http);
  duty_free (b->duty);
  talloc_free (b);
}
