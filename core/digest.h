/* digest.h -- hashing a state field by field.  */

#ifndef FTK_CORE_DIGEST_H
#define FTK_CORE_DIGEST_H

#include <sodium.h>
#include <stdint.h>

/** Adds N to H, in little-endian order on every platform.  */
void digest_add_number (crypto_generichash_state *h, uint64_t n);

/** Adds TEXT and its NUL to H, so that adjacent texts cannot be confused.  */
void digest_add_text (crypto_generichash_state *h, const char *text);

#endif
