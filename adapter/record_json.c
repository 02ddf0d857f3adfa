/* record_json.c -- decoding and encoding of log records.  */

#include "adapter/record_json.h"

#include "adapter/checkpoint_json.h"
#include "adapter/config_json.h"
#include "adapter/json_field.h"

#include <sodium.h>
#include <stdlib.h>
#include <string.h>

static const char *const kind_names[] = {
  [RECORD_CONFIG] = "config",
  [RECORD_KEY_GRANT] = "key_grant",
  [RECORD_KEY_WITHDRAW] = "key_withdraw",
  [RECORD_JOIN] = "join",
  [RECORD_LEAVE] = "leave",
  [RECORD_GONE] = "gone",
  [RECORD_CHECKPOINT] = "checkpoint",
};

/** Larger records are not passed on to members.  */
#define RAW_LIMIT_BYTES (2u << 20)

#define KIND_COUNT (sizeof kind_names / sizeof kind_names[0])

static bool
read_kind (struct json_place *p, enum record_kind *kind)
{
  char text[NAME_BYTES];
  uint32_t i;

  json_get_text (p, "kind", true, text, sizeof text);
  for (i = 0; i < KIND_COUNT; i++)
    if (strcmp (kind_names[i], text) == 0)
      {
        *kind = (enum record_kind)i;
        return true;
      }
  return false;
}

static void
read_digest (struct json_place *p, uint8_t *digest)
{
  char hex[2 * DIGEST_BYTES + 1];
  size_t n = 0;

  json_get_text (p, "digest", true, hex, sizeof hex);
  if (sodium_hex2bin (digest, DIGEST_BYTES, hex, strlen (hex), NULL, &n, NULL)
          != 0
      || n != DIGEST_BYTES)
    json_fault (p, "digest", "is no digest");
}

static void
read_fields (struct json_place *p, struct record *r)
{
  switch (r->kind)
    {
    case RECORD_CONFIG:
      r->u.config = config_from_json (r, json_object_get (p->object, "tables"),
                                      p->findings);
      break;
    case RECORD_KEY_GRANT:
    case RECORD_KEY_WITHDRAW:
      json_get_text (p, "team", r->kind == RECORD_KEY_GRANT, r->u.key.team,
                     NAME_BYTES);
      read_digest (p, r->u.key.digest);
      break;
    case RECORD_JOIN:
      json_get_text (p, "vm", true, r->u.join.vm, NAME_BYTES);
      json_get_text (p, "zone", false, r->u.join.zone, NAME_BYTES);
      json_get_text (p, "peer_address", false, r->u.join.peer_address,
                     ADDRESS_BYTES);
      json_get_text (p, "address", false, r->u.join.address, ADDRESS_BYTES);
      break;
    case RECORD_LEAVE:
    case RECORD_GONE:
      json_get_text (p, "vm", true, r->u.leave.vm, NAME_BYTES);
      r->u.leave.incarnation
          = json_get_number (p, "incarnation", 0, INT64_MAX, 0);
      break;
    case RECORD_CHECKPOINT:
      r->u.checkpoint = checkpoint_from_json (r, p);
      break;
    }
}

struct record *
record_from_json (TALLOC_CTX *mem, const json_t *envelope)
{
  struct record *r = talloc_zero (mem, struct record);
  struct findings *f = findings_new (r, "log", NULL);
  struct json_place p;

  if (json_place_open (&p, f, envelope, "") && read_kind (&p, &r->kind))
    {
      json_get_text (&p, "id", true, r->id, ID_BYTES);
      read_fields (&p, r);
      if (f->item_count == 0)
        {
          talloc_free (f);
          return r;
        }
    }
  talloc_free (r);
  return NULL;
}

static void
set_digest (json_t *j, const uint8_t *digest)
{
  char hex[2 * DIGEST_BYTES + 1];

  sodium_bin2hex (hex, sizeof hex, digest, DIGEST_BYTES);
  json_object_set_new (j, "digest", json_string (hex));
}

json_t *
record_to_json (const struct record *r)
{
  json_t *j
      = json_pack ("{s:s, s:s}", "id", r->id, "kind", kind_names[r->kind]);

  switch (r->kind)
    {
    case RECORD_CONFIG:
      json_object_set_new (j, "tables", config_to_json (r->u.config));
      break;
    case RECORD_KEY_GRANT:
    case RECORD_KEY_WITHDRAW:
      json_object_set_new (j, "team", json_string (r->u.key.team));
      set_digest (j, r->u.key.digest);
      break;
    case RECORD_JOIN:
      json_object_set_new (j, "vm", json_string (r->u.join.vm));
      json_object_set_new (j, "zone", json_string (r->u.join.zone));
      json_object_set_new (j, "peer_address",
                           json_string (r->u.join.peer_address));
      if (r->u.join.address[0] != '\0')
        json_object_set_new (j, "address", json_string (r->u.join.address));
      break;
    case RECORD_LEAVE:
    case RECORD_GONE:
      json_object_set_new (j, "vm", json_string (r->u.leave.vm));
      json_object_set_new (j, "incarnation",
                           json_integer ((json_int_t)r->u.leave.incarnation));
      break;
    case RECORD_CHECKPOINT:
      checkpoint_to_json (r->u.checkpoint, j);
      break;
    }
  return j;
}

struct blob *
record_to_raw (const json_t *data)
{
  char *text = json_dumps (data, JSON_COMPACT | JSON_ENCODE_ANY);
  struct blob *b = NULL;

  if (text != NULL && strlen (text) <= RAW_LIMIT_BYTES)
    b = blob_copy (text, (uint32_t)strlen (text));
  free (text);
  return b;
}
