/* operator_records.h -- what the operators' records tell the cell, in the
   order in which the cell has to learn of it.  */

#ifndef FTK_ADAPTER_OPERATOR_RECORDS_H
#define FTK_ADAPTER_OPERATOR_RECORDS_H

#include "adapter/cell_post.h"

#include <talloc.h>

struct operator_records;

/** Returns the state of a follower of the operators' topic that posts to CELL,
    as a child of MEM.  */
struct operator_records *operator_records_new (TALLOC_CTX *mem,
                                               struct ring *cell);
/** Begins a listing anew: what an earlier one left unposted is dropped.  */
void operator_records_begin_listing (struct operator_records *s);
/** Notes the record of ZONE, which requests its evacuation if EVACUATED.
    OF_LISTING tells whether it is from a listing or was appended later.  */
void operator_records_set_zone (struct operator_records *s, const char *zone,
                                bool evacuated, bool of_listing);
/** Keeps E, which it then owns, until the zones are posted.  */
void operator_records_hold (struct operator_records *s, struct cell_event *e);
/** Takes the zones of the listing, whose last page was read, as the whole
    set.  */
void operator_records_end_listing (struct operator_records *s);
/** Posts the set of evacuated zones if it has changed, then the events that
    are kept.  Returns false, and posts none of those, if the ring was full:
    they are posted by the next call.  */
bool operator_records_post (struct operator_records *s);

#endif
