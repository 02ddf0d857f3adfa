/* http_client.c -- libcurl's multi interface driven by tevent.  */

#include "adapter/http_client.h"

#include "adapter/duty.h"
#include "adapter/http_connections.h"
#include "adapter/timer.h"
#include "port/types.h"

#include <curl/curl.h>
#include <glib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

/** Largest body of an answer; a larger one fails the call.  */
#define ANSWER_LIMIT_BYTES (64u << 20)

/** Most easy handles kept for reuse: about as many as a busy entry has calls
    in progress.  */
#define IDLE_LIMIT_COUNT 256

struct http_client
{
  CURLM *multi;
  struct tevent_context *loop;
  struct tevent_timer *timer;
  struct transfer *transfers; /**< Calls in progress.  */
  struct http_connections *connections;
  GHashTable *waiting_counts;   /**< Authority to the number of calls that want
                                   a tag and have no connection yet.  */
  CURL *idle[IDLE_LIMIT_COUNT]; /**< Handles for reuse.  */
  uint32_t idle_count;
};

/* One call in progress; a child of the client.  */
struct transfer
{
  struct transfer *next;
  struct transfer **previous;
  struct http_client *client;
  CURL *easy;
  struct curl_slist *headers;
  struct blob *request;
  struct blob *answer;
  uint32_t answer_bytes; /**< Bytes of answer filled.  */
  uint32_t send_count;   /**< Times the request was about to be sent.  */
  bool send_once;
  char authority[AUTHORITY_BYTES];
  char tag[HTTP_TAG_BYTES]; /**< Wanted of its connection; empty: none.  */
  bool waiting;             /**< It is counted in waiting_counts.  */
  bool wrong_connection;
  struct http_connection *opened; /**< That it has opened, if still open.  */
  struct http_connection *connection; /**< That it is sent on, if open.  */
  char task_id[ID_BYTES]; /**< Empty if the answer is not checked for it.  */
  http_done_fn *on_done;
  void *state;
};

/* A socket of libcurl that the loop watches.  */
struct watch
{
  struct http_client *client;
  struct tevent_fd *fde;
  curl_socket_t fd;
};

/* Returns an idle handle or else a new one: creating a handle costs more than
   the rest of a call.  */
static CURL *
take_handle (struct http_client *c)
{
  return c->idle_count > 0 ? c->idle[--c->idle_count] : curl_easy_init ();
}

static void
put_handle (struct http_client *c, CURL *easy)
{
  if (c->idle_count == IDLE_LIMIT_COUNT)
    {
      curl_easy_cleanup (easy);
      return;
    }
  curl_easy_reset (easy);
  c->idle[c->idle_count++] = easy;
}

static void
stop_waiting (struct transfer *t)
{
  GHashTable *counts = t->client->waiting_counts;
  guint n;

  if (!t->waiting)
    return;
  t->waiting = false;
  n = GPOINTER_TO_UINT (g_hash_table_lookup (counts, t->authority));
  if (n > 1)
    g_hash_table_insert (counts, g_strdup (t->authority),
                         GUINT_TO_POINTER (n - 1));
  else
    g_hash_table_remove (counts, t->authority);
}

/* Forgets the socket that T has opened, unless it was sent on.  libcurl closes
   one that could not be connected without a call of close_socket.  */
static void
forget_opened (struct transfer *t)
{
  if (t->opened != NULL && t->opened != t->connection)
    http_connections_remove (t->client->connections, t->opened->fd);
  t->opened = NULL;
}

static void
release_connection (struct transfer *t)
{
  forget_opened (t);
  if (t->connection != NULL)
    {
      t->connection->busy = false;
      t->connection->used_at_us = now_us ();
    }
  t->connection = NULL;
}

static int
transfer_free (struct transfer *t)
{
  stop_waiting (t);
  release_connection (t);
  *t->previous = t->next;
  if (t->next != NULL)
    t->next->previous = t->previous;
  curl_multi_remove_handle (t->client->multi, t->easy);
  put_handle (t->client, t->easy);
  curl_slist_free_all (t->headers);
  blob_unref (t->request);
  blob_unref (t->answer);
  return 0;
}

/* Called when the connection is established, before the request is sent.
   libcurl repeats a request by itself when a reused connection breaks without
   an answer; the server may have run it by then, so the second sending of a
   send_once call is refused.  So is one on a connection without the wanted
   tag.  */
static int
before_send (void *state, char *remote, char *local, int remote_port,
             int local_port)
{
  struct transfer *t = state;
  struct http_connection *x
      = t->opened != NULL
            ? t->opened
            : http_connections_find (t->client->connections, t->authority,
                                     (uint16_t)local_port);

  (void)remote;
  (void)local;
  (void)remote_port;
  stop_waiting (t);
  if (t->send_once && t->send_count > 0)
    return CURL_PREREQFUNC_ABORT;
  if (t->tag[0] != '\0' && (x == NULL || strcmp (x->tag, t->tag) != 0))
    {
      t->wrong_connection = true;
      return CURL_PREREQFUNC_ABORT;
    }
  t->connection = x;
  if (x != NULL)
    x->busy = true;
  t->send_count++;
  return CURL_PREREQFUNC_OK;
}

/* Forgets the connection of FD, which is closed.  */
static void
forget_socket (struct http_client *c, curl_socket_t fd)
{
  struct transfer *t;

  for (t = c->transfers; t != NULL; t = t->next)
    {
      if (t->opened != NULL && t->opened->fd == fd)
        t->opened = NULL;
      if (t->connection != NULL && t->connection->fd == fd)
        t->connection = NULL;
    }
  http_connections_remove (c->connections, fd);
}

static curl_socket_t
open_socket (void *state, curlsocktype purpose, struct curl_sockaddr *a)
{
  struct transfer *t = state;
  curl_socket_t fd
      = socket (a->family, a->socktype | SOCK_CLOEXEC, a->protocol);

  (void)purpose;
  forget_opened (t);
  if (fd == CURL_SOCKET_BAD)
    return fd;
  forget_socket (t->client, fd);
  t->opened = http_connections_add (t->client->connections, t->authority, fd);
  return fd;
}

/* Called with the client, as the call that opened FD may have ended.  */
static int
close_socket (void *state, curl_socket_t fd)
{
  forget_socket (state, fd);
  return close (fd);
}

void
http_connection_tag (struct http_connection *x, const char *tag)
{
  text_copy (x->tag, sizeof x->tag, tag);
}

void
http_client_drop_idle (struct http_client *c, const char *authority,
                       uint64_t since_us)
{
  http_connections_shut_down (c->connections, authority, since_us);
}

uint32_t
http_client_free_count (const struct http_client *c, const char *authority,
                        const char *tag)
{
  uint32_t n = http_connections_count_idle (c->connections, authority, tag);
  uint32_t waiting
      = GPOINTER_TO_UINT (g_hash_table_lookup (c->waiting_counts, authority));

  return n > waiting ? n - waiting : 0;
}

/* Returns the answer's header NAME, or NULL.  */
static const char *
answer_header (const struct transfer *t, const char *name)
{
  struct curl_header *h;

  if (curl_easy_header (t->easy, name, 0, CURLH_HEADER, -1, &h) != CURLHE_OK)
    return NULL;
  return h->value;
}

static void
read_headers (const struct transfer *t, struct http_result *r)
{
  const char *run = answer_header (t, "Run");
  const char *task = answer_header (t, "Task-Id");

  r->not_run = run != NULL && strcmp (run, "no") == 0;
  r->wrong_task_id = t->task_id[0] != '\0' && task != NULL
                     && strcmp (task, t->task_id) != 0;
}

static void
finish_transfer (struct transfer *t, CURLcode code)
{
  struct http_result r = { 0 };
  long status = 0;
  curl_off_t elapsed_us = 0;
  char *type = NULL;

  curl_easy_getinfo (t->easy, CURLINFO_RESPONSE_CODE, &status);
  curl_easy_getinfo (t->easy, CURLINFO_TOTAL_TIME_T, &elapsed_us);
  curl_easy_getinfo (t->easy, CURLINFO_CONTENT_TYPE, &type);
  r.answered = code == CURLE_OK;
  r.sent = t->send_count > 0;
  r.wrong_connection = t->wrong_connection && t->send_count == 0;
  r.connection = t->connection;
  read_headers (t, &r);
  r.status = r.answered ? (uint32_t)status : 0;
  r.elapsed_us = (uint32_t)elapsed_us;
  if (r.answered)
    {
      if (t->answer == NULL)
        t->answer = blob_new (0);
      if (t->answer != NULL)
        {
          t->answer->size_bytes = t->answer_bytes;
          if (type != NULL)
            text_copy (t->answer->content_type, sizeof t->answer->content_type,
                       type);
        }
      r.body = t->answer;
    }
  stop_waiting (t);
  release_connection (t);
  t->on_done (t->state, &r);
  talloc_free (t);
}

/* Finishes the calls that libcurl reports as ended.  */
static void
finish_ended (struct http_client *c)
{
  CURLMsg *m;
  int left;

  while ((m = curl_multi_info_read (c->multi, &left)) != NULL)
    {
      struct transfer *t = NULL;

      if (m->msg != CURLMSG_DONE)
        continue;
      curl_easy_getinfo (m->easy_handle, CURLINFO_PRIVATE, (char **)&t);
      finish_transfer (t, m->data.result);
    }
}

static void
on_socket_ready (struct tevent_context *loop, struct tevent_fd *fde,
                 uint16_t flags, void *state)
{
  struct watch *w = state;
  struct http_client *c = w->client;
  curl_socket_t fd = w->fd;
  int mask = 0;
  int running;

  (void)loop;
  (void)fde;
  if (flags & TEVENT_FD_READ)
    mask |= CURL_CSELECT_IN;
  if (flags & TEVENT_FD_WRITE)
    mask |= CURL_CSELECT_OUT;
  curl_multi_socket_action (c->multi, fd, mask, &running);
  finish_ended (c);
}

static void
on_timer (struct tevent_context *loop, struct tevent_timer *te,
          struct timeval at, void *state)
{
  struct http_client *c = state;
  int running;

  (void)loop;
  (void)te;
  (void)at;
  c->timer = NULL;
  curl_multi_socket_action (c->multi, CURL_SOCKET_TIMEOUT, 0, &running);
  finish_ended (c);
}

static int
set_timer (CURLM *multi, long timeout_ms, void *state)
{
  struct http_client *c = state;

  (void)multi;
  TALLOC_FREE (c->timer);
  if (timeout_ms >= 0)
    c->timer = timer_add (c->loop, c, (uint64_t)timeout_ms * US_PER_MS,
                          on_timer, c);
  return 0;
}

static int
watch_socket (CURL *easy, curl_socket_t fd, int what, void *state,
              void *socket_state)
{
  struct http_client *c = state;
  struct watch *w = socket_state;
  uint16_t flags = 0;

  (void)easy;
  if (what == CURL_POLL_REMOVE)
    {
      talloc_free (w);
      curl_multi_assign (c->multi, fd, NULL);
      return 0;
    }
  if (what & CURL_POLL_IN)
    flags |= TEVENT_FD_READ;
  if (what & CURL_POLL_OUT)
    flags |= TEVENT_FD_WRITE;
  if (w == NULL)
    {
      w = talloc_zero (c, struct watch);
      w->client = c;
      w->fd = fd;
      w->fde = tevent_add_fd (c->loop, w, fd, flags, on_socket_ready, w);
      curl_multi_assign (c->multi, fd, w);
    }
  else
    tevent_fd_set_flags (w->fde, flags);
  return 0;
}

static int
client_free (struct http_client *c)
{
  while (c->transfers != NULL)
    talloc_free (c->transfers);
  while (c->idle_count > 0)
    curl_easy_cleanup (c->idle[--c->idle_count]);
  curl_multi_cleanup (c->multi);
  g_hash_table_destroy (c->waiting_counts);
  return 0;
}

struct http_client *
http_client_new (TALLOC_CTX *mem, struct tevent_context *loop,
                 uint32_t host_connection_limit_count)
{
  struct http_client *c = talloc_zero (mem, struct http_client);

  if (c == NULL)
    return NULL;
  c->loop = loop;
  c->connections = http_connections_new (c);
  c->waiting_counts
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  c->multi = curl_multi_init ();
  curl_multi_setopt (c->multi, CURLMOPT_SOCKETFUNCTION, watch_socket);
  curl_multi_setopt (c->multi, CURLMOPT_SOCKETDATA, c);
  curl_multi_setopt (c->multi, CURLMOPT_TIMERFUNCTION, set_timer);
  curl_multi_setopt (c->multi, CURLMOPT_TIMERDATA, c);
  curl_multi_setopt (c->multi, CURLMOPT_MAX_HOST_CONNECTIONS,
                     (long)host_connection_limit_count);
  curl_multi_setopt (c->multi, CURLMOPT_MAXCONNECTS, 1024L);
  talloc_set_destructor (c, client_free);
  return c;
}

/* Appends received bytes to the answer.  Taking fewer makes libcurl fail the
   call.  */
static size_t
append_answer (char *data, size_t size, size_t count, void *state)
{
  struct transfer *t = state;
  size_t n = size * count;
  size_t need = t->answer_bytes + n;
  struct blob *b = t->answer;

  if (need > ANSWER_LIMIT_BYTES)
    return 0;
  if (b == NULL || need > b->size_bytes)
    {
      curl_off_t length = -1;
      size_t capacity_bytes = need * 2;

      curl_easy_getinfo (t->easy, CURLINFO_CONTENT_LENGTH_DOWNLOAD_T, &length);
      if (length >= (curl_off_t)need && length <= ANSWER_LIMIT_BYTES)
        capacity_bytes = (size_t)length;
      b = blob_new ((uint32_t)capacity_bytes);
      if (b == NULL)
        return 0;
      if (t->answer != NULL)
        memcpy (b->data, t->answer->data, t->answer_bytes);
      blob_unref (t->answer);
      t->answer = b;
    }
  memcpy (b->data + t->answer_bytes, data, n);
  t->answer_bytes = (uint32_t)need;
  return n;
}

static void
set_request (struct transfer *t, const struct http_call *call)
{
  const char *const *line;

  if (strcmp (call->method, "POST") == 0)
    {
      curl_easy_setopt (t->easy, CURLOPT_POST, 1L);
      curl_easy_setopt (t->easy, CURLOPT_POSTFIELDSIZE_LARGE,
                        (curl_off_t)(t->request ? t->request->size_bytes : 0));
      curl_easy_setopt (t->easy, CURLOPT_POSTFIELDS,
                        t->request ? (char *)t->request->data : "");
      /* Send the body at once: no "Expect: 100-continue".  */
      t->headers = curl_slist_append (t->headers, "Expect:");
    }
  else if (strcmp (call->method, "GET") != 0)
    curl_easy_setopt (t->easy, CURLOPT_CUSTOMREQUEST, call->method);
  for (line = call->header_lines; line != NULL && *line != NULL; line++)
    t->headers = curl_slist_append (t->headers, *line);
  curl_easy_setopt (t->easy, CURLOPT_HTTPHEADER, t->headers);
}

static void
want_tag (struct transfer *t, const char *tag)
{
  GHashTable *counts = t->client->waiting_counts;
  guint n = GPOINTER_TO_UINT (g_hash_table_lookup (counts, t->authority));

  text_copy (t->tag, sizeof t->tag, tag);
  t->waiting = true;
  g_hash_table_insert (counts, g_strdup (t->authority),
                       GUINT_TO_POINTER (n + 1));
}

void *
http_client_start (struct http_client *c, const struct http_call *call)
{
  struct transfer *t = talloc_zero (c, struct transfer);

  if (t == NULL)
    return NULL;
  t->easy = take_handle (c);
  if (t->easy == NULL)
    {
      talloc_free (t);
      return NULL;
    }
  t->client = c;
  t->request = blob_ref (call->body);
  t->on_done = call->on_done;
  t->state = call->state;
  t->send_once = call->send_once;
  http_authority_get (call->url, t->authority);
  if (call->connection_tag != NULL)
    want_tag (t, call->connection_tag);
  if (call->task_id != NULL)
    text_copy (t->task_id, sizeof t->task_id, call->task_id);
  t->next = c->transfers;
  t->previous = &c->transfers;
  if (t->next != NULL)
    t->next->previous = &t->next;
  c->transfers = t;
  talloc_set_destructor (t, transfer_free);
  curl_easy_setopt (t->easy, CURLOPT_URL, call->url);
  curl_easy_setopt (t->easy, CURLOPT_PRIVATE, t);
  curl_easy_setopt (t->easy, CURLOPT_WRITEFUNCTION, append_answer);
  curl_easy_setopt (t->easy, CURLOPT_WRITEDATA, t);
  curl_easy_setopt (t->easy, CURLOPT_NOSIGNAL, 1L);
  /* Ignore the proxies that the environment names.  */
  curl_easy_setopt (t->easy, CURLOPT_PROXY, "");
  curl_easy_setopt (t->easy, CURLOPT_TIMEOUT_MS, (long)call->timeout_ms);
  curl_easy_setopt (t->easy, CURLOPT_CONNECTTIMEOUT_MS,
                    (long)call->connect_timeout_ms);
  curl_easy_setopt (t->easy, CURLOPT_PREREQFUNCTION, before_send);
  curl_easy_setopt (t->easy, CURLOPT_PREREQDATA, t);
  curl_easy_setopt (t->easy, CURLOPT_OPENSOCKETFUNCTION, open_socket);
  curl_easy_setopt (t->easy, CURLOPT_OPENSOCKETDATA, t);
  curl_easy_setopt (t->easy, CURLOPT_CLOSESOCKETFUNCTION, close_socket);
  curl_easy_setopt (t->easy, CURLOPT_CLOSESOCKETDATA, c);
  if (call->fresh_connection)
    curl_easy_setopt (t->easy, CURLOPT_FRESH_CONNECT, 1L);
  /* Nothing may reuse it, so it would only accumulate if kept open.  */
  if (call->fresh_connection && !call->keep_connection)
    curl_easy_setopt (t->easy, CURLOPT_FORBID_REUSE, 1L);
  set_request (t, call);
  curl_multi_add_handle (c->multi, t->easy);
  return t;
}

void
http_client_abort (struct http_client *c, void *id)
{
  (void)c;
  talloc_free (id);
}

/* The state of the call in http_client_perform.  */
struct blocking_call
{
  struct http_result result;
  bool done;
};

static void
on_blocking_call_done (void *state, const struct http_result *r)
{
  struct blocking_call *w = state;

  w->result = *r;
  blob_ref (r->body);
  w->done = true;
}

void
http_client_perform (TALLOC_CTX *mem, const struct http_call *call,
                     struct http_result *result)
{
  TALLOC_CTX *tmp = talloc_new (mem);
  struct tevent_context *loop = tevent_context_init (tmp);
  struct http_client *c = http_client_new (tmp, loop, 4);
  struct http_call own_call = *call;
  struct blocking_call w = { 0 };

  own_call.on_done = on_blocking_call_done;
  own_call.state = &w;
  if (http_client_start (c, &own_call) != NULL)
    while (!w.done && tevent_loop_once (loop) == 0)
      continue;
  *result = w.result;
  talloc_free (c);
  talloc_free (tmp);
}
