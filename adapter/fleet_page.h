/* fleet_page.h -- a page of the fleet list as JSON.

   A page lists all VMs or, if "whole" is false, those that changed since the
   version that was asked for.  */

#ifndef FTK_ADAPTER_FLEET_PAGE_H
#define FTK_ADAPTER_FLEET_PAGE_H

#include "adapter/json_field.h"
#include "port/event.h"

#include <talloc.h>

/** Reads the page in the object of P into F, with its VMs as a child of MEM;
    returns false if the page is malformed.  */
bool fleet_page_from_json (struct json_reader *p, TALLOC_CTX *mem,
                           struct event_fleet_list *f);

/** Returns F as JSON (a new reference).  */
json_t *fleet_page_to_json (const struct event_fleet_list *f);

#endif
