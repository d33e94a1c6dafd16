#include "FuzzTargets.h"
#include "Mutation.h"

#include <Acaciavale/LibCore/Log.h>
#include <Acaciavale/LibCore/Time.h>

#include <cstdio>
#include <cstdlib>
#include <exception>
#include <fstream>
#include <sstream>
#include <string_view>

#ifdef __SANITIZE_ADDRESS__
#include <sanitizer/common_interface_defs.h>
#endif

namespace {

using namespace Acaciavale;
using namespace Acaciavale::Fuzz;

/// Inputs that are kept as starting points besides the seeds.
constexpr std::size_t kKeptInputs = 64;
constexpr std::uint64_t kRepeatedSplits = 1000;

/// What is running, to be named if the process ends.
std::string sTarget;
std::uint64_t sSeed = 0;
std::uint64_t sRound = 0;
std::string sInput;

/// Writes how to repeat the run, and the input itself to a file.
void ReportInput()
{
  std::fprintf(stderr,
               "fuzz: target %s, seed %llu, round %llu; input in fuzz-%s.bin\n",
               sTarget.c_str(),
               static_cast<unsigned long long>(sSeed),
               static_cast<unsigned long long>(sRound),
               sTarget.c_str());
  std::FILE* const file =
    std::fopen(("fuzz-" + sTarget + ".bin").c_str(), "wb");
  if (file != nullptr) {
    std::fwrite(sInput.data(), 1, sInput.size(), file);
    std::fclose(file);
  }
}

/// Runs the target on mutated inputs. Returns whether none of them failed.
bool Run(const FuzzTarget& aTarget, Duration aTime)
{
  sTarget = aTarget.mName;
  sRound = 0;
  Random random(sSeed);
  std::vector<std::string> inputs = aTarget.mSeeds;
  std::vector<std::string> first = aTarget.mSeeds;
  for (const std::string& seed : aTarget.mSeeds) {
    for (std::string& input : WithExtremeNumbers(seed)) {
      first.push_back(std::move(input));
    }
  }
  const TimePoint end = MonotonicNow() + aTime;
  while (sRound < first.size() || MonotonicNow() < end) {
    ++sRound;
    sInput =
      sRound <= first.size() ? first[sRound - 1] : Mutate(inputs, random);
    try {
      aTarget.mRun(sInput, random.Next());
    } catch (const std::exception& failure) {
      std::fprintf(stderr, "fuzz: exception: %s\n", failure.what());
      ReportInput();
      return false;
    }
    if (random.Below(16) == 0) {
      const std::size_t kept =
        aTarget.mSeeds.size() + random.Below(kKeptInputs);
      if (kept < inputs.size()) {
        inputs[kept] = sInput;
      } else {
        inputs.push_back(sInput);
      }
    }
  }
  std::printf("%-20s %10llu inputs\n",
              sTarget.c_str(),
              static_cast<unsigned long long>(sRound));
  std::fflush(stdout);
  return true;
}

/// The target of the name, or all if it is empty.
std::vector<FuzzTarget> TargetsNamed(const std::string& aName)
{
  std::vector<FuzzTarget> targets;
  for (const auto& list :
       { HttpTargets(), ConnectionTargets(), CodecTargets() }) {
    for (const FuzzTarget& target : list) {
      if (aName.empty() || target.mName == aName) {
        targets.push_back(target);
      }
    }
  }
  return targets;
}

/// Runs the target on the content of a file, in parts of many sizes.
void Repeat(const FuzzTarget& aTarget, const std::string& aPath)
{
  std::ifstream file(aPath, std::ios::binary);
  std::ostringstream text;
  text << file.rdbuf();
  for (std::uint64_t split = 0; split < kRepeatedSplits; ++split) {
    aTarget.mRun(text.str(), split);
  }
}

} // namespace

int main(int aCount, char** aArguments)
{
  const bool isRepeated =
    aCount == 4 && std::string_view(aArguments[1]) == "repeat";
  if (aCount < 3 || aCount > 4) {
    std::fprintf(stderr,
                 "usage: acaciavale-fuzz SECONDS SEED [TARGET]\n"
                 "       acaciavale-fuzz repeat TARGET FILE\n");
    return 2;
  }
  ConfigureLog(LogLevel::Error, LogFormat::Text);
  const std::vector<FuzzTarget> targets = TargetsNamed(
    isRepeated ? aArguments[2] : (aCount == 4 ? aArguments[3] : ""));
  if (targets.empty()) {
    std::fprintf(stderr, "acaciavale-fuzz: no such target\n");
    return 2;
  }
  if (isRepeated) {
    Repeat(targets.front(), aArguments[3]);
    return 0;
  }
#ifdef __SANITIZE_ADDRESS__
  __sanitizer_set_death_callback(&ReportInput);
#endif
  sSeed = std::strtoull(aArguments[2], nullptr, 10);
  const Duration time = FromSeconds(std::strtod(aArguments[1], nullptr) /
                                    static_cast<double>(targets.size()));
  bool isSound = true;
  for (const FuzzTarget& target : targets) {
    isSound = Run(target, time) && isSound;
  }
  return isSound ? 0 : 1;
}
