/* front.c -- the HTTP server for callers and operators, on libmicrohttpd.

   libmicrohttpd has no thread of its own: the duty's loop watches its epoll
   descriptor.  A connection whose request needs a decision is suspended until
   the answer comes through the ring, so a waiting caller costs memory but no
   thread.  */

#include "adapter/front.h"

#include "adapter/address.h"
#include "adapter/client_guard.h"
#include "adapter/timer.h"
#include "port/action.h"

#include <glib.h>
#include <microhttpd.h>
#include <sodium.h>
#include <stdlib.h>
#include <string.h>
#include <sys/epoll.h>
#include <unistd.h>

#define RING_CAPACITY_COUNT 32768
#define IDLE_TIMEOUT_S 120
#define DISCONNECT_BATCH_COUNT 64
#define QUEUES_PATH "/v1/queues/"
#define BEARER_PREFIX "Bearer "

/** What a call asks for, by its path and method.  */
enum call_kind
{
  CALL_QUEUE,
  CALL_HEALTH,
  CALL_STATUS,
  CALL_METRICS,
  CALL_TIMELINE,
  CALL_UNKNOWN
};

/* One HTTP request.  */
struct call
{
  struct front *front;
  struct MHD_Connection *connection;
  uint64_t request_id;
  enum call_kind kind;
  char queue[NAME_BYTES];
  struct blob *body;   /**< Buffer for the request's body, or NULL.  */
  uint32_t body_bytes; /**< Bytes received into body.  */
  struct guarded_client *client;
  bool too_large; /**< The body is announced as larger than the limit. */
  bool no_space;  /**< No memory for the body, which was dropped.  */
  bool suspended; /**< Waits for its answer in front.calls.  */
  struct action *answer; /**< The core's answer; NULL until it arrives.  */
};

struct front
{
  struct duty *duty;
  struct MHD_Daemon *http;
  struct tevent_timer *timer;
  struct ring *decide;
  struct timeline *timeline;
  GHashTable *calls; /**< request_id to struct call, suspended calls.  */
  int disconnect_fd; /**< epoll set, see watch_disconnect.  */
  uint64_t next_request_id;
  struct client_guard *guard;
  uint32_t open_count;    /**< Calls not yet completed.  */
  bool closing;           /**< ACTION_EXIT arrived; no new connections.  */
  struct ring *exit_ring; /**< Pushed to once, then NULL.  */
};

static void run_http (struct front *f);

static void
free_action (struct action *a)
{
  if (a == NULL)
    return;
  if (a->kind == ACTION_ANSWER)
    blob_unref (a->u.answer.body);
  if (a->kind == ACTION_STATUS)
    talloc_free (a->u.status.status);
  talloc_free (a);
}

static void
free_blob (void *state)
{
  blob_unref (state);
}

/* Sends R, which it releases.  The connection takes no further request if LAST
   is set or the server is closing.  */
static enum MHD_Result
queue_response (struct call *c, uint32_t status, struct MHD_Response *r,
                bool last)
{
  enum MHD_Result done;

  if (last || c->front->closing)
    MHD_add_response_header (r, "Connection", "close");
  client_guard_answer (c->front->guard, c->client);
  done = MHD_queue_response (c->connection, status, r);
  MHD_destroy_response (r);
  return done;
}

static enum MHD_Result
respond_text (struct call *c, uint32_t status, const char *type, char *text)
{
  struct MHD_Response *r = MHD_create_response_from_buffer_with_free_callback (
      strlen (text), text, free);

  MHD_add_response_header (r, "Content-Type", type);
  return queue_response (c, status, r, false);
}

static enum MHD_Result
respond_json (struct call *c, uint32_t status, json_t *j)
{
  char *text = json_dumps (j, JSON_COMPACT);

  json_decref (j);
  return respond_text (c, status, "application/json", text);
}

/* The body of a refusal has its code, whether the work was run, and when to
   retry.  */
static enum MHD_Result
respond_refusal (struct call *c, enum answer_code code,
                 uint32_t retry_after_ms)
{
  json_t *j = json_pack ("{s:s, s:s, s:i}", "code", answer_code_name (code),
                         "run", answer_code_was_run (code), "retry_after_ms",
                         (int)retry_after_ms);
  char *text = json_dumps (j, JSON_COMPACT);
  struct MHD_Response *r = MHD_create_response_from_buffer_with_free_callback (
      strlen (text), text, free);
  char seconds[16];

  json_decref (j);
  MHD_add_response_header (r, "Content-Type", "application/json");
  if (retry_after_ms > 0)
    {
      snprintf (seconds, sizeof seconds, "%u",
                (unsigned)((retry_after_ms + MS_PER_S - 1) / MS_PER_S));
      MHD_add_response_header (r, "Retry-After", seconds);
    }
  return queue_response (c, answer_code_http_status (code), r,
                         code == ANSWER_STOPPING);
}

static enum MHD_Result
respond_worker_answer (struct call *c, struct action_answer *a)
{
  struct blob *b = a->body;
  struct MHD_Response *r
      = MHD_create_response_from_buffer_with_free_callback_cls (
          b->size_bytes, b->data, free_blob, b);

  a->body = NULL;
  if (b->content_type[0] != '\0')
    MHD_add_response_header (r, "Content-Type", b->content_type);
  return queue_response (c, a->http_status, r, false);
}

static json_t *
status_to_json (const struct status *s)
{
  json_t *members = json_array ();
  json_t *teams = json_array ();
  uint32_t i;

  for (i = 0; i < s->member_count; i++)
    json_array_append_new (members,
                           json_pack ("{s:s, s:I}", "vm", s->members[i].vm,
                                      "incarnation",
                                      (json_int_t)s->members[i].incarnation));
  for (i = 0; i < s->team_count; i++)
    json_array_append_new (
        teams, json_pack ("{s:s, s:i, s:i}", "team", s->teams[i].name,
                          "running", (int)s->teams[i].running_count,
                          "high_water", (int)s->teams[i].high_water_count));
  return json_pack ("{s:s, s:I, s:I, s:I, s:I, s:b, s:i, s:i, s:o, s:o}", "vm",
                    s->vm, "incarnation", (json_int_t)s->incarnation,
                    "config_version", (json_int_t)s->config_version,
                    "next_offset", (json_int_t)s->next_offset, "log_age_ms",
                    (json_int_t)s->log_age_ms, "serving", (int)s->serving,
                    "waiting", (int)s->waiting_count, "running",
                    (int)s->running_count, "members", members, "teams", teams);
}

static char *
metrics_text (const struct front *f, const struct status *s)
{
  char *text = NULL;
  size_t size = 0;
  FILE *out = open_memstream (&text, &size);
  uint32_t i;

  for (i = 0; i < COUNTER_KIND_COUNT; i++)
    fprintf (out,
             "# TYPE fulmartack_%s_total counter\n"
             "fulmartack_%s_total %llu\n",
             counter_kind_name ((enum counter_kind)i),
             counter_kind_name ((enum counter_kind)i),
             (unsigned long long)s->counters[i]);
  fprintf (out,
           "# TYPE fulmartack_notes_dropped_total counter\n"
           "fulmartack_notes_dropped_total %llu\n",
           (unsigned long long)timeline_dropped_count (f->timeline));
  fprintf (out, "# TYPE fulmartack_running gauge\nfulmartack_running %u\n",
           s->running_count);
  fprintf (out, "# TYPE fulmartack_waiting gauge\nfulmartack_waiting %u\n",
           s->waiting_count);
  client_guard_print (f->guard, out);
  fprintf (out, "# TYPE fulmartack_team_running gauge\n");
  for (i = 0; i < s->team_count; i++)
    fprintf (out, "fulmartack_team_running{team=\"%s\"} %u\n",
             s->teams[i].name, s->teams[i].running_count);
  fclose (out);
  return text;
}

static enum MHD_Result
respond_status (struct call *c, const struct status *s)
{
  switch (c->kind)
    {
    case CALL_HEALTH:
      return respond_json (c, s->serving ? 200 : 503,
                           json_pack ("{s:b}", "serving", (int)s->serving));
    case CALL_METRICS:
      return respond_text (c, 200, "text/plain; version=0.0.4",
                           metrics_text (c->front, s));
    default:
      return respond_json (c, 200, status_to_json (s));
    }
}

static enum MHD_Result
respond_answer (struct call *c)
{
  struct action *a = c->answer;

  if (a->kind == ACTION_STATUS)
    return respond_status (c, a->u.status.status);
  if (a->u.answer.code == ANSWER_WORKER && a->u.answer.body != NULL)
    return respond_worker_answer (c, &a->u.answer);
  return respond_refusal (c, a->u.answer.code, a->u.answer.retry_after_ms);
}

static struct event *
make_request_event (struct call *c)
{
  struct event *e = talloc_zero (NULL, struct event);
  const char *key = MHD_lookup_connection_value (
      c->connection, MHD_HEADER_KIND, "Authorization");
  const char *idempotency = MHD_lookup_connection_value (
      c->connection, MHD_HEADER_KIND, "Idempotency-Key");
  const char *timeout = MHD_lookup_connection_value (
      c->connection, MHD_HEADER_KIND, "Timeout-Ms");
  struct event_request *r = &e->u.request;

  e->kind = EVENT_REQUEST;
  r->request_id = c->request_id;
  text_copy (r->queue, NAME_BYTES, c->queue);
  if (idempotency != NULL)
    text_copy (r->idempotency_key, ID_BYTES, idempotency);
  if (timeout != NULL)
    r->timeout_ms = (uint32_t)strtoul (timeout, NULL, 10);
  if (key != NULL && strncmp (key, BEARER_PREFIX, strlen (BEARER_PREFIX)) == 0)
    {
      key += strlen (BEARER_PREFIX);
      crypto_generichash (r->key_digest, DIGEST_BYTES, (const uint8_t *)key,
                          strlen (key), NULL, 0);
      r->has_key = true;
    }
  if (c->body == NULL)
    c->body = blob_new (0);
  c->body->size_bytes = c->body_bytes;
  r->body = c->body;
  c->body = NULL;
  return e;
}

static struct event *
make_status_event (const struct call *c)
{
  struct event *e = talloc_zero (NULL, struct event);

  e->kind = EVENT_STATUS;
  e->u.status.request_id = c->request_id;
  return e;
}

static int
call_fd (const struct call *c)
{
  const union MHD_ConnectionInfo *info = MHD_get_connection_info (
      c->connection, MHD_CONNECTION_INFO_CONNECTION_FD);

  return info == NULL ? -1 : info->connect_fd;
}

/* libmicrohttpd does not watch a suspended connection, so the request of a
   caller that disconnects would stay in its queue.  Edge-triggered, so that a
   disconnect is reported once.  */
static void
watch_disconnect (struct call *c)
{
  struct epoll_event e
      = { .events = EPOLLRDHUP | EPOLLET, .data.u64 = c->request_id };

  epoll_ctl (c->front->disconnect_fd, EPOLL_CTL_ADD, call_fd (c), &e);
}

static void
unwatch_disconnect (struct call *c)
{
  epoll_ctl (c->front->disconnect_fd, EPOLL_CTL_DEL, call_fd (c), NULL);
}

static void
cancel_request (struct front *f, uint64_t request_id)
{
  struct call *c = g_hash_table_lookup (f->calls, &request_id);
  struct event *e;

  if (c == NULL || c->kind != CALL_QUEUE)
    return;
  e = talloc_zero (NULL, struct event);
  e->kind = EVENT_CANCEL;
  e->u.cancel.request_id = request_id;
  /* If the ring is full, the request is not cancelled.  */
  if (!ring_push (f->decide, e))
    talloc_free (e);
}

static void
on_disconnect (struct tevent_context *loop, struct tevent_fd *fde,
               uint16_t flags, void *state)
{
  struct front *f = state;
  struct epoll_event events[DISCONNECT_BATCH_COUNT];
  int n = epoll_wait (f->disconnect_fd, events, DISCONNECT_BATCH_COUNT, 0);
  int i;

  (void)loop;
  (void)fde;
  (void)flags;
  for (i = 0; i < n; i++)
    cancel_request (f, events[i].data.u64);
}

/* Passes E to the decide duty and suspends C until the answer, or refuses the
   call when the ring is full.  */
static enum MHD_Result
suspend_for_decision (struct call *c, struct event *e)
{
  struct front *f = c->front;

  if (!ring_push (f->decide, e))
    {
      if (e->kind == EVENT_REQUEST)
        blob_unref (e->u.request.body);
      talloc_free (e);
      return respond_refusal (c, ANSWER_QUEUE_FULL, MS_PER_S);
    }
  g_hash_table_insert (f->calls, &c->request_id, c);
  c->suspended = true;
  watch_disconnect (c);
  MHD_suspend_connection (c->connection);
  return MHD_YES;
}

static json_t *
timeline_after (struct call *c)
{
  const char *after = MHD_lookup_connection_value (
      c->connection, MHD_GET_ARGUMENT_KIND, "after");

  return timeline_to_json (c->front->timeline,
                           after ? strtoull (after, NULL, 10) : 0);
}

static enum MHD_Result
dispatch_call (struct call *c)
{
  switch (c->kind)
    {
    case CALL_QUEUE:
      if (c->no_space)
        return respond_refusal (c, ANSWER_QUEUE_FULL, MS_PER_S);
      return suspend_for_decision (c, make_request_event (c));
    case CALL_HEALTH:
    case CALL_STATUS:
    case CALL_METRICS:
      return suspend_for_decision (c, make_status_event (c));
    case CALL_TIMELINE:
      return respond_json (c, 200, timeline_after (c));
    case CALL_UNKNOWN:
      break;
    }
  return respond_refusal (c, ANSWER_NO_QUEUE, 0);
}

/* Drops the body of a call that is closed or for which there is no space.  */
static void
drop_body (void *state)
{
  struct call *c = state;

  blob_unref (c->body);
  c->body = NULL;
  c->body_bytes = 0;
  c->no_space = true;
}

/* Appends to the body; the body of a call that needs none is dropped.  Returns
   false if the body is above the limit, to have its connection closed.  */
static bool
append_body (struct call *c, const char *data, size_t size)
{
  struct client_guard *g = c->front->guard;
  uint64_t needed_bytes = (uint64_t)c->body_bytes + size;
  struct blob *b = c->body;

  client_guard_progress (c->client);
  if (c->no_space || c->kind != CALL_QUEUE)
    return true;
  if (b == NULL || needed_bytes > b->size_bytes)
    {
      uint32_t capacity_bytes = client_guard_size (g, c->client, needed_bytes);

      if (capacity_bytes == 0)
        return false;
      if (!client_guard_reserve (g, c->client, capacity_bytes))
        {
          drop_body (c);
          return true;
        }
      b = blob_new (capacity_bytes);
      if (b == NULL)
        out_of_memory ();
      if (c->body != NULL)
        memcpy (b->data, c->body->data, c->body_bytes);
      blob_unref (c->body);
      c->body = b;
    }
  memcpy (b->data + c->body_bytes, data, size);
  c->body_bytes = (uint32_t)needed_bytes;
  return true;
}

static enum call_kind
parse_path (struct call *c, const char *url, const char *method)
{
  bool is_get = strcmp (method, "GET") == 0;

  if (strncmp (url, QUEUES_PATH, strlen (QUEUES_PATH)) == 0
      && strcmp (method, "POST") == 0
      && text_copy (c->queue, NAME_BYTES, url + strlen (QUEUES_PATH)))
    return CALL_QUEUE;
  if (is_get && strcmp (url, "/healthz") == 0)
    return CALL_HEALTH;
  if (is_get && strcmp (url, "/v1/status") == 0)
    return CALL_STATUS;
  if (is_get && strcmp (url, "/metrics") == 0)
    return CALL_METRICS;
  if (is_get && strcmp (url, "/v1/timeline") == 0)
    return CALL_TIMELINE;
  return CALL_UNKNOWN;
}

/* libmicrohttpd calls this once with the headers, once for each part of the
   body, then with *SIZE 0, and again after the connection is resumed.  */
static enum MHD_Result
on_access (void *state, struct MHD_Connection *connection, const char *url,
           const char *method, const char *version, const char *data,
           size_t *size, void **call_state)
{
  struct front *f = state;
  struct call *c = *call_state;

  (void)version;
  if (c == NULL)
    {
      c = talloc_zero (f, struct call);
      c->front = f;
      c->connection = connection;
      c->request_id = ++f->next_request_id;
      c->kind = parse_path (c, url, method);
      c->client = client_guard_begin (f->guard, connection, c, &c->too_large);
      *call_state = c;
      f->open_count++;
      /* A response before the body closes the connection.  */
      return c->too_large && c->kind == CALL_QUEUE
                 ? respond_refusal (c, ANSWER_TOO_LARGE, 0)
                 : MHD_YES;
    }
  if (*size > 0)
    {
      bool kept = append_body (c, data, *size);

      *size = 0;
      return kept ? MHD_YES : MHD_NO;
    }
  if (c->answer != NULL)
    return respond_answer (c);
  client_guard_complete (f->guard, c->client);
  return dispatch_call (c);
}

static void
on_completed (void *state, struct MHD_Connection *connection,
              void **call_state, enum MHD_RequestTerminationCode code)
{
  struct front *f = state;
  struct call *c = *call_state;

  (void)connection;
  (void)code;
  if (c == NULL)
    return;
  if (c->suspended)
    g_hash_table_remove (f->calls, &c->request_id);
  client_guard_end (f->guard, c->client);
  blob_unref (c->body);
  free_action (c->answer);
  talloc_free (c);
  *call_state = NULL;
  f->open_count--;
}

/* Signals the main thread once: after ACTION_EXIT, as soon as every response
   has been sent.  */
static void
signal_if_closed (struct front *f)
{
  if (!f->closing || client_guard_is_busy (f->guard) || f->exit_ring == NULL)
    return;
  ring_push (f->exit_ring, f);
  f->exit_ring = NULL;
}

/* Closes the listening socket and the connections that the stop does not wait
   for; requests in progress are still answered.  */
static void
start_closing (struct front *f)
{
  MHD_socket fd;

  if (f->closing)
    return;
  /* Reads the requests that have arrived.  */
  MHD_run (f->http);
  fd = MHD_quiesce_daemon (f->http);
  if (fd != MHD_INVALID_SOCKET)
    close (fd);
  f->closing = true;
  client_guard_drain (f->guard);
}

static void
on_action (void *state, void *item)
{
  struct front *f = state;
  struct action *a = item;
  uint64_t id = a->kind == ACTION_STATUS ? a->u.status.request_id
                                         : a->u.answer.request_id;
  struct call *c = g_hash_table_lookup (f->calls, &id);

  if (a->kind == ACTION_EXIT)
    start_closing (f);
  if (a->kind == ACTION_EXIT || c == NULL)
    {
      free_action (a);
      return;
    }
  g_hash_table_remove (f->calls, &id);
  c->suspended = false;
  unwatch_disconnect (c);
  c->answer = a;
  MHD_resume_connection (c->connection);
}

static void
on_batch (void *state)
{
  run_http (state);
}

static void
on_http_timer (struct tevent_context *loop, struct tevent_timer *te,
               struct timeval at, void *state)
{
  struct front *f = state;

  (void)loop;
  (void)te;
  (void)at;
  f->timer = NULL;
  run_http (f);
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

static void
run_http (struct front *f)
{
  MHD_UNSIGNED_LONG_LONG ms;
  uint64_t wait_ms;

  MHD_run (f->http);
  TALLOC_FREE (f->timer);
  wait_ms = client_guard_expire (f->guard);
  if (MHD_get_timeout (f->http, &ms) != MHD_YES)
    ms = UINT64_MAX;
  ms = MIN (ms, wait_ms);
  if (ms != UINT64_MAX)
    f->timer = timer_add (f->duty->loop, f->duty->loop, ms * US_PER_MS,
                          on_http_timer, f);
  signal_if_closed (f);
}

static bool
open_http (struct front *f, const struct settings *s)
{
  const union MHD_DaemonInfo *info;
  struct sockaddr_in a;

  if (!address_parse (s->listen_address, &a))
    return false;
  f->http = MHD_start_daemon (
      MHD_USE_EPOLL | MHD_ALLOW_SUSPEND_RESUME, 0, NULL, NULL, on_access, f,
      MHD_OPTION_SOCK_ADDR, &a, MHD_OPTION_NOTIFY_COMPLETED, on_completed, f,
      MHD_OPTION_CONNECTION_LIMIT, (unsigned)s->connection_limit_count,
      MHD_OPTION_CONNECTION_TIMEOUT, (unsigned)IDLE_TIMEOUT_S,
      MHD_OPTION_LISTEN_BACKLOG_SIZE, 1024u, MHD_OPTION_NOTIFY_CONNECTION,
      client_guard_on_connection, f->guard, MHD_OPTION_END);
  if (f->http == NULL)
    return false;
  tevent_add_fd (f->duty->loop, f->duty->loop, f->disconnect_fd,
                 TEVENT_FD_READ, on_disconnect, f);
  info = MHD_get_daemon_info (f->http, MHD_DAEMON_INFO_EPOLL_FD);
  return info != NULL
         && tevent_add_fd (f->duty->loop, f->duty->loop, info->epoll_fd,
                           TEVENT_FD_READ, on_http_ready, f)
                != NULL;
}

struct front *
front_new (const struct settings *s, struct ring *decide,
           struct timeline *timeline, struct ring *exit_ring, char *text)
{
  struct front *f = talloc_zero (NULL, struct front);

  f->exit_ring = exit_ring;
  f->decide = decide;
  f->timeline = timeline;
  f->guard = client_guard_new (f, &s->bodies, drop_body);
  f->calls = g_hash_table_new (g_int64_hash, g_int64_equal);
  f->disconnect_fd = epoll_create1 (EPOLL_CLOEXEC);
  f->duty = duty_new ("front", RING_CAPACITY_COUNT, on_action, f);
  if (f->duty != NULL)
    f->duty->on_batch = on_batch;
  if (f->duty != NULL && open_http (f, s))
    return f;
  snprintf (text, TEXT_BYTES, "\"listen\" %s: cannot start the HTTP server",
            s->listen_address);
  front_free (f);
  return NULL;
}

struct duty *
front_duty (struct front *f)
{
  return f->duty;
}

uint32_t
front_open_count (const struct front *f)
{
  return f->open_count;
}

/* MHD_stop_daemon requires that no connection is suspended.  */
static void
resume_unanswered (gpointer key, gpointer value, gpointer state)
{
  struct call *c = value;

  (void)key;
  (void)state;
  c->suspended = false;
  unwatch_disconnect (c);
  MHD_resume_connection (c->connection);
}

void
front_free (struct front *f)
{
  struct action *a;

  if (f == NULL)
    return;
  if (f->duty != NULL)
    while (ring_pop (f->duty->inbound, (void **)&a, 1) > 0)
      free_action (a);
  g_hash_table_foreach (f->calls, resume_unanswered, NULL);
  g_hash_table_remove_all (f->calls);
  if (f->http != NULL)
    MHD_stop_daemon (f->http);
  g_hash_table_destroy (f->calls);
  duty_free (f->duty);
  close (f->disconnect_fd);
  talloc_free (f);
}
