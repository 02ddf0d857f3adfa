/* claim.h -- what a claim of the cell tells the next owner.  */

#ifndef FTK_PORT_CLAIM_H
#define FTK_PORT_CLAIM_H

#include "port/types.h"

/** Most VMs that a claim names.  An owner with more of them names none.  */
#define CLAIM_VM_LIMIT_COUNT 2048

/** The contents of a claim besides its maker.  Fields that a claim of
    an earlier version lacks read as zero.  */
struct claim_terms
{
  bool released;             /**< It gives the cell up.  */
  uint32_t best_cpu_milli;   /**< Largest CPU share that its maker knew; 0:
                                none.  */
  uint64_t slow_yield_at_ms; /**< When an owner on a slow VM last gave the cell
                                up, in Unix time; 0: not known.  */
  uint32_t unconfirmed_ms;   /**< In a release: for how much longer runs may go
                                on that an owner before its maker started, on
                                runners that have not answered its maker.  */
  /** A release with this set names all VMs for which its maker, or an owner
      before, may have sent an order within the least time between the orders
      of two owners, or whose order may yet be carried out.  */
  bool vm_orders_known;
  uint32_t ordered_vm_count;
  char (*ordered_vms)[NAME_BYTES]; /**< Names of these VMs.  */
};

#endif
