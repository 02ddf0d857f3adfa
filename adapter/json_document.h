/* json_document.h -- a JSON file read whole, with findings on its text.  */

#ifndef FTK_ADAPTER_JSON_DOCUMENT_H
#define FTK_ADAPTER_JSON_DOCUMENT_H

#include "adapter/finding.h"

#include <jansson.h>

/** Reads FILE and returns its document (a new reference), or NULL with one
    finding.  *F, a child of MEM, takes further findings with their lines.  */
json_t *json_document_read (TALLOC_CTX *mem, const char *file,
                            struct findings **f);

#endif
