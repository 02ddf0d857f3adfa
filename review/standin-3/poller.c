/* poller.c -- a requester that asks again and again on one open connection.

   Usage: poller PORT HOST PATH KEY LIMIT_MS GAP_MS FOR_MS.  Sends GET PATH,
   waits for the answer, LIMIT_MS at most, and sends the next one GAP_MS later.
   It opens a new connection when the server has closed the one before, and
   stops after FOR_MS.  Writes a line for each request: when it was sent (Unix
   ms), how long it took, and the status; "cut" if the connection ended without
   a whole answer, "late" if LIMIT_MS passed, "refused" if there is no
   connection.  */

#include <arpa/inet.h>
#include <poll.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

#define TEXT_BYTES 65536

static long long
clock_ms (clockid_t id)
{
  struct timespec t;

  clock_gettime (id, &t);
  return t.tv_sec * 1000LL + t.tv_nsec / 1000000;
}

static long long
now_ms (void)
{
  return clock_ms (CLOCK_MONOTONIC);
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

/* Reads an answer from S until UNTIL.  Returns "cut", "late" or the status.  */
static const char *
read_answer (int s, char *text, long long until)
{
  size_t n = 0;

  memset (text, 0, TEXT_BYTES);
  while (n < TEXT_BYTES - 1)
    {
      struct pollfd p = { .fd = s, .events = POLLIN };
      long long left = until - now_ms ();
      ssize_t got;

      if (left <= 0 || poll (&p, 1, (int)left) <= 0)
        return "late";
      got = read (s, text + n, TEXT_BYTES - 1 - n);
      if (got <= 0)
        return "cut";
      n += (size_t)got;
      if (whole_length (text, n) > 0)
        return "answered";
    }
  return "cut";
}

int
main (int argc, char **argv)
{
  static char text[TEXT_BYTES];
  struct sockaddr_in a = { .sin_family = AF_INET,
                           .sin_addr.s_addr = htonl (INADDR_LOOPBACK) };
  long long end;
  int s = -1;

  if (argc < 8)
    return 2;
  signal (SIGPIPE, SIG_IGN);
  setlinebuf (stdout);
  a.sin_port = htons ((uint16_t)atoi (argv[1]));
  end = now_ms () + atoll (argv[7]);
  while (now_ms () < end)
    {
      long long sent_at = clock_ms (CLOCK_REALTIME);
      long long began = now_ms ();
      const char *how = "refused";
      int n;

      if (s < 0)
        {
          s = socket (AF_INET, SOCK_STREAM, 0);
          if (connect (s, (struct sockaddr *)&a, sizeof a) < 0)
            {
              close (s);
              s = -1;
            }
        }
      n = snprintf (text, sizeof text,
                    "GET %s HTTP/1.1\r\nHost: %s\r\nAuthorization: Bearer %s"
                    "\r\nX-Fulmartack-Deadline-Ms: %s\r\n\r\n",
                    argv[3], argv[2], argv[4], argv[5]);
      if (s >= 0)
        how = write (s, text, (size_t)n) == n
                  ? read_answer (s, text, began + atoll (argv[5]))
                  : "cut";
      printf ("%lld poll %s %lld ms %.3s %s\n", sent_at, argv[1],
              now_ms () - began, strcmp (how, "answered") == 0 ? text + 9 : "-",
              how);
      if (s >= 0
          && (strcmp (how, "answered") != 0
              || strcasestr (text, "Connection: close") != NULL))
        {
          close (s);
          s = -1;
        }
      usleep ((useconds_t)atoi (argv[6]) * 1000);
    }
  return 0;
}
