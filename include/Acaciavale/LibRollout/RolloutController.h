#pragma once

#include <Acaciavale/LibPlatform/KeyValueStore.h>
#include <Acaciavale/LibRollout/RolloutPlan.h>

#include <functional>
#include <memory>
#include <string>
#include <vector>

/// Runs roll-outs: any VM may hold one, and only its holder acts. Holding saves
/// work; the record's compare-and-swap and the fence keep two holders apart.
namespace Acaciavale {

struct RolloutControllerOptions
{
  std::string mHolder; ///< Name and incarnation of this VM; new in each life.
  /// A record that nobody wrote for this long may be taken over.
  Duration mLeaseDuration = std::chrono::seconds(10);
  /// How long a paused holder may still act on what it last knew.
  Duration mMaxHolderPause = std::chrono::seconds(30);
  RolloutPacing mPacing;

  auto operator<=>(const RolloutControllerOptions&) const = default;
};

struct RolloutCallbacks
{
  std::function<std::shared_ptr<const Settings>()> mSettings;
  /// Evidence on a version over the fleet, summed since this process began and
  /// not aged.
  std::function<EvidenceCell(const std::string& aModel,
                             const std::string& aVersion)>
    mTotalEvidence;
  std::function<std::vector<RolloutEndpoint>()> mEndpoints;
  /// Sends one order to an engine; errors are tried again by later steps.
  std::function<ErrorOr<void>(const RolloutOrder& aOrder)> mSendOrder;
  /// The roll-outs as they stand, after each step that read them.
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

  /// One pass over all roll-outs of the settings: one read of the store, and a
  /// write for each roll-out that this VM holds and that has changed or whose
  /// hold is due. Call it every second or two from one thread.
  void Step();

  /// The records as this VM last read or wrote them.
  std::vector<RolloutProgress> Progress() const;

private:
  struct Private;
  std::unique_ptr<Private> mPrivate;
};

} // namespace Acaciavale
