/* idempotency.c -- first answers kept by Idempotency-Key.

   A key is run by the entry that first got it from a caller, its owner, after
   every holder (see home.c) has granted it, the home first.  A holder keeps a
   note before it grants, so it is there before the request is sent.  Another
   entry that gets the key asks the holders too, learns that it is open, and
   asks again until it has the first answer.

   When the first request ended as not run the notes go, so a repeat may run;
   any other end is kept for KEEP_US.  A note that had to give up its body for
   memory, or whose owner is gone, is answered as unknown: it is never run
   again.  Without an answer of every holder nothing is run.  */

#include "core/state.h"

#include <sodium.h>
#include <stdio.h>
#include <string.h>

/** How long an ended note is kept.  */
#define KEEP_US (600 * US_PER_S)
/** How long it is kept when room is short.  */
#define KEEP_LEAST_US (60 * US_PER_S)
/** Most notes; a new key is not run while all are younger than that.  */
#define NOTE_LIMIT_COUNT 32768
/** Most bytes of answers kept.  */
#define BODY_LIMIT_BYTES (4u << 20)
/** Largest answer that other holders get a copy of.  */
#define COPY_LIMIT_BYTES 16384
/** Most repeats that wait for one answer.  */
#define REPEAT_LIMIT_COUNT 16
#define NOTE_NAME_BYTES (2 * NAME_BYTES + ID_BYTES)
#define RETRY_AFTER_MS 1000
/** Time after which a claim without an answer is sent again.  */
#define CLAIM_AGAIN_US (200 * US_PER_MS)
/** Notes handed over in one tick.  */
#define SYNC_COUNT 400

/** One key.  */
struct key_claim
{
  TAILQ_ENTRY (key_claim) link; /**< In all, in the order of arrival.  */
  uint8_t digest[DIGEST_BYTES];
  uint64_t owner_incarnation;
  uint64_t claim_id;
  bool ended;
  struct action_answer answer; /**< Once ended; holds its body.  */
  uint64_t changed_us;
  struct request *request; /**< This entry's own, unanswered; or NULL.  */
  uint64_t asked_us;       /**< When the last claim was sent.  */
  uint64_t granted[HOLDER_LIMIT_COUNT]; /**< Holders that granted it.  */
  uint32_t granted_count;
  uint64_t *repeats; /**< request_id of the callers that wait.  */
  uint32_t repeat_count;
};

TAILQ_HEAD (note_list, key_claim);

struct idempotency_table
{
  GHashTable *by_digest;
  struct note_list all;
  struct key_claim *sync; /**< Next to be handed over, or NULL.  */
  uint64_t body_bytes;    /**< Of the answers kept.  */
  uint64_t next_claim_id;
  uint64_t asked_us; /**< When waiting claims were last gone through.  */
};

static guint
hash_digest (gconstpointer key)
{
  guint h;

  memcpy (&h, key, sizeof h);
  return h;
}

static gboolean
equal_digest (gconstpointer a, gconstpointer b)
{
  return memcmp (a, b, DIGEST_BYTES) == 0;
}

void
core_idempotency_open (struct core *c)
{
  c->idempotency = talloc_zero (c, struct idempotency_table);
  c->idempotency->by_digest = g_hash_table_new (hash_digest, equal_digest);
  TAILQ_INIT (&c->idempotency->all);
}

void
core_idempotency_close (struct core *c)
{
  struct key_claim *n;

  TAILQ_FOREACH (n, &c->idempotency->all, link)
  blob_unref (n->answer.body);
  g_hash_table_destroy (c->idempotency->by_digest);
}

static void
drop_body (struct idempotency_table *k, struct key_claim *n)
{
  if (n->answer.body == NULL)
    return;
  k->body_bytes -= n->answer.body->size_bytes;
  blob_unref (n->answer.body);
  n->answer = (struct action_answer){ .code = ANSWER_UNKNOWN };
}

static void
forget_note (struct idempotency_table *k, struct key_claim *n)
{
  if (k->sync == n)
    k->sync = TAILQ_NEXT (n, link);
  TAILQ_REMOVE (&k->all, n, link);
  drop_body (k, n);
  g_hash_table_remove (k->by_digest, n->digest);
  talloc_free (n);
}

/* Makes room for a note; returns false if there is none.  */
static bool
has_room (struct core *c)
{
  struct idempotency_table *k = c->idempotency;
  struct key_claim *n = TAILQ_FIRST (&k->all);

  if (g_hash_table_size (k->by_digest) < NOTE_LIMIT_COUNT)
    return true;
  if (!n->ended || n->request != NULL
      || c->now_us - n->changed_us < KEEP_LEAST_US)
    return false;
  forget_note (k, n);
  return true;
}

static struct key_claim *
make_note (struct core *c, const uint8_t *digest)
{
  struct idempotency_table *k = c->idempotency;
  struct key_claim *n = talloc_zero (k, struct key_claim);

  memcpy (n->digest, digest, DIGEST_BYTES);
  n->changed_us = c->now_us;
  TAILQ_INSERT_TAIL (&k->all, n, link);
  g_hash_table_insert (k->by_digest, n->digest, n);
  return n;
}

static void
answer_repeat (struct core *c, uint64_t request_id,
               const struct action_answer *answer)
{
  struct action *a = actions_add (c->out, ACTION_ANSWER);

  a->u.answer = *answer;
  a->u.answer.request_id = request_id;
  blob_ref (answer->body);
}

static void
refuse_repeat (struct core *c, uint64_t request_id, enum answer_code code)
{
  struct action_answer a = { .code = code, .retry_after_ms = RETRY_AFTER_MS };

  answer_repeat (c, request_id, &a);
}

static void
add_repeat (struct core *c, struct key_claim *n, uint64_t request_id)
{
  c->counters[COUNTER_REPEATS]++;
  if (n->ended)
    {
      answer_repeat (c, request_id, &n->answer);
      return;
    }
  if (n->repeat_count >= REPEAT_LIMIT_COUNT)
    {
      /* The first request may be running, so no `not run` here.  */
      refuse_repeat (c, request_id, ANSWER_UNKNOWN);
      return;
    }
  n->repeats
      = talloc_realloc (n, n->repeats, uint64_t, (size_t)n->repeat_count + 1);
  n->repeats[n->repeat_count++] = request_id;
}

static void
digest_of (const struct event_request *e, const char *team, uint8_t *digest)
{
  char name[NOTE_NAME_BYTES];

  snprintf (name, sizeof name, "%s\n%s\n%s", team, e->queue,
            e->idempotency_key);
  crypto_generichash (digest, DIGEST_BYTES, (const uint8_t *)name,
                      strlen (name), NULL, 0);
}

/* Returns true if the note stands for a request of this entry: only then is
   there an end that answers the repeats.  */
static bool
is_mine (const struct key_claim *n)
{
  return n->request != NULL;
}

bool
core_idempotency_begin (struct core *c, const struct event_request *e,
                        const char *team, struct key_claim **note)
{
  struct idempotency_table *k = c->idempotency;
  uint8_t digest[DIGEST_BYTES];
  struct key_claim *n;

  *note = NULL;
  if (e->idempotency_key[0] == '\0')
    return true;
  digest_of (e, team, digest);
  n = g_hash_table_lookup (k->by_digest, digest);
  if (n != NULL && (n->ended || is_mine (n)))
    {
      add_repeat (c, n, e->request_id);
      return false;
    }
  if (n == NULL && !has_room (c))
    {
      refuse_repeat (c, e->request_id, ANSWER_UNKNOWN);
      return false;
    }
  if (n == NULL)
    {
      n = make_note (c, digest);
      n->owner_incarnation = c->incarnation;
      n->claim_id = ++k->next_claim_id;
    }
  *note = n;
  return true;
}

bool
core_idempotency_has_repeats (const struct key_claim *note)
{
  return note->repeat_count > 0;
}

static struct peer_key *
send_key (struct core *c, enum peer_kind kind, uint64_t to,
          const struct key_claim *n, enum idempotency_key_state state)
{
  struct action *a = actions_add (c->out, ACTION_PEER);
  struct peer_key *k = &a->u.peer.u.key;

  a->u.peer.kind = kind;
  a->u.peer.from_incarnation = c->incarnation;
  a->u.peer.to_incarnation = to;
  memcpy (k->digest, n->digest, DIGEST_BYTES);
  k->owner_incarnation = n->owner_incarnation;
  k->claim_id = n->claim_id;
  k->state = state;
  if (state != KEY_ANSWERED)
    return k;
  k->code = n->answer.code;
  k->http_status = n->answer.http_status;
  if (n->answer.body == NULL)
    return k;
  if (n->answer.body->size_bytes <= COPY_LIMIT_BYTES)
    k->body = blob_ref (n->answer.body);
  else
    k->code = ANSWER_UNKNOWN;
  return k;
}

static bool
has_granted (const struct key_claim *n, uint64_t incarnation)
{
  uint32_t i;

  for (i = 0; i < n->granted_count; i++)
    if (n->granted[i] == incarnation)
      return true;
  return false;
}

/* Asks the next holder.  Returns true if all have granted the key.  */
static bool
ask_next (struct core *c, struct key_claim *n, struct key_holders *h)
{
  uint32_t i;

  core_find_key_holders (c, n->digest, h);
  if (h->count == 0)
    return false;
  for (i = 0; i < h->count; i++)
    {
      bool own = h->incarnations[i] == c->incarnation;

      if (own && n->owner_incarnation != c->incarnation)
        return false;
      if (own || has_granted (n, h->incarnations[i]))
        continue;
      n->asked_us = c->now_us;
      send_key (c, PEER_KEY_CLAIM, h->incarnations[i], n, KEY_RUNNING);
      return false;
    }
  return true;
}

bool
core_idempotency_acquire (struct core *c, struct request *r)
{
  struct key_claim *n = r->claim;
  struct key_holders h;

  n->request = r;
  r->state = REQUEST_CLAIMING;
  if (core_key_placement_update (c))
    core_idempotency_start_sync (c);
  return ask_next (c, n, &h) && !h.in_doubt;
}

/* Goes on with the claim of N's request, or ends it.  */
static void
go_on (struct core *c, struct key_claim *n)
{
  struct request *r = n->request;
  struct pool_state *p = core_pool_of_queue (c, r->queue);
  struct key_holders h;
  bool granted = ask_next (c, n, &h);

  if (h.in_doubt)
    {
      core_refuse (c, r, ANSWER_UNKNOWN);
      return;
    }
  if (!granted)
    return;
  if (p == NULL)
    {
      core_refuse (c, r, ANSWER_NO_QUEUE);
      return;
    }
  core_enqueue (c, p, r);
  core_dispatch_all (c);
}

static void
keep_answer (struct core *c, struct key_claim *n,
             const struct action_answer *a)
{
  struct idempotency_table *k = c->idempotency;
  struct key_claim *old;

  n->ended = true;
  n->changed_us = c->now_us;
  n->answer = *a;
  if (a->body != NULL)
    k->body_bytes += blob_ref (a->body)->size_bytes;
  /* An ended note without its body costs little; the key stays known.  */
  for (old = TAILQ_FIRST (&k->all);
       old != NULL && k->body_bytes > BODY_LIMIT_BYTES;
       old = TAILQ_NEXT (old, link))
    drop_body (k, old);
}

static void
tell_holders (struct core *c, const struct key_claim *n,
              enum idempotency_key_state state)
{
  uint32_t i;

  if (n->owner_incarnation != c->incarnation)
    return;
  for (i = 0; i < n->granted_count; i++)
    send_key (c, PEER_KEY_STATE, n->granted[i], n, state);
}

/* True if the key's owner, this entry, has never sent it.  */
static bool
is_unrun (const struct core *c, const struct key_claim *n,
          const struct action_answer *a, enum request_state state)
{
  return n->owner_incarnation == c->incarnation
         && (state == REQUEST_CLAIMING
             || strcmp (answer_code_was_run (a->code), "no") == 0);
}

void
core_idempotency_complete (struct core *c, struct key_claim *n,
                           const struct action_answer *a)
{
  enum request_state state = n->request->state;
  uint32_t i;

  for (i = 0; i < n->repeat_count; i++)
    answer_repeat (c, n->repeats[i], a);
  TALLOC_FREE (n->repeats);
  n->repeat_count = 0;
  n->request = NULL;
  if (is_unrun (c, n, a, state))
    {
      tell_holders (c, n, KEY_NOT_RUN);
      forget_note (c->idempotency, n);
      return;
    }
  if (n->ended || n->owner_incarnation != c->incarnation)
    return;
  keep_answer (c, n, a);
  tell_holders (c, n, KEY_ANSWERED);
}

/* Gives the first answer, learnt from elsewhere, to this entry's callers.  */
static void
settle (struct core *c, struct key_claim *n)
{
  struct action_answer a = n->answer;

  if (n->request == NULL)
    return;
  blob_ref (a.body);
  core_answer (c, n->request, &a);
}

static void
learn_answer (struct core *c, struct key_claim *n, const struct peer_key *k)
{
  struct action_answer a = { .code = ANSWER_UNKNOWN };

  if (n->ended)
    return;
  if (k->code < ANSWER_CODE_COUNT)
    a.code = (enum answer_code)k->code;
  a.http_status = k->http_status;
  a.body = a.code == ANSWER_WORKER ? k->body : NULL;
  n->owner_incarnation = k->owner_incarnation;
  n->claim_id = k->claim_id;
  keep_answer (c, n, &a);
  settle (c, n);
}

/* True if this entry's own claim must give way: the home has not granted it,
   so the other claimant, who asks the home first, has its grant.  */
static bool
gives_way (struct core *c, const struct key_claim *n)
{
  struct key_holders h;

  if (n->request == NULL || n->request->state != REQUEST_CLAIMING
      || n->owner_incarnation != c->incarnation)
    return false;
  core_find_key_holders (c, n->digest, &h);
  return h.count > 0 && h.incarnations[0] != c->incarnation
         && !has_granted (n, h.incarnations[0]);
}

static enum idempotency_key_state
judge_claim (struct core *c, struct key_claim **note,
             const struct peer_message *m)
{
  const struct peer_key *k = &m->u.key;
  struct key_claim *n = *note;
  struct key_holders h;

  if (n != NULL && n->ended)
    return KEY_ANSWERED;
  if (n == NULL)
    {
      core_find_key_holders (c, k->digest, &h);
      if (h.in_doubt || !has_room (c))
        return KEY_OUTCOME_UNKNOWN;
      n = *note = make_note (c, k->digest);
    }
  else if (n->owner_incarnation != m->from_incarnation && !gives_way (c, n))
    return KEY_RUNNING;
  n->owner_incarnation = m->from_incarnation;
  n->claim_id = k->claim_id;
  return KEY_GRANTED;
}

static void
on_claim (struct core *c, struct key_claim *n, const struct peer_message *m)
{
  enum idempotency_key_state state = judge_claim (c, &n, m);
  struct key_claim nothing = { 0 };
  struct peer_key *reply;

  if (n == NULL)
    {
      memcpy (nothing.digest, m->u.key.digest, DIGEST_BYTES);
      n = &nothing;
    }
  reply = send_key (c, PEER_KEY_CLAIM_REPLY, m->from_incarnation, n, state);
  if (state != KEY_ANSWERED)
    reply->claim_id = m->u.key.claim_id;
}

static void
on_claimed (struct core *c, struct key_claim *n, const struct peer_message *m)
{
  const struct peer_key *k = &m->u.key;

  if (n == NULL || n->request == NULL || n->request->state != REQUEST_CLAIMING)
    return;
  switch (k->state)
    {
    case KEY_ANSWERED:
      learn_answer (c, n, k);
      break;
    case KEY_OUTCOME_UNKNOWN:
      core_refuse (c, n->request, ANSWER_UNKNOWN);
      break;
    case KEY_GRANTED:
      if (k->claim_id != n->claim_id || n->granted_count >= HOLDER_LIMIT_COUNT
          || n->owner_incarnation != c->incarnation)
        break;
      if (!has_granted (n, m->from_incarnation))
        n->granted[n->granted_count++] = m->from_incarnation;
      go_on (c, n);
      break;
    case KEY_RUNNING:
    case KEY_NOT_RUN:
      /* Asked again by the tick.  */
      break;
    }
}

static void
on_note (struct core *c, struct key_claim *n, const struct peer_message *m)
{
  const struct peer_key *k = &m->u.key;

  if (k->state == KEY_NOT_RUN)
    {
      if (n == NULL || n->ended || n->owner_incarnation != m->from_incarnation
          || n->claim_id != k->claim_id)
        return;
      if (n->request == NULL)
        {
          forget_note (c->idempotency, n);
          return;
        }
      /* This entry's own request takes the key over.  */
      n->owner_incarnation = c->incarnation;
      n->claim_id = ++c->idempotency->next_claim_id;
      n->granted_count = 0;
      return;
    }
  if (n == NULL && !has_room (c))
    return;
  if (n == NULL)
    {
      n = make_note (c, k->digest);
      n->owner_incarnation = k->owner_incarnation;
      n->claim_id = k->claim_id;
    }
  if (k->state == KEY_ANSWERED)
    learn_answer (c, n, k);
}

void
core_idempotency_on_peer (struct core *c, const struct peer_message *m)
{
  struct key_claim *n
      = g_hash_table_lookup (c->idempotency->by_digest, m->u.key.digest);

  switch (m->kind)
    {
    case PEER_KEY_CLAIM:
      on_claim (c, n, m);
      break;
    case PEER_KEY_CLAIM_REPLY:
      on_claimed (c, n, m);
      break;
    case PEER_KEY_STATE:
      on_note (c, n, m);
      break;
    default:
      break;
    }
}

/* The owner is gone: nobody will tell the end.  */
static void
close_orphan (struct core *c, struct key_claim *n)
{
  struct action_answer unknown = { .code = ANSWER_UNKNOWN };

  if (n->ended || core_is_member (c, n->owner_incarnation))
    return;
  keep_answer (c, n, &unknown);
  settle (c, n);
}

static void
hand_over (struct core *c, struct key_claim *n)
{
  struct key_holders h;
  uint32_t i;

  core_find_key_holders (c, n->digest, &h);
  for (i = 0; i < h.count; i++)
    if (h.incarnations[i] != c->incarnation
        && !has_granted (n, h.incarnations[i]))
      send_key (c, PEER_KEY_STATE, h.incarnations[i], n,
                n->ended ? KEY_ANSWERED : KEY_RUNNING);
}

void
core_idempotency_start_sync (struct core *c)
{
  c->idempotency->sync = TAILQ_FIRST (&c->idempotency->all);
}

bool
core_idempotency_is_syncing (const struct core *c)
{
  return c->idempotency->sync != NULL;
}

static void
sync_some (struct core *c)
{
  struct idempotency_table *k = c->idempotency;
  uint32_t i;

  for (i = 0; i < SYNC_COUNT && k->sync != NULL; i++)
    {
      struct key_claim *n = k->sync;

      k->sync = TAILQ_NEXT (n, link);
      close_orphan (c, n);
      hand_over (c, n);
    }
}

/* Asks again for claims that have waited long enough.  */
static void
ask_again (struct core *c)
{
  struct idempotency_table *k = c->idempotency;
  GHashTableIter it;
  gpointer value;
  GPtrArray *due;
  guint i;

  if (c->now_us - k->asked_us < CLAIM_AGAIN_US)
    return;
  k->asked_us = c->now_us;
  due = g_ptr_array_new ();
  g_hash_table_iter_init (&it, c->requests);
  while (g_hash_table_iter_next (&it, NULL, &value))
    {
      struct request *r = value;

      if (r->state == REQUEST_CLAIMING
          && c->now_us - r->claim->asked_us >= CLAIM_AGAIN_US)
        g_ptr_array_add (due, r->claim);
    }
  for (i = 0; i < due->len; i++)
    go_on (c, g_ptr_array_index (due, i));
  g_ptr_array_free (due, TRUE);
}

void
core_idempotency_tick (struct core *c)
{
  struct key_claim *n;

  while ((n = TAILQ_FIRST (&c->idempotency->all)) != NULL && n->request == NULL
         && c->now_us - n->changed_us > KEEP_US)
    forget_note (c->idempotency, n);
  if (core_key_placement_update (c))
    core_idempotency_start_sync (c);
  sync_some (c);
  ask_again (c);
}
