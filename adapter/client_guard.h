/* client_guard.h -- applies a body budget to the connections of a daemon of
   libmicrohttpd.  */

#ifndef FTK_ADAPTER_CLIENT_GUARD_H
#define FTK_ADAPTER_CLIENT_GUARD_H

#include "adapter/body_budget.h"

#include <microhttpd.h>
#include <stdio.h>

/** Frees the body of CALL, whose connection is being closed and which must not
    run.  */
typedef void client_drop_fn (void *call);

struct client_guard;
struct guarded_client;

/** Returns a guard as a child of MEM.  */
struct client_guard *client_guard_new (TALLOC_CTX *mem,
                                       const struct body_limits *l,
                                       client_drop_fn *drop);

/** To be the daemon's MHD_OPTION_NOTIFY_CONNECTION, with the guard as its
    argument.  */
void client_guard_on_connection (void *guard,
                                 struct MHD_Connection *connection,
                                 void **state,
                                 enum MHD_ConnectionNotificationCode code);

/** Begins the request CALL.  Returns its client; *TOO_LARGE becomes whether
    its body is announced as too large.  */
struct guarded_client *client_guard_begin (struct client_guard *g,
                                           struct MHD_Connection *connection,
                                           void *call, bool *too_large);
/** Returns the size of the buffer for NEEDED_BYTES, 0: the body is too
    large.  */
uint32_t client_guard_size (struct client_guard *g,
                            const struct guarded_client *c,
                            uint64_t needed_bytes);
/** Reserves SIZE_BYTES for the body; closes stalled clients for it.  Returns
    false if there is no space.  */
bool client_guard_reserve (struct client_guard *g, struct guarded_client *c,
                           uint32_t size_bytes);
void client_guard_progress (struct guarded_client *c);
void client_guard_complete (struct client_guard *g, struct guarded_client *c);
void client_guard_answer (struct client_guard *g, struct guarded_client *c);
void client_guard_end (struct client_guard *g, struct guarded_client *c);

/** Closes the clients whose bodies take too long; returns the milliseconds
    until the next one does, or UINT64_MAX.  */
uint64_t client_guard_expire (struct client_guard *g);

/** Begins a planned stop: from now on client_guard_expire also closes the
    clients that the stop does not wait for.  */
void client_guard_drain (struct client_guard *g);
/** Returns true if a request is being received, decided or answered.  */
bool client_guard_is_busy (const struct client_guard *g);
/** Writes the counts of clients by phase to TEXT, as members of a JSON
    object.  */
void client_guard_describe (const struct client_guard *g, char *text,
                            size_t size_bytes);

/** Writes the metrics of the guard.  */
void client_guard_print (const struct client_guard *g, FILE *out);

#endif
