/* checkpoint_json.h -- the control state as JSON.  */

#ifndef FTK_ADAPTER_CHECKPOINT_JSON_H
#define FTK_ADAPTER_CHECKPOINT_JSON_H

#include "adapter/json_field.h"
#include "port/record.h"

/** Reads the checkpoint in the object of P as a child of MEM; every fault is
    added to the findings of P.  */
struct checkpoint *checkpoint_from_json (TALLOC_CTX *mem,
                                         struct json_reader *p);

/** Adds the fields of K to the object J.  */
void checkpoint_to_json (const struct checkpoint *k, json_t *j);

#endif
