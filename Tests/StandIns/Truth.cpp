#include "Truth.h"

namespace Acaciavale::StandIns {

namespace {

double QualityOf(const Deployment& aDeployment,
                 const FaultBoard& aFaults,
                 const AnswerKey& aKey)
{
  const PartFaults faults = aFaults.Of(VersionPart(aKey.mVersion));
  if (faults.mQuality >= 0) {
    return faults.mQuality;
  }
  const VersionSetup* version = FindVersion(aDeployment, aKey.mVersion);
  if (version == nullptr) {
    return 0;
  }
  const bool drafts = aKey.mKind == "draft" || aKey.mKind == "summary";
  return drafts ? version->mDraftQuality : version->mQuality;
}

} // namespace

std::uint64_t Mixed(std::uint64_t aSeed, const std::string& aText)
{
  constexpr std::uint64_t kFnvPrime = 1099511628211ULL;
  std::uint64_t mixed = 14695981039346656037ULL ^ aSeed;
  for (const char letter : aText) {
    mixed = (mixed ^ static_cast<unsigned char>(letter)) * kFnvPrime;
  }
  return Random(mixed).Next();
}

bool IsGood(const Deployment& aDeployment,
            const FaultBoard& aFaults,
            std::uint64_t aSeed,
            const AnswerKey& aKey)
{
  Random random(Mixed(aSeed, aKey.mRequest + VersionPart(aKey.mVersion)));
  return random.Unit() < QualityOf(aDeployment, aFaults, aKey);
}

std::string VersionPart(const LoadedVersion& aVersion)
{
  return "version:" + aVersion.mModel + "/" + aVersion.mVersion;
}

} // namespace Acaciavale::StandIns
