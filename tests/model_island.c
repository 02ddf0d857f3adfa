/* model_island.c -- an island: some entries and runners that reach each other,
   but neither the store nor the others.  */

#include "tests/model.h"

/** Parts, in thousandths, of the runners that are on the island, and that both
    sides reach, and of the entries beside the owner that are on the island. */
#define ISLAND_RUNNER_MILLI 500
#define BOTH_RUNNER_MILLI 200
#define ISLAND_ENTRY_MILLI 400

bool
model_island_exists (const struct model *m)
{
  return m->now_us < m->island_until_us;
}

bool
model_island_parts (const struct model *m, enum model_side from,
                    enum model_side to)
{
  if (!model_island_exists (m) || from == to || from == MODEL_BOTH_SIDES
      || to == MODEL_BOTH_SIDES)
    return false;
  switch (m->island_direction)
    {
    case MODEL_ISLAND_SENDS:
      return from != MODEL_ISLAND;
    case MODEL_ISLAND_RECEIVES:
      return from == MODEL_ISLAND;
    default:
      return true;
    }
}

bool
model_island_parts_pair (const struct model *m, enum model_side a,
                         enum model_side b)
{
  return model_island_parts (m, a, b) || model_island_parts (m, b, a);
}

bool
model_island_has (const struct model *m, enum model_side side)
{
  return model_island_exists (m) && side == MODEL_ISLAND;
}

void
model_island_form (struct model *m, struct model_entry *owner,
                   enum model_island_kind kind, uint64_t for_us)
{
  uint32_t i;
  guint k;

  m->island_until_us = m->now_us + for_us;
  m->island_has_cloud = model_random (m, 2) == 0;
  m->island_registers = kind == MODEL_ISLAND_WITH_STORE;
  m->island_direction = kind == MODEL_ISLAND_ONE_WAY
                            ? MODEL_ISLAND_SENDS + model_random (m, 2)
                            : MODEL_ISLAND_CUT;
  for (i = 0; i < m->entry_count; i++)
    {
      struct model_entry *e = &m->entries[i];
      bool joins = kind == MODEL_ISLAND_OF_ENTRIES
                   && model_random (m, 1000) < ISLAND_ENTRY_MILLI;

      e->side = e == owner || joins ? MODEL_ISLAND : MODEL_MAIN;
    }
  for (k = 0; k < m->all_runners->len; k++)
    {
      struct model_runner *r = g_ptr_array_index (m->all_runners, k);
      uint32_t n = model_random (m, 1000);

      r->side = MODEL_MAIN;
      if (n < ISLAND_RUNNER_MILLI)
        r->side = MODEL_ISLAND;
      else if (kind == MODEL_ISLAND_WITH_SHARED
               && n < ISLAND_RUNNER_MILLI + BOTH_RUNNER_MILLI)
        r->side = MODEL_BOTH_SIDES;
    }
}
