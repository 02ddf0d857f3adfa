/* peer_mesh.c -- the full mesh of links to the other members.

   Each member connects to every other member of the last ACTION_MEMBERS and
   only sends on these outbound links; it only receives on the inbound links
   that it accepted.  A message to a member whose link is not up is dropped and
   counted, as the core resends what must arrive until it is acknowledged.
   While the decide ring is full no link is read, so that no received message
   is dropped.  */

#include "adapter/peer_mesh.h"

#include "adapter/address.h"
#include "adapter/outbox.h"
#include "adapter/peer_codec.h"
#include "adapter/peer_link.h"
#include "adapter/timer.h"
#include "port/action.h"

#include <arpa/inet.h>
#include <errno.h>
#include <netinet/tcp.h>
#include <sodium.h>
#include <string.h>
#include <sys/queue.h>
#include <unistd.h>

#define RING_CAPACITY_COUNT 4096
#define LISTEN_BACKLOG_COUNT 64
/** Most inbound links; a member that restarts may have two for a while.  */
#define MAX_INBOUND_LINK_COUNT 64
#define MIN_BACKOFF_MS 50
#define MAX_BACKOFF_MS 1000
/** TCP_USER_TIMEOUT: a connection with bytes unacknowledged for so long is
    broken.  */
#define UNACKED_TIMEOUT_MS 3000

/** A member that this entry sends to, with the link to it.  */
struct outbound_link
{
  LIST_ENTRY (outbound_link) entry;
  struct peer_mesh *mesh;
  struct member_address member;
  struct peer_link *link; /**< NULL while not connected.  */
  uint32_t backoff_ms;
  bool listed; /**< Found in the list that set_members works on.  */
};

/** A link that another member opened.  */
struct inbound_link
{
  LIST_ENTRY (inbound_link) entry;
  struct peer_mesh *mesh;
  struct peer_link *link;
  char address[ADDRESS_BYTES]; /**< IP address of the other end.  */
};

LIST_HEAD (outbound_link_list, outbound_link);
LIST_HEAD (inbound_link_list, inbound_link);

struct peer_mesh
{
  struct duty *duty;
  struct outbox *decide;
  int listen_fd;
  uint8_t secret[PEER_SECRET_BYTES];
  struct outbound_link_list outbound;
  struct inbound_link_list inbound;
  uint32_t inbound_count;
  uint64_t dropped_count;
};

static void start_connect (struct outbound_link *out);

static void
pause_inbound_links (struct peer_mesh *p, bool pause)
{
  struct inbound_link *in;

  LIST_FOREACH (in, &p->inbound, entry)
  peer_link_set_paused (in->link, pause);
}

static void
on_outbox_empty (void *state)
{
  pause_inbound_links (state, false);
}

/* Passes E on, and pauses the inbound links while the outbox keeps events, to
   bound their number.  */
static void
push_event (struct peer_mesh *p, struct event *e)
{
  bool was_empty = outbox_is_empty (p->decide);

  outbox_push (p->decide, e);
  if (was_empty && !outbox_is_empty (p->decide))
    pause_inbound_links (p, true);
}

static void
push_peer_fault (struct peer_mesh *p, const char *address)
{
  struct event *e = talloc_zero (NULL, struct event);

  e->kind = EVENT_PEER_FAULT;
  text_copy (e->u.peer_fault.address, ADDRESS_BYTES, address);
  push_event (p, e);
}

static bool
on_inbound_message (void *state, const uint8_t *data, uint32_t size_bytes)
{
  struct inbound_link *in = state;
  struct event *e = peer_message_decode (data, size_bytes);

  if (e == NULL)
    return false;
  push_event (in->mesh, e);
  return true;
}

/* Frees the link on a timer of its own, as the handler in which it ended still
   uses it.  */
static void
on_free_inbound (struct tevent_context *loop, struct tevent_timer *te,
                 struct timeval at, void *state)
{
  struct inbound_link *in = state;

  (void)loop;
  (void)te;
  (void)at;
  LIST_REMOVE (in, entry);
  in->mesh->inbound_count--;
  talloc_free (in);
}

static void
on_inbound_ended (void *state, enum peer_link_end why)
{
  struct inbound_link *in = state;

  if (why == PEER_LINK_REFUSED)
    push_peer_fault (in->mesh, in->address);
  timer_add (in->mesh->duty->loop, in, 0, on_free_inbound, in);
}

static void
set_socket_options (int fd)
{
  int one = 1;
  unsigned int limit_ms = UNACKED_TIMEOUT_MS;

  setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
  setsockopt (fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &limit_ms, sizeof limit_ms);
}

static void
on_accept (struct tevent_context *loop, struct tevent_fd *fde, uint16_t flags,
           void *state)
{
  struct peer_mesh *p = state;
  struct sockaddr_in from;
  socklen_t size = sizeof from;
  int fd = accept4 (p->listen_fd, (struct sockaddr *)&from, &size,
                    SOCK_NONBLOCK | SOCK_CLOEXEC);
  struct peer_link_handler h
      = { .message = on_inbound_message, .ended = on_inbound_ended };
  struct inbound_link *in;

  (void)fde;
  (void)flags;
  if (fd < 0)
    return;
  if (p->inbound_count == MAX_INBOUND_LINK_COUNT)
    {
      close (fd);
      return;
    }
  set_socket_options (fd);
  in = talloc_zero (p, struct inbound_link);
  in->mesh = p;
  h.state = in;
  inet_ntop (AF_INET, &from.sin_addr, in->address, sizeof in->address);
  in->link = peer_link_new (in, loop, fd, PEER_LINK_ACCEPTOR, p->secret, &h);
  if (in->link == NULL)
    {
      talloc_free (in);
      return;
    }
  LIST_INSERT_HEAD (&p->inbound, in, entry);
  p->inbound_count++;
  if (!outbox_is_empty (p->decide))
    peer_link_set_paused (in->link, true);
}

static void
on_connect_timer (struct tevent_context *loop, struct tevent_timer *te,
                  struct timeval at, void *state)
{
  (void)loop;
  (void)te;
  (void)at;
  start_connect (state);
}

/* Connects again after a random time from half of backoff_ms to all of it, and
   doubles backoff_ms up to MAX_BACKOFF_MS.  */
static void
schedule_connect (struct outbound_link *out)
{
  uint32_t ms
      = out->backoff_ms / 2 + randombytes_uniform (out->backoff_ms / 2);

  out->backoff_ms *= 2;
  if (out->backoff_ms > MAX_BACKOFF_MS)
    out->backoff_ms = MAX_BACKOFF_MS;
  timer_add (out->mesh->duty->loop, out, ms * US_PER_MS, on_connect_timer,
             out);
}

static void
on_outbound_ready (void *state)
{
  ((struct outbound_link *)state)->backoff_ms = MIN_BACKOFF_MS;
}

/* Refuses any message: the other end sends none on this link.  */
static bool
on_outbound_message (void *state, const uint8_t *data, uint32_t size_bytes)
{
  (void)state;
  (void)data;
  (void)size_bytes;
  return false;
}

static void
on_outbound_ended (void *state, enum peer_link_end why)
{
  struct outbound_link *out = state;

  if (why == PEER_LINK_REFUSED)
    push_peer_fault (out->mesh, out->member.peer_address);
  schedule_connect (out);
}

static void
start_connect (struct outbound_link *out)
{
  struct peer_link_handler h = { .ready = on_outbound_ready,
                                 .message = on_outbound_message,
                                 .ended = on_outbound_ended,
                                 .state = out };
  struct sockaddr_in to;
  int fd;

  TALLOC_FREE (out->link);
  if (!address_parse (out->member.peer_address, &to))
    return;
  fd = socket (AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (fd < 0)
    {
      schedule_connect (out);
      return;
    }
  set_socket_options (fd);
  if (connect (fd, (struct sockaddr *)&to, sizeof to) < 0
      && errno != EINPROGRESS)
    {
      close (fd);
      schedule_connect (out);
      return;
    }
  out->link = peer_link_new (out, out->mesh->duty->loop, fd,
                             PEER_LINK_CONNECTOR, out->mesh->secret, &h);
  if (out->link == NULL)
    schedule_connect (out);
}

static struct outbound_link *
find_outbound (const struct peer_mesh *p, uint64_t incarnation)
{
  struct outbound_link *out;

  LIST_FOREACH (out, &p->outbound, entry)
  if (out->member.incarnation == incarnation)
    return out;
  return NULL;
}

static void
add_or_keep_outbound (struct peer_mesh *p, const struct member_address *m)
{
  struct outbound_link *out = find_outbound (p, m->incarnation);

  if (out == NULL)
    {
      out = talloc_zero (p, struct outbound_link);
      out->mesh = p;
      out->member = *m;
      out->backoff_ms = MIN_BACKOFF_MS;
      LIST_INSERT_HEAD (&p->outbound, out, entry);
      start_connect (out);
    }
  out->listed = true;
}

/* Connects to the members of L that have no link yet, and closes the links to
   members that L lacks.  */
static void
set_members (struct peer_mesh *p, const struct member_list *l)
{
  struct outbound_link *out;
  struct outbound_link *next;
  uint32_t i;

  LIST_FOREACH (out, &p->outbound, entry)
  out->listed = false;
  for (i = 0; i < l->item_count; i++)
    if (l->items[i].incarnation != l->own_incarnation)
      add_or_keep_outbound (p, &l->items[i]);
  for (out = LIST_FIRST (&p->outbound); out != NULL; out = next)
    {
      next = LIST_NEXT (out, entry);
      if (out->listed)
        continue;
      LIST_REMOVE (out, entry);
      talloc_free (out);
    }
}

static void
send_message (struct peer_mesh *p, const struct peer_message *m)
{
  struct outbound_link *out = find_outbound (p, m->to_incarnation);
  uint8_t *data;

  if (out == NULL)
    {
      p->dropped_count++;
      return;
    }
  data = peer_message_encode (out, m);
  if (!peer_link_send (out->link, data, (uint32_t)talloc_array_length (data)))
    p->dropped_count++;
  talloc_free (data);
}

static void
free_action (struct action *a)
{
  if (a->kind == ACTION_MEMBERS)
    talloc_free (a->u.members);
  else
    peer_message_clear (&a->u.peer);
  talloc_free (a);
}

static void
on_action (void *state, void *item)
{
  struct action *a = item;

  if (a->kind == ACTION_MEMBERS)
    set_members (state, a->u.members);
  else
    send_message (state, &a->u.peer);
  free_action (a);
}

static bool
open_listener (struct peer_mesh *p, const char *address)
{
  struct sockaddr_in at;
  int one = 1;

  p->listen_fd
      = socket (AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (p->listen_fd < 0 || !address_parse (address, &at))
    return false;
  setsockopt (p->listen_fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
  if (bind (p->listen_fd, (struct sockaddr *)&at, sizeof at) < 0
      || listen (p->listen_fd, LISTEN_BACKLOG_COUNT) < 0)
    return false;
  return tevent_add_fd (p->duty->loop, p->duty->loop, p->listen_fd,
                        TEVENT_FD_READ, on_accept, p)
         != NULL;
}

struct peer_mesh *
peer_mesh_new (const struct settings *s, struct ring *decide, char *text)
{
  struct peer_mesh *p = talloc_zero (NULL, struct peer_mesh);

  if (p == NULL)
    return NULL;
  p->listen_fd = -1;
  LIST_INIT (&p->outbound);
  LIST_INIT (&p->inbound);
  crypto_generichash (p->secret, sizeof p->secret,
                      (const uint8_t *)s->cluster_secret,
                      strlen (s->cluster_secret), NULL, 0);
  p->duty = duty_new ("peer", RING_CAPACITY_COUNT, on_action, p);
  if (p->duty != NULL)
    p->decide = outbox_new (p, p->duty->loop, decide, on_outbox_empty, p);
  if (p->duty != NULL && open_listener (p, s->peer_listen_address))
    return p;
  snprintf (text, TEXT_BYTES, "\"peer_listen\" %s: %s", s->peer_listen_address,
            strerror (errno));
  peer_mesh_free (p);
  return NULL;
}

struct duty *
peer_mesh_duty (struct peer_mesh *p)
{
  return p->duty;
}

void
peer_mesh_free (struct peer_mesh *p)
{
  struct inbound_link *in;
  struct outbound_link *out;
  struct action *x;

  if (p == NULL)
    return;
  /* Free the links before the loop that watches them.  */
  while ((in = LIST_FIRST (&p->inbound)) != NULL)
    {
      LIST_REMOVE (in, entry);
      talloc_free (in);
    }
  while ((out = LIST_FIRST (&p->outbound)) != NULL)
    {
      LIST_REMOVE (out, entry);
      talloc_free (out);
    }
  while (p->duty != NULL && ring_pop (p->duty->inbound, (void **)&x, 1) > 0)
    free_action (x);
  talloc_free (p->decide);
  duty_free (p->duty);
  if (p->listen_fd >= 0)
    close (p->listen_fd);
  talloc_free (p);
}
