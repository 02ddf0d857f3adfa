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
  RECORD_LEAVE         /**< A member left in good order.  */
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

struct record_leave
{
  char vm[NAME_BYTES];
  uint64_t incarnation; /**< Offset of the join record, plus 1.  */
};

struct record
{
  char id[ID_BYTES]; /**< Chosen by the sender; applied once.  */
  enum record_kind kind;
  union
  {
    struct config *config;     /**< RECORD_CONFIG.  */
    struct record_key key;     /**< RECORD_KEY_GRANT, _WITHDRAW.  */
    struct record_join join;   /**< RECORD_JOIN.  */
    struct record_leave leave; /**< RECORD_LEAVE.  */
  } u;
};

#endif
