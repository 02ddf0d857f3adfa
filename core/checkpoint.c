/* checkpoint.c -- digest, copy and restore of the control state.

   The digest covers the state field by field, so that struct padding and bytes
   after a name's NUL have no influence.  A field added to the tables or to the
   control state must be added here too.  */

#include "core/control.h"
#include "core/digest.h"
#include "core/rows.h"
#include "core/vm_control.h"

#include <sodium.h>
#include <string.h>

static void
hash_team (crypto_generichash_state *h, const struct team_config *t)
{
  digest_add_text (h, t->name);
  digest_add_number (h, t->share_weight);
  digest_add_number (h, t->ceiling_count);
}

static void
hash_pool (crypto_generichash_state *h, const struct pool_config *p)
{
  digest_add_text (h, p->name);
  digest_add_number (h, p->is_spare);
  digest_add_number (h, p->max_unavailable_count);
  digest_add_number (h, p->max_unavailable_rack_count);
}

static void
hash_vm (crypto_generichash_state *h, const struct vm_config *v)
{
  digest_add_text (h, v->name);
  digest_add_text (h, v->address);
  digest_add_text (h, v->zone);
  digest_add_text (h, v->rack);
  digest_add_number (h, v->pool_index);
  digest_add_number (h, v->slot_count);
  digest_add_number (h, v->cpu_count);
  digest_add_number (h, v->memory_mib);
  digest_add_number (h, v->accelerator_count);
}

static void
hash_route (crypto_generichash_state *h, const struct route_config *r)
{
  digest_add_text (h, r->queue);
  digest_add_text (h, r->team);
  digest_add_number (h, r->pool_index);
  digest_add_number (h, r->route_class);
  digest_add_number (h, r->idempotent);
  digest_add_number (h, r->open_to_all);
  digest_add_number (h, r->urgent);
  digest_add_number (h, r->hold_log_outage);
  digest_add_number (h, r->timeout_ms);
  digest_add_number (h, r->queue_limit_count);
  digest_add_number (h, r->cpu_count);
  digest_add_number (h, r->memory_mib);
  digest_add_number (h, r->accelerator_count);
}

static void
hash_config (crypto_generichash_state *h, const struct config *f)
{
  uint32_t i;

  digest_add_number (h, f != NULL);
  if (f == NULL)
    return;
  digest_add_number (h, f->team_count);
  for (i = 0; i < f->team_count; i++)
    hash_team (h, &f->teams[i]);
  digest_add_number (h, f->pool_count);
  for (i = 0; i < f->pool_count; i++)
    hash_pool (h, &f->pools[i]);
  digest_add_number (h, f->vm_count);
  for (i = 0; i < f->vm_count; i++)
    hash_vm (h, &f->vms[i]);
  digest_add_number (h, f->route_count);
  for (i = 0; i < f->route_count; i++)
    hash_route (h, &f->routes[i]);
}

static void
hash_keys (crypto_generichash_state *h, const struct granted_key *keys,
           uint32_t count)
{
  uint32_t i;

  digest_add_number (h, count);
  for (i = 0; i < count; i++)
    {
      crypto_generichash_update (h, keys[i].digest, DIGEST_BYTES);
      digest_add_text (h, keys[i].team);
    }
}

static void
hash_members (crypto_generichash_state *h, const struct member *members,
              uint32_t count)
{
  uint32_t i;

  digest_add_number (h, count);
  for (i = 0; i < count; i++)
    {
      digest_add_text (h, members[i].vm);
      digest_add_text (h, members[i].zone);
      digest_add_text (h, members[i].peer_address);
      digest_add_text (h, members[i].operator_address);
      digest_add_number (h, members[i].incarnation);
    }
}

static void
hash_vm_control (crypto_generichash_state *h, const struct vm_control *v)
{
  uint8_t digest[DIGEST_BYTES];

  vm_control_digest (v, digest);
  crypto_generichash_update (h, digest, sizeof digest);
}

static void
hash_start (crypto_generichash_state *h, uint64_t changed_offset,
            uint64_t config_version)
{
  crypto_generichash_init (h, NULL, 0, DIGEST_BYTES);
  digest_add_number (h, changed_offset);
  digest_add_number (h, config_version);
}

void
control_digest (const struct control *c, uint8_t *digest)
{
  crypto_generichash_state h;
  uint8_t issuance[DIGEST_BYTES];
  const GList *l;

  hash_start (&h, c->changed_offset, c->config_version);
  hash_config (&h, c->config);
  hash_keys (&h, c->keys, c->key_count);
  hash_members (&h, c->members, c->member_count);
  hash_vm_control (&h, c->vm_control);
  digest_add_number (&h, g_queue_get_length (c->command_ids));
  for (l = c->command_ids->head; l != NULL; l = l->next)
    digest_add_text (&h, l->data);
  issuance_digest (c->issuance, issuance);
  crypto_generichash_update (&h, issuance, DIGEST_BYTES);
  crypto_generichash_final (&h, digest, DIGEST_BYTES);
}

void
checkpoint_digest (const struct checkpoint *k, uint8_t *digest)
{
  crypto_generichash_state h;
  uint8_t issuance[DIGEST_BYTES];
  uint32_t i;

  hash_start (&h, k->changed_offset, k->config_version);
  hash_config (&h, k->config);
  hash_keys (&h, k->keys, k->key_count);
  hash_members (&h, k->members, k->member_count);
  hash_vm_control (&h, k->vm_control);
  digest_add_number (&h, k->command_count);
  for (i = 0; i < k->command_count; i++)
    digest_add_text (&h, k->commands[i].text);
  issuance_table_digest (&k->issuance, issuance);
  crypto_generichash_update (&h, issuance, DIGEST_BYTES);
  crypto_generichash_final (&h, digest, DIGEST_BYTES);
}

static struct config *
copy_config (TALLOC_CTX *mem, const struct config *f)
{
  struct config *x = rows_copy (mem, f, 1, sizeof *f);

  x->teams = rows_copy (x, f->teams, f->team_count, sizeof *f->teams);
  x->pools = rows_copy (x, f->pools, f->pool_count, sizeof *f->pools);
  x->vms = rows_copy (x, f->vms, f->vm_count, sizeof *f->vms);
  x->routes = rows_copy (x, f->routes, f->route_count, sizeof *f->routes);
  return x;
}

struct checkpoint *
control_checkpoint (const struct control *c, TALLOC_CTX *mem)
{
  struct checkpoint *k = talloc_zero (mem, struct checkpoint);
  const GList *l;
  uint32_t i = 0;

  if (k == NULL)
    out_of_memory ();
  k->next_offset = c->next_offset;
  k->changed_offset = c->changed_offset;
  k->config_version = c->config_version;
  if (c->config != NULL)
    k->config = copy_config (k, c->config);
  k->key_count = c->key_count;
  k->keys = rows_copy (k, c->keys, c->key_count, sizeof *c->keys);
  k->member_count = c->member_count;
  k->members = rows_copy (k, c->members, c->member_count, sizeof *c->members);
  k->last_append_at_ms = c->last_append_at_ms;
  k->vm_control = vm_control_copy (k, c->vm_control);
  k->command_count = g_queue_get_length (c->command_ids);
  k->commands = talloc_zero_array (k, struct command_id, k->command_count);
  for (l = c->command_ids->head; l != NULL; l = l->next)
    text_copy (k->commands[i++].text, ID_BYTES, l->data);
  issuance_copy (c->issuance, k, &k->issuance);
  control_digest (c, k->digest);
  return k;
}

bool
control_restore (struct control *c, struct checkpoint *k)
{
  uint8_t digest[DIGEST_BYTES];
  uint32_t i;

  checkpoint_digest (k, digest);
  if (memcmp (digest, k->digest, DIGEST_BYTES) != 0
      || k->changed_offset > k->next_offset)
    return false;
  c->next_offset = k->next_offset;
  c->changed_offset = k->changed_offset;
  c->config_version = k->config_version;
  talloc_free (c->config);
  c->config = talloc_steal (c, k->config);
  k->config = NULL;
  talloc_free (c->keys);
  c->keys = rows_copy (c, k->keys, k->key_count, sizeof *k->keys);
  c->key_count = k->key_count;
  talloc_free (c->members);
  c->members = rows_copy (c, k->members, k->member_count, sizeof *k->members);
  c->member_count = k->member_count;
  c->last_append_at_ms = k->last_append_at_ms;
  talloc_free (c->vm_control);
  c->vm_control = vm_control_copy (c, k->vm_control);
  issuance_restore (c->issuance, &k->issuance);
  g_queue_clear (c->command_ids);
  g_hash_table_remove_all (c->command_id_set);
  for (i = 0; i < k->command_count; i++)
    control_add_command_id (c, k->commands[i].text);
  return true;
}

enum checkpoint_match
control_compare (const struct control *c, const struct checkpoint *k)
{
  uint8_t digest[DIGEST_BYTES];

  if (k->changed_offset != c->changed_offset)
    return CHECKPOINT_NOT_COMPARABLE;
  control_digest (c, digest);
  return memcmp (digest, k->digest, DIGEST_BYTES) == 0 ? CHECKPOINT_SAME
                                                       : CHECKPOINT_DIFFERS;
}
