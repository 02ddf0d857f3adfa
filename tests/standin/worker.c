/* worker.c -- stand-in of workers, one for each port of a range.

   POST /v1/run echoes the body, whose first line controls the run.
   "ticket=NAME" at the start of the line counts the run under that name,
   "run_ms=N" sets the run time and "fail=1" makes it fail on every worker.  As
   the workers' contract says, a run ends early when its lease expires or its
   client closes the connection.

   GET /report shows the workers' own record: runs, tickets, tickets run twice
   ("doubled"), requests to a worker whose slots were full ("overfilled"),
   requests whose client went away before the answer ("cut"), requests refused
   for full slots ("turned_away"), runs ended by their lease ("lapsed") or by a
   closed connection ("stopped"), and the runs of each team.  GET
   /ticket?name=NAME shows the runs of a ticket, GET /running the requests that
   run on the worker of that port.

   Faults besides those of server.h: run_ms=N (default run time), slots=N (of
   each worker), fail_all (status 500), fail_ports=N (the same on the first N
   ports), reset (RST in place of the answer), cut_half (the connection closes
   after half of the answer), cross (the answer is another task's), plain_503
   (status 503 without "Run: no") and turn_away (503 with "Run: no", without a
   run).

   The environment variable FTK_RUN_RECORD names a file to which the ticket of
   each run is appended, a line each.  */

#include "tests/standin/server.h"

#include <glib.h>
#include <poll.h>
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>

#define DEFAULT_SLOT_COUNT 8
#define LINE_BYTES 256

struct team
{
  int64_t running;
  int64_t high_water;
  int64_t runs;
};

static GHashTable *teams;   /* name to struct team */
static GHashTable *tickets; /* name to count */
static int64_t port_running[65536];
static int64_t run_count;
static int64_t doubled_count;
static int64_t overfilled_count;
static int64_t cut_count;
static int64_t refused_count;
static int64_t lapsed_count;  /* runs ended by their lease */
static int64_t stopped_count; /* runs whose client closed the connection */
static uint16_t first_port;
static FILE *record; /* file FTK_RUN_RECORD, or NULL; outlives a kill */
static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;

static void
read_first_line (struct exchange *x, char *line)
{
  uint32_t n = 0;

  while (n < x->body_bytes && n < LINE_BYTES - 1 && x->body[n] != '\n')
    n++;
  if (n > 0)
    memcpy (line, x->body, n);
  line[n] = '\0';
}

/* Counts a run under the ticket in LINE, if it has one.  */
static void
count_ticket (const char *line)
{
  char name[LINE_BYTES];
  int64_t n;

  if (sscanf (line, "ticket=%255[^ ;]", name) != 1)
    return;
  n = (int64_t)(intptr_t)g_hash_table_lookup (tickets, name) + 1;
  if (n == 2)
    doubled_count++;
  g_hash_table_insert (tickets, g_strdup (name), (gpointer)(intptr_t)n);
  if (record != NULL)
    {
      fprintf (record, "%s\n", name);
      fflush (record);
    }
}

/* Takes a slot and counts the run; returns 0 if all slots are taken.  */
static int
try_start_run (struct exchange *x, const char *line, struct team **team)
{
  const char *name = header_get (x, "Team");
  int64_t slots = fault_get ("slots");
  struct team *t;

  if (slots == 0)
    slots = DEFAULT_SLOT_COUNT;
  pthread_mutex_lock (&lock);
  if (port_running[x->port] >= slots)
    {
      overfilled_count++;
      refused_count++;
      pthread_mutex_unlock (&lock);
      return 0;
    }
  t = g_hash_table_lookup (teams, name);
  if (t == NULL)
    {
      t = calloc (1, sizeof *t);
      g_hash_table_insert (teams, g_strdup (name), t);
    }
  port_running[x->port]++;
  run_count++;
  t->runs++;
  if (++t->running > t->high_water)
    t->high_water = t->running;
  count_ticket (line);
  pthread_mutex_unlock (&lock);
  *team = t;
  return 1;
}

static int
connection_fd (struct exchange *x)
{
  return MHD_get_connection_info (x->connection,
                                  MHD_CONNECTION_INFO_CONNECTION_FD)
      ->connect_fd;
}

/* Waits RUN_MS; returns 0 if the lease or a closed connection ended the run
   earlier.  */
static int
wait_run_end (struct exchange *x, int64_t run_ms)
{
  struct pollfd p = { .fd = connection_fd (x), .events = POLLRDHUP };
  int64_t lease_ms = strtoll (header_get (x, "Lease-Ms"), NULL, 10);
  int lapses = lease_ms > 0 && run_ms > lease_ms;

  if (run_ms <= 0)
    return 1;
  if (poll (&p, 1, (int)(lapses ? lease_ms : run_ms)) > 0)
    {
      pthread_mutex_lock (&lock);
      stopped_count++;
      pthread_mutex_unlock (&lock);
      return 0;
    }
  if (lapses)
    {
      pthread_mutex_lock (&lock);
      lapsed_count++;
      pthread_mutex_unlock (&lock);
    }
  return !lapses;
}

static void
refuse (struct exchange *x)
{
  x->not_run = 1;
  answer_set (x, 503, "{\"run\":\"no\"}");
}

static void
set_result (struct exchange *x, const char *line)
{
  int64_t cross = fault_get ("cross");
  int fails = fault_get ("fail_all") || strstr (line, "fail=1") != NULL
              || x->port < first_port + fault_get ("fail_ports");

  x->status = fails ? 500 : 200;
  if (fault_get ("plain_503"))
    x->status = 503;
  x->answer = x->body;
  x->answer_bytes = x->body_bytes;
  x->body = NULL;
  x->task_id = cross ? "another" : header_get (x, "Task-Id");
  if (cross)
    {
      free (x->answer);
      answer_set (x, 200, "another caller's answer");
    }
  x->truncate = fault_get ("cut_half") != 0;
  if (fault_get ("reset"))
    {
      struct linger l = { .l_onoff = 1, .l_linger = 0 };

      setsockopt (connection_fd (x), SOL_SOCKET, SO_LINGER, &l, sizeof l);
      x->drop = 1;
    }
}

static void
run (struct exchange *x)
{
  char line[LINE_BYTES];
  const char *p;
  struct team *t;
  int64_t run_ms = fault_get ("run_ms");

  read_first_line (x, line);
  p = strstr (line, "run_ms=");
  if (p != NULL)
    run_ms = strtoll (p + strlen ("run_ms="), NULL, 10);
  if (fault_get ("turn_away") || !try_start_run (x, line, &t))
    {
      refuse (x);
      return;
    }
  if (!wait_run_end (x, run_ms))
    x->drop = 1;
  pthread_mutex_lock (&lock);
  t->running--;
  port_running[x->port]--;
  pthread_mutex_unlock (&lock);
  if (!x->drop)
    set_result (x, line);
}

/* Answers how often the ticket in the query was run.  */
static void
answer_ticket (struct exchange *x)
{
  const char *name = MHD_lookup_connection_value (
      x->connection, MHD_GET_ARGUMENT_KIND, "name");
  int64_t n = 0;

  pthread_mutex_lock (&lock);
  if (name != NULL)
    n = (int64_t)(intptr_t)g_hash_table_lookup (tickets, name);
  pthread_mutex_unlock (&lock);
  answer_set (x, 200, "{\"runs\":%lld}", (long long)n);
}

static void
print_team (gpointer key, gpointer value, gpointer state)
{
  struct team *t = value;
  GString *s = state;

  g_string_append_printf (
      s, "%s\"%s\":{\"running\":%lld,\"high_water\":%lld,\"runs\":%lld}",
      s->str[s->len - 1] == '{' ? "" : ",", (char *)key, (long long)t->running,
      (long long)t->high_water, (long long)t->runs);
}

static void
report (struct exchange *x)
{
  GString *s = g_string_new ("{");

  pthread_mutex_lock (&lock);
  g_string_append_printf (
      s,
      "\"runs\":%lld,\"tickets\":%u,\"doubled\":%lld,\"overfilled\":%lld,"
      "\"cut\":%lld,\"turned_away\":%lld,\"lapsed\":%lld,\"stopped\":%lld,"
      "\"teams\":{",
      (long long)run_count, g_hash_table_size (tickets),
      (long long)doubled_count, (long long)overfilled_count,
      (long long)cut_count, (long long)refused_count, (long long)lapsed_count,
      (long long)stopped_count);
  g_hash_table_foreach (teams, print_team, s);
  pthread_mutex_unlock (&lock);
  g_string_append (s, "}}");
  answer_set (x, 200, "%s", s->str);
  g_string_free (s, TRUE);
}

static void
on_abort (struct exchange *x)
{
  if (x->url == NULL || strcmp (x->url, "/v1/run") != 0)
    return;
  pthread_mutex_lock (&lock);
  cut_count++;
  pthread_mutex_unlock (&lock);
}

/* Answers how many requests run on the worker of the port.  */
static void
answer_running (struct exchange *x)
{
  pthread_mutex_lock (&lock);
  answer_set (x, 200, "%lld", (long long)port_running[x->port]);
  pthread_mutex_unlock (&lock);
}

static void
handle (struct exchange *x)
{
  if (strcmp (x->url, "/v1/run") == 0)
    run (x);
  else if (strcmp (x->url, "/report") == 0)
    report (x);
  else if (strcmp (x->url, "/running") == 0)
    answer_running (x);
  else if (strcmp (x->url, "/ticket") == 0)
    answer_ticket (x);
  else
    answer_set (x, 404, "{}");
}

int
main (int argc, char **argv)
{
  uint16_t first = argc > 1 ? (uint16_t)atoi (argv[1]) : 7301;
  uint16_t last = argc > 2 ? (uint16_t)atoi (argv[2]) : first;

  first_port = first;
  if (getenv ("FTK_RUN_RECORD") != NULL)
    record = fopen (getenv ("FTK_RUN_RECORD"), "a");
  teams = g_hash_table_new (g_str_hash, g_str_equal);
  tickets = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  standin_handler = handle;
  standin_on_abort = on_abort;
  return standin_serve (first, last);
}
