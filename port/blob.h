/* blob.h -- immutable, reference-counted bytes of a request or an answer.

   A body is read by several threads (front, back) while the decide thread
   still keeps it for a retry.  It never changes after blob_new has filled it,
   so only the count is shared.  */

#ifndef FTK_PORT_BLOB_H
#define FTK_PORT_BLOB_H

#include <stdatomic.h>
#include <stdint.h>

struct blob
{
  _Atomic uint32_t reference_count; /**< Holders of this blob.  */
  uint32_t size_bytes;              /**< Length of data.  */
  char content_type[64];            /**< Media type, empty if unknown.  */
  uint8_t data[];                   /**< The bytes.  */
};

/** Returns a blob of SIZE_BYTES uninitialised bytes with one reference, or
    NULL when memory is out.  */
struct blob *blob_new (uint32_t size_bytes);

/** Returns a blob holding a copy of SIZE_BYTES bytes at DATA, or NULL.  */
struct blob *blob_copy (const void *data, uint32_t size_bytes);

/** Adds a reference and returns B; NULL stays NULL.  */
struct blob *blob_ref (struct blob *b);

/** Drops a reference; the last one frees the bytes.  NULL is allowed.  */
void blob_unref (struct blob *b);

#endif
