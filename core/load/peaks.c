/* peaks.c -- how many VMs a surge of a pool is likely to need.

   The load this answers: each pool's demand rises by turns to about the same
   multiple of its mean, within three seconds, while a VM takes two to three
   seconds to arrive.  The first surges seen tell how large the next pool's
   will be, when it has only begun.  */

#include "core/load/peaks.h"

void
peaks_add (struct peaks *p, uint32_t initial_count, uint32_t peak_count)
{
  if (initial_count == 0 || peak_count == 0)
    return;
  p->sum_milli += (uint64_t)peak_count * 1000 / initial_count;
  p->pool_count++;
}

uint32_t
peaks_expect (const struct peaks *p, uint32_t initial_count)
{
  return p->pool_count > 0
             ? (uint32_t)(p->sum_milli / p->pool_count * initial_count / 1000)
             : 0;
}
