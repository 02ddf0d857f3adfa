/* relay_codec.h -- msgpack coding of what entries tell each other.  */

#ifndef FTK_ADAPTER_RELAY_CODEC_H
#define FTK_ADAPTER_RELAY_CODEC_H

#include "adapter/pack.h"
#include "port/cell_event.h"

enum relay_message_kind
{
  RELAY_HEARTBEAT, /**< The link and the other end are alive.  */
  RELAY_CALL,
  RELAY_REPLY
};

struct relay_message
{
  enum relay_message_kind kind;
  union
  {
    struct
    {
      bool degraded; /**< The sender cannot reach the store.  */
      /** Of the sender alone, or of the owner and all linked to it.  */
      uint32_t cpu_milli;
    } heartbeat;
    struct job_call call; /**< Its job becomes a child of the reader's MEM.  */
    struct reply reply;
  } u;
};

/** Returns the message as bytes, or NULL when memory is out.  */
struct blob *relay_encode (const struct relay_message *m);

/** Reads a message; returns false if it is malformed.  */
bool relay_decode (TALLOC_CTX *mem, const uint8_t *data, uint32_t size_bytes,
                   struct relay_message *m);

#endif
