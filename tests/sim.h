/* sim.h -- several cores on one event queue with virtual time.

   Fakes of the log, the workers and the peer links, no more than the limits
   need: messages may be delayed, lost and doubled; entries may be paused,
   killed and replaced.  Workers keep their own count of what runs.  */

#ifndef TESTS_SIM_H
#define TESTS_SIM_H

#include "core/state.h"

#include <glib.h>
#include <jansson.h>

#define SIM_ENTRY_COUNT 8
#define SIM_POOL_LIMIT 4
#define SIM_TEAM_LIMIT 4
#define SIM_VM_LIMIT 64
#define SIM_QUEUE_LIMIT (SIM_POOL_LIMIT * SIM_TEAM_LIMIT)

struct sim_entry
{
  struct core *core;
  uint32_t generation; /**< Counts its processes.  */
  bool alive;
  bool paused;
  GQueue held;                       /**< Events that came in the pause.  */
  uint64_t next_offset;              /**< Of the log.  */
  uint32_t clients[SIM_QUEUE_LIMIT]; /**< Requests kept in flight.  */
  uint32_t inflight[SIM_QUEUE_LIMIT];
};

struct sim
{
  uint64_t now_us;
  uint64_t random;
  uint64_t sequence;
  GTree *items;
  GPtrArray *log; /**< json_t, with the time in log_ms.  */
  GArray *log_ms;
  GHashTable *owners; /**< Incarnation to entry and generation.  */
  struct sim_entry entries[SIM_ENTRY_COUNT];
  struct actions actions;
  enum limit_policy policy;
  uint32_t pool_count;
  uint32_t team_count;
  uint32_t vm_count; /**< In each pool.  */
  uint32_t slot_count;
  uint32_t ceiling[SIM_TEAM_LIMIT];
  uint32_t weight[SIM_TEAM_LIMIT];
  uint32_t run_low_us;
  uint32_t run_high_us;
  uint32_t drop_percent;
  uint32_t double_percent;
  uint32_t delay_high_us; /**< Of a message, from 500 us.  */
  uint64_t config_version;
  uint32_t team_running[SIM_TEAM_LIMIT];
  uint32_t cell_running[SIM_POOL_LIMIT][SIM_TEAM_LIMIT];
  uint32_t vm_running[SIM_VM_LIMIT];
  uint64_t request_id;
  uint64_t step_count;
  uint64_t message_count;
  uint64_t transfer_count;
  uint64_t start_count;
  uint64_t answered_count;
  /** Called after each start, with the team and VM.  */
  void (*on_start) (struct sim *s, uint32_t team, uint32_t vm);
  void *state;
};

/** Returns a number below N.  */
uint32_t sim_random (struct sim *s, uint32_t n);
/** Sets up S with SEED; the caller then sets sizes and calls sim_open.  */
void sim_init (struct sim *s, uint64_t seed);
/** Starts all entries and publishes the tables.  */
void sim_open (struct sim *s);
/** Appends tables with the sizes and ceilings of S.  */
void sim_publish (struct sim *s);
/** Runs until virtual time UNTIL_US.  */
void sim_run (struct sim *s, uint64_t until_us);
/** Keeps COUNT requests of team T to pool P in flight at entry I.  */
void sim_load (struct sim *s, uint32_t i, uint32_t p, uint32_t t,
               uint32_t count);
void sim_pause (struct sim *s, uint32_t i);
void sim_resume (struct sim *s, uint32_t i);
void sim_kill (struct sim *s, uint32_t i);
/** Starts a new process of entry I.  */
void sim_start (struct sim *s, uint32_t i);
/** Appends that the last process of entry I is gone.  */
void sim_declare_gone (struct sim *s, uint32_t i, uint64_t incarnation);
/** Returns true if the tokens of all pairs of live entries add up.  */
bool sim_audit (const struct sim *s);
void sim_close (struct sim *s);

#endif
