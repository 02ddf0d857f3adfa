/* site_store.c -- the duty that speaks with the platform's store.  */

#include "adapter/site_store.h"

#include "adapter/cell_post.h"
#include "adapter/http_client.h"
#include "adapter/job_codec.h"
#include "platform/config.h"
#include "platform/runner.h"
#include "platform/store.h"

#include <stdio.h>
#include <string.h>

#define RING_COUNT 4096
#define HOST_CONNECTION_COUNT 8
#define CONNECT_MS 400
/** Time-outs of calls; a waiting read's is this and its wait.  */
#define CALL_MS 700
#define APPEND_MS 1200
#define LIST_MS 1500
/** A read that failed is repeated after this.  */
#define RETRY_MS 250
/** Waits of reads: the configuration's keeps an entry fresh; a claim's is
    bounded by how long a dead connection may go unseen.  */
#define CONFIG_WAIT_MS 1200
#define CLAIM_WAIT_MS 3000
/** Between two readings of the runners' list.  */
#define RUNNERS_GAP_MS 200
/** The shortest expiry that the store allows.  */
#define EXPIRY_MS 1000
#define BODY_BYTES 400
#define KEY_BYTES 256
/** Sequence of the record that fences a topic at a takeover.  */
#define FENCE_SEQUENCE 0
#define PRODUCER "cell"

struct follower;
typedef void follower_fn (struct follower *f,
                          const struct platform_records *r);

/* Follows one keyed topic: the newest record of each key, then what comes.  */
struct follower
{
  struct site_store *store;
  const char *topic;
  uint32_t wait_ms;
  uint32_t gap_ms; /**< Between two reads that found nothing to wait for.  */
  follower_fn *on_records;
  bool active;
  bool reading; /**< Newest records are done.  */
  bool first_page;
  char after[KEY_BYTES];
  uint64_t from_offset;
  uint64_t newest_end; /**< End when the newest records began.  */
  uint64_t sent_us;
  uint64_t newest_sent_us;
  bool lost; /**< The last read failed.  */
  void *call;
  struct tevent_timer *timer;
  struct cell_event *pending; /**< The runners' list, being read.  */
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
  uint64_t generation;
  struct follower config;
  struct follower claims;
  struct follower runners;
  uint64_t recover_token;
  char recover_after[KEY_BYTES];
};

/* One call of an operation.  */
struct store_call
{
  struct site_store *store;
  struct store_operation op;
  uint64_t sent_us;
};

static void
log_line (struct site_store *t, const char *what, const char *topic,
          uint32_t status)
{
  char fields[200];

  snprintf (fields, sizeof fields, "\"topic\":\"%s\",\"status\":%u", topic,
            status);
  line_log_write (t->log, what, 0, fields);
}

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
          .connect_timeout_ms = CONNECT_MS,
          .send_once = true,
          .on_done = done,
          .state = state };

  return http_client_start (t->http, &call);
}

static void follow_next (struct follower *f);

static void
on_follow_timer (struct tevent_context *loop, struct tevent_timer *te,
                 struct timeval at, void *state)
{
  struct follower *f = state;

  (void)loop;
  (void)te;
  (void)at;
  f->timer = NULL;
  follow_next (f);
}

static void
follow_later (struct follower *f, uint32_t delay_ms)
{
  TALLOC_FREE (f->timer);
  if (delay_ms == 0)
    {
      follow_next (f);
      return;
    }
  f->timer = tevent_add_timer (
      f->store->duty->loop, f->store->duty->loop,
      tevent_timeval_current_ofs (delay_ms / 1000, delay_ms % 1000 * 1000),
      on_follow_timer, f);
}

static void
restart_newest (struct follower *f)
{
  f->reading = false;
  f->first_page = true;
  f->after[0] = '\0';
}

/* Takes one answer; returns false if it is none.  */
static bool
take_answer (struct follower *f, TALLOC_CTX *tmp, const struct http_result *r)
{
  struct platform_records x;
  const void *body = r->body != NULL ? r->body->data : NULL;
  uint32_t n = r->body != NULL ? r->body->size_bytes : 0;

  if (f->reading)
    {
      if (!platform_read_decode (tmp, r->status, f->from_offset, body, n, &x))
        return false;
      if (x.expired)
        {
          restart_newest (f);
          return true;
        }
      f->from_offset += x.item_count;
      f->on_records (f, &x);
      return true;
    }
  if (!platform_newest_decode (tmp, r->status, body, n, &x))
    return false;
  if (f->first_page)
    {
      f->newest_end = x.end_offset;
      f->newest_sent_us = f->sent_us;
    }
  if (x.item_count > 0)
    text_copy (f->after, KEY_BYTES, x.items[x.item_count - 1].key);
  if (!x.more)
    {
      f->reading = true;
      f->from_offset = f->newest_end;
    }
  f->on_records (f, &x);
  f->first_page = false;
  return true;
}

static void
on_follow (void *state, const struct http_result *r)
{
  struct follower *f = state;
  TALLOC_CTX *tmp = talloc_new (NULL);
  bool good = take_answer (f, tmp, r);

  f->call = NULL;
  talloc_free (tmp);
  if (good == f->lost)
    {
      f->lost = !good;
      log_line (f->store, good ? "store_back" : "store_lost", f->topic,
                r->status);
    }
  if (!f->active)
    return;
  follow_later (f, !good ? RETRY_MS : f->reading ? f->gap_ms : 0);
}

static void
follow_next (struct follower *f)
{
  struct site_store *t = f->store;
  char url[PLATFORM_STORE_URL_BYTES];

  if (!f->active || f->call != NULL)
    return;
  f->sent_us = now_us ();
  if (f->reading)
    platform_read_url (url, t->address, f->topic, f->from_offset, f->wait_ms);
  else
    platform_newest_url (url, t->address, f->topic, f->after);
  f->call = start_call (t, "GET", url, NULL,
                        (f->reading ? f->wait_ms + CALL_MS : LIST_MS),
                        on_follow, f);
  if (f->call == NULL)
    follow_later (f, RETRY_MS);
}

static void
post_wave (struct site_store *t, const struct platform_record *x)
{
  struct cell_event *e = cell_event_new (CELL_WAVE);

  if (platform_wave_decode (e, x->value, x->value_bytes, &e->u.wave))
    cell_post (t->cell, e);
  else
    {
      log_line (t, "wave_malformed", x->key, 0);
      talloc_free (e);
    }
}

static void
post_config (struct site_store *t, const struct platform_record *x)
{
  struct cell_event *e = cell_event_new (CELL_CONFIG);

  e->u.config = platform_config_decode (e, x->value, x->value_bytes);
  if (e->u.config != NULL)
    cell_post (t->cell, e);
  else
    {
      log_line (t, "config_malformed", x->key, 0);
      talloc_free (e);
    }
}

static void
on_config (struct follower *f, const struct platform_records *r)
{
  struct cell_event *e;
  uint32_t i;

  for (i = 0; i < r->item_count; i++)
    {
      const struct platform_record *x = &r->items[i];

      if (x->value_bytes == 0)
        continue;
      if (strcmp (x->key, PLATFORM_KEY_CONFIG) == 0)
        post_config (f->store, x);
      else if (strncmp (x->key, PLATFORM_KEY_WAVE, strlen (PLATFORM_KEY_WAVE))
               == 0)
        post_wave (f->store, x);
    }
  if (!f->reading || f->from_offset < r->end_offset)
    return;
  e = cell_event_new (CELL_CONFIG_CONFIRMED);
  /* The newest records are no snapshot: they are as old as their first page.
   */
  e->u.config_sent_at_us
      = f->first_page || r->more ? f->newest_sent_us : f->sent_us;
  cell_post (f->store->cell, e);
}

/* Reads a claim: [member, address, released, largest processor share]; the
   last was not written by earlier versions.  */
static bool
read_claim (const struct platform_record *x, struct cell_event *e)
{
  msgpack_unpacked m;
  struct unpack u;
  size_t at = 0;
  bool good;

  msgpack_unpacked_init (&m);
  good = msgpack_unpack_next (&m, (const char *)x->value, x->value_bytes, &at)
         == MSGPACK_UNPACK_SUCCESS;
  unpack_open (&u, good ? &m.data : NULL);
  unpack_text (&u, e->u.claim.member, NAME_BYTES);
  unpack_text (&u, e->u.claim.address, ADDRESS_BYTES);
  e->u.claim.released = unpack_bool (&u);
  good = !u.failed;
  e->u.claim.best_cpu_milli = (uint32_t)unpack_number (&u, UINT32_MAX);
  msgpack_unpacked_destroy (&m);
  return good;
}

static void
on_claims (struct follower *f, const struct platform_records *r)
{
  struct cell_event *e = cell_event_new (CELL_CLAIM);
  uint32_t i;

  e->u.claim.none = true;
  for (i = 0; i < r->item_count; i++)
    if (r->items[i].value_bytes > 0 && read_claim (&r->items[i], e))
      {
        e->u.claim.none = false;
        e->u.claim.token = r->items[i].offset + 1;
      }
  e->u.claim.next_offset = f->from_offset;
  if (f->reading && (!e->u.claim.none || f->first_page))
    cell_post (f->store->cell, e);
  else
    talloc_free (e);
}

static void
on_runners (struct follower *f, const struct platform_records *r)
{
  struct cell_event *e = f->pending;
  uint32_t i;

  if (e == NULL)
    e = cell_event_new (CELL_RUNNERS);
  f->pending = NULL;
  if (f->first_page)
    e->u.runners.whole = true;
  e->u.runners.rows
      = talloc_realloc (e, e->u.runners.rows, struct runner_report,
                        e->u.runners.row_count + r->item_count + 1);
  for (i = 0; i < r->item_count; i++)
    {
      const struct platform_record *x = &r->items[i];

      if (platform_runner_report_decode (
              x->key, x->value, x->value_bytes,
              &e->u.runners.rows[e->u.runners.row_count]))
        e->u.runners.row_count++;
      else if (!f->lost)
        log_line (f->store, "runner_malformed", x->key, 0);
    }
  if (!f->reading)
    {
      f->pending = e;
      return;
    }
  if (e->u.runners.whole || e->u.runners.row_count > 0)
    cell_post (f->store->cell, e);
  else
    talloc_free (e);
}

static int
call_free (struct store_call *x)
{
  blob_unref (x->op.body);
  return 0;
}

static void
finish (struct store_call *x)
{
  talloc_free (x);
}

static void
on_joined (void *state, const struct http_result *r)
{
  struct store_call *x = state;
  struct cell_event *e = cell_event_new (CELL_JOINED);

  e->u.joined.sent_at_us = x->sent_us;
  e->u.joined.answered
      = platform_join_decode (r->status, r->body ? r->body->data : NULL,
                              r->body ? r->body->size_bytes : 0,
                              &x->store->generation, &e->u.joined.holds);
  cell_post (x->store->cell, e);
  finish (x);
}

static void
on_left (void *state, const struct http_result *r)
{
  struct store_call *x = state;

  if (r->status != 200)
    log_line (x->store, "leave_failed", "", r->status);
  finish (x);
}

static void
on_found (void *state, const struct http_result *r)
{
  struct store_call *x = state;
  struct cell_event *e = cell_event_new (CELL_HOLDER);

  e->u.holder.known = platform_owners_decode (
      r->status, r->body ? r->body->data : NULL,
      r->body ? r->body->size_bytes : 0, e->u.holder.member);
  cell_post (x->store->cell, e);
  finish (x);
}

static struct platform_append_result
append_result (const struct http_result *r)
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
  struct platform_append_result a = append_result (r);
  struct cell_event *e = cell_event_new (CELL_CLAIM_RESULT);

  e->u.claimed.outcome = a.outcome;
  e->u.claimed.token = a.offset + 1;
  cell_post (x->store->cell, e);
  finish (x);
}

static void
on_appended (void *state, const struct http_result *r)
{
  struct store_call *x = state;
  struct platform_append_result a = append_result (r);
  struct cell_event *e = cell_event_new (CELL_APPENDED);

  if (a.outcome != APPEND_STORED)
    log_line (x->store, "append_failed", PLATFORM_TOPIC_WORK, r->status);
  e->u.appended.sequence = x->op.sequence;
  e->u.appended.outcome = a.outcome;
  cell_post (x->store->cell, e);
  finish (x);
}

static void
on_status (void *state, const struct http_result *r)
{
  struct store_call *x = state;

  if (r->status != 200)
    log_line (x->store, "wave_state_not_written", PLATFORM_TOPIC_STATUS,
              r->status);
  finish (x);
}

static void recover_next (struct store_call *x);

static void
recover_failed (struct store_call *x, bool fenced)
{
  struct cell_event *e = cell_event_new (CELL_RECOVERED);

  e->u.recovered.fenced = fenced;
  cell_post (x->store->cell, e);
  finish (x);
}

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
      recover_failed (x, false);
      return;
    }
  e = cell_event_new (CELL_RECOVERED);
  e->u.recovered.answered = true;
  e->u.recovered.last = !p.more;
  e->u.recovered.rows
      = talloc_zero_array (e, struct recovered_record, p.item_count + 1);
  for (i = 0; i < p.item_count; i++)
    if (recovered_record_unpack (
            e, p.items[i].key, p.items[i].value, p.items[i].value_bytes,
            &e->u.recovered.rows[e->u.recovered.row_count]))
      e->u.recovered.row_count++;
  if (p.item_count > 0)
    text_copy (t->recover_after, KEY_BYTES, p.items[p.item_count - 1].key);
  cell_post (t->cell, e);
  talloc_free (tmp);
  if (p.more)
    recover_next (x);
  else
    finish (x);
}

static void
recover_next (struct store_call *x)
{
  char url[PLATFORM_STORE_URL_BYTES];

  platform_newest_url (url, x->store->address, PLATFORM_TOPIC_WORK,
                       x->store->recover_after);
  if (start_call (x->store, "GET", url, NULL, LIST_MS, on_recover_page, x)
      == NULL)
    recover_failed (x, false);
}

static void
on_fence_set (void *state, const struct http_result *r)
{
  struct store_call *x = state;
  struct platform_append_result a = append_result (r);

  if (a.outcome != APPEND_STORED)
    {
      log_line (x->store, "fence_not_set", PLATFORM_TOPIC_WORK, r->status);
      recover_failed (x, a.outcome == APPEND_FENCED);
      return;
    }
  x->store->recover_after[0] = '\0';
  recover_next (x);
}

static struct blob *
claim_body (const struct site_store *t, bool released, uint64_t cpu_milli)
{
  msgpack_sbuffer value;
  msgpack_sbuffer out;
  msgpack_packer p;
  struct blob *b;

  msgpack_sbuffer_init (&value);
  msgpack_sbuffer_init (&out);
  msgpack_packer_init (&p, &value, msgpack_sbuffer_write);
  msgpack_pack_array (&p, 4);
  pack_text (&p, t->member);
  pack_text (&p, t->relay_address);
  pack_bool (&p, released);
  msgpack_pack_uint64 (&p, cpu_milli);
  keyed_record_pack (&out, "0", value.data, (uint32_t)value.size);
  b = blob_copy (out.data, (uint32_t)out.size);
  msgpack_sbuffer_destroy (&value);
  msgpack_sbuffer_destroy (&out);
  return b;
}

static struct blob *
record_body (const char *key, const char *value)
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
text_body (const char *text)
{
  return blob_copy (text, (uint32_t)strlen (text));
}

static void
set_follow (struct follower *f, bool active)
{
  f->active = active;
  if (!active)
    {
      TALLOC_FREE (f->timer);
      if (f->call != NULL)
        http_client_abort (f->store->http, f->call);
      f->call = NULL;
      TALLOC_FREE (f->pending);
      return;
    }
  restart_newest (f);
  follow_next (f);
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
  start_call (x->store, "POST", url, x->op.body, APPEND_MS, on_appended, x);
}

static void
send_fence (struct store_call *x)
{
  struct platform_append a = { .topic = PLATFORM_TOPIC_WORK,
                               .producer = PRODUCER,
                               .epoch = x->op.token,
                               .sequence = FENCE_SEQUENCE };
  char url[PLATFORM_STORE_URL_BYTES];

  x->store->recover_token = x->op.token;
  x->op.body = record_body ("owner", x->store->member);
  platform_append_url (url, x->store->address, &a);
  start_call (x->store, "POST", url, x->op.body, APPEND_MS, on_fence_set, x);
}

static void
send_claim (struct store_call *x)
{
  struct platform_append a = { .topic = PLATFORM_TOPIC_CLAIMS,
                               .conditional = true,
                               .at_offset = x->op.at_offset };
  char url[PLATFORM_STORE_URL_BYTES];

  x->op.body = claim_body (x->store, x->op.flag, x->op.number);
  platform_append_url (url, x->store->address, &a);
  start_call (x->store, "POST", url, x->op.body, CALL_MS, on_claimed, x);
}

static void
send_status (struct store_call *x)
{
  struct platform_append a = { .topic = PLATFORM_TOPIC_STATUS };
  char key[PLATFORM_WAVE_STATE_BYTES];
  char value[PLATFORM_WAVE_STATE_BYTES];
  char url[PLATFORM_STORE_URL_BYTES];

  platform_wave_state_encode (key, value, x->op.number, x->op.flag);
  x->op.body = record_body (key, value);
  platform_append_url (url, x->store->address, &a);
  start_call (x->store, "POST", url, x->op.body, APPEND_MS, on_status, x);
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
  x->sent_us = op->sequence;
  talloc_set_destructor (x, call_free);
  talloc_free (op);
  switch (x->op.kind)
    {
    case STORE_JOIN:
      platform_join_url (url, t->address);
      platform_join_body (body, BODY_BYTES, t->member, EXPIRY_MS,
                          t->generation);
      x->op.body = text_body (body);
      start_call (t, "POST", url, x->op.body, CALL_MS, on_joined, x);
      break;
    case STORE_LEAVE:
      platform_leave_url (url, t->address);
      platform_leave_body (body, BODY_BYTES, t->member);
      x->op.body = text_body (body);
      start_call (t, "POST", url, x->op.body, CALL_MS, on_left, x);
      break;
    case STORE_FIND_OWNER:
      platform_owners_url (url, t->address);
      start_call (t, "GET", url, NULL, CALL_MS, on_found, x);
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
      set_follow (&t->runners, x->op.flag);
      finish (x);
      break;
    case STORE_WAVE_STATE:
      send_status (x);
      break;
    }
}

static void
init_follower (struct site_store *t, struct follower *f, const char *topic,
               uint32_t wait_ms, uint32_t gap_ms, follower_fn *on_records)
{
  f->store = t;
  f->topic = topic;
  f->wait_ms = wait_ms;
  f->gap_ms = gap_ms;
  f->on_records = on_records;
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
  t->duty = duty_new ("store", RING_COUNT, on_operation, t);
  if (t->duty == NULL)
    {
      talloc_free (t);
      return NULL;
    }
  t->http = http_client_new (t, t->duty->loop, HOST_CONNECTION_COUNT);
  init_follower (t, &t->config, PLATFORM_TOPIC_OPERATORS, CONFIG_WAIT_MS, 0,
                 on_config);
  init_follower (t, &t->claims, PLATFORM_TOPIC_CLAIMS, CLAIM_WAIT_MS, 0,
                 on_claims);
  init_follower (t, &t->runners, PLATFORM_TOPIC_RUNNERS, 0, RUNNERS_GAP_MS,
                 on_runners);
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
  set_follow (&t->config, true);
  set_follow (&t->claims, true);
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
  TALLOC_FREE (t->runners.pending);
  TALLOC_FREE (t->http);
  duty_free (t->duty);
  talloc_free (t);
}
