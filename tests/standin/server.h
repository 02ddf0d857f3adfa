/* server.h -- HTTP server shared by the stand-ins of the platform.

   Each connection has a thread, so a handler may sleep.  POST
   /fault?NAME=NUMBER sets a fault, which fault_get reads; NUMBER 0 ends it.
   The server itself has these faults: down (every connection is closed without
   an answer), down_port=PORT (the same for one port), freeze (requests wait
   until the fault ends), slow_ms=N (each request waits N ms) and lose_answers
   (a POST is handled, then its connection is closed without an answer).  */

#ifndef TESTS_STANDIN_SERVER_H
#define TESTS_STANDIN_SERVER_H

#include <microhttpd.h>
#include <stdint.h>

/** A request and the answer to it.  */
struct exchange
{
  struct MHD_Connection *connection;
  const char *method;
  const char *url;
  uint16_t port; /**< Port that received the request.  */
  char *body;    /**< Of the request, with a NUL after it.  */
  uint32_t body_bytes;
  uint32_t status; /**< Set by the handler.  */
  char *answer;    /**< Set by the handler, from malloc; NULL if empty.  */
  uint32_t answer_bytes;
  int drop;            /**< Close the connection without an answer.  */
  int truncate;        /**< Close it after half of the answer.  */
  int not_run;         /**< Answer with `Run: no`.  */
  const char *task_id; /**< Answer with this `Task-Id`, or NULL.  */
  void *user_data;     /**< For the handler's own use.  */
};

typedef void handler_fn (struct exchange *x);

/** Handles each request; set by the stand-in before it serves.  */
extern handler_fn *standin_handler;
/** Called when a client closed its connection before the whole answer; may be
    NULL.  */
extern handler_fn *standin_on_abort;

/** Serves on 127.0.0.1 ports FIRST to LAST until SIGTERM.  */
int standin_serve (uint16_t first, uint16_t last);

/** Returns the number of the fault NAME; 0 if it is not set.  */
int64_t fault_get (const char *name);

/** Returns the query argument NAME as a number, or OTHERWISE.  */
int64_t query_get (struct exchange *x, const char *name, int64_t otherwise);

/** Returns the header NAME, or "".  */
const char *header_get (struct exchange *x, const char *name);

/** Sets the status and the body of the answer, formatted as by printf.  */
void answer_set (struct exchange *x, uint32_t status, const char *format, ...)
    __attribute__ ((format (printf, 3, 4)));

/** Sleeps MS milliseconds.  */
void sleep_ms (int64_t ms);

/** Returns the wall-clock time in milliseconds.  */
int64_t clock_ms (void);

#endif
