/* control.h -- the deterministic control state.

   Every entry applies the log's records in offset order with this code, so
   all of them hold the same state at the same offset.  A command is judged
   when it is applied: a configuration made against an older version, for
   example, is rejected by every reader alike.  */

#ifndef FTK_CORE_CONTROL_H
#define FTK_CORE_CONTROL_H

#include "port/record.h"

#include <glib.h>
#include <talloc.h>

struct key
{
  uint8_t digest[DIGEST_BYTES];
  char team[NAME_BYTES];
};

struct member
{
  char vm[NAME_BYTES];
  char zone[NAME_BYTES];
  char peer_address[ADDRESS_BYTES];
  uint64_t incarnation; /**< Offset of its join record, plus 1.  */
};

struct vm_control;

struct control
{
  uint64_t next_offset;    /**< First offset not yet applied.  */
  uint64_t config_version; /**< Offset + 1 of the record in force; 0: none.  */
  struct config *config;   /**< Tables in force, or NULL.  */
  struct key *keys;        /**< Sorted by digest.  */
  uint32_t key_count;
  struct member *members; /**< Sorted by incarnation.  */
  uint32_t member_count;
  struct vm_control *vm_control; /**< VMs, drains, moves and waves.  */
  GHashTable *applied_ids; /**< Command ids seen, so each counts once.  */
};

/** What became of a record.  */
enum verdict
{
  VERDICT_APPLIED,
  VERDICT_REPEATED, /**< Its id or offset was applied before.  */
  VERDICT_REJECTED  /**< Refused on the state at its offset.  */
};

/** Returns an empty control state as a child of MEM.  */
struct control *control_new (TALLOC_CTX *mem);

/** Applies R, read at OFFSET.  Takes what it keeps out of R's tree; the rest
    stays the caller's.  */
enum verdict control_apply (struct control *c, uint64_t offset,
                            struct record *r);

/** Passes over OFFSET, whose record was malformed.  */
void control_skip (struct control *c, uint64_t offset);

/** Returns the key with DIGEST, or NULL.  Digests are compared in constant
    time.  */
const struct key *control_find_key (const struct control *c,
                                    const uint8_t *digest);

/** Returns the route of QUEUE, or NULL.  */
const struct route_config *control_find_route (const struct control *c,
                                               const char *queue);

/** Returns the index of TEAM in the tables, or -1.  */
int32_t control_team_index (const struct control *c, const char *team);

/** Returns the member on VM, or NULL.  */
const struct member *control_find_member (const struct control *c,
                                          const char *vm);

#endif
