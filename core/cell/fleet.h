/* fleet.h -- the VMs of a cell (fleet.c), shared by waves (upkeep.c) and pool
   sizes (pools.c, demand.c).  */

#ifndef FTK_CORE_CELL_FLEET_H
#define FTK_CORE_CELL_FLEET_H

#include "core/cell/state.h"

enum vm_phase
{
  VM_IDLE,
  VM_EMPTYING, /**< Gets nothing new; waits to be empty.  */
  VM_ORDERED,  /**< Maintenance or a move was ordered, no answer yet.  */
  VM_AWAY      /**< Down for maintenance, or being moved.  */
};

struct vm
{
  struct vm_row row;
  enum vm_phase phase;
  bool moving;             /**< The order is a move, not maintenance.  */
  char target[NAME_BYTES]; /**< Pool that it is moved to.  */
  uint64_t wave;           /**< Being carried out.  */
  uint64_t order_us;
  bool asked;             /**< The order's outcome is not in yet.  */
  uint64_t begun_us;      /**< Its emptying began.  */
  uint64_t not_before_us; /**< Passed over until then.  */
  uint64_t away_until_us;
  char first_runner[NAME_BYTES]; /**< On it when first listed to us.  */
  char old_runner[NAME_BYTES];   /**< It had before it went down.  */
};

struct pool_plan;

struct upkeep
{
  GHashTable *vms; /**< Name to struct vm.  */
  GPtrArray *waves;
  GPtrArray *saved; /**< struct saved_wave of this tenure.  */
  uint64_t list_us;
  struct pool_plan *pools; /**< What is learned of demand; pools.c.  */
  bool list_asked;
  bool listed;
  uint32_t up_count;  /**< VMs up by it.  */
  uint64_t listed_us; /**< The newest list was asked for then.  */
};

/** Returns the VM of that name, or NULL.  */
struct vm *fleet_find (const struct upkeep *u, const char *name);
/** Returns the runner on V, or NULL.  */
struct runner *fleet_runner (const struct cell *c, const struct vm *v);
/** Returns true if the platform's list, read after R was last heard of, has no
    VM up with it: its boot is over, and whatever ran there.  */
bool fleet_is_gone (const struct cell *c, const struct runner *r);
/** Returns true if a runner of POOL that a former owner may have used has not
    answered us yet.  */
bool fleet_unseen (const struct cell *c, const char *pool);
/** Returns true if it is known what runs on V.  */
bool fleet_is_known (const struct cell *c, const struct vm *v);
/** Returns true if V's pool is the spare one.  */
bool fleet_is_spare (const struct cell *c, const struct vm *v);
/** Orders what V is being prepared for: its move or its maintenance.  */
void fleet_order (struct cell *c, struct vm *v);
/** V is in use again.  */
void fleet_give_back (struct cell *c, struct vm *v);

/* pools.c */
struct pool_plan *pools_new (struct upkeep *u);
void pools_tick (struct cell *c);
void pools_clear (struct cell *c);
/** Returns true if a turn has begun or ended since the record was made.  */
bool pools_dirty (const struct cell *c);
void pools_add_item (struct cell *c, struct append *a);

#endif
