/* fleet.h -- the VMs of a cell (fleet.c), as shared by orders for them
   (vm_orders.c), places for their tasks (places.c), maintenance waves
   (waves.c) and pool sizes (pools.c, demand.c).  */

#ifndef FTK_CORE_CELL_FLEET_H
#define FTK_CORE_CELL_FLEET_H

#include "core/cell/state.h"

/** Times by the wall clocks of runners and of entries are compared with this
    margin.  */
#define CLOCK_DIFFERENCE_MS 1000
/** Name that stands for all pools, also those that no configuration has.  */
#define EVERY_POOL ""

/** When at most one in this many of a pool's runners has not been asked, its
    demand is known well enough to add VMs.  */
#define MOST_PART 4
/** An order for a VM is sent up to this long after the newest confirmation. */
#define VM_ORDER_CONFIRMED_MS 600
/** It reaches the cloud within this, or never: the time that it may be delayed
    within the entry, and that of the call.  */
#define VM_ORDER_REACH_MS 2500

/** Whether the stored record of VM orders names a VM.  */
enum vm_naming
{
  VM_NOT_NAMED,   /**< It is not to be ordered, or its order has ended.  */
  VM_NAMING_DUE,  /**< The next record names it.  */
  VM_NAMING_SENT, /**< The record in flight names it.  */
  VM_NAMED        /**< It may be ordered.  */
};

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
  struct vm_row row; /**< As last listed; not up if it is listed no more.  */
  uint64_t list_number; /**< Newest list that has it.  */
  enum vm_phase phase;
  bool moving; /**< It is emptied, ordered or away for a move, not for
                  maintenance.  */
  char target_pool[NAME_BYTES]; /**< Pool that it moves to.  */
  uint64_t wave;                /**< Last wave that chose it; 0: none.  */
  uint64_t ordered_at_us;       /**< When its last order was sent, or when its
                                   outcome was found to be unknown.  */
  uint64_t order_ended_at_us;   /**< When the outcome of its last order became
                                   known; 0: it had none.  */
  bool may_be_executed;         /**< An order without an answer may have been
                                   carried out, or may yet be.  */
  bool order_pending;           /**< An order has no outcome yet.  */
  uint64_t first_order_id;      /**< Of its operation.  */
  uint64_t last_order_id;       /**< Of its operation.  */
  enum vm_naming naming;
  uint64_t emptying_at_us;       /**< When VM_EMPTYING last began.  */
  uint64_t skipped_until_us;     /**< Waves leave it out until then; moves do
                                    not.  */
  uint64_t orders_from_us;       /**< No order for it is sent before then: a
                                    former owner may have ordered it.  */
  uint64_t move_ordered_at_us;   /**< When the order of its last move was
                                    first sent; 0: its runner has taken tasks
                                    since.  */
  uint64_t away_until_us;        /**< Expected end of VM_AWAY.  */
  uint64_t returned_at_us;       /**< When VM_AWAY last ended; 0: never.  */
  char first_runner[NAME_BYTES]; /**< Its runner when first listed.  */
  char previous_runner[NAME_BYTES]; /**< Its runner when the first order of
                                       its operation was sent.  */
};

struct fleet_demand;

/** How many orders may be sent to the cloud.  */
struct order_window
{
  uint32_t open_count;     /**< Orders without an answer.  */
  uint32_t emptying_count; /**< VMs being emptied.  */
  uint32_t empty_count;    /**< Those of them that have no tasks left.  */
  uint64_t budget_milli;   /**< Orders that the rate allows now, in
                              thousandths.  */
  uint64_t refilled_at_us; /**< When the budget was last raised.  */
  uint32_t failure_count;  /**< Results in a row that were ORDER_UNKNOWN or
                              ORDER_UNAVAILABLE.  */
  uint64_t resume_at_us;   /**< While failure_count is above 0, no order is
                              sent before then.  */
};

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
  uint64_t list_number;        /**< Number of the newest list.  */
  uint64_t snapshot_at_us;     /**< When the newest list was asked for.  */
  struct order_window window;  /**< Orders that may be sent now.  */
  uint64_t plan_number;        /**< Number of the newest plan (places.c), from
                                  1; that of a task or runner which it does
                                  not name is lower.  */
  uint32_t planned_count;      /**< Tasks that it names places for.  */
  GPtrArray *unplaced;         /**< Long-running struct task that waits, or
                                  whose runner drains, and had no place when
                                  the plan was made.  */
};

/** Returns the VM NAME, or NULL.  */
struct vm *fleet_find (const struct cell_fleet *f, const char *name);
/** Returns the runner on V, or NULL.  */
struct runner *fleet_runner (const struct cell *c, const struct vm *v);
/** Returns true if the newest list was asked for after R last answered and has
    R on no VM that is up.  Then R was shut down, and all its runs have
    ended.  */
bool fleet_runner_is_gone (const struct cell *c, const struct runner *r);
/** Returns how many runners of POOL, which may be EVERY_POOL here and below,
    that a former owner may have used have not answered us, LIMIT at most, and
    sets FIRST to the id of one.  Before both lists are read there may be
    more.  */
uint32_t fleet_count_unreached (const struct cell *c, const char *pool,
                                uint32_t limit, const char **first);
/** Returns true if there is one, or may be as a list is not read yet.  */
bool fleet_has_unreached (const struct cell *c, const char *pool);
/** Returns true if such a runner is registered and has neither answered a poll
    nor missed as many as make it silent.  */
bool fleet_has_unasked (const struct cell *c, const char *pool);
/** Returns true if at most one in MOST_PART runners of POOL, which is not
    EVERY_POOL, is such a runner: it is about known what runs in POOL.  */
bool fleet_most_are_asked (const struct cell *c, const char *pool);
/** Returns true if V is in an evacuated zone, by the platform's list or by the
    registration of its runner.  */
bool fleet_is_evacuated (const struct cell *c, const struct vm *v);
/** Returns true if it is known what runs on V.  */
bool fleet_runs_are_known (const struct cell *c, const struct vm *v);
/** Returns true if V, on which no operation is under way, is no longer listed.
 */
bool fleet_has_left (const struct cell *c, const struct vm *v);
/** Returns true if V is in the spare pool.  */
bool fleet_is_spare (const struct cell *c, const struct vm *v);
/** Returns true if no task occupies V's runner, and the ends that it has
   listed are durable: an order for V takes their only other copy away.  */
bool fleet_is_empty (const struct cell *c, const struct vm *v);
/** Takes V out of use until it is empty: its runner gets no new tasks.  */
void fleet_begin_emptying (struct cell *c, struct vm *v);
/** Returns V to normal use.  */
void fleet_return_vm (struct cell *c, struct vm *v);
/** Returns V, whose operation is given up for now, to normal use, and logs it
    with the reason WHY.  Waves leave V out for SKIP_MS, in milliseconds.  */
void fleet_give_back_vm (struct cell *c, struct vm *v, const char *why,
                         uint32_t skip_ms);

/* handover.c: VMs that an owner may order.  */
/** Handles that our claim is the newest.  */
void handover_begin (struct cell *c);
/** Handles that the records have been read, which are fenced before: the
   former owner orders VMs until then.  */
void handover_on_recovered (struct cell *c);
/** Returns true if all VMs may be ordered, whoever ordered them before.  */
bool handover_is_over (const struct cell *c);
/** Returns from when on VM may be ordered; 0: at once.  */
uint64_t handover_orders_from_us (const struct cell *c, const char *vm);
/** Returns true if tasks may start on R: it is known to be on no VM that the
    former owner may yet order.  */
bool handover_admits_starts (const struct cell *c, const struct runner *r);
/** Has the next record name V, which is to be ordered; V is VM_NAMED once that
    is stored.  */
void handover_want_order (struct cell *c, struct vm *v);
/** Returns true if the record has to be appended.  */
bool handover_is_dirty (const struct cell *c);
/** Adds the record to A.  */
void handover_add_record (struct cell *c, struct append *a);

/* vm_orders.c: orders for VMs to the cloud.  */
/** Counts the window of orders anew and refills its budget; called in each
   tick before orders are sent.  */
void vm_orders_tick (struct cell *c);
/** Returns true if a VM without tasks can be taken out of use for an order,
    which can be sent once its name is stored.  */
bool vm_orders_admit_empty (const struct cell *c);
/** Returns true if another VM can be emptied for an order: the cloud takes
    orders, and those for the VMs being emptied can be sent soon.  Moves leave
    some room for waves, which have a deadline.  */
bool vm_orders_admit_emptying (const struct cell *c, bool is_move);
/** Sends V's order again if its outcome is not known, the time for that has
    come, the window allows, and this entry has shown that it is the owner.  */
void vm_orders_repeat (struct cell *c, struct vm *v);
/** Sends the order for V, which is empty, if its name is stored, the window
    allows and this entry has shown that it is the owner; gives V back while
    orders fail or the store takes no records; and else leaves V for the next
    tick.  */
void vm_orders_send_or_give_back (struct cell *c, struct vm *v);

/* places.c: places for long-running tasks that have to start.  */
/** Makes a new plan, which replaces that of the last tick.  */
void places_plan (struct cell *c);
/** Adds a place for T, on another runner than its own, to the plan unless it
    names one.  Returns false if there is none, or the plan is full.  */
bool places_plan_task (struct cell *c, struct task *t);
/** The same for all long-running tasks of R.  Returns false, and adds no
    place, if one of them has none.  */
bool places_plan_runner (struct cell *c, struct runner *r);
/** Returns true if the plan names a place for T.  */
bool places_is_planned (const struct cell *c, const struct task *t);
/** Returns the number of tasks that the plan names a place on R for.  */
uint32_t places_planned_count (const struct cell *c, const struct runner *r);

/* waves.c.  */
/** Notes that the wave that chose V last needs no more maintenance of V.  */
void waves_mark_done (struct cell *c, const struct vm *v);

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
