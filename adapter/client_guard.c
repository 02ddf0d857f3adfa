/* client_guard.c -- applies a body budget to the connections of a daemon of
   libmicrohttpd.

   A connection is closed by shutting down its socket: libmicrohttpd then reads
   the end of the stream, closes it and reports the end of its request.  */

#include "adapter/client_guard.h"

#include "adapter/duty.h"
#include "port/types.h"

#include <linux/tcp.h>
#include <netinet/in.h>
#include <stddef.h>
#include <stdlib.h>
#include <sys/socket.h>

struct client_guard
{
  struct body_budget *budget;
  client_drop_fn *drop;
  bool draining; /**< A planned stop has begun.  */
};

struct guarded_client
{
  struct budget_client budget; /**< First, as the budget returns it.  */
  struct MHD_Connection *connection;
  void *call; /**< NULL between requests.  */
  uint64_t announced_bytes;
  uint64_t acked_bytes; /**< Sent to it and acknowledged, when last asked.  */
};

/* The kernel of the client acknowledges more while the client reads.  */
static bool
reads_answer (struct budget_client *b)
{
  struct guarded_client *c = (struct guarded_client *)b;
  const union MHD_ConnectionInfo *info = MHD_get_connection_info (
      c->connection, MHD_CONNECTION_INFO_CONNECTION_FD);
  struct tcp_info tcp = { 0 };
  socklen_t size = sizeof tcp;
  bool more;

  if (info == NULL
      || getsockopt (info->connect_fd, IPPROTO_TCP, TCP_INFO, &tcp, &size) != 0
      || size < offsetof (struct tcp_info, tcpi_bytes_received))
    return false;
  more = tcp.tcpi_bytes_acked > c->acked_bytes;
  c->acked_bytes = tcp.tcpi_bytes_acked;
  return more;
}

struct client_guard *
client_guard_new (TALLOC_CTX *mem, const struct body_limits *l,
                  client_drop_fn *drop)
{
  struct client_guard *g = talloc_zero (mem, struct client_guard);

  if (g == NULL)
    out_of_memory ();
  g->drop = drop;
  g->budget = body_budget_new (g, l, reads_answer);
  if (g->budget == NULL)
    out_of_memory ();
  return g;
}

static void
close_client (void *guard, struct budget_client *b)
{
  struct client_guard *g = guard;
  struct guarded_client *c = (struct guarded_client *)b;
  const union MHD_ConnectionInfo *info;

  if (c->call != NULL)
    g->drop (c->call);
  info = MHD_get_connection_info (c->connection,
                                  MHD_CONNECTION_INFO_CONNECTION_FD);
  if (info != NULL)
    shutdown (info->connect_fd, SHUT_RDWR);
}

static uint32_t
client_address (struct MHD_Connection *connection)
{
  const union MHD_ConnectionInfo *info = MHD_get_connection_info (
      connection, MHD_CONNECTION_INFO_CLIENT_ADDRESS);

  if (info == NULL || info->client_addr->sa_family != AF_INET)
    return 0;
  return ((const struct sockaddr_in *)(const void *)info->client_addr)
      ->sin_addr.s_addr;
}

void
client_guard_on_connection (void *guard, struct MHD_Connection *connection,
                            void **state,
                            enum MHD_ConnectionNotificationCode code)
{
  struct client_guard *g = guard;
  struct guarded_client *c = *state;
  struct budget_client *victim;

  if (code == MHD_CONNECTION_NOTIFY_CLOSED)
    {
      body_budget_disconnect (g->budget, &c->budget);
      talloc_free (c);
      return;
    }
  c = talloc_zero (g, struct guarded_client);
  if (c == NULL)
    out_of_memory ();
  c->connection = connection;
  *state = c;
  victim = body_budget_connect (g->budget, &c->budget,
                                client_address (connection), now_us ());
  if (victim != NULL)
    close_client (g, victim);
}

struct guarded_client *
client_guard_begin (struct client_guard *g, struct MHD_Connection *connection,
                    void *call, bool *too_large)
{
  struct guarded_client *c
      = MHD_get_connection_info (connection,
                                 MHD_CONNECTION_INFO_SOCKET_CONTEXT)
            ->socket_context;
  const char *length = MHD_lookup_connection_value (
      connection, MHD_HEADER_KIND, MHD_HTTP_HEADER_CONTENT_LENGTH);

  c->call = call;
  c->announced_bytes = length != NULL ? strtoull (length, NULL, 10) : 0;
  *too_large = !body_budget_begin (g->budget, &c->budget, c->announced_bytes,
                                   now_us ());
  /* A request that was sent before its connection was closed must not run, as
     its client gets no answer.  */
  if (c->budget.closing)
    g->drop (call);
  return c;
}

uint32_t
client_guard_size (struct client_guard *g, const struct guarded_client *c,
                   uint64_t needed_bytes)
{
  return body_budget_size (g->budget, needed_bytes, c->announced_bytes);
}

bool
client_guard_reserve (struct client_guard *g, struct guarded_client *c,
                      uint32_t size_bytes)
{
  struct budget_client *victim;

  for (;;)
    {
      bool reserved = body_budget_reserve (g->budget, &c->budget, size_bytes,
                                           now_us (), &victim);

      if (victim == NULL)
        return reserved;
      close_client (g, victim);
    }
}

void
client_guard_progress (struct guarded_client *c)
{
  body_budget_progress (&c->budget, now_us ());
}

void
client_guard_complete (struct client_guard *g, struct guarded_client *c)
{
  body_budget_complete (g->budget, &c->budget);
}

void
client_guard_answer (struct client_guard *g, struct guarded_client *c)
{
  body_budget_answer (g->budget, &c->budget, now_us ());
}

void
client_guard_end (struct client_guard *g, struct guarded_client *c)
{
  c->call = NULL;
  body_budget_end (g->budget, &c->budget, now_us ());
}

uint64_t
client_guard_expire (struct client_guard *g)
{
  uint64_t at_us = now_us ();
  struct budget_client *c;
  uint64_t deadline_us;

  while ((c = body_budget_expire (g->budget, at_us)) != NULL)
    close_client (g, c);
  deadline_us = g->draining
                    ? body_budget_drain (g->budget, at_us, close_client, g)
                    : body_budget_deadline_us (g->budget);
  return deadline_us == UINT64_MAX ? UINT64_MAX
                                   : (deadline_us - at_us) / US_PER_MS + 1;
}

void
client_guard_drain (struct client_guard *g)
{
  g->draining = true;
}

bool
client_guard_is_busy (const struct client_guard *g)
{
  return body_budget_phase_count (g->budget, CLIENT_RECEIVING) > 0
         || body_budget_phase_count (g->budget, CLIENT_WAITING) > 0
         || body_budget_phase_count (g->budget, CLIENT_ANSWERED) > 0;
}

void
client_guard_describe (const struct client_guard *g, char *text,
                       size_t size_bytes)
{
  size_t n = 0;
  int i;

  for (i = 0; i < CLIENT_PHASE_COUNT && n < size_bytes; i++)
    n += (size_t)snprintf (
        text + n, size_bytes - n, "%s\"%s\":%u", i > 0 ? "," : "",
        client_phase_name ((enum client_phase)i),
        body_budget_phase_count (g->budget, (enum client_phase)i));
}

void
client_guard_print (const struct client_guard *g, FILE *out)
{
  const struct body_counts *n = body_budget_counts (g->budget);
  int i;

  for (i = 0; i < CLIENT_PHASE_COUNT; i++)
    fprintf (out, "fulmartack_connections{phase=\"%s\"} %u\n",
             client_phase_name ((enum client_phase)i),
             body_budget_phase_count (g->budget, (enum client_phase)i));
  fprintf (out,
           "fulmartack_bodies_refused_total %llu\n"
           "fulmartack_bodies_too_large_total %llu\n"
           "fulmartack_bodies_timed_out_total %llu\n"
           "fulmartack_bodies_stalled_total %llu\n"
           "fulmartack_connections_evicted_total %llu\n"
           "fulmartack_connections_refused_total %llu\n"
           "fulmartack_connections_drained_total %llu\n"
           "fulmartack_body_memory_bytes %llu\n",
           (unsigned long long)n->refused, (unsigned long long)n->too_large,
           (unsigned long long)n->timed_out, (unsigned long long)n->stalled,
           (unsigned long long)n->evicted,
           (unsigned long long)n->address_refused,
           (unsigned long long)n->drained, (unsigned long long)n->held_bytes);
}
