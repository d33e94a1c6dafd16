#include "SimulatedPlatform.h"

namespace Acaciavale::StandIns {

namespace {

constexpr Milliseconds kLeaseCheckInterval{ 20 };

template<typename Server>
Handler MakeHandler(Server& aServer)
{
  return [&aServer](Exchange& aExchange) { return aServer.Serve(aExchange); };
}

} // namespace

SimulatedPlatform::SimulatedPlatform(SimulatedPlatformOptions aOptions,
                                     Deployment aDeployment)
  : mOptions(aOptions)
  , mDeployment(std::move(aDeployment))
  , mFaults(aOptions.mSeed)
  , mKeyValue(mFaults)
  , mEndpointList(mFaults, [this] { return Listings(); })
  , mRatings(mDeployment, mFaults, aOptions.mSeed)
  , mWeights(mFaults)
  , mControl(aOptions.mSeed, mFaults, mRuns, mKeyValue)
{
  const EngineContext engineContext{
    mDeployment, mFaults, mRuns, aOptions.mSeed
  };
  for (const EngineSetup& setup : mDeployment.mEngines) {
    mEngines.push_back(std::make_unique<Engine>(engineContext, setup));
  }
  for (const ServiceSetup& setup : mDeployment.mServices) {
    mServices.push_back(std::make_unique<PlainService>(mFaults, mRuns, setup));
  }
}

void SimulatedPlatform::Listen(HttpServer& aServer)
{
  mAddresses["key-value"] =
    aServer.Listen(mOptions.mKeyValuePort, MakeHandler(mKeyValue));
  mAddresses["ratings"] = aServer.Listen(0, MakeHandler(mRatings));
  mAddresses["weights"] = aServer.Listen(0, MakeHandler(mWeights));
  mAddresses["control"] = aServer.Listen(0, MakeHandler(mControl));
  for (const auto& engine : mEngines) {
    mAddresses[engine->Listing().mName] =
      aServer.Listen(0, MakeHandler(*engine));
  }
  for (const auto& service : mServices) {
    mAddresses[service->Listing().mName] =
      aServer.Listen(0, MakeHandler(*service));
  }
  mEndpointList.Refresh();
  mAddresses["endpoint-list"] = aServer.Listen(0, MakeHandler(mEndpointList));
  aServer.RunPeriodically(mOptions.mListLag,
                          [this] { mEndpointList.Refresh(); });
  aServer.RunPeriodically(kLeaseCheckInterval,
                          [this] { mKeyValue.ExpireLeases(); });
}

const std::map<std::string, std::string>& SimulatedPlatform::Addresses() const
{
  return mAddresses;
}

FaultInjector& SimulatedPlatform::Faults()
{
  return mFaults;
}

const RunLog& SimulatedPlatform::Runs() const
{
  return mRuns;
}

const KeyValueService& SimulatedPlatform::KeyValue() const
{
  return mKeyValue;
}

std::vector<EndpointListing> SimulatedPlatform::Listings() const
{
  std::vector<EndpointListing> listings;
  for (const auto& engine : mEngines) {
    listings.push_back(engine->Listing());
  }
  for (const auto& service : mServices) {
    listings.push_back(service->Listing());
  }
  for (EndpointListing& listing : listings) {
    listing.mAddress = mAddresses.at(listing.mName);
  }
  return listings;
}

} // namespace Acaciavale::StandIns
