/* site_front.h -- the duty that takes clients' calls on jobs.

   Three listeners: clients, the readiness check, metrics.  */

#ifndef FTK_ADAPTER_SITE_FRONT_H
#define FTK_ADAPTER_SITE_FRONT_H

#include "adapter/duty.h"
#include "adapter/line_log.h"
#include "adapter/site_settings.h"
#include "core/cell/cell.h"

/** What the front is told.  */
struct front_command
{
  enum
  {
    FRONT_SEND_REPLY,
    FRONT_SET_READY,
    FRONT_SET_METRICS, /**< Newest figures.  */
    FRONT_CLOSE /**< Take no new call, tell exits when all are answered. */
  } kind;
  struct reply reply;
  bool ready;
  struct cell_metrics metrics;
};

struct site_front;

struct site_front *site_front_new (const struct site_settings *s,
                                   struct ring *cell, struct line_log *log,
                                   struct ring *exits, char *text);
struct duty *site_front_duty (struct site_front *f);
void site_front_free (struct site_front *f);

#endif
