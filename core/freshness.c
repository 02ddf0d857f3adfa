/* freshness.c -- whether this entry may take new work while it is cut off.

   It may if, within the last log_age_limit_ms, the log was read to its end by
   this entry, or by a member all of whose records this entry has applied too.
   It also may if it and the members that it exchanges messages with are more
   than half of all, none of them can read the log, and none has applied more
   of it than this entry.

   It may not before it has once read the log to its end, while the log has a
   gap, or when it has lacked records that are known to exist for longer than
   MISSING_RECORD_LIMIT_US.

   What a peer reports is dated by when this entry asked, not by when the
   answer was processed, since the answer may have waited in a socket while
   this process was paused.  */

#include "core/state.h"

#include <string.h>

/** Time between two statuses to each member.  */
#define STATUS_PERIOD_US (250 * US_PER_MS)
/** Longest time for which a record known to exist may not be applied yet.  */
#define MISSING_RECORD_LIMIT_US (1000 * US_PER_MS)

static uint64_t
log_age_limit_us (const struct core *c)
{
  return c->settings.log_age_limit_ms * US_PER_MS;
}

void
core_sync_peers (struct core *c)
{
  struct peer_state *old = c->peers;
  uint32_t old_count = c->peer_count;
  uint32_t i;
  uint32_t j;

  c->peer_count = c->control->member_count;
  c->peers = talloc_zero_array (c, struct peer_state, c->peer_count);
  for (i = 0; i < c->peer_count; i++)
    {
      c->peers[i].incarnation = c->control->members[i].incarnation;
      for (j = 0; j < old_count; j++)
        if (old[j].incarnation == c->peers[i].incarnation)
          c->peers[i] = old[j];
    }
  talloc_free (old);
  core_send_members (c);
}

void
core_learn_offset (struct core *c, uint64_t offset)
{
  if (c->known_offset <= c->control->next_offset)
    c->fell_behind_at_us = c->now_us;
  if (offset > c->known_offset)
    c->known_offset = offset;
}

static bool
is_behind (const struct core *c)
{
  return c->known_offset > c->control->next_offset
         && c->now_us - c->fell_behind_at_us > MISSING_RECORD_LIMIT_US;
}

/* Returns true if this entry itself read the log to its end within
   log_age_limit_ms.  */
static bool
reads_log (const struct core *c)
{
  return c->log_readable && c->caught_up
         && c->now_us - c->log_read_at_us <= log_age_limit_us (c);
}

static bool
is_heard (const struct core *c, const struct peer_state *p)
{
  return p->heard_at_us > 0
         && c->now_us - p->heard_at_us <= log_age_limit_us (c);
}

/* Returns true if this entry and the members that it hears from are more than
   half of all, none of them can read the log, and none of the others has
   applied more of it than this entry.  */
static bool
majority_lacks_log (const struct core *c)
{
  uint32_t heard_count = 0;
  uint32_t i;

  if (c->log_readable)
    return false;
  for (i = 0; i < c->peer_count; i++)
    {
      const struct peer_state *p = &c->peers[i];

      if (p->incarnation == c->incarnation)
        heard_count++;
      else if (is_heard (c, p))
        {
          if (p->log_readable || p->next_offset > c->control->next_offset)
            return false;
          heard_count++;
        }
    }
  return 2 * heard_count > c->peer_count;
}

bool
core_is_fresh (const struct core *c)
{
  if (!c->caught_up || c->log_has_gap || is_behind (c))
    return false;
  if (c->now_us - c->log_read_at_us <= log_age_limit_us (c))
    return true;
  if (c->relay_read_at_us > 0
      && c->now_us - c->relay_read_at_us <= log_age_limit_us (c))
    return true;
  return majority_lacks_log (c);
}

struct peer_state *
core_find_peer (struct core *c, uint64_t incarnation)
{
  uint32_t i;

  for (i = 0; i < c->peer_count; i++)
    if (c->peers[i].incarnation == incarnation)
      return &c->peers[i];
  return NULL;
}

void
core_use_pending_readings (struct core *c)
{
  uint32_t i;

  for (i = 0; i < c->peer_count; i++)
    {
      struct peer_state *p = &c->peers[i];

      if (p->pending_read_at_us == 0
          || p->pending_read_offset > c->control->next_offset)
        continue;
      c->relay_read_at_us = MAX (c->relay_read_at_us, p->pending_read_at_us);
      p->pending_read_at_us = 0;
    }
}

/* Notes when P read the log to its end, as reported in S.  The reading counts
   once this entry has applied every record that P had.  One that waits for
   that is kept: while records are appended all the time, P is always ahead by
   those of the last moment.  */
static void
note_peer_reading (struct core *c, struct peer_state *p,
                   const struct peer_status *s)
{
  uint64_t age_us = s->log_age_ms * US_PER_MS;

  if (!s->log_readable || p->heard_at_us <= age_us
      || (p->pending_read_at_us > 0
          && s->next_offset > c->control->next_offset))
    return;
  p->pending_read_at_us = p->heard_at_us - age_us;
  p->pending_read_offset = s->next_offset;
  core_use_pending_readings (c);
}

void
core_on_peer_status (struct core *c, uint64_t from,
                     const struct peer_status *s)
{
  struct peer_state *p = core_find_peer (c, from);

  if (p == NULL || s->echo_sent_at_us > c->now_us)
    return;
  p->stalled_status_count = s->next_offset < c->control->next_offset
                                    && s->next_offset == p->next_offset
                                ? p->stalled_status_count + 1
                                : 0;
  p->next_offset = s->next_offset;
  p->log_readable = s->log_readable;
  p->peer_sent_at_us = s->sent_at_us;
  if (s->echo_sent_at_us > p->heard_at_us)
    p->heard_at_us = s->echo_sent_at_us;
  if (s->next_offset > c->control->next_offset)
    core_learn_offset (c, s->next_offset);
  note_peer_reading (c, p, s);
  core_relay_records (c, p);
}

static void
send_status (struct core *c, const struct peer_state *p)
{
  struct action *a = actions_add (c->out, ACTION_PEER);
  struct peer_status *s = &a->u.peer.u.status;
  uint64_t age_ms = (c->now_us - c->log_read_at_us) / US_PER_MS;

  a->u.peer.kind = PEER_STATUS;
  a->u.peer.from_incarnation = c->incarnation;
  a->u.peer.to_incarnation = p->incarnation;
  s->next_offset = c->control->next_offset;
  s->log_readable = reads_log (c);
  s->stopping = c->stopping;
  s->log_age_ms = age_ms > UINT32_MAX ? UINT32_MAX : (uint32_t)age_ms;
  s->sent_at_us = c->now_us;
  s->echo_sent_at_us = p->peer_sent_at_us;
}

static void
note_freshness_change (struct core *c)
{
  bool fresh = core_is_fresh (c);

  if (fresh == c->was_fresh)
    return;
  c->was_fresh = fresh;
  core_note (c, fresh ? NOTE_FRESH : NOTE_STALE, c->settings.vm,
             c->control->next_offset);
}

void
core_freshness_tick (struct core *c)
{
  uint32_t i;

  note_freshness_change (c);
  if (c->incarnation == 0
      || c->now_us - c->status_sent_at_us < STATUS_PERIOD_US)
    return;
  c->status_sent_at_us = c->now_us;
  for (i = 0; i < c->peer_count; i++)
    if (c->peers[i].incarnation != c->incarnation)
      send_status (c, &c->peers[i]);
}
