#pragma once

#include "PoolSimulation.h"

#include <Acaciavale/LibAdmission/Admission.h>
#include <Acaciavale/LibRouting/EndpointChoice.h>
#include <Acaciavale/LibRouting/EndpointHealth.h>

#include <optional>

/// Router of one simulated VM: its view of the pool and its replica selection.
namespace Acaciavale::DecisionMeasure {

TimePoint AtSeconds(double aSeconds);

/// Properties of one dispatch that the replica selection depends on.
struct SimulatedDispatch
{
  double mNow = 0; ///< Simulated time in seconds.
  double mClassServiceSeconds = 1;
  Priority mPriority = Priority::Interactive;
  std::uint64_t mPrefixHash = 0;
  std::vector<std::uint32_t> mTried;
  /// Reported prefix cache contents, indexed by replica and prefix; null if the
  /// policy ignores prefix caches.
  const std::vector<std::vector<char>>* mReportedCaches = nullptr;
  std::uint32_t mPrefix = 0;
};

class SimulatedRouter
{
public:
  SimulatedRouter(const PoolScenario& aScenario,
                  std::uint32_t aVm,
                  std::uint32_t aDomain);

  /// Returns the replica to dispatch to, or nothing if no replica is available.
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
  std::vector<EndpointView>
    mViews; ///< This VM's subset; mIndex is the replica.
  std::vector<EndpointHealth> mHealth;
  /// Service time of the pool's requests at a replica of normal speed.
  InFlightServiceTime mInFlightServiceTime;
  std::vector<double> mReportedAt; ///< Sample time of the last load report.
  /// Index in mViews of each replica; -1 if it is not in the subset.
  std::vector<std::int32_t> mViewIndexes;
  std::uint64_t mRoundRobinPosition;
};

} // namespace Acaciavale::DecisionMeasure
