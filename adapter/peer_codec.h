/* peer_codec.h -- members' messages as msgpack.

   A message is one array: kind, sender, receiver, then the fields of its
   kind.  Decoding is strict: a wrong count, type, range or a byte too many
   refuses the whole message.  */

#ifndef FTK_ADAPTER_PEER_CODEC_H
#define FTK_ADAPTER_PEER_CODEC_H

#include "port/event.h"

#include <talloc.h>

/** Largest encoded message; a record of the largest tables fits.  */
#define PEER_MESSAGE_LIMIT_BYTES (4u << 20)

/** Returns M as bytes, a child of MEM (talloc_array_length tells how many). */
uint8_t *peer_message_encode (TALLOC_CTX *mem, const struct peer_message *m);

/** Returns an EVENT_PEER that holds the message in SIZE_BYTES bytes at DATA,
   or NULL if they are malformed.  */
struct event *peer_message_decode (const uint8_t *data, uint32_t size_bytes);

#endif
