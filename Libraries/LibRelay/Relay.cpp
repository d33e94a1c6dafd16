#include <Acaciavale/LibRelay/Relay.h>

#include "Exchange.h"
#include "RelayState.h"

#include <Acaciavale/LibCore/Log.h>

#include <algorithm>

namespace Acaciavale::Relay {

bool RelayState::KnowsKeys() const
{
  return mSettings && SuspendAwareNow() - mAskedAt < mOptions.mKeyProof;
}

std::optional<Course> RelayState::CourseOf(const std::string& aPool) const
{
  const auto found = mCourses.find(aPool);
  return found == mCourses.end() ? std::nullopt
                                 : std::optional<Course>(found->second);
}

void RelayState::ServeLine(const std::string& aPool)
{
  const auto found = mLines.find(aPool);
  if (found == mLines.end()) {
    return;
  }
  PoolLine& pool = found->second;
  while (const auto ticket = pool.mLine.Next(MonotonicNow())) {
    const auto exchange = pool.mWaiting[*ticket].lock();
    if (exchange && !exchange->TryLeaveLine()) {
      return;
    }
    pool.mLine.Remove(*ticket);
    pool.mWaiting.erase(*ticket);
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
          "Settings are in force.",
          { { "version", std::to_string(aView.mSettings->mVersion) } });
    }
    mState->mSettings = std::move(aView.mSettings);
  }
  mState->mBook.Replace(aView.mEndpoints);
  for (const auto& [pool, course] : aView.mCourses) {
    const auto known = mState->mCourses.find(pool);
    const bool isNewOrder =
      known == mState->mCourses.end() ||
      known->second.mOrder.mRevision != course.mOrder.mRevision;
    if (isNewOrder) {
      mState->mEvidence[pool] = {};
    }
  }
  mState->mCourses = std::move(aView.mCourses);
  mState->mLiveVms = std::max<std::int64_t>(1, aView.mLiveVms);
  mState->mAskedAt = aView.mAskedAt;
  mState->mIsTold = true;
  mState->mReadingFails = false;
  const auto waiting = std::move(mState->mAwaitingView);
  mState->mAwaitingView.clear();
  for (const auto& weak : waiting) {
    if (const auto exchange = weak.lock()) {
      exchange->OnView();
    }
  }
  std::vector<std::string> pools;
  for (const auto& [pool, line] : mState->mLines) {
    pools.push_back(pool);
  }
  for (const std::string& pool : pools) {
    mState->ServeLine(pool);
  }
}

void RequestRelay::NoteReadingFailed()
{
  mState->mReadingFails = true;
  const auto waiting = std::move(mState->mAwaitingView);
  mState->mAwaitingView.clear();
  for (const auto& weak : waiting) {
    if (const auto exchange = weak.lock()) {
      exchange->OnView();
    }
  }
}

void RequestRelay::Serve(const std::shared_ptr<ClientSession>& aSession)
{
  Exchange::Start(mState, aSession);
}

bool RequestRelay::IsReady() const
{
  return mState->KnowsKeys();
}

RequestBounds RequestRelay::Bounds() const
{
  return mState->mSettings ? mState->mSettings->mBounds : RequestBounds{};
}

std::size_t RequestRelay::OpenRequests() const
{
  return mState->mOpen;
}

std::map<std::string, CourseEvidence> RequestRelay::Evidence() const
{
  return mState->mEvidence;
}

std::vector<LoadReport> RequestRelay::LoadsWithin(Duration aAge) const
{
  return mState->mBook.LoadsWithin(aAge, MonotonicNow());
}

void RequestRelay::TakeLoads(const std::vector<LoadReport>& aReports)
{
  mState->mBook.TakeLoads(aReports, MonotonicNow());
}

std::string RequestRelay::MetricsText() const
{
  return mState->mMetrics.Text();
}

} // namespace Acaciavale::Relay
