/* rows.h -- copying the tables of a state.  */

#ifndef FTK_CORE_ROWS_H
#define FTK_CORE_ROWS_H

#include <stdint.h>
#include <talloc.h>

/** Returns a copy of COUNT rows of SIZE_BYTES as a child of MEM; an empty
   table is NULL.  */
void *rows_copy (TALLOC_CTX *mem, const void *rows, uint32_t count,
                 size_t size_bytes);

#endif
