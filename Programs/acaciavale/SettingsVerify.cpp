#include "CommandOptions.h"
#include "SettingsCommand.h"
#include "SettingsSource.h"

#include <Acaciavale/LibSettings/SettingsStore.h>

#include <cstdio>
#include <nlohmann/json.hpp>

namespace Acaciavale {

namespace {

/// Fetches the body of each generation, which checks its digest, and returns
/// the errors.
std::vector<std::string> CheckBodies(const KeyValueStore& aStore,
                                     const std::vector<SettingsRoot>& aHistory)
{
  std::vector<std::string> problems;
  for (const SettingsRoot& root : aHistory) {
    const auto body = FetchBody(aStore, root);
    if (!body) {
      problems.push_back("generation " + std::to_string(root.mGeneration) +
                         ": " + body.error().mMessage);
    }
  }
  return problems;
}

void PrintResult(const std::vector<std::string>& aProblems,
                 std::size_t aCount,
                 const std::string& aChain,
                 bool aJson)
{
  if (aJson) {
    const nlohmann::json json{ { "generations", aCount },
                               { "chain", aChain },
                               { "problems", aProblems } };
    std::printf("%s\n", json.dump(2).c_str());
    return;
  }
  for (const std::string& problem : aProblems) {
    std::printf("%s\n", problem.c_str());
  }
  std::printf("%zu generations, %zu problems, chain %s\n",
              aCount,
              aProblems.size(),
              aChain.c_str());
}

} // namespace

int SettingsVerify(const std::vector<std::string>& aArguments)
{
  const std::vector<OptionSpec> specs{
    StoreOption(),
    { "bodies",
      "",
      "Also check the digest of every body, with one read each." },
    { "chain",
      "DIGEST",
      "A chain digest noted earlier, which some generation must have." },
    OutputOption()
  };
  const auto options = ParseOptions("settings verify", aArguments, specs);
  if (!options || !options->Has("store") || !options->mOperands.empty()) {
    return ReportUsage("settings verify --store IP:PORT [OPTION…]", specs);
  }
  const auto json = WantsJson(*options);
  if (!json) {
    return kExitUsage;
  }
  const auto client = MakeCommandClient(options->Value("store"));
  const auto history = FetchHistory(client->Store());
  if (!history) {
    return ReportError("settings verify", history.error());
  }
  std::vector<std::string> problems = VerifyHistory(*history);
  if (options->Has("bodies")) {
    const auto bodyProblems = CheckBodies(client->Store(), *history);
    problems.insert(problems.end(), bodyProblems.begin(), bodyProblems.end());
  }
  const std::string expectedChain = options->Value("chain");
  const bool isChainKnown =
    expectedChain.empty() ||
    std::any_of(history->begin(), history->end(), [&](const auto& aRoot) {
      return aRoot.mChainDigest == expectedChain;
    });
  if (!isChainKnown) {
    problems.push_back("no generation has the chain digest " + expectedChain);
  }
  PrintResult(problems, history->size(), history->back().mChainDigest, *json);
  return problems.empty() ? kExitDone : kExitFindings;
}

} // namespace Acaciavale
