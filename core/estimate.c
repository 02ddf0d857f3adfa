/* estimate.c -- what requests need and how long they really run.  */

#include "core/state.h"

#include <string.h>

/** Weight of a new measurement, as a power of two: 1/8.  */
#define MEAN_SHIFT 3
#define RETRY_LOW_MS 100
#define RETRY_HIGH_MS 60000

bool
core_vm_fits (const struct vm_config *vm, const struct route_config *route)
{
  return route->cpu_count <= vm->cpu_count
         && route->memory_mib <= vm->memory_mib
         && route->accelerator_count <= vm->accelerator_count;
}

bool
core_route_fits (const struct core *c, const struct route_config *route)
{
  return c->routes[route - c->control->config->routes].fits;
}

void
core_record_run_time (struct core *c, const struct request *r,
                      uint32_t elapsed_us)
{
  struct route_state *s;

  if (r->route_index < 0 || elapsed_us == 0)
    return;
  s = &c->routes[r->route_index];
  if (s->mean_run_us == 0)
    s->mean_run_us = elapsed_us;
  else
    s->mean_run_us += (uint32_t)(((int64_t)elapsed_us - s->mean_run_us)
                                 / (1 << MEAN_SHIFT));
}

uint32_t
core_retry_after_ms (const struct core *c, const struct route_config *route)
{
  const struct pool_state *p = &c->pools[route->pool_index];
  uint64_t mean_us = c->routes[route - c->control->config->routes].mean_run_us;
  uint64_t slots = p->running_count > 0 ? p->running_count : 1;
  uint64_t ms;

  if (mean_us == 0)
    return (uint32_t)MS_PER_S;
  ms = p->queue.waiting_count * mean_us / slots / US_PER_MS;
  if (ms < RETRY_LOW_MS)
    return RETRY_LOW_MS;
  return ms > RETRY_HIGH_MS ? RETRY_HIGH_MS : (uint32_t)ms;
}
