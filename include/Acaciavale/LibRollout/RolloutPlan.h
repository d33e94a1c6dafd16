#pragma once

#include <Acaciavale/LibCore/Time.h>
#include <Acaciavale/LibPlatform/EndpointList.h>
#include <Acaciavale/LibRollout/RolloutProgress.h>

#include <string>
#include <vector>

/// One step of a roll-out as a pure function: what its record becomes and what
/// the engines are ordered to do.
namespace Acaciavale {

/// An engine as the roll-out sees it.
struct RolloutEndpoint
{
  std::string mName;
  std::string mAddress; ///< IP number and port.
  std::vector<LoadedVersion> mLoaded;
  bool mLeaving = false;
  bool mChecksFencing = false;
  double mSlotUtilization = 0; ///< Of its slots, those in use: 0 to 1.

  auto operator<=>(const RolloutEndpoint&) const = default;
};

enum class RolloutOrderKind
{
  Load,
  Drain,
  Unload,
};

/// Idempotent: the same order has the same id however often it is sent.
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

/// The body of `POST /v1/orders` at an engine.
std::string SerializeOrder(const RolloutOrder& aOrder);

/// An order that this holder sent, and when it last did.
struct IssuedOrder
{
  RolloutOrder mOrder;
  TimePoint mSentAt{};

  auto operator<=>(const IssuedOrder&) const = default;
};

/// How fast engines are changed.
struct RolloutPacing
{
  std::size_t mMaxConcurrentLoads = 1; ///< The weight store is rate-limited.
  double mUtilizationLimit = 0.7;      ///< Load share that leaves room to load.
  std::size_t mMinReplicas = 2; ///< Of a new version, from its first step.
  Duration mOrderRetryDelay = std::chrono::seconds(30); ///< An unmet order.

  auto operator<=>(const RolloutPacing&) const = default;
};

/// All that a step looks at.
struct RolloutQuery
{
  RolloutSettings mSettings;
  VersionState mFromState = VersionState::Serving;
  VersionState mToState = VersionState::Serving;
  RolloutProgress mProgress;
  RolloutChangeDetector mDetector;
  /// Sums since this holder's process began; they only rise.
  EvidenceCell mOldEvidence;
  EvidenceCell mNewEvidence;
  std::vector<RolloutEndpoint> mEndpoints;
  std::vector<IssuedOrder> mIssuedOrders;
  RolloutPacing mPacing;
  TimePoint mNow{};
  /// Engines that ignore fencing get no order before this.
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
