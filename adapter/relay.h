/* relay.h -- the duty that forwards calls between entries.

   It accepts links from other entries, whose calls go to the cell, and keeps
   one link to the owner of the cell.  A link without a message for four
   heartbeat intervals is closed: the other end may be frozen or
   disconnected.  */

#ifndef FTK_ADAPTER_RELAY_H
#define FTK_ADAPTER_RELAY_H

#include "adapter/duty.h"
#include "adapter/line_log.h"
#include "adapter/site_settings.h"
#include "port/blob.h"

/** An element of the relay duty's ring.  */
struct relay_command
{
  enum
  {
    RELAY_SEND_TO_OWNER, /**< body: a call, for the owner.  */
    RELAY_SEND_ON_LINK, /**< body: a reply, for the entry linked by link_id. */
    RELAY_SEND_ORDERS,  /**< body: an order batch, made at decided_at_us, for
                           the entry linked by link_id.  */
    RELAY_SEND_STATES,  /**< body: states of jobs, for the entry linked by
                           link_id, or, if that is 0, for those that were sent
                           any before.  */
    RELAY_SET_HEARTBEAT, /**< degraded, cpu_milli, followed_token, view,
                            entry_count: sent from now on.  */
    RELAY_SET_OWNER      /**< address: the owner's relay; empty: no owner.  */
  } kind;
  uint64_t link_id;
  uint64_t decided_at_us;
  bool degraded;
  uint64_t followed_token;
  enum store_view view;
  uint32_t entry_count;
  uint32_t cpu_milli;
  struct blob *body; /**< An encoded message; a reference.  */
  char address[ADDRESS_BYTES];
};

struct relay;

/** Returns a relay that listens on the relay address in S and posts its events
    to CELL, its duty not yet started; or NULL with a message in TEXT of
    TEXT_BYTES.  */
struct relay *relay_new (const struct site_settings *s, struct ring *cell,
                         struct line_log *log, char *text);
/** Sets the ring that gets the orders which this entry sends for the owner, as
    struct cell_action of kind CELL_DO_ORDER; call before the duty is started.
    Without a ring this entry takes none.  */
void relay_set_orders (struct relay *r, struct ring *orders);
/** Returns the duty, to start and stop it.  Its ring takes struct
    relay_command.  */
struct duty *relay_duty (struct relay *r);
/** Closes all links and frees R, whose duty has ended; NULL is allowed.  */
void relay_free (struct relay *r);

#endif
