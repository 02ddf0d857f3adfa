/* address.h -- parses "ip:port" addresses.  */

#ifndef FTK_ADAPTER_ADDRESS_H
#define FTK_ADAPTER_ADDRESS_H

#include <netinet/in.h>
#include <stdbool.h>

/** Parses TEXT, an IPv4 address and a port such as "127.0.0.1:80", into A;
    returns false if it is malformed.  */
bool address_parse (const char *text, struct sockaddr_in *a);

#endif
