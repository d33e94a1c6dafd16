#include "Faults.h"

#include <nlohmann/json.hpp>

namespace Acaciavale::StandIns {

namespace {

Duration MillisecondsIn(const nlohmann::json& aBody,
                        const char* aName,
                        Duration aOtherwise)
{
  if (!aBody.contains(aName)) {
    return aOtherwise;
  }
  return std::chrono::milliseconds(aBody[aName].get<std::int64_t>());
}

void Merge(PartFaults& aFaults, const nlohmann::json& aBody, TimePoint aNow)
{
  if (aBody.value("clear", false)) {
    aFaults = {};
  }
  if (aBody.contains("down_ms")) {
    aFaults.mDownUntil = aNow + MillisecondsIn(aBody, "down_ms", {});
  }
  aFaults.mFlap = MillisecondsIn(aBody, "flap_ms", aFaults.mFlap);
  aFaults.mDelay = MillisecondsIn(aBody, "delay_ms", aFaults.mDelay);
  aFaults.mLoseAnswers = aBody.value("lose_answers", aFaults.mLoseAnswers);
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

FaultBoard::FaultBoard(std::uint64_t aSeed)
  : mRandom(aSeed)
{
}

void FaultBoard::Set(const std::string& aBody)
{
  const nlohmann::json body = nlohmann::json::parse(aBody);
  const std::string part = body.at("part").get<std::string>();
  const TimePoint now = MonotonicNow();
  const std::lock_guard lock(mMutex);
  Merge(mParts[part], body, now);
  mHistory.push_back({ now, aBody });
}

PartFaults FaultBoard::Of(const std::string& aPart) const
{
  const std::lock_guard lock(mMutex);
  const auto found = mParts.find(aPart);
  return found == mParts.end() ? PartFaults{} : found->second;
}

bool FaultBoard::IsDown(const std::string& aPart) const
{
  const PartFaults faults = Of(aPart);
  const TimePoint now = MonotonicNow();
  if (now < faults.mDownUntil) {
    return true;
  }
  if (faults.mFlap <= Duration::zero()) {
    return false;
  }
  return (now.time_since_epoch() / faults.mFlap) % 2 == 1;
}

bool FaultBoard::Chance(double aShare)
{
  if (aShare <= 0) {
    return false;
  }
  const std::lock_guard lock(mMutex);
  return mRandom.Unit() < aShare;
}

std::vector<FaultSet> FaultBoard::History() const
{
  const std::lock_guard lock(mMutex);
  return mHistory;
}

} // namespace Acaciavale::StandIns
