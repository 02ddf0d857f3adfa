/* admission.h -- whether a new job would end while it has value.  */

#ifndef FTK_CORE_LOAD_ADMISSION_H
#define FTK_CORE_LOAD_ADMISSION_H

#include "core/load/forecast.h"

/** A new job.  */
struct admission_job
{
  uint64_t arrived_at_us; /**< When its first call arrived.  */
  uint64_t chain_us;      /**< Run time of its longest chain of steps.  */
  uint64_t objective_us;  /**< From arrived_at_us, as the two below: time in
                             which it should end.  */
  uint64_t value_us;      /**< Time after which it has no value.  */
  uint64_t work; /**< Core time that it needs, in thousandths of a core times
                    us.  */
};

/** What a pool owes, in thousandths of a core times us.  */
struct admission_backlog
{
  uint64_t in_time; /**< To jobs that can meet their objective; goes first.  */
  uint64_t all;     /**< To all jobs that still have value.  */
};

/** A decision.  */
struct admission_verdict
{
  bool known;       /**< The supply is known; else nothing is refused.  */
  bool refused;     /**< It would end without value.  */
  uint64_t end_us;  /**< Predicted time from arrived_at_us to its end; 0: not
                       known.  */
  uint64_t room_us; /**< If refused: time until there is capacity for it.  */
};

/** Decides at NOW_US about J for a pool that offers F and owes B.  */
struct admission_verdict admission_decide (const struct forecast *f,
                                           const struct admission_backlog *b,
                                           const struct admission_job *j,
                                           uint64_t now_us);

#endif
