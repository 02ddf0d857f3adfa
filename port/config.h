/* config.h -- the routes and pools tables that operators edit, and the teams.

   Everything in a config is a talloc child of its struct, so freeing the
   struct frees all of it.  */

#ifndef FTK_PORT_CONFIG_H
#define FTK_PORT_CONFIG_H

#include "port/types.h"

/** How callers of a queue get their answer.  */
enum route_class
{
  ROUTE_WAIT, /**< In the response to the request.  */
  ROUTE_JOB   /**< By polling after a 202.  Not implemented: requests are
                   refused as ANSWER_NOT_SUPPORTED.  */
};

struct team_config
{
  char name[NAME_BYTES];
  uint32_t share_weight;  /**< Relative share when capacity is short.  */
  uint32_t ceiling_count; /**< Most requests running in the whole fleet.  */
};

struct vm_config
{
  char name[NAME_BYTES];
  char address[ADDRESS_BYTES];
  char zone[NAME_BYTES];
  char rack[NAME_BYTES];
  uint32_t pool_index; /**< Index into pools.  */
  uint32_t slot_count; /**< Most requests running at once.  */
  uint32_t cpu_count;
  uint32_t memory_mib;
  uint32_t accelerator_count;
};

/** A pool of VMs with its availability budgets.  */
struct pool_config
{
  char name[NAME_BYTES];
  bool is_spare;                       /**< Lends its VMs to other pools.  */
  uint32_t max_unavailable_count;      /**< Most VMs unavailable at once.  */
  uint32_t max_unavailable_rack_count; /**< Most racks that they are in.  */
};

struct route_config
{
  char queue[NAME_BYTES];
  char team[NAME_BYTES]; /**< Only this team may use it; empty: any.  */
  uint32_t pool_index;   /**< Index into pools.  */
  enum route_class route_class;
  bool idempotent;            /**< May run more than once.  */
  bool open_to_all;           /**< Requests need no key.  */
  bool urgent;                /**< Preferred to its team's others.  */
  bool hold_log_outage;       /**< For ROUTE_JOB, so without effect: wait while
                                 the log is down.  */
  uint32_t timeout_ms;        /**< Default deadline of a request.  */
  uint32_t queue_limit_count; /**< Most requests waiting on one entry.  */
  uint32_t cpu_count;         /**< Processors needed by one request.  */
  uint32_t memory_mib;        /**< Memory needed by one request.  */
  uint32_t accelerator_count; /**< Accelerators needed by one request.  */
};

struct config
{
  uint64_t base_version; /**< Version that this edit was based on.  */
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
