/* share.h -- target for dividing the fleet's capacity.

   Weighted max-min fairness: each pool's slots go to the teams in proportion
   to their weights, but no team gets more than its demand in the pool or more
   than its ceiling over all pools; what one team cannot use goes to the
   others.  Each team's part is divided among the members by their demand.
   Members that know the same demand compute the same target.  */

#ifndef FTK_CORE_SHARE_H
#define FTK_CORE_SHARE_H

#include <stdbool.h>
#include <stdint.h>
#include <talloc.h>

/** Input of share_compute.  */
struct share_problem
{
  uint32_t pool_count;
  uint32_t team_count;
  uint32_t member_count;
  const uint32_t *capacity_count; /**< Slots, by pool.  */
  const uint32_t *ceiling_count;  /**< By team.  */
  const uint32_t *weight;         /**< By team.  */
  const uint32_t *demand_count;   /**< By member, pool and team.  */
};

/** How much each member should hold.  Summed over all members, the tokens of a
    team and the slots of a pool are the fleet's allocation, rounded down.  */
struct share_target
{
  uint32_t *team_token_count; /**< Tokens, by member and team.  */
  uint32_t *pool_slot_count;  /**< Slots, by member and pool.  */
  bool *team_contended;       /**< The team is allocated its whole ceiling.  */
  bool *pool_contended;       /**< The demand exceeds the pool's slots.  */
  double *own_allocation;     /**< Member 0's allocation, by pool and team.  */
  double *allocation; /**< The fleet's allocation, by pool and team.  */
};

/** Returns the target for P as a child of MEM.  */
struct share_target *share_compute (TALLOC_CTX *mem,
                                    const struct share_problem *p);

#endif
