/* relay_codec.h -- msgpack coding of the messages between entries.

   A message is an array of its kind and its fields.  */

#ifndef FTK_ADAPTER_RELAY_CODEC_H
#define FTK_ADAPTER_RELAY_CODEC_H

#include "adapter/pack.h"
#include "port/blob.h"
#include "port/cell_event.h"

enum relay_message_kind
{
  RELAY_HEARTBEAT, /**< Shows that the sender and the link are alive.  */
  RELAY_CALL,      /**< To the owner.  */
  RELAY_REPLY,     /**< From the owner, to a forwarded call.  */
  RELAY_ORDERS,    /**< From the owner: orders to send for it.  */
  RELAY_RESULTS,   /**< To the owner: results of such orders.  */
  RELAY_STATES     /**< From the owner: states of jobs.  */
};

struct relay_message
{
  enum relay_message_kind kind;
  union
  {
    struct
    {
      bool degraded; /**< Cannot reach the store, or is stopping.  */
      /** CPU share of the sender, in thousandths of a core; from the owner the
          largest of its own and those of the eligible entries linked to
          it.  */
      uint32_t cpu_milli;
      /* Earlier versions do not send the rest.  */
      char zone[NAME_BYTES]; /**< Of the sender, which takes delegated orders;
                                empty: it takes none.  */
      uint64_t clock_us;     /**< The sender's clock.  */
      char member[NAME_BYTES]; /**< The sender.  */
      uint64_t followed_token; /**< As in CELL_PEER.  */
      enum store_view view;    /**< As in CELL_OWNER_LINK.  */
      bool takes_states;       /**< As in CELL_PEER.  */
      uint32_t entry_count;    /**< As in CELL_OWNER_LINK.  */
    } heartbeat;
    struct job_call call; /**< Decoded: its spec is a child of MEM.  */
    struct reply reply;
    struct
    {
      uint64_t clock_us;  /**< The newest clock_us in a heartbeat of the
                             receiver: shows how old the orders may be.  */
      struct blob *batch; /**< An order batch; when decoded the caller
                             unreferences it.  */
    } orders;
    struct
    {
      uint32_t item_count;
      struct cell_event **items; /**< Decoded: children of MEM, of kind
                                    CELL_RUNNER_RESULT.  */
    } results;
    struct
    {
      uint64_t token; /**< Of the owner.  */
      uint32_t item_count;
      const struct job_report *items; /**< Decoded: a child of MEM.  */
    } states;
  } u;
};

/** Returns the encoded message, which the caller unreferences; or NULL when
    memory is out.  */
struct blob *relay_encode (const struct relay_message *m);

/** Decodes a message into M; returns false if it is malformed.  */
bool relay_decode (TALLOC_CTX *mem, const uint8_t *data, uint32_t size_bytes,
                   struct relay_message *m);

/** Returns an encoded RELAY_RESULTS of the COUNT packed results in DATA; the
    caller unreferences it.  */
struct blob *relay_encode_results (const void *data, uint32_t size_bytes,
                                   uint32_t count);

#endif
