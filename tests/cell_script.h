/* cell_script.h -- runs a cell on events read from JSON lines.  */

#ifndef FTK_TESTS_CELL_SCRIPT_H
#define FTK_TESTS_CELL_SCRIPT_H

#include <glib.h>

/** Runs a cell on the events of FILE, one JSON object per line; '#' starts a
    comment.  Returns the lines, each followed by the actions that it caused.
    {"include": NAME} runs the file NAME of the same directory without printing
    it; {"tick_until": TIME} ticks every 20 ms until TIME.  An append that
    has a record of VM orders and none of jobs is answered as stored at once;
   if it has no other record, it is not counted in the sequence numbers.
   Neither holds after {"hold_vm_orders": true}.  {"show_log": EVENT} has the
   log lines of EVENT printed with their keys; {"confirmation_metrics": true}
   prints the metrics of confirmations.  */
GString *cell_script_run (const char *file);

#endif
