/* delegates.c -- which entry sends the orders to a runner.

   The calls to runners take an entry many times the processor time of the
   decisions behind them.  So a loaded owner has other entries, its delegates,
   send the orders: strong ones, in the runner's zone if there are any.  All
   orders to a runner go through one delegate.  An order carries the owner's
   fencing token, whoever sends it, and a delegate drops one that it gets late,
   so nothing changes in when an order is valid.

   A delegate that was lost, or that does not answer, leaves the outcome of its
   orders unknown, as a lost answer of a runner does.  For a while the owner
   then sends the orders to these runners itself.  */

#include "core/cell/state.h"

#include <math.h>
#include <string.h>

/** Interval at which the owner's load is measured.  */
#define LOAD_PERIOD_MS 100
/** Delegates are used when orders take at least one in this many parts of the
    owner's CPU share.  */
#define BUSY_PART 3
/** They are no longer used when the load was lower for this long: demand comes
    in surges some seconds apart.  */
#define CALM_MS 20000
/** An order is given up when its delegate has not answered this long after
    the order's own timeout.  */
#define ANSWER_MARGIN_MS 400
/** Interval at which overdue orders are looked for.  */
#define EXPIRY_INTERVAL_MS 100
/** The owner sends the orders to a runner itself for this long after the
    outcome of a delegated one was unknown.  */
#define DIRECT_MS 5000
/** A delegate is not used while it may be cut off from runners: this many of
   its orders in a period, and at least half, had an unknown outcome.  */
#define FAILURE_COUNT 3
/** Of the orders of the other delegates then, at most one in this many has. */
#define WELL_PART 32
/** A slow delegate, or one that is cut off, is not used for this long: such
    faults last for seconds.  */
#define AVOID_MS 8000
/** Length of the periods by which the latency of delegates is judged, and the
    least number of orders in one that allows a judgement.  */
#define LATENCY_PERIOD_MS 700
#define LATENCY_MIN_COUNT 20
/** An entry with less than one in this many parts of the largest CPU share
    known is no delegate.  */
#define WEAK_FACTOR 2

static bool
is_strong (const struct cell *c, const struct peer *p)
{
  return p->cpu_milli * WEAK_FACTOR > peers_best_cpu_milli (c);
}

static bool
is_usable (const struct cell *c, const struct peer *p)
{
  return p->eligible && p->zone[0] != '\0' && c->now_us >= p->avoided_until_us
         && is_strong (c, p);
}

/* Returns a number that orders the peers for a runner: the peer with the
   lowest serves it, and serves as many runners as its CPU share asks for.  */
static double
rank (const struct peer *p, const char *runner)
{
  uint64_t h = UINT64_C (14695981039346656037) ^ p->link_id;
  double part;

  for (; *runner != '\0'; runner++)
    h = (h ^ (uint8_t)*runner) * UINT64_C (1099511628211);
  h ^= h >> 29;
  h *= UINT64_C (0xbf58476d1ce4e5b9);
  h ^= h >> 32;
  part = ((double)(h >> 11) + 1) / (double)(UINT64_C (1) << 53);
  return -log (part) / p->cpu_milli;
}

/* Returns the link of the delegate for R, or 0 if there is none.  */
static uint64_t
choose (const struct cell *c, const struct runner *r)
{
  const struct peer *best = NULL;
  bool best_near = false;
  double best_rank = 0;
  GHashTableIter it;
  gpointer value;

  g_hash_table_iter_init (&it, c->peers);
  while (g_hash_table_iter_next (&it, NULL, &value))
    {
      const struct peer *p = value;
      bool near = strcmp (p->zone, r->report.zone) == 0;
      double n;

      if (!is_usable (c, p) || (best_near && !near))
        continue;
      n = rank (p, r->report.id);
      if (best == NULL || (near && !best_near) || n < best_rank)
        {
          best = p;
          best_near = near;
          best_rank = n;
        }
    }
  return best != NULL ? best->link_id : 0;
}

uint64_t
delegates_link_for (struct cell *c, struct runner *r)
{
  struct delegation *d = &c->delegation;

  /* A silent runner may be reachable from here only, or from the delegate
     only, so they take turns.  */
  if (!d->active || r->miss_count % 2 == 1 || c->now_us < r->direct_until_us)
    return 0;
  if (r->delegate_version != d->version)
    {
      r->delegate_version = d->version;
      r->delegate_link_id = choose (c, r);
    }
  return r->delegate_link_id;
}

/* Returns true if ORDER_COUNT orders in PERIOD_US take a large part of this
   entry's CPU share.  */
static bool
is_busy (const struct cell *c, uint32_t order_count, uint64_t period_us)
{
  return (uint64_t)order_count * ORDER_CPU_US * BUSY_PART
         >= period_us * c->settings.cpu_milli / 1000;
}

static void
begin_delegation (struct cell *c, uint64_t period_us)
{
  struct delegation *d = &c->delegation;

  d->active = true;
  d->busy_at_us = c->now_us;
  cell_log (c, "delegation_begun", 0,
            "\"orders\":%u,\"period_ms\":%llu,\"peers\":%u", d->order_count,
            (unsigned long long)(period_us / US_PER_MS),
            g_hash_table_size (c->peers));
}

uint64_t
delegates_take_order (struct cell *c, struct runner *r)
{
  struct delegation *d = &c->delegation;
  uint64_t link_id;

  d->order_count++;
  /* Many orders at once, as after a takeover, are not sent from here before
     the load is measured.  */
  if (!d->active && is_busy (c, d->order_count, LOAD_PERIOD_MS * US_PER_MS))
    begin_delegation (c, c->now_us - d->measured_at_us);
  link_id = delegates_link_for (c, r);
  c->metrics.counters[CELL_COUNT_ORDERS_DELEGATED] += link_id != 0;
  return link_id;
}

void
delegates_on_change (struct cell *c)
{
  c->delegation.version++;
}

/* Handles that the outcome of O, a delegated order, will not be known.  Of a
   poll nothing is concluded: its runner may be well.  */
static void
give_up (struct cell *c, struct pending_order *o)
{
  struct runner_result x
      = { .order_id = o->id, .kind = o->kind, .outcome = ORDER_UNKNOWN };
  struct runner *r = o->runner;

  r->direct_until_us = c->now_us + DIRECT_MS * US_PER_MS;
  if (o->kind != ORDER_POLL)
    {
      runners_on_result (c, &x);
      return;
    }
  c->open_hedge_count -= o->is_hedge;
  if (r->poll_id == o->id)
    r->poll_id = 0;
  g_hash_table_remove (c->pending_orders, &x.order_id);
  runners_schedule_poll (c, r, 0);
}

/* Gives up the orders sent on LINK_ID, or with 0 those on any link whose
   answers are overdue.  Returns how many.  */
static uint32_t
give_up_orders (struct cell *c, uint64_t link_id)
{
  GPtrArray *lost = g_ptr_array_new ();
  uint32_t n;
  GHashTableIter it;
  gpointer value;
  guint i;

  g_hash_table_iter_init (&it, c->pending_orders);
  while (g_hash_table_iter_next (&it, NULL, &value))
    {
      const struct pending_order *o = value;

      if (link_id != 0
              ? o->link_id == link_id
              : o->link_id != 0
                    && c->now_us >= o->sent_at_us
                                        + (o->timeout_ms + ANSWER_MARGIN_MS)
                                              * US_PER_MS)
        g_ptr_array_add (lost, value);
    }
  n = lost->len;
  for (i = 0; i < lost->len; i++)
    give_up (c, g_ptr_array_index (lost, i));
  g_ptr_array_free (lost, TRUE);
  return n;
}

void
delegates_on_lost (struct cell *c, uint64_t link_id)
{
  uint32_t n;

  delegates_on_change (c);
  if (!cell_is_owner (c))
    return;
  n = give_up_orders (c, link_id);
  if (n > 0)
    cell_log (c, "delegate_lost", 0, "\"link\":%llu,\"orders\":%u",
              (unsigned long long)link_id, n);
}

static void
avoid (struct cell *c, struct peer *p, const char *event)
{
  p->avoided_until_us = c->now_us + AVOID_MS * US_PER_MS;
  delegates_on_change (c);
  cell_log (c, event, 0,
            "\"link\":%llu,\"zone\":\"%s\",\"orders\":%u,\"late\":%u,"
            "\"unknown\":%u,\"for_ms\":%u",
            (unsigned long long)p->link_id, p->zone, p->order_count,
            p->late_count, p->unknown_count, AVOID_MS);
}

/* Returns true if few orders of the delegates other than P have an unknown
   outcome.  Else the runners leave orders unanswered, and P is not the cause.
 */
static bool
others_are_well (const struct cell *c, const struct peer *p)
{
  uint32_t order_count = 0;
  uint32_t unknown_count = 0;
  GHashTableIter it;
  gpointer value;

  g_hash_table_iter_init (&it, c->peers);
  while (g_hash_table_iter_next (&it, NULL, &value))
    {
      const struct peer *o = value;

      if (o == p || c->now_us < o->avoided_until_us)
        continue;
      order_count += o->order_count;
      unknown_count += o->unknown_count;
    }
  return unknown_count * WELL_PART <= order_count;
}

void
delegates_count_answer (struct cell *c, uint64_t link_id, bool late,
                        bool unknown)
{
  struct peer *p = g_hash_table_lookup (c->peers, &link_id);

  if (p == NULL)
    return;
  p->order_count++;
  p->late_count += late;
  p->unknown_count += unknown;
  if (p->unknown_count >= FAILURE_COUNT
      && p->unknown_count * 2 >= p->order_count
      && c->now_us >= p->avoided_until_us && others_are_well (c, p))
    {
      avoid (c, p, "delegate_cut_off");
      c->delegation.cut_off_link_id = link_id;
    }
}

static bool
is_late (const struct peer *p)
{
  return p->order_count >= LATENCY_MIN_COUNT
         && p->late_count >= p->order_count - p->late_count;
}

/* Avoids the delegates that answered late, unless half of them did: then the
   cause is here.  */
static void
judge_latency (struct cell *c)
{
  GHashTableIter it;
  gpointer value;
  uint32_t used_count = 0;
  uint32_t late_count = 0;

  g_hash_table_iter_init (&it, c->peers);
  while (g_hash_table_iter_next (&it, NULL, &value))
    {
      const struct peer *p = value;

      used_count += p->order_count >= LATENCY_MIN_COUNT;
      late_count += is_late (p);
    }
  g_hash_table_iter_init (&it, c->peers);
  while (g_hash_table_iter_next (&it, NULL, &value))
    {
      struct peer *p = value;

      if (is_late (p) && late_count * 2 < used_count)
        avoid (c, p, "delegate_slow");
      p->order_count = p->late_count = p->unknown_count = 0;
    }
}

/* Returns true if an avoided peer can be used again.  */
static bool
any_avoidance_ended (const struct cell *c)
{
  const struct delegation *d = &c->delegation;
  GHashTableIter it;
  gpointer value;

  g_hash_table_iter_init (&it, c->peers);
  while (g_hash_table_iter_next (&it, NULL, &value))
    {
      uint64_t until_us = ((struct peer *)value)->avoided_until_us;

      if (until_us > d->judged_at_us && until_us <= c->now_us)
        return true;
    }
  return false;
}

/* Begins or ends the use of delegates by the orders since the last call.  */
static void
measure_load (struct cell *c)
{
  struct delegation *d = &c->delegation;
  uint64_t period_us = c->now_us - d->measured_at_us;

  if (is_busy (c, d->order_count, period_us))
    {
      if (!d->active)
        begin_delegation (c, period_us);
      d->busy_at_us = c->now_us;
    }
  else if (d->active && c->now_us >= d->busy_at_us + CALM_MS * US_PER_MS)
    {
      d->active = false;
      cell_log (c, "delegation_ended", 0, "\"orders\":%u,\"peers\":%u",
                d->order_count, g_hash_table_size (c->peers));
    }
  d->measured_at_us = c->now_us;
  d->order_count = 0;
}

void
delegates_tick (struct cell *c)
{
  struct delegation *d = &c->delegation;

  if (d->cut_off_link_id != 0)
    {
      /* It would answer each of its open orders as late.  */
      uint64_t link_id = d->cut_off_link_id;

      d->cut_off_link_id = 0;
      give_up_orders (c, link_id);
    }
  if (c->now_us >= d->measured_at_us + LOAD_PERIOD_MS * US_PER_MS)
    measure_load (c);
  if (c->now_us >= d->expired_at_us + EXPIRY_INTERVAL_MS * US_PER_MS)
    {
      uint32_t n = give_up_orders (c, 0);

      d->expired_at_us = c->now_us;
      if (n > 0)
        cell_log (c, "delegates_silent", 0, "\"orders\":%u", n);
    }
  if (c->now_us >= d->judged_at_us + LATENCY_PERIOD_MS * US_PER_MS)
    {
      if (any_avoidance_ended (c))
        delegates_on_change (c);
      d->judged_at_us = c->now_us;
      judge_latency (c);
    }
}

void
delegates_clear (struct cell *c)
{
  uint32_t version = c->delegation.version;

  memset (&c->delegation, 0, sizeof c->delegation);
  c->delegation.version = version + 1;
}
