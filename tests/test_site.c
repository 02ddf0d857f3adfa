/* test_site.c -- entry processes against the stand-in of the users' platform
   (tests/standin/site.c).

   Guards against an accepted job that is forgotten or never completes, a task
   that runs twice at once, a task that starts again after the entries have
   acknowledged its end, and a task of a lost runner that waits for an owner
   which has ended.  The causes: a cell owner that is killed, paused or
   stopped, answers of the store and the runners that are lost, and starts that
   arrive late.  */

#include "tests/site_cluster.h"

#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#define JOB_COUNT 40
#define TASK_MS 150
#define START_TIMEOUT_MS 15000
#define JOB_TIMEOUT_MS 60000
#define POLL_INTERVAL_MS 50
#define PATH_BYTES 64
#define BODY_BYTES 200
/** Longer than an entry accepts calls by a configuration that it could not
    confirm.  */
#define STORE_BUSY_S 7
/** After that an owner has lost the cell; and the time until another entry
    knows that the owner's process has ended.  */
#define OWNER_LOST_S 5
#define LINK_LOST_S 2
/** A failed read is repeated after 0.25 s.  */
#define STORE_BACK_LIMIT_US (1 * G_USEC_PER_SEC)

/** Tasks of a job that does not end by itself, and their run time.  */
#define SERVING_COUNT 12
#define SERVING_MS 600000
/** Tasks of a lost runner run elsewhere this long after the lost owner's entry
    is back; and the time that its process may need to start.  */
#define ELSEWHERE_LIMIT_MS 6000
#define ENTRY_START_MS 1000
/** An owner that is cut off acts for 10 s; and the time for the entries to
   settle after that.  */
#define ISLAND_MS 9000
#define HEALED_MS 3000
/** Time from a successor's claim until the former owner's joins fail, and
   until the successor's wait of 13.6 s is over.  */
#define JOINS_PASS_MS 8500
#define WAIT_OVER_MS 16000

/* Settings of entries so small that any load makes the owner have others send
   its orders.  */
#define DELEGATING ",\"zone\":\"z\",\"cpu_share\":0.01"

/* Returns the count NAME of the runners' own record.  */
static gint64
get_report (const struct site *s, const gchar *name)
{
  json_t *j = cluster_get (s->base_port, "/report");
  gint64 n = json_integer_value (json_object_get (j, name));

  g_assert_nonnull (j);
  json_decref (j);
  return n;
}

/* Returns the metric NAME of entry I, or 0 if it has none or does not
   answer.  */
static guint64
get_metric (const struct site *s, guint i, const gchar *name)
{
  gchar *url = g_strdup_printf ("http://127.0.0.1:%u/metrics",
                                site_metrics_port (s, i));
  gchar *start = g_strdup_printf ("\nfulmartack_%s ", name);
  struct http_call c = {
    .method = "GET", .url = url, .timeout_ms = 1000, .connect_timeout_ms = 1000
  };
  struct http_result r = { 0 };
  const gchar *at = NULL;
  guint64 n;

  http_client_perform (NULL, &c, &r);
  if (r.body != NULL)
    at = g_strstr_len ((const char *)r.body->data, (gssize)r.body->size_bytes,
                       start);
  n = at != NULL ? g_ascii_strtoull (at + strlen (start), NULL, 10) : 0;
  blob_unref (r.body);
  g_free (start);
  g_free (url);
  return n;
}

/* Returns the entry whose metrics say that it owns the cell, or -1.  */
static gint
poll_owner (const struct site *s)
{
  guint i;

  for (i = 0; i < SITE_ENTRY_COUNT; i++)
    if (get_metric (s, i, "owner") == 1)
      return (gint)i;
  return -1;
}

/* Waits until the owner has had others send orders.  Its metrics are up to a
   second old.  */
static void
wait_delegated (const struct site *s)
{
  guint waited_ms;
  guint64 sum = 0;
  guint i;

  for (waited_ms = 0; sum == 0 && waited_ms < START_TIMEOUT_MS;
       waited_ms += POLL_INTERVAL_MS)
    {
      for (i = 0; i < SITE_ENTRY_COUNT; i++)
        sum += get_metric (s, i, "orders_delegated_total");
      g_usleep (POLL_INTERVAL_MS * 1000);
    }
  g_assert_cmpuint (sum, >, 0);
}

/* Waits until an entry owns the cell and returns it.  The metrics are up to a
   second old.  */
static gint
wait_owner (const struct site *s)
{
  guint waited_ms;

  for (waited_ms = 0; waited_ms < START_TIMEOUT_MS;
       waited_ms += POLL_INTERVAL_MS)
    {
      gint owner = poll_owner (s);

      if (owner >= 0)
        return owner;
      g_usleep (POLL_INTERVAL_MS * 1000);
    }
  g_error ("no entry owned the cell within %d ms", START_TIMEOUT_MS);
}

/* Submits job N with BODY as a client does: again with the same id, at the
   next entry, until it is accepted.  */
static void
submit_body (const struct site *s, guint n, const gchar *body)
{
  gchar path[PATH_BYTES];
  guint tries;

  g_snprintf (path, sizeof path, "/q/%016x", n + 1);
  for (tries = 0; tries < 100; tries++)
    {
      if (site_call (s, (n + tries) % SITE_ENTRY_COUNT, "POST", path, body,
                     NULL, 0)
          == 200)
        return;
      g_usleep (POLL_INTERVAL_MS * 1000);
    }
  g_error ("job %u was not accepted in %u tries", n, tries);
}

static void
submit (const struct site *s, guint n)
{
  gchar body[BODY_BYTES];

  g_snprintf (body, sizeof body,
              "{\"Spec\":\"%d\",\"Steps\":[{\"Count\":3,\"Cpu\":1000},"
              "{\"Count\":2,\"Cpu\":1000,\"After\":[0]}]}",
              TASK_MS);
  submit_body (s, n, body);
}

static void
wait_completed (const struct site *s, guint n)
{
  gchar path[PATH_BYTES];
  gchar answer[100];
  guint waited_ms;

  g_snprintf (path, sizeof path, "/q/%016x", n + 1);
  for (waited_ms = 0; waited_ms < JOB_TIMEOUT_MS;
       waited_ms += POLL_INTERVAL_MS)
    {
      guint status = site_call (s, n % SITE_ENTRY_COUNT, "GET", path, NULL,
                                answer, sizeof answer);

      /* 410 would say that the accepted job is unknown.  */
      g_assert_cmpuint (status, !=, 410);
      if (status == 200 && strstr (answer, "completed") != NULL)
        return;
      g_usleep (POLL_INTERVAL_MS * 1000);
    }
  g_error ("job %u was not completed in %d ms, last answer: %s", n,
           JOB_TIMEOUT_MS, answer);
}

/* Checks that every job completes, that no task ran twice at once and that
   none started after its end was acknowledged.  */
static void
check_jobs (const struct site *s)
{
  guint n;

  for (n = 0; n < JOB_COUNT; n++)
    wait_completed (s, n);
  g_assert_cmpint (get_report (s, "doubled"), ==, 0);
  g_assert_cmpint (get_report (s, "after_done"), ==, 0);
}

static void
test_no_faults (void)
{
  struct site s;
  guint n;

  site_start (&s);
  for (n = 0; n < JOB_COUNT; n++)
    submit (&s, n);
  /* A job submitted again with its id is not run again.  */
  submit (&s, 0);
  check_jobs (&s);
  g_assert_cmpint (get_report (&s, "started"), ==, 5 * JOB_COUNT);
  g_assert_cmpuint (
      site_call (&s, 1, "GET", "/q/00000000000000ff", NULL, NULL, 0), ==, 410);
  g_assert_cmpuint (
      site_call (&s, 1, "DELETE", "/q/0000000000000001", NULL, NULL, 0), ==,
      200);
  site_stop (&s);
}

static void
test_owner_killed (void)
{
  struct site s;
  gint owner;
  guint n;

  site_start (&s);
  for (n = 0; n < JOB_COUNT / 2; n++)
    submit (&s, n);
  owner = wait_owner (&s);
  site_stop_process (s.entries[owner], SIGKILL);
  for (; n < JOB_COUNT; n++)
    submit (&s, n);
  site_start_entry (&s, (guint)owner);
  check_jobs (&s);
  site_stop (&s);
}

/* An owner that was paused while another took over sends orders with an old
   fencing token when it goes on; the runners refuse them.  */
static void
test_owner_paused (void)
{
  struct site s;
  gint owner;
  guint n;

  site_start (&s);
  for (n = 0; n < JOB_COUNT / 2; n++)
    submit (&s, n);
  owner = wait_owner (&s);
  kill (s.entries[owner], SIGSTOP);
  /* Its membership of the group expires after 1 s; then another entry claims
     the cell.  */
  g_usleep (3500 * 1000);
  kill (s.entries[owner], SIGCONT);
  for (; n < JOB_COUNT; n++)
    submit (&s, n);
  check_jobs (&s);
  site_stop (&s);
}

static void
test_all_killed (void)
{
  struct site s;
  guint n;
  guint i;

  site_start (&s);
  for (n = 0; n < JOB_COUNT; n++)
    submit (&s, n);
  for (i = 0; i < SITE_ENTRY_COUNT; i++)
    site_stop_process (s.entries[i], SIGKILL);
  for (i = 0; i < SITE_ENTRY_COUNT; i++)
    site_start_entry (&s, i);
  site_wait_ready (&s);
  check_jobs (&s);
  site_stop (&s);
}

/* Runners start tasks without answering, or answer too late, and the store
   appends records without answering.  */
static void
test_lost_answers (void)
{
  struct site s;
  guint n;

  site_start (&s);
  cluster_fault (s.base_port, "lose_starts", 7);
  cluster_fault (s.base_port, "late_starts", 13);
  cluster_fault (s.base_port, "lose_appends", 5);
  for (n = 0; n < JOB_COUNT; n++)
    submit (&s, n);
  check_jobs (&s);
  site_stop (&s);
}

/* The store refuses for so long that all entries stop accepting calls.  When
   it answers again they do so at the next attempt, and not only after a read
   that waits for a record which does not come.  */
static void
test_store_back (void)
{
  gint64 back_us;
  struct site s;

  site_start (&s);
  submit (&s, 0);
  cluster_fault (s.base_port, "store_busy", 1);
  g_usleep (STORE_BUSY_S * G_USEC_PER_SEC);
  g_assert_cmpuint (
      site_call (&s, 1, "GET", "/q/0000000000000001", NULL, NULL, 0), ==, 503);
  cluster_fault (s.base_port, "store_busy", 0);
  back_us = g_get_monotonic_time ();
  while (site_call (&s, 1, "GET", "/q/0000000000000001", NULL, NULL, 0) == 503)
    {
      g_assert_cmpint (g_get_monotonic_time () - back_us, <,
                       STORE_BACK_LIMIT_US);
      g_usleep (POLL_INTERVAL_MS * 1000 / 5);
    }
  g_test_message ("accepts calls %" G_GINT64_FORMAT " ms after the store",
                  (g_get_monotonic_time () - back_us) / 1000);
  wait_completed (&s, 0);
  site_stop (&s);
}

/* The owner is stopped by SIGTERM and another entry reloads its settings while
   jobs run.  */
static void
test_planned_stop (void)
{
  struct site s;
  gint owner;
  int status;
  guint n;

  site_start (&s);
  for (n = 0; n < JOB_COUNT / 2; n++)
    submit (&s, n);
  owner = wait_owner (&s);
  kill (s.entries[(owner + 1) % SITE_ENTRY_COUNT], SIGHUP);
  status = site_stop_process (s.entries[owner], SIGTERM);
  g_assert_true (WIFEXITED (status));
  g_assert_cmpint (WEXITSTATUS (status), ==, 0);
  site_start_entry (&s, (guint)owner);
  for (; n < JOB_COUNT; n++)
    submit (&s, n);
  check_jobs (&s);
  site_stop (&s);
}

/* Another writer's entries among those of the runners end no process, and no
   entry stops following the list because of them.  */
static void
test_odd_entries (void)
{
  struct site s;
  gint owner;
  guint n;
  guint i;

  site_start (&s);
  owner = wait_owner (&s);
  cluster_fault (s.base_port, "odd_entries", 1);
  for (n = 0; n < JOB_COUNT / 2; n++)
    submit (&s, n);
  site_stop_process (s.entries[owner], SIGKILL);
  site_start_entry (&s, (guint)owner);
  for (; n < JOB_COUNT; n++)
    submit (&s, n);
  check_jobs (&s);
  for (i = 0; i < SITE_ENTRY_COUNT; i++)
    g_assert_cmpint (waitpid (s.entries[i], NULL, WNOHANG), ==, 0);
  site_stop (&s);
}

/* Delegates send the orders of a loaded owner.  */
static void
test_delegates (void)
{
  struct site s;
  guint n;

  site_start_with (&s, DELEGATING);
  for (n = 0; n < JOB_COUNT; n++)
    submit (&s, n);
  check_jobs (&s);
  wait_delegated (&s);
  g_assert_cmpint (get_report (&s, "started"), ==, 5 * JOB_COUNT);
  site_stop (&s);
}

/* All entries but the owner are killed while they send its orders, and then
   the owner.  */
static void
test_delegates_killed (void)
{
  struct site s;
  gint owner;
  guint n;
  guint i;

  site_start_with (&s, DELEGATING);
  for (n = 0; n < JOB_COUNT / 2; n++)
    submit (&s, n);
  wait_delegated (&s);
  owner = wait_owner (&s);
  for (i = 0; i < SITE_ENTRY_COUNT; i++)
    if ((gint)i != owner)
      {
        site_stop_process (s.entries[i], SIGKILL);
        site_start_entry (&s, i);
      }
  for (; n < JOB_COUNT * 3 / 4; n++)
    submit (&s, n);
  site_stop_process (s.entries[owner], SIGKILL);
  site_start_entry (&s, (guint)owner);
  for (; n < JOB_COUNT; n++)
    submit (&s, n);
  check_jobs (&s);
  site_stop (&s);
}

/* A delegate is paused with orders in its hands.  When it goes on they are too
   old to be sent.  */
static void
test_delegate_paused (void)
{
  struct site s;
  gint owner;
  guint n;
  guint i;

  site_start_with (&s, DELEGATING);
  for (n = 0; n < JOB_COUNT / 2; n++)
    submit (&s, n);
  wait_delegated (&s);
  owner = wait_owner (&s);
  for (i = 0; i < SITE_ENTRY_COUNT; i++)
    if ((gint)i != owner)
      kill (s.entries[i], SIGSTOP);
  g_usleep (2500 * 1000);
  for (i = 0; i < SITE_ENTRY_COUNT; i++)
    kill (s.entries[i], SIGCONT);
  for (; n < JOB_COUNT; n++)
    submit (&s, n);
  check_jobs (&s);
  site_stop (&s);
}

/* Runners start tasks without answering their delegates, or answer too late.
 */
static void
test_delegates_lost_answers (void)
{
  struct site s;
  guint n;

  site_start_with (&s, DELEGATING);
  cluster_fault (s.base_port, "lose_starts", 7);
  cluster_fault (s.base_port, "late_starts", 13);
  for (n = 0; n < JOB_COUNT; n++)
    submit (&s, n);
  check_jobs (&s);
  wait_delegated (&s);
  site_stop (&s);
}

/* Copies to RUNNING how many tasks run on each runner that answers, and
   returns the sum.  */
static gint64
get_running (const struct site *s, gint64 running[SITE_RUNNER_COUNT])
{
  json_t *j = cluster_get (s->base_port, "/report");
  gint64 sum = 0;
  size_t i;

  g_assert_nonnull (j);
  for (i = 0; i < SITE_RUNNER_COUNT; i++)
    {
      running[i] = json_integer_value (
          json_array_get (json_object_get (j, "running"), i));
      sum += running[i];
    }
  json_decref (j);
  return sum;
}

/* Waits until all tasks of the job that does not end run on runners that
   answer.  */
static void
wait_serving (const struct site *s, gint64 running[SITE_RUNNER_COUNT])
{
  gint64 began_us = g_get_monotonic_time ();

  while (get_running (s, running) != SERVING_COUNT)
    {
      if (g_get_monotonic_time () - began_us > START_TIMEOUT_MS * 1000)
        g_error ("%d tasks do not run within %d ms", SERVING_COUNT,
                 START_TIMEOUT_MS);
      g_usleep (POLL_INTERVAL_MS * 1000);
    }
}

/* Checks that each entry but WITHOUT tells the states of job 0, which has
   completed, and of job 1, which goes on.  */
static void
check_states (const struct site *s, gint without)
{
  gchar answer[100];
  guint i;

  for (i = 0; i < SITE_ENTRY_COUNT; i++)
    {
      if ((gint)i == without)
        continue;
      g_assert_cmpuint (site_call (s, i, "GET", "/q/0000000000000001", NULL,
                                   answer, sizeof answer),
                        ==, 200);
      g_assert_nonnull (strstr (answer, "completed"));
      g_assert_cmpuint (site_call (s, i, "GET", "/q/0000000000000002", NULL,
                                   answer, sizeof answer),
                        ==, 200);
      g_assert_nonnull (strstr (answer, "running"));
    }
}

/* The store refuses for so long that the owner loses the cell, and its process
   is killed then.  Clients are told the states of their jobs all the while. */
static void
test_states_untold_while_store_is_away (void)
{
  gint64 running[SITE_RUNNER_COUNT];
  gchar body[BODY_BYTES];
  struct site s;
  gint owner;

  site_start_with (&s, ",\"unconfirmed_state_s\":60");
  submit (&s, 0);
  wait_completed (&s, 0);
  g_snprintf (body, sizeof body,
              "{\"Spec\":\"%d\",\"Steps\":[{\"Count\":%d,\"Cpu\":1000}]}",
              SERVING_MS, SERVING_COUNT);
  submit_body (&s, 1, body);
  wait_serving (&s, running);
  owner = wait_owner (&s);
  cluster_fault (s.base_port, "store_busy", 1);
  g_usleep (STORE_BUSY_S * G_USEC_PER_SEC);
  check_states (&s, -1);
  g_usleep (OWNER_LOST_S * G_USEC_PER_SEC);
  g_assert_cmpuint (get_metric (&s, (guint)owner, "owner"), ==, 0);
  check_states (&s, -1);
  site_stop_process (s.entries[owner], SIGKILL);
  g_usleep (LINK_LOST_S * G_USEC_PER_SEC);
  check_states (&s, owner);
  g_assert_cmpuint (site_call (&s, (guint)(owner + 1) % SITE_ENTRY_COUNT,
                               "POST", "/q/0000000000000003", body, NULL, 0),
                    ==, 503);
  site_start_entry (&s, (guint)owner);
  g_usleep (LINK_LOST_S * G_USEC_PER_SEC);
  check_states (&s, owner);
  cluster_fault (s.base_port, "store_busy", 0);
  site_wait_ready (&s);
  wait_completed (&s, 0);
  g_assert_cmpuint (
      site_call (&s, 0, "GET", "/q/0000000000000002", NULL, NULL, 0), ==, 200);
  site_stop (&s);
}

/* The owner is killed and a runner with tasks stops answering for good, while
   its VM stays up.  The entry of the owner is started again when another one
   owns the cell.  The runner's tasks wait for the former owner's leases only,
   and not for as long as it could act if it were cut off.  */
static void
test_serving_task_behind_lost_owner (void)
{
  gint64 running[SITE_RUNNER_COUNT];
  gint64 back_us;
  gint64 age_ms;
  gint64 waited_count;
  gchar body[BODY_BYTES];
  gint lost = 0;
  struct site s;
  gint owner;

  site_start (&s);
  g_snprintf (body, sizeof body,
              "{\"Spec\":\"%d\",\"Steps\":[{\"Count\":%d,\"Cpu\":1000}]}",
              SERVING_MS, SERVING_COUNT);
  submit_body (&s, 0, body);
  wait_serving (&s, running);
  while (lost < SITE_RUNNER_COUNT - 1 && running[lost] == 0)
    lost++;
  waited_count = running[lost];
  owner = wait_owner (&s);
  cluster_fault (s.base_port, "down_port", s.base_port + 1 + lost);
  site_stop_process (s.entries[owner], SIGKILL);
  g_assert_cmpint (wait_owner (&s), !=, owner);
  site_start_entry (&s, (guint)owner);
  back_us = g_get_monotonic_time ();
  wait_serving (&s, running);
  age_ms = (g_get_monotonic_time () - back_us) / 1000;
  g_test_message ("%" G_GINT64_FORMAT " tasks run elsewhere %" G_GINT64_FORMAT
                  " ms after the start of the entry",
                  waited_count, age_ms);
  g_assert_cmpint (age_ms, <=, ELSEWHERE_LIMIT_MS + ENTRY_START_MS);
  g_assert_cmpint (get_report (&s, "doubled"), ==, 0);
  site_stop (&s);
}

/* The owner is cut off from the store, together with the runners that have no
   tasks; its successor reaches the others only.  The former owner's leases for
   these expire, as it counts them, while the successor renews them.  */
static void
test_owner_cut_off_with_runners (void)
{
  gint64 running[SITE_RUNNER_COUNT];
  gint64 island = 0;
  gchar body[BODY_BYTES];
  struct site s;
  gint owner;
  guint other_count = 0;
  guint i;

  site_start (&s);
  g_snprintf (body, sizeof body,
              "{\"Spec\":\"%d\",\"Steps\":[{\"Count\":%d,\"Cpu\":1000}]}",
              SERVING_MS, SERVING_COUNT);
  submit_body (&s, 0, body);
  wait_serving (&s, running);
  for (i = 0; i < SITE_RUNNER_COUNT; i++)
    island |= (gint64)(running[i] == 0) << i;
  g_assert_cmpint (island, !=, 0);
  owner = wait_owner (&s);
  cluster_fault (s.base_port, "island_runners", island);
  cluster_fault (s.base_port, "island_token", get_report (&s, "token"));
  cluster_fault (s.base_port, "down_port", site_store_port (&s, (guint)owner));
  g_usleep (ISLAND_MS * 1000);
  for (i = 0; i < SITE_ENTRY_COUNT; i++)
    other_count += i != (guint)owner && get_metric (&s, i, "owner") == 1;
  g_assert_cmpuint (other_count, ==, 1);
  g_assert_cmpint (get_report (&s, "doubled"), ==, 0);
  cluster_fault (s.base_port, "down_port", 0);
  cluster_fault (s.base_port, "island_token", 0);
  g_usleep (HEALED_MS * 1000);
  g_assert_cmpint (get_running (&s, running), ==, SERVING_COUNT);
  g_assert_cmpint (get_report (&s, "doubled"), ==, 0);
  site_stop (&s);
}

/* Waits until an entry other than OWNER owns the cell.  */
static void
wait_other_owner (const struct site *s, gint owner)
{
  gint64 began_us = g_get_monotonic_time ();
  guint other_count = 0;
  guint i;

  while (other_count == 0)
    {
      g_assert_cmpint (g_get_monotonic_time () - began_us, <,
                       START_TIMEOUT_MS * 1000);
      g_usleep (POLL_INTERVAL_MS * 1000);
      for (i = 0; i < SITE_ENTRY_COUNT; i++)
        other_count += i != (guint)owner && get_metric (s, i, "owner") == 1;
    }
}

/* As owner_cut_off_with_runners, but the owner's joins pass again after a
   successor has claimed the cell, and the group assigns it back: the successor
   releases it.  The owner can neither append nor read the claims, so the joins
   must not extend its ownership beyond the wait that counts from that claim.
   Guards against tasks of its runners that start elsewhere while it keeps
   their leases.  */
static void
test_owner_whose_joins_pass (void)
{
  gint64 running[SITE_RUNNER_COUNT];
  gint64 claimed_us;
  gchar body[BODY_BYTES];
  struct site s;
  guint first = 0;
  gint owner;

  site_start (&s);
  g_snprintf (body, sizeof body,
              "{\"Spec\":\"%d\",\"Steps\":[{\"Count\":%d,\"Cpu\":1000}]}",
              SERVING_MS, SERVING_COUNT);
  submit_body (&s, 0, body);
  wait_serving (&s, running);
  while (running[first] == 0)
    first++;
  owner = wait_owner (&s);
  cluster_fault (s.base_port, "island_runners", (gint64)1 << first);
  cluster_fault (s.base_port, "island_token", get_report (&s, "token"));
  cluster_fault (s.base_port, "down_port", site_store_port (&s, (guint)owner));
  wait_other_owner (&s, owner);
  claimed_us = g_get_monotonic_time ();
  cluster_fault (s.base_port, "assign_port",
                 site_store_port (&s, (guint)owner));
  cluster_fault (s.base_port, "joins_port",
                 site_store_port (&s, (guint)owner));
  cluster_fault (s.base_port, "down_port", 0);
  g_usleep (JOINS_PASS_MS * 1000);
  cluster_fault (s.base_port, "down_port", site_store_port (&s, (guint)owner));
  cluster_fault (s.base_port, "assign_port", 0);
  wait_other_owner (&s, owner);
  g_usleep ((gulong)MAX (
      claimed_us + WAIT_OVER_MS * 1000 - g_get_monotonic_time (), 0));
  g_assert_cmpint (get_report (&s, "doubled"), ==, 0);
  cluster_fault (s.base_port, "joins_port", 0);
  cluster_fault (s.base_port, "down_port", 0);
  cluster_fault (s.base_port, "island_token", 0);
  g_usleep (HEALED_MS * 1000);
  g_assert_cmpint (get_running (&s, running), ==, SERVING_COUNT);
  g_assert_cmpint (get_report (&s, "doubled"), ==, 0);
  site_stop (&s);
}

int
main (int argc, char **argv)
{
  cluster_init (&argc, &argv);
  g_test_add_func ("/site/no_faults", test_no_faults);
  g_test_add_func ("/site/owner_killed", test_owner_killed);
  g_test_add_func ("/site/owner_paused", test_owner_paused);
  g_test_add_func ("/site/all_killed", test_all_killed);
  g_test_add_func ("/site/lost_answers", test_lost_answers);
  g_test_add_func ("/site/store_back", test_store_back);
  g_test_add_func ("/site/states_untold_while_store_is_away",
                   test_states_untold_while_store_is_away);
  g_test_add_func ("/site/planned_stop", test_planned_stop);
  g_test_add_func ("/site/odd_entries", test_odd_entries);
  g_test_add_func ("/site/delegates", test_delegates);
  g_test_add_func ("/site/delegates_killed", test_delegates_killed);
  g_test_add_func ("/site/delegate_paused", test_delegate_paused);
  g_test_add_func ("/site/delegates_lost_answers",
                   test_delegates_lost_answers);
  g_test_add_func ("/site/serving_task_behind_lost_owner",
                   test_serving_task_behind_lost_owner);
  g_test_add_func ("/site/owner_cut_off_with_runners",
                   test_owner_cut_off_with_runners);
  g_test_add_func ("/site/owner_whose_joins_pass",
                   test_owner_whose_joins_pass);
  return g_test_run ();
}
