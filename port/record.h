/* record.h -- commands in the platform's log (tagged union).

   A record is judged when it is applied, against the state at its offset; see
   core/control.h.  It is one talloc tree.  */

#ifndef FTK_PORT_RECORD_H
#define FTK_PORT_RECORD_H

#include "port/config.h"
#include "port/peer_message.h"

enum record_kind
{
  RECORD_CONFIG,       /**< Replaces the tables.  */
  RECORD_KEY_GRANT,    /**< Lets a key act for a team.  */
  RECORD_KEY_WITHDRAW, /**< Ends a key.  */
  RECORD_JOIN,         /**< An entry became a member.  */
  RECORD_LEAVE,        /**< A member left in good order.  */
  RECORD_GONE,         /**< A member was lost; on evidence only.  */
  RECORD_CHECKPOINT,   /**< The whole control state at an offset.  */
  RECORD_WAVE_START,   /**< Starts a maintenance wave.  */
  RECORD_WAVE_PAUSE,   /**< Starts no further drains of a wave.  */
  RECORD_WAVE_RESUME,  /**< Lets a paused wave go on.  */
  RECORD_WAVE_ABORT,   /**< Ends a wave; VMs not yet drained serve on.  */
  RECORD_DRAIN,        /**< Takes a VM out, within its pool's budget.  */
  RECORD_VM_DRAINED,   /**< Nothing of one member runs on the VM.  */
  RECORD_REBOOTED,     /**< The platform has rebooted the VM.  */
  RECORD_RETURN,       /**< The VM serves again.  */
  RECORD_VM_LOST,      /**< The fleet list has dropped the VM.  */
  RECORD_VM_FOUND,     /**< The fleet list shows a lost VM live.  */
  RECORD_MOVE,         /**< Moves a VM to another pool.  */
  RECORD_SETTLE        /**< A member closed its link with a gone one.  */
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

/** A member that left, or was lost.  */
struct record_leave
{
  char vm[NAME_BYTES];
  uint64_t incarnation; /**< Offset of the join record, plus 1.  */
  bool idle;            /**< LEAVE: nothing that it started still runs.  */
};

/** A key in force.  */
struct granted_key
{
  uint8_t digest[DIGEST_BYTES];
  char team[NAME_BYTES];
};

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

/** A member's column; its tokens are one row per limit.  */
struct issuance_member
{
  uint64_t incarnation;
  bool gone;                    /**< Its process has ended.  */
  uint64_t gone_offset;         /**< Offset of the record that said so.  */
  uint64_t leases_expire_at_ms; /**< Log time when its last task lease has
                                   lapsed.  */
  int64_t *tokens;      /**< By limit; negative: owed after a lowering.  */
  int64_t *lowered;     /**< By limit: taken by lowerings, not given back.  */
  uint64_t *settled_by; /**< Live members that folded their link with it.  */
  uint32_t settled_by_count;
};

struct issuance_limit
{
  struct limit_ref ref;
  int64_t total_count;    /**< The configured limit; 0 once removed.  */
  int64_t unissued_count; /**< Kept while there is no live member.  */
};

/** What is issued, as one value.  */
struct issuance_table
{
  struct issuance_limit *limits;
  uint32_t limit_count;
  struct issuance_member *members; /**< Live and unsettled, by incarnation.  */
  uint32_t member_count;
  uint32_t longest_timeout_ms; /**< Of any route in force.  */
  uint64_t
      old_leases_expire_at_ms; /**< Leases under older tables lapse by then. */
  uint32_t reissue_count;      /**< Groups of gone members done with.  */
};

/** The control state that every record below next_offset has led to.  */
struct checkpoint
{
  uint64_t next_offset;
  uint64_t changed_offset;  /**< Offset + 1 of the last change of the state. */
  uint64_t config_version;  /**< Offset + 1 of the tables; 0: none.  */
  struct config *config;    /**< Tables in force, or NULL.  */
  struct granted_key *keys; /**< Sorted by digest.  */
  struct member *members;   /**< Sorted by incarnation.  */
  struct command_id *commands;    /**< Ids applied last, oldest first.  */
  struct issuance_table issuance; /**< Tokens issued.  */
  uint32_t key_count;
  uint32_t member_count;
  uint32_t command_count;
  struct vm_control *vm_control; /**< VMs, drains, moves and waves.  */
  uint64_t
      last_append_at_ms; /**< Latest log time of a record below next_offset. */
  uint8_t digest[DIGEST_BYTES]; /**< Of all but next_offset and log_ms.  */
};

struct record_wave
{
  char wave[NAME_BYTES];
  char (*targets)[NAME_BYTES]; /**< Pools or VMs; only WAVE_START.  */
  uint32_t target_count;
  uint32_t
      parallel_limit_count; /**< Most VMs out at once; 0: the budgets' own.  */
  uint64_t deadline_ms;     /**< Wall clock since 1970; 0: none.  */
};

struct record_vm
{
  char vm[NAME_BYTES];
  char wave[NAME_BYTES]; /**< DRAIN: its wave; empty: an operator's.  */
  uint64_t drain_id;     /**< Offset of the drain, plus 1; RETURN: 0 for
                              the drain in force.  */
  uint64_t incarnation;  /**< VM_DRAINED: the member.  */
};

struct record_move
{
  char vm[NAME_BYTES];
  char from[NAME_BYTES]; /**< Pool that the VM must be in.  */
  char to[NAME_BYTES];   /**< Pool that it goes to.  */
};

struct settle_item
{
  struct limit_ref limit;
  int64_t token_count; /**< Received less given over the link.  */
};

struct record_settle
{
  uint64_t incarnation;      /**< The member that settles.  */
  uint64_t gone_incarnation; /**< The member that is gone.  */
  struct settle_item *items; /**< Amounts that are not 0.  */
  uint32_t item_count;
};

struct record
{
  char id[ID_BYTES]; /**< Chosen by the sender; applied once.  */
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
  } u;
};

#endif
