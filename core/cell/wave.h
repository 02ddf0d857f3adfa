/* wave.h -- a maintenance wave, as shared by its progress (waves.c) and the
   choice of its next VM (wave_choice.c).  */

#ifndef FTK_CORE_CELL_WAVE_H
#define FTK_CORE_CELL_WAVE_H

#include "core/cell/fleet.h"

/** A maintenance wave.  */
struct wave
{
  struct site_wave spec;
  bool *done; /**< Of each VM in spec.vms: its maintenance is done.  */
  uint32_t done_count;
  uint64_t deadline_us;
  bool running_published; /**< Its state was published as running.  */
  bool completed;
  bool dirty;            /**< Its progress has to be appended.  */
  uint64_t logged_at_us; /**< When its state was last logged.  */
};

/** Counts the VMs of each pool, and those that W has yet to do.  The caller
    frees the array.  */
GArray *wave_choice_count_pools (const struct cell *c, const struct wave *w);
/** Counts V, whose emptying begins, as out in COUNTS.  */
void wave_choice_note_out (GArray *counts, const struct vm *v);
/** Returns how many VMs of W are away or being emptied for it, or may be.  */
uint32_t wave_choice_count_out (const struct cell *c, const struct wave *w);
/** Returns the VM of W that is emptied next, or NULL.  COUNTS is that of
    wave_choice_count_pools, with what was taken since.  */
struct vm *wave_choice_next (struct cell *c, struct wave *w, GArray *counts);
/** Logs, once a second, how many VMs of W are left and why they are not
   emptied now.  */
void wave_choice_log (struct cell *c, struct wave *w);

#endif
