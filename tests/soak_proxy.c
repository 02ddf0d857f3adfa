/* soak_proxy.c -- a TCP proxy with a thread of its own.  */

#include "tests/soak_proxy.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#define POLL_MS 5
#define PART_BYTES 65536
#define BACKLOG_COUNT 64

/* A part of a stream that was read and has not passed.  */
struct part
{
  gint64 due_us;
  GBytes *bytes;
};

/* A connection: side 0 is the client's, 1 the server's.  */
struct pipe_pair
{
  int fds[2];
  GQueue held[2]; /* struct part, read from that side.  */
};

struct soak_proxy
{
  GThread *thread;
  int listen_fd;
  guint16 to;
  gint mode; /* Atomic, as the next two.  */
  gint delay_ms;
  gint stop;
  GPtrArray *pairs;
};

static const gchar *const mode_names[PROXY_MODE_COUNT]
    = { [PROXY_PASS] = "pass",
        [PROXY_DELAY] = "delay",
        [PROXY_SILENT] = "silent",
        [PROXY_ONE_WAY] = "one_way",
        [PROXY_RESET] = "reset" };

const gchar *
proxy_mode_name (enum proxy_mode mode)
{
  return mode_names[mode];
}

gboolean
proxy_mode_parse (const gchar *name, enum proxy_mode *mode)
{
  guint i;

  for (i = 0; i < PROXY_MODE_COUNT; i++)
    if (g_strcmp0 (name, mode_names[i]) == 0)
      {
        *mode = (enum proxy_mode)i;
        return TRUE;
      }
  return FALSE;
}

static int
open_socket (guint16 port, gboolean listens)
{
  struct sockaddr_in a = { .sin_family = AF_INET,
                           .sin_port = htons (port),
                           .sin_addr.s_addr = htonl (INADDR_LOOPBACK) };
  int one = 1;
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

  g_assert_cmpint (fd, >=, 0);
  setsockopt (fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
  if (listens)
    g_assert_cmpint (bind (fd, (struct sockaddr *)&a, sizeof a), ==, 0);
  if (listens ? listen (fd, BACKLOG_COUNT) == 0
              : connect (fd, (struct sockaddr *)&a, sizeof a) == 0)
    return fd;
  close (fd);
  return -1;
}

static void
free_part (struct part *x)
{
  g_bytes_unref (x->bytes);
  g_free (x);
}

/* Closes P; with RESET, so that the other ends get a reset.  */
static void
close_pair (struct pipe_pair *p, gboolean reset)
{
  struct linger none = { .l_onoff = 1 };
  struct part *x;
  int i;

  for (i = 0; i < 2; i++)
    {
      if (reset)
        setsockopt (p->fds[i], SOL_SOCKET, SO_LINGER, &none, sizeof none);
      close (p->fds[i]);
      while ((x = g_queue_pop_head (&p->held[i])) != NULL)
        free_part (x);
    }
  g_free (p);
}

static void
accept_pair (struct soak_proxy *p)
{
  int fd = accept4 (p->listen_fd, NULL, NULL, SOCK_CLOEXEC);
  int to = open_socket (p->to, FALSE);
  struct pipe_pair *x;

  if (fd < 0 || to < 0)
    {
      close (fd);
      close (to);
      return;
    }
  x = g_new0 (struct pipe_pair, 1);
  x->fds[0] = fd;
  x->fds[1] = to;
  g_ptr_array_add (p->pairs, x);
}

/* Reads from side I of X.  Returns FALSE if that side has closed.  */
static gboolean
read_side (struct soak_proxy *p, struct pipe_pair *x, int i)
{
  static const gint64 never_us = G_MAXINT64;
  gchar buffer[PART_BYTES];
  gssize n = recv (x->fds[i], buffer, sizeof buffer, MSG_DONTWAIT);
  enum proxy_mode mode = (enum proxy_mode)g_atomic_int_get (&p->mode);
  struct part *part;

  if (n <= 0)
    return FALSE;
  part = g_new0 (struct part, 1);
  part->bytes = g_bytes_new (buffer, (gsize)n);
  if (mode == PROXY_DELAY)
    part->due_us
        = g_get_monotonic_time () + 1000 * g_atomic_int_get (&p->delay_ms);
  else if (mode == PROXY_SILENT || (mode == PROXY_ONE_WAY && i == 1))
    part->due_us = never_us;
  g_queue_push_tail (&x->held[i], part);
  return TRUE;
}

/* Passes what is due.  Returns FALSE if the other side has closed.  */
static gboolean
pass_held (struct soak_proxy *p, struct pipe_pair *x, int i)
{
  gboolean all = g_atomic_int_get (&p->mode) == PROXY_PASS;
  gint64 at_us = g_get_monotonic_time ();
  struct part *part;

  while ((part = g_queue_peek_head (&x->held[i])) != NULL
         && (all || part->due_us <= at_us))
    {
      gsize n;
      const gchar *data = g_bytes_get_data (part->bytes, &n);

      if (send (x->fds[1 - i], data, n, MSG_NOSIGNAL) != (gssize)n)
        return FALSE;
      free_part (g_queue_pop_head (&x->held[i]));
    }
  return TRUE;
}

static gpointer
run (gpointer state)
{
  struct soak_proxy *p = state;

  while (g_atomic_int_get (&p->stop) == 0)
    {
      guint n = 2 * p->pairs->len + 1;
      struct pollfd *fds = g_new0 (struct pollfd, n);
      guint i;

      fds[n - 1] = (struct pollfd){ .fd = p->listen_fd, .events = POLLIN };
      for (i = 0; i + 1 < n; i++)
        {
          struct pipe_pair *x = g_ptr_array_index (p->pairs, i / 2);

          fds[i] = (struct pollfd){ .fd = x->fds[i % 2], .events = POLLIN };
        }
      poll (fds, n, POLL_MS);
      for (i = p->pairs->len; i > 0; i--)
        {
          struct pipe_pair *x = g_ptr_array_index (p->pairs, i - 1);
          gboolean reset = g_atomic_int_get (&p->mode) == PROXY_RESET;
          gboolean open = !reset;
          int k;

          for (k = 0; k < 2; k++)
            open = open
                   && (fds[2 * (i - 1) + (guint)k].revents == 0
                       || read_side (p, x, k))
                   && pass_held (p, x, k);
          if (open)
            continue;
          g_ptr_array_remove_index (p->pairs, i - 1);
          close_pair (x, reset);
        }
      if (fds[n - 1].revents != 0)
        accept_pair (p);
      g_free (fds);
    }
  return NULL;
}

struct soak_proxy *
soak_proxy_start (guint16 port, guint16 to)
{
  struct soak_proxy *p = g_new0 (struct soak_proxy, 1);

  p->to = to;
  p->listen_fd = open_socket (port, TRUE);
  g_assert_cmpint (p->listen_fd, >=, 0);
  p->pairs = g_ptr_array_new ();
  p->thread = g_thread_new ("proxy", run, p);
  return p;
}

void
soak_proxy_set (struct soak_proxy *p, enum proxy_mode mode, guint delay_ms)
{
  g_atomic_int_set (&p->delay_ms, (gint)delay_ms);
  g_atomic_int_set (&p->mode, (gint)mode);
}

void
soak_proxy_stop (struct soak_proxy *p)
{
  guint i;

  g_atomic_int_set (&p->stop, 1);
  g_thread_join (p->thread);
  for (i = 0; i < p->pairs->len; i++)
    close_pair (g_ptr_array_index (p->pairs, i), FALSE);
  g_ptr_array_free (p->pairs, TRUE);
  close (p->listen_fd);
  g_free (p);
}
