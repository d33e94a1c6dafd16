#include "Command.h"

#include <Acaciavale/LibCore/Log.h>

#include <cstdio>

using namespace Acaciavale;

namespace {

constexpr int kNameColumnWidth = 12;

const Command* FindCommand(const std::string& aName)
{
  for (const Command& command : Commands()) {
    if (command.mName == aName) {
      return &command;
    }
  }
  return nullptr;
}

void PrintCommands(std::FILE* aOut)
{
  std::fputs("usage: acaciavale COMMAND [OPTION…]\n\n", aOut);
  for (const Command& command : Commands()) {
    std::fprintf(aOut,
                 "  %-*s %s\n",
                 kNameColumnWidth,
                 command.mName.c_str(),
                 command.mSummary.c_str());
  }
  std::fputs("\n  acaciavale help COMMAND   prints the usage of COMMAND\n"
             "\nexit codes: 0 done, 1 findings, 2 usage, 3 not reachable\n",
             aOut);
}

int Help(const std::vector<std::string>& aArguments)
{
  if (aArguments.empty()) {
    PrintCommands(stdout);
    return kExitDone;
  }
  const Command* command = FindCommand(aArguments[0]);
  if (command == nullptr) {
    std::fprintf(
      stderr, "acaciavale: unknown command %s\n", aArguments[0].c_str());
    return kExitUsage;
  }
  std::printf("%s", command->mHelp.c_str());
  return kExitDone;
}

} // namespace

int main(int aCount, char** aArguments)
{
  const std::vector<std::string> arguments(aArguments + 1, aArguments + aCount);
  if (arguments.empty()) {
    PrintCommands(stderr);
    return kExitUsage;
  }
  const std::vector<std::string> rest(arguments.begin() + 1, arguments.end());
  if (arguments[0] == "--help" || arguments[0] == "help") {
    return Help(rest);
  }
  if (arguments[0] == "--version") {
    std::printf("acaciavale %s\n", ACACIAVALE_VERSION);
    return kExitDone;
  }
  const Command* command = FindCommand(arguments[0]);
  if (command == nullptr) {
    std::fprintf(
      stderr, "acaciavale: unknown command %s\n", arguments[0].c_str());
    PrintCommands(stderr);
    return kExitUsage;
  }
  ConfigureLog(LogLevel::Info, LogFormat::Text);
  return command->mRun(rest);
}
