#include "ReportCommand.h"
#include "CommandOptions.h"
#include "SettingsSource.h"

#include <Acaciavale/LibReport/BurnReport.h>
#include <Acaciavale/LibReport/SloStore.h>
#include <Acaciavale/LibSettings/SettingsStore.h>

#include <cstdio>

namespace Acaciavale {

namespace {

constexpr const char* kHelp =
  "usage: acaciavale report burn --store IP:PORT [--output text|json|html]\n"
  "       [--account NAME] [--model NAME]\n"
  "\n"
  "Shows per account and model how much of the error budget of 28 days each\n"
  "objective has spent, its burn rate, and when the budget is exhausted.\n"
  "html prints one self-contained page.\n";

ErrorOr<BurnReport> FetchReport(const KeyValueStore& aStore)
{
  const auto stored = ACACIAVALE_TRY(FetchLatest(aStore));
  const SettingsResult parsed = ParseSettings(stored.mFiles);
  if (!parsed.mSettings) {
    return MakeError(ErrorCode::Invalid, "The settings in force are invalid.");
  }
  const FleetSlo fleet = ACACIAVALE_TRY(FetchSlo(aStore));
  for (const std::string& key : fleet.mUnreadableKeys) {
    std::fprintf(
      stderr, "acaciavale report: the record %s cannot be read\n", key.c_str());
  }
  return MakeBurnReport(*parsed.mSettings, fleet.mCells, CalendarNow());
}

void FilterReport(BurnReport& aReport, const ParsedOptions& aOptions)
{
  std::erase_if(aReport.mLines, [&](const BurnLine& aLine) {
    return (aOptions.Has("account") &&
            aLine.mAccount != aOptions.Value("account")) ||
           (aOptions.Has("model") && aLine.mModel != aOptions.Value("model"));
  });
}

int Run(const std::vector<std::string>& aArguments)
{
  const std::vector<OptionSpec> specs{ StoreOption(),
                                       { "output", "FORMAT", "" },
                                       { "account", "NAME", "" },
                                       { "model", "NAME", "" } };
  const auto options = ParseOptions("report", aArguments, specs);
  const std::string format =
    options ? options->Value("output", "text") : std::string();
  const bool isKnownFormat =
    format == "text" || format == "json" || format == "html";
  if (!isKnownFormat || !options->Has("store") ||
      options->mOperands != std::vector<std::string>{ "burn" }) {
    std::fputs(kHelp, stderr);
    return kExitUsage;
  }
  const auto client = MakeCommandClient(options->Value("store"));
  auto report = FetchReport(client->Store());
  if (!report) {
    return ReportError("report burn", report.error());
  }
  FilterReport(*report, *options);
  const std::string text = format == "html"   ? BurnHtml(*report)
                           : format == "json" ? BurnJson(*report)
                                              : BurnText(*report);
  std::fputs(text.c_str(), stdout);
  return kExitDone;
}

} // namespace

Command ReportCommand()
{
  return { "report",
           "Report how fast objectives spend their error budgets.",
           kHelp,
           Run };
}

} // namespace Acaciavale
