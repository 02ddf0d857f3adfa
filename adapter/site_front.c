/* site_front.c -- the duty that serves HTTP.

   The daemons of libmicrohttpd have no thread of their own: the duty's loop
   watches their epoll descriptors.  A call is suspended until its reply comes
   back through the ring.  */

#include "adapter/site_front.h"

#include "adapter/address.h"
#include "adapter/cell_post.h"
#include "adapter/client_guard.h"
#include "adapter/site_store.h"
#include "adapter/timer.h"
#include "platform/client.h"

#include <glib.h>
#include <microhttpd.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#define RING_CAPACITY_COUNT 16384
#define IDLE_TIMEOUT_S 60
#define BACKLOG_COUNT 512u
#define REPLY_BYTES 256
/** Memory of libmicrohttpd for a connection.  Holds headers of 16,384 bytes,
    the limit of ordinary clients, in up to 100 lines, and the response.  With
    24 KiB such headers left so little space to read into (65 bytes a call)
    that 2,700 clients with large bodies kept the thread busy for over 20 s. */
#define CONNECTION_MEMORY_BYTES 32768
/** Most connections to each of the listeners for the readiness check and the
    metrics, which have few callers.  */
#define SIDE_CONNECTION_LIMIT_COUNT 32u

enum listener_kind
{
  LISTEN_CLIENTS,
  LISTEN_READY,
  LISTEN_METRICS,
  LISTEN_COUNT
};

struct listener
{
  struct site_front *front;
  enum listener_kind kind;
  struct MHD_Daemon *http;
  struct tevent_timer *timer;
};

/* One HTTP request.  */
struct call
{
  struct site_front *front;
  struct listener *listener;
  struct MHD_Connection *connection;
  uint64_t id;
  uint64_t received_at_us;
  char *url;
  char *method;
  uint8_t *body;
  uint32_t body_bytes;
  uint32_t capacity_bytes;       /**< Allocated for body.  */
  struct guarded_client *client; /**< NULL unless it is a client's call.  */
  bool too_large; /**< The body is announced as larger than the limit.  */
  bool no_space;  /**< No memory for the body, which was dropped.  */
  bool suspended; /**< Waits for its reply and is in the calls of front.  */
  bool answered;  /**< The cell has replied: reply is set.  */
  struct reply reply;
};

struct site_front
{
  struct duty *duty;
  struct ring *cell;
  struct line_log *log;
  struct listener listeners[LISTEN_COUNT];
  GHashTable *calls; /**< Suspended calls by id.  */
  uint64_t next_id;
  struct client_guard *guard; /**< Of the listener for clients.  */
  uint32_t open_count;        /**< Requests in progress, to any listener.  */
  bool ready;
  bool closing;           /**< No new connection is accepted.  */
  struct ring *exit_ring; /**< Gets an item when closed; then NULL.  */
  struct cell_metrics metrics;
};

static void run_http (struct listener *l);

static enum MHD_Result
respond (struct call *c, uint32_t status, const char *type, const char *text,
         uint32_t retry_after_ms)
{
  struct MHD_Response *r = MHD_create_response_from_buffer (
      strlen (text), (void *)text, MHD_RESPMEM_MUST_COPY);
  char seconds[16];
  enum MHD_Result done;

  MHD_add_response_header (r, "Content-Type", type);
  if (retry_after_ms > 0)
    {
      snprintf (seconds, sizeof seconds, "%u",
                (unsigned)((retry_after_ms + MS_PER_S - 1) / MS_PER_S));
      MHD_add_response_header (r, "Retry-After", seconds);
    }
  if (c->front->closing)
    MHD_add_response_header (r, "Connection", "close");
  if (c->client != NULL)
    client_guard_answer (c->front->guard, c->client);
  done = MHD_queue_response (c->connection, status, r);
  MHD_destroy_response (r);
  return done;
}

static void
print_histogram (FILE *out, const char *name, const uint64_t *buckets)
{
  uint64_t sum = 0;
  uint32_t i;

  fprintf (out, "# TYPE fulmartack_%s_ms histogram\n", name);
  for (i = 0; i < CELL_BUCKET_COUNT; i++)
    {
      sum += buckets[i];
      if (i + 1 < CELL_BUCKET_COUNT)
        fprintf (out, "fulmartack_%s_ms_bucket{le=\"%u\"} %llu\n", name,
                 1u << i, (unsigned long long)sum);
    }
  fprintf (out,
           "fulmartack_%s_ms_bucket{le=\"+Inf\"} %llu\n"
           "fulmartack_%s_ms_count %llu\n",
           name, (unsigned long long)sum, name, (unsigned long long)sum);
}

static enum MHD_Result
respond_metrics (struct call *c)
{
  const struct site_front *f = c->front;
  char *text = NULL;
  size_t size = 0;
  FILE *out = open_memstream (&text, &size);
  enum MHD_Result done;
  int i;

  for (i = 0; i < CELL_COUNTER_COUNT; i++)
    {
      const char *name = cell_counter_name ((enum cell_counter)i);

      fprintf (out,
               "# TYPE fulmartack_%s_total counter\n"
               "fulmartack_%s_total %llu\n",
               name, name, (unsigned long long)f->metrics.counters[i]);
    }
  fprintf (out,
           "fulmartack_log_lines_dropped_total %llu\n"
           "fulmartack_events_dropped_total %llu\n"
           "fulmartack_records_malformed_total %llu\n"
           "fulmartack_owner %u\nfulmartack_jobs_active %u\n"
           "fulmartack_runners_listed %u\nfulmartack_calls_open %u\n"
           "fulmartack_ready %u\nfulmartack_zones_evacuated %u\n",
           (unsigned long long)line_log_dropped_count (f->log),
           (unsigned long long)cell_post_dropped_count (),
           (unsigned long long)site_store_malformed_count (), f->metrics.owner,
           f->metrics.jobs_active, f->metrics.runners_listed, f->open_count,
           f->ready, f->metrics.zones_evacuated);
  client_guard_print (f->guard, out);
  print_histogram (out, "reply", f->metrics.reply_ms);
  print_histogram (out, "finish", f->metrics.finish_ms);
  print_histogram (out, "confirmation", f->metrics.confirmation_ms);
  print_histogram (out, "end_after_predicted",
                   f->metrics.end_after_predicted_ms);
  print_histogram (out, "end_before_predicted",
                   f->metrics.end_before_predicted_ms);
  fclose (out);
  done = respond (c, 200, "text/plain; version=0.0.4", text, 0);
  free (text);
  return done;
}

static enum MHD_Result
respond_reply (struct call *c)
{
  char body[REPLY_BYTES];
  uint32_t status = platform_client_encode (&c->reply, body, sizeof body);

  return respond (c, status, "application/json", body,
                  c->reply.retry_after_ms);
}

static const char *
header (const struct call *c, const char *name)
{
  return MHD_lookup_connection_value (c->connection, MHD_HEADER_KIND, name);
}

/* Passes the call to the cell and suspends it; if the cell's ring is full, the
   call is refused at once.  */
static enum MHD_Result
submit_call (struct call *c)
{
  struct site_front *f = c->front;
  struct cell_event *e = cell_event_new (CELL_CALL);
  struct platform_request r = { .method = c->method,
                                .path = c->url,
                                .host = header (c, "Host"),
                                .authorization = header (c, "Authorization"),
                                .wait = header (c, PLATFORM_WAIT_HEADER),
                                .body = c->body,
                                .body_bytes = c->body_bytes };

  platform_client_decode (e, &r, &e->u.call);
  /* The decoded job may hold as much, so the body counts until the reply.  */
  TALLOC_FREE (c->body);
  e->u.call.call_id = c->id;
  if (!cell_post (f->cell, e))
    {
      c->reply.code = REPLY_UNAVAILABLE;
      c->reply.retry_after_ms = MS_PER_S;
      return respond_reply (c);
    }
  g_hash_table_insert (f->calls, &c->id, c);
  c->suspended = true;
  MHD_suspend_connection (c->connection);
  return MHD_YES;
}

static enum MHD_Result
dispatch_call (struct call *c)
{
  switch (c->listener->kind)
    {
    case LISTEN_READY:
      return respond (c,
                      strcmp (c->url, PLATFORM_READY_PATH) != 0 ? 404
                      : c->front->ready                         ? 200
                                                                : 503,
                      "application/json", "{}", 0);
    case LISTEN_METRICS:
      return respond_metrics (c);
    default:
      break;
    }
  if (c->no_space)
    {
      c->reply.code = REPLY_UNAVAILABLE;
      c->reply.retry_after_ms = MS_PER_S;
      return respond_reply (c);
    }
  return submit_call (c);
}

/* Drops the body of a call that is closed or for which there is no space.  */
static void
drop_body (void *state)
{
  struct call *c = state;

  TALLOC_FREE (c->body);
  c->body_bytes = 0;
  c->capacity_bytes = 0;
  c->no_space = true;
}

/* Appends a part of the request body.  Returns false if the body is above the
   limit, to have its connection closed.  */
static bool
append_body (struct call *c, const char *data, size_t size)
{
  struct client_guard *g = c->front->guard;
  uint64_t need = (uint64_t)c->body_bytes + size;

  client_guard_progress (c->client);
  if (c->no_space)
    return true;
  if (need > c->capacity_bytes)
    {
      uint32_t capacity_bytes = client_guard_size (g, c->client, need);

      if (capacity_bytes == 0)
        return false;
      if (!client_guard_reserve (g, c->client, capacity_bytes))
        {
          drop_body (c);
          return true;
        }
      c->capacity_bytes = capacity_bytes;
      c->body = talloc_realloc (c, c->body, uint8_t, c->capacity_bytes);
      if (c->body == NULL)
        out_of_memory ();
    }
  memcpy (c->body + c->body_bytes, data, size);
  c->body_bytes = (uint32_t)need;
  return true;
}

static struct call *
call_new (struct listener *l, struct MHD_Connection *connection,
          const char *url, const char *method)
{
  struct call *c = talloc_zero (l->front, struct call);

  c->front = l->front;
  c->listener = l;
  c->connection = connection;
  c->id = ++l->front->next_id;
  c->received_at_us = now_us ();
  c->url = talloc_strdup (c, url);
  c->method = talloc_strdup (c, method);
  if (l->kind == LISTEN_CLIENTS)
    c->client
        = client_guard_begin (l->front->guard, connection, c, &c->too_large);
  l->front->open_count++;
  return c;
}

/* libmicrohttpd calls this with the headers, then with each part of the body,
   then without data; and again without data once a suspended call has been
   resumed.  */
static enum MHD_Result
on_request (void *state, struct MHD_Connection *connection, const char *url,
            const char *method, const char *version, const char *data,
            size_t *size, void **call_state)
{
  struct listener *l = state;
  struct call *c = *call_state;

  (void)version;
  if (c == NULL)
    {
      c = call_new (l, connection, url, method);
      *call_state = c;
      if (!c->too_large)
        return MHD_YES;
      /* A response before the body closes the connection.  */
      c->reply.code = REPLY_MALFORMED;
      return respond_reply (c);
    }
  if (*size > 0)
    {
      bool kept = c->client == NULL || append_body (c, data, *size);

      *size = 0;
      return kept ? MHD_YES : MHD_NO;
    }
  if (c->answered)
    return respond_reply (c);
  if (c->client != NULL)
    client_guard_complete (l->front->guard, c->client);
  return dispatch_call (c);
}

static void
on_completed (void *state, struct MHD_Connection *connection,
              void **call_state, enum MHD_RequestTerminationCode code)
{
  struct call *c = *call_state;

  (void)state;
  (void)connection;
  (void)code;
  if (c == NULL)
    return;
  if (c->suspended)
    g_hash_table_remove (c->front->calls, &c->id);
  if (c->client != NULL)
    client_guard_end (c->front->guard, c->client);
  c->front->open_count--;
  talloc_free (c);
  *call_state = NULL;
}

/* Reports once, during a planned stop, that no client's request is in
   progress.  Readiness checks and scrapes of the metrics are not waited for.
 */
static void
report_closed (struct site_front *f)
{
  if (!f->closing || client_guard_is_busy (f->guard) || f->exit_ring == NULL)
    return;
  ring_push (f->exit_ring, f);
  f->exit_ring = NULL;
}

static void
log_clients (struct site_front *f, const char *what)
{
  char fields[120];

  client_guard_describe (f->guard, fields, sizeof fields);
  line_log_write (f->log, what, 0, fields);
}

/* Closes the listening sockets and the connections that the stop does not wait
   for; requests in progress are still answered.  */
static void
start_closing (struct site_front *f)
{
  int i;

  if (f->closing)
    return;
  /* Reads the requests that have arrived.  */
  MHD_run (f->listeners[LISTEN_CLIENTS].http);
  f->closing = true;
  for (i = 0; i < LISTEN_COUNT; i++)
    if (f->listeners[i].http != NULL)
      {
        MHD_socket fd = MHD_quiesce_daemon (f->listeners[i].http);

        if (fd != MHD_INVALID_SOCKET)
          close (fd);
      }
  log_clients (f, "front_closing");
  client_guard_drain (f->guard);
}

static void
on_reply (struct site_front *f, const struct reply *r)
{
  struct call *c = g_hash_table_lookup (f->calls, &r->call_id);

  if (c == NULL)
    return;
  g_hash_table_remove (f->calls, &r->call_id);
  c->suspended = false;
  c->answered = true;
  c->reply = *r;
  MHD_resume_connection (c->connection);
}

static void
on_command (void *state, void *item)
{
  struct site_front *f = state;
  struct front_command *o = item;

  switch (o->kind)
    {
    case FRONT_SEND_REPLY:
      on_reply (f, &o->reply);
      break;
    case FRONT_SET_READY:
      f->ready = o->ready;
      break;
    case FRONT_SET_METRICS:
      f->metrics = o->metrics;
      break;
    case FRONT_CLOSE:
      start_closing (f);
      break;
    }
  talloc_free (o);
}

static void
on_batch (void *state)
{
  struct site_front *f = state;

  /* Sends the replies to the calls that the batch has resumed.  */
  run_http (&f->listeners[LISTEN_CLIENTS]);
}

static void
on_http_timer (struct tevent_context *loop, struct tevent_timer *te,
               struct timeval at, void *state)
{
  struct listener *l = state;

  (void)loop;
  (void)te;
  (void)at;
  l->timer = NULL;
  run_http (l);
}

static void
on_http_ready (struct tevent_context *loop, struct tevent_fd *fde,
               uint16_t flags, void *state)
{
  (void)loop;
  (void)fde;
  (void)flags;
  run_http (state);
}

/* Lets the daemon process its ready sockets and sets its timer again.  */
static void
run_http (struct listener *l)
{
  struct tevent_context *loop = l->front->duty->loop;
  uint64_t wait_ms = UINT64_MAX;
  MHD_UNSIGNED_LONG_LONG ms;

  MHD_run (l->http);
  TALLOC_FREE (l->timer);
  if (l->kind == LISTEN_CLIENTS)
    wait_ms = client_guard_expire (l->front->guard);
  if (MHD_get_timeout (l->http, &ms) != MHD_YES)
    ms = UINT64_MAX;
  ms = MIN (ms, wait_ms);
  if (ms != UINT64_MAX)
    l->timer = timer_add (loop, loop, ms * US_PER_MS, on_http_timer, l);
  report_closed (l->front);
}

static bool
open_http (struct site_front *f, enum listener_kind kind, const char *address,
           uint32_t connection_count)
{
  struct listener *l = &f->listeners[kind];
  const union MHD_DaemonInfo *info;
  struct sockaddr_in a;

  l->front = f;
  l->kind = kind;
  if (!address_parse (address, &a))
    return false;
  l->http = MHD_start_daemon (
      MHD_USE_EPOLL | MHD_ALLOW_SUSPEND_RESUME, 0, NULL, NULL, on_request, l,
      MHD_OPTION_SOCK_ADDR, &a, MHD_OPTION_NOTIFY_COMPLETED, on_completed, l,
      MHD_OPTION_CONNECTION_LIMIT, (unsigned)connection_count,
      MHD_OPTION_CONNECTION_TIMEOUT, (unsigned)IDLE_TIMEOUT_S,
      MHD_OPTION_CONNECTION_MEMORY_LIMIT, (size_t)CONNECTION_MEMORY_BYTES,
      MHD_OPTION_LISTENING_ADDRESS_REUSE, 1u, MHD_OPTION_LISTEN_BACKLOG_SIZE,
      BACKLOG_COUNT,
      kind == LISTEN_CLIENTS ? MHD_OPTION_NOTIFY_CONNECTION : MHD_OPTION_END,
      client_guard_on_connection, f->guard, MHD_OPTION_END);
  if (l->http == NULL)
    return false;
  info = MHD_get_daemon_info (l->http, MHD_DAEMON_INFO_EPOLL_FD);
  return info != NULL
         && tevent_add_fd (f->duty->loop, f->duty->loop, info->epoll_fd,
                           TEVENT_FD_READ, on_http_ready, l)
                != NULL;
}

struct site_front *
site_front_new (const struct site_settings *s, struct ring *cell,
                struct line_log *log, struct ring *exit_ring, char *text)
{
  struct site_front *f = talloc_zero (NULL, struct site_front);
  const char *address = s->listen_address;
  bool opened;

  f->cell = cell;
  f->log = log;
  f->exit_ring = exit_ring;
  f->guard = client_guard_new (f, &s->bodies, drop_body);
  f->calls = g_hash_table_new (g_int64_hash, g_int64_equal);
  f->duty = duty_new ("front", RING_CAPACITY_COUNT, on_command, f);
  opened
      = f->duty != NULL
        && open_http (f, LISTEN_CLIENTS, address, s->connection_limit_count);
  if (opened)
    {
      f->duty->on_batch = on_batch;
      address = s->ready_listen_address;
      opened
          = open_http (f, LISTEN_READY, address, SIDE_CONNECTION_LIMIT_COUNT);
    }
  if (opened && s->metrics_listen_address[0] != '\0')
    {
      address = s->metrics_listen_address;
      opened = open_http (f, LISTEN_METRICS, address,
                          SIDE_CONNECTION_LIMIT_COUNT);
    }
  if (opened)
    return f;
  snprintf (text, TEXT_BYTES,
            "listening address %s: the HTTP server does not start", address);
  site_front_free (f);
  return NULL;
}

struct duty *
site_front_duty (struct site_front *f)
{
  return f->duty;
}

void
site_front_describe (const struct site_front *f, char *text, size_t size_bytes)
{
  client_guard_describe (f->guard, text, size_bytes);
}

static void
resume_call (gpointer key, gpointer value, gpointer state)
{
  struct call *c = value;

  (void)key;
  (void)state;
  c->suspended = false;
  MHD_resume_connection (c->connection);
}

void
site_front_free (struct site_front *f)
{
  void *o;
  int i;

  if (f == NULL)
    return;
  if (f->duty != NULL)
    while (ring_pop (f->duty->inbound, &o, 1) > 0)
      talloc_free (o);
  g_hash_table_foreach (f->calls, resume_call, NULL);
  g_hash_table_remove_all (f->calls);
  for (i = 0; i < LISTEN_COUNT; i++)
    if (f->listeners[i].http != NULL)
      MHD_stop_daemon (f->listeners[i].http);
  g_hash_table_destroy (f->calls);
  duty_free (f->duty);
  talloc_free (f);
}
