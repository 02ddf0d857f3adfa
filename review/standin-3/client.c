/* client.c -- a requester that sends one call.

   Usage: client PORT METHOD HOST PATH KEY TIMEOUT_MS [BODY].  Writes the
   status and the body of the answer, or 0 if there was none in time.  */

#include <arpa/inet.h>
#include <poll.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

#define TEXT_BYTES 65536

static long
now_ms (void)
{
  struct timespec t;

  clock_gettime (CLOCK_MONOTONIC, &t);
  return t.tv_sec * 1000 + t.tv_nsec / 1000000;
}

/* Returns the length of the whole answer in TEXT, or 0 if some is missing.  */
static size_t
whole_length (const char *text, size_t n)
{
  const char *end = strstr (text, "\r\n\r\n");
  const char *length = strcasestr (text, "Content-Length:");
  size_t whole;

  if (end == NULL || length == NULL || length > end)
    return 0;
  whole = (size_t)(end + 4 - text) + strtoul (length + 15, NULL, 10);
  return n >= whole ? whole : 0;
}

int
main (int argc, char **argv)
{
  static char text[TEXT_BYTES];
  struct sockaddr_in a = { .sin_family = AF_INET,
                           .sin_addr.s_addr = htonl (INADDR_LOOPBACK) };
  const char *body = argc > 7 ? argv[7] : "";
  long until;
  size_t n = 0;
  int s;
  int k;

  if (argc < 7)
    return 2;
  a.sin_port = htons ((uint16_t)atoi (argv[1]));
  until = now_ms () + atol (argv[6]);
  s = socket (AF_INET, SOCK_STREAM, 0);
  if (connect (s, (struct sockaddr *)&a, sizeof a) == 0)
    {
      k = snprintf (text, sizeof text,
                    "%s %s HTTP/1.1\r\nHost: %s\r\nAuthorization: Bearer %s"
                    "\r\nX-Fulmartack-Deadline-Ms: %s\r\nContent-Type: "
                    "application/json\r\nContent-Length: %zu\r\n\r\n%s",
                    argv[2], argv[4], argv[3], argv[5], argv[6],
                    strlen (body), body);
      if (write (s, text, (size_t)k) == k)
        for (memset (text, 0, sizeof text);
             now_ms () < until && n < sizeof text - 1;)
          {
            struct pollfd p = { .fd = s, .events = POLLIN };
            ssize_t got;

            if (poll (&p, 1, (int)(until - now_ms ())) <= 0)
              break;
            got = read (s, text + n, sizeof text - 1 - n);
            if (got <= 0)
              break;
            n += (size_t)got;
            if (whole_length (text, n) > 0)
              {
                printf ("%.3s %s\n", text + 9, strstr (text, "\r\n\r\n") + 4);
                return 0;
              }
          }
    }
  printf ("0\n");
  return 0;
}
