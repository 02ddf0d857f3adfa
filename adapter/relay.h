/* relay.h -- the duty that passes calls between entries.

   It accepts links of other entries, whose calls go to the cell, and keeps one
   link to the owner of the cell.  A link without a word for a while is taken
   for dead: the other end may be frozen or cut off.  */

#ifndef FTK_ADAPTER_RELAY_H
#define FTK_ADAPTER_RELAY_H

#include "adapter/duty.h"
#include "adapter/line_log.h"
#include "adapter/site_settings.h"
#include "port/blob.h"

/** What the relay is told.  */
struct relay_command
{
  enum
  {
    RELAY_SEND_TO_OWNER, /**< body: a call to the owner.  */
    RELAY_SEND_ON_LINK,  /**< body: a reply on link_id.  */
    RELAY_SET_HEARTBEAT, /**< degraded, cpu_milli: said with each beat.  */
    RELAY_SET_OWNER      /**< address: of the owner, or empty.  */
  } kind;
  uint64_t link_id;
  bool degraded;
  uint32_t cpu_milli;
  struct blob *body;
  char address[ADDRESS_BYTES];
};

struct relay;

/** Returns a relay, its thread not yet started; or NULL with a message in
    TEXT of TEXT_BYTES.  */
struct relay *relay_new (const struct site_settings *s, struct ring *cell,
                         struct line_log *log, char *text);
struct duty *relay_duty (struct relay *r);
void relay_free (struct relay *r);

#endif
