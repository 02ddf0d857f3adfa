/* handover.pml -- three owners in a row, and runs on runners that the owners
   after the one that started them cannot reach.

   An owner is lost or releases the cell, the second maybe before it knows what
   ran.  A lost one acts on, that is, it starts the task or renews the lease of
   its run, until its own limit of time, or until its entry sees the newest
   claim or is started again.  A run ends a lease after the last renewal.

   A new owner starts the task once it has waited for the limit of the owners
   before it and a lease.  It waits for a lease from its claim if the owner
   before it released the cell, and for a lease from then when it has heard from
   all entries that may still act: they tell the newest claim that they have
   seen while they own nothing.  What an entry told before may arrive late.

   Checked: the task never runs twice; and it runs in the end under the last
   owner, that is, no process waits for ever.

   Each mechanism can be taken out by a macro, and then a property breaks
   (check.sh):
   NO_HAND_ON: a release does not tell what its maker still waited for.
   NO_CLAIM_FIRST: an entry releases a cell that it has not claimed.
   NO_TELL: an owner takes any link of an entry as proof that it has ended.
   NO_NEWEST: it takes any claim that the entry has told, also an older one.
   NO_STOP: an entry tells the newest claim and acts on under its own.
   NO_NAMES: claims do not name the owners that their makers waited for.
   NO_KNOWN: an owner takes the names in a claim of an earlier build, which has
   none, as all.
   NO_LEASE: the wait from the telling on leaves out the lease.  */

#define OWNER_COUNT 3
#define LAST (OWNER_COUNT - 1)
#define ENTRY_COUNT 3
#define bit(e) (1 << (e))
#define token(k) ((k) + 1)

mtype = { WHOLE, LEASE, OVER };

/* By owner.  */
byte entry[OWNER_COUNT];
bool acts[OWNER_COUNT];         /* Its orders have an effect.  */
mtype wait[OWNER_COUNT];
byte former[OWNER_COUNT];       /* Entries that may act, as far as it knows.  */
bool known[OWNER_COUNT];        /* These are all.  */
bool renewed[OWNER_COUNT];      /* A lease began after its own wait for one.  */

byte told[ENTRY_COUNT];         /* Token of the newest claim told.  */

/* The newest claim.  */
byte newest;                    /* Owner.  */
bool newest_released;
bool newest_waits;              /* The release says that runs may go on.  */
byte newest_former;
bool newest_known;

bool run_lives;
byte run_owner;
bool started_by_last;

#if defined (NO_TELL)
#define has_told(e, k) true
#elif defined (NO_NEWEST)
#define has_told(e, k) (told[e] > 0)
#else
#define has_told(e, k) (told[e] >= token (k))
#endif

#define may_hear(k, e) \
  (acts[k] && (former[k] & bit (e)) != 0 && has_told (e, k))

inline begin_lease ()
{
  renewed[0] = true;
  renewed[1] = true;
  renewed[2] = true
}

/* Passes time: limits end owners, and a lease without renewal a run.  */
proctype time ()
{
end:
  do
  :: atomic { acts[0] && newest > 0 -> acts[0] = false }
  :: atomic { acts[1] && newest > 1 -> acts[1] = false }
  :: atomic { run_lives && !acts[run_owner] -> run_lives = false }
  :: atomic {
       run_lives && acts[run_owner] &&
       (!renewed[0] || !renewed[1] || !renewed[2]) -> begin_lease ()
     }
  od
}

/* An entry that sees the newest claim or is started again, and its link.  */
proctype follower (byte e)
{
end:
  do
  :: atomic {
       entry[newest] != e && told[e] < token (newest) ->
#ifndef NO_STOP
       if
       :: newest > 0 && entry[0] == e -> acts[0] = false
       :: else -> skip
       fi;
       if
       :: newest > 1 && entry[1] == e -> acts[1] = false
       :: else -> skip
       fi;
#endif
       told[e] = token (newest)
     }
  od
}

inline give_up (k)
{
  acts[k] = false;
  newest_released = true;
#ifdef NO_HAND_ON
  newest_waits = false;
#else
  newest_waits = wait[k] == WHOLE;
#endif
  newest_former = (wait[k] == OVER -> 0 : former[k]);
  newest_known = wait[k] == OVER || known[k]
}

inline claim (k, e)
{
  entry[k] = e;
  former[k] = newest_former & ~bit (entry[newest]);
  known[k] = newest_known;
  if
  :: newest_released -> wait[k] = (newest_waits -> WHOLE : LEASE)
  :: else ->
     former[k] = former[k] | bit (entry[newest]);
     wait[k] = WHOLE
  fi;
  former[k] = former[k] & ~bit (e);
  if
  :: !newest_released && former[k] == 0 && known[k] -> wait[k] = LEASE
  :: else -> skip
  fi;
  /* It may have told the claim before its own.  */
  if
  :: told[e] = token (newest)
  :: skip
  fi;
  renewed[k] = false;
  acts[k] = true;
  newest = k;
  newest_released = false;
  newest_former = former[k];
  newest_known = known[k];
#ifdef NO_NAMES
  newest_former = 0;
#endif
  if
  :: k == LAST -> skip
  :: /* A claim of an earlier build.  */
     newest_former = 0;
#ifndef NO_KNOWN
     newest_known = false
#endif
  :: skip
  fi
}

/* Takes the entry E, which has told, out of those that may act.  */
inline hear (k, e)
{
  former[k] = former[k] & ~bit (e);
  if
  :: former[k] == 0 && known[k] && wait[k] == WHOLE ->
#ifdef NO_LEASE
     wait[k] = OVER
#else
     wait[k] = LEASE;
     renewed[k] = false
#endif
  :: else -> skip
  fi
}

proctype owner (byte k)
{
  bool started;

  do
  :: atomic { may_hear (k, 0) -> hear (k, 0) }
  :: atomic { may_hear (k, 1) -> hear (k, 1) }
  :: atomic { may_hear (k, 2) -> hear (k, 2) }
  :: atomic {
       wait[k] == WHOLE && !acts[0] && (k == 1 || !acts[1]) &&
       (!run_lives || run_owner >= k) -> wait[k] = OVER
     }
  :: atomic {
       wait[k] == LEASE && (renewed[k] || !run_lives) -> wait[k] = OVER
     }
  :: atomic {
       acts[k] && wait[k] == OVER && !started ->
       assert (!run_lives);
       started = true;
       run_lives = true;
       run_owner = k;
       started_by_last = k == LAST;
       begin_lease ()
     }
  :: atomic { k < LAST && acts[k] && newest == k -> give_up (k); break }
  :: !acts[k] || (started && k == LAST) -> break
  od
}

init
{
  byte k;
  byte e;

  atomic {
    newest_known = true;
    entry[0] = 0;
    wait[0] = OVER;
    acts[0] = true;
    known[0] = true;
    entry[1] = ENTRY_COUNT;
    entry[2] = ENTRY_COUNT;
    run time ();
    run follower (0);
    run follower (1);
    run follower (2);
    run owner (0)
  }
  for (k : 1 .. LAST) {
#ifdef NO_CLAIM_FIRST
    if
    :: k == 1 ->
       atomic {
         newest_released = true;
         newest_waits = false;
         newest_former = 0
       }
    :: skip
    fi;
#endif
    atomic {
      if
      :: e = 0
      :: e = 1
      :: e = 2
      fi;
      /* An entry that acts does not claim.  */
      (!acts[0] || entry[0] != e) && (!acts[1] || entry[1] != e);
      claim (k, e);
      run owner (k)
    }
  }
  (started_by_last)
}
