/* soak.h -- plays of entry processes, clients and faults from a script.

   A script has a line for each step, a JSON object with the time "at" in ms:

   {"at":0,"entries":N,"settings":",..."}    N entries, with more settings
   {"at":T,"client":KIND,"entry":E,"count":C,"gap":MS,"step":MS}
                 C clients (soak_client.h) of entry E; each has a gap that is
                 longer than the one before by "step"
   {"at":T,"stop":E,"back":MS}   SIGTERM, and SIGKILL after the grace time; E
                                 starts again MS after its end
   {"at":T,"kill":E,"back":MS}   SIGKILL
   {"at":T,"pause":E,"for":MS}   SIGSTOP, then SIGCONT
   {"at":T,"reload":E}           SIGHUP
   {"at":T,"store":E,"mode":MODE,"delay":MS,"for":MS}
                                 what passes between E and the store
                                 (soak_proxy.h)
   {"at":T,"start":E}            starts E, which was stopped or killed for good
                                 ("back" of -1)
   {"at":T,"fault":NAME,"number":N}
                                 sets a fault of the stand-in (tests/standin)
   {"at":T,"end":true}           the end; accepted jobs then have JOBS_END_MS

   What must hold is judged from what clients saw, from the runners' record and
   from how the processes ended:

   STOP       A stopped entry ends by itself, without an error, within the
              grace time, unless it was paused meanwhile.
   LOST       No request that was sent to a stopped entry over 200 ms before is
              cut, until 1 s after the grace time, unless an unplanned fault
              came in the 3 s before it or meanwhile.
   FORGOTTEN  Each job that was accepted is completed at the end.
   TWICE      No task runs twice at once, or after its end was acknowledged.
   LAPSED     Without unplanned faults no run ends with its lease.
   OWNER      Without unplanned faults the cell has no owner for OWNERLESS_MS
   at most, the time that is left of a lease at least.  */

#ifndef TESTS_SOAK_H
#define TESTS_SOAK_H

#include <glib.h>

struct soak_result
{
  guint broken_count;
  GString *report;     /* A line for each broken promise.  */
  guint request_count; /* That clients sent.  */
  guint answered_count;
  guint accepted_count;
  guint stop_count;       /* Stops that were judged.  */
  gint64 longest_stop_ms; /* Of these.  */
  gint64 ownerless_ms;    /* Longest time in which no entry owned the cell.  */
};

/* Plays SCRIPT.  The caller frees the report.  */
void soak_play (const gchar *script, struct soak_result *r);

/* Returns the script of SEED: restarts in series that overlap, with up to
   ENTRY_LIMIT entries, clients of all kinds and, for most seeds, unplanned
   faults.  */
gchar *soak_plan (guint seed, guint entry_limit);

#endif
