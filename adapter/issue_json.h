/* issue_json.h -- the tokens issued to members as JSON, in a checkpoint.  */

#ifndef FTK_ADAPTER_ISSUE_JSON_H
#define FTK_ADAPTER_ISSUE_JSON_H

#include "adapter/json_field.h"
#include "port/record.h"

#include <talloc.h>

/** Reads J into T, with its arrays as children of MEM; every fault becomes a
    finding of P at "issue".  */
void issue_from_json (TALLOC_CTX *mem, struct json_place *p, const json_t *j,
                      struct issue_table *t);

/** Returns T as JSON (a new reference).  */
json_t *issue_to_json (const struct issue_table *t);

#endif
