/* issue.h -- how many tokens of each limit are issued to each member.

   Part of the deterministic control state: it changes only when a record is
   applied, so all readers agree at the same offset.  The law that it keeps,
   for each limit at every offset:

     total = unissued + sum of tokens over live members and gone members

   A member holds what is issued to it, plus what it received, less what it
   gave (core/ledger.h).  A gone member's tokens are issued again only when
   every live member that could share a link with it has settled, and every
   task lease that it could have held has lapsed.  */

#ifndef FTK_CORE_ISSUE_H
#define FTK_CORE_ISSUE_H

#include "port/record.h"

#include <glib.h>
#include <talloc.h>

struct issue
{
  /** Its limits only grow: an index stays valid for the process's life.  */
  struct issue_table table;
  GHashTable *index; /**< Limit's key to index + 1.  */
};

/** Returns an empty table as a child of MEM.  */
struct issue *issue_new (TALLOC_CTX *mem);

/** Writes a digest of all of S.  */
void issue_digest (const struct issue *s, uint8_t *digest);

/** Copies S to T, whose rows become children of MEM.  */
void issue_copy (const struct issue *s, TALLOC_CTX *mem,
                 struct issue_table *t);

/** Replaces the content of S by T's.  */
void issue_restore (struct issue *s, const struct issue_table *t);

/** Writes the digest that T has once restored.  */
void issue_table_digest (const struct issue_table *t, uint8_t *digest);

/** Returns the index of REF, or -1.  */
int32_t issue_find (const struct issue *s, const struct limit_ref *ref);

/** Returns the index of the limit of KIND called NAME, or -1.  */
int32_t issue_find_name (const struct issue *s, enum limit_kind kind,
                         const char *name);

/** Returns the column of INCARNATION, or NULL.  */
const struct issue_member *issue_member_find (const struct issue *s,
                                              uint64_t incarnation);

/** Returns true if INCARNATION has settled with the gone member G.  */
bool issue_has_settled (const struct issue_member *g, uint64_t incarnation);

/** Returns true if INCARNATION is live and may share a link with G.  */
bool issue_must_settle (const struct issue *s, const struct issue_member *g,
                        uint64_t incarnation);

/** Takes new limits: a raise is spread over the live members, and so is a
    lowering, which may leave them in debt.  */
void issue_on_config (struct issue *s, const struct config *f);

/** Adds a member: the first of an empty fleet gets what is unissued, later
    ones nothing.  */
void issue_on_join (struct issue *s, uint64_t incarnation, uint64_t at_ms);

/** Marks a member as gone; its tokens wait for settlement.  */
void issue_on_gone (struct issue *s, uint64_t incarnation, uint64_t offset,
                    uint64_t at_ms);

/** Folds one member's link with a gone one.  Returns false if it is not due,
    was done before, or names no such link.  */
bool issue_on_settle (struct issue *s, const struct record_settle *r,
                      uint64_t at_ms);

/** Returns true if the law above holds for every limit.  */
bool issue_audit (const struct issue *s);

#endif
