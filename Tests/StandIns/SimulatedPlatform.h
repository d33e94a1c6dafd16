#pragma once

#include "ControlService.h"
#include "Deployment.h"
#include "EndpointListService.h"
#include "Engine.h"
#include "HttpServer.h"
#include "PlainService.h"
#include "RatingService.h"
#include "WeightStore.h"

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace Acaciavale::StandIns {

struct SimulatedPlatformOptions
{
  std::uint64_t mSeed = 1;
  int mKeyValuePort = 0;
  Milliseconds mListLag{ 1000 };
};

/// The platform services and all endpoints of one deployment. The HTTP server
/// has to be destroyed first, since its handlers refer to this object.
class SimulatedPlatform
{
public:
  SimulatedPlatform(SimulatedPlatformOptions aOptions, Deployment aDeployment);
  SimulatedPlatform(const SimulatedPlatform&) = delete;
  SimulatedPlatform& operator=(const SimulatedPlatform&) = delete;

  /// Opens the ports of all services and endpoints.
  void Listen(HttpServer& aServer);

  /// Returns the address, IP:PORT, of each service and endpoint by name;
  /// complete after Listen.
  const std::map<std::string, std::string>& Addresses() const;
  FaultInjector& Faults();
  const RunLog& Runs() const;
  const KeyValueService& KeyValue() const;

private:
  std::vector<EndpointListing> Listings() const;

  SimulatedPlatformOptions mOptions;
  Deployment mDeployment;
  FaultInjector mFaults;
  RunLog mRuns;
  KeyValueService mKeyValue;
  EndpointListService mEndpointList;
  RatingService mRatings;
  WeightStore mWeights;
  ControlService mControl;
  std::vector<std::unique_ptr<Engine>> mEngines;
  std::vector<std::unique_ptr<PlainService>> mServices;
  std::map<std::string, std::string> mAddresses;
};

} // namespace Acaciavale::StandIns
