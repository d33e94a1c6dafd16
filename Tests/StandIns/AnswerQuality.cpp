#include "AnswerQuality.h"

namespace Acaciavale::StandIns {

namespace {

double GoodAnswerShare(const Deployment& aDeployment,
                       const FaultInjector& aFaults,
                       const AnswerKey& aKey)
{
  const TargetFaults faults =
    aFaults.FaultsFor(VersionFaultTarget(aKey.mVersion));
  if (faults.mQuality >= 0) {
    return faults.mQuality;
  }
  const VersionSetup* version = FindVersion(aDeployment, aKey.mVersion);
  if (version == nullptr) {
    return 0;
  }
  const bool drafts =
    aKey.mRequestKind == "draft" || aKey.mRequestKind == "summary";
  return drafts ? version->mDraftQuality : version->mQuality;
}

} // namespace

std::uint64_t HashWithSeed(std::uint64_t aSeed, const std::string& aText)
{
  constexpr std::uint64_t kFnvPrime = 1099511628211ULL;
  std::uint64_t hash = 14695981039346656037ULL ^ aSeed;
  for (const char character : aText) {
    hash = (hash ^ static_cast<unsigned char>(character)) * kFnvPrime;
  }
  return Random(hash).Next();
}

bool IsGood(const Deployment& aDeployment,
            const FaultInjector& aFaults,
            std::uint64_t aSeed,
            const AnswerKey& aKey)
{
  Random random(
    HashWithSeed(aSeed, aKey.mRequestId + VersionFaultTarget(aKey.mVersion)));
  return random.Unit() < GoodAnswerShare(aDeployment, aFaults, aKey);
}

std::string VersionFaultTarget(const LoadedVersion& aVersion)
{
  return "version:" + aVersion.mModel + "/" + aVersion.mVersion;
}

} // namespace Acaciavale::StandIns
