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

/// Engines of the model that stay.
std::vector<RolloutEndpoint> EnginesOf(const RolloutQuery& aQuery)
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

/// Engines that must have the new version for that share of the sessions.
std::size_t WantedFor(const RolloutQuery& aQuery,
                      double aShare,
                      std::size_t aEngines)
{
  const auto byShare =
    static_cast<std::size_t>(std::ceil(aShare * static_cast<double>(aEngines)));
  return std::min(aEngines, std::max(byShare, aQuery.mPacing.mLeastReplicas));
}

double ShareAt(const RolloutSettings& aSettings, std::size_t aStep)
{
  return aStep < aSettings.mSteps.size() ? aSettings.mSteps[aStep] : 1;
}

const IssuedOrder* FindIssued(const RolloutQuery& aQuery,
                              const std::string& aOrderId)
{
  for (const IssuedOrder& issued : aQuery.mIssued) {
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

/// Whether the engine may be sent anything: one that ignores fencing could
/// still be obeying the holder before this one.
bool MayOrder(const RolloutQuery& aQuery, const RolloutEndpoint& aEndpoint)
{
  return aEndpoint.mChecksFencing || aQuery.mNow >= aQuery.mUnfencedFrom;
}

bool IsPending(const RolloutQuery& aQuery, const RolloutOrder& aOrder)
{
  const IssuedOrder* issued = FindIssued(aQuery, aOrder.mOrderId);
  return issued != nullptr &&
         aQuery.mNow - issued->mSent < aQuery.mPacing.mRepeatAfter;
}

/// Loads that are missing, as many at a time as the weight store bears. What
/// the engines report counts, not what was ordered.
std::vector<RolloutOrder> LoadOrders(
  const RolloutQuery& aQuery,
  const std::vector<RolloutEndpoint>& aEngines,
  std::size_t aWanted)
{
  const std::size_t loaded = LoadedCount(aQuery, aEngines);
  std::size_t missing = aWanted > loaded ? aWanted - loaded : 0;
  std::size_t underWay = 0;
  std::vector<RolloutOrder> candidates;
  std::vector<RolloutEndpoint> engines = aEngines;
  std::stable_sort(
    engines.begin(),
    engines.end(),
    [](const RolloutEndpoint& aLeft, const RolloutEndpoint& aRight) {
      return aLeft.mLoadShare < aRight.mLoadShare;
    });
  for (const RolloutEndpoint& engine : engines) {
    if (HasLoaded(engine, aQuery.mSettings.mModel, aQuery.mSettings.mTo)) {
      continue;
    }
    const RolloutOrder order =
      MakeOrder(aQuery, engine, RolloutOrderKind::Load, aQuery.mSettings.mTo);
    if (IsPending(aQuery, order)) {
      ++underWay;
    } else if (engine.mLoadShare < aQuery.mPacing.mSpareBelow &&
               MayOrder(aQuery, engine)) {
      candidates.push_back(order);
    }
  }
  const std::size_t limit = std::min(missing, aQuery.mPacing.mConcurrentLoads);
  const std::size_t room = limit > underWay ? limit - underWay : 0;
  candidates.resize(std::min(candidates.size(), room));
  return candidates;
}

/// A withdrawn version takes no work any more, so its memory is freed. A
/// retiring one still has its sessions and stays.
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

void BeginStep(RolloutProgress& aProgress, const RolloutQuery& aQuery)
{
  aProgress.mBaseline = aQuery.mOldTotal;
  aProgress.mCandidate = aQuery.mNewTotal;
}

RolloutDecision Judge(const RolloutQuery& aQuery, const RolloutWatch& aWatch)
{
  RolloutDecision turned = JudgeWatch(aQuery.mSettings, aWatch);
  if (turned.mVerdict == RolloutVerdict::Halt) {
    return turned;
  }
  return JudgeRollout(
    aQuery.mSettings,
    EvidenceDifference(aQuery.mOldTotal, aQuery.mProgress.mBaseline),
    EvidenceDifference(aQuery.mNewTotal, aQuery.mProgress.mCandidate));
}

void Halt(RolloutProgress& aProgress, const std::string& aReason)
{
  aProgress.mPhase = RolloutPhase::Halted;
  aProgress.mReason = aReason;
}

/// Goes on to the next step, or ends after the last.
void Advance(RolloutProgress& aProgress, const RolloutQuery& aQuery)
{
  BeginStep(aProgress, aQuery);
  if (aProgress.mStep + 1 < aQuery.mSettings.mSteps.size()) {
    ++aProgress.mStep;
    aProgress.mReason = "The step before was passed.";
    return;
  }
  aProgress.mPhase = RolloutPhase::Done;
  aProgress.mReason = "The last step was passed.";
}

void MoveOn(RolloutStep& aStep, const RolloutQuery& aQuery)
{
  const std::vector<RolloutEndpoint> engines = EnginesOf(aQuery);
  RolloutProgress& progress = aStep.mProgress;
  const RolloutDecision decision = Judge(aQuery, aStep.mWatch);
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
    progress.mReason = "The settings say so.";
    return;
  }
  progress.mPhase = RolloutPhase::Running;
  const std::size_t wanted = WantedFor(
    aQuery, ShareAt(aQuery.mSettings, progress.mStep + 1), engines.size());
  aStep.mOrders = LoadOrders(aQuery, engines, wanted);
  if (decision.mVerdict == RolloutVerdict::Stay) {
    progress.mReason = decision.mReason;
  } else if (LoadedCount(aQuery, engines) < wanted) {
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

RolloutStep PlanRolloutStep(const RolloutQuery& aQuery)
{
  RolloutStep step;
  step.mProgress = aQuery.mProgress;
  step.mWatch = WatchRollout(
    aQuery.mSettings, aQuery.mWatch, aQuery.mOldTotal, aQuery.mNewTotal);
  const RolloutPhase phase = aQuery.mProgress.mPhase;
  if (phase == RolloutPhase::Running || phase == RolloutPhase::Paused) {
    MoveOn(step, aQuery);
  }
  AddUnloadOrders(
    aQuery, aQuery.mFromState, aQuery.mSettings.mFrom, step.mOrders);
  AddUnloadOrders(aQuery, aQuery.mToState, aQuery.mSettings.mTo, step.mOrders);
  return step;
}

} // namespace Acaciavale
