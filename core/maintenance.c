/* maintenance.c -- carries out waves, drains and moves.

   Every step is a log record or a platform operation, and both are idempotent:
   a drain is validated when it is applied, and an operation's id is derived
   from the drain's.  So no lease is needed to carry out a wave.  The first
   member in rendezvous order takes each step.  If a possible step is not
   taken, each further member waits TAKEOVER_DELAY_US longer than the one
   before and then takes it; two that act at once do no harm.  */

#include "core/rendezvous.h"
#include "core/state.h"
#include "core/wave_order.h"

#include <stdio.h>
#include <string.h>

/** Time between two scans of the VMs and waves.  */
#define SCAN_PERIOD_US (100 * US_PER_MS)
/** Wait before a record whose effect was not seen is appended again.  */
#define APPEND_RETRY_US (1 * US_PER_S)
/** Wait before an operation is sent again; the fleet client first reads back
    whether it was done.  */
#define OPERATION_RETRY_US (500 * US_PER_MS)
/** Wait before the next member in rendezvous order takes over a step.  */
#define TAKEOVER_DELAY_US (3 * US_PER_S)
/** Time for which a VM must be away before it counts as lost.  */
#define LOSS_CONFIRM_US (2 * US_PER_S)
/** The same while at least half of the VMs or members are away at once, since
    then the list itself may be wrong.  */
#define HALF_AWAY_CONFIRM_US (10 * US_PER_S)
/** A wave's VM that stays in one phase of its maintenance for longer counts as
    lost.  */
#define MAINTENANCE_LIMIT_US (300 * US_PER_S)
/** Most members in a rendezvous order.  */
#define MEMBER_LIMIT_COUNT 64
/** Waves that this entry tracks; at least WAVE_LIMIT_COUNT of vm_control.c. */
#define WAVE_VIEW_COUNT 32

/* State of one VM on this entry, besides the control state.  */
struct vm_view
{
  bool listed;  /**< Was in some fleet list.  */
  bool in_list; /**< Listed since the last complete list.  */
  enum fleet_vm_state state;
  uint64_t away_at_us;        /**< When first seen away; 0: not away.  */
  uint64_t away_listed_at_ms; /**< Time of the newest fleet list then.  */
  uint64_t last_record_at_ms; /**< When the log appended its last record.  */
  enum vm_phase phase;        /**< As of the last scan.  */
  bool lost;                  /**< As of the last scan.  */
  uint64_t drain_id;          /**< As of the last scan.  */
  uint64_t phase_began_at_us; /**< When this entry saw the phase begin.  */
  uint64_t appended_at_us;    /**< When its last record was sent; 0: none.  */
  uint64_t operation_sent_at_us;  /**< When operation was sent; 0: never.  */
  enum fleet_operation operation; /**< Operation to send next.  */
};

/* State of one wave on this entry, besides the control state.  */
struct wave_view
{
  uint64_t start_id;
  uint64_t last_step_id;
  uint64_t step_possible_at_us; /**< Since when a step could be taken.  */
  uint64_t appended_at_us; /**< When its last record was sent; 0: none.  */
  enum wave_state state;
};

struct maintenance
{
  GHashTable *views; /**< Maps a VM name to its struct vm_view.  */
  struct wave_view waves[WAVE_VIEW_COUNT];
  uint64_t scanned_at_us;
  uint64_t listed_at_ms; /**< Time of the newest fleet list.  */
  uint64_t clock_ms;     /**< Platform's clock at clock_read_at_us.  */
  uint64_t clock_read_at_us;
  uint32_t away_count; /**< VMs of the tables that are away.  */
  bool half_away;      /**< At least two VMs and half of those listed are
                            away.  */
};

static int
maintenance_free (struct maintenance *m)
{
  g_hash_table_destroy (m->views);
  return 0;
}

struct maintenance *
maintenance_new (TALLOC_CTX *mem)
{
  struct maintenance *m = talloc_zero (mem, struct maintenance);

  if (m == NULL)
    out_of_memory ();
  m->views = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  talloc_set_destructor (m, maintenance_free);
  return m;
}

static struct vm_view *
vm_view_get (const struct core *c, const char *vm)
{
  struct vm_view *v = g_hash_table_lookup (c->maintenance->views, vm);

  if (v == NULL)
    {
      v = g_new0 (struct vm_view, 1);
      g_hash_table_insert (c->maintenance->views, g_strdup (vm), v);
    }
  return v;
}

/* Returns true if the fleet list, as kept in V, shows that the VM X cannot run
   requests.  While X is not serving, only FLEET_VM_GONE counts, since any
   other state is expected.  */
static bool
is_away (const struct vm_view *v, const struct vm_lifecycle *x)
{
  if (!v->listed)
    return false;
  if (x->phase == VM_SERVING)
    return v->state != FLEET_VM_LIVE;
  return v->state == FLEET_VM_GONE;
}

bool
core_vm_takes_work (const struct core *c, uint32_t vm_index)
{
  const struct vm_lifecycle *x = &c->control->vm_control->vms[vm_index];
  const struct maintenance *m = c->maintenance;

  if (vm_control_is_out (c->control, vm_index)
      || vm_control_is_evacuated (c->control, vm_index))
    return false;
  if (m->away_count == 0 || m->half_away)
    return true;
  return vm_view_get (c, x->name)->away_at_us == 0;
}

uint32_t
core_rendezvous_rank (const struct core *c, const char *key)
{
  uint64_t ids[MEMBER_LIMIT_COUNT];
  uint32_t n = 0;

  for (; n < c->control->member_count && n < MEMBER_LIMIT_COUNT; n++)
    ids[n] = c->control->members[n].incarnation;
  return rendezvous_rank (key, ids, n, c->incarnation);
}

/* Returns true if this member should now take a step that has been possible
   since SINCE_US.  KEY determines the members' order.  */
static bool
is_due (const struct core *c, const char *key, uint64_t since_us)
{
  return c->now_us - since_us
         >= core_rendezvous_rank (c, key) * TAKEOVER_DELAY_US;
}

/* Returns true unless a record for V's VM was sent within APPEND_RETRY_US and
   may not be applied yet.  */
static bool
may_append (const struct core *c, const struct vm_view *v)
{
  return v->appended_at_us == 0
         || c->now_us - v->appended_at_us >= APPEND_RETRY_US;
}

static void
append_vm_record (struct core *c, enum record_kind kind, const char *vm,
                  uint64_t drain_id)
{
  struct record *r = core_append_record (c, kind);

  text_copy (r->u.vm.vm, NAME_BYTES, vm);
  r->u.vm.drain_id = drain_id;
  if (kind == RECORD_VM_DRAINED)
    r->u.vm.incarnation = c->incarnation;
  vm_view_get (c, vm)->appended_at_us = c->now_us;
}

static void
set_clock (struct maintenance *m, uint64_t now_us, uint64_t at_ms)
{
  if (at_ms <= m->clock_ms)
    return;
  m->clock_ms = at_ms;
  m->clock_read_at_us = now_us;
}

/* Sets that V's VM is away, or not.  */
static void
set_away (struct core *c, struct vm_view *v, bool away)
{
  if (!away)
    v->away_at_us = 0;
  else if (v->away_at_us == 0)
    {
      v->away_at_us = c->now_us;
      v->away_listed_at_ms = c->maintenance->listed_at_ms;
    }
}

/* Returns true if V's VM has been away for CONFIRM_US, and a fleet list of
   that much later still has it so.  This entry may have been paused, or unable
   to read the list, since it saw the VM away.  */
static bool
is_loss_confirmed (const struct core *c, const struct vm_view *v,
                   uint64_t confirm_us)
{
  return v->away_at_us != 0 && c->now_us - v->away_at_us >= confirm_us
         && c->maintenance->listed_at_ms
                >= v->away_listed_at_ms + confirm_us / US_PER_MS;
}

/* Marks listed VMs that are missing from a complete list as gone.  */
static void
mark_unlisted_gone (struct maintenance *m)
{
  GHashTableIter it;
  gpointer value;

  g_hash_table_iter_init (&it, m->views);
  while (g_hash_table_iter_next (&it, NULL, &value))
    {
      struct vm_view *v = value;

      if (v->listed && !v->in_list)
        v->state = FLEET_VM_GONE;
      v->in_list = false;
    }
}

/* Updates which VMs of the tables are away.  A fleet list that is not newer
   than the last record about a VM says nothing about it.  */
static void
update_away_vms (struct core *c)
{
  struct maintenance *m = c->maintenance;
  const struct vm_control *s = c->control->vm_control;
  uint32_t listed = 0;
  uint32_t i;

  m->away_count = 0;
  for (i = 0; i < s->vm_count; i++)
    {
      struct vm_view *v = vm_view_get (c, s->vms[i].name);

      listed += v->listed ? 1 : 0;
      set_away (c, v,
                is_away (v, &s->vms[i])
                    && v->last_record_at_ms < m->listed_at_ms);
      m->away_count += v->away_at_us != 0 ? 1 : 0;
    }
  m->half_away = m->away_count > 1 && m->away_count * 2 >= listed;
}

/* Updates when the VMs of members were first seen gone, since a member is lost
   with its VM.  */
static void
update_away_members (struct core *c)
{
  uint32_t i;

  for (i = 0; i < c->control->member_count; i++)
    {
      struct vm_view *v = vm_view_get (c, c->control->members[i].vm);

      set_away (c, v, v->listed && v->state == FLEET_VM_GONE);
    }
}

static uint32_t
away_member_count (struct core *c)
{
  uint32_t n = 0;
  uint32_t i;

  for (i = 0; i < c->control->member_count; i++)
    if (vm_view_get (c, c->control->members[i].vm)->away_at_us != 0)
      n++;
  return n;
}

/* Proposes to declare members lost whose VMs are gone from the fleet list.  */
static void
propose_lost_members (struct core *c)
{
  uint32_t away_count = away_member_count (c);
  bool half_away
      = away_count > 1 && away_count * 2 >= c->control->member_count;
  uint64_t confirm_us = half_away ? HALF_AWAY_CONFIRM_US : LOSS_CONFIRM_US;
  uint32_t i;

  for (i = 0; i < c->control->member_count; i++)
    {
      const struct member *m = &c->control->members[i];
      const struct vm_view *v = vm_view_get (c, m->vm);

      if (m->incarnation != c->incarnation
          && is_loss_confirmed (c, v, confirm_us)
          && is_due (c, "fleet", v->away_at_us + confirm_us))
        core_propose_gone (c, m->vm);
    }
}

void
core_on_fleet (struct core *c, const struct event_fleet_list *e)
{
  struct maintenance *m = c->maintenance;
  uint32_t i;

  /* An older list than the last one is outdated.  A complete list that is
     empty must be wrong, since this entry's own VM would be in it.  */
  if (e->listed_at_ms < m->listed_at_ms || (e->complete && e->vm_count == 0))
    return;
  m->listed_at_ms = e->listed_at_ms;
  set_clock (m, c->now_us, e->listed_at_ms);
  for (i = 0; i < e->vm_count; i++)
    {
      struct vm_view *v = vm_view_get (c, e->vms[i].name);

      v->listed = true;
      v->in_list = true;
      v->state = e->vms[i].state;
    }
  if (e->complete)
    mark_unlisted_gone (m);
  update_away_vms (c);
  update_away_members (c);
  core_dispatch_all (c);
}

static void
propose_lost_or_found (struct core *c, const struct vm_lifecycle *x,
                       struct vm_view *v)
{
  uint64_t confirm_us
      = c->maintenance->half_away ? HALF_AWAY_CONFIRM_US : LOSS_CONFIRM_US;
  bool away = v->away_at_us != 0;
  bool overdue = (x->phase == VM_DRAINED || x->phase == VM_RETURNING)
                 && x->wave[0] != '\0'
                 && c->now_us - v->phase_began_at_us >= MAINTENANCE_LIMIT_US;

  if (!may_append (c, v))
    return;
  if (!x->lost && is_loss_confirmed (c, v, confirm_us)
      && is_due (c, "fleet", v->away_at_us + confirm_us))
    append_vm_record (c, RECORD_VM_LOST, x->name, 0);
  else if (!x->lost && overdue
           && is_due (c, "fleet", v->phase_began_at_us + MAINTENANCE_LIMIT_US))
    append_vm_record (c, RECORD_VM_LOST, x->name, 0);
  else if (x->lost && !away && !overdue && v->listed
           && v->state == FLEET_VM_LIVE
           && v->last_record_at_ms < c->maintenance->listed_at_ms
           && core_rendezvous_rank (c, "fleet") == 0)
    append_vm_record (c, RECORD_VM_FOUND, x->name, 0);
}

static void
operation_id (const struct vm_lifecycle *x, enum fleet_operation operation,
              char *id)
{
  snprintf (id, ID_BYTES, "%.32s-%llu-%s", x->name,
            (unsigned long long)x->drain_id, fleet_operation_name (operation));
}

static void
send_operation (struct core *c, const struct vm_lifecycle *x,
                struct vm_view *v)
{
  struct action *a = actions_add (c->out, ACTION_FLEET_OPERATION);

  operation_id (x, v->operation, a->u.fleet_operation.operation_id);
  text_copy (a->u.fleet_operation.vm, NAME_BYTES, x->name);
  a->u.fleet_operation.operation = v->operation;
  v->operation_sent_at_us = c->now_us;
}

/* Sends the operation that is due for a wave's VM in maintenance.  */
static void
advance_wave_vm (struct core *c, const struct vm_lifecycle *x,
                 struct vm_view *v)
{
  if (x->wave[0] == '\0'
      || (x->phase != VM_DRAINED && x->phase != VM_RETURNING))
    return;
  if (v->operation_sent_at_us != 0
      && c->now_us - v->operation_sent_at_us < OPERATION_RETRY_US)
    return;
  if (is_due (c, x->wave, v->phase_began_at_us))
    send_operation (c, x, v);
}

void
core_on_operation (struct core *c, const struct event_operation *e)
{
  int32_t i = vm_control_find_vm (c->control, e->vm);
  const struct vm_lifecycle *x;
  struct vm_view *v;
  char id[ID_BYTES];

  if (i < 0)
    return;
  x = &c->control->vm_control->vms[i];
  v = vm_view_get (c, x->name);
  operation_id (x, v->operation, id);
  if (x->phase == VM_SERVING || strcmp (id, e->operation_id) != 0)
    return;
  if (e->state == OPERATION_REFUSED)
    core_note (c, NOTE_OPERATION_REFUSED, x->name, x->drain_id);
  if (e->state != OPERATION_DONE)
    return;
  switch (v->operation)
    {
    case FLEET_DRAIN:
      v->operation = FLEET_REBOOT;
      send_operation (c, x, v);
      break;
    case FLEET_REBOOT:
      if (x->phase == VM_DRAINED && may_append (c, v))
        append_vm_record (c, RECORD_REBOOTED, x->name, x->drain_id);
      break;
    case FLEET_RETURN:
      if (x->phase == VM_RETURNING && may_append (c, v))
        append_vm_record (c, RECORD_RETURN, x->name, x->drain_id);
      break;
    }
}

/* Reports that no request of this entry runs on a draining VM.  */
static void
report_drained (struct core *c, uint32_t vm_index, struct vm_view *v)
{
  const struct vm_lifecycle *x = &c->control->vm_control->vms[vm_index];
  uint32_t i;

  if (x->phase != VM_DRAINING || c->vms[vm_index].running_count > 0
      || c->incarnation > x->drain_id || !may_append (c, v))
    return;
  for (i = 0; i < x->drained_by_count; i++)
    if (x->drained_by[i] == c->incarnation)
      return;
  append_vm_record (c, RECORD_VM_DRAINED, x->name, x->drain_id);
}

static void
note_phase (struct core *c, const struct vm_lifecycle *x,
            const struct vm_view *v)
{
  switch (x->phase)
    {
    case VM_SERVING:
      core_note (c, NOTE_VM_RETURNED, x->name, v->drain_id);
      break;
    case VM_DRAINING:
      core_note (c, NOTE_VM_DRAINING, x->name, x->drain_id);
      break;
    case VM_DRAINED:
      core_note (c, NOTE_VM_DRAINED, x->name, x->drain_id);
      break;
    case VM_RETURNING:
      core_note (c, NOTE_VM_REBOOTED, x->name, x->drain_id);
      break;
    case VM_PHASE_COUNT:
      break;
    }
}

/* Adds notes for what changed since the last scan, and starts the tracking of
   a new phase or drain.  */
static void
note_vm_changes (struct core *c, const struct vm_lifecycle *x,
                 struct vm_view *v)
{
  if (v->lost != x->lost)
    core_note (c, x->lost ? NOTE_VM_LOST : NOTE_VM_FOUND, x->name, 0);
  v->lost = x->lost;
  if (v->phase == x->phase && v->drain_id == x->drain_id)
    return;
  note_phase (c, x, v);
  v->phase = x->phase;
  v->drain_id = x->drain_id;
  v->phase_began_at_us = c->now_us;
  v->appended_at_us = 0;
  v->operation_sent_at_us = 0;
  v->operation = x->phase == VM_RETURNING ? FLEET_RETURN : FLEET_DRAIN;
}

static struct wave_view *
wave_view_get (struct core *c, const struct wave *w)
{
  struct wave_view *oldest = &c->maintenance->waves[0];
  uint32_t i;

  for (i = 0; i < WAVE_VIEW_COUNT; i++)
    {
      struct wave_view *v = &c->maintenance->waves[i];

      if (v->start_id == w->start_id)
        return v;
      if (v->start_id < oldest->start_id)
        oldest = v;
    }
  memset (oldest, 0, sizeof *oldest);
  oldest->start_id = w->start_id;
  return oldest;
}

/* Returns true if W runs past its deadline, and then appends its pause when
   that is due, so that an operator can look into it.  */
static bool
pause_if_overdue (struct core *c, const struct wave *w, struct wave_view *v)
{
  const struct maintenance *m = c->maintenance;
  uint64_t clock_ms
      = m->clock_ms + (c->now_us - m->clock_read_at_us) / US_PER_MS;
  struct record *r;

  if (w->deadline_ms == 0 || w->state != WAVE_RUNNING
      || clock_ms < w->deadline_ms)
    return false;
  if (is_due (c, w->name, v->step_possible_at_us)
      && (v->appended_at_us == 0
          || c->now_us - v->appended_at_us >= APPEND_RETRY_US))
    {
      r = core_append_record (c, RECORD_WAVE_PAUSE);
      text_copy (r->u.wave.wave, NAME_BYTES, w->name);
      v->appended_at_us = c->now_us;
    }
  return true;
}

static void
propose_drain (struct core *c, const struct wave *w, struct wave_view *v)
{
  int32_t i = wave_next_vm (c->control, w, WAVE_ORDER_GREEDY);
  struct record *r;

  if (i < 0 || v->last_step_id != w->last_step_id)
    {
      v->last_step_id = w->last_step_id;
      v->step_possible_at_us = c->now_us;
      v->appended_at_us = 0;
    }
  if (i < 0 || !is_due (c, w->name, v->step_possible_at_us))
    return;
  if (v->appended_at_us != 0
      && c->now_us - v->appended_at_us < APPEND_RETRY_US)
    return;
  r = core_append_record (c, RECORD_DRAIN);
  text_copy (r->u.vm.vm, NAME_BYTES, c->control->vm_control->vms[i].name);
  text_copy (r->u.vm.wave, NAME_BYTES, w->name);
  v->appended_at_us = c->now_us;
}

static void
note_wave_done (struct core *c, const struct wave *w, struct wave_view *v)
{
  if (w->state == v->state)
    return;
  if (w->state == WAVE_DONE)
    core_note (c, NOTE_WAVE_DONE, w->name, w->done_count);
  v->state = w->state;
}

static void
scan (struct core *c, bool may_act)
{
  struct vm_control *s = c->control->vm_control;
  uint32_t i;

  for (i = 0; i < s->vm_count; i++)
    {
      struct vm_view *v = vm_view_get (c, s->vms[i].name);

      note_vm_changes (c, &s->vms[i], v);
      if (!may_act)
        continue;
      report_drained (c, i, v);
      propose_lost_or_found (c, &s->vms[i], v);
      advance_wave_vm (c, &s->vms[i], v);
    }
  for (i = 0; i < s->wave_count; i++)
    {
      struct wave_view *v = wave_view_get (c, s->waves[i]);

      note_wave_done (c, s->waves[i], v);
      if (may_act && !pause_if_overdue (c, s->waves[i], v))
        propose_drain (c, s->waves[i], v);
    }
}

void
core_maintenance_tick (struct core *c)
{
  bool may_act = c->incarnation != 0 && c->log_readable && core_is_fresh (c);

  if (c->control->config == NULL
      || c->now_us - c->maintenance->scanned_at_us < SCAN_PERIOD_US)
    return;
  c->maintenance->scanned_at_us = c->now_us;
  update_away_vms (c);
  if (may_act)
    propose_lost_members (c);
  scan (c, may_act);
}

static void
note_applied_record (struct core *c, const struct record *r, uint64_t offset)
{
  switch (r->kind)
    {
    case RECORD_WAVE_START:
      core_note (c, NOTE_WAVE_STARTED, r->u.wave.wave, offset);
      break;
    case RECORD_WAVE_PAUSE:
      core_note (c, NOTE_WAVE_PAUSED, r->u.wave.wave, offset);
      break;
    case RECORD_WAVE_RESUME:
      core_note (c, NOTE_WAVE_RESUMED, r->u.wave.wave, offset);
      break;
    case RECORD_WAVE_ABORT:
      core_note (c, NOTE_WAVE_ABORTED, r->u.wave.wave, offset);
      break;
    case RECORD_MOVE:
      core_note (c, NOTE_VM_MOVED, r->u.move.vm, offset);
      break;
    case RECORD_ZONE_EVACUATE:
      core_note (c, NOTE_ZONE_EVACUATED, r->u.zone.zone, offset);
      break;
    case RECORD_ZONE_RETURN:
      core_note (c, NOTE_ZONE_RETURNED, r->u.zone.zone, offset);
      break;
    default:
      break;
    }
}

/* Returns what R, a record of a wave, a move or a zone, is about.  */
static const char *
subject_of (const struct record *r)
{
  switch (r->kind)
    {
    case RECORD_MOVE:
      return r->u.move.vm;
    case RECORD_ZONE_EVACUATE:
    case RECORD_ZONE_RETURN:
      return r->u.zone.zone;
    default:
      return r->u.wave.wave;
    }
}

void
core_maintenance_on_record (struct core *c, const struct record *r,
                            enum apply_result v, uint64_t offset,
                            uint64_t at_ms)
{
  set_clock (c->maintenance, c->now_us, at_ms);
  switch (r->kind)
    {
    case RECORD_DRAIN:
    case RECORD_REBOOTED:
    case RECORD_RETURN:
    case RECORD_VM_LOST:
    case RECORD_VM_FOUND:
      if (v == APPLY_OK)
        vm_view_get (c, r->u.vm.vm)->last_record_at_ms = at_ms;
      if (v == APPLY_REJECTED)
        core_note (c, NOTE_COMMAND_REJECTED, r->u.vm.vm, offset);
      break;
    case RECORD_WAVE_START:
    case RECORD_WAVE_PAUSE:
    case RECORD_WAVE_RESUME:
    case RECORD_WAVE_ABORT:
    case RECORD_MOVE:
    case RECORD_ZONE_EVACUATE:
    case RECORD_ZONE_RETURN:
      if (v == APPLY_OK)
        note_applied_record (c, r, offset);
      if (v == APPLY_REJECTED)
        core_note (c, NOTE_COMMAND_REJECTED, subject_of (r), offset);
      break;
    default:
      break;
    }
}
