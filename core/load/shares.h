/* shares.h -- the order in which tenants get the room of a saturated pool.  */

#ifndef FTK_CORE_LOAD_SHARES_H
#define FTK_CORE_LOAD_SHARES_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/** Shares of the tenants of a pool.  */
struct pool_shares
{
  bool saturated;           /**< Work found no room in the last round.  */
  uint64_t saturated_at_us; /**< When that was last so.  */
  uint64_t round;           /**< Number of the current round.  */
  uint64_t virtual_time;    /**< Highest start tag of work that was started. */
  GHashTable *tenants;      /**< Name to struct tenant_share.  */
};

/** Returns the shares of a pool that is not saturated.  */
struct pool_shares *shares_new (void);
void shares_free (struct pool_shares *p);

/** Begins a round, in which the order of waiting work is determined anew.  */
void shares_begin_round (struct pool_shares *p);

/** Returns the start tag of waiting work of TENANT; the lowest goes first.
    Called in each round for the tenant's work in the order in which the tenant
    gets it.  WORK_US is its core time.  WEIGHT 0 counts as 1.  If the pool is
    not saturated, 0 is returned.  */
uint64_t shares_tag (struct pool_shares *p, const char *tenant,
                     uint32_t weight, uint64_t work_us);

/** Notes that work of TENANT was started, with the values of its tag.  */
void shares_charge (struct pool_shares *p, const char *tenant, uint32_t weight,
                    uint64_t work_us);

/** Ends a round at NOW_US in which work found no room, or all did.  Returns
    false once nothing in P counts any more.  */
bool shares_end_round (struct pool_shares *p, bool found_no_room,
                       uint64_t now_us);

#endif
