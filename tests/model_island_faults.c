/* model_island_faults.c -- when islands form, and when they are over.  */

#include "tests/model.h"

#include <string.h>

#define WATCH_US (10 * US_PER_MS)
/** Who claims the cell is cut off within this after its claim: before it has
    waited for the runners that it can't reach.  */
#define CLAIMED_FOR_MS 14000

/* An owner that is watched for, or was found.  */
struct watch
{
  uint64_t until_us;
  guint claim_count; /* Before the claim that is watched for.  */
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

static void watch_for_claim (struct model *m, uint64_t for_us);

static void
cut_off_claimant (struct model *m, void *argument)
{
  const struct model_entry *e = newest_claimant (m);

  (void)argument;
  if (e != NULL && e->cell != NULL && !model_island_has (m, e->side))
    {
      uint64_t for_us = choose_time_us (m);

      if (model_island_form (m, e, choose_kind (m), for_us) == 0)
        return;
      model_disturb (m, m->now_us + for_us);
      if (model_random (m, 2) == 0)
        watch_for_claim (m, for_us);
    }
}

static void
look_for_claim (struct model *m, void *argument)
{
  struct watch *x = argument;

  model_disturb (m, m->now_us);
  if (m->store.claims->len > x->claim_count && newest_claimant (m) != NULL)
    {
      uint64_t delay_us = model_random (m, CLAIMED_FOR_MS) * US_PER_MS;

      if (model_random (m, 2) == 0)
        delay_us /= 5;
      model_schedule (m, delay_us, cut_off_claimant, NULL);
      model_disturb (m, m->now_us + delay_us);
    }
  else if (m->now_us < x->until_us)
    {
      model_schedule (m, WATCH_US, look_for_claim, x);
      return;
    }
  talloc_free (x);
}

/* Cuts off the next entry that claims the cell, within FOR_US.  */
static void
watch_for_claim (struct model *m, uint64_t for_us)
{
  struct watch *x = talloc_zero (m->arena, struct watch);

  x->until_us = m->now_us + for_us;
  x->claim_count = m->store.claims->len;
  model_schedule (m, WATCH_US, look_for_claim, x);
}

void
model_island_fault (struct model *m, enum model_fault kind)
{
  const struct model_entry *owner = model_owner (m);
  enum model_island_kind made_of;
  uint64_t for_us = choose_time_us (m);

  if (owner == NULL || model_island_exists (m))
    return;
  switch (kind)
    {
    case MODEL_SUCCESSOR_ISLANDED:
      made_of = choose_kind (m);
      watch_for_claim (m, for_us);
      break;
    default:
      made_of = MODEL_ISLAND_OF_OWNER + kind - MODEL_OWNER_ISLANDED;
      break;
    }
  model_island_form (m, owner, made_of, for_us);
  model_disturb (m, m->now_us + for_us);
}
