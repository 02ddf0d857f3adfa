/* core.c -- dispatches an event to the module that handles it.  */

#include "core/state.h"

#include <string.h>

static int
core_free (struct core *c)
{
  GHashTableIter it;
  gpointer value;

  g_hash_table_iter_init (&it, c->requests);
  while (g_hash_table_iter_next (&it, NULL, &value))
    blob_unref (((struct request *)value)->body);
  record_window_clear (&c->window);
  g_hash_table_destroy (c->requests);
  g_hash_table_destroy (c->attempts);
  core_idempotency_close (c);
  return 0;
}

struct core *
core_new (TALLOC_CTX *mem, const struct core_settings *s)
{
  struct core *c = talloc_zero (mem, struct core);

  if (c == NULL)
    return NULL;
  c->settings = *s;
  c->control = control_new (c);
  c->maintenance = maintenance_new (c);
  c->lending = lending_new (c);
  c->requests = g_hash_table_new (g_int64_hash, g_int64_equal);
  c->attempts = g_hash_table_new (g_int64_hash, g_int64_equal);
  TAILQ_INIT (&c->backing_off);
  core_key_placement_open (c);
  core_idempotency_open (c);
  c->limits = limit_state_new (c);
  deadline_init (&c->deadlines);
  talloc_set_destructor (c, core_free);
  return c;
}

static void
copy_members (const struct core *c, struct status *s)
{
  uint32_t i;

  s->member_count = c->control->member_count;
  s->members = talloc_zero_array (s, struct status_member, s->member_count);
  for (i = 0; i < s->member_count; i++)
    {
      text_copy (s->members[i].vm, NAME_BYTES, c->control->members[i].vm);
      s->members[i].incarnation = c->control->members[i].incarnation;
    }
}

static void
copy_teams (const struct core *c, struct status *s)
{
  uint32_t i;

  s->team_count = c->control->config ? c->control->config->team_count : 0;
  s->teams = talloc_zero_array (s, struct status_team, s->team_count);
  for (i = 0; i < s->team_count; i++)
    {
      text_copy (s->teams[i].name, NAME_BYTES, c->teams[i].name);
      s->teams[i].running_count = c->teams[i].running_count;
      s->teams[i].high_water_count = c->teams[i].high_water_count;
    }
}

static void
on_status (struct core *c, const struct event_status *e)
{
  struct action *a = actions_add (c->out, ACTION_STATUS);
  struct status *s = talloc_zero (NULL, struct status);

  text_copy (s->vm, NAME_BYTES, c->settings.vm);
  s->incarnation = c->incarnation;
  s->config_version = c->control->config_version;
  s->next_offset = c->control->next_offset;
  s->log_age_ms = (c->now_us - c->log_read_at_us) / US_PER_MS;
  s->serving = core_is_fresh (c) && !c->stopping && c->incarnation != 0;
  s->waiting_count = c->waiting_count;
  s->running_count = c->running_count;
  memcpy (s->counters, c->counters, sizeof s->counters);
  copy_members (c, s);
  copy_teams (c, s);
  a->u.status.request_id = e->request_id;
  a->u.status.status = s;
}

void
core_step (struct core *c, struct event *e, struct actions *out)
{
  c->out = out;
  c->now_us = e->now_us;
  c->random = e->random;
  switch (e->kind)
    {
    case EVENT_TICK:
      core_answer_expired (c);
      core_backoff_tick (c);
      core_health_tick (c);
      core_idempotency_tick (c);
      core_membership_tick (c);
      core_limit_tick (c);
      core_maintenance_tick (c);
      core_lending_tick (c);
      break;
    case EVENT_REQUEST:
      core_on_request (c, &e->u.request);
      break;
    case EVENT_CANCEL:
      core_on_cancel (c, &e->u.cancel);
      break;
    case EVENT_ATTEMPT_DONE:
      core_on_attempt (c, &e->u.attempt);
      break;
    case EVENT_LOG_READ:
      core_on_log_read (c, &e->u.log_read);
      break;
    case EVENT_RECORD:
      core_on_record (c, &e->u.record);
      break;
    case EVENT_PEER:
      core_on_peer (c, &e->u.peer);
      break;
    case EVENT_STATUS:
      on_status (c, &e->u.status);
      break;
    case EVENT_STOP:
      core_on_stop (c);
      break;
    case EVENT_PEER_FAULT:
      core_on_peer_fault (c, &e->u.peer_fault);
      break;
    case EVENT_FLEET_LIST:
      core_on_fleet (c, &e->u.fleet_list);
      break;
    case EVENT_OPERATION:
      core_on_operation (c, &e->u.operation);
      break;
    }
  core_ask_for_shortages (c);
  if (c->stopping)
    core_try_finish_stop (c);
}
