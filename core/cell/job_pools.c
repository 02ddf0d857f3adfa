/* job_pools.c -- the pools in which runs of a job may be.

   A queue may be sent to another pool while its jobs run.  Their tasks go on
   in the former pool, and new ones start in the present one.  A new owner has
   to know both, but reads the newest configuration only.  So the records of a
   job name its pools, and no task starts in a pool before such a record is
   stored. A job whose records are of an earlier build may have runs in any
   pool.  */

#include "core/cell/state.h"

#include <string.h>

/* Returns true if one of the first COUNT pools of J is POOL.  */
static bool
has_pool (const struct job *j, uint32_t count, const char *pool)
{
  uint32_t i;

  for (i = 0; i < count; i++)
    if (strcmp (j->pools[i], pool) == 0)
      return true;
  return false;
}

void
job_pools_add (struct job *j, const char *pool)
{
  if (has_pool (j, j->pool_count, pool))
    return;
  j->pools = talloc_realloc_size (j, j->pools,
                                  (j->pool_count + 1) * sizeof *j->pools);
  if (j->pools == NULL)
    out_of_memory ();
  text_copy (j->pools[j->pool_count++], NAME_BYTES, pool);
}

bool
job_pools_allow_start (struct cell *c, struct job *j, const char *pool)
{
  if (has_pool (j, j->stored_pool_count, pool))
    return true;
  if (has_pool (j, j->pool_count, pool))
    return false;
  cell_log (c, "job_pool_added", j->id, "\"queue\":\"%s\",\"pool\":\"%s\"",
            j->queue, pool);
  job_pools_add (j, pool);
  jobs_mark_dirty (c, j);
  c->flush_now = true;
  return false;
}

void
job_pools_restore (struct job *j, const struct recovered_record *r)
{
  uint32_t i;

  for (i = 0; i < r->run_pool_count; i++)
    job_pools_add (j, r->run_pools[i]);
  j->sent_pool_count = j->stored_pool_count = j->pool_count;
  /* The record of the job itself names the first one.  */
  if (r->is_job)
    j->pools_known = r->run_pool_count > 0;
}
