#include <Acaciavale/LibReport/SloCounters.h>
#include <Acaciavale/LibSettings/SettingsHolder.h>
#include <Acaciavale/LibSettings/SettingsParser.h>

#include <benchmark/benchmark.h>
#include <string>

/// Measures the cost of settings for a VM: parsing a settings tree by its
/// number of accounts, reading the current settings from the holder, and
/// counting a request for the burn report.
namespace Acaciavale {

namespace {

/// Returns an API key salt that is unique to the account.
std::string AccountSalt(std::int64_t aAccount)
{
  const std::string digits = std::to_string(aAccount);
  return std::string(8 - digits.size(), '0') + digits;
}

/// Makes a settings tree with five versions and the given number of accounts,
/// in groups of ten.
std::vector<SettingsFile> MakeSettingsFiles(std::int64_t aAccountCount)
{
  std::string text = "[deployment]\nname = bench\nsession-key = "
                     "00ff00ff00ff00ff00ff00ff00ff00ff\n"
                     "[model m]\ninput-price = 1micros/Mtok\n"
                     "output-price = 1micros/Mtok\n[account]\nmodels = m\n";
  for (int version = 0; version < 5; ++version) {
    text += "[version m/v" + std::to_string(version) + "]\n";
  }
  for (std::int64_t account = 0; account < aAccountCount; ++account) {
    const std::string group = "[account g" + std::to_string(account / 10);
    text += account % 10 == 0 ? group + "]\nburst = 300\n" : "";
    text += group + "/a" + std::to_string(account) +
            "]\nburst = 200\nkey-salt = " + AccountSalt(account) +
            "\nkey-hash = " + std::string(64, 'a') + "\n";
  }
  return { { "bench.ini", text } };
}

void ReadTree(benchmark::State& aState)
{
  const auto files = MakeSettingsFiles(aState.range(0));
  for (auto step : aState) {
    const SettingsResult reading = ParseSettings(files);
    if (!reading.mSettings) {
      aState.SkipWithError(Describe(reading.mFindings.front()).c_str());
    }
    benchmark::DoNotOptimize(reading);
  }
  aState.SetComplexityN(aState.range(0));
}
BENCHMARK(ReadTree)
  ->Arg(10)
  ->Arg(100)
  ->Arg(1000)
  ->Unit(benchmark::kMicrosecond)
  ->Complexity();

void AskHolder(benchmark::State& aState)
{
  static SettingsHolder sHolder;
  if (aState.thread_index() == 0) {
    StoredSettings stored;
    stored.mFiles = MakeSettingsFiles(10);
    stored.mRoot.mGeneration = 1;
    stored.mRoot.mDigest = ComputeFilesDigest(stored.mFiles);
    stored.mRoot.mChainDigest = ComputeChainDigest(stored.mRoot);
    benchmark::DoNotOptimize(sHolder.Offer(stored));
  }
  for (auto step : aState) {
    benchmark::DoNotOptimize(sHolder.Current());
  }
}
BENCHMARK(AskHolder)->Threads(1)->Threads(4);

void CountRequest(benchmark::State& aState)
{
  static SloCounters sCounters;
  const ObjectiveSettings objective;
  const SloSample sample{ "account-" + std::to_string(aState.thread_index()),
                          "model",
                          true,
                          std::chrono::milliseconds(300),
                          std::chrono::milliseconds(10) };
  const UnixMilliseconds now = CalendarNow();
  for (auto step : aState) {
    sCounters.Record(objective, sample, now);
  }
}
BENCHMARK(CountRequest)->Threads(1)->Threads(4);

} // namespace

} // namespace Acaciavale

BENCHMARK_MAIN();
