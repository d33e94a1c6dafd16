#include "CommandOptions.h"

#include <cstdio>
#include <cstdlib>
#include <popt.h>

namespace Acaciavale {

namespace {

constexpr std::size_t kOptionColumn = 24;

/// popt's table; option N of the specs returns N + 1.
std::vector<poptOption> PoptTable(const std::vector<OptionSpec>& aSpecs)
{
  std::vector<poptOption> table;
  table.reserve(aSpecs.size() + 1);
  int code = 1;
  for (const OptionSpec& spec : aSpecs) {
    poptOption option{};
    option.longName = spec.mName.c_str();
    option.argInfo = spec.mArgument.empty() ? POPT_ARG_NONE : POPT_ARG_STRING;
    option.val = code++;
    table.push_back(option);
  }
  table.push_back(poptOption{});
  return table;
}

void TakeOption(poptContext aContext,
                const OptionSpec& aSpec,
                ParsedOptions& aOptions)
{
  char* argument = aSpec.mArgument.empty() ? nullptr : poptGetOptArg(aContext);
  aOptions.mValues[aSpec.mName] = argument == nullptr ? "yes" : argument;
  std::free(argument);
}

} // namespace

bool ParsedOptions::Has(const std::string& aName) const
{
  return mValues.contains(aName);
}

std::string ParsedOptions::Value(const std::string& aName,
                                 const std::string& aDefault) const
{
  const auto found = mValues.find(aName);
  return found == mValues.end() ? aDefault : found->second;
}

std::optional<ParsedOptions> ParseOptions(
  const std::string& aCommand,
  const std::vector<std::string>& aArguments,
  const std::vector<OptionSpec>& aSpecs)
{
  std::vector<const char*> words{ aCommand.c_str() };
  for (const std::string& argument : aArguments) {
    words.push_back(argument.c_str());
  }
  const auto table = PoptTable(aSpecs);
  poptContext context = poptGetContext(
    nullptr, static_cast<int>(words.size()), words.data(), table.data(), 0);
  ParsedOptions options;
  int code = 0;
  while ((code = poptGetNextOpt(context)) > 0) {
    TakeOption(context, aSpecs[static_cast<std::size_t>(code) - 1], options);
  }
  if (code < -1) {
    std::fprintf(stderr,
                 "acaciavale %s: %s: %s\n",
                 aCommand.c_str(),
                 poptBadOption(context, POPT_BADOPTION_NOALIAS),
                 poptStrerror(code));
  }
  const char** rest = poptGetArgs(context);
  for (; rest != nullptr && *rest != nullptr; ++rest) {
    options.mOperands.emplace_back(*rest);
  }
  poptFreeContext(context);
  if (code < -1) {
    return std::nullopt;
  }
  return options;
}

std::string OptionsHelp(const std::string& aUsage,
                        const std::vector<OptionSpec>& aSpecs)
{
  std::string text = "usage: acaciavale " + aUsage + "\n";
  for (const OptionSpec& spec : aSpecs) {
    std::string option = "  --" + spec.mName;
    option += spec.mArgument.empty() ? "" : " " + spec.mArgument;
    option.resize(std::max(option.size() + 2, kOptionColumn), ' ');
    text += option + spec.mText + "\n";
  }
  return text;
}

OptionSpec OutputOption()
{
  return { "output", "text|json", "How to print; text where not stated." };
}

std::optional<bool> WantsJson(const ParsedOptions& aOptions)
{
  const std::string format = aOptions.Value("output", "text");
  if (format != "text" && format != "json") {
    std::fprintf(stderr,
                 "acaciavale: --output %s is not allowed; allowed are text and "
                 "json\n",
                 format.c_str());
    return std::nullopt;
  }
  return format == "json";
}

} // namespace Acaciavale
