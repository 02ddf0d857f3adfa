/* idempotency.c -- runs each Idempotency-Key once; repeats get its first
   answer.

   The entry that first gets a key from a caller owns it.  It runs the request
   once every holder of the key (see key_holders.c) has granted its claim; the
   first-ranked holder is asked first.  A holder stores the claim before it
   grants it, so the claim is known before the request is sent.  Another entry
   that gets the key asks the holders too, learns that another entry runs the
   request (KEY_RUNNING), and asks again until it gets the first answer.

   If the first request was not run, its caller is told so, and the claims of
   its key are dropped, so that a later repeat may run.  A repeat that waited
   for it is not run either: it may be an earlier attempt of that caller, which
   must not be told "not run" of a request that runs after all.  Any other
   answer is kept for KEEP_US.  A repeat of a
   claim whose body was dropped to save memory, or whose owner is gone, is
   answered as unknown and not run.  A request is not run while a holder of its
   key does not reply.  */

#include "core/state.h"

#include <sodium.h>
#include <stdio.h>
#include <string.h>

/** How long a claim is kept after its request was answered.  */
#define KEEP_US (600 * US_PER_S)
/** How long a completed claim is kept at least when the table is full.  */
#define KEEP_MIN_US (60 * US_PER_S)
/** Most claims.  In a full table a new claim replaces the oldest one, but only
    if that is completed and older than KEEP_MIN_US.  Otherwise a request with
    a new key is not run and is answered as unknown.  */
#define CLAIM_LIMIT_COUNT 32768
/** Most bytes of answer bodies kept.  */
#define BODY_LIMIT_BYTES (4u << 20)
/** Largest body sent to other holders.  Of a larger one they learn only that
    the answer is unknown.  */
#define COPY_LIMIT_BYTES 16384
/** Most repeats on this entry that wait for one answer.  */
#define REPEAT_LIMIT_COUNT 16
#define DIGEST_INPUT_BYTES (2 * NAME_BYTES + ID_BYTES)
#define RETRY_AFTER_MS 1000
/** Time after which a claim not yet granted is sent to the holder again.  */
#define CLAIM_RETRY_US (200 * US_PER_MS)
/** Claims of long requests moved behind the others in one tick.  */
#define MOVE_STEP_COUNT 16
/** Claims sent to their holders in one tick.  */
#define SYNC_STEP_COUNT 400

/** The claim of one key, as its owner or a holder knows it.  */
struct key_claim
{
  TAILQ_ENTRY (key_claim) link; /**< In idempotency_table.claims.  */
  uint8_t digest[DIGEST_BYTES]; /**< Digest of team, queue and key.  */
  uint64_t owner_incarnation;
  uint64_t claim_id;           /**< Number of the claim among its owner's.  */
  bool completed;              /**< The first answer is known.  */
  struct action_answer answer; /**< First answer, once completed.  */
  uint64_t updated_at_us;      /**< When it was created or completed.  */
  uint64_t keep_us;            /**< How long it is kept from then on.  */
  struct request *request;     /**< Own unanswered request, or NULL.  */
  bool follows; /**< While that request waited, another entry had the key:
                   it is not run here.  */
  uint64_t claim_sent_at_us;
  uint64_t granted_by[HOLDER_LIMIT_COUNT]; /**< Holders that granted it.  */
  uint32_t granted_count;
  uint64_t *repeat_ids; /**< request_id of each waiting repeat.  */
  uint32_t repeat_count;
};

TAILQ_HEAD (claim_list, key_claim);

/** All claims that this entry knows.  */
struct idempotency_table
{
  GHashTable *by_digest;
  struct claim_list claims;       /**< Oldest first, but see drop_expired.  */
  struct key_claim *next_to_send; /**< Next to sync; NULL: all sent.  */
  uint64_t body_bytes;            /**< Size of the bodies kept.  */
  uint64_t last_claim_id;
  uint64_t retried_at_us; /**< When claims were last checked for a retry.  */
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
  TAILQ_INIT (&c->idempotency->claims);
}

void
core_idempotency_close (struct core *c)
{
  struct key_claim *claim;

  TAILQ_FOREACH (claim, &c->idempotency->claims, link)
  blob_unref (claim->answer.body);
  g_hash_table_destroy (c->idempotency->by_digest);
}

/* Drops the body of a completed claim, whose answer becomes unknown.  */
static void
drop_body (struct idempotency_table *t, struct key_claim *claim)
{
  if (claim->answer.body == NULL)
    return;
  t->body_bytes -= claim->answer.body->size_bytes;
  blob_unref (claim->answer.body);
  claim->answer = (struct action_answer){ .code = ANSWER_UNKNOWN };
}

static void
drop_claim (struct idempotency_table *t, struct key_claim *claim)
{
  if (t->next_to_send == claim)
    t->next_to_send = TAILQ_NEXT (claim, link);
  TAILQ_REMOVE (&t->claims, claim, link);
  drop_body (t, claim);
  g_hash_table_remove (t->by_digest, claim->digest);
  talloc_free (claim);
}

/* Makes room for a claim; returns false if the table is full.  */
static bool
make_room (struct core *c)
{
  struct idempotency_table *t = c->idempotency;
  struct key_claim *claim = TAILQ_FIRST (&t->claims);

  if (g_hash_table_size (t->by_digest) < CLAIM_LIMIT_COUNT)
    return true;
  if (!claim->completed || claim->request != NULL
      || c->now_us - claim->updated_at_us < KEEP_MIN_US)
    return false;
  drop_claim (t, claim);
  return true;
}

static struct key_claim *
add_claim (struct core *c, const uint8_t *digest)
{
  struct idempotency_table *t = c->idempotency;
  struct key_claim *claim = talloc_zero (t, struct key_claim);

  memcpy (claim->digest, digest, DIGEST_BYTES);
  claim->updated_at_us = c->now_us;
  /* Its request is answered by its deadline, though its owner may be unable to
     tell of it.  */
  claim->keep_us
      = KEEP_US + c->control->issuance->table.longest_timeout_ms * US_PER_MS;
  TAILQ_INSERT_TAIL (&t->claims, claim, link);
  g_hash_table_insert (t->by_digest, claim->digest, claim);
  return claim;
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

/* Answers the request with CODE.  Unlike core_refuse, also tells the caller
   after which time to try again if CODE is ANSWER_UNKNOWN: a repeat with the
   same key does not run the request twice.  */
static void
refuse_repeat (struct core *c, uint64_t request_id, enum answer_code code)
{
  struct action_answer a = { .code = code, .retry_after_ms = RETRY_AFTER_MS };

  answer_repeat (c, request_id, &a);
}

/* Answers the repeat with the first answer, or lets it wait for that answer;
   answers it as unknown if too many wait already.  */
static void
add_repeat (struct core *c, struct key_claim *claim, uint64_t request_id)
{
  c->counters[COUNTER_REPEATS]++;
  if (claim->completed)
    {
      answer_repeat (c, request_id, &claim->answer);
      return;
    }
  if (claim->repeat_count >= REPEAT_LIMIT_COUNT)
    {
      /* Not refused as "not run": the first request may be running.  */
      refuse_repeat (c, request_id, ANSWER_UNKNOWN);
      return;
    }
  claim->repeat_ids = talloc_realloc (claim, claim->repeat_ids, uint64_t,
                                      (size_t)claim->repeat_count + 1);
  claim->repeat_ids[claim->repeat_count++] = request_id;
}

static void
make_digest (const struct event_request *e, const char *team, uint8_t *digest)
{
  char name[DIGEST_INPUT_BYTES];

  snprintf (name, sizeof name, "%s\n%s\n%s", team, e->queue,
            e->idempotency_key);
  crypto_generichash (digest, DIGEST_BYTES, (const uint8_t *)name,
                      strlen (name), NULL, 0);
}

/* Returns true if an unanswered request of this entry has the claim.  Repeats
   may wait only then, since they are answered when that request is.  */
static bool
has_own_request (const struct key_claim *claim)
{
  return claim->request != NULL;
}

bool
core_idempotency_begin (struct core *c, const struct event_request *e,
                        const char *team, struct key_claim **out)
{
  struct idempotency_table *t = c->idempotency;
  uint8_t digest[DIGEST_BYTES];
  struct key_claim *claim;

  *out = NULL;
  if (e->idempotency_key[0] == '\0')
    return true;
  make_digest (e, team, digest);
  claim = g_hash_table_lookup (t->by_digest, digest);
  if (claim != NULL && (claim->completed || has_own_request (claim)))
    {
      add_repeat (c, claim, e->request_id);
      return false;
    }
  if (claim == NULL && !make_room (c))
    {
      refuse_repeat (c, e->request_id, ANSWER_UNKNOWN);
      return false;
    }
  if (claim == NULL)
    {
      claim = add_claim (c, digest);
      claim->owner_incarnation = c->incarnation;
      claim->claim_id = ++t->last_claim_id;
    }
  *out = claim;
  return true;
}

bool
core_idempotency_has_repeats (const struct key_claim *claim)
{
  return claim->repeat_count > 0;
}

/* Sends a message of KIND with CLAIM, its STATE and, if that is KEY_ANSWERED,
   the first answer to the member TO.  Returns the message's content.  */
static struct peer_key *
send_key (struct core *c, enum peer_kind kind, uint64_t to,
          const struct key_claim *claim, enum idempotency_key_state state)
{
  struct action *a = actions_add (c->out, ACTION_PEER);
  struct peer_key *k = &a->u.peer.u.key;

  a->u.peer.kind = kind;
  a->u.peer.from_incarnation = c->incarnation;
  a->u.peer.to_incarnation = to;
  memcpy (k->digest, claim->digest, DIGEST_BYTES);
  k->owner_incarnation = claim->owner_incarnation;
  k->claim_id = claim->claim_id;
  k->state = state;
  if (state != KEY_ANSWERED)
    return k;
  k->code = claim->answer.code;
  k->http_status = claim->answer.http_status;
  if (claim->answer.body == NULL)
    return k;
  if (claim->answer.body->size_bytes <= COPY_LIMIT_BYTES)
    k->body = blob_ref (claim->answer.body);
  else
    k->code = ANSWER_UNKNOWN;
  return k;
}

static bool
has_granted (const struct key_claim *claim, uint64_t incarnation)
{
  uint32_t i;

  for (i = 0; i < claim->granted_count; i++)
    if (claim->granted_by[i] == incarnation)
      return true;
  return false;
}

/* Writes the claim's holders to H and sends the claim to the first that has
   not granted it.  Returns true if all have granted it.  */
static bool
ask_holder (struct core *c, struct key_claim *claim, struct key_holders *h)
{
  uint32_t i;

  core_find_key_holders (c, claim->digest, h);
  if (h->count == 0)
    return false;
  for (i = 0; i < h->count; i++)
    {
      bool own = h->incarnations[i] == c->incarnation;

      /* This entry is a holder and knows the claim of another member.  */
      if (own && claim->owner_incarnation != c->incarnation)
        return false;
      if (own || has_granted (claim, h->incarnations[i]))
        continue;
      claim->claim_sent_at_us = c->now_us;
      send_key (c, PEER_KEY_CLAIM, h->incarnations[i], claim, KEY_RUNNING);
      return false;
    }
  return true;
}

bool
core_idempotency_acquire (struct core *c, struct request *r)
{
  struct key_claim *claim = r->claim;
  struct key_holders h;

  claim->request = r;
  claim->follows = claim->owner_incarnation != c->incarnation;
  r->state = REQUEST_CLAIMING;
  if (core_key_placement_update (c))
    core_idempotency_start_sync (c);
  return ask_holder (c, claim, &h) && !h.in_doubt;
}

/* Sends the claim to the next holder.  If all holders have granted the claim,
   queues its request, or refuses it if another entry had the key before: then
   that entry's request was not run.  Refuses it if the key is in doubt.  */
static void
continue_claim (struct core *c, struct key_claim *claim)
{
  struct request *r = claim->request;
  struct pool_state *p = core_pool_of_queue (c, r->queue);
  struct key_holders h;
  bool granted = ask_holder (c, claim, &h);

  if (h.in_doubt)
    {
      core_refuse (c, r, ANSWER_UNKNOWN);
      return;
    }
  if (!granted)
    return;
  if (claim->follows)
    {
      core_refuse (c, r, ANSWER_FIRST_NOT_RUN);
      return;
    }
  if (p == NULL)
    {
      core_refuse (c, r, ANSWER_NO_QUEUE);
      return;
    }
  core_enqueue (c, p, r);
  core_dispatch_all (c);
}

/* Completes the claim with the answer A.  */
static void
store_answer (struct core *c, struct key_claim *claim,
              const struct action_answer *a)
{
  struct idempotency_table *t = c->idempotency;
  struct key_claim *old;

  claim->completed = true;
  claim->updated_at_us = c->now_us;
  claim->keep_us = KEEP_US;
  claim->answer = *a;
  if (a->body != NULL)
    t->body_bytes += blob_ref (a->body)->size_bytes;
  /* Without its body a claim costs little, and its key stays known.  */
  for (old = TAILQ_FIRST (&t->claims);
       old != NULL && t->body_bytes > BODY_LIMIT_BYTES;
       old = TAILQ_NEXT (old, link))
    drop_body (t, old);
}

/* Sends the claim's final STATE to the holders that granted it and to those
   of now, if this entry owns the key.  A holder that joined while the request
   ran was told that it runs; if it were not told the end, it would answer
   repeats as unknown once this entry leaves.  */
static void
send_end (struct core *c, const struct key_claim *claim,
          enum idempotency_key_state state)
{
  struct key_holders h;
  uint32_t i;

  if (claim->owner_incarnation != c->incarnation)
    return;
  for (i = 0; i < claim->granted_count; i++)
    send_key (c, PEER_KEY_STATE, claim->granted_by[i], claim, state);
  core_find_key_holders (c, claim->digest, &h);
  for (i = 0; i < h.count; i++)
    if (h.incarnations[i] != c->incarnation
        && !has_granted (claim, h.incarnations[i]))
      send_key (c, PEER_KEY_STATE, h.incarnations[i], claim, state);
}

/* Returns true if this entry owns the key and its request, which was in STATE,
   was answered with A and never sent to a worker.  */
static bool
was_not_run (const struct core *c, const struct key_claim *claim,
             const struct action_answer *a, enum request_state state)
{
  return claim->owner_incarnation == c->incarnation
         && (state == REQUEST_CLAIMING
             || strcmp (answer_code_was_run (a->code), "no") == 0);
}

void
core_idempotency_complete (struct core *c, struct key_claim *claim,
                           const struct action_answer *a)
{
  enum request_state state = claim->request->state;
  uint32_t i;

  for (i = 0; i < claim->repeat_count; i++)
    answer_repeat (c, claim->repeat_ids[i], a);
  TALLOC_FREE (claim->repeat_ids);
  claim->repeat_count = 0;
  claim->request = NULL;
  if (was_not_run (c, claim, a, state))
    {
      send_end (c, claim, KEY_NOT_RUN);
      drop_claim (c->idempotency, claim);
      return;
    }
  if (claim->completed || claim->owner_incarnation != c->incarnation)
    return;
  store_answer (c, claim, a);
  send_end (c, claim, KEY_ANSWERED);
}

/* Answers this entry's request for the key with the first answer.  */
static void
answer_own_request (struct core *c, struct key_claim *claim)
{
  struct action_answer a = claim->answer;

  if (claim->request == NULL)
    return;
  blob_ref (a.body);
  core_leave_queue (c, claim->request);
  core_answer (c, claim->request, &a);
}

/* Returns true if this entry owns the claim and its request runs.  */
static bool
runs_here (const struct core *c, const struct key_claim *claim)
{
  return claim->request != NULL && claim->request->state == REQUEST_RUNNING
         && claim->owner_incarnation == c->incarnation;
}

/* Completes the claim with the answer in K, a message of a peer.  One that
   runs here gets its own answer: a peer may have missed the end of an earlier
   claim of the key, and take it for unknown once the owner of that claim is
   gone.  */
static void
learn_answer (struct core *c, struct key_claim *claim,
              const struct peer_key *k)
{
  struct action_answer a = { .code = ANSWER_UNKNOWN };

  if (claim->completed || runs_here (c, claim))
    return;
  if (k->code < ANSWER_CODE_COUNT)
    a.code = (enum answer_code)k->code;
  a.http_status = k->http_status;
  a.body = a.code == ANSWER_WORKER ? k->body : NULL;
  claim->owner_incarnation = k->owner_incarnation;
  claim->claim_id = k->claim_id;
  store_answer (c, claim, &a);
  answer_own_request (c, claim);
}

/* Returns true if this entry's claim, not granted yet, must yield to another
   member's that arrives now: its sender was granted the key by the
   first-ranked holder, which every claimant asks first.  */
static bool
must_yield (struct core *c, const struct key_claim *claim)
{
  struct key_holders h;

  if (claim->request == NULL || claim->request->state != REQUEST_CLAIMING
      || claim->owner_incarnation != c->incarnation)
    return false;
  core_find_key_holders (c, claim->digest, &h);
  return h.count > 0 && h.incarnations[0] != c->incarnation
         && !has_granted (claim, h.incarnations[0]);
}

/* Returns the reply to the claim in M.  *CLAIM_SLOT is the claim known for the
   key, or NULL; a new claim is stored there.  */
static enum idempotency_key_state
decide_claim (struct core *c, struct key_claim **claim_slot,
              const struct peer_message *m)
{
  const struct peer_key *k = &m->u.key;
  struct key_claim *claim = *claim_slot;
  struct key_holders h;

  if (claim != NULL && claim->completed)
    return KEY_ANSWERED;
  if (claim == NULL)
    {
      core_find_key_holders (c, k->digest, &h);
      if (h.in_doubt || !make_room (c))
        return KEY_OUTCOME_UNKNOWN;
      claim = *claim_slot = add_claim (c, k->digest);
    }
  else if (claim->owner_incarnation != m->from_incarnation
           && !must_yield (c, claim))
    return KEY_RUNNING;
  claim->owner_incarnation = m->from_incarnation;
  claim->claim_id = k->claim_id;
  claim->follows = true;
  return KEY_GRANTED;
}

/* Replies to a claim of a member.  One that is gone may know outdated holders;
   one that is not known yet sends its claim again.  */
static void
on_claim (struct core *c, struct key_claim *claim,
          const struct peer_message *m)
{
  enum idempotency_key_state state;
  struct key_claim nothing = { 0 };
  struct peer_key *reply;

  if (!core_is_member (c, m->from_incarnation))
    return;
  state = decide_claim (c, &claim, m);
  if (claim == NULL)
    {
      memcpy (nothing.digest, m->u.key.digest, DIGEST_BYTES);
      claim = &nothing;
    }
  reply
      = send_key (c, PEER_KEY_CLAIM_REPLY, m->from_incarnation, claim, state);
  if (state != KEY_ANSWERED)
    reply->claim_id = m->u.key.claim_id;
}

static void
on_claim_reply (struct core *c, struct key_claim *claim,
                const struct peer_message *m)
{
  const struct peer_key *k = &m->u.key;

  if (claim == NULL || claim->request == NULL
      || claim->request->state != REQUEST_CLAIMING)
    return;
  switch (k->state)
    {
    case KEY_ANSWERED:
      learn_answer (c, claim, k);
      break;
    case KEY_OUTCOME_UNKNOWN:
      core_refuse (c, claim->request, ANSWER_UNKNOWN);
      break;
    case KEY_GRANTED:
      if (k->claim_id != claim->claim_id
          || claim->granted_count >= HOLDER_LIMIT_COUNT
          || claim->owner_incarnation != c->incarnation)
        break;
      if (!has_granted (claim, m->from_incarnation))
        claim->granted_by[claim->granted_count++] = m->from_incarnation;
      continue_claim (c, claim);
      break;
    case KEY_RUNNING:
      claim->follows = true;
      break; /* retry_claims sends the claim again.  */
    case KEY_NOT_RUN:
      break;
    }
}

static void
on_key_state (struct core *c, struct key_claim *claim,
              const struct peer_message *m)
{
  const struct peer_key *k = &m->u.key;

  if (k->state == KEY_NOT_RUN)
    {
      if (claim == NULL || claim->completed
          || claim->owner_incarnation != m->from_incarnation
          || claim->claim_id != k->claim_id)
        return;
      if (claim->request == NULL)
        {
          drop_claim (c->idempotency, claim);
          return;
        }
      /* This entry's request waits for the key, so this entry owns it now.  */
      claim->owner_incarnation = c->incarnation;
      claim->claim_id = ++c->idempotency->last_claim_id;
      claim->granted_count = 0;
      return;
    }
  if (claim == NULL && !make_room (c))
    return;
  if (claim == NULL)
    {
      claim = add_claim (c, k->digest);
      claim->owner_incarnation = k->owner_incarnation;
      claim->claim_id = k->claim_id;
    }
  if (k->state == KEY_ANSWERED)
    learn_answer (c, claim, k);
}

void
core_idempotency_on_peer (struct core *c, const struct peer_message *m)
{
  struct key_claim *claim
      = g_hash_table_lookup (c->idempotency->by_digest, m->u.key.digest);

  switch (m->kind)
    {
    case PEER_KEY_CLAIM:
      on_claim (c, claim, m);
      break;
    case PEER_KEY_CLAIM_REPLY:
      on_claim_reply (c, claim, m);
      break;
    case PEER_KEY_STATE:
      on_key_state (c, claim, m);
      break;
    default:
      break;
    }
}

/* Completes as unknown a claim whose owner is gone.  */
static void
complete_orphan (struct core *c, struct key_claim *claim)
{
  struct action_answer unknown = { .code = ANSWER_UNKNOWN };

  if (claim->completed || core_is_member (c, claim->owner_incarnation))
    return;
  store_answer (c, claim, &unknown);
  answer_own_request (c, claim);
}

/* Sends the claim to the holders that have not granted it.  */
static void
send_to_new_holders (struct core *c, struct key_claim *claim)
{
  struct key_holders h;
  uint32_t i;

  core_find_key_holders (c, claim->digest, &h);
  for (i = 0; i < h.count; i++)
    if (h.incarnations[i] != c->incarnation
        && !has_granted (claim, h.incarnations[i]))
      send_key (c, PEER_KEY_STATE, h.incarnations[i], claim,
                claim->completed ? KEY_ANSWERED : KEY_RUNNING);
}

void
core_idempotency_start_sync (struct core *c)
{
  c->idempotency->next_to_send = TAILQ_FIRST (&c->idempotency->claims);
}

bool
core_idempotency_is_syncing (const struct core *c)
{
  return c->idempotency->next_to_send != NULL;
}

/* Sends the next SYNC_STEP_COUNT claims to their holders.  */
static void
sync_step (struct core *c)
{
  struct idempotency_table *t = c->idempotency;
  uint32_t i;

  for (i = 0; i < SYNC_STEP_COUNT && t->next_to_send != NULL; i++)
    {
      struct key_claim *claim = t->next_to_send;

      t->next_to_send = TAILQ_NEXT (claim, link);
      complete_orphan (c, claim);
      send_to_new_holders (c, claim);
    }
}

/* Sends claims again that were not granted within CLAIM_RETRY_US.  */
static void
retry_claims (struct core *c)
{
  struct idempotency_table *t = c->idempotency;
  GHashTableIter it;
  gpointer value;
  GPtrArray *due;
  guint i;

  if (c->now_us - t->retried_at_us < CLAIM_RETRY_US)
    return;
  t->retried_at_us = c->now_us;
  due = g_ptr_array_new ();
  g_hash_table_iter_init (&it, c->requests);
  while (g_hash_table_iter_next (&it, NULL, &value))
    {
      struct request *r = value;

      if (r->state == REQUEST_CLAIMING
          && c->now_us - r->claim->claim_sent_at_us >= CLAIM_RETRY_US)
        g_ptr_array_add (due, r->claim);
    }
  for (i = 0; i < due->len; i++)
    continue_claim (c, g_ptr_array_index (due, i));
  g_ptr_array_free (due, TRUE);
}

static void
move_to_end (struct idempotency_table *t, struct key_claim *claim)
{
  if (t->next_to_send == claim)
    t->next_to_send = TAILQ_NEXT (claim, link);
  TAILQ_REMOVE (&t->claims, claim, link);
  TAILQ_INSERT_TAIL (&t->claims, claim, link);
}

/* Drops the claims whose time is over.  Older ones that must be kept longer
   are moved behind the others.  */
static void
drop_expired (struct core *c)
{
  struct idempotency_table *t = c->idempotency;
  struct key_claim *claim;
  uint32_t moved_count = 0;

  while ((claim = TAILQ_FIRST (&t->claims)) != NULL
         && c->now_us - claim->updated_at_us > KEEP_US
         && moved_count < MOVE_STEP_COUNT)
    {
      if (claim->request == NULL
          && c->now_us - claim->updated_at_us > claim->keep_us)
        {
          drop_claim (t, claim);
          continue;
        }
      move_to_end (t, claim);
      moved_count++;
    }
}

void
core_idempotency_tick (struct core *c)
{
  drop_expired (c);
  if (core_key_placement_update (c))
    core_idempotency_start_sync (c);
  sync_step (c);
  retry_claims (c);
}
