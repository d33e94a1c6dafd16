#include "Deployment.h"

#include <array>

namespace Acaciavale::StandIns {

namespace {

using std::chrono::milliseconds;

/// Speed factors of hardware generations, assigned to the engines in rotation.
constexpr std::array<double, 6> kSpeedFactors{ 1.0, 0.7, 1.6, 1.2, 2.4, 0.9 };
constexpr int kFailureDomainCount = 4;

/// Default properties of a named deployment.
struct DeploymentTemplate
{
  std::string mDomainPrefix;
  std::string mService;
  int mEngineCount = 0;
  int mServiceCount = 0;
  std::vector<VersionSetup> mVersions;
};

std::optional<DeploymentTemplate> FindTemplate(const std::string& aName)
{
  if (aName == "jadran") {
    return DeploymentTemplate{
      "hr-central-",
      "records",
      12,
      4,
      { { { "dossier", "small-1" },
          0.93,
          0.72,
          milliseconds(20),
          milliseconds(2) },
        { { "dossier", "large-1" },
          0.97,
          0.94,
          milliseconds(60),
          milliseconds(5) },
        { { "checker", "v1" }, 0.96, 0.9, milliseconds(10), milliseconds(2) } }
    };
  }
  if (aName == "gebeta") {
    return DeploymentTemplate{ "addis-",
                               "bookings",
                               18,
                               4,
                               { { { "planner", "lite-2" },
                                   0.9,
                                   0.7,
                                   milliseconds(25),
                                   milliseconds(2) },
                                 { { "planner", "pro-2" },
                                   0.96,
                                   0.93,
                                   milliseconds(70),
                                   milliseconds(6) } } };
  }
  return {};
}

std::string FailureDomainOf(const DeploymentTemplate& aTemplate, int aIndex)
{
  return aTemplate.mDomainPrefix +
         static_cast<char>('a' + aIndex % kFailureDomainCount);
}

EngineSetup MakeEngine(const DeploymentTemplate& aTemplate,
                       int aIndex,
                       int aSlots)
{
  EngineSetup engine;
  engine.mListing.mName = "engine-" + std::to_string(aIndex + 1);
  engine.mListing.mFailureDomain = FailureDomainOf(aTemplate, aIndex);
  engine.mListing.mChecksFencing = aIndex % 2 == 0;
  for (const VersionSetup& version : aTemplate.mVersions) {
    engine.mListing.mLoaded.push_back(version.mVersion);
  }
  engine.mSpeedFactor =
    kSpeedFactors[static_cast<std::size_t>(aIndex) % kSpeedFactors.size()];
  engine.mSlots = aSlots;
  return engine;
}

ServiceSetup MakeService(const DeploymentTemplate& aTemplate, int aIndex)
{
  ServiceSetup service;
  service.mListing.mName = "service-" + std::to_string(aIndex + 1);
  service.mListing.mFailureDomain = FailureDomainOf(aTemplate, aIndex);
  service.mListing.mService = aTemplate.mService;
  return service;
}

} // namespace

std::optional<Deployment> MakeDeployment(const DeploymentOptions& aOptions)
{
  const std::optional<DeploymentTemplate> deploymentTemplate =
    FindTemplate(aOptions.mName);
  if (!deploymentTemplate) {
    return {};
  }
  Deployment deployment;
  deployment.mVersions = deploymentTemplate->mVersions;
  const int engines = aOptions.mEngineCount > 0
                        ? aOptions.mEngineCount
                        : deploymentTemplate->mEngineCount;
  for (int index = 0; index < engines; ++index) {
    deployment.mEngines.push_back(
      MakeEngine(*deploymentTemplate, index, aOptions.mSlotsPerEngine));
    deployment.mEngines.back().mSpeedFactor *= aOptions.mTimeFactor;
  }
  const int services = aOptions.mServiceCount > 0
                         ? aOptions.mServiceCount
                         : deploymentTemplate->mServiceCount;
  for (int index = 0; index < services; ++index) {
    deployment.mServices.push_back(MakeService(*deploymentTemplate, index));
  }
  return deployment;
}

const VersionSetup* FindVersion(const Deployment& aDeployment,
                                const LoadedVersion& aVersion)
{
  for (const VersionSetup& version : aDeployment.mVersions) {
    if (version.mVersion == aVersion) {
      return &version;
    }
  }
  return nullptr;
}

} // namespace Acaciavale::StandIns
