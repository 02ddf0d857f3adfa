/* record_json.h -- log records as JSON.  */

#ifndef FTK_ADAPTER_RECORD_JSON_H
#define FTK_ADAPTER_RECORD_JSON_H

#include "port/blob.h"
#include "port/record.h"

#include <jansson.h>
#include <talloc.h>

/** Returns the record in DATA ({"id", "kind", ...}) as a child of MEM, or NULL
    if it is malformed.  */
struct record *record_from_json (TALLOC_CTX *mem, const json_t *data);

/** Returns R as JSON (a new reference).  */
json_t *record_to_json (const struct record *r);

/** Returns DATA, a record of the log, as JSON text to be relayed to members,
    or NULL if the text is too large to be relayed.  */
struct blob *record_raw_from_json (const json_t *data);

#endif
