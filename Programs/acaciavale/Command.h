#pragma once

#include <string>
#include <vector>

/// The subcommands of the acaciavale program. Each is implemented in a file of
/// its own in this folder.
namespace Acaciavale {

/// Exit codes that all commands share.
constexpr int kExitDone = 0;
constexpr int kExitFindings = 1;
constexpr int kExitUsage = 2;
constexpr int kExitNotReachable = 3;

/// A subcommand. mRun receives the arguments that follow the command's name and
/// returns the exit code.
struct Command
{
  std::string mName;
  std::string mSummary; ///< One line for the list of commands.
  std::string mHelp;    ///< Usage and options in full.
  int (*mRun)(const std::vector<std::string>& aArguments) = nullptr;
};

/// Returns all subcommands in the order in which the help lists them.
const std::vector<Command>& Commands();

} // namespace Acaciavale
