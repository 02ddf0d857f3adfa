/* fleet.c -- stand-in of the fleet service: lists, drains, reboots and removes
   VMs, and returns drained ones to service.

   POST /vms sets the VMs by a JSON list of names or of objects with name,
   pool, rack and port of the VM's worker.  GET /report shows its own record:
   for each pool the most VMs and the most racks out of service at once
   ("most"), the reboots of each VM, the requests for an operation whose id is
   known ("repeats"), and the requests that ran on a VM when it was rebooted
   ("cut").

   Faults besides those of server.h: reboot_ms=N (time of a reboot), no_return
   (reboots do not end), lag_ms=N (the list shown is up to N ms old) and
   list_empty (the list has no VMs).  */

#include "tests/standin/server.h"

#include <curl/curl.h>
#include <glib.h>
#include <jansson.h>
#include <pthread.h>
#include <stdlib.h>
#include <string.h>

#define VM_LIMIT 4096
#define OPERATION_LIMIT 65536
#define NAME_BYTES 64
#define DEFAULT_REBOOT_MS 200

/** What a VM does now.  */
enum vm_state
{
  VM_LIVE,
  VM_DRAINING, /**< Also after a reboot, until it is returned.  */
  VM_REBOOTING,
  VM_GONE
};

struct vm
{
  char name[NAME_BYTES];
  char pool[NAME_BYTES];
  char rack[NAME_BYTES];
  enum vm_state state;
  enum vm_state shown;   /**< State in the list shown.  */
  int64_t shown_version; /**< Version of the list that last changed it.  */
  int64_t port;          /**< Of its worker; 0 if none.  */
  int64_t reboot_end_ms; /**< End of the last reboot.  */
  int64_t reboot_count;
};

struct operation
{
  char id[NAME_BYTES * 2];
  struct vm *vm;
  int64_t reboot_number; /**< Of the reboot that it waits for; 0 if none.  */
};

static struct vm vms[VM_LIMIT];
static int vm_count;
static struct operation operations[OPERATION_LIMIT];
static int operation_count;
static int64_t repeat_count; /**< Requests with the id of a known operation. */
static int64_t cut_count;    /**< Requests running on VMs at their reboots.  */
static int64_t version = 1;
static int64_t list_time_ms;   /**< Time of the list shown.  */
static GHashTable *high_water; /**< Highest counts, by "out POOL" and "racks
                                  POOL".  */
static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;

static const char *const state_names[]
    = { "live", "draining", "rebooting", "gone" };

static struct vm *
find_vm (const char *name)
{
  int i;

  for (i = 0; i < vm_count; i++)
    if (strcmp (vms[i].name, name) == 0)
      return &vms[i];
  return NULL;
}

static void
copy_text (char *dst, const json_t *text)
{
  if (json_is_string (text))
    g_strlcpy (dst, json_string_value (text), NAME_BYTES);
}

static void
put_vms (struct exchange *x)
{
  json_t *list = json_loadb (x->body, x->body_bytes, 0, NULL);
  json_t *vm;
  size_t i;

  vm_count = 0;
  version++;
  json_array_foreach (list, i, vm)
  {
    struct vm *v = &vms[vm_count++];

    memset (v, 0, sizeof *v);
    v->shown_version = version;
    copy_text (v->name,
               json_is_object (vm) ? json_object_get (vm, "name") : vm);
    copy_text (v->pool, json_object_get (vm, "pool"));
    copy_text (v->rack, json_object_get (vm, "rack"));
    v->port = json_integer_value (json_object_get (vm, "port"));
  }
  json_decref (list);
  answer_set (x, 200, "{}");
}

/* Ends the reboot of V if its time is over.  */
static void
finish_reboot (struct vm *v)
{
  if (v->state == VM_REBOOTING && clock_ms () >= v->reboot_end_ms
      && !fault_get ("no_return"))
    v->state = VM_DRAINING;
}

/* Records N as the count of KIND in POOL if it is the highest so far.  */
static void
update_high_water (const char *kind, const char *pool, int64_t n)
{
  char *key = g_strconcat (kind, " ", pool, NULL);

  if (n > (int64_t)(intptr_t)g_hash_table_lookup (high_water, key))
    g_hash_table_insert (high_water, key, (gpointer)(intptr_t)n);
  else
    g_free (key);
}

/* Records how many VMs and racks of POOL are out of service now.  */
static void
record_out (const char *pool)
{
  GHashTable *racks = g_hash_table_new (g_str_hash, g_str_equal);
  int64_t n = 0;
  int i;

  for (i = 0; i < vm_count; i++)
    if (vms[i].state != VM_LIVE && strcmp (vms[i].pool, pool) == 0)
      {
        n++;
        g_hash_table_add (racks, vms[i].rack);
      }
  update_high_water ("out", pool, n);
  update_high_water ("racks", pool, g_hash_table_size (racks));
  g_hash_table_destroy (racks);
}

/* Brings the list shown up to date if it is older than the fault lag_ms.  */
static void
refresh_list (void)
{
  int64_t now = clock_ms ();
  int i;

  if (now < list_time_ms + fault_get ("lag_ms"))
    return;
  list_time_ms = now;
  for (i = 0; i < vm_count; i++)
    {
      finish_reboot (&vms[i]);
      if (vms[i].shown == vms[i].state)
        continue;
      vms[i].shown = vms[i].state;
      vms[i].shown_version = ++version;
    }
}

static void
list_vms (struct exchange *x)
{
  int64_t since = query_get (x, "since", 0);
  json_t *list = json_array ();
  json_t *page;
  int i;

  refresh_list ();
  if (since > version)
    since = 0;
  for (i = 0; i < vm_count && !fault_get ("list_empty"); i++)
    if (vms[i].shown_version > since)
      json_array_append_new (list,
                             json_pack ("{s:s, s:s}", "name", vms[i].name,
                                        "state", state_names[vms[i].shown]));
  page = json_pack ("{s:I, s:I, s:b, s:o}", "at_ms", (json_int_t)list_time_ms,
                    "version", (json_int_t)version, "whole", since == 0, "vms",
                    list);
  x->answer = json_dumps (page, JSON_COMPACT);
  x->answer_bytes = (uint32_t)strlen (x->answer);
  x->status = 200;
  json_decref (page);
}

static struct operation *
find_operation (const char *id)
{
  int i;

  for (i = 0; i < operation_count; i++)
    if (strcmp (operations[i].id, id) == 0)
      return &operations[i];
  return NULL;
}

static void
answer_operation (struct exchange *x, const struct operation *o)
{
  int running;

  finish_reboot (o->vm);
  running = o->reboot_number > 0 && o->vm->reboot_count == o->reboot_number
            && o->vm->state == VM_REBOOTING;
  answer_set (x, 200, "{\"operation\":\"%s\",\"state\":\"%s\"}",
              running ? "running" : "done", state_names[o->vm->state]);
}

static size_t
read_number (char *data, size_t size, size_t count, void *state)
{
  char text[32] = { 0 };

  memcpy (text, data, MIN (size * count, sizeof text - 1));
  *(int64_t *)state = strtoll (text, NULL, 10);
  return size * count;
}

/* Returns how many requests run on the worker of V, by its own count.  */
static int64_t
get_running_count (const struct vm *v)
{
  CURL *easy = curl_easy_init ();
  int64_t n = 0;
  char url[64];

  g_snprintf (url, sizeof url, "http://127.0.0.1:%d/running", (int)v->port);
  curl_easy_setopt (easy, CURLOPT_URL, url);
  curl_easy_setopt (easy, CURLOPT_PROXY, "");
  curl_easy_setopt (easy, CURLOPT_WRITEFUNCTION, read_number);
  curl_easy_setopt (easy, CURLOPT_WRITEDATA, &n);
  if (v->port > 0)
    curl_easy_perform (easy);
  curl_easy_cleanup (easy);
  return n;
}

/* Carries out VERB on V; a reboot is only started and ends later.  */
static void
apply_verb (struct vm *v, const char *verb)
{
  int64_t reboot_ms = fault_get ("reboot_ms");

  finish_reboot (v);
  if (strcmp (verb, "drain") == 0)
    v->state = VM_DRAINING;
  else if (strcmp (verb, "return") == 0)
    v->state = VM_LIVE;
  else if (strcmp (verb, "remove") == 0)
    v->state = VM_GONE;
  else if (strcmp (verb, "reboot") == 0)
    {
      cut_count += get_running_count (v);
      v->state = VM_REBOOTING;
      v->reboot_count++;
      v->reboot_end_ms
          = clock_ms () + (reboot_ms ? reboot_ms : DEFAULT_REBOOT_MS);
    }
  record_out (v->pool);
}

/* Handles POST /v1/vms/NAME/VERB?id=ID; an operation with an id that is known
   is not started again.  */
static void
start_operation (struct exchange *x)
{
  const char *id = MHD_lookup_connection_value (x->connection,
                                                MHD_GET_ARGUMENT_KIND, "id");
  struct operation *o = id ? find_operation (id) : NULL;
  struct operation once = { 0 };
  char name[NAME_BYTES];
  char verb[NAME_BYTES];
  struct vm *v = NULL;

  if (sscanf (x->url, "/v1/vms/%63[^/]/%63s", name, verb) == 2)
    v = find_vm (name);
  if (v == NULL)
    {
      answer_set (x, 409, "{}");
      return;
    }
  if (o != NULL)
    {
      repeat_count++;
      answer_operation (x, o);
      return;
    }
  apply_verb (v, verb);
  /* Without an id or a free row the operation is not remembered.  */
  o = id && operation_count < OPERATION_LIMIT ? &operations[operation_count++]
                                              : &once;
  g_strlcpy (o->id, id ? id : "", sizeof o->id);
  o->vm = v;
  o->reboot_number = strcmp (verb, "reboot") == 0 ? v->reboot_count : 0;
  answer_operation (x, o);
}

/* Handles GET /v1/ops/ID.  */
static void
get_operation (struct exchange *x)
{
  const struct operation *o = find_operation (x->url + strlen ("/v1/ops/"));

  if (o == NULL)
    answer_set (x, 404, "{}");
  else
    answer_operation (x, o);
}

static void
report (struct exchange *x)
{
  json_t *reboots = json_object ();
  json_t *high_water_json = json_object ();
  json_t *all;
  GHashTableIter it;
  gpointer key;
  gpointer value;
  int i;

  for (i = 0; i < vm_count; i++)
    json_object_set_new (reboots, vms[i].name,
                         json_integer (vms[i].reboot_count));
  g_hash_table_iter_init (&it, high_water);
  while (g_hash_table_iter_next (&it, &key, &value))
    json_object_set_new (high_water_json, key, json_integer ((intptr_t)value));
  all = json_pack ("{s:o, s:o, s:I, s:I}", "reboots", reboots, "most",
                   high_water_json, "repeats", (json_int_t)repeat_count, "cut",
                   (json_int_t)cut_count);
  x->answer = json_dumps (all, JSON_COMPACT | JSON_SORT_KEYS);
  x->answer_bytes = (uint32_t)strlen (x->answer);
  x->status = 200;
  json_decref (all);
}

static void
handle (struct exchange *x)
{
  pthread_mutex_lock (&lock);
  if (strcmp (x->url, "/vms") == 0)
    put_vms (x);
  else if (strcmp (x->url, "/v1/vms") == 0)
    list_vms (x);
  else if (strcmp (x->url, "/report") == 0)
    report (x);
  else if (strncmp (x->url, "/v1/ops/", strlen ("/v1/ops/")) == 0)
    get_operation (x);
  else
    start_operation (x);
  pthread_mutex_unlock (&lock);
}

int
main (int argc, char **argv)
{
  uint16_t port = argc > 1 ? (uint16_t)atoi (argv[1]) : 7002;

  curl_global_init (CURL_GLOBAL_DEFAULT);
  high_water = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  standin_handler = handle;
  return standin_serve (port, port);
}
