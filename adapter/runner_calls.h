/* runner_calls.h -- orders to runners, each sent only to the boot of its
   runner that it is for.

   An order names its runner by an id that a restart keeps.  What it says of
   leases and ends counts for one boot only; another one would take it all the
   same.  But no connection outlasts the process at its other end.  So an order
   that is for one boot is sent only on a connection on which that boot has
   answered.  When none is free, a poll that carries nothing opens one.  */

#ifndef FTK_ADAPTER_RUNNER_CALLS_H
#define FTK_ADAPTER_RUNNER_CALLS_H

#include "port/cell_action.h"

#include <talloc.h>
#include <tevent.h>

struct runner_calls;

/** How an order is sent.  */
struct runner_call
{
  const struct runner_order *order; /**< Valid until on_done is called.  */
  /** Called before the order is sent; returns ORDER_DONE, or the outcome of an
      order that is not to be sent any more.  */
  enum order_outcome (*check) (void *state);
  /** Called once with the result, an event of CELL_RUNNER_RESULT that it takes
      over.  */
  void (*on_done) (void *state, struct cell_event *e);
  void *state; /**< Passed to both.  */
};

/** Returns an empty set of calls on LOOP as a child of MEM, with at most
    CONNECTION_LIMIT_COUNT connections to a runner; or NULL when memory is out.
    Freeing it ends its calls without their results.  */
struct runner_calls *runner_calls_new (TALLOC_CTX *mem,
                                       struct tevent_context *loop,
                                       uint32_t connection_limit_count);

/** Sends the order of X, which is copied.  Its timeout includes the time until
    there is a connection for it; an order that has not been sent by then has
    the outcome ORDER_BUSY.  May call on_done before it returns.  */
void runner_calls_send (struct runner_calls *c, const struct runner_call *x);

#endif
