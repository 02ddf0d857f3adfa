/* types.c -- copying text into fixed-size fields, and the out-of-memory exit.
 */

#include "port/types.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

bool
text_copy (char *dst, uint32_t size_bytes, const char *src)
{
  size_t n = strnlen (src, size_bytes);
  bool whole = n < size_bytes;

  if (!whole)
    n = size_bytes - 1;
  memcpy (dst, src, n);
  memset (dst + n, 0, size_bytes - n);
  return whole;
}

void
out_of_memory (void)
{
  fputs ("fulmartack: out of memory\n", stderr);
  abort ();
}
