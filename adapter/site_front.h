/* site_front.h -- the duty that serves HTTP: clients' calls on jobs, the
   readiness check and the metrics, each on an address of its own.  */

#ifndef FTK_ADAPTER_SITE_FRONT_H
#define FTK_ADAPTER_SITE_FRONT_H

#include "adapter/duty.h"
#include "adapter/line_log.h"
#include "adapter/site_settings.h"
#include "core/cell/cell.h"

/** An element of the front duty's ring.  */
struct front_command
{
  enum
  {
    FRONT_SEND_REPLY,  /**< Send reply to its call.  */
    FRONT_SET_READY,   /**< Answer the readiness check as ready says.  */
    FRONT_SET_METRICS, /**< Show metrics on the metrics page.  */
    FRONT_CLOSE /**< Accept no more connections, close those without a request;
                   report when every request is answered.  */
  } kind;
  struct reply reply;
  bool ready;
  struct cell_metrics metrics;
};

struct site_front;

/** Returns a server that posts clients' calls to CELL, its listeners open and
    its duty not yet started; or NULL with a message in TEXT of TEXT_BYTES.
    After FRONT_CLOSE it pushes one item to EXIT_RING when the last request of
    a client is answered or its connection is closed.  */
struct site_front *site_front_new (const struct site_settings *s,
                                   struct ring *cell, struct line_log *log,
                                   struct ring *exit_ring, char *text);
/** Returns the duty, to start and stop it.  Its ring takes struct
    front_command.  */
struct duty *site_front_duty (struct site_front *f);
/** Writes the counts of clients' connections by phase to TEXT, as members of a
    JSON object.  The duty must have been stopped.  */
void site_front_describe (const struct site_front *f, char *text,
                          size_t size_bytes);
void site_front_free (struct site_front *f);

#endif
