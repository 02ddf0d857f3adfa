/* log_client.c -- follows the log by long polling and appends in batches.

   A batch whose answer was lost is appended again, so a record may be in the
   log twice; readers apply each command id once.  */

#include "adapter/log_client.h"

#include "adapter/http_client.h"
#include "adapter/outbox.h"
#include "adapter/record_json.h"
#include "adapter/timer.h"
#include "port/event.h"

#include <inttypes.h>
#include <sodium.h>
#include <stdio.h>
#include <string.h>
#include <sys/queue.h>

#define RING_CAPACITY_COUNT 4096
/** Longest time that the log holds a read while it has no new record.  */
#define READ_WAIT_MS 1000
#define READ_TIMEOUT_MS 3000
#define READ_MAX_RECORD_COUNT 500
#define APPEND_TIMEOUT_MS 3000
#define APPEND_MAX_RECORD_COUNT 100
#define CONNECT_TIMEOUT_MS 1000
#define MIN_BACKOFF_MS 50
#define MAX_BACKOFF_MS 1000
#define URL_BYTES 160

/** A record to append.  */
struct pending_append
{
  TAILQ_ENTRY (pending_append) link;
  struct record *record;
};

TAILQ_HEAD (pending_append_list, pending_append);

struct log_client
{
  struct duty *duty;
  struct http_client *http;
  struct outbox *decide;
  char address[ADDRESS_BYTES];
  uint64_t next_offset; /**< First offset not yet passed to DECIDE.  */
  uint32_t read_backoff_ms;
  uint32_t append_backoff_ms;
  void *read_call;                    /**< The read in progress, or NULL.  */
  uint64_t read_started_at_us;        /**< Start of the latest read.  */
  bool appending;                     /**< A batch is being appended.  */
  uint32_t batch_count;               /**< Records in that batch.  */
  struct pending_append_list pending; /**< Oldest first.  */
  bool read_is_deferred;              /**< The next read waits until the
                                         outbox is empty.  */
  struct ring *flushed_ring;          /**< Pushed to once, then NULL.  */
};

static void start_read (struct log_client *l);
static void start_append (struct log_client *l);

static void
add_timer (struct log_client *l, uint32_t ms, tevent_timer_handler_t fn)
{
  timer_add (l->duty->loop, l->duty->loop, ms * US_PER_MS, fn, l);
}

/* Returns *BACKOFF_MS with jitter, from half of it to all, and doubles it up
   to MAX_BACKOFF_MS.  */
static uint32_t
next_backoff (uint32_t *backoff_ms)
{
  uint32_t ms = *backoff_ms;

  *backoff_ms = ms * 2 > MAX_BACKOFF_MS ? MAX_BACKOFF_MS : ms * 2;
  return ms / 2 + randombytes_uniform (ms / 2 + 1);
}

static void
on_read_timer (struct tevent_context *loop, struct tevent_timer *te,
               struct timeval at, void *state)
{
  (void)loop;
  (void)te;
  (void)at;
  start_read (state);
}

static void
on_outbox_empty (void *state)
{
  struct log_client *l = state;

  if (!l->read_is_deferred)
    return;
  l->read_is_deferred = false;
  start_read (l);
}

static void
on_append_timer (struct tevent_context *loop, struct tevent_timer *te,
                 struct timeval at, void *state)
{
  (void)loop;
  (void)te;
  (void)at;
  start_append (state);
}

static void
send_record_event (struct log_client *l, const json_t *envelope)
{
  json_int_t offset
      = json_integer_value (json_object_get (envelope, "offset"));
  struct event *e;

  /* Skip a record that was passed on before.  */
  if (offset < 0 || (uint64_t)offset < l->next_offset)
    return;
  e = talloc_zero (NULL, struct event);
  e->kind = EVENT_RECORD;
  e->u.record.offset = (uint64_t)offset;
  e->u.record.appended_at_ms
      = (uint64_t)json_integer_value (json_object_get (envelope, "at_ms"));
  e->u.record.record
      = record_from_json (e, json_object_get (envelope, "data"));
  e->u.record.raw = record_raw_from_json (json_object_get (envelope, "data"));
  l->next_offset = (uint64_t)offset + 1;
  outbox_push (l->decide, e);
}

static void
send_log_read_event (struct log_client *l, bool readable,
                     uint64_t first_offset, uint64_t next_offset)
{
  struct event *e = talloc_zero (NULL, struct event);

  e->kind = EVENT_LOG_READ;
  e->u.log_read.readable = readable;
  e->u.log_read.first_offset = first_offset;
  e->u.log_read.next_offset = next_offset;
  e->u.log_read.requested_at_us = l->read_started_at_us;
  outbox_push (l->decide, e);
}

/* Passes on the records of a page and its offsets; returns false if the page
   is malformed.  */
static bool
send_page (struct log_client *l, const struct blob *body)
{
  json_error_t error;
  json_t *page
      = json_loadb ((const char *)body->data, body->size_bytes, 0, &error);
  const json_t *records = json_object_get (page, "records");
  const json_t *first = json_object_get (page, "first");
  const json_t *next = json_object_get (page, "next");
  bool well_formed = json_is_array (records) && json_is_integer (first)
                     && json_is_integer (next);
  json_t *envelope;
  size_t i;

  if (well_formed)
    {
      json_array_foreach (records, i, envelope)
          send_record_event (l, envelope);
      send_log_read_event (l, true, (uint64_t)json_integer_value (first),
                           (uint64_t)json_integer_value (next));
    }
  json_decref (page);
  return well_formed;
}

static void
on_read_done (void *state, const struct http_result *r)
{
  struct log_client *l = state;

  l->read_call = NULL;
  if (r->answered && r->status == 200 && send_page (l, r->body))
    {
      l->read_backoff_ms = MIN_BACKOFF_MS;
      l->read_is_deferred = !outbox_is_empty (l->decide);
      if (!l->read_is_deferred)
        start_read (l);
      return;
    }
  send_log_read_event (l, false, 0, 0);
  add_timer (l, next_backoff (&l->read_backoff_ms), on_read_timer);
}

static void
start_read (struct log_client *l)
{
  char url[URL_BYTES];
  struct http_call call = {
    .method = "GET",
    .url = url,
    .timeout_ms = READ_TIMEOUT_MS,
    .connect_timeout_ms = CONNECT_TIMEOUT_MS,
    .on_done = on_read_done,
    .state = l,
  };

  l->read_started_at_us = now_us ();
  snprintf (url, sizeof url,
            "http://%s/v1/read?from=%" PRIu64 "&wait_ms=%d&max=%d", l->address,
            l->next_offset, READ_WAIT_MS, READ_MAX_RECORD_COUNT);
  l->read_call = http_client_start (l->http, &call);
  if (l->read_call == NULL)
    add_timer (l, MAX_BACKOFF_MS, on_read_timer);
}

static void
on_append_done (void *state, const struct http_result *r)
{
  struct log_client *l = state;

  l->appending = false;
  if (!r->answered || r->status != 200)
    {
      add_timer (l, next_backoff (&l->append_backoff_ms), on_append_timer);
      return;
    }
  l->append_backoff_ms = MIN_BACKOFF_MS;
  for (; l->batch_count > 0; l->batch_count--)
    {
      struct pending_append *p = TAILQ_FIRST (&l->pending);

      TAILQ_REMOVE (&l->pending, p, link);
      talloc_free (p);
    }
  start_append (l);
}

static struct blob *
make_batch (struct log_client *l)
{
  json_t *list = json_array ();
  struct pending_append *p;
  struct blob *b;
  char *text;

  l->batch_count = 0;
  TAILQ_FOREACH (p, &l->pending, link)
  {
    if (l->batch_count == APPEND_MAX_RECORD_COUNT)
      break;
    json_array_append_new (list, record_to_json (p->record));
    l->batch_count++;
  }
  text = json_dumps (list, JSON_COMPACT);
  b = blob_copy (text, (uint32_t)strlen (text));
  free (text);
  json_decref (list);
  return b;
}

/* Signals the main thread, once, when no append is pending.  */
static void
signal_if_flushed (struct log_client *l)
{
  if (l->flushed_ring == NULL || l->appending || !TAILQ_EMPTY (&l->pending))
    return;
  ring_push (l->flushed_ring, l);
  l->flushed_ring = NULL;
}

static void
start_append (struct log_client *l)
{
  char url[URL_BYTES];
  struct http_call call = {
    .method = "POST",
    .url = url,
    .timeout_ms = APPEND_TIMEOUT_MS,
    .connect_timeout_ms = CONNECT_TIMEOUT_MS,
    .on_done = on_append_done,
    .state = l,
  };

  signal_if_flushed (l);
  if (l->appending || TAILQ_EMPTY (&l->pending))
    return;
  snprintf (url, sizeof url, "http://%s/v1/append", l->address);
  call.body = make_batch (l);
  l->appending = http_client_start (l->http, &call) != NULL;
  blob_unref (call.body);
  if (!l->appending)
    add_timer (l, MAX_BACKOFF_MS, on_append_timer);
}

/* Continues reading at OFFSET; a read in progress is aborted and started anew
   there.  */
static void
seek_log (struct log_client *l, uint64_t offset)
{
  l->next_offset = offset;
  if (l->read_call == NULL)
    return;
  http_client_abort (l->http, l->read_call);
  l->read_call = NULL;
  start_read (l);
}

static void
on_request (void *state, void *item)
{
  struct log_client *l = state;
  struct log_request *x = item;
  struct pending_append *p;

  if (x->seek)
    {
      seek_log (l, x->seek_offset);
      talloc_free (x);
      return;
    }
  if (x->flushed_ring != NULL)
    {
      l->flushed_ring = x->flushed_ring;
      talloc_free (x);
      start_append (l);
      return;
    }
  p = talloc (l, struct pending_append);
  p->record = talloc_steal (p, x->record);
  talloc_free (x);
  TAILQ_INSERT_TAIL (&l->pending, p, link);
  start_append (l);
}

struct log_client *
log_client_new (const char *address, struct ring *decide)
{
  struct log_client *l = talloc_zero (NULL, struct log_client);

  if (l == NULL)
    return NULL;
  text_copy (l->address, ADDRESS_BYTES, address);
  l->read_backoff_ms = MIN_BACKOFF_MS;
  l->append_backoff_ms = MIN_BACKOFF_MS;
  TAILQ_INIT (&l->pending);
  l->duty = duty_new ("log", RING_CAPACITY_COUNT, on_request, l);
  if (l->duty == NULL)
    {
      talloc_free (l);
      return NULL;
    }
  l->http = http_client_new (l->duty->loop, l->duty->loop, 4);
  l->decide = outbox_new (l, l->duty->loop, decide, on_outbox_empty, l);
  return l;
}

struct duty *
log_client_duty (struct log_client *l)
{
  return l->duty;
}

void
log_client_follow (struct log_client *l)
{
  start_read (l);
}

void
log_client_free (struct log_client *l)
{
  struct log_request *x;

  if (l == NULL)
    return;
  while (ring_pop (l->duty->inbound, (void **)&x, 1) > 0)
    talloc_free (x);
  talloc_free (l->http);
  talloc_free (l->decide);
  duty_free (l->duty);
  talloc_free (l);
}
