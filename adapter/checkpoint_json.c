/* checkpoint_json.c -- decoding and encoding of checkpoints.  */

#include "adapter/checkpoint_json.h"

#include "adapter/config_json.h"
#include "adapter/issuance_json.h"
#include "adapter/vm_control_json.h"

#include <sodium.h>
#include <stdio.h>
#include <string.h>

#define DIGEST_HEX_BYTES (2 * DIGEST_BYTES + 1)

static void
read_digest (struct json_reader *p, const char *key, uint8_t *digest)
{
  char hex[DIGEST_HEX_BYTES];
  size_t n = 0;

  json_get_text (p, key, true, hex, sizeof hex);
  if (sodium_hex2bin (digest, DIGEST_BYTES, hex, strlen (hex), NULL, &n, NULL)
          != 0
      || n != DIGEST_BYTES)
    json_add_finding (p, key, "expected 64 hexadecimal digits");
}

static void
read_key (struct checkpoint *k, uint32_t i, struct json_reader *p)
{
  json_get_text (p, "team", true, k->keys[i].team, NAME_BYTES);
  read_digest (p, "digest", k->keys[i].digest);
}

static void
read_member (struct checkpoint *k, uint32_t i, struct json_reader *p)
{
  struct member *m = &k->members[i];

  json_get_text (p, "vm", true, m->vm, NAME_BYTES);
  json_get_text (p, "zone", false, m->zone, NAME_BYTES);
  json_get_text (p, "peer_address", false, m->peer_address, ADDRESS_BYTES);
  json_get_text (p, "address", false, m->operator_address, ADDRESS_BYTES);
  m->incarnation = json_get_number (p, "incarnation", 1, INT64_MAX, 0);
}

typedef void read_row_fn (struct checkpoint *k, uint32_t i,
                          struct json_reader *p);

static void
read_rows (struct checkpoint *k, struct json_reader *top, const char *table,
           const json_t *rows, read_row_fn *read_row)
{
  json_t *row;
  size_t n;

  json_array_foreach (rows, n, row)
  {
    struct json_reader p;
    char path[TEXT_BYTES];

    snprintf (path, sizeof path, "%s[%zu]", table, n);
    if (json_reader_open (&p, top->findings, row, path))
      read_row (k, (uint32_t)n, &p);
  }
}

static void
read_commands (struct checkpoint *k, struct json_reader *p, const json_t *list)
{
  json_t *text;
  size_t n;

  json_array_foreach (list, n, text)
  {
    if (!json_is_string (text)
        || !text_copy (k->commands[n].text, ID_BYTES,
                       json_string_value (text)))
      json_add_finding (p, "commands", "expected strings of at most 63 bytes");
  }
}

static uint32_t
find_vm (const struct config *f, const char *name)
{
  uint32_t i;

  for (i = 0; i < f->vm_count; i++)
    if (strcmp (f->vms[i].name, name) == 0)
      break;
  return i;
}

/* Restores the order of the VMs, which is part of the state.  The JSON tables
   list VMs by their present pool, whereas the state keeps the order of the
   operators' last edit, even for a VM that has moved to another pool since. */
static void
restore_vm_order (struct config *f, struct json_reader *p, const json_t *names)
{
  json_t *name;
  size_t n;

  if (json_array_size (names) != f->vm_count)
    {
      json_add_finding (p, "vm_order",
                        "expected each VM of the tables exactly once");
      return;
    }
  json_array_foreach (names, n, name)
  {
    const char *text = json_string_value (name);
    uint32_t at = text ? find_vm (f, text) : f->vm_count;
    struct vm_config v;

    if (at < n || at == f->vm_count)
      {
        json_add_finding (p, "vm_order",
                          "expected each VM of the tables exactly once");
        return;
      }
    v = f->vms[at];
    f->vms[at] = f->vms[n];
    f->vms[n] = v;
  }
}

struct checkpoint *
checkpoint_from_json (TALLOC_CTX *mem, struct json_reader *p)
{
  struct checkpoint *k = talloc_zero (mem, struct checkpoint);
  const json_t *keys = json_get_array (p, "keys", true);
  const json_t *members = json_get_array (p, "members", true);
  const json_t *commands = json_get_array (p, "commands", true);
  const json_t *tables = json_object_get (p->object, "tables");

  k->next_offset = json_get_number (p, "next", 0, INT64_MAX, 0);
  k->changed_offset = json_get_number (p, "changed", 0, INT64_MAX, 0);
  k->config_version = json_get_number (p, "config_version", 0, INT64_MAX, 0);
  read_digest (p, "state_digest", k->digest);
  if (tables != NULL)
    k->config = config_from_json (k, tables, p->findings);
  if (k->config != NULL)
    restore_vm_order (k->config, p, json_object_get (p->object, "vm_order"));
  k->last_append_at_ms = json_get_number (p, "log_ms", 0, INT64_MAX, 0);
  k->vm_control = vm_control_from_json (k, p, k->config);
  k->key_count = (uint32_t)json_array_size (keys);
  k->member_count = (uint32_t)json_array_size (members);
  k->command_count = (uint32_t)json_array_size (commands);
  k->keys = talloc_zero_array (k, struct granted_key, k->key_count);
  k->members = talloc_zero_array (k, struct member, k->member_count);
  k->commands = talloc_zero_array (k, struct command_id, k->command_count);
  read_rows (k, p, "keys", keys, read_key);
  read_rows (k, p, "members", members, read_member);
  read_commands (k, p, commands);
  issuance_from_json (k, p, json_object_get (p->object, "issue"),
                      &k->issuance);
  return k;
}

static json_t *
digest_to_json (const uint8_t *digest)
{
  char hex[DIGEST_HEX_BYTES];

  sodium_bin2hex (hex, sizeof hex, digest, DIGEST_BYTES);
  return json_string (hex);
}

static json_t *
members_to_json (const struct checkpoint *k)
{
  json_t *list = json_array ();
  uint32_t i;

  for (i = 0; i < k->member_count; i++)
    {
      const struct member *m = &k->members[i];

      json_array_append_new (
          list, json_pack ("{s:s, s:s, s:s, s:s, s:I}", "vm", m->vm, "zone",
                           m->zone, "peer_address", m->peer_address, "address",
                           m->operator_address, "incarnation",
                           (json_int_t)m->incarnation));
    }
  return list;
}

static json_t *
keys_to_json (const struct checkpoint *k)
{
  json_t *list = json_array ();
  uint32_t i;

  for (i = 0; i < k->key_count; i++)
    json_array_append_new (
        list, json_pack ("{s:s, s:o}", "team", k->keys[i].team, "digest",
                         digest_to_json (k->keys[i].digest)));
  return list;
}

static json_t *
vm_order_to_json (const struct config *f)
{
  json_t *list = json_array ();
  uint32_t i;

  for (i = 0; i < f->vm_count; i++)
    json_array_append_new (list, json_string (f->vms[i].name));
  return list;
}

void
checkpoint_to_json (const struct checkpoint *k, json_t *j)
{
  json_t *commands = json_array ();
  uint32_t i;

  for (i = 0; i < k->command_count; i++)
    json_array_append_new (commands, json_string (k->commands[i].text));
  json_object_set_new (j, "next", json_integer ((json_int_t)k->next_offset));
  json_object_set_new (j, "changed",
                       json_integer ((json_int_t)k->changed_offset));
  json_object_set_new (j, "config_version",
                       json_integer ((json_int_t)k->config_version));
  json_object_set_new (j, "state_digest", digest_to_json (k->digest));
  if (k->config != NULL)
    {
      json_object_set_new (j, "tables", config_to_json (k->config));
      json_object_set_new (j, "vm_order", vm_order_to_json (k->config));
    }
  json_object_set_new (j, "log_ms",
                       json_integer ((json_int_t)k->last_append_at_ms));
  vm_control_to_json (k->vm_control, k->config, j);
  json_object_set_new (j, "keys", keys_to_json (k));
  json_object_set_new (j, "members", members_to_json (k));
  json_object_set_new (j, "commands", commands);
  json_object_set_new (j, "issue", issuance_to_json (&k->issuance));
}
