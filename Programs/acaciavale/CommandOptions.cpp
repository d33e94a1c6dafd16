#include "CommandOptions.h"

#include <cstdio>
#include <cstdlib>
#include <popt.h>

namespace Acaciavale {

namespace {

constexpr std::size_t kHelpColumn = 24;

/// Builds the option table of popt, in which aSpecs[N] has the return code
/// N + 1.
std::vector<poptOption> PoptTable(const std::vector<OptionSpec>& aSpecs)
{
  std::vector<poptOption> table;
  table.reserve(aSpecs.size() + 1);
  int code = 1;
  for (const OptionSpec& spec : aSpecs) {
    poptOption option{};
    option.longName = spec.mName.c_str();
    option.argInfo =
      spec.mArgumentName.empty() ? POPT_ARG_NONE : POPT_ARG_STRING;
    option.val = code++;
    table.push_back(option);
  }
  table.push_back(poptOption{});
  return table;
}

void RecordOption(poptContext aContext,
                  const OptionSpec& aSpec,
                  ParsedOptions& aOptions)
{
  char* argument =
    aSpec.mArgumentName.empty() ? nullptr : poptGetOptArg(aContext);
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
  std::vector<const char*> argv{ aCommand.c_str() };
  for (const std::string& argument : aArguments) {
    argv.push_back(argument.c_str());
  }
  const auto table = PoptTable(aSpecs);
  poptContext context = poptGetContext(
    nullptr, static_cast<int>(argv.size()), argv.data(), table.data(), 0);
  ParsedOptions options;
  int code = 0;
  while ((code = poptGetNextOpt(context)) > 0) {
    RecordOption(context, aSpecs[static_cast<std::size_t>(code) - 1], options);
  }
  if (code < -1) {
    std::fprintf(stderr,
                 "acaciavale %s: %s: %s\n",
                 aCommand.c_str(),
                 poptBadOption(context, POPT_BADOPTION_NOALIAS),
                 poptStrerror(code));
  }
  const char** operand = poptGetArgs(context);
  for (; operand != nullptr && *operand != nullptr; ++operand) {
    options.mOperands.emplace_back(*operand);
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
    option += spec.mArgumentName.empty() ? "" : " " + spec.mArgumentName;
    option.resize(std::max(option.size() + 2, kHelpColumn), ' ');
    text += option + spec.mHelp + "\n";
  }
  return text;
}

OptionSpec OutputOption()
{
  return { "output", "text|json", "Output format; text by default." };
}

std::optional<bool> WantsJson(const ParsedOptions& aOptions)
{
  const std::string format = aOptions.Value("output", "text");
  if (format != "text" && format != "json") {
    std::fprintf(
      stderr,
      "acaciavale: unknown output format %s; --output accepts text and "
      "json\n",
      format.c_str());
    return std::nullopt;
  }
  return format == "json";
}

} // namespace Acaciavale
