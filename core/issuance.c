/* issuance.c -- how many tokens of each limit are issued to each member.  */

#include "core/issuance.h"

#include "core/digest.h"
#include "core/rows.h"

#include <sodium.h>
#include <stdio.h>
#include <string.h>

/** Key of the index: a letter for the kind, then the name.  */
#define KEY_BYTES (NAME_BYTES + 2)

static int
issuance_free (struct issuance *s)
{
  g_hash_table_destroy (s->index);
  return 0;
}

struct issuance *
issuance_new (TALLOC_CTX *mem)
{
  struct issuance *s = talloc_zero (mem, struct issuance);

  if (s == NULL)
    out_of_memory ();
  s->index = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  talloc_set_destructor (s, issuance_free);
  return s;
}

static void
limit_key (char *key, enum limit_kind kind, const char *name)
{
  snprintf (key, KEY_BYTES, "%c%s", kind == LIMIT_TEAM ? 't' : 'v', name);
}

int32_t
issuance_find_limit (const struct issuance *s, enum limit_kind kind,
                     const char *name)
{
  char key[KEY_BYTES];

  limit_key (key, kind, name);
  return GPOINTER_TO_INT (g_hash_table_lookup (s->index, key)) - 1;
}

int32_t
issuance_find_ref (const struct issuance *s, const struct limit_ref *ref)
{
  return issuance_find_limit (s, ref->kind, ref->name);
}

static struct issuance_member *
find_member (const struct issuance *s, uint64_t incarnation)
{
  uint32_t i;

  for (i = 0; i < s->table.member_count; i++)
    if (s->table.members[i].incarnation == incarnation)
      return &s->table.members[i];
  return NULL;
}

const struct issuance_member *
issuance_find_member (const struct issuance *s, uint64_t incarnation)
{
  return find_member (s, incarnation);
}

bool
issuance_has_settled (const struct issuance_member *g, uint64_t incarnation)
{
  uint32_t i;

  for (i = 0; i < g->settled_by_count; i++)
    if (g->settled_by[i] == incarnation)
      return true;
  return false;
}

bool
issuance_must_settle (const struct issuance *s,
                      const struct issuance_member *g, uint64_t incarnation)
{
  const struct issuance_member *m = find_member (s, incarnation);

  /* A member that joined after G was gone cannot have a link with it.  */
  return m != NULL && !m->gone && incarnation <= g->gone_offset
         && !issuance_has_settled (g, incarnation);
}

static uint32_t
live_count (const struct issuance *s)
{
  uint32_t n = 0;
  uint32_t i;

  for (i = 0; i < s->table.member_count; i++)
    n += !s->table.members[i].gone;
  return n;
}

/* Spreads AMOUNT, of either sign, evenly over the live members, or keeps it as
   unissued if there is none.  Which members get the remainder differs from
   limit to limit.  */
static void
spread (struct issuance *s, uint32_t limit, int64_t amount)
{
  int64_t n = live_count (s);
  int64_t sign = amount < 0 ? -1 : 1;
  int64_t size = amount * sign;
  int64_t rank = 0;
  uint32_t i;

  if (n == 0)
    {
      s->table.limits[limit].unissued_count += amount;
      return;
    }
  for (i = 0; i < s->table.member_count; i++)
    {
      int64_t place = (rank + limit) % n;

      if (s->table.members[i].gone)
        continue;
      s->table.members[i].tokens[limit]
          += sign * (size / n + (place < size % n ? 1 : 0));
      rank++;
    }
}

/* Takes SIZE tokens from the live members and adds to their `lowered` how many
   came from each.  */
static void
lower_limit (struct issuance *s, uint32_t limit, int64_t size)
{
  uint32_t n = s->table.member_count;
  int64_t *before = talloc_array (s, int64_t, n + 1);
  uint32_t i;

  for (i = 0; i < n; i++)
    before[i] = s->table.members[i].tokens[limit];
  spread (s, limit, -size);
  for (i = 0; i < n; i++)
    s->table.members[i].lowered[limit]
        += before[i] - s->table.members[i].tokens[limit];
  talloc_free (before);
}

/* Returns to each member what reductions took from it, as far as SIZE goes,
   and spreads the rest.  A paused member may not know of the reduction yet and
   still use what was taken from it, so the others must not get that part.  */
static void
raise_limit (struct issuance *s, uint32_t limit, int64_t size)
{
  uint32_t i;

  for (i = 0; i < s->table.member_count; i++)
    {
      struct issuance_member *m = &s->table.members[i];
      int64_t back = m->lowered[limit] < size ? m->lowered[limit] : size;

      m->tokens[limit] += back;
      m->lowered[limit] -= back;
      size -= back;
    }
  if (size > 0)
    spread (s, limit, size);
}

/* Extends *AMOUNTS, which has N elements, by a zero.  */
static void
append_zero (struct issuance *s, int64_t **amounts, uint32_t n)
{
  int64_t *t = talloc_realloc (s, *amounts, int64_t, n + 1);

  if (t == NULL)
    out_of_memory ();
  t[n] = 0;
  *amounts = t;
}

static uint32_t
add_limit (struct issuance *s, enum limit_kind kind, const char *name)
{
  char key[KEY_BYTES];
  uint32_t n = s->table.limit_count;
  uint32_t i;

  s->table.limits
      = talloc_realloc (s, s->table.limits, struct issuance_limit, n + 1);
  if (s->table.limits == NULL)
    out_of_memory ();
  memset (&s->table.limits[n], 0, sizeof s->table.limits[n]);
  s->table.limits[n].ref.kind = kind;
  text_copy (s->table.limits[n].ref.name, NAME_BYTES, name);
  for (i = 0; i < s->table.member_count; i++)
    {
      append_zero (s, &s->table.members[i].tokens, n);
      append_zero (s, &s->table.members[i].lowered, n);
    }
  limit_key (key, kind, name);
  g_hash_table_insert (s->index, g_strdup (key), GINT_TO_POINTER (n + 1));
  return s->table.limit_count++;
}

static void
set_total (struct issuance *s, uint32_t limit, int64_t total)
{
  int64_t change = total - s->table.limits[limit].total_count;

  s->table.limits[limit].total_count = total;
  if (change < 0)
    lower_limit (s, limit, -change);
  else if (change > 0)
    raise_limit (s, limit, change);
}

static uint32_t
find_or_add_limit (struct issuance *s, enum limit_kind kind, const char *name)
{
  int32_t i = issuance_find_limit (s, kind, name);

  return i < 0 ? add_limit (s, kind, name) : (uint32_t)i;
}

void
issuance_on_config (struct issuance *s, const struct config *f, uint64_t at_ms)
{
  uint32_t old_count = s->table.limit_count;
  bool *in_tables;
  uint32_t i;

  /* What started under the old tables may run until the old timeouts.  */
  if (at_ms + s->table.longest_timeout_ms > s->table.old_leases_expire_at_ms)
    s->table.old_leases_expire_at_ms = at_ms + s->table.longest_timeout_ms;
  s->table.longest_timeout_ms = 0;
  for (i = 0; i < f->route_count; i++)
    if (f->routes[i].timeout_ms > s->table.longest_timeout_ms)
      s->table.longest_timeout_ms = f->routes[i].timeout_ms;
  for (i = 0; i < f->team_count; i++)
    find_or_add_limit (s, LIMIT_TEAM, f->teams[i].name);
  for (i = 0; i < f->vm_count; i++)
    find_or_add_limit (s, LIMIT_VM, f->vms[i].name);
  in_tables = talloc_zero_array (s, bool, s->table.limit_count + 1);
  for (i = 0; i < f->team_count; i++)
    {
      uint32_t k = find_or_add_limit (s, LIMIT_TEAM, f->teams[i].name);

      in_tables[k] = true;
      set_total (s, k, f->teams[i].ceiling_count);
    }
  for (i = 0; i < f->vm_count; i++)
    {
      uint32_t k = find_or_add_limit (s, LIMIT_VM, f->vms[i].name);

      in_tables[k] = true;
      set_total (s, k, f->vms[i].slot_count);
    }
  for (i = 0; i < old_count; i++)
    if (!in_tables[i])
      set_total (s, i, 0);
  talloc_free (in_tables);
}

static bool
all_gone_are_settled (const struct issuance *s, uint64_t at_ms)
{
  uint32_t i;
  uint32_t k;

  for (i = 0; i < s->table.member_count; i++)
    {
      const struct issuance_member *g = &s->table.members[i];

      if (!g->gone)
        continue;
      if (at_ms < g->leases_expire_at_ms)
        return false;
      for (k = 0; k < s->table.member_count; k++)
        if (issuance_must_settle (s, g, s->table.members[k].incarnation))
          return false;
    }
  return true;
}

static void
drop_member (struct issuance *s, uint32_t i)
{
  talloc_free (s->table.members[i].tokens);
  talloc_free (s->table.members[i].lowered);
  talloc_free (s->table.members[i].settled_by);
  s->table.member_count--;
  memmove (&s->table.members[i], &s->table.members[i + 1],
           (s->table.member_count - i) * sizeof *s->table.members);
}

/* Issues what is left of the gone members again, once all of them are settled.
   They are handled together because the amounts of the links between them
   cancel out only in the sum.  */
static void
reissue_from_gone (struct issuance *s, uint64_t at_ms)
{
  uint32_t i;
  uint32_t k;

  if (live_count (s) == s->table.member_count
      || !all_gone_are_settled (s, at_ms))
    return;
  for (k = 0; k < s->table.limit_count; k++)
    {
      int64_t rest = 0;

      for (i = 0; i < s->table.member_count; i++)
        if (s->table.members[i].gone)
          rest += s->table.members[i].tokens[k];
      if (rest != 0)
        spread (s, k, rest);
    }
  for (i = s->table.member_count; i-- > 0;)
    if (s->table.members[i].gone)
      drop_member (s, i);
  s->table.reissue_count++;
}

static void
issue_unissued (struct issuance *s)
{
  uint32_t i;

  for (i = 0; i < s->table.limit_count; i++)
    {
      int64_t n = s->table.limits[i].unissued_count;

      s->table.limits[i].unissued_count = 0;
      if (n != 0)
        spread (s, i, n);
    }
}

void
issuance_on_join (struct issuance *s, uint64_t incarnation, uint64_t at_ms)
{
  struct issuance_member *m;
  bool first = live_count (s) == 0;

  s->table.members = talloc_realloc (
      s, s->table.members, struct issuance_member, s->table.member_count + 1);
  if (s->table.members == NULL)
    out_of_memory ();
  m = &s->table.members[s->table.member_count++];
  memset (m, 0, sizeof *m);
  m->incarnation = incarnation;
  m->tokens = talloc_zero_array (s, int64_t, s->table.limit_count);
  m->lowered = talloc_zero_array (s, int64_t, s->table.limit_count);
  if (first)
    issue_unissued (s);
  reissue_from_gone (s, at_ms);
}

void
issuance_on_gone (struct issuance *s, uint64_t incarnation, uint64_t offset,
                  uint64_t at_ms, bool idle)
{
  struct issuance_member *m = find_member (s, incarnation);

  if (m == NULL || m->gone)
    return;
  m->gone = true;
  m->gone_offset = offset;
  m->leases_expire_at_ms = at_ms;
  if (idle)
    return;
  m->leases_expire_at_ms += s->table.longest_timeout_ms;
  if (m->leases_expire_at_ms < s->table.old_leases_expire_at_ms)
    m->leases_expire_at_ms = s->table.old_leases_expire_at_ms;
}

static bool
limits_are_known (const struct issuance *s, const struct record_settle *r)
{
  uint32_t i;

  for (i = 0; i < r->item_count; i++)
    if (issuance_find_ref (s, &r->items[i].limit) < 0)
      return false;
  return true;
}

bool
issuance_on_settle (struct issuance *s, const struct record_settle *r,
                    uint64_t at_ms)
{
  struct issuance_member *g = find_member (s, r->gone_incarnation);
  struct issuance_member *m = find_member (s, r->incarnation);
  uint32_t i;

  if (g == NULL || m == NULL || !g->gone || m->gone
      || at_ms < g->leases_expire_at_ms
      || issuance_has_settled (g, r->incarnation) || !limits_are_known (s, r))
    return false;
  for (i = 0; i < r->item_count; i++)
    {
      int32_t k = issuance_find_ref (s, &r->items[i].limit);

      m->tokens[k] += r->items[i].token_count;
      g->tokens[k] -= r->items[i].token_count;
    }
  g->settled_by
      = talloc_realloc (s, g->settled_by, uint64_t, g->settled_by_count + 1);
  if (g->settled_by == NULL)
    out_of_memory ();
  g->settled_by[g->settled_by_count++] = r->incarnation;
  reissue_from_gone (s, at_ms);
  return true;
}

bool
issuance_audit (const struct issuance *s)
{
  uint32_t i;
  uint32_t k;

  for (k = 0; k < s->table.limit_count; k++)
    {
      int64_t sum = s->table.limits[k].unissued_count;

      for (i = 0; i < s->table.member_count; i++)
        sum += s->table.members[i].tokens[k];
      if (sum != s->table.limits[k].total_count)
        return false;
    }
  return true;
}

static void
digest_member (crypto_generichash_state *h, const struct issuance_member *m,
               uint32_t limit_count)
{
  uint32_t i;

  digest_add_number (h, m->incarnation);
  digest_add_number (h, m->gone);
  digest_add_number (h, m->gone_offset);
  digest_add_number (h, m->leases_expire_at_ms);
  digest_add_number (h, m->settled_by_count);
  for (i = 0; i < m->settled_by_count; i++)
    digest_add_number (h, m->settled_by[i]);
  for (i = 0; i < limit_count; i++)
    {
      digest_add_number (h, (uint64_t)m->tokens[i]);
      digest_add_number (h, (uint64_t)m->lowered[i]);
    }
}

void
issuance_table_digest (const struct issuance_table *t, uint8_t *digest)
{
  crypto_generichash_state h;
  uint32_t i;

  crypto_generichash_init (&h, NULL, 0, DIGEST_BYTES);
  digest_add_number (&h, t->limit_count);
  for (i = 0; i < t->limit_count; i++)
    {
      digest_add_number (&h, t->limits[i].ref.kind);
      digest_add_text (&h, t->limits[i].ref.name);
      digest_add_number (&h, (uint64_t)t->limits[i].total_count);
      digest_add_number (&h, (uint64_t)t->limits[i].unissued_count);
    }
  digest_add_number (&h, t->member_count);
  for (i = 0; i < t->member_count; i++)
    digest_member (&h, &t->members[i], t->limit_count);
  digest_add_number (&h, t->longest_timeout_ms);
  digest_add_number (&h, t->old_leases_expire_at_ms);
  digest_add_number (&h, t->reissue_count);
  crypto_generichash_final (&h, digest, DIGEST_BYTES);
}

void
issuance_digest (const struct issuance *s, uint8_t *digest)
{
  issuance_table_digest (&s->table, digest);
}

static void
copy_table (const struct issuance_table *from, TALLOC_CTX *mem,
            struct issuance_table *t)
{
  uint32_t i;

  *t = *from;
  t->limits = rows_copy (mem, from->limits, t->limit_count, sizeof *t->limits);
  t->members
      = rows_copy (mem, from->members, t->member_count, sizeof *t->members);
  for (i = 0; i < t->member_count; i++)
    {
      struct issuance_member *m = &t->members[i];

      m->tokens
          = rows_copy (mem, m->tokens, t->limit_count, sizeof *m->tokens);
      m->lowered
          = rows_copy (mem, m->lowered, t->limit_count, sizeof *m->lowered);
      m->settled_by = rows_copy (mem, m->settled_by, m->settled_by_count,
                                 sizeof *m->settled_by);
    }
}

void
issuance_copy (const struct issuance *s, TALLOC_CTX *mem,
               struct issuance_table *t)
{
  copy_table (&s->table, mem, t);
}

static void
free_table (struct issuance_table *t)
{
  uint32_t i;

  for (i = 0; i < t->member_count; i++)
    {
      talloc_free (t->members[i].tokens);
      talloc_free (t->members[i].lowered);
      talloc_free (t->members[i].settled_by);
    }
  talloc_free (t->members);
  talloc_free (t->limits);
}

void
issuance_restore (struct issuance *s, const struct issuance_table *t)
{
  char key[KEY_BYTES];
  uint32_t i;

  free_table (&s->table);
  copy_table (t, s, &s->table);
  g_hash_table_remove_all (s->index);
  for (i = 0; i < t->limit_count; i++)
    {
      limit_key (key, t->limits[i].ref.kind, t->limits[i].ref.name);
      g_hash_table_insert (s->index, g_strdup (key), GINT_TO_POINTER (i + 1));
    }
}
