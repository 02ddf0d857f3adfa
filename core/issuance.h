/* issuance.h -- how many tokens of each limit are issued to each member.

   Part of the deterministic control state: it changes only when a record of
   the log is applied, so all entries agree at the same offset.  Invariant, for
   each limit at every offset:

     total = unissued + sum of tokens over live members and gone members

   A member holds what is issued to it, plus what it received, less what it
   gave (core/ledger.h).  A gone member is one that left or was declared lost.
   Each live member that may share a ledger link with it settles: it appends
   the net amount of the link, which moves from the gone member's tokens to its
   own.  What is left is issued again only when all of them have settled and
   every task lease that the gone member could have held has lapsed: what it
   started may run on its worker until the timeout of the route.  */

#ifndef FTK_CORE_ISSUANCE_H
#define FTK_CORE_ISSUANCE_H

#include "port/record.h"

#include <glib.h>
#include <talloc.h>

/** What is issued, with an index of the limits by kind and name.  */
struct issuance
{
  /** Limits are added but not removed: an index stays valid for the life of
      the process.  */
  struct issuance_table table;
  GHashTable *index; /**< Maps kind and name of a limit to its index + 1.  */
};

/** Returns an empty table as a child of MEM.  */
struct issuance *issuance_new (TALLOC_CTX *mem);

/** Writes a digest of the content of S to DIGEST (DIGEST_BYTES).  */
void issuance_digest (const struct issuance *s, uint8_t *digest);

/** Copies the table of S to T, whose arrays become children of MEM.  */
void issuance_copy (const struct issuance *s, TALLOC_CTX *mem,
                    struct issuance_table *t);

/** Replaces the content of S by a copy of T.  */
void issuance_restore (struct issuance *s, const struct issuance_table *t);

/** Writes the digest that a table restored from T would have.  */
void issuance_table_digest (const struct issuance_table *t, uint8_t *digest);

/** Returns the index of the limit REF, or -1.  */
int32_t issuance_find_ref (const struct issuance *s,
                           const struct limit_ref *ref);

/** Returns the index of the limit of KIND called NAME, or -1.  */
int32_t issuance_find_limit (const struct issuance *s, enum limit_kind kind,
                             const char *name);

/** Returns what is issued to the member INCARNATION, or NULL.  */
const struct issuance_member *issuance_find_member (const struct issuance *s,
                                                    uint64_t incarnation);

/** Returns true if INCARNATION has settled with the gone member G.  */
bool issuance_has_settled (const struct issuance_member *g,
                           uint64_t incarnation);

/** Returns true if INCARNATION is live, may share a link with the gone member
    G, and has not settled with it.  */
bool issuance_must_settle (const struct issuance *s,
                           const struct issuance_member *g,
                           uint64_t incarnation);

/** Adopts the limits of the tables F.  A reduction of a limit is spread over
    the live members and may leave them with negative amounts, a debt.  An
    increase first returns to each member what reductions took from it; the
    rest is spread over the live members.  */
void issuance_on_config (struct issuance *s, const struct config *f,
                         uint64_t at_ms);

/** Adds a member.  The first of an empty fleet gets what is unissued; a later
    one gets nothing until others transfer tokens to it.  */
void issuance_on_join (struct issuance *s, uint64_t incarnation,
                       uint64_t at_ms);

/** Marks a member as gone by the record at OFFSET.  Settlement is due at once
    if it left IDLE, with nothing running, or else when every task lease that
    it may have held has lapsed.  */
void issuance_on_gone (struct issuance *s, uint64_t incarnation,
                       uint64_t offset, uint64_t at_ms, bool idle);

/** Applies the settlement R of one member with a gone one.  Returns false and
    changes nothing if it is not due yet, was done before, or names an unknown
    member or limit.  */
bool issuance_on_settle (struct issuance *s, const struct record_settle *r,
                         uint64_t at_ms);

/** Returns true if the invariant above holds for every limit.  */
bool issuance_audit (const struct issuance *s);

#endif
