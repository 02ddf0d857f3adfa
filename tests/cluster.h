/* cluster.h -- starts stand-ins and entries for tests of whole processes.

   Each test process uses loopback ports of a range of its own, and ends the
   processes that it started by their ids.  */

#ifndef TESTS_CLUSTER_H
#define TESTS_CLUSTER_H

#include "adapter/http_client.h"

#include <glib.h>
#include <jansson.h>
#include <sys/types.h>

#define CLUSTER_ENTRY_LIMIT 8

struct cluster
{
  guint16 first_port; /**< First port of the range.  */
  guint16 log_port;   /**< First of CLUSTER_ENTRY_LIMIT ports of one log,
                         one for each entry.  */
  guint16 fleet_port;
  guint16 worker_port; /**< First of worker_count ports, one per worker.  */
  guint worker_count;
  guint entry_count;
  pid_t log;
  pid_t fleet;
  pid_t worker; /**< Serves all workers.  */
  pid_t entries[CLUSTER_ENTRY_LIMIT];
  gchar *directory;      /**< Settings and logs of the entries.  */
  const gchar *settings; /**< More settings of the entries, as members of a
                            JSON object that begin with a comma.  */
};

/** Initializes the libraries of a test program that starts processes; exits if
    libsodium cannot be initialized.  */
void cluster_init (int *argc, char ***argv);

/** Starts the log, the fleet, WORKER_COUNT workers and ENTRY_COUNT entries,
    and waits until the entries answer.  */
struct cluster *cluster_start (guint entry_count, guint worker_count);

/** Like cluster_start, with more settings for the entries.  */
struct cluster *cluster_start_with (guint entry_count, guint worker_count,
                                    const gchar *settings);

/** Starts entry I again after its end.  */
void cluster_start_entry (struct cluster *c, guint i);

/** Sends SIGNAL to entry I.  After SIGTERM or SIGKILL, waits for its end and
    returns its exit status, or 128 plus the signal that ended it; otherwise
    returns 0.  */
int cluster_signal_entry (struct cluster *c, guint i, int signal);

/** Sends SIGNAL to the process of the workers; after SIGKILL, waits for its
    end.  */
void cluster_signal_worker (struct cluster *c, int signal);

/** Starts the workers again after their end.  */
void cluster_start_worker (struct cluster *c);

/** Appends the record in TEXT (JSON) to the log.  */
void cluster_append (struct cluster *c, const gchar *text);

/** Appends tables and a key of each team.  The teams "kandy" and "jawa" have
    CEILING; half of the workers are in the pool "menders", the others in
    "office".  Queues of menders: "tickets" (idempotent) and "bills".
    Queues of office: "plots" (of jawa only) and "open" (needs no key).  */
void cluster_publish (struct cluster *c, guint ceiling);

/** Waits until every entry serves configuration VERSION or a later one.  */
void cluster_wait_version (struct cluster *c, gint64 version);

/** Sends a request with the API key KEY (NULL: none) to PORT.  The caller
    releases the body of R.  */
void cluster_call (const gchar *method, guint16 port, const gchar *path,
                   const gchar *key, struct blob *body, struct http_result *r);

/** Returns the JSON answer to GET PATH on PORT, or NULL.  */
json_t *cluster_get (guint16 port, const gchar *path);

/** Sets FAULT of the stand-in on PORT to NUMBER; 0 ends the fault.  */
void cluster_fault (guint16 port, const gchar *fault, gint64 number);

/** Returns the port of entry I.  */
guint16 cluster_entry_port (const struct cluster *c, guint i);

/** Ends every process and frees C; its directory is not removed.  */
void cluster_stop (struct cluster *c);

#endif
