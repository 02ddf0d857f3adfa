/* control.h -- the deterministic control state.

   Every entry applies the log's records in offset order with this code, so
   all of them hold the same state at the same offset.  A command is judged
   when it is applied: a configuration made against an older version, for
   example, is rejected by every reader alike.  */

#ifndef FTK_CORE_CONTROL_H
#define FTK_CORE_CONTROL_H

#include "core/issuance.h"
#include "port/record.h"

#include <glib.h>
#include <talloc.h>

/** Command ids remembered; one that comes again later than this many other
    commands is taken for a new one.  */
#define REMEMBERED_COMMAND_COUNT 2048

struct vm_control;

struct control
{
  uint64_t last_append_at_ms; /**< Newest time of append read from the log.  */
  uint64_t next_offset;       /**< First offset not yet applied.  */
  uint64_t changed_offset;    /**< Offset + 1 of the last change; 0: none.  */
  uint64_t config_version; /**< Offset + 1 of the record in force; 0: none.  */
  struct config *config;   /**< Tables in force, or NULL.  */
  struct granted_key *keys; /**< Sorted by digest.  */
  uint32_t key_count;
  struct member *members; /**< Sorted by incarnation.  */
  uint32_t member_count;
  struct vm_control *vm_control; /**< VMs, drains, moves and waves.  */
  struct issuance *issuance;     /**< Tokens issued to each member.  */
  GHashTable *applied_ids; /**< Command ids seen, so each counts once.  */
  GQueue *command_ids;     /**< The same, oldest first.  */
};

/** What became of a record.  */
enum apply_result
{
  APPLY_OK,
  APPLY_DUPLICATE, /**< Its id or offset was applied before.  */
  APPLY_REJECTED   /**< Refused on the state at its offset.  */
};

/** Returns an empty control state as a child of MEM.  */
struct control *control_new (TALLOC_CTX *mem);

/** Applies R, read at OFFSET.  Takes what it keeps out of R's tree; the rest
    stays the caller's.  */
enum apply_result control_apply (struct control *c, uint64_t offset,
                                 struct record *r);

/** Passes over OFFSET, whose record was malformed.  */
void control_skip (struct control *c, uint64_t offset);

/** Returns the key with DIGEST, or NULL.  Digests are compared in constant
    time.  */
const struct granted_key *control_find_key (const struct control *c,
                                            const uint8_t *digest);

/** Returns the route of QUEUE, or NULL.  */
const struct route_config *control_find_route (const struct control *c,
                                               const char *queue);

/** Returns the index of TEAM in the tables, or -1.  */
int32_t control_team_index (const struct control *c, const char *team);

/** Returns the member on VM, or NULL.  */
const struct member *control_find_member (const struct control *c,
                                          const char *vm);

/** Returns the place of INCARNATION in the members, or -1.  */
int32_t control_member_index (const struct control *c, uint64_t incarnation);

/* checkpoint.c */

/** What a checkpoint says of the state of its reader.  */
enum checkpoint_match
{
  CHECKPOINT_SAME,
  CHECKPOINT_NOT_COMPARABLE, /**< Of another moment; not comparable.  */
  CHECKPOINT_DIFFERS
};

/** Writes the digest of the state to DIGEST (DIGEST_BYTES).  */
void control_digest (const struct control *c, uint8_t *digest);

/** Computes the digest of what K holds into DIGEST.  */
void checkpoint_digest (const struct checkpoint *k, uint8_t *digest);

/** Returns the state as a checkpoint, a child of MEM.  */
struct checkpoint *control_checkpoint (const struct control *c,
                                       TALLOC_CTX *mem);

/** Replaces the state by K's, whose tables it takes over; returns false and
    keeps the state if K does not match its own digest.  */
bool control_restore (struct control *c, struct checkpoint *k);

/** Compares the state with K.  */
enum checkpoint_match control_compare (const struct control *c,
                                       const struct checkpoint *k);

/** Remembers a command's id; returns false if it is known.  */
bool control_add_command_id (struct control *c, const char *id);

#endif
