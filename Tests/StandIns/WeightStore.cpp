#include "WeightStore.h"

namespace Acaciavale::StandIns {

namespace {

constexpr const char* kPart = "weights";
constexpr std::chrono::milliseconds kBetweenFetches{ 500 };
constexpr std::chrono::milliseconds kFetchTime{ 200 };

} // namespace

WeightStore::WeightStore(FaultBoard& aFaults)
  : mFaults(aFaults)
{
}

Task WeightStore::Serve(Exchange& aExchange)
{
  if (mFaults.IsDown(kPart)) {
    aExchange.Drop();
    co_return;
  }
  bool allowed = false;
  {
    const std::lock_guard lock(mMutex);
    const TimePoint now = MonotonicNow();
    allowed = now >= mNext;
    if (allowed) {
      mNext = now + kBetweenFetches;
    }
  }
  if (!allowed) {
    co_await aExchange.ReplyLater(429, R"({"error":"too many fetches"})", 1);
    co_return;
  }
  co_await aExchange.Sleep(kFetchTime + mFaults.Of(kPart).mDelay);
  co_await aExchange.Reply(200, "{}");
}

} // namespace Acaciavale::StandIns
