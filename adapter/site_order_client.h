/* site_order_client.h -- the duty that sends orders to runners and to the
   cloud, and reads the cloud's list of VMs.  */

#ifndef FTK_ADAPTER_SITE_ORDER_CLIENT_H
#define FTK_ADAPTER_SITE_ORDER_CLIENT_H

#include "adapter/duty.h"
#include "adapter/line_log.h"
#include "adapter/site_settings.h"
#include "port/cell_action.h"

struct site_order_client;

/** Returns a client that posts the answers as events to CELL, its duty not yet
    started; or NULL when memory or descriptors are out.  */
struct site_order_client *site_order_client_new (const struct site_settings *s,
                                                 struct ring *cell,
                                                 struct line_log *log);
/** Sets the ring of the relay, which takes the results of delegated orders to
    the owner; call before the duty is started.  */
void site_order_client_set_relay (struct site_order_client *c,
                                  struct ring *relay);
/** Returns the duty, to start and stop it.  Its ring takes struct cell_action
    of the kinds CELL_DO_ORDER, CELL_DO_ORDER_VM and CELL_DO_LIST_VMS.  */
struct duty *site_order_client_duty (struct site_order_client *c);
void site_order_client_free (struct site_order_client *c);

#endif
