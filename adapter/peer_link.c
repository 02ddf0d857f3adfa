/* peer_link.c -- handshake, keys and frames of one link.  */

#include "adapter/peer_link.h"

#include "adapter/peer_codec.h"
#include "adapter/timer.h"

#include <arpa/inet.h>
#include <errno.h>
#include <sodium.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define MAGIC "FTKPEER1"
#define MAGIC_BYTES 8
#define HELLO_NONCE_BYTES 32
#define HELLO_BYTES (MAGIC_BYTES + HELLO_NONCE_BYTES)
#define LENGTH_BYTES 4
/** Largest box; only an empty one is accepted before the secret is proved.  */
#define BOX_LIMIT_BYTES (PEER_MESSAGE_LIMIT_BYTES + crypto_secretbox_MACBYTES)
#define MAX_SEND_BUFFER_BYTES (8u << 20)
#define READ_CHUNK_BYTES 65536
#define HANDSHAKE_TIMEOUT_S 3
#define SIDE_COUNT 2

struct peer_link
{
  struct tevent_context *loop;
  struct tevent_fd *watch;
  struct tevent_timer *handshake_timer; /**< Ends a link that is not ready
                                             in HANDSHAKE_TIMEOUT_S.  */
  int fd;
  enum peer_link_side side;
  struct peer_link_handler handler;
  uint8_t secret[PEER_SECRET_BYTES];
  uint8_t nonces[SIDE_COUNT][HELLO_NONCE_BYTES];       /**< By side.  */
  uint8_t keys[SIDE_COUNT][crypto_secretbox_KEYBYTES]; /**< By sender.  */
  uint64_t counters[SIDE_COUNT];                       /**< By sender.  */
  bool has_keys; /**< The other end's hello is received.  */
  bool ready;    /**< The other end's empty first frame is decrypted.  */
  bool paused;
  bool ended;
  uint8_t *in; /**< Received bytes not yet handled.  */
  uint32_t in_bytes;
  uint8_t *out; /**< Bytes not yet sent.  */
  uint32_t out_bytes;
};

static void
end_link (struct peer_link *l, enum peer_link_end why)
{
  if (l->ended)
    return;
  l->ended = true;
  TALLOC_FREE (l->watch);
  TALLOC_FREE (l->handshake_timer);
  l->handler.ended (l->handler.state, why);
}

static void
update_watch (struct peer_link *l)
{
  if (l->ended)
    return;
  tevent_fd_set_flags (l->watch,
                       (l->paused ? 0 : TEVENT_FD_READ)
                           | (l->out_bytes > 0 ? TEVENT_FD_WRITE : 0));
}

static bool
queue_bytes (struct peer_link *l, const uint8_t *data, uint32_t size_bytes)
{
  uint8_t *out;

  if (size_bytes > MAX_SEND_BUFFER_BYTES - l->out_bytes)
    return false;
  out = talloc_realloc (l, l->out, uint8_t, l->out_bytes + size_bytes);
  if (out == NULL)
    return false;
  memcpy (out + l->out_bytes, data, size_bytes);
  l->out = out;
  l->out_bytes += size_bytes;
  update_watch (l);
  return true;
}

static void
next_nonce (struct peer_link *l, enum peer_link_side sender, uint8_t *nonce)
{
  uint64_t n = ++l->counters[sender];

  memset (nonce, 0, crypto_secretbox_NONCEBYTES);
  memcpy (nonce, &n, sizeof n);
}

static bool
queue_box (struct peer_link *l, const uint8_t *data, uint32_t size_bytes)
{
  uint32_t box_bytes = size_bytes + crypto_secretbox_MACBYTES;
  uint8_t nonce[crypto_secretbox_NONCEBYTES];
  uint8_t *frame;
  uint32_t length = htonl (box_bytes);
  bool queued;

  if (LENGTH_BYTES + box_bytes > MAX_SEND_BUFFER_BYTES - l->out_bytes)
    return false;
  frame = talloc_array (l, uint8_t, LENGTH_BYTES + box_bytes);
  memcpy (frame, &length, LENGTH_BYTES);
  next_nonce (l, l->side, nonce);
  crypto_secretbox_easy (frame + LENGTH_BYTES, data, size_bytes, nonce,
                         l->keys[l->side]);
  queued = queue_bytes (l, frame, LENGTH_BYTES + box_bytes);
  talloc_free (frame);
  return queued;
}

static void
derive_key (struct peer_link *l, enum peer_link_side sender)
{
  crypto_generichash_state s;
  uint8_t sender_label = (uint8_t)sender;

  crypto_generichash_init (&s, l->secret, sizeof l->secret,
                           crypto_secretbox_KEYBYTES);
  crypto_generichash_update (&s, &sender_label, sizeof sender_label);
  crypto_generichash_update (&s, l->nonces[0], sizeof l->nonces);
  crypto_generichash_final (&s, l->keys[sender], crypto_secretbox_KEYBYTES);
}

/* Handles the hello once it is complete; returns false if it is malformed.  */
static bool
handle_hello (struct peer_link *l, uint32_t *used)
{
  enum peer_link_side other = (enum peer_link_side) !l->side;

  if (l->in_bytes < HELLO_BYTES)
    return true;
  if (memcmp (l->in, MAGIC, MAGIC_BYTES) != 0)
    return false;
  memcpy (l->nonces[other], l->in + MAGIC_BYTES, HELLO_NONCE_BYTES);
  *used = HELLO_BYTES;
  derive_key (l, PEER_LINK_CONNECTOR);
  derive_key (l, PEER_LINK_ACCEPTOR);
  l->has_keys = true;
  return queue_box (l, NULL, 0);
}

/* Decrypts the box of BOX_BYTES at BOX and delivers its message; returns false
   if it is not authentic or the message is malformed.  */
static bool
handle_box (struct peer_link *l, const uint8_t *box, uint32_t box_bytes)
{
  enum peer_link_side other = (enum peer_link_side) !l->side;
  uint8_t nonce[crypto_secretbox_NONCEBYTES];
  uint8_t *data = talloc_array (l, uint8_t, box_bytes);
  bool valid;

  next_nonce (l, other, nonce);
  valid = crypto_secretbox_open_easy (data, box, box_bytes, nonce,
                                      l->keys[other])
          == 0;
  if (valid && !l->ready)
    {
      l->ready = true;
      TALLOC_FREE (l->handshake_timer);
      if (l->handler.ready != NULL)
        l->handler.ready (l->handler.state);
    }
  else if (valid)
    valid = l->handler.message (l->handler.state, data,
                                box_bytes - crypto_secretbox_MACBYTES);
  talloc_free (data);
  return valid;
}

/* Handles the frame at AT once it is complete, and sets *USED to its size;
   returns false if it is malformed.  */
static bool
handle_frame (struct peer_link *l, uint32_t at, uint32_t *used)
{
  uint32_t left = l->in_bytes - at;
  uint32_t max_box_bytes
      = l->ready ? BOX_LIMIT_BYTES : crypto_secretbox_MACBYTES;
  uint32_t length;

  if (left < LENGTH_BYTES)
    return true;
  memcpy (&length, l->in + at, LENGTH_BYTES);
  length = ntohl (length);
  if (length < crypto_secretbox_MACBYTES || length > max_box_bytes)
    return false;
  if (left - LENGTH_BYTES < length)
    return true;
  *used = LENGTH_BYTES + length;
  return handle_box (l, l->in + at + LENGTH_BYTES, length);
}

/* Ends L because the other end's hello or frame is not valid.  What is queued
   is sent first, as far as the socket takes it: if it has our proof, the other
   end can tell a wrong secret from a broken connection.  */
static void
refuse (struct peer_link *l)
{
  if (!l->ended && l->out_bytes > 0)
    (void)send (l->fd, l->out, l->out_bytes, MSG_NOSIGNAL | MSG_DONTWAIT);
  end_link (l, PEER_LINK_REFUSED);
}

/* Handles every complete frame; stops early when a handler pauses or ends the
   link.  */
static void
handle_input (struct peer_link *l)
{
  uint32_t at = 0;
  uint32_t used = 1;
  bool valid = true;

  while (valid && used > 0 && !l->paused && !l->ended)
    {
      used = 0;
      if (!l->has_keys)
        valid = handle_hello (l, &used);
      else
        valid = handle_frame (l, at, &used);
      at += used;
    }
  l->in_bytes -= at;
  memmove (l->in, l->in + at, l->in_bytes);
  if (!valid)
    refuse (l);
}

static void
read_socket (struct peer_link *l)
{
  uint8_t *in
      = talloc_realloc (l, l->in, uint8_t, l->in_bytes + READ_CHUNK_BYTES);
  ssize_t n;

  if (in == NULL)
    {
      end_link (l, PEER_LINK_CLOSED);
      return;
    }
  l->in = in;
  n = read (l->fd, in + l->in_bytes, READ_CHUNK_BYTES);
  if (n <= 0 && !(n < 0 && (errno == EAGAIN || errno == EINTR)))
    {
      end_link (l, PEER_LINK_CLOSED);
      return;
    }
  if (n > 0)
    l->in_bytes += (uint32_t)n;
  handle_input (l);
}

static void
write_socket (struct peer_link *l)
{
  ssize_t n = send (l->fd, l->out, l->out_bytes, MSG_NOSIGNAL);

  if (n < 0 && (errno == EAGAIN || errno == EINTR))
    return;
  if (n < 0)
    {
      end_link (l, PEER_LINK_CLOSED);
      return;
    }
  l->out_bytes -= (uint32_t)n;
  memmove (l->out, l->out + n, l->out_bytes);
  update_watch (l);
}

static void
on_socket (struct tevent_context *loop, struct tevent_fd *fde, uint16_t flags,
           void *state)
{
  struct peer_link *l = state;

  (void)loop;
  (void)fde;
  if (flags & TEVENT_FD_WRITE)
    write_socket (l);
  if ((flags & TEVENT_FD_READ) && !l->ended)
    read_socket (l);
}

static void
on_handshake_timeout (struct tevent_context *loop, struct tevent_timer *te,
                      struct timeval at, void *state)
{
  struct peer_link *l = state;

  (void)loop;
  (void)te;
  (void)at;
  l->handshake_timer = NULL;
  end_link (l, PEER_LINK_CLOSED);
}

static int
link_destroy (struct peer_link *l)
{
  TALLOC_FREE (l->watch);
  sodium_memzero (l->secret, sizeof l->secret);
  sodium_memzero (l->keys, sizeof l->keys);
  close (l->fd);
  return 0;
}

struct peer_link *
peer_link_new (TALLOC_CTX *mem, struct tevent_context *loop, int fd,
               enum peer_link_side side, const uint8_t *secret,
               const struct peer_link_handler *h)
{
  struct peer_link *l = talloc_zero (mem, struct peer_link);

  l->loop = loop;
  l->fd = fd;
  l->side = side;
  l->handler = *h;
  memcpy (l->secret, secret, sizeof l->secret);
  randombytes_buf (l->nonces[side], HELLO_NONCE_BYTES);
  talloc_set_destructor (l, link_destroy);
  l->watch = tevent_add_fd (loop, l, fd, TEVENT_FD_READ, on_socket, l);
  l->handshake_timer = timer_add (loop, l, HANDSHAKE_TIMEOUT_S * US_PER_S,
                                  on_handshake_timeout, l);
  if (l->watch == NULL || l->handshake_timer == NULL
      || !queue_bytes (l, (const uint8_t *)MAGIC, MAGIC_BYTES)
      || !queue_bytes (l, l->nonces[side], HELLO_NONCE_BYTES))
    TALLOC_FREE (l);
  return l;
}

bool
peer_link_send (struct peer_link *l, const uint8_t *data, uint32_t size_bytes)
{
  if (l == NULL || !l->ready || l->ended)
    return false;
  return queue_box (l, data, size_bytes);
}

void
peer_link_set_paused (struct peer_link *l, bool pause)
{
  if (l->paused == pause || l->ended)
    return;
  l->paused = pause;
  update_watch (l);
  if (!pause)
    handle_input (l);
}
