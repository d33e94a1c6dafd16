// One process that plays the platform and all endpoints of a deployment.
#include "Control.h"
#include "Deployment.h"
#include "EndpointListService.h"
#include "Engine.h"
#include "HttpListener.h"
#include "PlainService.h"
#include "Ratings.h"
#include "WeightStore.h"

#include <popt.h>

#include <cstdio>
#include <cstdlib>
#include <fstream>

using namespace Acaciavale;
using namespace Acaciavale::StandIns;

namespace {

constexpr int kThreads = 4;
constexpr int kExitUsage = 2;
constexpr Milliseconds kLeaseCheck{ 20 };

/// What the command line says.
struct Options
{
  DeploymentOptions mDeployment;
  std::string mAnnounce;
  std::uint64_t mSeed = 1;
  int mKeyValuePort = 0;
  int mListLagMilliseconds = 1000;
};

std::string Taken(char* aText)
{
  return aText == nullptr ? "" : aText;
}

std::optional<Options> ParseOptions(int aCount, char** aArguments)
{
  Options options;
  char* name = nullptr;
  char* announce = nullptr;
  long seed = 1;
  const std::array<poptOption, 10> table{
    { { "deployment",
        0,
        POPT_ARG_STRING,
        &name,
        0,
        "jadran or gebeta",
        "NAME" },
      { "engines",
        0,
        POPT_ARG_INT,
        &options.mDeployment.mEngines,
        0,
        "number of engines",
        "N" },
      { "services",
        0,
        POPT_ARG_INT,
        &options.mDeployment.mServices,
        0,
        "number of plain services",
        "N" },
      { "slots",
        0,
        POPT_ARG_INT,
        &options.mDeployment.mSlots,
        0,
        "requests that an engine serves at once",
        "N" },
      { "time-factor",
        0,
        POPT_ARG_DOUBLE,
        &options.mDeployment.mTimeFactor,
        0,
        "multiplies all times of the engines",
        "FACTOR" },
      { "list-lag",
        0,
        POPT_ARG_INT,
        &options.mListLagMilliseconds,
        0,
        "lag of the endpoint list",
        "MILLISECONDS" },
      { "announce",
        0,
        POPT_ARG_STRING,
        &announce,
        0,
        "file that gets all addresses",
        "FILE" },
      { "seed", 0, POPT_ARG_LONG, &seed, 0, "seed of all random draws", "S" },
      { "key-value-port",
        0,
        POPT_ARG_INT,
        &options.mKeyValuePort,
        0,
        "port of the key-value service",
        "P" },
      POPT_TABLEEND }
  };
  poptContext context = poptGetContext(
    nullptr, aCount, const_cast<const char**>(aArguments), table.data(), 0);
  const int result = poptGetNextOpt(context);
  poptFreeContext(context);
  options.mDeployment.mName = Taken(name);
  options.mAnnounce = Taken(announce);
  options.mSeed = static_cast<std::uint64_t>(seed);
  if (result != -1) {
    std::fprintf(stderr, "acaciavale-stand-ins: %s\n", poptStrerror(result));
    return {};
  }
  return options;
}

/// Everything that runs, in the order of dependence.
struct World
{
  World(const Options& aOptions, Deployment aDeployment)
    : mDeployment(std::move(aDeployment))
    , mFaults(aOptions.mSeed)
    , mKeyValue(mFaults)
    , mList(mFaults, [this] { return Listings(); })
    , mRatings(mDeployment, mFaults, aOptions.mSeed)
    , mWeights(mFaults)
    , mControl(mFaults, mRuns, mKeyValue)
  {
    for (const EngineSetup& setup : mDeployment.mEngines) {
      mEngines.push_back(std::make_unique<Engine>(
        EngineWorld{ mDeployment, mFaults, mRuns, aOptions.mSeed }, setup));
    }
    for (const ServiceSetup& setup : mDeployment.mServices) {
      mServices.push_back(
        std::make_unique<PlainService>(mFaults, mRuns, setup));
    }
  }

  std::vector<EndpointListing> Listings() const
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
  std::map<std::string, std::string> mAddresses; ///< By the names announced.
};

template<typename Part>
Handler HandlerOf(Part& aPart)
{
  return [&aPart](Exchange& aExchange) { return aPart.Serve(aExchange); };
}

void ListenAll(World& aWorld, HttpThreads& aThreads, const Options& aOptions)
{
  auto& addresses = aWorld.mAddresses;
  addresses["key-value"] =
    aThreads.Listen(aOptions.mKeyValuePort, HandlerOf(aWorld.mKeyValue));
  addresses["ratings"] = aThreads.Listen(0, HandlerOf(aWorld.mRatings));
  addresses["weights"] = aThreads.Listen(0, HandlerOf(aWorld.mWeights));
  addresses["control"] = aThreads.Listen(0, HandlerOf(aWorld.mControl));
  for (const auto& engine : aWorld.mEngines) {
    addresses[engine->Listing().mName] = aThreads.Listen(0, HandlerOf(*engine));
  }
  for (const auto& service : aWorld.mServices) {
    addresses[service->Listing().mName] =
      aThreads.Listen(0, HandlerOf(*service));
  }
  aWorld.mList.Refresh();
  addresses["endpoint-list"] = aThreads.Listen(0, HandlerOf(aWorld.mList));
  aThreads.Every(Milliseconds(aOptions.mListLagMilliseconds),
                 [&aWorld] { aWorld.mList.Refresh(); });
  aThreads.Every(kLeaseCheck, [&aWorld] { aWorld.mKeyValue.LapseLeases(); });
}

/// Writes a file of its own and renames it, so that no reader sees half of it.
bool Announce(const World& aWorld, const std::string& aFile)
{
  const std::string temporary = aFile + ".new";
  {
    std::ofstream out(temporary);
    for (const auto& [name, address] : aWorld.mAddresses) {
      out << name << '=' << address << '\n';
    }
    if (!out.flush()) {
      return false;
    }
  }
  return std::rename(temporary.c_str(), aFile.c_str()) == 0;
}

} // namespace

int main(int aCount, char** aArguments)
{
  const std::optional<Options> options = ParseOptions(aCount, aArguments);
  if (!options) {
    return kExitUsage;
  }
  std::optional<Deployment> deployment = MakeDeployment(options->mDeployment);
  if (!deployment) {
    std::fprintf(stderr, "acaciavale-stand-ins: --deployment jadran|gebeta\n");
    return kExitUsage;
  }
  World world(*options, std::move(*deployment));
  HttpThreads threads(kThreads);
  ListenAll(world, threads, *options);
  if (!options->mAnnounce.empty() && !Announce(world, options->mAnnounce)) {
    std::fprintf(stderr, "acaciavale-stand-ins: the file can't be written\n");
    return 1;
  }
  threads.WaitForSignal();
  return 0;
}
