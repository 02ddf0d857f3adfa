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
enum store_operation_kind
{
  STORE_JOIN,
  STORE_LEAVE,
  STORE_FIND_OWNER,
  STORE_CLAIM,
  STORE_RECOVER,
  STORE_APPEND,
  STORE_FOLLOW_RUNNERS,
  STORE_WAVE_STATE
};

struct store_operation
{
  enum store_operation_kind kind;
  uint64_t token;     /**< RECOVER, APPEND.  */
  uint64_t sequence;  /**< APPEND.  */
  uint64_t at_offset; /**< CLAIM.  */
  bool flag;          /**< CLAIM: released.  FOLLOW: begin.  */
  uint64_t number;    /**< STATUS: of the wave.  CLAIM: processor share.  */
  struct blob *body;  /**< APPEND: records.  */
};

struct site_store *site_store_new (const struct site_settings *s,
                                   struct ring *cell, struct line_log *log);
struct duty *site_store_duty (struct site_store *t);
/** Begins to follow; before the duty is started.  */
void site_store_follow (struct site_store *t);
void site_store_free (struct site_store *t);

#endif
