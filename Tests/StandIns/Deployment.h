#pragma once

#include <Acaciavale/LibCore/Time.h>
#include <Acaciavale/LibPlatform/EndpointList.h>

#include <optional>
#include <string>
#include <vector>

/// The endpoints of a deployment and their properties.
namespace Acaciavale::StandIns {

/// Quality and speed of one model version on the engines.
struct VersionSetup
{
  LoadedVersion mVersion;
  double mQuality = 0.9; ///< Share of good answers, 0 to 1.
  /// Share of good answers for the request kinds "draft" and "summary".
  double mDraftQuality = 0.9;
  Duration mFirstTokenTime{};
  Duration mTimePerToken{};
};

struct EngineSetup
{
  EndpointListing mListing; ///< The address stays empty.
  double mSpeedFactor = 1;  ///< Factor applied to all times; above 1 is slower.
  int mSlots = 16;
};

struct ServiceSetup
{
  EndpointListing mListing;
  Duration mServiceTime = std::chrono::milliseconds(4); ///< Time per call.
};

struct Deployment
{
  std::vector<VersionSetup> mVersions;
  std::vector<EngineSetup> mEngines;
  std::vector<ServiceSetup> mServices;
};

struct DeploymentOptions
{
  std::string mName;     ///< Either "jadran" or "gebeta".
  int mEngineCount = 0;  ///< 0 selects the default of the deployment.
  int mServiceCount = 0; ///< 0 selects the default of the deployment.
  int mSlotsPerEngine = 16;
  double mTimeFactor = 1; ///< Factor applied to all engine times.
};

/// Returns no deployment for an unknown name.
std::optional<Deployment> MakeDeployment(const DeploymentOptions& aOptions);

/// Returns the setup of a version, or null if the deployment lacks it.
const VersionSetup* FindVersion(const Deployment& aDeployment,
                                const LoadedVersion& aVersion);

} // namespace Acaciavale::StandIns
