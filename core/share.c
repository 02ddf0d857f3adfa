/* share.c -- weighted max-min division of pools under ceilings.

   Matrices by pool and team are stored row by row, a row per pool.  */

#include "core/share.h"

#include "port/types.h"

/** Most rounds in which capacity freed by ceilings goes to other teams.  */
#define CEILING_ROUND_COUNT 4

static uint32_t
demand_of (const struct share_problem *p, uint32_t member, uint32_t pool,
           uint32_t team)
{
  return p
      ->demand_count[(member * p->pool_count + pool) * p->team_count + team];
}

/* Divides the CAPACITY of one pool by weight: team T gets at most CAP[T],
   stored in X[T].  Each round satisfies at least one team or uses up the
   capacity.  */
static void
fill_pool (const struct share_problem *p, double capacity, const double *cap,
           double *x)
{
  uint32_t round;
  uint32_t t;

  for (t = 0; t < p->team_count; t++)
    x[t] = 0;
  for (round = 0; round < p->team_count && capacity > 1e-9; round++)
    {
      double weights = 0;
      double used = 0;

      for (t = 0; t < p->team_count; t++)
        if (x[t] < cap[t])
          weights += p->weight[t];
      if (weights <= 0)
        return;
      for (t = 0; t < p->team_count; t++)
        {
          double part = capacity * p->weight[t] / weights;

          if (x[t] >= cap[t])
            continue;
          if (part > cap[t] - x[t])
            part = cap[t] - x[t];
          x[t] += part;
          used += part;
        }
      capacity -= used;
    }
}

/* If the pools together give team T more than its ceiling, scales its caps
   down to the ceiling and returns true.  */
static bool
apply_ceiling (const struct share_problem *p, uint32_t t, const double *x,
               double *cap)
{
  double sum = 0;
  uint32_t i;

  for (i = 0; i < p->pool_count; i++)
    sum += x[i * p->team_count + t];
  if (sum <= p->ceiling_count[t] + 1e-9)
    return false;
  for (i = 0; i < p->pool_count; i++)
    cap[i * p->team_count + t]
        = x[i * p->team_count + t] * p->ceiling_count[t] / sum;
  return true;
}

/* Divides every pool, and again while some ceiling is exceeded: what a capped
   team gave up goes to the others.  */
static void
allocate (const struct share_problem *p, double *cap, double *x)
{
  uint32_t round;
  uint32_t i;

  for (round = 0; round < CEILING_ROUND_COUNT; round++)
    {
      bool exceeded = false;

      for (i = 0; i < p->pool_count; i++)
        fill_pool (p, p->capacity_count[i], &cap[i * p->team_count],
                   &x[i * p->team_count]);
      for (i = 0; i < p->team_count; i++)
        if (apply_ceiling (p, i, x, cap))
          exceeded = true;
      if (!exceeded)
        return;
    }
  for (i = 0; i < p->pool_count; i++)
    fill_pool (p, p->capacity_count[i], &cap[i * p->team_count],
               &x[i * p->team_count]);
}

/* Rounds the COUNT numbers of REAL and stores them in OUT, STRIDE elements
   apart.  Their sum is rounded down, and the numbers with the largest
   fractions are rounded up to reach it.  1e-6 is added before rounding down,
   so that a floating-point error does not lose a whole token.  Overwrites
   REAL.  */
static void
round_column (double *real, uint32_t count, uint32_t *out, uint32_t stride)
{
  double sum = 1e-6;
  uint32_t rest;
  uint32_t i;

  for (i = 0; i < count; i++)
    sum += real[i];
  rest = (uint32_t)sum;
  for (i = 0; i < count; i++)
    {
      out[i * stride] = (uint32_t)(real[i] + 1e-6);
      real[i] -= out[i * stride];
      rest -= out[i * stride];
    }
  /* The added 1e-6 may make the rounded numbers exceed the rounded sum; REST
     has then wrapped around and is larger than COUNT.  */
  for (; rest > 0 && rest <= count; rest--)
    {
      uint32_t best = 0;

      for (i = 1; i < count; i++)
        if (real[i] > real[best] + 1e-9)
          best = i;
      out[best * stride]++;
      real[best] -= 1;
    }
}

/* Divides what TEAM is ALLOCATED in POOL among the members by their demand,
   which sums to TOTAL.  Adds each member's part to its sums in POOL_PART and
   TEAM_PART, and stores member 0's part in OWN.  */
static void
split_pair (const struct share_problem *p, uint32_t pool, uint32_t team,
            double allocated, double total, double *own, double *pool_part,
            double *team_part)
{
  uint32_t m;

  for (m = 0; m < p->member_count; m++)
    {
      double part = allocated * demand_of (p, m, pool, team) / total;

      pool_part[pool * p->member_count + m] += part;
      team_part[team * p->member_count + m] += part;
      if (m == 0)
        own[pool * p->team_count + team] = part;
    }
}

static void
split_over_members (const struct share_problem *p, const double *total,
                    struct share_target *s)
{
  double *pool_part
      = talloc_zero_array (s, double, p->pool_count * p->member_count + 1);
  double *team_part
      = talloc_zero_array (s, double, p->team_count * p->member_count + 1);
  uint32_t i;
  uint32_t t;

  for (i = 0; i < p->pool_count; i++)
    for (t = 0; t < p->team_count; t++)
      if (total[i * p->team_count + t] > 0)
        split_pair (p, i, t, s->allocation[i * p->team_count + t],
                    total[i * p->team_count + t], s->own_allocation, pool_part,
                    team_part);
  for (i = 0; i < p->pool_count; i++)
    round_column (&pool_part[i * p->member_count], p->member_count,
                  &s->pool_slot_count[i], p->pool_count);
  for (t = 0; t < p->team_count; t++)
    round_column (&team_part[t * p->member_count], p->member_count,
                  &s->team_token_count[t], p->team_count);
  talloc_free (pool_part);
  talloc_free (team_part);
}

static void
sum_demand (const struct share_problem *p, double *total)
{
  uint32_t pair_count = p->pool_count * p->team_count;
  uint32_t m;
  uint32_t i;

  for (m = 0; m < p->member_count; m++)
    for (i = 0; i < pair_count; i++)
      total[i] += p->demand_count[m * pair_count + i];
}

static void
find_contended (const struct share_problem *p, const double *total,
                struct share_target *s)
{
  uint32_t i;
  uint32_t t;

  for (i = 0; i < p->pool_count; i++)
    {
      double sum = 0;

      for (t = 0; t < p->team_count; t++)
        sum += total[i * p->team_count + t];
      s->pool_contended[i] = sum > p->capacity_count[i];
    }
  for (t = 0; t < p->team_count; t++)
    {
      double sum = 0;

      for (i = 0; i < p->pool_count; i++)
        sum += s->allocation[i * p->team_count + t];
      s->team_contended[t] = sum > p->ceiling_count[t] - 0.5;
    }
}

struct share_target *
share_compute (TALLOC_CTX *mem, const struct share_problem *p)
{
  struct share_target *s = talloc_zero (mem, struct share_target);
  uint32_t pair_count = p->pool_count * p->team_count;
  double *total;
  double *cap;

  if (s == NULL)
    out_of_memory ();
  total = talloc_zero_array (s, double, pair_count + 1);
  cap = talloc_zero_array (s, double, pair_count + 1);
  s->own_allocation = talloc_zero_array (s, double, pair_count + 1);
  s->allocation = talloc_zero_array (s, double, pair_count + 1);
  s->team_token_count
      = talloc_zero_array (s, uint32_t, p->member_count * p->team_count + 1);
  s->pool_slot_count
      = talloc_zero_array (s, uint32_t, p->member_count * p->pool_count + 1);
  s->team_contended = talloc_zero_array (s, bool, p->team_count + 1);
  s->pool_contended = talloc_zero_array (s, bool, p->pool_count + 1);
  sum_demand (p, total);
  sum_demand (p, cap);
  allocate (p, cap, s->allocation);
  find_contended (p, total, s);
  split_over_members (p, total, s);
  talloc_free (total);
  talloc_free (cap);
  return s;
}
