/* relay.c -- the duty that passes calls between entries.  */

#include "adapter/relay.h"

#include "adapter/address.h"
#include "adapter/cell_post.h"
#include "adapter/peer_link.h"
#include "adapter/relay_codec.h"

#include <errno.h>
#include <netinet/tcp.h>
#include <sodium.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#define RING_COUNT 8192
#define LISTEN_COUNT 64
/** Each end says at least this often that it is alive.  */
#define BEAT_MS 250
/** A silent link is ended: four beats, as a slow VM may miss some.  */
#define SILENCE_MS 1000
/** After a connection that failed or broke.  */
#define CONNECT_GAP_MS 200

struct link
{
  struct link *next;
  struct relay *relay;
  uint64_t id; /**< 0: the one to the owner.  */
  struct peer_link *peer;
  bool dropped; /**< Out of use; its socket may still have events.  */
  bool ready;
  bool told; /**< The cell knows of it; accepted ones.  */
  bool told_able;
  uint64_t heard_us;
};

struct relay
{
  struct duty *duty;
  struct ring *cell;
  struct line_log *log;
  uint8_t secret[PEER_SECRET_BYTES];
  int listen_fd;
  uint64_t next_id;
  struct link *links; /**< Accepted ones.  */
  struct link *owner; /**< NULL: none.  */
  struct link *dead;  /**< Ended, to be freed outside their own calls.  */
  char address[ADDRESS_BYTES];
  uint64_t connect_us; /**< Next try.  */
  bool told_up;
  bool told_degraded; /**< What the owner's last beat said.  */
  uint32_t told_cpu_milli;
  struct relay_message beat; /**< What our beats say.  */
};

static void
tell_link (struct relay *r, bool up)
{
  struct cell_event *e;

  if (up == r->told_up)
    return;
  r->told_up = up;
  r->told_degraded = false;
  r->told_cpu_milli = 0;
  e = cell_event_new (CELL_OWNER_LINK);
  e->u.owner_link.up = up;
  cell_post (r->cell, e);
}

static void
tell_peer (struct link *l, bool up, const struct relay_message *beat)
{
  struct cell_event *e = cell_event_new (CELL_PEER);

  l->told = up;
  e->u.peer.link_id = l->id;
  e->u.peer.up = up;
  if (beat != NULL)
    {
      l->told_able = !beat->u.heartbeat.degraded;
      e->u.peer.eligible = l->told_able;
      e->u.peer.cpu_milli = beat->u.heartbeat.cpu_milli;
    }
  cell_post (l->relay->cell, e);
}

/* Takes L out of use.  It is freed later: a link ends inside its own calls. */
static void
drop_link (struct link *l)
{
  struct relay *r = l->relay;
  struct link **at = &r->links;

  if (l->dropped)
    return;
  l->dropped = true;
  if (l->told)
    tell_peer (l, false, NULL);
  if (l == r->owner)
    {
      r->owner = NULL;
      r->connect_us = now_us () + CONNECT_GAP_MS * US_PER_MS;
      tell_link (r, false);
    }
  else
    {
      while (*at != NULL && *at != l)
        at = &(*at)->next;
      if (*at != NULL)
        *at = l->next;
    }
  l->next = r->dead;
  r->dead = l;
}

static void
free_dead (struct relay *r)
{
  while (r->dead != NULL)
    {
      struct link *next = r->dead->next;

      talloc_free (r->dead);
      r->dead = next;
    }
}

static void
on_ready (void *state)
{
  struct link *l = state;

  l->ready = true;
  l->heard_us = now_us ();
  if (l == l->relay->owner)
    tell_link (l->relay, true);
}

static void
post_call (struct link *l, struct cell_event *e, const struct relay_message *m)
{
  e->kind = CELL_JOB_CALL;
  e->u.job_call.link_id = l->id;
  e->u.job_call.call = m->u.call;
  cell_post (l->relay->cell, e);
}

static void
post_reply (struct link *l, struct cell_event *e,
            const struct relay_message *m)
{
  e->kind = CELL_REPLY;
  e->u.reply = m->u.reply;
  cell_post (l->relay->cell, e);
}

static void
take_owner_beat (struct relay *r, const struct relay_message *m)
{
  struct cell_event *e;

  if (m->u.heartbeat.degraded == r->told_degraded
      && m->u.heartbeat.cpu_milli == r->told_cpu_milli)
    return;
  r->told_degraded = m->u.heartbeat.degraded;
  r->told_cpu_milli = m->u.heartbeat.cpu_milli;
  e = cell_event_new (CELL_OWNER_LINK);
  e->u.owner_link.up = true;
  e->u.owner_link.degraded = m->u.heartbeat.degraded;
  e->u.owner_link.best_cpu_milli = m->u.heartbeat.cpu_milli;
  cell_post (r->cell, e);
}

static void
take_beat (struct link *l, const struct relay_message *m)
{
  if (l == l->relay->owner)
    take_owner_beat (l->relay, m);
  else if (!l->told || l->told_able == m->u.heartbeat.degraded)
    tell_peer (l, true, m);
}

static bool
on_message (void *state, const uint8_t *data, uint32_t size_bytes)
{
  struct link *l = state;
  struct cell_event *e = cell_event_new (CELL_TICK);
  struct relay_message m;

  if (l->dropped)
    {
      talloc_free (e);
      return false;
    }
  l->heard_us = now_us ();
  if (!relay_decode (e, data, size_bytes, &m))
    {
      line_log_write (l->relay->log, "relay_malformed", 0, "");
      talloc_free (e);
      return false;
    }
  switch (m.kind)
    {
    case RELAY_CALL:
      post_call (l, e, &m);
      break;
    case RELAY_REPLY:
      post_reply (l, e, &m);
      break;
    case RELAY_HEARTBEAT:
      talloc_free (e);
      take_beat (l, &m);
      break;
    }
  return true;
}

static void
on_ended (void *state, enum peer_link_end why)
{
  struct link *l = state;

  if (why == PEER_LINK_REFUSED)
    line_log_write (l->relay->log, "relay_refused", 0, "");
  drop_link (l);
}

static struct link *
link_new (struct relay *r, int fd, enum peer_link_side side)
{
  struct link *l = talloc_zero (r, struct link);
  struct peer_link_handler h = {
    .ready = on_ready, .message = on_message, .ended = on_ended, .state = l
  };
  int one = 1;

  setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
  l->relay = r;
  l->heard_us = now_us ();
  l->peer = peer_link_new (l, r->duty->loop, fd, side, r->secret, &h);
  if (l->peer == NULL)
    TALLOC_FREE (l);
  return l;
}

static void
on_accept (struct tevent_context *loop, struct tevent_fd *fde, uint16_t flags,
           void *state)
{
  struct relay *r = state;
  int fd = accept4 (r->listen_fd, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC);
  struct link *l;

  (void)loop;
  (void)fde;
  (void)flags;
  if (fd < 0)
    return;
  l = link_new (r, fd, PEER_LINK_ACCEPTOR);
  if (l == NULL)
    return;
  l->id = ++r->next_id;
  l->next = r->links;
  r->links = l;
}

static void
connect_owner (struct relay *r)
{
  struct sockaddr_in a;
  int fd;

  r->connect_us = now_us () + CONNECT_GAP_MS * US_PER_MS;
  if (!address_parse (r->address, &a))
    return;
  fd = socket (AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (fd < 0)
    return;
  if (connect (fd, (struct sockaddr *)&a, sizeof a) < 0
      && errno != EINPROGRESS)
    {
      close (fd);
      return;
    }
  r->owner = link_new (r, fd, PEER_LINK_CONNECTOR);
}

static void
set_owner (struct relay *r, const char *address)
{
  if (r->owner != NULL && strcmp (r->address, address) == 0)
    return;
  text_copy (r->address, ADDRESS_BYTES, address);
  if (r->owner != NULL)
    drop_link (r->owner);
  r->connect_us = 0;
  if (address[0] != '\0')
    connect_owner (r);
}

static struct link *
find_link (struct relay *r, uint64_t id)
{
  struct link *l = r->links;

  while (l != NULL && l->id != id)
    l = l->next;
  return l;
}

static void
send_body (struct link *l, const struct blob *b)
{
  if (l != NULL && l->ready && b != NULL)
    peer_link_send (l->peer, b->data, b->size_bytes);
}

static void
on_order (void *state, void *item)
{
  struct relay *r = state;
  struct relay_command *o = item;

  switch (o->kind)
    {
    case RELAY_SEND_TO_OWNER:
      send_body (r->owner, o->body);
      break;
    case RELAY_SEND_ON_LINK:
      send_body (find_link (r, o->link_id), o->body);
      break;
    case RELAY_SET_HEARTBEAT:
      r->beat.u.heartbeat.degraded = o->degraded;
      r->beat.u.heartbeat.cpu_milli = o->cpu_milli;
      break;
    case RELAY_SET_OWNER:
      set_owner (r, o->address);
      break;
    }
  blob_unref (o->body);
  talloc_free (o);
}

static void
check_link (struct link *l, const struct blob *beat, uint64_t now)
{
  if (now > l->heard_us + SILENCE_MS * US_PER_MS)
    drop_link (l);
  else
    send_body (l, beat);
}

static void
on_beat (struct tevent_context *loop, struct tevent_timer *te,
         struct timeval at, void *state)
{
  struct relay *r = state;
  struct blob *beat = relay_encode (&r->beat);
  uint64_t now = now_us ();
  struct link *l = r->links;

  free_dead (r);
  (void)te;
  (void)at;
  while (l != NULL)
    {
      struct link *next = l->next;

      check_link (l, beat, now);
      l = next;
    }
  if (r->owner != NULL)
    check_link (r->owner, beat, now);
  else if (r->address[0] != '\0' && now >= r->connect_us)
    connect_owner (r);
  blob_unref (beat);
  tevent_add_timer (loop, loop,
                    tevent_timeval_current_ofs (0, BEAT_MS * US_PER_MS),
                    on_beat, r);
}

static bool
open_listener (struct relay *r, const char *address)
{
  struct sockaddr_in a;
  int one = 1;

  if (!address_parse (address, &a))
    return false;
  r->listen_fd
      = socket (AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (r->listen_fd < 0)
    return false;
  setsockopt (r->listen_fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
  return bind (r->listen_fd, (struct sockaddr *)&a, sizeof a) == 0
         && listen (r->listen_fd, LISTEN_COUNT) == 0
         && tevent_add_fd (r->duty->loop, r->duty->loop, r->listen_fd,
                           TEVENT_FD_READ, on_accept, r)
                != NULL;
}

struct relay *
relay_new (const struct site_settings *s, struct ring *cell,
           struct line_log *log, char *text)
{
  struct relay *r = talloc_zero (NULL, struct relay);

  r->cell = cell;
  r->log = log;
  r->listen_fd = -1;
  r->beat.kind = RELAY_HEARTBEAT;
  r->beat.u.heartbeat.cpu_milli = s->cell.cpu_milli;
  crypto_generichash (r->secret, sizeof r->secret,
                      (const uint8_t *)s->relay_secret,
                      strlen (s->relay_secret), NULL, 0);
  r->duty = duty_new ("relay", RING_COUNT, on_order, r);
  if (r->duty != NULL && open_listener (r, s->cell.relay_address))
    {
      tevent_add_timer (r->duty->loop, r->duty->loop,
                        tevent_timeval_current_ofs (0, BEAT_MS * US_PER_MS),
                        on_beat, r);
      return r;
    }
  snprintf (text, TEXT_BYTES, "cannot listen on %s", s->cell.relay_address);
  relay_free (r);
  return NULL;
}

struct duty *
relay_duty (struct relay *r)
{
  return r->duty;
}

void
relay_free (struct relay *r)
{
  struct relay_command *o;

  if (r == NULL)
    return;
  if (r->duty != NULL)
    while (ring_pop (r->duty->inbound, (void **)&o, 1) > 0)
      {
        blob_unref (o->body);
        talloc_free (o);
      }
  while (r->links != NULL)
    drop_link (r->links);
  if (r->owner != NULL)
    drop_link (r->owner);
  free_dead (r);
  duty_free (r->duty);
  if (r->listen_fd >= 0)
    close (r->listen_fd);
  talloc_free (r);
}
