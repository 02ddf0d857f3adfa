/* keyed.c -- first answers kept by Idempotency-Key on this entry.

   A note stands from the moment a keyed request is taken.  While it is open,
   repeats wait for the same answer.  When the first request ended as not run
   the note goes, so a repeat may run; any other end is kept for KEEP_US.  A
   note that had to give up its body for memory is answered as unknown, like
   one that ended so: it is never run again.  */

#include "core/state.h"

#include <stdio.h>
#include <string.h>

/** How long an ended note is kept.  */
#define KEEP_US (600 * US_PER_S)
/** Most notes; a new key is refused, not run, while all are young.  */
#define NOTE_LIMIT_COUNT 65536
/** Most bytes of answers kept.  */
#define BODY_LIMIT_BYTES (4u << 20)
/** Most repeats that wait for one answer.  */
#define REPEAT_LIMIT_COUNT 16
#define NOTE_NAME_BYTES (2 * NAME_BYTES + ID_BYTES)
#define RETRY_AFTER_MS 1000

/** One key.  Invariant: it is in the list of ended notes, in the order of
    their ends, or its request is unanswered.  */
struct keyed_note
{
  TAILQ_ENTRY (keyed_note) link;
  bool ended;
  struct action_answer answer; /**< Once ended; holds its body.  */
  uint64_t ended_us;
  uint64_t *repeats; /**< request_id of the callers that wait.  */
  uint32_t repeat_count;
  char name[]; /**< Team, queue and key.  */
};

TAILQ_HEAD (note_list, keyed_note);

struct keyed
{
  GHashTable *by_name;    /**< keyed_note.name to struct keyed_note.  */
  struct note_list ended; /**< Oldest first.  */
  uint64_t body_bytes;    /**< Of the answers kept.  */
};

void
core_keyed_open (struct core *c)
{
  c->keyed = talloc_zero (c, struct keyed);
  c->keyed->by_name = g_hash_table_new (g_str_hash, g_str_equal);
  TAILQ_INIT (&c->keyed->ended);
}

void
core_keyed_close (struct core *c)
{
  struct keyed_note *n;

  TAILQ_FOREACH (n, &c->keyed->ended, link)
  blob_unref (n->answer.body);
  g_hash_table_destroy (c->keyed->by_name);
}

static void
drop_body (struct keyed *k, struct keyed_note *n)
{
  if (n->answer.body == NULL)
    return;
  k->body_bytes -= n->answer.body->size_bytes;
  blob_unref (n->answer.body);
  n->answer = (struct action_answer){ .code = ANSWER_UNKNOWN };
}

static void
forget_note (struct keyed *k, struct keyed_note *n)
{
  if (n->ended)
    TAILQ_REMOVE (&k->ended, n, link);
  drop_body (k, n);
  g_hash_table_remove (k->by_name, n->name);
  talloc_free (n);
}

void
core_keyed_tick (struct core *c)
{
  struct keyed_note *n;

  while ((n = TAILQ_FIRST (&c->keyed->ended)) != NULL
         && c->now_us - n->ended_us > KEEP_US)
    forget_note (c->keyed, n);
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
add_repeat (struct core *c, struct keyed_note *n, uint64_t request_id)
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

static struct keyed_note *
make_note (struct keyed *k, const char *name)
{
  size_t size = strlen (name) + 1;
  struct keyed_note *n
      = talloc_zero_size (k, sizeof (struct keyed_note) + size);

  memcpy (n->name, name, size);
  g_hash_table_insert (k->by_name, n->name, n);
  return n;
}

bool
core_keyed_begin (struct core *c, const struct event_request *e,
                  const char *team, struct keyed_note **note)
{
  struct keyed *k = c->keyed;
  char name[NOTE_NAME_BYTES];
  struct keyed_note *n;

  *note = NULL;
  if (e->idempotency_key[0] == '\0')
    return true;
  snprintf (name, sizeof name, "%s\n%s\n%s", team, e->queue,
            e->idempotency_key);
  n = g_hash_table_lookup (k->by_name, name);
  if (n != NULL)
    {
      add_repeat (c, n, e->request_id);
      return false;
    }
  if (g_hash_table_size (k->by_name) >= NOTE_LIMIT_COUNT)
    {
      refuse_repeat (c, e->request_id, ANSWER_QUEUE_FULL);
      return false;
    }
  *note = make_note (k, name);
  return true;
}

bool
core_keyed_is_awaited (const struct keyed_note *note)
{
  return note->repeat_count > 0;
}

static void
keep_answer (struct core *c, struct keyed_note *n,
             const struct action_answer *a)
{
  struct keyed *k = c->keyed;
  struct keyed_note *old;

  n->ended = true;
  n->ended_us = c->now_us;
  n->answer = *a;
  if (blob_ref (a->body) != NULL)
    k->body_bytes += a->body->size_bytes;
  TAILQ_INSERT_TAIL (&k->ended, n, link);
  /* An ended note without its body costs little; the key stays known.  */
  for (old = TAILQ_FIRST (&k->ended);
       old != NULL && k->body_bytes > BODY_LIMIT_BYTES;
       old = TAILQ_NEXT (old, link))
    drop_body (k, old);
}

void
core_keyed_end (struct core *c, struct keyed_note *n,
                const struct action_answer *a)
{
  uint32_t i;

  for (i = 0; i < n->repeat_count; i++)
    answer_repeat (c, n->repeats[i], a);
  TALLOC_FREE (n->repeats);
  n->repeat_count = 0;
  if (strcmp (answer_code_run (a->code), "no") == 0)
    forget_note (c->keyed, n);
  else
    keep_answer (c, n, a);
}
