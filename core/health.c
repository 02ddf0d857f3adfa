/* health.c -- which workers are fit for work.  */

#include "core/state.h"

bool
core_vm_is_healthy (const struct core *c, uint32_t vm_index)
{
  (void)c;
  (void)vm_index;
  return true;
}

bool
core_request_avoids (const struct core *c, const struct request *r,
                     uint32_t vm_index)
{
  (void)c;
  (void)r;
  (void)vm_index;
  return false;
}
