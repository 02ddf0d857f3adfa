/* claim_codec.h -- msgpack coding of claims of the cell, as stored.  */

#ifndef FTK_ADAPTER_CLAIM_CODEC_H
#define FTK_ADAPTER_CLAIM_CODEC_H

#include "platform/store.h"
#include "port/blob.h"
#include "port/cell_event.h"

/** Returns the framed record of MEMBER's claim with the terms T, which the
    caller unreferences.  RELAY_ADDRESS is where others reach MEMBER.  */
struct blob *claim_encode (const char *member, const char *relay_address,
                           const struct claim_terms *t);

/** Decodes the record X into the claim of E.  Returns false if X is
    malformed.  */
bool claim_decode (const struct platform_record *x, struct cell_event *e);

#endif
