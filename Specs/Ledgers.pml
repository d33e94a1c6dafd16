/*
 * Each entry is billed exactly once: closing, folding and the woken owner.
 *
 * One incarnation numbers its entries 1 and 2. Two holders close its ledger,
 * whether or not it is dead; a folder moves a closed ledger into the archive.
 * Any of them may be paused or stop between two steps, and answers and requests
 * of the store get lost. docs/SPECS.md tells what is left out and which function
 * carries each step.
 *
 * A record is compared by its content, not by its revision: a swap that succeeds
 * by revision succeeds by content too, so that no history is left out, and the
 * model needs no counters. Each atomic block touches one record once; what
 * follows in it is local to the process.
 */

#define MAX_LOST 1 /* Answers or requests that get lost in one history. */

mtype = { Ok, Conflict, Lost };

/* The ledger: bit 0 is set when it exists, bit 1 when it is closed, bits 2 and 3
   are its entries. */
#define EXISTS 1
#define CLOSED 2
#define EntriesIn(record) ((record) >> 2)
#define LedgerWith(flags, entries) ((flags) | ((entries) << 2))
byte ledger = 0;

/* The archive: bit 0 is set when it lists the incarnation, bits 1 and 2 are the
   entries that it has of it. */
#define LISTED 1
#define ArchivedIn(record) ((record) >> 1)
byte archive = 0;

/* How often an entry was added to the totals of the archive, or was billed
   under a new incarnation, which only a broken variant does. */
byte added[2];
byte renumbered[2];

/* The entries that the holders hold, those called durable, and all. */
byte held[2];
byte durable = 0;
byte recorded = 0;
bool ownerLives = true;
byte lost = 0;

#define InLedger(number) \
  ((archive & LISTED) == 0 && (EntriesIn(ledger) & (1 << number)) != 0)
#define Counted(number) \
  (added[number] + renumbered[number] + (InLedger(number) -> 1 : 0))

inline CheckOnce()
{
  assert(Counted(0) <= 1);
  assert(Counted(1) <= 1)
}

/* WriteResolved: a lost answer leaves the writer to read the record again. */
inline SwapLedger(expected, value, result)
{
  atomic {
    if
    :: ledger != (expected) -> result = Conflict
    :: ledger == (expected) ->
       ledger = value;
       CheckOnce();
       result = Ok
    :: ledger == (expected) && lost < MAX_LOST ->
       lost++;
       ledger = value;
       CheckOnce();
       result = Lost
    :: lost < MAX_LOST ->
       lost++;
       result = Lost
    fi
  }
}

/* Lists the incarnation and adds entries to the totals. */
inline SwapArchive(expected, entries, result)
{
  atomic {
    if
    :: archive != (expected) -> result = Conflict
    :: archive == (expected) ->
       archive = archive | LISTED | ((entries) << 1);
       added[0] = added[0] + ((entries) & 1);
       added[1] = added[1] + (((entries) >> 1) & 1);
       CheckOnce();
       if
       :: result = Ok
       :: lost < MAX_LOST -> lost++; result = Lost
       fi
    fi
  }
}

/* AddLateEntries. */
inline AddLate(entries)
{
  do
  :: atomic {
       seenArchive = archive;
       if
       :: (seenArchive & LISTED) != 0 &&
          (entries & ~ArchivedIn(seenArchive)) == 0 ->
          seenArchive = 0;
          break
       :: else
       fi
     };
     if
     :: (seenArchive & LISTED) != 0 ->
        SwapArchive(seenArchive, entries & ~ArchivedIn(seenArchive), result)
     :: else ->
        seenLedger = ledger;
        if
        :: (seenLedger & CLOSED) != 0 ->
           SwapArchive(seenArchive, EntriesIn(seenLedger) | entries, result)
        :: else /* Just folded: read again. */
        fi
     fi;
     atomic { seenArchive = 0; seenLedger = 0; result = Ok }
  od
}

/* SettledNumbers: the ledger first, then the archive, whose word stands above
   that of a ledger created again. */
inline ReadSettled()
{
  seenLedger = ledger;
  atomic {
    seenArchive = archive;
    if
    :: (seenArchive & LISTED) != 0 -> settled = ArchivedIn(seenArchive)
    :: (seenArchive & LISTED) == 0 && (seenLedger & CLOSED) != 0 ->
       settled = EntriesIn(seenLedger)
    :: else -> settled = 0
    fi;
    seenLedger = 0;
    seenArchive = 0
  }
}

/* CloseLedger. */
inline Close(entries)
{
  do
  :: atomic {
       seenLedger = ledger;
       if
       :: (seenLedger & CLOSED) != 0 -> seenLedger = 0; break
       :: else
       fi
     };
     if
     :: seenLedger == 0 ->
        atomic {
          seenArchive = archive;
          if
          :: (seenArchive & LISTED) != 0 -> seenArchive = 0; break
          :: else -> seenArchive = 0
          fi
        }
     :: else
     fi;
     atomic {
       SwapLedger(seenLedger,
                  LedgerWith(EXISTS | CLOSED,
                             EntriesIn(seenLedger) | entries),
                  result);
       seenLedger = 0;
       if
       :: result == Ok -> break
       :: else -> result = Ok
       fi
     }
  od;
#ifndef BROKEN_CLOSED_IS_FINAL
  ReadSettled();
  if
  :: (entries & ~settled) != 0 -> AddLate(entries)
  :: else
  fi;
  settled = 0
#endif
}

inline RemoveLedger(expected)
{
  atomic {
    if
    :: ledger == (expected) -> ledger = 0
    :: else
    fi
  }
}

/* FoldLedgers. */
inline Fold()
{
  seenLedger = ledger;
#ifdef BROKEN_REMOVE_BEFORE_LISTING
  if
  :: (seenLedger & CLOSED) != 0 -> RemoveLedger(seenLedger)
  :: else
  fi;
#endif
  atomic {
    seenArchive = archive;
    if
    :: (seenLedger & CLOSED) == 0 && (seenArchive & LISTED) == 0 ->
       seenLedger = 0 /* Nothing to fold. */
    :: else
    fi
  };
  if
  :: (seenLedger & CLOSED) != 0 ->
#ifdef BROKEN_FOLD_TWICE
     atomic {
       SwapArchive(seenArchive, EntriesIn(seenLedger), result);
#else
     atomic {
       if
       :: (seenArchive & LISTED) == 0 ||
          (EntriesIn(seenLedger) & ~ArchivedIn(seenArchive)) != 0 ->
          SwapArchive(seenArchive,
                      EntriesIn(seenLedger) & ~ArchivedIn(seenArchive),
                      result)
       :: else
       fi;
#endif
       if
       :: result == Ok
       :: else -> seenLedger = 0
       fi;
       seenArchive = 0;
       result = Ok
     }
  :: else /* An open ledger that its woken owner created again, if any. */
  fi;
  if
  :: seenLedger != 0 -> RemoveLedger(seenLedger)
  :: else
  fi;
  atomic { seenLedger = 0; seenArchive = 0 }
}

/* Billing and OwnLedger: records entries, hands them to the holders, writes the
   ledger. */
active proctype Owner()
{
  byte numbered = 0;  /* Entries recorded so far. */
  byte own = 0;
  byte confirmed = 0; /* Entries that the store has for certain. */
  byte known = 0;     /* The ledger as it was last seen. */
  bool verified = false;
  byte settled = 0;
  byte seenLedger = 0;
  byte seenArchive = 0;
  mtype result = Ok;

  do
  :: numbered < 2 -> /* One holder, or both, may be out of reach. */
     atomic {
       own = own | (1 << numbered);
       recorded = own;
       if
       :: held[0] = held[0] | (1 << numbered);
          held[1] = held[1] | (1 << numbered);
          durable = durable | (1 << numbered)
       :: held[numbered] = held[numbered] | (1 << numbered)
       :: numbered == 1
       fi;
       numbered++
     }
  :: (own & ~confirmed) != 0 ->
     atomic {
       SwapLedger(known, LedgerWith(EXISTS, own), result);
       if
       :: result == Ok -> known = LedgerWith(EXISTS, own)
       :: else
       fi
     };
     if
     :: result == Ok ->
#ifndef BROKEN_NO_VERIFY
        if
        :: !verified ->
           atomic {
             seenArchive = archive;
             verified = (seenArchive & LISTED) == 0;
             seenArchive = 0;
             if
             :: !verified -> goto closed
             :: else
             fi
           }
        :: else
        fi;
#endif
        atomic {
          durable = durable | own;
          held[0] = held[0] & ~own;
          held[1] = held[1] & ~own;
          confirmed = own
        }
     :: else ->
        atomic {
          seenLedger = ledger;
          if
          :: seenLedger == 0 && known == 0 && result == Lost
          :: seenLedger == 0 && !(known == 0 && result == Lost) -> goto closed
          :: (seenLedger & CLOSED) != 0 -> goto closed
          :: seenLedger != 0 && (seenLedger & CLOSED) == 0 ->
             known = seenLedger /* An earlier write of its own. */
          fi;
          seenLedger = 0;
          result = Ok
        }
     fi
  :: numbered == 2 && (own & ~confirmed) == 0 -> goto done
  :: true -> /* Killed. */
     atomic { ownerLives = false; goto done }
  od;

closed:
  /* Somebody closed the ledger. What it lacks goes to the archive under its old
     numbers; what is recorded later takes a new incarnation. */
  ReadSettled();
#ifdef BROKEN_RENUMBER
  atomic {
    renumbered[0] = renumbered[0] + ((own & ~settled) & 1);
    renumbered[1] = renumbered[1] + (((own & ~settled) >> 1) & 1)
  };
#else
  if
  :: (own & ~settled) != 0 -> AddLate(own)
  :: else
  fi;
#endif
done:
  atomic {
    own = 0;
    known = 0;
    confirmed = 0;
    numbered = 0;
    settled = 0;
    seenLedger = 0;
    result = Ok
  }
}

/* A holder takes the owner for dead at any moment, or never. */
active [2] proctype Holder()
{
  byte mine = 0;
  byte settled = 0;
  byte seenLedger = 0;
  byte seenArchive = 0;
  mtype result = Ok;

  if
  :: held[_pid - 1] != 0 ->
     mine = held[_pid - 1];
     Close(mine);
     mine = 0
  :: true
  fi
}

active proctype Folder()
{
  byte seenLedger = 0;
  byte seenArchive = 0;
  mtype result = Ok;

  if
  :: ledger != 0 -> Fold()
  :: true
  fi;
  if
  :: ledger != 0 -> Fold()
  :: true
  fi
}

/* When all have stopped, the holders do their duty once more, and the books must
   be complete. */
active proctype Settlement()
{
  byte holder = 0;
  byte settled = 0;
  byte seenLedger = 0;
  byte seenArchive = 0;
  mtype result = Ok;

  timeout;
  atomic {
    lost = MAX_LOST;
    do
    :: holder == 2 -> break
    :: holder < 2 && held[holder] == 0 -> holder++
    :: holder < 2 && held[holder] != 0 -> Close(held[holder]); holder++
    od;
    CheckOnce();
    assert((durable & 1) == 0 || Counted(0) == 1);
    assert((durable & 2) == 0 || Counted(1) == 1);
    /* What a living owner recorded is billed, durable or not. */
    assert(!ownerLives || (recorded & 1) == 0 || Counted(0) == 1);
    assert(!ownerLives || (recorded & 2) == 0 || Counted(1) == 1)
  }
}
