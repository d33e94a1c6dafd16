#pragma once

#include <Acaciavale/LibCore/Time.h>
#include <Acaciavale/LibSettings/Settings.h>

#include <cstdint>
#include <memory>
#include <string>

/// Decides whether a request may start: limits per account, priorities and the
/// load of the whole pool.
namespace Acaciavale {

enum class AdmissionVerdict
{
  Admit,
  RateLimitExceeded,     ///< The account's rate or burst is used up.
  InFlightLimitExceeded, ///< The account has too many requests at once.
  Overloaded,            ///< The pool is full for this priority.
  DeadlineTooShort,
};

/// What the pool looks like to this VM.
struct PoolLoad
{
  /// Requests that the pool serves at once; 0 is unknown and refuses nothing.
  std::int64_t mSlots = 0;
  std::int64_t mInFlight = 0; ///< Everybody's, estimated.
  double mSecondsPerRequest = 0;
  std::int64_t mOwnInFlight = 0; ///< This VM's.
  /// This VM's part of the slots; 0 is unknown. Within it a VM admits whatever
  /// it hears of the others, so that a stale report neither starves the pool
  /// nor floods it.
  double mOwnSlots = 0;

  auto operator<=>(const PoolLoad&) const = default;
};

/// One request that asks to start.
struct AdmissionQuery
{
  std::string mAccount;
  Priority mPriority = Priority::Interactive;
  Duration mTimeLeft{};
  /// This VM's part of each account's limit, 0 to 1. The parts of all VMs sum
  /// to at most 1 even while VMs cannot talk.
  double mLimitShare = 1;
  PoolLoad mLoad;

  auto operator<=>(const AdmissionQuery&) const = default;
};

/// The verdict, and for a refusal when to come back.
struct AdmissionDecision
{
  AdmissionVerdict mVerdict = AdmissionVerdict::Admit;
  Duration mRetryAfter{};

  auto operator<=>(const AdmissionDecision&) const = default;
};

/// Share of the pool's slots that a class leaves free for more urgent ones.
double ReservedShare(Priority aPriority);

std::string Describe(AdmissionVerdict aVerdict);

/// Admission over all accounts, in shards by account, each under its own lock.
class AdmissionControl
{
public:
  AdmissionControl();
  ~AdmissionControl();

  /// Decides and, if admitted, counts the request as in flight until Finish.
  AdmissionDecision Start(const Settings& aSettings,
                          const AdmissionQuery& aQuery,
                          TimePoint aNow);
  void Finish(const std::string& aAccount);

private:
  struct Private;
  std::unique_ptr<Private> mPrivate;
};

/// A budget of extra attempts (retries or hedges) as a share of the requests.
class AttemptBudget
{
public:
  AttemptBudget();
  ~AttemptBudget();

  void RecordRequest(double aAttemptsPerRequest);
  /// Whether one extra attempt may be made; takes it from the budget.
  bool TrySpend();

private:
  struct Private;
  std::unique_ptr<Private> mPrivate;
};

} // namespace Acaciavale
