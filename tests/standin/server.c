/* server.c -- HTTP server of the stand-ins, by libmicrohttpd.  */

#include "tests/standin/server.h"

#include <arpa/inet.h>
#include <pthread.h>
#include <signal.h>
#include <stdarg.h>
#include <sys/resource.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#define FAULT_COUNT 32
/** How often a frozen request checks whether the fault has ended.  */
#define FREEZE_STEP_MS 20

handler_fn *standin_handler;
handler_fn *standin_on_abort;

static struct
{
  char name[32];
  int64_t number;
} faults[FAULT_COUNT];
static pthread_mutex_t fault_lock = PTHREAD_MUTEX_INITIALIZER;

int64_t
fault_get (const char *name)
{
  int64_t n = 0;
  int i;

  pthread_mutex_lock (&fault_lock);
  for (i = 0; i < FAULT_COUNT; i++)
    if (strcmp (faults[i].name, name) == 0)
      n = faults[i].number;
  pthread_mutex_unlock (&fault_lock);
  return n;
}

static enum MHD_Result
set_fault (void *state, enum MHD_ValueKind kind, const char *key,
           const char *value)
{
  int i;

  (void)state;
  (void)kind;
  pthread_mutex_lock (&fault_lock);
  for (i = 0; i < FAULT_COUNT; i++)
    if (faults[i].name[0] == '\0' || strcmp (faults[i].name, key) == 0)
      {
        snprintf (faults[i].name, sizeof faults[i].name, "%s", key);
        faults[i].number = value ? strtoll (value, NULL, 10) : 1;
        break;
      }
  pthread_mutex_unlock (&fault_lock);
  return MHD_YES;
}

int64_t
query_get (struct exchange *x, const char *name, int64_t otherwise)
{
  const char *v = MHD_lookup_connection_value (x->connection,
                                               MHD_GET_ARGUMENT_KIND, name);

  return v ? strtoll (v, NULL, 10) : otherwise;
}

const char *
header_get (struct exchange *x, const char *name)
{
  const char *v
      = MHD_lookup_connection_value (x->connection, MHD_HEADER_KIND, name);

  return v ? v : "";
}

void
answer_set (struct exchange *x, uint32_t status, const char *format, ...)
{
  va_list args;
  int n;

  va_start (args, format);
  n = vasprintf (&x->answer, format, args);
  va_end (args);
  x->answer_bytes = n > 0 ? (uint32_t)n : 0;
  x->status = status;
}

void
sleep_ms (int64_t ms)
{
  struct timespec t = { ms / 1000, (ms % 1000) * 1000000 };

  if (ms > 0)
    nanosleep (&t, NULL);
}

int64_t
clock_ms (void)
{
  struct timespec t;

  clock_gettime (CLOCK_REALTIME, &t);
  return (int64_t)t.tv_sec * 1000 + t.tv_nsec / 1000000;
}

/* Sends the first half of the answer, then fails so that the connection is
   closed.  */
static ssize_t
read_first_half (void *state, uint64_t position, char *buffer, size_t size)
{
  struct exchange *x = state;
  size_t n = x->answer_bytes / 2;

  if (position >= n)
    return MHD_CONTENT_READER_END_WITH_ERROR;
  n -= position;
  n = n < size ? n : size;
  memcpy (buffer, x->answer + position, n);
  return (ssize_t)n;
}

static struct MHD_Response *
make_response (struct exchange *x)
{
  struct MHD_Response *r;

  if (x->truncate)
    return MHD_create_response_from_callback (x->answer_bytes, 4096,
                                              read_first_half, x, NULL);
  r = MHD_create_response_from_buffer (x->answer_bytes, x->answer,
                                       MHD_RESPMEM_MUST_FREE);
  if (x->not_run)
    MHD_add_response_header (r, "Run", "no");
  if (x->task_id != NULL)
    MHD_add_response_header (r, "Task-Id", x->task_id);
  return r;
}

static enum MHD_Result
finish (struct exchange *x)
{
  struct MHD_Response *r;
  enum MHD_Result done;

  /* A cut that began while the request was held loses the answer.  */
  if (x->drop || fault_get ("down_port") == x->port)
    return MHD_NO;
  r = make_response (x);
  done = MHD_queue_response (x->connection, x->status, r);
  MHD_destroy_response (r);
  return done;
}

static enum MHD_Result
on_request (void *state, struct MHD_Connection *connection, const char *url,
            const char *method, const char *version, const char *data,
            size_t *size, void **call_state)
{
  struct exchange *x = *call_state;

  (void)version;
  if (x == NULL)
    {
      x = calloc (1, sizeof *x);
      x->connection = connection;
      x->port = (uint16_t)(uintptr_t)state;
      *call_state = x;
      return MHD_YES;
    }
  if (*size > 0)
    {
      x->body = realloc (x->body, x->body_bytes + *size + 1);
      memcpy (x->body + x->body_bytes, data, *size);
      x->body_bytes += (uint32_t)*size;
      x->body[x->body_bytes] = '\0';
      *size = 0;
      return MHD_YES;
    }
  x->method = method;
  x->url = url;
  if (strcmp (url, "/fault") == 0)
    {
      MHD_get_connection_values (connection, MHD_GET_ARGUMENT_KIND, set_fault,
                                 NULL);
      answer_set (x, 200, "{}");
      return finish (x);
    }
  if (fault_get ("down") || fault_get ("down_port") == x->port)
    return MHD_NO;
  while (fault_get ("freeze"))
    sleep_ms (FREEZE_STEP_MS);
  sleep_ms (fault_get ("slow_ms"));
  standin_handler (x);
  if (fault_get ("lose_answers") && strcmp (method, "POST") == 0)
    x->drop = 1;
  return finish (x);
}

static void
on_completed (void *state, struct MHD_Connection *connection,
              void **call_state, enum MHD_RequestTerminationCode code)
{
  struct exchange *x = *call_state;

  (void)state;
  (void)connection;
  if (x == NULL)
    return;
  if (code != MHD_REQUEST_TERMINATED_COMPLETED_OK && standin_on_abort != NULL
      && !x->drop)
    standin_on_abort (x);
  if (x->truncate)
    free (x->answer);
  free (x->body);
  free (x);
  *call_state = NULL;
}

int
standin_serve (uint16_t first, uint16_t last)
{
  struct MHD_Daemon *daemons[1024] = { 0 };
  sigset_t set;
  int signal_number;
  uint16_t port;
  struct rlimit files;

  getrlimit (RLIMIT_NOFILE, &files);
  files.rlim_cur = files.rlim_max;
  setrlimit (RLIMIT_NOFILE, &files);
  signal (SIGPIPE, SIG_IGN);
  sigemptyset (&set);
  sigaddset (&set, SIGTERM);
  sigaddset (&set, SIGINT);
  pthread_sigmask (SIG_BLOCK, &set, NULL);
  for (port = first; port <= last; port++)
    {
      struct sockaddr_in a = { .sin_family = AF_INET,
                               .sin_port = htons (port),
                               .sin_addr.s_addr = htonl (INADDR_LOOPBACK) };

      daemons[port - first] = MHD_start_daemon (
          MHD_USE_THREAD_PER_CONNECTION | MHD_USE_INTERNAL_POLLING_THREAD
              | MHD_USE_POLL,
          0, NULL, NULL, on_request, (void *)(uintptr_t)port,
          MHD_OPTION_SOCK_ADDR, &a, MHD_OPTION_NOTIFY_COMPLETED, on_completed,
          NULL, MHD_OPTION_CONNECTION_LIMIT, 4096u, MHD_OPTION_END);
      if (daemons[port - first] == NULL)
        {
          fprintf (stderr, "cannot listen on port %u\n", port);
          return 1;
        }
    }
  sigwait (&set, &signal_number);
  return 0;
}
