/*
 * A call that is not repeatable runs at most once.
 *
 * Three requests with the same key, each on its own VM, update one claim record
 * by compare-and-swap. Requests to the store and its responses may be lost, a
 * lost write may arrive later, and any request may be paused between two steps.
 * docs/SPECS.md lists what the model leaves out and the function that implements
 * each step.
 */

#define REQUESTS 3
#define NO_HOLDER 255
#define MAX_LOST 3 /* Requests and responses lost in one history. */

mtype = { Absent, Running, Done, Unknown };
mtype = { Ok, Conflict, Lost };

/* The claim record in the store; revision 0 stands for an absent record. */
mtype state = Absent;
byte holder = NO_HOLDER;
byte revision = 0;
byte lastRevision = 0;

/* A create request that is still in transit although its sender gave up. */
bool createDelayed = false;
byte delayedCreateHolder;

byte lostMessages = 0;

/* Number of runs of the call and the process that ran it last; used only by the
   assertions. */
byte runs = 0;
byte ranBy = NO_HOLDER;

inline Put(newState, newHolder)
{
  lastRevision++;
  revision = lastRevision;
  state = newState;
  holder = newHolder;
}

/* Compare-and-swap of the record at the expected revision; 0 expects that the
   record is absent. */
inline Swap(expected, newState, newHolder, result)
{
  atomic {
    if
    :: lostMessages < MAX_LOST -> /* The request is lost, or arrives later. */
       lostMessages++;
       result = Lost;
       if
       :: true
       :: expected == 0 && !createDelayed ->
          createDelayed = true;
          delayedCreateHolder = newHolder
       fi
    :: lostMessages < MAX_LOST -> /* The response is lost. */
       lostMessages++;
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

/* Reads the record; the variables seen… hold the values of the last read. */
inline ReadRecord()
{
  atomic {
    seenState = state;
    seenHolder = holder;
    seenRevision = revision
  }
}

/* Removes the record if it still has the expected revision. */
inline Remove(expected)
{
  atomic {
    if
    :: revision == expected ->
       state = Absent;
       holder = NO_HOLDER;
       revision = 0
    :: else
    fi
  }
}

/* Removes the claim if this request holds it. */
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

/* Marks the claim of this request as done. */
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
     /* The record contains the nonce of its writer. */
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
  :: else /* Running, Unknown or Absent: this request does not run the call. */
  fi;
  goto end;

giveUp:
  /* The caller is told that the call did not run. The claim may have been
     written or still be in transit: the claim is released if it is found, and
     the call has not run under this claim. */
  assert(ranBy != _pid);
  ReleaseOwn();
  ReleaseOwn();
  goto end;

dispatch:
  if
  :: true -> /* The request was certainly not sent. */
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

/* Delivers the delayed create request to the store. */
active proctype Network()
{
end:
  do
  :: atomic {
       createDelayed ->
       createDelayed = false;
       if
       :: revision == 0 -> Put(Running, delayedCreateHolder)
       :: else
       fi
     }
  od
}
