/* site_config.h -- the operators' configuration of queues, pools and tenants,
   and their maintenance waves.  */

#ifndef FTK_PORT_SITE_CONFIG_H
#define FTK_PORT_SITE_CONFIG_H

#include "port/job.h"

/** Bytes of a host, path prefix or API key with its terminating NUL.  */
#define HOST_BYTES 80
#define PREFIX_BYTES 120
#define API_KEY_BYTES 80

/** A queue: which calls belong to it and how its jobs run.  */
struct site_queue
{
  char name[NAME_BYTES];
  char host[HOST_BYTES];     /**< Host of its calls.  */
  char prefix[PREFIX_BYTES]; /**< Prefix of their paths.  */
  char pool[NAME_BYTES];     /**< Pool that runs its tasks.  */
  bool is_public;            /**< Needs no API key.  */
  uint32_t priority;         /**< 0 is highest.  */
  uint32_t attempt_limit;    /**< Failed runs of a task that fail the job.  */
  uint32_t stretch_milli;    /**< Objective: run time of the longest chain of
                                steps times this, in thousandths ...  */
  uint32_t objective_slack_ms; /**< ... plus this.  */
  bool uses_advice;            /**< A policy service picks its runners.  */
  uint32_t ticket_ttl_ms;      /**< Lifetime of the service's tickets.  */
};

/** A pool of VMs.  */
struct site_pool
{
  char name[NAME_BYTES];
  bool admission_check; /**< Its runners refuse tasks that do not fit.  */
  bool spare;           /**< Holds VMs that are off and cost nothing.  */
};

/** A tenant: the owner of jobs, recognized by its API keys.  */
struct site_tenant
{
  char name[NAME_BYTES];
  uint32_t weight; /**< Share under contention, in jobs a second.  */
  uint32_t key_count;
  char (*keys)[API_KEY_BYTES];
  struct resources limit; /**< Largest use by running tasks; 0: no limit.  */
};

/** One version; a talloc parent of its arrays.  */
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

/** A maintenance wave that the operators requested.  */
struct site_wave
{
  uint64_t number;
  uint32_t deadline_s;           /**< From when it is first read.  */
  uint32_t parallel_limit_count; /**< Most VMs that it takes down at once. */
  uint32_t vm_count;
  char (*vms)[NAME_BYTES];
};

#endif
