/* pack.c -- helpers for msgpack arrays.  */

#include "adapter/pack.h"

#include <string.h>

/* The codes from FIRST_CODE to LAST_CODE, of objects with a fixed size or with
   the number of their bytes or elements after the code.  */
#define FIRST_CODE 0xc0
#define LAST_CODE 0xdf
#define FIRST_ARRAY_CODE 0xdc
#define FIRST_MAP_CODE 0xde

/* Reads the head of the object at *AT and moves *AT behind it, and behind its
   bytes unless it is an array or a map.  Returns the number of objects in
   it.  */
static uint64_t
skip_object (const uint8_t *data, uint32_t size_bytes, uint64_t *at)
{
  /* By code: bytes of the number, and of what has a fixed size.  */
  static const uint8_t number_bytes[]
      = { 0, 0, 0, 0, 1, 2, 4, 1, 2, 4, 0, 0, 0, 0, 0, 0,
          0, 0, 0, 0, 0, 0, 0, 0, 0, 1, 2, 4, 2, 4, 2, 4 };
  static const uint8_t fixed_bytes[]
      = { 0, 0, 0, 0, 0, 0, 0, 1, 1,  1, 4, 8, 1, 2, 4, 8,
          1, 2, 4, 8, 2, 3, 5, 9, 17, 0, 0, 0, 0, 0, 0, 0 };
  uint8_t code = data[(*at)++];
  uint64_t n = 0;
  uint32_t i;

  if (code >= 0x80 && code < 0x90)
    return 2 * (code & 0xf);
  if (code >= 0x90 && code < 0xa0)
    return code & 0xf;
  if (code >= 0xa0 && code < FIRST_CODE)
    *at += code & 0x1f;
  if (code < FIRST_CODE || code > LAST_CODE)
    return 0;
  for (i = 0; i < number_bytes[code - FIRST_CODE] && *at < size_bytes; i++)
    n = n << 8 | data[(*at)++];
  if (code >= FIRST_ARRAY_CODE)
    return code >= FIRST_MAP_CODE ? 2 * n : n;
  *at += fixed_bytes[code - FIRST_CODE] + n;
  return 0;
}

/* Returns true if the object at DATA, with all objects in it, can lie in
   SIZE_BYTES.  */
static bool
is_whole (const uint8_t *data, uint32_t size_bytes)
{
  uint64_t left_count = 1;
  uint64_t at = 0;

  while (left_count > 0)
    {
      if (at >= size_bytes || left_count > size_bytes - at)
        return false;
      left_count += skip_object (data, size_bytes, &at) - 1;
    }
  return at <= size_bytes;
}

bool
unpack_message (msgpack_unpacked *m, const void *data, uint32_t size_bytes)
{
  size_t at = 0;

  msgpack_unpacked_init (m);
  /* msgpack allocates the elements that an array announces.  */
  return is_whole (data, size_bytes)
         && msgpack_unpack_next (m, data, size_bytes, &at)
                == MSGPACK_UNPACK_SUCCESS;
}

void
unpack_open (struct unpack *u, const msgpack_object *o)
{
  memset (u, 0, sizeof *u);
  if (o == NULL || o->type != MSGPACK_OBJECT_ARRAY)
    {
      u->failed = true;
      return;
    }
  u->items = o->via.array.ptr;
  u->item_count = o->via.array.size;
}

static const msgpack_object *
next_field (struct unpack *u)
{
  if (u->failed || u->next >= u->item_count)
    {
      u->failed = true;
      return NULL;
    }
  return &u->items[u->next++];
}

uint64_t
unpack_number (struct unpack *u, uint64_t high)
{
  const msgpack_object *o = next_field (u);

  if (o == NULL || o->type != MSGPACK_OBJECT_POSITIVE_INTEGER
      || o->via.u64 > high)
    {
      u->failed = true;
      return 0;
    }
  return o->via.u64;
}

bool
unpack_bool (struct unpack *u)
{
  const msgpack_object *o = next_field (u);

  if (o == NULL || o->type != MSGPACK_OBJECT_BOOLEAN)
    {
      u->failed = true;
      return false;
    }
  return o->via.boolean;
}

const uint8_t *
unpack_bytes (struct unpack *u, uint32_t *size_bytes)
{
  const msgpack_object *o = next_field (u);
  const char *bytes = NULL;

  *size_bytes = 0;
  if (o != NULL && o->type == MSGPACK_OBJECT_STR)
    {
      *size_bytes = o->via.str.size;
      bytes = o->via.str.ptr;
    }
  else if (o != NULL && o->type == MSGPACK_OBJECT_BIN)
    {
      *size_bytes = o->via.bin.size;
      bytes = o->via.bin.ptr;
    }
  else
    {
      u->failed = true;
      return NULL;
    }
  /* msgpack may set no pointer for an empty field.  */
  return (const uint8_t *)(bytes != NULL ? bytes : "");
}

void
unpack_text (struct unpack *u, char *dst, uint32_t size_bytes)
{
  uint32_t n;
  const uint8_t *b = unpack_bytes (u, &n);

  memset (dst, 0, size_bytes);
  if (b == NULL || n >= size_bytes)
    u->failed = true;
  else
    memcpy (dst, b, n);
}

void
unpack_array (struct unpack *u, struct unpack *inner)
{
  unpack_open (inner, next_field (u));
  if (inner->failed)
    u->failed = true;
}

void
pack_bytes (msgpack_packer *p, const void *data, uint32_t size_bytes)
{
  msgpack_pack_bin (p, size_bytes);
  msgpack_pack_bin_body (p, data, size_bytes);
}

void
pack_text (msgpack_packer *p, const char *text)
{
  size_t n = strlen (text);

  msgpack_pack_str (p, n);
  msgpack_pack_str_body (p, text, n);
}

void
pack_bool (msgpack_packer *p, bool b)
{
  if (b)
    msgpack_pack_true (p);
  else
    msgpack_pack_false (p);
}
