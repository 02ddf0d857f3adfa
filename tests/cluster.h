/* cluster.h -- starts stand-ins and entries for tests of whole processes.

   Everything listens on loopback ports of its own range and is ended by
   process id.  */

#ifndef TESTS_CLUSTER_H
#define TESTS_CLUSTER_H

#include "adapter/http_client.h"

#include <glib.h>
#include <jansson.h>
#include <sys/types.h>

#define CLUSTER_ENTRY_LIMIT 8

struct cluster
{
  guint16 base;     /**< First port of the range.  */
  guint16 log_port; /**< First of one for each entry, all of one log.  */
  guint16 fleet_port;
  guint16 worker_port; /**< First of worker_count ports.  */
  guint worker_count;
  guint entry_count;
  pid_t log;
  pid_t fleet;
  pid_t worker; /**< One process serves all workers.  */
  pid_t entries[CLUSTER_ENTRY_LIMIT];
  gchar *directory; /**< Settings and logs of the run.  */
};

/** Prepares a test program that starts processes; ends it if a library cannot
    start.  */
void cluster_init (int *argc, char ***argv);

/** Starts the log, the fleet, WORKER_COUNT workers and ENTRY_COUNT entries,
    and waits until the entries answer.  */
struct cluster *cluster_start (guint entry_count, guint worker_count);

/** Starts entry I again, after it ended.  */
void cluster_start_entry (struct cluster *c, guint i);

/** Sends SIGNAL to entry I and, for an ending signal, waits for its end.
    Returns its exit status.  */
int cluster_signal_entry (struct cluster *c, guint i, int signal);

/** Sends SIGNAL to the process of the workers; SIGKILL waits for its end.  */
void cluster_signal_worker (struct cluster *c, int signal);

/** Starts the workers again, after they ended.  */
void cluster_start_worker (struct cluster *c);

/** Appends the record in TEXT (JSON) to the log.  */
void cluster_append (struct cluster *c, const gchar *text);

/** Publishes tables with two pools, teams "kandy" and "jawa", and queues
    "tickets" (idempotent) and "bills" (not), and their keys.  */
void cluster_publish (struct cluster *c, guint ceiling);

/** Waits until every entry serves configuration VERSION or a later one.  */
void cluster_wait_version (struct cluster *c, gint64 version);

/** Calls METHOD on PORT; the body of R is the caller's.  */
void cluster_call (const gchar *method, guint16 port, const gchar *path,
                   const gchar *key, struct blob *body, struct http_result *r);

/** Returns the JSON answer to GET PATH on PORT, or NULL.  */
json_t *cluster_get (guint16 port, const gchar *path);

/** Switches a fault of the stand-in on PORT.  */
void cluster_fault (guint16 port, const gchar *fault, gint64 number);

/** Returns the port of entry I.  */
guint16 cluster_entry_port (const struct cluster *c, guint i);

/** Ends every process and removes the directory.  */
void cluster_stop (struct cluster *c);

#endif
