/* ownership.pml -- one task, two runners, and an owner that is followed by
   another while it may still act.

   Orders may be lost or carried out late, in any order, also those that a
   delegate sends for its owner: such an order is one more that travels.  Polls
   and stops are calls with an answer, which may be lost.  A runner may crash.

   Checked: a task runs at most once at a time; it does not start after a number
   that ended as done and whose end is acknowledged then or later; and it is done
   in the end, that is, no process waits for ever.

   Each mechanism can be taken out by a macro, and then a property breaks
   (check.sh): NO_FENCE, NO_ASK, NO_STOP, NO_STORE_FIRST, NO_REPEAT.  */

#define RUNNER_COUNT 2
#define OLD 1                   /* Fencing tokens.  */
#define NEW 2
#define LOSS_LIMIT 2            /* Answers and orders that get lost.  */
/* Runs that each owner may start, which bounds the search: the new one needs one
   more than can get lost.  The first is the gap that it leaves.  */
#define OLD_RUN_COUNT 2
#define NEW_RUN_COUNT 3

mtype = { WAITING, UNCONFIRMED, RUNNING, DONE };

/* The store.  */
byte claim = OLD;               /* Newest token.  */
bool stored_done;

/* The runners.  */
byte seen[RUNNER_COUNT];        /* Highest token.  */
byte runs[RUNNER_COUNT];        /* Run in progress; 0: none.  */
byte barred[RUNNER_COUNT];      /* Runs up to this do not start there.  */
bool listed[RUNNER_COUNT];      /* An end as done that is not acknowledged.  */

byte loss_count;
bool old_gone;                  /* The old owner has stopped acting.  */
bool ended_done;
bool started_after;             /* A run started after that end.  */
bool acknowledged;

/* Starts on their way: runner, run, token.  */
chan starts = [3] of { byte, byte, byte };

#ifdef NO_FENCE
#define fenced(r, t) false
#else
#define fenced(r, t) (t < seen[r])
#endif

inline execute_start (r, number, t)
{
  if
  :: fenced (r, t) || number <= barred[r] || runs[r] != 0 -> skip
  :: else ->
     seen[r] = (t > seen[r] -> t : seen[r]);
     runs[r] = number;
     assert (runs[1 - r] == 0);
     assert (!acknowledged);
     started_after = started_after || ended_done
  fi
}

/* Carries out starts, in any order, and ends runs.  */
proctype runners ()
{
  byte r, number, t;

end:
  do
  :: atomic { starts?? r, number, t -> execute_start (r, number, t) }
  :: atomic { nempty (starts) && loss_count < LOSS_LIMIT ->
       starts?? r, number, t; loss_count++ }
  :: atomic { runs[0] != 0 ->
       listed[0] = true; barred[0] = runs[0]; runs[0] = 0; ended_done = true }
  :: atomic { runs[1] != 0 ->
       listed[1] = true; barred[1] = runs[1]; runs[1] = 0; ended_done = true }
  od
}

/* Stores that the task is done; only the owner of the newest claim can.  */
inline store_end (t, state)
{
  if
  :: claim == t -> stored_done = true; state = DONE
  :: else -> goto lost
  fi
}

inline acknowledge (r)
{
  listed[r] = false;
  acknowledged = true;
  assert (!started_after)
}

/* Polls R: sets PRESENT if it reports the run RUN, and stores an end before it
   is acknowledged.  */
inline poll (r, t, number, state, present, answered)
{
  answered = false;
  present = false;
  if
  :: atomic { fenced (r, t) -> goto lost }
  :: atomic { !fenced (r, t) && loss_count < LOSS_LIMIT ->
       seen[r] = (t > seen[r] -> t : seen[r]); loss_count++ }
  :: atomic { !fenced (r, t) ->
       seen[r] = (t > seen[r] -> t : seen[r]);
       answered = true;
       present = (runs[r] != 0);
       if
       :: present && runs[r] > number -> number = runs[r]
       :: else -> skip
       fi;
       ends = listed[r] }
#ifdef NO_STORE_FIRST
     if
     :: ends -> atomic { acknowledge (r) }; atomic { store_end (t, state) }
     :: else -> skip
     fi
#else
     if
     :: ends -> atomic { store_end (t, state) }; atomic { acknowledge (r) }
     :: else -> skip
     fi
#endif
  fi
}

proctype owner (byte t)
{
  mtype state = WAITING;
  byte number = 0;
  byte r = 0;
  byte k = 0;
  byte limit = (t == OLD -> OLD_RUN_COUNT : OLD_RUN_COUNT + NEW_RUN_COUNT);
  bool present, answered, stopped, ends;

  if
  :: t == NEW ->
     /* The claim, the fence and the reading of the records.  A former owner
        leaves a gap in the numbers of the runs.  */
     atomic { claim = NEW; number = OLD_RUN_COUNT;
       if
       :: stored_done -> state = DONE
       :: else -> skip
       fi }
#ifndef NO_ASK
     k = 0;
     do
     :: k == RUNNER_COUNT || state == DONE -> break
     :: else ->
        poll (k, t, number, state, present, answered);
        if
        :: !answered -> skip
        :: answered && present && state != DONE ->
           state = RUNNING; r = k; k++
        :: else -> k++
        fi
     od
#endif
  :: else -> skip
  fi;

  do
  :: state == DONE -> goto done
  :: state == WAITING && number < limit ->
     if
     :: r = 0
     :: r = 1
     fi;
     number++;
     starts! r, number, t;
     state = UNCONFIRMED
  :: state == RUNNING || state == UNCONFIRMED ->
     poll (r, t, number, state, present, answered);
     if
     :: state == DONE -> skip
     :: state != DONE && !answered ->
#ifdef NO_REPEAT
        false
#else
        skip
#endif
     :: state != DONE && answered && present -> state = RUNNING
     :: state != DONE && answered && !present && state == RUNNING ->
        state = WAITING
     :: state != DONE && answered && !present && state == UNCONFIRMED ->
#ifdef NO_STOP
        state = WAITING
#else
        /* The start may still arrive.  After an acknowledged stop it has no
           effect, and a later poll shows what there is.  */
        atomic {
          if
          :: fenced (r, t) -> goto lost
          :: else ->
             barred[r] = (number > barred[r] -> number : barred[r]);
             state = RUNNING
          fi }
#endif
     fi
  :: state == WAITING && number == limit ->
     goto over                  /* The bound of the search.  */
  :: t == OLD && claim == OLD ->
     /* It is lost, at any moment; its orders may still be on their way.  */
     goto lost
  od;

lost:
  if
  :: t == OLD -> old_gone = true
  :: else -> assert (false)     /* Nobody follows the new owner.  */
  fi;
  goto over;
done:
  skip;
over:
  skip
}

init
{
  atomic {
    run runners ();
    run owner (OLD)
  }
  /* The new owner takes over at any moment, also while the old one acts.  */
  run owner (NEW)
}
