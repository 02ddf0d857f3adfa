/* retry.h -- how many attempts may be repeated, and how soon.

   The budget of a pool is a share of its recent successes: a count for each
   request would multiply the load just when every worker fails.  */

#ifndef FTK_CORE_RETRY_H
#define FTK_CORE_RETRY_H

#include "port/types.h"

/** Retries that a pool may still make; plain data, kept by its owner.  */
struct retry_budget
{
  uint64_t decayed_at_us; /**< When the surplus was last cut down.  */
  uint32_t milli_tokens;  /**< One retry costs 1000.  */
};

/** Sets B to its first reserve.  */
void retry_budget_init (struct retry_budget *b, uint64_t now_us);

/** Counts a success at NOW_US.  */
void retry_budget_deposit (struct retry_budget *b, uint64_t now_us);

/** Takes one retry out of B; returns false if none is left.  */
bool retry_budget_spend (struct retry_budget *b, uint64_t now_us);

/** Returns the wait in us before the attempt after ATTEMPT_COUNT ones: up to
    a limit that doubles, the part of it chosen by RANDOM.  */
uint64_t retry_delay_us (uint32_t attempt_count, uint64_t random);

#endif
