/* runner_calls.c -- orders to runners, each sent only to the boot of its
   runner that it is for.  */

#include "adapter/runner_calls.h"

#include "adapter/cell_post.h"
#include "adapter/duty.h"
#include "adapter/http_client.h"
#include "adapter/timer.h"
#include "platform/runner.h"
#include "port/types.h"

#include <glib.h>
#include <stdio.h>
#include <string.h>

#define CONNECT_TIMEOUT_MS 400
/** Timeout of a poll that opens a connection.  */
#define HANDSHAKE_TIMEOUT_MS 700
#define HEADER_BYTES 120
/** A connection that breaks just when an order is to be sent on it is replaced
    this often.  */
#define TRY_LIMIT_COUNT 4
/** Most handshakes for an order.  The connections of some may go to orders
   that waited longer; those of a runner that closes each one go to none.  */
#define HANDSHAKE_LIMIT_COUNT 4

struct runner_calls
{
  struct tevent_context *loop;
  struct http_client *http;
  uint32_t connection_limit_count;
  GHashTable *hosts; /**< Address to struct host.  */
};

/* An address of a runner, with the calls that wait for a connection to it.  */
struct host
{
  char address[ADDRESS_BYTES];
  GQueue waiting;        /**< struct call.  */
  uint32_t active_count; /**< Calls and handshakes that use a connection.  */
};

/* An order that is not answered; a child of the calls.  */
struct call
{
  struct runner_calls *calls;
  struct runner_call order_call;
  struct host *host; /**< NULL: any boot may get the order.  */
  char tag[HTTP_TAG_BYTES];
  uint64_t made_at_us;
  uint64_t sent_at_us;
  uint64_t deadline_us;
  struct tevent_timer *timer;  /**< At the deadline, while it waits.  */
  struct handshake *handshake; /**< That opens a connection for it, or NULL. */
  uint32_t try_count;          /**< Connections that broke.  */
  uint32_t handshake_count;    /**< Started for it.  */
};

/* A poll that opens a connection; a child of the calls.  */
struct handshake
{
  struct runner_calls *calls;
  struct host *host;
  struct call *call; /**< For which it is, or NULL if that is over.  */
  struct runner_order order;
  uint64_t sent_at_us;
};

static void pump (struct runner_calls *c, struct host *h);

/* Writes to TAG the tag of connections to the boot of RUNNER that began at
   BOOTED_AT_MS.  */
static void
make_tag (char *tag, const char *runner, uint64_t booted_at_ms)
{
  g_snprintf (tag, HTTP_TAG_BYTES, "%s/%llu", runner,
              (unsigned long long)booted_at_ms);
}

/* Ends X with the result E.  */
static void
finish (struct call *x, struct cell_event *e)
{
  struct runner_call o = x->order_call;

  if (x->handshake != NULL)
    x->handshake->call = NULL;
  talloc_free (x);
  o.on_done (o.state, e);
}

/* Ends X, which was not sent.  */
static void
finish_unsent (struct call *x, enum order_outcome outcome,
               uint64_t booted_at_ms)
{
  struct cell_event *e = cell_event_new (CELL_RUNNER_RESULT);

  e->u.runner_result.outcome = outcome;
  e->u.runner_result.booted_at_ms = booted_at_ms;
  finish (x, e);
}

/* Decodes R, the answer to O, and notes which boot is at the other end of its
   connection, if the answer tells.  */
static struct cell_event *
decode (const struct runner_order *o, const struct http_result *r)
{
  struct cell_event *e = cell_event_new (CELL_RUNNER_RESULT);
  struct runner_result *x = &e->u.runner_result;
  char tag[HTTP_TAG_BYTES];

  platform_runner_order_decode (e, o->kind, r->status, r->sent,
                                r->body ? r->body->data : NULL,
                                r->body ? r->body->size_bytes : 0, x);
  if (r->connection != NULL && x->booted_at_ms != 0
      && x->outcome != ORDER_WRONG_BOOT)
    {
      make_tag (tag, o->runner, x->booted_at_ms);
      http_connection_tag (r->connection, tag);
    }
  return e;
}

/* Starts the HTTP call X with the order O.  */
static void
start_http (struct runner_calls *c, const struct runner_order *o,
            struct http_call *x)
{
  char url[PLATFORM_RUNNER_URL_BYTES];
  char target[HEADER_BYTES];
  const char *lines[] = { "Content-Type: application/json", target, NULL };

  platform_runner_order_url (url, o);
  snprintf (target, sizeof target, "%s: %s", PLATFORM_TARGET_HEADER,
            o->runner);
  x->method = "POST";
  x->url = url;
  x->header_lines = lines;
  x->connect_timeout_ms = CONNECT_TIMEOUT_MS;
  x->send_once = true;
  x->body = platform_runner_order_body (o);
  http_client_start (c->http, x);
  blob_unref (x->body);
}

static void
drop_host_if_unused (struct runner_calls *c, struct host *h)
{
  if (h->active_count == 0 && g_queue_is_empty (&h->waiting))
    g_hash_table_remove (c->hosts, h->address);
}

/* Has X wait for a connection, as the first if FIRST.  */
static void
wait_for_connection (struct call *x, bool first)
{
  if (first)
    g_queue_push_head (&x->host->waiting, x);
  else
    g_queue_push_tail (&x->host->waiting, x);
}

static void
on_answer (void *state, const struct http_result *r)
{
  struct call *x = state;
  struct runner_calls *c = x->calls;
  struct host *h = x->host;

  if (h != NULL)
    h->active_count--;
  if (h != NULL && r->wrong_connection && ++x->try_count < TRY_LIMIT_COUNT
      && now_us () < x->deadline_us)
    {
      wait_for_connection (x, true);
      pump (c, h);
      return;
    }
  /* The other connections that the runner has not used since may be dead as
     well.  */
  if (!r->answered && r->sent)
    http_client_drop_idle (c->http, x->order_call.order->address,
                           x->sent_at_us);
  if (r->wrong_connection)
    finish_unsent (x, ORDER_BUSY, 0);
  else
    finish (x, decode (x->order_call.order, r));
  if (h != NULL)
    pump (c, h);
}

/* Sends the order of X.  */
static void
send_call (struct call *x)
{
  const struct runner_order *o = x->order_call.order;
  uint64_t now = now_us ();
  enum order_outcome outcome = x->order_call.check (x->order_call.state);
  struct http_call call = { .fresh_connection = o->new_connection,
                            .keep_connection = true,
                            .on_done = on_answer,
                            .state = x };

  if (outcome == ORDER_DONE && now >= x->deadline_us)
    outcome = ORDER_BUSY;
  if (outcome != ORDER_DONE)
    {
      finish_unsent (x, outcome, 0);
      return;
    }
  if (x->handshake != NULL)
    x->handshake->call = NULL;
  x->handshake = NULL;
  call.timeout_ms = (uint32_t)((x->deadline_us - now) / US_PER_MS + 1);
  if (x->host != NULL)
    {
      x->host->active_count++;
      call.fresh_connection = false;
      call.connection_tag = x->tag;
    }
  x->sent_at_us = now;
  start_http (x->calls, o, &call);
}

/* Ends the calls that waited at H when G was sent and are for another boot
   than BOOTED_AT_MS, which has answered it.  */
static void
refuse_other_boots (struct host *h, const struct handshake *g,
                    uint64_t booted_at_ms)
{
  GList *at = h->waiting.head;

  while (at != NULL)
    {
      GList *next = at->next;
      struct call *x = at->data;
      const struct runner_order *o = x->order_call.order;

      if (x->made_at_us <= g->sent_at_us
          && strcmp (o->runner, g->order.runner) == 0
          && o->booted_at_ms != booted_at_ms)
        {
          g_queue_delete_link (&h->waiting, at);
          finish_unsent (x, ORDER_OTHER_BOOT, booted_at_ms);
        }
      at = next;
    }
}

/* Returns the outcome of an order for which a connection could not be opened,
   as the handshake had OUTCOME.  */
static enum order_outcome
outcome_without_connection (enum order_outcome outcome)
{
  return outcome == ORDER_FENCED || outcome == ORDER_WRONG_BOOT ? outcome
                                                                : ORDER_BUSY;
}

static void
on_handshake_done (void *state, const struct http_result *r)
{
  struct handshake *g = state;
  struct runner_calls *c = g->calls;
  struct host *h = g->host;
  struct call *x = g->call;
  struct cell_event *e = decode (&g->order, r);
  const struct runner_result *result = &e->u.runner_result;

  h->active_count--;
  if (x != NULL)
    x->handshake = NULL;
  if (result->outcome == ORDER_DONE && result->booted_at_ms != 0)
    refuse_other_boots (h, g, result->booted_at_ms);
  else if (x != NULL)
    {
      g_queue_remove (&h->waiting, x);
      finish_unsent (x, outcome_without_connection (result->outcome),
                     result->booted_at_ms);
    }
  talloc_free (e);
  talloc_free (g);
  pump (c, h);
}

/* Opens a connection for X with a poll that carries nothing of a boot.  */
static void
start_handshake (struct call *x)
{
  struct runner_calls *c = x->calls;
  const struct runner_order *o = x->order_call.order;
  struct handshake *g = talloc_zero (c, struct handshake);
  struct http_call call = { .fresh_connection = true,
                            .keep_connection = true,
                            .on_done = on_handshake_done,
                            .state = g };

  g->calls = c;
  g->host = x->host;
  g->call = x;
  g->sent_at_us = now_us ();
  g->order.kind = ORDER_POLL;
  g->order.token = o->token;
  text_copy (g->order.runner, NAME_BYTES, o->runner);
  text_copy (g->order.address, ADDRESS_BYTES, o->address);
  x->handshake = g;
  x->handshake_count++;
  x->host->active_count++;
  call.timeout_ms = HANDSHAKE_TIMEOUT_MS;
  start_http (c, &g->order, &call);
}

/* Sends the calls that wait at H for which a connection is free, and opens
   connections for others.  */
static void
pump (struct runner_calls *c, struct host *h)
{
  GList *at = h->waiting.head;

  while (at != NULL)
    {
      GList *next = at->next;
      struct call *x = at->data;

      if (http_client_free_count (c->http, h->address, x->tag) > 0)
        {
          g_queue_delete_link (&h->waiting, at);
          send_call (x);
        }
      else if (x->handshake == NULL
               && x->handshake_count < HANDSHAKE_LIMIT_COUNT
               && h->active_count < c->connection_limit_count)
        start_handshake (x);
      else if (h->active_count == 0)
        {
          /* No connection is left that could become free.  */
          g_queue_delete_link (&h->waiting, at);
          finish_unsent (x, ORDER_BUSY, 0);
        }
      at = next;
    }
  drop_host_if_unused (c, h);
}

static void
on_deadline (struct tevent_context *loop, struct tevent_timer *te,
             struct timeval at, void *state)
{
  struct call *x = state;
  struct runner_calls *c = x->calls;
  struct host *h = x->host;

  (void)loop;
  (void)te;
  (void)at;
  x->timer = NULL;
  /* libcurl ends a call that has been started.  */
  if (!g_queue_remove (&h->waiting, x))
    return;
  finish_unsent (x, ORDER_BUSY, 0);
  drop_host_if_unused (c, h);
}

static struct host *
find_host (struct runner_calls *c, const char *address)
{
  struct host *h = g_hash_table_lookup (c->hosts, address);

  if (h != NULL)
    return h;
  h = g_new0 (struct host, 1);
  text_copy (h->address, ADDRESS_BYTES, address);
  g_queue_init (&h->waiting);
  g_hash_table_insert (c->hosts, h->address, h);
  return h;
}

void
runner_calls_send (struct runner_calls *c, const struct runner_call *call)
{
  const struct runner_order *o = call->order;
  struct call *x = talloc_zero (c, struct call);

  if (x == NULL)
    out_of_memory ();
  x->calls = c;
  x->order_call = *call;
  x->made_at_us = now_us ();
  x->deadline_us = x->made_at_us + o->timeout_ms * US_PER_MS;
  if (o->booted_at_ms == 0)
    {
      send_call (x);
      return;
    }
  make_tag (x->tag, o->runner, o->booted_at_ms);
  x->host = find_host (c, o->address);
  x->timer = timer_add (c->loop, x, o->timeout_ms * US_PER_MS, on_deadline, x);
  wait_for_connection (x, false);
  pump (c, x->host);
}

static void
host_free (gpointer p)
{
  struct host *h = p;

  g_queue_clear (&h->waiting);
  g_free (h);
}

static int
calls_free (struct runner_calls *c)
{
  TALLOC_FREE (c->http);
  g_hash_table_destroy (c->hosts);
  return 0;
}

struct runner_calls *
runner_calls_new (TALLOC_CTX *mem, struct tevent_context *loop,
                  uint32_t connection_limit_count)
{
  struct runner_calls *c = talloc_zero (mem, struct runner_calls);

  if (c == NULL)
    return NULL;
  c->loop = loop;
  c->connection_limit_count = connection_limit_count;
  c->hosts = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, host_free);
  c->http = http_client_new (c, loop, connection_limit_count);
  talloc_set_destructor (c, calls_free);
  return c;
}
