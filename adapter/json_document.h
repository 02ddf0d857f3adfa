/* json_document.h -- reads a JSON file, with findings by line.  */

#ifndef FTK_ADAPTER_JSON_DOCUMENT_H
#define FTK_ADAPTER_JSON_DOCUMENT_H

#include "adapter/finding.h"

#include <jansson.h>

/** Returns the document in FILE as a new reference, or NULL with a finding.
    Sets *F to the list of findings, a child of MEM, which looks up lines in
    the text of the file.  */
json_t *json_document_read (TALLOC_CTX *mem, const char *file,
                            struct findings **f);

#endif
