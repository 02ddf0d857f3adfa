/* islands.pml -- one task, and three owners in a row, each of which may be cut
   off from the store while it still reaches some runners.

   Any message may be lost, and an owner may leave out any step, so all cuts
   are covered: an owner that is cut off from the store appends nothing, and one
   that is cut off from a runner does not poll it.  An owner acts until it is
   gone: by its own limit of time, or because the store or a runner fences it.

   Owners take over in the order of their tokens; one that claims the cell but
   does not fence the records changes nothing.  The last one does not do what
   matters only to an owner that is followed.  Orders that are lost or late are
   in ownership.pml.

   There is no clock.  A lease that an owner takes as expired ends the runs
   of that runner unless another owner has renewed it since.  A new owner's wait
   is over when the owners before it are gone and the leases that they renewed
   last have expired.

   Checked: the task runs at most once at a time; it does not start after an end
   as done that is noted then or later.

   Code: core/cell/confirmation.c, needs_confirmation (tasks.c), takes_tasks
   (place.c), find_unreached_in and is_confirmed (dispatch.c), is_unreached
   (fleet.c), leases_clock_is_old (leases.c).

   Each mechanism can be taken out by a macro, and then a property breaks
   (check.sh):
   NO_CONFIRM_LAPSE: an expired lease counts without an append after it.
   NO_CONFIRM_HELD: so does the answer to a poll that the runner has held.
   NO_CONFIRM_NEW_BOOT: so does a new boot, as the end of the runs before it.
   NO_CONFIRM_BOOT: a new boot gets starts without an append after it was heard
   of.
   NO_CONFIRM_WAIT: a new owner's wait is over by time alone.
   NO_CONFIRM_REACHED: a new boot ends the wait for its runner without one.
   NO_WAIT: a new owner does not wait for runners that it has not reached.
   NO_FENCE_FIRST: a new owner asks runners before it has fenced the records.
   NO_NEWS_OF_BOOT: a start goes to a runner though its owner has not heard
   that it was restarted; a boot may take a start that was meant for the one
   before.  */

#define RUNNER_COUNT 2
#define OWNER_COUNT 3
#define LAST (OWNER_COUNT - 1)
#define BOOT_LIMIT 1            /* New boots, which bounds the search.  */
#define at(k, r) ((k) * RUNNER_COUNT + (r))
#define token(k) ((k) + 1)

mtype = { WAITING, RUNNING, DONE };
mtype = { NONE, CLAIMED, ACTING, GONE };

/* The store.  */
byte fence;                     /* Records are fenced by this token.  */
bool stored_done;

byte boot_count;

/* By runner.  */
bool runs[RUNNER_COUNT];
byte seen[RUNNER_COUNT];        /* Highest token since it booted.  */
byte renewer[RUNNER_COUNT];     /* Token of the newest renewal.  */
bool listed[RUNNER_COUNT];      /* An end as done that can still be noted.  */
bool started_after[RUNNER_COUNT]; /* The task started after that end.  */
bool noted;                     /* An end as done was noted.  */

/* By owner.  */
mtype phase[OWNER_COUNT] = NONE;
mtype state[OWNER_COUNT] = WAITING;
byte on[OWNER_COUNT];           /* Runner, while RUNNING.  */
bool held[OWNER_COUNT];         /* A poll is held there.  */
bool reconciled[OWNER_COUNT];   /* It has started the task or seen its run.  */
bool over_unconfirmed[OWNER_COUNT]; /* The last run is over for the owner.  */
bool waited[OWNER_COUNT];       /* For runs on runners not reached.  */

/* By owner and runner.  */
bool known[OWNER_COUNT * RUNNER_COUNT];   /* Its present boot.  */
bool reached[OWNER_COUNT * RUNNER_COUNT]; /* The boot that the owner knows.  */
bool boot_unconfirmed[OWNER_COUNT * RUNNER_COUNT];

#ifdef NO_FENCE_FIRST
#define may_ask(k) (phase[k] == ACTING || phase[k] == CLAIMED)
#else
#define may_ask(k) (phase[k] == ACTING)
#endif

#ifdef NO_CONFIRM_REACHED
#define boot_counts(k, r) true
#else
#define boot_counts(k, r) (!boot_unconfirmed[at (k, r)])
#endif

#define is_unreached(k, r) (!reached[at (k, r)] || !boot_counts (k, r))
#define has_unreached(k) (is_unreached (k, 0) || is_unreached (k, 1))

#ifdef NO_WAIT
#define is_awaited(k) false
#else
#define is_awaited(k) (!reconciled[k] && !waited[k] && has_unreached (k))
#endif

#define may_start(k) \
  (phase[k] == ACTING && state[k] == WAITING && !over_unconfirmed[k] && \
   !is_awaited (k))
#define may_wait(k) \
  (phase[k] == ACTING && state[k] == WAITING && !reconciled[k] && !waited[k])
#ifdef NO_NEWS_OF_BOOT
#define is_heard_of(k, r) true
#else
#define is_heard_of(k, r) known[at (k, r)]
#endif
#define is_usable(k, r) \
  (reached[at (k, r)] && is_heard_of (k, r) && !boot_unconfirmed[at (k, r)])

/* Ends the runs of R without an end that counts.  */
inline end_runs (r)
{
  runs[r] = false;
  listed[r] = false;
  started_after[r] = false
}

/* The owner K is gone; what it knew has no effect any more.  */
inline leave (k)
{
  phase[k] = GONE;
  state[k] = WAITING;
  on[k] = 0;
  held[k] = false;
  reconciled[k] = false;
  over_unconfirmed[k] = false;
  waited[k] = false;
  i = 0;
  do
  :: i < RUNNER_COUNT ->
     known[at (k, i)] = false;
     reached[at (k, i)] = false;
     boot_unconfirmed[at (k, i)] = false;
     i++
  :: else -> break
  od;
  i = 0
}

/* The last run is over for K, UNCONFIRMED if that holds for the owner only.  */
inline release (k, unconfirmed)
{
  state[k] = WAITING;
  on[k] = 0;
  held[k] = false;
  over_unconfirmed[k] = unconfirmed
}

inline hear_boot (k, r)
{
  if
  :: state[k] == RUNNING && on[k] == r ->
#ifdef NO_CONFIRM_NEW_BOOT
     release (k, false)
#else
     release (k, true)
#endif
  :: else -> skip
  fi;
  known[at (k, r)] = true;
  reached[at (k, r)] = false;
#ifndef NO_CONFIRM_BOOT
  boot_unconfirmed[at (k, r)] = true
#endif
}

/* Takes what R tells of the task, UNCONFIRMED if it has held the answer.  */
inline take_answer (k, r, unconfirmed)
{
  if
  :: listed[r] && state[k] != DONE -> release (k, false); state[k] = DONE
  :: !listed[r] && runs[r] && state[k] == WAITING ->
     state[k] = RUNNING;
     on[k] = r;
     reconciled[k] = true
  :: !listed[r] && !runs[r] && state[k] == RUNNING && on[k] == r ->
     release (k, unconfirmed)
  :: else -> skip
  fi
}

inline poll (k, r)
{
  if
  :: seen[r] > token (k) -> leave (k)
  :: else ->
     seen[r] = token (k);
     /* The first poll of a boot carries no lease: its clock is not known.  */
     renewer[r] = (reached[at (k, r)] -> token (k) : renewer[r]);
     reached[at (k, r)] = true;
     take_answer (k, r, false)
  fi
}

inline start (k, r)
{
  if
  :: seen[r] > token (k) -> leave (k)
  :: else ->
     assert (!runs[0] && !runs[1]);
     assert (!noted);
     seen[r] = token (k);
     renewer[r] = token (k);
     runs[r] = true;
     started_after[0] = listed[0];
     started_after[1] = listed[1];
     state[k] = RUNNING;
     on[k] = r;
     reconciled[k] = true
  fi
}

inline append (k)
{
  if
  :: fence != token (k) -> leave (k)
  :: else ->
     stored_done = stored_done || state[k] == DONE;
     over_unconfirmed[k] = false;
     i = 0;
     do
     :: i < RUNNER_COUNT -> boot_unconfirmed[at (k, i)] = false; i++
     :: else -> break
     od;
     i = 0
  fi
}

/* K takes the lease of the runner of its run as expired.  No former owner has
   renewed it since K has seen the run.  */
inline lapse (k, r)
{
  if
  :: renewer[r] <= token (k) -> end_runs (r)
  :: else -> skip
  fi;
#ifdef NO_CONFIRM_LAPSE
  release (k, false)
#else
  release (k, true)
#endif
}

/* The wait of K for runners that do not answer is over by time.  */
inline time_out (k)
{
  i = 0;
  do
  :: i < RUNNER_COUNT ->
     if
     :: renewer[i] < token (k) -> end_runs (i)
     :: else -> skip
     fi;
     i++
  :: else -> break
  od;
  i = 0;
#ifndef NO_CONFIRM_WAIT
  over_unconfirmed[k] = true;
#endif
  waited[k] = true
}

/* K reads the list of runners.  */
inline know_all (k)
{
  known[at (k, 0)] = true;
  known[at (k, 1)] = true;
  boot_unconfirmed[at (k, 0)] = true;
  boot_unconfirmed[at (k, 1)] = true
}

/* K fences the records and reads them.  */
inline take (k)
{
  fence = token (k);
  phase[k] = ACTING;
  if
  :: stored_done -> release (k, false); state[k] = DONE
  :: else -> skip
  fi
}

proctype owner (byte k)
{
  byte i;

end:
  do
#ifdef NO_FENCE_FIRST
  :: d_step { phase[k] == NONE && fence == k -> phase[k] = CLAIMED; know_all (k) }
  :: d_step { phase[k] == CLAIMED -> take (k) }
#else
  :: d_step { phase[k] == NONE && fence == k -> know_all (k); take (k) }
#endif
  :: d_step { may_ask (k) && !held[k] && known[at (k, 0)] -> poll (k, 0) }
  :: d_step { may_ask (k) && !held[k] && known[at (k, 1)] -> poll (k, 1) }
  :: d_step { may_ask (k) && !known[at (k, 0)] -> hear_boot (k, 0) }
  :: d_step { may_ask (k) && !known[at (k, 1)] -> hear_boot (k, 1) }
  /* The poll that a runner holds has renewed the lease when it arrived.  */
  :: d_step { k < LAST && phase[k] == ACTING && state[k] == RUNNING && !held[k] &&
       known[at (k, on[k])] && seen[on[k]] <= token (k) ->
       seen[on[k]] = token (k); renewer[on[k]] = token (k); held[k] = true }
  :: d_step { held[k] && known[at (k, on[k])] ->
       held[k] = false;
#ifdef NO_CONFIRM_HELD
       take_answer (k, on[k], false)
#else
       take_answer (k, on[k], true)
#endif
     }
  :: d_step { k < LAST && phase[k] == ACTING && state[k] == RUNNING ->
       lapse (k, on[k]) }
  :: d_step { phase[k] == ACTING -> append (k) }
  :: d_step { may_start (k) && is_usable (k, 0) -> start (k, 0) }
  :: d_step { may_start (k) && is_usable (k, 1) -> start (k, 1) }
  /* Tells a runner that its end is stored.  */
  :: d_step { phase[k] == ACTING && state[k] == DONE && stored_done &&
       known[at (k, 0)] && listed[0] && seen[0] <= token (k) ->
       assert (!started_after[0]); noted = true; listed[0] = false }
  :: d_step { phase[k] == ACTING && state[k] == DONE && stored_done &&
       known[at (k, 1)] && listed[1] && seen[1] <= token (k) ->
       assert (!started_after[1]); noted = true; listed[1] = false }
  :: d_step { k < LAST && may_wait (k) && phase[0] == GONE -> time_out (k) }
  :: d_step { k < LAST && phase[k] != NONE && phase[k] != GONE -> leave (k) }
  od
}

/* Ends runs, as done or failed, and boots anew.  */
proctype runner (byte r)
{
  byte k;

end:
  do
  :: d_step { runs[r] -> runs[r] = false; listed[r] = true }
  :: d_step { runs[r] -> runs[r] = false }
  /* The runners are alike, so one boot is enough.  */
  :: d_step { r == 1 && boot_count < BOOT_LIMIT ->
       boot_count++;
       end_runs (r);
       seen[r] = 0;
       renewer[r] = 0;
       k = 0;
       do
       :: k < OWNER_COUNT ->
          known[at (k, r)] = false;
          k++
       :: else -> break
       od;
       k = 0 }
  od
}

init
{
  atomic {
    /* The first owner has asked both runners, and the task has not run.  */
    reconciled[0] = true;
    fence = token (0);
    phase[0] = ACTING;
    seen[0] = token (0);
    seen[1] = token (0);
    known[at (0, 0)] = true;
    known[at (0, 1)] = true;
    reached[at (0, 0)] = true;
    reached[at (0, 1)] = true;
    run runner (0);
    run runner (1);
    run owner (2);
    run owner (1);
    run owner (0)
  }
}
