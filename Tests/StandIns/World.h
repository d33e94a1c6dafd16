#pragma once

#include "Control.h"
#include "Deployment.h"
#include "EndpointListService.h"
#include "Engine.h"
#include "HttpListener.h"
#include "PlainService.h"
#include "Ratings.h"
#include "WeightStore.h"

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace Acaciavale::StandIns {

struct WorldOptions
{
  std::uint64_t mSeed = 1;
  int mKeyValuePort = 0;
  Milliseconds mListLag{ 1000 };
};

/// The platform and all endpoints of one deployment. The threads have to end
/// before it does.
class World
{
public:
  World(WorldOptions aOptions, Deployment aDeployment);
  World(const World&) = delete;
  World& operator=(const World&) = delete;

  /// Opens all ports.
  void Listen(HttpThreads& aThreads);

  /// IP number and port by part; complete once it listens.
  const std::map<std::string, std::string>& Addresses() const;
  FaultBoard& Faults();
  const RunLog& Runs() const;
  const KeyValueService& KeyValue() const;

private:
  std::vector<EndpointListing> Listings() const;

  WorldOptions mOptions;
  Deployment mDeployment;
  FaultBoard mFaults;
  RunLog mRuns;
  KeyValueService mKeyValue;
  EndpointListService mList;
  Ratings mRatings;
  WeightStore mWeights;
  Control mControl;
  std::vector<std::unique_ptr<Engine>> mEngines;
  std::vector<std::unique_ptr<PlainService>> mServices;
  std::map<std::string, std::string> mAddresses;
};

} // namespace Acaciavale::StandIns
