/* cell.c -- creates a cell and passes each event to its handler.  */

#include "core/cell/fleet.h"
#include "core/cell/state_calls.h"
#include "core/load/shares.h"

#include <stdarg.h>
#include <stdio.h>
#include <string.h>

/** Interval of the ticks of an entry that does not hold the cell and has no
    calls waiting.  */
#define IDLE_TICK_MS 100
/** Interval of the ticks of all other entries.  */
#define ACTIVE_TICK_MS 20
/** Least time between two rounds of dispatch, so that tasks that end together
    are handled in one.  */
#define DISPATCH_GAP_US (4 * US_PER_MS)
/** Added to DISPATCH_GAP_US for each job that is not final, so that dispatch
    takes a small part of a small VM's CPU however many jobs there are.  */
#define DISPATCH_JOB_US 40

struct cell_action *
cell_emit (struct cell *c, enum cell_action_kind kind)
{
  return cell_actions_add (c->actions, kind);
}

void
cell_log (struct cell *c, const char *event, uint64_t job, const char *format,
          ...)
{
  struct cell_action *a = cell_emit (c, CELL_DO_LOG);
  va_list list;

  a->u.log.event = event;
  a->u.log.job = job;
  va_start (list, format);
  vsnprintf (a->u.log.fields, LOG_FIELDS_BYTES, format, list);
  va_end (list);
}

void
cell_histogram_add (uint64_t *buckets, uint64_t ms)
{
  uint32_t i = 0;

  while (i + 1 < CELL_BUCKET_COUNT && ms >= UINT64_C (1) << i)
    i++;
  buckets[i]++;
}

bool
cell_is_owner (const struct cell *c)
{
  return c->ownership.phase == OWNERSHIP_OWNER;
}

const char *
cell_counter_name (enum cell_counter k)
{
  static const char *const names[CELL_COUNTER_COUNT] = {
    [CELL_COUNT_ACCEPTED] = "jobs_accepted",
    [CELL_COUNT_REFUSED] = "calls_refused",
    [CELL_COUNT_STATES_TOLD] = "states_told",
    [CELL_COUNT_STATES_UNTOLD] = "states_untold",
    [CELL_COUNT_STATES_UNCONFIRMED] = "states_told_unconfirmed",
    [CELL_COUNT_COMPLETED] = "jobs_completed",
    [CELL_COUNT_FAILED] = "jobs_failed",
    [CELL_COUNT_CANCELLED] = "jobs_cancelled",
    [CELL_COUNT_STARTS] = "task_starts",
    [CELL_COUNT_START_REFUSED] = "task_starts_refused",
    [CELL_COUNT_ORDERS_UNANSWERED] = "orders_unanswered",
    [CELL_COUNT_ORDERS_DELEGATED] = "orders_delegated",
    [CELL_COUNT_ENDS] = "task_ends",
    [CELL_COUNT_LOST_RUNS] = "task_runs_lost",
    [CELL_COUNT_SLOW_RUNNERS] = "slow_runners",
    [CELL_COUNT_INTERFERENCE_PLACEMENTS] = "interference_placements",
    [CELL_COUNT_LEASE_RENEWALS] = "lease_renewals",
    [CELL_COUNT_LONG_LEASES] = "long_leases",
    [CELL_COUNT_APPENDS] = "store_appends",
    [CELL_COUNT_CONFIRMATION_APPENDS] = "confirmation_appends",
    [CELL_COUNT_TAKEOVERS] = "takeovers",
    [CELL_COUNT_OWNERSHIPS_LOST] = "tenures_lost",
    [CELL_COUNT_MOVES] = "vm_moves",
    [CELL_COUNT_MAINTENANCES] = "vm_upkeeps",
  };

  return k < CELL_COUNTER_COUNT ? names[k] : "unknown";
}

void
cell_metrics_get (const struct cell *c, struct cell_metrics *m)
{
  *m = c->metrics;
  m->owner = cell_is_owner (c);
  m->jobs_active = c->active->len;
  m->runners_listed = g_hash_table_size (c->runners);
  m->zones_evacuated = c->evacuated.count;
}

static int
cell_free (struct cell *c)
{
  /* The functions below may emit actions, which are dropped.  */
  struct cell_actions ignored = { 0 };

  /* cppcheck-suppress autoVariables */
  c->actions = &ignored;
  runners_clear (c);
  jobs_clear (c);
  cell_fleet_free (c);
  g_hash_table_destroy (c->keys);
  g_hash_table_destroy (c->queues);
  g_hash_table_destroy (c->dropped_queues);
  g_hash_table_destroy (c->limits);
  g_hash_table_destroy (c->peers);
  g_hash_table_destroy (c->forwarded_calls);
  g_hash_table_destroy (c->jobs);
  state_reports_free (c);
  g_ptr_array_free (c->active, TRUE);
  g_hash_table_destroy (c->runners);
  g_hash_table_destroy (c->pools);
  g_hash_table_destroy (c->pending_orders);
  g_hash_table_destroy (c->run_times);
  g_hash_table_destroy (c->usage);
  g_hash_table_destroy (c->refused_jobs);
  g_queue_free (c->refused_ids);
  g_hash_table_destroy (c->rate_buckets);
  g_hash_table_destroy (c->shares);
  g_hash_table_destroy (c->weights);
  g_array_free (c->dirty_job_ids, TRUE);
  g_array_free (c->append.job_ids, TRUE);
  g_array_free (c->append.watermarks, TRUE);
  talloc_free (ignored.items);
  return 0;
}

static void
talloc_free_value (gpointer p)
{
  talloc_free (p);
}

struct cell *
cell_new (TALLOC_CTX *mem, const struct cell_settings *s)
{
  struct cell *c = talloc_zero (mem, struct cell);

  if (c == NULL)
    out_of_memory ();
  c->settings = *s;
  if (s->record_limit_bytes == 0)
    c->settings.record_limit_bytes = DEFAULT_RECORD_LIMIT_BYTES;
  if (s->append_limit_bytes == 0)
    c->settings.append_limit_bytes = DEFAULT_APPEND_LIMIT_BYTES;
  c->ownership.best_advertised_milli = s->cpu_milli;
  c->queues = g_hash_table_new (g_str_hash, g_str_equal);
  c->dropped_queues
      = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, g_free);
  c->limits = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  c->keys = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  c->peers = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, g_free);
  c->forwarded_calls = g_hash_table_new_full (g_int64_hash, g_int64_equal,
                                              NULL, talloc_free_value);
  c->jobs = g_hash_table_new (g_int64_hash, g_int64_equal);
  state_reports_init (c);
  c->active = g_ptr_array_new ();
  c->runners = g_hash_table_new (g_str_hash, g_str_equal);
  c->pools = g_hash_table_new_full (g_str_hash, g_str_equal, g_free,
                                    (GDestroyNotify)g_ptr_array_unref);
  c->pending_orders
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, g_free);
  c->run_times
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  c->refused_jobs
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, g_free);
  c->refused_ids = g_queue_new ();
  c->usage = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  c->rate_buckets
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  c->shares = g_hash_table_new_full (g_str_hash, g_str_equal, g_free,
                                     (GDestroyNotify)shares_free);
  c->weights = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  c->dirty_job_ids = g_array_new (FALSE, FALSE, sizeof (uint64_t));
  c->append.job_ids = g_array_new (FALSE, FALSE, sizeof (uint64_t));
  c->append.watermarks
      = g_array_new (FALSE, FALSE, sizeof (struct end_watermark));
  c->fleet = cell_fleet_new (c);
  if (s->learn_interference)
    c->interference = talloc_zero (c, struct interference);
  talloc_set_destructor (c, cell_free);
  return c;
}

static void
tick (struct cell *c)
{
  ownership_tick (c);
  if (cell_is_owner (c))
    {
      confirmation_tick (c);
      delegates_tick (c);
      places_plan (c);
      runners_tick (c);
      image_samples_tick (c);
      waves_tick (c);
      c->dispatch_due = true;
    }
  ingress_tick (c);
  state_reports_tick (c);
  stop_tick (c);
}

static void
apply (struct cell *c, struct cell_event *e)
{
  switch (e->kind)
    {
    case CELL_TICK:
      tick (c);
      break;
    case CELL_CALL:
      ingress_on_call (c, e);
      break;
    case CELL_JOB_CALL:
      jobs_on_call (c, false, e->u.job_call.link_id, &e->u.job_call.call);
      break;
    case CELL_REPLY:
      ingress_on_reply (c, &e->u.reply);
      break;
    case CELL_OWNER_LINK:
      ownership_on_link (c, e);
      ingress_on_link (c, e->u.owner_link.up);
      break;
    case CELL_PEER:
      peers_on_event (c, e);
      break;
    case CELL_CONFIG:
      ingress_on_config (c, talloc_steal (c, e->u.config));
      if (cell_is_owner (c))
        jobs_on_config (c);
      break;
    case CELL_CONFIG_CONFIRMED:
      if (e->u.config_sent_at_us > c->config_confirmed_at_us)
        c->config_confirmed_at_us = e->u.config_sent_at_us;
      state_calls_count_entries (c);
      break;
    case CELL_CLAIM:
      ownership_on_claim (c, e);
      break;
    case CELL_CLAIMS_CONFIRMED:
      ownership_on_claims_confirmed (c, e->u.claims_sent_at_us);
      break;
    case CELL_HOLDER:
      ownership_on_holder (c, e);
      break;
    case CELL_JOINED:
      ownership_on_joined (c, e);
      break;
    case CELL_CLAIM_RESULT:
      ownership_on_claim_result (c, e);
      break;
    case CELL_APPENDED:
      records_on_appended (c, e);
      break;
    case CELL_RECOVERED:
      ownership_on_recovered (c, e);
      break;
    case CELL_RUNNERS:
      runners_on_reports (c, e);
      break;
    case CELL_WAVE:
      waves_on_request (c, &e->u.wave);
      break;
    case CELL_EVACUATIONS:
      evacuation_on_zones (c, e);
      break;
    case CELL_STATES:
      state_reports_on_states (c, e);
      break;
    case CELL_RUNNER_RESULT:
      runners_on_result (c, &e->u.runner_result);
      break;
    case CELL_VMS:
      fleet_on_vms (c, e);
      break;
    case CELL_VM_RESULT:
      vm_orders_on_result (c, e);
      break;
    case CELL_SETTINGS:
      c->settings.times = e->u.times;
      cell_log (c, "settings_in_force", 0, "\"revoke_ms\":%u",
                e->u.times.revoke_ms);
      break;
    case CELL_STOP:
      stop_begin (c);
      break;
    case CELL_EVENT_KIND_COUNT:
      break;
    }
}

void
cell_step (struct cell *c, struct cell_event *e, struct cell_actions *out)
{
  if (c->started_at_us == 0)
    c->started_at_us = e->now_us;
  c->now_us = e->now_us;
  c->wall_ms = e->wall_ms;
  c->random = e->random;
  c->actions = out;
  /* After a pause of the process another entry may own the cell.  Give it up
     before the event can lead to an order.  */
  ownership_check (c);
  apply (c, e);
  if (cell_is_owner (c) && c->dispatch_due
      && c->now_us >= c->dispatched_at_us + DISPATCH_GAP_US
                          + c->active->len * DISPATCH_JOB_US)
    {
      c->dispatch_due = false;
      c->dispatched_at_us = c->now_us;
      dispatch_run (c);
    }
  if (cell_is_owner (c))
    jobs_tick (c);
}

uint32_t
cell_tick_ms (const struct cell *c)
{
  return c->ownership.phase == OWNERSHIP_NONE
                 && g_hash_table_size (c->forwarded_calls) == 0
             ? IDLE_TICK_MS
             : ACTIVE_TICK_MS;
}
