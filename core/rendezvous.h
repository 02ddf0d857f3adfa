/* rendezvous.h -- rendezvous hashing of keys over members.

   All readers that hold the same members compute the same order, and a change
   of one member moves only the keys that it was first for.  */

#ifndef FTK_CORE_RENDEZVOUS_H
#define FTK_CORE_RENDEZVOUS_H

#include <stdbool.h>
#include <stdint.h>

/** Returns the weight of INCARNATION for KEY; the highest is first.  */
uint64_t rendezvous_weight (const char *key, uint64_t incarnation);

/** Returns the rank of SELF for KEY among COUNT INCARNATIONS: 0 is first.
    COUNT if SELF is not among them.  */
uint32_t rendezvous_rank (const char *key, const uint64_t *incarnations,
                          uint32_t count, uint64_t self);

#endif
