/* ingress.c -- checks this entry's calls and passes them to the owner.

   A call is checked against the newest configuration only while that is known
   to be fresh: the newest answered read of it was sent less than the
   revocation bound ago, less a margin for the client's own way here.  */

#include "core/cell/state.h"

#include <string.h>

/** Taken off the revocation bound: time between a call's arrival and its
    answer at the client.  */
#define REVOKE_MARGIN_MS 700
/** A call that finds no owner waits this long before it is refused: a
    planned handover takes less.  */
#define NO_OWNER_WAIT_MS 400
/** Reads wait longer: the client has nothing to gain by asking again.  */
#define READ_WAIT_MS 2500
/** Without an answer of the store for longer than its waiting reads take, it
    cannot be reached.  */
#define STORE_AWAY_MS 2200
/** Gap between two tries of calls that were denied: a few turns of the loop
    in which an owner reads its journal.  */
#define RESEND_GAP_MS 60
/** Wait for the owner's answer where the client does not say its own.  */
#define CALL_WAIT_MS 3000
/** Answered this long before the client stops waiting.  */
#define ANSWER_MARGIN_MS 150
/** Refused calls come back after this, spread over as much again.  */
#define RETRY_MS 1000

static void
answer (struct cell *c, uint64_t call_id, enum call_kind kind,
        enum reply_code code, uint32_t retry_after_ms)
{
  struct reply *r = &cell_emit (c, CELL_DO_REPLY)->u.reply;

  r->call_id = call_id;
  r->kind = kind;
  r->code = code;
  r->retry_after_ms = retry_after_ms;
}

static uint32_t
retry_ms (const struct cell *c)
{
  return RETRY_MS + (uint32_t)(c->random % RETRY_MS);
}

static bool
is_fresh (const struct cell *c)
{
  uint32_t limit_ms = c->settings.times.revoke_ms > 2 * REVOKE_MARGIN_MS
                          ? c->settings.times.revoke_ms - REVOKE_MARGIN_MS
                          : c->settings.times.revoke_ms / 2;

  return c->config != NULL && c->config_confirmed_at_us > 0
         && c->now_us < c->config_confirmed_at_us + limit_ms * US_PER_MS;
}

static bool
host_matches (const char *host, const char *wanted)
{
  size_t n = strcspn (host, ":");

  return strlen (wanted) == n && g_ascii_strncasecmp (host, wanted, n) == 0;
}

/* Returns the queue of the longest prefix of PATH, or NULL.  */
static const struct site_queue *
find_queue (const struct cell *c, const char *host, const char *path)
{
  const struct site_queue *best = NULL;
  size_t best_bytes = 0;
  uint32_t i;

  for (i = 0; i < c->config->queue_count; i++)
    {
      const struct site_queue *q = &c->config->queues[i];
      size_t n = strlen (q->prefix);

      if (n >= best_bytes && strncmp (path, q->prefix, n) == 0
          && host_matches (host, q->host))
        {
          best = q;
          best_bytes = n;
        }
    }
  return best;
}

/* Says how the call is refused at once; REPLY_OK if it is not.  */
static enum reply_code
check_call (struct cell *c, const struct client_call *call,
            struct job_call *job)
{
  const struct site_queue *q;
  const char *rest;
  gpointer tenant = NULL;

  if (!is_fresh (c))
    return REPLY_UNAVAILABLE;
  q = find_queue (c, call->host, call->path);
  if (q == NULL)
    return REPLY_NO_QUEUE;
  if (call->key[0] != '\0')
    tenant = g_hash_table_lookup (c->keys, call->key);
  if (tenant == NULL && !q->is_public)
    return REPLY_UNAUTHORIZED;
  if (tenant != NULL)
    text_copy (job->tenant, NAME_BYTES,
               c->config->tenants[GPOINTER_TO_UINT (tenant) - 1].name);
  text_copy (job->queue, NAME_BYTES, q->name);
  rest = call->path + strlen (q->prefix);
  job->kind = call->kind;
  if (call->kind == CALL_STATE && rest[0] == '\0')
    job->kind = CALL_PENDING;
  else if (!job_id_parse (rest, &job->job))
    return call->kind == CALL_SUBMIT ? REPLY_MALFORMED : REPLY_NO_JOB;
  if (call->kind == CALL_MALFORMED)
    return REPLY_MALFORMED;
  return REPLY_OK;
}

static void
send_forward (struct cell *c, struct forwarded_call *f)
{
  f->sent_before = f->sent;
  f->sent = true;
  f->call.age_ms = (uint32_t)((c->now_us - f->arrived_at_us) / US_PER_MS);
  if (cell_is_owner (c))
    {
      struct job_call mine = f->call;

      /* The job goes with its copy; a later owner may need the call whole. */
      if (mine.spec != NULL)
        mine.spec = job_spec_copy (f, mine.spec);
      f->on_current_link = true;
      jobs_on_call (c, true, 0, &mine);
      return;
    }
  f->on_current_link = true;
  cell_emit (c, CELL_DO_FORWARD)->u.forward = f->call;
}

bool
ingress_store_answers (const struct cell *c)
{
  return c->now_us <= c->config_confirmed_at_us + STORE_AWAY_MS * US_PER_MS;
}

/** The owner known is none, and without the store this entry learns of no
    other.  An owner that still reads its journal says the same of itself, but
    then the store is there.  */
static bool
owner_gone (const struct cell *c)
{
  return c->ownership.owner_denied && !ingress_store_answers (c);
}

static bool
owner_reachable (const struct cell *c)
{
  return cell_is_owner (c) || (c->ownership.link_up && !owner_gone (c));
}

void
ingress_flush (struct cell *c)
{
  GHashTableIter it;
  gpointer value;
  GPtrArray *due = g_ptr_array_new ();
  guint i;

  g_hash_table_iter_init (&it, c->forwarded_calls);
  while (g_hash_table_iter_next (&it, NULL, &value))
    if (!((struct forwarded_call *)value)->on_current_link)
      g_ptr_array_add (due, value);
  for (i = 0; i < due->len && owner_reachable (c); i++)
    send_forward (c, g_ptr_array_index (due, i));
  g_ptr_array_free (due, TRUE);
}

static void
refuse (struct cell *c, const struct client_call *call, enum reply_code code)
{
  c->metrics.counters[CELL_COUNT_REFUSED]++;
  cell_log (c, "call_refused", 0,
            "\"call\":%llu,\"code\":%u,\"kind\":%u,\"version\":%llu,"
            "\"config_age_ms\":%llu,\"path\":\"%.60s\"",
            (unsigned long long)call->call_id, code, call->kind,
            (unsigned long long)(c->config ? c->config->version : 0),
            (unsigned long long)((c->now_us - c->config_confirmed_at_us)
                                 / US_PER_MS),
            call->path);
  answer (c, call->call_id, call->kind, code,
          code == REPLY_UNAVAILABLE ? retry_ms (c) : 0);
}

void
ingress_on_call (struct cell *c, struct cell_event *e)
{
  struct client_call *call = &e->u.call;
  struct job_call job = { .call_id = call->call_id };
  enum reply_code code = check_call (c, call, &job);
  uint32_t wait_ms = call->wait_ms > 0 ? call->wait_ms : CALL_WAIT_MS;
  struct forwarded_call *f;

  if (code != REPLY_OK)
    {
      refuse (c, call, code);
      return;
    }
  f = talloc_zero (c, struct forwarded_call);
  if (f == NULL)
    out_of_memory ();
  f->call = job;
  f->call.spec = talloc_steal (f, call->spec);
  if (f->call.spec != NULL)
    f->call.spec->id = job.job;
  f->arrived_at_us = c->now_us;
  f->deadline_us
      = c->now_us
        + (wait_ms > 2 * ANSWER_MARGIN_MS ? wait_ms - ANSWER_MARGIN_MS
                                          : wait_ms)
              * US_PER_MS;
  g_hash_table_insert (c->forwarded_calls, &f->call.call_id, f);
  if (owner_reachable (c))
    send_forward (c, f);
}

void
ingress_on_reply (struct cell *c, const struct reply *r)
{
  struct forwarded_call *f
      = g_hash_table_lookup (c->forwarded_calls, &r->call_id);

  if (f == NULL)
    return;
  if (r->code == REPLY_OWNERSHIP_LOST || r->code == REPLY_REDIRECT)
    {
      f->on_current_link = false;
      if (r->code == REPLY_REDIRECT)
        f->sent = f->sent_before;
      if (c->ownership.link_up && !cell_is_owner (c))
        ownership_on_denied (c);
      return;
    }
  cell_emit (c, CELL_DO_REPLY)->u.reply = *r;
  cell_histogram_add (c->metrics.reply_ms,
                      (c->now_us - f->arrived_at_us) / US_PER_MS);
  g_hash_table_remove (c->forwarded_calls, &r->call_id);
}

void
ingress_on_link (struct cell *c, bool up)
{
  GHashTableIter it;
  gpointer value;

  if (up)
    {
      ingress_flush (c);
      return;
    }
  g_hash_table_iter_init (&it, c->forwarded_calls);
  while (g_hash_table_iter_next (&it, NULL, &value))
    ((struct forwarded_call *)value)->on_current_link = false;
}

static void
index_config (struct cell *c)
{
  uint32_t i;
  uint32_t k;

  g_hash_table_remove_all (c->queues);
  for (i = 0; i < c->config->queue_count; i++)
    g_hash_table_insert (c->queues, c->config->queues[i].name,
                         &c->config->queues[i]);
  g_hash_table_remove_all (c->keys);
  for (i = 0; i < c->config->tenant_count; i++)
    for (k = 0; k < c->config->tenants[i].key_count; k++)
      g_hash_table_insert (c->keys, g_strdup (c->config->tenants[i].keys[k]),
                           GUINT_TO_POINTER (i + 1));
}

void
ingress_on_config (struct cell *c, struct site_config *f)
{
  /* A version never goes back within a process.  */
  if (c->config != NULL && f->version <= c->config->version)
    {
      talloc_free (f);
      return;
    }
  g_hash_table_remove_all (c->queues);
  talloc_free (c->config);
  c->config = f;
  index_config (c);
  cell_log (c, "config_in_force", 0,
            "\"version\":%llu,\"queues\":%u,\"pools\":%u,\"tenants\":%u",
            (unsigned long long)f->version, f->queue_count, f->pool_count,
            f->tenant_count);
}

/* Returns how a call that cannot wait on ends; REPLY_OK if it can.  */
static enum reply_code
expire (const struct cell *c, const struct forwarded_call *f)
{
  uint32_t wait_ms
      = f->call.kind == CALL_SUBMIT ? NO_OWNER_WAIT_MS : READ_WAIT_MS;

  /* The owner that this entry knows is none, and without the store it will
     learn of no other soon: another entry can do better.  */
  if (!f->on_current_link && !f->sent && owner_gone (c))
    return REPLY_UNAVAILABLE;

  if (c->now_us >= f->deadline_us)
    return f->sent ? REPLY_UNKNOWN : REPLY_UNAVAILABLE;
  if (!f->on_current_link
      && c->now_us >= f->arrived_at_us + wait_ms * US_PER_MS)
    return f->sent ? REPLY_UNKNOWN : REPLY_UNAVAILABLE;
  return REPLY_OK;
}

static void
tell_ready (struct cell *c)
{
  bool ready = is_fresh (c) && !c->stopping && owner_reachable (c);

  if (c->ready_reported && ready == c->ready)
    return;
  c->ready = ready;
  c->ready_reported = true;
  cell_emit (c, CELL_DO_READY)->u.ready = ready;
  cell_log (c, "ready", 0,
            "\"ready\":%s,\"config_age_ms\":%llu,\"owner\":\"%s\"",
            ready ? "true" : "false",
            (unsigned long long)((c->now_us - c->config_confirmed_at_us)
                                 / US_PER_MS),
            c->ownership.newest_member);
}

void
ingress_tick (struct cell *c)
{
  GHashTableIter it;
  gpointer value;

  g_hash_table_iter_init (&it, c->forwarded_calls);
  while (g_hash_table_iter_next (&it, NULL, &value))
    {
      struct forwarded_call *f = value;
      enum reply_code code = expire (c, f);

      if (code == REPLY_OK)
        continue;
      cell_log (
          c, "call_given_up", f->call.job,
          "\"call\":%llu,\"code\":%u,\"kind\":%u,\"sent\":%s,"
          "\"age_ms\":%llu,\"owner\":\"%s\"",
          (unsigned long long)f->call.call_id, code, f->call.kind,
          f->sent ? "true" : "false",
          (unsigned long long)((c->now_us - f->arrived_at_us) / US_PER_MS),
          c->ownership.newest_member);
      answer (c, f->call.call_id, f->call.kind, code, retry_ms (c));
      g_hash_table_iter_remove (&it);
    }
  if (c->ownership.owner_denied && c->now_us >= c->ownership.resend_at_us)
    {
      c->ownership.resend_at_us = c->now_us + RESEND_GAP_MS * US_PER_MS;
      ingress_flush (c);
    }
  tell_ready (c);
}
