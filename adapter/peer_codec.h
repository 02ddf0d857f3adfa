/* peer_codec.h -- messages between members as msgpack.

   A message is one array: kind, sender, receiver, then the fields of its
   kind.  Decoding is strict: a wrong count, type or range, or a byte too many
   makes the whole message malformed.  */

#ifndef FTK_ADAPTER_PEER_CODEC_H
#define FTK_ADAPTER_PEER_CODEC_H

#include "port/event.h"

#include <talloc.h>

/** Largest encoded message; a record with the largest tables fits.  */
#define PEER_MESSAGE_LIMIT_BYTES (4u << 20)

/** Returns the encoded M as a child of MEM; talloc_array_length gives its
    size.  */
uint8_t *peer_message_encode (TALLOC_CTX *mem, const struct peer_message *m);

/** Decodes the message of SIZE_BYTES at DATA; returns it as an EVENT_PEER, or
    NULL if it is malformed.  */
struct event *peer_message_decode (const uint8_t *data, uint32_t size_bytes);

#endif
