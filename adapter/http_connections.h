/* http_connections.h -- the open connections of an HTTP client, by the host
   and port that they lead to.  */

#ifndef FTK_ADAPTER_HTTP_CONNECTIONS_H
#define FTK_ADAPTER_HTTP_CONNECTIONS_H

#include "adapter/http_client.h"

/** Bytes of a host and port with the terminating NUL.  */
#define AUTHORITY_BYTES 280

struct http_connection
{
  struct http_connection *next; /**< To the same authority.  */
  int fd;
  uint16_t local_port; /**< 0: not known yet.  */
  bool busy;           /**< A call uses it.  */
  uint64_t used_at_us; /**< When the last call that used it ended.  */
  char tag[HTTP_TAG_BYTES];
  char authority[AUTHORITY_BYTES];
};

struct http_connections;

/** Returns an empty set as a child of MEM, or NULL when memory is out.  */
struct http_connections *http_connections_new (TALLOC_CTX *mem);

/** Copies the host and port of URL to AUTHORITY, of AUTHORITY_BYTES.  */
void http_authority_get (const char *url, char *authority);

/** Adds the socket FD, which S does not have and which is to be connected to
    AUTHORITY; returns it, or NULL when memory is out.  */
struct http_connection *http_connections_add (struct http_connections *s,
                                              const char *authority, int fd);

/** Removes and frees the connection of FD, if it is in S.  */
void http_connections_remove (struct http_connections *s, int fd);

/** Returns the connection to AUTHORITY that has LOCAL_PORT and is not busy, or
    NULL if there is none, or several: a peer that was restarted without
    closing its connections does not know that the port is taken.  */
struct http_connection *http_connections_find (struct http_connections *s,
                                               const char *authority,
                                               uint16_t local_port);

/** Shuts down the connections to AUTHORITY that are not busy and were last
   used before SINCE_US.  They lose their tags.  libcurl closes them when it
   finds that they are dead.  */
void http_connections_shut_down (struct http_connections *s,
                                 const char *authority, uint64_t since_us);

/** Returns how many connections to AUTHORITY have TAG and are not busy.  */
uint32_t http_connections_count_idle (const struct http_connections *s,
                                      const char *authority, const char *tag);

#endif
