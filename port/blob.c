/* blob.c -- reference-counted bodies of requests and answers.  */

#include "port/blob.h"

#include <stdlib.h>
#include <string.h>

struct blob *
blob_new (uint32_t size_bytes)
{
  struct blob *b = malloc (sizeof *b + size_bytes);

  if (b == NULL)
    return NULL;
  atomic_init (&b->reference_count, 1);
  b->size_bytes = size_bytes;
  b->content_type[0] = '\0';
  return b;
}

struct blob *
blob_copy (const void *data, uint32_t size_bytes)
{
  struct blob *b = blob_new (size_bytes);

  if (b != NULL && size_bytes > 0)
    memcpy (b->data, data, size_bytes);
  return b;
}

struct blob *
blob_ref (struct blob *b)
{
  if (b != NULL)
    atomic_fetch_add_explicit (&b->reference_count, 1, memory_order_relaxed);
  return b;
}

void
blob_unref (struct blob *b)
{
  if (b == NULL)
    return;
  if (atomic_fetch_sub_explicit (&b->reference_count, 1, memory_order_acq_rel)
      == 1)
    free (b);
}
