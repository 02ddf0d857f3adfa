/* digest.h -- hashing the fields of a state one by one.  */

#ifndef FTK_CORE_DIGEST_H
#define FTK_CORE_DIGEST_H

#include <sodium.h>
#include <stdint.h>

/** Adds N to H, the same on every machine.  */
void digest_add_number (crypto_generichash_state *h, uint64_t n);

/** Adds TEXT with its end to H, so that two texts cannot run into each other.
 */
void digest_add_text (crypto_generichash_state *h, const char *text);

#endif
