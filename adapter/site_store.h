/* site_store.h -- the duty that speaks with the platform's store.

   It follows the operators' records and the claims of the cell by itself, and
   the list of runners while this entry owns the cell.  */

#ifndef FTK_ADAPTER_SITE_STORE_H
#define FTK_ADAPTER_SITE_STORE_H

#include "adapter/duty.h"
#include "adapter/line_log.h"
#include "adapter/site_settings.h"
#include "port/blob.h"

struct site_store;

/** What the cell asks of the store (tag of an operation).  */
enum store_kind
{
  STORE_JOIN,
  STORE_LEAVE,
  STORE_FIND,
  STORE_CLAIM,
  STORE_RECOVER,
  STORE_APPEND,
  STORE_FOLLOW,
  STORE_STATUS
};

struct store_claim
{
  uint64_t at_offset; /**< Valid only if the topic ends there.  */
  bool released;
  uint32_t best_cpu_milli;
  uint32_t doubt_ms;
  uint64_t wall_ms;
};

struct store_operation
{
  enum store_kind kind;
  uint64_t token;           /**< RECOVER, APPEND.  */
  uint64_t sequence;        /**< APPEND.  */
  struct store_claim claim; /**< CLAIM.  */
  bool flag;                /**< FOLLOW: begin.  STATUS: completed.  */
  uint64_t number;          /**< STATUS: of the wave.  */
  struct blob *body;        /**< APPEND: records.  */
};

struct site_store *site_store_new (const struct site_settings *s,
                                   struct ring *cell, struct line_log *log);
struct duty *site_store_duty (struct site_store *t);
/** Begins to follow; before the duty is started.  */
void site_store_begin (struct site_store *t);
void site_store_free (struct site_store *t);

#endif
