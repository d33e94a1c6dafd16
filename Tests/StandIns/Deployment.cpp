#include "Deployment.h"

#include <array>

namespace Acaciavale::StandIns {

namespace {

using std::chrono::milliseconds;

/// Back ends bought over years: the speeds come round again and again.
constexpr std::array<double, 6> kSpeedFactors{ 1.0, 0.7, 1.6, 1.2, 2.4, 0.9 };
constexpr int kFailureDomains = 4;

/// What a deployment's name stands for.
struct Shape
{
  std::string mDomainPrefix;
  std::string mService;
  int mEngines = 0;
  int mServices = 0;
  std::vector<VersionSetup> mVersions;
};

std::optional<Shape> ShapeOf(const std::string& aName)
{
  if (aName == "jadran") {
    return Shape{
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
    return Shape{ "addis-",
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

std::string DomainOf(const Shape& aShape, int aIndex)
{
  return aShape.mDomainPrefix +
         static_cast<char>('a' + aIndex % kFailureDomains);
}

EngineSetup MakeEngine(const Shape& aShape, int aIndex, int aSlots)
{
  EngineSetup engine;
  engine.mListing.mName = "engine-" + std::to_string(aIndex + 1);
  engine.mListing.mFailureDomain = DomainOf(aShape, aIndex);
  engine.mListing.mChecksFencing = aIndex % 2 == 0;
  for (const VersionSetup& version : aShape.mVersions) {
    engine.mListing.mLoaded.push_back(version.mVersion);
  }
  engine.mSpeedFactor =
    kSpeedFactors[static_cast<std::size_t>(aIndex) % kSpeedFactors.size()];
  engine.mSlots = aSlots;
  return engine;
}

ServiceSetup MakeService(const Shape& aShape, int aIndex)
{
  ServiceSetup service;
  service.mListing.mName = "service-" + std::to_string(aIndex + 1);
  service.mListing.mFailureDomain = DomainOf(aShape, aIndex);
  service.mListing.mService = aShape.mService;
  return service;
}

} // namespace

std::optional<Deployment> MakeDeployment(const DeploymentOptions& aOptions)
{
  const std::optional<Shape> shape = ShapeOf(aOptions.mName);
  if (!shape) {
    return {};
  }
  Deployment deployment;
  deployment.mVersions = shape->mVersions;
  const int engines =
    aOptions.mEngines > 0 ? aOptions.mEngines : shape->mEngines;
  for (int index = 0; index < engines; ++index) {
    deployment.mEngines.push_back(MakeEngine(*shape, index, aOptions.mSlots));
    deployment.mEngines.back().mSpeedFactor *= aOptions.mTimeFactor;
  }
  const int services =
    aOptions.mServices > 0 ? aOptions.mServices : shape->mServices;
  for (int index = 0; index < services; ++index) {
    deployment.mServices.push_back(MakeService(*shape, index));
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
