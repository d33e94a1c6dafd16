/*
 * A roll-out goes from a holder whose lease lapsed to a new one.
 *
 * Two holders raise the step of one progress record and order it from two
 * engines: one refuses an old fencing number, the other ignores it. The first
 * holder may be paused at any moment and wake up believing that it still holds
 * the lease. docs/SPECS.md tells what is left out and which function carries
 * each step.
 */

#define HOLDERS 2
#define STEPS 2
#define NOBODY 255

/* The progress record. */
byte fence = 0;
byte step = 0;
bool halted = false;

byte lease = NOBODY;

/* Orders on their way to each engine, from each holder. */
typedef Wire {
  bool busy[HOLDERS];
  byte fence[HOLDERS];
  byte step[HOLDERS]
};
Wire toFenced;
Wire toUnfenced;

/* A holder that checked its lease and has not sent yet. */
bool sending[HOLDERS];

/* What the engines have. */
byte fencedFence = 0;
byte fencedStep = 0;
byte unfencedStep = 0;

/* Compare-and-swap on the record as it was read. */
inline Swap(newFence, newStep, done)
{
  atomic {
    if
#ifdef BROKEN_BLIND_PROGRESS
    :: true ->
#else
    :: fence == seenFence && step == seenStep && halted == seenHalted ->
#endif
       assert(!halted || seenHalted); /* A halt is never undone. */
       assert(newFence >= fence && newStep >= step);
       fence = newFence;
       step = newStep;
       halted = seenHalted;
       done = true
#ifndef BROKEN_BLIND_PROGRESS
    :: else -> done = false
#endif
    fi
  }
}

inline ReadProgress()
{
  atomic {
    seenFence = fence;
    seenStep = step;
    seenHalted = halted
  }
}

/* Waits until the one order that may be on its way is through. */
inline Send(wire, orderedStep)
{
  atomic {
    !wire.busy[_pid];
    wire.busy[_pid] = true;
    wire.fence[_pid] = myFence;
    wire.step[_pid] = orderedStep
  }
}

inline Order(orderedStep)
{
  Send(toFenced, orderedStep);
  /* The engine that ignores fencing: the lease is looked at right before the
     order goes out. */
  if
#ifdef BROKEN_NO_LEASE_CHECK
  :: true ->
     sending[_pid] = true;
     Send(toUnfenced, orderedStep);
     sending[_pid] = false
#else
  :: atomic { lease == _pid -> sending[_pid] = true };
     Send(toUnfenced, orderedStep);
     sending[_pid] = false
  :: lease != _pid -> break
#endif
  fi
}

active [HOLDERS] proctype Holder()
{
  byte seenFence; byte seenStep; bool seenHalted;
  byte myFence = 0;
  bool done = false;

  atomic { lease == NOBODY -> lease = _pid };
  do
  :: ReadProgress();
     Swap(seenFence + 1, seenStep, done);
     if
     :: done -> myFence = seenFence + 1; break
     :: else
     fi
  od;

#ifndef BROKEN_NO_WAIT
  /* Past the old lease and the longest pause, so that no order of the holder
     before is about to be sent or on its way. */
  (!sending[1 - _pid] && !toUnfenced.busy[1 - _pid]);
#endif

  do
  :: ReadProgress();
     if
     :: seenHalted || seenFence != myFence -> break
     :: !seenHalted && seenFence == myFence && seenStep == STEPS ->
        Order(seenStep); /* Compared with the engines' reports once more. */
        break
     :: !seenHalted && seenFence == myFence && seenStep < STEPS ->
        Order(seenStep); /* What the holder before may not have sent. */
        Swap(myFence, seenStep + 1, done)
     fi
  od
}

/* Evidence against the new version, at any moment. */
active proctype Halt()
{
  halted = true
}

/* Leases lapse whenever it pleases them. */
active proctype Leases()
{
end:
  do
  :: lease != NOBODY -> lease = NOBODY
  od
}

inline Deliver(wire, from)
{
  wire.busy[from] = false;
  wire.fence[from] = 0;
  wire.step[from] = 0
}

active proctype Engines()
{
  byte from;
end:
  do
  :: atomic {
       toFenced.busy[0] || toFenced.busy[1];
       if
       :: toFenced.busy[0] -> from = 0
       :: toFenced.busy[1] -> from = 1
       fi;
       if
#ifdef BROKEN_NO_FENCE
       :: true ->
#else
       :: toFenced.fence[from] >= fencedFence ->
#endif
          assert(toFenced.step[from] >= fencedStep);
          fencedFence = toFenced.fence[from];
          fencedStep = toFenced.step[from]
#ifndef BROKEN_NO_FENCE
       :: else
#endif
       fi;
       Deliver(toFenced, from);
       from = 0
     }
  :: atomic {
       toUnfenced.busy[0] || toUnfenced.busy[1];
       if
       :: toUnfenced.busy[0] -> from = 0
       :: toUnfenced.busy[1] -> from = 1
       fi;
#ifdef BROKEN_RELATIVE_ORDERS
       unfencedStep = unfencedStep + 1;
#else
       assert(toUnfenced.step[from] >= unfencedStep);
       unfencedStep = toUnfenced.step[from];
#endif
       assert(unfencedStep <= step); /* Nothing that nobody decided. */
       Deliver(toUnfenced, from);
       from = 0
     }
  od
}
