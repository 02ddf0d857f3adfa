/* membership.c -- this entry's place among the members: join, freshness,
   planned stop, and the records it reads.  */

#include "core/state.h"

#include <stdio.h>
#include <string.h>

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
core_command_id (struct core *c, char *id)
{
  snprintf (id, ID_BYTES, "%.40s-%016llx-%llu", c->settings.vm,
            (unsigned long long)c->settings.boot_id,
            (unsigned long long)++c->next_command);
}

struct record *
core_append_record (struct core *c, enum record_kind kind)
{
  struct action *a = actions_add (c->out, ACTION_APPEND);
  struct record *r = talloc_zero (NULL, struct record);

  r->kind = kind;
  core_command_id (c, r->id);
  a->u.append = r;
  return r;
}

static void
send_join (struct core *c)
{
  struct record *r = core_append_record (c, RECORD_JOIN);

  text_copy (r->u.join.vm, NAME_BYTES, c->settings.vm);
  text_copy (r->u.join.zone, NAME_BYTES, c->settings.zone);
  text_copy (r->u.join.peer_address, ADDRESS_BYTES, c->settings.peer_address);
  text_copy (c->join_id, ID_BYTES, r->id);
}

static void
send_leave (struct core *c)
{
  struct record *r = core_append_record (c, RECORD_LEAVE);

  text_copy (r->u.leave.vm, NAME_BYTES, c->settings.vm);
  r->u.leave.incarnation = c->incarnation;
  c->leave_sent = true;
}

bool
core_is_fresh (const struct core *c)
{
  uint64_t limit_us = c->settings.fresh_limit_ms * US_PER_MS;

  return c->caught_up && c->now_us - c->log_read_us <= limit_us;
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
  c->log_read_us = c->now_us;
  if (c->control->next_offset < e->next_offset)
    return;
  c->caught_up = true;
  if (c->join_id[0] == '\0' && !c->stopping)
    send_join (c);
}

static void
note_join (struct core *c, const struct record *r, uint64_t offset)
{
  bool own = strcmp (r->id, c->join_id) == 0;

  /* Only the join that this very process sent makes it a member.  */
  if (own)
    c->incarnation = offset + 1;
  core_note (c, own ? NOTE_JOINED : NOTE_MEMBER_JOINED, r->u.join.vm, offset);
}

static void
note_applied (struct core *c, const struct record *r, uint64_t offset)
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
      note_join (c, r, offset);
      break;
    case RECORD_LEAVE:
      core_note (c, NOTE_MEMBER_LEFT, r->u.leave.vm, offset);
      break;
    default: /* Noted by maintenance.c.  */
      break;
    }
}

void
core_on_record (struct core *c, struct event_record *e)
{
  enum verdict v;

  if (e->record == NULL)
    {
      control_skip (c->control, e->offset);
      c->counters[COUNTER_BAD_RECORDS]++;
      core_note (c, NOTE_BAD_RECORD, "", e->offset);
      return;
    }
  v = control_apply (c->control, e->offset, e->record);
  c->counters[COUNTER_RECORDS]++;
  core_maintenance_on_record (c, e->record, v, e->offset, e->at_ms);
  switch (v)
    {
    case VERDICT_APPLIED:
      note_applied (c, e->record, e->offset);
      core_dispatch_all (c);
      break;
    case VERDICT_REPEATED:
      break;
    case VERDICT_REJECTED:
      c->counters[COUNTER_REJECTED_RECORDS]++;
      if (e->record->kind == RECORD_CONFIG)
        core_note (c, NOTE_CONFIG_REJECTED, "", e->offset);
      break;
    }
}

void
core_on_stop (struct core *c)
{
  if (c->stopping)
    return;
  c->stopping = true;
  c->stop_deadline_us = c->now_us + c->settings.stop_limit_ms * US_PER_MS;
  core_note (c, NOTE_STOPPING, c->settings.vm, c->running_count);
}

void
core_check_stop (struct core *c)
{
  bool drained = c->running_count == 0 && c->waiting_count == 0;

  if (c->leave_sent || (!drained && c->now_us < c->stop_deadline_us))
    return;
  if (c->incarnation != 0)
    send_leave (c);
  c->leave_sent = true;
  core_note (c, NOTE_STOPPED, c->settings.vm, c->running_count);
  actions_add (c->out, ACTION_EXIT);
}

void
core_membership_tick (struct core *c)
{
  (void)c;
}
