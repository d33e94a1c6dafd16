#include <Acaciavale/LibRollout/RolloutPlan.h>

#include "EvidenceDifference.h"

#include <algorithm>
#include <cmath>

namespace Acaciavale {

namespace {

bool HasLoaded(const RolloutEndpoint& aEndpoint,
               const std::string& aModel,
               const std::string& aVersion)
{
  return std::any_of(aEndpoint.mLoaded.begin(),
                     aEndpoint.mLoaded.end(),
                     [&](const LoadedVersion& aLoaded) {
                       return aLoaded.mModel == aModel &&
                              (aVersion.empty() ||
                               aLoaded.mVersion == aVersion);
                     });
}

/// Returns the engines that serve the model and are not being removed.
std::vector<RolloutEndpoint> ActiveEngines(const RolloutQuery& aQuery)
{
  std::vector<RolloutEndpoint> engines;
  for (const RolloutEndpoint& endpoint : aQuery.mEndpoints) {
    if (!endpoint.mLeaving &&
        HasLoaded(endpoint, aQuery.mSettings.mModel, "")) {
      engines.push_back(endpoint);
    }
  }
  return engines;
}

std::size_t LoadedCount(const RolloutQuery& aQuery,
                        const std::vector<RolloutEndpoint>& aEngines)
{
  return static_cast<std::size_t>(std::count_if(
    aEngines.begin(), aEngines.end(), [&](const RolloutEndpoint& aEngine) {
      return HasLoaded(aEngine, aQuery.mSettings.mModel, aQuery.mSettings.mTo);
    }));
}

/// Returns how many engines must have loaded the new version to serve the given
/// share of the sessions.
std::size_t RequiredEngines(const RolloutQuery& aQuery,
                            double aShare,
                            std::size_t aEngines)
{
  const auto byTraffic =
    static_cast<std::size_t>(std::ceil(aShare * static_cast<double>(aEngines)));
  return std::min(aEngines, std::max(byTraffic, aQuery.mPacing.mMinReplicas));
}

double ShareOfStep(const RolloutSettings& aSettings, std::size_t aStep)
{
  return aStep < aSettings.mSteps.size() ? aSettings.mSteps[aStep] : 1;
}

const IssuedOrder* FindIssued(const RolloutQuery& aQuery,
                              const std::string& aOrderId)
{
  for (const IssuedOrder& issued : aQuery.mIssuedOrders) {
    if (issued.mOrder.mOrderId == aOrderId) {
      return &issued;
    }
  }
  return nullptr;
}

RolloutOrder MakeOrder(const RolloutQuery& aQuery,
                       const RolloutEndpoint& aEndpoint,
                       RolloutOrderKind aKind,
                       const std::string& aVersion)
{
  RolloutOrder order;
  order.mEndpoint = aEndpoint.mName;
  order.mAddress = aEndpoint.mAddress;
  order.mKind = aKind;
  order.mModel = aQuery.mSettings.mModel;
  order.mVersion = aVersion;
  order.mFence = aQuery.mProgress.mFence;
  order.mOrderId = aQuery.mSettings.mName + "/" + std::to_string(order.mFence) +
                   "/" + aEndpoint.mName + "/" + Describe(aKind) + "/" +
                   aVersion;
  return order;
}

/// Whether orders may be sent to the engine. An engine that does not check
/// fencing may still execute orders of the previous lease holder.
bool MayOrder(const RolloutQuery& aQuery, const RolloutEndpoint& aEndpoint)
{
  return aEndpoint.mChecksFencing || aQuery.mNow >= aQuery.mUnfencedOrdersFrom;
}

bool IsPending(const RolloutQuery& aQuery, const RolloutOrder& aOrder)
{
  const IssuedOrder* issued = FindIssued(aQuery, aOrder.mOrderId);
  return issued != nullptr &&
         aQuery.mNow - issued->mSentAt < aQuery.mPacing.mOrderRetryDelay;
}

/// Returns load orders for the missing replicas, within the limit on concurrent
/// loads from the weight store. The versions that the engines report as loaded
/// count, not the orders sent.
std::vector<RolloutOrder> LoadOrders(
  const RolloutQuery& aQuery,
  const std::vector<RolloutEndpoint>& aEngines,
  std::size_t aRequired)
{
  const std::size_t loaded = LoadedCount(aQuery, aEngines);
  std::size_t missing = aRequired > loaded ? aRequired - loaded : 0;
  std::size_t pending = 0;
  std::vector<RolloutOrder> candidates;
  std::vector<RolloutEndpoint> engines = aEngines;
  std::stable_sort(
    engines.begin(),
    engines.end(),
    [](const RolloutEndpoint& aLeft, const RolloutEndpoint& aRight) {
      return aLeft.mSlotUtilization < aRight.mSlotUtilization;
    });
  for (const RolloutEndpoint& engine : engines) {
    if (HasLoaded(engine, aQuery.mSettings.mModel, aQuery.mSettings.mTo)) {
      continue;
    }
    const RolloutOrder order =
      MakeOrder(aQuery, engine, RolloutOrderKind::Load, aQuery.mSettings.mTo);
    if (IsPending(aQuery, order)) {
      ++pending;
    } else if (engine.mSlotUtilization < aQuery.mPacing.mUtilizationLimit &&
               MayOrder(aQuery, engine)) {
      candidates.push_back(order);
    }
  }
  const std::size_t limit =
    std::min(missing, aQuery.mPacing.mMaxConcurrentLoads);
  const std::size_t available = limit > pending ? limit - pending : 0;
  candidates.resize(std::min(candidates.size(), available));
  return candidates;
}

/// Drains and unloads a withdrawn version to free its memory, because it gets
/// no more work. A retiring version still has sessions and stays loaded.
void AddUnloadOrders(const RolloutQuery& aQuery,
                     VersionState aState,
                     const std::string& aVersion,
                     std::vector<RolloutOrder>& aOrders)
{
  if (aState != VersionState::Withdrawn) {
    return;
  }
  for (const RolloutEndpoint& engine : aQuery.mEndpoints) {
    if (!HasLoaded(engine, aQuery.mSettings.mModel, aVersion) ||
        !MayOrder(aQuery, engine)) {
      continue;
    }
    const RolloutOrder drain =
      MakeOrder(aQuery, engine, RolloutOrderKind::Drain, aVersion);
    const RolloutOrder unload =
      MakeOrder(aQuery, engine, RolloutOrderKind::Unload, aVersion);
    const bool drained = FindIssued(aQuery, drain.mOrderId) != nullptr;
    const RolloutOrder& order = drained ? unload : drain;
    if (!IsPending(aQuery, drain) && !IsPending(aQuery, order)) {
      aOrders.push_back(order);
    }
  }
}

void ResetBaseline(RolloutProgress& aProgress, const RolloutQuery& aQuery)
{
  aProgress.mBaseline = aQuery.mOldEvidence;
  aProgress.mCandidate = aQuery.mNewEvidence;
}

RolloutDecision EvaluateStep(const RolloutQuery& aQuery,
                             const RolloutChangeDetector& aDetector)
{
  RolloutDecision change = EvaluateChangeDetector(aQuery.mSettings, aDetector);
  if (change.mVerdict == RolloutVerdict::Halt) {
    return change;
  }
  return EvaluateRollout(
    aQuery.mSettings,
    EvidenceDifference(aQuery.mOldEvidence, aQuery.mProgress.mBaseline),
    EvidenceDifference(aQuery.mNewEvidence, aQuery.mProgress.mCandidate));
}

void Halt(RolloutProgress& aProgress, const std::string& aReason)
{
  aProgress.mPhase = RolloutPhase::Halted;
  aProgress.mReason = aReason;
}

/// Starts the next step, or completes the roll-out after the last step.
void Advance(RolloutProgress& aProgress, const RolloutQuery& aQuery)
{
  ResetBaseline(aProgress, aQuery);
  if (aProgress.mStep + 1 < aQuery.mSettings.mSteps.size()) {
    ++aProgress.mStep;
    aProgress.mReason = "The previous step was passed.";
    return;
  }
  aProgress.mPhase = RolloutPhase::Done;
  aProgress.mReason = "The last step was passed.";
}

void UpdatePhase(RolloutPlan& aPlan, const RolloutQuery& aQuery)
{
  const std::vector<RolloutEndpoint> engines = ActiveEngines(aQuery);
  RolloutProgress& progress = aPlan.mProgress;
  const RolloutDecision decision = EvaluateStep(aQuery, aPlan.mDetector);
  if (decision.mVerdict == RolloutVerdict::Halt) {
    Halt(progress, decision.mReason);
    return;
  }
  if (aQuery.mToState != VersionState::Serving) {
    Halt(progress, "The new version is retiring or withdrawn.");
    return;
  }
  if (aQuery.mSettings.mPaused) {
    progress.mPhase = RolloutPhase::Paused;
    progress.mReason = "The settings pause the roll-out.";
    return;
  }
  progress.mPhase = RolloutPhase::Running;
  const std::size_t required = RequiredEngines(
    aQuery, ShareOfStep(aQuery.mSettings, progress.mStep + 1), engines.size());
  aPlan.mOrders = LoadOrders(aQuery, engines, required);
  if (decision.mVerdict == RolloutVerdict::Stay) {
    progress.mReason = decision.mReason;
  } else if (LoadedCount(aQuery, engines) < required) {
    progress.mReason = "Too few engines have loaded the new version.";
  } else {
    Advance(progress, aQuery);
  }
}

} // namespace

std::string Describe(RolloutOrderKind aKind)
{
  switch (aKind) {
    case RolloutOrderKind::Load:
      return "load";
    case RolloutOrderKind::Drain:
      return "drain";
    case RolloutOrderKind::Unload:
      return "unload";
  }
  return "unknown";
}

RolloutPlan PlanRollout(const RolloutQuery& aQuery)
{
  RolloutPlan plan;
  plan.mProgress = aQuery.mProgress;
  plan.mDetector = UpdateChangeDetector(aQuery.mSettings,
                                        aQuery.mDetector,
                                        aQuery.mOldEvidence,
                                        aQuery.mNewEvidence);
  const RolloutPhase phase = aQuery.mProgress.mPhase;
  if (phase == RolloutPhase::Running || phase == RolloutPhase::Paused) {
    UpdatePhase(plan, aQuery);
  }
  AddUnloadOrders(
    aQuery, aQuery.mFromState, aQuery.mSettings.mFrom, plan.mOrders);
  AddUnloadOrders(aQuery, aQuery.mToState, aQuery.mSettings.mTo, plan.mOrders);
  return plan;
}

} // namespace Acaciavale
