/* ports.h -- a range of ports for each test process.  */

#ifndef FTK_TESTS_PORTS_H
#define FTK_TESTS_PORTS_H

#include <stdint.h>

/** Returns the first port of one of RANGE_COUNT ranges of STEP ports from LOW
    on.  The range belongs to this process until it ends: its last port stays
    bound, so that another test process takes another range.  Further calls
    return the same range.  */
uint16_t ports_take (uint16_t low, uint16_t step, uint16_t range_count);

#endif
