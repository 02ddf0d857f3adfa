/* test_ports.c -- two test processes never use the same port range.  */

#include "tests/ports.h"

#include <arpa/inet.h>
#include <glib.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#define LOW 25200
#define STEP 10
#define RANGE_COUNT 4

/* The first range that this process tries is in use.  */
static void
test_taken (void)
{
  uint16_t first = (uint16_t)(LOW + getpid () % RANGE_COUNT * STEP);
  struct sockaddr_in a = { .sin_family = AF_INET,
                           .sin_port = htons ((uint16_t)(first + STEP - 1)),
                           .sin_addr.s_addr = htonl (INADDR_LOOPBACK) };
  int fd = socket (AF_INET, SOCK_STREAM, 0);
  uint16_t got;

  g_assert_cmpint (bind (fd, (struct sockaddr *)&a, sizeof a), ==, 0);
  got = ports_take (LOW, STEP, RANGE_COUNT);
  g_assert_cmpuint (got, !=, first);
  g_assert_cmpuint (got, >=, LOW);
  g_assert_cmpuint (got, <, LOW + RANGE_COUNT * STEP);
  g_assert_cmpuint ((got - LOW) % STEP, ==, 0);
  /* A second call returns the same range.  */
  g_assert_cmpuint (ports_take (LOW, STEP, RANGE_COUNT), ==, got);
  close (fd);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/ports/taken", test_taken);
  return g_test_run ();
}
