/*
 * A call that may not be repeated runs at most once.
 *
 * Three requests under one key, each on a VM of its own, share one claim record
 * under compare-and-swap. Answers and requests of the store get lost, a lost
 * write may arrive later, and any request may be paused between any two steps.
 * docs/SPECS.md tells what is left out and which function carries each step.
 */

#define REQUESTS 3
#define NOBODY 255
#define MAX_LOST 3 /* Answers or requests that get lost in one history. */

mtype = { Absent, Running, Done, Unknown };
mtype = { Ok, Conflict, Lost };

/* The record in the store. */
mtype state = Absent;
byte holder = NOBODY;
byte revision = 0;
byte lastRevision = 0;

/* A write that the store has not seen yet, though its sender gave up. */
bool delayed = false;
byte delayedHolder;

byte lost = 0;

/* What happened, for the assertions only. */
byte runs = 0;
byte ranBy = NOBODY;

inline Put(newState, newHolder)
{
  lastRevision++;
  revision = lastRevision;
  state = newState;
  holder = newHolder;
}

/* Compare-and-swap from an expected revision, 0 for an absent record. */
inline Swap(expected, newState, newHolder, result)
{
  atomic {
    if
    :: lost < MAX_LOST -> /* The request is lost, or arrives later. */
       lost++;
       result = Lost;
       if
       :: true
       :: expected == 0 && !delayed ->
          delayed = true;
          delayedHolder = newHolder
       fi
    :: lost < MAX_LOST -> /* The answer is lost. */
       lost++;
       result = Lost;
       if
#ifdef BROKEN_BLIND_WRITE
       :: true -> Put(newState, newHolder)
#else
       :: revision == expected -> Put(newState, newHolder)
       :: else
#endif
       fi
    :: true ->
       if
#ifdef BROKEN_BLIND_WRITE
       :: true -> Put(newState, newHolder); result = Ok
#else
       :: revision == expected -> Put(newState, newHolder); result = Ok
       :: else -> result = Conflict
#endif
       fi
    fi
  }
}

inline ReadRecord()
{
  atomic {
    seenState = state;
    seenHolder = holder;
    seenRevision = revision
  }
}

/* Removes the record if it still has the revision that was read. */
inline Remove(expected)
{
  atomic {
    if
    :: revision == expected ->
       state = Absent;
       holder = NOBODY;
       revision = 0
    :: else
    fi
  }
}

inline ReleaseOwn()
{
  ReadRecord();
  if
#ifdef BROKEN_RELEASE_ANY
  :: seenState == Running -> Remove(seenRevision)
#else
  :: seenState == Running && seenHolder == _pid -> Remove(seenRevision)
#endif
  :: else
  fi
}

inline Complete()
{
  ReadRecord();
  if
  :: seenState == Running && seenHolder == _pid ->
     Swap(seenRevision, Done, _pid, result)
  :: else
  fi
}

active [REQUESTS] proctype Request()
{
  mtype result = Ok;
  mtype seenState;
  byte seenHolder;
  byte seenRevision;
  bool granted = false;

  Swap(0, Running, _pid, result);
  if
  :: result == Ok -> granted = true
  :: result == Conflict -> skip
  :: result == Lost ->
#ifdef BROKEN_TRUST_LOST_WRITE
     granted = true
#else
     /* The record carries the nonce of whoever wrote it. */
     ReadRecord();
     if
     :: seenState != Absent && seenHolder == _pid -> granted = true
     :: seenState != Absent && seenHolder != _pid -> skip
     :: seenState == Absent -> goto giveUp
     fi
#endif
  fi;

  if
  :: granted -> goto dispatch
  :: else
  fi;

  ReadRecord();
  if
  :: seenState == Done ->
     assert(runs == 1)
#ifdef BROKEN_TAKE_OVER_OVERDUE
  :: seenState == Running ->
     Swap(seenRevision, Running, _pid, result);
     if
     :: result == Ok -> goto dispatch
     :: else
     fi
#endif
  :: else /* In progress, unknown, or gone: this request runs nothing. */
  fi;
  goto end;

giveUp:
  /* "Not run" is told. The claim may be taken, or be on its way: it is
     released when it is found, and nothing has run under it. */
  assert(ranBy != _pid);
  ReleaseOwn();
  ReleaseOwn();
  goto end;

dispatch:
  if
  :: true -> /* Certain that nothing was sent. */
     ReleaseOwn()
  :: true ->
     atomic {
       runs++;
       ranBy = _pid;
       assert(runs <= 1)
     };
     Complete()
  fi;

end:
  skip
}

/* Hands the store what was on its way. */
active proctype Network()
{
end:
  do
  :: atomic {
       delayed ->
       delayed = false;
       if
       :: revision == 0 -> Put(Running, delayedHolder)
       :: else
       fi
     }
  od
}
