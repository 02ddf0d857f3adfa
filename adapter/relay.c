/* relay.c -- the duty that forwards calls between entries.  */

#include "adapter/relay.h"

#include "adapter/address.h"
#include "adapter/cell_post.h"
#include "adapter/order_codec.h"
#include "adapter/peer_link.h"
#include "adapter/relay_codec.h"
#include "adapter/timer.h"

#include <errno.h>
#include <netinet/tcp.h>
#include <sodium.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#define RING_CAPACITY_COUNT 8192
#define LISTEN_BACKLOG_COUNT 64
/** Interval between the heartbeats that each end of a link sends.  */
#define HEARTBEAT_INTERVAL_MS 250
/** A link is closed after this long without a message: four heartbeat
    intervals, as a slow VM may miss some.  */
#define SILENCE_TIMEOUT_MS 1000
/** Delay before the owner is connected to again.  */
#define RECONNECT_DELAY_MS 200
/** A delegated order is dropped when it may be older than this: one of the two
    entries was paused, or is slow.  A link is silent no longer.  */
#define ORDER_LIMIT_MS SILENCE_TIMEOUT_MS

struct link
{
  struct link *next;
  struct relay *relay;
  uint64_t id; /**< Id of an accepted link; 0: the link to the owner.  */
  struct peer_link *peer;
  /** Taken out of use; its socket stays open and may have events until the
      link is freed.  */
  bool dropped;
  bool ready;    /**< The other end has proved that it has the secret.  */
  bool reported; /**< The cell was told that this accepted link is up.  */
  bool reported_eligible;  /**< Last heartbeat reported was not degraded.  */
  uint64_t reported_token; /**< followed_token of that heartbeat.  */
  bool gets_states;        /**< It was sent states of jobs.  */
  uint64_t heard_at_us;    /**< When the last message arrived.  */
  uint64_t clock_us; /**< The other end's clock in its last heartbeat.  */
};

struct relay
{
  struct duty *duty;
  struct ring *cell;
  struct ring *orders; /**< Gets the orders sent for the owner, or NULL.  */
  struct line_log *log;
  uint8_t secret[PEER_SECRET_BYTES];
  int listen_fd;
  uint64_t next_id;
  struct link *accepted_links;
  struct link *owner;          /**< Link to the owner, or NULL.  */
  struct link *dropped_links;  /**< Freed by the heartbeat timer.  */
  char address[ADDRESS_BYTES]; /**< Of the owner's relay; empty: no owner.  */
  uint64_t connect_at_us;      /**< Earliest next attempt to connect.  */
  bool reported_up; /**< The cell was told that the owner's link is up.  */
  /** Contents of the owner's heartbeat that was last reported to the cell.  */
  bool reported_degraded;
  uint32_t reported_cpu_milli;
  enum store_view reported_view;
  uint32_t reported_entry_count;
  struct relay_message heartbeat; /**< Sent on every link.  */
};

/* Reports to the cell whether the link to the owner is up, if that changed. */
static void
report_owner_link (struct relay *r, bool up)
{
  struct cell_event *e;

  if (up == r->reported_up)
    return;
  r->reported_up = up;
  r->reported_degraded = false;
  r->reported_cpu_milli = 0;
  r->reported_view = STORE_VIEW_NONE;
  r->reported_entry_count = 0;
  e = cell_event_new (CELL_OWNER_LINK);
  e->u.owner_link.up = up;
  cell_post (r->cell, e);
}

/* Reports to the cell that another entry's link came up or went down, with its
   heartbeat if there is one.  */
static void
report_peer (struct link *l, bool up, const struct relay_message *m)
{
  struct cell_event *e = cell_event_new (CELL_PEER);

  l->reported = up;
  e->u.peer.link_id = l->id;
  e->u.peer.up = up;
  if (m != NULL)
    {
      l->reported_eligible = !m->u.heartbeat.degraded;
      e->u.peer.eligible = l->reported_eligible;
      e->u.peer.cpu_milli = m->u.heartbeat.cpu_milli;
      text_copy (e->u.peer.zone, NAME_BYTES, m->u.heartbeat.zone);
      text_copy (e->u.peer.member, NAME_BYTES, m->u.heartbeat.member);
      l->reported_token = m->u.heartbeat.followed_token;
      e->u.peer.followed_token = l->reported_token;
      e->u.peer.takes_states = m->u.heartbeat.takes_states;
      e->u.peer.entry_count = m->u.heartbeat.entry_count;
    }
  cell_post (l->relay->cell, e);
}

/* Takes L out of use and reports its end to the cell.  It is freed later, as
   this may be called from one of its handlers.  */
static void
drop_link (struct link *l)
{
  struct relay *r = l->relay;
  struct link **at = &r->accepted_links;

  if (l->dropped)
    return;
  l->dropped = true;
  if (l->reported)
    report_peer (l, false, NULL);
  if (l == r->owner)
    {
      r->owner = NULL;
      r->connect_at_us = now_us () + RECONNECT_DELAY_MS * US_PER_MS;
      report_owner_link (r, false);
    }
  else
    {
      while (*at != NULL && *at != l)
        at = &(*at)->next;
      if (*at != NULL)
        *at = l->next;
    }
  l->next = r->dropped_links;
  r->dropped_links = l;
}

static void
free_dropped (struct relay *r)
{
  while (r->dropped_links != NULL)
    {
      struct link *next = r->dropped_links->next;

      talloc_free (r->dropped_links);
      r->dropped_links = next;
    }
}

static void
on_ready (void *state)
{
  struct link *l = state;

  l->ready = true;
  l->heard_at_us = now_us ();
  if (l == l->relay->owner)
    report_owner_link (l->relay, true);
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

/* Passes the orders in M, which the owner has this entry send, on.  They are
   valid until ORDER_LIMIT_MS after the heartbeat that the owner had read.  */
static bool
take_orders (struct link *l, const struct relay_message *m)
{
  struct relay *r = l->relay;
  const struct blob *b = m->u.orders.batch;
  struct order_batch *batch
      = b != NULL && l == r->owner && r->orders != NULL
            ? order_batch_decode (r, b->data, b->size_bytes)
            : NULL;
  uint32_t i;

  for (i = 0; batch != NULL && i < batch->item_count; i++)
    {
      struct cell_action *a = talloc_zero (NULL, struct cell_action);

      a->kind = CELL_DO_ORDER;
      a->u.order = batch->items[i];
      a->u.order.delegated = true;
      a->send_until_us = m->u.orders.clock_us + ORDER_LIMIT_MS * US_PER_MS;
      blob_ref (a->u.order.payload);
      if (ring_push (r->orders, a))
        continue;
      /* The owner gives up what is not answered.  */
      line_log_write (r->log, "ring_full", 0, "\"ring\":\"back\"");
      blob_unref (a->u.order.payload);
      talloc_free (a);
    }
  if (batch == NULL)
    return false;
  talloc_free (batch);
  return true;
}

static void
post_results (struct link *l, const struct relay_message *m)
{
  uint32_t i;

  for (i = 0; i < m->u.results.item_count; i++)
    cell_post (l->relay->cell, talloc_steal (NULL, m->u.results.items[i]));
}

static void
post_states (struct link *l, struct cell_event *e,
             const struct relay_message *m)
{
  e->kind = CELL_STATES;
  e->u.states.token = m->u.states.token;
  e->u.states.item_count = m->u.states.item_count;
  e->u.states.items = m->u.states.items;
  cell_post (l->relay->cell, e);
}

static void
apply_owner_heartbeat (struct relay *r, const struct relay_message *m)
{
  struct cell_event *e;

  if (m->u.heartbeat.degraded == r->reported_degraded
      && m->u.heartbeat.cpu_milli == r->reported_cpu_milli
      && m->u.heartbeat.view == r->reported_view
      && m->u.heartbeat.entry_count == r->reported_entry_count)
    return;
  r->reported_degraded = m->u.heartbeat.degraded;
  r->reported_cpu_milli = m->u.heartbeat.cpu_milli;
  r->reported_view = m->u.heartbeat.view;
  r->reported_entry_count = m->u.heartbeat.entry_count;
  e = cell_event_new (CELL_OWNER_LINK);
  e->u.owner_link.up = true;
  e->u.owner_link.degraded = m->u.heartbeat.degraded;
  e->u.owner_link.best_cpu_milli = m->u.heartbeat.cpu_milli;
  e->u.owner_link.view = m->u.heartbeat.view;
  e->u.owner_link.entry_count = m->u.heartbeat.entry_count;
  cell_post (r->cell, e);
}

static void
apply_heartbeat (struct link *l, const struct relay_message *m)
{
  l->clock_us = m->u.heartbeat.clock_us;
  if (l == l->relay->owner)
    apply_owner_heartbeat (l->relay, m);
  else if (!l->reported || l->reported_eligible == m->u.heartbeat.degraded
           || l->reported_token != m->u.heartbeat.followed_token)
    report_peer (l, true, m);
}

static void
log_link (const struct link *l, const char *what)
{
  line_log_write (l->relay->log, what, 0,
                  l == l->relay->owner ? "\"link\":\"owner\""
                                       : "\"link\":\"accepted\"");
}

static bool
on_message (void *state, const uint8_t *data, uint32_t size_bytes)
{
  struct link *l = state;
  /* The spec of a decoded call becomes a child of E, whose kind is set once
     the message is decoded.  */
  struct cell_event *e = cell_event_new (CELL_TICK);
  struct relay_message m;
  bool valid = true;

  if (l->dropped)
    {
      talloc_free (e);
      return false;
    }
  l->heard_at_us = now_us ();
  if (!relay_decode (e, data, size_bytes, &m))
    {
      log_link (l, "relay_malformed");
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
      apply_heartbeat (l, &m);
      break;
    case RELAY_ORDERS:
      talloc_free (e);
      valid = take_orders (l, &m);
      blob_unref (m.u.orders.batch);
      break;
    case RELAY_RESULTS:
      post_results (l, &m);
      talloc_free (e);
      break;
    case RELAY_STATES:
      valid = l == l->relay->owner;
      if (valid)
        post_states (l, e, &m);
      else
        talloc_free (e);
      break;
    }
  if (!valid)
    log_link (l, "relay_malformed");
  return valid;
}

static void
on_ended (void *state, enum peer_link_end why)
{
  struct link *l = state;

  if (why == PEER_LINK_REFUSED)
    log_link (l, "relay_refused");
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
  l->heard_at_us = now_us ();
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
  l->next = r->accepted_links;
  r->accepted_links = l;
}

static void
connect_owner (struct relay *r)
{
  struct sockaddr_in a;
  int fd;

  r->connect_at_us = now_us () + RECONNECT_DELAY_MS * US_PER_MS;
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
send_body (struct link *l, const struct blob *b)
{
  if (l != NULL && l->ready && b != NULL)
    peer_link_send (l->peer, b->data, b->size_bytes);
}

/* Sends a heartbeat on L, with what the cell has set last.  */
static void
send_heartbeat (struct link *l)
{
  struct blob *b;

  l->relay->heartbeat.u.heartbeat.clock_us = now_us ();
  b = relay_encode (&l->relay->heartbeat);
  send_body (l, b);
  blob_unref (b);
}

/* Replaces the link to the owner unless it already goes to ADDRESS.  */
static void
set_owner (struct relay *r, const char *address)
{
  if (r->owner != NULL && strcmp (r->address, address) == 0)
    return;
  text_copy (r->address, ADDRESS_BYTES, address);
  if (r->owner != NULL)
    {
      send_heartbeat (r->owner);
      drop_link (r->owner);
    }
  r->connect_at_us = 0;
  if (address[0] != '\0')
    connect_owner (r);
}

static struct link *
find_link (struct relay *r, uint64_t id)
{
  struct link *l = r->accepted_links;

  while (l != NULL && l->id != id)
    l = l->next;
  return l;
}

/* Sends the batch in O unless the link is gone or the batch too old.  */
static void
send_orders (struct relay *r, const struct relay_command *o)
{
  struct link *l = find_link (r, o->link_id);
  struct relay_message m = { .kind = RELAY_ORDERS };
  struct blob *b;

  if (l == NULL || o->body == NULL)
    return;
  if (now_us () > o->decided_at_us + ORDER_LIMIT_MS * US_PER_MS)
    {
      log_link (l, "orders_too_late");
      return;
    }
  m.u.orders.clock_us = l->clock_us;
  m.u.orders.batch = o->body;
  b = relay_encode (&m);
  send_body (l, b);
  blob_unref (b);
}

static void
send_states (struct relay *r, const struct relay_command *o)
{
  struct link *l;

  for (l = r->accepted_links; l != NULL; l = l->next)
    if (l->id == o->link_id || (o->link_id == 0 && l->gets_states))
      {
        l->gets_states = true;
        send_body (l, o->body);
      }
}

static void
on_command (void *state, void *item)
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
    case RELAY_SEND_ORDERS:
      send_orders (r, o);
      break;
    case RELAY_SEND_STATES:
      send_states (r, o);
      break;
    case RELAY_SET_HEARTBEAT:
      r->heartbeat.u.heartbeat.degraded = o->degraded;
      r->heartbeat.u.heartbeat.cpu_milli = o->cpu_milli;
      r->heartbeat.u.heartbeat.followed_token = o->followed_token;
      r->heartbeat.u.heartbeat.view = o->view;
      r->heartbeat.u.heartbeat.entry_count = o->entry_count;
      break;
    case RELAY_SET_OWNER:
      set_owner (r, o->address);
      break;
    }
  blob_unref (o->body);
  talloc_free (o);
}

/* Drops L if it was silent too long, else sends HEARTBEAT on it.  */
static void
check_link (struct link *l, const struct blob *heartbeat, uint64_t now)
{
  if (now > l->heard_at_us + SILENCE_TIMEOUT_MS * US_PER_MS)
    drop_link (l);
  else
    send_body (l, heartbeat);
}

static void
on_heartbeat_timer (struct tevent_context *loop, struct tevent_timer *te,
                    struct timeval at, void *state)
{
  struct relay *r = state;
  uint64_t now = now_us ();
  struct link *l = r->accepted_links;
  struct blob *heartbeat;

  r->heartbeat.u.heartbeat.clock_us = now;
  heartbeat = relay_encode (&r->heartbeat);
  free_dropped (r);
  (void)te;
  (void)at;
  while (l != NULL)
    {
      struct link *next = l->next;

      check_link (l, heartbeat, now);
      l = next;
    }
  if (r->owner != NULL)
    check_link (r->owner, heartbeat, now);
  else if (r->address[0] != '\0' && now >= r->connect_at_us)
    connect_owner (r);
  blob_unref (heartbeat);
  timer_add (loop, loop, HEARTBEAT_INTERVAL_MS * US_PER_MS, on_heartbeat_timer,
             r);
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
         && listen (r->listen_fd, LISTEN_BACKLOG_COUNT) == 0
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
  r->heartbeat.kind = RELAY_HEARTBEAT;
  r->heartbeat.u.heartbeat.cpu_milli = s->cell.cpu_milli;
  r->heartbeat.u.heartbeat.takes_states = true;
  text_copy (r->heartbeat.u.heartbeat.zone, NAME_BYTES, s->zone);
  text_copy (r->heartbeat.u.heartbeat.member, NAME_BYTES, s->cell.member);
  crypto_generichash (r->secret, sizeof r->secret,
                      (const uint8_t *)s->relay_secret,
                      strlen (s->relay_secret), NULL, 0);
  r->duty = duty_new ("relay", RING_CAPACITY_COUNT, on_command, r);
  if (r->duty != NULL && open_listener (r, s->cell.relay_address))
    {
      timer_add (r->duty->loop, r->duty->loop,
                 HEARTBEAT_INTERVAL_MS * US_PER_MS, on_heartbeat_timer, r);
      return r;
    }
  snprintf (text, TEXT_BYTES, "\"relay_listen\" %s: the relay does not start",
            s->cell.relay_address);
  relay_free (r);
  return NULL;
}

void
relay_set_orders (struct relay *r, struct ring *orders)
{
  r->orders = orders;
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
  while (r->accepted_links != NULL)
    drop_link (r->accepted_links);
  if (r->owner != NULL)
    drop_link (r->owner);
  free_dropped (r);
  duty_free (r->duty);
  if (r->listen_fd >= 0)
    close (r->listen_fd);
  talloc_free (r);
}
