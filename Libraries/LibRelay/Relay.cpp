#include <Acaciavale/LibRelay/Relay.h>

#include "ConnectionProbe.h"
#include "Exchange.h"
#include "RelayState.h"

#include <Acaciavale/LibCore/Log.h>

#include <algorithm>
#include <boost/asio/post.hpp>

namespace Acaciavale::Relay {

namespace {

/// Several round trips; a process that does not listen is reported in one.
constexpr Duration kEndpointCheckTimeout = std::chrono::milliseconds(150);
/// Size from which the room for a body depends on its account and urgency.
constexpr std::size_t kLargeBodyBytes = 64U << 10;
/// Unwritten bytes of one stream, and of all streams together as a share of the
/// budget, above which endpoints are not read.
constexpr std::size_t kMaximumUnwrittenBytes = 256U << 10;
constexpr std::size_t kMinimumUnwrittenBytes = 8U << 10;
constexpr std::size_t kUnwrittenBudgetDivisor = 4;

} // namespace

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

void RelayState::KeepSendingCall(const std::shared_ptr<OutboundCall>& aCall)
{
  CountSendingCalls();
  mSendingCalls.push_back(aCall);
}

std::size_t RelayState::CountSendingCalls()
{
  std::erase_if(mSendingCalls, [](const auto& aWeak) {
    const auto call = aWeak.lock();
    return !call || !call->IsSending();
  });
  return mSendingCalls.size();
}

std::size_t RelayState::MaximumUnwrittenBytes() const
{
  const std::size_t requests = std::max<std::size_t>(1, mExchanges.size());
  return std::clamp(mBudget->LimitBytes() / kUnwrittenBudgetDivisor / requests,
                    kMinimumUnwrittenBytes,
                    kMaximumUnwrittenBytes);
}

std::optional<Duration> RelayState::LongestExpectedOf(const Route& aRoute) const
{
  const TimePoint now = MonotonicNow();
  const auto summaryOf = [&](const std::string& aName) {
    const auto found = mDurations.find(aName);
    return found == mDurations.end() ? DurationSummary{}
                                     : RecentSummary(found->second, now);
  };
  const auto own = LongestExpected(summaryOf(aRoute.mName));
  if (own || !mSettings) {
    return own;
  }
  // NOTE: Routes of the same kind with the same pools stand for one that had no
  //       request lately.
  DurationSummary others;
  for (const Route& route : mSettings->mRoutes) {
    if (route.mKind == aRoute.mKind && route.mPools == aRoute.mPools) {
      others = Merge(others, summaryOf(route.mName));
    }
  }
  return LongestExpected(others);
}

void RelayState::CheckEndpoint(const std::shared_ptr<Endpoint>& aEndpoint,
                               std::function<void(bool aHasEnded)> aCallback)
{
  if (HasEnded(*aEndpoint, MonotonicNow())) {
    aCallback(true);
    return;
  }
  const auto [check, isFirst] = mEndpointChecks.try_emplace(aEndpoint.get());
  check->second.push_back(std::move(aCallback));
  if (!isFirst) {
    return;
  }
  ProbeConnection(
    mLoop,
    aEndpoint->mRecord.mAddress,
    kEndpointCheckTimeout,
    [state = shared_from_this(), aEndpoint](ProbeResult aResult) {
      const bool hasEnded = aResult == ProbeResult::Refused;
      if (hasEnded) {
        EndpointRegistry::RecordEnded(*aEndpoint, MonotonicNow());
        Log(LogLevel::Info,
            "relay",
            "An endpoint has ended.",
            { { "endpoint", aEndpoint->mRecord.mId },
              { "pool", aEndpoint->mRecord.mPool },
              { "open-attempts", std::to_string(aEndpoint->mInFlight) } });
      }
      const auto waiting = state->mEndpointChecks.extract(aEndpoint.get());
      for (const auto& callback : waiting.mapped()) {
        callback(hasEnded);
      }
    });
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

void RelayState::ServeQueueAt(const std::string& aPool, TimePoint aTime)
{
  PoolQueue& queue = mQueues[aPool];
  if (aTime >= queue.mPermitTimerAt) {
    return;
  }
  if (!queue.mPermitTimer) {
    queue.mPermitTimer = std::make_unique<Timer>(mLoop);
  }
  queue.mPermitTimerAt = aTime;
  queue.mPermitTimer->Start(std::max(Duration{}, aTime - MonotonicNow()),
                            [weak = weak_from_this(), aPool] {
                              if (const auto state = weak.lock()) {
                                state->mQueues[aPool].mPermitTimerAt =
                                  TimePoint::max();
                                state->ServeQueue(aPool);
                              }
                            });
}

RequestRelay::RequestRelay(boost::asio::io_context& aLoop,
                           WireCodec aCodec,
                           RelayOptions aOptions)
  : mState(std::make_shared<RelayState>(aLoop,
                                        std::move(aCodec),
                                        std::move(aOptions)))
{
  mState->mBudget->OnRelease([state = std::weak_ptr(mState)] {
    const auto alive = state.lock();
    if (!alive) {
      return;
    }
    boost::asio::post(alive->mLoop,
                      [budget = alive->mBudget] { budget->ServeWaiting(); });
  });
}

RequestRelay::~RequestRelay() = default;

void RequestRelay::SetOptions(RelayOptions aOptions)
{
  mState->mOptions = std::move(aOptions);
  mState->mBudget->SetLimit(HeldBytesLimit(mState->mOptions.mMemoryBytes));
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
    std::map<std::string, double> coldRates;
    for (const Pool& pool : mState->mSettings->mPools) {
      if (pool.mColdRequestsPerSecond > 0) {
        coldRates[pool.mName] = pool.mColdRequestsPerSecond;
      }
    }
    mState->mRegistry.SetColdRates(std::move(coldRates));
    std::set<std::string> routes;
    for (const Route& route : mState->mSettings->mRoutes) {
      routes.insert(route.mName);
    }
    std::erase_if(mState->mDurations, [&routes](const auto& aDurations) {
      return !routes.contains(aDurations.first);
    });
  }
  mState->mRegistry.SetLiveVms(mState->mOptions.mVmName, aView.mServingVms);
  mState->mRegistry.SetEvacuatedDomains(aView.mEvacuatedDomains);
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
  mState->mLiveVms = std::max<std::int64_t>(
    1, static_cast<std::int64_t>(aView.mServingVms.size()));
  mState->mReadStartedAt = aView.mReadStartedAt;
  mState->mViewReads = { true, std::nullopt, {} };
  ReviewWaiting();
  std::vector<std::string> pools;
  for (const auto& [pool, queue] : mState->mQueues) {
    pools.push_back(pool);
  }
  for (const std::string& pool : pools) {
    mState->ServeQueue(pool);
  }
}

void RequestRelay::NotifyStop(Duration aOpenTime)
{
  mState->mPlannedStop = PlannedStop{ MonotonicNow(), aOpenTime };
}

void RequestRelay::EndOpenRequests()
{
  std::vector<std::shared_ptr<Exchange>> open;
  for (Exchange* const exchange : mState->mExchanges) {
    open.push_back(exchange->shared_from_this());
  }
  for (const auto& exchange : open) {
    exchange->EndForStop();
  }
}

void RequestRelay::NotifySnapshotFailed(Duration aNextReadIn)
{
  const TimePoint now = MonotonicNow();
  mState->mViewReads =
    WithFailedRead(mState->mViewReads, now + aNextReadIn, now);
  ReviewWaiting();
}

void RequestRelay::ReviewWaiting()
{
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

bool RequestRelay::HoldBody(const RequestHead& aHead,
                            ByteHold& aHold,
                            std::size_t aBytes)
{
  BodyDemand demand;
  demand.mBytes = aBytes;
  const bool isLarge = aBytes > kLargeBodyBytes;
  const CallerRequest request =
    isLarge ? mState->mCodec.mDecodeRequest(aHead) : CallerRequest{};
  if (isLarge && mState->mSettings) {
    const RelaySettings& settings = *mState->mSettings;
    const ClientAccount* const account = FindAccount(settings, request.mKey);
    const Route* const route =
      FindRoute(settings, request.mHost, request.mPath);
    demand.mAccount = account == nullptr ? "" : account->mName;
    demand.mUrgency =
      route == nullptr ? kLowestUrgency : UrgencyOf(settings, account, *route);
  }
  if (mState->mBudget->TryHoldBody(aHold, demand)) {
    return true;
  }
  mState->mMetrics.Count("acaciavale_relay_bodies_without_room_total", {});
  Log(LogLevel::Info,
      "relay",
      "A request is refused, as there is no room for it.",
      { { "id", request.mId },
        { "account", demand.mAccount },
        { "urgency", std::to_string(demand.mUrgency) },
        { "bytes", std::to_string(aBytes) },
        { "held-bytes", std::to_string(mState->mBudget->HeldBytes()) },
        { "limit-bytes", std::to_string(mState->mBudget->LimitBytes()) } });
  return false;
}

RequestBounds RequestRelay::Bounds() const
{
  return mState->mSettings ? mState->mSettings->mBounds : RequestBounds{};
}

std::size_t RequestRelay::OpenRequests() const
{
  return mState->mExchanges.size() + mState->CountSendingCalls();
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

void RequestRelay::OnAnnouncement(std::function<void()> aHandler)
{
  mState->mOnAnnouncement = std::move(aHandler);
}

std::vector<AnnouncementReport> RequestRelay::Announcements() const
{
  return mState->mRegistry.Announcements();
}

void RequestRelay::ApplyAnnouncements(
  const std::vector<AnnouncementReport>& aReports)
{
  if (!mState->mRegistry.ApplyAnnouncements(aReports, MonotonicNow())) {
    return;
  }
  std::vector<std::string> pools;
  for (const auto& [pool, queue] : mState->mQueues) {
    pools.push_back(pool);
  }
  for (const std::string& pool : pools) {
    mState->ServeQueue(pool);
  }
}

void RequestRelay::OnCrashEvidence(std::function<void()> aHandler)
{
  mState->mOnCrashEvidence = std::move(aHandler);
}

CrashReport RequestRelay::Crashes() const
{
  if (mState->mCrashEvidence.mCrashes.empty() && mState->mQuarantine.empty()) {
    return {};
  }
  std::set<std::uint64_t> parts;
  for (const QuarantinedPrompt& prompt : mState->mQuarantine) {
    parts.insert(prompt.mParts.begin(), prompt.mParts.end());
  }
  return { SharedEvidence(mState->mCrashEvidence, parts), mState->mQuarantine };
}

bool RequestRelay::MergeCrashes(const CrashReport& aReport)
{
  const bool hasChanged = Merge(mState->mCrashEvidence, aReport.mEvidence);
  if (hasChanged) {
    mState->mSuspectPrompts = FindSuspectPrompts(mState->mCrashEvidence);
  }
  return UpdateQuarantine(
           mState->mQuarantine, aReport.mQuarantine, mState->mCrashEvidence) ||
         hasChanged;
}

std::vector<QuarantinedPrompt> RequestRelay::JudgePrompts(Duration aTrustedSpan)
{
  ForgetOldCrashes(mState->mCrashEvidence, MonotonicNow());
  mState->mSuspectPrompts = FindSuspectPrompts(mState->mCrashEvidence);
  const std::vector<QuarantinedPrompt> before = mState->mQuarantine;
  UpdateQuarantine(
    mState->mQuarantine,
    FindPromptsToQuarantine(mState->mCrashEvidence, aTrustedSpan),
    mState->mCrashEvidence);
  std::vector<QuarantinedPrompt> added;
  for (const QuarantinedPrompt& prompt : mState->mQuarantine) {
    const bool isKnown =
      std::any_of(before.begin(), before.end(), [&prompt](const auto& aKnown) {
        return aKnown.mPool == prompt.mPool && aKnown.mParts == prompt.mParts;
      });
    if (!isKnown) {
      added.push_back(prompt);
    }
  }
  return added;
}

void RequestRelay::ClearPrompt(const QuarantinedPrompt& aPrompt)
{
  std::set<std::string> versions(aPrompt.mVersions.begin(),
                                 aPrompt.mVersions.end());
  for (const auto& [endpoint, crash] : mState->mCrashEvidence.mCrashes) {
    versions.insert(crash.mVersion);
  }
  versions.insert("");
  for (const std::string& version : versions) {
    RecordSound(mState->mCrashEvidence,
                aPrompt.mPool,
                version,
                aPrompt.mParts,
                MonotonicNow());
  }
  mState->mSuspectPrompts = FindSuspectPrompts(mState->mCrashEvidence);
  UpdateQuarantine(mState->mQuarantine, {}, mState->mCrashEvidence);
}

void RequestRelay::CountUndecodableEntry()
{
  mState->mMetrics.Count("acaciavale_relay_undecodable_entries_total", {});
}

void RequestRelay::RecordFailedHandler()
{
  mState->mMetrics.Count("acaciavale_relay_failed_handlers_total", {});
}

std::string RequestRelay::MetricsText() const
{
  mState->mMetrics.SetGauge("acaciavale_relay_held_bytes",
                            {},
                            static_cast<double>(mState->mBudget->HeldBytes()));
  return mState->mMetrics.Text();
}

} // namespace Acaciavale::Relay
