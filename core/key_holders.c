/* key_holders.c -- which members hold the claim of an idempotency key.

   Members are ranked for each key by rendezvous hash over the names of their
   VMs, so a restarted entry keeps its rank.  The holders of a key are the
   members from the first rank down to the second established one.  A member is
   established ESTABLISH_US after it joined; before, it may not have received
   the claims that it is to hold.  With two established holders, the holders
   before and after one change of the members have a member in common that
   holds the claim.  It hands the claim to the new holders, unless it is cut
   off from them, paused or lost.  So if two members ranked above the last
   holder ended, and the one that ended last was not heard ESTABLISH_US after
   the other one ended, the claim may be lost with them: the key is in doubt.
 */

#include "core/state.h"

#include <stdlib.h>
#include <string.h>

/** Time that the holders of a key need to send its claim to a new holder.  */
#define ESTABLISH_US (5 * US_PER_S)
/** Time in which a holder that reaches a new one sends it all claims.  */
#define HAND_OVER_US (3 * US_PER_S)
/** How long a member that left or was lost is remembered: as long as a claim
    is kept.  */
#define DEPARTED_KEEP_US (600 * US_PER_S)
/** Established members among the holders of a key.  */
#define ESTABLISHED_HOLDER_COUNT 2

/** A present member, or one that left or was lost within DEPARTED_KEEP_US.  */
struct placement_member
{
  char vm[NAME_BYTES];
  uint64_t incarnation;
  uint64_t joined_at_us;
  uint64_t heard_at_us; /**< As peer_state.heard_at_us while it is one.  */
  uint64_t left_at_us;  /**< 0 while it is a member.  */
  bool left_by_stop;    /**< It appended its own leave record.  */
};

/** The members that the holders of a key are chosen from.  Until this entry
   has joined, their times are those of the log's records, which tell of the
   members that ended before.  Then they are this entry's time plus
   DEPARTED_KEEP_US, so that none is below 0.  */
struct key_placement
{
  bool has_joined;
  bool is_new; /**< No update since this entry joined.  */
  struct placement_member *members;
  uint32_t member_count;
};

/** A member with its score for one key; the highest score ranks first.  */
struct ranked_member
{
  uint64_t score;
  const struct placement_member *member;
};

void
core_key_placement_open (struct core *c)
{
  c->key_placement = talloc_zero (c, struct key_placement);
}

static struct placement_member *
find_member (struct key_placement *p, uint64_t incarnation)
{
  uint32_t i;

  for (i = 0; i < p->member_count; i++)
    if (p->members[i].incarnation == incarnation)
      return &p->members[i];
  return NULL;
}

void
core_key_placement_member_left (struct core *c, uint64_t incarnation)
{
  struct placement_member *m = find_member (c->key_placement, incarnation);

  if (m != NULL)
    m->left_by_stop = true;
}

bool
core_is_member (struct core *c, uint64_t incarnation)
{
  return control_member_index (c->control, incarnation) >= 0;
}

static uint64_t
placement_time_us (const struct core *c)
{
  return c->key_placement->has_joined
             ? c->now_us + DEPARTED_KEEP_US
             : MAX (c->control->last_append_at_ms, 1) * US_PER_MS;
}

/* Adds the members that joined; returns true if there are any.  */
static bool
add_joined (struct core *c)
{
  struct key_placement *p = c->key_placement;
  bool changed = false;
  uint32_t i;

  for (i = 0; i < c->control->member_count; i++)
    {
      const struct member *m = &c->control->members[i];
      struct placement_member *x;

      if (find_member (p, m->incarnation) != NULL)
        continue;
      p->members = talloc_realloc (p, p->members, struct placement_member,
                                   (size_t)p->member_count + 1);
      x = &p->members[p->member_count++];
      memset (x, 0, sizeof *x);
      text_copy (x->vm, NAME_BYTES, m->vm);
      x->incarnation = m->incarnation;
      x->joined_at_us = placement_time_us (c);
      changed = true;
    }
  return changed;
}

/* Marks the members that are gone and forgets those gone for DEPARTED_KEEP_US;
   returns true if any was marked.  */
static bool
mark_left (struct core *c)
{
  struct key_placement *p = c->key_placement;
  uint64_t now_us = placement_time_us (c);
  bool changed = false;
  uint32_t i;

  for (i = 0; i < p->member_count; i++)
    {
      struct placement_member *x = &p->members[i];

      if (x->left_at_us == 0 && !core_is_member (c, x->incarnation))
        {
          x->left_at_us = now_us;
          changed = true;
        }
      if (x->left_at_us != 0 && now_us > x->left_at_us + DEPARTED_KEEP_US)
        *x = p->members[--p->member_count];
    }
  return changed;
}

/* Copies when each member was heard last, which is forgotten elsewhere once it
   is no longer a member.  */
static void
copy_heard (struct core *c)
{
  struct key_placement *p = c->key_placement;
  uint32_t i;

  for (i = 0; i < p->member_count; i++)
    {
      struct placement_member *x = &p->members[i];
      const struct peer_state *peer = core_find_peer (c, x->incarnation);

      if (x->incarnation == c->incarnation)
        x->heard_at_us = placement_time_us (c);
      else if (peer != NULL && peer->heard_at_us > 0)
        x->heard_at_us = peer->heard_at_us + DEPARTED_KEEP_US;
    }
}

/* Changes the times to this entry's once it has joined.  The members present
   count as joined now.  Those that ended before were not heard by this entry,
   and count as heard until their end.  */
static void
start_own_time (struct core *c)
{
  struct key_placement *p = c->key_placement;
  uint64_t log_us = placement_time_us (c);
  uint32_t i;

  if (p->has_joined || !c->caught_up || c->incarnation == 0)
    return;
  mark_left (c);
  p->has_joined = p->is_new = true;
  for (i = 0; i < p->member_count; i++)
    {
      struct placement_member *x = &p->members[i];
      uint64_t member_us = x->left_at_us - x->joined_at_us;

      x->joined_at_us = placement_time_us (c);
      if (x->left_at_us == 0)
        continue;
      x->left_at_us = placement_time_us (c) - (log_us - x->left_at_us);
      x->heard_at_us = x->left_at_us;
      x->joined_at_us = x->left_at_us - MIN (member_us, x->left_at_us);
    }
}

void
core_key_placement_on_record (struct core *c)
{
  if (c->key_placement->has_joined)
    return;
  add_joined (c);
  mark_left (c);
}

bool
core_key_placement_update (struct core *c)
{
  struct key_placement *p = c->key_placement;
  bool changed;

  start_own_time (c);
  if (!p->has_joined)
    return false;
  changed = p->is_new;
  p->is_new = false;
  changed |= add_joined (c);
  copy_heard (c);
  return mark_left (c) || changed;
}

/* Returns the score of VM for a key: FNV-1a of the name, mixed with the first
   bytes of the digest by the finalizer of SplitMix64.  */
static uint64_t
placement_score (const uint8_t *digest, const char *vm)
{
  uint64_t h = UINT64_C (0xcbf29ce484222325);
  uint64_t d;

  for (; *vm != '\0'; vm++)
    h = (h ^ (uint8_t)*vm) * UINT64_C (0x100000001b3);
  memcpy (&d, digest, sizeof d);
  h ^= d;
  h = (h ^ (h >> 30)) * UINT64_C (0xbf58476d1ce4e5b9);
  h = (h ^ (h >> 27)) * UINT64_C (0x94d049bb133111eb);
  return h ^ (h >> 31);
}

static int
compare_ranked (const void *a, const void *b)
{
  const struct ranked_member *x = a;
  const struct ranked_member *y = b;

  if (x->score != y->score)
    return x->score > y->score ? -1 : 1;
  return x->member->incarnation < y->member->incarnation ? -1 : 1;
}

/* Returns true if LAST, which ended after FIRST, may have handed no claim that
   both held to another member.  */
static bool
may_lose_claims (const struct placement_member *first,
                 const struct placement_member *last)
{
  if (last->left_by_stop)
    return false;
  if (last->left_at_us - first->left_at_us < ESTABLISH_US)
    return true;
  return last->joined_at_us < first->left_at_us
         && last->heard_at_us < first->left_at_us + HAND_OVER_US;
}

/* Returns true if a claim may be lost with member COUNT - 1 of R and one of
   those before it, both of which have ended.  */
static bool
lost_together (const struct ranked_member *r, uint32_t count)
{
  const struct placement_member *m = r[count - 1].member;
  uint32_t i;

  for (i = 0; i + 1 < count; i++)
    {
      const struct placement_member *x = r[i].member;

      if (x->left_at_us == 0)
        continue;
      if (x->left_at_us > m->left_at_us ? may_lose_claims (m, x)
                                        : may_lose_claims (x, m))
        return true;
    }
  return false;
}

void
core_find_key_holders (struct core *c, const uint8_t *digest,
                       struct key_holders *out)
{
  struct key_placement *p = c->key_placement;
  struct ranked_member *r
      = talloc_array (p, struct ranked_member, p->member_count + 1);
  uint32_t established_count = 0;
  uint32_t i;

  start_own_time (c);
  memset (out, 0, sizeof *out);
  for (i = 0; i < p->member_count; i++)
    {
      r[i].member = &p->members[i];
      r[i].score = placement_score (digest, p->members[i].vm);
    }
  qsort (r, p->member_count, sizeof *r, compare_ranked);
  for (i = 0;
       i < p->member_count && established_count < ESTABLISHED_HOLDER_COUNT
       && out->count < HOLDER_LIMIT_COUNT;
       i++)
    {
      const struct placement_member *m = r[i].member;

      if (m->left_at_us != 0)
        {
          if (lost_together (r, i + 1))
            out->in_doubt = true;
          continue;
        }
      out->incarnations[out->count++] = m->incarnation;
      established_count
          += placement_time_us (c) - m->joined_at_us >= ESTABLISH_US ? 1 : 0;
    }
  talloc_free (r);
}
