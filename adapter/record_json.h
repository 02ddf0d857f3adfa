/* record_json.h -- records of the log as JSON.  */

#ifndef FTK_ADAPTER_RECORD_JSON_H
#define FTK_ADAPTER_RECORD_JSON_H

#include "port/blob.h"
#include "port/record.h"

#include <jansson.h>
#include <talloc.h>

/** Returns the record in ENVELOPE ({"id", "kind", ...}) as a child of MEM, or
    NULL if it is malformed.  */
struct record *record_from_json (TALLOC_CTX *mem, const json_t *envelope);

/** Returns R as JSON (a new reference).  */
json_t *record_to_json (const struct record *r);

/** Returns the bytes of DATA, the record as the log has it, to be passed on;
   or NULL if they are too many.  */
struct blob *record_raw_from_json (const json_t *data);

#endif
