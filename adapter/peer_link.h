/* peer_link.h -- one authenticated TCP connection between two members.

   Both ends send a hello with a fresh nonce.  Each direction has a key of its
   own, derived from the cluster secret and both nonces, and a counter, so a
   frame of another link, direction or place does not open.  The first frame of
   each direction is empty and proves the secret; nothing is handed up or sent
   before the other end's has opened.  A frame is a length (4 bytes, big end
   first) and a secretbox.  */

#ifndef FTK_ADAPTER_PEER_LINK_H
#define FTK_ADAPTER_PEER_LINK_H

#include <stdbool.h>
#include <stdint.h>
#include <talloc.h>
#include <tevent.h>

#define PEER_SECRET_BYTES 32

struct peer_link;

/** Why a link ended.  */
enum peer_link_end
{
  PEER_LINK_CLOSED, /**< The connection broke or was not made.  */
  PEER_LINK_REFUSED /**< A hello or a frame was malformed or not opened.  */
};

struct peer_link_handler
{
  /** The other end has proved the secret.  May be NULL.  */
  void (*ready) (void *state);
  /** Takes one message; returns false if it is malformed.  */
  bool (*message) (void *state, const uint8_t *data, uint32_t size_bytes);
  /** The link has ended; free it after this call.  */
  void (*ended) (void *state, enum peer_link_end why);
  void *state;
};

/** Which end of the connection this is (tag of the keys).  */
enum peer_link_side
{
  PEER_LINK_CONNECTOR,
  PEER_LINK_ACCEPTOR
};

/** Returns a link on the non-blocking socket FD, which it owns; or NULL.  */
struct peer_link *peer_link_new (TALLOC_CTX *mem, struct tevent_context *loop,
                                 int fd, enum peer_link_side side,
                                 const uint8_t *secret,
                                 const struct peer_link_handler *h);

/** Queues a message; returns false if the link is not ready or is full.  */
bool peer_link_send (struct peer_link *l, const uint8_t *data,
                     uint32_t size_bytes);

/** Stops reading, or goes on with it.  */
void peer_link_set_paused (struct peer_link *l, bool hold);

#endif
