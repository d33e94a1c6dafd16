#include <Acaciavale/LibRelay/AccountShares.h>

#include <algorithm>
#include <cmath>
#include <utility>

namespace Acaciavale::Relay {

namespace {

/// Work below which an account is no longer kept. The shortest requests count
/// a millisecond.
constexpr double kNegligibleSeconds = 1e-5;

double DecayFactor(Duration aAge)
{
  return std::exp2(-InSeconds(std::max(Duration{}, aAge)) /
                   InSeconds(kAccountWorkHalfLife));
}

void Bound(WorkByAccount& aSeconds)
{
  while (aSeconds.size() > kMaximumAccounts) {
    aSeconds.erase(std::min_element(aSeconds.begin(),
                                    aSeconds.end(),
                                    [](const auto& aLeft, const auto& aRight) {
                                      return aLeft.second < aRight.second;
                                    }));
  }
}

using WorkByPool = std::map<std::string, WorkByAccount>;

void AddReport(WorkByPool& aSum, const HeardReport& aReport, TimePoint aNow)
{
  const double factor = DecayFactor(aNow - aReport.mAsOf);
  for (const AccountWorkEntry& entry : aReport.mEntries) {
    aSum[entry.mPool][entry.mAccount] += entry.mSeconds * factor;
  }
}

void AddOwn(WorkByPool& aSum,
            const std::map<std::string, AccountWork>& aOwn,
            TimePoint aNow)
{
  for (const auto& [pool, work] : aOwn) {
    const double factor = DecayFactor(aNow - work.mAsOf);
    for (const auto& [account, seconds] : work.mSeconds) {
      aSum[pool][account] += seconds * factor;
    }
  }
}

AccountWorkReport LargestOf(const WorkByPool& aWork)
{
  AccountWorkReport report;
  for (const auto& [pool, accounts] : aWork) {
    for (const auto& [account, seconds] : accounts) {
      if (seconds > kNegligibleSeconds) {
        report.push_back({ pool, account, seconds });
      }
    }
  }
  std::sort(report.begin(),
            report.end(),
            [](const AccountWorkEntry& aLeft, const AccountWorkEntry& aRight) {
              return aLeft.mSeconds > aRight.mSeconds;
            });
  report.resize(std::min(report.size(), kMaximumReportedAccounts));
  return report;
}

bool IsCurrent(const HeardReport& aReport, TimePoint aNow)
{
  return aReport.mAsOf != TimePoint{} &&
         aNow - aReport.mAsOf <= kAccountWorkLifetime;
}

} // namespace

void Decay(AccountWork& aWork, TimePoint aNow)
{
  const double factor = DecayFactor(aNow - aWork.mAsOf);
  for (auto& [account, seconds] : aWork.mSeconds) {
    seconds *= factor;
  }
  std::erase_if(aWork.mSeconds, [](const auto& aEntry) {
    return aEntry.second < kNegligibleSeconds;
  });
  aWork.mAsOf = std::max(aWork.mAsOf, aNow);
}

void AddWork(AccountWork& aWork,
             const std::string& aAccount,
             double aSeconds,
             TimePoint aNow)
{
  Decay(aWork, aNow);
  aWork.mSeconds[aAccount] += aSeconds;
  Bound(aWork.mSeconds);
}

void RecordReport(HeardWork& aHeard,
                  const std::string& aVm,
                  AccountWorkReport aReport,
                  TimePoint aAsOf)
{
  aHeard.mByVm[aVm] = { std::move(aReport), aAsOf };
  if (aHeard.mByVm.size() > kMaximumReportingVms) {
    aHeard.mByVm.erase(
      std::min_element(aHeard.mByVm.begin(),
                       aHeard.mByVm.end(),
                       [](const auto& aLeft, const auto& aRight) {
                         return aLeft.second.mAsOf < aRight.second.mAsOf;
                       }));
  }
}

void RecordSum(HeardWork& aHeard, AccountWorkReport aReport, TimePoint aAsOf)
{
  if (aAsOf >= aHeard.mSum.mAsOf) {
    aHeard.mSum = { std::move(aReport), aAsOf };
  }
}

void DropOldReports(HeardWork& aHeard, TimePoint aNow)
{
  std::erase_if(aHeard.mByVm, [aNow](const auto& aReport) {
    return !IsCurrent(aReport.second, aNow);
  });
  if (!IsCurrent(aHeard.mSum, aNow)) {
    aHeard.mSum = {};
  }
}

AccountWork WorkOfOthers(const HeardWork& aHeard,
                         std::string_view aPool,
                         TimePoint aNow)
{
  AccountWork others;
  others.mAsOf = aNow;
  const auto add = [&](const HeardReport& aReport) {
    const double factor = DecayFactor(aNow - aReport.mAsOf);
    for (const AccountWorkEntry& entry : aReport.mEntries) {
      if (entry.mPool == aPool) {
        others.mSeconds[entry.mAccount] += entry.mSeconds * factor;
      }
    }
  };
  bool hasReports = false;
  for (const auto& [vm, report] : aHeard.mByVm) {
    if (IsCurrent(report, aNow)) {
      hasReports = true;
      add(report);
    }
  }
  if (!hasReports && IsCurrent(aHeard.mSum, aNow)) {
    add(aHeard.mSum);
  }
  Bound(others.mSeconds);
  return others;
}

AccountWorkReport ReportOf(const std::map<std::string, AccountWork>& aOwn,
                           TimePoint aNow)
{
  WorkByPool work;
  AddOwn(work, aOwn, aNow);
  return LargestOf(work);
}

AccountWorkReport SumFor(const std::string& aVm,
                         const std::map<std::string, AccountWork>& aOwn,
                         const HeardWork& aHeard,
                         TimePoint aNow)
{
  WorkByPool sum;
  AddOwn(sum, aOwn, aNow);
  for (const auto& [vm, report] : aHeard.mByVm) {
    if (vm != aVm && IsCurrent(report, aNow)) {
      AddReport(sum, report, aNow);
    }
  }
  return LargestOf(sum);
}

AccountShares SharesOf(AccountWork aOwn, AccountWork aOthers, TimePoint aNow)
{
  Decay(aOwn, aNow);
  Decay(aOthers, aNow);
  AccountShares shares;
  shares.mSeconds = std::move(aOwn.mSeconds);
  for (const auto& [account, seconds] : aOthers.mSeconds) {
    shares.mSeconds[account] += seconds;
  }
  for (const auto& [account, seconds] : shares.mSeconds) {
    shares.mTotal += seconds;
    shares.mSumOfSquares += seconds * seconds;
  }
  return shares;
}

double ShareOf(const AccountShares& aShares, const std::string& aAccount)
{
  const auto found = aShares.mSeconds.find(aAccount);
  return found == aShares.mSeconds.end() ? 0 : found->second / aShares.mTotal;
}

double RelativeShareOf(const AccountShares& aShares,
                       const std::string& aAccount)
{
  if (aShares.mSumOfSquares <= 0) {
    return 1;
  }
  // NOTE: The average share of a second of work is the sum of the squared
  //       shares.
  return ShareOf(aShares, aAccount) * aShares.mTotal * aShares.mTotal /
         aShares.mSumOfSquares;
}

double LargestShare(const AccountShares& aShares)
{
  double largest = 0;
  for (const auto& [account, seconds] : aShares.mSeconds) {
    largest = std::max(largest, seconds / aShares.mTotal);
  }
  return largest;
}

} // namespace Acaciavale::Relay
