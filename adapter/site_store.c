/* site_store.c -- the duty that calls the platform's store.  */

#include "adapter/site_store.h"

#include "adapter/cell_post.h"
#include "adapter/claim_codec.h"
#include "adapter/http_client.h"
#include "adapter/job_codec.h"
#include "adapter/operator_records.h"
#include "adapter/timer.h"
#include "platform/config.h"
#include "platform/runner.h"
#include "platform/store.h"

#include <glib.h>
#include <stdatomic.h>
#include <stdio.h>
#include <string.h>

#define RING_CAPACITY_COUNT 4096
#define HOST_CONNECTION_LIMIT_COUNT 8
#define CONNECT_TIMEOUT_MS 400
/** Timeouts of calls; a read that the store holds back has its wait added.  */
#define CALL_TIMEOUT_MS 700
#define APPEND_TIMEOUT_MS 1200
#define LIST_TIMEOUT_MS 1500
/** Delay before a failed read is repeated.  */
#define RETRY_DELAY_MS 250
/** How long the store may hold a read back.  Each answer to a read of the
    configuration confirms that the entry's copy is current; the wait for a
    claim bounds how long a dead connection goes unnoticed.  */
#define CONFIG_WAIT_MS 1200
#define CLAIM_WAIT_MS 3000
/** The same for the owner, whose ownership rests on how long ago a read of the
    claims was sent.  */
#define OWNER_CLAIM_WAIT_MS 1000
/** Delay between two reads of the registrations of runners.  */
#define RUNNERS_POLL_INTERVAL_MS 200
/** Expiry of the membership in the group: the shortest that the store
    allows.  */
#define MEMBER_EXPIRY_MS 1000
#define BODY_BYTES 400
#define KEY_BYTES 256
/** Most keys of malformed records that a follower remembers; then it forgets
    all, and logs them again.  */
#define MALFORMED_LIMIT_COUNT 1000
/** Sequence number and key of the record that fences the topic at a takeover;
    its value is the member.  */
#define FENCE_SEQUENCE 0
#define FENCE_KEY "owner"
#define PRODUCER "cell"

/* Records found malformed, by any of the followers and recoveries.  */
static _Atomic uint64_t malformed_count;

struct follower;
typedef void follower_fn (struct follower *f,
                          const struct platform_records *r);

/* Follows a keyed topic: lists the newest record of each key, then reads the
   records that are appended.  */
struct follower
{
  struct site_store *store;
  const char *topic;
  uint32_t wait_ms;
  uint32_t poll_interval_ms; /**< Delay between two reads.  */
  follower_fn *on_records;
  bool active;
  bool tailing; /**< The listing is complete; appended records are read.  */
  bool first_page;
  bool of_listing; /**< The answer being handled is a page of a listing.  */
  char after_key[KEY_BYTES]; /**< Last key listed.  */
  uint64_t from_offset;      /**< Offset of the next read.  */
  uint64_t list_end_offset;  /**< End of the topic at the first page.  */
  uint64_t sent_at_us;
  uint64_t list_sent_at_us; /**< When the first page was requested.  */
  bool call_failed;         /**< Last call failed; a change is logged.  */
  GHashTable *malformed;    /**< Escaped keys of the malformed records.  */
  void *call;               /**< The open call, or NULL.  */
  struct tevent_timer *timer;
  struct cell_event *pending_event; /**< CELL_RUNNERS, listed so far.  */
};

struct site_store
{
  struct duty *duty;
  struct http_client *http;
  struct ring *cell;
  struct line_log *log;
  char address[ADDRESS_BYTES];
  char member[NAME_BYTES];
  char relay_address[ADDRESS_BYTES];
  uint64_t generation; /**< Of the group, from the last answer to a join.  */
  struct follower config;
  struct operator_records *records;
  struct follower claims;
  struct follower runners;
  uint64_t recover_token; /**< Token of the newest recovery; others end. */
  char recover_after_key[KEY_BYTES]; /**< Last key that recovery has read.  */
};

/* An operation of the cell, until its call has ended.  */
struct store_call
{
  struct site_store *store;
  struct store_operation op;
  uint64_t sent_at_us; /**< STORE_JOIN: when the cell asked for it.  */
};

/* Logs the HTTP status of a call on TOPIC.  */
static void
log_call (struct site_store *t, const char *what, const char *topic,
          uint32_t status)
{
  char fields[200];

  snprintf (fields, sizeof fields, "\"topic\":\"%s\",\"status\":%u", topic,
            status);
  line_log_write (t->log, what, 0, fields);
}

/* Logs and counts that the record of TOPIC with the escaped KEY cannot be
   used.  */
static void
log_malformed (struct site_store *t, const char *what, const char *topic,
               const char *key)
{
  char fields[300];

  snprintf (fields, sizeof fields, "\"topic\":\"%s\",\"key\":\"%.200s\"",
            topic, key);
  line_log_write (t->log, what, 0, fields);
  atomic_fetch_add (&malformed_count, 1);
}

/* Notes whether the record with the escaped KEY is malformed.  If it is, the
   event WHAT is logged, once until the record can be read again.  */
static void
note_malformed (struct follower *f, const char *what, const char *key,
                bool malformed)
{
  if (!malformed)
    g_hash_table_remove (f->malformed, key);
  else if (!g_hash_table_contains (f->malformed, key))
    {
      if (g_hash_table_size (f->malformed) >= MALFORMED_LIMIT_COUNT)
        g_hash_table_remove_all (f->malformed);
      g_hash_table_add (f->malformed, g_strdup (key));
      log_malformed (f->store, what, f->topic, key);
    }
}

/* The same for the record X.  */
static void
note_record (struct follower *f, const char *what,
             const struct platform_record *x, bool malformed)
{
  char *key = g_uri_escape_string (x->key, "/", FALSE);

  note_malformed (f, what, key, malformed);
  g_free (key);
}

/* Starts a call whose body, if any, is JSON or framed records.  Returns its
   id, or NULL when memory is out.  */
static void *
start_call (struct site_store *t, const char *method, const char *url,
            struct blob *body, uint32_t timeout_ms, http_done_fn *done,
            void *state)
{
  static const char *const json_lines[]
      = { "Content-Type: application/json", NULL };
  static const char *const raw_lines[]
      = { "Content-Type: application/octet-stream", NULL };
  struct http_call call
      = { .method = method,
          .url = url,
          .header_lines
          = body != NULL && body->size_bytes > 0 && body->data[0] == '{'
                ? json_lines
                : raw_lines,
          .body = body,
          .timeout_ms = timeout_ms,
          .connect_timeout_ms = CONNECT_TIMEOUT_MS,
          .send_once = true,
          .on_done = done,
          .state = state };

  return http_client_start (t->http, &call);
}

static void follower_request (struct follower *f);

static void
follower_on_timer (struct tevent_context *loop, struct tevent_timer *te,
                   struct timeval at, void *state)
{
  struct follower *f = state;

  (void)loop;
  (void)te;
  (void)at;
  f->timer = NULL;
  follower_request (f);
}

static void
follower_request_later (struct follower *f, uint32_t delay_ms)
{
  TALLOC_FREE (f->timer);
  if (delay_ms == 0)
    {
      follower_request (f);
      return;
    }
  f->timer = timer_add (f->store->duty->loop, f->store->duty->loop,
                        delay_ms * US_PER_MS, follower_on_timer, f);
}

static void
follower_restart_listing (struct follower *f)
{
  f->tailing = false;
  f->first_page = true;
  f->after_key[0] = '\0';
}

/* Notes the records of R that have no place among its items.  */
static void
note_unreadable_keys (struct follower *f, const struct platform_records *r)
{
  uint32_t i;

  for (i = 0; i < r->unreadable_count; i++)
    note_malformed (f, "record_malformed", r->unreadable_keys[i], true);
}

/* Sets AFTER, of KEY_BYTES, to the last key of the page R.  Returns false if
   no page follows it.  */
static bool
advance_after_key (char *after, const struct platform_records *r)
{
  const char *last
      = r->item_count > 0 ? r->items[r->item_count - 1].key : after;

  if (!r->more || strcmp (after, last) == 0)
    return false;
  text_copy (after, KEY_BYTES, last);
  return true;
}

/* Passes the records of an answer to on_records and moves F to the next page
   or read.  Returns false if the call failed or its answer is malformed.  */
static bool
follower_apply_answer (struct follower *f, TALLOC_CTX *mem,
                       const struct http_result *r)
{
  struct platform_records x;
  const void *body = r->body != NULL ? r->body->data : NULL;
  uint32_t n = r->body != NULL ? r->body->size_bytes : 0;

  f->of_listing = !f->tailing;
  if (f->tailing)
    {
      if (!platform_read_decode (mem, r->status, f->from_offset, body, n, &x))
        return false;
      if (x.expired)
        {
          follower_restart_listing (f);
          return true;
        }
      note_unreadable_keys (f, &x);
      f->from_offset += x.item_count + x.unreadable_count;
      f->on_records (f, &x);
      return true;
    }
  if (!platform_newest_decode (mem, r->status, body, n, &x))
    return false;
  note_unreadable_keys (f, &x);
  if (f->first_page)
    {
      f->list_end_offset = x.end_offset;
      f->list_sent_at_us = f->sent_at_us;
    }
  /* Without a key to continue after, the listing ends here; the records that
     are appended bring the others.  */
  if (!advance_after_key (f->after_key, &x))
    {
      f->tailing = true;
      f->from_offset = f->list_end_offset;
    }
  f->on_records (f, &x);
  f->first_page = false;
  return true;
}

static void
follower_on_answer (void *state, const struct http_result *r)
{
  struct follower *f = state;
  TALLOC_CTX *tmp = talloc_new (NULL);
  bool valid = follower_apply_answer (f, tmp, r);

  f->call = NULL;
  talloc_free (tmp);
  if (valid == f->call_failed)
    {
      f->call_failed = !valid;
      log_call (f->store, valid ? "store_back" : "store_lost", f->topic,
                r->status);
    }
  if (!f->active)
    return;
  follower_request_later (f, !valid       ? RETRY_DELAY_MS
                             : f->tailing ? f->poll_interval_ms
                                          : 0);
}

static void
follower_request (struct follower *f)
{
  struct site_store *t = f->store;
  /* After a failure the answer alone tells much, so the store is not to hold
     it back until there is a record.  */
  uint32_t wait_ms = f->call_failed ? 0 : f->wait_ms;
  char url[PLATFORM_STORE_URL_BYTES];

  if (!f->active || f->call != NULL)
    return;
  f->sent_at_us = now_us ();
  if (f->tailing)
    platform_read_url (url, t->address, f->topic, f->from_offset, wait_ms);
  else
    platform_newest_url (url, t->address, f->topic, f->after_key);
  f->call
      = start_call (t, "GET", url, NULL,
                    f->tailing ? wait_ms + CALL_TIMEOUT_MS : LIST_TIMEOUT_MS,
                    follower_on_answer, f);
  if (f->call == NULL)
    follower_request_later (f, RETRY_DELAY_MS);
}

/* Reads F's topic at once, without waiting for the answer to the open call. */
static void
follower_read_now (struct follower *f)
{
  if (f->call == NULL)
    return;
  http_client_abort (f->store->http, f->call);
  f->call = NULL;
  follower_request (f);
}

/* Adds the wave of X to the events that are held, unless it is malformed.  */
static void
hold_wave (struct follower *f, const struct platform_record *x)
{
  struct cell_event *e = cell_event_new (CELL_WAVE);
  bool valid = platform_wave_decode (e, x->value, x->value_bytes, &e->u.wave);

  note_record (f, "wave_malformed", x, !valid);
  if (valid)
    operator_records_hold (f->store->records, e);
  else
    talloc_free (e);
}

/* The same for the configuration of X.  */
static void
hold_config (struct follower *f, const struct platform_record *x)
{
  struct cell_event *e = cell_event_new (CELL_CONFIG);

  e->u.config = platform_config_decode (e, x->value, x->value_bytes);
  note_record (f, "config_malformed", x, e->u.config == NULL);
  if (e->u.config != NULL)
    operator_records_hold (f->store->records, e);
  else
    talloc_free (e);
}

/* Posts an event of KIND, CELL_CONFIG_CONFIRMED or CELL_CLAIMS_CONFIRMED, if R
   ends at the end of F's topic: no record had been appended that was not told
   of when the request for R was sent.  */
static void
post_confirmation (struct follower *f, const struct platform_records *r,
                   enum cell_event_kind kind)
{
  struct cell_event *e;
  uint64_t sent_at_us;

  if (!f->tailing || f->from_offset < r->end_offset)
    return;
  /* A listing is no snapshot.  One of several pages gets here only if the
     topic has not grown since its first page, so the time of the last page's
     request counts.  */
  sent_at_us = f->first_page || r->more ? f->list_sent_at_us : f->sent_at_us;
  e = cell_event_new (kind);
  if (kind == CELL_CONFIG_CONFIRMED)
    e->u.config_sent_at_us = sent_at_us;
  else
    e->u.claims_sent_at_us = sent_at_us;
  cell_post (f->store->cell, e);
}

/* Applies X, a record of the request to evacuate a zone.  */
static void
apply_evacuation (struct follower *f, const struct platform_record *x)
{
  char zone[NAME_BYTES];
  bool valid = platform_evacuation_decode (x->key, zone);

  note_record (f, "evacuation_malformed", x, !valid);
  if (valid)
    operator_records_set_zone (f->store->records, zone, x->value_bytes > 0,
                               f->of_listing);
}

/* Handles records of the operators.  The zones of a listing are known when its
   last page was read; until they are posted, its configuration is held, so
   that an entry which has the configuration knows the zones, too.  */
static void
on_config (struct follower *f, const struct platform_records *r)
{
  struct operator_records *s = f->store->records;
  uint32_t i;

  if (f->of_listing && f->first_page)
    operator_records_begin_listing (s);
  for (i = 0; i < r->item_count; i++)
    {
      const struct platform_record *x = &r->items[i];

      if (g_str_has_prefix (x->key, PLATFORM_KEY_EVACUATE))
        apply_evacuation (f, x);
      else if (x->value_bytes == 0)
        continue;
      else if (strcmp (x->key, PLATFORM_KEY_CONFIG) == 0)
        hold_config (f, x);
      else if (g_str_has_prefix (x->key, PLATFORM_KEY_WAVE))
        hold_wave (f, x);
    }
  if (!f->tailing)
    return;
  if (f->of_listing)
    operator_records_end_listing (s);
  if (!operator_records_post (s))
    return;
  post_confirmation (f, r, CELL_CONFIG_CONFIRMED);
}

static void
on_claims (struct follower *f, const struct platform_records *r)
{
  struct cell_event *e = cell_event_new (CELL_CLAIM);
  uint32_t i;

  e->u.claim.none = true;
  for (i = 0; i < r->item_count; i++)
    if (r->items[i].value_bytes > 0 && claim_decode (&r->items[i], e))
      {
        e->u.claim.none = false;
        e->u.claim.token = r->items[i].offset + 1;
      }
  e->u.claim.next_offset = f->from_offset;
  if (f->tailing && (!e->u.claim.none || f->first_page))
    cell_post (f->store->cell, e);
  else
    talloc_free (e);
  post_confirmation (f, r, CELL_CLAIMS_CONFIRMED);
}

static void
on_runners (struct follower *f, const struct platform_records *r)
{
  struct cell_event *e = f->pending_event;
  uint32_t i;

  if (e == NULL)
    e = cell_event_new (CELL_RUNNERS);
  f->pending_event = NULL;
  if (f->first_page)
    e->u.runners.whole = true;
  e->u.runners.rows
      = talloc_realloc (e, e->u.runners.rows, struct runner_report,
                        e->u.runners.row_count + r->item_count + 1);
  for (i = 0; i < r->item_count; i++)
    {
      const struct platform_record *x = &r->items[i];
      bool valid = platform_runner_report_decode (
          x->key, x->value, x->value_bytes,
          &e->u.runners.rows[e->u.runners.row_count]);

      e->u.runners.row_count += valid;
      note_record (f, "runner_malformed", x, !valid);
    }
  if (!f->tailing)
    {
      f->pending_event = e;
      return;
    }
  if (e->u.runners.whole || e->u.runners.row_count > 0)
    cell_post (f->store->cell, e);
  else
    talloc_free (e);
}

static int
store_call_free (struct store_call *x)
{
  blob_unref (x->op.body);
  return 0;
}

static void
end_call (struct store_call *x)
{
  talloc_free (x);
}

static void
on_joined (void *state, const struct http_result *r)
{
  struct store_call *x = state;
  struct cell_event *e = cell_event_new (CELL_JOINED);

  e->u.joined.sent_at_us = x->sent_at_us;
  e->u.joined.answered
      = platform_join_decode (r->status, r->body ? r->body->data : NULL,
                              r->body ? r->body->size_bytes : 0,
                              &x->store->generation, &e->u.joined.holds);
  cell_post (x->store->cell, e);
  end_call (x);
}

static void
on_left (void *state, const struct http_result *r)
{
  struct store_call *x = state;

  if (r->status != 200)
    log_call (x->store, "leave_failed", PLATFORM_TOPIC_CELLS, r->status);
  end_call (x);
}

static void
on_holder (void *state, const struct http_result *r)
{
  struct store_call *x = state;
  struct cell_event *e = cell_event_new (CELL_HOLDER);

  e->u.holder.known = platform_holder_decode (
      r->status, r->body ? r->body->data : NULL,
      r->body ? r->body->size_bytes : 0, e->u.holder.member);
  cell_post (x->store->cell, e);
  end_call (x);
}

static struct platform_append_result
decode_append (const struct http_result *r)
{
  struct platform_append_result a;

  platform_append_decode (r->status, r->sent, r->body ? r->body->data : NULL,
                          r->body ? r->body->size_bytes : 0, &a);
  return a;
}

static void
on_claimed (void *state, const struct http_result *r)
{
  struct store_call *x = state;
  struct platform_append_result a = decode_append (r);
  struct cell_event *e = cell_event_new (CELL_CLAIM_RESULT);

  e->u.claimed.outcome = a.outcome;
  e->u.claimed.token = a.offset + 1;
  cell_post (x->store->cell, e);
  /* The topic has grown, and the read that would tell how is not answered. */
  if (a.outcome != APPEND_STORED)
    follower_read_now (&x->store->claims);
  end_call (x);
}

static void
on_appended (void *state, const struct http_result *r)
{
  struct store_call *x = state;
  struct platform_append_result a = decode_append (r);
  struct cell_event *e = cell_event_new (CELL_APPENDED);

  if (a.outcome != APPEND_STORED)
    log_call (x->store, "append_failed", PLATFORM_TOPIC_WORK, r->status);
  e->u.appended.token = x->op.token;
  e->u.appended.sequence = x->op.sequence;
  e->u.appended.outcome = a.outcome;
  cell_post (x->store->cell, e);
  end_call (x);
}

static void
on_wave_state_appended (void *state, const struct http_result *r)
{
  struct store_call *x = state;

  if (r->status != 200)
    log_call (x->store, "wave_state_not_written", PLATFORM_TOPIC_STATUS,
              r->status);
  end_call (x);
}

static void request_recover_page (struct store_call *x);

static void
post_recover_failure (struct store_call *x, bool fenced)
{
  struct cell_event *e = cell_event_new (CELL_RECOVERED);

  e->u.recovered.fenced = fenced;
  cell_post (x->store->cell, e);
  end_call (x);
}

static void
log_malformed_record (struct site_store *t, const struct platform_record *x)
{
  char *key = g_uri_escape_string (x->key, NULL, FALSE);

  log_malformed (t, "record_malformed", PLATFORM_TOPIC_WORK, key);
  g_free (key);
}

/* Decodes a page of a recovery.  Once a newer recovery has started,
   recover_after_key belongs to that one, so an older one ends here.  */
static void
on_recover_page (void *state, const struct http_result *r)
{
  struct store_call *x = state;
  struct site_store *t = x->store;
  TALLOC_CTX *tmp = talloc_new (NULL);
  struct platform_records p;
  struct cell_event *e;
  uint32_t i;

  if (t->recover_token != x->op.token
      || !platform_newest_decode (tmp, r->status,
                                  r->body ? r->body->data : NULL,
                                  r->body ? r->body->size_bytes : 0, &p))
    {
      talloc_free (tmp);
      post_recover_failure (x, false);
      return;
    }
  e = cell_event_new (CELL_RECOVERED);
  e->u.recovered.answered = true;
  e->u.recovered.rows
      = talloc_zero_array (e, struct recovered_record, p.item_count + 1);
  for (i = 0; i < p.item_count; i++)
    if (recovered_record_unpack (
            e, p.items[i].key, p.items[i].value, p.items[i].value_bytes,
            &e->u.recovered.rows[e->u.recovered.row_count]))
      e->u.recovered.row_count++;
    else if (strcmp (p.items[i].key, FENCE_KEY) != 0
             && p.items[i].value_bytes > 0)
      log_malformed_record (t, &p.items[i]);
  for (i = 0; i < p.unreadable_count; i++)
    log_malformed (t, "record_malformed", PLATFORM_TOPIC_WORK,
                   p.unreadable_keys[i]);
  p.more = advance_after_key (t->recover_after_key, &p);
  e->u.recovered.last = !p.more;
  cell_post (t->cell, e);
  talloc_free (tmp);
  if (p.more)
    request_recover_page (x);
  else
    end_call (x);
}

static void
request_recover_page (struct store_call *x)
{
  char url[PLATFORM_STORE_URL_BYTES];

  platform_newest_url (url, x->store->address, PLATFORM_TOPIC_WORK,
                       x->store->recover_after_key);
  if (start_call (x->store, "GET", url, NULL, LIST_TIMEOUT_MS, on_recover_page,
                  x)
      == NULL)
    post_recover_failure (x, false);
}

static void
on_fence_appended (void *state, const struct http_result *r)
{
  struct store_call *x = state;
  struct platform_append_result a = decode_append (r);

  if (a.outcome != APPEND_STORED)
    {
      log_call (x->store, "fence_not_set", PLATFORM_TOPIC_WORK, r->status);
      post_recover_failure (x, a.outcome == APPEND_FENCED);
      return;
    }
  x->store->recover_after_key[0] = '\0';
  request_recover_page (x);
}

static struct blob *
encode_record (const char *key, const char *value)
{
  msgpack_sbuffer out;
  struct blob *b;

  msgpack_sbuffer_init (&out);
  keyed_record_pack (&out, key, value, (uint32_t)strlen (value));
  b = blob_copy (out.data, (uint32_t)out.size);
  msgpack_sbuffer_destroy (&out);
  return b;
}

static struct blob *
text_blob (const char *text)
{
  return blob_copy (text, (uint32_t)strlen (text));
}

/* Starts following from a new listing, or stops and drops the open call.  */
static void
follower_set_active (struct follower *f, bool active)
{
  f->active = active;
  if (!active)
    {
      TALLOC_FREE (f->timer);
      if (f->call != NULL)
        http_client_abort (f->store->http, f->call);
      f->call = NULL;
      TALLOC_FREE (f->pending_event);
      return;
    }
  follower_restart_listing (f);
  follower_request (f);
}

static void
send_append (struct store_call *x)
{
  struct platform_append a = { .topic = PLATFORM_TOPIC_WORK,
                               .producer = PRODUCER,
                               .epoch = x->op.token,
                               .sequence = x->op.sequence };
  char url[PLATFORM_STORE_URL_BYTES];

  platform_append_url (url, x->store->address, &a);
  start_call (x->store, "POST", url, x->op.body, APPEND_TIMEOUT_MS,
              on_appended, x);
}

/* Fences the records of jobs: the store then refuses appends under a lower
   token.  The pages are read when the record is stored.  */
static void
send_fence (struct store_call *x)
{
  struct platform_append a = { .topic = PLATFORM_TOPIC_WORK,
                               .producer = PRODUCER,
                               .epoch = x->op.token,
                               .sequence = FENCE_SEQUENCE };
  char url[PLATFORM_STORE_URL_BYTES];

  x->store->recover_token = x->op.token;
  x->op.body = encode_record (FENCE_KEY, x->store->member);
  platform_append_url (url, x->store->address, &a);
  start_call (x->store, "POST", url, x->op.body, APPEND_TIMEOUT_MS,
              on_fence_appended, x);
}

static void
send_claim (struct store_call *x)
{
  struct platform_append a = { .topic = PLATFORM_TOPIC_CLAIMS,
                               .conditional = true,
                               .at_offset = x->op.at_offset };
  char url[PLATFORM_STORE_URL_BYTES];

  x->op.body
      = claim_encode (x->store->member, x->store->relay_address, &x->op.claim);
  platform_append_url (url, x->store->address, &a);
  start_call (x->store, "POST", url, x->op.body, CALL_TIMEOUT_MS, on_claimed,
              x);
}

static void
send_wave_state (struct store_call *x)
{
  struct platform_append a = { .topic = PLATFORM_TOPIC_STATUS };
  char key[PLATFORM_WAVE_STATE_BYTES];
  char value[PLATFORM_WAVE_STATE_BYTES];
  char url[PLATFORM_STORE_URL_BYTES];

  platform_wave_state_encode (key, value, x->op.wave, x->op.completed);
  x->op.body = encode_record (key, value);
  platform_append_url (url, x->store->address, &a);
  start_call (x->store, "POST", url, x->op.body, APPEND_TIMEOUT_MS,
              on_wave_state_appended, x);
}

static void
on_operation (void *state, void *item)
{
  struct site_store *t = state;
  struct store_operation *op = item;
  struct store_call *x = talloc_zero (t, struct store_call);
  char url[PLATFORM_STORE_URL_BYTES];
  char body[BODY_BYTES];

  x->store = t;
  x->op = *op;
  x->sent_at_us = op->sent_at_us;
  talloc_set_destructor (x, store_call_free);
  talloc_free (op);
  switch (x->op.kind)
    {
    case STORE_JOIN:
      platform_join_url (url, t->address);
      platform_join_body (body, BODY_BYTES, t->member, MEMBER_EXPIRY_MS,
                          t->generation);
      x->op.body = text_blob (body);
      start_call (t, "POST", url, x->op.body, CALL_TIMEOUT_MS, on_joined, x);
      break;
    case STORE_LEAVE:
      platform_leave_url (url, t->address);
      platform_leave_body (body, BODY_BYTES, t->member);
      x->op.body = text_blob (body);
      start_call (t, "POST", url, x->op.body, CALL_TIMEOUT_MS, on_left, x);
      break;
    case STORE_FIND_HOLDER:
      platform_holder_url (url, t->address);
      start_call (t, "GET", url, NULL, CALL_TIMEOUT_MS, on_holder, x);
      break;
    case STORE_CLAIM:
      send_claim (x);
      break;
    case STORE_RECOVER:
      send_fence (x);
      break;
    case STORE_APPEND:
      send_append (x);
      break;
    case STORE_FOLLOW_RUNNERS:
      follower_set_active (&t->runners, x->op.following);
      t->claims.wait_ms
          = x->op.following ? OWNER_CLAIM_WAIT_MS : CLAIM_WAIT_MS;
      end_call (x);
      break;
    case STORE_WAVE_STATE:
      send_wave_state (x);
      break;
    }
}

static void
follower_init (struct site_store *t, struct follower *f, const char *topic,
               uint32_t wait_ms, uint32_t poll_interval_ms,
               follower_fn *on_records)
{
  f->store = t;
  f->topic = topic;
  f->wait_ms = wait_ms;
  f->poll_interval_ms = poll_interval_ms;
  f->on_records = on_records;
  f->malformed = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
}

struct site_store *
site_store_new (const struct site_settings *s, struct ring *cell,
                struct line_log *log)
{
  struct site_store *t = talloc_zero (NULL, struct site_store);

  t->cell = cell;
  t->log = log;
  text_copy (t->address, ADDRESS_BYTES, s->store_address);
  text_copy (t->member, NAME_BYTES, s->cell.member);
  text_copy (t->relay_address, ADDRESS_BYTES, s->cell.relay_address);
  t->duty = duty_new ("store", RING_CAPACITY_COUNT, on_operation, t);
  if (t->duty == NULL)
    {
      talloc_free (t);
      return NULL;
    }
  t->http = http_client_new (t, t->duty->loop, HOST_CONNECTION_LIMIT_COUNT);
  t->records = operator_records_new (t, cell);
  follower_init (t, &t->config, PLATFORM_TOPIC_OPERATORS, CONFIG_WAIT_MS, 0,
                 on_config);
  follower_init (t, &t->claims, PLATFORM_TOPIC_CLAIMS, CLAIM_WAIT_MS, 0,
                 on_claims);
  follower_init (t, &t->runners, PLATFORM_TOPIC_RUNNERS, 0,
                 RUNNERS_POLL_INTERVAL_MS, on_runners);
  return t;
}

struct duty *
site_store_duty (struct site_store *t)
{
  return t->duty;
}

void
site_store_follow (struct site_store *t)
{
  follower_set_active (&t->config, true);
  follower_set_active (&t->claims, true);
}

void
site_store_free (struct site_store *t)
{
  struct store_operation *op;

  if (t == NULL)
    return;
  while (ring_pop (t->duty->inbound, (void **)&op, 1) > 0)
    {
      blob_unref (op->body);
      talloc_free (op);
    }
  TALLOC_FREE (t->runners.pending_event);
  TALLOC_FREE (t->http);
  g_hash_table_destroy (t->config.malformed);
  g_hash_table_destroy (t->claims.malformed);
  g_hash_table_destroy (t->runners.malformed);
  duty_free (t->duty);
  talloc_free (t);
}

uint64_t
site_store_malformed_count (void)
{
  return atomic_load (&malformed_count);
}
