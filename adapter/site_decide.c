/* site_decide.c -- the duty that runs the cell.

   Messages to other duties are encoded here, so that no other thread reads the
   cell's state.  */

#include "adapter/site_decide.h"

#include "adapter/cell_post.h"
#include "adapter/job_codec.h"
#include "adapter/order_codec.h"
#include "adapter/relay.h"
#include "adapter/relay_codec.h"
#include "adapter/site_front.h"
#include "adapter/site_store.h"
#include "adapter/timer.h"

#include <glib.h>
#include <stdatomic.h>

/** An event that waits in the ring for this long or longer is logged: the
    entry has too little CPU time for its load.  */
#define EVENT_WAIT_LIMIT_MS 200
/** Interval at which the metrics are copied to the front duty.  */
#define METRICS_INTERVAL_MS 1000
/** Most orders in a message to a delegate.  */
#define BATCH_LIMIT_COUNT 200
/** An order is not sent later than this after it was decided.  It is far less
    than the time after which an owner that hears nothing gives the cell up. */
#define ORDER_LIMIT_MS 2000

/* Orders for one delegate that are not sent yet.  */
struct pending_batch
{
  uint64_t link_id;
  uint64_t decided_at_us; /* When the first of them was decided.  */
  GArray *orders;         /* struct runner_order.  */
};

struct site_decide
{
  struct duty *duty;
  struct cell *cell;
  struct cell_actions actions;
  struct site_outputs outputs;
  GPtrArray *batches; /**< struct pending_batch.  */
  uint64_t metrics_sent_at_us;
  uint64_t longest_wait_us; /**< Longest wait of an event in the ring since
                               the metrics were sent.  */
  uint64_t longest_step_us; /**< Longest time that the cell took for an event
                               since then.  */
  bool longest_is_tick;     /**< That event was a tick.  */
  GRand *random; /**< Spreads retries; no secret is derived from it.  */
  atomic_bool stop_requested; /**< A stop for which the ring had no space; read
                                 at a tick.  */
};

/* Pushes ITEM to R.  If R is full, the item is dropped and the drop is logged
   with RING, the name of the duty that R belongs to.  */
static void
push_item (struct site_decide *d, struct ring *r, void *item, const char *ring)
{
  char fields[64];

  if (ring_push (r, item))
    return;
  snprintf (fields, sizeof fields, "\"ring\":\"%s\"", ring);
  line_log_write (d->outputs.log, "ring_full", 0, fields);
  talloc_free (item);
}

static struct store_operation *
store_operation_new (enum store_operation_kind kind)
{
  struct store_operation *o = talloc_zero (NULL, struct store_operation);

  o->kind = kind;
  return o;
}

static void
send_store (struct site_decide *d, struct store_operation *o)
{
  struct blob *b = o->body;

  if (ring_push (d->outputs.store, o))
    return;
  blob_unref (b);
  talloc_free (o);
  line_log_write (d->outputs.log, "ring_full", 0, "\"ring\":\"store\"");
}

static void
send_append (struct site_decide *d, const struct cell_action *a)
{
  struct store_operation *o = store_operation_new (STORE_APPEND);
  msgpack_sbuffer out;

  msgpack_sbuffer_init (&out);
  append_records_pack (&out, a->u.append.items, a->u.append.item_count);
  o->token = a->u.append.token;
  o->sequence = a->u.append.sequence;
  o->body = blob_copy (out.data, (uint32_t)out.size);
  msgpack_sbuffer_destroy (&out);
  send_store (d, o);
}

/* Sends a call to the owner, or a reply to the entry linked by LINK_ID.  */
static void
send_relay (struct site_decide *d, const struct relay_message *m,
            uint64_t link_id)
{
  struct relay_command *o = talloc_zero (NULL, struct relay_command);

  o->kind = m->kind == RELAY_CALL ? RELAY_SEND_TO_OWNER : RELAY_SEND_ON_LINK;
  o->link_id = link_id;
  o->body = relay_encode (m);
  push_item (d, d->outputs.relay, o, "relay");
}

/* Sends states of jobs to linked entries.  */
static void
send_states (struct site_decide *d, const struct cell_action *a)
{
  struct relay_command *o = talloc_zero (NULL, struct relay_command);
  struct relay_message m
      = { .kind = RELAY_STATES,
          .u.states = { .token = a->u.states.token,
                        .item_count = a->u.states.item_count,
                        .items = a->u.states.items } };
  struct blob *body;

  o->kind = RELAY_SEND_STATES;
  o->link_id = a->u.states.link_id;
  o->body = body = relay_encode (&m);
  if (ring_push (d->outputs.relay, o))
    return;
  blob_unref (body);
  talloc_free (o);
  line_log_write (d->outputs.log, "ring_full", 0, "\"ring\":\"relay\"");
}

static struct front_command *
front_command_new (int kind)
{
  struct front_command *o = talloc_zero (NULL, struct front_command);

  o->kind = kind;
  return o;
}

/* Sends the orders in B and empties it.  */
static void
send_batch (struct site_decide *d, struct pending_batch *b)
{
  struct relay_command *o;
  struct blob *body;
  guint i;

  if (b->orders->len == 0)
    return;
  o = talloc_zero (NULL, struct relay_command);
  o->kind = RELAY_SEND_ORDERS;
  o->link_id = b->link_id;
  o->decided_at_us = b->decided_at_us;
  o->body = body = order_batch_encode (
      (const struct runner_order *)(void *)b->orders->data, b->orders->len);
  for (i = 0; i < b->orders->len; i++)
    blob_unref (g_array_index (b->orders, struct runner_order, i).payload);
  g_array_set_size (b->orders, 0);
  if (ring_push (d->outputs.relay, o))
    return;
  blob_unref (body);
  talloc_free (o);
  line_log_write (d->outputs.log, "ring_full", 0, "\"ring\":\"relay\"");
}

static void
send_batches (void *state)
{
  struct site_decide *d = state;
  guint i;

  for (i = 0; i < d->batches->len; i++)
    send_batch (d, g_ptr_array_index (d->batches, i));
}

/* Returns the batch for LINK_ID.  An empty one of another link is reused, so
   that links which went down leave none behind.  */
static struct pending_batch *
find_batch (struct site_decide *d, uint64_t link_id)
{
  struct pending_batch *unused = NULL;
  guint i;

  for (i = 0; i < d->batches->len; i++)
    {
      struct pending_batch *b = g_ptr_array_index (d->batches, i);

      if (b->link_id == link_id)
        return b;
      if (b->orders->len == 0)
        unused = b;
    }
  if (unused == NULL)
    {
      unused = g_new0 (struct pending_batch, 1);
      unused->orders
          = g_array_new (FALSE, FALSE, sizeof (struct runner_order));
      g_ptr_array_add (d->batches, unused);
    }
  unused->link_id = link_id;
  return unused;
}

static void
delegate_order (struct site_decide *d, const struct runner_order *o,
                uint64_t now)
{
  struct pending_batch *b = find_batch (d, o->link_id);

  if (b->orders->len == 0)
    b->decided_at_us = now;
  g_array_append_val (b->orders, *o);
  if (b->orders->len >= BATCH_LIMIT_COUNT)
    send_batch (d, b);
}

static void
send_order (struct site_decide *d, const struct cell_action *a, uint64_t now)
{
  struct cell_action *copy = talloc_memdup (NULL, a, sizeof *a);

  copy->send_until_us = now + ORDER_LIMIT_MS * US_PER_MS;

  if (ring_push (d->outputs.order_client, copy))
    return;
  if (a->kind == CELL_DO_ORDER)
    blob_unref (a->u.order.payload);
  talloc_free (copy);
  line_log_write (d->outputs.log, "ring_full", 0, "\"ring\":\"back\"");
}

/* Hands an action to the duty that carries it out.  */
static void
carry_out (struct site_decide *d, const struct cell_action *a, uint64_t now)
{
  struct relay_message m = { .kind = RELAY_HEARTBEAT };
  struct store_operation *o;
  struct front_command *f;
  struct relay_command *r;

  switch (a->kind)
    {
    case CELL_DO_REPLY:
      f = front_command_new (FRONT_SEND_REPLY);
      f->reply = a->u.reply;
      push_item (d, d->outputs.front, f, "front");
      break;
    case CELL_DO_PEER_REPLY:
      m.kind = RELAY_REPLY;
      m.u.reply = a->u.peer_reply.reply;
      send_relay (d, &m, a->u.peer_reply.link_id);
      break;
    case CELL_DO_FORWARD:
      m.kind = RELAY_CALL;
      m.u.call = a->u.forward;
      send_relay (d, &m, 0);
      break;
    case CELL_DO_CONNECT:
      r = talloc_zero (NULL, struct relay_command);
      r->kind = RELAY_SET_OWNER;
      text_copy (r->address, ADDRESS_BYTES, a->u.connect);
      push_item (d, d->outputs.relay, r, "relay");
      break;
    case CELL_DO_TELL_STATES:
      send_states (d, a);
      break;
    case CELL_DO_SET_HEARTBEAT:
      r = talloc_zero (NULL, struct relay_command);
      r->kind = RELAY_SET_HEARTBEAT;
      r->degraded = a->u.heartbeat.degraded;
      r->cpu_milli = a->u.heartbeat.best_cpu_milli;
      r->followed_token = a->u.heartbeat.followed_token;
      r->view = a->u.heartbeat.view;
      r->entry_count = a->u.heartbeat.entry_count;
      push_item (d, d->outputs.relay, r, "relay");
      break;
    case CELL_DO_JOIN:
      o = store_operation_new (STORE_JOIN);
      o->sent_at_us = now;
      send_store (d, o);
      break;
    case CELL_DO_LEAVE:
      send_store (d, store_operation_new (STORE_LEAVE));
      break;
    case CELL_DO_FIND_HOLDER:
      send_store (d, store_operation_new (STORE_FIND_HOLDER));
      break;
    case CELL_DO_CLAIM:
      o = store_operation_new (STORE_CLAIM);
      o->at_offset = a->u.claim.at_offset;
      o->claim = a->u.claim.terms;
      send_store (d, o);
      break;
    case CELL_DO_RECOVER:
      o = store_operation_new (STORE_RECOVER);
      o->token = a->u.token;
      send_store (d, o);
      break;
    case CELL_DO_APPEND:
      send_append (d, a);
      break;
    case CELL_DO_FOLLOW_RUNNERS:
      o = store_operation_new (STORE_FOLLOW_RUNNERS);
      o->following = a->u.follow_runners;
      send_store (d, o);
      break;
    case CELL_DO_WAVE_STATE:
      o = store_operation_new (STORE_WAVE_STATE);
      o->wave = a->u.wave_state.number;
      o->completed = a->u.wave_state.completed;
      send_store (d, o);
      break;
    case CELL_DO_ORDER:
      if (a->u.order.link_id != 0)
        delegate_order (d, &a->u.order, now);
      else
        send_order (d, a, now);
      break;
    case CELL_DO_LIST_VMS:
    case CELL_DO_ORDER_VM:
      send_order (d, a, now);
      break;
    case CELL_DO_LOG:
      line_log_write (d->outputs.log, a->u.log.event, a->u.log.job,
                      a->u.log.fields);
      break;
    case CELL_DO_READY:
      f = front_command_new (FRONT_SET_READY);
      f->ready = a->u.ready;
      push_item (d, d->outputs.front, f, "front");
      break;
    case CELL_DO_EXIT:
      push_item (d, d->outputs.front, front_command_new (FRONT_CLOSE),
                 "front");
      break;
    case CELL_ACTION_KIND_COUNT:
      break;
    }
}

/* Logs the longest wait of an event in the ring if it is too long.  Called
   once in each metrics interval.  */
static void
log_event_wait (struct site_decide *d)
{
  char fields[160];

  if (d->longest_wait_us >= EVENT_WAIT_LIMIT_MS * US_PER_MS)
    {
      snprintf (fields, sizeof fields,
                "\"waited_ms\":%llu,\"waiting\":%u,\"step_ms\":%llu,"
                "\"tick\":%s",
                (unsigned long long)(d->longest_wait_us / US_PER_MS),
                ring_count (d->duty->inbound),
                (unsigned long long)(d->longest_step_us / US_PER_MS),
                d->longest_is_tick ? "true" : "false");
      line_log_write (d->outputs.log, "falling_behind", 0, fields);
    }
  d->longest_wait_us = 0;
  d->longest_step_us = 0;
}

/* Notes how long the cell took for E, of KIND, which it began at BEGAN_US.  */
static void
count_step (struct site_decide *d, enum cell_event_kind kind,
            uint64_t began_us)
{
  uint64_t took_us = now_us () - began_us;

  if (took_us <= d->longest_step_us)
    return;
  d->longest_step_us = took_us;
  d->longest_is_tick = kind == CELL_TICK;
}

static void
send_metrics (struct site_decide *d, uint64_t now)
{
  struct front_command *o;

  if (now < d->metrics_sent_at_us + METRICS_INTERVAL_MS * US_PER_MS)
    return;
  d->metrics_sent_at_us = now;
  o = front_command_new (FRONT_SET_METRICS);
  log_event_wait (d);
  cell_metrics_get (d->cell, &o->metrics);
  push_item (d, d->outputs.front, o, "front");
}

/* Sets the clocks and the random number of E, has the cell apply it and passes
   the resulting actions to the duties.  */
static void
step (struct site_decide *d, struct cell_event *e)
{
  uint32_t i;

  e->now_us = now_us ();
  if (e->posted_at_us != 0)
    d->longest_wait_us = MAX (d->longest_wait_us, e->now_us - e->posted_at_us);
  e->wall_ms = wall_ms ();
  e->random = (uint64_t)g_rand_int (d->random) << 32 | g_rand_int (d->random);
  d->actions.item_count = 0;
  cell_step (d->cell, e, &d->actions);
  count_step (d, e->kind, e->now_us);
  for (i = 0; i < d->actions.item_count; i++)
    carry_out (d, &d->actions.items[i], e->now_us);
}

static void
on_event (void *state, void *item)
{
  step (state, item);
  talloc_free (item);
}

static void
on_tick (struct tevent_context *loop, struct tevent_timer *te,
         struct timeval at, void *state)
{
  struct site_decide *d = state;
  struct cell_event e = { .kind = CELL_TICK };
  struct cell_event stop = { .kind = CELL_STOP };

  (void)te;
  (void)at;
  if (atomic_exchange (&d->stop_requested, false))
    step (d, &stop);
  step (d, &e);
  send_batches (d);
  send_metrics (d, e.now_us);
  timer_add (loop, loop, cell_tick_ms (d->cell) * US_PER_MS, on_tick, state);
}

struct site_decide *
site_decide_new (const struct cell_settings *s)
{
  struct site_decide *d = talloc_zero (NULL, struct site_decide);

  d->duty = duty_new ("decide", CELL_RING_CAPACITY_COUNT, on_event, d);
  if (d->duty == NULL)
    {
      talloc_free (d);
      return NULL;
    }
  d->duty->on_batch = send_batches;
  d->batches = g_ptr_array_new ();
  d->random = g_rand_new ();
  d->cell = cell_new (d, s);
  timer_add (d->duty->loop, d->duty->loop, 0, on_tick, d);
  return d;
}

void
site_decide_set_outputs (struct site_decide *d, const struct site_outputs *o)
{
  d->outputs = *o;
}

struct duty *
site_decide_duty (struct site_decide *d)
{
  return d->duty;
}

void
site_decide_reload (struct site_decide *d, const struct cell_settings *s)
{
  struct cell_event *e = cell_event_new (CELL_SETTINGS);

  e->u.times = s->times;
  cell_post (d->duty->inbound, e);
}

void
site_decide_stop (struct site_decide *d)
{
  if (!cell_post (d->duty->inbound, cell_event_new (CELL_STOP)))
    atomic_store (&d->stop_requested, true);
}

static void
free_batches (struct site_decide *d)
{
  guint i;
  guint k;

  for (i = 0; i < d->batches->len; i++)
    {
      struct pending_batch *b = g_ptr_array_index (d->batches, i);

      for (k = 0; k < b->orders->len; k++)
        blob_unref (g_array_index (b->orders, struct runner_order, k).payload);
      g_array_free (b->orders, TRUE);
      g_free (b);
    }
  g_ptr_array_free (d->batches, TRUE);
}

void
site_decide_free (struct site_decide *d)
{
  void *e;

  if (d == NULL)
    return;
  while (ring_pop (d->duty->inbound, &e, 1) > 0)
    talloc_free (e);
  talloc_free (d->cell);
  talloc_free (d->actions.items);
  free_batches (d);
  g_rand_free (d->random);
  duty_free (d->duty);
  talloc_free (d);
}
