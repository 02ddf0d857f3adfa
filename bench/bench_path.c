/* bench_path.c -- latency that an entry adds to a call, and the throughput of
   one entry.

   Calls to a worker alternate with the same calls through an entry, so that
   both meet the same load of the machine.  */

#include "tests/cluster.h"

#include <curl/curl.h>
#include <pthread.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <time.h>

#define RATE_PER_S 2000
#define RUN_S 5
#define WARMUP_COUNT 200
#define THREAD_COUNT 16
#define CALLS_PER_THREAD (RATE_PER_S * RUN_S / THREAD_COUNT)
#define LOAD_THREAD_COUNT 32
#define LOAD_S 3
#define NS_PER_S INT64_C (1000000000)
#define BODY_TEXT "strap=17 leather=brown"

static struct cluster *cluster;

struct client
{
  pthread_t thread;
  guint index;
  CURL *direct;
  CURL *entry;
  struct curl_slist *lines;
  gint64 direct_ns[CALLS_PER_THREAD];
  gint64 entry_ns[CALLS_PER_THREAD];
  gint64 done_count;
  gint64 failed_count;
};

static gint64
now_ns (void)
{
  struct timespec t;

  clock_gettime (CLOCK_MONOTONIC, &t);
  return t.tv_sec * NS_PER_S + t.tv_nsec;
}

static size_t
discard_body (char *data, size_t size, size_t count, void *state)
{
  (void)data;
  (void)state;
  return size * count;
}

static CURL *
make_handle (struct client *c, guint16 port, const gchar *path)
{
  CURL *h = curl_easy_init ();
  gchar *url = g_strdup_printf ("http://127.0.0.1:%u%s", port, path);

  curl_easy_setopt (h, CURLOPT_URL, url);
  curl_easy_setopt (h, CURLOPT_POSTFIELDS, BODY_TEXT);
  curl_easy_setopt (h, CURLOPT_HTTPHEADER, c->lines);
  curl_easy_setopt (h, CURLOPT_WRITEFUNCTION, discard_body);
  curl_easy_setopt (h, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt (h, CURLOPT_PROXY, "");
  curl_easy_setopt (h, CURLOPT_TIMEOUT_MS, 10000L);
  g_free (url);
  return h;
}

static void
open_client (struct client *c, guint index)
{
  c->index = index;
  c->lines = curl_slist_append (NULL, "Authorization: Bearer kandy-key");
  c->lines = curl_slist_append (c->lines, "Team: kandy");
  c->direct = make_handle (
      c, (guint16)(cluster->worker_port + index % cluster->worker_count),
      "/v1/run");
  c->entry
      = make_handle (c, cluster_entry_port (cluster, 0), "/v1/queues/tickets");
}

static void
close_client (struct client *c)
{
  curl_easy_cleanup (c->direct);
  curl_easy_cleanup (c->entry);
  curl_slist_free_all (c->lines);
}

/* Makes a call by H and returns its duration in ns.  */
static gint64
timed_call (struct client *c, CURL *h)
{
  gint64 start_ns = now_ns ();
  long status = 0;

  if (curl_easy_perform (h) == CURLE_OK)
    curl_easy_getinfo (h, CURLINFO_RESPONSE_CODE, &status);
  if (status != 200)
    c->failed_count++;
  return now_ns () - start_ns;
}

static void
sleep_until (gint64 at_ns)
{
  struct timespec t = { at_ns / NS_PER_S, at_ns % NS_PER_S };

  clock_nanosleep (CLOCK_MONOTONIC, TIMER_ABSTIME, &t, NULL);
}

/* Alternates direct calls and calls through the entry at a fixed rate.  The
   starts of the threads are spread over one period between calls.  */
static void *
alternate_calls (void *state)
{
  struct client *c = state;
  const gint64 period_ns = NS_PER_S * THREAD_COUNT / RATE_PER_S;
  gint64 at_ns = now_ns () + period_ns * c->index / THREAD_COUNT;
  guint i;

  for (i = 0; i < WARMUP_COUNT / THREAD_COUNT; i++)
    {
      timed_call (c, c->direct);
      timed_call (c, c->entry);
    }
  at_ns += NS_PER_S / 2;
  for (i = 0; i < CALLS_PER_THREAD; i++)
    {
      sleep_until (at_ns);
      c->direct_ns[i] = timed_call (c, c->direct);
      sleep_until (at_ns + period_ns / 2);
      c->entry_ns[i] = timed_call (c, c->entry);
      at_ns += period_ns;
    }
  return NULL;
}

/* Calls the entry without a pause for LOAD_S.  */
static void *
call_entry (void *state)
{
  struct client *c = state;
  gint64 until_ns = now_ns () + LOAD_S * NS_PER_S;

  while (now_ns () < until_ns)
    {
      timed_call (c, c->entry);
      c->done_count++;
    }
  return NULL;
}

/* Runs COUNT clients in threads of their own and returns their results.  */
static struct client *
run_clients (guint count, void *(*run) (void *))
{
  struct client *clients = g_new0 (struct client, count);
  guint i;

  for (i = 0; i < count; i++)
    open_client (&clients[i], i);
  for (i = 0; i < count; i++)
    pthread_create (&clients[i].thread, NULL, run, &clients[i]);
  for (i = 0; i < count; i++)
    pthread_join (clients[i].thread, NULL);
  for (i = 0; i < count; i++)
    close_client (&clients[i]);
  return clients;
}

static int
compare_ns (const void *a, const void *b)
{
  gint64 x = *(const gint64 *)a;
  gint64 y = *(const gint64 *)b;

  return x < y ? -1 : x > y;
}

static void
print_latency (const gchar *path, const struct client *clients, gboolean entry,
               double *p50_ms, double *p99_ms)
{
  const guint count = THREAD_COUNT * CALLS_PER_THREAD;
  gint64 *ns = g_new (gint64, count);
  gint64 failed_count = 0;
  guint i;

  for (i = 0; i < THREAD_COUNT; i++)
    {
      memcpy (ns + i * CALLS_PER_THREAD,
              entry ? clients[i].entry_ns : clients[i].direct_ns,
              sizeof clients[i].entry_ns);
      failed_count += clients[i].failed_count;
    }
  qsort (ns, count, sizeof *ns, compare_ns);
  *p50_ms = (double)ns[count / 2] / 1e6;
  *p99_ms = (double)ns[count * 99 / 100] / 1e6;
  printf ("{\"bench\":\"path\",\"path\":\"%s\",\"rate_per_s\":%d,"
          "\"calls\":%u,\"failed_both\":%" G_GINT64_FORMAT
          ",\"p50_ms\":%.3f,\"p99_ms\":%.3f}\n",
          path, RATE_PER_S, count, failed_count, *p50_ms, *p99_ms);
  g_free (ns);
}

static void
bench_latency (void)
{
  struct client *clients = run_clients (THREAD_COUNT, alternate_calls);
  double direct[2];
  double entry[2];

  print_latency ("direct", clients, FALSE, &direct[0], &direct[1]);
  print_latency ("entry", clients, TRUE, &entry[0], &entry[1]);
  printf ("{\"bench\":\"path\",\"path\":\"added\",\"p50_ms\":%.3f,"
          "\"p99_ms\":%.3f,\"aim_p50_ms\":0.3,\"aim_p99_ms\":2.0}\n",
          entry[0] - direct[0], entry[1] - direct[1]);
  g_free (clients);
}

static void
bench_throughput (void)
{
  struct client *clients = run_clients (LOAD_THREAD_COUNT, call_entry);
  gint64 done_count = 0;
  gint64 failed_count = 0;
  guint i;

  for (i = 0; i < LOAD_THREAD_COUNT; i++)
    {
      done_count += clients[i].done_count;
      failed_count += clients[i].failed_count;
    }
  printf ("{\"bench\":\"path\",\"path\":\"entry_rate\",\"callers\":%d,"
          "\"requests_per_s\":%" G_GINT64_FORMAT
          ",\"failed\":%" G_GINT64_FORMAT "}\n",
          LOAD_THREAD_COUNT, done_count / LOAD_S, failed_count);
  g_free (clients);
}

int
main (void)
{
  signal (SIGPIPE, SIG_IGN);
  curl_global_init (CURL_GLOBAL_DEFAULT);
  cluster = cluster_start (1, 8);
  cluster_publish (cluster, 1000);
  cluster_wait_version (cluster, 1);
  bench_latency ();
  bench_throughput ();
  cluster_stop (cluster);
  return 0;
}
