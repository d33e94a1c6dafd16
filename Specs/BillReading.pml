/*
 * A bill read without a snapshot of the store, while ledgers are closed and
 * folded, counts no entry twice and contains every entry that was stored before
 * the read began.
 *
 * Ledgers 0 and 1 hold one entry each. The variables seen… hold the values that
 * a process has read. docs/SPECS.md lists what the model leaves out and the
 * function that implements each step.
 */

#define LEDGERS 2

bool exists[LEDGERS];
bool closed[LEDGERS];
bool listed[LEDGERS]; /* Whether the archive contains the ledger's entry. */
byte archiveRevision = 0;

/* Writes the ledger and closes it. */
proctype Owner(byte ledger)
{
  exists[ledger] = true;
  closed[ledger] = true
}

/* Compare-and-swap on the archive: lists the ledgers given. */
inline Swap(expected, listsLedger0, listsLedger1)
{
  atomic {
    if
    :: archiveRevision == expected ->
       archiveRevision++;
       listed[0] = listed[0] || listsLedger0;
       listed[1] = listed[1] || listsLedger1
    :: else -> seenClosed[0] = false; seenClosed[1] = false
    fi
  }
}

/* Removes a ledger that was read as closed. */
inline RemoveFolded(ledger)
{
  if
  :: seenClosed[ledger] -> exists[ledger] = false
  :: else
  fi
}

/* Lists the closed ledgers in the archive and removes them. */
proctype Folder()
{
  bool seenClosed[LEDGERS];
  byte seenRevision;

  atomic {
    seenClosed[0] = exists[0] && closed[0];
    seenClosed[1] = exists[1] && closed[1]
  };
  seenRevision = archiveRevision;
#ifdef BROKEN_REMOVE_BEFORE_LISTING
  RemoveFolded(0);
  RemoveFolded(1);
  Swap(seenRevision, seenClosed[0], seenClosed[1])
#else
  Swap(seenRevision, seenClosed[0], seenClosed[1]);
  RemoveFolded(0);
  RemoveFolded(1)
#endif
}

/* Reads the bill: first the ledgers, then the archive. */
proctype Reader()
{
  bool before[LEDGERS];
  bool seenExists[LEDGERS];
  bool seenListed[LEDGERS];
  byte ledger;
  byte count;

  atomic {
    before[0] = exists[0] || listed[0];
    before[1] = exists[1] || listed[1]
  };
#ifdef BROKEN_ARCHIVE_FIRST
  atomic { seenListed[0] = listed[0]; seenListed[1] = listed[1] };
  atomic { seenExists[0] = exists[0]; seenExists[1] = exists[1] };
#else
  atomic { seenExists[0] = exists[0]; seenExists[1] = exists[1] };
  atomic { seenListed[0] = listed[0]; seenListed[1] = listed[1] };
#endif
  do
  :: ledger == LEDGERS -> break
  :: else ->
     count = (seenListed[ledger] -> 1 : 0);
#ifdef BROKEN_COUNT_LISTED_LEDGERS
     count = count + (seenExists[ledger] -> 1 : 0);
#else
     count = count + (seenExists[ledger] && !seenListed[ledger] -> 1 : 0);
#endif
     assert(count <= 1);
     assert(!before[ledger] || count == 1);
     ledger++
  od
}

init
{
  atomic {
    run Owner(0);
    run Owner(1);
    run Folder();
    run Folder();
    run Reader()
  }
}
