/* fleet.h -- the VMs of a cell (fleet.c), as shared by maintenance waves
   (waves.c) and pool sizes (pools.c, demand.c).  */

#ifndef FTK_CORE_CELL_FLEET_H
#define FTK_CORE_CELL_FLEET_H

#include "core/cell/state.h"

/** What the owner is doing with a VM.  */
enum vm_phase
{
  VM_IDLE,     /**< Nothing: in normal use.  */
  VM_EMPTYING, /**< It gets no new tasks, and its tasks end or leave.  */
  VM_ORDERED,  /**< Its maintenance or move was ordered, no answer yet.  */
  VM_AWAY      /**< Down for maintenance, or moving.  */
};

/** A VM of the platform's list.  */
struct vm
{
  struct vm_row row; /**< As last listed.  */
  enum vm_phase phase;
  bool moving; /**< It is emptied, ordered or away for a move, not for
                  maintenance.  */
  char target_pool[NAME_BYTES]; /**< Pool that it moves to.  */
  uint64_t wave;                /**< Last wave that chose it; 0: none.  */
  uint64_t ordered_at_us;    /**< When its last order was sent, or failed. */
  bool order_pending;        /**< An order has no outcome yet.  */
  uint64_t emptying_at_us;   /**< When VM_EMPTYING began.  */
  uint64_t skipped_until_us; /**< Waves leave it out until then.  */
  uint64_t away_until_us;    /**< Expected end of VM_AWAY.  */
  char first_runner[NAME_BYTES];    /**< Its runner when first listed.  */
  char previous_runner[NAME_BYTES]; /**< Its runner before VM_AWAY.  */
};

struct fleet_demand;

/** The VMs of a cell, and what is planned for them.  */
struct cell_fleet
{
  GHashTable *vms;            /**< Name to struct vm.  */
  GPtrArray *waves;           /**< struct wave; private to waves.c.  */
  GPtrArray *recovered_waves; /**< struct recovered_wave of this ownership.  */
  uint64_t list_sent_at_us;   /**< When the platform was last asked for its
                                 list.  */
  struct fleet_demand *demand; /**< Demand on the pools.  */
  bool list_pending;           /**< The platform has not answered yet.  */
  bool listed;                 /**< This owner has read a list.  */
  uint32_t up_count;           /**< VMs up in the newest list.  */
  uint64_t snapshot_at_us;     /**< When the newest list was asked for.  */
};

/** Returns the VM NAME, or NULL.  */
struct vm *fleet_find (const struct cell_fleet *f, const char *name);
/** Returns the runner on V, or NULL.  */
struct runner *fleet_runner (const struct cell *c, const struct vm *v);
/** Returns true if the newest list was asked for after R last answered and has
    R on no VM that is up.  Then R was shut down, and all its runs have
    ended.  */
bool fleet_runner_is_gone (const struct cell *c, const struct runner *r);
/** Returns true if a runner of POOL that a former owner may have used has not
    answered us yet.  */
bool fleet_has_unreached (const struct cell *c, const char *pool);
/** Returns true if it is known what runs on V.  */
bool fleet_runs_are_known (const struct cell *c, const struct vm *v);
/** Returns true if V is in the spare pool.  */
bool fleet_is_spare (const struct cell *c, const struct vm *v);
/** Orders the move or maintenance that V is being emptied for.  */
void fleet_send_order (struct cell *c, struct vm *v);
/** Returns V to normal use.  */
void fleet_return_vm (struct cell *c, struct vm *v);

/* demand.c and pools.c: demand on the pools, and their sizes.  */
/** Returns a demand without pools as a child of F.  */
struct fleet_demand *demand_new (struct cell_fleet *f);
/** Moves VMs between pools by demand.  */
void pools_tick (struct cell *c);
void demand_clear (struct cell *c);
/** Returns true if the demand history has to be appended.  */
bool demand_is_dirty (const struct cell *c);
/** Adds the record of the demand history to A.  */
void demand_add_record (struct cell *c, struct append *a);

#endif
