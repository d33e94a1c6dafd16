#include "Caller.h"
#include "Endpoints.h"
#include "Vms.h"

#include <cinttypes>

using namespace Acaciavale::Soak;

namespace {

constexpr int kCallers = 24;
constexpr double kShortestGapSeconds = 0.2;
constexpr double kLongestGapSeconds = 3;
/// The memory that the pages allow a VM, in KiB.
constexpr long kMemoryKib = 256L << 10;
constexpr double kMinimumServedShare = 0.5;
/// Settles what VMs know of each other after their start.
constexpr double kSettleSeconds = 3;

int Report(const Ledger& aLedger, long aPeakKib)
{
  const Totals totals = aLedger.Sum();
  std::vector<std::string> violations = aLedger.Violations();
  if (totals.mServed < kMinimumServedShare * totals.mRequests) {
    violations.emplace_back("fewer than half of the requests were served");
  }
  if (aPeakKib > kMemoryKib) {
    violations.push_back("a process held " + std::to_string(aPeakKib) + " KiB");
  }
  for (const std::string& violation : violations) {
    std::printf("%s\n", violation.c_str());
  }
  std::printf("%d requests: %d served, %d not executed, %d failed, %d without "
              "response, %d cut off; peak %ld KiB; %zu violations\n",
              totals.mRequests,
              totals.mServed,
              totals.mNotExecuted,
              totals.mFailed,
              totals.mUnanswered,
              totals.mCutOff,
              aPeakKib,
              violations.size());
  return violations.empty() ? 0 : 1;
}

} // namespace

/// acaciavale-node-soak SECONDS SEED: runs in the root of the repository, where
/// the program of the node is built. With KEEP in the environment, keeps logs.
int main(int aCount, char** aArguments)
{
  if (aCount != 3) {
    std::fprintf(stderr, "usage: acaciavale-node-soak SECONDS SEED\n");
    return 2;
  }
  const double seconds = std::strtod(aArguments[1], nullptr);
  const std::uint64_t seed = std::strtoull(aArguments[2], nullptr, 10);
  std::signal(SIGPIPE, SIG_IGN);
  review::Platform platform;
  review::ThePlatform() = &platform;
  review::Store store;
  store.Start(platform.Host(1));
  Ledger ledger;
  Endpoints endpoints(ledger, seed);
  endpoints.Start(store, platform);
  Vms vms(ledger, platform, store);
  vms.Start();
  review::Sleep(kSettleSeconds);

  const double until = review::Now() + seconds;
  std::vector<std::thread> callers;
  callers.reserve(kCallers);
  for (int number = 0; number < kCallers; ++number) {
    callers.emplace_back([&ledger, &vms, number, seed, until] {
      Caller(ledger,
             vms,
             "c" + std::to_string(number),
             seed * kCallers + static_cast<std::uint64_t>(number))
        .Run(until);
    });
  }
  std::mt19937_64 random(seed);
  std::uniform_real_distribution<double> gap(kShortestGapSeconds,
                                             kLongestGapSeconds);
  while (review::Now() < until) {
    review::Sleep(gap(random));
    vms.Disturb(random);
  }
  for (std::thread& caller : callers) {
    caller.join();
  }
  vms.StopAll();
  std::printf("seed %" PRIu64 ": ", seed);
  const int result = Report(ledger, vms.PeakKib());
  std::fflush(stdout);
  platform.EndAll();
  std::_Exit(result);
}
