/* http_client.h -- HTTP calls by libcurl's multi interface on a tevent loop.
 */

#ifndef FTK_ADAPTER_HTTP_CLIENT_H
#define FTK_ADAPTER_HTTP_CLIENT_H

#include "port/blob.h"

#include <stdbool.h>
#include <talloc.h>
#include <tevent.h>

struct http_client;

struct http_result
{
  bool answered;       /**< The whole answer is here.  */
  bool sent;           /**< A byte of the request may have been delivered.  */
  bool not_run;        /**< The answer has the header `Run: no`.  */
  bool wrong_task_id;  /**< The answer names another Task-Id than the call.  */
  uint32_t status;     /**< HTTP status, 0 unless answered.  */
  uint32_t elapsed_us; /**< From start to end.  */
  struct blob *body;   /**< The callee's unless it takes a reference.  */
};

typedef void http_done_fn (void *state, const struct http_result *r);

struct http_call
{
  const char *method; /**< "GET", "POST" or "DELETE".  */
  const char *url;    /**< Whole URL.  */
  const char *const
      *header_lines;           /**< Header lines, NULL at the end; or NULL.  */
  struct blob *body;           /**< Read during the call; or NULL.  */
  uint32_t timeout_ms;         /**< For the whole call.  */
  uint32_t connect_timeout_ms; /**< For the connection alone.  */
  const char *task_id;   /**< An answer to another one is none; or NULL.  */
  bool send_once;        /**< Never let libcurl repeat the request.  */
  bool fresh_connection; /**< Never on a connection used before, which the
                            callee may be closing.  */
  http_done_fn *on_done; /**< Called once, from the loop.  */
  void *state;           /**< Passed to done.  */
};

/** Returns a client on LOOP as a child of MEM, with at most
    HOST_CONNECTION_COUNT connections to a host.  */
struct http_client *http_client_new (TALLOC_CTX *mem,
                                     struct tevent_context *loop,
                                     uint32_t host_connection_count);

/** Starts CALL; returns an id for http_client_abort, or NULL when memory is
    out.  Never calls done before it returns.  */
void *http_client_start (struct http_client *c, const struct http_call *call);

/** Ends a call without calling done.  */
void http_client_abort (struct http_client *c, void *id);

/** Runs LOOP until one call is done, for programs with nothing else to do.
    The body of RESULT is the caller's.  */
void http_client_perform (TALLOC_CTX *mem, const struct http_call *call,
                          struct http_result *result);

#endif
