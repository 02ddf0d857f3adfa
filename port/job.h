/* job.h -- jobs of steps and tasks, as clients specify them.

   A job is a set of steps; a step is a number of identical tasks.  Each front
   end has a codec that fills these types.  */

#ifndef FTK_PORT_JOB_H
#define FTK_PORT_JOB_H

#include "port/blob.h"
#include "port/types.h"

#include <talloc.h>

/** Bytes of a label, image or rack with its terminating NUL.  */
#define LABEL_BYTES 40
/** Bytes of a job id as 16 hexadecimal digits with its terminating NUL.  */
#define JOB_ID_BYTES 17
/** Largest number of steps in a job.  */
#define STEP_LIMIT_COUNT 256
/** Largest number of tasks in a step.  */
#define TASK_LIMIT_COUNT 10000

/** An amount of each resource.  */
struct resources
{
  uint64_t cpu_milli; /**< Thousandths of a core.  */
  uint64_t memory_mib;
  uint64_t gpu_count; /**< Accelerators.  */
};

/** A step of a job.  The cell does not use checkpointing and
    allows_duplicates.  */
struct job_step
{
  uint32_t task_count;
  struct resources need; /**< What each task needs.  */
  uint32_t estimate_ms;  /**< Client's estimate of a task's run time; 0:
                            none.  */
  uint32_t after_count;  /**< Entries of after.  */
  uint32_t *after;    /**< Steps that must be done first; lower-numbered.  */
  bool checkpointing; /**< Its tasks save checkpoints.  */
  bool gang;          /**< Its tasks start together and end together.  */
  bool same_rack; /**< Its tasks should run on one rack: they are slower when
                   spread over racks.  */
  bool allows_duplicates; /**< Two runs of a task may overlap.  */
  bool long_running;      /**< Its tasks run until the job is cancelled.  */
  bool filler;            /**< Its tasks run on CPU time that others leave.  */
  /** Most of its tasks on a runner; 0: no limit.  */
  uint32_t per_runner_limit_count;
  /** Tail latency that a serving task should not exceed; 0: no target.  */
  uint32_t latency_target_ms;
  /** To empty a VM for maintenance, the cell stops a long-running task only if
      no more than this many of the step's tasks are unavailable then; 0 counts
      as 1.  */
  uint32_t unavailable_limit_count;
  char label[LABEL_BYTES]; /**< Label that its runners must have, or empty.  */
  char data_rack[LABEL_BYTES]; /**< Rack that holds its data, or empty.  */
  char image[LABEL_BYTES];     /**< Program that its tasks run, or empty.  */
};

/** A job; a talloc parent of its arrays.  */
struct job_spec
{
  uint64_t id;
  uint32_t step_count;
  struct job_step *steps;
  struct blob *payload;      /**< Handed to each task unchanged.  */
  uint32_t occurrence_count; /**< Scheduled executions of the steps; 0: one,
                              immediately.  */
  uint64_t first_due_ms;     /**< Start of occurrence 0, Unix time.  */
  uint64_t interval_ms; /**< Time between the starts of two occurrences. */
};

/** Identifies a task of one occurrence of a job.  */
struct task_id
{
  uint64_t job;
  uint32_t occurrence;
  uint32_t step;
  uint32_t index;
};

/** State of a job as reported to clients.  */
enum job_state
{
  JOB_QUEUED,
  JOB_RUNNING,
  JOB_COMPLETED,
  JOB_FAILED,
  JOB_CANCELLED,
  JOB_STATE_COUNT
};

/** Returns true if a job in state S has ended.  */
static inline bool
job_state_is_final (enum job_state s)
{
  return s >= JOB_COMPLETED;
}

/** Returns the name of S in logs and records.  */
const char *job_state_name (enum job_state s);

/** Returns an empty job as a child of MEM.  Freeing it releases its
    payload.  */
struct job_spec *job_spec_new (TALLOC_CTX *mem);

/** Returns a copy of J as a child of MEM; the payload is shared.  */
struct job_spec *job_spec_copy (TALLOC_CTX *mem, const struct job_spec *j);

/** Checks the order of the steps, counts and sizes, for every codec.  Returns
    NULL, or the reason why the job is refused: a constant text that clients
    receive.  */
const char *job_spec_fault (const struct job_spec *j);

/** Returns the most bytes that a codec takes for J.  */
uint64_t job_spec_size_bytes (const struct job_spec *j);

/** Parses 16 hexadecimal digits.  Returns false if TEXT is anything else.  */
bool job_id_parse (const char *text, uint64_t *id);

/** Writes ID as 16 hexadecimal digits and a NUL.  */
void job_id_print (uint64_t id, char *text);

/** Returns true if every resource of A is at most B's.  */
bool resources_fit (const struct resources *a, const struct resources *b);

/** Adds B to A.  */
void resources_add (struct resources *a, const struct resources *b);

/** Subtracts B from A; a resource of which B has more becomes 0.  */
void resources_subtract (struct resources *a, const struct resources *b);

#endif
