/* replay.h -- runs a recorded trace through the core and compares actions.  */

#ifndef FTK_ADAPTER_REPLAY_H
#define FTK_ADAPTER_REPLAY_H

#include "port/action.h"

#include <stdio.h>

/** Result of a replay.  */
enum replay_result
{
  REPLAY_SAME,      /**< Every action was the same, byte for byte.  */
  REPLAY_DIFFERENT, /**< The first difference was printed.  */
  REPLAY_MALFORMED  /**< The file is not a trace; a reason was printed.  */
};

/** Counts over a replayed run.  */
struct replay_counts
{
  uint64_t event_count;
  uint64_t action_count;
  uint64_t request_count;
  uint64_t start_count; /**< Attempts started.  */
  uint64_t answer_count[ANSWER_CODE_COUNT];
  uint64_t duplicate_answer_count; /**< Answers after a request's first.  */
  uint64_t unanswered_count;       /**< Requests without an answer.  */
  uint64_t unmatched_answer_count; /**< Answers to no request of the trace.  */
};

/** Replays FILE, prints the first difference or fault to REPORT and sets the
    counts in O.  */
enum replay_result replay_file (const char *file, FILE *report,
                                struct replay_counts *o);

/** Prints O as lines of "name value".  */
void replay_print (const struct replay_counts *o, FILE *to);

#endif
