/* load_shares.c -- scripts of core/load/shares.

   {"tenants":{NAME:[WEIGHT,PER_ROUND],...},"rounds":N,"room":R,"first":NAME}
   runs N rounds from "at" on, 20 ms apart.  In each, PER_ROUND jobs of 1 s of
   core time arrive for each tenant, and the R jobs with the lowest tags start;
   of equal tags that of "first" does.  Prints how many jobs of each tenant
   started in those rounds and how many wait.
   {"free":true} has all waiting jobs start in one round.  */

#include "core/load/shares.h"
#include "tests/load_script.h"

#include <string.h>

#define TENANT_LIMIT_COUNT 4
#define JOB_US 1000000
#define ROUND_US 20000

struct tenant
{
  gchar *name;
  guint weight;
  guint waiting;
  guint started;
  guint64 tag; /* Of its first job that waits.  */
};

struct load
{
  struct pool_shares *shares;
  struct tenant tenants[TENANT_LIMIT_COUNT];
  guint tenant_count;
  gboolean idle; /* Nothing counts after the last round.  */
};

static void *
create (void)
{
  struct load *l = g_new0 (struct load, 1);

  l->shares = shares_new ();
  return l;
}

static struct tenant *
find_tenant (struct load *l, const char *name)
{
  guint i;

  for (i = 0; i < l->tenant_count; i++)
    if (strcmp (l->tenants[i].name, name) == 0)
      return &l->tenants[i];
  g_assert_cmpuint (l->tenant_count, <, TENANT_LIMIT_COUNT);
  l->tenants[l->tenant_count].name = g_strdup (name);
  return &l->tenants[l->tenant_count++];
}

/* Returns the tenant whose first waiting job is next, or NULL.  */
static struct tenant *
find_next (struct load *l, const char *first)
{
  struct tenant *best = NULL;
  guint i;

  for (i = 0; i < l->tenant_count; i++)
    {
      struct tenant *t = &l->tenants[i];

      if (t->waiting > 0
          && (best == NULL || t->tag < best->tag
              || (t->tag == best->tag && g_strcmp0 (t->name, first) == 0)))
        best = t;
    }
  return best;
}

static void
run_round (struct load *l, guint room, const char *first, guint64 at_us)
{
  struct tenant *t;
  guint i;

  shares_begin_round (l->shares);
  for (i = 0; i < l->tenant_count; i++)
    if (l->tenants[i].waiting > 0)
      l->tenants[i].tag = shares_tag (l->shares, l->tenants[i].name,
                                      l->tenants[i].weight, JOB_US);
  for (i = 0; i < room && (t = find_next (l, first)) != NULL; i++)
    {
      shares_charge (l->shares, t->name, t->weight, JOB_US);
      t->waiting--;
      t->started++;
      t->tag = shares_tag (l->shares, t->name, t->weight, JOB_US);
    }
  l->idle = !shares_end_round (l->shares, find_next (l, first) != NULL, at_us);
}

static void
run_line (void *state, const json_t *line, guint64 at_us, GString *out)
{
  struct load *l = state;
  const char *first = json_string_value (json_object_get (line, "first"));
  guint rounds = (guint)json_integer_value (json_object_get (line, "rounds"));
  guint room = (guint)json_integer_value (json_object_get (line, "room"));
  json_t *tenants = json_object_get (line, "tenants");
  const char *name;
  json_t *value;
  guint i;

  if (json_is_true (json_object_get (line, "free")))
    run_round (l, G_MAXUINT, first, at_us);
  for (i = 0; i < rounds; i++)
    {
      json_object_foreach (tenants, name, value)
      {
        struct tenant *t = find_tenant (l, name);

        t->weight = (guint)json_integer_value (json_array_get (value, 0));
        t->waiting += (guint)json_integer_value (json_array_get (value, 1));
      }
      run_round (l, room, first, at_us + i * ROUND_US);
    }
  for (i = 0; i < l->tenant_count; i++)
    {
      g_string_append_printf (out, "  %s started %u waiting %u\n",
                              l->tenants[i].name, l->tenants[i].started,
                              l->tenants[i].waiting);
      l->tenants[i].started = 0;
    }
  g_string_append_printf (out, "  idle %s\n", l->idle ? "true" : "false");
}

static void
destroy (void *state)
{
  struct load *l = state;
  guint i;

  for (i = 0; i < l->tenant_count; i++)
    g_free (l->tenants[i].name);
  shares_free (l->shares);
  g_free (l);
}

const struct load_module load_shares = {
  .name = "shares_", .create = create, .run_line = run_line, .destroy = destroy
};
