/* model_store.c -- the store of the model: the group of entries, claims,
   records and registrations.  */

#include "tests/model.h"

#include "adapter/job_codec.h"

#include <arpa/inet.h>
#include <string.h>

#define CALL_US 2000 /* One way.  */
#define APPEND_US 4000
#define RECORD_LIMIT_BYTES 262144
#define APPEND_LIMIT_BYTES 2097152
#define CALL_TIMEOUT_US (700 * US_PER_MS)
#define APPEND_TIMEOUT_US (1200 * US_PER_MS)
/** Longest wait of a read of the claims.  */
#define CLAIMS_WAIT_US (1000 * US_PER_MS)
#define EXPIRY_US (1000 * US_PER_MS)
#define PAGE_COUNT 500
#define RUNNERS_POLL_US (200 * US_PER_MS)
#define HEARTBEAT_US (500 * US_PER_MS)
#define SILENT_US (3 * HEARTBEAT_US)
/** One new member in this many makes the group assign the cell to it.  */
#define REASSIGN_PART 6

/* A call on its way.  */
struct store_call
{
  struct model_entry *entry;
  uint32_t process;
  enum cell_action_kind kind;
  uint64_t sent_at_us;
  uint64_t token;
  uint64_t sequence;
  uint64_t at_offset;
  struct claim_terms terms;
  uint8_t *body;
  uint32_t body_bytes;
};

bool
model_store_serves (const struct model_entry *e)
{
  const struct model *m = e->model;

  return model_entry_reaches (e) && m->now_us >= e->store_cut_until_us
         && !model_island_has (m, e->side)
         && m->now_us >= m->store.down_until_us;
}

/* Removes the members that were silent for too long, and has the group assign
   the cell.  Times stand still while the store is down.  */
static void
update_group (struct model *m)
{
  struct model_store *s = &m->store;
  uint32_t count = 0;
  uint32_t i;
  uint32_t k;

  if (m->now_us < s->down_until_us)
    return;
  for (i = 0; i < m->entry_count; i++)
    {
      if (s->member_until_us[i] != 0 && m->now_us > s->member_until_us[i])
        s->member_until_us[i] = 0;
      count += s->member_until_us[i] != 0;
    }
  if (s->holder >= 0 && s->member_until_us[s->holder] != 0)
    return;
  s->holder = -1;
  if (count == 0)
    return;
  k = model_random (m, count);
  for (i = 0; i < m->entry_count; i++)
    if (s->member_until_us[i] != 0 && k-- == 0)
      s->holder = (int32_t)i;
}

static void
answer (struct store_call *x, struct cell_event *ev, uint64_t delay_us)
{
  model_post (x->entry, x->process, delay_us, ev);
}

static void
on_join (struct model *m, struct store_call *x)
{
  struct model_store *s = &m->store;
  struct cell_event *ev = model_event (CELL_JOINED);
  uint32_t i = x->entry->index;
  bool is_new;

  update_group (m);
  is_new = s->member_until_us[i] == 0;
  s->member_until_us[i] = m->now_us + EXPIRY_US;
  if (is_new && s->holder >= 0 && model_random (m, REASSIGN_PART) == 0)
    s->holder = (int32_t)i;
  update_group (m);
  ev->u.joined.answered = true;
  ev->u.joined.holds = s->holder == (int32_t)i;
  ev->u.joined.sent_at_us = x->sent_at_us;
  if (ev->u.joined.holds)
    x->entry->joined_at_us = x->sent_at_us;
  else
    {
      x->entry->unassigned_at_us = m->now_us;
      x->entry->joins_pass = false;
    }
  answer (x, ev, CALL_US);
}

static void
on_find_holder (struct model *m, struct store_call *x)
{
  struct cell_event *ev = model_event (CELL_HOLDER);

  update_group (m);
  ev->u.holder.known = true;
  if (m->store.holder >= 0)
    text_copy (ev->u.holder.member, NAME_BYTES,
               m->entries[m->store.holder].name);
  answer (x, ev, CALL_US);
}

static void
on_claim (struct model *m, struct store_call *x)
{
  struct cell_event *ev = model_event (CELL_CLAIM_RESULT);
  GArray *claims = m->store.claims;
  struct model_claim claim = { .terms = x->terms };
  bool lost = m->now_us < m->store.appends_lost_until_us;

  if (claims->len != x->at_offset)
    {
      ev->u.claimed.outcome = APPEND_NOT_DONE;
      answer (x, ev, CALL_US);
      return;
    }
  text_copy (claim.member, NAME_BYTES, x->entry->name);
  text_copy (claim.address, ADDRESS_BYTES, x->entry->address);
  g_array_append_val (claims, claim);
  m->owner_count += !x->terms.released;
  ev->u.claimed.outcome = lost ? APPEND_UNKNOWN : APPEND_STORED;
  ev->u.claimed.token = claims->len;
  answer (x, ev, lost ? CALL_TIMEOUT_US : CALL_US);
}

static void
store_record (struct model_store *s, const uint8_t *b, uint32_t length)
{
  char *key = g_strndup ((const char *)b + 1, b[0]);

  if (length == 1U + b[0])
    {
      g_hash_table_remove (s->records, key);
      g_free (key);
      return;
    }
  g_hash_table_replace (s->records, key,
                        g_bytes_new (b + 1 + b[0], length - 1 - b[0]));
}

static uint32_t
length_at (const struct store_call *x, uint32_t at)
{
  uint32_t length;

  memcpy (&length, (const uint8_t *)x->body + at, sizeof length);
  return ntohl (length);
}

/* Returns true if the append X, or a record of it, is too large.  */
static bool
has_excess (const struct store_call *x)
{
  uint32_t at;

  for (at = 0; at + sizeof (uint32_t) < x->body_bytes;
       at += (uint32_t)sizeof (uint32_t) + length_at (x, at))
    if (length_at (x, at) > RECORD_LIMIT_BYTES)
      return true;
  return x->body_bytes > APPEND_LIMIT_BYTES;
}

static void
store_records (struct model_store *s, const struct store_call *x)
{
  uint32_t at;

  for (at = 0; at + sizeof (uint32_t) < x->body_bytes;
       at += (uint32_t)sizeof (uint32_t) + length_at (x, at))
    store_record (s, (const uint8_t *)x->body + at + sizeof (uint32_t),
                  length_at (x, at));
}

static void
on_append (struct model *m, struct store_call *x)
{
  struct model_store *s = &m->store;
  struct cell_event *ev = model_event (CELL_APPENDED);
  bool lost = m->now_us < s->appends_lost_until_us;

  ev->u.appended.token = x->token;
  ev->u.appended.sequence = x->sequence;
  if (x->token < s->epoch)
    {
      ev->u.appended.outcome = APPEND_FENCED;
      answer (x, ev, CALL_US);
      return;
    }
  if (x->token > s->epoch || x->sequence == s->sequence + 1)
    {
      s->epoch = x->token;
      if (has_excess (x))
        ev->u.appended.outcome = APPEND_REFUSED;
      else
        {
          s->sequence = x->sequence;
          store_records (s, x);
        }
    }
  else if (x->sequence != s->sequence)
    {
      lost = false;
      ev->u.appended.outcome = APPEND_NOT_DONE;
    }
  if (lost)
    ev->u.appended.outcome = APPEND_UNKNOWN;
  answer (x, ev, lost ? APPEND_TIMEOUT_US : CALL_US);
}

static void
on_recover (struct model *m, struct store_call *x)
{
  struct model_store *s = &m->store;
  struct cell_event *ev = model_event (CELL_RECOVERED);
  uint64_t delay_us = APPEND_US + CALL_US;
  GHashTableIter it;
  gpointer key;
  gpointer value;

  if (x->token < s->epoch)
    {
      ev->u.recovered.fenced = true;
      answer (x, ev, CALL_US);
      return;
    }
  if (x->token > s->epoch)
    s->sequence = 0;
  s->epoch = x->token;
  ev->u.recovered.answered = true;
  ev->u.recovered.rows
      = talloc_zero_array (ev, struct recovered_record, PAGE_COUNT);
  g_hash_table_iter_init (&it, s->records);
  while (g_hash_table_iter_next (&it, &key, &value))
    {
      gsize size = 0;
      const void *data = g_bytes_get_data (value, &size);

      if (!recovered_record_unpack (
              ev, key, data, (uint32_t)size,
              &ev->u.recovered.rows[ev->u.recovered.row_count]))
        g_error ("a record cannot be read: %s", (const char *)key);
      if (++ev->u.recovered.row_count < PAGE_COUNT)
        continue;
      answer (x, ev, delay_us);
      delay_us += 2 * CALL_US;
      ev = model_event (CELL_RECOVERED);
      ev->u.recovered.answered = true;
      ev->u.recovered.rows
          = talloc_zero_array (ev, struct recovered_record, PAGE_COUNT);
    }
  ev->u.recovered.last = true;
  answer (x, ev, delay_us);
}

static void
execute (struct model *m, struct store_call *x)
{
  uint32_t i = x->entry->index;

  switch (x->kind)
    {
    case CELL_DO_JOIN:
      on_join (m, x);
      break;
    case CELL_DO_LEAVE:
      m->store.member_until_us[i] = 0;
      update_group (m);
      break;
    case CELL_DO_FIND_HOLDER:
      on_find_holder (m, x);
      break;
    case CELL_DO_CLAIM:
      on_claim (m, x);
      break;
    case CELL_DO_RECOVER:
      on_recover (m, x);
      break;
    default:
      on_append (m, x);
      break;
    }
}

/* Answers X, which the store has not executed.  */
static void
fail (struct store_call *x, bool silent)
{
  uint64_t timeout_us
      = x->kind == CELL_DO_APPEND ? APPEND_TIMEOUT_US : CALL_TIMEOUT_US;
  uint64_t delay_us = silent ? timeout_us : 2 * CALL_US;
  struct cell_event *ev;

  switch (x->kind)
    {
    case CELL_DO_JOIN:
      ev = model_event (CELL_JOINED);
      ev->u.joined.sent_at_us = x->sent_at_us;
      break;
    case CELL_DO_FIND_HOLDER:
      ev = model_event (CELL_HOLDER);
      break;
    case CELL_DO_CLAIM:
      ev = model_event (CELL_CLAIM_RESULT);
      ev->u.claimed.outcome = silent ? APPEND_UNKNOWN : APPEND_NOT_DONE;
      break;
    case CELL_DO_RECOVER:
      ev = model_event (CELL_RECOVERED);
      break;
    case CELL_DO_APPEND:
      ev = model_event (CELL_APPENDED);
      ev->u.appended.token = x->token;
      ev->u.appended.sequence = x->sequence;
      ev->u.appended.outcome = silent ? APPEND_UNKNOWN : APPEND_NOT_DONE;
      break;
    default:
      return;
    }
  answer (x, ev, delay_us);
}

/* Returns true if the store has a call left for X.  */
static bool
is_within_limits (struct model *m, const struct store_call *x)
{
  switch (x->kind)
    {
    case CELL_DO_JOIN:
    case CELL_DO_LEAVE:
      return model_limits_write (m, 1);
    case CELL_DO_FIND_HOLDER:
      return model_limits_read (m);
    default:
      return model_limits_write (m, 10);
    }
}

/* The entry may have ended since it sent the call, which arrives all the
   same.  */
static void
arrive (struct model *m, void *argument)
{
  struct store_call *x = argument;
  bool cut = m->now_us < x->entry->store_cut_until_us
             || m->now_us < x->entry->cut_until_us
             || (model_island_has (m, x->entry->side)
                 && !(x->entry->joins_pass && x->kind == CELL_DO_JOIN));

  if (!cut && m->now_us >= m->store.down_until_us && is_within_limits (m, x))
    execute (m, x);
  else
    fail (x, cut || (m->store.silent && m->now_us < m->store.down_until_us));
  talloc_free (x);
}

void
model_store_action (struct model_entry *e, const struct cell_action *a)
{
  struct model *m = e->model;
  struct store_call *x;

  if (a->kind == CELL_DO_FOLLOW_RUNNERS)
    {
      e->follows_runners = a->u.follow_runners;
      e->runners_listed = false;
      e->runners_seen_version = 0;
      return;
    }
  x = talloc_zero (m->arena, struct store_call);
  x->entry = e;
  x->process = e->process;
  x->kind = a->kind;
  x->sent_at_us = m->now_us;
  switch (a->kind)
    {
    case CELL_DO_CLAIM:
      x->at_offset = a->u.claim.at_offset;
      x->terms = a->u.claim.terms;
      break;
    case CELL_DO_RECOVER:
      x->token = a->u.token;
      break;
    case CELL_DO_APPEND:
      {
        msgpack_sbuffer out;

        msgpack_sbuffer_init (&out);
        append_records_pack (&out, a->u.append.items, a->u.append.item_count);
        x->body = talloc_memdup (x, out.data, out.size);
        x->body_bytes = (uint32_t)out.size;
        msgpack_sbuffer_destroy (&out);
        x->token = a->u.append.token;
        x->sequence = a->u.append.sequence;
        break;
      }
    default:
      break;
    }
  model_schedule (m,
                  CALL_US
                      + (a->kind == CELL_DO_APPEND
                             ? APPEND_US + model_random (m, 4000)
                             : model_random (m, 500)),
                  arrive, x);
}

/* Posts EV, an answer to a read of the claims, which follow each other.  */
static void
post_claims (struct model_entry *e, struct cell_event *ev)
{
  struct model *m = e->model;
  uint64_t at_us
      = m->now_us + CALL_US + model_delay_us (m, e->late_until_us, e->late_us);

  e->claims_told_at_us = MAX (e->claims_told_at_us, at_us);
  model_post (e, e->process, e->claims_told_at_us - m->now_us, ev);
}

/* Answers the read of the claims that E has sent, if it has waited as long as
   it may.  */
static void
confirm_claims (struct model_entry *e)
{
  struct model *m = e->model;
  struct cell_event *ev;

  if (m->now_us < e->claims_sent_at_us + CLAIMS_WAIT_US)
    return;
  /* The one before was lost while E did not reach the store.  */
  if (m->now_us < e->claims_sent_at_us + 2 * CLAIMS_WAIT_US
      && model_limits_read (m))
    {
      ev = model_event (CELL_CLAIMS_CONFIRMED);
      ev->u.claims_sent_at_us = e->claims_sent_at_us;
      post_claims (e, ev);
    }
  e->claims_sent_at_us = m->now_us;
}

static void
tell_claims (struct model_entry *e)
{
  GArray *claims = e->model->store.claims;
  struct cell_event *ev;

  if (e->claims_read && e->claims_seen_offset == claims->len)
    {
      confirm_claims (e);
      return;
    }
  if (!model_limits_read (e->model))
    return;
  e->claims_sent_at_us = e->model->now_us;
  e->claims_read = true;
  e->claims_seen_offset = claims->len;
  ev = model_event (CELL_CLAIM);
  ev->u.claim.none = claims->len == 0;
  ev->u.claim.token = ev->u.claim.next_offset = claims->len;
  if (claims->len > 0)
    {
      const struct model_claim *x
          = &g_array_index (claims, struct model_claim, claims->len - 1);

      text_copy (ev->u.claim.member, NAME_BYTES, x->member);
      text_copy (ev->u.claim.address, ADDRESS_BYTES, x->address);
      ev->u.claim.terms = x->terms;
    }
  post_claims (e, ev);
}

static void
report_runner (const struct model *m, const struct model_runner *r,
               struct runner_report *row)
{
  const struct model_vm *v = &m->vms[r->vm];

  text_copy (row->id, NAME_BYTES, r->id);
  row->removed = !r->registered;
  if (row->removed)
    return;
  g_snprintf (row->pool, NAME_BYTES, "p%u", v->pool);
  g_snprintf (row->address, ADDRESS_BYTES, "10.1.0.%u:1", r->vm);
  g_snprintf (row->zone, NAME_BYTES, "z%u", r->vm % 3);
  row->draining = r->draining;
  row->booted_at_ms = r->booted_at_ms;
  row->capacity.cpu_milli = MODEL_CPU_MILLI;
  row->capacity.memory_mib = 100000;
  row->label_count = 2;
  text_copy (row->labels[0], LABEL_BYTES, "kind");
  g_snprintf (row->labels[1], LABEL_BYTES, "rack%u", v->rack);
  if (!model_vm_has_label (r->vm))
    return;
  row->label_count = 3;
  text_copy (row->labels[2], LABEL_BYTES, MODEL_LABEL);
}

static void
tell_runners (struct model_entry *e)
{
  struct model *m = e->model;
  struct cell_event *ev;
  guint i;

  if (!model_limits_read (m))
    return;
  ev = model_event (CELL_RUNNERS);
  ev->u.runners.whole = !e->runners_listed;
  ev->u.runners.rows
      = talloc_zero_array (ev, struct runner_report, m->all_runners->len + 1);
  for (i = 0; i < m->all_runners->len; i++)
    {
      const struct model_runner *r = g_ptr_array_index (m->all_runners, i);

      if (e->runners_listed
              ? r->registration_version <= e->runners_seen_version
              : !r->registered)
        continue;
      report_runner (m, r, &ev->u.runners.rows[ev->u.runners.row_count++]);
    }
  e->runners_listed = true;
  e->runners_seen_version = m->store.registration_version;
  model_post (e, e->process,
              2 * CALL_US + model_delay_us (m, e->late_until_us, e->late_us),
              ev);
}

static void
set_registered (struct model *m, struct model_runner *r, bool registered)
{
  r->registered = registered;
  r->registration_version = ++m->store.registration_version;
}

/* Registrations expire while the store is down, too.  */
static void
update_registration (struct model *m, struct model_runner *r)
{
  if (r->alive && m->now_us >= r->store_cut_until_us
      && model_island_registers (m, r->side)
      && m->now_us >= m->store.down_until_us)
    {
      if (r->registered && m->now_us < r->silent_at_us + HEARTBEAT_US)
        return;
      r->silent_at_us = m->now_us;
      if (!r->registered)
        set_registered (m, r, true);
      return;
    }
  if (r->registered && m->now_us >= r->silent_at_us + SILENT_US)
    set_registered (m, r, false);
}

void
model_store_tick (struct model *m)
{
  uint32_t i;
  guint k;

  for (k = 0; k < m->all_runners->len; k++)
    update_registration (m, g_ptr_array_index (m->all_runners, k));
  for (i = 0; i < m->entry_count; i++)
    {
      struct model_entry *e = &m->entries[i];

      if (!model_store_serves (e))
        continue;
      tell_claims (e);
      if (e->follows_runners
          && (!e->runners_listed
              || (e->runners_seen_version < m->store.registration_version
                  && m->now_us % RUNNERS_POLL_US < 10 * US_PER_MS)))
        tell_runners (e);
    }
}

void
model_store_free (struct model *m)
{
  g_array_free (m->store.claims, TRUE);
  g_hash_table_destroy (m->store.records);
}
