/* soak_client.c -- clients of an entry, a thread each.  */

#include "tests/soak_client.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define ANSWER_BYTES 8192
#define BYTE_INTERVAL_MS 200
#define RECONNECT_MS 100
#define RETRY_MS 300
#define UNREAD_BUFFER_BYTES 4096
#define SLOW_BODY_BYTES 600
#define JOB                                                                   \
  "{\"Spec\":\"500\",\"Steps\":[{\"Count\":1,\"Cpu\":1000,"                   \
  "\"EstimateMs\":500,\"Image\":\"short\"}]}"

static const gchar *const kind_names[SOAK_KIND_COUNT]
    = { [SOAK_ASKS] = "asks",           [SOAK_SUBMITS] = "submits",
        [SOAK_SLOW_BODY] = "slow_body", [SOAK_SLOW_HEADERS] = "slow_headers",
        [SOAK_UNREAD] = "unread",       [SOAK_IDLE] = "idle" };

const gchar *
soak_kind_name (enum soak_kind kind)
{
  return kind_names[kind];
}

gboolean
soak_kind_parse (const gchar *name, enum soak_kind *kind)
{
  guint i;

  for (i = 0; i < SOAK_KIND_COUNT; i++)
    if (g_strcmp0 (name, kind_names[i]) == 0)
      {
        *kind = (enum soak_kind)i;
        return TRUE;
      }
  return FALSE;
}

gchar *
soak_job_path (guint number)
{
  return g_strdup_printf ("/q/%016x", number);
}

static gboolean
is_stopped (struct soak_client *c)
{
  return g_atomic_int_get (&c->stop) != 0;
}

/* Waits for EVENTS on FD, at most LIMIT_MS, and less if the client is stopped;
   FD -1: just waits.  */
static gboolean
wait_for (struct soak_client *c, int fd, short events, gint64 limit_ms)
{
  gint64 end_us = g_get_monotonic_time () + limit_ms * 1000;

  while (!is_stopped (c))
    {
      struct pollfd p = { .fd = fd, .events = events };
      gint64 left_ms = (end_us - g_get_monotonic_time ()) / 1000;

      if (left_ms < 0 || (left_ms == 0 && limit_ms > 0))
        return FALSE;
      if (poll (&p, 1, (int)MIN (left_ms, 50)) > 0)
        return TRUE;
      if (limit_ms == 0)
        return FALSE;
    }
  return FALSE;
}

static int
connect_to (struct soak_client *c, guint16 port)
{
  struct sockaddr_in a = { .sin_family = AF_INET,
                           .sin_port = htons (port),
                           .sin_addr.s_addr = htonl (INADDR_LOOPBACK) };
  int small = UNREAD_BUFFER_BYTES;
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

  if (c->kind == SOAK_UNREAD)
    setsockopt (fd, SOL_SOCKET, SO_RCVBUF, &small, sizeof small);
  if (fd >= 0 && connect (fd, (struct sockaddr *)&a, sizeof a) == 0)
    return fd;
  close (fd);
  return -1;
}

/* Returns the status of the answer in TEXT if it is whole, else 0.  */
static guint
whole_status (const gchar *text, gsize bytes)
{
  const gchar *end = strstr (text, "\r\n\r\n");
  const gchar *length = strcasestr (text, "Content-Length:");

  if (end == NULL || length == NULL || length > end
      || bytes < (gsize)(end + 4 - text)
                     + strtoul (length + strlen ("Content-Length:"), NULL, 10))
    return 0;
  return (guint)strtoul (text + strlen ("HTTP/1.1 "), NULL, 10);
}

/* Sends TEXT on *FD, or on a new connection to PORT, and reads the answer.
   Closes *FD when the connection has ended.  */
static void
request (struct soak_client *c, int *fd, guint16 port, const gchar *text,
         struct request_record *r)
{
  gchar answer[ANSWER_BYTES];
  gsize n = 0;

  r->port = port;
  r->by = c->kind;
  if (*fd < 0)
    *fd = connect_to (c, port);
  r->sent_at_us = g_get_monotonic_time ();
  r->end = *fd < 0 ? REQUEST_NOT_SENT : REQUEST_LATE;
  r->status = 0;
  if (*fd >= 0 && send (*fd, text, strlen (text), MSG_NOSIGNAL) < 0)
    r->end = REQUEST_CUT;
  while (r->end == REQUEST_LATE && r->status == 0
         && wait_for (c, *fd, POLLIN,
                      CLIENT_LIMIT_MS
                          - (g_get_monotonic_time () - r->sent_at_us) / 1000))
    {
      gssize got = recv (*fd, answer + n, sizeof answer - 1 - n, 0);

      if (got <= 0)
        {
          r->end = REQUEST_CUT;
          break;
        }
      n += (gsize)got;
      answer[n] = '\0';
      r->status = whole_status (answer, n);
    }
  if (r->status != 0)
    r->end = REQUEST_ANSWERED;
  r->ended_at_us = g_get_monotonic_time ();
  if (*fd >= 0
      && (r->status == 0 || strcasestr (answer, "Connection: close") != NULL))
    {
      close (*fd);
      *fd = -1;
    }
}

static void
add_record (struct soak_client *c, const struct request_record *r)
{
  /* A request that the end of the play cut short tells nothing.  */
  if (is_stopped (c))
    return;
  pthread_mutex_lock (&c->log->lock);
  g_array_append_val (c->log->records, *r);
  pthread_mutex_unlock (&c->log->lock);
}

static gchar *
make_request (guint job, gboolean submits)
{
  gchar *path = soak_job_path (job);
  gchar *text = g_strdup_printf (
      "%s %s HTTP/1.1\r\nHost: site\r\nAuthorization: Bearer key-of-t\r\n"
      "X-Fulmartack-Deadline-Ms: %u\r\nContent-Length: %zu\r\n\r\n%s",
      submits ? "POST" : "GET", path, CLIENT_LIMIT_MS,
      submits ? strlen (JOB) : 0, submits ? JOB : "");

  g_free (path);
  return text;
}

static void
run_asking (struct soak_client *c)
{
  gchar *text = make_request (c->job, FALSE);
  int fd = -1;

  while (!is_stopped (c))
    {
      struct request_record r = { .job = c->job };

      request (c, &fd, c->ports[0], text, &r);
      add_record (c, &r);
      wait_for (c, -1, 0, fd < 0 ? MAX (c->gap_ms, RECONNECT_MS) : c->gap_ms);
    }
  if (fd >= 0)
    close (fd);
  g_free (text);
}

/* Submits one job after the other, each until it is accepted, at one entry
   after the other.  */
static void
run_submitting (struct soak_client *c)
{
  guint at = 0;
  guint job = c->job;
  int fd = -1;

  while (!is_stopped (c))
    {
      struct request_record r = { .job = job };
      gchar *text = make_request (job, TRUE);

      request (c, &fd, c->ports[at % c->port_count], text, &r);
      add_record (c, &r);
      g_free (text);
      if (r.status >= 200 && r.status < 300)
        {
          job++;
          wait_for (c, -1, 0, c->gap_ms);
          continue;
        }
      if (fd >= 0)
        close (fd);
      fd = -1;
      at++;
      wait_for (c, -1, 0, RETRY_MS);
    }
  if (fd >= 0)
    close (fd);
}

/* Sends TEXT and then byte after byte of a body or a header until the entry
   closes the connection; then begins again.  */
static void
run_slow (struct soak_client *c)
{
  gchar *head
      = c->head != NULL
            ? g_strdup (c->head)
            : g_strdup_printf ("POST /q/%016x HTTP/1.1\r\nHost: site\r\n"
                               "Authorization: Bearer key-of-t\r\n",
                               c->job);
  gchar *text = g_strdup_printf (
      c->kind == SOAK_SLOW_BODY ? "%sContent-Length: %d\r\n\r\n" : "%sX: ",
      head, SLOW_BODY_BYTES);

  while (!is_stopped (c))
    {
      int fd = connect_to (c, c->ports[0]);
      guint n = 0;

      if (fd >= 0 && c->kind != SOAK_IDLE)
        send (fd, text, strlen (text), MSG_NOSIGNAL);
      while (fd >= 0 && !wait_for (c, fd, POLLIN, BYTE_INTERVAL_MS)
             && !is_stopped (c))
        if (c->kind != SOAK_IDLE && ++n < SLOW_BODY_BYTES)
          send (fd, " ", 1, MSG_NOSIGNAL);
      if (fd >= 0)
        close (fd);
      wait_for (c, -1, 0, RECONNECT_MS);
    }
  g_free (text);
  g_free (head);
}

/* Sends requests as long as the entry takes them, without reading.  */
static void
run_unread (struct soak_client *c)
{
  gchar *text = c->head != NULL ? g_strconcat (c->head, "\r\n", NULL)
                                : make_request (c->job, FALSE);

  while (!is_stopped (c))
    {
      int fd = connect_to (c, c->ports[0]);

      while (fd >= 0 && !is_stopped (c))
        if (!wait_for (c, fd, POLLOUT, 0))
          {
            if (wait_for (c, fd, POLLERR, 100))
              break;
          }
        else if (send (fd, text, strlen (text), MSG_NOSIGNAL | MSG_DONTWAIT)
                 <= 0)
          break;
      if (fd >= 0)
        close (fd);
      wait_for (c, -1, 0, RECONNECT_MS);
    }
  g_free (text);
}

static gpointer
run (gpointer state)
{
  struct soak_client *c = state;

  switch (c->kind)
    {
    case SOAK_ASKS:
      run_asking (c);
      break;
    case SOAK_SUBMITS:
      run_submitting (c);
      break;
    case SOAK_SLOW_BODY:
    case SOAK_SLOW_HEADERS:
    case SOAK_IDLE:
      run_slow (c);
      break;
    case SOAK_UNREAD:
      run_unread (c);
      break;
    case SOAK_KIND_COUNT:
      break;
    }
  return NULL;
}

void
soak_client_start (struct soak_client *c)
{
  c->thread = g_thread_new ("client", run, c);
}

void
soak_client_join (struct soak_client *c)
{
  g_atomic_int_set (&c->stop, 1);
  g_thread_join (c->thread);
}
