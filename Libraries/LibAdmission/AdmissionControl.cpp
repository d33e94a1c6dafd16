#include <Acaciavale/LibAdmission/Admission.h>

#include <algorithm>
#include <array>
#include <cmath>
#include <functional>
#include <limits>
#include <map>
#include <mutex>

namespace Acaciavale {

namespace {

constexpr std::size_t kShards = 16;
constexpr double kBatchReservedShare = 0.15;
/// Share of the pool's slots up to which a class may fill it. Urgent work may
/// queue for as long as its deadline lets it.
constexpr double kBatchFill = 1 - kBatchReservedShare;
constexpr double kInteractiveFill = 1.5;
constexpr Duration kShortestRetry = std::chrono::milliseconds(100);
constexpr Duration kLongestRetry = std::chrono::seconds(60);

/// This VM's part of a limit. With any part at all it is one request at least,
/// so the sum over VMs is bounded by the limit or the number of VMs, whichever
/// is more.
double PartOf(std::int64_t aLimit, double aShare)
{
  return std::max(1.0, static_cast<double>(aLimit) * aShare);
}

/// One account on this VM. Tokens age with the clock, not with a thread.
struct AccountState
{
  double mTokens = 0;
  TimePoint mFilledAt{};
  bool mStarted = false;
  std::int64_t mInFlight = 0;
};

struct Shard
{
  std::mutex mLock;
  std::map<std::string, AccountState> mAccounts;
};

Duration BoundedRetry(double aSeconds)
{
  const double bounded =
    std::clamp(aSeconds,
               std::chrono::duration<double>(kShortestRetry).count(),
               std::chrono::duration<double>(kLongestRetry).count());
  return std::chrono::duration_cast<Duration>(
    std::chrono::duration<double>(bounded));
}

void Refill(AccountState& aState,
            const ClientAccountSettings& aAccount,
            double aShare,
            TimePoint aNow)
{
  const double capacity = PartOf(aAccount.mBurst, aShare);
  if (!aState.mStarted) {
    aState.mStarted = true;
    aState.mTokens = capacity;
    aState.mFilledAt = aNow;
  }
  const double elapsed =
    std::chrono::duration<double>(aNow - aState.mFilledAt).count();
  aState.mTokens +=
    std::max(0.0, elapsed) * aAccount.mRequestsPerSecond * aShare;
  aState.mTokens = std::min(aState.mTokens, capacity);
  aState.mFilledAt = std::max(aState.mFilledAt, aNow);
}

/// How full the pool is, 1 being every slot taken. The least of two estimates:
/// everybody's requests in all slots, and this VM's in its own part.
double Fill(const PoolLoad& aLoad)
{
  const double whole =
    static_cast<double>(aLoad.mInFlight) / static_cast<double>(aLoad.mSlots);
  if (aLoad.mOwnSlots <= 0) {
    return whole;
  }
  return std::min(whole,
                  static_cast<double>(aLoad.mOwnInFlight) / aLoad.mOwnSlots);
}

double MaxFill(Priority aPriority)
{
  switch (aPriority) {
    case Priority::Batch:
      return kBatchFill;
    case Priority::Interactive:
      return kInteractiveFill;
    case Priority::Urgent:
      break;
  }
  return std::numeric_limits<double>::infinity();
}

AdmissionDecision CheckLoad(const AdmissionQuery& aQuery)
{
  const PoolLoad& load = aQuery.mLoad;
  if (load.mSlots <= 0) {
    return {};
  }
  const double fill = Fill(load);
  const double waiting = std::max(0.0, fill - 1);
  const double seconds = load.mSecondsPerRequest * (1 + waiting);
  if (seconds > std::chrono::duration<double>(aQuery.mTimeLeft).count()) {
    const AdmissionVerdict verdict = waiting > 0
                                       ? AdmissionVerdict::Overloaded
                                       : AdmissionVerdict::DeadlineTooShort;
    return { verdict, BoundedRetry(load.mSecondsPerRequest * waiting) };
  }
  const double excess = fill - MaxFill(aQuery.mPriority);
  if (excess < 0) {
    return {};
  }
  return { AdmissionVerdict::Overloaded,
           BoundedRetry(load.mSecondsPerRequest * excess) };
}

} // namespace

struct AdmissionControl::Private
{
  std::array<Shard, kShards> mShards;

  Shard& ShardOf(const std::string& aAccount)
  {
    return mShards[std::hash<std::string>{}(aAccount) % kShards];
  }
};

AdmissionControl::AdmissionControl()
  : mPrivate(std::make_unique<Private>())
{
}

AdmissionControl::~AdmissionControl() = default;

AdmissionDecision AdmissionControl::Start(const Settings& aSettings,
                                          const AdmissionQuery& aQuery,
                                          TimePoint aNow)
{
  const auto account = aSettings.mAccounts.find(aQuery.mAccount);
  if (account == aSettings.mAccounts.end()) {
    return { AdmissionVerdict::OverRate, kLongestRetry };
  }
  const AdmissionDecision load = CheckLoad(aQuery);
  if (load.mVerdict != AdmissionVerdict::Admit) {
    return load;
  }
  const ClientAccountSettings& limits = account->second;
  const double share = std::clamp(aQuery.mLimitShare, 0.0, 1.0);
  if (share <= 0) {
    return { AdmissionVerdict::OverRate, kShortestRetry };
  }
  Shard& shard = mPrivate->ShardOf(aQuery.mAccount);
  const std::lock_guard<std::mutex> guard(shard.mLock);
  AccountState& state = shard.mAccounts[aQuery.mAccount];
  Refill(state, limits, share, aNow);
  if (static_cast<double>(state.mInFlight + 1) >
      PartOf(limits.mMaxInFlight, share)) {
    return { AdmissionVerdict::OverInFlight,
             BoundedRetry(aQuery.mLoad.mSecondsPerRequest) };
  }
  if (state.mTokens < 1) {
    const double rate = limits.mRequestsPerSecond * share;
    return { AdmissionVerdict::OverRate,
             rate > 0 ? BoundedRetry((1 - state.mTokens) / rate)
                      : kLongestRetry };
  }
  state.mTokens -= 1;
  state.mInFlight += 1;
  return {};
}

void AdmissionControl::Finish(const std::string& aAccount)
{
  Shard& shard = mPrivate->ShardOf(aAccount);
  const std::lock_guard<std::mutex> guard(shard.mLock);
  const auto state = shard.mAccounts.find(aAccount);
  if (state != shard.mAccounts.end() && state->second.mInFlight > 0) {
    state->second.mInFlight -= 1;
  }
}

double ReservedShare(Priority aPriority)
{
  return aPriority == Priority::Batch ? kBatchReservedShare : 0;
}

std::string Describe(AdmissionVerdict aVerdict)
{
  switch (aVerdict) {
    case AdmissionVerdict::Admit:
      return "admitted";
    case AdmissionVerdict::OverRate:
      return "the account's rate is used up";
    case AdmissionVerdict::OverInFlight:
      return "the account has too many requests at once";
    case AdmissionVerdict::Overloaded:
      return "the pool is full";
    case AdmissionVerdict::DeadlineTooShort:
      return "the deadline is too short for any endpoint";
  }
  return "unknown";
}

} // namespace Acaciavale
