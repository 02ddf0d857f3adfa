/* records.h -- builds records for several tests and benchmarks.  */

#ifndef TESTS_RECORDS_H
#define TESTS_RECORDS_H

#include "core/control.h"

#include <jansson.h>

/** Returns C's checkpoint as the log would hold it (a new reference).  */
json_t *records_checkpoint (const struct control *c);

#endif
