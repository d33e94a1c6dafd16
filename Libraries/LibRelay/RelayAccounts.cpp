#include "RelayState.h"

/// The part of RequestRelay that exchanges the recent work of accounts with
/// other VMs.
namespace Acaciavale::Relay {

std::map<std::string, AccountWork> RelayState::OwnAccountWork() const
{
  std::map<std::string, AccountWork> own;
  for (const auto& [pool, queue] : mQueues) {
    // NOTE: The requests of public routes count as those of one account without
    //       a name.
    own[pool] = queue.mQueue.OwnWork();
  }
  return own;
}

void RelayState::ApplyHeardWork(TimePoint aNow)
{
  DropOldReports(mHeardWork, aNow);
  for (auto& [pool, queue] : mQueues) {
    queue.mQueue.SetWorkOfOthers(WorkOfOthers(mHeardWork, pool, aNow));
    mMetrics.SetGauge("acaciavale_relay_largest_account_share",
                      { { "pool", pool } },
                      LargestShare(queue.mQueue.Shares(aNow)));
  }
}

AccountWorkReport RequestRelay::AccountWorkOfThisVm() const
{
  return ReportOf(mState->OwnAccountWork(), MonotonicNow());
}

AccountWorkReport RequestRelay::AccountWorkFor(const std::string& aVm) const
{
  return SumFor(
    aVm, mState->OwnAccountWork(), mState->mHeardWork, MonotonicNow());
}

void RequestRelay::ApplyAccountWorkOf(const std::string& aVm,
                                      AccountWorkReport aReport)
{
  const TimePoint now = MonotonicNow();
  RecordReport(mState->mHeardWork, aVm, std::move(aReport), now);
  mState->ApplyHeardWork(now);
}

void RequestRelay::ApplyAccountWorkSum(AccountWorkReport aReport,
                                       TimePoint aAsOf)
{
  RecordSum(mState->mHeardWork, std::move(aReport), aAsOf);
  mState->ApplyHeardWork(MonotonicNow());
}

} // namespace Acaciavale::Relay
