/* blob.h -- immutable, reference-counted body of a request or an answer.

   Several threads (front, worker client) read a body while the decide thread
   still keeps it for a retry.  The bytes do not change once the creator has
   filled them, so only the reference count needs to be atomic.  */

#ifndef FTK_PORT_BLOB_H
#define FTK_PORT_BLOB_H

#include <stdatomic.h>
#include <stdint.h>

struct blob
{
  _Atomic uint32_t reference_count; /**< References held.  */
  uint32_t size_bytes;              /**< Size of data.  */
  char content_type[64];            /**< Media type, empty if unknown.  */
  uint8_t data[];
};

/** Returns a blob of SIZE_BYTES uninitialised bytes with one reference, or
    NULL if out of memory.  */
struct blob *blob_new (uint32_t size_bytes);

/** Returns a blob with a copy of the SIZE_BYTES bytes at DATA and one
    reference, or NULL if out of memory.  */
struct blob *blob_copy (const void *data, uint32_t size_bytes);

/** Adds a reference and returns B; NULL stays NULL.  */
struct blob *blob_ref (struct blob *b);

/** Drops a reference; dropping the last one frees B.  NULL is allowed.  */
void blob_unref (struct blob *b);

#endif
