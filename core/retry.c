/* retry.c -- retry budget of a pool, and the delay before a retry.  */

#include "core/retry.h"

/** Cost of one retry.  */
#define RETRY_MILLI 1000
/** Added by one success, a tenth of a retry.  */
#define DEPOSIT_MILLI 100
/** Reserve of a pool without traffic.  It does not decay, and time does not
    refill it, so retries stop in a pool where every attempt fails.  */
#define RESERVE_MILLI (10 * RETRY_MILLI)
/** Largest budget that successes can build up.  */
#define BUDGET_LIMIT_MILLI (200 * RETRY_MILLI)
/** 1 / DECAY_PART of the surplus over the reserve lapses in each interval, so
    only recent successes count.  */
#define DECAY_US US_PER_S
#define DECAY_PART 10
/** Most intervals to decay one by one after a pause.  */
#define DECAY_STEP_LIMIT 60
/** Limit of the delay after the first attempt, which doubles with each further
    attempt, and the most that it doubles to.  */
#define DELAY_FIRST_US (20 * US_PER_MS)
#define DELAY_LIMIT_US US_PER_S
#define DELAY_SHIFT_LIMIT 8

void
retry_budget_init (struct retry_budget *b, uint64_t now_us)
{
  b->decayed_at_us = now_us;
  b->milli_tokens = RESERVE_MILLI;
}

static void
decay (struct retry_budget *b, uint64_t now_us)
{
  uint64_t steps = (now_us - b->decayed_at_us) / DECAY_US;
  uint64_t i;

  if (steps == 0)
    return;
  b->decayed_at_us += steps * DECAY_US;
  if (steps > DECAY_STEP_LIMIT)
    steps = DECAY_STEP_LIMIT;
  for (i = 0; i < steps && b->milli_tokens > RESERVE_MILLI; i++)
    b->milli_tokens -= (b->milli_tokens - RESERVE_MILLI) / DECAY_PART + 1;
}

void
retry_budget_deposit (struct retry_budget *b, uint64_t now_us)
{
  decay (b, now_us);
  b->milli_tokens += DEPOSIT_MILLI;
  if (b->milli_tokens > BUDGET_LIMIT_MILLI)
    b->milli_tokens = BUDGET_LIMIT_MILLI;
}

bool
retry_budget_spend (struct retry_budget *b, uint64_t now_us)
{
  decay (b, now_us);
  if (b->milli_tokens < RETRY_MILLI)
    return false;
  b->milli_tokens -= RETRY_MILLI;
  return true;
}

uint64_t
retry_delay_us (uint32_t attempt_count, uint64_t random)
{
  uint32_t shift = attempt_count > 0 ? attempt_count - 1 : 0;
  uint64_t limit_us;

  if (shift > DELAY_SHIFT_LIMIT)
    shift = DELAY_SHIFT_LIMIT;
  limit_us = DELAY_FIRST_US << shift;
  if (limit_us > DELAY_LIMIT_US)
    limit_us = DELAY_LIMIT_US;
  return random % limit_us;
}
