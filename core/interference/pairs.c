/* pairs.c -- which images slow each other down on one VM.

   The load this answers: tasks of some images make those of others on the same
   VM slower, by an extent that differs by image and changes within seconds.
   Each ordered pair has the mean run time of the first image beside the second
   and elsewhere.  A pair interferes once the difference is large and
   significant, and on several runners: a single one may be slow by itself.  */

#include "core/interference/pairs.h"

#include <math.h>

/** Samples lose half of their weight in this time.  */
#define HALF_LIFE_US 20e6
/** A side with less weight tells nothing.  */
#define SAMPLE_MIN_WEIGHT 8.0
/** Runners that must have shown the slowdown, each with this weight.  */
#define RUNNER_MIN_COUNT 2
#define RUNNER_MIN_WEIGHT 2.0
/** A pair interferes from this slowdown on.  */
#define SLOWDOWN_MIN 0.1
/** It ceases to below this one.  */
#define SLOWDOWN_END 0.05
/** Least difference in standard errors.  Pairs are judged many times while
    samples arrive, and up to 256 of them, so that a bound for one test would
    often be exceeded by chance.  */
#define ERROR_COUNT 4.0
/** The pair ceases to interfere below this one.  */
#define ERROR_END_COUNT 2.0
/** Least variance of a sample: progress is reported in percent, and ends are
    read some time after they occur.  */
#define VARIANCE_MIN 0.0025
/** One sample counts as this at most: a task may have stood still.  */
#define RATIO_LIMIT_MILLI 4000
/** Another image was there if it was for this part of the time, and was not if
    it was for less than the second part.  Between them the sample does not
    count for the pair.  */
#define PRESENT_MILLI 500
#define ABSENT_MILLI 100
/** The pair of an image and this number has all samples of the image as those
    without the other one, and never interferes.  */
#define ALL_SAMPLES 0

static void
decay_side (struct interference_side *s, double factor)
{
  s->weight *= factor;
  s->weight_square *= factor * factor;
  s->sum *= factor;
  s->square_sum *= factor;
}

static void
decay (struct interference_pair *p, uint64_t now_us)
{
  double factor;
  int i;

  if (now_us <= p->decayed_at_us)
    return;
  factor = exp2 (-(double)(now_us - p->decayed_at_us) / HALF_LIFE_US);
  p->decayed_at_us = now_us;
  decay_side (&p->with, factor);
  decay_side (&p->without, factor);
  for (i = 0; i < INTERFERENCE_RUNNER_COUNT; i++)
    {
      p->runners[i].weight *= factor;
      p->runners[i].sum *= factor;
    }
}

static void
add (struct interference_side *s, double ratio)
{
  s->weight += 1;
  s->weight_square += 1;
  s->sum += ratio;
  s->square_sum += ratio * ratio;
}

/* Adds RATIO to the samples of P from RUNNER, which take the place of those of
   the runner with the least weight.  */
static void
add_runner (struct interference_pair *p, uint32_t runner, double ratio)
{
  struct interference_runner *least = &p->runners[0];
  int i;

  for (i = 0; i < INTERFERENCE_RUNNER_COUNT; i++)
    {
      struct interference_runner *r = &p->runners[i];

      if (r->weight > 0 && r->runner == runner)
        {
          r->weight += 1;
          r->sum += ratio;
          return;
        }
      if (r->weight < least->weight)
        least = r;
    }
  least->runner = runner;
  least->weight = 1;
  least->sum = ratio;
}

static uint32_t
find_pair (const struct interference *x, uint32_t image, uint32_t beside)
{
  uint32_t i;

  for (i = 0; i < x->pair_count; i++)
    if (x->images[i] == image && x->beside[i] == beside)
      break;
  return i;
}

/* Returns the number of a pair for IMAGE beside BESIDE, a new one if there is
   none, in place of that which was seen least recently if there are too many.
   All samples of IMAGE so far are without BESIDE, or else were long ago.  */
static uint32_t
make_pair (struct interference *x, uint32_t image, uint32_t beside,
           uint64_t now_us)
{
  struct interference_pair pair = { .decayed_at_us = now_us };
  uint32_t found = find_pair (x, image, beside);
  uint32_t all = find_pair (x, image, ALL_SAMPLES);
  uint32_t i;

  if (found < x->pair_count)
    return found;
  if (all < x->pair_count)
    {
      decay (&x->pairs[all], now_us);
      pair.without = x->pairs[all].without;
    }
  if (x->pair_count < INTERFERENCE_PAIR_LIMIT)
    found = x->pair_count++;
  else
    for (i = found = 0; i < x->pair_count; i++)
      if (x->pairs[i].seen_at_us < x->pairs[found].seen_at_us)
        found = i;
  x->active_count -= x->pairs[found].slowdown_milli > 0;
  x->pairs[found] = pair;
  x->images[found] = image;
  x->beside[found] = beside;
  return found;
}

static uint32_t
part_milli (const struct interference_sample *s, uint32_t image)
{
  uint32_t i;

  for (i = 0; i < s->neighbor_count; i++)
    if (s->neighbors[i].image == image)
      return s->neighbors[i].part_milli;
  return 0;
}

/* Counts the sample S, of RATIO, for its image beside N.  */
static void
note_neighbor (struct interference *x, uint64_t now_us,
               const struct interference_sample *s,
               const struct interference_neighbor *n, double ratio)
{
  struct interference_pair *p
      = &x->pairs[make_pair (x, s->image, n->image, now_us)];

  p->seen_at_us = now_us;
  if (n->part_milli < PRESENT_MILLI)
    return;
  decay (p, now_us);
  add (&p->with, ratio);
  add_runner (p, s->runner, ratio);
}

void
interference_note (struct interference *x, uint64_t now_us,
                   const struct interference_sample *s)
{
  double ratio = (s->ratio_milli < RATIO_LIMIT_MILLI ? s->ratio_milli
                                                     : RATIO_LIMIT_MILLI)
                 / 1000.0;
  uint32_t i;

  i = make_pair (x, s->image, ALL_SAMPLES, now_us);
  x->pairs[i].seen_at_us = now_us;
  for (i = 0; i < s->neighbor_count; i++)
    if (s->neighbors[i].image != s->image
        && s->neighbors[i].part_milli >= ABSENT_MILLI)
      note_neighbor (x, now_us, s, &s->neighbors[i], ratio);
  for (i = 0; i < x->pair_count; i++)
    if (x->images[i] == s->image
        && part_milli (s, x->beside[i]) < ABSENT_MILLI)
      {
        decay (&x->pairs[i], now_us);
        add (&x->pairs[i].without, ratio);
      }
}

static double
mean (const struct interference_side *s)
{
  return s->sum / s->weight;
}

/* Returns the square of the standard error of the mean of S.  */
static double
error_square (const struct interference_side *s)
{
  double variance = s->square_sum / s->weight - mean (s) * mean (s);

  return fmax (variance, VARIANCE_MIN) * s->weight_square
         / (s->weight * s->weight);
}

/* Returns how many runners show half of the slowdown of P or more.  */
static uint32_t
count_slow_runners (const struct interference_pair *p)
{
  double least = (mean (&p->with) + mean (&p->without)) / 2;
  uint32_t n = 0;
  int i;

  for (i = 0; i < INTERFERENCE_RUNNER_COUNT; i++)
    n += p->runners[i].weight >= RUNNER_MIN_WEIGHT
         && p->runners[i].sum >= least * p->runners[i].weight;
  return n;
}

/* Returns the slowdown of P in thousandths if it interferes; 0: it does not,
   or too little is known.  */
static uint32_t
judge (const struct interference_pair *p)
{
  bool before = p->slowdown_milli > 0;
  double least_weight = before ? SAMPLE_MIN_WEIGHT / 2 : SAMPLE_MIN_WEIGHT;
  double difference;
  double errors;

  if (p->with.weight < least_weight || p->without.weight < least_weight
      || mean (&p->without) <= 0)
    return 0;
  difference = mean (&p->with) - mean (&p->without);
  errors = difference
           / sqrt (error_square (&p->with) + error_square (&p->without));
  difference /= mean (&p->without);
  if (errors < (before ? ERROR_END_COUNT : ERROR_COUNT)
      || difference < (before ? SLOWDOWN_END : SLOWDOWN_MIN)
      || (!before && count_slow_runners (p) < RUNNER_MIN_COUNT))
    return 0;
  return (uint32_t)(difference * 1000);
}

bool
interference_next_change (struct interference *x, uint64_t now_us,
                          struct interference_change *change)
{
  uint32_t i;

  for (i = 0; i < x->pair_count; i++)
    {
      struct interference_pair *p = &x->pairs[i];
      uint32_t slowdown_milli;

      decay (p, now_us);
      slowdown_milli = judge (p);
      if ((slowdown_milli > 0) != (p->slowdown_milli > 0))
        {
          p->slowdown_milli = slowdown_milli;
          if (slowdown_milli > 0)
            x->active_count++;
          else
            x->active_count--;
          change->image = x->images[i];
          change->beside = x->beside[i];
          change->interferes = slowdown_milli > 0;
          change->slowdown_milli = slowdown_milli;
          change->sample_count
              = (uint32_t)lround (p->with.weight + p->without.weight);
          return true;
        }
      p->slowdown_milli = slowdown_milli;
    }
  return false;
}

static void
add_partner (struct interference_partners *p, uint32_t image,
             uint32_t slowdown_milli)
{
  uint32_t i;

  for (i = 0; i < p->count; i++)
    if (p->images[i] == image)
      {
        p->slowdown_milli[i] += slowdown_milli;
        return;
      }
  if (p->count == INTERFERENCE_PARTNER_LIMIT)
    return;
  p->images[p->count] = image;
  p->slowdown_milli[p->count++] = slowdown_milli;
}

void
interference_find_partners (const struct interference *x, uint32_t image,
                            struct interference_partners *p)
{
  uint32_t i;

  p->count = 0;
  for (i = 0; x->active_count > 0 && i < x->pair_count; i++)
    if (x->pairs[i].slowdown_milli > 0)
      {
        if (x->images[i] == image)
          add_partner (p, x->beside[i], x->pairs[i].slowdown_milli);
        else if (x->beside[i] == image)
          add_partner (p, x->images[i], x->pairs[i].slowdown_milli);
      }
}

uint32_t
interference_penalty (const struct interference_partners *p, uint32_t image)
{
  uint32_t i;

  for (i = 0; i < p->count; i++)
    if (p->images[i] == image)
      return p->slowdown_milli[i];
  return 0;
}
