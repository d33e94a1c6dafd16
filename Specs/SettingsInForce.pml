/*
 * The settings generation of a VM never decreases, across restarts of the VM and
 * outages of the store, and no change of an operator is lost unnoticed when
 * another operator applies one concurrently.
 *
 * Two operators apply one change each; two VMs fetch generations from the store
 * and from each other. docs/SPECS.md lists what the model leaves out and the
 * function that implements each step.
 */

#define FIRST 1  /* The generation in force at the start. */
#define LAST 3   /* Each operator can add one generation. */
#define MAX_LOST 2
#define VMS 2
#define STEPS 4  /* Actions of one VM, including restarts. */

mtype = { Ok, Conflict, Lost };

/* The generation of the root in the store, and the operator that wrote each
   generation. */
byte root = FIRST;
byte author[4];
bool storeUp = true;
byte lostMessages = 0;

/* The generation that each VM has in memory; 0 for none. */
byte generation[VMS];

/* The highest generation that each VM has ever had in force, across restarts. */
byte served[VMS];

inline Put(value, who)
{
  root = value;
  assert(author[value] == 0); /* A generation is written once. */
  author[value] = who
}

/* Compare-and-swap on the root; who is the number of the operator. */
inline Swap(expected, who, result)
{
  atomic {
    if
#ifdef BROKEN_BLIND_APPLY
    :: true -> Put(expected + 1, who); result = Ok
#else
    :: storeUp && root == expected -> Put(expected + 1, who); result = Ok
    :: storeUp && root == expected && lostMessages < MAX_LOST ->
       lostMessages++;
       Put(expected + 1, who);
       result = Lost
    :: storeUp && root != expected -> result = Conflict
#endif
    :: lostMessages < MAX_LOST -> lostMessages++; result = Lost
    fi
  }
}

active [2] proctype Operator()
{
  byte seen;
  byte who = _pid + 1;
  mtype result = Ok;

  atomic { storeUp -> seen = root };
  Swap(seen, who, result);
#ifndef BROKEN_GUESS_LOST
  /* The history of generations shows whether the write took effect. The write is
     not sent again, so that a reported conflict remains true. */
  if
  :: result == Lost ->
     atomic {
       storeUp;
       if
       :: author[seen + 1] == who -> result = Ok
       :: else -> result = Conflict
       fi
     }
  :: else
  fi;
#endif
  assert((result == Ok) == (author[seen + 1] == who))
}

/* Applies an offered generation if it is newer. */
inline Offer(offered)
{
  atomic {
    if
#ifdef BROKEN_TAKE_ANY
    :: offered != 0 -> generation[vm] = offered
#else
    :: offered > generation[vm] -> generation[vm] = offered
#endif
    :: else
    fi;
    offered = 0;
    if
    :: generation[vm] != 0 ->
       assert(generation[vm] >= served[vm]);
       served[vm] = generation[vm]
    :: else
    fi
  }
}

/* Implemented by SettingsHolder, which puts an accepted generation in force at
   once. */
active [VMS] proctype Vm()
{
  byte vm = _pid - 2;
  byte offered = 0;
  byte stepCount = 0;

  do
  :: stepCount == STEPS -> break
  :: stepCount < STEPS ->
     stepCount++;
     if
     :: atomic { storeUp -> offered = root };
        Offer(offered) /* The response may be outdated by now. */
#ifdef BROKEN_START_FROM_ONE_PEER
     :: atomic { offered = generation[1 - vm] };
        Offer(offered)
#else
     :: atomic {
          /* Until a started VM has its first generation from the store, it
             accepts none from a peer, which may be outdated. */
          generation[vm] != 0 -> offered = generation[1 - vm]
        };
        Offer(offered)
#endif
     :: generation[vm] = 0 /* The VM is killed and started again. */
     :: true
     fi
  od
}

/* The store is unavailable for a while. */
active proctype Outages()
{
  storeUp = false;
  storeUp = true
}
