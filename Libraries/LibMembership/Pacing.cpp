#include "Pacing.h"

#include <algorithm>
#include <cmath>

namespace Acaciavale {

namespace {

constexpr std::int64_t kMaxStretch = 4;
constexpr int kExtraTells = 3;
constexpr std::int64_t kLeastMessageBytes = 64;
/// A longer period is better than messages with less room than this.
constexpr std::int64_t kUsefulMessageBytes = 250;
/// Members whose silence the configured times are meant for.
constexpr std::int64_t kMembersOfConfiguredTimes = 55;
/// Members per second that may use the store, each once per period.
constexpr std::int64_t kStoreUsersPerSecond = 10;
constexpr Duration kMaxEvidencePeriod = std::chrono::minutes(10);
/// Rows take up to this part of a message; the rest is for evidence.
constexpr std::int64_t kRowsPart = 5;
constexpr std::int64_t kParts = 8;

std::int64_t Count(std::size_t aMembers)
{
  return static_cast<std::int64_t>(std::max<std::size_t>(aMembers, 1));
}

std::int64_t MessageBytes(const MembershipOptions& aOptions,
                          std::size_t aFanOut,
                          Duration aPeriod)
{
  // NOTE: Each request is answered by as long a digest, so a VM sends twice as
  //       many messages as its fan-out, the answers among them.
  const std::int64_t messages = 2 * static_cast<std::int64_t>(aFanOut);
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
  const std::int64_t members = Count(aMembers);
  plan.mFanOut =
    std::min(aOptions.mFanOut,
             static_cast<std::size_t>(std::max<std::int64_t>(members - 1, 1)));
  const std::int64_t wanted =
    std::max(kUsefulMessageBytes, members * kRowBytes);
  for (std::int64_t stretch = 1; stretch <= kMaxStretch; ++stretch) {
    plan.mPeriod = aOptions.mDigestPeriod * stretch;
    plan.mMessageBytes = MessageBytes(aOptions, plan.mFanOut, plan.mPeriod);
    if (plan.mMessageBytes >= wanted) {
      break;
    }
  }
  const std::int64_t rows =
    std::min(members, plan.mMessageBytes * kRowsPart / kParts / kRowBytes);
  plan.mRows = static_cast<std::size_t>(std::max<std::int64_t>(rows, 2));
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

Duration EvidencePeriod(const MembershipOptions& aOptions,
                        std::size_t aMembers,
                        std::size_t aBytes)
{
  const RoundPlan plan = PlanRound(aOptions, aMembers);
  const std::int64_t room =
    plan.mMessageBytes - static_cast<std::int64_t>(plan.mRows) * kRowBytes;
  const double bytesPerRound =
    static_cast<double>(std::max<std::int64_t>(room, 1)) * 2 *
    static_cast<double>(std::max<std::size_t>(plan.mFanOut, 1));
  const double rounds = static_cast<double>(Count(aMembers)) * kEvidenceTells *
                        static_cast<double>(aBytes) / bytesPerRound;
  const auto period = Duration(static_cast<std::int64_t>(
    static_cast<double>(plan.mPeriod.count()) * rounds));
  return std::clamp<Duration>(period, plan.mPeriod, kMaxEvidencePeriod);
}

} // namespace Acaciavale
