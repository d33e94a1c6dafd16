#pragma once

#include <Acaciavale/LibBilling/BillEntry.h>
#include <Acaciavale/LibCore/Error.h>
#include <Acaciavale/LibPlatform/KeyValueStore.h>

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

/// Ledgers: one record per incarnation in the key-value service, holding the
/// totals of all entries up to a number, closed by a holder when its VM dies.
namespace Acaciavale {

struct AccountTotal
{
  std::uint64_t mRequests = 0;
  Money mCharge;

  auto operator<=>(const AccountTotal&) const = default;
};

using AccountTotals = std::map<std::string, AccountTotal>;

/// Sends entries to VMs in other failure domains and returns how many distinct
/// failure domains now hold them. Provided by the membership part.
using ReplicateEntries =
  std::function<std::size_t(const std::vector<BillEntry>& aEntries)>;

/// Tells the holders that the incarnation's entries up to the number stand in
/// the store. Provided by the membership part.
using NotifyHolders =
  std::function<void(const Incarnation& aIncarnation, std::uint64_t aUpTo)>;

/// Up to this many VMs, a ledger is written each kMinLedgerPeriod.
constexpr std::int64_t kLedgerWritesPerSecond = 50;
constexpr Duration kMinLedgerPeriod = std::chrono::seconds(2);

/// The time between two writes of one VM's ledger that keeps the writes of all
/// VMs together within kLedgerWritesPerSecond.
Duration LedgerPeriod(std::size_t aLiveVms);

struct BillingOptions
{
  std::string mVm;
  /// Names this life of the VM; each incarnation's nonce starts with it, so
  /// that others can tell whose life an entry is from. Empty: a random one.
  std::string mNoncePrefix{};
  std::size_t mHolderDomains = 2; ///< Failure domains that must hold an entry.
  Duration mLedgerPeriod = kMinLedgerPeriod;

  auto operator<=>(const BillingOptions&) const = default;
};

/// What Billing did since it was made.
struct BillingCounts
{
  std::uint64_t mEntries = 0;         ///< Entries numbered.
  std::uint64_t mHolderMessages = 0;  ///< Messages to the holders.
  std::uint64_t mLedgerWrites = 0;    ///< Ledger writes that took effect.
  std::uint64_t mLedgerFailures = 0;  ///< Ledger writes that did not.
  std::uint64_t mNotDurable = 0;      ///< Entries called back with false.
  std::uint64_t mUnstoredEntries = 0; ///< Entries not yet in the store.
  std::uint64_t mIncarnations = 0;    ///< Incarnations taken.

  auto operator<=>(const BillingCounts&) const = default;
};

/// This VM's own bills. Thread-safe; one background thread groups entries for
/// the holders and another writes the ledger, so that one message and one
/// write carry many and a slow store holds up no entry that has its holders.
///
/// An entry called back with false stays here and reaches the store when it
/// answers again; it is lost only if this VM dies before. The caller's answer
/// may go out: it is never billed twice.
class Billing
{
public:
  Billing(BillingOptions aOptions,
          KeyValueStore aStore,
          ReplicateEntries aReplicate,
          std::uint64_t aSeed,
          NotifyHolders aNotifyHolders = {});
  /// Stops without writing, as a crash would; Close comes before.
  ~Billing();

  /// Numbers the entry and calls back, from another thread, once it is durable:
  /// held by enough failure domains or in the store. The answer's last chunk
  /// waits for this. The callback gets false if neither could be reached.
  void Record(BillEntry aEntry, std::function<void(bool aDurable)> aDone);

  /// Writes the ledger now and closes it: the last step of a graceful stop. An
  /// entry recorded later belongs to a new incarnation. On an error, the
  /// entries are still with their holders, and Close may be called again.
  ErrorOr<void> Close();

  /// Writes the ledger now, without waiting for its period.
  ErrorOr<void> Flush();

  /// Follows the fleet; see LedgerPeriod.
  void SetLedgerPeriod(Duration aPeriod);

  Incarnation CurrentIncarnation() const;
  BillingCounts Counts() const;

private:
  struct Private;
  std::unique_ptr<Private> mPrivate;
};

/// Entries that this VM holds for others. Thread-safe.
class HeldEntries
{
public:
  HeldEntries();
  ~HeldEntries();

  void Hold(const std::vector<BillEntry>& aEntries);
  /// Forgets entries that the owner's ledger has up to this number.
  void DiscardUpTo(const Incarnation& aIncarnation, std::uint64_t aUpTo);
  /// Forgets exactly these entries.
  void Discard(const std::vector<BillEntry>& aEntries);
  std::vector<BillEntry> EntriesOf(const Incarnation& aIncarnation) const;
  std::vector<Incarnation> Incarnations() const;

private:
  struct Private;
  std::unique_ptr<Private> mPrivate;
};

/// Closes a dead VM's ledger with the held entries past its highest number.
/// Where it is closed already, the entries that it lacks go to the archive, so
/// that it does not matter which holder comes first, nor how often.
ErrorOr<void> CloseLedger(const KeyValueStore& aStore,
                          const Incarnation& aIncarnation,
                          const std::vector<BillEntry>& aHeld);

/// Whether an incarnation still writes its own ledger. A wrong answer costs a
/// live VM its incarnation and never a bill.
using IsAlive = std::function<bool(const Incarnation& aIncarnation)>;

/// Closes the ledgers of all incarnations that the held entries name and that
/// are dead, and forgets their entries. Each VM calls it when another dies, and
/// every minute. Returns the number of incarnations settled.
ErrorOr<std::size_t> CloseDeadLedgers(const KeyValueStore& aStore,
                                      HeldEntries& aHeld,
                                      const IsAlive& aIsAlive);

/// Closes the open ledgers of dead incarnations of which nobody holds entries.
/// Lists all ledgers; one VM at a time calls it, every few minutes.
ErrorOr<std::size_t> CloseAbandonedLedgers(const KeyValueStore& aStore,
                                           const IsAlive& aIsAlive);

/// How long the archive remembers which entries of an incarnation it has. A VM
/// paused for longer loses the entries that nobody holds.
constexpr std::chrono::hours kFoldedRetention{ 14 * 24 };

/// Folds closed ledgers into the archive; folding twice adds nothing. Any VM
/// may call it at any time; one VM at a time, every minute, saves work.
ErrorOr<void> FoldLedgers(const KeyValueStore& aStore,
                          UnixMilliseconds aNow = CalendarNow());

/// The bill as it stands: archive and all ledgers together.
ErrorOr<AccountTotals> ReadTotals(const KeyValueStore& aStore);

/// One incarnation in the books: how many entries it numbered by what the
/// store knows, and for how many requests accounts are charged.
struct LedgerSummary
{
  Incarnation mIncarnation;
  bool mClosed = false;
  std::uint64_t mEntries = 0;
  std::uint64_t mRequests = 0; ///< Equal to mEntries, or the books are wrong.

  auto operator<=>(const LedgerSummary&) const = default;
};

/// The books in one consistent reading.
struct BillReport
{
  AccountTotals mTotals;
  AccountTotals mArchived; ///< The part of the totals that is folded.
  std::uint64_t mFoldedIncarnations = 0;
  std::uint64_t mArchivedEntries = 0; ///< Entries ever folded.
  std::vector<LedgerSummary> mLedgers;

  auto operator<=>(const BillReport&) const = default;
};

ErrorOr<BillReport> ReadBillReport(const KeyValueStore& aStore);

/// What does not add up in the report, one sentence each; empty when all does.
std::vector<std::string> Reconcile(const BillReport& aReport);

/// Requests that were answered, by account, as somebody else counted them.
using AnsweredRequests = std::map<std::string, std::uint64_t>;

/// Where the bill and the requests answered differ, one sentence per account.
std::vector<std::string> ReconcileAnswered(const AccountTotals& aTotals,
                                           const AnsweredRequests& aAnswered);

} // namespace Acaciavale
