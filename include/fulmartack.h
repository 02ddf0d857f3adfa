/* fulmartack.h -- public interface of the fulmartack library.

   Fulmartack manages the capacity and the maintenance of a fleet.  An entry
   accepts requests of teams, dispatches them to VMs by two tables (routes and
   pools), and answers each once.  This header is the complete public
   interface; the fulmartackd daemon is a thin program around it.

   Threads: call the functions on one entry from one thread, except
   ftk_entry_stop and ftk_entry_reload, which any thread may call.  Errors: a
   function that can fail returns an ftk_status, and the entry keeps the
   message of its last error.  */

#ifndef FULMARTACK_H
#define FULMARTACK_H

#include <stdint.h>
#include <stdio.h>

#ifdef __cplusplus
extern "C"
{
#endif

#define FTK_VERSION "0.1.0"

  /** Result of a call.  */
  typedef enum ftk_status
  {
    FTK_OK = 0,
    FTK_NO_MEMORY = 1,     /**< Out of memory, threads or descriptors.  */
    FTK_BAD_SETTINGS = 2,  /**< Invalid settings; see the findings.  */
    FTK_BAD_TABLES = 3,    /**< Invalid tables; see the findings.  */
    FTK_CANNOT_LISTEN = 4, /**< An address is in use or not this VM's.  */
    FTK_CANNOT_RECORD = 5, /**< The trace file cannot be written.  */
    FTK_STOP_OVERDUE = 6   /**< A planned stop took too long.  */
  } ftk_status;

  /** An entry: accepts callers' requests and dispatches them to workers.  */
  typedef struct ftk_entry ftk_entry;

  /** Returns the version of the library, FTK_VERSION of its build.  */
  const char *ftk_version (void);

  /** Returns a short description of S in English.  */
  const char *ftk_status_text (ftk_status s);

  /** Checks the settings in FILE and prints every finding to REPORT, one per
      line, as "file:line: path: text".  Errors: FTK_BAD_SETTINGS.  */
  ftk_status ftk_settings_check (const char *file, FILE *report);

  /** Checks the two tables in FILE and prints every finding to REPORT, like
      ftk_settings_check.  Errors: FTK_BAD_TABLES.  */
  ftk_status ftk_tables_check (const char *file, FILE *report);

  /** Opens an entry with the settings in FILE: listens, starts its threads and
      begins to read the log.  Prints findings to REPORT.  Sets *E even on
      errors, so that its message can be read, unless memory is exhausted;
      ftk_entry_close frees it.  Errors: FTK_NO_MEMORY, FTK_BAD_SETTINGS,
      FTK_CANNOT_LISTEN.  */
  ftk_status ftk_entry_open (const char *file, FILE *report, ftk_entry **e);

  /** Like ftk_entry_open, and writes every event with the resulting actions to
      the file TRACE for `fulmartackctl replay`, unless TRACE is NULL.  Errors:
      those of ftk_entry_open and FTK_CANNOT_RECORD.  */
  ftk_status ftk_entry_open_recorded (const char *file, const char *trace,
                                      FILE *report, ftk_entry **e);

  /** Waits until the entry has stopped.  After ftk_entry_stop it takes no new
      requests, answers those in flight and leaves the members.  Returns before
      the setting "stop_limit_ms" (milliseconds) has passed since then, also if
      clients have not sent the rest of their requests or read their
      answers.  */
  ftk_status ftk_entry_run (ftk_entry *e);

  /** Reads the settings file again and applies the durations in it; no other
      change, such as of an address, has an effect.  If there are findings,
      prints them to REPORT and keeps the old settings.  Does nothing unless
      the settings have the field "store", as those of an entry on the users'
      platform do.  May be called from any thread.
      Errors: FTK_BAD_SETTINGS.  */
  ftk_status ftk_entry_reload (ftk_entry *e, FILE *report);

  /** Starts a planned stop.  May be called from any thread, not from a signal
      handler.  Returns the time in ms after which the process should end if
      ftk_entry_close has not returned by then, as when its standard output
      blocks; every request has its answer or is cut by then.  */
  uint32_t ftk_entry_stop (ftk_entry *e);

  /** Returns the message of E's last error, never NULL.  E owns it.  */
  const char *ftk_entry_message (const ftk_entry *e);

  /** Frees E; NULL is allowed.  */
  void ftk_entry_close (ftk_entry *e);

#ifdef __cplusplus
}
#endif

#endif
