/* ledger.c -- one member's account of the tokens that it moved.  */

#include "core/ledger.h"

#include <string.h>

struct ledger *
ledger_new (TALLOC_CTX *mem)
{
  struct ledger *l = talloc_zero (mem, struct ledger);

  if (l == NULL)
    out_of_memory ();
  return l;
}

static int64_t *
grow_array (TALLOC_CTX *mem, int64_t *a, uint32_t old, uint32_t count)
{
  a = talloc_realloc (mem, a, int64_t, count);
  if (a == NULL)
    out_of_memory ();
  memset (a + old, 0, (count - old) * sizeof *a);
  return a;
}

void
ledger_grow (struct ledger *l, uint32_t limit_count)
{
  uint32_t i;

  if (limit_count <= l->limit_count)
    return;
  l->net = grow_array (l, l->net, l->limit_count, limit_count);
  for (i = 0; i < l->link_count; i++)
    l->links[i]->net = grow_array (l->links[i], l->links[i]->net,
                                   l->limit_count, limit_count);
  l->limit_count = limit_count;
}

struct ledger_link *
ledger_link_find (const struct ledger *l, uint64_t peer)
{
  uint32_t i;

  for (i = 0; i < l->link_count; i++)
    if (l->links[i]->peer == peer)
      return l->links[i];
  return NULL;
}

struct ledger_link *
ledger_link_get (struct ledger *l, uint64_t peer)
{
  struct ledger_link *k = ledger_link_find (l, peer);

  if (k != NULL)
    return k;
  k = talloc_zero (l, struct ledger_link);
  l->links
      = talloc_realloc (l, l->links, struct ledger_link *, l->link_count + 1);
  if (k == NULL || l->links == NULL)
    out_of_memory ();
  k->peer = peer;
  k->net = talloc_zero_array (k, int64_t, l->limit_count);
  l->links[l->link_count++] = k;
  return k;
}

static void
keep_unacked (struct ledger_link *k, uint32_t limit, uint32_t count)
{
  struct ledger_transfer *t;

  if (k->unacked_count == k->unacked_capacity)
    {
      k->unacked_capacity = k->unacked_capacity * 2 + 16;
      k->unacked = talloc_realloc (k, k->unacked, struct ledger_transfer,
                                   k->unacked_capacity);
      if (k->unacked == NULL)
        out_of_memory ();
    }
  t = &k->unacked[k->unacked_count++];
  t->sequence = k->sent_sequence;
  t->limit = limit;
  t->token_count = count;
}

uint64_t
ledger_give (struct ledger *l, struct ledger_link *k, uint32_t limit,
             uint32_t count)
{
  k->sent_sequence++;
  k->net[limit] -= count;
  l->net[limit] -= count;
  l->transfer_count++;
  keep_unacked (k, limit, count);
  return k->sent_sequence;
}

bool
ledger_is_credited (const struct ledger_link *k, uint64_t sequence)
{
  uint64_t place = sequence - k->received_sequence - 1;

  if (sequence <= k->received_sequence)
    return true;
  return place < LEDGER_WINDOW_COUNT && (k->ahead_bits >> place & 1) != 0;
}

bool
ledger_credit (struct ledger *l, struct ledger_link *k, uint64_t sequence,
               uint32_t limit, uint32_t count)
{
  if (k->closed)
    return false;
  k->ack_due = true;
  if (ledger_is_credited (k, sequence)
      || sequence > k->received_sequence + LEDGER_WINDOW_COUNT)
    return false;
  k->ahead_bits |= UINT64_C (1) << (sequence - k->received_sequence - 1);
  while ((k->ahead_bits & 1) != 0)
    {
      k->ahead_bits >>= 1;
      k->received_sequence++;
    }
  k->net[limit] += count;
  l->net[limit] += count;
  return true;
}

void
ledger_acknowledge (struct ledger_link *k, uint64_t sequence)
{
  uint32_t n = 0;

  while (n < k->unacked_count && k->unacked[n].sequence <= sequence)
    n++;
  k->unacked_count -= n;
  memmove (k->unacked, k->unacked + n, k->unacked_count * sizeof *k->unacked);
}

void
ledger_remove_link (struct ledger *l, struct ledger_link *k)
{
  uint32_t i;

  for (i = 0; i < l->limit_count; i++)
    l->net[i] -= k->net[i];
  for (i = 0; l->links[i] != k; i++)
    ;
  l->links[i] = l->links[--l->link_count];
  talloc_free (k);
}

bool
ledger_audit (const struct ledger *l)
{
  uint32_t i;
  uint32_t k;

  for (i = 0; i < l->limit_count; i++)
    {
      int64_t sum = 0;

      for (k = 0; k < l->link_count; k++)
        sum += l->links[k]->net[i];
      if (sum != l->net[i])
        return false;
    }
  return true;
}
