/* peer_link.c -- hello, keys and frames of one connection.  */

#include "adapter/peer_link.h"

#include "adapter/peer_codec.h"

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
/** Largest box; until the secret is proved only an empty one is taken.  */
#define BOX_LIMIT_BYTES (PEER_MESSAGE_LIMIT_BYTES + crypto_secretbox_MACBYTES)
#define SEND_LIMIT_BYTES (8u << 20)
#define READ_BYTES 65536
#define HELLO_LIMIT_S 3
#define SIDE_COUNT 2

struct peer_link
{
  struct tevent_context *loop;
  struct tevent_fd *watch;
  struct tevent_timer *limit; /**< Ends a hello that takes too long.  */
  int fd;
  enum peer_link_side side;
  struct peer_link_handler handler;
  uint8_t secret[PEER_SECRET_BYTES];
  uint8_t nonces[SIDE_COUNT][HELLO_NONCE_BYTES];       /**< By side.  */
  uint8_t keys[SIDE_COUNT][crypto_secretbox_KEYBYTES]; /**< By sender.  */
  uint64_t counters[SIDE_COUNT];                       /**< By sender.  */
  bool greeted; /**< The other end's hello is here.  */
  bool ready;   /**< Its proof has opened.  */
  bool held;
  bool ended;
  uint8_t *in; /**< Bytes not yet taken.  */
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
  TALLOC_FREE (l->limit);
  l->handler.ended (l->handler.state, why);
}

static void
update_watch (struct peer_link *l)
{
  if (l->ended)
    return;
  tevent_fd_set_flags (l->watch,
                       (l->held ? 0 : TEVENT_FD_READ)
                           | (l->out_bytes > 0 ? TEVENT_FD_WRITE : 0));
}

static bool
queue_bytes (struct peer_link *l, const uint8_t *data, uint32_t size_bytes)
{
  uint8_t *out;

  if (size_bytes > SEND_LIMIT_BYTES - l->out_bytes)
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

  if (LENGTH_BYTES + box_bytes > SEND_LIMIT_BYTES - l->out_bytes)
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
  uint8_t label = (uint8_t)sender;

  crypto_generichash_init (&s, l->secret, sizeof l->secret,
                           crypto_secretbox_KEYBYTES);
  crypto_generichash_update (&s, &label, sizeof label);
  crypto_generichash_update (&s, l->nonces[0], sizeof l->nonces);
  crypto_generichash_final (&s, l->keys[sender], crypto_secretbox_KEYBYTES);
}

/* Takes the hello if it is whole; returns false if it is malformed.  */
static bool
take_hello (struct peer_link *l, uint32_t *used)
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
  l->greeted = true;
  return queue_box (l, NULL, 0);
}

/* Opens the box of BOX_BYTES at BOX and hands it up.  */
static bool
take_box (struct peer_link *l, const uint8_t *box, uint32_t box_bytes)
{
  enum peer_link_side other = (enum peer_link_side) !l->side;
  uint8_t nonce[crypto_secretbox_NONCEBYTES];
  uint8_t *data = talloc_array (l, uint8_t, box_bytes);
  bool good;

  next_nonce (l, other, nonce);
  good = crypto_secretbox_open_easy (data, box, box_bytes, nonce,
                                     l->keys[other])
         == 0;
  if (good && !l->ready)
    {
      l->ready = true;
      TALLOC_FREE (l->limit);
      if (l->handler.ready != NULL)
        l->handler.ready (l->handler.state);
    }
  else if (good)
    good = l->handler.message (l->handler.state, data,
                               box_bytes - crypto_secretbox_MACBYTES);
  talloc_free (data);
  return good;
}

/* Takes the frame at AT if it is whole; returns false if it is malformed.  */
static bool
take_frame (struct peer_link *l, uint32_t at, uint32_t *used)
{
  uint32_t left = l->in_bytes - at;
  uint32_t high = l->ready ? BOX_LIMIT_BYTES : crypto_secretbox_MACBYTES;
  uint32_t length;

  if (left < LENGTH_BYTES)
    return true;
  memcpy (&length, l->in + at, LENGTH_BYTES);
  length = ntohl (length);
  if (length < crypto_secretbox_MACBYTES || length > high)
    return false;
  if (left - LENGTH_BYTES < length)
    return true;
  *used = LENGTH_BYTES + length;
  return take_box (l, l->in + at + LENGTH_BYTES, length);
}

/* Takes what is whole; stops in the middle when the owner holds the link.  */
static void
take_input (struct peer_link *l)
{
  uint32_t at = 0;
  uint32_t used = 1;
  bool good = true;

  while (good && used > 0 && !l->held && !l->ended)
    {
      used = 0;
      if (!l->greeted)
        good = take_hello (l, &used);
      else
        good = take_frame (l, at, &used);
      at += used;
    }
  l->in_bytes -= at;
  memmove (l->in, l->in + at, l->in_bytes);
  if (!good)
    end_link (l, PEER_LINK_REFUSED);
}

static void
read_some (struct peer_link *l)
{
  uint8_t *in = talloc_realloc (l, l->in, uint8_t, l->in_bytes + READ_BYTES);
  ssize_t n;

  if (in == NULL)
    {
      end_link (l, PEER_LINK_CLOSED);
      return;
    }
  l->in = in;
  n = read (l->fd, in + l->in_bytes, READ_BYTES);
  if (n <= 0 && !(n < 0 && (errno == EAGAIN || errno == EINTR)))
    {
      end_link (l, PEER_LINK_CLOSED);
      return;
    }
  if (n > 0)
    l->in_bytes += (uint32_t)n;
  take_input (l);
}

static void
write_some (struct peer_link *l)
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
    write_some (l);
  if ((flags & TEVENT_FD_READ) && !l->ended)
    read_some (l);
}

static void
on_limit (struct tevent_context *loop, struct tevent_timer *te,
          struct timeval at, void *state)
{
  struct peer_link *l = state;

  (void)loop;
  (void)te;
  (void)at;
  l->limit = NULL;
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
  l->limit = tevent_add_timer (
      loop, l, tevent_timeval_current_ofs (HELLO_LIMIT_S, 0), on_limit, l);
  if (l->watch == NULL || l->limit == NULL
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
peer_link_set_paused (struct peer_link *l, bool hold)
{
  if (l->held == hold || l->ended)
    return;
  l->held = hold;
  update_watch (l);
  if (!hold)
    take_input (l);
}
