/* forecast.h -- the cores that a pool offers over time.  */

#ifndef FTK_CORE_LOAD_FORECAST_H
#define FTK_CORE_LOAD_FORECAST_H

#include <stdbool.h>
#include <stdint.h>

/** Time that a step covers.  */
#define FORECAST_STEP_US UINT64_C (100000)
/** Steps of a forecast; after the last one its cores stay as they are.  */
#define FORECAST_STEP_COUNT 100
/** A time that is never reached.  */
#define FORECAST_NEVER UINT64_MAX

/** A learned duration.  All zero: no sample yet.  */
struct forecast_delay
{
  uint64_t mean_us; /**< Moving average.  */
  uint32_t sample_count;
};

/** Cores of a pool over time.  All zero: nothing is known.  */
struct forecast
{
  uint64_t began_at_us; /**< When it was made.  */
  uint64_t held_milli;  /**< Cores that short tasks do not get.  */
  /** Cores, in thousandths, that are added at the beginning of each step.  */
  uint64_t added_milli[FORECAST_STEP_COUNT];
};

/** Adds a sample to D.  */
void forecast_learn (struct forecast_delay *d, uint64_t sample_us);
/** Returns the mean of D, or DEFAULT_US before the first sample.  */
uint64_t forecast_delay_us (const struct forecast_delay *d,
                            uint64_t default_us);

/** Makes F, at NOW_US, a forecast without cores of which HELD_MILLI will not
    be offered to short tasks.  */
void forecast_begin (struct forecast *f, uint64_t now_us, uint64_t held_milli);
/** Adds MILLI thousandths of a core from AT_US on.  */
void forecast_add (struct forecast *f, uint64_t at_us, uint64_t milli);
/** Adds COUNT times MILLI thousandths of a core, the first from AT_US on, each
    GAP_US after the one before.  */
void forecast_add_series (struct forecast *f, uint64_t at_us, uint64_t gap_us,
                          uint32_t count, uint64_t milli);
/** Returns the cores, in thousandths, that F offers to short tasks at AT_US.
 */
uint64_t forecast_cores_milli (const struct forecast *f, uint64_t at_us);
/** Returns true if F ever offers any cores.  */
bool forecast_has_cores (const struct forecast *f);
/** Returns when WORK, in thousandths of a core times us, is done that begins
    at NOW_US, or FORECAST_NEVER.  */
uint64_t forecast_done_at_us (const struct forecast *f, uint64_t now_us,
                              uint64_t work);

#endif
