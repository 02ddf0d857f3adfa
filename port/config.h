/* config.h -- the two tables that operators edit, and the teams they name.

   A config is one talloc tree: freeing the struct frees all of it.  */

#ifndef FTK_PORT_CONFIG_H
#define FTK_PORT_CONFIG_H

#include "port/types.h"

/** How a queue's requests are delivered (tag of a route).  */
enum route_class
{
  ROUTE_WAIT, /**< The caller waits for the answer.  */
  ROUTE_JOB   /**< Accepted with 202 and looked up later.  */
};

struct team_config
{
  char name[NAME_BYTES];
  uint32_t share_weight;  /**< Weight when all is full.  */
  uint32_t ceiling_count; /**< Most requests running over the fleet.  */
};

struct vm_config
{
  char name[NAME_BYTES];
  char address[ADDRESS_BYTES];
  char zone[NAME_BYTES];
  char rack[NAME_BYTES];
  uint32_t pool_index;        /**< Index into pools.  */
  uint32_t slot_count;        /**< Requests it runs at once.  */
  uint32_t cpu_count;         /**< Processors.  */
  uint32_t memory_mib;        /**< Memory.  */
  uint32_t accelerator_count; /**< Accelerators.  */
};

struct pool_config
{
  char name[NAME_BYTES];
  bool is_spare;                  /**< Lends its VMs to other pools.  */
  uint32_t max_unavailable_count; /**< Availability budget: VMs out at once. */
  uint32_t
      max_unavailable_rack_count; /**< Racks that may be touched at once.  */
};

struct route_config
{
  char queue[NAME_BYTES];
  char team[NAME_BYTES]; /**< Only this team; empty for any team.  */
  uint32_t pool_index;   /**< Index into pools.  */
  enum route_class route_class;
  bool idempotent;            /**< May run more than once.  */
  bool open_to_all;           /**< Work is taken without a key.  */
  bool urgent;                /**< Goes before work that may wait.  */
  bool hold_log_outage;       /**< Job: wait for the log to come back.  */
  uint32_t timeout_ms;        /**< Default deadline of a request.  */
  uint32_t queue_limit_count; /**< Most requests waiting per entry.  */
  uint32_t cpu_count;         /**< Processors that one request needs.  */
  uint32_t memory_mib;        /**< Memory that one request needs.  */
  uint32_t accelerator_count; /**< Accelerators that one request needs.  */
};

struct config
{
  uint64_t base_version; /**< Version this edit was made against.  */
  struct team_config *teams;
  struct pool_config *pools;
  struct vm_config *vms;
  struct route_config *routes;
  uint32_t team_count;
  uint32_t pool_count;
  uint32_t vm_count;
  uint32_t route_count;
};

#endif
