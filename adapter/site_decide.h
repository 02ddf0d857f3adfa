/* site_decide.h -- the duty that runs the cell.  */

#ifndef FTK_ADAPTER_SITE_DECIDE_H
#define FTK_ADAPTER_SITE_DECIDE_H

#include "adapter/duty.h"
#include "adapter/line_log.h"
#include "core/cell/cell.h"

struct site_decide;

/** Rings of the other duties.  */
struct site_outputs
{
  struct ring *front;
  struct ring *relay;
  struct ring *store;
  struct ring *order_client;
  struct line_log *log;
};

struct site_decide *site_decide_new (const struct cell_settings *s);
void site_decide_set_outputs (struct site_decide *d,
                              const struct site_outputs *o);
struct duty *site_decide_duty (struct site_decide *d);
/** Takes over the times of S; from any thread.  */
void site_decide_reload (struct site_decide *d, const struct cell_settings *s);
/** Begins a planned stop; from any thread.  */
void site_decide_stop (struct site_decide *d);
void site_decide_free (struct site_decide *d);

#endif
