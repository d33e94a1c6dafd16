#include "Pacing.h"

#include <algorithm>
#include <cmath>

namespace Acaciavale {

namespace {

constexpr std::int64_t kMaxStretch = 4;
constexpr int kExtraTells = 3;
constexpr std::int64_t kLeastMessageBytes = 64;
/// Members whose silence the configured times are meant for.
constexpr std::int64_t kMembersOfConfiguredTimes = 40;
/// Members per second that may use the store, each once per period.
constexpr std::int64_t kStoreUsersPerSecond = 10;
/// Evidence rumours per second over the fleet.
constexpr std::int64_t kRumoursPerSecond = 8;
constexpr std::size_t kRowsPartOfMessage = 3; ///< Of four; the rest: evidence.

std::int64_t Count(std::size_t aMembers)
{
  return static_cast<std::int64_t>(std::max<std::size_t>(aMembers, 1));
}

std::int64_t MessageBytes(const MembershipOptions& aOptions, Duration aPeriod)
{
  // NOTE: Each request is answered by as long a digest, so a VM sends twice as
  //       many messages as its fan-out, the answers among them.
  const std::int64_t messages =
    2 * static_cast<std::int64_t>(std::max<std::size_t>(aOptions.mFanOut, 1));
  const double seconds = std::chrono::duration<double>(aPeriod).count();
  const auto bytes =
    static_cast<std::int64_t>(static_cast<double>(aOptions.mBytesPerSecond) *
                              seconds / static_cast<double>(messages));
  return std::max(kLeastMessageBytes, bytes - kCallOverheadBytes);
}

} // namespace

RoundPlan PlanRound(const MembershipOptions& aOptions, std::size_t aMembers)
{
  RoundPlan plan;
  const std::int64_t wanted = Count(aMembers) * kRowBytes;
  for (std::int64_t stretch = 1; stretch <= kMaxStretch; ++stretch) {
    plan.mPeriod = aOptions.mDigestPeriod * stretch;
    plan.mMessageBytes = MessageBytes(aOptions, plan.mPeriod);
    if (plan.mMessageBytes >= wanted) {
      break;
    }
  }
  plan.mFanOut = aOptions.mFanOut;
  plan.mRows = static_cast<std::size_t>(plan.mMessageBytes / kRowBytes) *
               kRowsPartOfMessage / 4;
  plan.mRows = std::max<std::size_t>(plan.mRows, 2);
  return plan;
}

FailureTimes ScaledTimes(const MembershipOptions& aOptions,
                         std::size_t aMembers)
{
  const std::int64_t members =
    std::max(Count(aMembers), kMembersOfConfiguredTimes);
  return { aOptions.mSuspectAfter * members / kMembersOfConfiguredTimes,
           aOptions.mDeadAfter * members / kMembersOfConfiguredTimes };
}

int TellTimes(std::size_t aMembers)
{
  // NOTE: News told log(n) times plus a few by each VM that hears it reaches
  //       everybody with high probability.
  return static_cast<int>(
           std::ceil(std::log2(static_cast<double>(Count(aMembers)) + 1))) +
         kExtraTells;
}

Duration StorePeriod(const MembershipOptions& aOptions, std::size_t aMembers)
{
  const Duration paced =
    Duration(std::chrono::seconds(Count(aMembers))) / kStoreUsersPerSecond;
  return std::max(aOptions.mStorePeriod, paced);
}

Duration EvidencePeriod(const MembershipOptions& aOptions, std::size_t aMembers)
{
  const Duration paced =
    Duration(std::chrono::seconds(Count(aMembers))) / kRumoursPerSecond;
  return std::max(aOptions.mDigestPeriod, paced);
}

} // namespace Acaciavale
