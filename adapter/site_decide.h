/* site_decide.h -- the duty that runs the cell: it applies the events of its
   ring and hands the resulting actions to the other duties.  */

#ifndef FTK_ADAPTER_SITE_DECIDE_H
#define FTK_ADAPTER_SITE_DECIDE_H

#include "adapter/duty.h"
#include "adapter/line_log.h"
#include "core/cell/cell.h"

struct site_decide;

/** Rings of the duties that carry out the cell's actions, and the log.  */
struct site_outputs
{
  struct ring *front;
  struct ring *relay;
  struct ring *store;
  struct ring *order_client;
  struct line_log *log;
};

/** Returns a cell with settings S and its duty, which is not yet started and
    has no outputs yet; or NULL when memory or descriptors are out.  */
struct site_decide *site_decide_new (const struct cell_settings *s);
/** Sets where the actions go; call before the duty is started.  */
void site_decide_set_outputs (struct site_decide *d,
                              const struct site_outputs *o);
/** Returns the duty, to start and stop it.  Its ring takes struct
    cell_event.  */
struct duty *site_decide_duty (struct site_decide *d);
/** Replaces the times in the settings of the cell by those of S; callable from
    any thread.  */
void site_decide_reload (struct site_decide *d, const struct cell_settings *s);
/** Starts a planned stop; callable from any thread.  */
void site_decide_stop (struct site_decide *d);
void site_decide_free (struct site_decide *d);

#endif
