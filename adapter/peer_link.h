/* peer_link.h -- one authenticated TCP connection between two members.

   Both ends send a hello with a fresh nonce.  Each direction has its own key,
   derived from the cluster secret and both nonces, and a counter as the nonce
   of its frames.  So a frame that was replayed, reordered or taken from
   another link or direction fails to decrypt.  The first frame of each
   direction is empty and proves the secret; no message is delivered or sent
   before the other end's proof is decrypted.  A frame is a length (4 bytes,
   big-endian) and a libsodium secretbox.  */

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
  PEER_LINK_CLOSED, /**< The connection broke, failed or timed out.  */
  PEER_LINK_REFUSED /**< A hello or a frame was not valid.  */
};

/** Calls to the owner of a link.  */
struct peer_link_handler
{
  /** Called when the other end has proved the secret.  May be NULL.  */
  void (*ready) (void *state);
  /** Called with each message; returns false if it is malformed, which ends
      the link as refused.  */
  bool (*message) (void *state, const uint8_t *data, uint32_t size_bytes);
  /** Called once, when the link has ended.  The caller still uses the link, so
      free it only after this call has returned.  */
  void (*ended) (void *state, enum peer_link_end why);
  void *state;
};

/** The two ends of a connection; each sends under a key of its own.  */
enum peer_link_side
{
  PEER_LINK_CONNECTOR,
  PEER_LINK_ACCEPTOR
};

/** Returns a link on the non-blocking socket FD as a child of MEM, or NULL if
    out of memory.  FD is closed on failure and when the link is freed.  SECRET
    has PEER_SECRET_BYTES.  */
struct peer_link *peer_link_new (TALLOC_CTX *mem, struct tevent_context *loop,
                                 int fd, enum peer_link_side side,
                                 const uint8_t *secret,
                                 const struct peer_link_handler *h);

/** Queues a message; returns false if L is NULL, not ready or ended, or if its
    buffer is full.  */
bool peer_link_send (struct peer_link *l, const uint8_t *data,
                     uint32_t size_bytes);

/** Stops reading, or resumes it with what is already received.  */
void peer_link_set_paused (struct peer_link *l, bool pause);

#endif
