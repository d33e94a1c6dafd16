/*
 * Control of a roll-out passes from a holder whose lease expired to a new one
 * without the roll-out going back a step.
 *
 * Two holders advance the step of one progress record and send orders for it to
 * two engines: one rejects orders with an old fencing number, the other ignores
 * the number. The first holder may be paused at any moment and resume in the
 * belief that it still holds the lease. The variables seen… hold the progress
 * record at its last read. docs/SPECS.md lists what the model leaves out and the
 * function that implements each step.
 */

#define HOLDERS 2
#define STEPS 2
#define NO_HOLDER 255

/* The progress record in the store. */
byte fence = 0;
byte step = 0;
bool halted = false;

byte lease = NO_HOLDER;

/* The orders in transit to an engine, one per holder. */
typedef Wire {
  bool busy[HOLDERS];
  byte fence[HOLDERS];
  byte step[HOLDERS]
};
Wire toFenced;
Wire toUnfenced;

/* Holders that have checked their lease but not yet sent the order. */
bool sending[HOLDERS];

/* The fencing number and steps that the engines have accepted. */
byte fencedFence = 0;
byte fencedStep = 0;
byte unfencedStep = 0;

/* Compare-and-swap of the progress record against its last read. */
inline Swap(newFence, newStep, succeeded)
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
       succeeded = true
#ifndef BROKEN_BLIND_PROGRESS
    :: else -> succeeded = false
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

/* Sends an order once the previous order of this holder has been delivered. */
inline Send(wire, orderedStep)
{
  atomic {
    !wire.busy[_pid];
    wire.busy[_pid] = true;
    wire.fence[_pid] = ownFence;
    wire.step[_pid] = orderedStep
  }
}

/* Orders a step from both engines. */
inline Order(orderedStep)
{
  Send(toFenced, orderedStep);
  /* For the engine that ignores fencing, the lease is checked immediately before
     the order is sent. */
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
  byte ownFence = 0;
  bool succeeded = false;

  atomic { lease == NO_HOLDER -> lease = _pid };
  do
  :: ReadProgress();
     Swap(seenFence + 1, seenStep, succeeded);
     if
     :: succeeded -> ownFence = seenFence + 1; break
     :: else
     fi
  od;

#ifndef BROKEN_NO_WAIT
  /* Waits for the old lease and the longest pause of a holder to pass, so that no
     order of the previous holder is about to be sent or in transit. */
  (!sending[1 - _pid] && !toUnfenced.busy[1 - _pid]);
#endif

  do
  :: ReadProgress();
     if
     :: seenHalted || seenFence != ownFence -> break
     :: !seenHalted && seenFence == ownFence && seenStep == STEPS ->
        Order(seenStep); /* Compared with the engines' reports once more. */
        break
     :: !seenHalted && seenFence == ownFence && seenStep < STEPS ->
        Order(seenStep); /* The previous holder may not have sent it. */
        Swap(ownFence, seenStep + 1, succeeded)
     fi
  od
}

/* Bad evidence about the new version may halt the roll-out at any moment. */
active proctype Halt()
{
  halted = true
}

/* A lease may expire at any moment. */
active proctype Leases()
{
end:
  do
  :: lease != NO_HOLDER -> lease = NO_HOLDER
  od
}

/* Removes a delivered order from the wire. */
inline Deliver(wire, from)
{
  wire.busy[from] = false;
  wire.fence[from] = 0;
  wire.step[from] = 0
}

/* Receives the orders at both engines. */
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
       assert(unfencedStep <= step); /* No step beyond the progress record. */
       Deliver(toUnfenced, from);
       from = 0
     }
  od
}
