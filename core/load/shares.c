/* shares.c -- the order in which tenants get the room of a saturated pool.

   The load this answers: in the worst seconds several tenants send 3.6 to 6.5
   times their usual load, within their rates.  New jobs start newest first, so
   the tenant that sends most gets nearly all room, and the jobs of one that
   sends little are the oldest when room comes free.

   Start-time fair queueing: started work moves its tenant's virtual time on by
   the work divided by the tenant's weight, and the tenant whose virtual time
   is lowest is next.  A tenant that had no work waiting begins at the pool's
   virtual time, the highest start tag of started work, and so saves up
   nothing.  One that has work waiting keeps its place, also while only others
   find room, since its tasks may be the larger ones.  */

#include "core/load/shares.h"

/** Virtual times are kept for this long after the last round in which the pool
    was saturated.  Room that comes free in a surge ends the saturation for
    single rounds of 20 ms.  */
#define KEEP_US UINT64_C (1000000)

/* Share of a tenant in a pool.  */
struct tenant_share
{
  uint64_t virtual_time; /**< Start tag of its next work: core time in us
                            divided by weight.  */
  uint64_t next_tag;     /**< The same, after what was tagged this round.  */
  uint64_t tagged_round; /**< Last round in which it had work waiting.  */
};

struct pool_shares *
shares_new (void)
{
  struct pool_shares *p = g_new0 (struct pool_shares, 1);

  p->tenants = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  return p;
}

void
shares_free (struct pool_shares *p)
{
  g_hash_table_destroy (p->tenants);
  g_free (p);
}

static struct tenant_share *
find_tenant (struct pool_shares *p, const char *tenant)
{
  struct tenant_share *t = g_hash_table_lookup (p->tenants, tenant);

  if (t == NULL)
    {
      t = g_new0 (struct tenant_share, 1);
      t->virtual_time = p->virtual_time;
      g_hash_table_insert (p->tenants, g_strdup (tenant), t);
    }
  return t;
}

static uint64_t
weighted (uint64_t work_us, uint32_t weight)
{
  return work_us / MAX (weight, 1);
}

void
shares_begin_round (struct pool_shares *p)
{
  p->round++;
}

uint64_t
shares_tag (struct pool_shares *p, const char *tenant, uint32_t weight,
            uint64_t work_us)
{
  struct tenant_share *t;
  uint64_t tag;

  if (!p->saturated)
    return 0;
  t = find_tenant (p, tenant);
  if (t->tagged_round != p->round)
    {
      if (t->tagged_round + 1 != p->round)
        t->virtual_time = MAX (t->virtual_time, p->virtual_time);
      t->tagged_round = p->round;
      t->next_tag = t->virtual_time;
    }
  tag = t->next_tag;
  t->next_tag += weighted (work_us, weight);
  return tag;
}

void
shares_charge (struct pool_shares *p, const char *tenant, uint32_t weight,
               uint64_t work_us)
{
  struct tenant_share *t;

  if (!p->saturated)
    return;
  t = find_tenant (p, tenant);
  p->virtual_time = MAX (p->virtual_time, t->virtual_time);
  t->virtual_time += weighted (work_us, weight);
}

bool
shares_end_round (struct pool_shares *p, bool found_no_room, uint64_t now_us)
{
  p->saturated = found_no_room;
  if (found_no_room)
    p->saturated_at_us = now_us;
  if (now_us < p->saturated_at_us + KEEP_US)
    return true;
  g_hash_table_remove_all (p->tenants);
  p->virtual_time = 0;
  return false;
}
