/* soak_plan.c -- the script of a seed.  */

#include "tests/soak.h"

#include "tests/soak_client.h"
#include "tests/soak_proxy.h"

#include <stdlib.h>
#include <string.h>

#define LEAST_ENTRY_COUNT 3
#define FIRST_FAULT_MS 2000
/** The last stop begins by then.  */
#define LAST_FAULT_MS 16000u
/** From the last fault to the end: a stop, and a new process.  */
#define SETTLE_MS 9000u

/* A line of the plan, which is sorted by time.  */
struct step
{
  guint at_ms;
  gchar *text;
};

struct plan
{
  GRand *random;
  guint entry_count;
  GArray *steps;
};

static guint
between (struct plan *p, guint low, guint high)
{
  return (guint)g_rand_int_range (p->random, (gint32)low, (gint32)high + 1);
}

static void G_GNUC_PRINTF (3, 4)
    add (struct plan *p, guint at_ms, const gchar *format, ...)
{
  struct step s = { .at_ms = at_ms };
  va_list list;

  va_start (list, format);
  s.text = g_strdup_vprintf (format, list);
  va_end (list);
  g_array_append_val (p->steps, s);
}

static void
add_clients (struct plan *p)
{
  guint i;

  for (i = 0; i < p->entry_count; i++)
    add (p, 0,
         "\"client\":\"asks\",\"entry\":%u,\"count\":8,\"gap\":%u,"
         "\"step\":%u",
         i, between (p, 0, 900), between (p, 100, 500));
  add (p, 0, "\"client\":\"submits\",\"count\":3,\"gap\":%u",
       between (p, 200, 900));
  for (i = 0; i < p->entry_count; i++)
    add (p, between (p, 0, LAST_FAULT_MS),
         "\"client\":\"%s\",\"entry\":%u,\"count\":%u",
         soak_kind_name (
             (enum soak_kind)between (p, SOAK_SLOW_BODY, SOAK_KIND_COUNT - 1)),
         between (p, 0, p->entry_count - 1), between (p, 1, 3));
}

/* Stops all entries, in a random order, one after the other.  */
static void
add_roll (struct plan *p, guint at_ms)
{
  guint first = between (p, 0, p->entry_count - 1);
  guint gap_ms = between (p, 200, 1500);
  guint back_ms = between (p, 0, 600);
  guint i;

  for (i = 0; i < p->entry_count; i++)
    add (p, MIN (at_ms + i * gap_ms, LAST_FAULT_MS), "\"stop\":%u,\"back\":%u",
         (first + i) % p->entry_count, back_ms);
}

static void
add_fault (struct plan *p)
{
  guint at_ms = between (p, FIRST_FAULT_MS, LAST_FAULT_MS);
  guint entry = between (p, 0, p->entry_count - 1);
  guint i;

  switch (between (p, 0, 4))
    {
    case 0:
      add (p, at_ms, "\"kill\":%u,\"back\":%u", entry, between (p, 0, 1500));
      break;
    case 1:
      add (p, at_ms, "\"pause\":%u,\"for\":%u", entry, between (p, 200, 5000));
      break;
    case 2:
      add (p, at_ms, "\"reload\":%u", entry);
      break;
    case 3:
      add (p, at_ms, "\"store\":%u,\"mode\":\"%s\",\"delay\":%u,\"for\":%u",
           entry,
           proxy_mode_name ((enum proxy_mode)between (p, PROXY_DELAY,
                                                      PROXY_MODE_COUNT - 1)),
           between (p, 50, 400), between (p, 500, 6000));
      break;
    case 4:
      for (i = 0; i < p->entry_count; i++)
        add (p, at_ms, "\"store\":%u,\"mode\":\"%s\",\"for\":%u", i,
             proxy_mode_name (PROXY_SILENT), 3000);
      break;
    }
}

static gint
compare_steps (gconstpointer a, gconstpointer b)
{
  const struct step *x = a;
  const struct step *y = b;

  return x->at_ms < y->at_ms ? -1 : x->at_ms > y->at_ms;
}

gchar *
soak_plan (guint seed, guint entry_limit)
{
  struct plan p
      = { .random = g_rand_new_with_seed (seed),
          .steps = g_array_new (FALSE, FALSE, sizeof (struct step)) };
  GString *out = g_string_new (NULL);
  guint n;
  guint i;

  p.entry_count = between (&p, LEAST_ENTRY_COUNT, entry_limit);
  g_string_append_printf (out, "{\"at\":0,\"entries\":%u}\n", p.entry_count);
  add_clients (&p);
  for (n = between (&p, 1, 3); n > 0; n--)
    add_roll (&p, between (&p, FIRST_FAULT_MS, LAST_FAULT_MS / 2));
  /* A third of the seeds has planned work only, in which most must hold.  */
  for (n = seed % 3 == 0 ? 0 : between (&p, 1, 4); n > 0; n--)
    add_fault (&p);
  g_array_sort (p.steps, compare_steps);
  for (i = 0; i < p.steps->len; i++)
    {
      struct step *s = &g_array_index (p.steps, struct step, i);

      g_string_append_printf (out, "{\"at\":%u,%s}\n", s->at_ms, s->text);
      g_free (s->text);
    }
  g_string_append_printf (out, "{\"at\":%u,\"end\":true}\n",
                          LAST_FAULT_MS + SETTLE_MS);
  g_array_free (p.steps, TRUE);
  g_rand_free (p.random);
  return g_string_free (out, FALSE);
}
