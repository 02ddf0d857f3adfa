/* test_delivery.c -- whole processes under faults: at most one run of each
   keyed request, and every answer true by the workers' own record.  */

#include "tests/cluster.h"

#include <curl/curl.h>
#include <pthread.h>
#include <signal.h>
#include <sodium.h>
#include <string.h>
#include <unistd.h>

#if defined __SANITIZE_ADDRESS__ || defined __SANITIZE_THREAD__
#define TICKET_COUNT 4000
#define ROLLING_COUNT 4000
#define PACE_US 60000
#else
#define TICKET_COUNT 20000
#define ROLLING_COUNT 8000
#define PACE_US 2000
#endif
#define CALLER_COUNT 24
#define REPEAT_LIMIT 400
#define REPEAT_US 25000
#define CALL_MS 8000
#define LOSSES_APART_US 2500000

/* What a caller was told of its ticket.  */
enum told
{
  TOLD_NOTHING, /* The connection broke each time.  */
  TOLD_RUN,
  TOLD_NOT_RUN,
  TOLD_UNKNOWN,
  TOLD_COUNT
};

static struct cluster *cluster;
static gchar *record_file;
static guint8 told[TICKET_COUNT];
static gchar last_answers[TICKET_COUNT][96]; /* Where not the echo.  */
static gint next_ticket;
static gint pace_us;
static gint ticket_limit;
static guint round_number; /* Keys of a round are new.  */
static bool repeats_refused;

static size_t
take_text (char *data, size_t size, size_t count, void *state)
{
  g_string_append_len (state, data, (gssize)(size * count));
  return size * count;
}

/* Returns what the answer to TEXT says, or TOLD_NOTHING without a whole
   answer.  */
static enum told
read_answer (CURL *easy, CURLcode code, const GString *answer,
             const gchar *text)
{
  long status = 0;

  if (code != CURLE_OK)
    return TOLD_NOTHING;
  curl_easy_getinfo (easy, CURLINFO_RESPONSE_CODE, &status);
  /* A worker's answer is the echo, whatever its status.  */
  if (strcmp (answer->str, text) == 0)
    return TOLD_RUN;
  g_assert_cmpint (status, !=, 200);
  if (strstr (answer->str, "\"run\":\"no\"") != NULL)
    return TOLD_NOT_RUN;
  g_assert_nonnull (strstr (answer->str, "\"run\":\"unknown\""));
  return TOLD_UNKNOWN;
}

static enum told
post_once (CURL *easy, guint16 port, const gchar *queue, const gchar *key,
           const gchar *text)
{
  gchar *url
      = g_strdup_printf ("http://127.0.0.1:%u/v1/queues/%s", port, queue);
  gchar *line = g_strdup_printf ("Idempotency-Key: %s", key);
  struct curl_slist *lines
      = curl_slist_append (NULL, "Authorization: Bearer kandy-key");
  GString *answer = g_string_new (NULL);
  enum told t;

  lines = curl_slist_append (lines, line);
  curl_easy_setopt (easy, CURLOPT_URL, url);
  curl_easy_setopt (easy, CURLOPT_POSTFIELDS, text);
  curl_easy_setopt (easy, CURLOPT_HTTPHEADER, lines);
  curl_easy_setopt (easy, CURLOPT_WRITEFUNCTION, take_text);
  curl_easy_setopt (easy, CURLOPT_WRITEDATA, answer);
  curl_easy_setopt (easy, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt (easy, CURLOPT_TIMEOUT_MS, (long)CALL_MS);
  t = read_answer (easy, curl_easy_perform (easy), answer, text);
  if (t != TOLD_RUN)
    g_strlcpy (
        last_answers[g_ascii_strtoull (key + 1, NULL, 10) % TICKET_COUNT],
        answer->str, sizeof last_answers[0]);
  g_string_free (answer, TRUE);
  curl_slist_free_all (lines);
  g_free (line);
  g_free (url);
  return t;
}

static guint16
entry_port (guint i)
{
  return cluster_entry_port (cluster, i % cluster->entry_count);
}

static bool
is_open (enum told t)
{
  return t == TOLD_NOTHING || (repeats_refused && t == TOLD_NOT_RUN);
}

/* Sends ticket I until some entry gives a whole answer.  */
static enum told
send_ticket (CURL *easy, gint i)
{
  gchar *key = g_strdup_printf ("t%u", round_number * TICKET_COUNT + (guint)i);
  gchar *text = g_strdup_printf ("ticket=%s run_ms=2", key);
  enum told t = TOLD_NOTHING;
  guint k;

  for (k = 0; k < REPEAT_LIMIT && is_open (t); k++)
    {
      if (k > 0)
        g_usleep (REPEAT_US);
      t = post_once (easy, entry_port ((guint)i + k), "bills", key, text);
    }
  g_free (text);
  g_free (key);
  return t;
}

static void *
call (void *state)
{
  CURL *easy = curl_easy_init ();
  gint i;

  (void)state;
  while ((i = g_atomic_int_add (&next_ticket, 1)) < ticket_limit)
    {
      told[i] = (guint8)send_ticket (easy, i);
      g_usleep ((gulong)g_atomic_int_get (&pace_us));
    }
  curl_easy_cleanup (easy);
  return NULL;
}

static void
fault_for (guint16 port, const gchar *name, gulong ms)
{
  cluster_fault (port, name, 1);
  g_usleep (ms * 1000);
  cluster_fault (port, name, 0);
}

static void
freeze (pid_t pid, gulong ms)
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

/* Every fault alone and then some in pairs.  */
static void
make_faults (void)
{
  kill_entry (0, 200);
  fault_for (cluster->worker_port, "reset", 200);
  fault_for (cluster->worker_port, "cut_half", 200);
  fault_for (cluster->worker_port, "cross", 200);
  fault_for (cluster->worker_port, "turn_away", 200);
  fault_for (cluster->worker_port, "plain_503", 200);
  fault_for (cluster->log_port, "lose_answers", 200);
  freeze (cluster->entries[0], 300);
  freeze (cluster->worker, 300);
  kill_workers (200);
  cluster_fault (cluster->log_port, "lose_answers", 1);
  freeze (cluster->entries[1], 300);
  cluster_fault (cluster->log_port, "lose_answers", 0);
  cluster_fault (cluster->worker_port, "reset", 1);
  freeze (cluster->entries[2], 300);
  cluster_fault (cluster->worker_port, "reset", 0);
  freeze (cluster->worker, 200);
  kill_workers (200);
  /* Notes of the first entry killed are back at two holders by now.  */
  g_usleep (LOSSES_APART_US);
  cluster_fault (cluster->worker_port, "reset", 1);
  kill_entry (1, 100);
  cluster_fault (cluster->worker_port, "reset", 0);
  freeze (cluster->entries[2], 300);
}

/* Returns how often each ticket was run, by the workers' record.  */
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

/* Returns how many of the round were told TELLING.  */
static guint
check_told (enum told telling)
{
  static const gchar *const names[TOLD_COUNT]
      = { "nothing", "run", "not run", "unknown" };
  guint8 *runs = count_runs ();
  guint counts[TOLD_COUNT] = { 0 };
  guint doubled = 0;
  guint i;

  for (i = 0; i < (guint)ticket_limit; i++)
    {
      counts[told[i]]++;
      doubled += runs[i] > 1 ? 1 : 0;
      if ((told[i] == TOLD_RUN && runs[i] != 1)
          || (told[i] == TOLD_NOT_RUN && runs[i] != 0))
        g_error ("ticket %u: told %s, runs %u, %s", i, names[told[i]], runs[i],
                 last_answers[i]);
    }
  for (i = 0; i < TOLD_COUNT; i++)
    g_test_message ("%s: %u", names[i], counts[i]);
  g_assert_cmpuint (doubled, ==, 0);
  g_assert_cmpuint (counts[TOLD_NOTHING], ==, 0);
  g_free (runs);
  return counts[telling];
}

/* Sends LIMIT tickets while FAULTS goes on.  */
static void
run_round (gint limit, void (*faults) (void))
{
  pthread_t t[CALLER_COUNT];
  guint i;

  g_assert_cmpint (truncate (record_file, 0), ==, 0);
  memset (told, 0, sizeof told);
  round_number++;
  ticket_limit = limit;
  g_atomic_int_set (&next_ticket, 0);
  g_atomic_int_set (&pace_us, PACE_US);
  for (i = 0; i < CALLER_COUNT; i++)
    pthread_create (&t[i], NULL, call, NULL);
  faults ();
  g_test_message ("faults done at ticket %d", g_atomic_int_get (&next_ticket));
  /* All of them met callers.  */
  g_assert_cmpint (g_atomic_int_get (&next_ticket), <, limit);
  g_atomic_int_set (&pace_us, 0);
  for (i = 0; i < CALLER_COUNT; i++)
    pthread_join (t[i], NULL);
}

static void
test_at_most_once (void)
{
  run_round (TICKET_COUNT, make_faults);
  g_assert_cmpuint (check_told (TOLD_RUN), >, TICKET_COUNT / 2);
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

/* Callers go to the next entry when refused: all is run, once.  */
static void
test_rolling_restart (void)
{
  repeats_refused = true;
  run_round (ROLLING_COUNT, restart_entries);
  g_assert_cmpuint (check_told (TOLD_RUN), ==, ROLLING_COUNT);
  repeats_refused = false;
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
