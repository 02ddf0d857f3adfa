/* model.c -- the clock, the entries and the links between them.  */

#include "tests/model.h"

#include <stdio.h>
#include <string.h>

#define TICK_US (10 * US_PER_MS)
#define LINK_US 1000
/** A link is closed after this long without a message.  */
#define LINK_SILENCE_US (1000 * US_PER_MS)
#define LINK_RETRY_US (200 * US_PER_MS)
/** What an entry tells of itself arrives with its next heartbeat.  */
#define HEARTBEAT_INTERVAL_US (250 * US_PER_MS)
#define CONFIG_INTERVAL_US (400 * US_PER_MS)
/** Ages after which an order is not sent any more: the owner's own, and one
    that a delegate has.  */
#define ORDER_LIMIT_US (2000 * US_PER_MS)

struct scheduled
{
  uint64_t at_us;
  uint64_t sequence;
  model_function function;
  void *argument;
};

struct delivery
{
  struct model_entry *entry;
  uint32_t process;
  struct cell_event *event;
  bool queued; /* Its turn is known.  */
};

uint32_t
model_random (struct model *m, uint32_t n)
{
  m->random ^= m->random << 13;
  m->random ^= m->random >> 7;
  m->random ^= m->random << 17;
  return (uint32_t)((m->random >> 16) % n);
}

uint64_t
model_between (struct model *m, uint64_t low, uint64_t high)
{
  return low + model_random (m, (uint32_t)(high - low + 1));
}

static gint
compare_scheduled (gconstpointer a, gconstpointer b, gpointer data)
{
  const struct scheduled *x = a;
  const struct scheduled *y = b;

  (void)data;
  if (x->at_us != y->at_us)
    return x->at_us < y->at_us ? -1 : 1;
  return x->sequence < y->sequence ? -1 : x->sequence > y->sequence;
}

void
model_schedule (struct model *m, uint64_t delay_us, model_function f,
                void *argument)
{
  struct scheduled *x = talloc_zero (m->arena, struct scheduled);

  x->at_us = m->now_us + delay_us;
  x->sequence = ++m->sequence;
  x->function = f;
  x->argument = argument;
  g_tree_insert (m->queue, x, x);
}

struct cell_event *
model_event (enum cell_event_kind kind)
{
  struct cell_event *e = talloc_zero (NULL, struct cell_event);

  e->kind = kind;
  return e;
}

bool
model_entry_runs (const struct model_entry *e)
{
  return e->cell != NULL;
}

bool
model_entry_reaches (const struct model_entry *e)
{
  return e->cell != NULL && e->model->now_us >= e->frozen_until_us
         && e->model->now_us >= e->cut_until_us;
}

bool
model_entry_reaches_cloud (const struct model_entry *e)
{
  const struct model *m = e->model;

  return model_entry_reaches (e) && model_island_reaches_cloud (m, e->side);
}

/* Returns true if A and B can exchange messages.  */
static bool
entries_reach (const struct model_entry *a, const struct model_entry *b)
{
  return model_entry_reaches (a) && model_entry_reaches (b)
         && !model_island_parts_pair (a->model, a->side, b->side);
}

struct model_entry *
model_owner (struct model *m)
{
  uint32_t i;

  for (i = 0; i < m->entry_count; i++)
    if (m->entries[i].cell != NULL)
      {
        struct cell_metrics x;

        cell_metrics_get (m->entries[i].cell, &x);
        if (x.owner)
          return &m->entries[i];
      }
  return NULL;
}

static void
print_log (const struct model_entry *e, const struct cell_action *a)
{
  printf ("%7.3f %s %s %016llx %s\n", (double)e->model->now_us / 1e6, e->name,
          a->u.log.event, (unsigned long long)a->u.log.job, a->u.log.fields);
}

uint64_t
model_delay_us (const struct model *m, uint64_t until_us, uint64_t delay_us)
{
  return m->now_us < until_us ? MIN (delay_us, until_us - m->now_us) : 0;
}

/* Closes the link of E to another entry.  Either end may be gone.  */
static void
close_link (struct model_entry *e)
{
  struct model_entry *o = e->linked;
  struct cell_event *x;

  if (o == NULL)
    return;
  e->linked = NULL;
  e->link_tried_at_us = e->model->now_us;
  if (e->cell != NULL)
    model_post (e, e->process, LINK_US, model_event (CELL_OWNER_LINK));
  x = model_event (CELL_PEER);
  x->u.peer.link_id = e->link_id;
  model_post (o, e->linked_process, LINK_US, x);
}

void
model_link_break (struct model_entry *e)
{
  close_link (e);
}

static void
report_peer (struct model_entry *e)
{
  struct cell_event *x = model_event (CELL_PEER);

  e->reported_eligible = !e->degraded;
  x->u.peer.link_id = e->link_id;
  x->u.peer.up = true;
  x->u.peer.eligible = !e->degraded;
  x->u.peer.cpu_milli = e->settings.cpu_milli;
  e->reported_token = e->followed_token;
  x->u.peer.followed_token = e->followed_token;
  x->u.peer.takes_states = true;
  x->u.peer.entry_count = e->heartbeat_entry_count;
  text_copy (x->u.peer.member, NAME_BYTES, e->name);
  snprintf (x->u.peer.zone, NAME_BYTES, "z%u", e->index % 3);
  model_post (e->linked, e->linked_process, LINK_US, x);
}

static void
report_owner (struct model_entry *e)
{
  struct cell_event *x = model_event (CELL_OWNER_LINK);

  e->reported_degraded = e->linked->degraded;
  e->reported_cpu_milli = e->linked->best_cpu_milli;
  e->reported_view = e->linked->view;
  x->u.owner_link.up = true;
  x->u.owner_link.degraded = e->reported_degraded;
  x->u.owner_link.best_cpu_milli = e->reported_cpu_milli;
  x->u.owner_link.view = e->reported_view;
  e->reported_entry_count = e->linked->heartbeat_entry_count;
  x->u.owner_link.entry_count = e->reported_entry_count;
  model_post (e, e->process, LINK_US, x);
}

static void
open_link (struct model_entry *e)
{
  struct model *m = e->model;
  uint32_t i;

  e->link_tried_at_us = m->now_us;
  if (!model_entry_reaches (e) || m->now_us < e->link_cut_until_us)
    return;
  for (i = 0; i < m->entry_count; i++)
    {
      struct model_entry *o = &m->entries[i];

      if (o == e || strcmp (o->address, e->wanted_address) != 0
          || !entries_reach (e, o))
        continue;
      e->linked = o;
      e->linked_process = o->process;
      e->link_id = ++m->last_link_id;
      e->gets_states = false;
      e->link_heard_at_us = m->now_us;
      e->heartbeat_at_us = m->now_us + HEARTBEAT_INTERVAL_US;
      report_owner (e);
      report_peer (e);
      return;
    }
}

/* Opens and closes links, and passes heartbeats on.  */
static void
tick_link (struct model_entry *e)
{
  struct model *m = e->model;
  struct model_entry *o = e->linked;

  if (o == NULL)
    {
      if (e->cell != NULL && e->wanted_address[0] != '\0'
          && m->now_us >= e->link_tried_at_us + LINK_RETRY_US)
        open_link (e);
      return;
    }
  if (e->cell == NULL || o->cell == NULL || o->process != e->linked_process)
    {
      close_link (e);
      return;
    }
  if (entries_reach (e, o))
    e->link_heard_at_us = m->now_us;
  else if (m->now_us >= e->link_heard_at_us + LINK_SILENCE_US)
    {
      close_link (e);
      return;
    }
  else
    return;
  if (m->now_us < e->heartbeat_at_us)
    return;
  e->heartbeat_at_us = m->now_us + HEARTBEAT_INTERVAL_US;
  if (e->reported_degraded != o->degraded
      || e->reported_cpu_milli != o->best_cpu_milli
      || e->reported_view != o->view
      || e->reported_entry_count != o->heartbeat_entry_count)
    report_owner (e);
  if (e->reported_eligible == e->degraded
      || e->reported_token != e->followed_token)
    report_peer (e);
}

/* Returns true if a message on the link of E arrives.  */
static bool
link_carries (const struct model_entry *e)
{
  return e->linked != NULL && e->linked->process == e->linked_process
         && entries_reach (e, e->linked);
}

static void
connect_to (struct model_entry *e, const char *address)
{
  if (strcmp (e->wanted_address, address) == 0 && e->linked != NULL)
    return;
  text_copy (e->wanted_address, ADDRESS_BYTES, address);
  /* As the relay does, with what the cell has just set.  */
  if (link_carries (e))
    report_peer (e);
  close_link (e);
  if (address[0] != '\0')
    open_link (e);
}

static void
forward_call (struct model_entry *e, const struct job_call *call)
{
  struct cell_event *x;

  if (!link_carries (e))
    return;
  x = model_event (CELL_JOB_CALL);
  x->u.job_call.link_id = e->link_id;
  x->u.job_call.call = *call;
  if (call->spec != NULL)
    x->u.job_call.call.spec = job_spec_copy (x, call->spec);
  model_post (e->linked, e->linked_process, LINK_US, x);
}

static void
send_peer_reply (struct model_entry *e, uint64_t link_id,
                 const struct reply *r)
{
  struct model *m = e->model;
  uint32_t i;

  for (i = 0; i < m->entry_count; i++)
    {
      struct model_entry *o = &m->entries[i];
      struct cell_event *x;

      if (o->linked != e || o->link_id != link_id || !link_carries (o))
        continue;
      x = model_event (CELL_REPLY);
      x->u.reply = *r;
      model_post (o, o->process, LINK_US, x);
    }
}

/* Passes the states in A on, as the relay does: those for all links (0) only
   to entries that got some on the same link before.  */
static void
tell_states (struct model_entry *e, const struct cell_action *a)
{
  struct model *m = e->model;
  uint32_t i;

  for (i = 0; i < m->entry_count; i++)
    {
      struct model_entry *o = &m->entries[i];
      struct cell_event *x;

      if (o->linked != e
          || (a->u.states.link_id == 0 ? !o->gets_states
                                       : o->link_id != a->u.states.link_id))
        continue;
      o->gets_states = true;
      /* The stream of a link has no gaps.  */
      if (!link_carries (o))
        {
          close_link (o);
          continue;
        }
      x = model_event (CELL_STATES);
      x->u.states.token = a->u.states.token;
      x->u.states.item_count = a->u.states.item_count;
      x->u.states.items
          = talloc_memdup (x, a->u.states.items,
                           a->u.states.item_count * sizeof *x->u.states.items);
      model_post (o, o->process, LINK_US, x);
    }
}

static void
carry_out (struct model_entry *e, struct cell_action *a)
{
  switch (a->kind)
    {
    case CELL_DO_REPLY:
      model_load_on_reply (e, &a->u.reply);
      model_client_on_reply (e, &a->u.reply);
      break;
    case CELL_DO_PEER_REPLY:
      send_peer_reply (e, a->u.peer_reply.link_id, &a->u.peer_reply.reply);
      break;
    case CELL_DO_FORWARD:
      forward_call (e, &a->u.forward);
      break;
    case CELL_DO_CONNECT:
      connect_to (e, a->u.connect);
      break;
    case CELL_DO_SET_HEARTBEAT:
      e->degraded = a->u.heartbeat.degraded;
      e->best_cpu_milli = a->u.heartbeat.best_cpu_milli;
      e->followed_token = a->u.heartbeat.followed_token;
      e->view = a->u.heartbeat.view;
      e->heartbeat_entry_count = a->u.heartbeat.entry_count;
      break;
    case CELL_DO_JOIN:
    case CELL_DO_LEAVE:
    case CELL_DO_FIND_HOLDER:
    case CELL_DO_CLAIM:
    case CELL_DO_RECOVER:
    case CELL_DO_APPEND:
    case CELL_DO_FOLLOW_RUNNERS:
      model_store_action (e, a);
      break;
    case CELL_DO_ORDER:
      model_runner_order (e, &a->u.order);
      break;
    case CELL_DO_LIST_VMS:
    case CELL_DO_ORDER_VM:
      model_cloud_action (e, a);
      break;
    case CELL_DO_LOG:
      if (e->model->options.verbose)
        print_log (e, a);
      break;
    case CELL_DO_EXIT:
      model_entry_kill (e);
      break;
    case CELL_DO_TELL_STATES:
      tell_states (e, a);
      break;
    case CELL_DO_WAVE_STATE:
    case CELL_DO_READY:
    case CELL_ACTION_KIND_COUNT:
      break;
    }
}

static void
step (struct model_entry *e, struct cell_event *ev)
{
  struct model *m = e->model;
  uint32_t i;

  ev->now_us = m->now_us;
  ev->wall_ms
      = MODEL_EPOCH_MS + m->now_us / US_PER_MS + (uint64_t)e->clock_step_ms;
  ev->random = (uint64_t)model_random (m, UINT32_MAX) << 32
               | model_random (m, UINT32_MAX);
  m->actions.item_count = 0;
  cell_step (e->cell, ev, &m->actions);
  /* The process may end in the midst of this.  */
  for (i = 0; i < m->actions.item_count; i++)
    carry_out (e, &m->actions.items[i]);
}

static void
deliver (struct model *m, void *argument)
{
  struct delivery *d = argument;
  struct model_entry *e = d->entry;

  if (e->cell != NULL && e->process == d->process)
    {
      if (m->now_us < e->frozen_until_us)
        {
          model_schedule (m, e->frozen_until_us - m->now_us, deliver, d);
          return;
        }
      if (!d->queued && m->options.event_us > 0)
        {
          d->queued = true;
          model_schedule (m, model_limits_work (e, m->options.event_us),
                          deliver, d);
          return;
        }
      step (e, d->event);
    }
  talloc_free (d);
}

void
model_post (struct model_entry *e, uint32_t process, uint64_t delay_us,
            struct cell_event *ev)
{
  struct delivery *d = talloc_zero (e->model->arena, struct delivery);

  d->entry = e;
  d->process = process;
  d->event = talloc_steal (d, ev);
  delay_us += model_delay_us (e->model, e->slow_until_us, e->slow_us);
  model_schedule (e->model, delay_us, deliver, d);
}

static void
tick_entry (struct model *m, void *argument)
{
  struct delivery *d = argument;
  struct model_entry *e = d->entry;
  struct cell_event ev = { .kind = CELL_TICK };

  if (e->cell == NULL || e->process != d->process)
    {
      talloc_free (d);
      return;
    }
  if (m->now_us < e->frozen_until_us)
    {
      model_schedule (m, e->frozen_until_us - m->now_us, tick_entry, d);
      return;
    }
  if (!d->queued && m->options.event_us > 0)
    {
      d->queued = true;
      model_schedule (m, model_limits_work (e, m->options.event_us),
                      tick_entry, d);
      return;
    }
  d->queued = false;
  step (e, &ev);
  if (e->cell == NULL || e->process != d->process)
    {
      talloc_free (d);
      return;
    }
  model_schedule (m, cell_tick_ms (e->cell) * US_PER_MS, tick_entry, d);
}

static struct cell_event *
config_event (void)
{
  struct cell_event *x = model_event (CELL_CONFIG);
  struct site_config *f = talloc_zero (x, struct site_config);
  uint32_t i;

  x->u.config = f;
  f->version = 1;
  f->pool_count = MODEL_POOL_COUNT;
  f->queue_count = MODEL_SPARE_POOL;
  f->tenant_count = 1;
  f->pools = talloc_zero_array (f, struct site_pool, f->pool_count);
  f->queues = talloc_zero_array (f, struct site_queue, f->queue_count);
  f->tenants = talloc_zero_array (f, struct site_tenant, 1);
  for (i = 0; i < f->pool_count; i++)
    snprintf (f->pools[i].name, NAME_BYTES, "p%u", i);
  f->pools[MODEL_SPARE_POOL].spare = true;
  for (i = 0; i < f->queue_count; i++)
    {
      struct site_queue *q = &f->queues[i];

      snprintf (q->name, NAME_BYTES, "q%u", i);
      snprintf (q->pool, NAME_BYTES, "p%u", i);
      snprintf (q->prefix, PREFIX_BYTES, "/q%u/", i);
      text_copy (q->host, HOST_BYTES, "h");
      q->attempt_limit = MODEL_ATTEMPT_LIMIT_COUNT;
      q->stretch_milli = 1600;
      q->objective_slack_ms = 60000;
    }
  text_copy (f->tenants[0].name, NAME_BYTES, "t");
  f->tenants[0].key_count = 1;
  f->tenants[0].keys = talloc_zero_size (f, sizeof *f->tenants[0].keys);
  text_copy (f->tenants[0].keys[0], API_KEY_BYTES, "k");
  return x;
}

static void
confirm_config (struct model *m, void *argument)
{
  struct delivery *d = argument;
  struct model_entry *e = d->entry;

  if (e->cell == NULL || e->process != d->process)
    {
      talloc_free (d);
      return;
    }
  if (model_store_serves (e) && m->now_us >= e->frozen_until_us
      && model_limits_read (m))
    {
      struct cell_event *x = model_event (CELL_CONFIG_CONFIRMED);

      model_post (e, e->process, 2000, config_event ());
      x->u.config_sent_at_us = m->now_us;
      model_post (e, e->process, 2000, x);
    }
  model_schedule (m, CONFIG_INTERVAL_US, confirm_config, d);
}

static struct delivery *
delivery_to (struct model_entry *e)
{
  struct delivery *d = talloc_zero (e->model->arena, struct delivery);

  d->entry = e;
  d->process = e->process;
  return d;
}

void
model_entry_start (struct model_entry *e)
{
  struct model *m = e->model;

  if (e->cell != NULL || e->lost)
    return;
  e->process++;
  e->cell = cell_new (NULL, &e->settings);
  e->linked = NULL;
  e->wanted_address[0] = '\0';
  e->degraded = false;
  e->followed_token = 0;
  e->view = STORE_VIEW_NONE;
  e->heartbeat_entry_count = 0;
  e->best_cpu_milli = e->settings.cpu_milli;
  e->claims_read = false;
  e->claims_seen_offset = 0;
  e->claims_sent_at_us = e->claims_told_at_us = 0;
  e->follows_runners = false;
  e->newest_token = 0;
  e->busy_until_us = 0;
  model_schedule (m, 1000, tick_entry, delivery_to (e));
  model_schedule (m, model_between (m, 5000, 30000), confirm_config,
                  delivery_to (e));
}

/* Frees the cell of a process that ended, when no step of it is under way.  */
static void
free_cell (struct model *m, void *argument)
{
  (void)m;
  talloc_free (argument);
}

void
model_entry_kill (struct model_entry *e)
{
  struct cell *c = e->cell;

  if (c == NULL)
    return;
  e->cell = NULL;
  e->frozen_until_us = 0;
  model_schedule (e->model, 0, free_cell, talloc_steal (e->model->arena, c));
}

static void
tick (struct model *m, void *argument)
{
  uint32_t i;

  (void)argument;
  for (i = 0; i < m->entry_count; i++)
    tick_link (&m->entries[i]);
  model_store_tick (m);
  model_runner_tick (m);
  model_load_tick (m);
  model_clients_tick (m);
  model_rules_tick (m);
  if (m->now_us < m->end_us)
    model_schedule (m, TICK_US, tick, NULL);
}

static void
create_entries (struct model *m)
{
  uint32_t i;

  m->entry_count = m->options.entry_count;
  m->entries = g_new0 (struct model_entry, m->entry_count);
  for (i = 0; i < m->entry_count; i++)
    {
      struct model_entry *e = &m->entries[i];

      e->model = m;
      e->index = i;
      snprintf (e->name, NAME_BYTES, "entry-%u", i);
      snprintf (e->address, ADDRESS_BYTES, "10.0.%u.%u:7000", i / 250,
                i % 250);
      e->settings
          = (struct cell_settings){ .cpu_milli = m->options.cpu_milli,
                                    .vm_order_rate_milli = 20000,
                                    .times = { .revoke_ms = 5000,
                                               .lease_max_ms = 10000,
                                               .task_stop_ms = 400,
                                               .handover_gap_ms = 3000,
                                               .status_retention_s = 120,
                                               .away_notice_ms = 4500,
                                               .stop_grace_ms = 6000,
                                               .move_ms = 1500,
                                               .maintenance_ms = 2000 } };
      e->settings.times.unconfirmed_state_s = m->options.unconfirmed_state_s;
      if (m->options.weak_cpu_milli > 0 && i % 3 != 0)
        e->settings.cpu_milli = m->options.weak_cpu_milli;
      text_copy (e->settings.member, NAME_BYTES, e->name);
      text_copy (e->settings.relay_address, ADDRESS_BYTES, e->address);
      model_entry_start (e);
    }
}

static gboolean
take_first (gpointer key, gpointer value, gpointer first)
{
  (void)key;
  *(struct scheduled **)first = value;
  return TRUE;
}

static void
run (struct model *m)
{
  for (;;)
    {
      struct scheduled *x = NULL;

      g_tree_foreach (m->queue, take_first, &x);
      if (x == NULL || x->at_us > m->end_us)
        return;
      m->now_us = x->at_us;
      g_tree_remove (m->queue, x);
      x->function (m, x->argument);
      talloc_free (x);
    }
}

uint32_t
model_play (const struct model_options *o, uint64_t seed, GString *report)
{
  struct model *m = g_new0 (struct model, 1);
  uint32_t broken;
  uint32_t i;

  m->arena = talloc_new (NULL);
  m->options = *o;
  m->random = seed * UINT64_C (0x9e3779b97f4a7c15) + 1;
  m->now_us = 100 * US_PER_S;
  m->report = report;
  m->queue = g_tree_new_full (compare_scheduled, NULL, NULL, NULL);
  m->store.claims = g_array_new (FALSE, TRUE, sizeof (struct model_claim));
  m->store.records = g_hash_table_new_full (g_str_hash, g_str_equal, g_free,
                                            (GDestroyNotify)g_bytes_unref);
  m->store.holder = -1;
  m->runners = g_hash_table_new (g_str_hash, g_str_equal);
  m->all_runners = g_ptr_array_new ();
  m->tasks = g_hash_table_new (g_str_hash, g_str_equal);
  m->jobs = g_ptr_array_new_with_free_func (g_free);
  m->jobs_by_id = g_hash_table_new (g_int64_hash, g_int64_equal);
  m->vm_count = MODEL_POOL_COUNT * o->vm_count;
  m->vms = g_new0 (struct model_vm, m->vm_count);
  for (i = 0; i < m->vm_count; i++)
    {
      snprintf (m->vms[i].name, NAME_BYTES, "m%u", i);
      m->vms[i].pool = i % MODEL_POOL_COUNT;
      m->vms[i].rack = i / MODEL_POOL_COUNT % 4;
      m->vms[i].up = true;
      if (m->vms[i].pool != MODEL_SPARE_POOL)
        model_vm_boot (m, i, NULL);
    }
  m->questions
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, g_free);
  model_limits_plan (m);
  create_entries (m);
  model_load_plan (m);
  model_clients_plan (m);
  model_faults_plan (m);
  model_schedule (m, 0, tick, NULL);
  run (m);
  model_rules_finish (m);
  broken = m->broken_count;
  for (i = 0; i < m->entry_count; i++)
    talloc_free (m->entries[i].cell);
  g_free (m->entries);
  model_runners_free (m);
  model_store_free (m);
  model_clients_free (m);
  g_hash_table_destroy (m->jobs_by_id);
  g_ptr_array_free (m->jobs, TRUE);
  g_tree_destroy (m->queue);
  talloc_free (m->actions.items);
  talloc_free (m->arena);
  g_free (m->vms);
  g_free (m);
  return broken;
}
