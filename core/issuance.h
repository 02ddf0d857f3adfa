/* issuance.h -- how many tokens of each limit are issued to each member.

   Part of the deterministic control state: it changes only when a record is
   applied, so all readers agree at the same offset.  The law that it keeps,
   for each limit at every offset:

     total = unissued + sum of tokens over live members and gone members

   A member holds what is issued to it, plus what it received, less what it
   gave (core/ledger.h).  A gone member's tokens are issued again only when
   every live member that could share a link with it has settled, and every
   task lease that it could have held has lapsed.  */

#ifndef FTK_CORE_ISSUANCE_H
#define FTK_CORE_ISSUANCE_H

#include "port/record.h"

#include <glib.h>
#include <talloc.h>

struct issuance
{
  /** Its limits only grow: an index stays valid for the process's life.  */
  struct issuance_table table;
  GHashTable *index; /**< Limit's key to index + 1.  */
};

/** Returns an empty table as a child of MEM.  */
struct issuance *issuance_new (TALLOC_CTX *mem);

/** Writes a digest of all of S.  */
void issuance_digest (const struct issuance *s, uint8_t *digest);

/** Copies S to T, whose rows become children of MEM.  */
void issuance_copy (const struct issuance *s, TALLOC_CTX *mem,
                    struct issuance_table *t);

/** Replaces the content of S by T's.  */
void issuance_restore (struct issuance *s, const struct issuance_table *t);

/** Writes the digest that T has once restored.  */
void issuance_table_digest (const struct issuance_table *t, uint8_t *digest);

/** Returns the index of REF, or -1.  */
int32_t issuance_find_ref (const struct issuance *s,
                           const struct limit_ref *ref);

/** Returns the index of the limit of KIND called NAME, or -1.  */
int32_t issuance_find_limit (const struct issuance *s, enum limit_kind kind,
                             const char *name);

/** Returns the column of INCARNATION, or NULL.  */
const struct issuance_member *issuance_find_member (const struct issuance *s,
                                                    uint64_t incarnation);

/** Returns true if INCARNATION has settled with the gone member G.  */
bool issuance_has_settled (const struct issuance_member *g,
                           uint64_t incarnation);

/** Returns true if INCARNATION is live and may share a link with G.  */
bool issuance_must_settle (const struct issuance *s,
                           const struct issuance_member *g,
                           uint64_t incarnation);

/** Takes new limits: a raise is spread over the live members, and so is a
    lowering, which may leave them in debt.  */
void issuance_on_config (struct issuance *s, const struct config *f,
                         uint64_t at_ms);

/** Adds a member: the first of an empty fleet gets what is unissued, later
    ones nothing.  */
void issuance_on_join (struct issuance *s, uint64_t incarnation,
                       uint64_t at_ms);

/** Marks a member as gone; its tokens wait for settlement, which is due at
    once if it left IDLE, else when every lease it may have held has lapsed. */
void issuance_on_gone (struct issuance *s, uint64_t incarnation,
                       uint64_t offset, uint64_t at_ms, bool idle);

/** Folds one member's link with a gone one.  Returns false if it is not due,
    was done before, or names no such link.  */
bool issuance_on_settle (struct issuance *s, const struct record_settle *r,
                         uint64_t at_ms);

/** Returns true if the law above holds for every limit.  */
bool issuance_audit (const struct issuance *s);

#endif
