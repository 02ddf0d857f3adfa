/* config_json.h -- the tables (routes, and pools with their VMs) and the teams
   as a JSON document.  */

#ifndef FTK_ADAPTER_CONFIG_JSON_H
#define FTK_ADAPTER_CONFIG_JSON_H

#include "adapter/finding.h"
#include "port/config.h"

#include <jansson.h>

/** Returns the tables in DOCUMENT as a child of MEM, or NULL; every fault
    becomes a finding in F.  */
struct config *config_from_json (TALLOC_CTX *mem, const json_t *document,
                                 struct findings *f);

/** Returns C as a JSON document (a new reference).  */
json_t *config_to_json (const struct config *c);

/** Returns the tables in FILE as a child of MEM, or NULL with findings in F
    (made as a child of MEM).  */
struct config *config_from_file (TALLOC_CTX *mem, const char *file,
                                 struct findings **f);

#endif
