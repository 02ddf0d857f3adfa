/* peer_json.h -- messages between members as JSON, for traces and scripts.  */

#ifndef FTK_ADAPTER_PEER_JSON_H
#define FTK_ADAPTER_PEER_JSON_H

#include "adapter/json_field.h"
#include "port/peer_message.h"

/** Reads M from the object of P; its record, if any, becomes a child of
    MEM, and every fault a finding of P.  */
void peer_message_from_json (struct json_reader *p, TALLOC_CTX *mem,
                             struct peer_message *m);

/** Adds the fields of M to the object J.  */
void peer_message_to_json (const struct peer_message *m, json_t *j);

#endif
