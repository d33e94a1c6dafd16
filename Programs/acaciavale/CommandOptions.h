#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

/// Options of the subcommands, by popt.
namespace Acaciavale {

/// One long option. An option without the name of its argument is a flag.
struct OptionSpec
{
  std::string mName;
  std::string mArgumentName; ///< What the help calls its argument, or empty.
  std::string mHelp;
};

/// What was given. A flag that was given has the value "yes".
struct ParsedOptions
{
  std::map<std::string, std::string> mValues;
  std::vector<std::string> mOperands;

  bool Has(const std::string& aName) const;
  std::string Value(const std::string& aName,
                    const std::string& aDefault = "") const;
};

/// Parses the arguments of a command. Prints what is wrong, or the help where
/// --help was asked for, and returns nothing then.
std::optional<ParsedOptions> ParseOptions(
  const std::string& aCommand,
  const std::vector<std::string>& aArguments,
  const std::vector<OptionSpec>& aSpecs);

/// The usage line and the options, for the command's help.
std::string OptionsHelp(const std::string& aUsage,
                        const std::vector<OptionSpec>& aSpecs);

/// "--output text|json", for commands that print.
OptionSpec OutputOption();

/// Whether JSON is asked for; nothing where the format is neither, which is
/// printed then.
std::optional<bool> WantsJson(const ParsedOptions& aOptions);

} // namespace Acaciavale
