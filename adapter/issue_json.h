/* issue_json.h -- coding of the tokens issued to members.  */

#ifndef FTK_ADAPTER_ISSUE_JSON_H
#define FTK_ADAPTER_ISSUE_JSON_H

#include "adapter/json_field.h"
#include "port/record.h"

#include <talloc.h>

/** Reads J into T, whose rows become children of MEM; what is wrong with it
    becomes a finding of P.  */
void issue_from_json (TALLOC_CTX *mem, struct json_place *p, const json_t *j,
                      struct issue_table *t);

/** Returns T as JSON; the caller owns it.  */
json_t *issue_to_json (const struct issue_table *t);

#endif
