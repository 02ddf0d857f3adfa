/* rendezvous.c -- rendezvous hashing of keys over members.  */

#include "core/rendezvous.h"

#define FNV_BASIS UINT64_C (14695981039346656037)
#define FNV_PRIME UINT64_C (1099511628211)

/* The finalizer of SplitMix64; FNV-1a alone gives similar keys similar
   hashes.  */
static uint64_t
mix (uint64_t x)
{
  x ^= x >> 30;
  x *= UINT64_C (0xbf58476d1ce4e5b9);
  x ^= x >> 27;
  x *= UINT64_C (0x94d049bb133111eb);
  return x ^ (x >> 31);
}

uint64_t
rendezvous_weight (const char *key, uint64_t incarnation)
{
  uint64_t h = FNV_BASIS;
  const char *p;

  for (p = key; *p != '\0'; p++)
    {
      h ^= (uint8_t)*p;
      h *= FNV_PRIME;
    }
  return mix (h ^ mix (incarnation));
}

uint32_t
rendezvous_rank (const char *key, const uint64_t *incarnations, uint32_t count,
                 uint64_t self)
{
  uint64_t own = rendezvous_weight (key, self);
  uint32_t rank = 0;
  bool found = false;
  uint32_t i;

  for (i = 0; i < count; i++)
    {
      uint64_t w = rendezvous_weight (key, incarnations[i]);

      found |= incarnations[i] == self;
      if (w > own || (w == own && incarnations[i] < self))
        rank++;
    }
  return found ? rank : count;
}
