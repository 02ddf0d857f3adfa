/* limit.h -- this entry's part of the fleet's limits, and how it is moved.

   limit.c            how much this entry may use; settlement of gone members
   demand_exchange.c  sends demand and holdings to the peers, stores theirs,
                      and computes the target from them
   transfer.c         gives tokens to peers and asks them for some

   Tokens are balanced within a group: the tokens of one team, or the slots of
   all workers of one pool.  Groups are numbered, teams first, then pools.
   Demand is reported by pool and column; a column is a team or, the last one,
   the requests without a team.  */

#ifndef FTK_CORE_LIMIT_H
#define FTK_CORE_LIMIT_H

#include "core/ledger.h"
#include "core/share.h"
#include "port/peer_message.h"

struct core;

/** The tokens of one group that a member holds.  */
struct peer_holding
{
  int32_t held_count;  /**< Negative: in debt.  */
  uint32_t idle_count; /**< Held tokens that no request uses.  */
};

/** What a peer reported; the arrays are parallel to the tables in force.  */
struct peer_view
{
  uint64_t incarnation;
  uint64_t heard_at_us;   /**< When its last message about limits came.  */
  uint64_t asked_at_us;   /**< When it was last asked for tokens.  */
  uint32_t *demand_count; /**< By pool and column.  */
  struct peer_holding *holdings; /**< By group.  */
};

/** Tokens to give to a peer as soon as they are idle.  */
struct planned_transfer
{
  uint32_t group;
  uint32_t token_count;
  uint64_t peer;
};

/** A gone member with which this one may have to settle.  */
struct pending_settlement
{
  uint64_t incarnation;
  uint64_t send_at_us; /**< When to append the settlement next.  */
};

/** The limits as this entry uses them.  */
struct limit_state
{
  struct ledger *ledger;
  uint64_t incarnation;  /**< The member that the ledger belongs to.  */
  const int64_t *issued; /**< Tokens issued to this entry, by limit;
                             NULL: not a member.  */
  struct peer_view **views;
  uint32_t view_count;

  /* Sizes and names of the tables that the arrays are made for.  */
  uint32_t team_count;
  uint32_t pool_count;
  uint32_t group_count;
  uint32_t column_count;
  char (*team_names)[NAME_BYTES]; /**< By column.  */
  char (*pool_names)[NAME_BYTES]; /**< By pool.  */

  /* What was last reported to the peers.  */
  uint32_t *sent_demand_count; /**< By pool and column.  */
  uint8_t *zero_repeat_count;  /**< By pool and column: how many more times to
                                  report that the demand is 0.  */
  struct peer_holding *sent_holdings; /**< By group.  */
  uint32_t refresh_part; /**< Part of the values to send again next time.  */
  uint64_t next_exchange_at_us;
  uint64_t last_sent_at_us; /**< When all peers were last sent a message.  */

  struct share_target *target; /**< Row 0 is this member; NULL: none yet.  */
  struct planned_transfer *planned_transfers;
  uint32_t planned_transfer_count;
  uint32_t *reserved_count; /**< Sum of the planned transfers, by group.  */
  uint32_t *shortage_count; /**< Tokens that this step lacked, by group.  */
  bool has_shortage;
  uint64_t *asked_at_us; /**< When tokens were last asked for, by group.  */

  struct pending_settlement *pending_settlements;
  uint32_t pending_settlement_count;
  uint64_t gave_up_count; /**< Unused.  */
};

/** Returns a state with an empty ledger as a child of MEM.  */
struct limit_state *limit_state_new (TALLOC_CTX *mem);

/* limit.c */

/** Returns how many requests of team INDEX this entry may run at once.  */
uint32_t core_team_limit (const struct core *c, uint32_t index);
/** Returns how many slots of VM INDEX this entry may use.  */
uint32_t core_vm_limit (const struct core *c, uint32_t index);
/** Returns how many slots of pool INDEX this entry may use; UINT32_MAX: only
    the limits of its VMs apply.  */
uint32_t core_pool_limit (const struct core *c, uint32_t index);
/** Returns the tokens that this entry holds of LIMIT; negative: in debt.  */
int64_t core_holding (const struct core *c, int32_t limit);
/** Updates the ledger and the views after a record changed the issued tokens
    or the members.  */
void core_limit_sync (struct core *c);
/** Rebuilds the arrays that run parallel to the tables.  */
void core_limit_adopt (struct core *c);
/** Does the periodic work: settlements, exchange of demand, transfers.  */
void core_limit_tick (struct core *c);
/** Asks peers for the tokens that this step lacked.  */
void core_ask_for_shortages (struct core *c);
/** Records that this step lacks COUNT tokens of GROUP.  */
void core_register_shortage (struct core *c, uint32_t group, uint32_t count);

/* demand_exchange.c */

/** Stores a peer's demand or holding in its view.  */
void core_on_demand (struct core *c, const struct peer_message *m);
/** Reports to the peers what changed, computes the target and plans the
    transfers.  */
void core_exchange_demand (struct core *c);
/** Returns the view of the member INCARNATION, or NULL.  */
struct peer_view *core_find_peer_view (const struct core *c,
                                       uint64_t incarnation);
/** Returns true if a message about limits from V's member was received within
    the last second.  */
bool core_view_is_fresh (const struct core *c, const struct peer_view *v);
/** Returns what this entry itself holds of GROUP.  Of a pool, the slots of VMs
    that take no work or are in quarantine do not count.  */
struct peer_holding core_own_holding (const struct core *c, uint32_t group);
/** Adds views of new members and drops those of gone ones.  */
void core_sync_peer_views (struct core *c);

/* transfer.c */

/** Credits a transfer.  */
void core_on_transfer (struct core *c, const struct peer_message *m);
/** Handles the acknowledgement of transfers.  */
void core_on_ack (struct core *c, const struct peer_message *m);
/** Gives a peer the tokens that it asks for out of the idle ones that are not
    reserved: at most what this member holds above its target if the group is
    contended, otherwise at most half of them, rounded up.  */
void core_on_ask (struct core *c, const struct peer_message *m);
/** Plans transfers of what this member holds above its target to members
    below theirs.  */
void core_plan_transfers (struct core *c);
/** Gives the planned tokens that are idle.  */
void core_run_planned_transfers (struct core *c);
/** Sends the acknowledgements due, and again the transfers that were not
    acknowledged in time.  */
void core_service_ledger_links (struct core *c);
/** Asks for COUNT tokens of GROUP, as a rule from the peer that reported the
    most idle ones.  */
void core_ask_peer (struct core *c, uint32_t group, uint32_t count);
/** Gives all idle tokens to the peers, each group's to the next peer in turn;
    called while this member stops.  */
void core_give_all_idle (struct core *c);
/** Adds a message of KIND to PEER to the output; the caller fills it.  */
struct peer_message *core_new_peer_message (struct core *c, uint64_t peer,
                                            enum peer_kind kind);

#endif
