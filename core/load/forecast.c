/* forecast.c -- the cores that a pool offers over time.

   The load this answers: in a surge, most of the VMs of a pool are on their
   way.  A pool had 211 VMs of which 38 were usable, and work for 71 waited: a
   prediction that counts all 211 at once accepts jobs that end seconds late.

   The cores are a step function.  Each VM adds its cores from the time at
   which it is expected to take tasks.  */

#include "core/load/forecast.h"

#include <string.h>

/** The newest sample has a weight of one in this many in a mean.  */
#define MEAN_PART 8

void
forecast_learn (struct forecast_delay *d, uint64_t sample_us)
{
  if (d->sample_count == 0)
    d->mean_us = sample_us;
  else
    d->mean_us = (d->mean_us * (MEAN_PART - 1) + sample_us) / MEAN_PART;
  d->sample_count++;
}

uint64_t
forecast_delay_us (const struct forecast_delay *d, uint64_t default_us)
{
  return d->sample_count > 0 ? d->mean_us : default_us;
}

void
forecast_begin (struct forecast *f, uint64_t now_us, uint64_t held_milli)
{
  memset (f, 0, sizeof *f);
  f->began_at_us = now_us;
  f->held_milli = held_milli;
}

/* Returns the number of the first step that begins at AT_US or later; it may
   be beyond the last one.  */
static uint64_t
step_at (const struct forecast *f, uint64_t at_us)
{
  uint64_t ahead_us = at_us > f->began_at_us ? at_us - f->began_at_us : 0;

  return (ahead_us + FORECAST_STEP_US - 1) / FORECAST_STEP_US;
}

void
forecast_add (struct forecast *f, uint64_t at_us, uint64_t milli)
{
  uint64_t step = step_at (f, at_us);

  if (step < FORECAST_STEP_COUNT)
    f->added_milli[step] += milli;
}

void
forecast_add_series (struct forecast *f, uint64_t at_us, uint64_t gap_us,
                     uint32_t count, uint64_t milli)
{
  uint32_t i;

  for (i = 0; i < count; i++)
    forecast_add (f, at_us + i * gap_us, milli);
}

/* Returns what F offers of SUM_MILLI thousandths of a core.  */
static uint64_t
offered_milli (const struct forecast *f, uint64_t sum_milli)
{
  return sum_milli > f->held_milli ? sum_milli - f->held_milli : 0;
}

uint64_t
forecast_cores_milli (const struct forecast *f, uint64_t at_us)
{
  uint64_t sum_milli = 0;
  uint32_t i;

  for (i = 0; i < FORECAST_STEP_COUNT
              && (i == 0 || f->began_at_us + i * FORECAST_STEP_US <= at_us);
       i++)
    sum_milli += f->added_milli[i];
  return offered_milli (f, sum_milli);
}

bool
forecast_has_cores (const struct forecast *f)
{
  return forecast_cores_milli (f, FORECAST_NEVER) > 0;
}

uint64_t
forecast_done_at_us (const struct forecast *f, uint64_t now_us, uint64_t work)
{
  uint64_t at_us = now_us;
  uint64_t sum_milli = 0;
  uint64_t cores_milli = 0;
  uint32_t i;

  for (i = 0; i < FORECAST_STEP_COUNT; i++)
    {
      uint64_t until_us = f->began_at_us + (i + 1) * FORECAST_STEP_US;

      sum_milli += f->added_milli[i];
      cores_milli = offered_milli (f, sum_milli);
      if (until_us <= at_us)
        continue;
      if (cores_milli * (until_us - at_us) >= work)
        break;
      work -= cores_milli * (until_us - at_us);
      at_us = until_us;
    }
  if (work == 0)
    return at_us;
  return cores_milli > 0 ? at_us + work / cores_milli : FORECAST_NEVER;
}
