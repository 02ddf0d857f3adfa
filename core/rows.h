/* rows.h -- copies the arrays that a state consists of.  */

#ifndef FTK_CORE_ROWS_H
#define FTK_CORE_ROWS_H

#include <stdint.h>
#include <talloc.h>

/** Returns a copy of the COUNT elements of SIZE_BYTES each at ROWS as a child
    of MEM; NULL if COUNT is 0.  */
void *rows_copy (TALLOC_CTX *mem, const void *rows, uint32_t count,
                 size_t size_bytes);

#endif
