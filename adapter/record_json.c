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
  [RECORD_WAVE_START] = "wave_start",
  [RECORD_WAVE_PAUSE] = "wave_pause",
  [RECORD_WAVE_RESUME] = "wave_resume",
  [RECORD_WAVE_ABORT] = "wave_abort",
  [RECORD_DRAIN] = "drain",
  [RECORD_VM_DRAINED] = "vm_drained",
  [RECORD_REBOOTED] = "rebooted",
  [RECORD_RETURN] = "return",
  [RECORD_VM_LOST] = "vm_lost",
  [RECORD_VM_FOUND] = "vm_found",
  [RECORD_MOVE] = "move",
  [RECORD_SETTLE] = "settle",
  [RECORD_ZONE_EVACUATE] = "zone_evacuate",
  [RECORD_ZONE_RETURN] = "zone_return",
};

/** Largest record that is relayed to members, as JSON text.  */
#define MAX_RAW_BYTES (2u << 20)

#define KIND_COUNT (sizeof kind_names / sizeof kind_names[0])

static bool
read_kind (struct json_reader *p, enum record_kind *kind)
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
read_digest (struct json_reader *p, uint8_t *digest)
{
  char hex[2 * DIGEST_BYTES + 1];
  size_t n = 0;

  json_get_text (p, "digest", true, hex, sizeof hex);
  if (sodium_hex2bin (digest, DIGEST_BYTES, hex, strlen (hex), NULL, &n, NULL)
          != 0
      || n != DIGEST_BYTES)
    json_add_finding (p, "digest", "expected 64 hexadecimal digits");
}

/* Reads ["team" or "vm", name, count].  */
static bool
read_settle_item (const json_t *j, struct settle_item *x)
{
  const char *kind = json_string_value (json_array_get (j, 0));
  const char *name = json_string_value (json_array_get (j, 1));

  if (kind == NULL || name == NULL)
    return false;
  x->limit.kind = strcmp (kind, "team") == 0 ? LIMIT_TEAM : LIMIT_VM;
  x->token_count = json_integer_value (json_array_get (j, 2));
  return text_copy (x->limit.name, NAME_BYTES, name);
}

static void
read_settle (struct json_reader *p, TALLOC_CTX *mem, struct record_settle *s)
{
  const json_t *items = json_get_array (p, "items", false);
  size_t i;

  s->incarnation = json_get_number (p, "incarnation", 0, INT64_MAX, 0);
  s->gone_incarnation = json_get_number (p, "gone", 0, INT64_MAX, 0);
  s->item_count = (uint32_t)json_array_size (items);
  s->items = talloc_zero_array (mem, struct settle_item, s->item_count);
  for (i = 0; i < s->item_count; i++)
    if (!read_settle_item (json_array_get (items, i), &s->items[i]))
      json_add_finding (
          p, "items",
          "expected each item as [\"team\" or \"vm\", name, count]");
}

static json_t *
settle_items_to_json (const struct record_settle *s)
{
  json_t *j = json_array ();
  uint32_t i;

  for (i = 0; i < s->item_count; i++)
    json_array_append_new (
        j, json_pack ("[s, s, I]",
                      s->items[i].limit.kind == LIMIT_TEAM ? "team" : "vm",
                      s->items[i].limit.name,
                      (json_int_t)s->items[i].token_count));
  return j;
}

static void
read_targets (struct json_reader *p, struct record *r)
{
  const json_t *list = json_get_array (p, "targets", true);
  struct record_wave *w = &r->u.wave;
  const json_t *name;
  size_t i;

  w->targets = talloc_zero_size (r, (json_array_size (list) + 1) * NAME_BYTES);
  json_array_foreach (list, i, name)
  {
    if (!json_is_string (name)
        || !text_copy (w->targets[w->target_count++], NAME_BYTES,
                       json_string_value (name)))
      json_add_finding (p, "targets", "expected names of pools or VMs");
  }
}

static void
read_wave (struct json_reader *p, struct record *r)
{
  struct record_wave *w = &r->u.wave;

  json_get_text (p, "wave", true, w->wave, NAME_BYTES);
  if (r->kind != RECORD_WAVE_START)
    return;
  read_targets (p, r);
  w->parallel_limit_count
      = (uint32_t)json_get_number (p, "parallel", 0, INT32_MAX, 0);
  w->deadline_ms = json_get_number (p, "deadline_ms", 0, INT64_MAX, 0);
}

static void
read_vm (struct json_reader *p, struct record_vm *v)
{
  json_get_text (p, "vm", true, v->vm, NAME_BYTES);
  json_get_text (p, "wave", false, v->wave, NAME_BYTES);
  v->drain_id = json_get_number (p, "drain_id", 0, INT64_MAX, 0);
  v->incarnation = json_get_number (p, "incarnation", 0, INT64_MAX, 0);
}

static void
read_move (struct json_reader *p, struct record_move *m)
{
  json_get_text (p, "vm", true, m->vm, NAME_BYTES);
  json_get_text (p, "from", true, m->from, NAME_BYTES);
  json_get_text (p, "to", true, m->to, NAME_BYTES);
}

static void
read_fields (struct json_reader *p, struct record *r)
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
      json_get_text (p, "address", false, r->u.join.operator_address,
                     ADDRESS_BYTES);
      break;
    case RECORD_LEAVE:
    case RECORD_GONE:
      json_get_text (p, "vm", true, r->u.leave.vm, NAME_BYTES);
      r->u.leave.incarnation
          = json_get_number (p, "incarnation", 0, INT64_MAX, 0);
      r->u.leave.idle = json_get_bool (p, "idle", false);
      break;
    case RECORD_CHECKPOINT:
      r->u.checkpoint = checkpoint_from_json (r, p);
      break;
    case RECORD_WAVE_START:
    case RECORD_WAVE_PAUSE:
    case RECORD_WAVE_RESUME:
    case RECORD_WAVE_ABORT:
      read_wave (p, r);
      break;
    case RECORD_DRAIN:
    case RECORD_VM_DRAINED:
    case RECORD_REBOOTED:
    case RECORD_RETURN:
    case RECORD_VM_LOST:
    case RECORD_VM_FOUND:
      read_vm (p, &r->u.vm);
      break;
    case RECORD_MOVE:
      read_move (p, &r->u.move);
      break;
    case RECORD_SETTLE:
      read_settle (p, r, &r->u.settle);
      break;
    case RECORD_ZONE_EVACUATE:
    case RECORD_ZONE_RETURN:
      json_get_text (p, "zone", true, r->u.zone.zone, NAME_BYTES);
      break;
    }
}

struct record *
record_from_json (TALLOC_CTX *mem, const json_t *data)
{
  struct record *r = talloc_zero (mem, struct record);
  struct findings *f = findings_new (r, "log", NULL);
  struct json_reader p;

  if (json_reader_open (&p, f, data, "") && read_kind (&p, &r->kind))
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

static void
set_name (json_t *j, const char *key, const char *text)
{
  if (text[0] != '\0')
    json_object_set_new (j, key, json_string (text));
}

static void
set_number (json_t *j, const char *key, uint64_t n)
{
  if (n != 0)
    json_object_set_new (j, key, json_integer ((json_int_t)n));
}

static void
write_wave (json_t *j, const struct record *r)
{
  const struct record_wave *w = &r->u.wave;
  json_t *list;
  uint32_t i;

  set_name (j, "wave", w->wave);
  if (r->kind != RECORD_WAVE_START)
    return;
  list = json_array ();
  for (i = 0; i < w->target_count; i++)
    json_array_append_new (list, json_string (w->targets[i]));
  json_object_set_new (j, "targets", list);
  set_number (j, "parallel", w->parallel_limit_count);
  set_number (j, "deadline_ms", w->deadline_ms);
}

static void
write_vm (json_t *j, const struct record_vm *v)
{
  set_name (j, "vm", v->vm);
  set_name (j, "wave", v->wave);
  set_number (j, "drain_id", v->drain_id);
  set_number (j, "incarnation", v->incarnation);
}

static void
write_move (json_t *j, const struct record_move *m)
{
  set_name (j, "vm", m->vm);
  set_name (j, "from", m->from);
  set_name (j, "to", m->to);
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
      if (r->u.join.operator_address[0] != '\0')
        json_object_set_new (j, "address",
                             json_string (r->u.join.operator_address));
      break;
    case RECORD_LEAVE:
    case RECORD_GONE:
      json_object_set_new (j, "vm", json_string (r->u.leave.vm));
      json_object_set_new (j, "incarnation",
                           json_integer ((json_int_t)r->u.leave.incarnation));
      if (r->u.leave.idle)
        json_object_set_new (j, "idle", json_true ());
      break;
    case RECORD_CHECKPOINT:
      checkpoint_to_json (r->u.checkpoint, j);
      break;
    case RECORD_WAVE_START:
    case RECORD_WAVE_PAUSE:
    case RECORD_WAVE_RESUME:
    case RECORD_WAVE_ABORT:
      write_wave (j, r);
      break;
    case RECORD_DRAIN:
    case RECORD_VM_DRAINED:
    case RECORD_REBOOTED:
    case RECORD_RETURN:
    case RECORD_VM_LOST:
    case RECORD_VM_FOUND:
      write_vm (j, &r->u.vm);
      break;
    case RECORD_MOVE:
      write_move (j, &r->u.move);
      break;
    case RECORD_SETTLE:
      json_object_set_new (j, "incarnation",
                           json_integer ((json_int_t)r->u.settle.incarnation));
      json_object_set_new (
          j, "gone", json_integer ((json_int_t)r->u.settle.gone_incarnation));
      json_object_set_new (j, "items", settle_items_to_json (&r->u.settle));
      break;
    case RECORD_ZONE_EVACUATE:
    case RECORD_ZONE_RETURN:
      set_name (j, "zone", r->u.zone.zone);
      break;
    }
  return j;
}

struct blob *
record_raw_from_json (const json_t *data)
{
  char *text = json_dumps (data, JSON_COMPACT | JSON_ENCODE_ANY);
  struct blob *b = NULL;

  if (text != NULL && strlen (text) <= MAX_RAW_BYTES)
    b = blob_copy (text, (uint32_t)strlen (text));
  free (text);
  return b;
}
