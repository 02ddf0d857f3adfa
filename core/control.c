/* control.c -- applies the log's records to the control state.  */

#include "core/control.h"
#include "core/vm_control.h"

#include <sodium.h>
#include <stdlib.h>
#include <string.h>

static int
control_free (struct control *c)
{
  g_hash_table_destroy (c->command_id_set);
  g_queue_free (c->command_ids);
  return 0;
}

struct control *
control_new (TALLOC_CTX *mem)
{
  struct control *c = talloc_zero (mem, struct control);

  if (c == NULL)
    return NULL;
  c->vm_control = vm_control_new (c);
  c->command_id_set
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  c->command_ids = g_queue_new ();
  c->issuance = issuance_new (c);
  talloc_set_destructor (c, control_free);
  return c;
}

static int
compare_routes (const void *a, const void *b)
{
  const struct route_config *x = a;
  const struct route_config *y = b;

  return strcmp (x->queue, y->queue);
}

static int
compare_queue (const void *queue, const void *route)
{
  return strcmp (queue, ((const struct route_config *)route)->queue);
}

static enum apply_result
apply_config (struct control *c, uint64_t offset, struct record *r)
{
  struct config *f = r->u.config;

  if (f->base_version != c->config_version)
    return APPLY_REJECTED;
  talloc_free (c->config);
  c->config = talloc_steal (c, f);
  c->config_version = offset + 1;
  qsort (f->routes, f->route_count, sizeof *f->routes, compare_routes);
  issuance_on_config (c->issuance, f, c->last_append_at_ms);
  return APPLY_OK;
}

/* Returns the index of the first key whose digest is not less than DIGEST.
   The timing of the search reveals nothing about a key, since the digest is a
   one-way function of it.  */
static uint32_t
key_position (const struct control *c, const uint8_t *digest)
{
  uint32_t low = 0;
  uint32_t high = c->key_count;

  while (low < high)
    {
      uint32_t middle = low + (high - low) / 2;

      if (sodium_compare (c->keys[middle].digest, digest, DIGEST_BYTES) < 0)
        low = middle + 1;
      else
        high = middle;
    }
  return low;
}

const struct granted_key *
control_find_key (const struct control *c, const uint8_t *digest)
{
  uint32_t i = key_position (c, digest);

  if (i < c->key_count
      && sodium_memcmp (c->keys[i].digest, digest, DIGEST_BYTES) == 0)
    return &c->keys[i];
  return NULL;
}

static enum apply_result
apply_key_grant (struct control *c, const struct record_key *k)
{
  uint32_t i = key_position (c, k->digest);
  struct granted_key *keys;

  if (control_find_key (c, k->digest) != NULL)
    return APPLY_REJECTED;
  keys = talloc_realloc (c, c->keys, struct granted_key, c->key_count + 1);
  if (keys == NULL)
    out_of_memory ();
  memmove (&keys[i + 1], &keys[i], (c->key_count - i) * sizeof *keys);
  memcpy (keys[i].digest, k->digest, DIGEST_BYTES);
  text_copy (keys[i].team, NAME_BYTES, k->team);
  c->keys = keys;
  c->key_count++;
  return APPLY_OK;
}

static enum apply_result
apply_key_withdraw (struct control *c, const struct record_key *k)
{
  uint32_t i = key_position (c, k->digest);

  if (control_find_key (c, k->digest) == NULL)
    return APPLY_REJECTED;
  c->key_count--;
  memmove (&c->keys[i], &c->keys[i + 1], (c->key_count - i) * sizeof *c->keys);
  return APPLY_OK;
}

static void
remove_member (struct control *c, uint32_t i)
{
  c->member_count--;
  memmove (&c->members[i], &c->members[i + 1],
           (c->member_count - i) * sizeof *c->members);
}

static enum apply_result
apply_join (struct control *c, uint64_t offset, const struct record_join *j)
{
  struct member *m;
  uint32_t i;

  /* A newer process on the same VM holds the listen port, so the older one
     has ended.  */
  for (i = 0; i < c->member_count; i++)
    if (strcmp (c->members[i].vm, j->vm) == 0)
      {
        issuance_on_gone (c->issuance, c->members[i].incarnation, offset,
                          c->last_append_at_ms, false);
        remove_member (c, i);
        break;
      }
  issuance_on_join (c->issuance, offset + 1, c->last_append_at_ms);
  m = talloc_realloc (c, c->members, struct member, c->member_count + 1);
  if (m == NULL)
    out_of_memory ();
  c->members = m;
  m = &m[c->member_count++];
  memset (m, 0, sizeof *m);
  text_copy (m->vm, NAME_BYTES, j->vm);
  text_copy (m->zone, NAME_BYTES, j->zone);
  text_copy (m->peer_address, ADDRESS_BYTES, j->peer_address);
  text_copy (m->operator_address, ADDRESS_BYTES, j->operator_address);
  m->incarnation = offset + 1;
  return APPLY_OK;
}

/* Rejects a record whose incarnation is no longer a member: its sender did not
   know of the removal yet.  */
static enum apply_result
apply_leave (struct control *c, uint64_t offset, const struct record_leave *l)
{
  int32_t i = control_member_index (c, l->incarnation);

  if (i < 0 || strcmp (c->members[i].vm, l->vm) != 0)
    return APPLY_REJECTED;
  issuance_on_gone (c->issuance, l->incarnation, offset, c->last_append_at_ms,
                    l->idle);
  remove_member (c, (uint32_t)i);
  return APPLY_OK;
}

bool
control_add_command_id (struct control *c, const char *id)
{
  gchar *copy;

  if (g_hash_table_contains (c->command_id_set, id))
    return false;
  if (g_queue_get_length (c->command_ids) == REMEMBERED_COMMAND_COUNT)
    g_hash_table_remove (c->command_id_set, g_queue_pop_head (c->command_ids));
  copy = g_strdup (id);
  g_hash_table_add (c->command_id_set, copy);
  g_queue_push_tail (c->command_ids, copy);
  return true;
}

enum apply_result
control_apply (struct control *c, uint64_t offset, struct record *r)
{
  enum apply_result v = APPLY_REJECTED;

  if (offset < c->next_offset)
    return APPLY_DUPLICATE;
  c->next_offset = offset + 1;
  /* A checkpoint describes the state and does not change it.  */
  if (r->kind == RECORD_CHECKPOINT)
    return APPLY_OK;
  if (!control_add_command_id (c, r->id))
    return APPLY_DUPLICATE;
  c->changed_offset = offset + 1;
  switch (r->kind)
    {
    case RECORD_CONFIG:
      v = apply_config (c, offset, r);
      break;
    case RECORD_KEY_GRANT:
      v = apply_key_grant (c, &r->u.key);
      break;
    case RECORD_KEY_WITHDRAW:
      v = apply_key_withdraw (c, &r->u.key);
      break;
    case RECORD_JOIN:
      v = apply_join (c, offset, &r->u.join);
      break;
    case RECORD_LEAVE:
    case RECORD_GONE:
      v = apply_leave (c, offset, &r->u.leave);
      break;
    case RECORD_SETTLE:
      if (issuance_on_settle (c->issuance, &r->u.settle, c->last_append_at_ms))
        v = APPLY_OK;
      break;
    case RECORD_WAVE_START:
    case RECORD_WAVE_PAUSE:
    case RECORD_WAVE_RESUME:
    case RECORD_WAVE_ABORT:
    case RECORD_DRAIN:
    case RECORD_VM_DRAINED:
    case RECORD_REBOOTED:
    case RECORD_RETURN:
    case RECORD_VM_LOST:
    case RECORD_VM_FOUND:
    case RECORD_MOVE:
    case RECORD_ZONE_EVACUATE:
    case RECORD_ZONE_RETURN:
      if (vm_control_apply (c, offset, r))
        v = APPLY_OK;
      break;
    case RECORD_CHECKPOINT:
      break;
    }
  if (v == APPLY_OK)
    vm_control_reconcile (c);
  return v;
}

void
control_skip (struct control *c, uint64_t offset)
{
  if (offset >= c->next_offset)
    c->next_offset = offset + 1;
}

const struct route_config *
control_find_route (const struct control *c, const char *queue)
{
  if (c->config == NULL)
    return NULL;
  return bsearch (queue, c->config->routes, c->config->route_count,
                  sizeof *c->config->routes, compare_queue);
}

int32_t
control_team_index (const struct control *c, const char *team)
{
  uint32_t i;

  if (c->config != NULL)
    for (i = 0; i < c->config->team_count; i++)
      if (strcmp (c->config->teams[i].name, team) == 0)
        return (int32_t)i;
  return -1;
}

const struct member *
control_find_member (const struct control *c, const char *vm)
{
  uint32_t i;

  for (i = 0; i < c->member_count; i++)
    if (strcmp (c->members[i].vm, vm) == 0)
      return &c->members[i];
  return NULL;
}

int32_t
control_member_index (const struct control *c, uint64_t incarnation)
{
  uint32_t i;

  for (i = 0; i < c->member_count; i++)
    if (c->members[i].incarnation == incarnation)
      return (int32_t)i;
  return -1;
}
