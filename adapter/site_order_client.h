/* site_order_client.h -- the duty that carries orders to runners and the
 * cloud.  */

#ifndef FTK_ADAPTER_SITE_ORDER_CLIENT_H
#define FTK_ADAPTER_SITE_ORDER_CLIENT_H

#include "adapter/duty.h"
#include "adapter/line_log.h"
#include "adapter/site_settings.h"
#include "port/cell_action.h"

struct site_order_client;

struct site_order_client *site_order_client_new (const struct site_settings *s,
                                                 struct ring *cell,
                                                 struct line_log *log);
/** Its ring takes copies of CELL_DO_ORDER, CELL_DO_VM and CELL_DO_LIST_VMS. */
struct duty *site_order_client_duty (struct site_order_client *b);
void site_order_client_free (struct site_order_client *b);

#endif
