/* record.h -- commands in the platform's log (tagged union).

   A record is judged when it is applied, against the state at its offset; see
   core/control.h.  It is one talloc tree.  */

#ifndef FTK_PORT_RECORD_H
#define FTK_PORT_RECORD_H

#include "port/config.h"

enum record_kind
{
  RECORD_CONFIG,       /**< Replaces the tables.  */
  RECORD_KEY_GRANT,    /**< Lets a key act for a team.  */
  RECORD_KEY_WITHDRAW, /**< Ends a key.  */
  RECORD_JOIN,         /**< An entry became a member.  */
  RECORD_LEAVE,        /**< A member left in good order.  */
  RECORD_GONE,         /**< A member was lost; on evidence only.  */
  RECORD_CHECKPOINT    /**< The whole control state at an offset.  */
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
  char address[ADDRESS_BYTES]; /**< For operators; may be empty.  */
};

/** A member that left, or was lost.  */
struct record_leave
{
  char vm[NAME_BYTES];
  uint64_t incarnation; /**< Offset of the join record, plus 1.  */
};

/** A key in force.  */
struct key
{
  uint8_t digest[DIGEST_BYTES];
  char team[NAME_BYTES];
};

struct member
{
  char vm[NAME_BYTES];
  char zone[NAME_BYTES];
  char peer_address[ADDRESS_BYTES];
  char address[ADDRESS_BYTES]; /**< For operators; may be empty.  */
  uint64_t incarnation;        /**< Offset of its join record, plus 1.  */
};

struct command_id
{
  char text[ID_BYTES];
};

/** The control state that every record below next_offset has led to.  */
struct checkpoint
{
  uint64_t next_offset;
  uint64_t changed_offset; /**< Offset + 1 of the last change of the state. */
  uint64_t config_version; /**< Offset + 1 of the tables; 0: none.  */
  struct config *config;   /**< Tables in force, or NULL.  */
  struct key *keys;        /**< Sorted by digest.  */
  struct member *members;  /**< Sorted by incarnation.  */
  struct command_id *commands; /**< Ids applied last, oldest first.  */
  uint32_t key_count;
  uint32_t member_count;
  uint32_t command_count;
  uint8_t digest[DIGEST_BYTES]; /**< Of all but next_offset.  */
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
  } u;
};

#endif
