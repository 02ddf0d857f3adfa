/* test_body_budget.c -- the decisions on clients' bodies and connections.

   Guards against bodies that together exceed their memory, against an
   incomplete body that holds it while others wait, and against one address
   that uses up the connections.  */

#include "adapter/body_budget.h"

#include "port/types.h"

#include <string.h>

#define KIB 1024u
#define START_US (100 * US_PER_S)

static const struct body_limits limits = { .total_bytes = 256 * KIB,
                                           .body_bytes = 128 * KIB,
                                           .receive_ms = 5000,
                                           .connection_limit_count = 32,
                                           .address_percent = 50 };

static struct body_budget *budget;
static bool is_reading;

static bool
reads (struct budget_client *c)
{
  (void)c;
  return is_reading;
}
static struct budget_client clients[40];

static void
set_up (guint count, guint32 first_address)
{
  guint i;

  budget = body_budget_new (NULL, &limits, reads);
  memset (clients, 0, sizeof clients);
  for (i = 0; i < count; i++)
    g_assert_null (body_budget_connect (budget, &clients[i], first_address + i,
                                        START_US + i));
}

/* Begins a body of client I and reserves SIZE_BYTES for it.  */
static bool
reserve (guint i, guint32 size_bytes, guint64 at_us,
         struct budget_client **victim)
{
  if (clients[i].phase != CLIENT_RECEIVING)
    g_assert_true (body_budget_begin (budget, &clients[i], 0, at_us));
  return body_budget_reserve (budget, &clients[i], size_bytes, at_us, victim);
}

static void
test_stalled_body_is_closed (void)
{
  guint64 later_us = START_US + 2 * US_PER_S;
  struct budget_client *victim;

  set_up (4, 1);
  g_assert_true (reserve (0, 128 * KIB, START_US, &victim));
  g_assert_true (reserve (1, 128 * KIB, START_US, &victim));
  /* Nobody has stalled: the new body is refused, a small one is not.  */
  g_assert_false (reserve (2, 128 * KIB, START_US + 1, &victim));
  g_assert_null (victim);
  g_assert_true (reserve (3, BODY_FREE_BYTES, START_US + 1, &victim));
  body_budget_progress (&clients[0], later_us);
  g_assert_false (reserve (2, 128 * KIB, later_us, &victim));
  g_assert_true (victim == &clients[1]);
  g_assert_true (reserve (2, 128 * KIB, later_us, &victim));
  g_assert_cmpuint (body_budget_counts (budget)->refused, ==, 1);
  g_assert_cmpuint (body_budget_counts (budget)->stalled, ==, 1);
  talloc_free (budget);
}

/* A request that waits for its answer is never closed for its memory.  */
static void
test_waiting_body_is_kept (void)
{
  guint64 later_us = START_US + 4 * US_PER_S;
  struct budget_client *victim;

  set_up (3, 1);
  g_assert_true (reserve (0, 128 * KIB, START_US, &victim));
  g_assert_true (reserve (1, 128 * KIB, START_US, &victim));
  body_budget_complete (budget, &clients[0]);
  body_budget_complete (budget, &clients[1]);
  g_assert_false (reserve (2, 128 * KIB, later_us, &victim));
  g_assert_null (victim);
  body_budget_end (budget, &clients[0], later_us);
  g_assert_true (reserve (2, 128 * KIB, later_us, &victim));
  body_budget_disconnect (budget, &clients[1]);
  body_budget_disconnect (budget, &clients[2]);
  g_assert_cmpuint (body_budget_counts (budget)->held_bytes, ==, 0);
  talloc_free (budget);
}

static void
test_sizes (void)
{
  set_up (1, 1);
  g_assert_false (
      body_budget_begin (budget, &clients[0], 128 * KIB + 1, START_US));
  g_assert_true (body_budget_begin (budget, &clients[0], 128 * KIB, START_US));
  g_assert_cmpuint (body_budget_size (budget, 100 * KIB, 0), ==, 128 * KIB);
  g_assert_cmpuint (body_budget_size (budget, 600, 700), ==, 700);
  g_assert_cmpuint (body_budget_size (budget, 600, 0), ==, 1200);
  g_assert_cmpuint (body_budget_size (budget, 4000, 0), ==, BODY_FREE_BYTES);
  g_assert_cmpuint (body_budget_size (budget, 128 * KIB + 1, 0), ==, 0);
  g_assert_cmpuint (body_budget_counts (budget)->too_large, ==, 2);
  talloc_free (budget);
}

static void
test_slow_body_expires (void)
{
  struct budget_client *victim;

  set_up (2, 1);
  g_assert_cmpuint (body_budget_deadline_us (budget), ==, UINT64_MAX);
  g_assert_true (reserve (0, 16 * KIB, START_US, &victim));
  g_assert_true (reserve (1, 16 * KIB, START_US + US_PER_S, &victim));
  /* Progress does not extend the time for the whole body.  */
  body_budget_progress (&clients[0], START_US + 4 * US_PER_S);
  g_assert_null (body_budget_expire (budget, START_US + 4 * US_PER_S));
  g_assert_true (body_budget_expire (budget, START_US + 5 * US_PER_S)
                 == &clients[0]);
  g_assert_null (body_budget_expire (budget, START_US + 5 * US_PER_S));
  g_assert_cmpuint (body_budget_deadline_us (budget), ==,
                    START_US + 6 * US_PER_S);
  talloc_free (budget);
}

/* Near the limit of connections, the one without progress for longest is
   closed, but none that waits for its answer.  */
static void
test_connections_near_limit (void)
{
  guint i;

  set_up (30, 1);
  g_assert_true (body_budget_begin (budget, &clients[0], 0, START_US));
  body_budget_complete (budget, &clients[0]);
  g_assert_true (body_budget_connect (budget, &clients[30], 99, START_US + 100)
                 == &clients[1]);
  g_assert_cmpuint (body_budget_counts (budget)->evicted, ==, 1);
  /* A body that takes long goes before idle connections, whatever its
     progress.  */
  g_assert_true (body_budget_begin (budget, &clients[9], 0, START_US + 100));
  body_budget_progress (&clients[9], START_US + 2 * US_PER_S);
  g_assert_true (
      body_budget_connect (budget, &clients[31], 99, START_US + 2 * US_PER_S)
      == &clients[9]);
  for (i = 0; i <= 31; i++)
    body_budget_disconnect (budget, &clients[i]);
  talloc_free (budget);
}

/* An address over its share loses a connection of its own.  */
static void
test_share_of_address (void)
{
  guint i;

  set_up (4, 1);
  for (i = 4; i < 20; i++)
    g_assert_null (
        body_budget_connect (budget, &clients[i], 77, START_US + i));
  g_assert_true (body_budget_connect (budget, &clients[20], 77, START_US + 20)
                 == &clients[4]);
  for (i = 5; i <= 20; i++)
    body_budget_complete (budget, &clients[i]);
  /* All others wait for their answers.  */
  g_assert_true (body_budget_connect (budget, &clients[21], 77, START_US + 21)
                 == &clients[21]);
  g_assert_cmpuint (body_budget_counts (budget)->address_refused, ==, 1);
  talloc_free (budget);
}

static void
count_closed (void *state, struct budget_client *c)
{
  (void)c;
  (*(guint *)state)++;
}

/* A planned stop closes idle connections at once and slow ones after 1 s; it
   waits for those that wait for their answers.  */
static void
test_drain (void)
{
  guint closed = 0;
  guint i;

  set_up (4, 1);
  for (i = 1; i < 4; i++)
    g_assert_true (body_budget_begin (budget, &clients[i], 0, START_US));
  body_budget_complete (budget, &clients[2]);
  body_budget_complete (budget, &clients[3]);
  body_budget_answer (budget, &clients[3], START_US + 10);
  g_assert_cmpuint (
      body_budget_drain (budget, START_US + 20, count_closed, &closed), ==,
      START_US + US_PER_S);
  g_assert_cmpuint (closed, ==, 1);
  /* A large answer that is still being taken is not cut.  */
  is_reading = true;
  body_budget_drain (budget, START_US + 2 * US_PER_S, count_closed, &closed);
  g_assert_cmpuint (closed, ==, 2);
  is_reading = false;
  body_budget_drain (budget, START_US + 4 * US_PER_S, count_closed, &closed);
  g_assert_cmpuint (closed, ==, 3);
  g_assert_cmpuint (body_budget_phase_count (budget, CLIENT_WAITING), ==, 1);
  for (i = 0; i < 4; i++)
    body_budget_disconnect (budget, &clients[i]);
  talloc_free (budget);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/body_budget/stalled_body_is_closed",
                   test_stalled_body_is_closed);
  g_test_add_func ("/body_budget/waiting_body_is_kept",
                   test_waiting_body_is_kept);
  g_test_add_func ("/body_budget/sizes", test_sizes);
  g_test_add_func ("/body_budget/slow_body_expires", test_slow_body_expires);
  g_test_add_func ("/body_budget/connections_near_limit",
                   test_connections_near_limit);
  g_test_add_func ("/body_budget/share_of_address", test_share_of_address);
  g_test_add_func ("/body_budget/drain", test_drain);
  return g_test_run ();
}
