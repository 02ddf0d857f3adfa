/* soak.c -- plays a script of faults with real processes.  */

#include "tests/soak.h"

#include "tests/site_cluster.h"
#include "tests/soak_client.h"
#include "tests/soak_proxy.h"

#include <signal.h>
#include <stdlib.h>
#include <string.h>
#include <sys/wait.h>

#define TICK_US 2000
#define GRACE_MS 6000
#define AFTER_GRACE_MS 1000
#define LOSS_SLACK_MS 200
#define CONTACT_MS 3000
#define JOBS_END_MS 20000
/* A lease of 3.5 s that was renewed 1 s ago.  */
#define OWNERLESS_MS 2500
#define START_MS 1000
#define FIRST_JOB 0x1000
#define JOBS_PER_CLIENT 0x10000
#define ASKED_JOB 1
#define STATE_BYTES 200
/* A job whose tasks last.  */
#define LONG_JOB                                                              \
  "{\"Spec\":\"300000\",\"Steps\":[{\"Count\":4,\"Cpu\":1000,"                \
  "\"EstimateMs\":300000,\"LongRunning\":true}]}"

enum process_state
{
  PROCESS_RUNS,
  PROCESS_STOPS, /* Got SIGTERM.  */
  PROCESS_ENDED
};

struct process
{
  enum process_state state;
  gint64 started_at_us;
  gint64 stopped_at_us; /* When it got SIGTERM.  */
  gint64 start_at_us;   /* When it is started again.  */
  gint64 paused_until_us;
  gint64 back_ms;
  gboolean was_paused;   /* Since SIGTERM.  */
  gint64 store_until_us; /* When its proxy passes again; 0: it does.  */
};

/* A time in which something holds, monotonic.  */
struct span
{
  guint entry;
  gint64 from_us;
  gint64 until_us;
};

struct play
{
  struct site site;
  gchar *settings;
  struct process processes[SITE_ENTRY_LIMIT];
  struct soak_proxy *proxies[SITE_ENTRY_LIMIT];
  GPtrArray *clients; /* struct soak_client.  */
  struct client_log log;
  GArray *stops;     /* struct span: from SIGTERM to the end.  */
  GArray *unplanned; /* struct span of faults.  */
  gint64 began_at_us;
  struct soak_result *result;
};

static gint64
get_ms (const json_t *line, const gchar *name)
{
  return json_integer_value (json_object_get (line, name));
}

static gint64
now (void)
{
  return g_get_monotonic_time ();
}

static void G_GNUC_PRINTF (2, 3)
    broken (struct play *p, const gchar *format, ...)
{
  va_list list;

  p->result->broken_count++;
  va_start (list, format);
  g_string_append_vprintf (p->result->report, format, list);
  va_end (list);
  g_string_append_c (p->result->report, '\n');
}

static gint64
play_ms (const struct play *p, gint64 at_us)
{
  return (at_us - p->began_at_us) / 1000;
}

/* Notes that an unplanned fault lasts from now to UNTIL_US.  */
static void
note_unplanned (struct play *p, gint64 until_us)
{
  struct span s = { .from_us = now (), .until_us = until_us };

  g_array_append_val (p->unplanned, s);
}

static void
start_entries (struct play *p, const json_t *line)
{
  const gchar *settings
      = json_string_value (json_object_get (line, "settings"));
  guint i;

  p->settings = g_strdup (settings != NULL ? settings : "");
  p->site.settings = p->settings;
  p->site.proxied = TRUE;
  site_start_platform (&p->site, (guint)get_ms (line, "entries"));
  for (i = 0; i < p->site.entry_count; i++)
    {
      p->proxies[i] = soak_proxy_start (site_store_port (&p->site, i),
                                        p->site.base_port);
      site_start_entry (&p->site, i);
    }
  site_wait_ready (&p->site);
  g_assert_cmpuint (site_call (&p->site, 0, "POST", "/q/0000000000000001",
                               LONG_JOB, NULL, 0),
                    ==, 200);
  p->began_at_us = now ();
}

static void
add_clients (struct play *p, const json_t *line)
{
  gint64 count
      = json_object_get (line, "count") != NULL ? get_ms (line, "count") : 1;
  gint64 i;

  for (i = 0; i < count; i++)
    {
      struct soak_client *c = g_new0 (struct soak_client, 1);
      guint k;

      g_assert_true (soak_kind_parse (
          json_string_value (json_object_get (line, "client")), &c->kind));
      c->log = &p->log;
      c->gap_ms = (guint)(get_ms (line, "gap") + i * get_ms (line, "step"));
      c->job = c->kind == SOAK_SUBMITS
                   ? FIRST_JOB + p->clients->len * JOBS_PER_CLIENT
                   : ASKED_JOB;
      c->port_count = c->kind == SOAK_SUBMITS ? p->site.entry_count : 1;
      for (k = 0; k < c->port_count; k++)
        c->ports[k]
            = site_api_port (&p->site, (guint)(get_ms (line, "entry") + k)
                                           % p->site.entry_count);
      g_ptr_array_add (p->clients, c);
      soak_client_start (c);
    }
}

static void
stop_entry (struct play *p, guint i, gint64 back_ms)
{
  struct process *x = &p->processes[i];

  if (x->state != PROCESS_RUNS)
    return;
  x->state = PROCESS_STOPS;
  x->stopped_at_us = now ();
  x->was_paused = x->paused_until_us != 0;
  x->back_ms = back_ms;
  kill (p->site.entries[i], SIGTERM);
}

/* Returns when a process that ends now and is away for BACK_MS starts again;
   -1: when a line says so.  */
static gint64
back_time (gint64 back_ms)
{
  return back_ms < 0 ? G_MAXINT64 : now () + back_ms * 1000;
}

static void
kill_entry (struct play *p, guint i, gint64 back_ms)
{
  struct process *x = &p->processes[i];

  if (x->state == PROCESS_ENDED)
    return;
  site_stop_process (p->site.entries[i], SIGKILL);
  x->state = PROCESS_ENDED;
  x->paused_until_us = 0;
  x->start_at_us = back_time (back_ms);
  note_unplanned (p, now ());
}

static void
pause_entry (struct play *p, guint i, gint64 for_ms)
{
  struct process *x = &p->processes[i];

  if (x->state == PROCESS_ENDED)
    return;
  kill (p->site.entries[i], SIGSTOP);
  x->paused_until_us = now () + for_ms * 1000;
  x->was_paused = TRUE;
  note_unplanned (p, x->paused_until_us);
}

static void
disturb_store (struct play *p, guint i, const json_t *line)
{
  enum proxy_mode mode;

  g_assert_true (proxy_mode_parse (
      json_string_value (json_object_get (line, "mode")), &mode));
  soak_proxy_set (p->proxies[i], mode, (guint)get_ms (line, "delay"));
  p->processes[i].store_until_us = now () + get_ms (line, "for") * 1000;
  note_unplanned (p, p->processes[i].store_until_us);
}

static void
take_step (struct play *p, const json_t *line)
{
  static const gchar *const kinds[]
      = { "entries", "client", "fault", "stop", "kill",
          "pause",   "reload", "store", "start" };
  guint kind = 0;
  guint i;

  while (kind < G_N_ELEMENTS (kinds)
         && json_object_get (line, kinds[kind]) == NULL)
    kind++;
  g_assert_cmpuint (kind, <, G_N_ELEMENTS (kinds));
  i = kind >= 3 ? (guint)get_ms (line, kinds[kind]) : 0;
  switch (kind)
    {
    case 0:
      start_entries (p, line);
      break;
    case 1:
      add_clients (p, line);
      break;
    case 2:
      cluster_fault (p->site.base_port,
                     json_string_value (json_object_get (line, "fault")),
                     get_ms (line, "number"));
      break;
    case 3:
      stop_entry (p, i, get_ms (line, "back"));
      break;
    case 4:
      kill_entry (p, i, get_ms (line, "back"));
      break;
    case 5:
      pause_entry (p, i, get_ms (line, "for"));
      break;
    case 6:
      if (p->processes[i].state == PROCESS_RUNS)
        kill (p->site.entries[i], SIGHUP);
      break;
    case 7:
      disturb_store (p, i, line);
      break;
    case 8:
      p->processes[i].start_at_us = now ();
      break;
    }
}

/* Judges how entry I ended after SIGTERM, with wait status STATUS; it is
   killed if KILLED.  */
static void
judge_stop (struct play *p, guint i, int status, gboolean killed)
{
  struct process *x = &p->processes[i];
  struct span s
      = { .entry = i, .from_us = x->stopped_at_us, .until_us = now () };
  gint64 took_ms = (s.until_us - s.from_us) / 1000;

  g_array_append_val (p->stops, s);
  /* SIGTERM ends a process that does not handle signals yet: it has not begun
     to serve.  */
  if (x->was_paused
      || (WIFSIGNALED (status) && WTERMSIG (status) == SIGTERM
          && s.from_us < x->started_at_us + START_MS * 1000))
    return;
  p->result->stop_count++;
  p->result->longest_stop_ms = MAX (p->result->longest_stop_ms, took_ms);
  if (killed)
    broken (p,
            "STOP: entry %u, stopped at %" G_GINT64_FORMAT
            " ms, has not ended in the grace time",
            i, play_ms (p, s.from_us));
  else if (!WIFEXITED (status) || WEXITSTATUS (status) != 0)
    broken (p,
            "STOP: entry %u, stopped at %" G_GINT64_FORMAT
            " ms, ended with wait status %d",
            i, play_ms (p, s.from_us), status);
}

/* Ends, wakes and starts processes whose time has come.  */
static void
tick_process (struct play *p, guint i)
{
  struct process *x = &p->processes[i];
  pid_t pid = p->site.entries[i];
  int status = 0;

  if (x->paused_until_us != 0 && now () >= x->paused_until_us)
    {
      x->paused_until_us = 0;
      kill (pid, SIGCONT);
    }
  if (x->store_until_us != 0 && now () >= x->store_until_us)
    {
      x->store_until_us = 0;
      soak_proxy_set (p->proxies[i], PROXY_PASS, 0);
    }
  switch (x->state)
    {
    case PROCESS_RUNS:
      if (waitpid (pid, &status, WNOHANG) != pid)
        return;
      broken (p,
              "STOP: entry %u ended by itself at %" G_GINT64_FORMAT
              " ms with wait status %d",
              i, play_ms (p, now ()), status);
      break;
    case PROCESS_STOPS:
      if (waitpid (pid, &status, WNOHANG) == pid)
        judge_stop (p, i, status, FALSE);
      else if (now () >= x->stopped_at_us + GRACE_MS * 1000)
        {
          site_stop_process (pid, SIGKILL);
          judge_stop (p, i, 0, TRUE);
        }
      else
        return;
      break;
    case PROCESS_ENDED:
      if (now () < x->start_at_us)
        return;
      site_start_entry (&p->site, i);
      x->started_at_us = now ();
      x->state = PROCESS_RUNS;
      return;
    }
  x->state = PROCESS_ENDED;
  x->paused_until_us = 0;
  x->start_at_us = back_time (x->back_ms);
}

static void
run_until (struct play *p, gint64 at_ms)
{
  guint i;

  do
    {
      for (i = 0; i < p->site.entry_count; i++)
        tick_process (p, i);
      g_usleep (TICK_US);
    }
  while (play_ms (p, now ()) < at_ms);
}

/* Returns TRUE if a span of LIST overlaps the time.  */
static gboolean
overlaps (const GArray *list, gint64 from_us, gint64 until_us)
{
  guint i;

  for (i = 0; i < list->len; i++)
    {
      const struct span *s = &g_array_index (list, struct span, i);

      if (s->from_us <= until_us && s->until_us >= from_us)
        return TRUE;
    }
  return FALSE;
}

/* Returns TRUE if the request R was lost by an entry that was stopped.  */
static gboolean
is_lost (const struct play *p, const struct request_record *r)
{
  guint i;

  if (r->end != REQUEST_CUT
      || r->ended_at_us - r->sent_at_us <= LOSS_SLACK_MS * 1000
      || overlaps (p->unplanned, r->sent_at_us - CONTACT_MS * 1000,
                   r->ended_at_us))
    return FALSE;
  for (i = 0; i < p->stops->len; i++)
    {
      const struct span *s = &g_array_index (p->stops, struct span, i);

      if (r->port == site_api_port (&p->site, s->entry)
          && r->ended_at_us >= s->from_us
          && r->ended_at_us <= s->from_us + (GRACE_MS + AFTER_GRACE_MS) * 1000)
        return TRUE;
    }
  return FALSE;
}

/* Waits until job NUMBER is shown as completed.  */
static void
check_job (struct play *p, guint number, gint64 until_us)
{
  gchar *path = soak_job_path (number);
  gchar answer[STATE_BYTES] = "";
  guint status = 0;
  guint at = 0;

  /* Once at least: another job may have taken all of the time.  */
  do
    {
      status = site_call (&p->site, at++ % p->site.entry_count, "GET", path,
                          NULL, answer, sizeof answer);
      if (strstr (answer, "completed") == NULL)
        run_until (p, play_ms (p, now ()) + 20);
    }
  while (strstr (answer, "completed") == NULL && now () < until_us);
  if (strstr (answer, "completed") == NULL)
    broken (p, "FORGOTTEN: job %x was accepted and is told as %u %s", number,
            status, answer);
  g_free (path);
}

static void
judge_requests (struct play *p)
{
  gint64 until_us = now () + JOBS_END_MS * 1000;
  guint i;

  for (i = 0; i < p->log.records->len; i++)
    {
      const struct request_record *r
          = &g_array_index (p->log.records, struct request_record, i);

      p->result->request_count++;
      p->result->answered_count += r->end == REQUEST_ANSWERED;
      if (is_lost (p, r))
        broken (p,
                "LOST: a request (%s) of %" G_GINT64_FORMAT
                " ms to entry %u was cut after %" G_GINT64_FORMAT " ms",
                soak_kind_name (r->by), play_ms (p, r->sent_at_us),
                r->port - site_api_port (&p->site, 0),
                (r->ended_at_us - r->sent_at_us) / 1000);
      if (r->by != SOAK_SUBMITS || r->status / 100 != 2)
        continue;
      p->result->accepted_count++;
      check_job (p, r->job, until_us);
    }
}

static void
judge_runners (struct play *p)
{
  json_t *j = cluster_get (p->site.base_port, "/report");
  gint64 doubled = json_integer_value (json_object_get (j, "doubled"));
  gint64 after = json_integer_value (json_object_get (j, "after_done"));
  gint64 lapsed = json_integer_value (json_object_get (j, "lapsed"));

  g_assert_nonnull (j);
  if (doubled + after > 0)
    broken (p,
            "TWICE: %" G_GINT64_FORMAT
            " tasks ran twice at once, %" G_GINT64_FORMAT " after their end",
            doubled, after);
  if (lapsed > 0 && p->unplanned->len == 0)
    broken (p, "LAPSED: %" G_GINT64_FORMAT " runs ended with their lease",
            lapsed);
  json_decref (j);
}

/* Adds the times and changes of ownership in the log of entry I to LIST.  */
static void
read_ownership (const struct play *p, guint i, GArray *list)
{
  gchar *path = g_strdup_printf ("%s/entry-%u.json.log", p->site.directory, i);
  gchar *text = NULL;
  gchar **lines;
  guint k;

  g_assert_true (g_file_get_contents (path, &text, NULL, NULL));
  lines = g_strsplit (text, "\n", -1);
  for (k = 0; lines[k] != NULL; k++)
    {
      gboolean taken = strstr (lines[k], "\"ownership_taken\"") != NULL;
      const gchar *at = strstr (lines[k], "\"at_ms\":");

      if (at != NULL
          && (taken || strstr (lines[k], "\"ownership_released\"") != NULL
              || strstr (lines[k], "\"ownership_lost\"") != NULL))
        {
          /* Sorts by time; the lowest bit tells what it is.  */
          gint64 x = 2 * g_ascii_strtoll (at + strlen ("\"at_ms\":"), NULL, 10)
                     + taken;

          g_array_append_val (list, x);
        }
    }
  g_strfreev (lines);
  g_free (text);
  g_free (path);
}

static gint
compare_times (gconstpointer a, gconstpointer b)
{
  gint64 x = *(const gint64 *)a;
  gint64 y = *(const gint64 *)b;

  return x < y ? -1 : x > y;
}

static void
measure_ownership (struct play *p)
{
  GArray *list = g_array_new (FALSE, FALSE, sizeof (gint64));
  gint64 free_since_ms = 0;
  guint i;

  for (i = 0; i < p->site.entry_count; i++)
    read_ownership (p, i, list);
  g_array_sort (list, compare_times);
  for (i = 0; i < list->len; i++)
    {
      gint64 x = g_array_index (list, gint64, i);

      if (x % 2 == 0)
        free_since_ms = x / 2;
      else if (free_since_ms != 0)
        {
          p->result->ownerless_ms
              = MAX (p->result->ownerless_ms, x / 2 - free_since_ms);
          free_since_ms = 0;
        }
    }
  if (p->result->ownerless_ms > OWNERLESS_MS && p->unplanned->len == 0)
    broken (p, "OWNER: the cell had no owner for %" G_GINT64_FORMAT " ms",
            p->result->ownerless_ms);
  g_array_free (list, TRUE);
}

/* Copies the entries' logs of a play with a broken promise to the folder that
   FTK_SOAK_LOGS names.  */
static void
keep_logs (const struct play *p)
{
  const gchar *to = g_getenv ("FTK_SOAK_LOGS");
  gchar *command;

  if (to == NULL || p->result->broken_count == 0)
    return;
  command = g_strdup_printf ("mkdir -p '%s' && cp '%s'/*.log '%s'", to,
                             p->site.directory, to);
  g_assert_cmpint (system (command), ==, 0);
  g_free (command);
}

static void
finish (struct play *p)
{
  gboolean busy = TRUE;
  guint i;

  for (i = 0; i < p->clients->len; i++)
    {
      struct soak_client *c = g_ptr_array_index (p->clients, i);

      soak_client_join (c);
      g_free (c);
    }
  while (busy)
    {
      busy = FALSE;
      run_until (p, play_ms (p, now ()));
      for (i = 0; i < p->site.entry_count; i++)
        busy |= p->processes[i].state != PROCESS_RUNS
                || p->processes[i].paused_until_us != 0
                || p->processes[i].store_until_us != 0;
    }
  judge_requests (p);
  judge_runners (p);
  measure_ownership (p);
  keep_logs (p);
  site_stop (&p->site);
  for (i = 0; i < p->site.entry_count; i++)
    soak_proxy_stop (p->proxies[i]);
}

void
soak_play (const gchar *script, struct soak_result *r)
{
  struct play p = { .result = r };
  gchar **lines = g_strsplit (script, "\n", -1);
  guint i;

  memset (r, 0, sizeof *r);
  r->report = g_string_new (NULL);
  pthread_mutex_init (&p.log.lock, NULL);
  p.log.records = g_array_new (FALSE, FALSE, sizeof (struct request_record));
  p.clients = g_ptr_array_new ();
  p.stops = g_array_new (FALSE, FALSE, sizeof (struct span));
  p.unplanned = g_array_new (FALSE, FALSE, sizeof (struct span));
  for (i = 0; lines[i] != NULL; i++)
    {
      json_t *line;

      if (lines[i][0] != '{')
        continue;
      line = json_loads (lines[i], 0, NULL);
      g_assert_nonnull (line);
      if (p.began_at_us != 0)
        run_until (&p, get_ms (line, "at"));
      if (json_object_get (line, "end") == NULL)
        take_step (&p, line);
      json_decref (line);
    }
  finish (&p);
  g_strfreev (lines);
  g_array_free (p.log.records, TRUE);
  g_array_free (p.stops, TRUE);
  g_array_free (p.unplanned, TRUE);
  g_ptr_array_free (p.clients, TRUE);
  pthread_mutex_destroy (&p.log.lock);
  g_free (p.settings);
}
