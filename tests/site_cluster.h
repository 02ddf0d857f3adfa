/* site_cluster.h -- starts the stand-in of the users' platform and entries for
   tests of whole processes.  */

#ifndef TESTS_SITE_CLUSTER_H
#define TESTS_SITE_CLUSTER_H

#include "tests/cluster.h"

#define SITE_ENTRY_COUNT 3
#define SITE_ENTRY_LIMIT 10
#define SITE_RUNNER_COUNT 4

/* The stand-in and the entries of a test.  */
struct site
{
  guint16 base_port; /* First of the stand-in; entries from + 20 on.  */
  pid_t platform;
  guint entry_count;
  pid_t entries[SITE_ENTRY_LIMIT];
  gboolean proxied; /* The caller serves the ports of site_store_port, by
                       passing on to base_port.  */
  gchar *directory;
  const gchar *settings; /* More settings of the entries, as members of a JSON
                            object that begin with a comma; NULL: none.  */
};

/** Returns the port at which entry I serves clients.  */
guint16 site_api_port (const struct site *s, guint i);
guint16 site_metrics_port (const struct site *s, guint i);
/** Returns the port at which entry I reaches the store and the cloud.  */
guint16 site_store_port (const struct site *s, guint i);

/** Starts the stand-in and the entries and waits until they answer.  SETTINGS
    is kept in S.  */
void site_start_with (struct site *s, const gchar *settings);
void site_start (struct site *s);
/** Takes ports and starts the stand-in alone, for up to ENTRY_COUNT entries.
 */
void site_start_platform (struct site *s, guint entry_count);
/** Starts entry I, which does not run.  */
void site_start_entry (struct site *s, guint i);
/** Waits until all entries answer calls.  */
void site_wait_ready (const struct site *s);

/** Calls entry I and returns the status; copies the body to ANSWER, unless
    NULL.  */
guint site_call (const struct site *s, guint i, const gchar *method,
                 const gchar *path, const gchar *body, gchar *answer,
                 gsize answer_bytes);

/** Sends SIGNAL_NUMBER, waits for the end and returns the wait status.  */
int site_stop_process (pid_t pid, int signal_number);
/** Kills all processes of S and removes its directory.  */
void site_stop (struct site *s);

#endif
