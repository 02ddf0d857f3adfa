/* load_forecast.c -- scripts of core/load/forecast and core/load/admission.

   {"begin":true,"held":M} begins a forecast of which M cores are held.
   {"vms":N,"cores":C,"from":T,"gap":G} adds N VMs of C cores, the first from T
   ms on, each G ms after the one before.
   {"learn":MS} adds a sample of a delay and prints its mean.
   {"cores_at":T} prints the cores that are offered at T ms.
   {"work":W} prints when W core-seconds are done.
   {"job":{"age":A,"chain":C,"objective":O,"value":V,"work":W,"in_time":I,
   "owed":B}} prints the decision about a job, times in ms and work in
   core-seconds.  If accepted, "add":true adds its work to what is owed. */

#include "core/load/admission.h"
#include "tests/load_script.h"

#define US_A_MS 1000
/** Thousandths of a core times us in a core-second.  */
#define WORK_A_CORE_S UINT64_C (1000000000)

struct state
{
  struct forecast forecast;
  struct forecast_delay delay;
  struct admission_backlog added;
};

static void *
create (void)
{
  return g_new0 (struct state, 1);
}

static guint64
number_of (const json_t *j, const char *name)
{
  return (guint64)json_integer_value (json_object_get (j, name));
}

static void
run_job (struct state *s, const json_t *line, guint64 at_us, GString *out)
{
  const json_t *j = json_object_get (line, "job");
  struct admission_job a
      = { .arrived_at_us = at_us - number_of (j, "age") * US_A_MS,
          .chain_us = number_of (j, "chain") * US_A_MS,
          .objective_us = number_of (j, "objective") * US_A_MS,
          .value_us = number_of (j, "value") * US_A_MS,
          .work = number_of (j, "work") * WORK_A_CORE_S };
  struct admission_backlog b
      = { .in_time
          = s->added.in_time + number_of (j, "in_time") * WORK_A_CORE_S,
          .all = s->added.all + number_of (j, "owed") * WORK_A_CORE_S };
  struct admission_verdict v = admission_decide (&s->forecast, &b, &a, at_us);

  if (!v.known)
    g_string_append (out, "  accepted, end not known\n");
  else if (v.refused)
    g_string_append_printf (out, "  refused, room in %u ms\n",
                            (guint)(v.room_us / US_A_MS));
  else
    g_string_append_printf (out, "  accepted, ends after %u ms\n",
                            (guint)(v.end_us / US_A_MS));
  if (!v.refused && json_is_true (json_object_get (line, "add")))
    {
      s->added.in_time += a.work;
      s->added.all += a.work;
    }
}

static void
run_line (void *state, const json_t *line, guint64 at_us, GString *out)
{
  struct state *s = state;

  if (json_object_get (line, "begin") != NULL)
    forecast_begin (&s->forecast, at_us, number_of (line, "held") * 1000);
  else if (json_object_get (line, "vms") != NULL)
    forecast_add_series (&s->forecast, number_of (line, "from") * US_A_MS,
                         number_of (line, "gap") * US_A_MS,
                         (guint32)number_of (line, "vms"),
                         number_of (line, "cores") * 1000);
  else if (json_object_get (line, "learn") != NULL)
    {
      forecast_learn (&s->delay, number_of (line, "learn") * US_A_MS);
      g_string_append_printf (
          out, "  mean %u ms\n",
          (guint)(forecast_delay_us (&s->delay, 0) / US_A_MS));
    }
  else if (json_object_get (line, "cores_at") != NULL)
    g_string_append_printf (
        out, "  %u cores\n",
        (guint)(forecast_cores_milli (&s->forecast,
                                      number_of (line, "cores_at") * US_A_MS)
                / 1000));
  else if (json_object_get (line, "work") != NULL)
    {
      guint64 done_at_us = forecast_done_at_us (
          &s->forecast, at_us, number_of (line, "work") * WORK_A_CORE_S);

      if (done_at_us == FORECAST_NEVER)
        g_string_append (out, "  never done\n");
      else
        g_string_append_printf (out, "  done at %u ms\n",
                                (guint)(done_at_us / US_A_MS));
    }
  else
    run_job (s, line, at_us, out);
}

static void
destroy (void *state)
{
  g_free (state);
}

const struct load_module load_forecast = { .name = "forecast_",
                                           .create = create,
                                           .run_line = run_line,
                                           .destroy = destroy };
