/* types.h -- sizes and helpers shared by every module.

   Fields of messages and records have fixed-width types, and names of
   quantities end in their unit (_us, _ms, _bytes, _count).  */

#ifndef FTK_PORT_TYPES_H
#define FTK_PORT_TYPES_H

#include <stdbool.h>
#include <stdint.h>

/** Size of a queue, pool, team or VM name, including the NUL.  */
#define NAME_BYTES 48
/** Size of a command id or idempotency key, including the NUL.  */
#define ID_BYTES 64
/** Size of an `ip:port` address, including the NUL.  */
#define ADDRESS_BYTES 48
/** Size of the digest of a key or of a state.  */
#define DIGEST_BYTES 32
/** Size of a message shown to a person, including the NUL.  */
#define TEXT_BYTES 160

#define US_PER_MS UINT64_C (1000)
#define US_PER_S UINT64_C (1000000)
#define MS_PER_S UINT64_C (1000)

/** Copies SRC into the SIZE_BYTES bytes at DST, pads with NULs, and returns
    false if SRC was truncated.  */
bool text_copy (char *dst, uint32_t size_bytes, const char *src);

/** Prints a message and aborts the process.  Small allocations do not fail on
    a healthy VM, and a member that cannot store its state must not go on
    without it.  */
void out_of_memory (void) __attribute__ ((noreturn));

#endif
