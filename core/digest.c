/* digest.c -- hashing the fields of a state one by one.  */

#include "core/digest.h"

#include <string.h>

void
digest_add_number (crypto_generichash_state *h, uint64_t n)
{
  uint8_t bytes[8];
  uint32_t i;

  for (i = 0; i < sizeof bytes; i++)
    bytes[i] = (uint8_t)(n >> (8 * i));
  crypto_generichash_update (h, bytes, sizeof bytes);
}

void
digest_add_text (crypto_generichash_state *h, const char *text)
{
  crypto_generichash_update (h, (const uint8_t *)text, strlen (text) + 1);
}
