#pragma once

#include <Acaciavale/LibPlatform/KeyValueStore.h>
#include <Acaciavale/LibRollout/RolloutPlan.h>

#include <functional>
#include <memory>
#include <string>
#include <vector>

/// Runs roll-outs. Any VM may hold the lease of a roll-out, and only the lease
/// holder executes it. The lease avoids duplicate work; compare-and-swap on the
/// record and the fence number keep concurrent holders from interfering with
/// each other.
namespace Acaciavale {

struct RolloutControllerOptions
{
  /// Name and incarnation of this VM. The incarnation differs after a restart.
  std::string mHolder;
  /// Time without a write to the record after which another VM may take over
  /// the roll-out.
  Duration mLeaseDuration = std::chrono::seconds(10);
  /// Longest time for which a paused lease holder may still send orders based
  /// on outdated state.
  Duration mMaxHolderPause = std::chrono::seconds(30);
  RolloutPacing mPacing;

  auto operator<=>(const RolloutControllerOptions&) const = default;
};

struct RolloutCallbacks
{
  std::function<std::shared_ptr<const Settings>()> mSettings;
  /// Returns the evidence on a version from the whole fleet, summed since this
  /// process started, without aging.
  std::function<EvidenceCell(const std::string& aModel,
                             const std::string& aVersion)>
    mTotalEvidence;
  std::function<std::vector<RolloutEndpoint>()> mEndpoints;
  /// Sends one order to an engine. Later steps retry an order that failed.
  std::function<ErrorOr<void>(const RolloutOrder& aOrder)> mSendOrder;
  /// Called with the state of all roll-outs after each step that has read their
  /// records.
  std::function<void(const std::vector<RolloutView>& aViews)> mOnViews;
  std::function<TimePoint()> mNow = MonotonicNow;
};

class RolloutController
{
public:
  RolloutController(RolloutControllerOptions aOptions,
                    RolloutCallbacks aCallbacks,
                    KeyValueStore aStore,
                    std::uint64_t aSeed);
  ~RolloutController();

  /// Processes all roll-outs of the settings once: reads the store once and
  /// writes the record of each roll-out that this VM holds if it has changed or
  /// its lease is due for renewal. Call it every one or two seconds, always
  /// from the same thread.
  void Step();

  /// Returns the progress records as this VM last read or wrote them.
  std::vector<RolloutProgress> Progress() const;

private:
  struct Private;
  std::unique_ptr<Private> mPrivate;
};

} // namespace Acaciavale
