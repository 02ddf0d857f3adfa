/* server.h -- small HTTP server shared by the stand-ins of the platform.

   A thread for each connection, so a handler may sleep.  Faults are switched
   on by POST /fault?NAME=NUMBER and read with fault_get.  All know "down", and
   "down_port" for one of their ports.  */

#ifndef TESTS_STANDIN_SERVER_H
#define TESTS_STANDIN_SERVER_H

#include <microhttpd.h>
#include <stdint.h>

struct exchange
{
  struct MHD_Connection *connection;
  const char *method;
  const char *url;
  uint16_t port; /**< Port that the request came to.  */
  char *body;    /**< Request's bytes, NUL behind them.  */
  uint32_t body_bytes;
  uint32_t status; /**< Set by the handler.  */
  char *answer;    /**< Set by the handler, from malloc; NULL: empty.  */
  uint32_t answer_bytes;
  int cut;             /**< Close the connection in place of an answer.  */
  int cut_half;        /**< Close it in the midst of the answer.  */
  int not_run;         /**< Answer with `Run: no`.  */
  const char *task_id; /**< Answer with this `Task-Id`, or NULL.  */
  void *mark;          /**< The handler's own, for on_cut.  */
};

typedef void handler_fn (struct exchange *x);

/** Handles a request of a stand-in.  */
extern handler_fn *standin_handler;
/** Called when the caller went away before the whole answer; or NULL.  */
extern handler_fn *standin_on_cut;

/** Serves on 127.0.0.1 ports FIRST to LAST until SIGTERM.  */
int standin_serve (uint16_t first, uint16_t last);

/** Returns the fault NAME's number; 0 if it is off.  */
int64_t fault_get (const char *name);

/** Returns the query argument NAME as a number, or OTHERWISE.  */
int64_t query_get (struct exchange *x, const char *name, int64_t otherwise);

/** Returns the header NAME, or "".  */
const char *header_get (struct exchange *x, const char *name);

/** Sets a text answer made like printf.  */
void answer_set (struct exchange *x, uint32_t status, const char *format, ...)
    __attribute__ ((format (printf, 3, 4)));

/** Sleeps MS milliseconds.  */
void sleep_ms (int64_t ms);

/** Returns the wall clock in milliseconds.  */
int64_t clock_ms (void);

#endif
