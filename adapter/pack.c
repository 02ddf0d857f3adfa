/* pack.c -- helpers for msgpack arrays.  */

#include "adapter/pack.h"

#include <string.h>

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
