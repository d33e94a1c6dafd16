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
  "Tells per account and model how much of the error budget of 28 days each\n"
  "objective has spent, how fast it burns, and when the budget ends. html\n"
  "prints one page that needs nothing else.\n";

ErrorOr<BurnReport> FetchReport(const KeyValueStore& aStore)
{
  const auto stored = ACACIAVALE_TRY(FetchLatest(aStore));
  const SettingsReading reading = ReadSettings(stored.mFiles);
  if (!reading.mSettings) {
    return MakeError(ErrorCode::Invalid,
                     "The settings in force have findings.");
  }
  const FleetSlo fleet = ACACIAVALE_TRY(FetchSlo(aStore));
  for (const std::string& key : fleet.mUnreadableKeys) {
    std::fprintf(stderr, "acaciavale report: %s cannot be read\n", key.c_str());
  }
  return MakeBurnReport(*reading.mSettings, fleet.mCells, CalendarNow());
}

void KeepOnly(BurnReport& aReport, const ParsedOptions& aOptions)
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
  const bool isKnown = format == "text" || format == "json" || format == "html";
  if (!isKnown || !options->Has("store") ||
      options->mOperands != std::vector<std::string>{ "burn" }) {
    std::fputs(kHelp, stderr);
    return kExitUsage;
  }
  const auto client = MakeCommandClient(options->Value("store"));
  auto report = FetchReport(client->Store());
  if (!report) {
    return ReportError("report burn", report.error());
  }
  KeepOnly(*report, *options);
  const std::string text = format == "html"   ? BurnHtml(*report)
                           : format == "json" ? BurnJson(*report)
                                              : BurnText(*report);
  std::fputs(text.c_str(), stdout);
  return kExitDone;
}

} // namespace

Command ReportCommand()
{
  return { "report", "Report on service-level burn.", kHelp, Run };
}

} // namespace Acaciavale
