#include "SettingsCommand.h"

#include <cstdio>

namespace Acaciavale {

namespace {

constexpr const char* kHelp =
  "usage: acaciavale settings SUBCOMMAND [OPTION…]\n"
  "\n"
  "  check FILE…               lists every finding in the files\n"
  "  explain FILE… [WHAT=NAME…] shows where values were set\n"
  "  show --store IP:PORT      prints the files in force, secrets hidden\n"
  "  diff FILE… --store …      shows what applying the files would change\n"
  "  apply FILE… --store …     puts the files in force\n"
  "  export DIRECTORY --store … writes the files in force, secrets included\n"
  "  history --store IP:PORT   lists the generations\n"
  "  status --store IP:PORT    shows which generation each VM has\n"
  "  verify --store IP:PORT    checks that no generation was altered\n"
  "  hash-key                  hashes a caller's key from standard input\n"
  "  reference                 prints docs/SETTINGS.md\n"
  "\n"
  "Subcommands that need arguments print their options when given none.\n";

struct Subcommand
{
  const char* mName;
  int (*mRun)(const std::vector<std::string>& aArguments);
};

constexpr Subcommand kSubcommands[] = {
  { "check", SettingsCheck },      { "explain", SettingsExplain },
  { "show", SettingsShow },        { "diff", SettingsDiff },
  { "apply", SettingsApply },      { "history", SettingsHistory },
  { "status", SettingsStatus },    { "verify", SettingsVerify },
  { "hash-key", SettingsHashKey }, { "reference", SettingsReference },
  { "export", SettingsExport },
};

int Run(const std::vector<std::string>& aArguments)
{
  const std::string name = aArguments.empty() ? "" : aArguments[0];
  for (const Subcommand& subcommand : kSubcommands) {
    if (name == subcommand.mName) {
      return subcommand.mRun({ aArguments.begin() + 1, aArguments.end() });
    }
  }
  std::fputs(kHelp, stderr);
  return kExitUsage;
}

} // namespace

Command SettingsCommand()
{
  return {
    "settings", "Check, explain, compare and apply settings.", kHelp, Run
  };
}

} // namespace Acaciavale
