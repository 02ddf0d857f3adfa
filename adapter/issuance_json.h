/* issuance_json.h -- coding of the tokens issued to members.  */

#ifndef FTK_ADAPTER_ISSUANCE_JSON_H
#define FTK_ADAPTER_ISSUANCE_JSON_H

#include "adapter/json_field.h"
#include "port/record.h"

#include <talloc.h>

/** Reads J into T, whose rows become children of MEM; what is wrong with it
    becomes a finding of P.  */
void issuance_from_json (TALLOC_CTX *mem, struct json_reader *p,
                         const json_t *j, struct issuance_table *t);

/** Returns T as JSON; the caller owns it.  */
json_t *issuance_to_json (const struct issuance_table *t);

#endif
