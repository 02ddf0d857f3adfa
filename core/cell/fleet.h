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
  bool moving;                  /**< The order is a move, not maintenance.  */
  char target_pool[NAME_BYTES]; /**< Pool that it is moved to.  */
  uint64_t wave;                /**< Being carried out.  */
  uint64_t ordered_at_us;
  bool order_pending;        /**< The order's outcome is not in yet.  */
  uint64_t emptying_at_us;   /**< Its emptying began.  */
  uint64_t skipped_until_us; /**< Passed over until then.  */
  uint64_t away_until_us;
  char first_runner[NAME_BYTES];    /**< On it when first listed to us.  */
  char previous_runner[NAME_BYTES]; /**< It had before it went down.  */
};

struct fleet_demand;

struct cell_fleet
{
  GHashTable *vms; /**< Name to struct vm.  */
  GPtrArray *waves;
  GPtrArray *recovered_waves; /**< struct saved_wave of this tenure.  */
  uint64_t list_sent_at_us;
  struct fleet_demand *demand; /**< What is learned of demand; pools.c.  */
  bool list_pending;
  bool listed;
  uint32_t up_count;       /**< VMs up by it.  */
  uint64_t snapshot_at_us; /**< The newest list was asked for then.  */
};

/** Returns the VM of that name, or NULL.  */
struct vm *fleet_find (const struct cell_fleet *u, const char *name);
/** Returns the runner on V, or NULL.  */
struct runner *fleet_runner (const struct cell *c, const struct vm *v);
/** Returns true if the platform's list, read after R was last heard of, has no
    VM up with it: its boot is over, and whatever ran there.  */
bool fleet_runner_is_gone (const struct cell *c, const struct runner *r);
/** Returns true if a runner of POOL that a former owner may have used has not
    answered us yet.  */
bool fleet_has_unreached (const struct cell *c, const char *pool);
/** Returns true if it is known what runs on V.  */
bool fleet_runs_are_known (const struct cell *c, const struct vm *v);
/** Returns true if V's pool is the spare one.  */
bool fleet_is_spare (const struct cell *c, const struct vm *v);
/** Orders what V is being prepared for: its move or its maintenance.  */
void fleet_send_order (struct cell *c, struct vm *v);
/** V is in use again.  */
void fleet_return_vm (struct cell *c, struct vm *v);

/* pools.c */
struct fleet_demand *pools_new (struct cell_fleet *u);
void pools_tick (struct cell *c);
void pools_clear (struct cell *c);
/** Returns true if a turn has begun or ended since the record was made.  */
bool pools_are_dirty (const struct cell *c);
void pools_add_record (struct cell *c, struct append *a);

#endif
