/* cell_name.h -- names of enumerators, as log lines give them.

   Each function returns "?" for a value that is none of its enumeration.  */

#ifndef FTK_PORT_CELL_NAME_H
#define FTK_PORT_CELL_NAME_H

#include "port/cell_event.h"

const char *call_kind_name (enum call_kind k);
const char *reply_code_name (enum reply_code c);
const char *end_kind_name (enum end_kind k);
const char *order_kind_name (enum order_kind k);
const char *order_outcome_name (enum order_outcome o);
const char *append_outcome_name (enum append_outcome o);

#endif
