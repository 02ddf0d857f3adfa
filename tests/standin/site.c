/* site.c -- stand-in of the users' platform: store, cloud and runners.

   Usage: site FIRST LAST [COUNT].  Port FIRST serves the store and the cloud,
   and so do COUNT ports after LAST, one for each entry, so that each can be
   cut off by down_port of server.h.  Each port in between is a runner "r-PORT"
   with 8 cores, on VM "m-PORT" of pool "p".  A task takes one core and runs
   for the milliseconds in its payload.  GET /report on the first port shows
   the runners' record: tasks started, those started while they ran on another
   runner ("doubled") or after their end was acknowledged
   ("after_done"), calls refused for an old fencing token ("fenced"), runs that
   ended with their lease ("lapsed"), the
   highest token that a runner has seen ("token"), and how many tasks run now
   on each runner that answers ("running").

   A runner with the fault down_port of server.h registers no more, and stays
   in the list of VMs.

   Faults besides those of server.h: lose_starts=N (every Nth start is made but
   not answered), late_starts=N (every Nth start is made a second later and not
   answered), lose_appends=N (every Nth append is made, not answered) and
   island_token=T with island_runners=MASK (the runners whose bits are set in
   MASK answer calls with a token up to T only, the others calls with a higher
   one only, as if T's owner and those runners were cut off together),
   joins_port=P (of what comes to port P only joins of the group are answered),
   assign_port=P (a member that joins there gets the cell from any other),
   lose_claim_reads=1 (a read of the claims that has to wait gets no answer)
   and odd_entries=1 (another writer registers what is no runner; the first of
   its entries has a key that few parsers read).  */

#include "tests/standin/server.h"

#include <glib.h>
#include <jansson.h>
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#define TOPIC_COUNT 16
#define RECORD_COUNT 200000
#define RUNNER_COUNT 16
#define MEMBER_COUNT 32
#define STATUS_INTERVAL_MS 500
#define LATE_START_MS 1000
#define CPU_MILLI 8000
#define PAGE_COUNT 500
#define CLAIMS "keyed.claims"
#define LOST_READ_MS 10000
/** Nesting of an odd entry: beyond any parser's depth.  */
#define ODD_DEPTH_COUNT 20000

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
static int64_t lapsed_count;     /**< Runs ended by the lease's end.  */
/** Names of the tasks whose end "done" a caller has seen.  */
static GHashTable *acknowledged;
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
  topics[i].records = calloc (RECORD_COUNT, sizeof (struct record));
  topics[i].sequence = -1;
  return &topics[i];
}

static void
store_record (struct topic *t, const char *key, size_t key_bytes,
              const void *value, size_t value_bytes)
{
  struct record *r = &t->records[t->end++];

  if (t->end == RECORD_COUNT)
    abort ();
  r->key = g_strndup (key, key_bytes);
  r->value = g_memdup2 (value, value_bytes);
  r->value_bytes = value_bytes;
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
  static int64_t append_count;
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
  append_count++;
  if (fault_get ("lose_appends") > 0
      && append_count % fault_get ("lose_appends") == 0)
    x->drop = 1;
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

  if (t->end <= from && strcmp (t->name, CLAIMS) == 0
      && fault_get ("lose_claim_reads") != 0)
    {
      x->drop = 1;
      deadline_ms = clock_ms () + LOST_READ_MS;
    }
  while ((x->drop || t->end <= from) && clock_ms () < deadline_ms)
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

static int
compare_keys (gconstpointer a, gconstpointer b)
{
  const struct record *x = *(struct record *const *)a;
  const struct record *y = *(struct record *const *)b;

  return strcmp (x->key, y->key);
}

/* Adds a row whose key holds a NUL to the listing in the answer of X.  */
static void
add_odd_row (struct exchange *x)
{
  static const char row[]
      = "\"items\":[{\"Key\":\"odd\\u0000\",\"Value\":\"e30=\",\"Offset\":0},";
  gchar **parts = g_strsplit (x->answer, "\"items\":[", 2);

  free (x->answer);
  x->answer = NULL;
  if (asprintf (&x->answer, "%s%s%s", parts[0], row, parts[1]) < 0)
    abort ();
  g_strfreev (parts);
}

/* Answers with a sorted page of each key's newest record, past After.  */
static void
read_newest (struct exchange *x)
{
  struct topic *t = find_topic (query_text (x, "Topic"));
  const char *after = query_text (x, "After");
  GHashTable *last = g_hash_table_new (g_str_hash, g_str_equal);
  GPtrArray *rows = g_ptr_array_new ();
  json_t *items = json_array ();
  GHashTableIter it;
  gpointer value;
  int64_t i;
  guint k;

  for (i = 0; i < t->end; i++)
    g_hash_table_replace (last, t->records[i].key, &t->records[i]);
  g_hash_table_iter_init (&it, last);
  while (g_hash_table_iter_next (&it, NULL, &value))
    if (((struct record *)value)->value_bytes > 0
        && strcmp (((struct record *)value)->key, after) > 0)
      g_ptr_array_add (rows, value);
  g_ptr_array_sort (rows, compare_keys);
  for (k = 0; k < rows->len && k < PAGE_COUNT; k++)
    {
      const struct record *r = g_ptr_array_index (rows, k);
      gchar *text = g_base64_encode (r->value, r->value_bytes);

      if (!g_utf8_validate (r->key, -1, NULL))
        {
          g_free (text);
          continue;
        }
      json_array_append_new (items, json_pack ("{s:s,s:s,s:I}", "Key", r->key,
                                               "Value", text, "Offset",
                                               (json_int_t)(r - t->records)));
      g_free (text);
    }
  {
    json_t *j
        = json_pack ("{s:o,s:b,s:I}", "items", items, "HasMore",
                     (int)(rows->len > PAGE_COUNT), "End", (json_int_t)t->end);

    x->answer = json_dumps (j, JSON_COMPACT);
    json_decref (j);
  }
  if (fault_get ("odd_entries") > 0 && strcmp (t->name, "keyed.servers") == 0)
    add_odd_row (x);
  x->answer_bytes = (uint32_t)strlen (x->answer);
  x->status = 200;
  g_ptr_array_free (rows, TRUE);
  g_hash_table_destroy (last);
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
      if (fault_get ("assign_port") == x->port
          && strcmp (partition_owner, name) != 0)
        {
          partition_owner[0] = '\0';
          generation++;
        }
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
    {
      char vm[32];
      char id[32];

      g_snprintf (vm, sizeof vm, "m-%u", runners[i].port);
      g_snprintf (id, sizeof id, "r-%u", runners[i].port);
      json_array_append_new (list,
                             json_pack ("{s:s,s:s,s:s,s:s}", "Machine", vm,
                                        "Pool", "p", "State", "up", "Id", id));
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

  lapsed_count += strcmp (outcome, "lapsed") == 0;
  e->number = ++r->last_end_number;
  g_strlcpy (e->name, t->name, sizeof e->name);
  e->run = t->run;
  e->outcome = outcome;
  g_ptr_array_add (r->ended, e);
  g_hash_table_insert (r->last_runs, g_strdup (t->name),
                       GINT_TO_POINTER ((int)t->run));
  g_ptr_array_remove (r->tasks, t);
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
      else if (now >= t->ends_at_ms)
        end_task (r, t, "done");
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

/* Counts a start of NAME on STARTER, and as doubled if it runs elsewhere.  */
static void
count_start (const struct runner *starter, const char *name)
{
  int i;

  started_count++;
  if (g_hash_table_contains (acknowledged, name))
    after_done_count++;
  for (i = 0; i < runner_count; i++)
    {
      end_due_tasks (&runners[i]);
      if (&runners[i] != starter && find_task (&runners[i], name) != NULL)
        doubled_count++;
    }
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

  if (lease_end_ms < clock_ms () - r->booted_at_ms)
    return "late";
  r->lease_end_ms = MAX (r->lease_end_ms, lease_end_ms);
  if (t != NULL)
    return t->run == run ? NULL : "old";
  if (run <= GPOINTER_TO_INT (g_hash_table_lookup (r->last_runs, name)))
    return "old";
  if (r->tasks->len >= CPU_MILLI / 1000)
    return "room";
  count_start (r, name);
  t = g_new0 (struct task, 1);
  g_strlcpy (t->name, name, sizeof t->name);
  t->run = run;
  t->started_at_ms = clock_ms ();
  t->ends_at_ms = t->started_at_ms + (spec ? strtoll (spec, NULL, 10) : 0);
  g_ptr_array_add (r->tasks, t);
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
  for (i = 0; i < r->ended->len; i++)
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
handle_start (struct exchange *x, struct runner *r, json_t *j)
{
  static int64_t count;

  count++;
  if (fault_get ("late_starts") > 0 && count % fault_get ("late_starts") == 0)
    {
      int64_t deadline_ms = clock_ms () + LATE_START_MS;

      while (clock_ms () < deadline_ms)
        wait_until (deadline_ms);
      x->drop = 1;
      /* The wait released the lock, so a newer owner may have called.  */
      if (json_integer_value (json_object_get (j, "FencingToken")) < r->token)
        {
          fenced_count++;
          answer_runner (x, r, "fence");
          return;
        }
    }
  else if (fault_get ("lose_starts") > 0
           && count % fault_get ("lose_starts") == 0)
    x->drop = 1;
  answer_runner (x, r, start_task (r, j));
}

/* Returns true if a call with TOKEN does not reach R.  */
static gboolean
is_cut_off (const struct runner *r, int64_t token)
{
  gboolean on_island = (fault_get ("island_runners") >> (r - runners)) & 1;

  return fault_get ("island_token") > 0
         && on_island != (token <= fault_get ("island_token"));
}

static void
handle_runner (struct exchange *x, struct runner *r)
{
  json_t *j = json_loadb (x->body, x->body_bytes, 0, NULL);
  int64_t token = json_integer_value (json_object_get (j, "FencingToken"));

  if (is_cut_off (r, token))
    {
      x->drop = 1;
      json_decref (j);
      return;
    }
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
    handle_start (x, r, j);
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
      gboolean answers = fault_get ("down_port") != runners[i].port;

      token = MAX (token, runners[i].token);
      end_due_tasks (&runners[i]);
      json_array_append_new (
          running, json_integer (answers ? runners[i].tasks->len : 0));
    }
  j = json_pack ("{s:I,s:I,s:I,s:I,s:I,s:I,s:o}", "started",
                 (json_int_t)started_count, "doubled",
                 (json_int_t)doubled_count, "after_done",
                 (json_int_t)after_done_count, "fenced",
                 (json_int_t)fenced_count, "lapsed", (json_int_t)lapsed_count,
                 "token", (json_int_t)token, "running", running);
  x->answer = json_dumps (j, JSON_COMPACT);
  x->answer_bytes = (uint32_t)strlen (x->answer);
  x->status = 200;
  json_decref (j);
}

static void
handle_store (struct exchange *x)
{
  if (fault_get ("joins_port") == x->port
      && strcmp (x->url, "/api/log-join") != 0)
    x->drop = 1;
  else if (fault_get ("store_busy") > 0
           && g_str_has_prefix (x->url, "/api/log-"))
    answer_set (x, 503, "{}");
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
  else if (strcmp (x->url, "/report") == 0)
    report (x);
  else
    handle_membership (x);
}

static void
handle (struct exchange *x)
{
  int i;

  pthread_mutex_lock (&lock);
  if (x->port == store_port || x->port > store_port + runner_count)
    handle_store (x);
  for (i = 0; i < runner_count; i++)
    if (runners[i].port == x->port)
      handle_runner (x, &runners[i]);
  pthread_mutex_unlock (&lock);
}

/* Registers what is no runner: nested deep, with numbers out of range, with a
   port out of range, and under keys that are no ids.  */
static void
write_odd_entries (void)
{
  static const char *const keys[]
      = { "r-nested", "r-number", "r-port", "r-%s\"\r\nX: 1", "r-\xff" };
  static const char *const formats[] = {
    "{\"Service\":\"p\",\"x\":%s}",
    "{\"Service\":\"p\",\"Address\":\"127.0.0.1:1\",\"State\":\"ready\","
    "\"born\":1e300,\"Room\":{\"Cpu\":1e300,\"MemMb\":1e300},\"x\":\"%s\"}",
    "{\"Service\":\"p\",\"Address\":\"127.0.0.1:99999\",\"State\":"
    "\"ready\",\"Room\":{\"Cpu\":8000,\"MemMb\":16000},\"x\":\"%s\"}",
    "{\"Service\":\"p\",\"x\":\"%s\"}", "\xff%s"
  };
  gchar *nest = g_strnfill (ODD_DEPTH_COUNT, '[');
  size_t i;

  for (i = 0; i < sizeof keys / sizeof keys[0]; i++)
    {
      gchar *value = g_strdup_printf (formats[i], nest);

      store_record (find_topic ("keyed.servers"), keys[i], strlen (keys[i]),
                    value, strlen (value));
      g_free (value);
    }
  g_free (nest);
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

          if (fault_get ("down_port") == runners[i].port)
            continue;
          g_snprintf (id, sizeof id, "r-%u", runners[i].port);
          g_snprintf (value, sizeof value,
                      "{\"Service\":\"p\",\"Address\":\"127.0.0.1:%u\","
                      "\"Zone\":\"z\",\"State\":\"ready\",\"born\":%lld,"
                      "\"Room\":{\"Cpu\":%d,\"MemMb\":16000,\"Gpu\":0},"
                      "\"Labels\":[\"a\",\"rack\"],\"Sequence\":%lld}",
                      runners[i].port, (long long)runners[i].booted_at_ms,
                      CPU_MILLI, (long long)sequence);
          store_record (find_topic ("keyed.servers"), id, strlen (id), value,
                        strlen (value));
        }
      if (fault_get ("odd_entries") > 0)
        write_odd_entries ();
      sequence++;
      pthread_cond_broadcast (&changed);
      pthread_mutex_unlock (&lock);
      sleep_ms (STATUS_INTERVAL_MS);
    }
  return NULL;
}

/* Writes the settings of the users' operators to the store.  */
static void
write_config (void)
{
  static const char config[]
      = "{\"Version\":1,\"Routes\":[{\"Name\":\"q\",\"Host\":\"site\","
        "\"PathPrefix\":\"/q/\",\"Service\":\"p\",\"MaxAttempts\":3,"
        "\"Stretch\":1.6,\"TargetLatencyMs\":600}],\"Services\":[{\"Name\":"
        "\"p\",\"AdmissionCheck\":true}],\"Tenants\":[{\"Name\":\"t\","
        "\"ApiKeys\":[\"key-of-t\"],\"Weight\":100}]}";

  store_record (find_topic ("keyed.op"), "config", 6, config, strlen (config));
}

int
main (int argc, char **argv)
{
  uint16_t first = (uint16_t)(argc > 1 ? atoi (argv[1]) : 0);
  uint16_t last = (uint16_t)(argc > 2 ? atoi (argv[2]) : 0);
  int link_count = argc > 3 ? atoi (argv[3]) : 0;
  pthread_t t;
  int i;

  store_port = first;
  runner_count = last - first;
  acknowledged = g_hash_table_new (g_str_hash, g_str_equal);
  for (i = 0; i < runner_count; i++)
    {
      struct runner *r = &runners[i];

      r->port = (uint16_t)(first + 1 + i);
      r->booted_at_ms = clock_ms ();
      r->tasks = g_ptr_array_new ();
      r->ended = g_ptr_array_new ();
      r->last_runs = g_hash_table_new (g_str_hash, g_str_equal);
    }
  write_config ();
  pthread_create (&t, NULL, write_status_loop, NULL);
  standin_handler = handle;
  return standin_serve (first, (uint16_t)(last + link_count));
}
