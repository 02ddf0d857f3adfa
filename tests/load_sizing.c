/* load_sizing.c -- scripts of core/load/arrivals and core/load/peaks.

   {"arrivals":{"per_s":R,"work_ms":W,"for_ms":T}} has R jobs a second of W ms
   of core time arrive evenly, and prints every 200 ms the cores that they keep
   busy and those that the estimate tells.
   {"peaks":[[INITIAL,PEAK],...],"initial":N} prints the VMs that a surge of a
   pool of N VMs is expected to need.  */

#include "core/load/arrivals.h"
#include "core/load/peaks.h"
#include "tests/load_script.h"

#define PRINT_MS 200

static void *
create (void)
{
  return g_new0 (struct arrivals, 1);
}

static guint64
number_of (const json_t *j, const char *name)
{
  return (guint64)json_integer_value (json_object_get (j, name));
}

static void
run_arrivals (struct arrivals *a, const json_t *load, guint64 at_us,
              GString *out)
{
  guint64 per_s = number_of (load, "per_s");
  guint64 work_us = number_of (load, "work_ms") * 1000;
  guint64 for_ms = number_of (load, "for_ms");
  guint64 ms;

  for (ms = 0; ms < for_ms; ms++)
    {
      if (ms * per_s / 1000 != (ms + 1) * per_s / 1000)
        arrivals_note (a, at_us + ms * 1000, work_us);
      if ((ms + 1) % PRINT_MS == 0)
        g_string_append_printf (
            out, "  %u busy %.1f estimate %.1f\n",
            (guint)(at_us / 1000 + ms + 1), (double)(per_s * work_us) / 1e6,
            (double)arrivals_cores_milli (a, at_us + (ms + 1) * 1000) / 1000);
    }
}

static void
run_peaks (const json_t *pools, guint64 initial, GString *out)
{
  struct peaks p = { 0 };
  const json_t *row;
  size_t i;

  json_array_foreach (pools, i, row)
      peaks_add (&p, (uint32_t)json_integer_value (json_array_get (row, 0)),
                 (uint32_t)json_integer_value (json_array_get (row, 1)));
  g_string_append_printf (out, "  expects %u VMs\n",
                          peaks_expect (&p, (uint32_t)initial));
}

static void
run_line (void *state, const json_t *line, guint64 at_us, GString *out)
{
  const json_t *load = json_object_get (line, "arrivals");

  if (load != NULL)
    run_arrivals (state, load, at_us, out);
  else
    run_peaks (json_object_get (line, "peaks"), number_of (line, "initial"),
               out);
}

static void
destroy (void *state)
{
  g_free (state);
}

const struct load_module load_sizing = {
  .name = "sizing_", .create = create, .run_line = run_line, .destroy = destroy
};
