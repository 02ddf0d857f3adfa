/* http_client.h -- asynchronous HTTP calls on a tevent loop.  */

#ifndef FTK_ADAPTER_HTTP_CLIENT_H
#define FTK_ADAPTER_HTTP_CLIENT_H

#include "port/blob.h"

#include <stdbool.h>
#include <stdint.h>
#include <talloc.h>
#include <tevent.h>

/** Bytes of a tag with its terminating NUL.  */
#define HTTP_TAG_BYTES 128

struct http_client;

/** An open connection of a client.  It ends with the process at its other end,
    so what that process has told of itself holds for all that is sent on it.
 */
struct http_connection;

struct http_result
{
  bool answered; /**< The answer is complete.  */
  bool sent;     /**< A byte of the request may have been delivered.  */
  bool wrong_connection; /**< It was not sent, as its connection did not have
                            the wanted tag.  */
  struct http_connection *connection; /**< The one that it was sent on, if that
                                         is still open; else NULL.  */
  bool not_run;        /**< The answer has the header `Run: no`.  */
  bool wrong_task_id;  /**< The answer has another Task-Id than the call.  */
  uint32_t status;     /**< HTTP status, 0 unless answered.  */
  uint32_t elapsed_us; /**< Time from the call's start to its end.  */
  struct blob *body;   /**< NULL unless answered.  Released after the callback,
                          which may take a reference.  */
};

/** Called once on the loop when a call has ended.  */
typedef void http_done_fn (void *state, const struct http_result *r);

struct http_call
{
  const char *method;              /**< "GET", "POST" or "DELETE".  */
  const char *url;                 /**< Absolute URL.  */
  const char *const *header_lines; /**< Ends with a NULL; or NULL: none.  */
  struct blob *body;           /**< Body of a POST, or NULL.  The call takes a
                                  reference.  */
  uint32_t timeout_ms;         /**< Limit of the call, connecting included.  */
  uint32_t connect_timeout_ms; /**< Limit of connecting.  */
  const char *task_id;         /**< An answer that names another Task-Id is
                                  not this call's; NULL: not checked.  */
  bool send_once;              /**< Never let libcurl repeat the request.  */
  bool fresh_connection; /**< Do not reuse a connection, which the server may
                            be closing.  */
  bool keep_connection;  /**< A fresh connection may be reused afterwards.  */
  const char *connection_tag; /**< Sent on a connection with this tag only;
                                 NULL: on any.  */
  http_done_fn *on_done;
  void *state; /**< Passed to on_done.  */
};

/** Returns a client on LOOP as a child of MEM, with at most
    HOST_CONNECTION_LIMIT_COUNT connections to a host; or NULL when memory is
    out.  Freeing it aborts its calls.  */
struct http_client *http_client_new (TALLOC_CTX *mem,
                                     struct tevent_context *loop,
                                     uint32_t host_connection_limit_count);

/** Starts CALL; returns an id for http_client_abort, or NULL when memory is
    out.  Never calls on_done before it returns.  */
void *http_client_start (struct http_client *c, const struct http_call *call);

/** Gives X the tag TAG, of up to HTTP_TAG_BYTES with its NUL.  */
void http_connection_tag (struct http_connection *x, const char *tag);

/** Returns how many open connections to AUTHORITY, the host and port of a URL,
    have TAG and are free for a call that wants it, calls counted that were
    started and have no connection yet.  */
uint32_t http_client_free_count (const struct http_client *c,
                                 const char *authority, const char *tag);

/** Closes the idle connections to AUTHORITY on which nothing was received
   since SINCE_US.  */
void http_client_drop_idle (struct http_client *c, const char *authority,
                            uint64_t since_us);

/** Aborts the call ID without calling on_done.  */
void http_client_abort (struct http_client *c, void *id);

/** Performs CALL on a loop of its own and blocks until it is done, for
    programs with nothing else to do.  The caller unreferences the body of
    RESULT.  */
void http_client_perform (TALLOC_CTX *mem, const struct http_call *call,
                          struct http_result *result);

#endif
