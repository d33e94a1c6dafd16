#pragma once

#include <Acaciavale/LibCore/Time.h>
#include <Acaciavale/LibPlatform/EndpointList.h>
#include <Acaciavale/LibRollout/RolloutProgress.h>

#include <string>
#include <vector>

/// Planning of one step of the rollout controller as a pure function, which
/// returns the new progress record and the orders to the engines.
namespace Acaciavale {

/// State of an engine that a roll-out depends on.
struct RolloutEndpoint
{
  std::string mName;
  std::string mAddress; ///< IP address and port.
  std::vector<LoadedVersion> mLoaded;
  bool mLeaving = false;       ///< The engine is being removed from service.
  bool mChecksFencing = false; ///< Rejects orders with an outdated fence.
  double mSlotUtilization = 0; ///< Fraction of slots in use, 0 to 1.

  auto operator<=>(const RolloutEndpoint&) const = default;
};

enum class RolloutOrderKind
{
  Load,
  Drain,
  Unload,
};

/// An order to an engine. Orders are idempotent: a repeated order has the same
/// id.
struct RolloutOrder
{
  std::string mEndpoint;
  std::string mAddress;
  RolloutOrderKind mKind = RolloutOrderKind::Load;
  std::string mModel;
  std::string mVersion;
  std::uint64_t mFence = 0;
  std::string mOrderId;

  auto operator<=>(const RolloutOrder&) const = default;
};

std::string Describe(RolloutOrderKind aKind);

/// Returns the body of a `POST /v1/orders` request to an engine.
std::string SerializeOrder(const RolloutOrder& aOrder);

/// An order that this lease holder has sent, with the time when it was last
/// sent.
struct IssuedOrder
{
  RolloutOrder mOrder;
  TimePoint mSentAt{};

  auto operator<=>(const IssuedOrder&) const = default;
};

/// Limits on how fast the engines are changed.
struct RolloutPacing
{
  /// Limit on engines that load weights at the same time, because the weight
  /// store is rate-limited.
  std::size_t mMaxConcurrentLoads = 1;
  /// Slot utilization below which an engine may be ordered to load a version.
  double mUtilizationLimit = 0.7;
  /// Minimum number of engines that load the new version, from the first step.
  std::size_t mMinReplicas = 2;
  /// Delay after which an unfulfilled order is sent again.
  Duration mOrderRetryDelay = std::chrono::seconds(30);

  auto operator<=>(const RolloutPacing&) const = default;
};

/// Input of PlanRollout.
struct RolloutQuery
{
  RolloutSettings mSettings;
  VersionState mFromState = VersionState::Serving;
  VersionState mToState = VersionState::Serving;
  RolloutProgress mProgress;
  RolloutChangeDetector mDetector;
  /// Evidence on both versions, summed since the process of this lease holder
  /// started. The sums never decrease.
  EvidenceCell mOldEvidence;
  EvidenceCell mNewEvidence;
  std::vector<RolloutEndpoint> mEndpoints;
  std::vector<IssuedOrder> mIssuedOrders;
  RolloutPacing mPacing;
  TimePoint mNow{};
  /// Time before which engines that do not check fencing get no orders.
  TimePoint mUnfencedOrdersFrom{};
};

struct RolloutPlan
{
  RolloutProgress mProgress;
  RolloutChangeDetector mDetector;
  std::vector<RolloutOrder> mOrders;

  auto operator<=>(const RolloutPlan&) const = default;
};

RolloutPlan PlanRollout(const RolloutQuery& aQuery);

} // namespace Acaciavale
