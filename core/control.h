/* control.h -- the control state, replicated by applying the log.

   Every reader applies the log's records in order of offset with this code,
   so all hold the same state at the same offset.  Whether a command is valid
   is decided when it is applied: a configuration based on an older version,
   for example, is rejected by every reader.  */

#ifndef FTK_CORE_CONTROL_H
#define FTK_CORE_CONTROL_H

#include "core/issuance.h"
#include "port/record.h"

#include <glib.h>
#include <talloc.h>

/** Number of command ids remembered.  A command that is repeated after this
    many others counts as a new one.  */
#define REMEMBERED_COMMAND_COUNT 2048

struct vm_control;

struct control
{
  uint64_t last_append_at_ms; /**< Latest append time of an applied record. */
  uint64_t next_offset;       /**< First offset not applied.  */
  uint64_t changed_offset; /**< Offset of the last change, plus 1; 0: none.  */
  uint64_t config_version; /**< Offset of the tables, plus 1; 0: none.  */
  struct config *config;   /**< Tables in force, or NULL.  */
  struct granted_key *keys; /**< Sorted by digest.  */
  uint32_t key_count;
  struct member *members; /**< Sorted by incarnation.  */
  uint32_t member_count;
  struct vm_control *vm_control; /**< VMs, drains, moves and waves.  */
  struct issuance *issuance;     /**< Tokens issued to each member.  */
  GHashTable *command_id_set; /**< Set of the remembered command ids, those of
                              rejected commands included.  */
  GQueue *command_ids;        /**< The same ids, oldest first.  */
};

/** Result of applying a record.  */
enum apply_result
{
  APPLY_OK,
  APPLY_DUPLICATE, /**< Its id or offset was seen before.  */
  APPLY_REJECTED   /**< Invalid for the state at its offset.  */
};

/** Returns an empty control state as a talloc child of MEM.  */
struct control *control_new (TALLOC_CTX *mem);

/** Applies R, read at OFFSET.  May take over R's configuration; the caller
    frees R.  */
enum apply_result control_apply (struct control *c, uint64_t offset,
                                 struct record *r);

/** Skips OFFSET, whose record was malformed.  */
void control_skip (struct control *c, uint64_t offset);

/** Returns the granted key with DIGEST (DIGEST_BYTES), or NULL.  Digests are
    compared in constant time.  */
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

/** Returns the index of INCARNATION in the members, or -1.  */
int32_t control_member_index (const struct control *c, uint64_t incarnation);

/* checkpoint.c */

/** How the state of a reader compares with a checkpoint.  */
enum checkpoint_match
{
  CHECKPOINT_SAME,
  CHECKPOINT_NOT_COMPARABLE, /**< Its last change is another one.  */
  CHECKPOINT_DIFFERS
};

/** Writes the digest of the state to DIGEST (DIGEST_BYTES).  */
void control_digest (const struct control *c, uint8_t *digest);

/** Writes the digest of K's content, computed anew, to DIGEST.  */
void checkpoint_digest (const struct checkpoint *k, uint8_t *digest);

/** Returns a copy of the state as a checkpoint, a talloc child of MEM.  */
struct checkpoint *control_checkpoint (const struct control *c,
                                       TALLOC_CTX *mem);

/** Replaces the state by K's and takes over K's tables.  Returns false and
    keeps the state if K does not match its own digest.  */
bool control_restore (struct control *c, struct checkpoint *k);

/** Compares the state with K.  */
enum checkpoint_match control_compare (const struct control *c,
                                       const struct checkpoint *k);

/** Remembers the command id ID; returns false if it is remembered already.  */
bool control_add_command_id (struct control *c, const char *id);

#endif
