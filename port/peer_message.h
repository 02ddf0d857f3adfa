/* peer_message.h -- what members tell each other directly (tagged union).  */

#ifndef FTK_PORT_PEER_MESSAGE_H
#define FTK_PORT_PEER_MESSAGE_H

#include "port/blob.h"
#include "port/types.h"

struct record;

/** What a token counts (tag of a limit).  */
enum limit_kind
{
  LIMIT_TEAM, /**< Requests of one team over the fleet.  */
  LIMIT_VM    /**< Slots of one worker.  */
};

struct limit_ref
{
  enum limit_kind kind;
  char name[NAME_BYTES]; /**< Team or VM.  */
};

enum peer_kind
{
  PEER_STATUS,    /**< Log offset reached and whether the log is read.  */
  PEER_DEMAND,    /**< Waiting and running per pool and team.  */
  PEER_TRANSFER,  /**< Tokens given; resent until acknowledged.  */
  PEER_ACK,       /**< Transfers received up to a sequence number.  */
  PEER_ASK,       /**< A request for tokens.  */
  PEER_RECORD,    /**< A record that the receiver has not read.  */
  PEER_KEY_CLAIM, /**< Asks a holder of an idempotency key to let it be run. */
  PEER_KEY_CLAIM_REPLY, /**< The answer to a claim.  */
  PEER_KEY_STATE        /**< What a holder must know of a key.  */
};

struct peer_status
{
  uint64_t next_offset; /**< First log offset not yet applied.  */
  bool log_readable;    /**< The log was read within the last seconds.  */
  bool stopping;        /**< Takes no new work.  */
  uint32_t log_age_ms;  /**< Since the sender read the log to its end.  */
  uint64_t sent_at_us;  /**< The sender's clock.  */
  uint64_t
      echo_sent_at_us; /**< sent_us of the receiver's last status; or 0.  */
};

/** Names no team, where PEER_DEMAND tells of requests without one.  */
#define DEMAND_NO_TEAM "*"

/** Waiting and running of TEAM in POOL.  With an empty pool: the tokens that
    the sender holds of the team; with an empty team: the slots that it holds
    in the pool; then running_count is the holding (two's complement, negative
    in debt) and waiting_count what is idle of it.  */
struct peer_demand
{
  char pool[NAME_BYTES];
  char team[NAME_BYTES];
  uint32_t waiting_count;
  uint32_t running_count;
};

struct peer_transfer
{
  uint64_t sequence; /**< Counts up from 1 on each link.  */
  struct limit_ref limit;
  uint32_t token_count;
};

struct peer_ack
{
  uint64_t sequence; /**< Every transfer up to this one was credited.  */
};

/** For LIMIT_VM any VM in the pool of the named one will do.  */
struct peer_ask
{
  struct limit_ref limit;
  uint32_t token_count;
};

/** A record passed on: its bytes as the log had them, or (a checkpoint that
   the sender made) the record itself.  */
struct peer_record
{
  uint64_t offset;
  uint64_t appended_at_ms; /**< The log's own time of append.  */
  struct blob *raw;        /**< One reference, or NULL.  */
  struct record *record;   /**< Sent: owned by the message, if raw is NULL.
                                Received: child of the event; NULL: malformed.
                              */
};

/** What is known of an idempotency key.  */
enum idempotency_key_state
{
  KEY_GRANTED,        /**< The claimant may run it.  */
  KEY_RUNNING,        /**< Its owner runs it.  */
  KEY_ANSWERED,       /**< It has its first answer.  */
  KEY_NOT_RUN,        /**< Its owner gave it up unrun; it may be forgotten.  */
  KEY_OUTCOME_UNKNOWN /**< Those who knew are lost; it may not be run.  */
};

/** PEER_CLAIM, PEER_CLAIMED and PEER_NOTE.  */
struct peer_key
{
  uint8_t digest[DIGEST_BYTES]; /**< Of team, queue and key.  */
  uint64_t owner_incarnation;   /**< Who runs it.  */
  uint64_t claim_id;            /**< Counts the owner's claims.  */
  enum idempotency_key_state state;
  uint32_t code;        /**< enum answer_code, once ended.  */
  uint32_t http_status; /**< The worker's; 0 if none.  */
  struct blob *body;    /**< One reference, or NULL.  */
};

struct peer_message
{
  uint64_t from_incarnation; /**< Sender: offset of its join record, plus 1. */
  uint64_t to_incarnation; /**< Receiver: offset of its join record, plus 1. */
  enum peer_kind kind;
  union
  {
    struct peer_status status;
    struct peer_demand demand;
    struct peer_transfer transfer;
    struct peer_ack ack;
    struct peer_ask ask;
    struct peer_record record;
    struct peer_key key;
  } u;
};

/** Drops the blobs of M, a received message: the rest is the event's.  */
void peer_message_unref_blobs (struct peer_message *m);

/** Drops what M holds.  */
void peer_message_clear (struct peer_message *m);

#endif
