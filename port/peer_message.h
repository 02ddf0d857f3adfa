/* peer_message.h -- messages between members (tagged union).  */

#ifndef FTK_PORT_PEER_MESSAGE_H
#define FTK_PORT_PEER_MESSAGE_H

#include "port/blob.h"
#include "port/types.h"

struct record;

/** What one token of a limit allows.  */
enum limit_kind
{
  LIMIT_TEAM, /**< A running request of a team, fleet-wide.  */
  LIMIT_VM    /**< A slot of a worker.  */
};

struct limit_ref
{
  enum limit_kind kind;
  char name[NAME_BYTES]; /**< Team or VM.  */
};

enum peer_kind
{
  PEER_STATUS,          /**< Next log offset, and whether the log is read.  */
  PEER_DEMAND,          /**< Demand per pool and team, and tokens held.  */
  PEER_TRANSFER,        /**< Gives tokens; resent until acknowledged.  */
  PEER_ACK,             /**< Acknowledges transfers.  */
  PEER_ASK,             /**< Asks the receiver for tokens.  */
  PEER_RECORD,          /**< Relays a log record that the receiver lacks.  */
  PEER_KEY_CLAIM,       /**< Asks a holder of an idempotency key for
                             permission to run its request.  */
  PEER_KEY_CLAIM_REPLY, /**< Answers a claim.  */
  PEER_KEY_STATE        /**< Tells a holder of a key its state.  */
};

struct peer_status
{
  uint64_t next_offset;     /**< First log offset not applied.  */
  bool log_readable;        /**< The sender itself read the log to its end
                                 within its log age limit.  */
  bool stopping;            /**< Takes no new work.  */
  uint32_t log_age_ms;      /**< Time since the log was read to its end.  */
  uint64_t sent_at_us;      /**< By the sender's clock.  */
  uint64_t echo_sent_at_us; /**< sent_at_us of the last status from the
                                 receiver; 0: none.  */
};

/** Team name in PEER_DEMAND for requests that belong to no team.  */
#define DEMAND_NO_TEAM "*"

/** One of three things, depending on which names are empty:
    - none: the waiting and running requests of the team in the pool;
    - the pool: the tokens of the team that the sender holds;
    - the team: the slots of the pool that the sender holds.
    For tokens and slots, running_count is the number held, an int32_t that is
    negative while the sender owes some, and waiting_count is how many of them
    are idle.  */
struct peer_demand
{
  char pool[NAME_BYTES];
  char team[NAME_BYTES];
  uint32_t waiting_count;
  uint32_t running_count;
};

struct peer_transfer
{
  uint64_t sequence; /**< Counts from 1 on each link.  */
  struct limit_ref limit;
  uint32_t token_count;
};

struct peer_ack
{
  uint64_t sequence; /**< Transfers up to this one are credited.  */
};

/** For LIMIT_VM, slots of any VM in the pool of the named VM may be given.  */
struct peer_ask
{
  struct limit_ref limit;
  uint32_t token_count;
};

/** A relayed record: its JSON text, or, for a checkpoint that the sender made,
    the record itself.  */
struct peer_record
{
  uint64_t offset;
  uint64_t appended_at_ms; /**< When it was appended, by the log's clock.  */
  struct blob *raw;        /**< The JSON text; one reference, or NULL.  */
  struct record *record;   /**< Sent: owned by the message, if raw is NULL.
                                Received: child of the event; NULL: malformed.
                              */
};

/** State of an idempotency key.  */
enum idempotency_key_state
{
  KEY_GRANTED,        /**< The claimant may run the request.  */
  KEY_RUNNING,        /**< Its owner runs the request.  */
  KEY_ANSWERED,       /**< The request has its first answer.  */
  KEY_NOT_RUN,        /**< Its owner did not run it; may be forgotten.  */
  KEY_OUTCOME_UNKNOWN /**< Members that knew are lost; must not be run. */
};

/** PEER_KEY_CLAIM, PEER_KEY_CLAIM_REPLY and PEER_KEY_STATE.  */
struct peer_key
{
  uint8_t digest[DIGEST_BYTES]; /**< Of team, queue and key.  */
  uint64_t owner_incarnation;   /**< Member that runs the request.  */
  uint64_t claim_id;            /**< Numbers the owner's claims.  */
  enum idempotency_key_state state;
  uint32_t code;        /**< enum answer_code, once answered.  */
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

/** Drops the blob references of M, a received message.  Its record is freed
    with the event that contains M.  */
void peer_message_unref_blobs (struct peer_message *m);

/** Drops the blob references of M, a message to be sent, and frees its
    record.  */
void peer_message_clear (struct peer_message *m);

#endif
