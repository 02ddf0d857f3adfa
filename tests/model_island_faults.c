/* model_island_faults.c -- when islands form, and when they are over.  */

#include "tests/model.h"

#include <string.h>

#define WATCH_US (10 * US_PER_MS)
/** Who claims the cell is cut off within this after its claim: before it has
    waited for the runners that it can't reach.  */
#define CLAIMED_FOR_MS 14000
/** Ownership timeout: how long an owner is one without an answered join.  */
#define OWNERSHIP_TIMEOUT_MS 10000
/** An island that ends near a time ends at most this much before or after.  */
#define NEAR_MS 300
/** It ends within this after a claim.  */
#define ENDS_AFTER_CLAIM_MS 1500
/** Runners crash within this after a claim, or before its claimant asks them,
    and are back within this.  */
#define CRASHES_AFTER_CLAIM_MS 1500
#define CRASHES_AT_CLAIM_MS 30
#define BACK_MS 500

/* A claim that is watched for, by another entry than OWNER.  */
struct watch
{
  enum model_fault kind;
  struct model_entry *owner;
  uint32_t island;
  uint64_t until_us;
  guint claim_count; /* Before it.  */
};

static uint64_t
choose_time_us (struct model *m)
{
  return model_between (m, 4000, 14000) * US_PER_MS;
}

static enum model_island_kind
choose_kind (struct model *m)
{
  return (enum model_island_kind)model_random (m, MODEL_ISLAND_ONE_WAY);
}

/* Returns the entry of the newest claim, if it has not released the cell.  */
static struct model_entry *
newest_claimant (struct model *m)
{
  const GArray *claims = m->store.claims;
  const struct model_claim *x;
  uint32_t i;

  if (claims->len == 0)
    return NULL;
  x = &g_array_index (claims, struct model_claim, claims->len - 1);
  for (i = 0; !x->terms.released && i < m->entry_count; i++)
    if (strcmp (m->entries[i].name, x->member) == 0)
      return &m->entries[i];
  return NULL;
}

static void look_for_claim (struct model *m, void *argument);

/* Has OWNER form an island for a time.  */
static void
cut_off (struct model *m, const struct model_entry *owner)
{
  uint64_t for_us = choose_time_us (m);

  if (owner->cell == NULL || model_island_has (m, owner->side)
      || model_island_form (m, owner, choose_kind (m), for_us) == 0)
    return;
  model_disturb (m, m->now_us + for_us);
}

/* Looks for a claim by another entry than OWNER, for FOR_US.  */
static struct watch *
watch_for_claim (struct model *m, enum model_fault kind,
                 struct model_entry *owner, uint64_t for_us)
{
  struct watch *x = talloc_zero (m->arena, struct watch);

  x->kind = kind;
  x->owner = owner;
  x->until_us = m->now_us + for_us;
  x->claim_count = m->store.claims->len;
  model_schedule (m, WATCH_US, look_for_claim, x);
  return x;
}

static void
cut_off_claimant (struct model *m, void *argument)
{
  struct model_entry *e = newest_claimant (m);

  (void)argument;
  if (e == NULL)
    return;
  cut_off (m, e);
  if (model_random (m, 2) == 0)
    watch_for_claim (m, MODEL_SUCCESSOR_ISLANDED, e, choose_time_us (m));
}

static void
crash (struct model *m, void *argument)
{
  uint32_t *vm = argument;

  model_runner_crash (m, *vm, model_between (m, 10, BACK_MS) * US_PER_MS);
  talloc_free (vm);
}

/* Has the runners that all sides reach crash soon.  */
static void
crash_shared (struct model *m)
{
  uint32_t i;

  for (i = 0; i < m->vm_count; i++)
    if (model_island_side (m, m->vms[i].side) == MODEL_ALL_SIDES)
      {
        uint32_t *vm = talloc (m->arena, uint32_t);
        uint32_t within_ms = model_random (m, 2) == 0 ? CRASHES_AT_CLAIM_MS
                                                      : CRASHES_AFTER_CLAIM_MS;

        *vm = i;
        model_schedule (m, model_random (m, within_ms) * US_PER_MS, crash, vm);
      }
}

/* Handles that the claim that X is for has been made.  */
static void
on_claim (struct model *m, struct watch *x)
{
  uint64_t delay_us;

  switch (x->kind)
    {
    case MODEL_ISLAND_ENDS_AFTER_CLAIM:
      m->islands[x->island].until_us
          = m->now_us + model_random (m, ENDS_AFTER_CLAIM_MS) * US_PER_MS;
      model_disturb (m, m->islands[x->island].until_us);
      break;
    case MODEL_SHARED_CRASH:
      crash_shared (m);
      break;
    case MODEL_UNASSIGNED_AND_ISLANDED:
      x->owner->joins_pass = true;
      break;
    default:
      delay_us = model_random (m, CLAIMED_FOR_MS) * US_PER_MS;
      if (model_random (m, 2) == 0)
        delay_us /= 5;
      model_schedule (m, delay_us, cut_off_claimant, NULL);
      model_disturb (m, m->now_us + delay_us);
      break;
    }
}

static void
look_for_claim (struct model *m, void *argument)
{
  struct watch *x = argument;
  const struct model_entry *e = newest_claimant (m);

  model_disturb (m, m->now_us);
  if (m->store.claims->len > x->claim_count && e != NULL && e != x->owner)
    on_claim (m, x);
  else if (m->now_us < x->until_us)
    {
      model_schedule (m, WATCH_US, look_for_claim, x);
      return;
    }
  talloc_free (x);
}

void
model_island_fault (struct model *m, enum model_fault kind)
{
  struct model_entry *owner = model_owner (m);
  enum model_island_kind made_of;
  uint64_t for_us = choose_time_us (m);
  uint64_t end_us;
  struct watch *x = NULL;
  uint32_t number;

  if (owner == NULL || model_island_exists (m))
    return;
  switch (kind)
    {
    case MODEL_SUCCESSOR_ISLANDED:
      made_of = choose_kind (m);
      watch_for_claim (m, kind, owner, for_us);
      break;
    case MODEL_ISLAND_ENDS_AT_TIMEOUT:
      made_of = choose_kind (m);
      end_us = owner->joined_at_us
               + model_between (m, OWNERSHIP_TIMEOUT_MS - NEAR_MS,
                                OWNERSHIP_TIMEOUT_MS + NEAR_MS)
                     * US_PER_MS;
      for_us = end_us > m->now_us ? end_us - m->now_us : 0;
      break;
    case MODEL_UNASSIGNED_AND_ISLANDED:
      for_us += OWNERSHIP_TIMEOUT_MS * US_PER_MS;
      made_of = choose_kind (m);
      x = watch_for_claim (m, kind, owner, for_us);
      break;
    case MODEL_SHARED_CRASH:
      made_of = MODEL_ISLAND_WITH_SHARED;
      x = watch_for_claim (m, kind, owner, for_us);
      break;
    case MODEL_ISLAND_ENDS_AFTER_CLAIM:
      made_of = choose_kind (m);
      x = watch_for_claim (m, kind, owner, for_us);
      break;
    default:
      made_of = MODEL_ISLAND_OF_OWNER + kind - MODEL_OWNER_ISLANDED;
      break;
    }
  owner->joins_pass = false;
  number = model_island_form (m, owner, made_of, for_us);
  if (x != NULL)
    x->island = number;
  model_disturb (m, m->now_us + for_us);
}
