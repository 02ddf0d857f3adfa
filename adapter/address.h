/* address.h -- "ip:port" as a socket address.  */

#ifndef FTK_ADAPTER_ADDRESS_H
#define FTK_ADAPTER_ADDRESS_H

#include <netinet/in.h>
#include <stdbool.h>

/** Parses TEXT into A; returns false if it is not "ip:port".  */
bool address_parse (const char *text, struct sockaddr_in *a);

#endif
