/* peaks.h -- how many VMs a surge of a pool is likely to need.  */

#ifndef FTK_CORE_LOAD_PEAKS_H
#define FTK_CORE_LOAD_PEAKS_H

#include <stdint.h>

/** Surges that pools have had, relative to their sizes.  All zero: none.  */
struct peaks
{
  uint64_t sum_milli;  /**< Sum of the peaks, in thousandths of the VMs that
                          the pool had at first.  */
  uint32_t pool_count; /**< Pools in the sum.  */
};

/** Adds a pool that had INITIAL_COUNT VMs at first, and needed PEAK_COUNT in
    its last surge; 0: it had none.  */
void peaks_add (struct peaks *p, uint32_t initial_count, uint32_t peak_count);

/** Returns the VMs that a surge of a pool of INITIAL_COUNT VMs needs if it is
    like those added; 0: none was.  */
uint32_t peaks_expect (const struct peaks *p, uint32_t initial_count);

#endif
