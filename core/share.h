/* share.h -- how the fleet's capacity is to be divided: a target.

   Weighted max-min over shares: each pool's slots are filled in proportion to
   the teams' weights, no team beyond its demand in the pool nor beyond its
   ceiling over all pools, and what one cannot use goes to the others.  Every
   member computes the same target from the same demand.  */

#ifndef FTK_CORE_SHARE_H
#define FTK_CORE_SHARE_H

#include <stdbool.h>
#include <stdint.h>
#include <talloc.h>

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

/** Whole numbers; each column sums to what is allocated of the limit.  */
struct share_target
{
  uint32_t *team_token_count; /**< Tokens, by member and team.  */
  uint32_t *pool_slot_count;  /**< Slots, by member and pool.  */
  bool *team_contended;       /**< The target is at the ceiling.  */
  bool *pool_contended;       /**< The demand is above the slots.  */
  double *own_allocation; /**< Member 0's part of cell, by pool and team.  */
  double *allocation;     /**< Allocated over the fleet, by pool and team.  */
};

/** Returns the target of P as a child of MEM.  */
struct share_target *share_compute (TALLOC_CTX *mem,
                                    const struct share_problem *p);

#endif
