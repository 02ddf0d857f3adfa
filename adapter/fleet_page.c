/* fleet_page.c -- decoding and encoding of a page of the fleet list.  */

#include "adapter/fleet_page.h"

#include <string.h>

static const char *const state_names[] = {
  [FLEET_VM_LIVE] = "live",
  [FLEET_VM_DRAINING] = "draining",
  [FLEET_VM_REBOOTING] = "rebooting",
  [FLEET_VM_GONE] = "gone",
};

#define STATE_COUNT (sizeof state_names / sizeof state_names[0])

static bool
read_vm (const json_t *j, struct fleet_vm *v)
{
  const char *name = json_string_value (json_object_get (j, "name"));
  const char *state = json_string_value (json_object_get (j, "state"));
  uint32_t i;

  if (name == NULL || state == NULL || !text_copy (v->name, NAME_BYTES, name))
    return false;
  for (i = 0; i < STATE_COUNT; i++)
    if (strcmp (state_names[i], state) == 0)
      {
        v->state = (enum fleet_vm_state)i;
        return true;
      }
  return false;
}

bool
fleet_page_from_json (struct json_reader *p, TALLOC_CTX *mem,
                      struct event_fleet_list *f)
{
  const json_t *at = json_object_get (p->object, "at_ms");
  const json_t *list = json_object_get (p->object, "vms");
  const json_t *vm;
  size_t i;

  if (!json_is_integer (at) || (list != NULL && !json_is_array (list)))
    return false;
  f->listed_at_ms = (uint64_t)json_integer_value (at);
  f->complete = list != NULL && json_get_bool (p, "whole", true);
  f->vms = talloc_zero_array (mem, struct fleet_vm, json_array_size (list));
  json_array_foreach (list, i, vm)
  {
    if (!read_vm (vm, &f->vms[f->vm_count]))
      return false;
    f->vm_count++;
  }
  return true;
}

json_t *
fleet_page_to_json (const struct event_fleet_list *f)
{
  json_t *list = json_array ();
  uint32_t i;

  for (i = 0; i < f->vm_count; i++)
    json_array_append_new (list,
                           json_pack ("{s:s, s:s}", "name", f->vms[i].name,
                                      "state", state_names[f->vms[i].state]));
  return json_pack ("{s:I, s:b, s:o}", "at_ms", (json_int_t)f->listed_at_ms,
                    "whole", (int)f->complete, "vms", list);
}
