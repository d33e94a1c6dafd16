#include "WeightStore.h"

namespace Acaciavale::StandIns {

namespace {

constexpr const char* kFaultTarget = "weights";
constexpr std::chrono::milliseconds kMinFetchInterval{ 500 };
constexpr std::chrono::milliseconds kFetchTime{ 200 };

} // namespace

WeightStore::WeightStore(FaultInjector& aFaults)
  : mFaults(aFaults)
{
}

Task WeightStore::Serve(Exchange& aExchange)
{
  if (mFaults.IsDown(kFaultTarget)) {
    aExchange.Abort();
    co_return;
  }
  bool allowed = false;
  {
    const std::lock_guard lock(mMutex);
    const TimePoint now = MonotonicNow();
    allowed = now >= mNextFetchAllowed;
    if (allowed) {
      mNextFetchAllowed = now + kMinFetchInterval;
    }
  }
  if (!allowed) {
    co_await aExchange.ReplyWithRetryAfter(
      429, R"({"error":"too many fetches"})", 1);
    co_return;
  }
  co_await aExchange.Sleep(kFetchTime + mFaults.FaultsFor(kFaultTarget).mDelay);
  co_await aExchange.Reply(200, "{}");
}

} // namespace Acaciavale::StandIns
