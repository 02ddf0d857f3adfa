/* config_json.h -- the two tables as a JSON document.  */

#ifndef FTK_ADAPTER_CONFIG_JSON_H
#define FTK_ADAPTER_CONFIG_JSON_H

#include "adapter/finding.h"
#include "port/config.h"

#include <jansson.h>

/** Returns the tables in DOCUMENT as a child of MEM, or NULL; every fault is
    added to F.  */
struct config *config_from_json (TALLOC_CTX *mem, const json_t *document,
                                 struct findings *f);

/** Returns C as a JSON document (a new reference).  */
json_t *config_to_json (const struct config *c);

/** Reads FILE; returns its tables as a child of MEM, or NULL with findings in
    F (made as a child of MEM).  */
struct config *config_from_file (TALLOC_CTX *mem, const char *file,
                                 struct findings **f);

#endif
