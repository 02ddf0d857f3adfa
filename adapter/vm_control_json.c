/* vm_control_json.c -- decoding and encoding of the state of VMs and waves. */

#include "adapter/vm_control_json.h"

#include <stdio.h>
#include <string.h>

/* Returns the pool of VM I in the tables F.  */
static const char *
table_pool (const struct config *f, uint32_t i)
{
  return f->pools[f->vms[i].pool_index].name;
}

/* Returns true if V is as set_default_state leaves it: it serves in POOL, its
   pool in the tables, and nothing else is known of it.  */
static bool
has_default_state (const struct vm_lifecycle *v, const char *pool)
{
  return v->phase == VM_SERVING && !v->lost && v->drain_id == 0
         && v->wave[0] == '\0' && v->move_to[0] == '\0'
         && v->drained_by_count == 0 && strcmp (v->configured_pool, pool) == 0
         && strcmp (v->pool, pool) == 0;
}

/* --- decoding --- */

/* Returns the index of the VM NAME, or v->vm_count if there is none.  */
static uint32_t
find_vm (const struct vm_control *v, const char *name)
{
  uint32_t i;

  for (i = 0; i < v->vm_count; i++)
    if (strcmp (v->vms[i].name, name) == 0)
      break;
  return i;
}

static void
read_drained_by (struct vm_control *c, struct vm_lifecycle *v,
                 struct json_reader *p)
{
  const json_t *list = json_get_array (p, "drained_by", true);
  json_t *n;
  size_t i;

  v->drained_by_count = (uint32_t)json_array_size (list);
  if (v->drained_by_count == 0)
    return;
  v->drained_by = talloc_zero_array (c, uint64_t, v->drained_by_count);
  json_array_foreach (list, i, n)
  {
    v->drained_by[i] = (uint64_t)json_integer_value (n);
  }
}

static void
read_vm (struct vm_control *c, struct json_reader *p)
{
  char name[NAME_BYTES];
  struct vm_lifecycle *v;
  uint32_t i;

  json_get_text (p, "name", true, name, sizeof name);
  i = find_vm (c, name);
  if (i == c->vm_count)
    {
      json_add_finding (p, "name", "names no VM of the tables");
      return;
    }
  v = &c->vms[i];
  json_get_text (p, "home", true, v->configured_pool, NAME_BYTES);
  json_get_text (p, "pool", true, v->pool, NAME_BYTES);
  v->phase
      = (enum vm_phase)json_get_number (p, "phase", 0, VM_PHASE_COUNT - 1, 0);
  v->lost = json_get_bool (p, "lost", false);
  v->drain_id = json_get_number (p, "drain_id", 0, INT64_MAX, 0);
  json_get_text (p, "wave", false, v->wave, NAME_BYTES);
  json_get_text (p, "move_to", false, v->move_to, NAME_BYTES);
  read_drained_by (c, v, p);
}

static void
read_wave_vms (struct wave *w, struct json_reader *p)
{
  const json_t *list = json_get_array (p, "vms", true);
  json_t *row;
  size_t i;

  w->vm_count = (uint32_t)json_array_size (list);
  w->vms = talloc_zero_array (w, struct wave_vm, w->vm_count + 1);
  json_array_foreach (list, i, row)
  {
    struct json_reader q;

    if (!json_reader_open (&q, p->findings, row, p->path))
      continue;
    json_get_text (&q, "name", true, w->vms[i].name, NAME_BYTES);
    w->vms[i].done = json_get_bool (&q, "done", false);
    w->done_count += w->vms[i].done ? 1 : 0;
  }
}

static void
read_wave (struct wave *w, struct json_reader *p)
{
  json_get_text (p, "name", true, w->name, NAME_BYTES);
  w->state = (enum wave_state)json_get_number (p, "state", 0,
                                               WAVE_STATE_COUNT - 1, 0);
  w->parallel_limit_count
      = (uint32_t)json_get_number (p, "parallel", 0, UINT32_MAX, 0);
  w->deadline_ms = json_get_number (p, "deadline_ms", 0, INT64_MAX, 0);
  w->start_id = json_get_number (p, "start_id", 0, INT64_MAX, 0);
  w->last_step_id = json_get_number (p, "touched_id", 0, INT64_MAX, 0);
  read_wave_vms (w, p);
}

static void
read_waves (struct vm_control *c, struct json_reader *p)
{
  const json_t *list = json_get_array (p, "waves", true);
  json_t *row;
  size_t i;

  c->wave_count = (uint32_t)json_array_size (list);
  c->waves = talloc_zero_array (c, struct wave *, c->wave_count + 1);
  json_array_foreach (list, i, row)
  {
    struct json_reader q;

    c->waves[i] = talloc_zero (c, struct wave);
    if (json_reader_open (&q, p->findings, row, "waves"))
      read_wave (c->waves[i], &q);
  }
}

static void
read_applied_ids (struct vm_control *c, struct json_reader *p)
{
  const json_t *list = json_get_array (p, "vm_commands", true);
  json_t *text;
  size_t i;

  c->applied_next = (uint32_t)json_get_number (p, "vm_command_next", 0,
                                               APPLIED_ID_COUNT - 1, 0);
  if (json_array_size (list) > APPLIED_ID_COUNT)
    {
      json_add_finding (p, "vm_commands",
                        "holds more ids than are remembered");
      return;
    }
  json_array_foreach (list, i, text)
  {
    if (!json_is_string (text)
        || !text_copy (c->applied_ids[i], ID_BYTES, json_string_value (text)))
      json_add_finding (p, "vm_commands",
                        "expected strings of at most 63 bytes");
  }
}

/* Reads the evacuated zones, which are left out if there are none.  */
static void
read_zones (struct vm_control *c, struct json_reader *p)
{
  const json_t *list = json_get_array (p, "zones_evacuated", false);
  json_t *text;
  size_t i;

  c->evacuated.count = (uint32_t)json_array_size (list);
  c->evacuated.items = talloc_zero_array (c, struct zone, c->evacuated.count);
  json_array_foreach (list, i, text)
  {
    if (!json_is_string (text)
        || !text_copy (c->evacuated.items[i].name, NAME_BYTES,
                       json_string_value (text)))
      json_add_finding (p, "zones_evacuated", "expected names of zones");
  }
}

/* Sets every VM of the tables F to serve in its pool there.  */
static void
set_default_state (struct vm_control *c, const struct config *f)
{
  uint32_t i;

  c->vm_count = f->vm_count;
  c->vms = talloc_zero_array (c, struct vm_lifecycle, f->vm_count + 1);
  for (i = 0; i < f->vm_count; i++)
    {
      text_copy (c->vms[i].name, NAME_BYTES, f->vms[i].name);
      text_copy (c->vms[i].configured_pool, NAME_BYTES, table_pool (f, i));
      text_copy (c->vms[i].pool, NAME_BYTES, table_pool (f, i));
    }
}

struct vm_control *
vm_control_from_json (TALLOC_CTX *mem, struct json_reader *p,
                      const struct config *f)
{
  struct vm_control *c = talloc_zero (mem, struct vm_control);
  const json_t *list = json_get_array (p, "vms", true);
  json_t *row;
  size_t i;

  if (f != NULL)
    set_default_state (c, f);
  json_array_foreach (list, i, row)
  {
    struct json_reader q;

    if (json_reader_open (&q, p->findings, row, "vms"))
      read_vm (c, &q);
  }
  c->config_version = json_get_number (p, "vm_tables", 0, INT64_MAX, 0);
  read_waves (c, p);
  read_zones (c, p);
  read_applied_ids (c, p);
  return c;
}

/* --- encoding --- */

static json_t *
vm_to_json (const struct vm_lifecycle *v)
{
  json_t *list = json_array ();
  uint32_t i;

  for (i = 0; i < v->drained_by_count; i++)
    json_array_append_new (list, json_integer ((json_int_t)v->drained_by[i]));
  return json_pack ("{s:s, s:s, s:s, s:i, s:b, s:I, s:s, s:s, s:o}", "name",
                    v->name, "home", v->configured_pool, "pool", v->pool,
                    "phase", (int)v->phase, "lost", (int)v->lost, "drain_id",
                    (json_int_t)v->drain_id, "wave", v->wave, "move_to",
                    v->move_to, "drained_by", list);
}

static json_t *
wave_to_json (const struct wave *w)
{
  json_t *list = json_array ();
  uint32_t i;

  for (i = 0; i < w->vm_count; i++)
    json_array_append_new (list,
                           json_pack ("{s:s, s:b}", "name", w->vms[i].name,
                                      "done", (int)w->vms[i].done));
  return json_pack ("{s:s, s:i, s:I, s:I, s:I, s:I, s:o}", "name", w->name,
                    "state", (int)w->state, "parallel",
                    (json_int_t)w->parallel_limit_count, "deadline_ms",
                    (json_int_t)w->deadline_ms, "start_id",
                    (json_int_t)w->start_id, "touched_id",
                    (json_int_t)w->last_step_id, "vms", list);
}

static json_t *
applied_ids_to_json (const struct vm_control *v)
{
  json_t *list = json_array ();
  uint32_t i;

  for (i = 0; i < APPLIED_ID_COUNT && v->applied_ids[i][0] != '\0'; i++)
    json_array_append_new (list, json_string (v->applied_ids[i]));
  return list;
}

static json_t *
zones_to_json (const struct zones *z)
{
  json_t *list = json_array ();
  uint32_t i;

  for (i = 0; i < z->count; i++)
    json_array_append_new (list, json_string (z->items[i].name));
  return list;
}

void
vm_control_to_json (const struct vm_control *v, const struct config *f,
                    json_t *j)
{
  json_t *vms = json_array ();
  json_t *waves = json_array ();
  uint32_t i;

  for (i = 0; i < v->vm_count; i++)
    if (!has_default_state (&v->vms[i], table_pool (f, i)))
      json_array_append_new (vms, vm_to_json (&v->vms[i]));
  for (i = 0; i < v->wave_count; i++)
    json_array_append_new (waves, wave_to_json (v->waves[i]));
  json_object_set_new (j, "vms", vms);
  json_object_set_new (j, "waves", waves);
  if (v->evacuated.count > 0)
    json_object_set_new (j, "zones_evacuated", zones_to_json (&v->evacuated));
  json_object_set_new (j, "vm_tables",
                       json_integer ((json_int_t)v->config_version));
  json_object_set_new (j, "vm_commands", applied_ids_to_json (v));
  json_object_set_new (j, "vm_command_next",
                       json_integer ((json_int_t)v->applied_next));
}
