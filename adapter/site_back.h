/* site_back.h -- the duty that sends orders to runners and to the cloud, and
   reads the cloud's list of VMs.  */

#ifndef FTK_ADAPTER_SITE_BACK_H
#define FTK_ADAPTER_SITE_BACK_H

#include "adapter/duty.h"
#include "adapter/line_log.h"
#include "adapter/site_settings.h"
#include "port/cell_action.h"

struct site_back;

/** Returns the duty, whose events with the answers go to CELL; or NULL when
    memory or descriptors are out.  */
struct site_back *site_back_new (const struct site_settings *s,
                                 struct ring *cell, struct line_log *log);
/** Returns the duty, to start and stop it.  Its ring takes struct cell_action
    of the kinds CELL_DO_ORDER, CELL_DO_VM and CELL_DO_LIST_VMS.  */
struct duty *site_back_duty (struct site_back *b);
void site_back_free (struct site_back *b);

#endif
