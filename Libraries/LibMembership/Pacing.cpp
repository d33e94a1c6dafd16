#include "Pacing.h"

#include <algorithm>
#include <cmath>

namespace Acaciavale {

namespace {

/// Maximum factor by which a round's period exceeds the configured one.
constexpr std::int64_t kMaxPeriodFactor = 4;
/// Transmissions of an urgent change beyond the logarithm of the fleet size.
constexpr int kExtraTransmissions = 3;
constexpr std::int64_t kMinMessageBytes = 64;
/// The period of a round is lengthened, up to its maximum, before messages
/// become shorter than this.
constexpr std::int64_t kMinUsefulMessageBytes = 250;
/// Fleet size up to which the configured failure timeouts apply unscaled.
constexpr std::int64_t kReferenceMembers = 55;
/// Maximum rate at which all VMs together sync with the key-value service.
constexpr std::int64_t kStoreSyncsPerSecond = 10;
constexpr Duration kMaxEvidencePeriod = std::chrono::minutes(10);
/// Rows take up to this fraction of a message; the rest is for evidence.
constexpr std::int64_t kRowShareNumerator = 5;
constexpr std::int64_t kRowShareDenominator = 8;

std::int64_t AtLeastOne(std::size_t aMemberCount)
{
  return static_cast<std::int64_t>(std::max<std::size_t>(aMemberCount, 1));
}

std::int64_t MessageBytes(const MembershipOptions& aOptions,
                          std::size_t aFanOut,
                          Duration aPeriod)
{
  // NOTE: A VM also sends replies of the same length to the requests of its
  //       peers, so it sends twice as many messages as its fan-out.
  const std::int64_t messages = 2 * static_cast<std::int64_t>(aFanOut);
  const double seconds = std::chrono::duration<double>(aPeriod).count();
  const auto bytes = static_cast<std::int64_t>(
    static_cast<double>(aOptions.mControlBytesPerSecond) * seconds /
    static_cast<double>(messages));
  return std::max(kMinMessageBytes, bytes - kCallOverheadBytes);
}

} // namespace

RoundPlan PlanRound(const MembershipOptions& aOptions, std::size_t aMemberCount)
{
  RoundPlan plan;
  const std::int64_t memberCount = AtLeastOne(aMemberCount);
  plan.mFanOut = std::min(
    aOptions.mFanOut,
    static_cast<std::size_t>(std::max<std::int64_t>(memberCount - 1, 1)));
  const std::int64_t wantedBytes =
    std::max(kMinUsefulMessageBytes, memberCount * kRowBytes);
  for (std::int64_t factor = 1; factor <= kMaxPeriodFactor; ++factor) {
    plan.mPeriod = aOptions.mDigestPeriod * factor;
    plan.mMaxMessageBytes = MessageBytes(aOptions, plan.mFanOut, plan.mPeriod);
    if (plan.mMaxMessageBytes >= wantedBytes) {
      break;
    }
  }
  const std::int64_t rows =
    std::min(memberCount,
             plan.mMaxMessageBytes * kRowShareNumerator / kRowShareDenominator /
               kRowBytes);
  plan.mMaxRows = static_cast<std::size_t>(std::max<std::int64_t>(rows, 2));
  return plan;
}

FailureTimes ScaledFailureTimes(const MembershipOptions& aOptions,
                                std::size_t aMemberCount)
{
  const std::int64_t memberCount =
    std::max(AtLeastOne(aMemberCount), kReferenceMembers);
  return { aOptions.mSuspectAfter * memberCount / kReferenceMembers,
           aOptions.mDeadAfter * memberCount / kReferenceMembers };
}

int GossipTransmissions(std::size_t aMemberCount)
{
  // NOTE: If each VM that receives a change sends it log2(n) times and a few
  //       times more, the change reaches all VMs with high probability.
  return static_cast<int>(std::ceil(
           std::log2(static_cast<double>(AtLeastOne(aMemberCount)) + 1))) +
         kExtraTransmissions;
}

Duration StorePeriod(const MembershipOptions& aOptions,
                     std::size_t aMemberCount)
{
  const Duration scaled =
    Duration(std::chrono::seconds(AtLeastOne(aMemberCount))) /
    kStoreSyncsPerSecond;
  return std::max(aOptions.mMinStorePeriod, scaled);
}

Duration EvidencePeriod(const MembershipOptions& aOptions,
                        std::size_t aMemberCount,
                        std::size_t aEvidenceBytes)
{
  const RoundPlan plan = PlanRound(aOptions, aMemberCount);
  const std::int64_t evidenceRoom =
    plan.mMaxMessageBytes -
    static_cast<std::int64_t>(plan.mMaxRows) * kRowBytes;
  const double bytesPerRound =
    static_cast<double>(std::max<std::int64_t>(evidenceRoom, 1)) * 2 *
    static_cast<double>(std::max<std::size_t>(plan.mFanOut, 1));
  const double rounds = static_cast<double>(AtLeastOne(aMemberCount)) *
                        kEvidenceTransmissions *
                        static_cast<double>(aEvidenceBytes) / bytesPerRound;
  const auto period = Duration(static_cast<std::int64_t>(
    static_cast<double>(plan.mPeriod.count()) * rounds));
  return std::clamp<Duration>(period, plan.mPeriod, kMaxEvidencePeriod);
}

} // namespace Acaciavale
