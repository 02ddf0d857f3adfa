/* bench_limits.c -- how closely each team's running requests follow its share,
   in virtual time.

   Simulates 8 entries, 2 pools of 10 VMs with 8 slots each, 3 teams with
   weights 1, 2 and 5, and tasks of 20 to 60 ms.  Prints a JSON line for each
   load and policy.  The distance is between a team's mean running requests in
   a window of 200 ms and its share of the capacity, in percent of the share,
   measured from 2 s after each change of load.  */

#include "tests/sim.h"

#include <math.h>
#include <sodium.h>
#include <stdio.h>
#include <time.h>

#define WINDOW_US (200 * US_PER_MS)
#define SAMPLE_US (5 * US_PER_MS)
#define SETTLE_US (2 * US_PER_S)
#define CLIENT_COUNT 200

enum load
{
  LOAD_ONE,    /**< All requests arrive at one entry.  */
  LOAD_ALL,    /**< At all entries.  */
  LOAD_TURNS,  /**< Most at one entry, another one every 5 s.  */
  LOAD_PAUSED, /**< At all entries, one of which is paused.  */
  LOAD_LIGHT   /**< At every other entry, a fifth of the capacity.  */
};

static const char *const load_names[]
    = { "one_entry", "all_entries", "in_turns", "one_paused", "light" };
static const char *const policy_names[]
    = { "ledger", "static_split", "first_come" };

struct distances
{
  double distance_percent_sum;
  double distance_percent_max;
  double used_percent_sum;
  uint32_t window_count;
};

/* Returns the slots that team T's weight entitles it to.  */
static double
team_share (const struct sim *s, uint32_t t)
{
  double weights = 0;
  uint32_t i;

  for (i = 0; i < s->team_count; i++)
    weights += s->weight[i];
  return s->pool_count * s->vm_count * s->slot_count * s->weight[t] / weights;
}

/* Keeps COUNT requests of each team and pool in flight at entry I, and twice
   as many of the first team.  */
static void
load_entry (struct sim *s, uint32_t i, uint32_t count)
{
  uint32_t p;
  uint32_t t;

  for (p = 0; p < s->pool_count; p++)
    for (t = 0; t < s->team_count; t++)
      sim_load (s, i, p, t, t == 0 ? 2 * count : count);
}

/* Sets LOAD at all entries; TURN counts the changes of load.  */
static void
set_load (struct sim *s, enum load load, uint32_t turn)
{
  uint32_t i;

  for (i = 0; i < SIM_ENTRY_COUNT; i++)
    switch (load)
      {
      case LOAD_ONE:
        load_entry (s, i, i == 0 ? CLIENT_COUNT : 0);
        break;
      case LOAD_ALL:
      case LOAD_PAUSED:
        load_entry (s, i, CLIENT_COUNT / SIM_ENTRY_COUNT);
        break;
      case LOAD_TURNS:
        load_entry (s, i, i == turn % SIM_ENTRY_COUNT ? CLIENT_COUNT : 2);
        break;
      case LOAD_LIGHT:
        load_entry (s, i, i % 2);
        break;
      }
}

/* Runs for WINDOW_US and adds the window's distances to F.  */
static void
measure_window (struct sim *s, struct distances *f)
{
  double sums[SIM_TEAM_LIMIT] = { 0 };
  double capacity = s->pool_count * s->vm_count * s->slot_count;
  double used = 0;
  uint32_t sample_count = (uint32_t)(WINDOW_US / SAMPLE_US);
  uint32_t i;
  uint32_t t;

  for (i = 0; i < sample_count; i++)
    {
      sim_run (s, s->now_us + SAMPLE_US);
      for (t = 0; t < s->team_count; t++)
        sums[t] += s->team_running[t];
    }
  for (t = 0; t < s->team_count; t++)
    {
      double share = team_share (s, t);
      double distance = fabs (sums[t] / sample_count - share) / share * 100;

      f->distance_percent_sum += distance / s->team_count;
      f->distance_percent_max = MAX (f->distance_percent_max, distance);
      used += sums[t] / sample_count;
    }
  f->used_percent_sum += used / capacity * 100;
  f->window_count++;
}

static void
measure_load (struct sim *s, enum load load, struct distances *f)
{
  uint32_t turn;

  for (turn = 0; turn < 3; turn++)
    {
      uint64_t end_us;

      set_load (s, load, turn);
      sim_run (s, s->now_us + SETTLE_US);
      for (end_us = s->now_us + 3 * US_PER_S; s->now_us < end_us;)
        measure_window (s, f);
    }
}

static void
bench_load (enum load load, enum limit_policy policy)
{
  struct distances f = { 0 };
  struct sim s;
  uint64_t message_start;
  uint64_t transfer_start;
  uint64_t step_start;
  uint64_t start_us;
  clock_t cpu_start;
  double elapsed_s;
  double cpu_s;

  sim_init (&s, 7);
  s.policy = policy;
  s.pool_count = 2;
  s.team_count = 3;
  s.vm_count = 10;
  s.slot_count = 8;
  s.weight[0] = 1;
  s.weight[1] = 2;
  s.weight[2] = 5;
  s.ceiling[0] = s.ceiling[1] = s.ceiling[2] = 150;
  sim_open (&s);
  if (load == LOAD_PAUSED)
    {
      sim_run (&s, s.now_us + US_PER_S);
      set_load (&s, load, 0);
      sim_run (&s, s.now_us + 2 * US_PER_S);
      sim_pause (&s, 3);
    }
  message_start = s.message_count;
  transfer_start = s.transfer_count;
  step_start = s.step_count;
  start_us = s.now_us;
  cpu_start = clock ();
  measure_load (&s, load, &f);
  elapsed_s = (double)(s.now_us - start_us) / 1e6;
  cpu_s = (double)(clock () - cpu_start) / CLOCKS_PER_SEC;
  printf ("{\"bench\":\"limits\",\"load\":\"%s\",\"policy\":\"%s\","
          "\"distance_mean_percent\":%.1f,\"distance_max_percent\":%.1f,"
          "\"used_percent\":%.1f,\"messages_per_s_per_entry\":%.0f,"
          "\"transfers_per_s\":%.1f,\"steps_per_cpu_s\":%.0f}\n",
          load_names[load], policy_names[policy],
          f.distance_percent_sum / f.window_count, f.distance_percent_max,
          f.used_percent_sum / f.window_count,
          (double)(s.message_count - message_start) / elapsed_s
              / SIM_ENTRY_COUNT,
          (double)(s.transfer_count - transfer_start) / elapsed_s,
          (double)(s.step_count - step_start) / cpu_s);
  fflush (stdout);
  sim_close (&s);
}

int
main (void)
{
  enum load load;
  enum limit_policy policy;

  if (sodium_init () < 0)
    return 1;
  for (load = LOAD_ONE; load <= LOAD_LIGHT; load++)
    for (policy = LIMIT_LEDGER; policy <= LIMIT_FIRST_COME; policy++)
      bench_load (load, policy);
  return 0;
}
