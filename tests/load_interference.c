/* load_interference.c -- scripts of core/interference/pairs.

   Images and runners are numbers, times are in ms.
   {"samples":{"image":A,"runners":[...],"ratio":R,"beside":[...],"each_ms":T,
   "for_ms":T,"noise":N,"part":P}} counts one each T ms, by turns on the
   runners, whose ratios, in thousandths, differ from R by up to N at random;
   the others are there for P thousandths of the time, 1000 by default.
   Changes are printed at the time at which pairs are judged, each 500 ms.
   {"judge_for_ms":T} judges without samples.
   {"avoid":A,"runner":[...]} prints the penalty of a task of A on a runner
   that has tasks of the images listed.
   {"fill":N} counts a sample of each of N pairs of images of their own.  */

#include "core/interference/pairs.h"
#include "tests/load_script.h"

#define JUDGE_MS 500

struct run
{
  struct interference x;
  guint64 judged_at_us;
  guint64 random;
};

static void *
create (void)
{
  struct run *r = g_new0 (struct run, 1);

  r->random = 88172645463325252u;
  return r;
}

static guint64
number_of (const json_t *j, const char *name)
{
  return (guint64)json_integer_value (json_object_get (j, name));
}

/* Returns a number from -N to N.  */
static gint64
noise (struct run *r, guint64 n)
{
  r->random ^= r->random << 13;
  r->random ^= r->random >> 7;
  r->random ^= r->random << 17;
  return (gint64)((r->random >> 16) % (2 * n + 1)) - (gint64)n;
}

static void
judge (struct run *r, guint64 at_us, GString *out)
{
  struct interference_change x;

  if (at_us < r->judged_at_us + JUDGE_MS * 1000)
    return;
  r->judged_at_us = at_us;
  while (interference_next_change (&r->x, at_us, &x))
    g_string_append_printf (
        out, "  %u %s: image %u beside %u, slowdown %u, samples %u\n",
        (guint)(at_us / 1000), x.interferes ? "interfere" : "compatible",
        x.image, x.beside, x.slowdown_milli, x.sample_count);
}

static void
set_beside (struct interference_sample *s, const json_t *beside, guint32 part)
{
  const json_t *v;
  size_t i;

  s->neighbor_count = 0;
  json_array_foreach (beside, i, v)
  {
    s->neighbors[s->neighbor_count].image = (guint32)json_integer_value (v);
    s->neighbors[s->neighbor_count++].part_milli = part;
  }
}

static void
run_samples (struct run *r, const json_t *j, guint64 at_us, GString *out)
{
  const json_t *runners = json_object_get (j, "runners");
  const json_t *part = json_object_get (j, "part");
  struct interference_sample s = { .image = (guint32)number_of (j, "image") };
  guint64 ms;
  size_t n = 0;

  set_beside (&s, json_object_get (j, "beside"),
              part != NULL ? (guint32)json_integer_value (part) : 1000);
  for (ms = 0; ms < number_of (j, "for_ms"); ms += number_of (j, "each_ms"))
    {
      s.runner = (guint32)json_integer_value (
          json_array_get (runners, n++ % json_array_size (runners)));
      s.ratio_milli = (guint32)((gint64)number_of (j, "ratio")
                                + noise (r, number_of (j, "noise")));
      interference_note (&r->x, at_us + ms * 1000, &s);
      judge (r, at_us + ms * 1000, out);
    }
}

static void
run_avoid (struct run *r, const json_t *line, GString *out)
{
  struct interference_partners p;
  const json_t *v;
  guint32 n = 0;
  size_t i;

  interference_find_partners (&r->x, (guint32)number_of (line, "avoid"), &p);
  json_array_foreach (json_object_get (line, "runner"), i, v) n
      += interference_penalty (&p, (guint32)json_integer_value (v));
  g_string_append_printf (out, "  penalty %u\n", n);
}

static void
run_fill (struct run *r, guint64 count, guint64 at_us, GString *out)
{
  struct interference_sample s = { .runner = 1, .ratio_milli = 1000 };
  guint64 i;

  s.neighbor_count = 1;
  s.neighbors[0].part_milli = 1000;
  for (i = 0; i < count; i++)
    {
      s.image = (guint32)(1000 + 2 * i);
      s.neighbors[0].image = s.image + 1;
      interference_note (&r->x, at_us + i, &s);
    }
  g_string_append_printf (out, "  pairs %u\n", r->x.pair_count);
}

static void
run_line (void *state, const json_t *line, guint64 at_us, GString *out)
{
  struct run *r = state;
  guint64 for_ms = number_of (line, "judge_for_ms");
  guint64 ms;

  if (json_object_get (line, "samples") != NULL)
    run_samples (r, json_object_get (line, "samples"), at_us, out);
  else if (json_object_get (line, "avoid") != NULL)
    run_avoid (r, line, out);
  else if (json_object_get (line, "fill") != NULL)
    run_fill (r, number_of (line, "fill"), at_us, out);
  for (ms = 0; ms < for_ms; ms += JUDGE_MS)
    judge (r, at_us + ms * 1000, out);
}

static void
destroy (void *state)
{
  g_free (state);
}

const struct load_module load_interference = { .name = "interference_",
                                               .create = create,
                                               .run_line = run_line,
                                               .destroy = destroy };
