/* pack.h -- helpers for msgpack arrays whose fields are known by position.  */

#ifndef FTK_ADAPTER_PACK_H
#define FTK_ADAPTER_PACK_H

#include <msgpack.h>
#include <stdbool.h>
#include <stdint.h>

/** Reads the fields of an array in order.  A field that is missing, out of
    range or of another type sets failed and reads as zero.  */
struct unpack
{
  const msgpack_object *items;
  uint32_t item_count;
  uint32_t next; /**< Index of the next field.  */
  bool failed;
};

/** Unpacks the object at DATA, of SIZE_BYTES or less, into M, which the caller
    destroys in any case.  Returns false if it is cut or malformed; memory is
    taken for no more elements than DATA can hold.  */
bool unpack_message (msgpack_unpacked *m, const void *data,
                     uint32_t size_bytes);

/** Starts reading the array O; U fails if O is NULL or no array.  */
void unpack_open (struct unpack *u, const msgpack_object *o);

/** Returns the next field, a number up to HIGH.  */
uint64_t unpack_number (struct unpack *u, uint64_t high);
bool unpack_bool (struct unpack *u);

/** Copies the next field, a string, to DST and fills the rest of its
    SIZE_BYTES with zeros; one that is too long fails.  */
void unpack_text (struct unpack *u, char *dst, uint32_t size_bytes);

/** Returns the bytes of the next field, a string or binary, or NULL if it is
    neither.  They belong to the array.  */
const uint8_t *unpack_bytes (struct unpack *u, uint32_t *size_bytes);

/** Starts reading the next field, an array, with INNER; both fail if it is no
    array.  */
void unpack_array (struct unpack *u, struct unpack *inner);

void pack_text (msgpack_packer *p, const char *text);
void pack_bytes (msgpack_packer *p, const void *data, uint32_t size_bytes);
void pack_bool (msgpack_packer *p, bool b);

#endif
