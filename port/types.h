/* types.h -- fixed sizes and small types shared by every module.

   Every field of a message or a record has a fixed width, and its name ends
   in its unit (_us, _ms, _bytes, _count).  */

#ifndef FTK_PORT_TYPES_H
#define FTK_PORT_TYPES_H

#include <stdbool.h>
#include <stdint.h>

/** Bytes of a name (queue, pool, team, VM) with its terminating NUL.  */
#define NAME_BYTES 48
/** Bytes of a command or idempotency id with its terminating NUL.  */
#define ID_BYTES 64
/** Bytes of an `ip:port` address with its terminating NUL.  */
#define ADDRESS_BYTES 48
/** Bytes of a key's digest.  */
#define DIGEST_BYTES 32
/** Bytes of a message shown to a person, with its terminating NUL.  */
#define TEXT_BYTES 160

#define US_PER_MS UINT64_C (1000)
#define US_PER_S UINT64_C (1000000)
#define MS_PER_S UINT64_C (1000)

/** Copies SRC into DST of SIZE bytes; returns false if it was cut.  */
bool text_copy (char *dst, uint32_t size_bytes, const char *src);

/** Ends the process: small fixed allocations do not fail on a healthy VM, and
    a member that cannot keep its state must not go on without it.  */
void out_of_memory (void) __attribute__ ((noreturn));

#endif
