/*
 * Generations of settings never go back on any VM, across its restarts and
 * outages of the store, and operators who race never lose a change unseen.
 *
 * Two operators apply one change each; two VMs learn generations from the store
 * and from each other. docs/SPECS.md tells what is left out and which function
 * carries each step.
 */

#define FIRST 1  /* The generation in force at the start. */
#define LAST 3   /* One more for each operator. */
#define MAX_LOST 2
#define VMS 2
#define STEPS 4  /* What one VM does, restarts among it. */

mtype = { Ok, Conflict, Lost };

/* The root in the store, and who wrote each generation. */
byte root = FIRST;
byte author[4];
bool storeUp = true;
byte lost = 0;

/* What the VMs have in memory; 0 for nothing yet. */
byte generation[VMS];

/* The highest generation that each VM ever had in force. */
byte served[VMS];

inline Put(value, who)
{
  root = value;
  assert(author[value] == 0); /* A generation is written once. */
  author[value] = who
}

/* Compare-and-swap on the root. */
inline Swap(expected, who, result)
{
  atomic {
    if
#ifdef BROKEN_BLIND_APPLY
    :: true -> Put(expected + 1, who); result = Ok
#else
    :: storeUp && root == expected -> Put(expected + 1, who); result = Ok
    :: storeUp && root == expected && lost < MAX_LOST ->
       lost++;
       Put(expected + 1, who);
       result = Lost
    :: storeUp && root != expected -> result = Conflict
#endif
    :: lost < MAX_LOST -> lost++; result = Lost
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
  /* The history of generations tells whether the lost write took effect. The
     write is not sent again, so that "refused" stays true. */
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

/* SettingsHolder: what it takes is in force at once. */
active [VMS] proctype Vm()
{
  byte vm = _pid - 2;
  byte offered = 0;
  byte step = 0;

  do
  :: step == STEPS -> break
  :: step < STEPS ->
     step++;
     if
     :: atomic { storeUp -> offered = root };
        Offer(offered) /* The answer may be old by now. */
#ifdef BROKEN_START_FROM_ONE_PEER
     :: atomic { offered = generation[1 - vm] };
        Offer(offered)
#else
     :: atomic {
          /* Before its first generation from the store, a VM that started
             takes nothing from a peer that may lag. */
          generation[vm] != 0 -> offered = generation[1 - vm]
        };
        Offer(offered)
#endif
     :: generation[vm] = 0 /* Killed, and started again. */
     :: true
     fi
  od
}

/* Outages come and go. */
active proctype Outages()
{
  storeUp = false;
  storeUp = true
}
