/* site_entry.h -- an entry on the users' platform, assembled from its
   duties.  */

#ifndef FTK_ADAPTER_SITE_ENTRY_H
#define FTK_ADAPTER_SITE_ENTRY_H

#include "adapter/site_settings.h"

struct site_entry;

/** Creates and starts an entry, to be closed by site_entry_close.  On failure
    returns NULL with a message in TEXT of TEXT_BYTES; *LISTEN_FAILED tells
    whether an address could not be listened on.  */
struct site_entry *site_entry_open (const struct site_settings *s, char *text,
                                    bool *listen_failed);
/** Replaces the times in the settings of the cell by those of S; callable from
    any thread.  */
void site_entry_reload (struct site_entry *e, const struct site_settings *s);
/** Starts a planned stop and returns its grace time in ms; callable from any
    thread.  */
uint32_t site_entry_stop (struct site_entry *e);
/** Waits until the planned stop is complete or its time is over
    (port/stop_times.h); then no more requests are served.  */
void site_entry_run (struct site_entry *e);
/** Stops the duties and frees E; NULL is allowed.  */
void site_entry_close (struct site_entry *e);

#endif
