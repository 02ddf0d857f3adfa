/* rendezvous.h -- rendezvous hashing of keys over members.

   Entries that know the same members compute the same order of them for a
   key.  When one member joins or leaves, only the keys for which it is first
   change their first member.  */

#ifndef FTK_CORE_RENDEZVOUS_H
#define FTK_CORE_RENDEZVOUS_H

#include <stdbool.h>
#include <stdint.h>

/** Returns the weight of INCARNATION for KEY; the highest ranks first.  */
uint64_t rendezvous_weight (const char *key, uint64_t incarnation);

/** Returns the rank of SELF for KEY among COUNT INCARNATIONS, 0 for the first,
    or COUNT if SELF is not among them.  */
uint32_t rendezvous_rank (const char *key, const uint64_t *incarnations,
                          uint32_t count, uint64_t self);

#endif
