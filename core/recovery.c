/* recovery.c -- relays records between members, and handles log gaps and
   checkpoints.

   The raw bytes of the newest records are kept for members that cannot read
   the log.  A member that needs records that the log no longer retains never
   skips or guesses them: it replaces its whole state by a checkpoint, from the
   log or from another member.  */

#include "core/state.h"

#include <string.h>

/** A member that can read the log is sent records after this many statuses in
    a row that repeated an offset below this entry's.  */
#define STALLED_STATUS_LIMIT 2
/** Most records relayed per status.  */
#define RELAY_BATCH_COUNT 32
/** Most bytes of records in the window.  */
#define WINDOW_LIMIT_BYTES (4u << 20)
/** Time between two checkpoints relayed to the same member.  */
#define CHECKPOINT_RELAY_PERIOD_US (2 * US_PER_S)
/** Age of the newest checkpoint at which the first member, by incarnation,
    appends another.  Each further member waits half of this time longer
    before it appends one, in case those before it are lost.  */
#define CHECKPOINT_PERIOD_US (600 * US_PER_S)
/** The same if the newest checkpoint is in the older half of the log.  */
#define CHECKPOINT_URGENT_US (2 * US_PER_S)

/* --- window of the newest records --- */

static void
drop_oldest (struct record_window *w)
{
  struct peer_record *r = &w->items[w->first_offset % RECORD_WINDOW_COUNT];

  w->total_bytes -= r->raw->size_bytes;
  blob_unref (r->raw);
  r->raw = NULL;
  w->first_offset++;
}

void
record_window_clear (struct record_window *w)
{
  while (w->first_offset < w->next_offset)
    drop_oldest (w);
}

/* Adds R's bytes to W and takes over their reference.  If R does not follow
   the last record in W, or has no bytes, W is emptied first.  */
static void
window_add (struct record_window *w, const struct peer_record *r)
{
  if (r->raw == NULL || r->offset != w->next_offset)
    record_window_clear (w);
  if (r->raw == NULL)
    return;
  if (w->first_offset == w->next_offset)
    w->first_offset = w->next_offset = r->offset;
  if (w->next_offset - w->first_offset == RECORD_WINDOW_COUNT)
    drop_oldest (w);
  w->items[r->offset % RECORD_WINDOW_COUNT] = *r;
  w->items[r->offset % RECORD_WINDOW_COUNT].record = NULL;
  w->total_bytes += r->raw->size_bytes;
  w->next_offset = r->offset + 1;
  while (w->total_bytes > WINDOW_LIMIT_BYTES
         && w->first_offset < w->next_offset)
    drop_oldest (w);
}

/* --- relaying --- */

static void
send_record (struct core *c, const struct peer_state *p,
             const struct peer_record *r)
{
  struct action *a = actions_add (c->out, ACTION_PEER);

  a->u.peer.kind = PEER_RECORD;
  a->u.peer.from_incarnation = c->incarnation;
  a->u.peer.to_incarnation = p->incarnation;
  a->u.peer.u.record = *r;
  c->counters[COUNTER_RELAYED_RECORDS]++;
}

static struct record *
make_checkpoint (struct core *c)
{
  struct record *r = talloc_zero (NULL, struct record);

  r->kind = RECORD_CHECKPOINT;
  core_make_command_id (c, r->id);
  r->u.checkpoint = control_checkpoint (c->control, r);
  return r;
}

static void
relay_checkpoint (struct core *c, struct peer_state *p)
{
  struct peer_record r = { .offset = c->control->next_offset,
                           .appended_at_ms = c->control->last_append_at_ms };

  if (p->checkpoint_sent_at_us > 0
      && c->now_us - p->checkpoint_sent_at_us < CHECKPOINT_RELAY_PERIOD_US)
    return;
  p->checkpoint_sent_at_us = c->now_us;
  r.record = make_checkpoint (c);
  send_record (c, p, &r);
}

/* Returns how high P's stalled_status_count must be for this entry to relay
   records to it.  A member that cannot read the log is served at once by the
   first member that can; each further one waits one status longer.  */
static uint32_t
stalled_status_limit (const struct core *c, const struct peer_state *p)
{
  uint32_t rank = 0;
  uint32_t i;

  if (p->log_readable)
    return STALLED_STATUS_LIMIT;
  for (i = 0; i < c->peer_count; i++)
    if (c->peers[i].incarnation < c->incarnation && c->peers[i].log_readable)
      rank++;
  return rank;
}

void
core_relay_records (struct core *c, struct peer_state *p)
{
  struct record_window *w = &c->window;
  uint64_t i;

  if (p->next_offset >= c->control->next_offset
      || p->stalled_status_count < stalled_status_limit (c, p)
      || c->log_has_gap || !c->caught_up)
    return;
  if (p->next_offset < w->first_offset || p->next_offset >= w->next_offset)
    {
      relay_checkpoint (c, p);
      return;
    }
  for (i = p->next_offset;
       i < w->next_offset && i < p->next_offset + RELAY_BATCH_COUNT; i++)
    {
      blob_ref (w->items[i % RECORD_WINDOW_COUNT].raw);
      send_record (c, p, &w->items[i % RECORD_WINDOW_COUNT]);
    }
}

/* --- gaps and checkpoints --- */

static void
restore_state (struct core *c, struct checkpoint *k, uint64_t offset)
{
  struct action *a;

  if (!control_restore (c->control, k))
    {
      core_note (c, NOTE_BAD_CHECKPOINT, "", offset);
      return;
    }
  c->log_has_gap = false;
  c->log_repositioning = true;
  record_window_clear (&c->window);
  if (c->control->config != NULL)
    core_adopt_config (c);
  core_sync_peers (c);
  core_limit_sync (c);
  core_check_own_membership (c);
  /* This entry's join record may lie in the gap, where it is never read, so it
     joins again.  */
  if (c->incarnation == 0)
    c->join_id[0] = '\0';
  core_note (c, NOTE_RESTORED, "", c->control->next_offset);
  a = actions_add (c->out, ACTION_SEEK_LOG);
  a->u.log_offset = c->control->next_offset;
}

void
core_on_gap (struct core *c, uint64_t offset)
{
  c->log_repositioning = false;
  if (c->log_has_gap)
    return;
  c->log_has_gap = true;
  core_note (c, NOTE_LOG_GAP, "", offset);
}

/* Handles a record beyond the next offset; only a checkpoint can be used
   there.  While the log reader moves to a restored checkpoint's offset,
   records from its old position may still arrive and are ignored.  */
static void
handle_record_ahead (struct core *c, uint64_t offset, struct record *r,
                     bool from_log)
{
  if (c->log_repositioning)
    return;
  if (from_log)
    core_on_gap (c, c->control->next_offset);
  if (r != NULL && r->kind == RECORD_CHECKPOINT
      && r->u.checkpoint->next_offset > c->control->next_offset
      && r->u.checkpoint->next_offset >= c->first_offset)
    restore_state (c, r->u.checkpoint, offset);
}

static void
compare_with_checkpoint (struct core *c, const struct checkpoint *k,
                         uint64_t offset)
{
  if (control_compare (c->control, k) == CHECKPOINT_DIFFERS)
    {
      c->counters[COUNTER_STATE_DIFFERENCES]++;
      core_note (c, NOTE_STATE_DIFFERS, c->settings.vm, offset);
    }
  c->checkpoint_at_us = c->now_us;
  c->checkpoint_offset = k->next_offset;
}

void
core_accept_record (struct core *c, const struct peer_record *r, bool from_log)
{
  if (r->offset != c->control->next_offset)
    {
      if (r->offset > c->control->next_offset)
        handle_record_ahead (c, r->offset, r->record, from_log);
      blob_unref (r->raw);
      return;
    }
  c->log_has_gap = false;
  c->log_repositioning = false;
  window_add (&c->window, r);
  if (r->appended_at_ms > c->control->last_append_at_ms)
    c->control->last_append_at_ms = r->appended_at_ms;
  core_apply_record (c, r->offset, r->record);
  if (r->record != NULL && r->record->kind == RECORD_CHECKPOINT)
    compare_with_checkpoint (c, r->record->u.checkpoint, r->offset);
}

/* --- appending checkpoints --- */

static bool
is_checkpoint_due (const struct core *c, uint64_t rank)
{
  uint64_t age_us = c->now_us - c->checkpoint_at_us;
  uint64_t next = c->control->next_offset;
  uint64_t middle = c->first_offset + (next - c->first_offset) / 2;

  if (age_us >= CHECKPOINT_PERIOD_US * (2 + rank) / 2)
    return true;
  return c->first_offset > 0 && c->checkpoint_offset < middle
         && age_us >= CHECKPOINT_URGENT_US * (2 + rank) / 2;
}

void
core_append_checkpoint (struct core *c)
{
  int32_t rank = control_member_index (c->control, c->incarnation);

  if (c->incarnation == 0 || rank < 0 || c->stopping || !core_is_fresh (c))
    return;
  if (c->checkpoint_at_us == 0)
    c->checkpoint_at_us = c->now_us;
  if (!is_checkpoint_due (c, (uint64_t)rank))
    return;
  /* Keeps this entry from appending another before this one is read.  */
  c->checkpoint_at_us = c->now_us;
  actions_add (c->out, ACTION_APPEND)->u.append = make_checkpoint (c);
}
