/* config_json.c -- decoding and encoding of the tables.  */

#include "adapter/config_json.h"

#include "adapter/json_document.h"
#include "adapter/json_field.h"

#include <string.h>

#define MAX_COUNT 1000000
#define MAX_MEMORY_MIB (64u << 20)
#define MAX_TIMEOUT_MS (24u * 3600 * 1000)
#define DEFAULT_TIMEOUT_MS 30000
#define DEFAULT_QUEUE_LIMIT_COUNT 10000
#define DEFAULT_SLOT_COUNT 8
#define DEFAULT_VM_CPU_COUNT 64
#define DEFAULT_VM_MEMORY_MIB (128u << 10)

/* Restricts the characters of names, which appear unescaped in URLs, metrics
   and log lines.  */
static void
check_name (struct json_reader *p, const char *key, const char *name)
{
  if (name[strspn (name, "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ"
                         "0123456789._-")]
      != '\0')
    json_add_finding (p, key,
                      "may hold letters, digits, '.', '_' and '-' only");
}

static void
read_name (struct json_reader *p, const char *key, char *dst)
{
  json_get_text (p, key, true, dst, NAME_BYTES);
  check_name (p, key, dst);
}

static int32_t
find_pool (const struct config *c, const char *name)
{
  uint32_t i;

  for (i = 0; i < c->pool_count; i++)
    if (strcmp (c->pools[i].name, name) == 0)
      return (int32_t)i;
  return -1;
}

static bool
has_team (const struct config *c, const char *name)
{
  uint32_t i;

  for (i = 0; i < c->team_count; i++)
    if (strcmp (c->teams[i].name, name) == 0)
      return true;
  return false;
}

static void
read_team (struct config *c, uint32_t i, struct json_reader *p)
{
  static const char *const known[] = { "name", "share", "ceiling", NULL };
  struct team_config *t = &c->teams[i];
  char name[NAME_BYTES];

  json_reject_unknown_keys (p, known);
  read_name (p, "name", name);
  if (name[0] != '\0' && has_team (c, name))
    json_add_finding (p, "name", "names a team twice");
  text_copy (t->name, NAME_BYTES, name);
  t->share_weight = (uint32_t)json_get_number (p, "share", 1, MAX_COUNT, 1);
  t->ceiling_count
      = (uint32_t)json_get_number (p, "ceiling", 0, MAX_COUNT, MAX_COUNT);
}

static void
read_vm (struct config *c, uint32_t pool_index, struct json_reader *p)
{
  static const char *const known[]
      = { "name", "address",    "zone",         "rack", "slots",
          "cpus", "memory_mib", "accelerators", NULL };
  struct vm_config *v;
  char name[NAME_BYTES];
  uint32_t i;

  json_reject_unknown_keys (p, known);
  read_name (p, "name", name);
  for (i = 0; i < c->vm_count; i++)
    if (name[0] != '\0' && strcmp (c->vms[i].name, name) == 0)
      json_add_finding (p, "name", "names a VM that is already in a pool");
  c->vms = talloc_realloc (c, c->vms, struct vm_config, c->vm_count + 1);
  v = &c->vms[c->vm_count++];
  memset (v, 0, sizeof *v);
  text_copy (v->name, NAME_BYTES, name);
  v->pool_index = pool_index;
  json_get_address (p, "address", true, v->address);
  json_get_text (p, "zone", false, v->zone, NAME_BYTES);
  json_get_text (p, "rack", false, v->rack, NAME_BYTES);
  v->slot_count = (uint32_t)json_get_number (p, "slots", 1, MAX_COUNT,
                                             DEFAULT_SLOT_COUNT);
  v->cpu_count = (uint32_t)json_get_number (p, "cpus", 1, MAX_COUNT,
                                            DEFAULT_VM_CPU_COUNT);
  v->memory_mib = (uint32_t)json_get_number (
      p, "memory_mib", 1, MAX_MEMORY_MIB, DEFAULT_VM_MEMORY_MIB);
  v->accelerator_count
      = (uint32_t)json_get_number (p, "accelerators", 0, MAX_COUNT, 0);
}

static void
read_pool (struct config *c, uint32_t i, struct json_reader *p)
{
  static const char *const known[]
      = { "name", "spare", "unavailable", "domains", "vms", NULL };
  struct pool_config *o = &c->pools[i];
  char name[NAME_BYTES];
  const json_t *vms;
  json_t *vm;
  size_t n;

  json_reject_unknown_keys (p, known);
  read_name (p, "name", name);
  if (name[0] != '\0' && find_pool (c, name) >= 0)
    json_add_finding (p, "name", "names a pool twice");
  text_copy (o->name, NAME_BYTES, name);
  o->is_spare = json_get_bool (p, "spare", false);
  o->max_unavailable_count
      = (uint32_t)json_get_number (p, "unavailable", 0, MAX_COUNT, 1);
  o->max_unavailable_rack_count
      = (uint32_t)json_get_number (p, "domains", 1, MAX_COUNT, 1);
  vms = json_get_array (p, "vms", true);
  json_array_foreach (vms, n, vm)
  {
    struct json_reader q;
    char path[2 * TEXT_BYTES];

    snprintf (path, sizeof path, "%s.vms[%zu]", p->path, n);
    if (json_reader_open (&q, p->findings, vm, path))
      read_vm (c, i, &q);
  }
}

static void
read_route_class (struct route_config *r, struct json_reader *p)
{
  char text[NAME_BYTES];

  json_get_text (p, "class", false, text, sizeof text);
  if (strcmp (text, "job") == 0)
    r->route_class = ROUTE_JOB;
  else if (text[0] != '\0' && strcmp (text, "wait") != 0)
    json_add_finding (p, "class", "expected \"wait\" or \"job\"");
}

static void
read_route (struct config *c, uint32_t i, struct json_reader *p)
{
  static const char *const known[]
      = { "queue",        "team",        "pool",   "class",
          "idempotent",   "open",        "urgent", "hold_log_outage",
          "timeout_ms",   "queue_limit", "cpus",   "memory_mib",
          "accelerators", NULL };
  struct route_config *r = &c->routes[i];
  char pool[NAME_BYTES];
  int32_t pool_index;
  uint32_t j;

  json_reject_unknown_keys (p, known);
  read_name (p, "queue", r->queue);
  for (j = 0; j < i; j++)
    if (r->queue[0] != '\0' && strcmp (c->routes[j].queue, r->queue) == 0)
      json_add_finding (p, "queue", "names a queue twice");
  json_get_text (p, "team", false, r->team, NAME_BYTES);
  if (r->team[0] != '\0' && !has_team (c, r->team))
    json_add_finding (p, "team", "names no team of this document");
  read_name (p, "pool", pool);
  pool_index = find_pool (c, pool);
  if (pool[0] != '\0' && pool_index < 0)
    json_add_finding (p, "pool", "names no pool of this document");
  r->pool_index = pool_index < 0 ? 0 : (uint32_t)pool_index;
  read_route_class (r, p);
  r->idempotent = json_get_bool (p, "idempotent", false);
  r->open_to_all = json_get_bool (p, "open", false);
  r->urgent = json_get_bool (p, "urgent", false);
  r->hold_log_outage = json_get_bool (p, "hold_log_outage", false);
  r->timeout_ms = (uint32_t)json_get_number (
      p, "timeout_ms", 1, MAX_TIMEOUT_MS, DEFAULT_TIMEOUT_MS);
  r->queue_limit_count = (uint32_t)json_get_number (
      p, "queue_limit", 1, MAX_COUNT, DEFAULT_QUEUE_LIMIT_COUNT);
  r->cpu_count = (uint32_t)json_get_number (p, "cpus", 0, MAX_COUNT, 0);
  r->memory_mib
      = (uint32_t)json_get_number (p, "memory_mib", 0, MAX_MEMORY_MIB, 0);
  r->accelerator_count
      = (uint32_t)json_get_number (p, "accelerators", 0, MAX_COUNT, 0);
}

typedef void read_row_fn (struct config *c, uint32_t i, struct json_reader *p);

/* Reads each row of TABLE.  *COUNT grows row by row, so that READ_ROW can
   check a row against the earlier ones.  */
static void
read_rows (struct config *c, struct json_reader *top, const char *table,
           const json_t *rows, uint32_t *count, read_row_fn *read_row)
{
  json_t *row;
  size_t n;

  json_array_foreach (rows, n, row)
  {
    struct json_reader p;
    char path[TEXT_BYTES];

    snprintf (path, sizeof path, "%s[%zu]", table, n);
    if (json_reader_open (&p, top->findings, row, path))
      read_row (c, *count, &p);
    ++*count;
  }
}

struct config *
config_from_json (TALLOC_CTX *mem, const json_t *document, struct findings *f)
{
  static const char *const known[]
      = { "base_version", "teams", "pools", "routes", NULL };
  struct config *c = talloc_zero (mem, struct config);
  struct json_reader top;
  const json_t *teams;
  const json_t *pools;
  const json_t *routes;

  if (!json_reader_open (&top, f, document, ""))
    {
      talloc_free (c);
      return NULL;
    }
  json_reject_unknown_keys (&top, known);
  c->base_version = json_get_number (&top, "base_version", 0, INT64_MAX, 0);
  teams = json_get_array (&top, "teams", false);
  pools = json_get_array (&top, "pools", true);
  routes = json_get_array (&top, "routes", true);
  c->teams
      = talloc_zero_array (c, struct team_config, json_array_size (teams));
  c->pools
      = talloc_zero_array (c, struct pool_config, json_array_size (pools));
  c->routes
      = talloc_zero_array (c, struct route_config, json_array_size (routes));
  read_rows (c, &top, "teams", teams, &c->team_count, read_team);
  read_rows (c, &top, "pools", pools, &c->pool_count, read_pool);
  read_rows (c, &top, "routes", routes, &c->route_count, read_route);
  if (f->item_count > 0)
    {
      talloc_free (c);
      return NULL;
    }
  return c;
}

static json_t *
vm_to_json (const struct vm_config *v)
{
  return json_pack ("{s:s, s:s, s:s, s:s, s:i, s:i, s:i, s:i}", "name",
                    v->name, "address", v->address, "zone", v->zone, "rack",
                    v->rack, "slots", (int)v->slot_count, "cpus",
                    (int)v->cpu_count, "memory_mib", (int)v->memory_mib,
                    "accelerators", (int)v->accelerator_count);
}

static json_t *
pool_to_json (const struct config *c, uint32_t pool_index)
{
  const struct pool_config *o = &c->pools[pool_index];
  json_t *vms = json_array ();
  uint32_t i;

  for (i = 0; i < c->vm_count; i++)
    if (c->vms[i].pool_index == pool_index)
      json_array_append_new (vms, vm_to_json (&c->vms[i]));
  return json_pack ("{s:s, s:b, s:i, s:i, s:o}", "name", o->name, "spare",
                    (int)o->is_spare, "unavailable",
                    (int)o->max_unavailable_count, "domains",
                    (int)o->max_unavailable_rack_count, "vms", vms);
}

static json_t *
route_to_json (const struct config *c, const struct route_config *r)
{
  return json_pack (
      "{s:s, s:s, s:s, s:s, s:b, s:b, s:b, s:b, s:i, s:i, s:i, s:i, s:i}",
      "queue", r->queue, "team", r->team, "pool", c->pools[r->pool_index].name,
      "class", r->route_class == ROUTE_JOB ? "job" : "wait", "idempotent",
      (int)r->idempotent, "open", (int)r->open_to_all, "urgent",
      (int)r->urgent, "hold_log_outage", (int)r->hold_log_outage, "timeout_ms",
      (int)r->timeout_ms, "queue_limit", (int)r->queue_limit_count, "cpus",
      (int)r->cpu_count, "memory_mib", (int)r->memory_mib, "accelerators",
      (int)r->accelerator_count);
}

json_t *
config_to_json (const struct config *c)
{
  json_t *teams = json_array ();
  json_t *pools = json_array ();
  json_t *routes = json_array ();
  uint32_t i;

  for (i = 0; i < c->team_count; i++)
    json_array_append_new (
        teams, json_pack ("{s:s, s:i, s:i}", "name", c->teams[i].name, "share",
                          (int)c->teams[i].share_weight, "ceiling",
                          (int)c->teams[i].ceiling_count));
  for (i = 0; i < c->pool_count; i++)
    json_array_append_new (pools, pool_to_json (c, i));
  for (i = 0; i < c->route_count; i++)
    json_array_append_new (routes, route_to_json (c, &c->routes[i]));
  return json_pack ("{s:I, s:o, s:o, s:o}", "base_version",
                    (json_int_t)c->base_version, "teams", teams, "pools",
                    pools, "routes", routes);
}

struct config *
config_from_file (TALLOC_CTX *mem, const char *file, struct findings **f)
{
  json_t *document = json_document_read (mem, file, f);
  struct config *c = NULL;

  if (document != NULL)
    c = config_from_json (mem, document, *f);
  json_decref (document);
  return c;
}
