/* core.h -- the decision core of one entry.

   The core has no I/O, clock, threads or codecs.  It is deterministic: the
   same events produce the same actions, byte for byte.  */

#ifndef FTK_CORE_CORE_H
#define FTK_CORE_CORE_H

#include "port/action.h"
#include "port/event.h"

#include <talloc.h>

struct core;

/** How the entries divide the fleet's limits among them.  */
enum limit_policy
{
  LIMIT_LEDGER,       /**< Tokens move with demand and team shares.  */
  LIMIT_STATIC_SPLIT, /**< Bench baseline: equal parts per member.  */
  LIMIT_FIRST_COME    /**< Bench baseline: by order of arrival only.  */
};

/** Settings of an entry that the core uses.  */
struct core_settings
{
  char vm[NAME_BYTES];
  char zone[NAME_BYTES];
  char peer_address[ADDRESS_BYTES];
  char operator_address[ADDRESS_BYTES]; /**< Address for fulmartackctl.  */
  uint64_t boot_id; /**< Random; makes command ids unique per process.  */
  uint32_t stop_limit_ms;    /**< Timeout of a planned stop.  */
  uint32_t log_age_limit_ms; /**< Age of the last log read up to which new
                                work is admitted.  */
  uint32_t max_body_bytes;   /**< Largest request body.  */
  enum limit_policy limit_policy;
};

/** Returns a core with a copy of *S as a talloc child of MEM, or NULL if out
    of memory.  */
struct core *core_new (TALLOC_CTX *mem, const struct core_settings *s);

/** Handles E and adds the resulting actions to OUT.  Takes over the blob and
    the record inside E, but not E itself.  */
void core_step (struct core *c, struct event *e, struct actions *out);

#endif
