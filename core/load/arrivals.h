/* arrivals.h -- the cores that newly arrived work of a pool keeps busy.  */

#ifndef FTK_CORE_LOAD_ARRIVALS_H
#define FTK_CORE_LOAD_ARRIVALS_H

#include <stdint.h>

/** Number of buckets that count recent arrivals.  */
#define ARRIVAL_BUCKET_COUNT 8

/** Jobs that arrived in one bucket.  */
struct arrival_bucket
{
  uint64_t work_us; /**< Core time that they need.  */
  uint32_t job_count;
};

/** Recent arrivals of a pool.  All zero: none yet.  */
struct arrivals
{
  struct arrival_bucket buckets[ARRIVAL_BUCKET_COUNT];
  uint64_t newest_bucket; /**< Number of the newest bucket.  */
  uint64_t mean_work_us;  /**< Moving average of a job's work.  */
};

/** Counts a job that arrived at NOW_US and needs WORK_US of core time.  */
void arrivals_note (struct arrivals *a, uint64_t now_us, uint64_t work_us);

/** Returns the cores, in thousandths, that jobs keep busy if they go on to
    arrive as they lately did; 0: too few have arrived to tell.  */
uint64_t arrivals_cores_milli (struct arrivals *a, uint64_t now_us);

#endif
