/* limit.h -- the fleet's limits as one entry uses them.

   limit.c   holdings, settlement of gone members, the policies
   exchange.c  demand and holdings told to and by the peers
   transfer.c  giving, asking and pushing tokens towards the target

   A group is what tokens are balanced over: a team, or the slots of a pool.
   Groups are numbered: teams first, then pools.  */

#ifndef FTK_CORE_LIMIT_H
#define FTK_CORE_LIMIT_H

#include "core/ledger.h"
#include "core/share.h"
#include "port/peer_message.h"

struct core;

/** What a peer told of one group.  */
struct peer_holding
{
  int32_t held_count;
  uint32_t idle_count;
};

/** What a peer told, parallel to the tables in force.  */
struct peer_view
{
  uint64_t incarnation;
  uint64_t heard_at_us;          /**< Its last message of any kind.  */
  uint64_t asked_at_us;          /**< When it was last asked.  */
  uint32_t *demand_count;        /**< By pool and team.  */
  struct peer_holding *holdings; /**< By group.  */
};

/** Tokens that are to go to a peer as soon as they are idle.  */
struct planned_transfer
{
  uint32_t group;
  uint32_t token_count;
  uint64_t peer;
};

/** A gone member with which this one has to settle.  */
struct pending_settlement
{
  uint64_t incarnation;
  uint64_t send_at_us; /**< When to append the settlement (again).  */
};

struct limit_state
{
  struct ledger *ledger;
  uint64_t incarnation;  /**< That the ledger is of.  */
  const int64_t *issued; /**< To this member, by limit; NULL: no member.  */
  struct peer_view **views;
  uint32_t view_count;

  uint32_t team_count; /**< Of the tables that the arrays are made for.  */
  uint32_t pool_count;
  uint32_t group_count;
  uint32_t column_count;              /**< Teams and "no team".  */
  char (*team_names)[NAME_BYTES];     /**< By column.  */
  char (*pool_names)[NAME_BYTES];     /**< By pool.  */
  uint32_t *sent_demand_count;        /**< By pool and column.  */
  uint8_t *zero_repeat_count;         /**< Times to tell a zero again.  */
  struct peer_holding *sent_holdings; /**< By group.  */
  uint32_t refresh_part;              /**< Next of them to send anyway.  */
  uint64_t next_exchange_at_us;
  uint64_t last_sent_at_us;

  struct share_target *target; /**< This member is row 0.  */
  struct planned_transfer *planned_transfers;
  uint32_t planned_transfer_count;
  uint32_t *reserved_count; /**< Idle tokens spoken for, by group.  */
  uint32_t *shortage_count; /**< Tokens missed in this step, by group.  */
  bool has_shortage;
  uint64_t *asked_at_us; /**< Last ask, by group.  */

  struct pending_settlement *pending_settlements;
  uint32_t pending_settlement_count;
  uint64_t gave_up_count; /**< Transfers made, for the metrics.  */
};

/** Returns an empty state as a child of MEM.  */
struct limit_state *limit_state_new (TALLOC_CTX *mem);

/* limit.c */

/** Returns how many requests of team INDEX may run on this entry now.  */
uint32_t core_team_limit (const struct core *c, uint32_t index);
/** Returns how many slots of VM INDEX this entry may fill.  */
uint32_t core_vm_limit (const struct core *c, uint32_t index);
/** Returns how many slots of pool INDEX this entry may fill now.  */
uint32_t core_pool_limit (const struct core *c, uint32_t index);
/** Returns the tokens that this entry holds of LIMIT; negative: in debt.  */
int64_t core_holding (const struct core *c, int32_t limit);
/** Takes over what a record changed in issue and membership.  */
void core_limit_sync (struct core *c);
/** Rebuilds what runs parallel to the tables.  */
void core_limit_adopt (struct core *c);
/** Exchanges demand and tokens with the peers.  */
void core_limit_tick (struct core *c);
/** Asks for what this step was short of.  */
void core_ask_for_shortages (struct core *c);
/** Notes that COUNT tokens of GROUP are missing.  */
void core_note_shortage (struct core *c, uint32_t group, uint32_t count);

/* exchange.c */

/** Takes a peer's demand or holding.  */
void core_on_demand (struct core *c, const struct peer_message *m);
/** Tells the peers what changed and computes the target.  */
void core_exchange_demand (struct core *c);
/** Returns the view of INCARNATION, or NULL.  */
struct peer_view *core_find_peer_view (const struct core *c,
                                       uint64_t incarnation);
/** Returns true if V was heard lately.  */
bool core_view_is_fresh (const struct core *c, const struct peer_view *v);
/** Returns this entry's own holding of GROUP.  */
struct peer_holding core_own_holding (const struct core *c, uint32_t group);
/** Makes views for new members and drops those of gone ones.  */
void core_sync_peer_views (struct core *c);

/* transfer.c */

/** Takes a transfer.  */
void core_on_transfer (struct core *c, const struct peer_message *m);
/** Takes an acknowledgement.  */
void core_on_ack (struct core *c, const struct peer_message *m);
/** Gives what a peer asks for, as far as it is idle.  */
void core_on_ask (struct core *c, const struct peer_message *m);
/** Plans what is above the target to those below theirs.  */
void core_plan_transfers (struct core *c);
/** Gives what is planned and idle.  */
void core_run_planned_transfers (struct core *c);
/** Sends acknowledgements and unacknowledged transfers again.  */
void core_service_ledger_links (struct core *c);
/** Asks one peer for COUNT tokens of GROUP.  */
void core_ask_peer (struct core *c, uint32_t group, uint32_t count);
/** Gives away everything idle: this member is stopping.  */
void core_give_all_idle (struct core *c);
/** Returns a message of KIND to PEER, to be filled.  */
struct peer_message *core_new_peer_message (struct core *c, uint64_t peer,
                                            enum peer_kind kind);

#endif
