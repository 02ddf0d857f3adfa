/* arrivals.c -- the cores that newly arrived work of a pool keeps busy.

   The load this answers: a pool's demand rises to five times its mean within
   three seconds, and jobs of one kind differ by a factor of ten in their work.
   VMs take seconds to arrive, so the rise has to be seen before its tasks have
   queued up; but each error upwards moves VMs that are not needed.

   The rate of arrivals is taken over the shortest span that has enough jobs.
   A job's work is mostly the mean over earlier jobs, since the few jobs of a
   span say little about it.  While the rate rises, it counts for more: it goes
   on to rise while VMs are on their way.  */

#include "core/load/arrivals.h"

#include <stdbool.h>
#include <string.h>

/** Time that a bucket covers.  */
#define BUCKET_US UINT64_C (100000)
/** A span tells the rate once this many jobs arrived in it: it is then right
    to about a fifth.  */
#define SPAN_MIN_COUNT 24
/** The longest span tells it with fewer; a single large job is no surge.  */
#define LONGEST_MIN_COUNT 4
/** The mean work of earlier jobs counts as much as that of so many jobs of the
    span.  */
#define MEAN_WEIGHT_COUNT 24
/** The rate rises if that of the newest half of the buckets is at least this
    part of that of all.  */
#define RISING_PERCENT 110
/** A rising rate counts as this part of itself.  In the two to three seconds
    that a VM takes to arrive, a surge as above rises by that much or more.  */
#define LEAD_PERCENT 150
/** The newest job has a weight of one in this many in the mean.  */
#define MEAN_PART 64

/* Makes the bucket of NOW_US the newest; clears those between.  */
static void
advance (struct arrivals *a, uint64_t now_us)
{
  uint64_t now = now_us / BUCKET_US;

  if (now > a->newest_bucket + ARRIVAL_BUCKET_COUNT)
    a->newest_bucket = now - ARRIVAL_BUCKET_COUNT;
  while (a->newest_bucket < now)
    {
      a->newest_bucket++;
      memset (&a->buckets[a->newest_bucket % ARRIVAL_BUCKET_COUNT], 0,
              sizeof a->buckets[0]);
    }
}

void
arrivals_note (struct arrivals *a, uint64_t now_us, uint64_t work_us)
{
  struct arrival_bucket *b;

  advance (a, now_us);
  b = &a->buckets[a->newest_bucket % ARRIVAL_BUCKET_COUNT];
  b->job_count++;
  b->work_us += work_us;
  if (a->mean_work_us == 0)
    a->mean_work_us = work_us;
  a->mean_work_us += work_us / MEAN_PART;
  a->mean_work_us -= a->mean_work_us / MEAN_PART;
}

/* Adds to SUM the jobs of the newest COUNT buckets, up to the one with which
   it has at least ENOUGH_COUNT.  Returns the time that these cover.  */
static uint64_t
sum_newest (const struct arrivals *a, uint64_t now_us, uint32_t count,
            uint32_t enough_count, struct arrival_bucket *sum)
{
  uint64_t span_us = 0;
  uint32_t i;

  for (i = 0; i < count && sum->job_count < enough_count; i++)
    {
      const struct arrival_bucket *b
          = &a->buckets[(a->newest_bucket + ARRIVAL_BUCKET_COUNT - i)
                        % ARRIVAL_BUCKET_COUNT];

      sum->work_us += b->work_us;
      sum->job_count += b->job_count;
      /* The time of the newest bucket is not over.  */
      span_us += i == 0 ? now_us % BUCKET_US : BUCKET_US;
    }
  return span_us;
}

/* Returns true if the rate of arrivals rises.  */
static bool
is_rising (const struct arrivals *a, uint64_t now_us)
{
  struct arrival_bucket newer = { 0 };
  struct arrival_bucket all = { 0 };
  uint64_t newer_us = sum_newest (a, now_us, ARRIVAL_BUCKET_COUNT / 2 + 1,
                                  UINT32_MAX, &newer);
  uint64_t all_us
      = sum_newest (a, now_us, ARRIVAL_BUCKET_COUNT, UINT32_MAX, &all);

  return newer.job_count * all_us * 100
         > all.job_count * newer_us * RISING_PERCENT;
}

uint64_t
arrivals_cores_milli (struct arrivals *a, uint64_t now_us)
{
  struct arrival_bucket span = { 0 };
  uint64_t span_us;
  uint64_t work_us;

  advance (a, now_us);
  span_us
      = sum_newest (a, now_us, ARRIVAL_BUCKET_COUNT, SPAN_MIN_COUNT, &span);
  if (span.job_count < LONGEST_MIN_COUNT || span_us == 0)
    return 0;
  work_us = (span.work_us + MEAN_WEIGHT_COUNT * a->mean_work_us)
            * span.job_count / (span.job_count + MEAN_WEIGHT_COUNT);
  if (is_rising (a, now_us))
    work_us = work_us * LEAD_PERCENT / 100;
  return work_us * 1000 / span_us;
}
