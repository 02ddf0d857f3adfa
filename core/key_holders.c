/* key_holders.c -- which members keep an idempotency key.

   Members are ranked for each key by rendezvous hash over their VMs' names, so
   a restarted entry has its old rank.  The holders of a key are the members
   from the top down to the second one that is not young.  A young member may
   not have its notes yet; two that are old were there all along.  So two sets
   of holders that differ by one change have a member in common that knows.
   When two members above the last holder were lost at nearly the same time,
   the notes may be lost with them: the key is in doubt.  */

#include "core/state.h"

#include <stdlib.h>
#include <string.h>

/** Time that holders need to bring a changed member up to date.  */
#define YOUNG_US (5 * US_PER_S)
/** How long a loss may cast doubt: as long as notes are kept.  */
#define DOUBT_US (600 * US_PER_S)
/** Holders that are not young.  */
#define OLD_HOLDER_COUNT 2

/** A member, or one that was.  */
struct home_member
{
  char vm[NAME_BYTES];
  uint64_t incarnation;
  uint64_t joined_us;
  uint64_t left_us; /**< 0 while it is a member.  */
  bool left_in_order;
};

struct key_placement
{
  struct home_member *items;
  uint32_t item_count;
};

struct ranked
{
  uint64_t score;
  const struct home_member *member;
};

void
core_key_placement_open (struct core *c)
{
  c->key_placement = talloc_zero (c, struct key_placement);
}

static struct home_member *
find (struct key_placement *h, uint64_t incarnation)
{
  uint32_t i;

  for (i = 0; i < h->item_count; i++)
    if (h->items[i].incarnation == incarnation)
      return &h->items[i];
  return NULL;
}

void
core_key_placement_member_left (struct core *c, uint64_t incarnation)
{
  struct home_member *m = find (c->key_placement, incarnation);

  if (m != NULL)
    m->left_in_order = true;
}

bool
core_is_member (struct core *c, uint64_t incarnation)
{
  return control_member_index (c->control, incarnation) >= 0;
}

static bool
add_joined (struct core *c)
{
  struct key_placement *h = c->key_placement;
  bool changed = false;
  uint32_t i;

  for (i = 0; i < c->control->member_count; i++)
    {
      const struct member *m = &c->control->members[i];
      struct home_member *x;

      if (find (h, m->incarnation) != NULL)
        continue;
      h->items = talloc_realloc (h, h->items, struct home_member,
                                 (size_t)h->item_count + 1);
      x = &h->items[h->item_count++];
      memset (x, 0, sizeof *x);
      text_copy (x->vm, NAME_BYTES, m->vm);
      x->incarnation = m->incarnation;
      x->joined_us = c->now_us;
      changed = true;
    }
  return changed;
}

static bool
mark_left (struct core *c)
{
  struct key_placement *h = c->key_placement;
  bool changed = false;
  uint32_t i;

  for (i = 0; i < h->item_count; i++)
    {
      struct home_member *x = &h->items[i];

      if (x->left_us == 0 && !core_is_member (c, x->incarnation))
        {
          x->left_us = c->now_us;
          changed = true;
        }
      if (x->left_us != 0 && c->now_us - x->left_us > DOUBT_US)
        *x = h->items[--h->item_count];
    }
  return changed;
}

bool
core_key_placement_update (struct core *c)
{
  bool joined;

  /* Losses read from the past would all seem to be of this moment.  */
  if (!c->caught_up)
    return false;
  joined = add_joined (c);
  return mark_left (c) || joined;
}

/* splitmix64 over the digest's first bytes and the VM's name (FNV-1a).  */
static uint64_t
score (const uint8_t *digest, const char *vm)
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
  const struct ranked *x = a;
  const struct ranked *y = b;

  if (x->score != y->score)
    return x->score > y->score ? -1 : 1;
  return x->member->incarnation < y->member->incarnation ? -1 : 1;
}

/* Returns true if another of the first COUNT members was lost together with
   the last of them.  */
static bool
lost_together (const struct ranked *r, uint32_t count)
{
  const struct home_member *m = r[count - 1].member;
  uint32_t i;

  for (i = 0; i + 1 < count; i++)
    {
      const struct home_member *x = r[i].member;
      uint64_t apart_us = x->left_us > m->left_us ? x->left_us - m->left_us
                                                  : m->left_us - x->left_us;

      if (x->left_us != 0 && !x->left_in_order && apart_us < YOUNG_US)
        return true;
    }
  return false;
}

void
core_find_key_holders (struct core *c, const uint8_t *digest,
                       struct key_holders *out)
{
  struct key_placement *h = c->key_placement;
  struct ranked *r = talloc_array (h, struct ranked, h->item_count + 1);
  uint32_t old_count = 0;
  uint32_t i;

  memset (out, 0, sizeof *out);
  for (i = 0; i < h->item_count; i++)
    {
      r[i].member = &h->items[i];
      r[i].score = score (digest, h->items[i].vm);
    }
  qsort (r, h->item_count, sizeof *r, compare_ranked);
  for (i = 0; i < h->item_count && old_count < OLD_HOLDER_COUNT
              && out->count < HOLDER_LIMIT_COUNT;
       i++)
    {
      const struct home_member *m = r[i].member;

      if (m->left_us != 0)
        {
          if (!m->left_in_order && lost_together (r, i + 1))
            out->in_doubt = true;
          continue;
        }
      out->incarnations[out->count++] = m->incarnation;
      old_count += c->now_us - m->joined_us >= YOUNG_US ? 1 : 0;
    }
  talloc_free (r);
}
