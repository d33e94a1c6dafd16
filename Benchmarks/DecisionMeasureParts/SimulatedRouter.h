#pragma once

#include "PoolSimulation.h"

#include <Acaciavale/LibAdmission/Admission.h>
#include <Acaciavale/LibRouting/EndpointChoice.h>
#include <Acaciavale/LibRouting/EndpointHealth.h>

#include <optional>

/// One VM of the deployment: what it knows of the pool, and how it chooses.
namespace Acaciavale::DecisionMeasure {

TimePoint AtSeconds(double aSeconds);

/// What the choice needs to know of one dispatch.
struct SimulatedDispatch
{
  double mNow = 0;
  double mClassSeconds = 1;
  Priority mPriority = Priority::Interactive;
  std::uint64_t mPrefixHash = 0;
  std::vector<std::uint32_t> mTried;
  /// Whether each replica is believed to cache the prefix; empty is unknown.
  const std::vector<std::vector<char>>* mReportedCaches = nullptr;
  std::uint32_t mPrefix = 0;
};

class SimulatedRouter
{
public:
  SimulatedRouter(const PoolScenario& aScenario,
                  std::uint32_t aVm,
                  std::uint32_t aDomain);

  /// The replica to send to; none if none may take the work.
  std::optional<std::uint32_t> Choose(const SimulatedDispatch& aDispatch);

  AdmissionDecision Admit(const std::string& aAccount,
                          const WorkClass& aClass,
                          const Settings& aSettings,
                          double aNow);

  void RecordDispatch(std::uint32_t aReplica);
  void RecordEnd(std::uint32_t aReplica,
                 const EndpointOutcome& aOutcome,
                 double aNormalSeconds,
                 double aNow);
  void RecordLoadReport(std::uint32_t aReplica,
                        std::int32_t aInFlight,
                        std::int32_t aOwnInFlight,
                        double aSampledAt);
  void RecordDraining(std::uint32_t aReplica);
  void SetLiveVms(std::uint32_t aCount) { mLiveVms = aCount; }

  AdmissionControl mAdmission;
  AttemptBudget mRetryBudget;

private:
  std::optional<std::uint32_t> ChooseOurs(const SimulatedDispatch& aDispatch);
  std::optional<std::uint32_t> ChooseLeastReported();
  std::optional<std::uint32_t> ChoosePrefixHome(std::uint64_t aPrefixHash);
  void Refresh(const SimulatedDispatch& aDispatch);

  const PoolScenario& mScenario;
  std::uint32_t mDomain;
  std::uint32_t mLiveVms;
  Random mRandom;
  std::vector<EndpointView> mViews; ///< The subset; mIndex is the replica.
  std::vector<EndpointHealth> mHealth;
  InFlightServiceTime
    mInFlightServiceTime; ///< Of the pool, at an unhurried replica's speed.
  std::vector<double> mReportedAt;
  std::vector<std::int32_t> mViewIndexes; ///< Of each replica; -1 is none.
  std::uint64_t mRoundRobinPosition;
};

} // namespace Acaciavale::DecisionMeasure
