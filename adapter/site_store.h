/* site_store.h -- the duty that calls the platform's store.

   It follows the topics with the operators' records and the claims of the cell
   all the time, and that with the registrations of runners while this entry
   owns the cell.  */

#ifndef FTK_ADAPTER_SITE_STORE_H
#define FTK_ADAPTER_SITE_STORE_H

#include "adapter/duty.h"
#include "adapter/line_log.h"
#include "adapter/site_settings.h"
#include "port/blob.h"

struct site_store;

/** What the cell asks of the store.  */
enum store_operation_kind
{
  STORE_JOIN, /**< Join the cell's group, or renew the membership.  */
  STORE_LEAVE,
  STORE_FIND_HOLDER,    /**< Ask which member is the cell's holder.  */
  STORE_CLAIM,          /**< Append a claim of the cell, or its release.  */
  STORE_RECOVER,        /**< Fence the records of jobs, then read them.  */
  STORE_APPEND,         /**< Append records of jobs.  */
  STORE_FOLLOW_RUNNERS, /**< Start or stop following the registrations of
                           runners.  */
  STORE_WAVE_STATE      /**< Tell the operators the state of a wave.  */
};

struct store_operation
{
  enum store_operation_kind kind;
  uint64_t token; /**< RECOVER, APPEND: fencing token of the claim.  */
  union
  {
    uint64_t sent_at_us; /**< JOIN: when the cell asked for it.  */
    uint64_t sequence;   /**< APPEND: number of the append under token.  */
  };
  uint64_t at_offset; /**< CLAIM: where the topic must end.  */
  union
  {
    bool following; /**< FOLLOW_RUNNERS: start; else stop.  */
    bool completed; /**< WAVE_STATE: completed; else running.  */
  };
  uint64_t wave;            /**< WAVE_STATE: number of the wave.  */
  struct claim_terms claim; /**< CLAIM.  */
  struct blob *body;        /**< APPEND: the framed records; a reference.  */
};

/** Returns a client of the store named in S that posts its events to CELL, its
    duty not yet started; or NULL when memory or descriptors are out.  */
struct site_store *site_store_new (const struct site_settings *s,
                                   struct ring *cell, struct line_log *log);
/** Returns the duty, to start and stop it.  Its ring takes struct
    store_operation.  */
struct duty *site_store_duty (struct site_store *t);
/** Starts following the operators' records and the claims; call before the
    duty is started.  */
void site_store_follow (struct site_store *t);
void site_store_free (struct site_store *t);

/** Returns how many records of the store were found malformed.  Callable from
    any thread.  */
uint64_t site_store_malformed_count (void);

#endif
