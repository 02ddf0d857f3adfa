/* body_budget.c -- decides which clients' connections and request bodies are
   admitted and which are closed.  */

#include "adapter/body_budget.h"

#include "port/types.h"

/** A body without progress for this long is closed when another needs its
    space.  One that takes longer, and an answer of which nothing is taken for
    this long, are closed when a new client needs the connection, and in a
    planned stop.  Ordinary clients send a body of 262,144 bytes without
    pauses.  */
#define STALLED_US (1 * US_PER_S)
/** One connection of this many is kept free for new clients, as libmicrohttpd
    accepts none at its limit and thus would report none to evict for.  */
#define RESERVE_DIVISOR 16

struct body_budget
{
  struct body_limits limits;
  budget_reads_fn *reads;
  GQueue clients;
  GQueue receiving;       /**< In the order in which they began.  */
  GHashTable *by_address; /**< Address to count of connections.  */
  uint64_t charged_bytes; /**< Held beyond BODY_FREE_BYTES of each.  */
  uint32_t closing_count;
  uint32_t phase_counts[CLIENT_PHASE_COUNT]; /**< Of clients not closing.  */
  struct body_counts counts;
};

static int
budget_free (struct body_budget *b)
{
  g_hash_table_destroy (b->by_address);
  return 0;
}

struct body_budget *
body_budget_new (TALLOC_CTX *mem, const struct body_limits *l,
                 budget_reads_fn *reads)
{
  struct body_budget *b = talloc_zero (mem, struct body_budget);

  if (b == NULL)
    return NULL;
  b->limits = *l;
  b->reads = reads;
  b->by_address = g_hash_table_new (NULL, NULL);
  talloc_set_destructor (b, budget_free);
  return b;
}

static uint32_t
address_count (const struct body_budget *b, uint32_t address)
{
  return GPOINTER_TO_UINT (
      g_hash_table_lookup (b->by_address, GUINT_TO_POINTER (address)));
}

static void
add_to_address (struct body_budget *b, uint32_t address, int change)
{
  uint32_t n = address_count (b, address) + (uint32_t)change;

  if (n == 0)
    g_hash_table_remove (b->by_address, GUINT_TO_POINTER (address));
  else
    g_hash_table_insert (b->by_address, GUINT_TO_POINTER (address),
                         GUINT_TO_POINTER (n));
}

static uint32_t
charge (uint32_t held_bytes)
{
  return held_bytes > BODY_FREE_BYTES ? held_bytes - BODY_FREE_BYTES : 0;
}

static void
set_held (struct body_budget *b, struct budget_client *c, uint32_t held_bytes)
{
  b->charged_bytes += charge (held_bytes);
  b->charged_bytes -= charge (c->held_bytes);
  b->counts.held_bytes += held_bytes;
  b->counts.held_bytes -= c->held_bytes;
  c->held_bytes = held_bytes;
}

/* Moves C, which is not closing, to PHASE.  */
static void
set_phase (struct body_budget *b, struct budget_client *c,
           enum client_phase phase)
{
  if (c->phase == CLIENT_RECEIVING)
    g_queue_unlink (&b->receiving, &c->receiving_link);
  if (phase == CLIENT_RECEIVING)
    g_queue_push_tail_link (&b->receiving, &c->receiving_link);
  b->phase_counts[c->phase]--;
  b->phase_counts[phase]++;
  c->phase = phase;
}

/* A client that is to be closed no longer counts.  */
static void
mark_closing (struct body_budget *b, struct budget_client *c)
{
  set_phase (b, c, CLIENT_IDLE);
  b->phase_counts[CLIENT_IDLE]--;
  c->closing = true;
  b->closing_count++;
  add_to_address (b, c->address, -1);
  set_held (b, c, 0);
}

/* Notes that C has taken a part of its answer, if it seems to have stalled and
   has not.  */
static void
refresh_reader (const struct body_budget *b, struct budget_client *c,
                uint64_t at_us)
{
  if (c->phase == CLIENT_ANSWERED && c->active_at_us + STALLED_US <= at_us
      && b->reads != NULL && b->reads (c))
    c->active_at_us = at_us;
}

/* Returns true if C sends its body for longer than an ordinary client has at
   AT_US, or has not taken any of its answer for as long.  */
static bool
is_slow (const struct budget_client *c, uint64_t at_us)
{
  return (c->phase == CLIENT_RECEIVING && c->began_at_us + STALLED_US <= at_us)
         || (c->phase == CLIENT_ANSWERED
             && c->active_at_us + STALLED_US <= at_us);
}

/* Returns true if C waits for its answer, or has had no time to read it.  */
static bool
is_owed_answer (const struct budget_client *c, uint64_t at_us)
{
  return c->phase == CLIENT_WAITING
         || (c->phase == CLIENT_ANSWERED && !is_slow (c, at_us));
}

/* Returns true if C is to be closed at AT_US rather than OTHER: a slow one
   first, then the one without progress for longest.  */
static bool
is_closed_before (const struct budget_client *c,
                  const struct budget_client *other, uint64_t at_us)
{
  if (is_slow (c, at_us) != is_slow (other, at_us))
    return is_slow (c, at_us);
  return c->active_at_us < other->active_at_us;
}

/* Returns the client to close for NEW_CLIENT, none that is owed an answer; if
   SAME_ADDRESS, of the same address only.  */
static struct budget_client *
find_evictable (struct body_budget *b, const struct budget_client *new_client,
                bool same_address)
{
  struct budget_client *found = NULL;
  GList *at;

  for (at = b->clients.head; at != NULL; at = at->next)
    {
      struct budget_client *c = at->data;

      refresh_reader (b, c, new_client->active_at_us);
      if (c != new_client && !c->closing
          && !is_owed_answer (c, new_client->active_at_us)
          && (!same_address || c->address == new_client->address)
          && (found == NULL
              || is_closed_before (c, found, new_client->active_at_us)))
        found = c;
    }
  return found;
}

static struct budget_client *
evict (struct body_budget *b, struct budget_client *c)
{
  if (c == NULL)
    return NULL;
  mark_closing (b, c);
  b->counts.evicted++;
  return c;
}

struct budget_client *
body_budget_connect (struct body_budget *b, struct budget_client *c,
                     uint32_t address, uint64_t now_us)
{
  uint32_t limit = b->limits.connection_limit_count;
  uint64_t share = (uint64_t)limit * b->limits.address_percent / 100;
  struct budget_client *victim = NULL;

  c->link.data = c;
  c->receiving_link.data = c;
  c->address = address;
  c->active_at_us = now_us;
  g_queue_push_tail_link (&b->clients, &c->link);
  b->phase_counts[CLIENT_IDLE]++;
  add_to_address (b, address, 1);
  if (address_count (b, address) > MAX (share, 1))
    {
      victim = find_evictable (b, c, true);
      if (victim != NULL)
        return evict (b, victim);
      mark_closing (b, c);
      b->counts.address_refused++;
      return c;
    }
  if (b->clients.length - b->closing_count > limit - limit / RESERVE_DIVISOR)
    victim = find_evictable (b, c, false);
  return evict (b, victim);
}

void
body_budget_disconnect (struct body_budget *b, struct budget_client *c)
{
  set_held (b, c, 0);
  g_queue_unlink (&b->clients, &c->link);
  if (c->closing)
    {
      b->closing_count--;
      return;
    }
  set_phase (b, c, CLIENT_IDLE);
  b->phase_counts[CLIENT_IDLE]--;
  add_to_address (b, c->address, -1);
}

bool
body_budget_begin (struct body_budget *b, struct budget_client *c,
                   uint64_t announced_bytes, uint64_t now_us)
{
  if (announced_bytes > b->limits.body_bytes)
    {
      b->counts.too_large++;
      return false;
    }
  if (c->closing)
    return true;
  c->began_at_us = now_us;
  c->active_at_us = now_us;
  set_phase (b, c, CLIENT_RECEIVING);
  return true;
}

uint32_t
body_budget_size (struct body_budget *b, uint64_t needed_bytes,
                  uint64_t announced_bytes)
{
  uint64_t size = 2 * needed_bytes;

  if (needed_bytes > b->limits.body_bytes)
    {
      b->counts.too_large++;
      return 0;
    }
  /* Doubling alone must not charge a body that fits its free part.  */
  if (needed_bytes <= BODY_FREE_BYTES)
    size = MIN (size, BODY_FREE_BYTES);
  if (announced_bytes >= needed_bytes && announced_bytes < size)
    size = announced_bytes;
  return (uint32_t)MIN (size, b->limits.body_bytes);
}

/* Returns the body without progress for longest that holds more than the free
   part, if it has stalled.  */
static struct budget_client *
find_stalled (struct body_budget *b, const struct budget_client *for_client,
              uint64_t now_us)
{
  struct budget_client *found = NULL;
  GList *at;

  for (at = b->receiving.head; at != NULL; at = at->next)
    {
      struct budget_client *c = at->data;

      if (c != for_client && charge (c->held_bytes) > 0
          && c->active_at_us + STALLED_US <= now_us
          && (found == NULL || c->active_at_us < found->active_at_us))
        found = c;
    }
  return found;
}

bool
body_budget_reserve (struct body_budget *b, struct budget_client *c,
                     uint32_t size_bytes, uint64_t now_us,
                     struct budget_client **victim)
{
  *victim = NULL;
  if (c->closing)
    return false;
  if (b->charged_bytes - charge (c->held_bytes) + charge (size_bytes)
      <= b->limits.total_bytes)
    {
      set_held (b, c, size_bytes);
      return true;
    }
  *victim = find_stalled (b, c, now_us);
  if (*victim != NULL)
    {
      mark_closing (b, *victim);
      b->counts.stalled++;
      return false;
    }
  set_held (b, c, 0);
  b->counts.refused++;
  return false;
}

void
body_budget_progress (struct budget_client *c, uint64_t now_us)
{
  c->active_at_us = now_us;
}

void
body_budget_complete (struct body_budget *b, struct budget_client *c)
{
  if (!c->closing)
    set_phase (b, c, CLIENT_WAITING);
}

void
body_budget_answer (struct body_budget *b, struct budget_client *c,
                    uint64_t now_us)
{
  if (c->closing)
    return;
  c->active_at_us = now_us;
  set_phase (b, c, CLIENT_ANSWERED);
}

void
body_budget_end (struct body_budget *b, struct budget_client *c,
                 uint64_t now_us)
{
  c->active_at_us = now_us;
  set_held (b, c, 0);
  if (!c->closing)
    set_phase (b, c, CLIENT_IDLE);
}

struct budget_client *
body_budget_expire (struct body_budget *b, uint64_t now_us)
{
  struct budget_client *c;

  if (body_budget_deadline_us (b) > now_us)
    return NULL;
  c = b->receiving.head->data;
  mark_closing (b, c);
  b->counts.timed_out++;
  return c;
}

uint64_t
body_budget_deadline_us (const struct body_budget *b)
{
  const struct budget_client *c
      = b->receiving.head != NULL ? b->receiving.head->data : NULL;

  return c != NULL
             ? c->began_at_us + b->limits.receive_ms * (uint64_t)US_PER_MS
             : UINT64_MAX;
}

/* Returns until when a planned stop waits for C.  */
static uint64_t
drain_until_us (const struct budget_client *c)
{
  switch (c->phase)
    {
    case CLIENT_RECEIVING:
      return c->began_at_us + STALLED_US;
    case CLIENT_ANSWERED:
      return c->active_at_us + STALLED_US;
    case CLIENT_WAITING:
      return UINT64_MAX;
    case CLIENT_IDLE:
    case CLIENT_PHASE_COUNT:
      break;
    }
  return 0;
}

uint64_t
body_budget_drain (struct body_budget *b, uint64_t now_us,
                   budget_close_fn *close, void *state)
{
  uint64_t next_us = UINT64_MAX;
  GList *at;

  for (at = b->clients.head; at != NULL; at = at->next)
    {
      struct budget_client *c = at->data;
      uint64_t until_us;

      if (c->closing)
        continue;
      refresh_reader (b, c, now_us);
      until_us = drain_until_us (c);
      if (until_us > now_us)
        {
          next_us = MIN (next_us, until_us);
          continue;
        }
      mark_closing (b, c);
      b->counts.drained++;
      close (state, c);
    }
  return next_us;
}

const struct body_counts *
body_budget_counts (const struct body_budget *b)
{
  return &b->counts;
}

uint32_t
body_budget_phase_count (const struct body_budget *b, enum client_phase phase)
{
  return b->phase_counts[phase];
}

const char *
client_phase_name (enum client_phase phase)
{
  static const char *const names[CLIENT_PHASE_COUNT]
      = { [CLIENT_IDLE] = "idle",
          [CLIENT_RECEIVING] = "receiving",
          [CLIENT_WAITING] = "waiting",
          [CLIENT_ANSWERED] = "answered" };

  return phase < CLIENT_PHASE_COUNT ? names[phase] : "unknown";
}
