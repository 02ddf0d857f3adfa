/* platform.c -- stand-in of the users' platform for the cases 6 to 10: store,
   cloud and runners.

   Usage: platform PORT CONFIG RECORD POOL:COUNT:CPU [POOL:COUNT:CPU ...]

   Port PORT serves the store and the cloud, and the ports after it one runner
   each, in the order of the pools.  A runner has CPU thousandths of a core and
   rejects what does not fit.  CONFIG is the file with the first configuration,
   RECORD the file to which what runners start, end and refuse is written.

   The payload of a task tells its runner what it does: "MS CPU TENANT HOW",
   with HOW one of done, failed (it fails at the end), failsN (the same for its
   first N runs that end by themselves) and lasts (it runs until it is
   stopped).

   GET /report on the first port returns counts, among them what the runners
   saw of broken rules.  POST /fault?NAME=NUMBER (tests/standin/server.c) sets
   a disruption:

     cut_mask=M       the runners whose bits are set in M are cut off from all
                      entries: calls hang, and are not carried out; they run on
     cut_from=N       the runners from index N on are cut off (0: none)
     lose_appends=N   every Nth append is carried out and not answered
     late_starts=N, late_ms=M   every Nth start is not answered, and carried
                      out M ms later, unless its runner has crashed since
     (POST /reboot?runner=N&down_ms=M) runner N, from 1 on, crashes, is down
                      for M ms and starts again under its id; it knows
                      nothing of before, and registers with its next
                      heartbeat (it crashes just after one)
     age_s=S, age_per_s=R   with POST /age: adds to the records of ended jobs,
                      which the entries have stored, those that they would have
                      stored in S seconds at R jobs a second: the same values
                      under other ids, ended up to S seconds earlier  */

#include "tests/standin/server.h"

#include <glib.h>
#include <jansson.h>
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define TOPIC_COUNT 32
#define RUNNER_LIMIT_COUNT 64
#define MEMBER_COUNT 32
#define HEARTBEAT_MS 1500
#define APPEND_MS 3
#define STOP_MS 40
#define PAGE_COUNT 500
#define PAGE_BYTES 1000000
#define ENDED_PAGE_COUNT 500
#define HOLD_MAX_MS 10000
#define MEMORY_MB 64000

struct record
{
  char *key;
  uint8_t *value;
  uint32_t value_bytes;
  int64_t offset;
};

struct topic
{
  char name[64];
  GPtrArray *log;    /* struct record, by offset.  */
  GTree *newest;     /* Key to the newest struct record with a value.  */
  int64_t epoch;
  int64_t sequence;
};

struct member
{
  char name[64];
  int64_t expires_at_ms;
};

struct task
{
  char name[80];
  int64_t run;
  int64_t started_at_ms;
  int64_t ends_at_ms; /* 0: it lasts.  */
  int64_t stops_at_ms;
  int64_t cpu;
  gboolean fails;
  char tenant[48];
};

struct ended_task
{
  int64_t number;
  char name[80];
  int64_t run;
  const char *how;
};

struct runner
{
  uint16_t port;
  int index;
  char id[32];
  char vm[32];
  char pool[48];
  int64_t cpu;
  int64_t booted_at_ms;
  int64_t token;
  int64_t lease_end_ms;
  GPtrArray *tasks;
  GPtrArray *ended;
  int64_t last_end_number;
  GHashTable *last_runs;
  int64_t down_until_ms; /* It has crashed, and starts again then.  */
};

/* What is known of a task from its starts and ends.  */
struct history
{
  int64_t failed_count; /* Runs that ended failed.  */
  int64_t start_count;
  gboolean done_noted; /* An end done was acknowledged.  */
};

static struct topic topics[TOPIC_COUNT];
static struct member members[MEMBER_COUNT];
static char partition_owner[64];
static int64_t generation;
static struct runner runners[RUNNER_LIMIT_COUNT];
static int runner_count;
static uint16_t store_port;
static GHashTable *histories;
static GHashTable *tenant_limits; /* Name to MaxCount.Cpu.  */
static int64_t attempt_limit;
static int64_t started_count, doubled_count, after_done_count, quota_count,
    budget_count, fenced_count, done_count, failed_count, lapsed_count;
static int64_t quota_worst_percent;
static FILE *record_file;
static int64_t began_at_ms;
static int64_t registered_at_ms; /* When the runners last wrote to the store. */
static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static pthread_cond_t changed = PTHREAD_COND_INITIALIZER;

static void note (const char *format, ...) G_GNUC_PRINTF (1, 2);

/* Writes a line to the record.  */
static void
note (const char *format, ...)
{
  va_list args;

  fprintf (record_file, "%8.3f platform ",
           (double)(clock_ms () - began_at_ms) / 1000);
  va_start (args, format);
  vfprintf (record_file, format, args);
  va_end (args);
  fputc ('\n', record_file);
  fflush (record_file);
}

static const char *
query_text (struct exchange *x, const char *name)
{
  const char *v = MHD_lookup_connection_value (x->connection,
                                               MHD_GET_ARGUMENT_KIND, name);

  return v != NULL ? v : "";
}

static int
compare_text (gconstpointer a, gconstpointer b, gpointer state)
{
  (void)state;
  return strcmp (a, b);
}

static struct topic *
find_topic (const char *name)
{
  int i;

  for (i = 0; i < TOPIC_COUNT && topics[i].name[0] != '\0'; i++)
    if (strcmp (topics[i].name, name) == 0)
      return &topics[i];
  if (i == TOPIC_COUNT)
    abort ();
  g_strlcpy (topics[i].name, name, sizeof topics[i].name);
  topics[i].log = g_ptr_array_new ();
  topics[i].newest = g_tree_new_full (compare_text, NULL, NULL, NULL);
  topics[i].sequence = -1;
  return &topics[i];
}

static void
store_record (struct topic *t, const char *key, size_t key_bytes,
              const void *value, size_t value_bytes)
{
  struct record *r = g_new0 (struct record, 1);

  r->key = g_strndup (key, key_bytes);
  r->value = g_memdup2 (value, value_bytes);
  r->value_bytes = (uint32_t)value_bytes;
  r->offset = t->log->len;
  g_ptr_array_add (t->log, r);
  if (value_bytes > 0)
    g_tree_replace (t->newest, r->key, r);
  else
    g_tree_remove (t->newest, r->key);
}

static uint32_t
read_u32 (const uint8_t *b)
{
  return (uint32_t)b[0] << 24 | (uint32_t)b[1] << 16 | (uint32_t)b[2] << 8
         | b[3];
}

/* Checks the producer's epoch and sequence; FALSE if it set the answer.  */
static gboolean
check_producer (struct exchange *x, struct topic *t)
{
  int64_t epoch = query_get (x, "epoch", -1);
  int64_t sequence = query_get (x, "Sequence", -1);
  int64_t end = t->log->len;

  if (epoch < 0)
    return TRUE;
  if (epoch < t->epoch)
    {
      answer_set (x, 409, "{\"Reason\":\"fenced\"}");
      return FALSE;
    }
  if (epoch == t->epoch && sequence <= t->sequence)
    {
      answer_set (x, 200, "{\"Offset\":%lld,\"End\":%lld}",
                  (long long)end - 1, (long long)end);
      return FALSE;
    }
  if (epoch == t->epoch && sequence != t->sequence + 1)
    {
      answer_set (x, 409, "{\"Reason\":\"seq\",\"Sequence\":%lld}",
                  (long long)t->sequence + 1);
      return FALSE;
    }
  t->epoch = epoch;
  t->sequence = sequence;
  return TRUE;
}

static void
append (struct exchange *x)
{
  struct topic *t = find_topic (query_text (x, "Topic"));
  int64_t at = query_get (x, "At", -1);
  int64_t first = t->log->len;
  static int64_t append_count;
  const uint8_t *b = (const uint8_t *)x->body;
  uint32_t i = 0;

  if (at >= 0 && at != first)
    {
      answer_set (x, 412, "{\"End\":%lld}", (long long)first);
      return;
    }
  if (!check_producer (x, t))
    return;
  while (i + 4 < x->body_bytes)
    {
      uint32_t n = read_u32 (b + i);
      uint32_t key_bytes = b[i + 4];

      store_record (t, (const char *)b + i + 5, key_bytes,
                    b + i + 5 + key_bytes, n - 1 - key_bytes);
      i += 4 + n;
    }
  pthread_cond_broadcast (&changed);
  append_count++;
  if (fault_get ("lose_appends") > 0
      && append_count % fault_get ("lose_appends") == 0)
    x->drop = 1;
  answer_set (x, 200, "{\"Offset\":%lld,\"End\":%u}", (long long)first,
              t->log->len);
}

static void
append_number (GByteArray *a, uint64_t n, int bytes)
{
  while (bytes-- > 0)
    {
      guint8 c = (guint8)(n >> (8 * bytes));

      g_byte_array_append (a, &c, 1);
    }
}

static void
wait_until (int64_t deadline_ms)
{
  struct timespec t = { .tv_sec = deadline_ms / 1000,
                        .tv_nsec = deadline_ms % 1000 * 1000000 };

  pthread_cond_timedwait (&changed, &lock, &t);
}

static void
read_log (struct exchange *x)
{
  struct topic *t = find_topic (query_text (x, "Topic"));
  int64_t from = query_get (x, "From", 0);
  int64_t deadline_ms = clock_ms () + query_get (x, "WaitMs", 0);
  GByteArray *a = g_byte_array_new ();
  int64_t i;

  while (t->log->len <= from && clock_ms () < deadline_ms)
    wait_until (deadline_ms);
  append_number (a, t->log->len, 8);
  append_number (a, 0, 8);
  for (i = from; i < t->log->len && a->len < 1024 * 1024; i++)
    {
      const struct record *r = g_ptr_array_index (t->log, (guint)i);
      uint32_t key_bytes = (uint32_t)strlen (r->key);

      append_number (a, 1 + key_bytes + r->value_bytes, 4);
      append_number (a, key_bytes, 1);
      g_byte_array_append (a, (const guint8 *)r->key, key_bytes);
      if (r->value_bytes > 0)
        g_byte_array_append (a, r->value, r->value_bytes);
    }
  x->status = 200;
  x->answer_bytes = a->len;
  x->answer = malloc (a->len);
  memcpy (x->answer, a->data, a->len);
  g_byte_array_free (a, TRUE);
}

/* Answers with a page of each key's newest record, past After.  */
static void
read_newest (struct exchange *x)
{
  struct topic *t = find_topic (query_text (x, "Topic"));
  const char *after = query_text (x, "After");
  GTreeNode *n = after[0] != '\0' ? g_tree_upper_bound (t->newest, after)
                                  : g_tree_node_first (t->newest);
  GString *out = g_string_new ("{\"items\":[");
  int count = 0;

  for (; n != NULL && count < PAGE_COUNT && out->len < PAGE_BYTES;
       n = g_tree_node_next (n))
    {
      const struct record *r = g_tree_node_value (n);
      gchar *text = g_base64_encode (r->value, r->value_bytes);

      g_string_append_printf (
          out, "%s{\"Key\":\"%s\",\"Value\":\"%s\",\"Offset\":%lld}",
          count++ > 0 ? "," : "", r->key, text, (long long)r->offset);
      g_free (text);
    }
  g_string_append_printf (out, "],\"HasMore\":%s,\"End\":%u}",
                          n != NULL ? "true" : "false", t->log->len);
  x->answer_bytes = (uint32_t)out->len;
  x->answer = malloc (out->len + 1);
  memcpy (x->answer, out->str, out->len + 1);
  x->status = 200;
  g_string_free (out, TRUE);
}

static struct member *
find_member (const char *name, gboolean create)
{
  int i;

  for (i = 0; i < MEMBER_COUNT; i++)
    if (strcmp (members[i].name, name) == 0)
      return &members[i];
  for (i = 0; create && i < MEMBER_COUNT; i++)
    if (members[i].name[0] == '\0')
      {
        g_strlcpy (members[i].name, name, sizeof members[i].name);
        generation++;
        return &members[i];
      }
  return NULL;
}

static void
drop_member (struct member *m)
{
  if (strcmp (partition_owner, m->name) == 0)
    partition_owner[0] = '\0';
  m->name[0] = '\0';
  generation++;
}

static void
expire_members (void)
{
  int i;

  for (i = 0; i < MEMBER_COUNT; i++)
    if (members[i].name[0] != '\0' && clock_ms () > members[i].expires_at_ms)
      drop_member (&members[i]);
}

static void
handle_membership (struct exchange *x)
{
  json_t *j = json_loadb (x->body, x->body_bytes, 0, NULL);
  const char *name = json_string_value (json_object_get (j, "Member"));
  struct member *m;

  expire_members ();
  if (name == NULL)
    answer_set (x, 400, "{}");
  else if (strcmp (x->url, "/api/log-leave") == 0)
    {
      m = find_member (name, FALSE);
      if (m != NULL)
        drop_member (m);
      answer_set (x, 200, "{}");
    }
  else
    {
      m = find_member (name, TRUE);
      m->expires_at_ms
          = clock_ms () + json_integer_value (json_object_get (j, "TtlMs"));
      if (partition_owner[0] == '\0')
        {
          g_strlcpy (partition_owner, name, sizeof partition_owner);
          note ("cell assigned to %s", name);
        }
      answer_set (x, 200, "{\"Generation\":%lld,\"parts\":[%s]}",
                  (long long)generation,
                  strcmp (partition_owner, name) == 0 ? "[\"cells\",0,0]"
                                                      : "");
    }
  json_decref (j);
}

static void
list_owners (struct exchange *x)
{
  expire_members ();
  if (partition_owner[0] != '\0')
    answer_set (x, 200, "{\"parts\":[[\"cells\",0,\"%s\",0]]}",
                partition_owner);
  else
    answer_set (x, 200, "{\"parts\":[]}");
}

static void
list_vms (struct exchange *x)
{
  json_t *list = json_array ();
  json_t *j;
  int i;

  for (i = 0; i < runner_count; i++)
    json_array_append_new (
        list, json_pack ("{s:s,s:s,s:s,s:s,s:s,s:[s,s],s:{s:I,s:i}}",
                         "Machine", runners[i].vm, "Pool", runners[i].pool,
                         "State", "up", "Id", runners[i].id, "Zone", "z",
                         "Labels", "a", "rack", "Room", "Cpu",
                         (json_int_t)runners[i].cpu, "MemMb", MEMORY_MB));
  j = json_pack ("{s:o,s:s}", "Machines", list, "NextPageToken", "");
  x->answer = json_dumps (j, JSON_COMPACT);
  x->answer_bytes = (uint32_t)strlen (x->answer);
  x->status = 200;
  json_decref (j);
}

static struct history *
find_history (const char *name)
{
  struct history *h = g_hash_table_lookup (histories, name);

  if (h == NULL)
    {
      h = g_new0 (struct history, 1);
      g_hash_table_insert (histories, g_strdup (name), h);
    }
  return h;
}

static void
end_task (struct runner *r, struct task *t, const char *how)
{
  struct ended_task *e = g_new0 (struct ended_task, 1);

  note ("%s end %s run %lld %s", r->id, t->name, (long long)t->run, how);
  done_count += strcmp (how, "done") == 0;
  lapsed_count += strcmp (how, "lapsed") == 0;
  if (strcmp (how, "failed") == 0)
    {
      failed_count++;
      find_history (t->name)->failed_count++;
    }
  e->number = ++r->last_end_number;
  g_strlcpy (e->name, t->name, sizeof e->name);
  e->run = t->run;
  e->how = how;
  g_ptr_array_add (r->ended, e);
  g_hash_table_insert (r->last_runs, g_strdup (t->name),
                       GINT_TO_POINTER ((int)t->run));
  g_ptr_array_remove (r->tasks, t);
  g_free (t);
}

static void
end_due_tasks (struct runner *r)
{
  int64_t now = clock_ms ();
  guint i = 0;

  while (i < r->tasks->len)
    {
      struct task *t = g_ptr_array_index (r->tasks, i);

      if (t->stops_at_ms > 0 && now >= t->stops_at_ms)
        end_task (r, t, "stopped");
      else if (t->ends_at_ms > 0 && now >= t->ends_at_ms)
        end_task (r, t, t->fails ? "failed" : "done");
      else if (now - r->booted_at_ms > r->lease_end_ms)
        end_task (r, t, "lapsed");
      else
        i++;
    }
}

static struct task *
find_task (struct runner *r, const char *name)
{
  guint i;

  for (i = 0; i < r->tasks->len; i++)
    if (strcmp (((struct task *)g_ptr_array_index (r->tasks, i))->name, name)
        == 0)
      return g_ptr_array_index (r->tasks, i);
  return NULL;
}

static gboolean
is_cut (const struct runner *r)
{
  int64_t from = fault_get ("cut_from");

  return clock_ms () < r->down_until_ms
         || ((fault_get ("cut_mask") >> r->index) & 1) != 0
         || (from > 0 && r->index >= from);
}

/* Judges the start of T on R by the rules TWICE, BUDGET and QUOTA.  */
static void
judge_start (struct runner *r, const struct task *t)
{
  struct history *h = find_history (t->name);
  int64_t sum = 0;
  int64_t limit
      = GPOINTER_TO_INT (g_hash_table_lookup (tenant_limits, t->tenant));
  int i;
  guint k;

  started_count++;
  h->start_count++;
  if (h->done_noted)
    {
      after_done_count++;
      note ("BROKEN TWICE: %s run %lld starts on %s after its end done was "
            "taken note of",
            t->name, (long long)t->run, r->id);
    }
  if (attempt_limit > 0 && t->ends_at_ms > 0
      && h->failed_count >= attempt_limit)
    {
      budget_count++;
      note ("BROKEN BUDGET: %s starts after %lld failed runs", t->name,
            (long long)h->failed_count);
    }
  for (i = 0; i < runner_count; i++)
    {
      end_due_tasks (&runners[i]);
      if (&runners[i] != r && find_task (&runners[i], t->name) != NULL)
        {
          doubled_count++;
          note ("BROKEN TWICE: %s runs on %s and %s", t->name, r->id,
                runners[i].id);
        }
      for (k = 0; k < runners[i].tasks->len; k++)
        {
          const struct task *o = g_ptr_array_index (runners[i].tasks, k);

          if (strcmp (o->tenant, t->tenant) == 0)
            sum += o->cpu;
        }
    }
  /* MaxCount x (1 + QuotaOverage), and one task more.  */
  sum += t->cpu;
  if (limit > 0 && sum * 100 / limit > quota_worst_percent)
    quota_worst_percent = sum * 100 / limit;
  if (limit > 0 && sum > limit * 11 / 10 + t->cpu)
    {
      quota_count++;
      note ("BROKEN QUOTA: %s starts on %s, %s has %lld running, MaxCount is "
            "%lld",
            t->name, r->id, t->tenant, (long long)sum, (long long)limit);
    }
}

/* R crashes and starts again under its id after DOWN_MS.  */
static void
reboot (struct runner *r, int64_t down_ms)
{
  while (r->tasks->len > 0)
    {
      struct task *t = g_ptr_array_index (r->tasks, 0);

      note ("%s crash ends %s run %lld", r->id, t->name, (long long)t->run);
      g_ptr_array_remove_index (r->tasks, 0);
      g_free (t);
    }
  g_ptr_array_set_size (r->ended, 0);
  g_hash_table_remove_all (r->last_runs);
  r->last_end_number = 0;
  r->token = 0;
  r->lease_end_ms = 0;
  r->down_until_ms = r->booted_at_ms = clock_ms () + down_ms;
  note ("%s has crashed, it is back in %lld ms", r->id, (long long)down_ms);
}

/* Starts the task in J; returns NULL, or the reason why not.  */
static const char *
start_task (struct runner *r, json_t *j)
{
  const char *name = json_string_value (json_object_get (j, "Task"));
  int64_t run = json_integer_value (json_object_get (j, "Run"));
  int64_t lease_end_ms = json_integer_value (json_object_get (j, "UntilMs"));
  const char *spec = json_string_value (json_object_get (j, "Spec"));
  struct task *t = find_task (r, name);
  int64_t clock = clock_ms () - r->booted_at_ms;
  long long ms = 0;
  long long cpu = 0;
  char how[16] = "";
  int64_t used = 0;
  guint i;

  if (lease_end_ms < clock)
    return "late";
  r->lease_end_ms
      = MAX (r->lease_end_ms, MIN (lease_end_ms, clock + HOLD_MAX_MS));
  if (t != NULL)
    return t->run == run ? NULL : "old";
  if (run <= GPOINTER_TO_INT (g_hash_table_lookup (r->last_runs, name)))
    return "old";
  t = g_new0 (struct task, 1);
  sscanf (spec != NULL ? spec : "", "%lld %lld %47s %15s", &ms, &cpu,
          t->tenant, how);
  for (i = 0; i < r->tasks->len; i++)
    used += ((struct task *)g_ptr_array_index (r->tasks, i))->cpu;
  if (used + cpu > r->cpu)
    {
      g_free (t);
      return "room";
    }
  g_strlcpy (t->name, name, sizeof t->name);
  t->run = run;
  t->cpu = cpu;
  t->started_at_ms = clock_ms ();
  t->ends_at_ms = strcmp (how, "lasts") == 0 ? 0 : t->started_at_ms + ms;
  t->fails = strcmp (how, "failed") == 0
             || (g_str_has_prefix (how, "fails")
                 && find_history (name)->failed_count < atoi (how + 5));
  note ("%s start %s run %lld token %lld", r->id, name, (long long)run,
        (long long)r->token);
  judge_start (r, t);
  g_ptr_array_add (r->tasks, t);
  return NULL;
}

static void
stop_task (struct runner *r, json_t *j)
{
  const char *name = json_string_value (json_object_get (j, "Task"));
  int64_t run = json_integer_value (json_object_get (j, "Run"));
  struct task *t = find_task (r, name);
  int last = GPOINTER_TO_INT (g_hash_table_lookup (r->last_runs, name));

  if (t != NULL && t->run <= run)
    t->stops_at_ms = clock_ms () + STOP_MS;
  else if (t == NULL)
    g_hash_table_insert (r->last_runs, g_strdup (name),
                         GINT_TO_POINTER (MAX ((int)run, last)));
}

static void
acknowledge_ends (struct runner *r, int64_t number)
{
  while (r->ended->len > 0)
    {
      struct ended_task *e = g_ptr_array_index (r->ended, 0);

      if (e->number > number)
        return;
      if (strcmp (e->how, "done") == 0)
        find_history (e->name)->done_noted = TRUE;
      g_ptr_array_remove_index (r->ended, 0);
      g_free (e);
    }
}

static int
progress_percent (const struct task *t)
{
  int64_t run_ms = MAX (t->ends_at_ms - t->started_at_ms, 1);

  return t->ends_at_ms == 0
             ? 100
             : (int)MIN ((clock_ms () - t->started_at_ms) * 100 / run_ms, 100);
}

static void
poll_runner (struct exchange *x, struct runner *r, json_t *j)
{
  int64_t clock = clock_ms () - r->booted_at_ms;
  int64_t deadline_ms
      = clock_ms () + json_integer_value (json_object_get (j, "WaitMs"));
  int64_t until = json_integer_value (json_object_get (j, "UntilMs"));
  json_t *running = json_array ();
  json_t *ended = json_array ();
  json_t *out;
  guint i;

  r->lease_end_ms
      = MAX (r->lease_end_ms, MIN (until, clock + HOLD_MAX_MS));
  acknowledge_ends (r, json_integer_value (json_object_get (j, "LastSeen")));
  while (r->ended->len == 0 && clock_ms () < deadline_ms)
    {
      wait_until (MIN (deadline_ms, clock_ms () + 10));
      end_due_tasks (r);
    }
  for (i = 0; i < r->tasks->len; i++)
    {
      const struct task *t = g_ptr_array_index (r->tasks, i);

      json_array_append_new (running, json_pack ("[s,I,s,i,i]", t->name,
                                                 (json_int_t)t->run, "",
                                                 progress_percent (t), 0));
    }
  for (i = 0; i < r->ended->len && i < ENDED_PAGE_COUNT; i++)
    {
      const struct ended_task *e = g_ptr_array_index (r->ended, i);

      json_array_append_new (
          ended, json_pack ("[I,s,I,s,s]", (json_int_t)e->number, e->name,
                            (json_int_t)e->run, e->how, ""));
    }
  out = json_pack ("{s:I,s:I,s:o,s:o}", "ClockMs",
                   (json_int_t)(clock_ms () - r->booted_at_ms), "born",
                   (json_int_t)r->booted_at_ms, "Running", running, "Ended",
                   ended);
  x->answer = json_dumps (out, JSON_COMPACT);
  x->answer_bytes = (uint32_t)strlen (x->answer);
  x->status = 200;
  json_decref (out);
}

static void
answer_runner (struct exchange *x, const struct runner *r, const char *reason)
{
  long long clock = clock_ms () - r->booted_at_ms;

  if (reason == NULL)
    answer_set (x, 200, "{\"ClockMs\":%lld,\"born\":%lld}", clock,
                (long long)r->booted_at_ms);
  else
    answer_set (x, 409, "{\"ClockMs\":%lld,\"born\":%lld,\"Reason\":\"%s\"}",
                clock, (long long)r->booted_at_ms, reason);
}

/* Carries out a start late, without an answer: it is one of those that are to
   be late.  Returns TRUE if so.  */
static gboolean
is_late_start (struct exchange *x)
{
  static int64_t count;
  int64_t every = fault_get ("late_starts");

  if (every == 0 || strcmp (x->url, "/api/run-start") != 0
      || ++count % every != 0)
    return FALSE;
  pthread_mutex_unlock (&lock);
  sleep_ms (fault_get ("late_ms"));
  pthread_mutex_lock (&lock);
  x->drop = 1;
  return TRUE;
}

static void
handle_runner (struct exchange *x, struct runner *r)
{
  json_t *j;
  int64_t token;
  int64_t booted_at_ms;

  /* Behind a cut a call gets no answer, and none comes later.  */
  if (is_cut (r))
    {
      while (is_cut (r))
        {
          pthread_mutex_unlock (&lock);
          sleep_ms (20);
          pthread_mutex_lock (&lock);
        }
      x->drop = 1;
      return;
    }
  booted_at_ms = r->booted_at_ms;
  if (is_late_start (x))
    {
      if (r->booted_at_ms != booted_at_ms)
        return;
      note ("%s gets a start late", r->id);
    }
  j = json_loadb (x->body, x->body_bytes, 0, NULL);
  token = json_integer_value (json_object_get (j, "FencingToken"));
  end_due_tasks (r);
  if (token < r->token)
    {
      fenced_count++;
      answer_runner (x, r, "fence");
      json_decref (j);
      return;
    }
  r->token = token;
  if (strcmp (x->url, "/api/hold") == 0)
    poll_runner (x, r, j);
  else if (strcmp (x->url, "/api/run-start") == 0)
    answer_runner (x, r, start_task (r, j));
  else if (strcmp (x->url, "/api/run-stop") == 0)
    {
      stop_task (r, j);
      answer_runner (x, r, NULL);
    }
  else
    answer_runner (x, r, NULL);
  json_decref (j);
  /* An answer that is under way when the cut begins is lost.  */
  if (is_cut (r))
    x->drop = 1;
}

static void
report (struct exchange *x)
{
  json_t *j;
  int64_t running = 0;
  int i;

  for (i = 0; i < runner_count; i++)
    {
      end_due_tasks (&runners[i]);
      running += runners[i].tasks->len;
    }
  j = json_pack (
      "{s:I,s:I,s:I,s:I,s:I,s:I,s:I,s:I,s:I,s:I,s:I,s:s,s:I}", "started",
      (json_int_t)started_count, "running", (json_int_t)running, "done",
      (json_int_t)done_count, "failed", (json_int_t)failed_count, "lapsed",
      (json_int_t)lapsed_count, "fenced", (json_int_t)fenced_count, "doubled",
      (json_int_t)doubled_count, "after_done", (json_int_t)after_done_count,
      "budget", (json_int_t)budget_count, "quota", (json_int_t)quota_count,
      "quota_percent", (json_int_t)quota_worst_percent, "owner",
      partition_owner, "records",
      (json_int_t)g_tree_nnodes (find_topic ("keyed.work")->newest));
  x->answer = json_dumps (j, JSON_COMPACT);
  x->answer_bytes = (uint32_t)strlen (x->answer);
  x->status = 200;
  json_decref (j);
}

/* Sets *AT to the place of the first unsigned 64-bit number of a msgpack value
   that is a Unix time in milliseconds; returns FALSE if there is none.  */
static gboolean
find_time (const struct record *r, uint32_t *at)
{
  uint32_t i;
  uint64_t n;
  int k;

  for (i = 0; i + 9 <= r->value_bytes; i++)
    {
      if (r->value[i] != 0xcf)
        continue;
      for (n = 0, k = 1; k <= 8; k++)
        n = n << 8 | r->value[i + (uint32_t)k];
      if (n > 1600000000000u && n < 4000000000000u)
        {
          *at = i + 1;
          return TRUE;
        }
    }
  return FALSE;
}

static gboolean
collect_final (gpointer key, gpointer value, gpointer state)
{
  const struct record *r = value;
  uint32_t at;

  /* ID.p: the state of a job; that of an ended one has the time of its end. */
  if (strlen (key) == 18 && g_str_has_suffix (key, ".p") && find_time (r, &at))
    g_ptr_array_add (state, value);
  return FALSE;
}

/* Adds the records of age_s seconds at age_per_s ended jobs a second.  */
static void
age (struct exchange *x)
{
  struct topic *t = find_topic ("keyed.work");
  GPtrArray *models = g_ptr_array_new ();
  int64_t span_ms = fault_get ("age_s") * 1000;
  int64_t n = fault_get ("age_s") * fault_get ("age_per_s");
  int64_t i;

  g_tree_foreach (t->newest, collect_final, models);
  for (i = 0; i < n && models->len > 0; i++)
    {
      const struct record *m
          = g_ptr_array_index (models, (guint)(i % models->len));
      uint8_t *value = g_memdup2 (m->value, m->value_bytes);
      char key[32];
      uint32_t at = 0;
      uint64_t ended = 0;
      int k;

      find_time (m, &at);
      for (k = 0; k < 8; k++)
        ended = ended << 8 | value[at + (uint32_t)k];
      ended -= (uint64_t)(span_ms - i * span_ms / n);
      for (k = 0; k < 8; k++)
        value[at + (uint32_t)k] = (uint8_t)(ended >> (8 * (7 - k)));
      snprintf (key, sizeof key, "%08x%08x.p", g_random_int (),
                g_random_int ());
      store_record (t, key, strlen (key), value, m->value_bytes);
      g_free (value);
      /* The store answers others meanwhile.  */
      if (i % 500 == 499)
        {
          pthread_mutex_unlock (&lock);
          sleep_ms (1);
          pthread_mutex_lock (&lock);
        }
    }
  note ("aged: %lld records of ended jobs after %u models",
        (long long)(models->len > 0 ? n : 0), models->len);
  answer_set (x, models->len > 0 ? 200 : 500, "{\"added\":%lld}",
              (long long)n);
  g_ptr_array_free (models, TRUE);
}

/* Replaces the configuration by the body of X.  */
static void
set_config (struct exchange *x)
{
  json_t *j = json_loadb (x->body, x->body_bytes, 0, NULL);
  json_t *row;
  size_t i;

  json_array_foreach (json_object_get (j, "Tenants"), i, row)
      g_hash_table_insert (
          tenant_limits,
          g_strdup (json_string_value (json_object_get (row, "Name"))),
          GINT_TO_POINTER ((int)json_integer_value (json_object_get (
              json_object_get (row, "MaxCount"), "Cpu"))));
  json_array_foreach (json_object_get (j, "Routes"), i, row) attempt_limit
      = json_integer_value (json_object_get (row, "MaxAttempts"));
  store_record (find_topic ("keyed.op"), "config", 6, x->body, x->body_bytes);
  pthread_cond_broadcast (&changed);
  json_decref (j);
  answer_set (x, 200, "{}");
}

static void
handle_store (struct exchange *x)
{
  if (strcmp (x->url, "/api/log-append") == 0)
    append (x);
  else if (strcmp (x->url, "/api/log-read") == 0)
    read_log (x);
  else if (strcmp (x->url, "/api/log-newest") == 0)
    read_newest (x);
  else if (strcmp (x->url, "/api/log-owners") == 0)
    list_owners (x);
  else if (strcmp (x->url, "/api/machines") == 0)
    list_vms (x);
  else if (strcmp (x->url, "/report") == 0)
    report (x);
  else if (strcmp (x->url, "/age") == 0)
    age (x);
  else if (strcmp (x->url, "/config") == 0)
    set_config (x);
  else if (strcmp (x->url, "/reboot") == 0)
    {
      int n = (int)query_get (x, "runner", 0);

      while (clock_ms () > registered_at_ms + 30)
        {
          pthread_mutex_unlock (&lock);
          sleep_ms (5);
          pthread_mutex_lock (&lock);
        }
      if (n > 0 && n <= runner_count)
        reboot (&runners[n - 1], query_get (x, "down_ms", 0));
      answer_set (x, 200, "{}");
    }
  else
    handle_membership (x);
}

static void
handle (struct exchange *x)
{
  int i;

  if (strcmp (x->url, "/api/log-append") == 0)
    sleep_ms (APPEND_MS);
  pthread_mutex_lock (&lock);
  if (x->port == store_port)
    handle_store (x);
  for (i = 0; i < runner_count; i++)
    if (runners[i].port == x->port)
      handle_runner (x, &runners[i]);
  pthread_mutex_unlock (&lock);
}

static void *
write_registrations (void *state)
{
  int64_t sequence = 0;
  int i;

  (void)state;
  for (;;)
    {
      pthread_mutex_lock (&lock);
      for (i = 0; i < runner_count; i++)
        {
          char value[400];

          if (clock_ms () < runners[i].down_until_ms)
            continue;
          g_snprintf (value, sizeof value,
                      "{\"Service\":\"%s\",\"Address\":\"127.0.0.1:%u\","
                      "\"Zone\":\"z\",\"Version\":\"1\",\"Slots\":8,"
                      "\"State\":\"ready\",\"born\":%lld,"
                      "\"Room\":{\"Cpu\":%lld,\"MemMb\":%d,\"Gpu\":0},"
                      "\"Labels\":[\"a\",\"rack\"],\"Sequence\":%lld}",
                      runners[i].pool, runners[i].port,
                      (long long)runners[i].booted_at_ms,
                      (long long)runners[i].cpu, MEMORY_MB,
                      (long long)sequence);
          store_record (find_topic ("keyed.servers"), runners[i].id,
                        strlen (runners[i].id), value, strlen (value));
        }
      sequence++;
      registered_at_ms = clock_ms ();
      pthread_cond_broadcast (&changed);
      pthread_mutex_unlock (&lock);
      sleep_ms (HEARTBEAT_MS);
    }
  return NULL;
}

static void
add_pool (char *text)
{
  char *count = strchr (text, ':');
  char *cpu = count != NULL ? strchr (count + 1, ':') : NULL;
  int n;

  if (cpu == NULL)
    exit (2);
  *count++ = '\0';
  *cpu++ = '\0';
  for (n = atoi (count); n > 0 && runner_count < RUNNER_LIMIT_COUNT; n--)
    {
      struct runner *r = &runners[runner_count];

      r->index = runner_count++;
      r->port = (uint16_t)(store_port + runner_count);
      snprintf (r->id, sizeof r->id, "r-%u", r->port);
      snprintf (r->vm, sizeof r->vm, "m-%u", r->port);
      g_strlcpy (r->pool, text, sizeof r->pool);
      r->cpu = atoll (cpu);
      r->booted_at_ms = clock_ms ();
      r->tasks = g_ptr_array_new ();
      r->ended = g_ptr_array_new ();
      r->last_runs = g_hash_table_new (g_str_hash, g_str_equal);
    }
}

int
main (int argc, char **argv)
{
  struct exchange x = { 0 };
  gsize config_bytes = 0;
  pthread_t t;
  int i;

  if (argc < 5)
    return 2;
  store_port = (uint16_t)atoi (argv[1]);
  began_at_ms = clock_ms ();
  record_file = fopen (argv[3], "a");
  if (record_file == NULL
      || !g_file_get_contents (argv[2], &x.body, &config_bytes, NULL))
    return 2;
  x.body_bytes = (uint32_t)config_bytes;
  histories = g_hash_table_new (g_str_hash, g_str_equal);
  tenant_limits = g_hash_table_new (g_str_hash, g_str_equal);
  set_config (&x);
  for (i = 4; i < argc; i++)
    add_pool (argv[i]);
  pthread_create (&t, NULL, write_registrations, NULL);
  standin_handler = handle;
  return standin_serve (store_port, (uint16_t)(store_port + runner_count));
}
