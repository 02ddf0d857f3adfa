/* test_order_client.c -- which orders the order client does not send.

   Guards against an order that was delayed, by a pause of the process or in
   the hands of a delegate, and is sent although its owner may have lost the
   cell or has given the order up; and against an order under a lower fencing
   token than one seen before.  Each is answered as not executed, and no
   connection is made.

   Guards against an order that is for one boot of a runner, with a lease on
   its clock, and is carried out by the next one at the same address.  */

#include "adapter/cell_post.h"
#include "adapter/site_order_client.h"
#include "port/types.h"

#include <arpa/inet.h>
#include <glib.h>
#include <microhttpd.h>
#include <netinet/in.h>
#include <poll.h>
#include <pthread.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define ANSWER_TIMEOUT_MS 3000
#define QUIET_MS 200 /**< No connection arrives for this long.  */
#define FIRST_BOOT_MS 1700000000001
#define SECOND_BOOT_MS 1700000000002
/** Most connections to a runner.  */
#define CONNECTION_LIMIT_COUNT 4
#define START_COUNT 12

/** A client, and a socket at the address of all receivers of orders.  */
struct fixture
{
  struct site_settings settings;
  struct ring *cell;
  struct line_log *log;
  struct site_order_client *client;
  int listen_fd;
};

static void
open_fixture (struct fixture *f)
{
  struct sockaddr_in a
      = { .sin_family = AF_INET, .sin_addr.s_addr = htonl (INADDR_LOOPBACK) };
  socklen_t n = sizeof a;

  memset (f, 0, sizeof *f);
  f->listen_fd = socket (AF_INET, SOCK_STREAM, 0);
  g_assert_cmpint (bind (f->listen_fd, (struct sockaddr *)&a, n), ==, 0);
  g_assert_cmpint (listen (f->listen_fd, 8), ==, 0);
  getsockname (f->listen_fd, (struct sockaddr *)&a, &n);
  g_snprintf (f->settings.cloud_address, ADDRESS_BYTES, "127.0.0.1:%u",
              ntohs (a.sin_port));
  text_copy (f->settings.cell.member, NAME_BYTES, "entry-1");
  f->cell = ring_open (64);
  f->log = line_log_new ("test", 64);
  f->client = site_order_client_new (&f->settings, f->cell, f->log);
  g_assert_nonnull (f->client);
  g_assert_true (duty_start (site_order_client_duty (f->client)));
}

static void
close_fixture (struct fixture *f)
{
  void *e;

  duty_stop (site_order_client_duty (f->client));
  site_order_client_free (f->client);
  while (ring_pop (f->cell, &e, 1) > 0)
    talloc_free (e);
  ring_close (f->cell);
  line_log_free (f->log);
  close (f->listen_fd);
}

/* Returns an order to stop a run under TOKEN, to be sent up to AGE_MS ago; 0:
   at any time.  */
static struct cell_action *
make_stop (const struct fixture *f, uint64_t token, uint64_t age_ms)
{
  struct cell_action *a = talloc_zero (NULL, struct cell_action);

  a->kind = CELL_DO_ORDER;
  a->send_until_us = age_ms > 0 ? now_us () - age_ms * US_PER_MS : 0;
  a->u.order.kind = ORDER_STOP;
  a->u.order.order_id = token;
  a->u.order.token = token;
  a->u.order.timeout_ms = 300;
  text_copy (a->u.order.runner, NAME_BYTES, "r1");
  text_copy (a->u.order.address, ADDRESS_BYTES, f->settings.cloud_address);
  return a;
}

static void
push (struct fixture *f, struct cell_action *a)
{
  g_assert_true (ring_push (site_order_client_duty (f->client)->inbound, a));
}

/* Returns the next event, of KIND; the caller frees it.  */
static struct cell_event *
wait_event (struct fixture *f, enum cell_event_kind kind)
{
  struct pollfd p = { .fd = ring_fd (f->cell), .events = POLLIN };
  struct cell_event *e = NULL;

  while (ring_pop (f->cell, (void **)&e, 1) == 0)
    g_assert_cmpint (poll (&p, 1, ANSWER_TIMEOUT_MS), ==, 1);
  g_assert_cmpint (e->kind, ==, kind);
  return e;
}

static void
check_runner_outcome (struct fixture *f, enum order_outcome wanted)
{
  struct cell_event *e = wait_event (f, CELL_RUNNER_RESULT);

  g_assert_cmpint (e->u.runner_result.outcome, ==, wanted);
  g_assert_cmpstr (e->u.runner_result.runner, ==, "r1");
  talloc_free (e);
}

static void
check_no_connection (const struct fixture *f)
{
  struct pollfd p = { .fd = f->listen_fd, .events = POLLIN };

  g_assert_cmpint (poll (&p, 1, QUIET_MS), ==, 0);
}

static void
test_late_order (void)
{
  struct fixture f;

  open_fixture (&f);
  push (&f, make_stop (&f, 3, 1));
  check_runner_outcome (&f, ORDER_BUSY);
  check_no_connection (&f);
  close_fixture (&f);
}

/* An order for a VM would end what a later owner has started there.  */
static void
test_late_vm_order (void)
{
  struct fixture f;
  struct cell_action *a = talloc_zero (NULL, struct cell_action);
  struct cell_event *e;

  open_fixture (&f);
  a->kind = CELL_DO_ORDER_VM;
  a->send_until_us = now_us () - 1;
  text_copy (a->u.vm_order.vm, NAME_BYTES, "m1");
  push (&f, a);
  e = wait_event (&f, CELL_VM_RESULT);
  g_assert_cmpint (e->u.vm_result.outcome, ==, ORDER_UNAVAILABLE);
  g_assert_cmpstr (e->u.vm_result.vm, ==, "m1");
  talloc_free (e);
  check_no_connection (&f);
  close_fixture (&f);
}

static void
test_lower_token (void)
{
  struct fixture f;
  struct pollfd p;
  int fd;

  open_fixture (&f);
  push (&f, make_stop (&f, 4, 0));
  p = (struct pollfd){ .fd = f.listen_fd, .events = POLLIN };
  g_assert_cmpint (poll (&p, 1, ANSWER_TIMEOUT_MS), ==, 1);
  fd = accept (f.listen_fd, NULL, NULL);
  check_runner_outcome (&f, ORDER_UNKNOWN);
  push (&f, make_stop (&f, 3, 0));
  check_runner_outcome (&f, ORDER_FENCED);
  check_no_connection (&f);
  close (fd);
  close_fixture (&f);
}

/** What a runner has been sent.  */
struct received
{
  uint32_t poll_count;
  uint32_t start_count;
};

/** A runner that answers what it is sent, and counts it.  Only its answers to
    polls name its boot.  */
struct runner
{
  struct MHD_Daemon *daemon;
  uint16_t port;
  bool closes_connections;  /**< With each answer.  */
  uint64_t booted_at_ms;    /**< Of runner_mutex, as the next one is.  */
  struct received received; /**< By this boot.  */
};

/* Not one of GLib's, which TSan does not see.  */
static pthread_mutex_t runner_mutex = PTHREAD_MUTEX_INITIALIZER;

/* Counts a request to R, which is a poll if IS_POLL.  Returns when the boot of
   R began.  */
static uint64_t
count_request (struct runner *r, bool is_poll)
{
  uint64_t booted_at_ms;

  pthread_mutex_lock (&runner_mutex);
  if (is_poll)
    r->received.poll_count++;
  else
    r->received.start_count++;
  booted_at_ms = r->booted_at_ms;
  pthread_mutex_unlock (&runner_mutex);
  return booted_at_ms;
}

static struct received
get_received (const struct runner *r)
{
  struct received received;

  pthread_mutex_lock (&runner_mutex);
  received = r->received;
  pthread_mutex_unlock (&runner_mutex);
  return received;
}

static enum MHD_Result
on_runner_request (void *state, struct MHD_Connection *connection,
                   const char *url, const char *method, const char *version,
                   const char *data, size_t *size, void **call_state)
{
  static char mark;
  struct runner *r = state;
  bool is_poll = strcmp (url, "/api/hold") == 0;
  struct MHD_Response *response;
  enum MHD_Result done;
  uint64_t booted_at_ms;
  char text[200];

  (void)method;
  (void)version;
  (void)data;
  if (*call_state == NULL || *size > 0)
    {
      *call_state = &mark;
      *size = 0;
      return MHD_YES;
    }
  booted_at_ms = count_request (r, is_poll);
  if (is_poll)
    g_snprintf (text, sizeof text,
                "{\"ClockMs\":100,\"born\":%llu,\"Running\":[],"
                "\"Ended\":[]}",
                (unsigned long long)booted_at_ms);
  else
    g_snprintf (text, sizeof text, "{\"ClockMs\":101}");
  response = MHD_create_response_from_buffer (strlen (text), text,
                                              MHD_RESPMEM_MUST_COPY);
  if (r->closes_connections)
    MHD_add_response_header (response, MHD_HTTP_HEADER_CONNECTION, "close");
  done = MHD_queue_response (connection, MHD_HTTP_OK, response);
  MHD_destroy_response (response);
  return done;
}

/* Starts the boot of R that begins at BOOTED_AT_MS, at the port of the one
   before.  */
static void
boot_runner (struct runner *r, uint64_t booted_at_ms)
{
  struct sockaddr_in a
      = { .sin_family = AF_INET, .sin_addr.s_addr = htonl (INADDR_LOOPBACK) };
  const union MHD_DaemonInfo *info;

  a.sin_port = htons (r->port);
  pthread_mutex_lock (&runner_mutex);
  r->booted_at_ms = booted_at_ms;
  r->received = (struct received){ 0 };
  pthread_mutex_unlock (&runner_mutex);
  r->daemon = MHD_start_daemon (
      MHD_USE_THREAD_PER_CONNECTION | MHD_USE_INTERNAL_POLLING_THREAD, r->port,
      NULL, NULL, on_runner_request, r, MHD_OPTION_SOCK_ADDR, &a,
      MHD_OPTION_LISTENING_ADDRESS_REUSE, 1u, MHD_OPTION_END);
  g_assert_nonnull (r->daemon);
  info = MHD_get_daemon_info (r->daemon, MHD_DAEMON_INFO_BIND_PORT);
  r->port = info->port;
}

/* Returns an order for the boot of R that began at BOOTED_AT_MS, to start run
   RUN.  */
static struct cell_action *
make_start (const struct runner *r, uint64_t booted_at_ms, uint32_t run)
{
  struct cell_action *a = talloc_zero (NULL, struct cell_action);

  a->kind = CELL_DO_ORDER;
  a->u.order.kind = ORDER_START;
  a->u.order.order_id = run;
  a->u.order.run = run;
  a->u.order.token = 1;
  a->u.order.timeout_ms = 700;
  a->u.order.lease_until_ms = 3600;
  a->u.order.booted_at_ms = booted_at_ms;
  a->u.order.payload = blob_copy ("x", 1);
  text_copy (a->u.order.runner, NAME_BYTES, "r1");
  g_snprintf (a->u.order.address, ADDRESS_BYTES, "127.0.0.1:%u", r->port);
  return a;
}

/* The first start opens a connection with a poll; the next one uses it.  */
static void
test_start_for_boot (void)
{
  struct runner r = { 0 };
  struct fixture f;

  open_fixture (&f);
  boot_runner (&r, FIRST_BOOT_MS);
  push (&f, make_start (&r, FIRST_BOOT_MS, 1));
  check_runner_outcome (&f, ORDER_DONE);
  push (&f, make_start (&r, FIRST_BOOT_MS, 2));
  check_runner_outcome (&f, ORDER_DONE);
  g_assert_cmpint (get_received (&r).poll_count, ==, 1);
  g_assert_cmpint (get_received (&r).start_count, ==, 2);
  MHD_stop_daemon (r.daemon);
  close_fixture (&f);
}

/* A runner that was restarted gets no start that is for its boot before,
   whether a connection to that one is left or not.  */
static void
test_start_for_boot_before (void)
{
  struct runner r = { 0 };
  struct fixture f;
  struct cell_event *e;
  uint32_t i;

  open_fixture (&f);
  boot_runner (&r, FIRST_BOOT_MS);
  push (&f, make_start (&r, FIRST_BOOT_MS, 1));
  check_runner_outcome (&f, ORDER_DONE);
  MHD_stop_daemon (r.daemon);
  boot_runner (&r, SECOND_BOOT_MS);
  for (i = 0; i < 3; i++)
    {
      push (&f, make_start (&r, FIRST_BOOT_MS, 2 + i));
      e = wait_event (&f, CELL_RUNNER_RESULT);
      g_assert_cmpint (e->u.runner_result.outcome, ==, ORDER_OTHER_BOOT);
      g_assert_cmpuint (e->u.runner_result.booted_at_ms, ==, SECOND_BOOT_MS);
      talloc_free (e);
    }
  g_assert_cmpint (get_received (&r).start_count, ==, 0);
  push (&f, make_start (&r, SECOND_BOOT_MS, 9));
  check_runner_outcome (&f, ORDER_DONE);
  g_assert_cmpint (get_received (&r).start_count, ==, 1);
  MHD_stop_daemon (r.daemon);
  close_fixture (&f);
}

/* A start that finds no boot to answer it has certainly not been sent.  */
static void
test_start_without_answer (void)
{
  struct runner r = { 0 };
  struct fixture f;
  struct cell_action *a;

  open_fixture (&f);
  a = make_start (&r, FIRST_BOOT_MS, 1);
  text_copy (a->u.order.address, ADDRESS_BYTES, f.settings.cloud_address);
  push (&f, a);
  check_runner_outcome (&f, ORDER_BUSY);
  close_fixture (&f);
}

/* A runner that keeps no connection gets no start, which is not sent then, and
   few polls for it.  */
static void
test_start_without_connection (void)
{
  struct runner r = { .closes_connections = true };
  struct fixture f;

  open_fixture (&f);
  boot_runner (&r, FIRST_BOOT_MS);
  push (&f, make_start (&r, FIRST_BOOT_MS, 1));
  check_runner_outcome (&f, ORDER_BUSY);
  g_assert_cmpint (get_received (&r).start_count, ==, 0);
  g_assert_cmpint (get_received (&r).poll_count, <=, CONNECTION_LIMIT_COUNT);
  MHD_stop_daemon (r.daemon);
  close_fixture (&f);
}

/* Starts that come together share a few connections, each opened by one
   poll.  */
static void
test_starts_at_once (void)
{
  struct runner r = { 0 };
  struct fixture f;
  uint32_t i;

  open_fixture (&f);
  boot_runner (&r, FIRST_BOOT_MS);
  for (i = 0; i < START_COUNT; i++)
    push (&f, make_start (&r, FIRST_BOOT_MS, 1 + i));
  for (i = 0; i < START_COUNT; i++)
    check_runner_outcome (&f, ORDER_DONE);
  g_assert_cmpint (get_received (&r).start_count, ==, START_COUNT);
  g_assert_cmpint (get_received (&r).poll_count, <=, CONNECTION_LIMIT_COUNT);
  MHD_stop_daemon (r.daemon);
  close_fixture (&f);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/order_client/late_order", test_late_order);
  g_test_add_func ("/order_client/late_vm_order", test_late_vm_order);
  g_test_add_func ("/order_client/lower_token", test_lower_token);
  g_test_add_func ("/order_client/start_for_boot", test_start_for_boot);
  g_test_add_func ("/order_client/start_for_boot_before",
                   test_start_for_boot_before);
  g_test_add_func ("/order_client/start_without_answer",
                   test_start_without_answer);
  g_test_add_func ("/order_client/start_without_connection",
                   test_start_without_connection);
  g_test_add_func ("/order_client/starts_at_once", test_starts_at_once);
  return g_test_run ();
}
