/* issuance_json.c -- decoding and encoding of the tokens issued to members.

   A limit is [kind, name, total, unissued].  The arrays "tokens" and "lowered"
   of a member have one count per limit, in the order of the limits.  */

#include "adapter/issuance_json.h"

#include <string.h>

static bool
read_limit (const json_t *j, struct issuance_limit *l)
{
  const char *kind = json_string_value (json_array_get (j, 0));
  const char *name = json_string_value (json_array_get (j, 1));

  if (kind == NULL || name == NULL)
    return false;
  l->ref.kind = strcmp (kind, "team") == 0 ? LIMIT_TEAM : LIMIT_VM;
  l->total_count = json_integer_value (json_array_get (j, 2));
  l->unissued_count = json_integer_value (json_array_get (j, 3));
  return text_copy (l->ref.name, NAME_BYTES, name);
}

static bool
read_member (TALLOC_CTX *mem, const json_t *j, uint32_t limit_count,
             struct issuance_member *m)
{
  const json_t *tokens = json_object_get (j, "tokens");
  const json_t *lowered = json_object_get (j, "lowered");
  const json_t *settled = json_object_get (j, "settled");
  uint32_t i;

  if (json_array_size (tokens) != limit_count)
    return false;
  m->incarnation
      = (uint64_t)json_integer_value (json_object_get (j, "incarnation"));
  m->gone = json_is_true (json_object_get (j, "gone"));
  m->gone_offset
      = (uint64_t)json_integer_value (json_object_get (j, "gone_offset"));
  m->leases_expire_at_ms
      = (uint64_t)json_integer_value (json_object_get (j, "lapse_ms"));
  m->tokens = talloc_zero_array (mem, int64_t, limit_count);
  for (i = 0; i < limit_count; i++)
    m->tokens[i] = json_integer_value (json_array_get (tokens, i));
  /* Checkpoints of version 0.1.0 lack "lowered"; then no lowering is
     outstanding and the counts are 0.  */
  m->lowered = talloc_zero_array (mem, int64_t, limit_count);
  for (i = 0; i < limit_count; i++)
    m->lowered[i] = json_integer_value (json_array_get (lowered, i));
  m->settled_by_count = (uint32_t)json_array_size (settled);
  m->settled_by = talloc_zero_array (mem, uint64_t, m->settled_by_count);
  for (i = 0; i < m->settled_by_count; i++)
    m->settled_by[i]
        = (uint64_t)json_integer_value (json_array_get (settled, i));
  return true;
}

void
issuance_from_json (TALLOC_CTX *mem, struct json_reader *p, const json_t *j,
                    struct issuance_table *t)
{
  const json_t *limits = json_object_get (j, "limits");
  const json_t *members = json_object_get (j, "members");
  uint32_t i;

  t->limit_count = (uint32_t)json_array_size (limits);
  t->member_count = (uint32_t)json_array_size (members);
  t->limits = talloc_zero_array (mem, struct issuance_limit, t->limit_count);
  t->members
      = talloc_zero_array (mem, struct issuance_member, t->member_count);
  t->longest_timeout_ms = (uint32_t)json_integer_value (
      json_object_get (j, "longest_timeout_ms"));
  t->old_leases_expire_at_ms
      = (uint64_t)json_integer_value (json_object_get (j, "lapse_floor_ms"));
  t->reissue_count
      = (uint32_t)json_integer_value (json_object_get (j, "reissues"));
  for (i = 0; i < t->limit_count; i++)
    if (!read_limit (json_array_get (limits, i), &t->limits[i]))
      json_add_finding (
          p, "issue", "expected each limit as [kind, name, total, unissued]");
  for (i = 0; i < t->member_count; i++)
    if (!read_member (mem, json_array_get (members, i), t->limit_count,
                      &t->members[i]))
      json_add_finding (p, "issue",
                        "expected for each member one token count per limit");
}

static json_t *
member_to_json (const struct issuance_member *m, uint32_t limit_count)
{
  json_t *tokens = json_array ();
  json_t *lowered = json_array ();
  json_t *settled = json_array ();
  uint32_t i;

  for (i = 0; i < limit_count; i++)
    {
      json_array_append_new (tokens, json_integer (m->tokens[i]));
      json_array_append_new (lowered, json_integer (m->lowered[i]));
    }
  for (i = 0; i < m->settled_by_count; i++)
    json_array_append_new (settled,
                           json_integer ((json_int_t)m->settled_by[i]));
  return json_pack ("{s:I, s:b, s:I, s:I, s:o, s:o, s:o}", "incarnation",
                    (json_int_t)m->incarnation, "gone", (int)m->gone,
                    "gone_offset", (json_int_t)m->gone_offset, "lapse_ms",
                    (json_int_t)m->leases_expire_at_ms, "settled", settled,
                    "tokens", tokens, "lowered", lowered);
}

json_t *
issuance_to_json (const struct issuance_table *t)
{
  json_t *limits = json_array ();
  json_t *members = json_array ();
  uint32_t i;

  for (i = 0; i < t->limit_count; i++)
    json_array_append_new (
        limits,
        json_pack ("[s, s, I, I]",
                   t->limits[i].ref.kind == LIMIT_TEAM ? "team" : "vm",
                   t->limits[i].ref.name, (json_int_t)t->limits[i].total_count,
                   (json_int_t)t->limits[i].unissued_count));
  for (i = 0; i < t->member_count; i++)
    json_array_append_new (members,
                           member_to_json (&t->members[i], t->limit_count));
  return json_pack ("{s:o, s:o, s:I, s:I, s:I}", "limits", limits, "members",
                    members, "longest_timeout_ms",
                    (json_int_t)t->longest_timeout_ms, "lapse_floor_ms",
                    (json_int_t)t->old_leases_expire_at_ms, "reissues",
                    (json_int_t)t->reissue_count);
}
