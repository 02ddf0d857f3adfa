/* test_relay.c -- a relay keeps working whichever side ends a link.

   Guards against a relay that crashes, or passes no more calls, after a link
   has ended or a connection without a valid hello was reset.  In each round an
   entry connects to the owner and passes a call, another socket connects to
   the owner, sends bytes that are no hello and resets the connection, and then
   the entry or the owner ends the link.  */

#include "adapter/cell_post.h"
#include "adapter/relay.h"
#include "adapter/relay_codec.h"

#include <arpa/inet.h>
#include <glib.h>
#include <netinet/in.h>
#include <poll.h>
#include <sodium.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define ROUND_COUNT 30
#define SEND_LIMIT_COUNT 50    /**< Calls sent until one must have arrived.  */
#define ARRIVAL_TIMEOUT_MS 100 /**< Of each of these calls.  */

/** The relay of an entry, the ring of its cell and its log.  */
struct endpoint
{
  struct site_settings settings;
  struct ring *cell;
  struct line_log *log;
  struct relay *relay;
};

static uint16_t
free_port (void)
{
  struct sockaddr_in a
      = { .sin_family = AF_INET, .sin_addr.s_addr = htonl (INADDR_LOOPBACK) };
  socklen_t n = sizeof a;
  int fd = socket (AF_INET, SOCK_STREAM, 0);

  g_assert_cmpint (bind (fd, (struct sockaddr *)&a, n), ==, 0);
  g_assert_cmpint (getsockname (fd, (struct sockaddr *)&a, &n), ==, 0);
  close (fd);
  return ntohs (a.sin_port);
}

static void
open_endpoint (struct endpoint *s)
{
  char text[TEXT_BYTES];

  memset (s, 0, sizeof *s);
  g_snprintf (s->settings.cell.relay_address, ADDRESS_BYTES, "127.0.0.1:%u",
              free_port ());
  text_copy (s->settings.relay_secret, TEXT_BYTES, "a secret of the test");
  s->cell = ring_open (CELL_RING_CAPACITY_COUNT);
  s->log = line_log_new ("test", 64);
  s->relay = relay_new (&s->settings, s->cell, s->log, text);
  g_assert_nonnull (s->relay);
  g_assert_true (duty_start (relay_duty (s->relay)));
}

static void
close_endpoint (struct endpoint *s)
{
  void *e;

  duty_stop (relay_duty (s->relay));
  relay_free (s->relay);
  while (ring_pop (s->cell, &e, 1) > 0)
    talloc_free (e);
  ring_close (s->cell);
  while (ring_pop (line_log_duty (s->log)->inbound, &e, 1) > 0)
    free (e);
  line_log_free (s->log);
}

static void
push_command (struct endpoint *s, int kind, const char *address,
              struct blob *body)
{
  struct relay_command *command = talloc_zero (NULL, struct relay_command);

  command->kind = kind;
  command->body = body;
  text_copy (command->address, ADDRESS_BYTES, address);
  g_assert_true (ring_push (relay_duty (s->relay)->inbound, command));
}

/* Waits up to LIMIT_MS for an event of KIND and frees it.  */
static bool
wait_event (struct endpoint *s, enum cell_event_kind kind, int limit_ms)
{
  struct pollfd p = { .fd = ring_fd (s->cell), .events = POLLIN };
  struct cell_event *e;
  bool seen = false;

  while (!seen)
    {
      if (poll (&p, 1, limit_ms) != 1)
        return false;
      if (ring_pop (s->cell, (void **)&e, 1) == 0)
        continue;
      seen = e->kind == kind;
      talloc_free (e);
    }
  return true;
}

/* Sends calls from ENTRY until one arrives at OWNER: calls are lost while the
   link is down.  */
static void
deliver_call (struct endpoint *entry, struct endpoint *owner)
{
  struct relay_message m = { .kind = RELAY_CALL };
  uint32_t i;

  m.u.call.kind = CALL_STATE;
  for (i = 0; i < SEND_LIMIT_COUNT; i++)
    {
      push_command (entry, RELAY_SEND_TO_OWNER, "", relay_encode (&m));
      if (wait_event (owner, CELL_JOB_CALL, ARRIVAL_TIMEOUT_MS))
        return;
    }
  g_error ("none of %d calls arrived at %s", SEND_LIMIT_COUNT,
           owner->settings.cell.relay_address);
}

/* Sends ROUND bytes that are no hello to the relay of S and resets the
   connection.  */
static void
send_garbage (const struct endpoint *s, uint32_t round)
{
  static const char bytes[] = "no link at all, but long enough for a hello "
                              "and a frame of some length, and some more";
  struct linger reset = { .l_onoff = 1 };
  struct sockaddr_in a = { .sin_family = AF_INET };
  const char *colon = strchr (s->settings.cell.relay_address, ':');
  int fd = socket (AF_INET, SOCK_STREAM, 0);
  ssize_t n;

  a.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  a.sin_port = htons ((uint16_t)g_ascii_strtoull (colon + 1, NULL, 10));
  g_assert_cmpint (connect (fd, (struct sockaddr *)&a, sizeof a), ==, 0);
  n = send (fd, bytes, round % sizeof bytes, MSG_NOSIGNAL);
  (void)n;
  setsockopt (fd, SOL_SOCKET, SO_LINGER, &reset, sizeof reset);
  close (fd);
}

static void
test_links (void)
{
  struct endpoint owner;
  struct endpoint entry;
  uint32_t i;

  open_endpoint (&owner);
  open_endpoint (&entry);
  for (i = 0; i < ROUND_COUNT; i++)
    {
      push_command (&entry, RELAY_SET_OWNER, owner.settings.cell.relay_address,
                    NULL);
      deliver_call (&entry, &owner);
      send_garbage (&owner, i);
      /* The entry and the owner end the link in turn.  */
      if (i % 2 == 0)
        push_command (&entry, RELAY_SET_OWNER, "", NULL);
      else
        {
          duty_stop (relay_duty (owner.relay));
          relay_free (owner.relay);
          owner.relay = relay_new (&owner.settings, owner.cell, owner.log,
                                   (char[TEXT_BYTES]){ "" });
          g_assert_nonnull (owner.relay);
          g_assert_true (duty_start (relay_duty (owner.relay)));
        }
    }
  close_endpoint (&entry);
  close_endpoint (&owner);
}

int
main (int argc, char **argv)
{
  if (sodium_init () < 0)
    return 1;
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/relay/links", test_links);
  return g_test_run ();
}
