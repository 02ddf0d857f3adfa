/* test_mutation.c -- decoders given frames, messages and records with random
   changes.

   Guards against a changed frame that passes the authentication, against a
   malformed message or record that a decoder accepts or reads past its end,
   and against a changed checkpoint that restores another state.  The seed is
   printed; FTK_SEED=SEED repeats a run.  */

#include "tests/records.h"

#include "adapter/peer_codec.h"
#include "adapter/peer_link.h"
#include "adapter/record_json.h"
#include "core/control.h"

#include <glib.h>
#include <signal.h>
#include <sodium.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define TRIAL_COUNT 10000
#define BUFFER_BYTES 65536

static GRand *rng;

/* Makes one to three changes to the SIZE bytes at DATA: alters a byte, repeats
   a byte or cuts the end off.  DATA has room for 8 more bytes.  Returns the
   new size.  */
static guint
mutate (guint8 *data, guint size)
{
  guint n = (guint)g_rand_int_range (rng, 1, 4);

  while (n-- > 0 && size > 0)
    {
      guint at = (guint)g_rand_int_range (rng, 0, (gint32)size);

      switch (g_rand_int_range (rng, 0, 4))
        {
        case 0:
          size = at;
          break;
        case 1:
          memmove (data + at + 1, data + at, size - at);
          size++;
          break;
        default:
          data[at] ^= (guint8)g_rand_int_range (rng, 1, 256);
          break;
        }
    }
  return size;
}

/* --- frames changed between the two ends of a link --- */

/* A connector and an acceptor; the test passes the bytes between them.  */
struct link_pair
{
  struct tevent_context *loop;
  int sockets[2];        /**< The test's end of each socket pair.  */
  guint delivered_count; /**< Messages handed to the handlers.  */
  gboolean ready;
  gboolean ended;
};

static bool
on_message (void *state, const uint8_t *data, uint32_t size_bytes)
{
  (void)data;
  (void)size_bytes;
  ((struct link_pair *)state)->delivered_count++;
  return true;
}

static void
on_ready (void *state)
{
  ((struct link_pair *)state)->ready = TRUE;
}

static void
on_ended (void *state, enum peer_link_end why)
{
  (void)why;
  ((struct link_pair *)state)->ended = TRUE;
}

static void
ignore_end (void *state, enum peer_link_end why)
{
  (void)state;
  (void)why;
}

/* Makes the link of side I (an enum peer_link_side) with handler H.  */
static struct peer_link *
make_link (struct link_pair *links, int i, const struct peer_link_handler *h)
{
  static const uint8_t secret[PEER_SECRET_BYTES] = { 1, 2, 3 };
  int pair[2];

  g_assert_cmpint (socketpair (AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK, 0, pair),
                   ==, 0);
  links->sockets[i] = pair[1];
  return peer_link_new (links->loop, links->loop, pair[0],
                        (enum peer_link_side)i, secret, h);
}

/* Passes on what the link of side I has sent.  */
static void
forward (const struct link_pair *links, int i)
{
  guint8 data[BUFFER_BYTES];
  ssize_t n = read (links->sockets[i], data, sizeof data);

  if (n > 0)
    g_assert_cmpint (write (links->sockets[!i], data, (size_t)n), ==, n);
}

/* Lets each link handle one event, then passes on what they sent.  */
static void
step_both (const struct link_pair *links)
{
  tevent_loop_once (links->loop);
  tevent_loop_once (links->loop);
  forward (links, 0);
  forward (links, 1);
}

/* Sends one message and gives the acceptor a mutated frame; returns false if
   the mutation left the frame as it was.  */
static gboolean
send_mutated_frame (struct link_pair *links, struct peer_link *connector)
{
  guint8 frame[BUFFER_BYTES];
  guint8 mutated[BUFFER_BYTES];
  guint8 message[64];
  ssize_t n;
  guint size;

  randombytes_buf (message, sizeof message);
  g_assert_true (peer_link_send (connector, message, sizeof message));
  tevent_loop_once (links->loop);
  n = read (links->sockets[0], frame, sizeof frame);
  g_assert_cmpint (n, >, (ssize_t)sizeof message);
  memcpy (mutated, frame, (size_t)n);
  size = mutate (mutated, (guint)n);
  if (size == 0 || (size >= n && memcmp (mutated, frame, (size_t)n) == 0))
    return FALSE;
  g_assert_cmpint (write (links->sockets[1], mutated, size), ==, size);
  tevent_loop_once (links->loop);
  return TRUE;
}

static gboolean
run_frame_trial (void)
{
  struct link_pair links = { .loop = tevent_context_init (NULL) };
  struct peer_link_handler sender
      = { .message = on_message, .ended = ignore_end, .state = &links };
  struct peer_link_handler receiver = { .ready = on_ready,
                                        .message = on_message,
                                        .ended = on_ended,
                                        .state = &links };
  struct peer_link *connector
      = make_link (&links, PEER_LINK_CONNECTOR, &sender);
  gboolean sent;

  make_link (&links, PEER_LINK_ACCEPTOR, &receiver);
  step_both (&links); /* hellos out */
  step_both (&links); /* hellos in */
  step_both (&links); /* proofs out */
  tevent_loop_once (links.loop);
  tevent_loop_once (links.loop);
  g_assert_true (links.ready);
  sent = send_mutated_frame (&links, connector);
  g_assert_cmpuint (links.delivered_count, ==, 0);
  close (links.sockets[0]);
  close (links.sockets[1]);
  talloc_free (links.loop);
  return sent;
}

static void
test_frames (void)
{
  guint sent = 0;

  while (sent < TRIAL_COUNT)
    sent += run_frame_trial () ? 1 : 0;
}

/* --- messages of an authenticated link --- */

/* Fills M with a random kind and the fields that the kind has.  */
static void
fill_message (struct peer_message *m, struct blob *raw)
{
  memset (m, 0, sizeof *m);
  m->kind = (enum peer_kind)g_rand_int_range (rng, 0, PEER_RECORD + 1);
  m->from_incarnation = 1;
  m->to_incarnation = 2;
  if (m->kind == PEER_TRANSFER)
    text_copy (m->u.transfer.limit.name, NAME_BYTES, "w1");
  if (m->kind == PEER_DEMAND)
    text_copy (m->u.demand.pool, NAME_BYTES, "menders");
  if (m->kind == PEER_RECORD)
    m->u.record.raw = raw;
}

/* Checks that the kinds of a decoded message are in range and its texts are
   NUL-terminated.  */
static void
check_message (const struct peer_message *m)
{
  g_assert_cmpint (m->kind, <=, PEER_RECORD);
  if (m->kind == PEER_TRANSFER)
    {
      g_assert_cmpint (m->u.transfer.limit.kind, <=, LIMIT_VM);
      g_assert_nonnull (memchr (m->u.transfer.limit.name, '\0', NAME_BYTES));
    }
  if (m->kind == PEER_DEMAND)
    g_assert_nonnull (memchr (m->u.demand.pool, '\0', NAME_BYTES));
}

static void
test_messages (void)
{
  static const char text[]
      = "{\"id\":\"a\",\"kind\":\"leave\",\"vm\":\"e\",\"incarnation\":1}";
  struct blob *raw = blob_copy (text, sizeof text - 1);
  guint i;

  for (i = 0; i < TRIAL_COUNT; i++)
    {
      struct peer_message m;
      guint8 *data;
      guint8 *copy;
      guint size;
      struct event *e;

      fill_message (&m, raw);
      data = peer_message_encode (NULL, &m);
      size = (guint)talloc_array_length (data);
      data = talloc_realloc (NULL, data, uint8_t, size + 8);
      size = mutate (data, size);
      /* The copy has no spare bytes, so ASan reports a read past the end.  */
      copy = g_memdup2 (data, size);
      e = peer_message_decode (copy, size);
      if (e != NULL)
        {
          check_message (&e->u.peer);
          if (e->u.peer.kind == PEER_RECORD)
            blob_unref (e->u.peer.u.record.raw);
          talloc_free (e);
        }
      g_free (copy);
      talloc_free (data);
    }
  blob_unref (raw);
}

/* --- records and checkpoints --- */

static const char *const base_records[] = {
  "{\"id\":\"c1\",\"kind\":\"config\",\"tables\":{\"base_version\":0,"
  "\"teams\":[{\"name\":\"a\",\"share\":1,\"ceiling\":4}],\"pools\":[{"
  "\"name\":\"p\",\"vms\":[{\"name\":\"w1\",\"address\":\"127.0.0.1:1\"}]}"
  "],\"routes\":[{\"queue\":\"q\",\"pool\":\"p\"}]}}",
  "{\"id\":\"g1\",\"kind\":\"key_grant\",\"team\":\"a\",\"digest\":"
  "\"623e5d17329d20549d5ebe7a2e8688b98ed7db0b8fb983b2b22a644c218313cd\"}",
  "{\"id\":\"j1\",\"kind\":\"join\",\"vm\":\"e1\",\"zone\":\"z\","
  "\"peer_address\":\"127.0.0.1:2\"}",
};

static struct record *
decode (const char *text, gsize size)
{
  json_t *j = json_loadb (text, size, JSON_DECODE_ANY, NULL);
  struct record *r = record_from_json (NULL, j);

  json_decref (j);
  return r;
}

static struct control *
make_control (void)
{
  struct control *c = control_new (NULL);
  guint i;

  for (i = 0; i < G_N_ELEMENTS (base_records); i++)
    {
      struct record *r = decode (base_records[i], strlen (base_records[i]));

      g_assert_cmpint (control_apply (c, i, r), ==, APPLY_OK);
      talloc_free (r);
    }
  return c;
}

static char *
checkpoint_text (struct control *c)
{
  json_t *j = records_checkpoint (c);
  char *text = json_dumps (j, JSON_COMPACT);

  json_decref (j);
  return text;
}

/* Checks that checkpoint R restores the state with DIGEST or nothing.  */
static void
check_checkpoint (struct record *r, const guint8 *digest)
{
  struct control *c = control_new (NULL);
  guint8 other[DIGEST_BYTES];

  if (control_restore (c, r->u.checkpoint))
    {
      control_digest (c, other);
      g_assert_cmpmem (other, DIGEST_BYTES, digest, DIGEST_BYTES);
    }
  else
    {
      g_assert_cmpuint (c->next_offset, ==, 0);
      g_assert_cmpuint (c->key_count, ==, 0);
    }
  talloc_free (c);
}

/* Mutates the record in TEXT and decodes and applies it.  */
static void
run_record_trial (const char *text, const guint8 *digest)
{
  gsize size = strlen (text);
  guint8 *data = g_malloc (size + 8);
  struct record *r;

  memcpy (data, text, size);
  size = mutate (data, (guint)size);
  r = decode ((const char *)data, size);
  if (r != NULL && r->kind == RECORD_CHECKPOINT)
    check_checkpoint (r, digest);
  else if (r != NULL)
    {
      struct control *c = make_control ();

      control_apply (c, 3, r);
      talloc_free (c);
    }
  talloc_free (r);
  g_free (data);
}

static void
test_records (void)
{
  struct control *c = make_control ();
  char *text = checkpoint_text (c);
  guint8 digest[DIGEST_BYTES];
  guint i;

  control_digest (c, digest);
  for (i = 0; i < TRIAL_COUNT; i++)
    run_record_trial (
        i % 2 ? text : base_records[i / 2 % G_N_ELEMENTS (base_records)],
        digest);
  free (text);
  talloc_free (c);
}

int
main (int argc, char **argv)
{
  const char *text = getenv ("FTK_SEED");
  guint32 seed;

  signal (SIGPIPE, SIG_IGN);
  if (sodium_init () < 0)
    return 1;
  g_test_init (&argc, &argv, NULL);
  seed = text ? (guint32)strtoul (text, NULL, 10) : randombytes_random ();
  rng = g_rand_new_with_seed (seed);
  g_test_message ("FTK_SEED=%u", seed);
  g_test_add_func ("/mutation/frames", test_frames);
  g_test_add_func ("/mutation/messages", test_messages);
  g_test_add_func ("/mutation/records", test_records);
  return g_test_run ();
}
