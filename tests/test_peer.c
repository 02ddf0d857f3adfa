/* test_peer.c -- links between members.

   Guards against messages that are lost or reordered while the receiver's
   decide ring is full, and against messages that are accepted from a member
   with another secret.  */

#include "adapter/peer_mesh.h"
#include "adapter/peer_codec.h"
#include "adapter/peer_link.h"
#include "port/action.h"
#include "port/event.h"
#include "tests/ports.h"

#include <poll.h>
#include <signal.h>
#include <sodium.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include <glib.h>

#define WAIT_MS 3000
#define SILENCE_MS 500
#define SECRET "a secret of all members"

/** A member: a peer duty and the decide ring, which the test reads.  */
struct node
{
  struct settings settings;
  struct ring *decide;
  struct peer_mesh *mesh;
  uint64_t incarnation;
};

static uint16_t
first_port (void)
{
  const char *low = getenv ("FTK_PORT_LOW");

  return ports_take ((uint16_t)((low ? atoi (low) : 20000) + 2500), 8, 50);
}

static void
node_open (struct node *n, uint64_t incarnation, const char *secret)
{
  char text[TEXT_BYTES];

  memset (n, 0, sizeof *n);
  n->incarnation = incarnation;
  snprintf (n->settings.peer_listen_address, ADDRESS_BYTES, "127.0.0.1:%u",
            (unsigned)(first_port () + incarnation));
  text_copy (n->settings.cluster_secret, TEXT_BYTES, secret);
  n->decide = ring_open (16);
  n->mesh = peer_mesh_new (&n->settings, n->decide, text);
  g_assert_nonnull (n->mesh);
  g_assert_true (duty_start (peer_mesh_duty (n->mesh)));
}

static void
node_close (struct node *n)
{
  struct event *e;

  duty_stop (peer_mesh_duty (n->mesh));
  peer_mesh_free (n->mesh);
  while (ring_pop (n->decide, (void **)&e, 1) > 0)
    talloc_free (e);
  ring_close (n->decide);
}

static void
push_action (struct node *n, const struct action *a)
{
  struct action *copy = talloc (NULL, struct action);

  *copy = *a;
  while (!ring_push (peer_mesh_duty (n->mesh)->inbound, copy))
    g_usleep (1000);
}

/* Tells A that B is the only other member.  */
static void
announce_member (struct node *a, const struct node *b)
{
  struct action x = { .kind = ACTION_MEMBERS };
  struct member_list *l = talloc_zero (NULL, struct member_list);

  l->own_incarnation = a->incarnation;
  l->item_count = 1;
  l->items = talloc_zero_array (l, struct member_address, 1);
  l->items[0].incarnation = b->incarnation;
  text_copy (l->items[0].peer_address, ADDRESS_BYTES,
             b->settings.peer_listen_address);
  x.u.members = l;
  push_action (a, &x);
}

static void
send_transfer (struct node *a, const struct node *b, uint64_t sequence)
{
  struct action x = { .kind = ACTION_PEER };

  x.u.peer.kind = PEER_TRANSFER;
  x.u.peer.from_incarnation = a->incarnation;
  x.u.peer.to_incarnation = b->incarnation;
  x.u.peer.u.transfer.sequence = sequence;
  x.u.peer.u.transfer.limit.kind = LIMIT_VM;
  text_copy (x.u.peer.u.transfer.limit.name, NAME_BYTES, "w1");
  x.u.peer.u.transfer.token_count = 3;
  push_action (a, &x);
}

/* Returns the next event of N, or NULL after LIMIT_MS.  The descriptor of the
   ring may still be readable after its last element was taken.  */
static struct event *
next_event (struct node *n, int limit_ms)
{
  gint64 deadline_us
      = g_get_monotonic_time () + limit_ms * G_GINT64_CONSTANT (1000);
  struct pollfd p = { .fd = ring_fd (n->decide), .events = POLLIN };
  struct event *e = NULL;
  gint64 left;

  while (ring_pop (n->decide, (void **)&e, 1) == 0)
    {
      left = (deadline_us - g_get_monotonic_time ()) / 1000;
      if (left <= 0)
        return NULL;
      poll (&p, 1, (int)left);
    }
  return e;
}

/* Sends transfers from A to B until one arrives, which means that the link is
   up.  Returns its sequence number.  */
static uint64_t
connect_nodes (struct node *a, struct node *b)
{
  struct event *e = NULL;
  uint64_t sequence;
  uint64_t i;

  announce_member (a, b);
  for (i = 1; e == NULL && i < 200; i++)
    {
      send_transfer (a, b, i);
      e = next_event (b, 20);
    }
  g_assert_nonnull (e);
  g_assert_cmpint (e->kind, ==, EVENT_PEER);
  sequence = e->u.peer.u.transfer.sequence;
  talloc_free (e);
  return sequence;
}

/* 2,000 messages to a member whose decide ring holds 16 events: none is lost
   and their order is kept.  */
static void
test_full_ring (void)
{
  struct node a;
  struct node b;
  uint64_t sequence;
  uint64_t i;

  node_open (&a, 1, SECRET);
  node_open (&b, 2, SECRET);
  sequence = connect_nodes (&a, &b);
  /* Takes the other transfers that connect_nodes sent, until none arrives for
     100 ms.  */
  while (sequence < 200)
    {
      struct event *e = next_event (&b, 100);

      if (e == NULL)
        break;
      sequence = e->u.peer.u.transfer.sequence;
      talloc_free (e);
    }
  for (i = 1000; i < 3000; i++)
    send_transfer (&a, &b, i);
  for (i = 1000; i < 3000; i++)
    {
      struct event *e = next_event (&b, WAIT_MS);

      g_assert_nonnull (e);
      g_assert_cmpuint (e->u.peer.u.transfer.sequence, ==, i);
      g_assert_cmpuint (e->u.peer.from_incarnation, ==, 1);
      g_assert_cmpstr (e->u.peer.u.transfer.limit.name, ==, "w1");
      talloc_free (e);
    }
  node_close (&a);
  node_close (&b);
}

/* A link with another secret is refused and reported; none of its messages is
   passed on.  */
static void
test_wrong_secret (void)
{
  struct node a;
  struct node b;
  struct event *e;
  uint64_t i;

  node_open (&a, 1, "another secret of theirs");
  node_open (&b, 2, SECRET);
  announce_member (&a, &b);
  for (i = 1; i < 20; i++)
    send_transfer (&a, &b, i);
  e = next_event (&b, WAIT_MS);
  g_assert_nonnull (e);
  while (e != NULL)
    {
      g_assert_cmpint (e->kind, ==, EVENT_PEER_FAULT);
      g_assert_cmpstr (e->u.peer_fault.address, ==, "127.0.0.1");
      talloc_free (e);
      send_transfer (&a, &b, i++);
      e = i < 25 ? next_event (&b, SILENCE_MS) : NULL;
    }
  node_close (&a);
  node_close (&b);
}

static bool
refuse_message (void *state, const uint8_t *data, uint32_t size_bytes)
{
  (void)state;
  (void)data;
  (void)size_bytes;
  return false;
}

static void
note_end (void *state, enum peer_link_end why)
{
  *(int *)state = (int)why;
}

/* The other end's hello and its wrong proof arrive together.  The link is
   refused, but its own proof is sent all the same: without it the other end
   would see a closed connection and report nothing.  */
static void
test_refused_link_proves (void)
{
  struct tevent_context *loop = tevent_context_init (NULL);
  int why = -1;
  struct peer_link_handler h
      = { .message = refuse_message, .ended = note_end, .state = &why };
  uint8_t hello[40] = "FTKPEER1";
  uint8_t box[4 + crypto_secretbox_MACBYTES] = { 0, 0, 0, 16 };
  uint8_t secret[PEER_SECRET_BYTES] = { 1 };
  uint8_t sent[256];
  size_t sent_bytes = 0;
  ssize_t n;
  struct peer_link *l;
  int fds[2];

  g_assert_cmpint (socketpair (AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK, 0, fds),
                   ==, 0);
  g_assert_cmpint (write (fds[0], hello, sizeof hello), ==, sizeof hello);
  g_assert_cmpint (write (fds[0], box, sizeof box), ==, sizeof box);
  l = peer_link_new (loop, loop, fds[1], PEER_LINK_ACCEPTOR, secret, &h);
  while (why < 0)
    tevent_loop_once (loop);
  g_assert_cmpint (why, ==, PEER_LINK_REFUSED);
  talloc_free (l);
  while ((n = read (fds[0], sent + sent_bytes, sizeof sent - sent_bytes)) > 0)
    sent_bytes += (size_t)n;
  g_assert_cmpuint (sent_bytes, ==, sizeof hello + sizeof box);
  close (fds[0]);
  talloc_free (loop);
}

int
main (int argc, char **argv)
{
  signal (SIGPIPE, SIG_IGN);
  if (sodium_init () < 0)
    return 1;
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/peer/full_ring", test_full_ring);
  g_test_add_func ("/peer/wrong_secret", test_wrong_secret);
  g_test_add_func ("/peer/refused_link_proves", test_refused_link_proves);
  return g_test_run ();
}
