/* platform.c -- stand-in of the users' platform: store, cloud and runners.

   Usage: platform FIRST RUNNERS CONFIG RECORD.  Port FIRST serves the store
   and the cloud.  Each of the RUNNERS ports after it is a runner "r-PORT" with
   64 cores on VM "m-PORT", of pool "p" or, every second one, of pool "q".  The
   payload of a task is the milliseconds that it runs for, its tenant, the
   thousandths of a core that it takes and, for a member of a gang, the number of
   members: these work from when all of a run are there, and a member that has
   waited GANG_MS for the others ends as alone.  A call to a runner takes 2.8 ms,
   the way to another zone and back (SYSTEM.md: 1.4 ms).  CONFIG is the file with the operator's
   configuration.  What runners are told to start and what ends is written to
   the file RECORD, a line each.

   The store keeps the newest record of each key for good, as PROTOCOL.md has
   it, and an answer takes 4 ms, the figure of SYSTEM.md.

   GET /report: counts of starts.

   Derived from tests/standin/site.c.  */

#include "tests/standin/server.h"

#include <glib.h>
#include <jansson.h>
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#define TOPIC_COUNT 16
#define PAGE_BYTES 1000000
#define ANSWER_MS 4
#define RUNNER_ROUND_TRIP_US 2800
#define GANG_MS 3000
#define RUNNER_COUNT 16
#define MEMBER_COUNT 32
#define STATUS_INTERVAL_MS 500
#define CPU_MILLI 64000
#define PAGE_COUNT 500

struct record
{
  char *key;
  uint8_t *value;
  size_t value_bytes;
};

/* An append-only log of keyed records.  */
struct topic
{
  char name[64];
  struct record *records;
  int64_t end;
  int64_t capacity;
  GTree *newest; /**< Key to offset + 1 of its newest record.  */
  int64_t epoch;
  int64_t sequence;
};

/* A member of the group; one member at a time owns partition 0.  */
struct member
{
  char name[64];
  int64_t expires_at_ms;
};

struct task
{
  char name[64];
  int64_t run;
  int64_t started_at_ms;
  int64_t ends_at_ms;
  int64_t stops_at_ms; /**< 0 if it was not told to stop.  */
  char tenant[32];
  int64_t cpu_milli;
  int64_t run_ms;
  struct gang *gang; /**< NULL unless it is a member of one.  */
};

/* The members of one run of a gang.  */
struct gang
{
  int64_t size;
  int64_t present_count;
  int64_t whole_at_ms; /**< When all were there; 0: not yet.  */
};

/* The end of a run that no caller has acknowledged yet.  */
struct ended_task
{
  int64_t number;
  char name[64];
  int64_t run;
  const char *outcome;
};

struct runner
{
  uint16_t port;
  int64_t booted_at_ms;
  int64_t token;        /**< Highest fencing token seen.  */
  int64_t lease_end_ms; /**< Of all its tasks, since booted_at_ms.  */
  GPtrArray *tasks;     /**< struct task.  */
  GHashTable *by_name;  /**< The same by their names.  */
  int64_t cpu_milli;    /**< That they take.  */
  GPtrArray *ended;     /**< struct ended_task.  */
  int64_t last_end_number;
  GHashTable *last_runs; /**< Task name to highest run stopped or ended.  */
};

static struct topic topics[TOPIC_COUNT];
static struct member members[MEMBER_COUNT];
static char partition_owner[64]; /**< Member that owns partition 0.  */
static int64_t generation;
static struct runner runners[RUNNER_COUNT];
static int runner_count;
static uint16_t store_port;
static int64_t started_count;
static int64_t doubled_count;    /**< Starts while another runner runs it.  */
static int64_t after_done_count; /**< Starts of acknowledged tasks.  */
static int64_t fenced_count;     /**< Calls with an old fencing token.  */
static GHashTable *gangs;        /**< "ID.K.STEP/RUN" to struct gang.  */
/** Names of the tasks whose end "done" a caller has seen.  */
static GHashTable *acknowledged;
static FILE *record;
static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static pthread_cond_t changed = PTHREAD_COND_INITIALIZER;

/* Returns the query argument NAME, or "".  */
static const char *
query_text (struct exchange *x, const char *name)
{
  const char *v = MHD_lookup_connection_value (x->connection,
                                               MHD_GET_ARGUMENT_KIND, name);

  return v != NULL ? v : "";
}

static gint
compare_text (gconstpointer a, gconstpointer b, gpointer state)
{
  (void)state;
  return strcmp (a, b);
}

/* Returns the topic NAME, which it adds if it is new.  */
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
  topics[i].newest = g_tree_new_full (compare_text, NULL, g_free, NULL);
  topics[i].sequence = -1;
  return &topics[i];
}

static void
store_record (struct topic *t, const char *key, size_t key_bytes,
              const void *value, size_t value_bytes)
{
  struct record *r;

  if (t->end == t->capacity)
    {
      t->capacity = MAX (2 * t->capacity, 1024);
      t->records
          = realloc (t->records, (size_t)t->capacity * sizeof *t->records);
    }
  r = &t->records[t->end++];
  r->key = g_strndup (key, key_bytes);
  r->value = g_memdup2 (value, value_bytes);
  r->value_bytes = value_bytes;
  if (value_bytes > 0)
    g_tree_replace (t->newest, g_strdup (r->key), GSIZE_TO_POINTER (t->end));
  else
    g_tree_remove (t->newest, r->key);
}

static size_t
read_u32 (const uint8_t *b)
{
  return (size_t)b[0] << 24 | (size_t)b[1] << 16 | (size_t)b[2] << 8 | b[3];
}

/* Checks the producer's epoch and sequence; false if it set the answer.  */
static gboolean
check_producer (struct exchange *x, struct topic *t)
{
  int64_t epoch = query_get (x, "epoch", -1);
  int64_t sequence = query_get (x, "Sequence", -1);

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
                  (long long)t->end - 1, (long long)t->end);
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
  int64_t first = t->end;
  const uint8_t *b = (const uint8_t *)x->body;
  uint32_t i = 0;

  if (at >= 0 && at != t->end)
    {
      answer_set (x, 412, "{\"End\":%lld}", (long long)t->end);
      return;
    }
  if (!check_producer (x, t))
    return;
  while (i + 4 < x->body_bytes)
    {
      size_t n = read_u32 (b + i);
      size_t key_bytes = b[i + 4];

      store_record (t, (const char *)b + i + 5, key_bytes,
                    b + i + 5 + key_bytes, n - 1 - key_bytes);
      i += 4 + (uint32_t)n;
    }
  pthread_cond_broadcast (&changed);
  answer_set (x, 200, "{\"Offset\":%lld,\"End\":%lld}", (long long)first,
              (long long)t->end);
}

/* Appends the low BYTES bytes of N, most significant first.  */
static void
append_number (GByteArray *a, uint64_t n, int bytes)
{
  while (bytes-- > 0)
    {
      guint8 c = (guint8)(n >> (8 * bytes));

      g_byte_array_append (a, &c, 1);
    }
}

/* Releases the lock; waits for a change until DEADLINE_MS of wall time.  */
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

  while (t->end <= from && clock_ms () < deadline_ms)
    wait_until (deadline_ms);
  append_number (a, (uint64_t)t->end, 8);
  append_number (a, 0, 8);
  for (i = from; i < t->end; i++)
    {
      const struct record *r = &t->records[i];
      size_t key_bytes = strlen (r->key);

      append_number (a, 1 + key_bytes + r->value_bytes, 4);
      append_number (a, key_bytes, 1);
      g_byte_array_append (a, (const guint8 *)r->key, (guint)key_bytes);
      if (r->value_bytes > 0)
        g_byte_array_append (a, r->value, (guint)r->value_bytes);
    }
  x->status = 200;
  x->answer_bytes = a->len;
  x->answer = malloc (a->len);
  memcpy (x->answer, a->data, a->len);
  g_byte_array_free (a, TRUE);
}

/* Answers with a sorted page of each key's newest record, past After.  */
static void
read_newest (struct exchange *x)
{
  struct topic *t = find_topic (query_text (x, "Topic"));
  const char *after = query_text (x, "After");
  GTreeNode *n = g_tree_upper_bound (t->newest, after);
  GString *out = g_string_new ("{\"items\":[");
  int count = 0;

  for (; n != NULL && count < PAGE_COUNT && out->len < PAGE_BYTES;
       n = g_tree_node_next (n), count++)
    {
      gsize offset = GPOINTER_TO_SIZE (g_tree_node_value (n)) - 1;
      const struct record *r = &t->records[offset];
      gchar *text = g_base64_encode (r->value, r->value_bytes);

      g_string_append_printf (
          out, "%s{\"Key\":\"%s\",\"Value\":\"%s\",\"Offset\":%zu}",
          count > 0 ? "," : "", r->key, text, offset);
      g_free (text);
    }
  g_string_append_printf (out, "],\"HasMore\":%s,\"End\":%lld}",
                          n != NULL ? "true" : "false", (long long)t->end);
  x->answer_bytes = (uint32_t)out->len;
  x->answer = malloc (out->len + 1);
  memcpy (x->answer, out->str, out->len + 1);
  x->status = 200;
  g_string_free (out, TRUE);
}

/* Returns the member NAME, or NULL.  Adds a new one if CREATE is set.  */
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

/* Handles join, renew, leave; a caller gets the partition if it is free.  */
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

static const char *
pool_of (const struct runner *r)
{
  return (r - runners) % 2 == 0 ? "p" : "q";
}

static void
list_vms (struct exchange *x)
{
  json_t *list = json_array ();
  json_t *j;
  int i;

  for (i = 0; i < runner_count; i++)
    {
      char vm[32];
      char id[32];

      g_snprintf (vm, sizeof vm, "m-%u", runners[i].port);
      g_snprintf (id, sizeof id, "r-%u", runners[i].port);
      json_array_append_new (list,
                             json_pack ("{s:s,s:s,s:s,s:s}", "Machine", vm,
                                        "Pool", pool_of (&runners[i]), "State",
                                        "up", "Id", id));
    }
  j = json_pack ("{s:o,s:n}", "Machines", list, "NextPageToken");
  x->answer = json_dumps (j, JSON_COMPACT);
  x->answer_bytes = (uint32_t)strlen (x->answer);
  x->status = 200;
  json_decref (j);
}

static void
end_task (struct runner *r, struct task *t, const char *outcome)
{
  struct ended_task *e = g_new0 (struct ended_task, 1);

  fprintf (record, "%lld run-end %s %lld r-%u %s\n", (long long)clock_ms (),
           t->name, (long long)t->run, r->port, outcome);
  fflush (record);
  e->number = ++r->last_end_number;
  g_strlcpy (e->name, t->name, sizeof e->name);
  e->run = t->run;
  e->outcome = outcome;
  g_ptr_array_add (r->ended, e);
  g_hash_table_insert (r->last_runs, g_strdup (t->name),
                       GINT_TO_POINTER ((int)t->run));
  g_hash_table_remove (r->by_name, t->name);
  r->cpu_milli -= t->cpu_milli;
  g_ptr_array_remove_fast (r->tasks, t);
  g_free (t);
}

/* Ends R's tasks that are done, told to stop or past their lease.  */
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
      else if (t->gang != NULL && t->gang->whole_at_ms == 0
               && now - t->started_at_ms >= GANG_MS)
        end_task (r, t, "alone");
      else if (t->gang == NULL
                   ? now >= t->ends_at_ms
                   : t->gang->whole_at_ms != 0
                         && now >= t->gang->whole_at_ms + t->run_ms)
        end_task (r, t, "done");
      else if (now - r->booted_at_ms > r->lease_end_ms)
        end_task (r, t, "lapsed");
      else
        i++;
    }
}

static struct task *
find_task (const struct runner *r, const char *name)
{
  return g_hash_table_lookup (r->by_name, name);
}

/* Makes T, with RUN and the name ID.K.STEP.INDEX, a member of its gang of
   SIZE.  */
static void
join_gang (struct task *t, int64_t size)
{
  const char *index = strrchr (t->name, '.');
  gchar *key = g_strdup_printf ("%.*s/%lld", (int)(index - t->name), t->name,
                                (long long)t->run);

  t->gang = g_hash_table_lookup (gangs, key);
  if (t->gang == NULL)
    {
      t->gang = g_new0 (struct gang, 1);
      t->gang->size = size;
      g_hash_table_insert (gangs, g_strdup (key), t->gang);
    }
  if (++t->gang->present_count == size)
    t->gang->whole_at_ms = clock_ms ();
  g_free (key);
}

/* Records the start of T on STARTER, and counts it as doubled if it runs
   elsewhere.  */
static void
count_start (const struct runner *starter, const struct task *t)
{
  int i;

  started_count++;
  if (g_hash_table_contains (acknowledged, t->name))
    after_done_count++;
  for (i = 0; i < runner_count; i++)
    {
      end_due_tasks (&runners[i]);
      if (&runners[i] != starter && find_task (&runners[i], t->name) != NULL)
        doubled_count++;
    }
  fprintf (record, "%lld run-start %s %lld r-%u tenant %s \n",
           (long long)clock_ms (), t->name, (long long)t->run, starter->port,
           t->tenant);
  fflush (record);
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
  long long run_ms = 0;
  long long cpu_milli = 0;
  long long gang_size = 0;
  char tenant[32] = "";

  if (lease_end_ms < clock_ms () - r->booted_at_ms)
    return "late";
  r->lease_end_ms = MAX (r->lease_end_ms, lease_end_ms);
  if (t != NULL)
    return t->run == run ? NULL : "old";
  if (run <= GPOINTER_TO_INT (g_hash_table_lookup (r->last_runs, name)))
    return "old";
  if (spec != NULL)
    sscanf (spec, "%lld %31s %lld %lld", &run_ms, tenant, &cpu_milli,
            &gang_size);
  if (r->cpu_milli + cpu_milli > CPU_MILLI)
    return "room";
  t = g_new0 (struct task, 1);
  g_strlcpy (t->name, name, sizeof t->name);
  g_strlcpy (t->tenant, tenant, sizeof t->tenant);
  t->cpu_milli = cpu_milli;
  t->run = run;
  t->started_at_ms = clock_ms ();
  t->run_ms = run_ms;
  t->ends_at_ms = t->started_at_ms + run_ms;
  if (gang_size > 0)
    join_gang (t, gang_size);
  r->cpu_milli += cpu_milli;
  g_hash_table_insert (r->by_name, t->name, t);
  g_ptr_array_add (r->tasks, t);
  count_start (r, t);
  return NULL;
}

static void
stop_task (struct runner *r, json_t *j)
{
  const char *name = json_string_value (json_object_get (j, "Task"));
  int64_t run = json_integer_value (json_object_get (j, "Run"));
  struct task *t = find_task (r, name);

  if (t != NULL && t->run <= run)
    t->stops_at_ms = clock_ms () + 20;
  else if (t == NULL)
    g_hash_table_insert (
        r->last_runs, g_strdup (name),
        GINT_TO_POINTER ((int)MAX (
            run, GPOINTER_TO_INT (g_hash_table_lookup (r->last_runs, name)))));
}

/* Drops the ends up to NUMBER, which the caller has seen.  */
static void
acknowledge_ends (struct runner *r, int64_t number)
{
  while (r->ended->len > 0)
    {
      struct ended_task *e = g_ptr_array_index (r->ended, 0);

      if (e->number > number)
        return;
      if (strcmp (e->outcome, "done") == 0)
        g_hash_table_add (acknowledged, g_strdup (e->name));
      g_ptr_array_remove_index (r->ended, 0);
      g_free (e);
    }
}

static int
progress_percent (const struct task *t)
{
  int64_t run_ms = MAX (t->ends_at_ms - t->started_at_ms, 1);

  return (int)MIN ((clock_ms () - t->started_at_ms) * 100 / run_ms, 100);
}

/* Renews R's lease, waits for an end, answers with what runs and ended.  */
static void
poll_runner (struct exchange *x, struct runner *r, json_t *j)
{
  int64_t deadline_ms
      = clock_ms () + json_integer_value (json_object_get (j, "WaitMs"));
  json_t *running = json_array ();
  json_t *ended = json_array ();
  json_t *out;
  guint i;

  r->lease_end_ms = MAX (r->lease_end_ms,
                         json_integer_value (json_object_get (j, "UntilMs")));
  acknowledge_ends (r, json_integer_value (json_object_get (j, "LastSeen")));
  while (r->ended->len == 0 && clock_ms () < deadline_ms)
    {
      wait_until (MIN (deadline_ms, clock_ms () + 20));
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

      json_array_append_new (
          ended, json_pack ("[I,s,I,s,s]", (json_int_t)e->number, e->name,
                            (json_int_t)e->run, e->outcome, ""));
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
  if (reason == NULL)
    answer_set (x, 200, "{\"ClockMs\":%lld,\"born\":%lld}",
                (long long)(clock_ms () - r->booted_at_ms),
                (long long)r->booted_at_ms);
  else
    answer_set (x, 409, "{\"ClockMs\":%lld,\"born\":%lld,\"Reason\":\"%s\"}",
                (long long)(clock_ms () - r->booted_at_ms),
                (long long)r->booted_at_ms, reason);
}

static void
handle_runner (struct exchange *x, struct runner *r)
{
  json_t *j = json_loadb (x->body, x->body_bytes, 0, NULL);
  int64_t token = json_integer_value (json_object_get (j, "FencingToken"));

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
}

static void
report (struct exchange *x)
{
  json_t *running = json_array ();
  int64_t token = 0;
  json_t *j;
  int i;

  for (i = 0; i < runner_count; i++)
    {
      token = MAX (token, runners[i].token);
      end_due_tasks (&runners[i]);
      json_array_append_new (
          running, json_integer (runners[i].tasks->len));
    }
  j = json_pack (
      "{s:I,s:I,s:I,s:I,s:I,s:I,s:i,s:o}", "started", (json_int_t)started_count,
      "doubled", (json_int_t)doubled_count, "after_done",
      (json_int_t)after_done_count, "fenced", (json_int_t)fenced_count,
      "token", (json_int_t)token, "work_keys",
      g_tree_nnodes (find_topic ("keyed.work")->newest), "running", running);
  x->answer = json_dumps (j, JSON_COMPACT);
  x->answer_bytes = (uint32_t)strlen (x->answer);
  x->status = 200;
  json_decref (j);
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
  else
    handle_membership (x);
}

static void
handle (struct exchange *x)
{
  int i;

  if (x->port == store_port)
    sleep_ms (ANSWER_MS);
  else
    g_usleep (RUNNER_ROUND_TRIP_US);
  pthread_mutex_lock (&lock);
  if (x->port == store_port)
    handle_store (x);
  for (i = 0; i < runner_count; i++)
    if (runners[i].port == x->port)
      handle_runner (x, &runners[i]);
  pthread_mutex_unlock (&lock);
}

/* Writes the status of every runner to the store each STATUS_INTERVAL_MS.  */
static void *
write_status_loop (void *state)
{
  int64_t sequence = 0;
  int i;

  (void)state;
  for (;;)
    {
      pthread_mutex_lock (&lock);
      for (i = 0; i < runner_count; i++)
        {
          char id[32];
          char value[400];

          g_snprintf (id, sizeof id, "r-%u", runners[i].port);
          g_snprintf (value, sizeof value,
                      "{\"Service\":\"%s\",\"Address\":\"127.0.0.1:%u\","
                      "\"Zone\":\"z\",\"State\":\"ready\",\"born\":%lld,"
                      "\"Room\":{\"Cpu\":%d,\"MemMb\":131072,\"Gpu\":0},"
                      "\"Labels\":[\"a\",\"rack\"],\"Sequence\":%lld}",
                      pool_of (&runners[i]), runners[i].port,
                      (long long)runners[i].booted_at_ms,
                      CPU_MILLI, (long long)sequence);
          store_record (find_topic ("keyed.servers"), id, strlen (id), value,
                        strlen (value));
        }
      sequence++;
      pthread_cond_broadcast (&changed);
      pthread_mutex_unlock (&lock);
      sleep_ms (STATUS_INTERVAL_MS);
    }
  return NULL;
}

int
main (int argc, char **argv)
{
  gchar *config;
  gsize config_bytes;
  pthread_t t;
  int i;

  if (argc != 5 || !g_file_get_contents (argv[3], &config, &config_bytes, NULL)
      || (record = fopen (argv[4], "ae")) == NULL)
    return 2;
  store_port = (uint16_t)atoi (argv[1]);
  runner_count = MIN (atoi (argv[2]), RUNNER_COUNT);
  acknowledged = g_hash_table_new (g_str_hash, g_str_equal);
  gangs = g_hash_table_new (g_str_hash, g_str_equal);
  for (i = 0; i < runner_count; i++)
    {
      struct runner *r = &runners[i];

      r->port = (uint16_t)(store_port + 1 + i);
      r->booted_at_ms = clock_ms ();
      r->tasks = g_ptr_array_new ();
      r->by_name = g_hash_table_new (g_str_hash, g_str_equal);
      r->ended = g_ptr_array_new ();
      r->last_runs = g_hash_table_new (g_str_hash, g_str_equal);
    }
  store_record (find_topic ("keyed.op"), "config", 6, config, config_bytes);
  pthread_create (&t, NULL, write_status_loop, NULL);
  standin_handler = handle;
  return standin_serve (store_port, (uint16_t)(store_port + runner_count));
}
