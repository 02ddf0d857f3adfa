/* issuance_json.h -- the tokens issued to members as JSON, in a checkpoint. */

#ifndef FTK_ADAPTER_ISSUANCE_JSON_H
#define FTK_ADAPTER_ISSUANCE_JSON_H

#include "adapter/json_field.h"
#include "port/record.h"

#include <talloc.h>

/** Reads J into T, with its arrays as children of MEM; every fault becomes a
    finding of P at "issue".  */
void issuance_from_json (TALLOC_CTX *mem, struct json_reader *p,
                         const json_t *j, struct issuance_table *t);

/** Returns T as JSON (a new reference).  */
json_t *issuance_to_json (const struct issuance_table *t);

#endif
