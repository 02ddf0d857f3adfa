/* job.c -- checks, copies and identifiers of jobs; arithmetic on resources. */

#include "port/job.h"

#include <stdio.h>
#include <string.h>

/** Most that a task may need of each resource.  */
#define CPU_LIMIT_MILLI UINT64_C (1000000000)
#define MEMORY_LIMIT_MIB UINT64_C (1000000000)
#define GPU_LIMIT_COUNT UINT64_C (1000000)
/** Largest number of occurrences of a job.  */
#define OCCURRENCE_LIMIT_COUNT 1000000u
/** Most bytes of an encoded job without its payload and steps, of a step
   without the steps that it waits for, and of a 32-bit number.  */
#define SPEC_BYTES 64
#define STEP_BYTES (3 * (LABEL_BYTES + 3) + 128)
#define NUMBER_BYTES 5

const char *
job_state_name (enum job_state s)
{
  static const char *const names[JOB_STATE_COUNT] = {
    [JOB_QUEUED] = "queued",       [JOB_RUNNING] = "running",
    [JOB_COMPLETED] = "completed", [JOB_FAILED] = "failed",
    [JOB_CANCELLED] = "cancelled",
  };

  return s < JOB_STATE_COUNT ? names[s] : "unknown";
}

static int
spec_free (struct job_spec *j)
{
  blob_unref (j->payload);
  return 0;
}

struct job_spec *
job_spec_new (TALLOC_CTX *mem)
{
  struct job_spec *j = talloc_zero (mem, struct job_spec);

  if (j == NULL)
    out_of_memory ();
  talloc_set_destructor (j, spec_free);
  return j;
}

struct job_spec *
job_spec_copy (TALLOC_CTX *mem, const struct job_spec *j)
{
  struct job_spec *copy = job_spec_new (mem);
  uint32_t i;

  *copy = *j;
  blob_ref (copy->payload);
  copy->steps
      = talloc_memdup (copy, j->steps, j->step_count * sizeof *j->steps);
  for (i = 0; i < j->step_count && copy->steps != NULL; i++)
    if (j->steps[i].after_count > 0)
      copy->steps[i].after
          = talloc_memdup (copy->steps, j->steps[i].after,
                           j->steps[i].after_count * sizeof *j->steps->after);
  if (copy->steps == NULL && j->step_count > 0)
    out_of_memory ();
  return copy;
}

/* Returns NULL, or the reason why step N of J is refused.  */
static const char *
step_fault (const struct job_spec *j, uint32_t n)
{
  const struct job_step *s = &j->steps[n];
  uint32_t i;

  if (s->task_count == 0 || s->task_count > TASK_LIMIT_COUNT)
    return "a step's number of tasks is out of range";
  if (s->need.cpu_milli > CPU_LIMIT_MILLI
      || s->need.memory_mib > MEMORY_LIMIT_MIB
      || s->need.gpu_count > GPU_LIMIT_COUNT)
    return "a step's resources are out of range";
  for (i = 0; i < s->after_count; i++)
    if (s->after[i] >= n)
      return "a step waits for one that is not before it";
  return NULL;
}

const char *
job_spec_fault (const struct job_spec *j)
{
  uint32_t i;

  if (j->step_count == 0 || j->step_count > STEP_LIMIT_COUNT)
    return "the number of steps is out of range";
  if (j->occurrence_count > OCCURRENCE_LIMIT_COUNT)
    return "the number of occurrences is out of range";
  for (i = 0; i < j->step_count; i++)
    {
      const char *fault = step_fault (j, i);

      if (fault != NULL)
        return fault;
    }
  return NULL;
}

uint64_t
job_spec_size_bytes (const struct job_spec *j)
{
  uint64_t n = SPEC_BYTES + j->payload->size_bytes;
  uint32_t i;

  for (i = 0; i < j->step_count; i++)
    n += STEP_BYTES + (uint64_t)j->steps[i].after_count * NUMBER_BYTES;
  return n;
}

/* Returns the value of the hexadecimal digit C, or -1.  */
static int
hex_digit (char c)
{
  if (c >= '0' && c <= '9')
    return c - '0';
  if (c >= 'a' && c <= 'f')
    return c - 'a' + 10;
  if (c >= 'A' && c <= 'F')
    return c - 'A' + 10;
  return -1;
}

bool
job_id_parse (const char *text, uint64_t *id)
{
  uint64_t n = 0;
  uint32_t i;

  for (i = 0; i < JOB_ID_BYTES - 1; i++)
    {
      int d = hex_digit (text[i]);

      if (d < 0)
        return false;
      n = n << 4 | (uint64_t)d;
    }
  *id = n;
  return text[i] == '\0';
}

void
job_id_print (uint64_t id, char *text)
{
  snprintf (text, JOB_ID_BYTES, "%016llx", (unsigned long long)id);
}

bool
resources_fit (const struct resources *a, const struct resources *b)
{
  return a->cpu_milli <= b->cpu_milli && a->memory_mib <= b->memory_mib
         && a->gpu_count <= b->gpu_count;
}

void
resources_add (struct resources *a, const struct resources *b)
{
  a->cpu_milli += b->cpu_milli;
  a->memory_mib += b->memory_mib;
  a->gpu_count += b->gpu_count;
}

static void
subtract_clamped (uint64_t *from, uint64_t n)
{
  *from -= n < *from ? n : *from;
}

void
resources_subtract (struct resources *a, const struct resources *b)
{
  subtract_clamped (&a->cpu_milli, b->cpu_milli);
  subtract_clamped (&a->memory_mib, b->memory_mib);
  subtract_clamped (&a->gpu_count, b->gpu_count);
}
