// Runs stand-ins for the platform services and all endpoints of a deployment in
// one process.
#include "SimulatedPlatform.h"

#include <popt.h>

#include <array>
#include <cstdio>
#include <fstream>
#include <optional>

using namespace Acaciavale;
using namespace Acaciavale::StandIns;

namespace {

constexpr int kThreadCount = 4;
constexpr int kExitUsage = 2;

/// Parsed command line options.
struct Options
{
  DeploymentOptions mDeployment;
  SimulatedPlatformOptions mPlatform;
  std::string mAnnounceFile;
};

std::string StringOrEmpty(const char* aText)
{
  return aText == nullptr ? "" : aText;
}

std::optional<Options> ParseOptions(int aCount, char** aArguments)
{
  Options options;
  DeploymentOptions& deployment = options.mDeployment;
  const char* name = nullptr;
  const char* announce = nullptr;
  long seed = 1;
  int lag = static_cast<int>(options.mPlatform.mListLag.count());
  const std::array<poptOption, 10> table{
    { // clang-format off
    { "deployment", 0, POPT_ARG_STRING, &name, 0, "jadran or gebeta", "NAME" },
    { "engines", 0, POPT_ARG_INT, &deployment.mEngineCount, 0, "number of engines", "N" },
    { "services", 0, POPT_ARG_INT, &deployment.mServiceCount, 0, "number of plain services", "N" },
    { "slots", 0, POPT_ARG_INT, &deployment.mSlotsPerEngine, 0, "requests that an engine serves concurrently", "N" },
    { "time-factor", 0, POPT_ARG_DOUBLE, &deployment.mTimeFactor, 0, "factor applied to all engine times", "FACTOR" },
    { "list-lag", 0, POPT_ARG_INT, &lag, 0, "lag of the endpoint list", "MILLISECONDS" },
    { "announce", 0, POPT_ARG_STRING, &announce, 0, "file to write all addresses to", "FILE" },
    { "seed", 0, POPT_ARG_LONG, &seed, 0, "seed of all random draws", "S" },
    { "key-value-port", 0, POPT_ARG_INT, &options.mPlatform.mKeyValuePort, 0, "port of the key-value service", "P" },
      // clang-format on
      POPT_TABLEEND }
  };
  poptContext context = poptGetContext(
    nullptr, aCount, const_cast<const char**>(aArguments), table.data(), 0);
  const int result = poptGetNextOpt(context);
  poptFreeContext(context);
  if (result != -1) {
    std::fprintf(stderr, "acaciavale-stand-ins: %s\n", poptStrerror(result));
    return {};
  }
  deployment.mName = StringOrEmpty(name);
  options.mAnnounceFile = StringOrEmpty(announce);
  options.mPlatform.mSeed = static_cast<std::uint64_t>(seed);
  options.mPlatform.mListLag = Milliseconds(lag);
  return options;
}

/// Writes all addresses to a temporary file and renames it, so that no reader
/// sees a partial file.
bool Announce(const SimulatedPlatform& aPlatform, const std::string& aFile)
{
  const std::string temporary = aFile + ".new";
  {
    std::ofstream out(temporary);
    for (const auto& [name, address] : aPlatform.Addresses()) {
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
    std::fprintf(
      stderr, "acaciavale-stand-ins: --deployment must be jadran or gebeta\n");
    return kExitUsage;
  }
  StopSignal stop;
  SimulatedPlatform platform(options->mPlatform, std::move(*deployment));
  HttpServer server(kThreadCount);
  platform.Listen(server);
  if (!options->mAnnounceFile.empty() &&
      !Announce(platform, options->mAnnounceFile)) {
    std::fprintf(stderr,
                 "acaciavale-stand-ins: cannot write the --announce file\n");
    return 1;
  }
  stop.Wait();
  return 0;
}
