#pragma once

#include <Acaciavale/LibCore/Time.h>
#include <Acaciavale/LibPlatform/EndpointList.h>

#include <optional>
#include <string>
#include <vector>

/// What endpoints a deployment has, and how they are.
namespace Acaciavale::StandIns {

/// One version as the engines run it.
struct VersionSetup
{
  LoadedVersion mVersion;
  double mQuality = 0.9;      ///< Share of good answers.
  double mDraftQuality = 0.9; ///< The same for the kinds "draft" and "summary".
  Duration mFirstTokenTime{};
  Duration mTimePerToken{};
};

struct EngineSetup
{
  EndpointListing mListing; ///< Without its address until it listens.
  double mSpeedFactor = 1;  ///< Times are multiplied by this.
  int mSlots = 16;
};

struct ServiceSetup
{
  EndpointListing mListing;
  Duration mServiceTime = std::chrono::milliseconds(4); ///< Per call.
};

struct Deployment
{
  std::vector<VersionSetup> mVersions;
  std::vector<EngineSetup> mEngines;
  std::vector<ServiceSetup> mServices;
};

struct DeploymentOptions
{
  std::string mName;    ///< "jadran" or "gebeta".
  int mEngineCount = 0; ///< 0 takes the deployment's own number.
  int mServiceCount = 0;
  int mSlotsPerEngine = 16;
  double mTimeFactor = 1; ///< All engine times are multiplied by this.
};

/// Nothing for an unknown name.
std::optional<Deployment> MakeDeployment(const DeploymentOptions& aOptions);

/// The setup of a version, or null.
const VersionSetup* FindVersion(const Deployment& aDeployment,
                                const LoadedVersion& aVersion);

} // namespace Acaciavale::StandIns
