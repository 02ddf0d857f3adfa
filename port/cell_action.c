/* cell_action.c -- growing list of the actions of one cell_step.  */

#include "port/cell_action.h"

#include <string.h>

/** Capacity of the first allocation; it doubles when the list is full.  */
#define INITIAL_CAPACITY_COUNT 64

struct cell_action *
cell_actions_add (struct cell_actions *a, enum cell_action_kind kind)
{
  struct cell_action *x;

  if (a->item_count == a->capacity_count)
    {
      uint32_t n
          = a->capacity_count ? 2 * a->capacity_count : INITIAL_CAPACITY_COUNT;

      a->items = talloc_realloc (NULL, a->items, struct cell_action, n);
      if (a->items == NULL)
        out_of_memory ();
      a->capacity_count = n;
    }
  x = &a->items[a->item_count++];
  memset (x, 0, sizeof *x);
  x->kind = kind;
  return x;
}
