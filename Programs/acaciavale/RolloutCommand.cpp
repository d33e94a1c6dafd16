#include "RolloutCommand.h"
#include "CommandOptions.h"
#include "RolloutRecords.h"
#include "SettingsChange.h"
#include "SettingsSource.h"

#include <Acaciavale/LibSettings/SettingsEdit.h>

#include <cstdio>

namespace Acaciavale {

namespace {

constexpr const char* kHelp =
  "usage: acaciavale rollout start NAME --model M --from V --to V\n"
  "       [--steps 0.01,0.1,1] --store IP:PORT --author NAME --reason TEXT\n"
  "       acaciavale rollout pause|resume NAME --store IP:PORT --author NAME\n"
  "       --reason TEXT\n"
  "       acaciavale rollout status [NAME] --store IP:PORT\n"
  "\n"
  "  start    adds the roll-out to the settings\n"
  "  pause    keeps the roll-out at its current step\n"
  "  resume   continues the roll-out, also after a halt on bad evidence\n"
  "  status   shows the progress of each roll-out and the reason for its "
  "state\n"
  "\n"
  "  --dry-run          shows what would change and changes nothing\n"
  "  --output text|json\n";

using Files = std::vector<SettingsFile>;

/// The settings of a new roll-out, in the order in which they are written.
std::vector<std::pair<std::string, std::string>> StartValues(
  const ParsedOptions& aOptions)
{
  std::vector<std::pair<std::string, std::string>> values;
  for (const char* key : { "model", "from", "to", "steps" }) {
    if (aOptions.Has(key)) {
      values.emplace_back(key, aOptions.Value(key));
    }
  }
  values.emplace_back("paused", "no");
  return values;
}

bool HasRollout(const Files& aFiles, const SectionName& aName)
{
  return ParseSettingsTree(aFiles).mTree.mSections.contains(aName);
}

ErrorOr<Files> WithRollout(Files aFiles,
                           const SectionName& aName,
                           const ParsedOptions& aOptions)
{
  if (HasRollout(aFiles, aName)) {
    return MakeError(ErrorCode::Invalid,
                     "The roll-out " + aName.mPath + " exists already.");
  }
  for (const auto& [key, value] : StartValues(aOptions)) {
    aFiles = ACACIAVALE_TRY(WithValue(std::move(aFiles), aName, key, value));
  }
  return aFiles;
}

ErrorOr<Files> WithPaused(const Files& aFiles,
                          const SectionName& aName,
                          const std::string& aValue)
{
  if (!HasRollout(aFiles, aName)) {
    return MakeError(ErrorCode::NotFound,
                     "The settings contain no roll-out " + aName.mPath + ".");
  }
  return WithValue(aFiles, aName, "paused", aValue);
}

int EditRollout(const ParsedOptions& aOptions)
{
  const std::string& subcommand = aOptions.mOperands[0];
  const SectionName name{ SectionKind::Rollout, aOptions.mOperands[1] };
  return EditAndApply(
    "rollout " + subcommand,
    aOptions,
    [&](const Files& aFiles) -> ErrorOr<Files> {
      return subcommand == "start"
               ? WithRollout(aFiles, name, aOptions)
               : WithPaused(aFiles, name, subcommand == "pause" ? "yes" : "no");
    });
}

/// Resumes the roll-out in the settings first, then lifts a halt in its
/// progress record. If the second step fails, the command can be repeated.
int Resume(const ParsedOptions& aOptions)
{
  const int exitCode = EditRollout(aOptions);
  if (exitCode != kExitDone || aOptions.Has("dry-run")) {
    return exitCode;
  }
  const auto client = MakeCommandClient(aOptions.Value("store"));
  const auto lifted = LiftHalt(client->Store(), aOptions.mOperands[1]);
  return lifted ? kExitDone : ReportError("rollout resume", lifted.error());
}

int Status(const ParsedOptions& aOptions)
{
  const auto json = WantsJson(aOptions);
  if (!json) {
    return kExitUsage;
  }
  const auto client = MakeCommandClient(aOptions.Value("store"));
  const auto states = FetchRolloutStates(client->Store());
  if (!states) {
    return ReportError("rollout status", states.error());
  }
  const std::string name =
    aOptions.mOperands.size() > 1 ? aOptions.mOperands[1] : "";
  std::fputs(
    (*json ? RolloutsJson(*states, name) : RolloutsText(*states, name)).c_str(),
    stdout);
  return kExitDone;
}

int Run(const std::vector<std::string>& aArguments)
{
  std::vector<OptionSpec> specs = EditOptions();
  for (const char* name : { "model", "from", "to", "steps" }) {
    specs.push_back({ name, "VALUE", "" });
  }
  const auto options = ParseOptions("rollout", aArguments, specs);
  const std::size_t count = options ? options->mOperands.size() : 0;
  const std::string subcommand = count > 0 ? options->mOperands[0] : "";
  if (subcommand == "status" && options->Has("store")) {
    return Status(*options);
  }
  const bool isEdit =
    subcommand == "start" || subcommand == "pause" || subcommand == "resume";
  if (!isEdit || count != 2 || !options->Has("store") ||
      !options->Has("author") || !options->Has("reason")) {
    std::fputs(kHelp, stderr);
    return kExitUsage;
  }
  return subcommand == "resume" ? Resume(*options) : EditRollout(*options);
}

} // namespace

Command RolloutCommand()
{
  return { "rollout", "Start, pause, resume and show roll-outs.", kHelp, Run };
}

} // namespace Acaciavale
