#include "VersionCommand.h"
#include "CommandOptions.h"
#include "SettingsChange.h"
#include "SettingsSource.h"

#include <Acaciavale/LibSettings/SettingsEdit.h>

#include <cstdio>

namespace Acaciavale {

namespace {

constexpr const char* kHelp =
  "usage: acaciavale version SUBCOMMAND MODEL/VERSION --store IP:PORT\n"
  "       --author NAME --reason TEXT [OPTION…]\n"
  "\n"
  "  withdraw   the version gets no requests any more; it is removed from\n"
  "             cascades that have other stages, and roll-outs to it pause\n"
  "  retire     the version gets no new sessions and keeps its existing ones\n"
  "  serve      the version gets new sessions again\n"
  "\n"
  "  --may-leave-empty  allows the change even if accounts are left without\n"
  "                     a version of the model; their requests are refused\n"
  "  --dry-run          shows what would change and changes nothing\n"
  "  --output text|json\n";

std::optional<VersionState> TargetState(const std::string& aSubcommand)
{
  if (aSubcommand == "withdraw") {
    return VersionState::Withdrawn;
  }
  if (aSubcommand == "retire") {
    return VersionState::Retiring;
  }
  if (aSubcommand == "serve") {
    return VersionState::Serving;
  }
  return std::nullopt;
}

int Run(const std::vector<std::string>& aArguments)
{
  std::vector<OptionSpec> specs = EditOptions();
  specs.push_back({ "may-leave-empty", "", "" });
  const auto options = ParseOptions("version", aArguments, specs);
  const bool isComplete = options && options->mOperands.size() == 2 &&
                          options->Has("store") && options->Has("author") &&
                          options->Has("reason");
  const auto state =
    isComplete ? TargetState(options->mOperands[0]) : std::nullopt;
  const std::size_t slash =
    isComplete ? options->mOperands[1].find('/') : std::string::npos;
  if (!state || slash == std::string::npos) {
    std::fputs(kHelp, stderr);
    return kExitUsage;
  }
  const VersionStateChange request{ options->mOperands[1].substr(0, slash),
                                    options->mOperands[1].substr(slash + 1),
                                    *state,
                                    options->Has("may-leave-empty") };
  return EditAndApply(
    "version " + options->mOperands[0], *options, [&](const auto& aFiles) {
      return WithVersionState(aFiles, request);
    });
}

} // namespace

Command VersionCommand()
{
  return { "version", "Withdraw, retire or serve a version.", kHelp, Run };
}

} // namespace Acaciavale
