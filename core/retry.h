/* retry.h -- retry budget of a pool, and the delay before a retry.

   The budget is a share of the pool's recent successes.  A limit on the
   retries of each request alone would multiply the load just when every
   worker fails.  */

#ifndef FTK_CORE_RETRY_H
#define FTK_CORE_RETRY_H

#include "port/types.h"

/** Retries that a pool may still make.  Plain data, stored in its owner.  */
struct retry_budget
{
  uint64_t decayed_at_us; /**< When the surplus last decayed.  */
  uint32_t milli_tokens;  /**< One retry costs 1000.  */
};

/** Sets B to the reserve of a pool without traffic.  */
void retry_budget_init (struct retry_budget *b, uint64_t now_us);

/** Adds a tenth of a retry for a success at NOW_US.  */
void retry_budget_deposit (struct retry_budget *b, uint64_t now_us);

/** Takes one retry out of B; returns false if B has less than one.  */
bool retry_budget_spend (struct retry_budget *b, uint64_t now_us);

/** Returns the delay before the next attempt of a request that has made
    ATTEMPT_COUNT: RANDOM modulo a limit that doubles with each attempt.  */
uint64_t retry_delay_us (uint32_t attempt_count, uint64_t random);

#endif
