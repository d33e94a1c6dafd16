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

struct BillingOptions
{
  std::string mVm;
  std::size_t mHolders = 2; ///< Failure domains that must hold an entry.
  Duration mLedgerPeriod = std::chrono::seconds(2);

  auto operator<=>(const BillingOptions&) const = default;
};

/// This VM's own bills. Thread-safe; one background thread groups entries, so
/// that one message to the holders and one write carry many.
class Billing
{
public:
  Billing(BillingOptions aOptions,
          KeyValueStore aStore,
          ReplicateEntries aReplicate,
          std::uint64_t aSeed);
  ~Billing();

  /// Numbers the entry and calls back, from another thread, once it is durable:
  /// held by enough failure domains or in the store. The answer's last chunk
  /// waits for this. The callback gets false if neither could be reached.
  void Record(BillEntry aEntry, std::function<void(bool aDurable)> aDone);

  /// Writes the ledger now and closes it: the last step of a graceful stop.
  ErrorOr<void> Close();

  Incarnation CurrentIncarnation() const;

private:
  struct Private;
  std::unique_ptr<Private> mPrivate;
};

/// Entries that this VM holds for others.
class HeldEntries
{
public:
  HeldEntries();
  ~HeldEntries();

  void Hold(const std::vector<BillEntry>& aEntries);
  /// Forgets entries that the owner's ledger has up to this number.
  void Forget(const Incarnation& aIncarnation, std::uint64_t aUpTo);
  std::vector<BillEntry> Of(const Incarnation& aIncarnation) const;
  std::vector<Incarnation> Incarnations() const;

private:
  struct Private;
  std::unique_ptr<Private> mPrivate;
};

/// Closes a dead VM's ledger with the held entries past its highest number.
ErrorOr<void> CloseLedger(const KeyValueStore& aStore,
                          const Incarnation& aIncarnation,
                          const std::vector<BillEntry>& aHeld);

/// Folds closed ledgers into the archive; folding twice adds nothing.
ErrorOr<void> FoldLedgers(const KeyValueStore& aStore);

/// The bill as it stands: archive and all ledgers together.
ErrorOr<AccountTotals> ReadTotals(const KeyValueStore& aStore);

} // namespace Acaciavale
