#include "SettingsChange.h"
#include "Command.h"
#include "SettingsSource.h"

#include <Acaciavale/LibCore/Random.h>
#include <Acaciavale/LibSettings/SettingsReport.h>

#include <cstdio>
#include <nlohmann/json.hpp>

namespace Acaciavale {

namespace {

std::string FreshNonce()
{
  Random random(EntropySeed());
  return RandomToken(random);
}

/// Shows what another operator applied since.
void ShowBetween(const KeyValueStore& aStore, const SettingsChange& aChange)
{
  const auto latest = FetchLatest(aStore);
  if (!latest) {
    return;
  }
  const auto history =
    FetchHistory(aStore, aChange.mBefore.mRoot.mGeneration + 1);
  std::fprintf(stderr, "what came between:\n");
  if (history) {
    std::fputs(HistoryText(*history).c_str(), stderr);
  }
  std::fputs(
    DifferenceText(CompareSettings(aChange.mBefore.mFiles, latest->mFiles))
      .c_str(),
    stderr);
  std::fprintf(stderr,
               "take this into your files, look at the difference again and "
               "apply with --seen %lld\n",
               static_cast<long long>(latest->mRoot.mGeneration));
}

void ShowDone(const SettingsChange& aChange,
              const SettingsDifference& aDifference,
              std::int64_t aGeneration)
{
  if (!aChange.mJson) {
    std::printf("generation %lld is in force\n",
                static_cast<long long>(aGeneration));
    return;
  }
  nlohmann::json json = nlohmann::json::parse(
    DifferenceJson(aDifference, aChange.mBefore.mRoot.mGeneration));
  json["applied_generation"] = aGeneration;
  std::printf("%s\n", json.dump(2).c_str());
}

bool HasFindings(const SettingsChange& aChange)
{
  const SettingsResult reading = ParseSettings(aChange.mAfter);
  std::fputs(FindingsText(reading.mFindings).c_str(), stderr);
  if (!reading.mFindings.empty()) {
    std::fprintf(
      stderr, "acaciavale %s: nothing was changed\n", aChange.mCommand.c_str());
  }
  return !reading.mFindings.empty();
}

} // namespace

OptionSpec AuthorOption()
{
  return { "author", "NAME", "Who makes the change; kept in the history." };
}

OptionSpec ReasonOption()
{
  return { "reason", "TEXT", "Why; kept in the history." };
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

int CarryOut(const KeyValueStore& aStore, const SettingsChange& aChange)
{
  if (HasFindings(aChange)) {
    return kExitFindings;
  }
  const auto difference =
    CompareSettings(aChange.mBefore.mFiles, aChange.mAfter);
  const std::int64_t seen = aChange.mBefore.mRoot.mGeneration;
  if (!aChange.mJson) {
    std::fputs(DifferenceText(difference).c_str(), stdout);
  }
  if (aChange.mDryRun) {
    std::fputs(aChange.mJson
                 ? DifferenceJson(difference, seen).c_str()
                 : "nothing was changed; leave --dry-run away to apply\n",
               stdout);
    return kExitDone;
  }
  const auto root = ApplySettings(aStore,
                                  { aChange.mAfter,
                                    aChange.mAuthor,
                                    aChange.mReason,
                                    seen,
                                    CalendarNow(),
                                    FreshNonce() });
  if (!root) {
    const int exitCode = ReportError(aChange.mCommand, root.error());
    if (root.error().mCode == ErrorCode::Conflict) {
      ShowBetween(aStore, aChange);
    }
    return exitCode;
  }
  ShowDone(aChange, difference, root->mGeneration);
  return kExitDone;
}

int EditInForce(const std::string& aCommand,
                const ParsedOptions& aOptions,
                const EditSettings& aEdit)
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
  return CarryOut(store,
                  { aCommand,
                    *before,
                    *after,
                    aOptions.Value("author"),
                    aOptions.Value("reason"),
                    *json,
                    aOptions.Has("dry-run") });
}

} // namespace Acaciavale
