/* ports.c -- a range of ports for each test process.  */

#include "tests/ports.h"

#include <arpa/inet.h>
#include <glib.h>
#include <netinet/in.h>
#include <stdbool.h>
#include <sys/socket.h>
#include <unistd.h>

/* Binds PORT until the process ends; returns false if it is in use.  */
static bool
bind_port (uint16_t port)
{
  struct sockaddr_in a = { .sin_family = AF_INET,
                           .sin_port = htons (port),
                           .sin_addr.s_addr = htonl (INADDR_LOOPBACK) };
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

  g_assert_cmpint (fd, >=, 0);
  if (bind (fd, (struct sockaddr *)&a, sizeof a) == 0)
    return true;
  close (fd);
  return false;
}

uint16_t
ports_take (uint16_t low, uint16_t step, uint16_t range_count)
{
  static uint16_t base;
  uint16_t first_index = (uint16_t)(getpid () % range_count);
  uint16_t i;

  for (i = 0; i < range_count && base == 0; i++)
    {
      uint16_t range_first
          = (uint16_t)(low + (uint32_t)(first_index + i) % range_count * step);

      if (bind_port ((uint16_t)(range_first + step - 1)))
        base = range_first;
    }
  if (base == 0)
    g_error ("all port ranges from %u on are in use", low);
  return base;
}
