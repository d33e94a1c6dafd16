#pragma once

#include <string>
#include <vector>

/// The subcommands of the one binary; each is a file beside this one.
namespace Acaciavale {

/// Exit codes of every command.
constexpr int kExitDone = 0;
constexpr int kExitFindings = 1;
constexpr int kExitUsage = 2;
constexpr int kExitNotReachable = 3;

/// One subcommand. Run gets the arguments after the command's name.
struct Command
{
  std::string mName;
  std::string mSummary; ///< One line for the list of commands.
  std::string mHelp;    ///< Usage and options in full.
  int (*mRun)(const std::vector<std::string>& aArguments) = nullptr;
};

/// Each file adds its command here, by one function of its own.
const std::vector<Command>& Commands();

} // namespace Acaciavale
