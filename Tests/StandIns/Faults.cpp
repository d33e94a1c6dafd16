#include "Faults.h"

#include <nlohmann/json.hpp>

namespace Acaciavale::StandIns {

namespace {

Duration ParseMilliseconds(const nlohmann::json& aBody,
                           const char* aName,
                           Duration aDefault)
{
  if (!aBody.contains(aName)) {
    return aDefault;
  }
  return std::chrono::milliseconds(aBody[aName].get<std::int64_t>());
}

void ApplyFaults(TargetFaults& aFaults,
                 const nlohmann::json& aBody,
                 TimePoint aNow)
{
  if (aBody.value("clear", false)) {
    aFaults = {};
  }
  if (aBody.contains("down_ms")) {
    aFaults.mDownUntil = aNow + ParseMilliseconds(aBody, "down_ms", {});
  }
  aFaults.mFlapHalfPeriod =
    ParseMilliseconds(aBody, "flap_ms", aFaults.mFlapHalfPeriod);
  aFaults.mDelay = ParseMilliseconds(aBody, "delay_ms", aFaults.mDelay);
  aFaults.mLostAnswerShare =
    aBody.value("lose_answers", aFaults.mLostAnswerShare);
  aFaults.mErrorShare = aBody.value("error_share", aFaults.mErrorShare);
  if (aBody.contains("break_after_chunks")) {
    aFaults.mBreakAfterChunks = aBody["break_after_chunks"].get<int>();
    aFaults.mBreakShare = 1;
  }
  aFaults.mBreakShare = aBody.value("break_share", aFaults.mBreakShare);
  aFaults.mSlowFactor = aBody.value("slow_factor", aFaults.mSlowFactor);
  aFaults.mQuality = aBody.value("quality", aFaults.mQuality);
  aFaults.mLeaving = aBody.value("leaving", aFaults.mLeaving);
}

} // namespace

FaultInjector::FaultInjector(std::uint64_t aSeed)
  : mRandom(aSeed)
{
}

void FaultInjector::Set(const std::string& aBody)
{
  const nlohmann::json body = nlohmann::json::parse(aBody);
  const std::string part = body.at("part").get<std::string>();
  const TimePoint now = MonotonicNow();
  const std::lock_guard lock(mMutex);
  ApplyFaults(mFaultsByTarget[part], body, now);
  mHistory.push_back({ now, aBody });
}

TargetFaults FaultInjector::FaultsFor(const std::string& aTarget) const
{
  const std::lock_guard lock(mMutex);
  const auto found = mFaultsByTarget.find(aTarget);
  return found == mFaultsByTarget.end() ? TargetFaults{} : found->second;
}

bool FaultInjector::IsDown(const std::string& aTarget) const
{
  const TargetFaults faults = FaultsFor(aTarget);
  const TimePoint now = MonotonicNow();
  if (now < faults.mDownUntil) {
    return true;
  }
  if (faults.mFlapHalfPeriod <= Duration::zero()) {
    return false;
  }
  return (now.time_since_epoch() / faults.mFlapHalfPeriod) % 2 == 1;
}

bool FaultInjector::Chance(double aProbability)
{
  if (aProbability <= 0) {
    return false;
  }
  const std::lock_guard lock(mMutex);
  return mRandom.Unit() < aProbability;
}

std::vector<FaultRecord> FaultInjector::History() const
{
  const std::lock_guard lock(mMutex);
  return mHistory;
}

} // namespace Acaciavale::StandIns
