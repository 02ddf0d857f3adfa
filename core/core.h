/* core.h -- the decisions of one entry: no I/O, clock, thread or codec.

   core_step is a pure function of the state and the event: the same events
   give the same actions, byte for byte.  */

#ifndef FTK_CORE_CORE_H
#define FTK_CORE_CORE_H

#include "port/action.h"
#include "port/event.h"

#include <talloc.h>

struct core;

/** How the fleet's limits are divided among the entries (tag).  */
enum limit_policy
{
  LIMIT_LEDGER,       /**< Tokens follow demand and shares.  */
  LIMIT_STATIC_SPLIT, /**< Baseline: an equal part for each member.  */
  LIMIT_FIRST_COME    /**< Baseline: tokens and order by arrival alone.  */
};

/** What an entry knows of itself, from its settings.  */
struct core_settings
{
  char vm[NAME_BYTES];
  char zone[NAME_BYTES];
  char peer_address[ADDRESS_BYTES];
  char operator_address[ADDRESS_BYTES]; /**< For operators.  */
  uint64_t boot_id;          /**< Random; makes this process's command ids.  */
  uint32_t stop_limit_ms;    /**< Longest planned stop.  */
  uint32_t log_age_limit_ms; /**< Oldest reading of the log to act on.  */
  uint32_t max_body_bytes;   /**< Largest body of a request.  */
  enum limit_policy limit_policy;
};

/** Returns a core as a child of MEM, or NULL when memory is out.  */
struct core *core_new (TALLOC_CTX *mem, const struct core_settings *s);

/** Applies E and adds what is to be done to OUT.  The core takes over the
    blob and the record inside E; the event itself stays the caller's.  */
void core_step (struct core *c, struct event *e, struct actions *out);

#endif
