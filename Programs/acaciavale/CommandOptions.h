#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

/// Option parsing of the subcommands, based on popt.
namespace Acaciavale {

/// A long option. An option without an argument name is a flag.
struct OptionSpec
{
  std::string mName;
  std::string mArgumentName; ///< Placeholder shown in the help, or empty.
  std::string mHelp;         ///< Explanation shown in the help.
};

/// Options and operands of a command line. A flag that is set has the value
/// "yes".
struct ParsedOptions
{
  std::map<std::string, std::string> mValues;
  std::vector<std::string> mOperands;

  bool Has(const std::string& aName) const;
  std::string Value(const std::string& aName,
                    const std::string& aDefault = "") const;
};

/// Parses the arguments of a command. If an option is invalid, prints an error
/// and returns nothing.
std::optional<ParsedOptions> ParseOptions(
  const std::string& aCommand,
  const std::vector<std::string>& aArguments,
  const std::vector<OptionSpec>& aSpecs);

/// Returns the usage line and the list of options for the command's help.
std::string OptionsHelp(const std::string& aUsage,
                        const std::vector<OptionSpec>& aSpecs);

/// The option "--output text|json" of the commands that print results.
OptionSpec OutputOption();

/// Returns whether --output selects JSON. If the format is unknown, prints an
/// error and returns nothing.
std::optional<bool> WantsJson(const ParsedOptions& aOptions);

} // namespace Acaciavale
