/* log.c -- stand-in of the platform's append-only log.

   POST /v1/append appends a JSON list of records; GET /v1/read returns those
   from an offset on and waits if there are none yet.

   Faults besides those of server.h: append_down (appends get 503) and retain=N
   (only the last N records can be read).  */

#include "tests/standin/server.h"

#include <jansson.h>
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define RECORD_LIMIT 1000000

static json_t *records[RECORD_LIMIT];
static int64_t next_offset;
static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static pthread_cond_t appended = PTHREAD_COND_INITIALIZER;

static void
append (struct exchange *x)
{
  json_t *list = json_loadb (x->body, x->body_bytes, 0, NULL);
  int64_t first;
  int64_t next;
  json_t *data;
  size_t i;

  if (!json_is_array (list) || fault_get ("append_down"))
    {
      answer_set (x, list ? 503 : 400, "{}");
      json_decref (list);
      return;
    }
  pthread_mutex_lock (&lock);
  first = next_offset;
  json_array_foreach (list, i, data)
  {
    if (next_offset == RECORD_LIMIT)
      break;
    records[next_offset]
        = json_pack ("{s:I, s:I, s:O}", "offset", (json_int_t)next_offset,
                     "at_ms", (json_int_t)clock_ms (), "data", data);
    next_offset++;
  }
  next = next_offset;
  pthread_cond_broadcast (&appended);
  pthread_mutex_unlock (&lock);
  json_decref (list);
  answer_set (x, 200, "{\"first\":%lld,\"next\":%lld}", (long long)first,
              (long long)next);
}

/* Returns the offset of the first record that can be read.  */
static int64_t
first_kept (void)
{
  int64_t retain = fault_get ("retain");

  return retain > 0 && next_offset > retain ? next_offset - retain : 0;
}

static void
read_page (struct exchange *x)
{
  int64_t from = query_get (x, "from", 0);
  int64_t max = query_get (x, "max", 500);
  int64_t wait_ms = query_get (x, "wait_ms", 0);
  int64_t deadline_ms = clock_ms () + wait_ms;
  struct timespec deadline
      = { deadline_ms / 1000, (deadline_ms % 1000) * 1000000 };
  json_t *list = json_array ();
  int64_t i;

  pthread_mutex_lock (&lock);
  while (next_offset <= from && clock_ms () < deadline_ms)
    if (pthread_cond_timedwait (&appended, &lock, &deadline) != 0)
      break;
  if (from < first_kept ())
    from = first_kept ();
  for (i = from; i < next_offset && i < from + max; i++)
    json_array_append (list, records[i]);
  json_t *page
      = json_pack ("{s:I, s:I, s:o}", "first", (json_int_t)first_kept (),
                   "next", (json_int_t)next_offset, "records", list);
  pthread_mutex_unlock (&lock);
  x->answer = json_dumps (page, JSON_COMPACT);
  x->answer_bytes = (uint32_t)strlen (x->answer);
  x->status = 200;
  json_decref (page);
}

static void
handle (struct exchange *x)
{
  if (strcmp (x->url, "/v1/append") == 0)
    append (x);
  else if (strcmp (x->url, "/v1/read") == 0)
    read_page (x);
  else
    answer_set (x, 404, "{}");
}

int
main (int argc, char **argv)
{
  uint16_t port = argc > 1 ? (uint16_t)atoi (argv[1]) : 7001;
  uint16_t last = argc > 2 ? (uint16_t)atoi (argv[2]) : port;

  standin_handler = handle;
  return standin_serve (port, last);
}
