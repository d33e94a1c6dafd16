#pragma once

#include <Acaciavale/LibCore/Time.h>

#include <cstddef>
#include <map>
#include <string>
#include <string_view>
#include <vector>

/// The shares of accounts in the work that the endpoints of a pool did lately.
///
/// Load pattern: callers compete for too little capacity, and one account sends
/// a multiple of its usual requests, or prompts that are much longer than those
/// of others. The shares only decide which account goes first, so an account
/// uses whatever the others leave.
///
/// Work is measured in seconds of prompt work and decays exponentially. Each VM
/// counts what it starts itself, and VMs tell each other their counts. What was
/// heard decays as well, so that the error due to a VM that left, or that is
/// not heard, is bounded.
namespace Acaciavale::Relay {

/// Several times the two seconds that a count takes from one VM to another, so
/// that the counts of two VMs cover about the same time; and less than a
/// caller's time limit of ten seconds, so that the effect of a burst ends soon
/// after it.
inline constexpr Duration kAccountWorkHalfLife = std::chrono::seconds(6);

/// Age at which a report of another VM is dropped: a quarter of its work would
/// still count.
inline constexpr Duration kAccountWorkLifetime = 2 * kAccountWorkHalfLife;

/// Bound on the accounts that are counted in a pool. Beyond it, the account
/// with the least work is dropped, which counts as one without recent work.
inline constexpr std::size_t kMaximumAccounts = 256;

/// Bound on the entries of a report, so that it takes less than 1 KB with names
/// of ten characters: a VM sends and receives about one a second, and may use 4
/// KB a second for control.
inline constexpr std::size_t kMaximumReportedAccounts = 24;

/// Bound on the VMs whose reports are kept: four times the VMs that query one
/// reader.
inline constexpr std::size_t kMaximumReportingVms = 64;

/// Seconds of prompt work by account.
using WorkByAccount = std::map<std::string, double, std::less<>>;

/// Recent work in one pool; the counts apply to mAsOf and decay from then on.
struct AccountWork
{
  WorkByAccount mSeconds;
  TimePoint mAsOf{};

  bool operator==(const AccountWork&) const = default;
};

/// Decays the counts to aNow and drops those that no longer matter.
void Decay(AccountWork& aWork, TimePoint aNow);

/// Adds aSeconds of work that started at aNow.
void AddWork(AccountWork& aWork,
             const std::string& aAccount,
             double aSeconds,
             TimePoint aNow);

/// Recent work of an account in a pool, as VMs tell each other.
struct AccountWorkEntry
{
  std::string mPool;
  std::string mAccount;
  double mSeconds = 0;

  auto operator<=>(const AccountWorkEntry&) const = default;
};

/// The largest entries first, at most kMaximumReportedAccounts.
using AccountWorkReport = std::vector<AccountWorkEntry>;

/// A report whose counts apply to mAsOf.
struct HeardReport
{
  AccountWorkReport mEntries;
  TimePoint mAsOf{};

  auto operator<=>(const HeardReport&) const = default;
};

/// What other VMs have told. A VM that is queried by others hears of each of
/// them; a VM that queries another hears the sum of what that VM knows. Only
/// one of the two counts, and a sum replaces the previous one whoever told it,
/// so no VM is counted twice.
struct HeardWork
{
  std::map<std::string, HeardReport> mByVm; ///< Latest report of each VM.
  HeardReport mSum;                         ///< From the latest answer.

  auto operator<=>(const HeardWork&) const = default;
};

/// Keeps the VM's own recent work in place of its previous report.
void RecordReport(HeardWork& aHeard,
                  const std::string& aVm,
                  AccountWorkReport aReport,
                  TimePoint aAsOf);

/// Keeps the sum that another VM told, if it is the latest.
void RecordSum(HeardWork& aHeard, AccountWorkReport aReport, TimePoint aAsOf);

/// Drops the reports that exceed kAccountWorkLifetime.
void DropOldReports(HeardWork& aHeard, TimePoint aNow);

/// The work of other VMs in the pool at aNow.
AccountWork WorkOfOthers(const HeardWork& aHeard,
                         std::string_view aPool,
                         TimePoint aNow);

/// The largest counts at aNow of the pools' own work.
AccountWorkReport ReportOf(const std::map<std::string, AccountWork>& aOwn,
                           TimePoint aNow);

/// The sum for the answer to aVm's query: the work of this VM and of all that
/// have reported to it, except aVm itself. Sums are not passed on, so no work
/// returns to where it was counted.
AccountWorkReport SumFor(const std::string& aVm,
                         const std::map<std::string, AccountWork>& aOwn,
                         const HeardWork& aHeard,
                         TimePoint aNow);

/// The work of all accounts in a pool, and what shares are compared with.
struct AccountShares
{
  WorkByAccount mSeconds;
  double mTotal = 0;
  double mSumOfSquares = 0;

  bool operator==(const AccountShares&) const = default;
};

AccountShares SharesOf(AccountWork aOwn, AccountWork aOthers, TimePoint aNow);

/// The account's share in [0, 1] of the recent work; 0 if there was none.
double ShareOf(const AccountShares& aShares, const std::string& aAccount);

/// The account's share relative to the average, in which each account counts
/// by its work: 1 if all have equal shares or if there was no work, at least 1
/// for the largest, 0 for an account without recent work. It does not depend on
/// the number of accounts or on those that are hardly active.
double RelativeShareOf(const AccountShares& aShares,
                       const std::string& aAccount);

/// The largest share of an account.
double LargestShare(const AccountShares& aShares);

} // namespace Acaciavale::Relay
