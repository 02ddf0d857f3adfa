/* line_log.h -- structured log on standard output: a JSON object on each line.

   A duty of its own writes the lines, so a producer never blocks.  A line for
   which there is no room is dropped and counted, and the next line written is
   preceded by one with the number dropped.  */

#ifndef FTK_ADAPTER_LINE_LOG_H
#define FTK_ADAPTER_LINE_LOG_H

#include "adapter/duty.h"

struct line_log;

/** Returns a log whose lines give VM as the name of the entry, with room for
    CAPACITY_COUNT waiting lines; or NULL when memory or descriptors are
    out.  */
struct line_log *line_log_new (const char *vm, uint32_t capacity_count);
/** Returns the duty, to start and stop it.  */
struct duty *line_log_duty (struct line_log *l);

/** Writes a line that names the event WHAT, the JOB (0: none) and FIELDS,
    which are members of a JSON object, such as "\"a\":1", of at most 400
    bytes; or empty.  WHAT and FIELDS are written without escaping.  Callable
    from any thread.  */
void line_log_write (struct line_log *l, const char *what, uint64_t job,
                     const char *fields);

/** Returns how many lines were dropped.  */
uint64_t line_log_dropped_count (const struct line_log *l);

/** Writes the waiting lines and frees L, whose duty has ended; NULL is
    allowed.  */
void line_log_free (struct line_log *l);

#endif
