/* sim.h -- several cores on one event queue with virtual time.

   The log, the workers and the peer links are simulated as far as the limits
   depend on them: messages may be delayed, lost or duplicated; entries may be
   paused, cut off, killed and replaced.  Running tasks are counted per team
   and per VM apart from what the entries believe.  */

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
  uint32_t generation; /**< Number of its process, from 1.  */
  bool alive;
  bool paused;
  uint32_t island;      /**< If not 0, it reaches only the entries of the same
                           island, its clients and the workers.  */
  GQueue deferred;      /**< Events due during a pause.  */
  uint64_t next_offset; /**< Next offset of the log to read.  */
  uint32_t clients[SIM_QUEUE_LIMIT]; /**< Each keeps one request in flight.  */
  uint32_t inflight[SIM_QUEUE_LIMIT];
};

struct sim
{
  uint64_t now_us;
  uint64_t random;    /**< State of the generator.  */
  uint64_t sequence;  /**< Last number given to an event or as a boot id.  */
  GTree *events;      /**< Ordered by time, then sequence.  */
  GPtrArray *log;     /**< Records, json_t.  */
  GArray *log_ms;     /**< Time of each record.  */
  GHashTable *owners; /**< Incarnation to generation * 16 + entry.  */
  struct sim_entry entries[SIM_ENTRY_COUNT];
  struct actions actions;
  enum limit_policy policy;
  uint32_t pool_count;
  uint32_t team_count;
  uint32_t vm_count;   /**< In each pool.  */
  uint32_t slot_count; /**< Of each VM.  */
  uint32_t ceiling[SIM_TEAM_LIMIT];
  uint32_t weight[SIM_TEAM_LIMIT];
  uint32_t run_low_us; /**< Shortest run time of a task.  */
  uint32_t run_high_us;
  uint32_t drop_percent;
  uint32_t duplicate_percent;
  uint32_t delay_high_us; /**< Bound of the random part of a message's delay,
                              which is added to 500 us.  */
  uint64_t config_version;
  uint32_t team_running[SIM_TEAM_LIMIT];
  uint32_t pool_team_running[SIM_POOL_LIMIT][SIM_TEAM_LIMIT];
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

/** Returns a pseudo-random number below N.  */
uint32_t sim_random (struct sim *s, uint32_t n);
/** Initializes S with SEED.  The caller then sets the sizes, ceilings and
    weights and calls sim_open.  */
void sim_init (struct sim *s, uint64_t seed);
/** Starts all entries and publishes the tables.  */
void sim_open (struct sim *s);
/** Appends tables with the sizes, weights and ceilings of S to the log.  */
void sim_publish (struct sim *s);
/** Runs all events up to virtual time UNTIL_US.  */
void sim_run (struct sim *s, uint64_t until_us);
/** Keeps COUNT requests of team T to pool P in flight at entry I.  */
void sim_load (struct sim *s, uint32_t i, uint32_t p, uint32_t t,
               uint32_t count);
/** Entry I runs no event until sim_resume, which runs those that came due.  */
void sim_pause (struct sim *s, uint32_t i);
void sim_resume (struct sim *s, uint32_t i);
/** Puts entry I on ISLAND: cut off from the log and from the entries that are
    not on the same island.  Its clients and the workers still reach it.  0
   ends that.  */
void sim_cut (struct sim *s, uint32_t i, uint32_t island);
/** Ends the process of entry I; its tasks run on at the workers.  */
void sim_kill (struct sim *s, uint32_t i);
/** Starts a new process of entry I.  */
void sim_start (struct sim *s, uint32_t i);
/** Appends the record that INCARNATION, a former process of entry I, is
    gone.  */
void sim_declare_gone (struct sim *s, uint32_t i, uint64_t incarnation);
/** Returns true if the ledger and the issuance of each live entry are
    consistent and, between each two of them, the tokens given equal those
    received and those in transfers not yet credited.  */
bool sim_audit (const struct sim *s);
void sim_close (struct sim *s);

#endif
