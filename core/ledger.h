/* ledger.h -- one member's account of the tokens that it moved.

   The same code counts team ceilings and workers' slots.  For each limit

     holding = issued + received - given        running <= holding

   where issued is deterministic (core/issuance.h) and the rest is this
   member's own.  A transfer is debited before its message leaves; the receiver
   credits each sequence number of a link once, in any order within a window;
   the giver resends until it is acknowledged.  So a lost message loses
   capacity for a while, never the limit.  A link to a gone member is closed:
   nothing is credited over it any more, and its net amount is settled through
   the log. */

#ifndef FTK_CORE_LEDGER_H
#define FTK_CORE_LEDGER_H

#include "port/peer_message.h"

#include <talloc.h>

/** Transfers over a link that may come in any order.  */
#define LEDGER_WINDOW_COUNT 64

/** A transfer that was not acknowledged yet.  */
struct ledger_transfer
{
  uint64_t sequence;
  uint32_t limit;
  uint32_t token_count;
};

struct ledger_link
{
  uint64_t peer; /**< Incarnation of the other member.  */
  bool closed;   /**< The other member is gone.  */
  bool ack_due;
  uint64_t sent_sequence;          /**< Last one given.  */
  uint64_t received_sequence;      /**< All up to it are credited.  */
  uint64_t ahead_bits;             /**< Credited ones beyond it.  */
  struct ledger_transfer *unacked; /**< In order of sequence.  */
  uint32_t unacked_count;
  uint32_t unacked_capacity;
  uint64_t resend_at_us; /**< When to send the unacknowledged ones again.  */
  int64_t *net;          /**< Received less given, by limit.  */
};

struct ledger
{
  struct ledger_link **links;
  uint32_t link_count;
  uint32_t limit_count;
  int64_t *net; /**< Sum over the links, by limit.  */
  uint64_t transfer_count;
};

/** Returns an empty ledger as a child of MEM.  */
struct ledger *ledger_new (TALLOC_CTX *mem);

/** Makes room for LIMIT_COUNT limits.  */
void ledger_grow (struct ledger *l, uint32_t limit_count);

/** Returns the link with PEER, made if needed.  */
struct ledger_link *ledger_link_get (struct ledger *l, uint64_t peer);

/** Returns the link with PEER, or NULL.  */
struct ledger_link *ledger_link_find (const struct ledger *l, uint64_t peer);

/** Debits COUNT tokens of LIMIT given over K and returns the sequence
    number.  The caller has checked that they are idle.  */
uint64_t ledger_give (struct ledger *l, struct ledger_link *k, uint32_t limit,
                      uint32_t count);

/** Returns true if the transfer SEQUENCE of K's peer was credited.  */
bool ledger_is_credited (const struct ledger_link *k, uint64_t sequence);

/** Credits a transfer received over K unless it was credited before or is too
    far ahead; marks an acknowledgement as due.  Returns true if it was
    credited.  */
bool ledger_credit (struct ledger *l, struct ledger_link *k, uint64_t sequence,
                    uint32_t limit, uint32_t count);

/** Forgets the transfers up to SEQUENCE, which K's peer has credited.  */
void ledger_acknowledge (struct ledger_link *k, uint64_t sequence);

/** Forgets link K, whose net amount is now part of what is issued.  */
void ledger_remove_link (struct ledger *l, struct ledger_link *k);

/** Returns true if the sums of the ledger agree with its links.  */
bool ledger_audit (const struct ledger *l);

#endif
