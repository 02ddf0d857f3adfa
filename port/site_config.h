/* site_config.h -- the operators' configuration of queues, pools and tenants,
   and their maintenance waves.  */

#ifndef FTK_PORT_SITE_CONFIG_H
#define FTK_PORT_SITE_CONFIG_H

#include "port/job.h"

/** Bytes of a host, path prefix or API key with its terminating NUL.  */
#define HOST_BYTES 80
#define PREFIX_BYTES 120
#define API_KEY_BYTES 80

/** A queue: which calls belong to it, and how its jobs run.  The cell does not
    use the fields on advice and tickets.  */
struct site_queue
{
  char name[NAME_BYTES];
  char host[HOST_BYTES];     /**< Host that its calls name.  */
  char prefix[PREFIX_BYTES]; /**< Prefix of its calls' paths.  */
  char pool[NAME_BYTES];     /**< Pool that runs its tasks.  */
  bool is_public;            /**< Its calls need no API key.  */
  uint32_t priority;         /**< 0 is highest.  */
  /** The job fails when one of its tasks has had this many failed runs; 0
      counts as 1.  Long-running tasks have no limit.  */
  uint32_t attempt_limit;
  /* A job should complete within the run time of its longest chain of steps
     times stretch_milli thousandths, plus objective_slack_ms.  */
  uint32_t stretch_milli;
  uint32_t objective_slack_ms;
  bool uses_advice;       /**< A policy service is configured for it.  */
  uint32_t ticket_ttl_ms; /**< Lifetime of that service's tickets.  */
};

/** What a queue promises its jobs, apart from the pool.  The fields are those
    of struct site_queue.  */
struct queue_terms
{
  uint32_t priority;
  uint32_t attempt_limit;
  uint32_t stretch_milli;
  uint32_t objective_slack_ms;
};

/** A pool of VMs.  */
struct site_pool
{
  char name[NAME_BYTES];
  bool admission_check; /**< Its runners refuse tasks that do not fit; the cell
                         does not use this.  */
  bool spare;           /**< Its VMs are switched off and cost nothing.  */
};

/** A tenant: the owner of jobs, recognized by its API keys.  */
struct site_tenant
{
  char name[NAME_BYTES];
  /** Job rate in jobs a second; jobs beyond it may be refused.  0: no
      limit.  */
  uint32_t weight;
  uint32_t key_count;
  char (*keys)[API_KEY_BYTES];
  /** Most that its tasks may use at once; a resource that is 0 has no
      limit.  */
  struct resources limit;
};

/** One version of the configuration; a talloc parent of its arrays.  */
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
  uint32_t deadline_s; /**< Time to complete it, from its first read.  */
  uint32_t parallel_limit_count; /**< Most VMs that it takes down at once. */
  uint32_t vm_count;
  char (*vms)[NAME_BYTES];
};

#endif
