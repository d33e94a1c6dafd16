#include "World.h"

namespace Acaciavale::StandIns {

namespace {

constexpr Milliseconds kLeaseCheck{ 20 };

template<typename Part>
Handler HandlerOf(Part& aPart)
{
  return [&aPart](Exchange& aExchange) { return aPart.Serve(aExchange); };
}

} // namespace

World::World(WorldOptions aOptions, Deployment aDeployment)
  : mOptions(aOptions)
  , mDeployment(std::move(aDeployment))
  , mFaults(aOptions.mSeed)
  , mKeyValue(mFaults)
  , mList(mFaults, [this] { return Listings(); })
  , mRatings(mDeployment, mFaults, aOptions.mSeed)
  , mWeights(mFaults)
  , mControl(aOptions.mSeed, mFaults, mRuns, mKeyValue)
{
  const EngineWorld engineWorld{ mDeployment, mFaults, mRuns, aOptions.mSeed };
  for (const EngineSetup& setup : mDeployment.mEngines) {
    mEngines.push_back(std::make_unique<Engine>(engineWorld, setup));
  }
  for (const ServiceSetup& setup : mDeployment.mServices) {
    mServices.push_back(std::make_unique<PlainService>(mFaults, mRuns, setup));
  }
}

void World::Listen(HttpThreads& aThreads)
{
  mAddresses["key-value"] =
    aThreads.Listen(mOptions.mKeyValuePort, HandlerOf(mKeyValue));
  mAddresses["ratings"] = aThreads.Listen(0, HandlerOf(mRatings));
  mAddresses["weights"] = aThreads.Listen(0, HandlerOf(mWeights));
  mAddresses["control"] = aThreads.Listen(0, HandlerOf(mControl));
  for (const auto& engine : mEngines) {
    mAddresses[engine->Listing().mName] =
      aThreads.Listen(0, HandlerOf(*engine));
  }
  for (const auto& service : mServices) {
    mAddresses[service->Listing().mName] =
      aThreads.Listen(0, HandlerOf(*service));
  }
  mList.Refresh();
  mAddresses["endpoint-list"] = aThreads.Listen(0, HandlerOf(mList));
  aThreads.Every(mOptions.mListLag, [this] { mList.Refresh(); });
  aThreads.Every(kLeaseCheck, [this] { mKeyValue.LapseLeases(); });
}

const std::map<std::string, std::string>& World::Addresses() const
{
  return mAddresses;
}

FaultBoard& World::Faults()
{
  return mFaults;
}

const RunLog& World::Runs() const
{
  return mRuns;
}

const KeyValueService& World::KeyValue() const
{
  return mKeyValue;
}

std::vector<EndpointListing> World::Listings() const
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
