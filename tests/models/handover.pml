/* handover.pml -- three owners in a row, and a run of the first on a runner that
   none of the others can reach.

   The first owner is lost or releases the cell.  While it was lost without
   knowing, it renews the lease of its run until its own limit of time, so the
   run ends only then.  After a release nothing is renewed, and it ends a lease
   later.  The second owner starts the task when it knows that the run has ended,
   or gives the cell up before.

   Checked: the task never runs twice; and it runs again in the end.

   NO_HAND_ON: a release does not tell what its maker still waited for.
   NO_CLAIM_FIRST: an entry releases a cell that it has not claimed.  */

mtype = { LOST, RELEASED };

mtype first_end;                /* How the first owner ended.  */
bool first_acts = true;         /* It may still renew the lease.  */
bool run_lives = true;          /* Its run goes on.  */
bool lease_over;                /* A lease has passed since the newest claim.  */
bool limit_over;                /* The first owner's limit of time has passed.  */
bool restarted;

/* The newest claim.  */
bool newest_released;
bool newest_waits;              /* The release says that runs may go on.  */

/* Passes time: the limit ends renewals, and a lease without renewal the run.  */
proctype time ()
{
end:
  do
  :: atomic { !limit_over -> limit_over = true; first_acts = false }
  :: atomic { run_lives && !first_acts -> run_lives = false }
  :: atomic { !lease_over && (!run_lives || first_acts) -> lease_over = true }
  od
}

inline start ()
{
  atomic { assert (!run_lives); restarted = true }
}

proctype owner (bool last)
{
  bool waits_long;              /* It waits until the run must have ended.  */

#ifdef NO_CLAIM_FIRST
  if
  :: !last -> atomic { newest_released = true; newest_waits = false }; goto over
  :: skip
  fi;
#endif
  atomic {
    waits_long = !newest_released || newest_waits;
    newest_released = false;
    lease_over = false
  }
  if
  :: waits_long -> (limit_over && !run_lives)
  :: !waits_long -> lease_over
  :: !last ->
     /* It is stopped before it knows.  */
     atomic {
       newest_released = true;
#ifdef NO_HAND_ON
       newest_waits = false
#else
       newest_waits = waits_long && run_lives
#endif
     }
     goto over
  fi;
  start ();
over:
  skip
}

init
{
  atomic {
    if
    :: first_end = LOST; newest_released = false
    :: first_end = RELEASED; newest_released = true; first_acts = false
    fi;
    run time ()
  }
  run owner (false);
  (_nr_pr == 2);
  if
  :: restarted -> skip
  :: else -> run owner (true); (_nr_pr == 2); assert (restarted)
  fi
}
