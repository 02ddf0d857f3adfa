/* peer_mesh.c -- links to the other members.

   Each member connects to every other one and sends on the link that it made;
   it reads from the links that it accepted.  The members come with
   ACTION_MEMBERS.  A message to a member whose link is not up is dropped and
   counted: what must arrive is sent again by the core until acknowledged.
   While the decide ring is full no link is read, so nothing that came in is
   ever dropped.  */

#include "adapter/peer_mesh.h"

#include "adapter/address.h"
#include "adapter/outbox.h"
#include "adapter/peer_codec.h"
#include "adapter/peer_link.h"
#include "port/action.h"

#include <arpa/inet.h>
#include <errno.h>
#include <netinet/tcp.h>
#include <sodium.h>
#include <string.h>
#include <sys/queue.h>
#include <unistd.h>

#define RING_COUNT 4096
#define LISTEN_COUNT 64
/** Links accepted at once; a restarting member may have two for a while.  */
#define ACCEPT_LIMIT_COUNT 64
#define BACKOFF_LOW_MS 50
#define BACKOFF_HIGH_MS 1000
/** Unacknowledged bytes break a connection after this time.  */
#define SEND_LIMIT_MS 3000

/** A member that this entry sends to.  */
struct remote
{
  LIST_ENTRY (remote) entry;
  struct peer_mesh *peer;
  struct member_address member;
  struct peer_link *link; /**< NULL while not connected.  */
  uint32_t backoff_ms;
  bool kept; /**< Still a member, while the list is taken over.  */
};

/** A link that another member made.  */
struct accepted
{
  LIST_ENTRY (accepted) entry;
  struct peer_mesh *peer;
  struct peer_link *link;
  char address[ADDRESS_BYTES]; /**< Its IP number.  */
};

LIST_HEAD (remote_list, remote);
LIST_HEAD (accepted_list, accepted);

struct peer_mesh
{
  struct duty *duty;
  struct outbox *decide;
  int listen_fd;
  uint8_t secret[PEER_SECRET_BYTES];
  struct remote_list remotes;
  struct accepted_list accepted;
  uint32_t accepted_count;
  uint64_t dropped_count;
};

static void start_connect (struct remote *r);

static void
hold_links (struct peer_mesh *p, bool hold)
{
  struct accepted *a;

  LIST_FOREACH (a, &p->accepted, entry)
  peer_link_set_paused (a->link, hold);
}

static void
on_room (void *state)
{
  hold_links (state, false);
}

/* While events are kept the links are not read, so that they stay few.  */
static void
hand_over (struct peer_mesh *p, struct event *e)
{
  bool was_empty = outbox_is_empty (p->decide);

  outbox_push (p->decide, e);
  if (was_empty && !outbox_is_empty (p->decide))
    hold_links (p, true);
}

static void
tell_refused (struct peer_mesh *p, const char *address)
{
  struct event *e = talloc_zero (NULL, struct event);

  e->kind = EVENT_PEER_FAULT;
  text_copy (e->u.peer_fault.address, ADDRESS_BYTES, address);
  hand_over (p, e);
}

static bool
on_message (void *state, const uint8_t *data, uint32_t size_bytes)
{
  struct accepted *a = state;
  struct event *e = peer_message_decode (data, size_bytes);

  if (e == NULL)
    return false;
  hand_over (a->peer, e);
  return true;
}

static void
on_free_accepted (struct tevent_context *loop, struct tevent_timer *te,
                  struct timeval at, void *state)
{
  struct accepted *a = state;

  (void)loop;
  (void)te;
  (void)at;
  LIST_REMOVE (a, entry);
  a->peer->accepted_count--;
  talloc_free (a);
}

static void
on_accepted_ended (void *state, enum peer_link_end why)
{
  struct accepted *a = state;

  if (why == PEER_LINK_REFUSED)
    tell_refused (a->peer, a->address);
  tevent_add_timer (a->peer->duty->loop, a, tevent_timeval_current (),
                    on_free_accepted, a);
}

static void
set_options (int fd)
{
  int one = 1;
  unsigned int limit_ms = SEND_LIMIT_MS;

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
      = { .message = on_message, .ended = on_accepted_ended };
  struct accepted *a;

  (void)fde;
  (void)flags;
  if (fd < 0)
    return;
  if (p->accepted_count == ACCEPT_LIMIT_COUNT)
    {
      close (fd);
      return;
    }
  set_options (fd);
  a = talloc_zero (p, struct accepted);
  a->peer = p;
  h.state = a;
  inet_ntop (AF_INET, &from.sin_addr, a->address, sizeof a->address);
  a->link = peer_link_new (a, loop, fd, PEER_LINK_ACCEPTOR, p->secret, &h);
  if (a->link == NULL)
    {
      talloc_free (a);
      return;
    }
  LIST_INSERT_HEAD (&p->accepted, a, entry);
  p->accepted_count++;
  if (!outbox_is_empty (p->decide))
    peer_link_set_paused (a->link, true);
}

static void
on_connect_again (struct tevent_context *loop, struct tevent_timer *te,
                  struct timeval at, void *state)
{
  (void)loop;
  (void)te;
  (void)at;
  start_connect (state);
}

/* Connects again after a back-off with jitter.  */
static void
connect_later (struct remote *r)
{
  uint32_t ms = r->backoff_ms / 2 + randombytes_uniform (r->backoff_ms / 2);

  r->backoff_ms *= 2;
  if (r->backoff_ms > BACKOFF_HIGH_MS)
    r->backoff_ms = BACKOFF_HIGH_MS;
  tevent_add_timer (r->peer->duty->loop, r,
                    tevent_timeval_current_ofs (0, ms * US_PER_MS),
                    on_connect_again, r);
}

static void
on_remote_ready (void *state)
{
  ((struct remote *)state)->backoff_ms = BACKOFF_LOW_MS;
}

/* A member only listens on the links that it accepted.  */
static bool
on_remote_message (void *state, const uint8_t *data, uint32_t size_bytes)
{
  (void)state;
  (void)data;
  (void)size_bytes;
  return false;
}

static void
on_remote_ended (void *state, enum peer_link_end why)
{
  struct remote *r = state;

  if (why == PEER_LINK_REFUSED)
    tell_refused (r->peer, r->member.peer_address);
  connect_later (r);
}

static void
start_connect (struct remote *r)
{
  struct peer_link_handler h = { .ready = on_remote_ready,
                                 .message = on_remote_message,
                                 .ended = on_remote_ended,
                                 .state = r };
  struct sockaddr_in to;
  int fd;

  TALLOC_FREE (r->link);
  if (!address_parse (r->member.peer_address, &to))
    return;
  fd = socket (AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (fd < 0)
    {
      connect_later (r);
      return;
    }
  set_options (fd);
  if (connect (fd, (struct sockaddr *)&to, sizeof to) < 0
      && errno != EINPROGRESS)
    {
      close (fd);
      connect_later (r);
      return;
    }
  r->link = peer_link_new (r, r->peer->duty->loop, fd, PEER_LINK_CONNECTOR,
                           r->peer->secret, &h);
  if (r->link == NULL)
    connect_later (r);
}

static struct remote *
find_remote (const struct peer_mesh *p, uint64_t incarnation)
{
  struct remote *r;

  LIST_FOREACH (r, &p->remotes, entry)
  if (r->member.incarnation == incarnation)
    return r;
  return NULL;
}

static void
keep_remote (struct peer_mesh *p, const struct member_address *m)
{
  struct remote *r = find_remote (p, m->incarnation);

  if (r == NULL)
    {
      r = talloc_zero (p, struct remote);
      r->peer = p;
      r->member = *m;
      r->backoff_ms = BACKOFF_LOW_MS;
      LIST_INSERT_HEAD (&p->remotes, r, entry);
      start_connect (r);
    }
  r->kept = true;
}

static void
take_members (struct peer_mesh *p, const struct member_list *l)
{
  struct remote *r;
  struct remote *next;
  uint32_t i;

  LIST_FOREACH (r, &p->remotes, entry)
  r->kept = false;
  for (i = 0; i < l->item_count; i++)
    if (l->items[i].incarnation != l->own_incarnation)
      keep_remote (p, &l->items[i]);
  for (r = LIST_FIRST (&p->remotes); r != NULL; r = next)
    {
      next = LIST_NEXT (r, entry);
      if (r->kept)
        continue;
      LIST_REMOVE (r, entry);
      talloc_free (r);
    }
}

static void
send_message (struct peer_mesh *p, const struct peer_message *m)
{
  struct remote *r = find_remote (p, m->to_incarnation);
  uint8_t *data;

  if (r == NULL)
    {
      p->dropped_count++;
      return;
    }
  data = peer_message_encode (r, m);
  if (!peer_link_send (r->link, data, (uint32_t)talloc_array_length (data)))
    p->dropped_count++;
  talloc_free (data);
}

static void
drop_action (struct action *a)
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
    take_members (state, a->u.members);
  else
    send_message (state, &a->u.peer);
  drop_action (a);
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
      || listen (p->listen_fd, LISTEN_COUNT) < 0)
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
  LIST_INIT (&p->remotes);
  LIST_INIT (&p->accepted);
  crypto_generichash (p->secret, sizeof p->secret,
                      (const uint8_t *)s->cluster_secret,
                      strlen (s->cluster_secret), NULL, 0);
  p->duty = duty_new ("peer", RING_COUNT, on_action, p);
  if (p->duty != NULL)
    p->decide = outbox_new (p, p->duty->loop, decide, on_room, p);
  if (p->duty != NULL && open_listener (p, s->peer_listen_address))
    return p;
  snprintf (text, TEXT_BYTES, "cannot listen on %s: %s",
            s->peer_listen_address, strerror (errno));
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
  struct accepted *a;
  struct remote *r;
  struct action *x;

  if (p == NULL)
    return;
  /* The links go before the loop that watches them.  */
  while ((a = LIST_FIRST (&p->accepted)) != NULL)
    {
      LIST_REMOVE (a, entry);
      talloc_free (a);
    }
  while ((r = LIST_FIRST (&p->remotes)) != NULL)
    {
      LIST_REMOVE (r, entry);
      talloc_free (r);
    }
  while (p->duty != NULL && ring_pop (p->duty->inbound, (void **)&x, 1) > 0)
    drop_action (x);
  talloc_free (p->decide);
  duty_free (p->duty);
  if (p->listen_fd >= 0)
    close (p->listen_fd);
  talloc_free (p);
}
