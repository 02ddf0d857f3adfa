/* catalog.c -- the queues, pools and tenants that the cell knows.

   Before the first configuration was read, none is known.  A queue or a limit
   that a newer configuration lacks is kept as it was last configured: jobs of
   the queue were accepted and have to be done.  An owner that has started
   since takes such a queue from the records of its jobs.  */

#include "core/cell/state.h"

#include <string.h>

/** Most dropped queues that are kept.  */
#define DROPPED_LIMIT_COUNT 1024

const struct site_queue *
cell_find_queue (const struct cell *c, const char *name)
{
  const struct site_queue *q = g_hash_table_lookup (c->queues, name);

  return q != NULL || c->config == NULL
             ? q
             : g_hash_table_lookup (c->dropped_queues, name);
}

void
catalog_restore_queue (struct cell *c, const struct job *j)
{
  struct site_queue *q;

  if (!j->has_terms || j->pool_count == 0
      || cell_queue_is_configured (c, j->queue)
      || g_hash_table_contains (c->dropped_queues, j->queue))
    return;
  q = g_new0 (struct site_queue, 1);
  text_copy (q->name, NAME_BYTES, j->queue);
  text_copy (q->pool, NAME_BYTES, j->pools[j->pool_count - 1]);
  q->priority = j->terms.priority;
  q->attempt_limit = j->terms.attempt_limit;
  q->stretch_milli = j->terms.stretch_milli;
  q->objective_slack_ms = j->terms.objective_slack_ms;
  g_hash_table_insert (c->dropped_queues, q->name, q);
  cell_log (c, "queue_restored", j->id, "\"queue\":\"%s\",\"pool\":\"%s\"",
            q->name, q->pool);
}

bool
cell_queue_is_configured (const struct cell *c, const char *name)
{
  return g_hash_table_contains (c->queues, name);
}

const struct site_pool *
cell_find_pool (const struct cell *c, const char *name)
{
  uint32_t i;

  for (i = 0; c->config != NULL && i < c->config->pool_count; i++)
    if (strcmp (c->config->pools[i].name, name) == 0)
      return &c->config->pools[i];
  return NULL;
}

const struct resources *
cell_find_limit (const struct cell *c, const char *tenant)
{
  return g_hash_table_lookup (c->limits, tenant);
}

/* Returns true if a job that is not final is in queue NAME.  */
static bool
queue_has_jobs (const struct cell *c, const char *name)
{
  guint i;

  for (i = 0; i < c->active->len; i++)
    if (strcmp (((struct job *)g_ptr_array_index (c->active, i))->queue, name)
        == 0)
      return true;
  return false;
}

/* Keeps a copy of Q, which the newest configuration lacks.  */
static void
keep_dropped (struct cell *c, const struct site_queue *q)
{
  struct site_queue *copy = g_new (struct site_queue, 1);

  *copy = *q;
  g_hash_table_insert (c->dropped_queues, copy->name, copy);
}

/* Removes the dropped queues without jobs if there are too many.  */
static void
trim_dropped (struct cell *c)
{
  GHashTableIter it;
  gpointer key;

  if (g_hash_table_size (c->dropped_queues) <= DROPPED_LIMIT_COUNT)
    return;
  g_hash_table_iter_init (&it, c->dropped_queues);
  while (g_hash_table_iter_next (&it, &key, NULL))
    if (!queue_has_jobs (c, key))
      g_hash_table_iter_remove (&it);
}

static void
index_tenants (struct cell *c)
{
  uint32_t i;
  uint32_t k;

  g_hash_table_remove_all (c->keys);
  g_hash_table_remove_all (c->weights);
  for (i = 0; i < c->config->tenant_count; i++)
    {
      const struct site_tenant *t = &c->config->tenants[i];
      struct resources *limit = g_new (struct resources, 1);

      *limit = t->limit;
      g_hash_table_replace (c->limits, g_strdup (t->name), limit);
      if (t->weight > 0)
        g_hash_table_insert (c->weights, g_strdup (t->name),
                             GUINT_TO_POINTER (t->weight));
      for (k = 0; k < t->key_count; k++)
        g_hash_table_insert (c->keys, g_strdup (t->keys[k]),
                             GUINT_TO_POINTER (i + 1));
    }
}

void
catalog_set_config (struct cell *c, struct site_config *config)
{
  struct site_config *old = c->config;
  uint32_t i;

  g_hash_table_remove_all (c->queues);
  c->config = config;
  for (i = 0; i < config->queue_count; i++)
    {
      g_hash_table_insert (c->queues, config->queues[i].name,
                           &config->queues[i]);
      g_hash_table_remove (c->dropped_queues, config->queues[i].name);
    }
  for (i = 0; old != NULL && i < old->queue_count; i++)
    if (!cell_queue_is_configured (c, old->queues[i].name))
      keep_dropped (c, &old->queues[i]);
  trim_dropped (c);
  index_tenants (c);
  talloc_free (old);
}
