#include <Acaciavale/LibRelay/Relay.h>

#include "Exchange.h"
#include "RelayState.h"

#include <Acaciavale/LibCore/Log.h>

#include <algorithm>

namespace Acaciavale::Relay {

bool RelayState::AreKeysCurrent() const
{
  return mSettings &&
         SuspendAwareNow() - mReadStartedAt < mOptions.mMaximumSettingsAge;
}

std::optional<TrafficShift> RelayState::TrafficShiftOf(
  const std::string& aPool) const
{
  const auto found = mTrafficShifts.find(aPool);
  return found == mTrafficShifts.end()
           ? std::nullopt
           : std::optional<TrafficShift>(found->second);
}

void RelayState::ServeQueue(const std::string& aPool)
{
  const auto found = mQueues.find(aPool);
  if (found == mQueues.end()) {
    return;
  }
  PoolQueue& poolQueue = found->second;
  while (const auto ticket = poolQueue.mQueue.Next(MonotonicNow())) {
    const auto exchange = poolQueue.mWaiting[*ticket].lock();
    if (exchange && !exchange->TryLeaveQueue()) {
      return;
    }
    poolQueue.mQueue.Remove(*ticket);
    poolQueue.mWaiting.erase(*ticket);
  }
}

RequestRelay::RequestRelay(boost::asio::io_context& aLoop,
                           WireCodec aCodec,
                           RelayOptions aOptions)
  : mState(std::make_shared<RelayState>(aLoop,
                                        std::move(aCodec),
                                        std::move(aOptions)))
{
}

RequestRelay::~RequestRelay() = default;

void RequestRelay::SetOptions(RelayOptions aOptions)
{
  mState->mOptions = std::move(aOptions);
}

void RequestRelay::Apply(FleetView aView)
{
  const bool isNewer =
    aView.mSettings && (!mState->mSettings || aView.mSettings->mVersion >=
                                                mState->mSettings->mVersion);
  if (isNewer) {
    if (!mState->mSettings ||
        mState->mSettings->mVersion != aView.mSettings->mVersion) {
      Log(LogLevel::Info,
          "relay",
          "Applied new settings.",
          { { "version", std::to_string(aView.mSettings->mVersion) } });
    }
    mState->mSettings = std::move(aView.mSettings);
  }
  mState->mRegistry.Replace(aView.mEndpoints, MonotonicNow());
  for (const auto& [pool, shift] : aView.mTrafficShifts) {
    const auto known = mState->mTrafficShifts.find(pool);
    const bool isNewOrder =
      known == mState->mTrafficShifts.end() ||
      known->second.mOrder.mRevision != shift.mOrder.mRevision;
    if (isNewOrder) {
      mState->mEvidence[pool] = {};
    }
  }
  mState->mTrafficShifts = std::move(aView.mTrafficShifts);
  mState->mLiveVms = std::max<std::int64_t>(1, aView.mLiveVms);
  mState->mReadStartedAt = aView.mReadStartedAt;
  mState->mHasFleetView = true;
  mState->mSnapshotFailed = false;
  const auto waiting = std::move(mState->mAwaitingFleetView);
  mState->mAwaitingFleetView.clear();
  for (const auto& weak : waiting) {
    if (const auto exchange = weak.lock()) {
      exchange->OnFleetView();
    }
  }
  std::vector<std::string> pools;
  for (const auto& [pool, queue] : mState->mQueues) {
    pools.push_back(pool);
  }
  for (const std::string& pool : pools) {
    mState->ServeQueue(pool);
  }
}

void RequestRelay::NotifySnapshotFailed()
{
  mState->mSnapshotFailed = true;
  const auto waiting = std::move(mState->mAwaitingFleetView);
  mState->mAwaitingFleetView.clear();
  for (const auto& weak : waiting) {
    if (const auto exchange = weak.lock()) {
      exchange->OnFleetView();
    }
  }
}

void RequestRelay::Serve(const std::shared_ptr<ClientSession>& aSession)
{
  Exchange::Start(mState, aSession);
}

bool RequestRelay::IsReady() const
{
  return mState->AreKeysCurrent();
}

RequestBounds RequestRelay::Bounds() const
{
  return mState->mSettings ? mState->mSettings->mBounds : RequestBounds{};
}

std::size_t RequestRelay::OpenRequests() const
{
  return mState->mOpenRequests;
}

std::map<std::string, TrafficShiftEvidence> RequestRelay::Evidence() const
{
  std::map<std::string, TrafficShiftEvidence> counted;
  for (auto& [pool, evidence] : mState->mEvidence) {
    RateDueAttempts(evidence, MonotonicNow());
    counted[pool] = evidence.mCounted;
  }
  return counted;
}

std::vector<LoadReport> RequestRelay::LoadReportsWithin(Duration aAge) const
{
  return mState->mRegistry.LoadReportsWithin(aAge, MonotonicNow());
}

void RequestRelay::ApplyLoadReports(const std::vector<LoadReport>& aReports)
{
  mState->mRegistry.ApplyLoadReports(aReports, MonotonicNow());
}

std::string RequestRelay::MetricsText() const
{
  return mState->mMetrics.Text();
}

} // namespace Acaciavale::Relay
