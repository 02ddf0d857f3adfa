/* boots.c -- restarts of runners.

   A runner may be restarted under its id.  Its new boot knows nothing of
   before: it has no runs, numbers its ends anew, and has another clock.  */

#include "core/cell/fleet.h"

/** Delay of the poll of a runner that refused an order as meant for another
    boot: another runner may answer at its address.  */
#define WRONG_BOOT_DELAY_MS 600

/* Releases the tasks of R whose runs have ended with its boot, and logs it
   with the reason WHY.  Those whose starts are open stay, and are polled for,
   and stopped if a poll does not list them.  */
static void
release_boot (struct cell *c, struct runner *r, enum run_over why)
{
  uint32_t lost_count = 0;
  guint i;

  for (i = 0; i < r->tasks->len; i++)
    lost_count += !task_start_is_open (g_ptr_array_index (r->tasks, i));
  runners_log_lost (c, r, why, lost_count);
  /* Backwards, as the last task takes the place of a released one.  */
  for (i = r->tasks->len; i > 0; i--)
    {
      struct task *t = g_ptr_array_index (r->tasks, i - 1);

      if (!task_start_is_open (t))
        {
          task_release (c, t, why);
          continue;
        }
      t->phase = TASK_UNCONFIRMED;
      t->start_known_at_us = c->now_us;
      t->stop_acked_at_us = 0;
    }
}

void
boots_note (struct cell *c, struct runner *r)
{
  r->boot_known_at_us = c->now_us;
  c->ownership.unreached_over_at_us = c->now_us;
  confirmation_covers (c, c->now_us);
}

void
boots_reset (struct cell *c, struct runner *r, uint64_t booted_at_ms,
             enum run_over why)
{
  release_boot (c, r, why);
  if (r->report.booted_at_ms != booted_at_ms)
    r->previous_boot_ms = r->report.booted_at_ms;
  r->report.booted_at_ms = booted_at_ms;
  r->boot_named = false;
  r->boot_doubted_at_us = 0;
  r->took_earlier_lease = false;
  r->boot_read_at_us = c->now_us;
  boots_note (c, r);
  r->reached = false;
  r->clock_read_at_us = 0;
  r->clock_ms = 0;
  r->lease_until_ms = 0;
  r->stored_end_number = r->seen_end_number = r->acked_end_number = 0;
  r->poll_id = 0;
  r->poll_incomplete = false;
  r->ends_incomplete = false;
  r->failed_run_count = 0;
  r->quarantined_until_us = 0;
  r->poll_clock_ms = 0;
  r->ended_ratio_count = 0;
  r->on_probation = false;
  r->refused_until_us = 0;
  r->next_poll_at_us = c->now_us;
}

/* Leases in orders that were meant for an earlier boot are on another clock:
   one that this boot has taken, or that tasks whose starts are open may have,
   lasts for the longest that a runner grants.  */
void
boots_note_clock (struct cell *c, struct runner *r, uint64_t clock_ms)
{
  if (clock_ms == 0)
    return;
  if (r->clock_read_at_us == 0 && (r->tasks->len > 0 || r->took_earlier_lease))
    r->lease_until_ms = clock_ms + c->settings.times.lease_max_ms;
  r->clock_ms = clock_ms;
  r->clock_read_at_us = c->now_us;
}

/* The clock of R's boot could not show an earlier time than when O was sent.
 */
bool
boots_is_other_clock (const struct runner *r, const struct pending_order *o,
                      const struct runner_result *x)
{
  uint64_t least_ms = r->clock_ms;

  if (r->clock_read_at_us == 0 || x->clock_ms == 0)
    return false;
  if (o->sent_at_us >= r->clock_read_at_us)
    least_ms += (o->sent_at_us - r->clock_read_at_us) / US_PER_MS
                * (1000 - CLOCK_SLOW_MILLI) / 1000;
  else
    least_ms
        -= MIN (least_ms, (r->clock_read_at_us - o->sent_at_us) / US_PER_MS);
  return x->clock_ms + CLOCK_GRAIN_MS < least_ms;
}

/* A poll is to name that boot; a start that was carried out may be there.  */
void
boots_on_other_clock (struct cell *c, struct runner *r, struct task *t,
                      const struct runner_result *x,
                      const struct pending_order *o)
{
  leases_on_other_boot (c, r, o, x);
  r->boot_doubted_at_us = c->now_us;
  /* The poll in flight was meant for the boot that is gone.  */
  r->poll_id = 0;
  runners_schedule_poll (c, r, 0);
  if (t != NULL && x->kind == ORDER_START)
    task_on_start_result (
        c, t, r, x->outcome == ORDER_DONE ? ORDER_UNKNOWN : x->outcome);
}

void
boots_on_other (struct cell *c, struct runner *r, struct task *t,
                const struct runner_result *x)
{
  bool refused = x->outcome == ORDER_WRONG_BOOT;
  bool not_sent = x->outcome == ORDER_OTHER_BOOT;
  bool is_start = t != NULL && x->kind == ORDER_START;

  if (is_start && refused)
    task_release (c, t, RUN_REFUSED);
  /* A refusal may come from another runner at R's address, so the boot that it
     names is used only if it is later.  */
  boots_reset (c, r,
               refused ? MAX (x->booted_at_ms, r->report.booted_at_ms)
                       : x->booted_at_ms,
               RUN_OTHER_BOOT);
  r->boot_named = !refused;
  r->took_earlier_lease = !refused && !not_sent && x->kind != ORDER_STOP;
  if (refused)
    {
      r->next_poll_at_us += WRONG_BOOT_DELAY_MS * US_PER_MS;
      return;
    }
  if (!is_start || not_sent)
    return;
  boots_note_clock (c, r, x->clock_ms);
  task_on_start_result (c, t, r, x->outcome);
}
