/* model_island.c -- islands: some entries and runners that reach each other,
   but neither the store nor the others.  */

#include "tests/model.h"

/** Parts, in thousandths, of the runners that are on a new island, and that
    all sides reach, and of the entries beside the owner that are on it.  */
#define ISLAND_RUNNER_MILLI 500
#define ALL_RUNNER_MILLI 200
#define ISLAND_ENTRY_MILLI 400

static bool
exists (const struct model *m, uint32_t number)
{
  return m->now_us < m->islands[number].until_us;
}

bool
model_island_exists (const struct model *m)
{
  uint32_t i;

  for (i = 1; i <= MODEL_ISLAND_LIMIT; i++)
    if (exists (m, i))
      return true;
  return false;
}

uint32_t
model_island_side (const struct model *m, uint32_t side)
{
  if (side == MODEL_ALL_SIDES)
    return model_island_exists (m) ? side : MODEL_MAIN;
  return exists (m, side) ? side : MODEL_MAIN;
}

bool
model_island_parts (const struct model *m, uint32_t from, uint32_t to)
{
  uint32_t f = model_island_side (m, from);
  uint32_t t = model_island_side (m, to);

  if (f == t || f == MODEL_ALL_SIDES || t == MODEL_ALL_SIDES)
    return false;
  return (f != MODEL_MAIN && m->islands[f].direction != MODEL_ISLAND_SENDS)
         || (t != MODEL_MAIN
             && m->islands[t].direction != MODEL_ISLAND_RECEIVES);
}

bool
model_island_parts_pair (const struct model *m, uint32_t a, uint32_t b)
{
  return model_island_parts (m, a, b) || model_island_parts (m, b, a);
}

bool
model_island_has (const struct model *m, uint32_t side)
{
  return side != MODEL_ALL_SIDES && exists (m, side);
}

bool
model_island_registers (const struct model *m, uint32_t side)
{
  return !model_island_has (m, side) || m->islands[side].registers;
}

bool
model_island_reaches_cloud (const struct model *m, uint32_t side)
{
  return !model_island_has (m, side) || m->islands[side].has_cloud;
}

/* Returns the number of an island that does not exist, or 0.  */
static uint32_t
choose_number (const struct model *m)
{
  uint32_t i;

  for (i = 1; i <= MODEL_ISLAND_LIMIT; i++)
    if (!exists (m, i))
      return i;
  return 0;
}

/* Ends what is left of islands that are over.  */
static void
forget_old_sides (struct model *m)
{
  uint32_t i;
  guint k;

  for (i = 0; i < m->entry_count; i++)
    m->entries[i].side = model_island_side (m, m->entries[i].side);
  for (i = 0; i < m->vm_count; i++)
    m->vms[i].side = model_island_side (m, m->vms[i].side);
  for (k = 0; k < m->all_runners->len; k++)
    {
      struct model_runner *r = g_ptr_array_index (m->all_runners, k);

      r->side = model_island_side (m, r->side);
    }
}

/* Chooses the side of R, which is with the store, in the island NUMBER.  */
static uint32_t
choose_side (uint32_t number, enum model_island_kind kind, uint32_t n)
{
  if (n < ISLAND_RUNNER_MILLI)
    return number;
  if (kind == MODEL_ISLAND_WITH_SHARED
      && n < ISLAND_RUNNER_MILLI + ALL_RUNNER_MILLI)
    return MODEL_ALL_SIDES;
  return MODEL_MAIN;
}

uint32_t
model_island_form (struct model *m, const struct model_entry *owner,
                   enum model_island_kind kind, uint64_t for_us)
{
  uint32_t number = choose_number (m);
  struct model_island *x = &m->islands[number];
  uint32_t i;
  guint k;

  if (number == 0)
    return 0;
  forget_old_sides (m);
  x->until_us = m->now_us + for_us;
  x->has_cloud = model_random (m, 2) == 0;
  x->registers = kind == MODEL_ISLAND_WITH_STORE;
  x->direction = kind == MODEL_ISLAND_ONE_WAY
                     ? MODEL_ISLAND_SENDS + model_random (m, 2)
                     : MODEL_ISLAND_CUT;
  for (i = 0; i < m->entry_count; i++)
    {
      struct model_entry *e = &m->entries[i];
      bool joins = kind == MODEL_ISLAND_OF_ENTRIES
                   && model_random (m, 1000) < ISLAND_ENTRY_MILLI;

      if (e->side == MODEL_MAIN && (e == owner || joins))
        e->side = number;
    }
  for (k = 0; k < m->all_runners->len; k++)
    {
      struct model_runner *r = g_ptr_array_index (m->all_runners, k);
      uint32_t n = model_random (m, 1000);

      if (r->side != MODEL_MAIN)
        continue;
      r->side = choose_side (number, kind, n);
      if (m->vms[r->vm].runner == r)
        m->vms[r->vm].side = r->side;
    }
  return number;
}
