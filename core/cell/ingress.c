/* ingress.c -- checks calls of this entry's clients and forwards them to the
   owner.

   Withdrawn keys must stop working within revoke_ms, so calls are accepted
   only while the configuration is fresh: the last read that confirmed it was
   sent less than revoke_ms ago, minus a margin.  */

#include "core/cell/state_calls.h"

#include <string.h>

/** Subtracted from revoke_ms: the time that may pass between the check of a
    call here and its answer at the client.  */
#define REVOKE_MARGIN_MS 700
/** A submission that finds no owner is refused after this; a planned handover
    takes less.  */
#define NO_OWNER_WAIT_MS 400
/** The same for other calls.  It is longer, as their clients gain nothing by
    asking another entry.  */
#define READ_WAIT_MS 2500
/** The store counts as unreachable when no read of the configuration was
    answered for this long, which is longer than a long-polling read takes.  */
#define STORE_UNREACHABLE_MS 2200
/** Interval between resends of calls that were denied, while a new owner reads
    the records.  It reads them in steps; this is as long as a few of them.  */
#define RESEND_INTERVAL_MS 60
/** Timeout of a call whose client gives none.  */
#define CALL_WAIT_MS 3000
/** A call is answered this long before the client's timeout.  */
#define ANSWER_MARGIN_MS 150
/** Clients are told to retry after this plus a random time up to the same.  */
#define RETRY_MS 1000

/* Sends R to its client.  */
static void
send_reply (struct cell *c, const struct reply *r)
{
  if (r->kind == CALL_STATE)
    c->metrics.counters[r->code == REPLY_OK ? CELL_COUNT_STATES_TOLD
                                            : CELL_COUNT_STATES_UNTOLD]++;
  cell_emit (c, CELL_DO_REPLY)->u.reply = *r;
}

static void
answer (struct cell *c, uint64_t call_id, enum call_kind kind,
        enum reply_code code, uint32_t retry_after_ms)
{
  struct reply r = { .call_id = call_id,
                     .kind = kind,
                     .code = code,
                     .retry_after_ms = retry_after_ms };

  send_reply (c, &r);
}

static uint32_t
random_retry_ms (const struct cell *c)
{
  return RETRY_MS + (uint32_t)(c->random % RETRY_MS);
}

bool
ingress_is_fresh (const struct cell *c)
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

bool
ingress_admits (const struct cell *c, const struct job_call *call)
{
  const struct site_queue *q = cell_find_queue (c, call->queue);

  return ingress_is_fresh (c) && q != NULL
         && cell_queue_is_configured (c, call->queue)
         && (q->is_public || g_hash_table_lookup (c->keys, call->key) != NULL);
}

/* Returns the queue of HOST with the longest prefix of PATH, or NULL.  */
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

/* Checks CALL by the last configuration and sets JOB to the call for the
   owner.  Returns REPLY_OK, or the code to refuse CALL with.  */
static enum reply_code
check_by_config (struct cell *c, const struct client_call *call,
                 struct job_call *job)
{
  const struct site_queue *q;
  const char *rest;
  gpointer tenant = NULL;

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

/* The same; a configuration that is too old admits only calls for the state of
   a job, and is no reason to tell that anything does not exist.  */
static enum reply_code
check_call (struct cell *c, const struct client_call *call,
            struct job_call *job)
{
  if (ingress_is_fresh (c))
    return check_by_config (c, call, job);
  if (call->kind != CALL_STATE || !state_calls_admit_unconfirmed (c)
      || check_by_config (c, call, job) != REPLY_OK || job->kind != CALL_STATE)
    return REPLY_UNAVAILABLE;
  job->unconfirmed = true;
  text_copy (job->key, API_KEY_BYTES, call->key);
  return REPLY_OK;
}

/* Sends F to the owner, which may be this entry.  */
static void
send_forward (struct cell *c, struct forwarded_call *f)
{
  f->sent_before = f->sent;
  f->sent = true;
  f->call.age_ms = (uint32_t)((c->now_us - f->arrived_at_us) / US_PER_MS);
  if (cell_is_owner (c))
    {
      struct job_call mine = f->call;

      /* The job takes over a copy of the specification; the call keeps its
         own, as it may have to be sent to a later owner.  */
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
  return c->now_us
         <= c->config_confirmed_at_us + STORE_UNREACHABLE_MS * US_PER_MS;
}

/* Returns true if the known owner has denied a call and the store is
   unreachable: the owner has lost the cell, and this entry cannot learn of the
   new one.  A new owner that still reads the records denies calls too, but
   then the store can be reached.  */
static bool
owner_is_lost (const struct cell *c)
{
  return c->ownership.owner_denied && !ingress_store_answers (c);
}

static bool
owner_is_reachable (const struct cell *c)
{
  return cell_is_owner (c) || (c->ownership.link_up && !owner_is_lost (c));
}

void
ingress_flush (struct cell *c)
{
  GHashTableIter it;
  gpointer value;
  GPtrArray *unsent = g_ptr_array_new ();
  guint i;

  g_hash_table_iter_init (&it, c->forwarded_calls);
  while (g_hash_table_iter_next (&it, NULL, &value))
    if (!((struct forwarded_call *)value)->on_current_link)
      g_ptr_array_add (unsent, value);
  for (i = 0; i < unsent->len && owner_is_reachable (c); i++)
    send_forward (c, g_ptr_array_index (unsent, i));
  g_ptr_array_free (unsent, TRUE);
}

static void
refuse (struct cell *c, const struct client_call *call, enum reply_code code)
{
  c->metrics.counters[CELL_COUNT_REFUSED]++;
  cell_log (c, "call_refused", 0,
            "\"call\":%llu,\"code\":\"%s\",\"kind\":\"%s\",\"version\":%llu,"
            "\"config_age_ms\":%llu,\"path\":\"%.60s\"",
            (unsigned long long)call->call_id, reply_code_name (code),
            call_kind_name (call->kind),
            (unsigned long long)(c->config ? c->config->version : 0),
            (unsigned long long)((c->now_us - c->config_confirmed_at_us)
                                 / US_PER_MS),
            call->path);
  answer (c, call->call_id, call->kind, code,
          code == REPLY_UNAVAILABLE ? random_retry_ms (c) : 0);
}

/* Answers F, whose reply this entry will not get, with CODE.  */
static void
give_up (struct cell *c, const struct forwarded_call *f, enum reply_code code)
{
  cell_log (c, "call_given_up", f->call.job,
            "\"call\":%llu,\"code\":\"%s\",\"kind\":\"%s\",\"sent\":%s,"
            "\"age_ms\":%llu,\"owner\":\"%s\"",
            (unsigned long long)f->call.call_id, reply_code_name (code),
            call_kind_name (f->call.kind), f->sent ? "true" : "false",
            (unsigned long long)((c->now_us - f->arrived_at_us) / US_PER_MS),
            c->ownership.newest_member);
  answer (c, f->call.call_id, f->call.kind, code, random_retry_ms (c));
}

/* Passes R, the reply to F, on to its client.  */
static void
finish (struct cell *c, const struct forwarded_call *f, const struct reply *r)
{
  send_reply (c, r);
  if (f->call.unconfirmed)
    c->metrics.counters[CELL_COUNT_STATES_UNCONFIRMED]++;
  cell_histogram_add (c->metrics.reply_ms,
                      (c->now_us - f->arrived_at_us) / US_PER_MS);
}

/* Answers F, which no owner answers now, if this entry knows the state that it
   asks for, or if it is no use to wait for an owner.  Returns false if F waits
   for one.  */
static bool
is_answered_here (struct cell *c, const struct forwarded_call *f)
{
  struct reply r
      = { .call_id = f->call.call_id, .kind = CALL_STATE, .code = REPLY_OK };

  if (f->call.kind == CALL_STATE && state_calls_may_answer (c, &f->call)
      && state_calls_find (c, f->call.job, &r.state))
    finish (c, f, &r);
  else if (f->call.unconfirmed)
    give_up (c, f, REPLY_UNAVAILABLE);
  else
    return false;
  return true;
}

void
ingress_on_call (struct cell *c, struct cell_event *e)
{
  struct client_call *call = &e->u.call;
  struct job_call job = { .call_id = call->call_id };
  enum reply_code code = check_call (c, call, &job);
  uint32_t wait_ms = call->wait_ms > 0 ? call->wait_ms : CALL_WAIT_MS;
  struct forwarded_call *f;

  if (code == REPLY_OK && stop_must_answer (c))
    code = REPLY_UNAVAILABLE;
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
  /* An entry that has lost the cell may tell states.  */
  if (owner_is_reachable (c)
      || (job.kind == CALL_STATE && c->ownership.link_up))
    send_forward (c, f);
  else if (is_answered_here (c, f))
    g_hash_table_remove (c->forwarded_calls, &job.call_id);
}

void
ingress_on_reply (struct cell *c, const struct reply *r)
{
  struct forwarded_call *f
      = g_hash_table_lookup (c->forwarded_calls, &r->call_id);

  if (f == NULL)
    return;
  if (r->code != REPLY_OWNERSHIP_LOST && r->code != REPLY_REDIRECT)
    finish (c, f, r);
  else if (!is_answered_here (c, f))
    {
      f->on_current_link = false;
      if (r->code == REPLY_REDIRECT)
        f->sent = f->sent_before;
      if (c->ownership.link_up && !cell_is_owner (c))
        ownership_on_denied (c);
      return;
    }
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
    {
      struct forwarded_call *f = value;

      f->on_current_link = false;
      if (is_answered_here (c, f))
        g_hash_table_iter_remove (&it);
    }
}

void
ingress_on_config (struct cell *c, struct site_config *config)
{
  /* An older version never replaces a newer one.  */
  if (c->config != NULL && config->version <= c->config->version)
    {
      talloc_free (config);
      return;
    }
  catalog_set_config (c, config);
  cell_log (c, "config_in_force", 0,
            "\"version\":%llu,\"queues\":%u,\"pools\":%u,\"tenants\":%u",
            (unsigned long long)config->version, config->queue_count,
            config->pool_count, config->tenant_count);
}

/* Returns REPLY_OK if F can wait longer, or the code to answer its client
   with.  */
static enum reply_code
check_expiry (const struct cell *c, const struct forwarded_call *f)
{
  uint32_t wait_ms
      = f->call.kind == CALL_SUBMIT ? NO_OWNER_WAIT_MS : READ_WAIT_MS;

  /* Another entry may reach the owner, so the client is told at once.  */
  if (!f->on_current_link && !f->sent && owner_is_lost (c))
    return REPLY_UNAVAILABLE;

  if (c->now_us >= f->deadline_us || stop_must_answer (c))
    return f->sent ? REPLY_UNKNOWN : REPLY_UNAVAILABLE;
  if (!f->on_current_link
      && c->now_us >= f->arrived_at_us + wait_ms * US_PER_MS)
    return f->sent ? REPLY_UNKNOWN : REPLY_UNAVAILABLE;
  return REPLY_OK;
}

static void
report_ready (struct cell *c)
{
  bool ready = ingress_is_fresh (c) && !c->stopping && owner_is_reachable (c);

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
      enum reply_code code = check_expiry (c, f);

      if (code == REPLY_OK)
        continue;
      if (!is_answered_here (c, f))
        give_up (c, f, code);
      g_hash_table_iter_remove (&it);
    }
  if (c->ownership.owner_denied && c->now_us >= c->ownership.resend_at_us)
    {
      c->ownership.resend_at_us = c->now_us + RESEND_INTERVAL_MS * US_PER_MS;
      ingress_flush (c);
    }
  report_ready (c);
}
