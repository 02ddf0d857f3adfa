/* http_connections.c -- the open connections of an HTTP client.  */

#include "adapter/http_connections.h"

#include "port/types.h"

#include <glib.h>
#include <netinet/in.h>
#include <string.h>
#include <sys/socket.h>

struct http_connections
{
  GHashTable *by_fd;        /**< fd to struct http_connection; owned.  */
  GHashTable *by_authority; /**< Name to the first struct http_connection.  */
};

static int
connections_free (struct http_connections *s)
{
  g_hash_table_destroy (s->by_authority);
  g_hash_table_destroy (s->by_fd);
  return 0;
}

struct http_connections *
http_connections_new (TALLOC_CTX *mem)
{
  struct http_connections *s = talloc_zero (mem, struct http_connections);

  if (s == NULL)
    return NULL;
  s->by_fd = g_hash_table_new_full (NULL, NULL, NULL, g_free);
  s->by_authority
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  talloc_set_destructor (s, connections_free);
  return s;
}

void
http_authority_get (const char *url, char *authority)
{
  const char *start = strstr (url, "//");
  size_t n;

  start = start != NULL ? start + 2 : url;
  n = strcspn (start, "/?");
  g_strlcpy (authority, start, MIN (n + 1, AUTHORITY_BYTES));
}

struct http_connection *
http_connections_add (struct http_connections *s, const char *authority,
                      int fd)
{
  struct http_connection *x = g_try_new0 (struct http_connection, 1);

  if (x == NULL)
    return NULL;
  x->fd = fd;
  text_copy (x->authority, AUTHORITY_BYTES, authority);
  x->next = g_hash_table_lookup (s->by_authority, authority);
  g_hash_table_insert (s->by_authority, g_strdup (authority), x);
  g_hash_table_insert (s->by_fd, GINT_TO_POINTER (fd), x);
  return x;
}

void
http_connections_remove (struct http_connections *s, int fd)
{
  struct http_connection *x
      = g_hash_table_lookup (s->by_fd, GINT_TO_POINTER (fd));
  struct http_connection *first;
  struct http_connection **at;

  if (x == NULL)
    return;
  first = g_hash_table_lookup (s->by_authority, x->authority);
  for (at = &first; *at != x; at = &(*at)->next)
    continue;
  *at = x->next;
  if (first != NULL)
    g_hash_table_insert (s->by_authority, g_strdup (x->authority), first);
  else
    g_hash_table_remove (s->by_authority, x->authority);
  g_hash_table_remove (s->by_fd, GINT_TO_POINTER (fd));
}

/* Returns the local port of X; 0: it is not connected.  */
static uint16_t
local_port (struct http_connection *x)
{
  union
  {
    struct sockaddr any;
    struct sockaddr_in v4;
    struct sockaddr_in6 v6;
  } a = { 0 };
  socklen_t n = sizeof a;

  if (x->local_port != 0 || getsockname (x->fd, &a.any, &n) != 0)
    return x->local_port;
  if (a.any.sa_family == AF_INET)
    x->local_port = ntohs (a.v4.sin_port);
  else if (a.any.sa_family == AF_INET6)
    x->local_port = ntohs (a.v6.sin6_port);
  return x->local_port;
}

struct http_connection *
http_connections_find (struct http_connections *s, const char *authority,
                       uint16_t port)
{
  struct http_connection *x = g_hash_table_lookup (s->by_authority, authority);
  struct http_connection *found = NULL;

  for (; x != NULL; x = x->next)
    if (!x->busy && local_port (x) == port)
      {
        if (found != NULL)
          return NULL;
        found = x;
      }
  return found;
}

void
http_connections_shut_down (struct http_connections *s, const char *authority,
                            uint64_t since_us)
{
  struct http_connection *x = g_hash_table_lookup (s->by_authority, authority);

  for (; x != NULL; x = x->next)
    if (!x->busy && x->used_at_us != 0 && x->used_at_us < since_us)
      {
        x->tag[0] = '\0';
        shutdown (x->fd, SHUT_RDWR);
      }
}

uint32_t
http_connections_count_idle (const struct http_connections *s,
                             const char *authority, const char *tag)
{
  const struct http_connection *x
      = g_hash_table_lookup (s->by_authority, authority);
  uint32_t n = 0;

  for (; x != NULL; x = x->next)
    n += !x->busy && strcmp (x->tag, tag) == 0;
  return n;
}
