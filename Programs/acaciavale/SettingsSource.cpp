#include "SettingsSource.h"
#include "Command.h"

#include <Acaciavale/LibSettings/SettingsFiles.h>
#include <Acaciavale/LibSettings/SettingsParser.h>
#include <Acaciavale/LibSettings/SettingsReport.h>
#include <Acaciavale/LibSettings/SettingsStore.h>

#include <cstdio>
#include <cstdlib>

namespace Acaciavale {

namespace {

constexpr Duration kStoreTimeout = std::chrono::seconds(3);

int ExitCodeOf(ErrorCode aCode)
{
  switch (aCode) {
    case ErrorCode::Unavailable:
    case ErrorCode::OutcomeUnknown:
    case ErrorCode::DeadlineExceeded:
    case ErrorCode::Exhausted:
      return kExitNotReachable;
    default:
      return kExitFindings;
  }
}

} // namespace

OptionSpec StoreOption()
{
  return { "store", "IP:PORT", "Address of the key-value store." };
}

OptionSpec GenerationOption()
{
  return { "generation",
           "N",
           "Use this past generation instead of the one in force." };
}

std::unique_ptr<HttpKeyValueClient> MakeCommandClient(
  const std::string& aAddress)
{
  KeyValueClientOptions options;
  options.mAddress = aAddress;
  options.mTimeout = kStoreTimeout;
  return std::make_unique<HttpKeyValueClient>(options);
}

int ReportError(const std::string& aCommand, const Error& aError)
{
  std::fprintf(
    stderr, "acaciavale %s: %s\n", aCommand.c_str(), aError.mMessage.c_str());
  return ExitCodeOf(aError.mCode);
}

int ReportUsage(const std::string& aUsage,
                const std::vector<OptionSpec>& aSpecs)
{
  std::fputs(OptionsHelp(aUsage, aSpecs).c_str(), stderr);
  return kExitUsage;
}

std::optional<std::vector<SettingsFile>> LoadCheckedFiles(
  const std::vector<std::string>& aPaths)
{
  LoadedSettingsFiles loaded = LoadSettingsFiles(aPaths);
  Findings findings = std::move(loaded.mFindings);
  const SettingsResult parsed = ParseSettings(loaded.mFiles);
  findings.insert(
    findings.end(), parsed.mFindings.begin(), parsed.mFindings.end());
  if (findings.empty()) {
    return std::move(loaded.mFiles);
  }
  std::fputs(FindingsText(Sorted(std::move(findings))).c_str(), stderr);
  return std::nullopt;
}

std::optional<StoredSettings> LoadSource(const std::string& aCommand,
                                         const ParsedOptions& aOptions,
                                         const std::vector<std::string>& aFiles,
                                         int& aExitCode)
{
  if (aOptions.Has("store") == !aFiles.empty()) {
    std::fprintf(stderr,
                 "acaciavale %s: give either files or --store\n",
                 aCommand.c_str());
    aExitCode = kExitUsage;
    return std::nullopt;
  }
  if (!aFiles.empty()) {
    auto files = LoadCheckedFiles(aFiles);
    aExitCode = kExitFindings;
    return files ? std::optional<StoredSettings>({ {}, std::move(*files) })
                 : std::nullopt;
  }
  const auto client = MakeCommandClient(aOptions.Value("store"));
  const std::string generation = aOptions.Value("generation");
  auto stored =
    generation.empty()
      ? FetchLatest(client->Store())
      : FetchGeneration(client->Store(), std::atoll(generation.c_str()));
  if (!stored) {
    aExitCode = ReportError(aCommand, stored.error());
    return std::nullopt;
  }
  return std::move(*stored);
}

} // namespace Acaciavale
