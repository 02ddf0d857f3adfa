/* record.h -- commands in the platform's log (tagged union).

   Whether a command is valid is decided when it is applied, against the state
   at its offset; see core/control.h.  What a record refers to is its talloc
   child.  */

#ifndef FTK_PORT_RECORD_H
#define FTK_PORT_RECORD_H

#include "port/config.h"
#include "port/peer_message.h"

enum record_kind
{
  RECORD_CONFIG,        /**< Replaces the tables.  */
  RECORD_KEY_GRANT,     /**< Authorizes a key to act for a team.  */
  RECORD_KEY_WITHDRAW,  /**< Revokes a key.  */
  RECORD_JOIN,          /**< An entry became a member.  */
  RECORD_LEAVE,         /**< A member stopped as planned.  */
  RECORD_GONE,          /**< A member was lost, on evidence only: its VM is
                             gone from the fleet list.  */
  RECORD_CHECKPOINT,    /**< The whole control state at an offset.  */
  RECORD_WAVE_START,    /**< Starts a maintenance wave.  */
  RECORD_WAVE_PAUSE,    /**< Stops a wave from starting drains.  */
  RECORD_WAVE_RESUME,   /**< Continues a paused wave.  */
  RECORD_WAVE_ABORT,    /**< Ends a wave; VMs still draining serve again.  */
  RECORD_DRAIN,         /**< Drains a VM, within its pool's budget.  */
  RECORD_VM_DRAINED,    /**< No request of one member runs on the VM.  */
  RECORD_REBOOTED,      /**< The platform rebooted the VM.  */
  RECORD_RETURN,        /**< The VM serves again.  */
  RECORD_VM_LOST,       /**< The VM is gone from the fleet list, or its
                             maintenance is overdue.  */
  RECORD_VM_FOUND,      /**< The fleet list shows a lost VM as live.  */
  RECORD_MOVE,          /**< Moves a VM to another pool.  */
  RECORD_SETTLE,        /**< A member settled tokens with one that is gone. */
  RECORD_ZONE_EVACUATE, /**< VMs of a zone take no new work.  */
  RECORD_ZONE_RETURN    /**< They take work again.  */
};

struct record_key
{
  char team[NAME_BYTES];
  uint8_t digest[DIGEST_BYTES];
};

struct record_join
{
  char vm[NAME_BYTES];
  char zone[NAME_BYTES];
  char peer_address[ADDRESS_BYTES];
  char operator_address[ADDRESS_BYTES]; /**< For operators; may be empty.  */
};

/** RECORD_LEAVE and RECORD_GONE.  */
struct record_leave
{
  char vm[NAME_BYTES];
  uint64_t incarnation; /**< Offset of the join record, plus 1.  */
  bool idle;            /**< LEAVE: none of its requests still runs.  */
};

/** A key that is granted to a team.  */
struct granted_key
{
  uint8_t digest[DIGEST_BYTES];
  char team[NAME_BYTES];
};

/** A live entry of the fleet.  */
struct member
{
  char vm[NAME_BYTES];
  char zone[NAME_BYTES];
  char peer_address[ADDRESS_BYTES];
  char operator_address[ADDRESS_BYTES]; /**< For operators; may be empty.  */
  uint64_t incarnation; /**< Offset of its join record, plus 1.  */
};

struct vm_control;

struct command_id
{
  char text[ID_BYTES];
};

/** The tokens issued to one member.  Its arrays are indexed by limit.  */
struct issuance_member
{
  uint64_t incarnation;
  bool gone;                    /**< It left or was lost.  */
  uint64_t gone_offset;         /**< Offset of the record that ended it.  */
  uint64_t leases_expire_at_ms; /**< When its last task lease expires, by the
                                   log's clock.  */
  int64_t *tokens;      /**< Negative: owed after the limit was lowered.  */
  int64_t *lowered;     /**< Taken by lowered limits and not yet returned.  */
  uint64_t *settled_by; /**< Live members that have settled with it.  */
  uint32_t settled_by_count;
};

struct issuance_limit
{
  struct limit_ref ref;
  int64_t total_count;    /**< The configured limit; 0 once removed.  */
  int64_t unissued_count; /**< Tokens kept back while no member is live.  */
};

/** The tokens that are issued for every limit.  */
struct issuance_table
{
  struct issuance_limit *limits;
  uint32_t limit_count;
  struct issuance_member *members; /**< Live or unsettled, by incarnation.  */
  uint32_t member_count;
  uint32_t longest_timeout_ms; /**< Largest timeout of the routes in force.  */
  uint64_t old_leases_expire_at_ms; /**< When the last lease under older tables
                                       expires, by the log's clock.  */
  uint32_t reissue_count;           /**< Times that the tokens of all gone
                                       members were reissued together.  */
};

/** The control state after applying every record below next_offset.  */
struct checkpoint
{
  uint64_t next_offset;
  uint64_t changed_offset;     /**< Offset of the last change, plus 1.  */
  uint64_t config_version;     /**< Offset of the tables, plus 1; 0: none.  */
  struct config *config;       /**< Tables in force, or NULL.  */
  struct granted_key *keys;    /**< Sorted by digest.  */
  struct member *members;      /**< Sorted by incarnation.  */
  struct command_id *commands; /**< Latest ones, oldest first.  */
  struct issuance_table issuance;
  uint32_t key_count;
  uint32_t member_count;
  uint32_t command_count;
  struct vm_control *vm_control; /**< VMs, drains, moves and waves.  */
  uint64_t last_append_at_ms; /**< Newest time of append of those records.  */
  uint8_t digest[DIGEST_BYTES]; /**< Of the state without next_offset and
                                   last_append_at_ms.  */
};

struct record_wave
{
  char wave[NAME_BYTES];
  char (*targets)[NAME_BYTES]; /**< Pools or VMs; only WAVE_START.  */
  uint32_t target_count;
  uint32_t parallel_limit_count; /**< Most VMs out at once; 0: as many as
                                      the pools' budgets allow.  */
  uint64_t deadline_ms;          /**< Unix time; 0: none.  */
};

struct record_vm
{
  char vm[NAME_BYTES];
  char wave[NAME_BYTES]; /**< DRAIN: its wave; empty: by an operator.  */
  uint64_t drain_id;     /**< Offset of the drain, plus 1; 0 in a RETURN by
                              an operator: the drain in force.  */
  uint64_t incarnation;  /**< VM_DRAINED: the member that reports.  */
};

struct record_move
{
  char vm[NAME_BYTES];
  char from[NAME_BYTES]; /**< Current pool; rejected if it is another.  */
  char to[NAME_BYTES];   /**< Destination pool.  */
};

struct record_zone
{
  char zone[NAME_BYTES];
};

struct settle_item
{
  struct limit_ref limit;
  int64_t token_count; /**< Received from the gone member, less given.  */
};

struct record_settle
{
  uint64_t incarnation;      /**< The member that settles.  */
  uint64_t gone_incarnation; /**< The member that is gone.  */
  struct settle_item *items; /**< Limits whose amount is not 0.  */
  uint32_t item_count;
};

struct record
{
  char id[ID_BYTES]; /**< Chosen by the sender; applied once per id.  */
  enum record_kind kind;
  union
  {
    struct config *config;         /**< RECORD_CONFIG.  */
    struct record_key key;         /**< RECORD_KEY_GRANT, _WITHDRAW.  */
    struct record_join join;       /**< RECORD_JOIN.  */
    struct record_leave leave;     /**< RECORD_LEAVE, _GONE.  */
    struct checkpoint *checkpoint; /**< RECORD_CHECKPOINT.  */
    struct record_wave wave;       /**< RECORD_WAVE_*.  */
    struct record_vm vm;           /**< RECORD_DRAIN to RECORD_VM_FOUND.  */
    struct record_move move;       /**< RECORD_MOVE.  */
    struct record_settle settle;   /**< RECORD_SETTLE.  */
    struct record_zone zone;       /**< RECORD_ZONE_*.  */
  } u;
};

#endif
