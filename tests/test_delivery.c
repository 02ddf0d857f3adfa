/* test_delivery.c -- requests with idempotency keys while processes fail.

   Guards against a request that runs twice and against an answer that says
   "run" or "not run" falsely.  Clients send tickets, each a request with a key
   of its own, and retry at other entries while connections break, and entries
   and workers are killed, paused and restarted.  The workers' own record of
   the tickets that they ran is compared with what the clients were told.  */

#include "tests/cluster.h"

#include <curl/curl.h>
#include <pthread.h>
#include <signal.h>
#include <sodium.h>
#include <string.h>
#include <unistd.h>

#if defined __SANITIZE_ADDRESS__ || defined __SANITIZE_THREAD__
#define TICKET_COUNT 4000
#define ROLLING_TICKET_COUNT 4000
#define SEND_INTERVAL_US 60000
#else
#define TICKET_COUNT 20000
#define ROLLING_TICKET_COUNT 8000
#define SEND_INTERVAL_US 2000
#endif
#define CLIENT_COUNT 24
#define RETRY_LIMIT 400
#define RETRY_DELAY_US 25000
#define CALL_TIMEOUT_MS 8000
/* Wait before a second entry is killed.  Together with the faults since the
   first kill it is longer than the 5 s in which the claims of a lost entry are
   copied to other holders.  */
#define CLAIM_COPY_WAIT_US 2500000

/* What a client was told of its ticket.  */
enum client_result
{
  RESULT_NONE, /* No whole answer to any attempt.  */
  RESULT_RUN,
  RESULT_NOT_RUN,
  RESULT_UNKNOWN,
  RESULT_COUNT
};

static struct cluster *cluster;
static gchar *record_file;
static guint8 results[TICKET_COUNT];
/* Each ticket's last answer that is not the echo, for error messages.  */
static gchar last_bodies[TICKET_COUNT][96];
static gint next_ticket;
static gint send_interval_us;
static gint ticket_limit;
static guint round_number; /* Part of the keys: each round has new ones.  */
static bool retry_refused; /* Also retry when told "not run".  */

static size_t
append_body (char *data, size_t size, size_t count, void *state)
{
  g_string_append_len (state, data, (gssize)(size * count));
  return size * count;
}

/* Returns what ANSWER to the request with body TEXT says; RESULT_NONE if the
   answer is not whole.  */
static enum client_result
classify_answer (CURL *easy, CURLcode code, const GString *answer,
                 const gchar *text)
{
  long status = 0;

  if (code != CURLE_OK)
    return RESULT_NONE;
  curl_easy_getinfo (easy, CURLINFO_RESPONSE_CODE, &status);
  /* A worker's answer is the echo, whatever its status.  */
  if (strcmp (answer->str, text) == 0)
    return RESULT_RUN;
  g_assert_cmpint (status, !=, 200);
  if (strstr (answer->str, "\"run\":\"no\"") != NULL)
    return RESULT_NOT_RUN;
  g_assert_nonnull (strstr (answer->str, "\"run\":\"unknown\""));
  return RESULT_UNKNOWN;
}

/* Sends a request with KEY and body TEXT to PORT once.  */
static enum client_result
post_once (CURL *easy, guint16 port, const gchar *queue, const gchar *key,
           const gchar *text)
{
  gchar *url
      = g_strdup_printf ("http://127.0.0.1:%u/v1/queues/%s", port, queue);
  gchar *line = g_strdup_printf ("Idempotency-Key: %s", key);
  struct curl_slist *lines
      = curl_slist_append (NULL, "Authorization: Bearer kandy-key");
  GString *answer = g_string_new (NULL);
  enum client_result result;

  lines = curl_slist_append (lines, line);
  curl_easy_setopt (easy, CURLOPT_URL, url);
  curl_easy_setopt (easy, CURLOPT_POSTFIELDS, text);
  curl_easy_setopt (easy, CURLOPT_HTTPHEADER, lines);
  curl_easy_setopt (easy, CURLOPT_WRITEFUNCTION, append_body);
  curl_easy_setopt (easy, CURLOPT_WRITEDATA, answer);
  curl_easy_setopt (easy, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt (easy, CURLOPT_TIMEOUT_MS, (long)CALL_TIMEOUT_MS);
  result = classify_answer (easy, curl_easy_perform (easy), answer, text);
  if (result != RESULT_RUN)
    g_strlcpy (
        last_bodies[g_ascii_strtoull (key + 1, NULL, 10) % TICKET_COUNT],
        answer->str, sizeof last_bodies[0]);
  g_string_free (answer, TRUE);
  curl_slist_free_all (lines);
  g_free (line);
  g_free (url);
  return result;
}

static guint16
entry_port (guint i)
{
  return cluster_entry_port (cluster, i % cluster->entry_count);
}

static bool
should_retry (enum client_result result)
{
  return result == RESULT_NONE || (retry_refused && result == RESULT_NOT_RUN);
}

/* Sends ticket I to one entry after another until one gives an answer that
   needs no retry.  */
static enum client_result
send_ticket (CURL *easy, gint i)
{
  gchar *key = g_strdup_printf ("t%u", round_number * TICKET_COUNT + (guint)i);
  gchar *text = g_strdup_printf ("ticket=%s run_ms=2", key);
  enum client_result result = RESULT_NONE;
  guint k;

  for (k = 0; k < RETRY_LIMIT && should_retry (result); k++)
    {
      if (k > 0)
        g_usleep (RETRY_DELAY_US);
      result = post_once (easy, entry_port ((guint)i + k), "bills", key, text);
    }
  g_free (text);
  g_free (key);
  return result;
}

/* Sends tickets until ticket_limit is reached.  */
static void *
run_client (void *state)
{
  CURL *easy = curl_easy_init ();
  gint i;

  (void)state;
  while ((i = g_atomic_int_add (&next_ticket, 1)) < ticket_limit)
    {
      results[i] = (guint8)send_ticket (easy, i);
      g_usleep ((gulong)g_atomic_int_get (&send_interval_us));
    }
  curl_easy_cleanup (easy);
  return NULL;
}

static void
apply_fault (guint16 port, const gchar *name, gulong ms)
{
  cluster_fault (port, name, 1);
  g_usleep (ms * 1000);
  cluster_fault (port, name, 0);
}

static void
pause_process (pid_t pid, gulong ms)
{
  kill (pid, SIGSTOP);
  g_usleep (ms * 1000);
  kill (pid, SIGCONT);
}

static void
kill_workers (gulong ms)
{
  cluster_signal_worker (cluster, SIGKILL);
  g_usleep (ms * 1000);
  cluster_start_worker (cluster);
}

static void
kill_entry (guint i, gulong ms)
{
  cluster_signal_entry (cluster, i, SIGKILL);
  g_usleep (ms * 1000);
  cluster_start_entry (cluster, i);
}

/* Causes each fault alone and then some in pairs.  */
static void
inject_faults (void)
{
  kill_entry (0, 200);
  apply_fault (cluster->worker_port, "reset", 200);
  apply_fault (cluster->worker_port, "cut_half", 200);
  apply_fault (cluster->worker_port, "cross", 200);
  apply_fault (cluster->worker_port, "turn_away", 200);
  apply_fault (cluster->worker_port, "plain_503", 200);
  apply_fault (cluster->log_port, "lose_answers", 200);
  pause_process (cluster->entries[0], 300);
  pause_process (cluster->worker, 300);
  kill_workers (200);
  cluster_fault (cluster->log_port, "lose_answers", 1);
  pause_process (cluster->entries[1], 300);
  cluster_fault (cluster->log_port, "lose_answers", 0);
  cluster_fault (cluster->worker_port, "reset", 1);
  pause_process (cluster->entries[2], 300);
  cluster_fault (cluster->worker_port, "reset", 0);
  pause_process (cluster->worker, 200);
  kill_workers (200);
  /* The loss of a second entry before the claims of the first one are at two
     holders again could lose claims.  */
  g_usleep (CLAIM_COPY_WAIT_US);
  cluster_fault (cluster->worker_port, "reset", 1);
  kill_entry (1, 100);
  cluster_fault (cluster->worker_port, "reset", 0);
  pause_process (cluster->entries[2], 300);
}

/* Returns how often the workers ran each ticket.  */
static guint8 *
count_runs (void)
{
  guint8 *runs = g_new0 (guint8, TICKET_COUNT);
  gchar *text = NULL;
  gchar **lines;
  guint i;

  g_assert_true (g_file_get_contents (record_file, &text, NULL, NULL));
  lines = g_strsplit (text, "\n", -1);
  for (i = 0; lines[i] != NULL; i++)
    if (lines[i][0] == 't')
      runs[g_ascii_strtoull (lines[i] + 1, NULL, 10) % TICKET_COUNT]++;
  g_strfreev (lines);
  g_free (text);
  return runs;
}

/* Compares the results of the round with the workers' record; returns how many
   tickets have the result WANTED.  */
static guint
check_results (enum client_result wanted)
{
  static const gchar *const names[RESULT_COUNT]
      = { "nothing", "run", "not run", "unknown" };
  guint8 *runs = count_runs ();
  guint counts[RESULT_COUNT] = { 0 };
  guint doubled_count = 0;
  guint i;

  for (i = 0; i < (guint)ticket_limit; i++)
    {
      counts[results[i]]++;
      doubled_count += runs[i] > 1 ? 1 : 0;
      if ((results[i] == RESULT_RUN && runs[i] != 1)
          || (results[i] == RESULT_NOT_RUN && runs[i] != 0))
        g_error ("ticket %u: client was told \"%s\", workers ran it %u times, "
                 "last answer: %s",
                 i, names[results[i]], runs[i], last_bodies[i]);
    }
  for (i = 0; i < RESULT_COUNT; i++)
    g_test_message ("%s: %u", names[i], counts[i]);
  g_assert_cmpuint (doubled_count, ==, 0);
  g_assert_cmpuint (counts[RESULT_NONE], ==, 0);
  g_free (runs);
  return counts[wanted];
}

/* Sends LIMIT tickets while FAULTS runs.  */
static void
run_round (gint limit, void (*faults) (void))
{
  pthread_t clients[CLIENT_COUNT];
  guint i;

  g_assert_cmpint (truncate (record_file, 0), ==, 0);
  memset (results, 0, sizeof results);
  round_number++;
  ticket_limit = limit;
  g_atomic_int_set (&next_ticket, 0);
  g_atomic_int_set (&send_interval_us, SEND_INTERVAL_US);
  for (i = 0; i < CLIENT_COUNT; i++)
    pthread_create (&clients[i], NULL, run_client, NULL);
  faults ();
  g_test_message ("%d tickets sent when the last fault ended",
                  g_atomic_int_get (&next_ticket));
  /* The clients were still sending at the last fault.  */
  g_assert_cmpint (g_atomic_int_get (&next_ticket), <, limit);
  g_atomic_int_set (&send_interval_us, 0);
  for (i = 0; i < CLIENT_COUNT; i++)
    pthread_join (clients[i], NULL);
}

static void
test_at_most_once (void)
{
  run_round (TICKET_COUNT, inject_faults);
  g_assert_cmpuint (check_results (RESULT_RUN), >, TICKET_COUNT / 2);
}

static void
restart_entries (void)
{
  guint i;

  for (i = 0; i < cluster->entry_count; i++)
    {
      g_assert_cmpint (cluster_signal_entry (cluster, i, SIGTERM), ==, 0);
      cluster_start_entry (cluster, i);
      cluster_wait_version (cluster, 1);
    }
}

/* Clients that retry refused tickets at the next entry get each one run, once,
   while the entries are restarted in turn.  */
static void
test_rolling_restart (void)
{
  retry_refused = true;
  run_round (ROLLING_TICKET_COUNT, restart_entries);
  g_assert_cmpuint (check_results (RESULT_RUN), ==, ROLLING_TICKET_COUNT);
  retry_refused = false;
}

int
main (int argc, char **argv)
{
  int code;

  cluster_init (&argc, &argv);
  record_file = g_strdup_printf ("%s/fulmartack-runs-%d", g_get_tmp_dir (),
                                 (int)getpid ());
  g_setenv ("FTK_RUN_RECORD", record_file, TRUE);
  cluster = cluster_start (3, 8);
  cluster_publish (cluster, 60);
  cluster_wait_version (cluster, 1);
  g_test_add_func ("/delivery/at_most_once", test_at_most_once);
  g_test_add_func ("/delivery/rolling_restart", test_rolling_restart);
  code = g_test_run ();
  cluster_stop (cluster);
  unlink (record_file);
  g_free (record_file);
  return code;
}
