/* site.c -- stand-in of the users' platform, one process.

   The first port is the store and the cloud, each further port is a runner
   "r-PORT" on VM "m-PORT" in pool "p", 8 cores each.  A task runs for as many
   milliseconds as its payload says.  GET /report on the first port: what the
   runners saw.  Faults: down, lose_starts (every Nth start is done and not
   answered), late_starts (every Nth is done a second later and not answered),
   lose_appends (every Nth append).  */

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
#define BEAT_MS 500
#define LATE_MS 1000
#define CPU_MILLI 8000
#define PAGE_COUNT 500

struct record
{
  char *key;
  uint8_t *value;
  size_t value_bytes;
};

struct topic
{
  char name[64];
  struct record *records;
  int64_t end;
  int64_t epoch;
  int64_t sequence;
};

struct member
{
  char name[64];
  int64_t expires_ms;
};

struct task
{
  char name[64];
  int64_t run;
  int64_t ends_ms;
  int64_t stop_ms;
};

struct ended
{
  int64_t number;
  char name[64];
  int64_t run;
  const char *how;
};

struct runner
{
  uint16_t port;
  int64_t born_ms;
  int64_t token;
  int64_t lease_until_ms;
  GPtrArray *tasks; /**< struct task.  */
  GPtrArray *ended; /**< struct ended.  */
  int64_t next_number;
  GHashTable *stopped; /**< Name to highest run stopped or ended.  */
};

static struct topic topics[TOPIC_COUNT];
static struct member members[MEMBER_COUNT];
static char holder[64]; /**< Of partition 0.  */
static int64_t generation;
static struct runner runners[RUNNER_COUNT];
static int runner_count;
static uint16_t store_port;
static int64_t started_count;
static int64_t doubled_count;    /**< Two runs of a task at once.  */
static int64_t after_done_count; /**< Starts after an end "done" was noted.  */
static int64_t fenced_count;
static GHashTable *noted; /**< Names of tasks whose "done" was noted.  */
static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static pthread_cond_t changed = PTHREAD_COND_INITIALIZER;

static const char *
query_text (struct exchange *x, const char *name)
{
  const char *v = MHD_lookup_connection_value (x->connection,
                                               MHD_GET_ARGUMENT_KIND, name);

  return v != NULL ? v : "";
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
  topics[i].records = calloc (RECORD_COUNT, sizeof (struct record));
  topics[i].sequence = -1;
  return &topics[i];
}

static void
add_record (struct topic *t, const char *key, size_t key_bytes,
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
big_number (const uint8_t *b)
{
  return (size_t)b[0] << 24 | (size_t)b[1] << 16 | (size_t)b[2] << 8 | b[3];
}

/* Checks producer, epoch and sequence; returns true if it is to be done.  */
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
      size_t n = big_number (b + i);
      size_t key_bytes = b[i + 4];

      add_record (t, (const char *)b + i + 5, key_bytes, b + i + 5 + key_bytes,
                  n - 1 - key_bytes);
      i += 4 + (uint32_t)n;
    }
  pthread_cond_broadcast (&changed);
  append_count++;
  if (fault_get ("lose_appends") > 0
      && append_count % fault_get ("lose_appends") == 0)
    x->cut = 1;
  answer_set (x, 200, "{\"Offset\":%lld,\"End\":%lld}", (long long)first,
              (long long)t->end);
}

static void
put_number (GByteArray *a, uint64_t n, int bytes)
{
  while (bytes-- > 0)
    {
      guint8 c = (guint8)(n >> (8 * bytes));

      g_byte_array_append (a, &c, 1);
    }
}

/* Waits on the lock until UNTIL_MS of the wall clock.  */
static void
wait_until (int64_t until_ms)
{
  struct timespec t
      = { .tv_sec = until_ms / 1000, .tv_nsec = until_ms % 1000 * 1000000 };

  pthread_cond_timedwait (&changed, &lock, &t);
}

static void
read_log (struct exchange *x)
{
  struct topic *t = find_topic (query_text (x, "Topic"));
  int64_t from = query_get (x, "From", 0);
  int64_t until_ms = clock_ms () + query_get (x, "WaitMs", 0);
  GByteArray *a = g_byte_array_new ();
  int64_t i;

  while (t->end <= from && clock_ms () < until_ms)
    wait_until (until_ms);
  put_number (a, (uint64_t)t->end, 8);
  put_number (a, 0, 8);
  for (i = from; i < t->end; i++)
    {
      const struct record *r = &t->records[i];
      size_t key_bytes = strlen (r->key);

      put_number (a, 1 + key_bytes + r->value_bytes, 4);
      put_number (a, key_bytes, 1);
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
by_key (gconstpointer a, gconstpointer b)
{
  const struct record *x = *(struct record *const *)a;
  const struct record *y = *(struct record *const *)b;

  return strcmp (x->key, y->key);
}

static void
newest (struct exchange *x)
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
  g_ptr_array_sort (rows, by_key);
  for (k = 0; k < rows->len && k < PAGE_COUNT; k++)
    {
      const struct record *r = g_ptr_array_index (rows, k);
      gchar *text = g_base64_encode (r->value, r->value_bytes);

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
  x->answer_bytes = (uint32_t)strlen (x->answer);
  x->status = 200;
  g_ptr_array_free (rows, TRUE);
  g_hash_table_destroy (last);
}

static struct member *
find_member (const char *name, gboolean make)
{
  int i;

  for (i = 0; i < MEMBER_COUNT; i++)
    if (strcmp (members[i].name, name) == 0)
      return &members[i];
  for (i = 0; make && i < MEMBER_COUNT; i++)
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
  if (strcmp (holder, m->name) == 0)
    holder[0] = '\0';
  m->name[0] = '\0';
  generation++;
}

static void
expire_members (void)
{
  int i;

  for (i = 0; i < MEMBER_COUNT; i++)
    if (members[i].name[0] != '\0' && clock_ms () > members[i].expires_ms)
      drop_member (&members[i]);
}

static void
group_call (struct exchange *x)
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
      m->expires_ms
          = clock_ms () + json_integer_value (json_object_get (j, "TtlMs"));
      if (holder[0] == '\0')
        g_strlcpy (holder, name, sizeof holder);
      answer_set (x, 200, "{\"Generation\":%lld,\"parts\":[%s]}",
                  (long long)generation,
                  strcmp (holder, name) == 0 ? "[\"cells\",0,0]" : "");
    }
  json_decref (j);
}

static void
owners (struct exchange *x)
{
  expire_members ();
  if (holder[0] != '\0')
    answer_set (x, 200, "{\"parts\":[[\"cells\",0,\"%s\",0]]}", holder);
  else
    answer_set (x, 200, "{\"parts\":[]}");
}

static void
machines (struct exchange *x)
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
end_task (struct runner *r, struct task *t, const char *how)
{
  struct ended *e = g_new0 (struct ended, 1);

  e->number = ++r->next_number;
  g_strlcpy (e->name, t->name, sizeof e->name);
  e->run = t->run;
  e->how = how;
  g_ptr_array_add (r->ended, e);
  g_hash_table_insert (r->stopped, g_strdup (t->name),
                       GINT_TO_POINTER ((int)t->run));
  g_ptr_array_remove (r->tasks, t);
  g_free (t);
}

/* Ends what is due, or what has no lease.  */
static void
advance (struct runner *r)
{
  int64_t now = clock_ms ();
  guint i = 0;

  while (i < r->tasks->len)
    {
      struct task *t = g_ptr_array_index (r->tasks, i);

      if (t->stop_ms > 0 && now >= t->stop_ms)
        end_task (r, t, "stopped");
      else if (now >= t->ends_ms)
        end_task (r, t, "done");
      else if (now - r->born_ms > r->lease_until_ms)
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
count_start (const struct runner *own, const char *name)
{
  int i;

  started_count++;
  if (g_hash_table_contains (noted, name))
    after_done_count++;
  for (i = 0; i < runner_count; i++)
    {
      advance (&runners[i]);
      if (&runners[i] != own && find_task (&runners[i], name) != NULL)
        doubled_count++;
    }
}

static const char *
start (struct runner *r, json_t *j)
{
  const char *name = json_string_value (json_object_get (j, "Task"));
  int64_t run = json_integer_value (json_object_get (j, "Run"));
  int64_t until = json_integer_value (json_object_get (j, "UntilMs"));
  const char *spec = json_string_value (json_object_get (j, "Spec"));
  struct task *t = find_task (r, name);

  if (until < clock_ms () - r->born_ms)
    return "late";
  r->lease_until_ms = MAX (r->lease_until_ms, until);
  if (t != NULL)
    return t->run == run ? NULL : "old";
  if (run <= GPOINTER_TO_INT (g_hash_table_lookup (r->stopped, name)))
    return "old";
  if (r->tasks->len >= CPU_MILLI / 1000)
    return "room";
  count_start (r, name);
  t = g_new0 (struct task, 1);
  g_strlcpy (t->name, name, sizeof t->name);
  t->run = run;
  t->ends_ms = clock_ms () + (spec ? strtoll (spec, NULL, 10) : 0);
  g_ptr_array_add (r->tasks, t);
  return NULL;
}

static void
stop (struct runner *r, json_t *j)
{
  const char *name = json_string_value (json_object_get (j, "Task"));
  int64_t run = json_integer_value (json_object_get (j, "Run"));
  struct task *t = find_task (r, name);

  if (t != NULL && t->run <= run)
    t->stop_ms = clock_ms () + 20;
  else if (t == NULL)
    g_hash_table_insert (
        r->stopped, g_strdup (name),
        GINT_TO_POINTER ((int)MAX (
            run, GPOINTER_TO_INT (g_hash_table_lookup (r->stopped, name)))));
}

static void
note_ends (struct runner *r, int64_t number)
{
  while (r->ended->len > 0)
    {
      struct ended *e = g_ptr_array_index (r->ended, 0);

      if (e->number > number)
        return;
      if (strcmp (e->how, "done") == 0)
        g_hash_table_add (noted, g_strdup (e->name));
      g_ptr_array_remove_index (r->ended, 0);
      g_free (e);
    }
}

static void
hold (struct exchange *x, struct runner *r, json_t *j)
{
  int64_t until_ms
      = clock_ms () + json_integer_value (json_object_get (j, "WaitMs"));
  json_t *running = json_array ();
  json_t *ended = json_array ();
  json_t *out;
  guint i;

  r->lease_until_ms = MAX (
      r->lease_until_ms, json_integer_value (json_object_get (j, "UntilMs")));
  note_ends (r, json_integer_value (json_object_get (j, "LastSeen")));
  while (r->ended->len == 0 && clock_ms () < until_ms)
    {
      wait_until (MIN (until_ms, clock_ms () + 20));
      advance (r);
    }
  for (i = 0; i < r->tasks->len; i++)
    {
      const struct task *t = g_ptr_array_index (r->tasks, i);

      json_array_append_new (
          running,
          json_pack ("[s,I,s,i,i]", t->name, (json_int_t)t->run, "", 100, 0));
    }
  for (i = 0; i < r->ended->len; i++)
    {
      const struct ended *e = g_ptr_array_index (r->ended, i);

      json_array_append_new (
          ended, json_pack ("[I,s,I,s,s]", (json_int_t)e->number, e->name,
                            (json_int_t)e->run, e->how, ""));
    }
  out = json_pack ("{s:I,s:I,s:o,s:o}", "ClockMs",
                   (json_int_t)(clock_ms () - r->born_ms), "born",
                   (json_int_t)r->born_ms, "Running", running, "Ended", ended);
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
                (long long)(clock_ms () - r->born_ms), (long long)r->born_ms);
  else
    answer_set (x, 409, "{\"ClockMs\":%lld,\"born\":%lld,\"Reason\":\"%s\"}",
                (long long)(clock_ms () - r->born_ms), (long long)r->born_ms,
                reason);
}

static void
start_call (struct exchange *x, struct runner *r, json_t *j)
{
  static int64_t count;

  count++;
  if (fault_get ("late_starts") > 0 && count % fault_get ("late_starts") == 0)
    {
      int64_t until_ms = clock_ms () + LATE_MS;

      while (clock_ms () < until_ms)
        wait_until (until_ms);
      x->cut = 1;
      if (json_integer_value (json_object_get (j, "FencingToken")) < r->token)
        {
          fenced_count++;
          answer_runner (x, r, "fence");
          return;
        }
    }
  else if (fault_get ("lose_starts") > 0
           && count % fault_get ("lose_starts") == 0)
    x->cut = 1;
  answer_runner (x, r, start (r, j));
}

static void
runner_call (struct exchange *x, struct runner *r)
{
  json_t *j = json_loadb (x->body, x->body_bytes, 0, NULL);
  int64_t token = json_integer_value (json_object_get (j, "FencingToken"));

  advance (r);
  if (token < r->token)
    {
      fenced_count++;
      answer_runner (x, r, "fence");
      json_decref (j);
      return;
    }
  r->token = token;
  if (strcmp (x->url, "/api/hold") == 0)
    hold (x, r, j);
  else if (strcmp (x->url, "/api/run-start") == 0)
    start_call (x, r, j);
  else if (strcmp (x->url, "/api/run-stop") == 0)
    {
      stop (r, j);
      answer_runner (x, r, NULL);
    }
  else
    answer_runner (x, r, NULL);
  json_decref (j);
}

static void
store_call (struct exchange *x)
{
  if (strcmp (x->url, "/api/log-append") == 0)
    append (x);
  else if (strcmp (x->url, "/api/log-read") == 0)
    read_log (x);
  else if (strcmp (x->url, "/api/log-newest") == 0)
    newest (x);
  else if (strcmp (x->url, "/api/log-owners") == 0)
    owners (x);
  else if (strcmp (x->url, "/api/machines") == 0)
    machines (x);
  else if (strcmp (x->url, "/report") == 0)
    answer_set (x, 200,
                "{\"started\":%lld,\"doubled\":%lld,\"after_done\":%lld,"
                "\"fenced\":%lld}",
                (long long)started_count, (long long)doubled_count,
                (long long)after_done_count, (long long)fenced_count);
  else
    group_call (x);
}

static void
handle (struct exchange *x)
{
  int i;

  pthread_mutex_lock (&lock);
  if (x->port == store_port)
    store_call (x);
  for (i = 0; i < runner_count; i++)
    if (runners[i].port == x->port)
      runner_call (x, &runners[i]);
  pthread_mutex_unlock (&lock);
}

/* What the runners write of themselves.  */
static void *
beat (void *state)
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
                      "{\"Service\":\"p\",\"Address\":\"127.0.0.1:%u\","
                      "\"Zone\":\"z\",\"State\":\"ready\",\"born\":%lld,"
                      "\"Room\":{\"Cpu\":%d,\"MemMb\":16000,\"Gpu\":0},"
                      "\"Labels\":[\"a\",\"rack\"],\"Sequence\":%lld}",
                      runners[i].port, (long long)runners[i].born_ms,
                      CPU_MILLI, (long long)sequence);
          add_record (find_topic ("keyed.servers"), id, strlen (id), value,
                      strlen (value));
        }
      sequence++;
      pthread_cond_broadcast (&changed);
      pthread_mutex_unlock (&lock);
      sleep_ms (BEAT_MS);
    }
  return NULL;
}

static void
write_config (void)
{
  static const char config[]
      = "{\"Version\":1,\"Routes\":[{\"Name\":\"q\",\"Host\":\"site\","
        "\"PathPrefix\":\"/q/\",\"Service\":\"p\",\"MaxAttempts\":3,"
        "\"Stretch\":1.6,\"TargetLatencyMs\":600}],\"Services\":[{\"Name\":"
        "\"p\",\"AdmissionCheck\":true}],\"Tenants\":[{\"Name\":\"t\","
        "\"ApiKeys\":[\"key-of-t\"],\"Weight\":100}]}";

  add_record (find_topic ("keyed.op"), "config", 6, config, strlen (config));
}

int
main (int argc, char **argv)
{
  uint16_t first = (uint16_t)(argc > 1 ? atoi (argv[1]) : 0);
  uint16_t last = (uint16_t)(argc > 2 ? atoi (argv[2]) : 0);
  pthread_t t;
  int i;

  store_port = first;
  runner_count = last - first;
  noted = g_hash_table_new (g_str_hash, g_str_equal);
  for (i = 0; i < runner_count; i++)
    {
      struct runner *r = &runners[i];

      r->port = (uint16_t)(first + 1 + i);
      r->born_ms = clock_ms ();
      r->tasks = g_ptr_array_new ();
      r->ended = g_ptr_array_new ();
      r->stopped = g_hash_table_new (g_str_hash, g_str_equal);
    }
  write_config ();
  pthread_create (&t, NULL, beat, NULL);
  standin_handler = handle;
  return standin_serve (first, last);
}
