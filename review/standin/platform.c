/* platform.c -- stand-in of the users' platform for the cases of the review:
   the store, the list of VMs and the runners, as PROTOCOL.md describes them.

   Usage: platform SETTINGS RECORD.  SETTINGS is JSON: `port` of the store and
   the cloud, `runners` ([{"port":N,"pool":"p"}, ...]), `answer_ms` and
   `append_ms` of the store, `record_bytes` and `call_bytes`, and `clock_milli`,
   the speed of the runners' clocks in thousandths.  Each runner has 8 cores, on a VM of its own; it starts what it is told to if there is room.
   A task's `Spec` is "MS CPU TENANT": how long it runs, the thousandths of a
   core that it takes, and whose it is.  RECORD gets a line for each start and
   end of a task.

   Calls of the tests, on the first port:
     POST /operator            the body is written as op/config
     POST /fault?cut_PORT=1    the runner at PORT answers nobody and runs on
     POST /age?key=K&from=I&count=N
                               adds copies of the newest record of keyed.work
                               with key K, under the N other ids from I on
     GET /report               tasks that run, by tenant; the most at a time;
                               ends listed and taken note of  */

#include "tests/standin/server.h"

#include <glib.h>
#include <jansson.h>
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define TOPIC_COUNT 16
#define MEMBER_COUNT 32
#define RUNNER_COUNT 32
#define STATUS_INTERVAL_MS 1500
#define CPU_MILLI 8000
#define PAGE_COUNT 500
#define REPLAY_COUNT 5
#define HOLD_MAX_MS 10000
#define STOP_MS 100

struct record
{
  char *key;
  guint8 *value;
  gsize value_bytes;
  gint64 offset;
};

struct topic
{
  char name[64];
  GPtrArray *records;
  GTree *newest; /* Key to record.  */
  gint64 epoch;
  gint64 sequence;
  gint64 replays[REPLAY_COUNT]; /* First offsets of the newest appends.  */
};

struct member
{
  char name[64];
  gint64 expires_at_ms;
};

struct task
{
  char name[64];
  char tenant[32];
  gint64 run;
  gint64 cpu_milli;
  gint64 started_at_ms;
  gint64 ends_at_ms;
  gint64 stops_at_ms; /* 0 if it was not told to stop.  */
};

struct ended_task
{
  gint64 number;
  char name[64];
  gint64 run;
  const char *how;
};

struct runner
{
  guint16 port;
  char id[32];
  char vm[32];
  char pool[32];
  gint64 born_ms;
  gint64 token;
  gint64 lease_end_ms; /* On its own clock.  */
  GPtrArray *tasks;
  GPtrArray *ended;
  gint64 last_end_number;
  GHashTable *last_runs;
};

static struct topic topics[TOPIC_COUNT];
static struct member members[MEMBER_COUNT];
static char partition_owner[64];
static gint64 generation;
static struct runner runners[RUNNER_COUNT];
static int runner_count;
static guint16 store_port;
static gint64 answer_ms;
static gint64 append_ms;
static gint64 record_bytes;
static gint64 call_bytes;
static gint64 clock_milli; /* Speed of the runners' clocks.  */
static gint64 doubled_count; /* Starts of tasks that run elsewhere.  */
static gint64 ended_count;
static gint64 acked_count;
static GHashTable *used; /* Tenant to thousandths of cores in use.  */
static GHashTable *peak; /* The most of them at a time.  */
static FILE *record_file;
static gint64 begun_at_ms;
static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static pthread_cond_t changed = PTHREAD_COND_INITIALIZER;

static gint64
now_ms (void)
{
  return g_get_monotonic_time () / 1000;
}

/* Returns the time on R's own steady clock.  */
static gint64
runner_clock_ms (const struct runner *r)
{
  return (clock_ms () - r->born_ms) * clock_milli / 1000;
}

static void
note (const char *format, ...)
{
  va_list args;

  fprintf (record_file, "%8.3f runner ",
           (double)(clock_ms () - begun_at_ms) / 1000);
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

static gint
compare_names (gconstpointer a, gconstpointer b, gpointer state)
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
  topics[i].records = g_ptr_array_new ();
  topics[i].newest = g_tree_new_full (compare_names, NULL, NULL, NULL);
  topics[i].sequence = -1;
  return &topics[i];
}

static void
store_record (struct topic *t, const char *key, gsize key_bytes,
              const void *value, gsize value_bytes)
{
  struct record *r = g_new0 (struct record, 1);

  r->key = g_strndup (key, key_bytes);
  r->value = g_memdup2 (value, value_bytes);
  r->value_bytes = value_bytes;
  r->offset = t->records->len;
  g_ptr_array_add (t->records, r);
  if (value_bytes > 0)
    g_tree_replace (t->newest, r->key, r);
  else
    g_tree_remove (t->newest, r->key);
}

static guint32
read_u32 (const guint8 *b)
{
  return (guint32)b[0] << 24 | (guint32)b[1] << 16 | (guint32)b[2] << 8 | b[3];
}

/* Returns true if the framing and the sizes of the body are right.  */
static gboolean
check_body (const struct exchange *x)
{
  const guint8 *b = (const guint8 *)x->body;
  guint32 i = 0;

  if (x->body_bytes > (guint32)call_bytes)
    return FALSE;
  while (i < x->body_bytes)
    {
      guint32 n;

      if (x->body_bytes - i < 4)
        return FALSE;
      n = read_u32 (b + i);
      i += 4;
      if (n > (guint32)record_bytes || n > x->body_bytes - i || n == 0)
        return FALSE;
      i += n;
    }
  return TRUE;
}

/* Checks the producer's epoch and sequence; false if it set the answer.  */
static gboolean
check_producer (struct exchange *x, struct topic *t)
{
  gint64 epoch = query_get (x, "epoch", -1);
  gint64 sequence = query_get (x, "Sequence", -1);

  if (epoch < 0)
    return TRUE;
  if (epoch < t->epoch)
    {
      answer_set (x, 409, "{\"Reason\":\"fenced\"}");
      return FALSE;
    }
  if (epoch == t->epoch && sequence <= t->sequence
      && sequence > t->sequence - REPLAY_COUNT)
    {
      gint64 first = t->replays[sequence % REPLAY_COUNT];

      answer_set (x, 200, "{\"Offset\":%lld,\"End\":%lld}", (long long)first,
                  (long long)t->records->len);
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
  t->replays[sequence % REPLAY_COUNT] = t->records->len;
  return TRUE;
}

static void
append (struct exchange *x)
{
  struct topic *t = find_topic (query_text (x, "Topic"));
  gint64 at = query_get (x, "At", -1);
  gint64 first = t->records->len;
  const guint8 *b = (const guint8 *)x->body;
  guint32 i = 0;

  if (at >= 0 && at != first)
    {
      answer_set (x, 412, "{\"End\":%lld}", (long long)first);
      return;
    }
  if (!check_body (x))
    {
      fprintf (record_file, "%8.3f store  refused an append of %u bytes to %s\n",
               (double)(clock_ms () - begun_at_ms) / 1000, x->body_bytes,
               t->name);
      fflush (record_file);
      answer_set (x, 400, "{\"Error\":\"a record or a call is too large\"}");
      return;
    }
  if (!check_producer (x, t))
    return;
  while (i < x->body_bytes)
    {
      guint32 n = read_u32 (b + i);
      guint32 key_bytes = b[i + 4];

      store_record (t, (const char *)b + i + 5, key_bytes,
                    b + i + 5 + key_bytes, n - 1 - key_bytes);
      i += 4 + n;
    }
  pthread_cond_broadcast (&changed);
  answer_set (x, 200, "{\"Offset\":%lld,\"End\":%lld}", (long long)first,
              (long long)t->records->len);
}

static void
append_number (GByteArray *a, guint64 n, int bytes)
{
  while (bytes-- > 0)
    {
      guint8 c = (guint8)(n >> (8 * bytes));

      g_byte_array_append (a, &c, 1);
    }
}

/* Releases the lock; waits for a change until DEADLINE_MS of now_ms.  */
static void
wait_until (gint64 deadline_ms)
{
  gint64 left_ms = MAX (deadline_ms - now_ms (), 1);
  gint64 at_ms = clock_ms () + left_ms;
  struct timespec t = { .tv_sec = at_ms / 1000,
                        .tv_nsec = at_ms % 1000 * 1000000 };

  pthread_cond_timedwait (&changed, &lock, &t);
}

static void
read_log (struct exchange *x)
{
  struct topic *t = find_topic (query_text (x, "Topic"));
  gint64 from = query_get (x, "From", 0);
  gint64 most_bytes = query_get (x, "MaxKb", 1024) * 1024;
  gint64 deadline_ms = now_ms () + query_get (x, "WaitMs", 0);
  GByteArray *a = g_byte_array_new ();
  gint64 i;

  while (t->records->len <= from && now_ms () < deadline_ms)
    wait_until (deadline_ms);
  append_number (a, t->records->len, 8);
  append_number (a, 0, 8);
  for (i = from; i < t->records->len && a->len < most_bytes; i++)
    {
      const struct record *r = g_ptr_array_index (t->records, i);
      gsize key_bytes = strlen (r->key);

      append_number (a, 1 + key_bytes + r->value_bytes, 4);
      append_number (a, key_bytes, 1);
      g_byte_array_append (a, (const guint8 *)r->key, (guint)key_bytes);
      g_byte_array_append (a, r->value, (guint)r->value_bytes);
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
  GTreeNode *n = g_tree_upper_bound (t->newest, query_text (x, "After"));
  GString *out = g_string_new ("{\"items\":[");
  int count = 0;

  for (; n != NULL && count < PAGE_COUNT && out->len < 1000000;
       n = g_tree_node_next (n), count++)
    {
      const struct record *r = g_tree_node_value (n);
      gchar *text = g_base64_encode (r->value, r->value_bytes);

      g_string_append_printf (
          out, "%s{\"Key\":\"%s\",\"Value\":\"%s\",\"Offset\":%lld}",
          count > 0 ? "," : "", r->key, text, (long long)r->offset);
      g_free (text);
    }
  g_string_append_printf (out, "],\"HasMore\":%s,\"End\":%u}",
                          n != NULL ? "true" : "false", t->records->len);
  x->status = 200;
  x->answer_bytes = (guint32)out->len;
  x->answer = malloc (out->len + 1);
  memcpy (x->answer, out->str, out->len + 1);
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
    if (members[i].name[0] != '\0' && now_ms () > members[i].expires_at_ms)
      drop_member (&members[i]);
}

static void
handle_membership (struct exchange *x)
{
  json_t *j = json_loadb (x->body ? x->body : "", x->body_bytes, 0, NULL);
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
          = now_ms () + json_integer_value (json_object_get (j, "TtlMs"));
      if (partition_owner[0] == '\0')
        g_strlcpy (partition_owner, name, sizeof partition_owner);
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
        list, json_pack ("{s:s,s:s,s:s,s:s}", "Machine", runners[i].vm, "Pool",
                         runners[i].pool, "State", "up", "Id", runners[i].id));
  j = json_pack ("{s:o}", "Machines", list);
  x->answer = json_dumps (j, JSON_COMPACT);
  x->answer_bytes = (guint32)strlen (x->answer);
  x->status = 200;
  json_decref (j);
}

static gint64
add_use (const char *tenant, gint64 cpu_milli)
{
  gint64 n = GPOINTER_TO_INT (g_hash_table_lookup (used, tenant)) + cpu_milli;
  gint64 most = GPOINTER_TO_INT (g_hash_table_lookup (peak, tenant));

  g_hash_table_replace (used, g_strdup (tenant), GINT_TO_POINTER ((int)n));
  if (n > most)
    g_hash_table_replace (peak, g_strdup (tenant), GINT_TO_POINTER ((int)n));
  return n;
}

static void
end_task (struct runner *r, struct task *t, const char *how)
{
  struct ended_task *e = g_new0 (struct ended_task, 1);
  gint64 n = add_use (t->tenant, -t->cpu_milli);

  note ("%s end %s run %lld %s; tenant %s uses %lld", r->id, t->name,
        (long long)t->run, how, t->tenant, (long long)n);
  e->number = ++r->last_end_number;
  ended_count++;
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
  guint i = 0;

  while (i < r->tasks->len)
    {
      struct task *t = g_ptr_array_index (r->tasks, i);

      if (t->stops_at_ms > 0 && clock_ms () >= t->stops_at_ms)
        end_task (r, t, "stopped");
      else if (clock_ms () >= t->ends_at_ms)
        end_task (r, t, "done");
      else if (runner_clock_ms (r) > r->lease_end_ms)
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

static void
extend_lease (struct runner *r, json_t *j)
{
  gint64 until = json_integer_value (json_object_get (j, "UntilMs"));

  until = MIN (until, runner_clock_ms (r) + HOLD_MAX_MS);
  r->lease_end_ms = MAX (r->lease_end_ms, until);
}

/* Starts the task in J; returns NULL, or the reason why not.  */
static const char *
start_task (struct runner *r, json_t *j)
{
  const char *name = json_string_value (json_object_get (j, "Task"));
  gint64 run = json_integer_value (json_object_get (j, "Run"));
  const char *spec = json_string_value (json_object_get (j, "Spec"));
  struct task *t = find_task (r, name);
  long long ms = 0;
  long long cpu = 0;
  char tenant[32] = "";
  gint64 in_use = 0;
  gint64 n;
  guint i;

  if (json_integer_value (json_object_get (j, "UntilMs"))
      < runner_clock_ms (r))
    return "late";
  extend_lease (r, j);
  if (t != NULL)
    return t->run == run ? NULL : "old";
  if (run <= GPOINTER_TO_INT (g_hash_table_lookup (r->last_runs, name)))
    return "old";
  sscanf (spec ? spec : "", "%lld %lld %31s", &ms, &cpu, tenant);
  for (i = 0; i < r->tasks->len; i++)
    in_use += ((struct task *)g_ptr_array_index (r->tasks, i))->cpu_milli;
  if (in_use + cpu > CPU_MILLI)
    return "room";
  t = g_new0 (struct task, 1);
  g_strlcpy (t->name, name, sizeof t->name);
  g_strlcpy (t->tenant, tenant, sizeof t->tenant);
  t->run = run;
  t->cpu_milli = cpu;
  t->started_at_ms = clock_ms ();
  t->ends_at_ms = t->started_at_ms + ms;
  g_ptr_array_add (r->tasks, t);
  n = add_use (tenant, cpu);
  for (i = 0; i < (guint)runner_count; i++)
    if (&runners[i] != r && find_task (&runners[i], name) != NULL)
      {
        doubled_count++;
        note ("%s runs already on %s", name, runners[i].id);
      }
  note ("%s start %s run %lld token %lld; tenant %s uses %lld", r->id, name,
        (long long)run, (long long)r->token, tenant, (long long)n);
  return NULL;
}

static void
stop_task (struct runner *r, json_t *j)
{
  const char *name = json_string_value (json_object_get (j, "Task"));
  gint64 run = json_integer_value (json_object_get (j, "Run"));
  struct task *t = find_task (r, name);

  if (t != NULL && t->run <= run && t->stops_at_ms == 0)
    t->stops_at_ms = clock_ms () + STOP_MS;
  else if (t == NULL)
    g_hash_table_insert (
        r->last_runs, g_strdup (name),
        GINT_TO_POINTER ((int)MAX (
            run, GPOINTER_TO_INT (g_hash_table_lookup (r->last_runs, name)))));
}

static void
acknowledge_ends (struct runner *r, gint64 number)
{
  while (r->ended->len > 0)
    {
      struct ended_task *e = g_ptr_array_index (r->ended, 0);

      if (e->number > number)
        return;
      acked_count++;
      g_ptr_array_remove_index (r->ended, 0);
      g_free (e);
    }
}

static int
progress_percent (const struct task *t)
{
  gint64 run_ms = MAX (t->ends_at_ms - t->started_at_ms, 1);

  return (int)MIN ((clock_ms () - t->started_at_ms) * 100 / run_ms, 100);
}

static void
poll_runner (struct exchange *x, struct runner *r, json_t *j)
{
  gint64 deadline_ms
      = now_ms () + json_integer_value (json_object_get (j, "WaitMs"));
  json_t *running = json_array ();
  json_t *ended = json_array ();
  json_t *out;
  guint i;

  extend_lease (r, j);
  acknowledge_ends (r, json_integer_value (json_object_get (j, "LastSeen")));
  while (r->ended->len == 0 && now_ms () < deadline_ms)
    {
      wait_until (MIN (deadline_ms, now_ms () + 20));
      end_due_tasks (r);
    }
  for (i = 0; i < r->tasks->len; i++)
    {
      const struct task *t = g_ptr_array_index (r->tasks, i);

      json_array_append_new (running, json_pack ("[s,I,s,i,i]", t->name,
                                                 (json_int_t)t->run, "",
                                                 progress_percent (t), 0));
    }
  for (i = 0; i < r->ended->len && i < PAGE_COUNT; i++)
    {
      const struct ended_task *e = g_ptr_array_index (r->ended, i);

      json_array_append_new (ended,
                             json_pack ("[I,s,I,s,s]", (json_int_t)e->number,
                                        e->name, (json_int_t)e->run, e->how,
                                        ""));
    }
  out = json_pack ("{s:I,s:I,s:o,s:o}", "ClockMs",
                   (json_int_t)runner_clock_ms (r), "born",
                   (json_int_t)r->born_ms, "Running", running, "Ended", ended);
  x->answer = json_dumps (out, JSON_COMPACT);
  x->answer_bytes = (guint32)strlen (x->answer);
  x->status = 200;
  json_decref (out);
}

static void
answer_runner (struct exchange *x, const struct runner *r, const char *reason)
{
  if (reason == NULL)
    answer_set (x, 200, "{\"ClockMs\":%lld,\"born\":%lld}",
                (long long)runner_clock_ms (r), (long long)r->born_ms);
  else
    answer_set (x, 409, "{\"ClockMs\":%lld,\"born\":%lld,\"Reason\":\"%s\"}",
                (long long)runner_clock_ms (r), (long long)r->born_ms,
                reason);
}

static gboolean
is_cut (const struct runner *r)
{
  char name[32];

  g_snprintf (name, sizeof name, "cut_%u", r->port);
  return fault_get (name) != 0;
}

static void
handle_runner (struct exchange *x, struct runner *r)
{
  json_t *j = json_loadb (x->body ? x->body : "", x->body_bytes, 0, NULL);
  gint64 token = json_integer_value (json_object_get (j, "FencingToken"));

  end_due_tasks (r);
  if (strcmp (header_get (x, "X-Fulmartack-Target-Instance"), r->id) != 0)
    answer_set (x, 421, "{\"ClockMs\":%lld,\"born\":%lld}",
                (long long)runner_clock_ms (r), (long long)r->born_ms);
  else if (token < r->token)
    answer_runner (x, r, "fence");
  else
    {
      r->token = token;
      if (strcmp (x->url, "/api/hold") == 0)
        poll_runner (x, r, j);
      else if (strcmp (x->url, "/api/run-start") == 0)
        answer_runner (x, r, start_task (r, j));
      else
        {
          if (strcmp (x->url, "/api/run-stop") == 0)
            stop_task (r, j);
          answer_runner (x, r, NULL);
        }
    }
  json_decref (j);
}

static json_t *
table_json (GHashTable *t)
{
  json_t *j = json_object ();
  GHashTableIter it;
  gpointer key;
  gpointer value;

  g_hash_table_iter_init (&it, t);
  while (g_hash_table_iter_next (&it, &key, &value))
    json_object_set_new (j, key, json_integer (GPOINTER_TO_INT (value)));
  return j;
}

static void
report (struct exchange *x)
{
  json_t *j;
  int i;

  for (i = 0; i < runner_count; i++)
    end_due_tasks (&runners[i]);
  j = json_pack ("{s:o,s:o,s:I,s:I,s:I}", "uses", table_json (used), "peak",
                 table_json (peak), "doubled", (json_int_t)doubled_count,
                 "ended", (json_int_t)ended_count, "acked",
                 (json_int_t)acked_count);
  x->answer = json_dumps (j, JSON_COMPACT | JSON_SORT_KEYS);
  x->answer_bytes = (guint32)strlen (x->answer);
  x->status = 200;
  json_decref (j);
}

/* Adds copies of a record under other ids.  */
static void
age (struct exchange *x)
{
  struct topic *t = find_topic ("keyed.work");
  const struct record *r = g_tree_lookup (t->newest, query_text (x, "key"));
  gint64 from = query_get (x, "from", 0);
  gint64 n = query_get (x, "count", 0);
  gint64 i;

  for (i = from; r != NULL && i < from + n; i++)
    {
      char key[32];

      g_snprintf (key, sizeof key, "%016llx.p",
                  (unsigned long long)(i + 1) * 0x9e3779b97f4a7c15ULL);
      store_record (t, key, strlen (key), r->value, r->value_bytes);
    }
  answer_set (x, r != NULL ? 200 : 400, "{\"bytes\":%u,\"records\":%u}",
              r != NULL ? (unsigned)r->value_bytes : 0,
              (unsigned)g_tree_nnodes (t->newest));
}

static void
handle_store (struct exchange *x)
{
  if (strcmp (x->url, "/operator") == 0)
    {
      store_record (find_topic ("keyed.op"), "config", 6, x->body,
                    x->body_bytes);
      pthread_cond_broadcast (&changed);
      answer_set (x, 200, "{}");
    }
  else if (strcmp (x->url, "/age") == 0)
    age (x);
  else if (strcmp (x->url, "/report") == 0)
    report (x);
  else if (strcmp (x->url, "/api/log-append") == 0)
    append (x);
  else if (strcmp (x->url, "/api/log-read") == 0)
    read_log (x);
  else if (strcmp (x->url, "/api/log-newest") == 0)
    read_newest (x);
  else if (strcmp (x->url, "/api/log-owners") == 0)
    list_owners (x);
  else if (strcmp (x->url, "/api/machines") == 0)
    list_vms (x);
  else if (strcmp (x->url, "/api/log-join") == 0
           || strcmp (x->url, "/api/log-leave") == 0)
    handle_membership (x);
  else
    answer_set (x, 503, "{}");
}

static void
handle (struct exchange *x)
{
  int i;

  if (x->port == store_port)
    {
      sleep_ms (strcmp (x->url, "/api/log-append") == 0
                    ? answer_ms + append_ms
                : strncmp (x->url, "/api/", 5) == 0 ? answer_ms
                                                    : 0);
      pthread_mutex_lock (&lock);
      handle_store (x);
      pthread_mutex_unlock (&lock);
      return;
    }
  for (i = 0; i < runner_count; i++)
    if (runners[i].port == x->port)
      {
        while (is_cut (&runners[i]))
          {
            x->drop = 1;
            sleep_ms (20);
          }
        if (x->drop)
          return;
        pthread_mutex_lock (&lock);
        handle_runner (x, &runners[i]);
        pthread_mutex_unlock (&lock);
        /* The answer is lost if the cut began while the call was held.  */
        if (is_cut (&runners[i]))
          x->drop = 1;
        while (is_cut (&runners[i]))
          sleep_ms (20);
      }
}

/* Ends tasks that are due and writes the registrations.  */
static void *
run_loop (void *state)
{
  gint64 sequence = 0;
  gint64 written_at_ms = 0;
  int i;

  (void)state;
  for (;;)
    {
      pthread_mutex_lock (&lock);
      for (i = 0; i < runner_count; i++)
        end_due_tasks (&runners[i]);
      if (now_ms () >= written_at_ms + STATUS_INTERVAL_MS)
        {
          written_at_ms = now_ms ();
          sequence++;
          for (i = 0; i < runner_count; i++)
            {
              char value[400];

              if (is_cut (&runners[i]))
                continue;
              g_snprintf (value, sizeof value,
                          "{\"Service\":\"%s\",\"Address\":\"127.0.0.1:%u\","
                          "\"Zone\":\"z\",\"Version\":\"1\",\"Slots\":8,"
                          "\"State\":\"ready\",\"ColdRemainingMs\":0,"
                          "\"born\":%lld,\"Room\":{\"Cpu\":%d,\"MemMb\":16000,"
                          "\"Gpu\":0},\"Labels\":[\"a\",\"rack\"],"
                          "\"Sequence\":%lld}",
                          runners[i].pool, runners[i].port,
                          (long long)runners[i].born_ms, CPU_MILLI,
                          (long long)sequence);
              store_record (find_topic ("keyed.servers"), runners[i].id,
                            strlen (runners[i].id), value, strlen (value));
            }
          pthread_cond_broadcast (&changed);
        }
      pthread_mutex_unlock (&lock);
      sleep_ms (10);
    }
  return NULL;
}

int
main (int argc, char **argv)
{
  json_t *s = argc == 3 ? json_load_file (argv[1], 0, NULL) : NULL;
  json_t *list = json_object_get (s, "runners");
  json_t *row;
  pthread_t t;
  size_t i;

  if (s == NULL)
    return 2;
  record_file = fopen (argv[2], "a");
  clock_milli = json_integer_value (json_object_get (s, "clock_milli"));
  begun_at_ms = json_integer_value (json_object_get (s, "begun_at_ms"));
  store_port = (guint16)json_integer_value (json_object_get (s, "port"));
  answer_ms = json_integer_value (json_object_get (s, "answer_ms"));
  append_ms = json_integer_value (json_object_get (s, "append_ms"));
  record_bytes = json_integer_value (json_object_get (s, "record_bytes"));
  call_bytes = json_integer_value (json_object_get (s, "call_bytes"));
  used = g_hash_table_new (g_str_hash, g_str_equal);
  peak = g_hash_table_new (g_str_hash, g_str_equal);
  json_array_foreach (list, i, row)
  {
    struct runner *r = &runners[runner_count++];

    r->port = (guint16)json_integer_value (json_object_get (row, "port"));
    g_snprintf (r->id, sizeof r->id, "r-%u", r->port);
    g_snprintf (r->vm, sizeof r->vm, "m-%u", r->port);
    g_strlcpy (r->pool, json_string_value (json_object_get (row, "pool")),
               sizeof r->pool);
    r->born_ms = clock_ms ();
    r->tasks = g_ptr_array_new ();
    r->ended = g_ptr_array_new ();
    r->last_runs = g_hash_table_new (g_str_hash, g_str_equal);
  }
  pthread_create (&t, NULL, run_loop, NULL);
  standin_handler = handle;
  return standin_serve (store_port, (guint16)(store_port + runner_count));
}
