// acaciavale-history drive | settle | check: simulates callers and records
// their calls, waits for complete bills, and checks the invariants of the
// system on the resulting history.
#include "Checks.h"
#include "Driver.h"
#include "Gather.h"

#include <Acaciavale/LibCore/Time.h>

#include <popt.h>

#include <algorithm>
#include <array>
#include <cstdio>
#include <map>
#include <optional>
#include <thread>

using namespace Acaciavale;
using namespace Acaciavale::History;

namespace {

constexpr int kExitViolations = 1;
constexpr int kExitUsage = 2;
constexpr std::size_t kMaxPrintedViolations = 5;
constexpr std::chrono::seconds kBillsTimeout{ 60 };
constexpr std::chrono::milliseconds kBillsPollInterval{ 500 };

/// Parsed command line.
struct Options
{
  std::string mCommand;
  std::string mStandIns;
  std::string mSettings;
  std::string mRecording;
  int mDrainingGraceMilliseconds = 5000;
  DriverOptions mDriver;
};

std::string StringOrEmpty(const char* aText)
{
  return aText == nullptr ? "" : aText;
}

std::optional<Options> ParseOptions(int aArgumentCount, char** aArguments)
{
  Options options;
  const char* standIns = nullptr;
  const char* settings = nullptr;
  const char* recording = nullptr;
  const char* until = nullptr;
  long seed = 1;
  const std::array<poptOption, 9> table{
    { // clang-format off
    { "stand-ins", 0, POPT_ARG_STRING, &standIns, 0, "announce file of the stand-ins", "FILE" },
    { "settings", 0, POPT_ARG_STRING, &settings, 0, "settings file with the accounts that make calls", "FILE" },
    { "recording", 0, POPT_ARG_STRING, &recording, 0, "recording that drive writes, and that settle and check read", "FILE" },
    { "until", 0, POPT_ARG_STRING, &until, 0, "drive ends once this file exists", "FILE" },
    { "calls", 0, POPT_ARG_INT, &options.mDriver.mAnswerLimit, 0, "drive ends after N answered calls", "N" },
    { "threads", 0, POPT_ARG_INT, &options.mDriver.mThreadCount, 0, "number of concurrent callers", "N" },
    { "seed", 0, POPT_ARG_LONG, &seed, 0, "seed of the random calls", "S" },
    { "leaving-grace", 0, POPT_ARG_INT, &options.mDrainingGraceMilliseconds, 0, "time for VMs to learn of a draining endpoint", "MILLISECONDS" },
      // clang-format on
      POPT_TABLEEND }
  };
  poptContext context = poptGetContext(nullptr,
                                       aArgumentCount,
                                       const_cast<const char**>(aArguments),
                                       table.data(),
                                       0);
  const int result = poptGetNextOpt(context);
  options.mCommand = StringOrEmpty(poptGetArg(context));
  while (const char* vm = poptGetArg(context)) {
    options.mDriver.mVmFiles.emplace_back(vm);
  }
  poptFreeContext(context);
  if (result != -1) {
    std::fprintf(stderr, "acaciavale-history: %s\n", poptStrerror(result));
    return {};
  }
  options.mStandIns = StringOrEmpty(standIns);
  options.mSettings = StringOrEmpty(settings);
  options.mRecording = StringOrEmpty(recording);
  options.mDriver.mStopFile = StringOrEmpty(until);
  options.mDriver.mSeed = static_cast<std::uint64_t>(seed);
  return options;
}

int DriveCommand(Options aOptions)
{
  if (aOptions.mDriver.mVmFiles.empty()) {
    return kExitUsage;
  }
  aOptions.mDriver.mAccounts = AccountsOf(ReadSettingsFile(aOptions.mSettings));
  const Recording recording = RunCallers(aOptions.mDriver);
  std::printf("%zu calls recorded\n", recording.mCalls.size());
  return WriteRecording(recording, aOptions.mRecording) ? 0 : 1;
}

/// Polls the bills until they are complete or kBillsTimeout passes. Other VMs
/// close the ledgers of dead VMs only after a delay.
void WaitForBills(const std::string& aStandIns,
                  Acaciavale::History::History& aHistory)
{
  const TimePoint start = MonotonicNow();
  Violations violations = CheckBills(aHistory);
  while (!violations.empty() && MonotonicNow() - start < kBillsTimeout) {
    std::this_thread::sleep_for(kBillsPollInterval);
    aHistory.mBills = FetchBills(aStandIns);
    violations = CheckBills(aHistory);
  }
  std::printf("bills %s after %.1f s\n",
              violations.empty() ? "complete" : "not complete",
              InSeconds(MonotonicNow() - start));
  for (const Violation& violation : violations) {
    std::printf("  %s\n", violation.mDescription.c_str());
  }
}

void PrintCallOutcomes(const std::vector<Call>& aCalls)
{
  const auto count = [&](CallKind aKind, CallOutcome aOutcome) {
    return std::count_if(aCalls.begin(), aCalls.end(), [&](const Call& aCall) {
      return aCall.mKind == aKind && aCall.mOutcome == aOutcome;
    });
  };
  const std::array<std::pair<const char*, CallKind>, 3> kinds{
    { { "chat", CallKind::Chat },
      { "look-ups", CallKind::Repeatable },
      { "not to be repeated", CallKind::NonRepeatable } }
  };
  for (const auto& [name, kind] : kinds) {
    std::printf("requests, %s: %td answered, %td refused, %td lost\n",
                name,
                count(kind, CallOutcome::Answered),
                count(kind, CallOutcome::Refused),
                count(kind, CallOutcome::Lost));
  }
}

void PrintFailureReasons(const std::vector<Call>& aCalls)
{
  std::map<std::string, int> reasons;
  for (const Call& call : aCalls) {
    if (call.mOutcome != CallOutcome::Answered) {
      ++reasons[call.mReason + ", ran " +
                (call.mExecuted.empty() ? "not said" : call.mExecuted)];
    }
  }
  for (const auto& [reason, times] : reasons) {
    std::printf("not answered, %s: %d\n", reason.c_str(), times);
  }
}

int PrintViolations(const Acaciavale::History::History& aHistory)
{
  std::size_t total = 0;
  for (const InvariantCheck& check : InvariantChecks()) {
    const Violations violations = check.mCheck(aHistory);
    std::printf("violations, %s: %zu\n", check.mInvariant, violations.size());
    const std::size_t shown =
      std::min(violations.size(), kMaxPrintedViolations);
    for (std::size_t at = 0; at < shown; ++at) {
      std::printf("  %s\n", violations[at].mDescription.c_str());
    }
    total += violations.size();
  }
  return total == 0 ? 0 : kExitViolations;
}

Acaciavale::History::History LoadHistory(const Options& aOptions)
{
  const GatherOptions gather{ aOptions.mStandIns,
                              std::chrono::milliseconds(
                                aOptions.mDrainingGraceMilliseconds) };
  return GatherHistory(gather,
                       ReadSettingsFile(aOptions.mSettings),
                       ReadRecording(aOptions.mRecording));
}

/// Waits until the bills agree with the calls, while the VMs still run. On a
/// timeout the command succeeds too; the check command reports the difference.
int SettleCommand(const Options& aOptions)
{
  Acaciavale::History::History history = LoadHistory(aOptions);
  WaitForBills(aOptions.mStandIns, history);
  return 0;
}

int CheckCommand(const Options& aOptions)
{
  const Acaciavale::History::History history = LoadHistory(aOptions);
  PrintCallOutcomes(history.mCalls);
  PrintFailureReasons(history.mCalls);
  std::printf("runs at endpoints: %zu\n", history.mRuns.size());
  for (const auto& [name, times] : CountFaults(aOptions.mStandIns)) {
    std::printf("faults, %s: %d\n", name.c_str(), times);
  }
  return PrintViolations(history);
}

} // namespace

int main(int aArgumentCount, char** aArguments)
{
  const std::optional<Options> options =
    ParseOptions(aArgumentCount, aArguments);
  if (!options) {
    return kExitUsage;
  }
  try {
    if (options->mCommand == "drive") {
      return DriveCommand(*options);
    }
    if (options->mCommand == "settle") {
      return SettleCommand(*options);
    }
    if (options->mCommand == "check") {
      return CheckCommand(*options);
    }
  } catch (const std::exception& exception) {
    std::fprintf(stderr, "acaciavale-history: %s\n", exception.what());
    return 1;
  }
  std::fprintf(stderr,
               "usage: acaciavale-history drive | settle | check [OPTION…]\n");
  return kExitUsage;
}
