/* site_config.h -- the operators' configuration of queues, pools and tenants.
 */

#ifndef FTK_PORT_SITE_CONFIG_H
#define FTK_PORT_SITE_CONFIG_H

#include "port/job.h"

#define HOST_BYTES 80
#define PREFIX_BYTES 120
#define API_KEY_BYTES 80

/** A queue: where calls for it come in and how its jobs run.  */
struct site_queue
{
  char name[NAME_BYTES];
  char host[HOST_BYTES];     /**< Of the calls.  */
  char prefix[PREFIX_BYTES]; /**< Of their paths.  */
  char pool[NAME_BYTES];     /**< Pool whose runners run its tasks.  */
  bool is_public;            /**< Needs no key.  */
  uint32_t priority;         /**< 0 comes first.  */
  uint32_t attempt_limit;    /**< Failed runs of a task until the job fails. */
  uint32_t stretch_milli;    /**< Objective: this times the longest chain.  */
  uint32_t objective_slack_ms; /**< Added to the objective.  */
  bool uses_advice;            /**< A policy service picks its runners.  */
  uint32_t ticket_ttl_ms;      /**< Life of a ticket.  */
};

struct site_pool
{
  char name[NAME_BYTES];
  bool admission_check; /**< Its runners refuse what does not fit.  */
  bool spare;           /**< Its VMs are off and cost nothing.  */
};

struct site_tenant
{
  char name[NAME_BYTES];
  uint32_t weight; /**< Its part when all is full.  */
  uint32_t key_count;
  char (*keys)[API_KEY_BYTES];
  struct resources limit; /**< Of what it may have running; 0: none.  */
};

/** One version; a talloc parent of its rows.  */
struct site_config
{
  uint64_t version;
  uint32_t queue_count;
  uint32_t pool_count;
  uint32_t tenant_count;
  struct site_queue *queues;
  struct site_pool *pools;
  struct site_tenant *tenants;
};

/** A maintenance wave that the operators ask for.  */
struct site_wave
{
  uint64_t number;
  uint32_t deadline_s;           /**< From when it was asked for.  */
  uint32_t parallel_limit_count; /**< Most VMs in maintenance at once.  */
  uint32_t vm_count;
  char (*vms)[NAME_BYTES];
};

#endif
