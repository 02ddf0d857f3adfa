/* claim.h -- what a claim of the cell tells the next owner.  */

#ifndef FTK_PORT_CLAIM_H
#define FTK_PORT_CLAIM_H

#include "port/types.h"

/** Most former owners that a claim names.  */
#define FORMER_OWNER_LIMIT_COUNT 8

/** Owners that were lost and may not know it yet: they may still act.  */
struct former_owners
{
  bool known; /**< names are all of them.  */
  uint32_t count;
  char names[FORMER_OWNER_LIMIT_COUNT][NAME_BYTES];
};

/** The contents of a claim besides its maker.  Fields that a claim of an
    earlier version lacks read as zero.  */
struct claim_terms
{
  bool released;             /**< It gives the cell up.  */
  uint32_t best_cpu_milli;   /**< Largest CPU share that its maker knew; 0:
                                none.  */
  uint64_t slow_yield_at_ms; /**< When an owner on a slow VM last gave the cell
                                up, in Unix time; 0: not known.  */
  uint64_t stopped_age_ms;   /**< In a release by an entry that is stopped: for
                                how long it ran; 0: another reason.  */
  bool vm_orders_recorded;   /**< The record of VM orders names every VM that
                                owners up to its maker ordered lately, and
                                those that its maker will.  */
  uint32_t unconfirmed_ms;   /**< In a release: for how much longer runs may go
                                on that an owner before its maker started, on
                                runners that have not answered its maker.  */
  struct former_owners former; /**< Owners before its maker that may act.  */
  bool no_successor; /**< In a release: its maker knew no other entry that
                        could take the cell.  */
};

#endif
