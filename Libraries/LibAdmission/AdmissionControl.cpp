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

constexpr std::size_t kShardCount = 16;
constexpr double kBatchReservedShare = 0.15;
/// Pool utilization at which a priority class is refused. Urgent requests have
/// no such bound and may queue for as long as their deadline permits.
constexpr double kMaxBatchUtilization = 1 - kBatchReservedShare;
constexpr double kMaxInteractiveUtilization = 1.5;
constexpr Duration kMinRetryAfter = std::chrono::milliseconds(100);
constexpr Duration kMaxRetryAfter = std::chrono::seconds(60);

/// This VM's share of a limit, but at least one request. The sum over all VMs
/// is therefore bounded by the limit or by the number of VMs, whichever is
/// larger.
double ShareOfLimit(std::int64_t aLimit, double aShare)
{
  return std::max(1.0, static_cast<double>(aLimit) * aShare);
}

/// Token bucket and in-flight count of an account on this VM. The bucket is
/// refilled on access by the elapsed time, without a background thread.
struct AccountState
{
  double mTokens = 0;
  TimePoint mRefilledAt{};
  bool mInitialized = false;
  std::int64_t mInFlight = 0;
};

struct Shard
{
  std::mutex mLock;
  std::map<std::string, AccountState> mAccounts;
};

Duration BoundedRetryAfter(double aSeconds)
{
  const double bounded =
    std::clamp(aSeconds,
               std::chrono::duration<double>(kMinRetryAfter).count(),
               std::chrono::duration<double>(kMaxRetryAfter).count());
  return std::chrono::duration_cast<Duration>(
    std::chrono::duration<double>(bounded));
}

void Refill(AccountState& aState,
            const ClientAccountSettings& aAccount,
            double aShare,
            TimePoint aNow)
{
  const double capacity = ShareOfLimit(aAccount.mBurst, aShare);
  if (!aState.mInitialized) {
    aState.mInitialized = true;
    aState.mTokens = capacity;
    aState.mRefilledAt = aNow;
  }
  const double elapsed =
    std::chrono::duration<double>(aNow - aState.mRefilledAt).count();
  aState.mTokens +=
    std::max(0.0, elapsed) * aAccount.mRequestsPerSecond * aShare;
  aState.mTokens = std::min(aState.mTokens, capacity);
  aState.mRefilledAt = std::max(aState.mRefilledAt, aNow);
}

/// Requests in flight per slot: the smaller of the ratio for the whole pool and
/// the ratio of this VM's requests to its own share of the slots.
double Utilization(const PoolLoad& aLoad)
{
  const double poolUtilization =
    static_cast<double>(aLoad.mInFlight) / static_cast<double>(aLoad.mSlots);
  if (aLoad.mOwnSlots <= 0) {
    return poolUtilization;
  }
  return std::min(poolUtilization,
                  static_cast<double>(aLoad.mOwnInFlight) / aLoad.mOwnSlots);
}

double MaxUtilization(Priority aPriority)
{
  switch (aPriority) {
    case Priority::Batch:
      return kMaxBatchUtilization;
    case Priority::Interactive:
      return kMaxInteractiveUtilization;
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
  const double utilization = Utilization(load);
  const double queueRatio = std::max(0.0, utilization - 1);
  const double expectedSeconds = load.mSecondsPerRequest * (1 + queueRatio);
  if (expectedSeconds >
      std::chrono::duration<double>(aQuery.mTimeLeft).count()) {
    const AdmissionVerdict verdict = queueRatio > 0
                                       ? AdmissionVerdict::Overloaded
                                       : AdmissionVerdict::DeadlineTooShort;
    return { verdict, BoundedRetryAfter(load.mSecondsPerRequest * queueRatio) };
  }
  const double excess = utilization - MaxUtilization(aQuery.mPriority);
  if (excess < 0) {
    return {};
  }
  return { AdmissionVerdict::Overloaded,
           BoundedRetryAfter(load.mSecondsPerRequest * excess) };
}

} // namespace

struct AdmissionControl::Private
{
  std::array<Shard, kShardCount> mShards;

  Shard& ShardOf(const std::string& aAccount)
  {
    return mShards[std::hash<std::string>{}(aAccount) % kShardCount];
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
    return { AdmissionVerdict::RateLimitExceeded, kMaxRetryAfter };
  }
  const AdmissionDecision load = CheckLoad(aQuery);
  if (load.mVerdict != AdmissionVerdict::Admit) {
    return load;
  }
  const ClientAccountSettings& limits = account->second;
  const double share = std::clamp(aQuery.mLimitShare, 0.0, 1.0);
  if (share <= 0) {
    return { AdmissionVerdict::RateLimitExceeded, kMinRetryAfter };
  }
  Shard& shard = mPrivate->ShardOf(aQuery.mAccount);
  const std::lock_guard<std::mutex> guard(shard.mLock);
  AccountState& state = shard.mAccounts[aQuery.mAccount];
  Refill(state, limits, share, aNow);
  if (static_cast<double>(state.mInFlight + 1) >
      ShareOfLimit(limits.mMaxInFlight, share)) {
    return { AdmissionVerdict::InFlightLimitExceeded,
             BoundedRetryAfter(aQuery.mLoad.mSecondsPerRequest) };
  }
  if (state.mTokens < 1) {
    const double rate = limits.mRequestsPerSecond * share;
    return { AdmissionVerdict::RateLimitExceeded,
             rate > 0 ? BoundedRetryAfter((1 - state.mTokens) / rate)
                      : kMaxRetryAfter };
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
    case AdmissionVerdict::RateLimitExceeded:
      return "the account's rate is used up";
    case AdmissionVerdict::InFlightLimitExceeded:
      return "the account has too many requests at once";
    case AdmissionVerdict::Overloaded:
      return "the pool is full";
    case AdmissionVerdict::DeadlineTooShort:
      return "the deadline is too short for any endpoint";
  }
  return "unknown";
}

} // namespace Acaciavale
