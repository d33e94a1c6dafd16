#pragma once

#include <Acaciavale/LibBilling/BillEntry.h>
#include <Acaciavale/LibCore/Error.h>
#include <Acaciavale/LibPlatform/KeyValueStore.h>

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

/// Ledgers: one record per incarnation in the key-value service. It holds the
/// totals of all entries up to a sequence number. When a VM dies, VMs that hold
/// its entries close its ledger.
namespace Acaciavale {

struct AccountTotal
{
  std::uint64_t mRequests = 0;
  Money mCharge;

  auto operator<=>(const AccountTotal&) const = default;
};

using AccountTotals = std::map<std::string, AccountTotal>;

/// Sends entries to VMs in other failure domains (the holders) and returns the
/// number of distinct failure domains that now hold them. Provided by
/// LibMembership.
using ReplicateEntries =
  std::function<std::size_t(const std::vector<BillEntry>& aEntries)>;

/// Notifies the holders that the store has the incarnation's entries up to the
/// sequence number. Provided by LibMembership.
using NotifyHolders =
  std::function<void(const Incarnation& aIncarnation, std::uint64_t aUpTo)>;

/// Maximum rate of ledger writes by all VMs together. A fleet small enough to
/// stay below it writes each ledger every kMinLedgerPeriod.
constexpr std::int64_t kLedgerWritesPerSecond = 50;
constexpr Duration kMinLedgerPeriod = std::chrono::seconds(2);

/// The time between two writes of one VM's ledger, chosen so that all VMs
/// together stay within kLedgerWritesPerSecond.
Duration LedgerPeriod(std::size_t aLiveVms);

struct BillingOptions
{
  std::string mVm;
  /// Prefix of the nonces of all incarnations of this process, so that other
  /// VMs can tell which process an entry is from. If empty, a random prefix is
  /// used.
  std::string mNoncePrefix{};
  std::size_t mHolderDomains = 2; ///< Failure domains needed for durability.
  Duration mLedgerPeriod = kMinLedgerPeriod;

  auto operator<=>(const BillingOptions&) const = default;
};

/// Counters of a Billing object since its construction.
struct BillingCounts
{
  std::uint64_t mEntries = 0;         ///< Entries recorded.
  std::uint64_t mHolderMessages = 0;  ///< Messages sent to the holders.
  std::uint64_t mLedgerWrites = 0;    ///< Successful ledger writes.
  std::uint64_t mLedgerFailures = 0;  ///< Failed ledger writes.
  std::uint64_t mNotDurable = 0;      ///< Entries whose callback got false.
  std::uint64_t mUnstoredEntries = 0; ///< Entries not yet in the store.
  std::uint64_t mIncarnations = 0;    ///< Incarnations started.

  auto operator<=>(const BillingCounts&) const = default;
};

/// The billing entries of this VM. Thread-safe. One background thread sends
/// entries to the holders and another writes the ledger. Both batch, so that a
/// message or a write carries many entries, and a slow store does not delay an
/// entry that enough holders have acknowledged.
///
/// An entry whose callback got false is kept and written once the store answers
/// again; it is lost only if this VM dies first. The answer may still be sent
/// to the caller, as the request is never billed twice.
class Billing
{
public:
  Billing(BillingOptions aOptions,
          KeyValueStore aStore,
          ReplicateEntries aReplicate,
          std::uint64_t aSeed,
          NotifyHolders aNotifyHolders = {});
  /// Stops without writing the ledger. Call Close first for a graceful stop.
  ~Billing();

  /// Assigns a sequence number to the entry and calls back, from another
  /// thread, once the entry is durable: held by enough failure domains or in
  /// the store. The callback gets false if neither could be reached. The last
  /// chunk of the answer is sent after the callback.
  void Record(BillEntry aEntry, std::function<void(bool aDurable)> aCallback);

  /// Writes the ledger and closes it, as the last step of a graceful stop. An
  /// entry recorded later belongs to a new incarnation. After an error the
  /// holders still have the entries, and Close may be called again.
  ErrorOr<void> Close();

  /// Writes the ledger immediately, without waiting for the ledger period.
  ErrorOr<void> Flush();

  /// Sets the time between ledger writes; see LedgerPeriod for a suitable
  /// value.
  void SetLedgerPeriod(Duration aPeriod);

  Incarnation CurrentIncarnation() const;
  BillingCounts Counts() const;

private:
  struct Private;
  std::unique_ptr<Private> mPrivate;
};

/// Entries that this VM holds for other VMs. Thread-safe.
class HeldEntries
{
public:
  HeldEntries();
  ~HeldEntries();

  void Hold(const std::vector<BillEntry>& aEntries);
  /// Discards the incarnation's entries up to this sequence number, which its
  /// ledger in the store has.
  void DiscardUpTo(const Incarnation& aIncarnation, std::uint64_t aUpTo);
  /// Discards exactly these entries.
  void Discard(const std::vector<BillEntry>& aEntries);
  std::vector<BillEntry> EntriesOf(const Incarnation& aIncarnation) const;
  std::vector<Incarnation> Incarnations() const;

private:
  struct Private;
  std::unique_ptr<Private> mPrivate;
};

/// Closes a dead VM's ledger and adds the held entries that it lacks. If the
/// ledger is closed already, the missing entries are added to the archive. The
/// result does not depend on the order or number of calls by the holders.
ErrorOr<void> CloseLedger(const KeyValueStore& aStore,
                          const Incarnation& aIncarnation,
                          const std::vector<BillEntry>& aHeld);

/// Whether an incarnation still writes its own ledger. A wrong result forces a
/// live VM to start a new incarnation, but never loses or repeats a charge.
using IsAlive = std::function<bool(const Incarnation& aIncarnation)>;

/// Closes the ledgers of all dead incarnations with held entries, and discards
/// these entries. Each VM calls this when another VM dies, and every minute.
/// Returns the number of incarnations whose entries were discarded.
ErrorOr<std::size_t> CloseDeadLedgers(const KeyValueStore& aStore,
                                      HeldEntries& aHeld,
                                      const IsAlive& aIsAlive);

/// Closes all open ledgers of dead incarnations, including those without held
/// entries on any VM. Lists all ledgers, so one VM at a time calls this, every
/// few minutes. Returns the number of ledgers closed.
ErrorOr<std::size_t> CloseAbandonedLedgers(const KeyValueStore& aStore,
                                           const IsAlive& aIsAlive);

/// How long the archive keeps the sequence numbers of an incarnation's entries.
/// A VM paused for longer loses the entries that no other VM holds.
constexpr std::chrono::hours kFoldedRetention{ 14 * 24 };

/// Folds closed ledgers into the archive: adds their totals to it and removes
/// the ledgers. Idempotent and safe on any VM at any time. One VM at a time
/// calls this, every minute, to avoid duplicate work.
ErrorOr<void> FoldLedgers(const KeyValueStore& aStore,
                          UnixMilliseconds aNow = CalendarNow());

/// The current totals of the archive and all ledgers together.
ErrorOr<AccountTotals> ReadTotals(const KeyValueStore& aStore);

/// The ledger of one incarnation: how many entries it holds by their sequence
/// numbers, and for how many requests its totals charge accounts.
struct LedgerSummary
{
  Incarnation mIncarnation;
  bool mClosed = false;
  std::uint64_t mEntries = 0;
  std::uint64_t mRequests = 0; ///< Differs from mEntries only by a fault.

  auto operator<=>(const LedgerSummary&) const = default;
};

/// A consistent snapshot of the archive and all ledgers.
struct BillReport
{
  AccountTotals mTotals;
  AccountTotals mArchived; ///< The part of mTotals that is in the archive.
  std::uint64_t mFoldedIncarnations = 0;
  std::uint64_t mArchivedEntries = 0; ///< Entries in the archive's totals.
  std::vector<LedgerSummary> mLedgers;

  auto operator<=>(const BillReport&) const = default;
};

ErrorOr<BillReport> ReadBillReport(const KeyValueStore& aStore);

/// Checks the report for inconsistent counts. Returns one sentence per
/// inconsistency.
std::vector<std::string> Reconcile(const BillReport& aReport);

/// The number of answered requests by account, from a source independent of the
/// bills.
using AnsweredRequests = std::map<std::string, std::uint64_t>;

/// Compares the billed with the answered requests. Returns one sentence per
/// account for which they differ.
std::vector<std::string> ReconcileAnswered(const AccountTotals& aTotals,
                                           const AnsweredRequests& aAnswered);

} // namespace Acaciavale
