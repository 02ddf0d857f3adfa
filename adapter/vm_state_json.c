/* vm_state_json.c -- coding of drains, moves and waves in a checkpoint.  */

#include "adapter/vm_state_json.h"

#include <stdio.h>
#include <string.h>

static bool
is_plain (const struct vm_entry *v)
{
  return v->phase == VM_SERVING && !v->lost && strcmp (v->home, v->pool) == 0;
}

static void
read_drained_by (struct vm_control *s, struct vm_entry *v,
                 struct json_place *p)
{
  const json_t *list = json_object_get (p->object, "drained_by");
  const json_t *number;
  size_t i;

  if (json_array_size (list) == 0)
    return;
  v->drained_by = talloc_zero_array (s, uint64_t, json_array_size (list));
  json_array_foreach (list, i, number) v->drained_by[v->drained_by_count++]
      = (uint64_t)json_integer_value (number);
}

static void
read_vm (struct vm_control *s, struct json_place *p)
{
  char name[NAME_BYTES];
  struct vm_entry *v = NULL;
  uint32_t i;

  json_get_text (p, "vm", true, name, NAME_BYTES);
  for (i = 0; i < s->vm_count; i++)
    if (strcmp (s->vms[i].name, name) == 0)
      v = &s->vms[i];
  if (v == NULL)
    {
      json_fault (p, "vm", "is not in the tables");
      return;
    }
  json_get_text (p, "home", true, v->home, NAME_BYTES);
  v->phase
      = (enum vm_phase)json_get_number (p, "phase", 0, VM_PHASE_COUNT - 1, 0);
  v->lost = json_get_bool (p, "lost", false);
  v->drain_id = json_get_number (p, "drain_id", 0, INT64_MAX, 0);
  json_get_text (p, "wave", false, v->wave, NAME_BYTES);
  json_get_text (p, "move_to", false, v->move_to, NAME_BYTES);
  read_drained_by (s, v, p);
}

static void
read_wave_vm (struct wave *w, struct json_place *p)
{
  struct wave_vm *x = &w->vms[w->vm_count++];

  json_get_text (p, "vm", true, x->name, NAME_BYTES);
  x->done = json_get_bool (p, "done", false);
  w->done_count += x->done ? 1 : 0;
}

static void
read_wave (struct vm_control *s, struct json_place *p)
{
  const json_t *vms = json_get_array (p, "vms", true);
  struct wave *w = talloc_zero (s, struct wave);
  json_t *row;
  size_t i;

  json_get_text (p, "wave", true, w->name, NAME_BYTES);
  w->state = (enum wave_state)json_get_number (p, "state", 0,
                                               WAVE_STATE_COUNT - 1, 0);
  w->parallel_count
      = (uint32_t)json_get_number (p, "parallel", 0, INT32_MAX, 0);
  w->deadline_ms = json_get_number (p, "deadline_ms", 0, INT64_MAX, 0);
  w->start_id = json_get_number (p, "start_id", 0, INT64_MAX, 0);
  w->touched_id = json_get_number (p, "touched_id", 0, INT64_MAX, 0);
  w->vms = talloc_zero_array (w, struct wave_vm, json_array_size (vms) + 1);
  json_array_foreach (vms, i, row)
  {
    struct json_place at;

    if (json_place_open (&at, p->findings, row, "waves.vms"))
      read_wave_vm (w, &at);
  }
  s->waves[s->wave_count++] = w;
}

struct vm_control *
vm_state_read (TALLOC_CTX *mem, const struct config *f,
               uint64_t config_version, struct json_place *p)
{
  struct vm_control *s = vm_control_of_tables (mem, f, config_version);
  const json_t *vms = json_object_get (p->object, "vm_states");
  const json_t *waves = json_object_get (p->object, "waves");
  struct json_place at;
  json_t *row;
  size_t i;

  json_array_foreach (vms, i, row)
  {
    if (json_place_open (&at, p->findings, row, "vm_states"))
      read_vm (s, &at);
  }
  s->waves = talloc_zero_array (s, struct wave *, json_array_size (waves) + 1);
  json_array_foreach (waves, i, row)
  {
    if (json_place_open (&at, p->findings, row, "waves"))
      read_wave (s, &at);
  }
  return s;
}

static json_t *
vm_to_json (const struct vm_entry *v)
{
  json_t *drained_by = json_array ();
  uint32_t i;

  for (i = 0; i < v->drained_by_count; i++)
    json_array_append_new (drained_by,
                           json_integer ((json_int_t)v->drained_by[i]));
  return json_pack ("{s:s, s:s, s:i, s:b, s:I, s:s, s:s, s:o}", "vm", v->name,
                    "home", v->home, "phase", (int)v->phase, "lost",
                    (int)v->lost, "drain_id", (json_int_t)v->drain_id, "wave",
                    v->wave, "move_to", v->move_to, "drained_by", drained_by);
}

static json_t *
wave_to_json (const struct wave *w)
{
  json_t *vms = json_array ();
  uint32_t i;

  for (i = 0; i < w->vm_count; i++)
    json_array_append_new (vms, json_pack ("{s:s, s:b}", "vm", w->vms[i].name,
                                           "done", (int)w->vms[i].done));
  return json_pack ("{s:s, s:i, s:i, s:I, s:I, s:I, s:o}", "wave", w->name,
                    "state", (int)w->state, "parallel", (int)w->parallel_count,
                    "deadline_ms", (json_int_t)w->deadline_ms, "start_id",
                    (json_int_t)w->start_id, "touched_id",
                    (json_int_t)w->touched_id, "vms", vms);
}

void
vm_state_write (json_t *j, const struct vm_control *v)
{
  json_t *vms = json_array ();
  json_t *waves = json_array ();
  uint32_t i;

  for (i = 0; i < v->vm_count; i++)
    if (!is_plain (&v->vms[i]))
      json_array_append_new (vms, vm_to_json (&v->vms[i]));
  for (i = 0; i < v->wave_count; i++)
    json_array_append_new (waves, wave_to_json (v->waves[i]));
  json_object_set_new (j, "vm_states", vms);
  json_object_set_new (j, "waves", waves);
}
