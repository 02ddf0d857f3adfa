/* test_clients.c -- uncontrolled clients against both front ends.

   Guards against a process that runs out of memory or of connections because
   many clients send large bodies and stop before their end.  Each case sends a
   crowd of one pattern to one entry, checks while the crowd stays connected
   that the entry lives, that its memory and descriptors stay below a bound and
   that it answers an ordinary request, and closes the crowd.  */

#include "tests/site_cluster.h"

#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

/** More clients than connections, so that the crowd also uses these up.  */
#define CROWD_COUNT 240
#define CONNECTION_LIMIT_COUNT 192
#define BODY_LIMIT_BYTES 262144
/** Targets from which the bound on memory follows: 8 MiB for bodies, that is
    32 of the largest; 32 KiB for each connection, the default of
    libmicrohttpd; 8 MiB to decode one body of 131,072 JSON numbers at 48 bytes
    and the array of pointers to them; 2 MiB for the rest.  */
#define BODIES_KIB 8192
#define CONNECTIONS_KIB (CONNECTION_LIMIT_COUNT * 32)
#define DECODING_KIB 8192
#define REST_KIB 2048
#define MEMORY_BOUND_KIB                                                      \
  (BODIES_KIB + CONNECTIONS_KIB + DECODING_KIB + REST_KIB)
/** A sanitizer keeps freed memory and its own state of each byte in the memory
    of the process, so only an ordinary build's memory tells that of the
    entry.  */
#if defined(__SANITIZE_ADDRESS__) || defined(__SANITIZE_THREAD__)
#define MEMORY_IS_CHECKED FALSE
#else
#define MEMORY_IS_CHECKED TRUE
#endif
/** Descriptors that the entry may open beside those of the connections.  */
#define OTHER_DESCRIPTOR_COUNT 32
/** Most time that a crowd sends, and time without any progress after which it
    is taken to have sent all that the entry accepts.  */
#define SEND_LIMIT_US (20 * G_USEC_PER_SEC)
#define QUIET_US (1 * G_USEC_PER_SEC)
#define PIECE_BYTES 1000
/** Most bytes of requests that are sent without reading an answer, and the
    buffer for answers of such a client.  */
#define UNREAD_BYTES 262144
#define UNREAD_BUFFER_BYTES 4096
#define SEGMENT_BYTES 1400
/** Headers that nearly fill the 32 KiB that libmicrohttpd has for them by
    default, and the largest of ordinary clients.  */
#define FULL_HEADER_BYTES 31000
#define LEGAL_HEADER_BYTES 16384
/** Of these, the request line and the headers that each request has.  */
#define PADDED_HEAD_BYTES 200
#define LARGE_CHUNK_BYTES 65536
#define SMALL_CHUNK_BYTES 16
/** Bytes before the end at which most clients stop.  */
#define CUT_BYTES 8
/** An ordinary client tries again for this long, as the crowd may hold all
    connections.  */
#define ORDINARY_LIMIT_US (10 * G_USEC_PER_SEC)
#define RETRY_INTERVAL_US 200000

#define SETTINGS                                                              \
  ",\"connections\":192,\"max_body_bytes\":262144,\"body_memory_bytes\":"     \
  "8388608"

/* What the clients of a crowd send.  */
struct pattern
{
  const gchar *name;
  gsize body_bytes;
  gsize announced_bytes; /* Content-Length; 0: chunked.  */
  gsize chunk_bytes;
  gsize piece_bytes;  /* Most bytes in one send.  */
  bool whole;         /* No client stops before the end.  */
  gsize header_bytes; /* Of the request line and headers; 0: no padding.  */
  guint line_count;   /* Lines that the padding is spread over.  */
  bool unread; /* Sends requests without a body, one after the other, and
                  reads no answer.  */
};

static const struct pattern patterns[] = {
  { "whole_bodies", BODY_LIMIT_BYTES, BODY_LIMIT_BYTES, 0, BODY_LIMIT_BYTES,
    .whole = true },
  { "bodies_in_pieces", BODY_LIMIT_BYTES, BODY_LIMIT_BYTES, 0, PIECE_BYTES,
    .whole = false },
  { "large_chunks", BODY_LIMIT_BYTES, 0, LARGE_CHUNK_BYTES, BODY_LIMIT_BYTES,
    .whole = false },
  { "small_chunks", BODY_LIMIT_BYTES, 0, SMALL_CHUNK_BYTES, BODY_LIMIT_BYTES,
    .whole = false },
  { "over_limit_announced", 4 * BODY_LIMIT_BYTES, 256 * BODY_LIMIT_BYTES, 0,
    BODY_LIMIT_BYTES, .whole = false },
  { "over_limit_sent", 4 * BODY_LIMIT_BYTES, 0, LARGE_CHUNK_BYTES,
    BODY_LIMIT_BYTES, .whole = false },
  { "unread_answers", UNREAD_BYTES, 0, 0, BODY_LIMIT_BYTES, .whole = true,
    .unread = true },
  { "headers_fill_pool", BODY_LIMIT_BYTES, BODY_LIMIT_BYTES, 0,
    BODY_LIMIT_BYTES, .whole = false, .header_bytes = FULL_HEADER_BYTES,
    .line_count = 4 },
  { "many_header_lines", BODY_LIMIT_BYTES, BODY_LIMIT_BYTES, 0,
    BODY_LIMIT_BYTES, .whole = false, .header_bytes = LEGAL_HEADER_BYTES,
    .line_count = 300 },
};

struct client
{
  int fd; /* -1: closed.  */
  GString *head;
  gsize sent_bytes; /* Of head and body.  */
  gsize stop_bytes; /* Sends no more than this.  */
};

/* The entry that gets the crowd, of either kind.  */
struct target
{
  struct site *site; /* NULL: the product's own kind.  */
  struct cluster *cluster;
  pid_t pid;
  guint16 port;
};

struct usage
{
  gint64 high_water_kib;
  gint descriptor_count;
};

static struct usage
read_usage (pid_t pid)
{
  gchar *path = g_strdup_printf ("/proc/%d/status", (int)pid);
  gchar *directory = g_strdup_printf ("/proc/%d/fd", (int)pid);
  GDir *d = g_dir_open (directory, 0, NULL);
  struct usage u = { 0 };
  gchar *text = NULL;
  const gchar *at;

  g_assert_true (g_file_get_contents (path, &text, NULL, NULL));
  at = strstr (text, "VmHWM:");
  g_assert_nonnull (at);
  u.high_water_kib
      = (gint64)g_ascii_strtoull (at + strlen ("VmHWM:"), NULL, 10);
  g_assert_nonnull (d);
  while (g_dir_read_name (d) != NULL)
    u.descriptor_count++;
  g_dir_close (d);
  g_free (text);
  g_free (directory);
  g_free (path);
  return u;
}

/* Returns JSON that needs the most memory to decode for its size, or a form
   of that size.  */
static GString *
make_body (const struct target *t, gsize size)
{
  GString *s = g_string_new (
      t->site != NULL
          ? "{\"Spec\":\"20\",\"Steps\":[{\"Count\":1,\"Cpu\":1000}],\"Pad\":["
          : "run_ms=20&pad=");

  while (s->len + 3 < size)
    g_string_append (s, "0,");
  g_string_append (s, "0");
  while (s->len + 2 < size)
    g_string_append_c (s, ' ');
  g_string_append (s, t->site != NULL ? "]}" : "00");
  return s;
}

/* Returns SIZE bytes of requests that have no body.  */
static GString *
make_requests (const struct target *t, gsize size)
{
  GString *s = g_string_new (NULL);

  while (s->len < size)
    g_string_append_printf (s,
                            "GET %s HTTP/1.1\r\nHost: site\r\n"
                            "Authorization: Bearer key-of-t\r\n\r\n",
                            t->site != NULL ? "/q/0000000000000001"
                                            : "/v1/timeline");
  return s;
}

static GString *
encode_chunks (GString *body, gsize chunk_bytes)
{
  GString *s = g_string_sized_new (2 * body->len);
  gsize i;

  for (i = 0; i < body->len; i += chunk_bytes)
    {
      gsize n = MIN (chunk_bytes, body->len - i);

      g_string_append_printf (s, "%zx\r\n", n);
      g_string_append_len (s, body->str + i, (gssize)n);
      g_string_append (s, "\r\n");
    }
  g_string_append (s, "0\r\n\r\n");
  g_string_free (body, TRUE);
  return s;
}

static GString *
make_head (const struct target *t, const struct pattern *p, guint i)
{
  GString *s = g_string_new (NULL);
  gsize n;
  guint k;

  if (p->unread)
    return s;
  if (t->site != NULL)
    g_string_printf (s, "POST /q/%016x HTTP/1.1\r\n", 0x1000 + i);
  else
    g_string_append (s, "POST /v1/queues/open HTTP/1.1\r\n");
  g_string_append (s, "Host: site\r\nAuthorization: Bearer key-of-t\r\n");
  for (k = 0; k < p->line_count; k++)
    {
      gsize bytes = (p->header_bytes - PADDED_HEAD_BYTES) / p->line_count;

      g_string_append_printf (s, "X-%03u: ", k);
      for (n = strlen ("X-000: \r\n"); n < bytes; n++)
        g_string_append_c (s, 'x');
      g_string_append (s, "\r\n");
    }
  if (p->announced_bytes > 0)
    g_string_append_printf (s, "Content-Length: %zu\r\n\r\n",
                            p->announced_bytes);
  else
    g_string_append (s, "Transfer-Encoding: chunked\r\n\r\n");
  return s;
}

static int
connect_to (guint16 port, bool unread)
{
  int small = UNREAD_BUFFER_BYTES;
  int segment = SEGMENT_BYTES;

  struct sockaddr_in a = { .sin_family = AF_INET,
                           .sin_port = htons (port),
                           .sin_addr.s_addr = htonl (INADDR_LOOPBACK) };
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);

  g_assert_cmpint (fd, >=, 0);
  if (unread)
    {
      /* On loopback the segments, and with them the entry's buffers, are much
         larger than on a network.  */
      setsockopt (fd, IPPROTO_TCP, TCP_MAXSEG, &segment, sizeof segment);
      setsockopt (fd, SOL_SOCKET, SO_RCVBUF, &small, sizeof small);
    }
  if (connect (fd, (struct sockaddr *)&a, sizeof a) != 0)
    g_assert_cmpint (errno, ==, EINPROGRESS);
  return fd;
}

/* Sends the next part of C; closes it when the entry has.  */
static bool
send_part (struct client *c, const GString *body, gsize piece_bytes)
{
  bool in_head = c->sent_bytes < c->head->len;
  const gchar *data = in_head ? c->head->str + c->sent_bytes
                              : body->str + c->sent_bytes - c->head->len;
  gsize left = (in_head ? c->head->len : c->stop_bytes) - c->sent_bytes;
  gssize n = send (c->fd, data, MIN (left, piece_bytes), MSG_NOSIGNAL);

  if (n > 0)
    c->sent_bytes += (gsize)n;
  else if (n < 0 && errno != EAGAIN && errno != ENOTCONN)
    {
      close (c->fd);
      c->fd = -1;
    }
  return n > 0;
}

/* Sends until every client has sent its part, the entry accepts no more or the
   time is over.  */
static void
send_crowd (struct client *crowd, const GString *body, gsize piece_bytes)
{
  gint64 end_us = g_get_monotonic_time () + SEND_LIMIT_US;
  gint64 quiet_us = g_get_monotonic_time () + QUIET_US;
  guint left_count = 1;

  while (left_count > 0 && g_get_monotonic_time () < MIN (end_us, quiet_us))
    {
      bool progress = false;
      guint i;

      left_count = 0;
      for (i = 0; i < CROWD_COUNT; i++)
        if (crowd[i].fd >= 0 && crowd[i].sent_bytes < crowd[i].stop_bytes)
          {
            left_count++;
            progress |= send_part (&crowd[i], body, piece_bytes);
          }
      if (progress)
        quiet_us = g_get_monotonic_time () + QUIET_US;
      else
        g_usleep (1000);
    }
}

static guint
call_ordinary (const struct target *t)
{
  struct blob *b;
  struct http_result r;

  if (t->site != NULL)
    return site_call (t->site, 0, "POST", "/q/0000000000000001",
                      "{\"Spec\":\"20\",\"Steps\":[{\"Count\":1,"
                      "\"Cpu\":1000}]}",
                      NULL, 0);
  b = blob_copy ("run_ms=20", 9);
  cluster_call ("POST", t->port, "/v1/queues/open", NULL, b, &r);
  blob_unref (r.body);
  blob_unref (b);
  return r.status;
}

static guint
try_ordinary (const struct target *t)
{
  gint64 end_us = g_get_monotonic_time () + ORDINARY_LIMIT_US;
  guint status = call_ordinary (t);

  while (status != 200 && g_get_monotonic_time () < end_us)
    {
      g_usleep (RETRY_INTERVAL_US);
      status = call_ordinary (t);
    }
  return status;
}

static void
run_crowd (const struct target *t, const struct pattern *p)
{
  struct client crowd[CROWD_COUNT];
  GString *body = p->unread ? make_requests (t, p->body_bytes)
                            : make_body (t, p->body_bytes);
  struct usage before;
  struct usage after;
  guint status;
  guint i;

  if (p->announced_bytes == 0 && !p->unread)
    body = encode_chunks (body, p->chunk_bytes);
  g_assert_cmpuint (try_ordinary (t), ==, 200);
  before = read_usage (t->pid);
  for (i = 0; i < CROWD_COUNT; i++)
    {
      crowd[i].fd = connect_to (t->port, p->unread);
      crowd[i].head = make_head (t, p, i);
      crowd[i].sent_bytes = 0;
      crowd[i].stop_bytes = crowd[i].head->len + body->len
                            - (p->whole || i % 4 == 3 ? 0 : CUT_BYTES);
    }
  send_crowd (crowd, body, p->piece_bytes);
  status = try_ordinary (t);
  g_assert_cmpint (waitpid (t->pid, NULL, WNOHANG), ==, 0);
  after = read_usage (t->pid);
  for (i = 0; i < CROWD_COUNT; i++)
    {
      if (crowd[i].fd >= 0)
        close (crowd[i].fd);
      g_string_free (crowd[i].head, TRUE);
    }
  g_string_free (body, TRUE);
  g_test_message ("memory grew by %" G_GINT64_FORMAT " KiB (bound %d), %d "
                  "descriptors more (bound %d), ordinary request: %u",
                  after.high_water_kib - before.high_water_kib,
                  MEMORY_BOUND_KIB,
                  after.descriptor_count - before.descriptor_count,
                  CONNECTION_LIMIT_COUNT + OTHER_DESCRIPTOR_COUNT, status);
  if (MEMORY_IS_CHECKED
      && after.high_water_kib - before.high_water_kib > MEMORY_BOUND_KIB)
    g_test_fail_printf ("memory above its bound");
  if (after.descriptor_count - before.descriptor_count
      > CONNECTION_LIMIT_COUNT + OTHER_DESCRIPTOR_COUNT)
    g_test_fail_printf ("descriptors above their bound");
  if (status != 200)
    g_test_fail_printf ("the ordinary request got no answer");
}

static void
test_site_front (gconstpointer pattern)
{
  struct site s;
  struct target t = { .site = &s };

  site_start_with (&s, SETTINGS);
  t.pid = s.entries[0];
  t.port = site_api_port (&s, 0);
  run_crowd (&t, pattern);
  site_stop (&s);
}

static void
test_front (gconstpointer pattern)
{
  struct target t = { .cluster = cluster_start_with (1, 2, SETTINGS) };

  cluster_publish (t.cluster, 100);
  cluster_wait_version (t.cluster, 1);
  t.pid = t.cluster->entries[0];
  t.port = cluster_entry_port (t.cluster, 0);
  run_crowd (&t, pattern);
  cluster_stop (t.cluster);
}

int
main (int argc, char **argv)
{
  guint i;

  cluster_init (&argc, &argv);
  for (i = 0; i < G_N_ELEMENTS (patterns); i++)
    {
      gchar *site_path
          = g_strdup_printf ("/clients/site/%s", patterns[i].name);
      gchar *path = g_strdup_printf ("/clients/entry/%s", patterns[i].name);

      g_test_add_data_func (site_path, &patterns[i], test_site_front);
      g_test_add_data_func (path, &patterns[i], test_front);
      g_free (site_path);
      g_free (path);
    }
  return g_test_run ();
}
