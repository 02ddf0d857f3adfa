/* maintenance.c -- drains, waves and moves of VMs.  */

#include "core/state.h"

bool
core_vm_takes_work (const struct core *c, uint32_t vm_index)
{
  (void)c;
  (void)vm_index;
  return true;
}

void
core_maintenance_tick (struct core *c)
{
  (void)c;
}
