/* rows.c -- copies the arrays that a state consists of.  */

#include "core/rows.h"

#include "port/types.h"

void *
rows_copy (TALLOC_CTX *mem, const void *rows, uint32_t count,
           size_t size_bytes)
{
  void *copy;

  if (count == 0)
    return NULL;
  copy = talloc_memdup (mem, rows, count * size_bytes);
  if (copy == NULL)
    out_of_memory ();
  return copy;
}
