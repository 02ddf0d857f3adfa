/* membership.c -- joins and leaves the fleet, applies records, and carries
   out the planned stop.  */

#include "core/state.h"

#include "port/stop_times.h"

#include <stdio.h>
#include <string.h>

/** Wait before a removed member joins again; a random time of up to the same
    length is added.  */
#define REJOIN_DELAY_US US_PER_S
/** Minimum time between two proposals that the same member is lost.  */
#define GONE_RETRY_US (10 * US_PER_S)

void
core_note (struct core *c, enum note_kind kind, const char *subject,
           uint64_t value)
{
  struct action *a = actions_add (c->out, ACTION_NOTE);

  a->u.note.kind = kind;
  text_copy (a->u.note.subject, NAME_BYTES, subject);
  a->u.note.value = value;
}

void
core_make_command_id (struct core *c, char *id)
{
  snprintf (id, ID_BYTES, "%.40s-%016llx-%llu", c->settings.vm,
            (unsigned long long)c->settings.boot_id,
            (unsigned long long)++c->last_command_sequence);
}

void
core_send_members (struct core *c)
{
  struct action *a = actions_add (c->out, ACTION_MEMBERS);
  struct member_list *l = talloc_zero (NULL, struct member_list);
  uint32_t i;

  l->own_incarnation = c->incarnation;
  l->item_count = c->control->member_count;
  l->items = talloc_zero_array (l, struct member_address, l->item_count);
  for (i = 0; i < l->item_count; i++)
    {
      const struct member *m = &c->control->members[i];

      l->items[i].incarnation = m->incarnation;
      text_copy (l->items[i].vm, NAME_BYTES, m->vm);
      text_copy (l->items[i].peer_address, ADDRESS_BYTES, m->peer_address);
    }
  a->u.members = l;
}

struct record *
core_append_record (struct core *c, enum record_kind kind)
{
  struct action *a = actions_add (c->out, ACTION_APPEND);
  struct record *r = talloc_zero (NULL, struct record);

  r->kind = kind;
  core_make_command_id (c, r->id);
  a->u.append = r;
  return r;
}

static void
append_join (struct core *c)
{
  struct record *r = core_append_record (c, RECORD_JOIN);

  text_copy (r->u.join.vm, NAME_BYTES, c->settings.vm);
  text_copy (r->u.join.zone, NAME_BYTES, c->settings.zone);
  text_copy (r->u.join.peer_address, ADDRESS_BYTES, c->settings.peer_address);
  text_copy (r->u.join.operator_address, ADDRESS_BYTES,
             c->settings.operator_address);
  text_copy (c->join_id, ID_BYTES, r->id);
}

static void
append_leave (struct core *c)
{
  struct record *r = core_append_record (c, RECORD_LEAVE);

  text_copy (r->u.leave.vm, NAME_BYTES, c->settings.vm);
  r->u.leave.incarnation = c->incarnation;
  r->u.leave.idle = c->running_count == 0;
  c->leave_sent = true;
}

/* Updates the time at which the log was last read to its end, and appends a
   checkpoint if one is due.  The time is that at which the page was requested,
   so a page requested before this process was paused does not make this entry
   fresh.  Neither does one from a lagging replica of the log, which ends
   before records that are already applied.  */
static void
update_log_read_time (struct core *c, const struct event_log_read *e)
{
  uint64_t requested_at_us
      = e->requested_at_us > 0 ? e->requested_at_us : c->now_us;

  if (c->control->next_offset != e->next_offset)
    return;
  c->caught_up = true;
  if (requested_at_us > c->log_read_at_us)
    c->log_read_at_us = requested_at_us;
  core_append_checkpoint (c);
}

void
core_on_log_read (struct core *c, const struct event_log_read *e)
{
  if (e->readable != c->log_readable)
    core_note (c, e->readable ? NOTE_LOG_BACK : NOTE_LOG_LOST, "",
               c->control->next_offset);
  c->log_readable = e->readable;
  if (!e->readable)
    return;
  c->first_offset = e->first_offset;
  if (e->first_offset > c->control->next_offset)
    core_on_gap (c, e->first_offset);
  if (e->next_offset > c->control->next_offset)
    core_learn_offset (c, e->next_offset);
  update_log_read_time (c, e);
  if (c->caught_up && !c->log_has_gap && c->join_id[0] == '\0' && !c->stopping
      && c->now_us >= c->rejoin_at_us)
    append_join (c);
}

void
core_check_own_membership (struct core *c)
{
  if (c->incarnation == 0 || c->leave_sent
      || control_member_index (c->control, c->incarnation) >= 0)
    return;
  core_note (c, NOTE_REMOVED, c->settings.vm, c->incarnation);
  c->incarnation = 0;
  c->join_id[0] = '\0';
  c->rejoin_at_us = c->now_us + REJOIN_DELAY_US + c->random % REJOIN_DELAY_US;
  core_send_members (c);
}

void
core_propose_gone (struct core *c, const char *vm)
{
  const struct member *m = control_find_member (c->control, vm);
  struct record *r;

  if (m == NULL
      || (m->incarnation == c->gone_proposed_incarnation
          && c->now_us - c->gone_proposed_at_us < GONE_RETRY_US))
    return;
  c->gone_proposed_incarnation = m->incarnation;
  c->gone_proposed_at_us = c->now_us;
  r = core_append_record (c, RECORD_GONE);
  text_copy (r->u.leave.vm, NAME_BYTES, vm);
  r->u.leave.incarnation = m->incarnation;
}

static void
on_join_applied (struct core *c, const struct record *r, uint64_t offset)
{
  bool own = strcmp (r->id, c->join_id) == 0;

  /* The join record of an earlier process on this VM has another id.  */
  if (own)
    c->incarnation = offset + 1;
  core_note (c, own ? NOTE_JOINED : NOTE_MEMBER_JOINED, r->u.join.vm, offset);
}

static void
on_record_applied (struct core *c, const struct record *r, uint64_t offset)
{
  switch (r->kind)
    {
    case RECORD_CONFIG:
      core_adopt_config (c);
      core_note (c, NOTE_CONFIG_IN_FORCE, "", c->control->config_version);
      break;
    case RECORD_KEY_GRANT:
      core_note (c, NOTE_KEY_GRANTED, r->u.key.team, offset);
      break;
    case RECORD_KEY_WITHDRAW:
      core_note (c, NOTE_KEY_WITHDRAWN, r->u.key.team, offset);
      break;
    case RECORD_JOIN:
      on_join_applied (c, r, offset);
      core_key_placement_on_record (c);
      core_sync_peers (c);
      core_check_own_membership (c);
      break;
    case RECORD_LEAVE:
      core_note (c, NOTE_MEMBER_LEFT, r->u.leave.vm, offset);
      core_key_placement_member_left (c, r->u.leave.incarnation);
      core_key_placement_on_record (c);
      core_sync_peers (c);
      core_check_own_membership (c);
      break;
    case RECORD_GONE:
      core_note (c, NOTE_MEMBER_GONE, r->u.leave.vm, offset);
      core_key_placement_on_record (c);
      core_sync_peers (c);
      core_check_own_membership (c);
      break;
    case RECORD_SETTLE:
      core_note (c, NOTE_SETTLED, "", r->u.settle.gone_incarnation);
      break;
    case RECORD_CHECKPOINT:
      break;
    default: /* See core_maintenance_on_record.  */
      break;
    }
}

void
core_apply_record (struct core *c, uint64_t offset, struct record *r)
{
  enum apply_result v;

  if (r == NULL)
    {
      control_skip (c->control, offset);
      c->counters[COUNTER_BAD_RECORDS]++;
      core_note (c, NOTE_BAD_RECORD, "", offset);
      core_use_pending_readings (c);
      return;
    }
  v = control_apply (c->control, offset, r);
  core_use_pending_readings (c);
  c->counters[COUNTER_RECORDS]++;
  core_maintenance_on_record (c, r, v, offset, c->control->last_append_at_ms);
  switch (v)
    {
    case APPLY_OK:
      on_record_applied (c, r, offset);
      /* A record of any kind may complete the drain that a move waits for.  */
      if (c->control->config != NULL)
        core_adopt_moves (c);
      core_limit_sync (c);
      core_dispatch_all (c);
      break;
    case APPLY_DUPLICATE:
      break;
    case APPLY_REJECTED:
      c->counters[COUNTER_REJECTED_RECORDS]++;
      if (r->kind == RECORD_CONFIG)
        core_note (c, NOTE_CONFIG_REJECTED, "", offset);
      break;
    }
}

void
core_on_record (struct core *c, struct event_record *e)
{
  struct peer_record r = { .offset = e->offset,
                           .appended_at_ms = e->appended_at_ms,
                           .raw = e->raw,
                           .record = e->record };

  core_accept_record (c, &r, true);
}

void
core_on_stop (struct core *c)
{
  if (c->stopping)
    return;
  c->stopping = true;
  c->stop_deadline_us = c->now_us + stop_answer_us (c->settings.stop_limit_ms);
  core_note (c, NOTE_STOPPING, c->settings.vm, c->running_count);
}

void
core_try_finish_stop (struct core *c)
{
  bool drained = c->running_count == 0 && g_hash_table_size (c->requests) == 0
                 && !core_idempotency_is_syncing (c);

  if (c->leave_sent || (!drained && c->now_us < c->stop_deadline_us))
    return;
  core_answer_remaining (c);
  if (c->incarnation != 0)
    append_leave (c);
  c->leave_sent = true;
  core_note (c, NOTE_STOPPED, c->settings.vm, c->running_count);
  actions_add (c->out, ACTION_EXIT);
}

void
core_membership_tick (struct core *c)
{
  core_freshness_tick (c);
}
