/*
 * Each entry is billed exactly once while ledgers are closed and folded, also if
 * a paused owner resumes after its ledger was closed.
 *
 * One incarnation numbers its entries 1 and 2. Two holders close its ledger,
 * whether or not the incarnation is dead; a folder moves a closed ledger into
 * the archive. Each process may be paused or stop between two steps, and
 * requests to the store and its responses may be lost. docs/SPECS.md lists what
 * the model leaves out and the function that implements each step.
 *
 * Records are compared by content instead of by revision. A swap that succeeds by
 * revision succeeds by content too, so the model covers all histories without
 * revision counters. Each atomic block accesses one record once; its other
 * statements are local to the process. The variables seen… hold the content of
 * a record at its last read.
 */

#define MAX_LOST 1 /* Requests and responses lost in one history. */

mtype = { Ok, Conflict, Lost };

/* The ledger record: bit 0 is set if it exists, bit 1 if it is closed; bits 2
   and 3 are its entries. */
#define EXISTS 1
#define CLOSED 2
#define EntriesIn(record) ((record) >> 2)
#define LedgerWith(flags, entries) ((flags) | ((entries) << 2))
byte ledger = 0;

/* The archive record: bit 0 is set if it lists the incarnation; bits 1 and 2 are
   the entries that it contains of this incarnation. */
#define LISTED 1
#define ArchivedIn(record) ((record) >> 1)
byte archive = 0;

/* How often each entry was added to the totals of the archive, and how often it
   was billed under a new incarnation, which only a broken variant does. */
byte added[2];
byte renumbered[2];

/* Bit sets of entries: those that each holder holds, those reported as durable,
   and all that the owner recorded. */
byte held[2];
byte durable = 0;
byte recorded = 0;
bool ownerLives = true;
byte lostMessages = 0;

#define InLedger(number) \
  ((archive & LISTED) == 0 && (EntriesIn(ledger) & (1 << number)) != 0)
#define Counted(number) \
  (added[number] + renumbered[number] + (InLedger(number) -> 1 : 0))

inline CheckOnce()
{
  assert(Counted(0) <= 1);
  assert(Counted(1) <= 1)
}

/* Implemented by WriteResolved: after a lost response, the writer reads the
   record again. */
inline SwapLedger(expected, value, result)
{
  atomic {
    if
    :: ledger != (expected) -> result = Conflict
    :: ledger == (expected) ->
       ledger = value;
       CheckOnce();
       result = Ok
    :: ledger == (expected) && lostMessages < MAX_LOST ->
       lostMessages++;
       ledger = value;
       CheckOnce();
       result = Lost
    :: lostMessages < MAX_LOST ->
       lostMessages++;
       result = Lost
    fi
  }
}

/* Lists the incarnation in the archive and adds the entries to the totals. */
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
       :: lostMessages < MAX_LOST -> lostMessages++; result = Lost
       fi
    fi
  }
}

/* Adds entries that a closed ledger lacks. Implemented by AddLateEntries. */
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
        :: else /* The ledger was folded meanwhile: read again. */
        fi
     fi;
     atomic { seenArchive = 0; seenLedger = 0; result = Ok }
  od
}

/* Implemented by SettledNumbers: reads the ledger and then the archive, which
   takes precedence over a ledger that was created again. */
inline ReadSettled()
{
  seenLedger = ledger;
  atomic {
    seenArchive = archive;
    if
    :: (seenArchive & LISTED) != 0 -> settledEntries = ArchivedIn(seenArchive)
    :: (seenArchive & LISTED) == 0 && (seenLedger & CLOSED) != 0 ->
       settledEntries = EntriesIn(seenLedger)
    :: else -> settledEntries = 0
    fi;
    seenLedger = 0;
    seenArchive = 0
  }
}

/* Closes the ledger together with the given entries. Implemented by
   CloseLedger. */
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
  :: (entries & ~settledEntries) != 0 -> AddLate(entries)
  :: else
  fi;
  settledEntries = 0
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

/* Moves a closed ledger into the archive. Implemented by FoldLedgers. */
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
       seenLedger = 0 /* No closed ledger to fold. */
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
  :: else /* At most an open ledger, created again by an owner that resumed. */
  fi;
  if
  :: seenLedger != 0 -> RemoveLedger(seenLedger)
  :: else
  fi;
  atomic { seenLedger = 0; seenArchive = 0 }
}

/* Records entries, sends them to the holders and writes the ledger. Implemented
   by Billing and OwnLedger. */
active proctype Owner()
{
  byte recordedCount = 0;    /* Number of entries recorded so far. */
  byte ownEntries = 0;       /* Bit set of the entries recorded. */
  byte confirmedEntries = 0; /* Bit set of the entries confirmed by the store. */
  byte knownLedger = 0;      /* The ledger record at its last read or write. */
  bool verified = false;     /* The archive was read and lists no such ledger. */
  byte settledEntries = 0;
  byte seenLedger = 0;
  byte seenArchive = 0;
  mtype result = Ok;

  do
  :: recordedCount < 2 -> /* One holder or both may be unreachable. */
     atomic {
       ownEntries = ownEntries | (1 << recordedCount);
       recorded = ownEntries;
       if
       :: held[0] = held[0] | (1 << recordedCount);
          held[1] = held[1] | (1 << recordedCount);
          durable = durable | (1 << recordedCount)
       :: held[recordedCount] = held[recordedCount] | (1 << recordedCount)
       :: recordedCount == 1
       fi;
       recordedCount++
     }
  :: (ownEntries & ~confirmedEntries) != 0 ->
     atomic {
       SwapLedger(knownLedger, LedgerWith(EXISTS, ownEntries), result);
       if
       :: result == Ok -> knownLedger = LedgerWith(EXISTS, ownEntries)
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
          durable = durable | ownEntries;
          held[0] = held[0] & ~ownEntries;
          held[1] = held[1] & ~ownEntries;
          confirmedEntries = ownEntries
        }
     :: else ->
        atomic {
          seenLedger = ledger;
          if
          :: seenLedger == 0 && knownLedger == 0 && result == Lost
          :: seenLedger == 0 && !(knownLedger == 0 && result == Lost) -> goto closed
          :: (seenLedger & CLOSED) != 0 -> goto closed
          :: seenLedger != 0 && (seenLedger & CLOSED) == 0 ->
             knownLedger = seenLedger /* An earlier write of this owner. */
          fi;
          seenLedger = 0;
          result = Ok
        }
     fi
  :: recordedCount == 2 && (ownEntries & ~confirmedEntries) == 0 -> goto done
  :: true -> /* The owner is killed. */
     atomic { ownerLives = false; goto done }
  od;

closed:
  /* A holder has closed the ledger. Entries that it lacks are added to the
     archive under their old numbers; later entries would belong to a new
     incarnation. */
  ReadSettled();
#ifdef BROKEN_RENUMBER
  atomic {
    renumbered[0] = renumbered[0] + ((ownEntries & ~settledEntries) & 1);
    renumbered[1] = renumbered[1] + (((ownEntries & ~settledEntries) >> 1) & 1)
  };
#else
  if
  :: (ownEntries & ~settledEntries) != 0 -> AddLate(ownEntries)
  :: else
  fi;
#endif
done:
  atomic {
    ownEntries = 0;
    knownLedger = 0;
    confirmedEntries = 0;
    recordedCount = 0;
    settledEntries = 0;
    seenLedger = 0;
    result = Ok
  }
}

/* A holder may consider the owner dead at any moment, or never. */
active [2] proctype Holder()
{
  byte heldEntries = 0;
  byte settledEntries = 0;
  byte seenLedger = 0;
  byte seenArchive = 0;
  mtype result = Ok;

  if
  :: held[_pid - 1] != 0 ->
     heldEntries = held[_pid - 1];
     Close(heldEntries);
     heldEntries = 0
  :: true
  fi
}

/* Folds up to two times. */
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

/* After all other processes have ended, the holders close the ledger once more
   with their entries, and the bill must be complete. */
active proctype Settlement()
{
  byte holder = 0;
  byte settledEntries = 0;
  byte seenLedger = 0;
  byte seenArchive = 0;
  mtype result = Ok;

  timeout;
  atomic {
    lostMessages = MAX_LOST;
    do
    :: holder == 2 -> break
    :: holder < 2 && held[holder] == 0 -> holder++
    :: holder < 2 && held[holder] != 0 -> Close(held[holder]); holder++
    od;
    CheckOnce();
    assert((durable & 1) == 0 || Counted(0) == 1);
    assert((durable & 2) == 0 || Counted(1) == 1);
    /* Entries of an owner that was not killed are billed, durable or not. */
    assert(!ownerLives || (recorded & 1) == 0 || Counted(0) == 1);
    assert(!ownerLives || (recorded & 2) == 0 || Counted(1) == 1)
  }
}
