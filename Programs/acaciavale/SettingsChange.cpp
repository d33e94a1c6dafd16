#include "SettingsChange.h"
#include "Command.h"
#include "SettingsSource.h"

#include <Acaciavale/LibCore/Random.h>
#include <Acaciavale/LibSettings/SettingsReport.h>

#include <cstdio>
#include <nlohmann/json.hpp>

namespace Acaciavale {

namespace {

std::string MakeNonce()
{
  Random random(EntropySeed());
  return RandomToken(random);
}

/// Prints the generations applied after the one that the change is based on,
/// and their combined difference from it.
void ShowConcurrentChanges(const KeyValueStore& aStore,
                           const SettingsChange& aChange)
{
  const auto latest = FetchLatest(aStore);
  if (!latest) {
    return;
  }
  const auto history =
    FetchHistory(aStore, aChange.mBefore.mRoot.mGeneration + 1);
  std::fprintf(stderr, "generations applied meanwhile:\n");
  if (history) {
    std::fputs(HistoryText(*history).c_str(), stderr);
  }
  std::fputs(
    DifferenceText(CompareSettings(aChange.mBefore.mFiles, latest->mFiles))
      .c_str(),
    stderr);
  std::fprintf(stderr,
               "merge this into your files, check the difference again and "
               "apply with --seen %lld\n",
               static_cast<long long>(latest->mRoot.mGeneration));
}

void ShowApplied(const SettingsChange& aChange,
                 const SettingsDifference& aDifference,
                 std::int64_t aGeneration)
{
  if (!aChange.mOutputsJson) {
    std::printf("generation %lld is in force\n",
                static_cast<long long>(aGeneration));
    return;
  }
  nlohmann::json json = nlohmann::json::parse(
    DifferenceJson(aDifference, aChange.mBefore.mRoot.mGeneration));
  json["applied_generation"] = aGeneration;
  std::printf("%s\n", json.dump(2).c_str());
}

/// Prints the findings of the changed settings; returns whether there are any.
bool PrintFindings(const SettingsChange& aChange)
{
  const SettingsResult parsed = ParseSettings(aChange.mAfter);
  std::fputs(FindingsText(parsed.mFindings).c_str(), stderr);
  if (!parsed.mFindings.empty()) {
    std::fprintf(
      stderr, "acaciavale %s: nothing was changed\n", aChange.mCommand.c_str());
  }
  return !parsed.mFindings.empty();
}

} // namespace

OptionSpec AuthorOption()
{
  return { "author", "NAME", "Author of the change; kept in the history." };
}

OptionSpec ReasonOption()
{
  return { "reason", "TEXT", "Reason for the change; kept in the history." };
}

OptionSpec DryRunOption()
{
  return { "dry-run", "", "Show the difference and change nothing." };
}

std::vector<OptionSpec> EditOptions()
{
  return { StoreOption(),
           AuthorOption(),
           ReasonOption(),
           DryRunOption(),
           OutputOption() };
}

int ApplyChange(const KeyValueStore& aStore, const SettingsChange& aChange)
{
  if (PrintFindings(aChange)) {
    return kExitFindings;
  }
  const auto difference =
    CompareSettings(aChange.mBefore.mFiles, aChange.mAfter);
  const std::int64_t baseGeneration = aChange.mBefore.mRoot.mGeneration;
  if (!aChange.mOutputsJson) {
    std::fputs(DifferenceText(difference).c_str(), stdout);
  }
  if (aChange.mDryRun) {
    std::fputs(aChange.mOutputsJson
                 ? DifferenceJson(difference, baseGeneration).c_str()
                 : "nothing was changed; omit --dry-run to apply\n",
               stdout);
    return kExitDone;
  }
  const auto root = ApplySettings(aStore,
                                  { aChange.mAfter,
                                    aChange.mAuthor,
                                    aChange.mReason,
                                    baseGeneration,
                                    CalendarNow(),
                                    MakeNonce() });
  if (!root) {
    const int exitCode = ReportError(aChange.mCommand, root.error());
    if (root.error().mCode == ErrorCode::Conflict) {
      ShowConcurrentChanges(aStore, aChange);
    }
    return exitCode;
  }
  ShowApplied(aChange, difference, root->mGeneration);
  return kExitDone;
}

int EditAndApply(const std::string& aCommand,
                 const ParsedOptions& aOptions,
                 const SettingsEditor& aEdit)
{
  const auto json = WantsJson(aOptions);
  if (!json) {
    return kExitUsage;
  }
  const auto client = MakeCommandClient(aOptions.Value("store"));
  const KeyValueStore store = client->Store();
  const auto before = FetchLatest(store);
  if (!before) {
    return ReportError(aCommand, before.error());
  }
  const auto after = aEdit(before->mFiles);
  if (!after) {
    return ReportError(aCommand, after.error());
  }
  return ApplyChange(store,
                     { aCommand,
                       *before,
                       *after,
                       aOptions.Value("author"),
                       aOptions.Value("reason"),
                       *json,
                       aOptions.Has("dry-run") });
}

} // namespace Acaciavale
