#pragma once

#include <Acaciavale/LibCore/Time.h>
#include <Acaciavale/LibSettings/Settings.h>

#include <cstdint>
#include <memory>
#include <string>

/// Admission control: decides whether a request may start, by the limits of its
/// account, its priority and the load of the pool.
namespace Acaciavale {

enum class AdmissionVerdict
{
  Admit,
  RateLimitExceeded,     ///< The account's rate or burst is exhausted.
  InFlightLimitExceeded, ///< The account has too many requests in flight.
  Overloaded,            ///< The pool is full for this priority class.
  DeadlineTooShort,      ///< The service time exceeds the time left.
};

/// Capacity and load of the pool as estimated by this VM.
struct PoolLoad
{
  /// Requests that the pool serves concurrently. 0 means unknown; no request is
  /// then refused because of the load.
  std::int64_t mSlots = 0;
  std::int64_t mInFlight = 0;    ///< Estimated requests of all VMs.
  double mSecondsPerRequest = 0; ///< Mean service time.
  std::int64_t mOwnInFlight = 0; ///< Requests of this VM.
  /// This VM's share of the slots; 0 means unknown. A VM admits requests within
  /// its share whatever load the other VMs report, so that a stale report
  /// neither starves nor overloads the pool.
  double mOwnSlots = 0;

  auto operator<=>(const PoolLoad&) const = default;
};

/// Request for admission.
struct AdmissionQuery
{
  std::string mAccount;
  Priority mPriority = Priority::Interactive;
  Duration mTimeLeft{}; ///< Time until the deadline.
  /// This VM's share of each account's limits, 0 to 1. The shares of all VMs
  /// sum to at most 1, even during a network partition.
  double mLimitShare = 1;
  PoolLoad mLoad;

  auto operator<=>(const AdmissionQuery&) const = default;
};

/// Result of an admission check.
struct AdmissionDecision
{
  AdmissionVerdict mVerdict = AdmissionVerdict::Admit;
  Duration mRetryAfter{}; ///< For a refusal, the time after which to retry.

  auto operator<=>(const AdmissionDecision&) const = default;
};

/// Share of the pool's slots that a priority class leaves free for more urgent
/// classes.
double ReservedShare(Priority aPriority);

std::string Describe(AdmissionVerdict aVerdict);

/// Thread-safe admission control for all accounts. It is sharded by account,
/// with one lock per shard.
class AdmissionControl
{
public:
  AdmissionControl();
  ~AdmissionControl();

  /// Decides whether the request may start. An admitted request counts as in
  /// flight until Finish is called for its account.
  AdmissionDecision Start(const Settings& aSettings,
                          const AdmissionQuery& aQuery,
                          TimePoint aNow);
  void Finish(const std::string& aAccount);

private:
  struct Private;
  std::unique_ptr<Private> mPrivate;
};

/// Thread-safe budget that limits extra attempts (retries or hedges) to a share
/// of the requests.
class AttemptBudget
{
public:
  AttemptBudget();
  ~AttemptBudget();

  /// Adds the fraction aAttemptsPerRequest of an extra attempt to the budget.
  void RecordRequest(double aAttemptsPerRequest);
  /// Deducts one extra attempt from the budget. Returns false if the budget is
  /// too small for it.
  bool TrySpend();

private:
  struct Private;
  std::unique_ptr<Private> mPrivate;
};

} // namespace Acaciavale
