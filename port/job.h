/* port/job.h -- jobs of steps and tasks, as callers describe them.

   A job is a set of steps; a step is a number of equal tasks.  The same types
   serve every front end: a codec of its own fills them.  */

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
  uint64_t cpu_milli;  /**< Thousandths of a core.  */
  uint64_t memory_mib; /**< Memory.  */
  uint64_t gpu_count;  /**< Accelerators.  */
};

/** One step.  */
struct job_step
{
  uint32_t task_count;
  struct resources need;  /**< Of each task.  */
  uint32_t estimate_ms;   /**< The caller's guess of a task's run time.  */
  uint32_t after_count;   /**< Entries of after.  */
  uint32_t *after;        /**< Steps that must be done first; all lower.  */
  bool checkpointing;     /**< Its tasks save their progress.  */
  bool gang;              /**< All tasks of a run work and end together.  */
  bool same_rack;         /**< Slower when spread over racks.  */
  bool allows_duplicates; /**< Copies of a task may run at once.  */
  bool long_running;      /**< Runs until the job is cancelled.  */
  bool filler;            /**< Runs in what other tasks leave unused.  */
  uint32_t
      per_runner_limit_count; /**< Most of its tasks on a runner; 0: any.  */
  uint32_t
      latency_target_ms; /**< Latency objective of a serving task; 0: none. */
  uint32_t unavailable_limit_count; /**< Tasks that may be away by our acts. */
  char label[LABEL_BYTES];     /**< That the runner must have, or empty.  */
  char data_rack[LABEL_BYTES]; /**< Where its data is, or empty.  */
  char image[LABEL_BYTES];     /**< What its tasks run, or empty.  */
};

/** One job; a talloc parent of its rows.  */
struct job_spec
{
  uint64_t id;
  uint32_t step_count;
  struct job_step *steps;
  struct blob *payload;      /**< Handed to each task unchanged.  */
  uint32_t occurrence_count; /**< Times that it runs; 0: once, at once.  */
  uint64_t first_due_ms;     /**< Wall clock of occurrence 0.  */
  uint64_t interval_ms;      /**< Between two occurrences.  */
};

/** Names one task of one occurrence.  */
struct task_id
{
  uint64_t job;
  uint32_t occurrence;
  uint32_t step;
  uint32_t index;
};

/** What callers are told of a job.  */
enum job_state
{
  JOB_QUEUED,
  JOB_RUNNING,
  JOB_COMPLETED,
  JOB_FAILED,
  JOB_CANCELLED,
  JOB_STATE_COUNT
};

/** Returns the name of S in logs and records.  */
const char *job_state_name (enum job_state s);

/** Returns an empty job as a child of MEM, whose payload is released with
    it.  */
struct job_spec *job_spec_new (TALLOC_CTX *mem);

/** Returns a copy of J as a child of MEM; the payload is shared.  */
struct job_spec *job_spec_copy (TALLOC_CTX *mem, const struct job_spec *j);

/** Checks what no codec can: the order of steps, counts and sizes.  Returns
    NULL, or why the job is refused.  */
const char *job_spec_fault (const struct job_spec *j);

/** Parses 16 hexadecimal digits.  */
bool job_id_parse (const char *text, uint64_t *id);

/** Writes ID as JOB_ID_BYTES characters.  */
void job_id_print (uint64_t id, char *text);

/** Returns true if every resource of A is at most B's.  */
bool resources_fit (const struct resources *a, const struct resources *b);

void resources_add (struct resources *a, const struct resources *b);

/** Takes B from A; nothing goes below 0.  */
void resources_subtract (struct resources *a, const struct resources *b);

#endif
