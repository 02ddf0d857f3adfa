/* ledger.h -- one member's account of the tokens it gave and received.

   A token is the right to run one request of a team, or to use one slot of a
   worker; both kinds of limit are counted by the same code.  For each limit

     holding = issued + received - given        running <= holding

   where issued follows from the log alone (core/issuance.h) and the rest is
   known to this member only.  The giver debits a transfer before it sends the
   message and resends it until it is acknowledged.  The receiver credits each
   sequence number of a link once, in any order within a window.  So a lost
   message withholds capacity for a while, but the limit is never exceeded.

   The link to a gone member (one that left or was declared lost) is closed:
   nothing is credited over it any more, and its net amount is settled through
   the log.  */

#ifndef FTK_CORE_LEDGER_H
#define FTK_CORE_LEDGER_H

#include "port/peer_message.h"

#include <talloc.h>

/** How far a transfer's sequence number may be ahead of the last one credited
    in order; ahead_bits has one bit for each number.  */
#define LEDGER_WINDOW_COUNT 64

/** A transfer sent and not yet acknowledged.  */
struct ledger_transfer
{
  uint64_t sequence;
  uint32_t limit;
  uint32_t token_count;
};

/** The transfers exchanged with one other member.  */
struct ledger_link
{
  uint64_t peer;              /**< Incarnation of the other member.  */
  bool closed;                /**< The other member is gone.  */
  bool ack_due;               /**< An acknowledgement is to be sent.  */
  uint64_t sent_sequence;     /**< Sequence of the last transfer given.  */
  uint64_t received_sequence; /**< Transfers up to it are credited.  */
  uint64_t ahead_bits;        /**< Bit N: received_sequence + 1 + N is
                                 credited.  */
  struct ledger_transfer *unacked; /**< In order of sequence.  */
  uint32_t unacked_count;
  uint32_t unacked_capacity;
  uint64_t resend_at_us; /**< When to send the unacked transfers again.  */
  int64_t *net;          /**< Received less given, by limit.  */
};

/** All links of one member.  */
struct ledger
{
  struct ledger_link **links;
  uint32_t link_count;
  uint32_t limit_count;
  int64_t *net;            /**< Sum over the links, by limit.  */
  uint64_t transfer_count; /**< Transfers given.  */
};

/** Returns an empty ledger as a child of MEM.  */
struct ledger *ledger_new (TALLOC_CTX *mem);

/** Makes room for LIMIT_COUNT limits, if there is less.  */
void ledger_grow (struct ledger *l, uint32_t limit_count);

/** Returns the link with PEER; adds one if there is none.  */
struct ledger_link *ledger_link_get (struct ledger *l, uint64_t peer);

/** Returns the link with PEER, or NULL.  */
struct ledger_link *ledger_link_find (const struct ledger *l, uint64_t peer);

/** Debits COUNT tokens of LIMIT given over K and returns the sequence number
    of the transfer.  The caller has checked that they are idle.  */
uint64_t ledger_give (struct ledger *l, struct ledger_link *k, uint32_t limit,
                      uint32_t count);

/** Returns true if the transfer SEQUENCE of K's peer was credited.  */
bool ledger_is_credited (const struct ledger_link *k, uint64_t sequence);

/** Credits a transfer received over K and returns true, unless it was credited
    before or is too far ahead.  Marks an acknowledgement as due in any case,
    except on a closed link, where it does nothing.  */
bool ledger_credit (struct ledger *l, struct ledger_link *k, uint64_t sequence,
                    uint32_t limit, uint32_t count);

/** Drops the unacknowledged transfers up to SEQUENCE, which K's peer has
    credited.  */
void ledger_acknowledge (struct ledger_link *k, uint64_t sequence);

/** Removes and frees link K after its settlement, which made its net amount
    part of what is issued.  */
void ledger_remove_link (struct ledger *l, struct ledger_link *k);

/** Returns true if the net amounts of L are the sums over its links.  */
bool ledger_audit (const struct ledger *l);

#endif
