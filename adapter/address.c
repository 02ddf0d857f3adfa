/* address.c -- parses "ip:port" addresses.  */

#include "adapter/address.h"

#include "port/types.h"

#include <arpa/inet.h>
#include <stdlib.h>
#include <string.h>

bool
address_parse (const char *text, struct sockaddr_in *a)
{
  char host[ADDRESS_BYTES];
  char *colon;
  char *end;
  unsigned long port;

  memset (a, 0, sizeof *a);
  if (!text_copy (host, sizeof host, text))
    return false;
  colon = strrchr (host, ':');
  if (colon == NULL || colon[1] < '0' || colon[1] > '9')
    return false;
  *colon = '\0';
  port = strtoul (colon + 1, &end, 10);
  if (*end != '\0' || port == 0 || port > UINT16_MAX)
    return false;
  a->sin_family = AF_INET;
  a->sin_port = htons ((uint16_t)port);
  return inet_pton (AF_INET, host, &a->sin_addr) == 1;
}
