#include <Acaciavale/LibRelay/PlannedStop.h>

namespace Acaciavale::Relay {

namespace {

/// How long new connections are accepted: as long as most callers cache the
/// address.
constexpr Duration kAcceptTime = std::chrono::milliseconds(2500);
/// Time before the timeout at which open requests get their final response.
constexpr Duration kEndMargin = std::chrono::milliseconds(1000);
/// Time before the timeout at which the process exits. The exit takes some
/// tenths of a second on a small VM.
constexpr Duration kExitMargin = std::chrono::milliseconds(500);

} // namespace

bool CanEndBeforeCut(const LateRequest& aRequest)
{
  const Duration left = aRequest.mOpenTime - aRequest.mSinceStop;
  return aRequest.mTimeLeft <= left ||
         (aRequest.mLongestExpected && *aRequest.mLongestExpected <= left);
}

Duration OpenTimeOfStop(Duration aTimeout)
{
  return aTimeout - kEndMargin;
}

StopPhase PhaseOfStop(const StopProgress& aProgress)
{
  const bool isEnding =
    aProgress.mElapsed >= OpenTimeOfStop(aProgress.mTimeout);
  const bool isAccepting = aProgress.mElapsed < kAcceptTime && !isEnding;
  if (isAccepting) {
    return StopPhase::Accepting;
  }
  const bool isOver = !aProgress.mHasRequests ||
                      aProgress.mElapsed >= aProgress.mTimeout - kExitMargin;
  if (isOver) {
    return StopPhase::Over;
  }
  return isEnding ? StopPhase::Ending : StopPhase::Draining;
}

} // namespace Acaciavale::Relay
